"""HTTP handlers for announcements of runners."""

from collections.abc import Callable
from urllib import parse

from aiohttp import web

from ..core import announcement as announcements
from ..core import errors
from ..http import body, token
from ..telemetry import metrics

MAX_NAME_CHARS = 200
MAX_URL_CHARS = 2000


class TargetHandlers:
    """Serve `POST /v1/targets/announce`.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance; runners of others are refused.
    on_announcement : callable
        Receives each valid announcement; the daemon passes it to the engine, to the
        slot server and to the domain's other instances.
    instance_token : bytes or None
        Bearer token that runners have to send; ``None`` accepts every request.
    counters : Metrics
        Counts requests with a wrong token.
    """

    def __init__(
        self,
        failure_domain: str,
        on_announcement: Callable[[announcements.TargetAnnouncement], None],
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
        """Validate an announcement and pass it on."""
        token.check(request, self._instance_token, self._metrics, "instance")
        announcement = await body.read_json(
            request, announcements.TargetAnnouncement, body.MAX_ANNOUNCEMENT_BYTES
        )
        validate(announcement, self._failure_domain)
        self._on_announcement(announcement)
        return web.json_response({"accepted": True})


def validate(
    announcement: announcements.TargetAnnouncement, failure_domain: str
) -> None:
    """Check the values of an announcement.

    Raises
    ------
    BadRequestError
        If a value is invalid or the runner is in another failure domain.
    """
    for name, field in ((announcement.id, "id"), (announcement.service, "service")):
        if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
            raise errors.BadRequestError(f"{field} is empty, too long or malformed")
    if announcement.failure_domain != failure_domain:
        raise errors.BadRequestError(
            f"the runner is in failure domain {announcement.failure_domain}, "
            f"the instance in {failure_domain}"
        )
    if not _is_http_url(announcement.url):
        raise errors.BadRequestError("url is not a valid http or https URL")
    for value, minimum, maximum, field in (
        (announcement.slots, 1, 1024, "slots"),
        (announcement.connections, 1, 4096, "connections"),
        (announcement.incarnation, 0, 2**62, "incarnation"),
        (announcement.ttl_s, 0.1, 60.0, "ttl_s"),
    ):
        if not minimum <= value <= maximum:
            raise errors.BadRequestError(f"{field} must be from {minimum} to {maximum}")


def _is_http_url(text: str) -> bool:
    if len(text) > MAX_URL_CHARS or not text.isprintable():
        return False
    try:
        url = parse.urlsplit(text)
        return bool(url.scheme in ("http", "https") and url.hostname and url.port != 0)
    except ValueError:
        return False
