"""Scheduling of a group's snapshots, which are written in small steps."""

import asyncio
from collections.abc import Callable, Iterator

from ..consensus import message
from ..storage import error as store_error
from ..storage import store

# A snapshot is due only after entries of at least this share of the last snapshot's
# size, which bounds the bytes written for snapshots to four times those of entries.
MIN_LOG_TO_SNAPSHOT_RATIO = 0.25
STEP_PAUSE_S = 0.01
ENTRY_OVERHEAD_BYTES = 64  # Size of a stored entry without its payload.


class SnapshotWriter:
    """Writes the snapshots of one group at this instance.

    Parameters
    ----------
    max_entries, max_bytes : int
        Number and size of applied entries after which a snapshot is due.
    on_written : callable
        ``on_written(index, data)`` is called once a snapshot is stored and the log
        before it is compacted.
    on_failed : callable
        Called with the error if the store fails.
    """

    def __init__(
        self,
        max_entries: int,
        max_bytes: int,
        on_written: Callable[[int, bytes], None],
        on_failed: Callable[[store_error.StoreFailedError], None],
    ) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._on_written = on_written
        self._on_failed = on_failed
        self._applied_entries = 0
        self._applied_bytes = 0
        self._last_snapshot_bytes = 0
        self._active_steps: Iterator[None] | None = None

    @property
    def is_due(self) -> bool:
        """Tell whether a snapshot should be taken."""
        if self._active_steps is not None:
            return False
        if self._applied_bytes < self._last_snapshot_bytes * MIN_LOG_TO_SNAPSHOT_RATIO:
            return False
        return (
            self._applied_entries >= self._max_entries
            or self._applied_bytes >= self._max_bytes
        )

    def count_applied(self, entry: message.Entry) -> None:
        """Count an applied entry."""
        self._applied_entries += 1
        self._applied_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES

    def reset_counters(self, size_bytes: int) -> None:
        """Count applied entries from a snapshot of the given size on."""
        self._applied_entries = 0
        self._applied_bytes = 0
        self._last_snapshot_bytes = size_bytes

    def start(
        self,
        group_store: store.Store,
        index: int,
        term: int,
        config: message.GroupConfig,
        data: bytes,
    ) -> None:
        """Start to write a snapshot."""
        self.reset_counters(len(data))
        steps = group_store.save_snapshot_in_steps(index, term, config, data)
        self._active_steps = steps
        self._write_step(steps, group_store, index, data)

    def cancel(self) -> None:
        """Cancel a snapshot that is being written; the previous one is kept."""
        steps, self._active_steps = self._active_steps, None
        if steps is not None and hasattr(steps, "close"):
            steps.close()

    def _write_step(
        self, steps: Iterator[None], group_store: store.Store, index: int, data: bytes
    ) -> None:
        """Write one step and schedule the next one after a pause."""
        if self._active_steps is not steps:
            return
        try:
            for _ in steps:  # Takes one step; the body runs if it was not the last.
                asyncio.get_running_loop().call_later(
                    STEP_PAUSE_S, self._write_step, steps, group_store, index, data
                )
                return
            self._active_steps = None
            group_store.compact(index)
        except store_error.StoreFailedError as failure:
            self._on_failed(failure)
            return
        self._on_written(index, data)
