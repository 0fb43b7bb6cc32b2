"""Wire format of the calls between instances."""

import asyncio
from collections.abc import Callable
from typing import Any

import grpclib.const
import grpclib.encoding.base
import msgspec

from ..core import errors

SERVICE = "/marjoramusher.Peer/"
CALL = SERVICE + "Call"
BATCHES = SERVICE + "Batches"
STREAM = SERVICE + "Stream"

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # enough for a batch with a snapshot chunk
CHUNK_BYTES = 64 * 1024
CALL_BYTES = 8 * 1024  # stream, task and decoded call beside the message
RECEIVE_TIMEOUT_S = 10.0  # 8 MiB at 30 Mbit/s take 2.2 s
PREFIX_BYTES = 5  # gRPC: compression flag and length


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Request of a call, with the instance token of the cluster."""

    sender: str
    token: bytes
    method: str
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Response to an `Envelope`."""

    body: bytes = b""
    error: errors.ErrorBody | None = None


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One-way messages as pairs of method and body.

    `sender` and `token` are set only in the first batch of a stream.
    """

    messages: list[tuple[str, bytes]]
    sender: str = ""
    token: bytes = b""


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Number of batches received so far on a stream, which also shows it is alive."""

    count: int


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Part of a streamed response.

    Parameters
    ----------
    length, checksum : int
        Length and XXH3 checksum of the whole response, set in the last chunk only.
    """

    data: bytes = b""
    last: bool = False
    length: int = 0
    checksum: int = 0
    error: errors.ErrorBody | None = None


class RawCodec(grpclib.encoding.base.CodecBase):
    """Codec that passes bytes through.

    Decoding happens in the handlers, so that malformed messages get an error code.
    """

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes unchanged."""
        del message_type
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the bytes unchanged."""
        del message_type
        return data


class BodyTooLargeError(errors.MarjoramusherError):
    """The message exceeds the size limit."""

    def __init__(self, length: int, limit: int) -> None:
        super().__init__(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"the message of {length} bytes exceeds the limit of {limit} bytes",
        )


async def receive(
    stream: Any,
    limit: int = MAX_MESSAGE_BYTES,
    reserve: Callable[[int], None] | None = None,
) -> bytes | None:
    """Read one message of a server-side stream, or return ``None`` at its end.

    grpclib does not limit the length of a message, so it is checked here before the
    body is read.

    Parameters
    ----------
    reserve : callable, optional
        Called with the memory that the message takes, before its body is read; raises
        an exception if there is none.

    Raises
    ------
    BodyTooLargeError
        If the length in the prefix exceeds `limit`.
    BadRequestError
        If the stream ends within a message, uses compression, or if reserved memory
        was not used in time.
    """
    http2_stream = stream._stream
    try:
        prefix = await http2_stream.recv_data(PREFIX_BYTES)
        if not prefix:
            return None
        length = int.from_bytes(prefix[1:], "big")
        if prefix[0]:
            raise errors.BadRequestError("compressed messages are not accepted")
        if length > limit:
            raise BodyTooLargeError(length, limit)
        if reserve is None:
            return await http2_stream.recv_data(length)
        reserve(length + CALL_BYTES)
        if length <= CHUNK_BYTES:
            return await http2_stream.recv_data(length)
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            return await http2_stream.recv_data(length)
    except TimeoutError as error:
        raise errors.BadRequestError("the message did not arrive in time") from error
    except AssertionError as error:  # raised by grpclib for a short read
        raise errors.BadRequestError("the message is truncated") from error
