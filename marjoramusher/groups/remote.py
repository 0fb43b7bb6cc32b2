"""Access to a group that runs only on other instances."""

import reactivex
import reactivex.subject

from ..consensus import message
from . import forward


class RemoteGroup:
    """Forwards proposals to a group that this instance is not a member of.

    Parameters
    ----------
    name : str
        Name of the group.
    forwarder : Forwarder
        Forwards the calls to the group's leader.
    """

    __slots__ = ("_applied", "_forwarder", "_name", "_roles")

    def __init__(self, name: str, forwarder: forward.Forwarder) -> None:
        self._name = name
        self._forwarder = forwarder
        self._applied: reactivex.Subject[int] = reactivex.subject.Subject()
        self._roles: reactivex.Subject[message.RoleChanged] = (
            reactivex.subject.Subject()
        )

    @property
    def name(self) -> str:
        """Return the name of the group."""
        return self._name

    @property
    def is_leader(self) -> bool:
        """Return false, since this instance is not a member."""
        return False

    @property
    def leader(self) -> str | None:
        """Return the instance that last accepted a call as leader."""
        return self._forwarder.leader

    @property
    def applied_index(self) -> int:
        """Return 0, since nothing is applied here."""
        return 0

    @property
    def applied(self) -> reactivex.Observable[int]:
        """Return a stream that stays empty."""
        return self._applied

    @property
    def roles(self) -> reactivex.Observable[message.RoleChanged]:
        """Return a stream that stays empty."""
        return self._roles

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Ask the leader to commit a command."""
        return await self._forwarder.call(forward.PROPOSE_METHOD, command, timeout_s)

    async def barrier(self, timeout_s: float) -> None:
        """Wait until the leader has confirmed its leadership."""
        await self._forwarder.call(forward.BARRIER_METHOD, b"", timeout_s)
