"""Tests that store ids are not reused and the configuration does not go back."""

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
    reopened = identity.boot(files, "i1", random.Random(3))
    group_names = identity.group_names(files, reopened.store_id)
    assert group_names == (["domain:a"] if reopened.store_id == old.store_id else [])
    assert files.list_names(identity.GROUPS_FOLDER) == (
        [reopened.store_id] if group_names else []
    )


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
    reopened = identity.boot(files, "i1", random.Random(3))
    is_replaced = reopened.store_of("domain:a") != old.store_id
    group_names = identity.group_names(files, old.store_id)
    assert group_names == (["domain:b"] if is_replaced else ["domain:a", "domain:b"])
    assert is_replaced == bool(reopened.stores)
    assert reopened.store_of("domain:b") == reopened.store_id == old.store_id


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
    revision_file = revision.RevisionFile(files)
    assert revision_file.advance(5)
    assert not revision_file.advance(4)
    files.inject_fault("sync")
    with pytest.raises(error.StoreFailedError):
        revision_file.advance(6)
    assert revision_file.number == 5
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
