"""A replicated state machine composed of named parts."""

import msgspec

from ..consensus import machine
from ..core import codec


class PartCommand(msgspec.Struct, frozen=True, array_like=True):
    """Command addressed to one part."""

    name: str
    command: bytes


class CompositeMachine:
    """Dispatches each command to the part that it names.

    Parameters
    ----------
    parts : dict of str to Machine
        Parts by name. The names are stored in the log, so they must never change.
    """

    def __init__(self, parts: dict[str, machine.Machine]) -> None:
        self._parts = parts

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command to the part that it names."""
        addressed = codec.unpack(command, PartCommand)
        return self._parts[addressed.name].apply(index, addressed.command)

    def snapshot(self) -> bytes:
        """Return the encoded snapshots of all parts."""
        return codec.pack({name: part.snapshot() for name, part in self._parts.items()})

    def restore(self, data: bytes) -> None:
        """Restore all parts from a snapshot."""
        for name, snapshot in codec.unpack(data, dict[str, bytes]).items():
            self._parts[name].restore(snapshot)


def part_command(name: str, command: bytes) -> bytes:
    """Encode a command for one part of a `CompositeMachine`."""
    return codec.pack(PartCommand(name, command))
