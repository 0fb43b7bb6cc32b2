"""Guards against a command that precedes those of the recovery in a new epoch."""

from marjoramusher.consensus import message
from marjoramusher.core import codec
from marjoramusher.groups import recovery
from marjoramusher.storage import store

OWN = message.VoterId("i1", "s1")
OTHERS = (message.VoterId("i2", "s2"), message.VoterId("i3", "s3"))


def test_marks_follow_what_the_survivor_holds_and_come_first_in_the_new_epoch():
    group_store = store.MemoryStore()
    group_store.load()
    old = codec.pack(message.GroupConfig((OWN, *OTHERS)))
    entries = (
        message.Entry(1, 0, message.EntryKind.CONFIG, old),
        message.Entry(2, 4, message.EntryKind.COMMAND, b"acknowledged"),
    )
    group_store.append(message.HardState(4, OWN), None, entries, ())
    config = recovery.recover_with_loss(group_store, OWN, (b"first", b"second"))
    assert (config.voters, config.epoch) == ((OWN,), 1)
    stored = group_store.load()
    assert stored.entries[:2] == entries
    new_entries = stored.entries[2:]
    assert [entry.index for entry in new_entries] == [3, 4, 5]
    assert [entry.payload for entry in new_entries[1:]] == [b"first", b"second"]
    assert {entry.term for entry in new_entries} == {stored.hard_state.term} == {5}
