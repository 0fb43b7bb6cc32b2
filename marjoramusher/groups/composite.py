"""One replicated machine made of named parts."""

import msgspec

from ..consensus import machine
from ..core import codec


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A command for one part."""

    name: str
    command: bytes


class CompositeMachine:
    """Hand each command to the part that it names.

    Parameters
    ----------
    parts : dict of str to Machine
        Parts by name; the names are written to the log and can't be changed.
    """

    def __init__(self, parts: dict[str, machine.Machine]) -> None:
        self._parts = parts

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command to its part."""
        part = codec.unpack(command, Part)
        return self._parts[part.name].apply(index, part.command)

    def snapshot(self) -> bytes:
        """Return the snapshots of all parts."""
        return codec.pack({n: part.snapshot() for n, part in self._parts.items()})

    def restore(self, data: bytes) -> None:
        """Restore all parts."""
        for name, snapshot in codec.unpack(data, dict[str, bytes]).items():
            self._parts[name].restore(snapshot)


def part_command(name: str, command: bytes) -> bytes:
    """Return the command of the composite for one part."""
    return codec.pack(Part(name, command))
