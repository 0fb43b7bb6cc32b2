"""The configuration revision that this instance has put in force."""

import msgspec

from . import document, error, filesystem

PATH = "revision"


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """Revision of the operators' records."""

    number: int


class RevisionFile:
    """Keep the revision in force, stored before it takes effect.

    Parameters
    ----------
    files : FileSystem or None
        ``None`` for a diskless instance, which forgets it when the process ends.
    """

    __slots__ = ("_files", "_number")

    def __init__(self, files: filesystem.FileSystem | None) -> None:
        self._files = files
        stored = document.read(files, PATH, Revision) if files else None
        self._number = stored.number if stored else 0

    @property
    def number(self) -> int:
        """Return the highest revision that was ever stored."""
        return self._number

    def advance(self, number: int) -> bool:
        """Store a higher revision; return false for one that is not higher.

        Raises
        ------
        StoreFailedError
            If it can't be stored; the revision must then not be put in force.
        """
        if number <= self._number:
            return False
        if self._files is not None:
            document.write(self._files, PATH, Revision(number))
        self._number = number
        return True


def open_or_reset(files: filesystem.FileSystem) -> RevisionFile:
    """Return the stored revision after damage; a damaged file counts as none."""
    try:
        return RevisionFile(files)
    except error.StoreCorruptError:
        document.remove(files, PATH)
        return RevisionFile(files)
