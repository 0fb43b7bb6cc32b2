"""Tests that acknowledged entries survive and damaged files are rejected."""

import errno

import pytest

from marjoramusher.consensus import message
from marjoramusher.storage import document, error, filesystem, memory, store

FOLDER = "groups/s1/records"
VOTER = message.VoterId("i1", "s1")
CONFIG = message.GroupConfig((VOTER,))


def entry(index, term=1, size=8):
    return message.Entry(index, term, message.EntryKind.COMMAND, bytes(size))


def open_store(files, segment_bytes=1 << 20):
    disk_store = store.DiskStore(files, FOLDER, segment_bytes)
    return disk_store, disk_store.load()


def create_filled_store(files, count=6, segment_bytes=1 << 20):
    disk_store, _ = open_store(files, segment_bytes)
    disk_store.append(message.HardState(1, VOTER), None, ())
    for index in range(1, count + 1):
        disk_store.append(None, None, (entry(index),))
    return disk_store


def segment_paths(files):
    return [f"{FOLDER}/{n}" for n in files.list_names(FOLDER) if n.startswith("log-")]


@pytest.mark.parametrize("kind", ["memory", "disk"])
def test_state_survives_restart(kind, tmp_path):
    files = (
        memory.MemoryFileSystem()
        if kind == "memory"
        else filesystem.DiskFileSystem(str(tmp_path / "a" / "b"))
    )
    disk_store = create_filled_store(files, 6, segment_bytes=150)
    disk_store.append(message.HardState(2, None), 5, (entry(5, 2),), ((VOTER, 4),))
    disk_store.close()
    _, state = open_store(files)
    assert [(e.index, e.term) for e in state.entries] == [
        (1, 1),
        (2, 1),
        (3, 1),
        (4, 1),
        (5, 2),
    ]
    assert state.hard_state == message.HardState(2, None)
    assert state.boots == {VOTER: 4}
    assert len(segment_paths(files)) > 1


def test_tail_torn_at_each_byte_is_cut_at_the_last_complete_batch():
    files = memory.MemoryFileSystem()
    create_filled_store(files, 2)
    [path] = segment_paths(files)
    intact = files.read(path)
    synced_bytes = len(intact)
    reopened, _ = open_store(files)
    reopened.append(None, None, (entry(3), entry(4)))
    extended = files.read(path)
    for size in range(synced_bytes, len(extended)):
        torn = memory.MemoryFileSystem()
        torn.make_folder(FOLDER)
        torn.open(path).write(extended[:size])
        disk_store, state = open_store(torn)
        assert [e.index for e in state.entries] == [1, 2], size
        disk_store.append(None, None, (entry(3, 2),))
        assert open_store(torn)[1].entries[-1] == entry(3, 2), size


def test_zeros_after_the_last_batch_are_cut():
    files = memory.MemoryFileSystem()
    create_filled_store(files, 2)
    files.open(segment_paths(files)[0]).write(bytes(4096))
    assert len(open_store(files)[1].entries) == 2


def test_each_bit_flip_before_the_last_batch_is_refused():
    files = memory.MemoryFileSystem()
    create_filled_store(files, 3)
    [path] = segment_paths(files)
    disk_store, _ = open_store(files)
    last_start = len(files.read(path))
    disk_store.append(None, None, (entry(4),))
    for offset in range(last_start):
        files.flip_bit(path, offset, offset % 8)
        with pytest.raises(error.StoreCorruptError):
            open_store(files)
        files.flip_bit(path, offset, offset % 8)
    assert len(open_store(files)[1].entries) == 4


@pytest.mark.parametrize("name", ["snapshot", "older segment"])
def test_each_bit_flip_in_a_sealed_file_is_refused(name):
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 6, segment_bytes=150)
    disk_store.save_snapshot(2, 1, CONFIG, b"state")
    path = f"{FOLDER}/snapshot" if name == "snapshot" else segment_paths(files)[0]
    for offset in range(len(files.read(path))):
        files.flip_bit(path, offset, offset % 8)
        with pytest.raises(error.StoreCorruptError):
            open_store(files)
        files.flip_bit(path, offset, offset % 8)


def test_cut_or_missing_older_segment_is_refused():
    files = memory.MemoryFileSystem()
    create_filled_store(files, 6, segment_bytes=150)
    first, second, *_ = segment_paths(files)
    size = len(files.read(first))
    content = files.read(second)
    files.remove(second)
    with pytest.raises(error.StoreCorruptError):
        open_store(files)
    files.open(second).write(content)
    files.truncate_file(first, size - 1)
    with pytest.raises(error.StoreCorruptError):
        open_store(files)


def test_missing_snapshot_of_a_compacted_log_is_refused():
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 6, segment_bytes=150)
    disk_store.save_snapshot(4, 1, CONFIG, b"state")
    disk_store.compact(4)
    files.remove(f"{FOLDER}/snapshot")
    with pytest.raises(error.StoreCorruptError):
        open_store(files)


FAULTS = {
    "no space": ("write", errno.ENOSPC),
    "write error": ("write", errno.EIO),
    "sync error": ("sync", errno.EIO),
}


@pytest.mark.parametrize("name", FAULTS)
def test_failed_append_is_typed_and_refuses_all_later_ones(name):
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 2)
    files.inject_fault(*FAULTS[name])
    with pytest.raises(error.StoreFailedError):
        disk_store.append(None, None, (entry(3),))
    files.clear_faults()
    with pytest.raises(error.StoreFailedError):
        disk_store.append(None, None, (entry(3),))
    state = disk_store.load()
    assert [e.index for e in state.entries] == [1, 2]
    disk_store.append(None, None, (entry(3),))


def test_disk_that_fills_up_within_a_batch_leaves_no_part_of_it():
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 2)
    files.capacity_bytes = len(files.read(segment_paths(files)[0])) + 20
    with pytest.raises(error.StoreFailedError):
        disk_store.append(None, None, (entry(3), entry(4)))
    files.clear_faults()
    assert len(open_store(files)[1].entries) == 2


@pytest.mark.parametrize("operation", ["write", "sync", "rename", "sync_folder"])
def test_failed_snapshot_keeps_the_old_one(operation):
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 4)
    disk_store.save_snapshot(2, 1, CONFIG, b"old")
    files.inject_fault(operation)
    with pytest.raises(error.StoreFailedError):
        disk_store.save_snapshot(4, 1, CONFIG, b"new")
    files.clear_faults()
    files.lose_unsynced()
    state = open_store(files)[1]
    assert state.snapshot.data == b"old"
    assert [e.index for e in state.entries] == [3, 4]


@pytest.mark.parametrize("keep_bytes", [0, 1, 11, 1000])
def test_loss_of_power_at_each_file_operation_keeps_what_was_acknowledged(keep_bytes):
    """Fail from each file operation on, discard unsynced data and reload."""
    for operation_count in range(60):
        files = _FailingFileSystem(operation_count)
        disk_store = store.DiskStore(files, FOLDER, 220)
        acknowledged = 0
        try:
            disk_store.load()
            for index in range(1, 7):
                disk_store.append(None, None, (entry(index),))
                acknowledged = index
                if index == 4:
                    disk_store.save_snapshot(3, 1, CONFIG, b"state")
                    disk_store.compact(3)
        except error.StoreFailedError:
            pass
        is_complete = files.remaining >= 0
        files.remaining = 1 << 30
        files.lose_unsynced(keep_bytes)
        state = open_store(files)[1]
        last = state.entries[-1].index if state.entries else 0
        if state.snapshot:
            last = max(last, state.snapshot.index)
        assert acknowledged <= last <= acknowledged + 1, operation_count
    assert is_complete


class _FailingFileSystem(memory.MemoryFileSystem):
    """File system whose operations fail after a number of successful ones."""

    def __init__(self, remaining):
        super().__init__()
        self.remaining = remaining

    def raise_fault(self, operation):
        if operation != "read":
            self.remaining -= 1
        if self.remaining < 0:
            raise OSError(errno.EIO, operation)


def test_compaction_drops_whole_segments_and_keeps_the_hard_state():
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 9, segment_bytes=150)
    segment_count = len(segment_paths(files))
    disk_store.save_snapshot(8, 1, CONFIG, b"state")
    disk_store.compact(8)
    assert len(segment_paths(files)) < segment_count
    state = open_store(files)[1]
    assert [e.index for e in state.entries] == [9]
    assert state.hard_state == message.HardState(1, VOTER)
    assert state.snapshot == store.Snapshot(8, 1, CONFIG, b"state")


STORES = {
    "disk": lambda: store.DiskStore(memory.MemoryFileSystem(), FOLDER),
    "memory": store.MemoryStore,
}


@pytest.mark.parametrize("kind", STORES)
@pytest.mark.parametrize(
    ("index", "term", "remaining"), [(9, 3, []), (3, 2, []), (3, 1, [4])]
)
def test_snapshot_from_the_leader_replaces_a_log_that_differs(
    kind, index, term, remaining
):
    group_store = STORES[kind]()
    group_store.load()
    group_store.append(message.HardState(1), None, tuple(entry(i) for i in range(1, 5)))
    group_store.save_snapshot(index, term, CONFIG, b"leader")
    group_store.compact(index)
    assert [e.index for e in group_store.load().entries] == remaining
    next_index = (remaining or [index])[-1] + 1
    group_store.append(None, None, (entry(next_index, 3),))
    assert group_store.load().entries[-1].index == next_index


@pytest.mark.parametrize("is_complete", [True, False])
def test_appends_between_the_pieces_of_a_snapshot_are_kept(is_complete):
    files = memory.MemoryFileSystem()
    disk_store = create_filled_store(files, 4)
    disk_store.save_snapshot(2, 1, CONFIG, b"old")
    disk_store.compact(2)
    data = bytes(3 * document.CHUNK_BYTES)
    steps = disk_store.save_snapshot_in_steps(4, 1, CONFIG, data)
    for index, _ in enumerate(steps, 5):
        disk_store.append(None, None, (entry(index),))
        if not is_complete and index == 6:
            steps.close()
            break
    files.lose_unsynced()
    state = open_store(files)[1]
    assert state.snapshot.data == (data if is_complete else b"old")
    first = 5 if is_complete else 3
    last = 7 if is_complete else 6
    assert [e.index for e in state.entries] == list(range(first, last + 1))


@pytest.mark.parametrize("kind", STORES)
def test_entries_with_a_gap_are_refused_and_not_written(kind):
    group_store = STORES[kind]()
    group_store.load()
    group_store.append(None, None, (entry(1),))
    with pytest.raises(ValueError, match="follows"):
        group_store.append(None, None, (entry(3),))
    assert [e.index for e in group_store.load().entries] == [1]
