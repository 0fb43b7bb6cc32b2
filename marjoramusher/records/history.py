"""History of the records: all retained versions of each record."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from ..core import errors
from . import document, schema

# At 12,000 changes a day this covers 8 hours. An entry takes about 0.5 KB of memory.
MAX_ENTRIES = 4096


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One version of a record.

    Parameters
    ----------
    schema : int
        Schema of the write.
    written_at : float
        Time of the command, in seconds since the Unix epoch on the proposer's clock.
    spec : struct or None
        Spec in the latest schema; ``None`` if this version is a deletion.
    """

    revision: int
    schema: int
    operator: str
    written_at: float
    spec: Any


class History:
    """Current records and their latest versions.

    The records at every revision from `oldest_revision` on can be read.

    Parameters
    ----------
    limit : int
        Maximum number of versions that are newer than `oldest_revision`. The entries
        of the latest revision stay even if they exceed it.
    """

    __slots__ = (
        "_count",
        "_entries",
        "_limit",
        "_log",
        "_oldest_revision",
        "_revision",
    )

    def __init__(self, limit: int = MAX_ENTRIES) -> None:
        self._limit = limit
        self._revision = 0
        self._oldest_revision = 0
        self._count = 0
        self._entries: dict[document.Key, list[Entry]] = {}
        # Revisions and keys of all entries newer than the oldest revision, in order.
        self._log: collections.deque[tuple[int, document.Key]] = collections.deque()

    @property
    def revision(self) -> int:
        """Return the latest revision."""
        return self._revision

    @property
    def oldest_revision(self) -> int:
        """Return the oldest revision whose records can be read."""
        return self._oldest_revision

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
            self._log.append((entry.revision, key))
        while len(self._log) > self._limit and self._log[0][0] < self._revision:
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
        """Return the records at a revision.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if the revision is not retained or not reached yet.
        """
        if not self._oldest_revision <= revision <= self._revision:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND,
                f"revision {revision} is not available; available are "
                f"{self._oldest_revision} to {self._revision}",
                details={
                    "oldest": str(self._oldest_revision),
                    "latest": str(self._revision),
                },
            )
        records = {}
        for key, entries in self._entries.items():
            for entry in reversed(entries):
                if entry.revision <= revision:
                    if entry.spec is not None:
                        records[key] = entry
                    break
        return records

    def changed_since(self, revision: int) -> list[tuple[document.Key, Entry]] | None:
        """Return the latest entries of the records written after a revision.

        Returns
        -------
        list or None
            ``None`` if the revision is not retained or not reached yet.
        """
        if not self._oldest_revision <= revision <= self._revision:
            return None
        keys = {}
        for entry_revision, key in reversed(self._log):
            if entry_revision <= revision:
                break
            keys[key] = None
        return [(key, self._entries[key][-1]) for key in keys]

    def dump(self) -> "HistorySnapshot":
        """Return the whole content."""
        return HistorySnapshot(
            self._revision,
            self._oldest_revision,
            [
                (kind.value, name, entries)
                for (kind, name), entries in self._entries.items()
            ],
        )

    def load(self, snapshot: "HistorySnapshot") -> None:
        """Replace the whole content.

        Raises
        ------
        msgspec.ValidationError
            If a spec does not fit the kind of its record.
        ValueError
            If a kind of record is unknown.
        """
        self._revision = snapshot.revision
        self._oldest_revision = snapshot.oldest_revision
        self._entries = {}
        log = []
        for kind_name, name, entries in snapshot.records:
            key = (schema.Kind(kind_name), name)
            spec_type = schema.spec_type(key[0], schema.LATEST) | None
            self._entries[key] = [
                msgspec.structs.replace(
                    entry, spec=msgspec.convert(entry.spec, spec_type)
                )
                for entry in entries
            ]
            log.extend(
                (e.revision, key)
                for e in entries
                if e.revision > snapshot.oldest_revision
            )
        self._count = sum(1 for _ in self.items())
        log.sort(key=lambda item: item[0])
        self._log = collections.deque(log)

    def _drop_oldest(self) -> None:
        # The entries of a revision are dropped together: a revision must either be
        # readable as a whole or not at all.
        self._oldest_revision = self._log[0][0]
        while self._log and self._log[0][0] == self._oldest_revision:
            _, key = self._log.popleft()
            entries = self._entries[key]
            # The entry in force at the oldest revision stays, since it is the record's
            # state until the next entry.
            while entries[0].revision < self._oldest_revision:
                del entries[0]
            if len(entries) == 1 and entries[0].spec is None:
                del self._entries[key]


class HistorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Content of a `History`, written to snapshots."""

    revision: int
    oldest_revision: int
    records: list[tuple[str, str, list[Entry]]]
