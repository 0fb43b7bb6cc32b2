"""HTTP interface for workers' announcements."""

from collections.abc import Awaitable, Callable, Collection
from urllib import parse

import msgspec
from aiohttp import web

from ..core import announcement, errors, resource
from ..http import body
from ..http import errors as http_errors

PATH = "/v1/workers/announce"
MAX_ID_LENGTH = 128
MAX_URL_LENGTH = 512
MAX_AMOUNT = 2**31

Announce = Callable[[announcement.WorkerAnnouncement], announcement.WorkerReply]
Forward = Callable[
    [announcement.WorkerAnnouncement], Awaitable[announcement.WorkerReply]
]


class WorkerHandlers:
    """Serve `POST /v1/workers/announce`.

    Parameters
    ----------
    failure_domains : callable
        Returns the failure domains that this instance may lead; workers of others
        are refused.
    announce : callable
        Takes an announcement if this instance leads; raises `NotLeaderError` if not.
    own_url : str
        Address that workers reach this instance at.
    leader_url : callable
        Returns the address of a failure domain's leader, empty if it is unknown.
    forward : callable
        Hands an announcement to the leader over the instances' links.
    authorize : callable
        Raises if a request does not carry the instance token.
    """

    def __init__(
        self,
        failure_domains: Callable[[], Collection[str]],
        announce: Announce,
        own_url: str,
        leader_url: Callable[[str], str],
        forward: Forward,
        authorize: Callable[[web.Request], None],
    ) -> None:
        self._failure_domains = failure_domains
        self._announce = announce
        self._own_url = own_url
        self._leader_url = leader_url
        self._forward = forward
        self._authorize = authorize

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Add the route; errors are answered by the application's middleware."""
        router.add_post(PATH, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one announcement."""
        self._authorize(request)
        said = await body.read_json(
            request, announcement.WorkerAnnouncement, body.MAX_ANNOUNCEMENT_BYTES
        )
        check_announcement(said, self._failure_domains())
        return http_errors.json_response(await self._reply(said))

    async def _reply(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        try:
            reply = self._announce(said)
            url = self._own_url
        except errors.NotLeaderError:
            url = self._leader_url(said.failure_domain)
            if url == self._own_url:
                raise  # elected, but not caught up yet
            reply = await self._forward_or_point(said, url)
        return msgspec.structs.replace(reply, leader_url=url or reply.leader_url)

    async def _forward_or_point(
        self, said: announcement.WorkerAnnouncement, url: str
    ) -> announcement.WorkerReply:
        """Renew through the leader, since the worker may not reach it directly."""
        try:
            return await self._forward(said)
        except errors.MarjoramusherError:
            if not url:
                raise
            return announcement.WorkerReply()


def check_announcement(
    said: announcement.WorkerAnnouncement, failure_domains: Collection[str]
) -> None:
    """Check the values of an announcement.

    Raises
    ------
    BadRequestError
        If one is out of range or the worker is of a failure domain not listed.
    """
    _check_name("id", said.id)
    _check_name("rack", said.rack)
    if said.failure_domain not in failure_domains:
        raise errors.BadRequestError(
            f"worker is of failure domain {said.failure_domain[:MAX_ID_LENGTH]}",
            {"failure_domains": ",".join(sorted(failure_domains))},
        )
    if not _is_base_url(said.url):
        raise errors.BadRequestError("url must be http://host:port")
    if not 0 <= said.incarnation < 2**63:
        raise errors.BadRequestError("incarnation is out of range")
    _check_amounts("capacity", said.capacity)
    for task in said.tasks:
        _check_name("task_id", task.task_id)
        _check_amounts("usage", task.usage)
        if not 0 <= task.epoch < 2**63 or not 0.0 <= task.progress_s < MAX_AMOUNT:
            raise errors.BadRequestError("epoch or progress_s is out of range")
    if len({task.task_id for task in said.tasks}) != len(said.tasks):
        raise errors.BadRequestError("a task is reported twice")


def _is_base_url(text: str) -> bool:
    if len(text) > MAX_URL_LENGTH or not text.isprintable():
        return False
    try:
        url = parse.urlsplit(text)
        return bool(
            url.scheme == "http"
            and url.hostname
            and (url.port is None or url.port > 0)
            and not (url.path or url.query or url.fragment or url.username)
        )
    except ValueError:
        return False


def _check_name(field: str, value: str) -> None:
    if not 0 < len(value) <= MAX_ID_LENGTH or not value.isprintable() or "/" in value:
        raise errors.BadRequestError(f"{field} is not a valid name")


def _check_amounts(field: str, value: resource.Resources) -> None:
    for amount in (value.accelerators, value.cores, value.memory_mb):
        if not 0 <= amount < MAX_AMOUNT:
            raise errors.BadRequestError(f"{field} is out of range")
