"""Initial members of the domain groups, which the records group decides once."""

import msgspec

from ..consensus import machine, message
from ..core import codec, errors

# Byte that never starts a msgpack value, so that no other command begins with it.
COMMAND_PREFIX = b"\xc1"

GroupConfigs = dict[str, message.GroupConfig]


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    groups: GroupConfigs
    inner: bytes


class TopologyMachine:
    """Holds the initial members of each domain group and wraps another machine.

    The first proposal for a group wins, so a group is created only once, no matter how
    many leaders propose it.

    Parameters
    ----------
    wrapped : Machine
        Machine that applies all other commands, which are passed on unchanged.
    """

    __slots__ = ("_groups", "_wrapped")

    def __init__(self, wrapped: machine.Machine) -> None:
        self._wrapped = wrapped
        self._groups: GroupConfigs = {}

    @property
    def groups(self) -> GroupConfigs:
        """Return the initial members of each group."""
        return self._groups

    def apply(self, index: int, command: bytes) -> bytes:
        """Create groups, or pass a command on to the wrapped machine."""
        if not command.startswith(COMMAND_PREFIX):
            return self._wrapped.apply(index, command)
        try:
            proposed = codec.unpack(command[len(COMMAND_PREFIX) :], GroupConfigs)
        except errors.BadRequestError:
            # Ignored alike on every instance, so that their states stay equal.
            return codec.pack(self._groups)
        self._groups = proposed | self._groups
        return codec.pack(self._groups)

    def snapshot(self) -> bytes:
        """Return the encoded groups and the wrapped machine's state."""
        return codec.pack(_Snapshot(self._groups, self._wrapped.snapshot()))

    def restore(self, data: bytes) -> None:
        """Restore the groups and the wrapped machine's state."""
        snapshot = codec.unpack(data, _Snapshot)
        self._groups = snapshot.groups
        self._wrapped.restore(snapshot.inner)


def encode_create_command(groups: GroupConfigs) -> bytes:
    """Encode the command that creates groups."""
    return COMMAND_PREFIX + codec.pack(groups)
