"""Files in memory with injected faults: the fake at the `FileSystem` interface."""

import errno
import posixpath


class MemoryFileSystem:
    """Keep what was written apart from what was synced.

    Parameters
    ----------
    capacity_bytes : int or None
        Bytes that fit; a write beyond them is short and the next fails with ENOSPC.
    """

    __slots__ = ("_durable", "_failing", "_folders", "_names", "capacity_bytes")

    def __init__(self, capacity_bytes: int | None = None) -> None:
        self.capacity_bytes = capacity_bytes
        self._names: dict[str, _Content] = {}
        self._durable: dict[str, _Content] = {}
        self._folders: set[str] = {""}
        self._failing: dict[str, int] = {}

    def inject_fault(self, operation: str, number: int = errno.EIO) -> None:
        """Let an operation (``write``, ``sync``, ``rename``, ...) fail from now on."""
        self._failing[operation] = number

    def clear_faults(self) -> None:
        """Let all operations succeed again."""
        self._failing.clear()
        self.capacity_bytes = None

    def lose_unsynced(self, keep_bytes: int = 0) -> None:
        """Go back to what was synced, as after a loss of power.

        Parameters
        ----------
        keep_bytes : int
            Bytes after the synced ones that have reached the disk of each file.
        """
        self._names = dict(self._durable)
        for content in self._names.values():
            del content.data[content.synced + keep_bytes :]

    def flip_bit(self, path: str, offset: int, bit: int = 0) -> None:
        """Flip one bit of a file."""
        self._names[path].data[offset] ^= 1 << bit

    def truncate_file(self, path: str, size: int) -> None:
        """Shorten a file."""
        del self._names[path].data[size:]

    def lock(self) -> None:
        """Do nothing."""

    def unlock(self) -> None:
        """Do nothing."""

    def make_folder(self, folder: str) -> None:
        """Make a folder."""
        self.check("make_folder")
        while folder not in self._folders:
            self._folders.add(folder)
            folder = posixpath.dirname(folder)

    def list_names(self, folder: str) -> list[str]:
        """Return the names in a folder."""
        prefix = folder + "/" if folder else ""
        paths = [*self._names, *self._folders]
        found = {p[len(prefix) :].split("/")[0] for p in paths if p.startswith(prefix)}
        return sorted(found - {""})

    def read(self, path: str) -> bytes:
        """Return all bytes of a file."""
        self.check("read")
        if path not in self._names:
            raise FileNotFoundError(path)
        return bytes(self._names[path].data)

    def open(self, path: str) -> "MemoryFile":
        """Open a file and make it if missing."""
        self.check("open")
        if posixpath.dirname(path) not in self._folders:
            raise FileNotFoundError(path)
        return MemoryFile(self, self._names.setdefault(path, _Content()))

    def rename(self, source: str, target: str) -> None:
        """Put a file in the place of another."""
        self.check("rename")
        self._names[target] = self._names.pop(source)

    def remove(self, path: str) -> None:
        """Remove a file or folder."""
        self.check("remove")
        for name in [n for n in self._names if f"{n}/".startswith(path + "/")]:
            del self._names[name]
        self._folders = {f for f in self._folders if not f"{f}/".startswith(path + "/")}

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder durable."""
        self.check("sync_folder")
        prefix = folder + "/" if folder else ""
        kept = {p: c for p, c in self._durable.items() if not p.startswith(prefix)}
        self._durable = kept | {
            p: c for p, c in self._names.items() if p.startswith(prefix)
        }

    def check(self, operation: str) -> None:
        """Raise the injected fault of an operation."""
        if operation in self._failing:
            raise OSError(self._failing[operation], "injected fault")

    def room(self) -> int | None:
        """Return the bytes that still fit."""
        if self.capacity_bytes is None:
            return None
        return self.capacity_bytes - sum(len(c.data) for c in self._names.values())


class _Content:
    __slots__ = ("data", "synced")

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = 0


class MemoryFile:
    """An open file of a `MemoryFileSystem`."""

    __slots__ = ("_content", "_files")

    def __init__(self, files: MemoryFileSystem, content: _Content) -> None:
        self._files = files
        self._content = content

    def write(self, data: bytes | memoryview) -> int:
        """Append what fits."""
        self._files.check("write")
        room = self._files.room()
        if room is not None:
            if room <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            data = data[:room]
        self._content.data += data
        return len(data)

    def sync(self) -> None:
        """Make the written bytes durable."""
        self._files.check("sync")
        self._content.synced = len(self._content.data)

    def truncate(self, size: int) -> None:
        """Cut the file."""
        self._files.check("truncate")
        del self._content.data[size:]
        self._content.synced = min(self._content.synced, size)

    def close(self) -> None:
        """Do nothing."""
