"""HTTP handlers for runners."""

from collections.abc import Callable
from urllib import parse

from aiohttp import web

from ..core import announcement, errors
from ..http import body, token
from ..telemetry import metrics

MAX_NAME_CHARS = 200
MAX_URL_CHARS = 2000


class TargetHandlers:
    """Accept announcements of runners.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance; runners of others are refused.
    on_announcement : callable
        Gets each accepted announcement; the daemon hands it to the engine, to the
        slot server and to the domain's other instances.
    instance_token : bytes or None
        Bearer token that runners carry; ``None`` admits everyone.
    counters : Metrics
        Gets refused tokens.
    """

    def __init__(
        self,
        failure_domain: str,
        on_announcement: Callable[[announcement.TargetAnnouncement], None],
        instance_token: bytes | None,
        counters: metrics.Metrics,
    ) -> None:
        self._failure_domain = failure_domain
        self._on_announcement = on_announcement
        self._instance_token = instance_token
        self._metrics = counters

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [web.post("/v1/targets/announce", self.announce)]

    async def announce(self, request: web.Request) -> web.Response:
        """Take an announcement."""
        token.check(request, self._instance_token, self._metrics, "instance")
        announced = await body.read_json(
            request, announcement.TargetAnnouncement, body.MAX_ANNOUNCEMENT_BYTES
        )
        validate(announced, self._failure_domain)
        self._on_announcement(announced)
        return web.json_response({"accepted": True})


def validate(announced: announcement.TargetAnnouncement, failure_domain: str) -> None:
    """Check the values of an announcement.

    Raises
    ------
    BadRequestError
        If a value is out of its range.
    """
    for name, what in ((announced.id, "id"), (announced.service, "service")):
        if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
            raise errors.BadRequestError(f"{what} is empty, too long or malformed")
    if announced.failure_domain != failure_domain:
        raise errors.BadRequestError(
            f"the runner is in {announced.failure_domain}, the instance in "
            f"{failure_domain}"
        )
    if not _is_http(announced.url):
        raise errors.BadRequestError("url is not an http address")
    for value, least, most, what in (
        (announced.slots, 1, 1024, "slots"),
        (announced.connections, 1, 4096, "connections"),
        (announced.incarnation, 0, 2**62, "incarnation"),
        (announced.ttl_s, 0.1, 60.0, "ttl_s"),
    ):
        if not least <= value <= most:
            raise errors.BadRequestError(f"{what} is not from {least} to {most}")


def _is_http(text: str) -> bool:
    if len(text) > MAX_URL_CHARS or not text.isprintable():
        return False
    try:
        url = parse.urlsplit(text)
        return bool(url.scheme in ("http", "https") and url.hostname and url.port != 0)
    except ValueError:
        return False
