"""Frames of a request that is answered in another failure domain."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

import msgspec
import xxhash

from ..core import codec, errors
from ..routing import request
from ..targets import dispatch
from . import response as responses


class Forwarded(msgspec.Struct, frozen=True, array_like=True):
    """Request as it travels; `deadline_s` is relative since clocks differ."""

    request_id: str
    account: str
    service: str
    deadline_s: float
    declared: request.RequestClass | None
    repeatable: bool
    content_type: str
    key: str
    payload: bytes


class Head(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """First frame of an answer."""

    status: int
    content_type: str


class Piece(msgspec.Struct, frozen=True, tag="piece", array_like=True):
    """Part of the body."""

    body: bytes


class End(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """Last frame of a complete answer, with the checksum of its body."""

    checksum: int


class Failure(msgspec.Struct, frozen=True, tag="failure", array_like=True):
    """Last frame of a request without a complete answer."""

    error: errors.ErrorBody


Frame = Head | Piece | End | Failure


def encode(asked: request.Request, sent: dispatch.TargetRequest, now: float) -> bytes:
    """Return the message for the other failure domain."""
    return codec.pack(
        Forwarded(
            asked.request_id,
            asked.account,
            asked.service,
            asked.deadline - now,
            asked.declared_class,
            asked.repeatable,
            sent.content_type,
            sent.key,
            sent.payload,
        )
    )


Run = Callable[[request.Request, dispatch.TargetRequest], Awaitable[responses.Answer]]


async def serve(run: Run, message: bytes, now: float) -> AsyncGenerator[bytes, None]:
    """Run a forwarded request here and yield the frames of its answer."""
    try:
        got = codec.unpack(message, Forwarded)
        asked = request.Request(
            got.request_id,
            got.account,
            got.service,
            now + got.deadline_s,
            got.declared,
            got.repeatable,
            len(got.payload),
            is_forwarded=True,
        )
        sent = dispatch.TargetRequest(
            got.request_id, got.account, got.content_type, got.payload, got.key
        )
        answer = await run(asked, sent)
    except errors.MarjoramusherError as error:
        yield codec.pack(Failure(error.body()))
        return
    try:
        yield codec.pack(Head(answer.status, answer.content_type))
        digest = xxhash.xxh3_64()
        async with contextlib.aclosing(answer.pieces()) as pieces:
            async for piece in pieces:
                digest.update(piece)
                yield codec.pack(Piece(piece))
        yield codec.pack(End(digest.intdigest()))
    except errors.MarjoramusherError as error:
        yield codec.pack(Failure(error.body()))
    finally:
        answer.close()


async def read(frames: AsyncIterator[bytes]) -> responses.Answer:
    """Return the answer that the frames describe, once its head is known.

    Raises
    ------
    MarjoramusherError
        The failure at the other side, or an unknown outcome if the frames end early.
    """
    async for data in frames:
        match _frame(data):
            case Head() as head:
                return responses.Answer(
                    head.status, head.content_type, stream=_body(frames)
                )
            case Failure() as failure:
                raise errors.from_body(failure.error)
            case _:
                break
    raise _broken()


async def _body(frames: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    digest = xxhash.xxh3_64()
    async for data in frames:
        match _frame(data):
            case Piece() as piece:
                digest.update(piece.body)
                yield piece.body
            case End() as end:
                if end.checksum != digest.intdigest():
                    raise _broken()
                return
            case Failure() as failure:
                raise errors.from_body(failure.error)
            case _:
                raise _broken()
    raise _broken()


def _frame(data: bytes) -> Frame:
    try:
        return codec.unpack(data, Frame)
    except errors.BadRequestError as error:
        # A malformed frame does not mean that the request was refused.
        raise _broken() from error


def _broken() -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.PEER_UNREACHABLE,
        "the answer from the other failure domain was not complete",
        errors.Outcome.UNKNOWN,
    )
