"""Keep the bounds of frames on a stream that may split and join its chunks."""

import struct
from collections.abc import AsyncIterator

from ..core import errors

_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024


async def join(frames: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield each frame with its length in front."""
    async for frame in frames:
        yield _LENGTH.pack(len(frame)) + frame


async def split(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the frames of a stream that `join` gave.

    Raises
    ------
    MarjoramusherError
        If the stream ends within a frame or a frame is too long.
    """
    buffer = bytearray()
    async for chunk in chunks:
        buffer += chunk
        while len(buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer)
            if length > MAX_FRAME_BYTES:
                raise _malformed()
            end = _LENGTH.size + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[_LENGTH.size : end])
            del buffer[:end]
            yield frame
    if buffer:
        raise _malformed()


def _malformed() -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.PEER_UNREACHABLE,
        "the stream of a peer was malformed",
        errors.Outcome.UNKNOWN,
    )
