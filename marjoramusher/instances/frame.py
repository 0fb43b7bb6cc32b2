"""Messages between instances on the wire."""

from typing import Any

import grpclib.const
import grpclib.encoding.base
import msgspec

from ..core import errors

SERVICE = "/marjoramusher.Peer/"
CALL = SERVICE + "Call"
BATCHES = SERVICE + "Batches"
STREAM = SERVICE + "Stream"

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # a batch with a snapshot chunk fits
CHUNK_BYTES = 64 * 1024
PREFIX_BYTES = 5  # gRPC: compression flag and length


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One call; the token is the instance token of the cluster."""

    sender: str
    token: bytes
    method: str
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to an `Envelope`."""

    body: bytes = b""
    error: errors.ErrorBody | None = None


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One-way messages as pairs of method and body.

    Only the first batch of a connection carries sender and token.
    """

    messages: list[tuple[str, bytes]]
    sender: str = ""
    token: bytes = b""


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Number of batches received so far; shows that the connection is alive."""

    count: int


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Part of a streamed answer.

    Parameters
    ----------
    length, checksum : int
        Set on the last frame only: length and XXH3 of the whole answer.
    """

    data: bytes = b""
    last: bool = False
    length: int = 0
    checksum: int = 0
    error: errors.ErrorBody | None = None


class RawCodec(grpclib.encoding.base.CodecBase):
    """Hand bytes through, so that malformed ones are answered with a coded error."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes."""
        del message_type
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the bytes."""
        del message_type
        return data


class BodyTooLargeError(errors.MarjoramusherError):
    """A message is longer than its bound."""

    def __init__(self, length: int, limit: int) -> None:
        super().__init__(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"a message of {length} bytes is longer than {limit}",
        )


async def receive(stream: Any, limit: int = MAX_MESSAGE_BYTES) -> bytes | None:
    """Read one message of a server-side stream; ``None`` at its end.

    grpclib reads a message of any length, so the length is checked here before the
    body is read.

    Raises
    ------
    BodyTooLargeError
        If the announced length exceeds `limit`.
    BadRequestError
        If the stream ends within a message or uses compression.
    """
    raw = stream._stream
    try:
        prefix = await raw.recv_data(PREFIX_BYTES)
        if not prefix:
            return None
        length = int.from_bytes(prefix[1:], "big")
        if prefix[0]:
            raise errors.BadRequestError("compressed messages are not accepted")
        if length > limit:
            raise BodyTooLargeError(length, limit)
        return await raw.recv_data(length)
    except AssertionError as error:  # raised by grpclib for a short read
        raise errors.BadRequestError("the message is cut short") from error
