"""Durable state of one group."""

import contextlib
import os
from collections.abc import Iterator
from typing import Protocol

import msgspec

from ..consensus import message
from ..core import codec, errors
from . import document, error, filesystem, frame

SEGMENT_BYTES = 4 * 1024 * 1024  # whole segments are dropped by compaction
SNAPSHOT = "snapshot"
LOG_PREFIX = "log-"
NEW_SEGMENT = "new" + document.TEMPORARY


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of a machine after `index`, and the members in force there."""

    index: int
    term: int
    config: message.GroupConfig
    data: bytes


class StoredState(msgspec.Struct, frozen=True):
    """All that a node needs to go on after a process start.

    Parameters
    ----------
    entries : tuple of Entry
        Entries after the snapshot, without gaps.
    boots : dict of VoterId to int
        Highest boot seen of each peer's store.
    """

    hard_state: message.HardState = message.HardState()
    entries: tuple[message.Entry, ...] = ()
    snapshot: Snapshot | None = None
    boots: dict[message.VoterId, int] = {}


class Store(Protocol):
    """Keep the state of one group; every method returns once its change is durable."""

    def load(self) -> StoredState:
        """Return the stored state."""

    def append(
        self,
        hard_state: message.HardState | None,
        truncate_from: int | None,
        entries: tuple[message.Entry, ...],
        boots: tuple[tuple[message.VoterId, int], ...] = (),
    ) -> None:
        """Store one batch.

        Raises
        ------
        StoreFailedError
            If the batch may not be durable. No later append is accepted.
        """

    def save_snapshot(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> None:
        """Replace the snapshot.

        The log restarts after the snapshot if it ends before `index` or holds
        another entry there.
        """

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Do what `save_snapshot` does, with pauses in which appends may be made.

        The iterator has to be closed before another snapshot is saved.
        """

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which the snapshot must cover."""

    def close(self) -> None:
        """Release the files."""


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Body of one frame of the log.

    A whole batch is one frame, so that it is either there or torn.

    Parameters
    ----------
    restart_after : int or None
        Forget all earlier entries; the next one has the index after this.
    """

    hard_state: message.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[message.Entry, ...] = ()
    boots: tuple[tuple[message.VoterId, int], ...] = ()
    restart_after: int | None = None


class _Segment(msgspec.Struct):
    """One file of the log and the highest index that it ever held."""

    number: int
    path: str
    last_index: int = 0


class _State:
    """Entries and hard state in memory, as a replay of batches gives them."""

    __slots__ = ("_first_known", "boots", "entries", "first", "hard_state")

    def __init__(self) -> None:
        self.hard_state = message.HardState()
        self.boots: dict[message.VoterId, int] = {}
        self.entries: list[message.Entry] = []
        self.first = 1
        self._first_known = False

    @property
    def last_index(self) -> int:
        return self.first + len(self.entries) - 1

    def apply(self, batch: Batch) -> None:
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for voter, boot in batch.boots:
            self.boots[voter] = max(boot, self.boots.get(voter, 0))
        if batch.restart_after is not None:
            self.entries.clear()
            self.first = batch.restart_after + 1
            self._first_known = True
        if batch.truncate_from is not None:
            del self.entries[max(batch.truncate_from - self.first, 0) :]
        for entry in batch.entries:
            if not self._first_known:  # earlier segments may have been compacted
                self.first = entry.index
                self._first_known = True
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} follows {self.last_index}")
            self.entries.append(entry)

    def drop_until(self, index: int) -> None:
        dropped = min(max(index + 1 - self.first, 0), len(self.entries))
        del self.entries[:dropped]
        self.first = max(self.first + dropped, index + 1)
        self._first_known = True

    def term_at(self, index: int) -> int | None:
        if self.first <= index <= self.last_index:
            return self.entries[index - self.first].term
        return None


class DiskStore:
    """Segmented log and snapshot in one folder.

    Parameters
    ----------
    files : FileSystem
        File operations below the data folder.
    folder : str
        Folder of the group.
    segment_bytes : int
        Size at which a new segment is started.
    """

    __slots__ = (
        "_failed",
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
        self._state = _State()
        self._snapshot_index = 0
        self._failed: error.StoreFailedError | None = None

    @property
    def failed(self) -> bool:
        """Tell whether appends are refused."""
        return self._failed is not None

    def load(self) -> StoredState:
        """Read all files and cut a torn tail; accept appends again after a failure.

        Raises
        ------
        StoreCorruptError
            If a file is damaged other than by an append that was never synced.
        StoreFailedError
            If a file can't be read or the torn tail can't be cut.
        """
        self.close()
        self._segments = []
        self._state = _State()
        self._failed = None
        try:
            self._files.make_folder(self._folder)
            return self._load()
        except OSError as failure:
            raise self._fail(failure) from failure

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
        """Write and sync the snapshot, then restart the log if it does not reach it."""
        for _ in self.save_snapshot_in_steps(index, term, config, data):
            pass

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Write the snapshot in pieces."""
        self._check()
        try:
            yield from document.write_in_steps(
                self._files,
                f"{self._folder}/{SNAPSHOT}",
                Snapshot(index, term, config, data),
            )
        except error.StoreFailedError as failure:
            self._failed = failure
            raise
        self._snapshot_index = index
        if self._state.last_index < index or self._state.term_at(index) not in (
            None,
            term,
        ):
            self._append(Batch(restart_after=index))

    def compact(self, index: int) -> None:
        """Drop the entries from memory and the segments that hold no later one."""
        self._check()
        if index > self._snapshot_index:
            raise ValueError("the snapshot does not cover the entries to drop")
        self._state.drop_until(index)
        try:
            if self._segments and self._segments[-1].last_index <= index:
                self._start_segment()
            removed = False
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                self._files.remove(self._segments.pop(0).path)
                removed = True
            if removed:
                self._files.sync_folder(self._folder)
        except OSError as failure:
            raise self._fail(failure) from failure

    def close(self) -> None:
        """Close the last segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _append(self, batch: Batch) -> None:
        self._check()
        try:
            if self._file is None or self._size >= self._segment_bytes:
                self._start_segment()
            self._state.apply(batch)  # refuses a gap before it is written
            self._write(batch)
        except OSError as failure:
            self._cut_back()
            raise self._fail(failure) from failure
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, _highest(batch))

    def _write(self, batch: Batch) -> None:
        data = frame.encode(self._salt, self._size, msgspec.msgpack.encode(batch))
        filesystem.write_all(self._file, data)
        self._file.sync()
        self._size += len(data)

    def _start_segment(self) -> None:
        """Start a segment with the hard state, so that older ones can be dropped."""
        self.close()
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = _Segment(number, f"{self._folder}/{LOG_PREFIX}{number:012d}")
        self._salt = os.urandom(8)
        temporary = f"{self._folder}/{NEW_SEGMENT}"
        self._file = self._files.open(temporary)
        self._file.truncate(0)
        filesystem.write_all(self._file, frame.header(self._salt))
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
                raise error.StoreCorruptError(path, "a segment before it is missing")
            self._read_segment(segment, last=name == names[-1])
        if self._segments and self._file is None:
            last = self._segments[-1]
            self._file = self._files.open(last.path)
        if snapshot is not None:
            self._align(snapshot)
        elif self._state.entries and self._state.first != 1:
            raise error.StoreCorruptError(self._folder, "the snapshot is missing")
        return StoredState(
            self._state.hard_state,
            tuple(self._state.entries),
            snapshot,
            dict(self._state.boots),
        )

    def _read_segment(self, segment: _Segment, last: bool) -> None:
        data = self._files.read(segment.path)
        end = frame.HEADER_BYTES
        for offset, body in frame.scan(segment.path, data):
            try:
                batch = codec.unpack(body, Batch)
                self._state.apply(batch)
            except (errors.BadRequestError, ValueError) as failure:
                raise error.StoreCorruptError(segment.path, str(failure)) from failure
            segment.last_index = max(segment.last_index, _highest(batch))
            end = offset
        self._segments.append(segment)
        if end < len(data):
            if not last:
                raise error.StoreCorruptError(segment.path, "a frame is damaged")
            if frame.has_frame_after(segment.path, data, end):
                raise error.StoreCorruptError(
                    segment.path, "a frame before the last one is damaged"
                )
        if last:
            self._salt = frame.read_header(segment.path, data)
            self._size = end
            if end < len(data):
                self._file = self._files.open(segment.path)
                self._file.truncate(end)
                self._file.sync()

    def _align(self, snapshot: Snapshot) -> None:
        """Fit the log to the snapshot, as after a crash between the two writes."""
        term = self._state.term_at(snapshot.index)
        stale = term is not None and term != snapshot.term
        if stale or self._state.last_index < snapshot.index:
            self._append(Batch(restart_after=snapshot.index))
        elif self._state.entries and self._state.first > snapshot.index + 1:
            raise error.StoreCorruptError(self._folder, "entries are missing")
        self._state.drop_until(snapshot.index)

    def _cut_back(self) -> None:
        """Take back an append that failed, so that a later load does not find it.

        After a failed sync the operating system may still give the bytes when they
        are read, although they are not durable.
        """
        if self._file is not None:
            with contextlib.suppress(OSError):
                self._file.truncate(self._size)

    def _check(self) -> None:
        if self._failed is not None:
            raise self._failed

    def _fail(self, failure: OSError) -> error.StoreFailedError:
        self._failed = error.StoreFailedError(str(failure))
        return self._failed


class MemoryStore:
    """Keep the state of a diskless instance for the life of the process."""

    __slots__ = ("_snapshot", "_state")

    def __init__(self) -> None:
        self._state = _State()
        self._snapshot: Snapshot | None = None

    def load(self) -> StoredState:
        """Return what was kept."""
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
        """Keep one batch."""
        self._state.apply(Batch(hard_state, truncate_from, entries, boots))

    def save_snapshot(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> None:
        """Keep the snapshot and fit the log to it."""
        self._snapshot = Snapshot(index, term, config, data)
        present = self._state.term_at(index)
        if self._state.last_index < index or present not in (None, term):
            self._state.apply(Batch(restart_after=index))
        self._state.drop_until(index)

    def save_snapshot_in_steps(
        self, index: int, term: int, config: message.GroupConfig, data: bytes
    ) -> Iterator[None]:
        """Keep the snapshot at once."""
        self.save_snapshot(index, term, config, data)
        return iter(())

    def compact(self, index: int) -> None:
        """Drop entries."""
        self._state.drop_until(index)

    def close(self) -> None:
        """Do nothing."""


def _highest(batch: Batch) -> int:
    last = batch.entries[-1].index if batch.entries else 0
    return max(last, batch.restart_after or 0)
