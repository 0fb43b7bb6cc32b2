"""Authentication by bearer token."""

import hmac

from aiohttp import web

from ..core import errors
from ..telemetry import metrics


def check(
    request: web.Request,
    token: bytes | None,
    metrics_registry: metrics.Metrics,
    realm: str,
) -> None:
    """Reject a request without the expected bearer token.

    Parameters
    ----------
    token : bytes or None
        Expected token; ``None`` disables the check.
    metrics_registry : Metrics
        Records ``unauthorized`` by realm.
    realm : str
        Kind of token, ``operator`` or ``instance``.

    Raises
    ------
    MarjoramusherError
        With ``unauthorized``. The message does not contain the received token.
    """
    if token is None:
        return
    scheme, _, received = request.headers.get("Authorization", "").partition(" ")
    # The comparison takes constant time and also happens for a wrong scheme.
    is_match = hmac.compare_digest(received.encode("utf-8", "surrogateescape"), token)
    if scheme.lower() != "bearer" or not is_match:
        metrics_registry.increment("unauthorized", realm=realm)
        raise errors.MarjoramusherError(
            errors.ErrorCode.UNAUTHORIZED, f"the {realm} token is missing or wrong"
        )
