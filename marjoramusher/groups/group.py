"""What the rest of the daemon sees of a consensus group."""

from typing import Protocol

import reactivex

from ..consensus import message


class Member(Protocol):
    """What is known of a group at an instance that takes part in it."""

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
    """A replicated machine that this instance votes in, learns from or reaches."""

    @property
    def name(self) -> str:
        """Return ``records`` or ``domain:<failure domain>``."""

    @property
    def leader(self) -> str | None:
        """Return the instance id of the known leader."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command and return what the machine's `apply` gave.

        Raises
        ------
        NoQuorumError
            With outcome ``not_run`` if the command was never appended, ``unknown`` if
            it may still be committed.
        """

    async def barrier(self, timeout_s: float) -> None:
        """Wait until the local machine holds all that was committed before the call."""


class LeaderGroup(Member, Protocol):
    """What a driver sees of the group that it acts for as leader."""

    @property
    def term(self) -> int:
        """Return the current term, which rises with each leadership."""

    async def propose_as_leader(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command as leader and return what the machine's `apply` gave."""

    async def barrier_as_leader(self, timeout_s: float) -> bytes:
        """Confirm leadership and return the packed index to wait for."""
