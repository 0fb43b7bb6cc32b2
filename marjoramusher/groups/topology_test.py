"""Guards against a domain group that is created twice with different members."""

import pytest

from marjoramusher.consensus import message
from marjoramusher.core import codec
from marjoramusher.groups import topology


class RecordingMachine:
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
    machine = topology.TopologyMachine(RecordingMachine())
    machine.apply(1, topology.encode_create_command(FIRST))
    result = machine.apply(2, topology.encode_create_command(SECOND))
    assert machine.groups == {**SECOND, **FIRST}
    assert codec.unpack(result, topology.GroupConfigs) == machine.groups


@pytest.mark.parametrize("command", [b"", b"x", codec.pack([1]), codec.pack(None)])
def test_other_commands_are_handed_on_unchanged(command):
    inner = RecordingMachine()
    machine = topology.TopologyMachine(inner)
    assert machine.apply(1, command) == b"inner"
    assert inner.commands == [command]


def test_malformed_command_changes_nothing():
    machine = topology.TopologyMachine(RecordingMachine())
    machine.apply(1, topology.encode_create_command(FIRST))
    machine.apply(2, topology.COMMAND_PREFIX + b"\xc1")
    assert machine.groups == FIRST


def test_snapshot_holds_both():
    machine = topology.TopologyMachine(RecordingMachine())
    machine.apply(1, topology.encode_create_command(FIRST))
    machine.apply(2, b"x")
    restored = topology.TopologyMachine(RecordingMachine())
    restored.restore(machine.snapshot())
    assert restored.groups == FIRST
    assert restored.snapshot() == machine.snapshot()
