"""Frames of a request that is forwarded to another failure domain."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

import msgspec
import xxhash

from ..core import codec, errors
from ..routing import request as requests
from ..targets import dispatch
from . import response as responses


class Forwarded(msgspec.Struct, frozen=True, array_like=True):
    """Request as it is sent to the other failure domain.

    Parameters
    ----------
    deadline_s : float
        Time left until the deadline; relative, since the clocks differ.
    """

    request_id: str
    account: str
    service: str
    deadline_s: float
    declared_class: requests.RequestClass | None
    repeatable: bool
    content_type: str
    key: str
    payload: bytes


class Head(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """First frame of a response."""

    status: int
    content_type: str


class Piece(msgspec.Struct, frozen=True, tag="piece", array_like=True):
    """Part of the body."""

    body: bytes


class End(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """Last frame of a complete response, with the xxh3 checksum of its body."""

    checksum: int


class Failure(msgspec.Struct, frozen=True, tag="failure", array_like=True):
    """Last frame of a request without a complete response."""

    error: errors.ErrorBody


Frame = Head | Piece | End | Failure


def encode(
    request: requests.Request, target_request: dispatch.TargetRequest, now: float
) -> bytes:
    """Return the encoded request for the other failure domain."""
    return codec.pack(
        Forwarded(
            request.request_id,
            request.account,
            request.service,
            request.deadline - now,
            request.declared_class,
            request.repeatable,
            target_request.content_type,
            target_request.key,
            target_request.payload,
        )
    )


# Runs a request in this failure domain, as `Engine.run` does.
Run = Callable[
    [requests.Request, dispatch.TargetRequest], Awaitable[responses.Response]
]


async def serve(run: Run, message: bytes, now: float) -> AsyncGenerator[bytes, None]:
    """Run a forwarded request and yield the frames of its response."""
    try:
        forwarded = codec.unpack(message, Forwarded)
        request = requests.Request(
            forwarded.request_id,
            forwarded.account,
            forwarded.service,
            now + forwarded.deadline_s,
            forwarded.declared_class,
            forwarded.repeatable,
            len(forwarded.payload),
            is_forwarded=True,
        )
        target_request = dispatch.TargetRequest(
            forwarded.request_id,
            forwarded.account,
            forwarded.content_type,
            forwarded.payload,
            forwarded.key,
        )
        response = await run(request, target_request)
    except errors.MarjoramusherError as error:
        yield codec.pack(Failure(error.body()))
        return
    try:
        yield codec.pack(Head(response.status, response.content_type))
        digest = xxhash.xxh3_64()
        async with contextlib.aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                digest.update(chunk)
                yield codec.pack(Piece(chunk))
        yield codec.pack(End(digest.intdigest()))
    except errors.MarjoramusherError as error:
        yield codec.pack(Failure(error.body()))
    finally:
        response.close()


async def read(frames: AsyncIterator[bytes]) -> responses.Response:
    """Read the first frame and return the response, whose body follows as a stream.

    Raises
    ------
    MarjoramusherError
        The failure at the other side, or an unknown outcome if the frames end early.
    """
    async for data in frames:
        match _decode(data):
            case Head() as head:
                return responses.Response(
                    head.status, head.content_type, stream=_body(frames)
                )
            case Failure() as failure:
                raise errors.from_body(failure.error)
            case _:
                break
    raise _incomplete()


async def _body(frames: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    """Yield the body and raise an error unless its checksum matches."""
    digest = xxhash.xxh3_64()
    async for data in frames:
        match _decode(data):
            case Piece() as piece:
                digest.update(piece.body)
                yield piece.body
            case End() as end:
                if end.checksum != digest.intdigest():
                    raise _incomplete()
                return
            case Failure() as failure:
                raise errors.from_body(failure.error)
            case _:
                raise _incomplete()
    raise _incomplete()


def _decode(data: bytes) -> Frame:
    try:
        return codec.unpack(data, Frame)
    except errors.BadRequestError as error:
        # Decoding reports a bad request with outcome not run, but the request may have
        # run if its response is malformed.
        raise _incomplete() from error


def _incomplete() -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.PEER_UNREACHABLE,
        "the response from the other failure domain is incomplete or malformed",
        errors.Outcome.UNKNOWN,
    )
