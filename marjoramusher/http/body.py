"""Bounded reading of request bodies and query parameters."""

import asyncio
import math
from typing import TypeVar

from aiohttp import web

from ..core import codec, errors

MAX_BODY_BYTES = 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0  # 1 MiB arrives within this even at 1 Mbit/s

T = TypeVar("T")


async def read(
    request: web.Request,
    limit_bytes: int = MAX_BODY_BYTES,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes:
    """Read the whole body.

    Raises
    ------
    MarjoramusherError
        With ``body_too_large`` as soon as more than `limit_bytes` are announced or
        received.
    BadRequestError
        If the body is compressed or has not arrived after `timeout_s`.
    """
    if request.headers.get("Content-Encoding", "identity") != "identity":
        # A small compressed body can expand far beyond the limit.
        raise errors.BadRequestError("compressed bodies are not accepted")
    if (request.content_length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    data = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                data += chunk
                if len(data) > limit_bytes:
                    raise _too_large(limit_bytes)
    except TimeoutError as error:
        raise errors.BadRequestError("the body did not arrive in time") from error
    return bytes(data)


async def read_json(
    request: web.Request, kind: type[T], limit_bytes: int = MAX_BODY_BYTES
) -> T:
    """Read and decode a JSON body.

    Raises
    ------
    BadRequestError
        If the body does not hold a value of `kind`, is not UTF-8 or nests too deep.
    """
    return codec.from_json(await read(request, limit_bytes), kind)


def check_query(request: web.Request, *known: str) -> None:
    """Refuse query parameters that are unknown or given twice.

    Raises
    ------
    BadRequestError
        If there is such a parameter.
    """
    for name in request.query:
        if name not in known:
            raise errors.BadRequestError(f"unknown query parameter {name!r}")
        if len(request.query.getall(name)) > 1:
            raise errors.BadRequestError(f"query parameter {name!r} is given twice")


def query_int(request: web.Request, name: str, default: int, maximum: int) -> int:
    """Return a query parameter from 0 to `maximum`.

    Raises
    ------
    BadRequestError
        If it is not an integer in this range.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise errors.BadRequestError(f"query parameter {name!r} is not an integer")
    if int(text) > maximum:
        raise errors.BadRequestError(f"query parameter {name!r} exceeds {maximum}")
    return int(text)


def query_seconds(
    request: web.Request, name: str, default: float, maximum: float
) -> float:
    """Return a query parameter in seconds, at most `maximum`.

    Raises
    ------
    BadRequestError
        If it is not a finite number of at least 0.
    """
    text = request.query.get(name)
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not (math.isfinite(seconds) and seconds >= 0):
        raise errors.BadRequestError(f"query parameter {name!r} is not a duration")
    return min(seconds, maximum)


def _too_large(limit_bytes: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.BODY_TOO_LARGE,
        f"the body exceeds {limit_bytes} bytes",
        details={"limit_bytes": str(limit_bytes)},
    )
