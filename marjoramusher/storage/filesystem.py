"""File operations of the store.

They are a protocol, so that tests can inject faults.
"""

import fcntl
import os
import shutil
from typing import Protocol

from . import error

LOCK_FILE = "lock"


class File(Protocol):
    """File that is open for appending."""

    def write(self, data: bytes | memoryview) -> int:
        """Append bytes and return how many were written."""

    def sync(self) -> None:
        """Block until all appended bytes are durable."""

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""

    def close(self) -> None:
        """Close the file."""


class FileSystem(Protocol):
    """Operations on the files of a data folder; all paths are relative to it."""

    def lock(self) -> None:
        """Lock the data folder against other processes.

        Raises
        ------
        StoreFailedError
            If another process holds the lock.
        """

    def unlock(self) -> None:
        """Release the lock of the data folder."""

    def make_folder(self, folder: str) -> None:
        """Create a folder and its missing parents durably."""

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; none if the folder does not exist."""

    def read(self, path: str) -> bytes:
        """Return the contents of a file."""

    def open(self, path: str) -> File:
        """Open a file for appending, and create it if it does not exist."""

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing an existing target."""

    def remove(self, path: str) -> None:
        """Remove a file, or a folder with its contents."""

    def sync_folder(self, folder: str) -> None:
        """Block until creations, renames and removals in a folder are durable."""


class DiskFile:
    """File on the disk."""

    __slots__ = ("_descriptor",)

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )

    def write(self, data: bytes | memoryview) -> int:
        """Append bytes and return how many were written."""
        return os.write(self._descriptor, data)

    def sync(self) -> None:
        """Block until all appended bytes are durable."""
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class DiskFileSystem:
    """Data folder on the disk.

    Parameters
    ----------
    root : str
        Path of the data folder.
    """

    __slots__ = ("_lock_descriptor", "_root")

    def __init__(self, root: str) -> None:
        self._root = root
        self._lock_descriptor: int | None = None

    def lock(self) -> None:
        """Lock the data folder against other processes."""
        try:
            self.make_folder("")
            self._lock_descriptor = os.open(
                self._path(LOCK_FILE), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as failure:
            self.unlock()
            raise error.StoreFailedError(
                f"cannot lock the data folder: {failure}"
            ) from failure

    def unlock(self) -> None:
        """Release the lock of the data folder."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def make_folder(self, folder: str) -> None:
        """Create a folder and its missing parents durably."""
        path = self._path(folder)
        missing = []
        while not os.path.isdir(path):
            missing.append(path)
            path = os.path.dirname(os.path.abspath(path))
        for parent in reversed(missing):
            os.mkdir(parent, 0o700)
            _sync_folder(os.path.dirname(os.path.abspath(parent)))

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; none if the folder does not exist."""
        try:
            return sorted(os.listdir(self._path(folder)))
        except FileNotFoundError:
            return []

    def read(self, path: str) -> bytes:
        """Return the contents of a file."""
        with open(self._path(path), "rb") as file:
            return file.read()

    def open(self, path: str) -> File:
        """Open a file for appending, and create it if it does not exist."""
        return DiskFile(self._path(path))

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing an existing target."""
        os.replace(self._path(source), self._path(target))

    def remove(self, path: str) -> None:
        """Remove a file, or a folder with its contents."""
        path = self._path(path)
        if os.path.isdir(path):
            shutil.rmtree(path)
        else:
            os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Block until creations, renames and removals in a folder are durable."""
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
    """Append all bytes, repeating short writes."""
    remaining = memoryview(data)
    while remaining:
        written = file.write(remaining)
        if written <= 0:
            raise OSError("the write made no progress")
        remaining = remaining[written:]
