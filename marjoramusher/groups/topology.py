"""First members of the domain groups, decided once through the records group."""

import msgspec

from ..consensus import machine, message
from ..core import codec, errors

# A byte that starts no msgpack value, so that no command of the records begins so.
MARK = b"\xc1"

Groups = dict[str, message.GroupConfig]


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    groups: Groups
    inner: bytes


class TopologyMachine:
    """Keep the first members of each domain group beside another machine.

    The first proposal for a group wins. A group can therefore be created only once,
    whichever leaders propose it and however often.

    Parameters
    ----------
    inner : Machine
        Gets all other commands unchanged.
    """

    __slots__ = ("_groups", "_inner")

    def __init__(self, inner: machine.Machine) -> None:
        self._inner = inner
        self._groups: Groups = {}

    @property
    def groups(self) -> Groups:
        """Return the first members of each group."""
        return self._groups

    def apply(self, index: int, command: bytes) -> bytes:
        """Create groups, or apply a command of the other machine."""
        if not command.startswith(MARK):
            return self._inner.apply(index, command)
        try:
            wanted = codec.unpack(command[len(MARK) :], Groups)
        except errors.BadRequestError:
            return codec.pack(self._groups)  # the same on every instance
        self._groups = wanted | self._groups
        return codec.pack(self._groups)

    def snapshot(self) -> bytes:
        """Return the groups and the other machine's state."""
        return codec.pack(_Snapshot(self._groups, self._inner.snapshot()))

    def restore(self, data: bytes) -> None:
        """Restore both."""
        stored = codec.unpack(data, _Snapshot)
        self._groups = stored.groups
        self._inner.restore(stored.inner)


def create_command(groups: Groups) -> bytes:
    """Return the command that creates groups."""
    return MARK + codec.pack(groups)
