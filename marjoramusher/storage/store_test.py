"""Guards against losing acknowledged entries and against accepting damaged ones."""

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
    opened = store.DiskStore(files, FOLDER, segment_bytes)
    return opened, opened.load()


def filled(files, count=6, segment_bytes=1 << 20):
    opened, _ = open_store(files, segment_bytes)
    opened.append(message.HardState(1, VOTER), None, ())
    for index in range(1, count + 1):
        opened.append(None, None, (entry(index),))
    return opened


def segments(files):
    return [f"{FOLDER}/{n}" for n in files.list_names(FOLDER) if n.startswith("log-")]


@pytest.mark.parametrize("kind", ["memory", "disk"])
def test_state_survives_restart(kind, tmp_path):
    files = (
        memory.MemoryFileSystem()
        if kind == "memory"
        else filesystem.DiskFileSystem(str(tmp_path / "a" / "b"))
    )
    opened = filled(files, 6, segment_bytes=150)
    opened.append(message.HardState(2, None), 5, (entry(5, 2),), ((VOTER, 4),))
    opened.close()
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
    assert len(segments(files)) > 1


def test_tail_torn_at_each_byte_is_cut_at_the_last_complete_batch():
    files = memory.MemoryFileSystem()
    filled(files, 2)
    [path] = segments(files)
    whole = files.read(path)
    synced = len(whole)
    filled_again, _ = open_store(files)
    filled_again.append(None, None, (entry(3), entry(4)))
    longer = files.read(path)
    for size in range(synced, len(longer)):
        torn = memory.MemoryFileSystem()
        torn.make_folder(FOLDER)
        torn.open(path).write(longer[:size])
        opened, state = open_store(torn)
        assert [e.index for e in state.entries] == [1, 2], size
        opened.append(None, None, (entry(3, 2),))
        assert open_store(torn)[1].entries[-1] == entry(3, 2), size


def test_zeros_after_the_last_batch_are_cut():
    files = memory.MemoryFileSystem()
    filled(files, 2)
    files.open(segments(files)[0]).write(bytes(4096))
    assert len(open_store(files)[1].entries) == 2


def test_each_bit_flip_before_the_last_batch_is_refused():
    files = memory.MemoryFileSystem()
    filled(files, 3)
    [path] = segments(files)
    opened, _ = open_store(files)
    last_start = len(files.read(path))
    opened.append(None, None, (entry(4),))
    for offset in range(last_start):
        files.flip_bit(path, offset, offset % 8)
        with pytest.raises(error.StoreCorruptError):
            open_store(files)
        files.flip_bit(path, offset, offset % 8)
    assert len(open_store(files)[1].entries) == 4


@pytest.mark.parametrize("name", ["snapshot", "older segment"])
def test_each_bit_flip_in_a_sealed_file_is_refused(name):
    files = memory.MemoryFileSystem()
    opened = filled(files, 6, segment_bytes=150)
    opened.save_snapshot(2, 1, CONFIG, b"state")
    path = f"{FOLDER}/snapshot" if name == "snapshot" else segments(files)[0]
    for offset in range(len(files.read(path))):
        files.flip_bit(path, offset, offset % 8)
        with pytest.raises(error.StoreCorruptError):
            open_store(files)
        files.flip_bit(path, offset, offset % 8)


def test_cut_or_missing_older_segment_is_refused():
    files = memory.MemoryFileSystem()
    filled(files, 6, segment_bytes=150)
    first, second, *_ = segments(files)
    size = len(files.read(first))
    saved = files.read(second)
    files.remove(second)
    with pytest.raises(error.StoreCorruptError):
        open_store(files)
    files.open(second).write(saved)
    files.truncate_file(first, size - 1)
    with pytest.raises(error.StoreCorruptError):
        open_store(files)


def test_missing_snapshot_of_a_compacted_log_is_refused():
    files = memory.MemoryFileSystem()
    opened = filled(files, 6, segment_bytes=150)
    opened.save_snapshot(4, 1, CONFIG, b"state")
    opened.compact(4)
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
    opened = filled(files, 2)
    files.inject_fault(*FAULTS[name])
    with pytest.raises(error.StoreFailedError):
        opened.append(None, None, (entry(3),))
    files.clear_faults()
    with pytest.raises(error.StoreFailedError):
        opened.append(None, None, (entry(3),))
    state = opened.load()
    assert [e.index for e in state.entries] == [1, 2]
    opened.append(None, None, (entry(3),))


def test_disk_that_fills_up_within_a_batch_leaves_no_part_of_it():
    files = memory.MemoryFileSystem()
    opened = filled(files, 2)
    files.capacity_bytes = len(files.read(segments(files)[0])) + 20
    with pytest.raises(error.StoreFailedError):
        opened.append(None, None, (entry(3), entry(4)))
    files.clear_faults()
    assert len(open_store(files)[1].entries) == 2


@pytest.mark.parametrize("operation", ["write", "sync", "rename", "sync_folder"])
def test_failed_snapshot_keeps_the_old_one(operation):
    files = memory.MemoryFileSystem()
    opened = filled(files, 4)
    opened.save_snapshot(2, 1, CONFIG, b"old")
    files.inject_fault(operation)
    with pytest.raises(error.StoreFailedError):
        opened.save_snapshot(4, 1, CONFIG, b"new")
    files.clear_faults()
    files.lose_unsynced()
    state = open_store(files)[1]
    assert state.snapshot.data == b"old"
    assert [e.index for e in state.entries] == [3, 4]


@pytest.mark.parametrize("kept", [0, 1, 11, 1000])
def test_loss_of_power_at_each_file_operation_keeps_what_was_acknowledged(kept):
    """Fails each operation in turn, loses unsynced data and loads again."""
    for stop_after in range(60):
        files = _Countdown(stop_after)
        opened = store.DiskStore(files, FOLDER, 220)
        acknowledged = 0
        try:
            opened.load()
            for index in range(1, 7):
                opened.append(None, None, (entry(index),))
                acknowledged = index
                if index == 4:
                    opened.save_snapshot(3, 1, CONFIG, b"state")
                    opened.compact(3)
        except error.StoreFailedError:
            pass
        finished = files.left >= 0
        files.left = 1 << 30
        files.lose_unsynced(kept)
        state = open_store(files)[1]
        last = state.entries[-1].index if state.entries else 0
        if state.snapshot:
            last = max(last, state.snapshot.index)
        assert acknowledged <= last <= acknowledged + 1, stop_after
    assert finished


class _Countdown(memory.MemoryFileSystem):
    def __init__(self, left):
        super().__init__()
        self.left = left

    def check(self, operation):
        if operation != "read":
            self.left -= 1
        if self.left < 0:
            raise OSError(errno.EIO, operation)


def test_compaction_drops_whole_segments_and_keeps_the_hard_state():
    files = memory.MemoryFileSystem()
    opened = filled(files, 9, segment_bytes=150)
    before = len(segments(files))
    opened.save_snapshot(8, 1, CONFIG, b"state")
    opened.compact(8)
    assert len(segments(files)) < before
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
    ("index", "term", "left"), [(9, 3, []), (3, 2, []), (3, 1, [4])]
)
def test_snapshot_from_the_leader_replaces_a_log_that_differs(kind, index, term, left):
    opened = STORES[kind]()
    opened.load()
    opened.append(message.HardState(1), None, tuple(entry(i) for i in range(1, 5)))
    opened.save_snapshot(index, term, CONFIG, b"leader")
    opened.compact(index)
    assert [e.index for e in opened.load().entries] == left
    follower = (left or [index])[-1] + 1
    opened.append(None, None, (entry(follower, 3),))
    assert opened.load().entries[-1].index == follower


@pytest.mark.parametrize("finished", [True, False])
def test_appends_between_the_pieces_of_a_snapshot_are_kept(finished):
    files = memory.MemoryFileSystem()
    opened = filled(files, 4)
    opened.save_snapshot(2, 1, CONFIG, b"old")
    opened.compact(2)
    data = bytes(3 * document.PIECE_BYTES)
    steps = opened.save_snapshot_in_steps(4, 1, CONFIG, data)
    for index, _ in enumerate(steps, 5):
        opened.append(None, None, (entry(index),))
        if not finished and index == 6:
            steps.close()
            break
    files.lose_unsynced()
    state = open_store(files)[1]
    assert state.snapshot.data == (data if finished else b"old")
    first = 5 if finished else 3
    last = 7 if finished else 6
    assert [e.index for e in state.entries] == list(range(first, last + 1))


@pytest.mark.parametrize("kind", STORES)
def test_entries_with_a_gap_are_refused_and_not_written(kind):
    opened = STORES[kind]()
    opened.load()
    opened.append(None, None, (entry(1),))
    with pytest.raises(ValueError, match="follows"):
        opened.append(None, None, (entry(3),))
    assert [e.index for e in opened.load().entries] == [1]
