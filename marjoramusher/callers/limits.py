"""Bounded reading of callers' and runners' HTTP requests."""

import hmac

from aiohttp import web

from ..core import codec, errors

MAX_BODY_BYTES = 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_NAME_CHARS = 200


async def body(request: web.BaseRequest, limit: int = MAX_BODY_BYTES) -> bytes:
    """Read a body.

    Raises
    ------
    MarjoramusherError
        With code ``body_too_large``.
    """
    if request.content_length is not None and request.content_length > limit:
        raise _too_large(limit)
    parts, size = [], 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > limit:
            raise _too_large(limit)
        parts.append(part)
    return b"".join(parts)


def name(value: str | None, what: str) -> str:
    """Check a name from a header or path."""
    if not value or len(value) > MAX_NAME_CHARS or not value.isprintable():
        raise errors.BadRequestError(f"{what} is missing or malformed")
    return value


def integer(value: str, what: str, least: int, most: int) -> int:
    """Check an integer from a header."""
    try:
        number = int(value) if len(value) <= 20 else most + 1
    except ValueError as error:
        raise errors.BadRequestError(f"{what} is not an integer") from error
    if not least <= number <= most:
        raise errors.BadRequestError(f"{what} is not from {least} to {most}")
    return number


def check_token(request: web.BaseRequest, token: str) -> None:
    """Compare the bearer token in constant time; an empty one admits everybody.

    Raises
    ------
    MarjoramusherError
        With code ``unauthorized``.
    """
    given = request.headers.get("Authorization", "").encode()
    if token and not hmac.compare_digest(given, f"Bearer {token}".encode()):
        raise errors.MarjoramusherError(
            errors.ErrorCode.UNAUTHORIZED, "the token is missing or wrong"
        )


def error_response(error: errors.MarjoramusherError) -> web.Response:
    """Return an error as HTTP."""
    return web.Response(
        status=error.http_status,
        body=codec.to_json({"error": error.body()}),
        content_type="application/json",
    )


@web.middleware
async def error_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Answer every `MarjoramusherError` with its code."""
    try:
        return await handler(request)
    except errors.MarjoramusherError as error:
        return error_response(error)


def _too_large(limit: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )
