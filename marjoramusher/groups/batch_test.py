"""Guards against an append that differs from the appends it stands for."""

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


def write(kept, persist):
    kept.append(
        persist.hard_state, persist.truncate_from, persist.entries, persist.boots
    )


def test_merged_append_has_the_effect_of_each_in_turn():
    checked = 0
    for count in range(2, len(PARTS) + 1):
        for parts in itertools.permutations(PARTS, count):
            single, merged = store.MemoryStore(), store.MemoryStore()
            for kept in (single, merged):
                kept.append(None, None, entries((1, 1), (2, 1)))
            whole = None
            try:
                for part in parts:
                    write(single, part)
            except ValueError:
                continue  # not a sequence that a node gives
            for part in parts:
                whole = batch.merge(whole, part)
            write(merged, whole)
            assert merged.load() == single.load(), parts
            checked += 1
    assert checked > 30


def test_snapshot_is_restored_between_the_appends_around_it():
    snapshot = message.RestoreSnapshot(5, 1, message.GroupConfig(()), b"")
    parts = list(batch.split([PARTS[0], snapshot, PARTS[1]]))
    assert parts == [(PARTS[0], []), (None, [snapshot]), (PARTS[1], [])]
