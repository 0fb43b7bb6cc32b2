"""The replicated log in memory, with a compacted prefix."""

import bisect
from collections.abc import Iterable, Sequence

from . import message

ENTRY_OVERHEAD_BYTES = 48  # Size of an encoded entry without its payload.


class Log:
    """Entries that follow a compacted prefix.

    Parameters
    ----------
    prefix_index, prefix_term : int
        Index and term of the last compacted entry, 0 if there is none.
    entries : iterable of Entry
        Entries from `prefix_index` + 1 on.
    """

    __slots__ = ("_entries", "_prefix_index", "_prefix_term")

    def __init__(
        self,
        prefix_index: int = 0,
        prefix_term: int = 0,
        entries: Iterable[message.Entry] = (),
    ) -> None:
        self._prefix_index = prefix_index
        self._prefix_term = prefix_term
        self._entries: list[message.Entry] = []
        self.append(entries)

    @property
    def prefix_index(self) -> int:
        """Return the index of the last compacted entry."""
        return self._prefix_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._prefix_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._prefix_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is compacted or missing."""
        position = index - self._prefix_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return self._prefix_term if position == -1 else None

    def entries(self, first: int, last: int) -> tuple[message.Entry, ...]:
        """Return the entries from `first` to `last`, inclusive."""
        base = self._prefix_index + 1
        return tuple(self._entries[max(first - base, 0) : max(last + 1 - base, 0)])

    def batch(self, first: int, limit_bytes: int) -> tuple[message.Entry, ...]:
        """Return entries from `first` on, at least one, of at most `limit_bytes`."""
        first_position = first - self._prefix_index - 1
        end_position = first_position
        size_bytes = 0
        while end_position < len(self._entries):
            size_bytes += (
                len(self._entries[end_position].payload) + ENTRY_OVERHEAD_BYTES
            )
            if size_bytes > limit_bytes and end_position > first_position:
                break
            end_position += 1
        return tuple(self._entries[first_position:end_position])

    def conflict_hint(self, index: int, floor: int) -> int:
        """Return the index for the leader to probe after a mismatch at `index`.

        All entries of the conflicting term are skipped, so that the number of probes
        is bounded by the number of terms. The result is never below `floor`.
        """
        term = self.term_at(index)
        if index > self.last_index or term is None:
            return self.last_index
        first_position = bisect.bisect_left(
            self._entries, term, key=lambda entry: entry.term
        )
        return max(self._prefix_index + first_position, floor)

    def append(self, entries: Iterable[message.Entry]) -> None:
        """Append entries, whose indexes must follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f"entry {entry.index} does not follow last index {self.last_index}"
                )
            self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self._prefix_index - 1 :]

    def compact(self, index: int, tail_bytes: int) -> None:
        """Drop the entries up to `index` except for the last `tail_bytes`."""
        position = index - self._prefix_index
        size_bytes = 0
        while position > 0:
            entry = self._entries[position - 1]
            size_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if size_bytes > tail_bytes:
                break
            position -= 1
        if position <= 0:
            return
        self._prefix_term = self._entries[position - 1].term
        self._prefix_index += position
        del self._entries[:position]

    def reset(self, index: int, term: int) -> None:
        """Replace the log by a compacted prefix."""
        self._entries.clear()
        self._prefix_index = index
        self._prefix_term = term


def config_entries(
    entries: Sequence[message.Entry],
) -> list[message.Entry]:
    """Return the entries that hold a configuration."""
    return [entry for entry in entries if entry.kind is message.EntryKind.CONFIG]
