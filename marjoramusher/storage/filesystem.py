"""File operations of the store, behind a protocol so that tests inject faults."""

import fcntl
import os
import shutil
from typing import Protocol

from . import error

LOCK = "lock"


class File(Protocol):
    """A file that is open for appending."""

    def write(self, data: bytes | memoryview) -> int:
        """Append bytes and return how many were taken."""

    def sync(self) -> None:
        """Return once all appended bytes are durable."""

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""

    def close(self) -> None:
        """Release the file."""


class FileSystem(Protocol):
    """Operations on files below one data folder; names are relative to it."""

    def lock(self) -> None:
        """Keep other processes from using the data folder.

        Raises
        ------
        StoreFailedError
            If another process uses it.
        """

    def unlock(self) -> None:
        """Let other processes use the data folder."""

    def make_folder(self, folder: str) -> None:
        """Make a folder and its parents if missing, durably."""

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder, none if it is missing."""

    def read(self, path: str) -> bytes:
        """Return all bytes of a file."""

    def open(self, path: str) -> File:
        """Open a file for appending and make it if missing."""

    def rename(self, source: str, target: str) -> None:
        """Put a file in the place of another, atomically."""

    def remove(self, path: str) -> None:
        """Remove a file or a folder with all that it holds."""

    def sync_folder(self, folder: str) -> None:
        """Return once creations, renames and removals in a folder are durable."""


class DiskFile:
    """A file of the operating system."""

    __slots__ = ("_descriptor",)

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )

    def write(self, data: bytes | memoryview) -> int:
        """Append bytes and return how many were taken."""
        return os.write(self._descriptor, data)

    def sync(self) -> None:
        """Return once all appended bytes are durable."""
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Cut the file to `size` bytes."""
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        """Release the file."""
        os.close(self._descriptor)


class DiskFileSystem:
    """Files of the operating system below a data folder.

    Parameters
    ----------
    root : str
        The data folder.
    """

    __slots__ = ("_lock", "_root")

    def __init__(self, root: str) -> None:
        self._root = root
        self._lock: int | None = None

    def lock(self) -> None:
        """Keep other processes from using the data folder."""
        try:
            self.make_folder("")
            self._lock = os.open(
                self._path(LOCK), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failure:
            self.unlock()
            raise error.StoreFailedError(
                f"the data folder can't be locked: {failure}"
            ) from failure

    def unlock(self) -> None:
        """Let other processes use the data folder."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def make_folder(self, folder: str) -> None:
        """Make a folder and its parents if missing, durably."""
        path = self._path(folder)
        missing = []
        while not os.path.isdir(path):
            missing.append(path)
            path = os.path.dirname(os.path.abspath(path))
        for new in reversed(missing):
            os.mkdir(new, 0o700)
            _sync_folder(os.path.dirname(os.path.abspath(new)))

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder, none if it is missing."""
        try:
            return sorted(os.listdir(self._path(folder)))
        except FileNotFoundError:
            return []

    def read(self, path: str) -> bytes:
        """Return all bytes of a file."""
        with open(self._path(path), "rb") as file:
            return file.read()

    def open(self, path: str) -> File:
        """Open a file for appending and make it if missing."""
        return DiskFile(self._path(path))

    def rename(self, source: str, target: str) -> None:
        """Put a file in the place of another, atomically."""
        os.replace(self._path(source), self._path(target))

    def remove(self, path: str) -> None:
        """Remove a file or a folder with all that it holds."""
        path = self._path(path)
        if os.path.isdir(path):
            shutil.rmtree(path)
        else:
            os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Return once creations, renames and removals in a folder are durable."""
        _sync_folder(self._path(folder))

    def _path(self, path: str) -> str:
        return os.path.join(self._root, path)


def _sync_folder(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(file: File, data: bytes | memoryview) -> None:
    """Append all bytes, going on after a short write."""
    view = memoryview(data)
    while view:
        taken = file.write(view)
        if taken <= 0:
            raise OSError("the file takes no more bytes")
        view = view[taken:]
