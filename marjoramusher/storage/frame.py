"""File format: a header followed by checksummed frames.

The header consists of a magic number, the format version, a salt and a checksum. Each
frame consists of a marker, the length of its body, a CRC32C and the body. The checksum
also covers the salt and the offset. A frame that was copied from another file or
offset, or is part of a body, therefore fails the check.
"""

import errno
import struct
from collections.abc import Iterator

import google_crc32c

from . import error

MAGIC = b"MJMSTORE"
VERSION = 1
MARKER = b"\xd7\x4d\x4a\x0a"
MAX_BODY_BYTES = 256 * 1024 * 1024

_HEADER_STRUCT = struct.Struct("<8sI8sI")
_PREFIX_STRUCT = struct.Struct("<4sII")
_POSITION_STRUCT = struct.Struct("<8sQI")

HEADER_BYTES = _HEADER_STRUCT.size
PREFIX_BYTES = _PREFIX_STRUCT.size


def encode_header(salt: bytes) -> bytes:
    """Encode the header of a file.

    Parameters
    ----------
    salt : bytes
        8 random bytes.
    """
    fields = _HEADER_STRUCT.pack(MAGIC, VERSION, salt, 0)[:-4]
    return fields + struct.pack("<I", google_crc32c.value(fields))


def read_header(path: str, data: bytes) -> bytes:
    """Check the header of a file and return its salt.

    Raises
    ------
    StoreCorruptError
        If the header is incomplete, damaged or of another format version.
    """
    if len(data) < HEADER_BYTES:
        raise error.StoreCorruptError(path, "the header is incomplete")
    magic, version, salt, checksum = _HEADER_STRUCT.unpack_from(data)
    if checksum != google_crc32c.value(data[: HEADER_BYTES - 4]) or magic != MAGIC:
        raise error.StoreCorruptError(path, "the header is damaged")
    if version != VERSION:
        raise error.StoreCorruptError(
            path, f"format version {version} is not supported"
        )
    return salt


def encode(salt: bytes, offset: int, body: bytes) -> bytes:
    """Encode the frame of a body, to be written at `offset` of its file."""
    return encode_prefix(salt, offset, body) + body


def encode_prefix(salt: bytes, offset: int, body: bytes) -> bytes:
    """Encode the part of a frame that precedes its body.

    Raises
    ------
    OSError
        If the body exceeds `MAX_BODY_BYTES`, the limit of a reader.
    """
    if len(body) > MAX_BODY_BYTES:
        raise OSError(errno.EFBIG, f"the body exceeds {MAX_BODY_BYTES} bytes")
    return _PREFIX_STRUCT.pack(MARKER, len(body), _checksum(salt, offset, body))


def scan(path: str, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the body of each frame of a file.

    The scan stops at the first invalid frame. The caller detects this by comparing
    the last end offset with the length of the file.

    Raises
    ------
    StoreCorruptError
        If the header is invalid.
    """
    salt = read_header(path, data)
    offset = HEADER_BYTES
    while (body := _read_body(salt, data, offset)) is not None:
        offset += PREFIX_BYTES + len(body)
        yield offset, body


def has_frame_after(path: str, data: bytes, offset: int) -> bool:
    """Return whether a valid frame starts anywhere after `offset`."""
    salt = read_header(path, data)
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        if _read_body(salt, data, position) is not None:
            return True
        position = data.find(MARKER, position + 1)
    return False


def read_single(path: str, data: bytes) -> bytes:
    """Return the body of a file that holds exactly one frame.

    Raises
    ------
    StoreCorruptError
        If the file does not hold exactly one valid frame.
    """
    frames = list(scan(path, data))
    if len(frames) != 1 or frames[0][0] != len(data):
        raise error.StoreCorruptError(path, "it does not hold exactly one valid frame")
    return frames[0][1]


def _read_body(salt: bytes, data: bytes, offset: int) -> bytes | None:
    if offset + PREFIX_BYTES > len(data):
        return None
    marker, length, checksum = _PREFIX_STRUCT.unpack_from(data, offset)
    start = offset + PREFIX_BYTES
    if marker != MARKER or length > min(MAX_BODY_BYTES, len(data) - start):
        return None
    body = data[start : start + length]
    return body if _checksum(salt, offset, body) == checksum else None


def _checksum(salt: bytes, offset: int, body: bytes) -> int:
    return google_crc32c.extend(
        google_crc32c.value(_POSITION_STRUCT.pack(salt, offset, len(body))), body
    )
