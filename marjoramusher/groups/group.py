"""Interfaces of a consensus group to the rest of the daemon."""

from typing import Protocol

import reactivex

from ..consensus import message


class Member(Protocol):
    """State of a group as known to this instance."""

    @property
    def is_leader(self) -> bool:
        """Tell whether this instance leads with a fresh quorum."""

    @property
    def applied_index(self) -> int:
        """Return the index of the last applied entry."""

    @property
    def applied(self) -> reactivex.Observable[int]:
        """Return the stream of applied indexes, one for each batch."""

    @property
    def roles(self) -> reactivex.Observable[message.RoleChanged]:
        """Return the stream of role changes."""


class Group(Member, Protocol):
    """A group that this instance is a member of or forwards calls to."""

    @property
    def name(self) -> str:
        """Return the name, ``records`` or ``domain:<failure domain>``."""

    @property
    def leader(self) -> str | None:
        """Return the instance id of the known leader."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command and return the result of the machine's `apply`.

        Raises
        ------
        NoQuorumError
            With outcome ``not_run`` if the command was never appended, ``unknown`` if
            it may still be committed.
        """

    async def barrier(self, timeout_s: float) -> None:
        """Wait until the local machine has applied all that is committed so far."""


class LeaderGroup(Member, Protocol):
    """Interface of a group to a driver that runs while this instance leads it."""

    @property
    def term(self) -> int:
        """Return the current term, which rises with each change of leadership."""

    async def propose_as_leader(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command as leader and return the result of the machine's `apply`."""

    async def barrier_as_leader(self, timeout_s: float) -> bytes:
        """Confirm leadership; return the encoded index that a read waits for."""
