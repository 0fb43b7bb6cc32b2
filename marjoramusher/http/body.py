"""Reading and validation of request bodies and query parameters."""

import asyncio
import math
from typing import TypeVar

from aiohttp import web

from ..core import codec, errors
from . import connection_guard, memory_budget

MAX_BODY_BYTES = 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0  # enough for 1 MiB at 1 Mbit/s

T = TypeVar("T")


async def read(
    request: web.Request,
    limit_bytes: int = MAX_BODY_BYTES,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes:
    """Read the whole body.

    On a guarded connection the limits of the process apply, see `memory_budget`, and
    `timeout_s` is not used.

    Raises
    ------
    MarjoramusherError
        With ``body_too_large`` if the announced or received length exceeds
        `limit_bytes`.
    BadRequestError
        If the body is compressed or does not arrive within `timeout_s`.
    OverloadedError
        If the guard of the connection refuses the request.
    """
    if request.headers.get("Content-Encoding", "identity") != "identity":
        # A small compressed body can expand far beyond the limit.
        raise errors.BadRequestError("compressed bodies are not accepted")
    if (request.content_length or 0) > limit_bytes:
        raise _body_too_large_error(limit_bytes)
    content = request.content
    protocol = request.protocol
    guard = protocol if isinstance(protocol, connection_guard.GuardedHandler) else None
    if content.is_eof() and content.exception() is None:
        # Most bodies have arrived whole by now.
        _check_refusal(guard)
        received = content.read_nowait()
        if len(received) > limit_bytes:
            raise _body_too_large_error(limit_bytes)
        return received
    data = bytearray()
    try:
        # A guard ends the reading by itself, without a timer for each request.
        async with asyncio.timeout(timeout_s if guard is None else None) as limit:
            if guard is not None:
                guard.set_reader(limit, data)
            while chunk := await content.readany():
                data += chunk
                if len(data) > limit_bytes:
                    raise _body_too_large_error(limit_bytes)
    except BaseException as error:
        # The traceback refers to the buffer, which would otherwise be held until the
        # next full garbage collection.
        data.clear()
        if not isinstance(error, TimeoutError):
            raise
        _check_refusal(guard)
        raise errors.BadRequestError("the body did not arrive in time") from error
    _check_refusal(guard)
    return bytes(data)


async def read_json(
    request: web.Request, value_type: type[T], limit_bytes: int = MAX_BODY_BYTES
) -> T:
    """Read and decode a JSON body.

    Raises
    ------
    BadRequestError
        If the body does not match `value_type`, is not UTF-8 or nests too deeply.
    """
    return codec.from_json(await read(request, limit_bytes), value_type)


def check_query(request: web.Request, *known: str) -> None:
    """Reject unknown and repeated query parameters.

    Raises
    ------
    BadRequestError
        If a parameter is not in `known` or occurs more than once.
    """
    for name in request.query:
        if name not in known:
            raise errors.BadRequestError(f"unknown query parameter {name!r}")
        if len(request.query.getall(name)) > 1:
            raise errors.BadRequestError(f"query parameter {name!r} is repeated")


def query_int(request: web.Request, name: str, default: int, maximum: int) -> int:
    """Return an integer query parameter.

    Raises
    ------
    BadRequestError
        If the parameter is not an integer from 0 to `maximum`.
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
    """Return a query parameter in seconds, reduced to at most `maximum`.

    Raises
    ------
    BadRequestError
        If the parameter is not a finite, non-negative number.
    """
    text = request.query.get(name)
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not (math.isfinite(seconds) and seconds >= 0):
        raise errors.BadRequestError(
            f"query parameter {name!r} is not a duration in seconds"
        )
    return min(seconds, maximum)


def _check_refusal(guard: connection_guard.GuardedHandler | None) -> None:
    """Raise an error if the request was refused while its body arrived.

    What was read is then incomplete.
    """
    if guard is None or guard.refusal is None:
        return
    if guard.refusal is memory_budget.Reason.BODY_SLOW:
        raise memory_budget.OverloadedError("the body did not arrive in time")
    raise memory_budget.OverloadedError


def _body_too_large_error(limit_bytes: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.BODY_TOO_LARGE,
        f"the body exceeds {limit_bytes} bytes",
        details={"limit_bytes": str(limit_bytes)},
    )
