"""Checksummed files that hold one value and are replaced atomically."""

import os
import posixpath
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from ..core import codec, errors
from . import error, filesystem, frame

TEMPORARY_SUFFIX = ".tmp"
CHUNK_BYTES = 512 * 1024  # is written and synced within a few milliseconds

T = TypeVar("T")


def write(files: filesystem.FileSystem, path: str, value: object) -> None:
    """Replace a file atomically and durably.

    Writes and syncs a temporary file, renames it and syncs the folder.

    Raises
    ------
    StoreFailedError
        If a file operation fails; the file then holds the old or the new value.
    """
    for _ in write_in_steps(files, path, value):
        pass


def write_in_steps(
    files: filesystem.FileSystem, path: str, value: object
) -> Iterator[None]:
    """Replace a file like `write`, yielding to other work after each chunk.

    If the iterator is closed early, the file keeps the old value.

    Raises
    ------
    StoreFailedError
        If a file operation fails; the file then holds the old or the new value.
    """
    folder = posixpath.dirname(path)
    temporary = path + TEMPORARY_SUFFIX
    salt = os.urandom(8)
    body = msgspec.msgpack.encode(value)
    try:
        prefix = frame.encode_header(salt) + frame.encode_prefix(
            salt, frame.HEADER_BYTES, body
        )
        files.make_folder(folder)
        file = files.open(temporary)
        try:
            file.truncate(0)
            filesystem.write_all(file, prefix)
            remaining = memoryview(body)
            while remaining:
                filesystem.write_all(file, remaining[:CHUNK_BYTES])
                file.sync()
                remaining = remaining[CHUNK_BYTES:]
                if remaining:
                    yield
        finally:
            file.close()
        files.rename(temporary, path)
        files.sync_folder(folder)
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure


def read(files: filesystem.FileSystem, path: str, value_type: type[T]) -> T | None:
    """Return the value in a file, or ``None`` if the file does not exist.

    Raises
    ------
    StoreCorruptError
        If the file is damaged or holds a value of another type.
    StoreFailedError
        If the file can't be read.
    """
    try:
        data = files.read(path)
    except FileNotFoundError:
        return None
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure
    try:
        return codec.unpack(frame.read_single(path, data), value_type)
    except errors.BadRequestError as failure:
        raise error.StoreCorruptError(path, failure.message) from failure


def remove(files: filesystem.FileSystem, path: str) -> None:
    """Remove a file durably if it exists.

    Raises
    ------
    StoreFailedError
        If a file operation fails.
    """
    folder = posixpath.dirname(path)
    try:
        if posixpath.basename(path) in files.list_names(folder):
            files.remove(path)
            files.sync_folder(folder)
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure
