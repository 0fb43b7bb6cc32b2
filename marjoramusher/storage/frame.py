"""Format of the files: a header and checksummed frames.

A file starts with a magic number, the format version, a salt and a checksum. Each
frame holds a marker, the length of its body, a CRC32C and the body. The checksum
also covers the salt and the offset, so that a valid frame of another file or of
another place, or one inside a body, is never taken for a frame.
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

_HEADER = struct.Struct("<8sI8sI")
_FRAME = struct.Struct("<4sII")
_PLACE = struct.Struct("<8sQI")

HEADER_BYTES = _HEADER.size
FRAME_BYTES = _FRAME.size


def header(salt: bytes) -> bytes:
    """Return the header of a new file with an 8-byte salt."""
    start = _HEADER.pack(MAGIC, VERSION, salt, 0)[:-4]
    return start + struct.pack("<I", google_crc32c.value(start))


def read_header(path: str, data: bytes) -> bytes:
    """Check the header of a file and return its salt.

    Raises
    ------
    StoreCorruptError
        If the header is incomplete, damaged or of another format version.
    """
    if len(data) < HEADER_BYTES:
        raise error.StoreCorruptError(path, "the header is incomplete")
    magic, version, salt, checksum = _HEADER.unpack_from(data)
    if checksum != google_crc32c.value(data[: HEADER_BYTES - 4]) or magic != MAGIC:
        raise error.StoreCorruptError(path, "the header is damaged")
    if version != VERSION:
        raise error.StoreCorruptError(path, f"format version {version} is not known")
    return salt


def encode(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return the frame of a body that starts at `offset` of its file."""
    return prefix(salt, offset, body) + body


def prefix(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return what precedes the body in its frame.

    Raises
    ------
    OSError
        If the body is larger than what a reader accepts.
    """
    if len(body) > MAX_BODY_BYTES:
        raise OSError(errno.EFBIG, f"a body has at most {MAX_BODY_BYTES} bytes")
    return _FRAME.pack(MARKER, len(body), _checksum(salt, offset, body))


def scan(path: str, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Give the end offset and the body of each frame from the start of a file.

    The scan ends before the first frame that is not valid; the caller compares the
    last end offset with the length of the file.
    """
    salt = read_header(path, data)
    offset = HEADER_BYTES
    while (body := _body(salt, data, offset)) is not None:
        offset += FRAME_BYTES + len(body)
        yield offset, body


def has_frame_after(path: str, data: bytes, offset: int) -> bool:
    """Tell whether a valid frame starts anywhere after `offset`."""
    salt = read_header(path, data)
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        if _body(salt, data, position) is not None:
            return True
        position = data.find(MARKER, position + 1)
    return False


def single(path: str, data: bytes) -> bytes:
    """Return the body of a file that holds exactly one frame.

    Raises
    ------
    StoreCorruptError
        If it does not.
    """
    frames = list(scan(path, data))
    if len(frames) != 1 or frames[0][0] != len(data):
        raise error.StoreCorruptError(path, "the checksum does not match")
    return frames[0][1]


def _body(salt: bytes, data: bytes, offset: int) -> bytes | None:
    if offset + FRAME_BYTES > len(data):
        return None
    marker, length, checksum = _FRAME.unpack_from(data, offset)
    start = offset + FRAME_BYTES
    if marker != MARKER or length > min(MAX_BODY_BYTES, len(data) - start):
        return None
    body = data[start : start + length]
    return body if _checksum(salt, offset, body) == checksum else None


def _checksum(salt: bytes, offset: int, body: bytes) -> int:
    return google_crc32c.extend(
        google_crc32c.value(_PLACE.pack(salt, offset, len(body))), body
    )
