"""In-memory implementation of `FileSystem` with fault injection, for tests."""

import errno
import posixpath


class MemoryFileSystem:
    """File system that distinguishes written data from synced data.

    Parameters
    ----------
    capacity_bytes : int or None
        Total size of all files; a write beyond it is short, and the next one fails
        with ENOSPC.
    """

    __slots__ = ("_current", "_durable", "_faults", "_folders", "capacity_bytes")

    def __init__(self, capacity_bytes: int | None = None) -> None:
        self.capacity_bytes = capacity_bytes
        self._current: dict[str, _Content] = {}
        self._durable: dict[str, _Content] = {}
        self._folders: set[str] = {""}
        self._faults: dict[str, int] = {}

    def inject_fault(self, operation: str, number: int = errno.EIO) -> None:
        """Let an operation (``write``, ``sync``, ``rename``, ...) fail from now on.

        Parameters
        ----------
        number : int
            Error number of the `OSError`.
        """
        self._faults[operation] = number

    def clear_faults(self) -> None:
        """Remove the injected faults and the capacity limit."""
        self._faults.clear()
        self.capacity_bytes = None

    def lose_unsynced(self, keep_bytes: int = 0) -> None:
        """Discard all changes that are not durable, as a power loss does.

        Parameters
        ----------
        keep_bytes : int
            Number of unsynced bytes of each file that survive.
        """
        self._current = dict(self._durable)
        for content in self._current.values():
            del content.data[content.synced_bytes + keep_bytes :]

    def flip_bit(self, path: str, offset: int, bit: int = 0) -> None:
        """Flip one bit of a file."""
        self._current[path].data[offset] ^= 1 << bit

    def truncate_file(self, path: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        del self._current[path].data[size:]

    def lock(self) -> None:
        """Do nothing."""

    def unlock(self) -> None:
        """Do nothing."""

    def make_folder(self, folder: str) -> None:
        """Create a folder and its missing parents."""
        self.raise_fault("make_folder")
        while folder not in self._folders:
            self._folders.add(folder)
            folder = posixpath.dirname(folder)

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder."""
        prefix = folder + "/" if folder else ""
        paths = [*self._current, *self._folders]
        names = {p[len(prefix) :].split("/")[0] for p in paths if p.startswith(prefix)}
        return sorted(names - {""})

    def read(self, path: str) -> bytes:
        """Return the contents of a file."""
        self.raise_fault("read")
        if path not in self._current:
            raise FileNotFoundError(path)
        return bytes(self._current[path].data)

    def open(self, path: str) -> "MemoryFile":
        """Open a file, and create it if it does not exist."""
        self.raise_fault("open")
        if posixpath.dirname(path) not in self._folders:
            raise FileNotFoundError(path)
        return MemoryFile(self, self._current.setdefault(path, _Content()))

    def rename(self, source: str, target: str) -> None:
        """Rename a file, replacing an existing target."""
        self.raise_fault("rename")
        self._current[target] = self._current.pop(source)

    def remove(self, path: str) -> None:
        """Remove a file, or a folder with its contents."""
        self.raise_fault("remove")
        for name in [n for n in self._current if f"{n}/".startswith(path + "/")]:
            del self._current[name]
        self._folders = {f for f in self._folders if not f"{f}/".startswith(path + "/")}

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and removals in a folder durable."""
        self.raise_fault("sync_folder")
        prefix = folder + "/" if folder else ""
        others = {p: c for p, c in self._durable.items() if not p.startswith(prefix)}
        self._durable = others | {
            p: c for p, c in self._current.items() if p.startswith(prefix)
        }

    def raise_fault(self, operation: str) -> None:
        """Raise the fault that is injected for an operation, if any."""
        if operation in self._faults:
            raise OSError(self._faults[operation], "injected fault")

    def free_bytes(self) -> int | None:
        """Return the remaining capacity, or ``None`` if it is unlimited."""
        if self.capacity_bytes is None:
            return None
        return self.capacity_bytes - sum(len(c.data) for c in self._current.values())


class _Content:
    __slots__ = ("data", "synced_bytes")

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced_bytes = 0


class MemoryFile:
    """Open file of a `MemoryFileSystem`."""

    __slots__ = ("_content", "_files")

    def __init__(self, files: MemoryFileSystem, content: _Content) -> None:
        self._files = files
        self._content = content

    def write(self, data: bytes | memoryview) -> int:
        """Append the bytes that fit and return their number."""
        self._files.raise_fault("write")
        free_bytes = self._files.free_bytes()
        if free_bytes is not None:
            if free_bytes <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            data = data[:free_bytes]
        self._content.data += data
        return len(data)

    def sync(self) -> None:
        """Make the written bytes durable."""
        self._files.raise_fault("sync")
        self._content.synced_bytes = len(self._content.data)

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""
        self._files.raise_fault("truncate")
        del self._content.data[size:]
        self._content.synced_bytes = min(self._content.synced_bytes, size)

    def close(self) -> None:
        """Do nothing."""
