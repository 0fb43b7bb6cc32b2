"""Configuration revision that is in force on this instance."""

import msgspec

from . import document, error, filesystem

PATH = "revision"


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of the revision of the operators' records."""

    number: int


class RevisionFile:
    """Highest revision in force, which is stored before it takes effect.

    Parameters
    ----------
    files : FileSystem or None
        ``None`` for a diskless instance, which loses the revision on exit.
    """

    __slots__ = ("_files", "_number")

    def __init__(self, files: filesystem.FileSystem | None) -> None:
        self._files = files
        stored = document.read(files, PATH, Revision) if files else None
        self._number = stored.number if stored else 0

    @property
    def number(self) -> int:
        """Return the highest revision that was stored."""
        return self._number

    def advance(self, number: int) -> bool:
        """Store a revision and return true if it is higher than the stored one.

        Raises
        ------
        StoreFailedError
            If the revision can't be stored; it must not be put in force then.
        """
        if number <= self._number:
            return False
        if self._files is not None:
            document.write(self._files, PATH, Revision(number))
        self._number = number
        return True


def open_or_reset(files: filesystem.FileSystem) -> RevisionFile:
    """Open the revision file, and remove it first if it is damaged."""
    try:
        return RevisionFile(files)
    except error.StoreCorruptError:
        document.remove(files, PATH)
        return RevisionFile(files)
