"""In-memory fake of the `Group` interface with a single member."""

import reactivex
import reactivex.subject

from ..consensus import machine, message
from ..core import codec


class LocalGroup:
    """Applies each command at once, without a log or peers.

    Parameters
    ----------
    name : str
        Name of the group.
    state_machine : Machine
        Machine that applies the commands.
    """

    def __init__(self, name: str, state_machine: machine.Machine) -> None:
        self._name = name
        self._machine = state_machine
        self._index = 0
        self._applied = reactivex.subject.Subject()
        self._roles = reactivex.subject.Subject()

    @property
    def name(self) -> str:
        """Return the name of the group."""
        return self._name

    @property
    def is_leader(self) -> bool:
        """Return true: there is no other member."""
        return True

    @property
    def term(self) -> int:
        """Return the term of the only leadership."""
        return 1

    @property
    def leader(self) -> str | None:
        """Return the name of the only member."""
        return "local"

    @property
    def applied_index(self) -> int:
        """Return the number of commands applied."""
        return self._index

    @property
    def applied(self) -> reactivex.Observable[int]:
        """Return the stream of applied indexes."""
        return self._applied

    @property
    def roles(self) -> reactivex.Observable[message.RoleChanged]:
        """Return a stream that stays empty."""
        return self._roles

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Apply a command."""
        del timeout_s
        self._index += 1
        result = self._machine.apply(self._index, command)
        self._applied.on_next(self._index)
        return result

    async def propose_as_leader(self, command: bytes, timeout_s: float) -> bytes:
        """Apply a command."""
        return await self.propose(command, timeout_s)

    async def barrier(self, timeout_s: float) -> None:
        """Return at once."""
        del timeout_s

    async def barrier_as_leader(self, timeout_s: float) -> bytes:
        """Return the packed number of commands applied."""
        del timeout_s
        return codec.pack(self._index)
