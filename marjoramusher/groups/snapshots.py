"""When a group's snapshot is due, and writing it piece by piece."""

import asyncio
from collections.abc import Callable, Iterator

from ..consensus import message
from ..storage import error as store_error
from ..storage import store

SNAPSHOT_SHARE = 0.25  # bounds the bytes written to four times those of the entries
SNAPSHOT_PAUSE_S = 0.01
ENTRY_BYTES = 64  # of an entry besides its payload


class Snapshots:
    """Snapshots of one group at this instance.

    Parameters
    ----------
    most_entries, most_bytes : int
        Applied entries and bytes after which a snapshot is due.
    on_written : callable
        ``on_written(index, data)`` is called once a snapshot has replaced the log.
    on_failed : callable
        Called with the failure of the store.
    """

    def __init__(
        self,
        most_entries: int,
        most_bytes: int,
        on_written: Callable[[int, bytes], None],
        on_failed: Callable[[store_error.StoreFailedError], None],
    ) -> None:
        self._most_entries = most_entries
        self._most_bytes = most_bytes
        self._on_written = on_written
        self._on_failed = on_failed
        self._entries_since = 0
        self._bytes_since = 0
        self._last_bytes = 0
        self._writing: Iterator[None] | None = None

    @property
    def due(self) -> bool:
        """Tell whether a snapshot is to be taken."""
        if self._writing is not None:
            return False
        if self._bytes_since < self._last_bytes * SNAPSHOT_SHARE:
            return False
        return (
            self._entries_since >= self._most_entries
            or self._bytes_since >= self._most_bytes
        )

    def note_applied(self, entry: message.Entry) -> None:
        """Count an applied entry."""
        self._entries_since += 1
        self._bytes_since += len(entry.payload) + ENTRY_BYTES

    def note_snapshot(self, size_bytes: int) -> None:
        """Count from a snapshot of this size."""
        self._entries_since = 0
        self._bytes_since = 0
        self._last_bytes = size_bytes

    def write(
        self,
        kept: store.Store,
        index: int,
        term: int,
        config: message.GroupConfig,
        data: bytes,
    ) -> None:
        """Begin to write a snapshot."""
        self.note_snapshot(len(data))
        steps = kept.save_snapshot_in_steps(index, term, config, data)
        self._writing = steps
        self._write_piece(steps, kept, index, data)

    def drop(self) -> None:
        """Give up a snapshot that is being written; the old one stays in place."""
        steps, self._writing = self._writing, None
        if steps is not None and hasattr(steps, "close"):
            steps.close()

    def _write_piece(
        self, steps: Iterator[None], kept: store.Store, index: int, data: bytes
    ) -> None:
        """Write one piece and leave the loop to others in between."""
        if self._writing is not steps:
            return
        try:
            for _ in steps:
                asyncio.get_running_loop().call_later(
                    SNAPSHOT_PAUSE_S, self._write_piece, steps, kept, index, data
                )
                return
            self._writing = None
            kept.compact(index)
        except store_error.StoreFailedError as failure:
            self._on_failed(failure)
            return
        self._on_written(index, data)
