"""Length-prefixed framing for byte streams that don't preserve chunk boundaries."""

import struct
from collections.abc import AsyncIterator

from ..core import errors

_LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024


async def encode(payloads: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield each payload as a frame with a length prefix."""
    async for payload in payloads:
        yield _LENGTH_PREFIX.pack(len(payload)) + payload


async def decode(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the payloads of a stream that `encode` produced.

    Raises
    ------
    MarjoramusherError
        If the stream ends within a frame or a frame exceeds `MAX_FRAME_BYTES`.
    """
    buffer = bytearray()
    async for chunk in chunks:
        buffer += chunk
        while len(buffer) >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer)
            if length > MAX_FRAME_BYTES:
                raise _malformed_stream()
            end = _LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            payload = bytes(buffer[_LENGTH_PREFIX.size : end])
            del buffer[:end]
            yield payload
    if buffer:
        raise _malformed_stream()


def _malformed_stream() -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.PEER_UNREACHABLE,
        "malformed stream from a peer",
        errors.Outcome.UNKNOWN,
    )
