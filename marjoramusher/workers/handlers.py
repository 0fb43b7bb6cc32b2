"""HTTP handler for the announcements of workers."""

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

AnnounceCallable = Callable[[announcement.WorkerAnnouncement], announcement.WorkerReply]
ForwardCallable = Callable[
    [announcement.WorkerAnnouncement], Awaitable[announcement.WorkerReply]
]


class WorkerHandlers:
    """Serve `POST /v1/workers/announce`.

    Parameters
    ----------
    failure_domains : callable
        Returns the failure domains that this instance may lead; workers of other
        failure domains are refused.
    announce : callable
        Handles an announcement, or raises `NotLeaderError` if this instance doesn't
        lead.
    own_url : str
        URL at which workers reach this instance.
    leader_url : callable
        Returns the URL of a failure domain's leader; empty if the leader is unknown.
    forward : callable
        Forwards an announcement to the leader over the connection between instances.
    authorize : callable
        Raises if a request does not carry the instance token.
    """

    def __init__(
        self,
        failure_domains: Callable[[], Collection[str]],
        announce: AnnounceCallable,
        own_url: str,
        leader_url: Callable[[str], str],
        forward: ForwardCallable,
        authorize: Callable[[web.Request], None],
    ) -> None:
        self._failure_domains = failure_domains
        self._announce = announce
        self._own_url = own_url
        self._leader_url = leader_url
        self._forward = forward
        self._authorize = authorize

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Add the route; the application's middleware must turn errors into replies."""
        router.add_post(PATH, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Handle one announcement."""
        self._authorize(request)
        worker_announcement = await body.read_json(
            request, announcement.WorkerAnnouncement, body.MAX_ANNOUNCEMENT_BYTES
        )
        validate_announcement(worker_announcement, self._failure_domains())
        return http_errors.json_response(await self._reply(worker_announcement))

    async def _reply(
        self, worker_announcement: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        try:
            reply = self._announce(worker_announcement)
            url = self._own_url
        except errors.NotLeaderError:
            url = self._leader_url(worker_announcement.failure_domain)
            if url == self._own_url:
                raise  # this instance is elected but has not caught up yet
            reply = await self._forward_or_redirect(worker_announcement, url)
        return msgspec.structs.replace(reply, leader_url=url or reply.leader_url)

    async def _forward_or_redirect(
        self, worker_announcement: announcement.WorkerAnnouncement, url: str
    ) -> announcement.WorkerReply:
        """Forward to the leader, which the worker may be unable to reach directly.

        Falls back to a reply without renewals, to which the leader's URL is added.
        """
        try:
            return await self._forward(worker_announcement)
        except errors.MarjoramusherError:
            if not url:
                raise
            return announcement.WorkerReply()


def validate_announcement(
    worker_announcement: announcement.WorkerAnnouncement,
    failure_domains: Collection[str],
) -> None:
    """Check the values of an announcement.

    Raises
    ------
    BadRequestError
        If a value is invalid or the worker belongs to another failure domain.
    """
    _check_name("id", worker_announcement.id)
    _check_name("rack", worker_announcement.rack)
    if worker_announcement.failure_domain not in failure_domains:
        raise errors.BadRequestError(
            "the worker belongs to failure domain "
            f"{worker_announcement.failure_domain[:MAX_ID_LENGTH]}",
            {"failure_domains": ",".join(sorted(failure_domains))},
        )
    if not _is_base_url(worker_announcement.url):
        raise errors.BadRequestError("url must be http://host:port")
    if not 0 <= worker_announcement.incarnation < 2**63:
        raise errors.BadRequestError("incarnation is out of range")
    _check_amounts("capacity", worker_announcement.capacity)
    for task in worker_announcement.tasks:
        _check_name("task_id", task.task_id)
        _check_amounts("usage", task.usage)
        if not 0 <= task.epoch < 2**63 or not 0.0 <= task.progress_s < MAX_AMOUNT:
            raise errors.BadRequestError("epoch or progress_s is out of range")
    if len({task.task_id for task in worker_announcement.tasks}) != len(
        worker_announcement.tasks
    ):
        raise errors.BadRequestError("a task is reported more than once")


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
