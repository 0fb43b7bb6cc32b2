"""Every retained version of every record."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from ..core import errors
from . import document, schema

# 12,000 changes a day fill this in 8 hours; an entry takes about half a kilobyte.
MAX_ENTRIES = 4096


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One version of a record.

    Parameters
    ----------
    schema : int
        Schema of the write.
    spec : struct or None
        Union of the schemas; ``None`` if this version is a deletion.
    """

    revision: int
    schema: int
    operator: str
    at: float
    spec: Any


class History:
    """Keep the current records and the latest `MAX_ENTRIES` versions.

    The state at each revision from `floor` on can be told.
    """

    __slots__ = ("_count", "_entries", "_floor", "_limit", "_order", "_revision")

    def __init__(self, limit: int = MAX_ENTRIES) -> None:
        self._limit = limit
        self._revision = 0
        self._floor = 0
        self._count = 0
        self._entries: dict[document.Key, list[Entry]] = {}
        # Revisions and keys of all entries that are newer than the floor.
        self._order: collections.deque[tuple[int, document.Key]] = collections.deque()

    @property
    def revision(self) -> int:
        """Return the latest revision."""
        return self._revision

    @property
    def floor(self) -> int:
        """Return the oldest revision whose state is known."""
        return self._floor

    @property
    def count(self) -> int:
        """Return the number of records that exist."""
        return self._count

    def append(self, entries: Iterable[tuple[document.Key, Entry]]) -> None:
        """Add the entries of one new revision."""
        for key, entry in entries:
            self._revision = entry.revision
            self._count += (entry.spec is not None) - (self.current(key) is not None)
            self._entries.setdefault(key, []).append(entry)
            self._order.append((entry.revision, key))
        while len(self._order) > self._limit and self._order[0][0] < self._revision:
            self._drop_oldest()

    def current(self, key: document.Key) -> Entry | None:
        """Return the latest entry of a record, ``None`` if it does not exist."""
        entries = self._entries.get(key)
        if not entries or entries[-1].spec is None:
            return None
        return entries[-1]

    def items(self) -> Iterator[tuple[document.Key, Entry]]:
        """Yield the records that exist."""
        for key, entries in self._entries.items():
            if entries[-1].spec is not None:
                yield key, entries[-1]

    def versions(self, key: document.Key) -> list[Entry]:
        """Return the retained entries of a record, oldest first."""
        return list(self._entries.get(key, ()))

    def at(self, revision: int) -> dict[document.Key, Entry]:
        """Return the records as they were at a revision.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if the revision is not known, or not any more.
        """
        if not self._floor <= revision <= self._revision:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND,
                f"revision {revision} is not retained; revisions {self._floor} to "
                f"{self._revision} are",
                details={"oldest": str(self._floor), "latest": str(self._revision)},
            )
        found = {}
        for key, entries in self._entries.items():
            for entry in reversed(entries):
                if entry.revision <= revision:
                    if entry.spec is not None:
                        found[key] = entry
                    break
        return found

    def changed_since(self, revision: int) -> list[tuple[document.Key, Entry]] | None:
        """Return the latest entries of records written after a revision.

        Returns
        -------
        list or None
            ``None`` if the revision is older than what is retained or not known.
        """
        if not self._floor <= revision <= self._revision:
            return None
        keys = {}
        for written, key in reversed(self._order):
            if written <= revision:
                break
            keys[key] = None
        return [(key, self._entries[key][-1]) for key in keys]

    def dump(self) -> "Dump":
        """Return the whole content."""
        return Dump(
            self._revision,
            self._floor,
            [
                (kind.value, name, entries)
                for (kind, name), entries in self._entries.items()
            ],
        )

    def load(self, dump: "Dump") -> None:
        """Replace the whole content.

        Raises
        ------
        msgspec.ValidationError
            If an entry does not fit its kind.
        """
        self._revision = dump.revision
        self._floor = dump.floor
        self._entries = {}
        order = []
        for kind_name, name, entries in dump.records:
            key = (schema.Kind(kind_name), name)
            kind_type = schema.spec_type(key[0], schema.LATEST) | None
            self._entries[key] = [
                msgspec.structs.replace(
                    entry, spec=msgspec.convert(entry.spec, kind_type)
                )
                for entry in entries
            ]
            order.extend((e.revision, key) for e in entries if e.revision > dump.floor)
        self._count = sum(1 for _ in self.items())
        order.sort(key=lambda item: item[0])
        self._order = collections.deque(order)

    def _drop_oldest(self) -> None:
        # All entries of a revision go together, so that the floor divides them.
        self._floor = self._order[0][0]
        while self._order and self._order[0][0] == self._floor:
            _, key = self._order.popleft()
            entries = self._entries[key]
            # The entry at the floor stays: it is the state until the next one.
            while entries[0].revision < self._floor:
                del entries[0]
            if len(entries) == 1 and entries[0].spec is None:
                del self._entries[key]


class Dump(msgspec.Struct, frozen=True, array_like=True):
    """Content of a `History` for snapshots."""

    revision: int
    floor: int
    records: list[tuple[str, str, list[Entry]]]
