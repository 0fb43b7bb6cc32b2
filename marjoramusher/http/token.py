"""Bearer tokens."""

import hmac

from aiohttp import web

from ..core import errors
from ..telemetry import metrics


def check(
    request: web.Request, token: bytes | None, counters: metrics.Metrics, realm: str
) -> None:
    """Refuse a request that does not carry the token.

    Parameters
    ----------
    token : bytes or None
        Expected token; ``None`` admits every request.
    counters : Metrics
        Gets ``unauthorized`` by realm.
    realm : str
        ``operator`` or ``instance``.

    Raises
    ------
    MarjoramusherError
        With ``unauthorized``. The message does not repeat what was sent.
    """
    if token is None:
        return
    scheme, _, given = request.headers.get("Authorization", "").partition(" ")
    # Compares in constant time, and also when the scheme is wrong.
    matches = hmac.compare_digest(given.encode("utf-8", "surrogateescape"), token)
    if scheme.lower() != "bearer" or not matches:
        counters.increment("unauthorized", realm=realm)
        raise errors.MarjoramusherError(
            errors.ErrorCode.UNAUTHORIZED, f"the {realm} token is missing or wrong"
        )
