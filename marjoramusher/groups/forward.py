"""Reach the leader of a group from any instance."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from ..core import clock, codec, errors
from ..instances import client

BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4  # an election takes one to two seconds
PROPOSE = "propose"
BARRIER = "barrier"

_RETRIED = frozenset(
    {
        errors.ErrorCode.NOT_LEADER,
        errors.ErrorCode.NO_QUORUM,
        errors.ErrorCode.NOT_FOUND,
        errors.ErrorCode.STORE_FAILED,
        errors.ErrorCode.PEER_UNREACHABLE,
        errors.ErrorCode.DRAINING,
    }
)

Local: TypeAlias = Callable[[str, bytes, float], Awaitable[bytes]]


class Forwarded(msgspec.Struct, frozen=True, array_like=True):
    """A proposal or barrier for the leader of a group."""

    group: str
    command: bytes
    timeout_s: float


class Forwarder:
    """Carry calls to the leader of one group, following hints.

    Parameters
    ----------
    candidates : callable
        Gives the instances that may know the leader, best first.
    local : callable
        ``local(method, command, timeout_s)`` runs a call at this instance.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_group",
        "_hint",
        "_local",
        "_own",
        "_peers",
        "_rng",
    )

    def __init__(
        self,
        group: str,
        own: str,
        peers: client.PeerClient,
        time: clock.Clock,
        candidates: Callable[[], list[str]],
        local: Local,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._own = own
        self._peers = peers
        self._clock = time
        self._candidates = candidates
        self._local = local
        self._rng = rng
        self._hint: str | None = None

    @property
    def leader(self) -> str | None:
        """Return the instance that last took a call as leader."""
        return self._hint

    async def call(
        self,
        method: str,
        command: bytes,
        timeout_s: float,
        leader: Callable[[], str | None] = lambda: None,
    ) -> bytes:
        """Call the leader; a call that was not run is tried again until the deadline.

        Parameters
        ----------
        leader : callable
            Gives the leader that this instance knows of, if any.

        Raises
        ------
        NoQuorumError
            With outcome ``not_run`` if no leader took the call before the deadline,
            ``unknown`` if the answer was lost.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        backoff_s = BACKOFF_S
        redirect: str | None = None
        attempt = 0
        while (left_s := deadline_s - self._clock.monotonic()) > 0:
            # Every other attempt goes past a known leader that may be gone.
            known = (leader() or self._hint) if attempt % 2 == 0 else None
            target = redirect or known or self._candidate(attempt) or leader()
            redirect = None
            attempt += 1
            if target is not None:
                try:
                    answer = await self._ask(target, method, command, left_s)
                except errors.MarjoramusherError as error:
                    self._check(error)
                    self._hint = None
                    redirect = _redirect(error, target)
                    if redirect is not None and attempt % 4:
                        continue
                else:
                    self._hint = target
                    return answer
            left_s = max(deadline_s - self._clock.monotonic(), 0)
            await asyncio.sleep(min(left_s, backoff_s * self._rng.uniform(0.5, 1.0)))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise errors.NoQuorumError(f"no leader of {self._group} was found in time")

    async def _ask(
        self, target: str, method: str, command: bytes, left_s: float
    ) -> bytes:
        if target == self._own:
            return await self._local(method, command, left_s)
        body = codec.pack(Forwarded(self._group, command, left_s))
        return await self._peers.call(target, method, body, left_s)

    def _candidate(self, attempt: int) -> str | None:
        candidates = self._candidates()
        return candidates[attempt % len(candidates)] if candidates else None

    def _check(self, error: errors.MarjoramusherError) -> None:
        """Raise unless the call was certainly not run and may be tried again."""
        if error.code not in _RETRIED:
            raise error
        if error.outcome is not errors.Outcome.NOT_RUN:
            raise errors.NoQuorumError(error.message, error.outcome) from error


def _redirect(error: errors.MarjoramusherError, target: str) -> str | None:
    leader = error.details.get("leader") or None
    return leader if leader != target else None
