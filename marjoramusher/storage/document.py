"""Small checked files that are replaced as a whole."""

import os
import posixpath
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from ..core import codec, errors
from . import error, filesystem, frame

TEMPORARY = ".tmp"
PIECE_BYTES = 512 * 1024  # written and synced in a few milliseconds

T = TypeVar("T")


def write(files: filesystem.FileSystem, path: str, value: object) -> None:
    """Replace a file durably: temporary file, sync, rename, sync of the folder.

    Raises
    ------
    StoreFailedError
        If a file operation fails; the old file is then still in place, or the new.
    """
    for _ in write_in_steps(files, path, value):
        pass


def write_in_steps(
    files: filesystem.FileSystem, path: str, value: object
) -> Iterator[None]:
    """Do what `write` does, with a pause for other work after each piece.

    A write that is not finished leaves the old file in place.

    Raises
    ------
    StoreFailedError
        If a file operation fails; the old file is then still in place, or the new.
    """
    folder = posixpath.dirname(path)
    temporary = path + TEMPORARY
    salt = os.urandom(8)
    body = msgspec.msgpack.encode(value)
    try:
        start = frame.header(salt) + frame.prefix(salt, frame.HEADER_BYTES, body)
        files.make_folder(folder)
        file = files.open(temporary)
        try:
            file.truncate(0)
            filesystem.write_all(file, start)
            view = memoryview(body)
            while view:
                filesystem.write_all(file, view[:PIECE_BYTES])
                file.sync()
                view = view[PIECE_BYTES:]
                if view:
                    yield
        finally:
            file.close()
        files.rename(temporary, path)
        files.sync_folder(folder)
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure


def read(files: filesystem.FileSystem, path: str, kind: type[T]) -> T | None:
    """Return the value of a file, or ``None`` if there is no such file.

    Raises
    ------
    StoreCorruptError
        If the file holds anything else.
    """
    try:
        data = files.read(path)
    except FileNotFoundError:
        return None
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure
    try:
        return codec.unpack(frame.single(path, data), kind)
    except errors.BadRequestError as failure:
        raise error.StoreCorruptError(path, failure.message) from failure


def remove(files: filesystem.FileSystem, path: str) -> None:
    """Remove a file durably, if it exists."""
    folder = posixpath.dirname(path)
    try:
        if posixpath.basename(path) in files.list_names(folder):
            files.remove(path)
            files.sync_folder(folder)
    except OSError as failure:
        raise error.StoreFailedError(f"{path}: {failure}") from failure
