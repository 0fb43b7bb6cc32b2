"""Guards against a domain group that is created twice with different members."""

import pytest

from marjoramusher.consensus import message
from marjoramusher.core import codec
from marjoramusher.groups import topology


class Inner:
    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b"inner"

    def snapshot(self):
        return codec.pack(self.commands)

    def restore(self, data):
        self.commands = codec.unpack(data, list[bytes])


FIRST = {"domain:a": message.GroupConfig((message.VoterId("a1", "s1"),))}
SECOND = {
    "domain:a": message.GroupConfig((message.VoterId("a2", "s2"),)),
    "domain:b": message.GroupConfig((message.VoterId("b1", "s3"),)),
}


def test_first_proposal_for_a_group_wins():
    made = topology.TopologyMachine(Inner())
    made.apply(1, topology.create_command(FIRST))
    result = made.apply(2, topology.create_command(SECOND))
    assert made.groups == {**SECOND, **FIRST}
    assert codec.unpack(result, topology.Groups) == made.groups


@pytest.mark.parametrize("command", [b"", b"x", codec.pack([1]), codec.pack(None)])
def test_other_commands_are_handed_on_unchanged(command):
    inner = Inner()
    made = topology.TopologyMachine(inner)
    assert made.apply(1, command) == b"inner"
    assert inner.commands == [command]


def test_malformed_command_changes_nothing():
    made = topology.TopologyMachine(Inner())
    made.apply(1, topology.create_command(FIRST))
    made.apply(2, topology.MARK + b"\xc1")
    assert made.groups == FIRST


def test_snapshot_holds_both():
    made = topology.TopologyMachine(Inner())
    made.apply(1, topology.create_command(FIRST))
    made.apply(2, b"x")
    again = topology.TopologyMachine(Inner())
    again.restore(made.snapshot())
    assert again.groups == FIRST
    assert again.snapshot() == made.snapshot()
