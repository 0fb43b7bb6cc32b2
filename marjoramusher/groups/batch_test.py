"""Guards against a merged append that differs from the separate ones."""

import itertools

from marjoramusher.consensus import message
from marjoramusher.groups import batch
from marjoramusher.storage import store


def entries(*pairs):
    return tuple(
        message.Entry(index, term, message.EntryKind.COMMAND) for index, term in pairs
    )


PARTS = [
    message.Persist(message.HardState(1), None, entries((3, 1), (4, 1))),
    message.Persist(message.HardState(2), 4, entries((4, 2), (5, 2))),
    message.Persist(None, 3, entries((3, 3), (4, 3), (5, 3), (6, 3))),
    message.Persist(message.HardState(4), 2, entries((2, 4), (3, 4))),
    message.Persist(boots=((message.VoterId("a", "b"), 7),)),
]


def write(group_store, persist):
    group_store.append(
        persist.hard_state, persist.truncate_from, persist.entries, persist.boots
    )


def test_merged_append_has_the_effect_of_each_in_turn():
    checked_count = 0
    for count in range(2, len(PARTS) + 1):
        for parts in itertools.permutations(PARTS, count):
            sequential, merged = store.MemoryStore(), store.MemoryStore()
            for group_store in (sequential, merged):
                group_store.append(None, None, entries((1, 1), (2, 1)))
            merged_persist = None
            try:
                for part in parts:
                    write(sequential, part)
            except ValueError:
                continue  # A node never emits this sequence.
            for part in parts:
                merged_persist = batch.merge(merged_persist, part)
            write(merged, merged_persist)
            assert merged.load() == sequential.load(), parts
            checked_count += 1
    assert checked_count > 30


def test_snapshot_is_restored_between_the_appends_around_it():
    snapshot = message.RestoreSnapshot(5, 1, message.GroupConfig(()), b"")
    parts = list(batch.split([PARTS[0], snapshot, PARTS[1]]))
    assert parts == [(PARTS[0], []), (None, [snapshot]), (PARTS[1], [])]
