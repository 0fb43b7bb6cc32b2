"""Stores for the Raft log, hard state and snapshot of one group."""

import contextlib
import os
from collections.abc import Iterator
from typing import Protocol

import msgspec

from ..consensus import message
from ..core import codec, errors
from . import document, error, filesystem, frame

SEGMENT_BYTES = 4 * 1024 * 1024  # compaction drops only whole segments
SNAPSHOT = "snapshot"
LOG_PREFIX = "log-"
NEW_SEGMENT = "new" + document.TEMPORARY_SUFFIX


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of a machine after `index`, with the group configuration at that index."""

    index: int
    term: int
    config: message.GroupConfig
    data: bytes


class StoredState(msgspec.Struct, frozen=True):
    """State with which a node resumes after a process start.

    Parameters
    ----------
    entries : tuple of Entry
        Contiguous entries after the snapshot.
    boots : dict of VoterId to int
        Highest known boot number of each voter's store.
    """

    hard_state: message.HardState = message.HardState()
    entries: tuple[message.Entry, ...] = ()
    snapshot: Snapshot | None = None
    boots: dict[message.VoterId, int] = {}


class Store(Protocol):
    """Persistent state of one group; each method blocks until its change is durable."""

    def load(self) -> StoredState:
        """Return the stored state."""

    def append(
        self,
        hard_state: message.HardState | None,
        truncate_from: int | None,
        entries: tuple[message.Entry, ...],
        boots: tuple[tuple[message.VoterId, int], ...] = (),
    ) -> None:
        """Append one batch atomically.

        Raises
        ------
        StoreFailedError
            If the batch may not be durable. All later appends fail, too.
        """

    def save_snapshot(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> None:
        """Replace the snapshot.

        If the log ends before `index` or has an entry with another term there, it is
        cleared and restarts after the snapshot.
        """

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Replace the snapshot like `save_snapshot`, allowing appends between steps.

        The iterator must be closed before another snapshot is saved.
        """

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which the snapshot must cover."""

    def close(self) -> None:
        """Close the open files."""


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Batch of changes that is written as one frame of the log.

    The checksum of the frame makes the batch atomic.

    Parameters
    ----------
    restart_after : int or None
        Index after which the log restarts; all earlier entries are removed.
    """

    hard_state: message.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[message.Entry, ...] = ()
    boots: tuple[tuple[message.VoterId, int], ...] = ()
    restart_after: int | None = None


class _Segment(msgspec.Struct):
    """One file of the log, with the highest index that was ever written to it."""

    number: int
    path: str
    last_index: int = 0


class _LogState:
    """Entries, hard state and boots that result from applying batches."""

    __slots__ = (
        "_is_first_index_known",
        "boots",
        "entries",
        "first_index",
        "hard_state",
    )

    def __init__(self) -> None:
        self.hard_state = message.HardState()
        self.boots: dict[message.VoterId, int] = {}
        self.entries: list[message.Entry] = []
        self.first_index = 1
        self._is_first_index_known = False

    @property
    def last_index(self) -> int:
        return self.first_index + len(self.entries) - 1

    def apply(self, batch: Batch) -> None:
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for voter, boot in batch.boots:
            self.boots[voter] = max(boot, self.boots.get(voter, 0))
        if batch.restart_after is not None:
            self.entries.clear()
            self.first_index = batch.restart_after + 1
            self._is_first_index_known = True
        if batch.truncate_from is not None:
            del self.entries[max(batch.truncate_from - self.first_index, 0) :]
        for entry in batch.entries:
            if not self._is_first_index_known:
                # Compaction may have removed the earlier segments.
                self.first_index = entry.index
                self._is_first_index_known = True
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} follows entry {self.last_index}")
            self.entries.append(entry)

    def drop_through(self, index: int) -> None:
        dropped_count = min(max(index + 1 - self.first_index, 0), len(self.entries))
        del self.entries[:dropped_count]
        self.first_index = max(self.first_index + dropped_count, index + 1)
        self._is_first_index_known = True

    def term_at(self, index: int) -> int | None:
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None


class DiskStore:
    """Store that keeps a segmented log and a snapshot in one folder.

    Parameters
    ----------
    files : FileSystem
        File operations below the data folder.
    folder : str
        Folder of the group.
    segment_bytes : int
        Size at which a new segment is created.
    """

    __slots__ = (
        "_failure",
        "_file",
        "_files",
        "_folder",
        "_salt",
        "_segment_bytes",
        "_segments",
        "_size",
        "_snapshot_index",
        "_state",
    )

    def __init__(
        self,
        files: filesystem.FileSystem,
        folder: str,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._files = files
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._file: filesystem.File | None = None
        self._salt = b""
        self._size = 0
        self._state = _LogState()
        self._snapshot_index = 0
        self._failure: error.StoreFailedError | None = None

    @property
    def has_failed(self) -> bool:
        """Return whether appends fail because a file operation has failed."""
        return self._failure is not None

    def load(self) -> StoredState:
        """Read all files, truncate a torn tail and clear an earlier failure.

        Raises
        ------
        StoreCorruptError
            If a file is damaged, unless the damage is an append that was not synced.
        StoreFailedError
            If a file operation fails.
        """
        self.close()
        self._segments = []
        self._state = _LogState()
        self._failure = None
        try:
            self._files.make_folder(self._folder)
            return self._load()
        except OSError as failure:
            raise self._record_failure(failure) from failure

    def append(
        self,
        hard_state: message.HardState | None,
        truncate_from: int | None,
        entries: tuple[message.Entry, ...],
        boots: tuple[tuple[message.VoterId, int], ...] = (),
    ) -> None:
        """Append one batch and sync it."""
        self._append(Batch(hard_state, truncate_from, entries, boots))

    def save_snapshot(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> None:
        """Write and sync the snapshot, and restart the log if it is inconsistent."""
        for _ in self.save_snapshot_in_steps(index, term, config, data):
            pass

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Write the snapshot chunk by chunk."""
        self._raise_failure()
        try:
            yield from document.write_in_steps(
                self._files,
                f"{self._folder}/{SNAPSHOT}",
                Snapshot(index, term, config, data),
            )
        except error.StoreFailedError as failure:
            self._failure = failure
            raise
        self._snapshot_index = index
        if self._state.last_index < index or self._state.term_at(index) not in (
            None,
            term,
        ):
            self._append(Batch(restart_after=index))

    def compact(self, index: int) -> None:
        """Remove the entries from memory, and the segments that hold no later entry."""
        self._raise_failure()
        if index > self._snapshot_index:
            raise ValueError("the snapshot does not cover the entries to remove")
        self._state.drop_through(index)
        try:
            if self._segments and self._segments[-1].last_index <= index:
                self._start_segment()
            is_changed = False
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                self._files.remove(self._segments.pop(0).path)
                is_changed = True
            if is_changed:
                self._files.sync_folder(self._folder)
        except OSError as failure:
            raise self._record_failure(failure) from failure

    def close(self) -> None:
        """Close the last segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _append(self, batch: Batch) -> None:
        self._raise_failure()
        try:
            if self._file is None or self._size >= self._segment_bytes:
                self._start_segment()
            self._state.apply(batch)  # rejects a gap before anything is written
            self._write(batch)
        except OSError as failure:
            self._truncate_failed_append()
            raise self._record_failure(failure) from failure
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, _last_index(batch))

    def _write(self, batch: Batch) -> None:
        data = frame.encode(self._salt, self._size, msgspec.msgpack.encode(batch))
        filesystem.write_all(self._file, data)
        self._file.sync()
        self._size += len(data)

    def _start_segment(self) -> None:
        """Create a segment that starts with the hard state and boots.

        So the older segments can be removed once their entries are compacted.
        """
        self.close()
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = _Segment(number, f"{self._folder}/{LOG_PREFIX}{number:012d}")
        self._salt = os.urandom(8)
        temporary = f"{self._folder}/{NEW_SEGMENT}"
        self._file = self._files.open(temporary)
        self._file.truncate(0)
        filesystem.write_all(self._file, frame.encode_header(self._salt))
        self._size = frame.HEADER_BYTES
        self._segments.append(segment)
        self._write(
            Batch(self._state.hard_state, boots=tuple(self._state.boots.items()))
        )
        self._files.rename(temporary, segment.path)
        self._files.sync_folder(self._folder)

    def _load(self) -> StoredState:
        snapshot = document.read(self._files, f"{self._folder}/{SNAPSHOT}", Snapshot)
        self._snapshot_index = snapshot.index if snapshot else 0
        names = [
            n for n in self._files.list_names(self._folder) if n.startswith(LOG_PREFIX)
        ]
        for name in names:
            path = f"{self._folder}/{name}"
            segment = _Segment(int(name.removeprefix(LOG_PREFIX)), path)
            if self._segments and segment.number != self._segments[-1].number + 1:
                raise error.StoreCorruptError(path, "the segment before it is missing")
            self._read_segment(segment, is_last=name == names[-1])
        if self._segments and self._file is None:
            last_segment = self._segments[-1]
            self._file = self._files.open(last_segment.path)
        if snapshot is not None:
            self._reconcile_log(snapshot)
        elif self._state.entries and self._state.first_index != 1:
            raise error.StoreCorruptError(self._folder, "the snapshot is missing")
        return StoredState(
            self._state.hard_state,
            tuple(self._state.entries),
            snapshot,
            dict(self._state.boots),
        )

    def _read_segment(self, segment: _Segment, is_last: bool) -> None:
        data = self._files.read(segment.path)
        end = frame.HEADER_BYTES
        for offset, body in frame.scan(segment.path, data):
            try:
                batch = codec.unpack(body, Batch)
                self._state.apply(batch)
            except (errors.BadRequestError, ValueError) as failure:
                raise error.StoreCorruptError(segment.path, str(failure)) from failure
            segment.last_index = max(segment.last_index, _last_index(batch))
            end = offset
        self._segments.append(segment)
        if end < len(data):
            if not is_last:
                raise error.StoreCorruptError(segment.path, "a frame is damaged")
            if frame.has_frame_after(segment.path, data, end):
                raise error.StoreCorruptError(
                    segment.path, "a frame before the last one is damaged"
                )
        if is_last:
            self._salt = frame.read_header(segment.path, data)
            self._size = end
            if end < len(data):
                self._file = self._files.open(segment.path)
                self._file.truncate(end)
                self._file.sync()

    def _reconcile_log(self, snapshot: Snapshot) -> None:
        """Make the log continue the snapshot, after a crash between the two writes."""
        term = self._state.term_at(snapshot.index)
        is_stale = term is not None and term != snapshot.term
        if is_stale or self._state.last_index < snapshot.index:
            self._append(Batch(restart_after=snapshot.index))
        elif self._state.entries and self._state.first_index > snapshot.index + 1:
            raise error.StoreCorruptError(
                self._folder, "entries between the snapshot and the log are missing"
            )
        self._state.drop_through(snapshot.index)

    def _truncate_failed_append(self) -> None:
        """Remove a failed append from the file, so that a later load does not read it.

        After a failed sync, the page cache may still return the bytes although they
        are not durable.
        """
        if self._file is not None:
            with contextlib.suppress(OSError):
                self._file.truncate(self._size)

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _record_failure(self, failure: OSError) -> error.StoreFailedError:
        self._failure = error.StoreFailedError(str(failure))
        return self._failure


class MemoryStore:
    """Store of a diskless instance, which is lost when the process exits."""

    __slots__ = ("_snapshot", "_state")

    def __init__(self) -> None:
        self._state = _LogState()
        self._snapshot: Snapshot | None = None

    def load(self) -> StoredState:
        """Return the current state."""
        return StoredState(
            self._state.hard_state,
            tuple(self._state.entries),
            self._snapshot,
            dict(self._state.boots),
        )

    def append(
        self,
        hard_state: message.HardState | None,
        truncate_from: int | None,
        entries: tuple[message.Entry, ...],
        boots: tuple[tuple[message.VoterId, int], ...] = (),
    ) -> None:
        """Apply one batch."""
        self._state.apply(Batch(hard_state, truncate_from, entries, boots))

    def save_snapshot(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> None:
        """Replace the snapshot and make the log continue it."""
        self._snapshot = Snapshot(index, term, config, data)
        term_in_log = self._state.term_at(index)
        if self._state.last_index < index or term_in_log not in (None, term):
            self._state.apply(Batch(restart_after=index))
        self._state.drop_through(index)

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Replace the snapshot in one step."""
        self.save_snapshot(index, term, config, data)
        return iter(())

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`."""
        self._state.drop_through(index)

    def close(self) -> None:
        """Do nothing."""


def _last_index(batch: Batch) -> int:
    """Return the highest index that a batch writes or restarts after."""
    last_entry_index = batch.entries[-1].index if batch.entries else 0
    return max(last_entry_index, batch.restart_after or 0)
