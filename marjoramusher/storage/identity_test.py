"""Guards against an old store id being used again and a configuration going back."""

import random

import pytest

from marjoramusher.storage import (
    document,
    error,
    filesystem,
    identity,
    memory,
    revision,
)


def test_boot_is_counted_durably():
    files = memory.MemoryFileSystem()
    first = identity.boot(files, "i1", random.Random(1))
    files.lose_unsynced()
    second = identity.boot(files, "i1", random.Random(2))
    assert (second.store_id, second.boot) == (first.store_id, 2)


@pytest.mark.parametrize("operation", ["write", "rename", "sync_folder", "remove"])
def test_interrupted_discard_never_leaves_the_old_id_without_its_groups(operation):
    files = memory.MemoryFileSystem()
    old = identity.boot(files, "i1", random.Random(1))
    path = identity.group_folder(old.store_id, "domain:a")
    document.write(files, f"{path}/log", 1)
    files.inject_fault(operation)
    with pytest.raises(error.StoreFailedError):
        identity.discard(files, "i1", random.Random(2), "c1")
    files.clear_faults()
    files.lose_unsynced()
    now = identity.boot(files, "i1", random.Random(3))
    kept = identity.group_names(files, now.store_id)
    assert kept == (["domain:a"] if now.store_id == old.store_id else [])
    assert files.list_names(identity.GROUPS) == ([now.store_id] if kept else [])


@pytest.mark.parametrize("operation", ["write", "rename", "sync_folder", "remove"])
def test_interrupted_discard_of_a_group_never_shows_old_state_under_the_new_id(
    operation,
):
    files = memory.MemoryFileSystem()
    old = identity.boot(files, "i1", random.Random(1))
    for name in ("domain:a", "domain:b"):
        path = identity.group_folder(old.store_id, name)
        document.write(files, f"{path}/log", 1)
    files.inject_fault(operation)
    with pytest.raises(error.StoreFailedError):
        identity.discard_group(files, old, "domain:a", random.Random(2))
    files.clear_faults()
    files.lose_unsynced()
    now = identity.boot(files, "i1", random.Random(3))
    changed = now.store_of("domain:a") != old.store_id
    kept = identity.group_names(files, old.store_id)
    assert kept == (["domain:b"] if changed else ["domain:a", "domain:b"])
    assert changed == bool(now.stores)
    assert now.store_of("domain:b") == now.store_id == old.store_id


CASES = {
    "damaged": lambda files: files.flip_bit(identity.PATH, 30),
    "cut": lambda files: files.truncate_file(identity.PATH, 10),
    "missing": lambda files: files.remove(identity.PATH),
}


@pytest.mark.parametrize("name", CASES)
def test_damaged_folder_is_refused(name):
    files = memory.MemoryFileSystem()
    first = identity.boot(files, "i1", random.Random(1))
    document.write(files, identity.group_folder(first.store_id, "records") + "/x", 1)
    CASES[name](files)
    with pytest.raises(error.StoreCorruptError):
        identity.boot(files, "i1", random.Random(2))


def test_folder_of_another_instance_is_refused():
    files = memory.MemoryFileSystem()
    identity.boot(files, "i1", random.Random(1))
    with pytest.raises(error.StoreCorruptError):
        identity.boot(files, "i2", random.Random(2))


def test_revision_never_goes_back_and_is_not_in_force_unless_stored():
    files = memory.MemoryFileSystem()
    kept = revision.RevisionFile(files)
    assert kept.advance(5)
    assert not kept.advance(4)
    files.inject_fault("sync")
    with pytest.raises(error.StoreFailedError):
        kept.advance(6)
    assert kept.number == 5
    files.clear_faults()
    files.lose_unsynced()
    assert revision.RevisionFile(files).number == 5


def test_second_process_on_a_data_folder_is_refused(tmp_path):
    first = filesystem.DiskFileSystem(str(tmp_path / "data"))
    second = filesystem.DiskFileSystem(str(tmp_path / "data"))
    first.lock()
    with pytest.raises(error.StoreFailedError):
        second.lock()
    first.unlock()
    second.lock()
    second.unlock()
