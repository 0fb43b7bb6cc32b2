"""HTTP interface for workers' announcements."""

from collections.abc import Awaitable, Callable
from urllib import parse

import msgspec
from aiohttp import web

from ..core import announcement, codec, errors, resource

PATH = "/v1/workers/announce"
MAX_BODY_BYTES = 64 * 1024
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
    failure_domain : str
        Failure domain of this instance; workers of others are refused.
    announce : callable
        Takes an announcement if this instance leads; raises `NotLeaderError` if not.
    own_url : str
        Address that workers reach this instance at.
    leader_url : callable
        Returns the address of the leader, empty if it is unknown.
    forward : callable
        Hands an announcement to the leader over the instances' links.
    check_token : callable
        Tells whether a bearer token, empty if there is none, is admitted.
    """

    def __init__(
        self,
        failure_domain: str,
        announce: Announce,
        own_url: str,
        leader_url: Callable[[], str],
        forward: Forward,
        check_token: Callable[[str], bool],
    ) -> None:
        self._failure_domain = failure_domain
        self._announce = announce
        self._own_url = own_url
        self._leader_url = leader_url
        self._forward = forward
        self._check_token = check_token

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Add the route."""
        router.add_post(PATH, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one announcement."""
        try:
            self._authorize(request)
            said = parse_announcement(await _read(request), self._failure_domain)
            reply = await self._reply(said)
        except errors.MarjoramusherError as error:
            return web.Response(
                body=codec.to_json({"error": error.body()}),
                status=error.http_status,
                content_type="application/json",
            )
        return web.Response(body=codec.to_json(reply), content_type="application/json")

    def _authorize(self, request: web.Request) -> None:
        kind, _, token = request.headers.get("Authorization", "").partition(" ")
        if not self._check_token(token if kind.lower() == "bearer" else ""):
            raise errors.MarjoramusherError(
                errors.ErrorCode.UNAUTHORIZED, "the instance token is missing or wrong"
            )

    async def _reply(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        try:
            reply = self._announce(said)
        except errors.NotLeaderError:
            url = self._leader_url()
            if url and url != self._own_url:
                return announcement.WorkerReply(leader_url=url)
            return await self._forward(said)
        return msgspec.structs.replace(reply, leader_url=self._own_url)


def parse_announcement(
    body: bytes, failure_domain: str
) -> announcement.WorkerAnnouncement:
    """Decode an announcement and check its values.

    Raises
    ------
    BadRequestError
        If it is malformed, out of range or of another failure domain.
    """
    said = codec.from_json(body, announcement.WorkerAnnouncement)
    _check_name("id", said.id)
    _check_name("rack", said.rack)
    if said.failure_domain != failure_domain:
        raise errors.BadRequestError(
            f"worker is of failure domain {said.failure_domain[:MAX_ID_LENGTH]}",
            {"failure_domain": failure_domain},
        )
    if not _is_base_url(said.url):
        raise errors.BadRequestError("url must be http://host:port")
    if said.incarnation < 0:
        raise errors.BadRequestError("incarnation is negative")
    _check_amounts("capacity", said.capacity)
    names = set()
    for task in said.tasks:
        _check_name("task_id", task.task_id)
        _check_amounts("usage", task.usage)
        if task.epoch < 0 or not 0.0 <= task.progress_s < MAX_AMOUNT:
            raise errors.BadRequestError("epoch or progress_s is out of range")
        names.add(task.task_id)
    if len(names) != len(said.tasks):
        raise errors.BadRequestError("a task is reported twice")
    return said


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


async def _read(request: web.Request) -> bytes:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise errors.MarjoramusherError(
                errors.ErrorCode.BODY_TOO_LARGE,
                f"an announcement has at most {MAX_BODY_BYTES} bytes",
            )
    return bytes(body)
