"""Reach the leader of a group from any instance."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias

import msgspec

from ..core import clock, codec, errors
from ..instances import client
from . import proposer

BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4  # an election takes one to two seconds
PROPOSE = proposer.PROPOSE
BARRIER = "barrier"
LEADER = "leader"
FIND_S = 0.5
# An instance that gave no answer is not asked again at once: an attempt to reach a
# frozen one takes half of an election.
AVOID_S = 1.0
ATTEMPT_S = 0.8  # thirteen round trips between regions; below an election

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
    """A barrier for the leader of a group."""

    group: str
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
        "_avoided",
        "_clock",
        "_proposer",
        "_group",
        "_hint",
        "_waiting",
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
        self._proposer = proposer.Proposer(group, peers)
        self._clock = time
        self._candidates = candidates
        self._local = local
        self._rng = rng
        self._hint: str | None = None
        self._waiting: dict[asyncio.Timeout, str | None] = {}
        self._avoided: dict[str, float] = {}

    @property
    def leader(self) -> str | None:
        """Return the instance that last took a call as leader."""
        return self._hint

    async def call(
        self,
        method: str,
        command: bytes,
        timeout_s: float,
        leader: Callable[[], str | None] | None = None,
        *,
        idempotent: bool = False,
    ) -> bytes:
        """Call the leader; a call that was not run is tried again until the deadline.

        The call is sent only to an instance that is said to lead. Sent to one that is
        cut off, it would be lost and its outcome unknown.

        Parameters
        ----------
        leader : callable or None
            Gives the leader that this instance knows as a member of the group;
            without it, the instance that took the last call is tried first.
        idempotent : bool
            Whether a call whose answer is lost may be tried again, too. Each attempt
            then has a part of the time only.

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
        asked = 0
        unknown = False
        while (left_s := deadline_s - self._clock.monotonic()) > 0:
            target = redirect
            # Every other attempt asks others, since what is known may be old.
            if target is None and attempt % 2 == 0:
                target = leader() if leader else self._hint
            if target is None:
                try:
                    async with self._unless_found(None):
                        target = await self._find(asked, left_s)
                except TimeoutError:
                    target = self._hint
                asked += 1
                left_s = deadline_s - self._clock.monotonic()
            redirect = None
            attempt += 1
            if target is not None and left_s > 0:
                if idempotent:
                    left_s = min(left_s, ATTEMPT_S)
                try:
                    async with self._unless_found(target, idempotent):
                        answer = await self._ask(target, method, command, left_s)
                except TimeoutError:
                    unknown = True
                    redirect = self._hint
                    continue
                except errors.MarjoramusherError as error:
                    self._avoid(target, error)
                    lost = error.outcome is not errors.Outcome.NOT_RUN
                    unknown = unknown or lost
                    if not (idempotent and lost and error.code in _RETRIED):
                        self._check(error)
                    if self._hint == target:
                        self._hint = None
                    redirect = _redirect(error, target)
                    if redirect is not None and attempt % 4:
                        continue
                else:
                    self._note_leader(target)
                    return answer
            left_s = max(deadline_s - self._clock.monotonic(), 0)
            pause_s = min(left_s, backoff_s * self._rng.uniform(0.5, 1.0))
            try:
                async with self._unless_found(None):
                    await asyncio.sleep(pause_s)
            except TimeoutError:
                redirect = self._hint
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise errors.NoQuorumError(
            f"no leader of {self._group} was found in time",
            errors.Outcome.UNKNOWN if unknown else errors.Outcome.NOT_RUN,
        )

    def _note_leader(self, target: str) -> None:
        """Note who took a call, and have calls that wait elsewhere go on there.

        A call that waited longer than later ones would be answered from a newer
        state than they are.
        """
        if self._hint == target:
            return
        self._hint = target
        now = asyncio.get_running_loop().time()
        for limit, elsewhere in self._waiting.items():
            if elsewhere != target:
                limit.reschedule(now)

    @contextlib.asynccontextmanager
    async def _unless_found(
        self, target: str | None, can_repeat: bool = True
    ) -> AsyncIterator[None]:
        """Raise `TimeoutError` once another call reaches a leader elsewhere.

        Parameters
        ----------
        target : str or None
            Instance that is called meanwhile, if any.
        can_repeat : bool
            Whether what is done meanwhile may be given up and done elsewhere.
        """
        if not can_repeat:
            yield
            return
        async with asyncio.timeout(None) as limit:
            self._waiting[limit] = target
            try:
                yield
            finally:
                del self._waiting[limit]

    async def _find(self, turn: int, left_s: float) -> str | None:
        """Ask one instance, each in its turn, who leads the group."""
        candidates = self._candidates()
        if not candidates:
            return None
        now = self._clock.monotonic()
        heard = [c for c in candidates if self._avoided.get(c, now) <= now]
        asked = (heard or candidates)[turn % len(heard or candidates)]
        try:
            answer = await self._peers.call(
                asked, LEADER, self._group.encode(), min(left_s, FIND_S)
            )
        except errors.MarjoramusherError as error:
            self._avoid(asked, error)
            return None
        return answer.decode() or None

    def _avoid(self, target: str, error: errors.MarjoramusherError) -> None:
        """Ask others first for a while if an instance gave no answer."""
        if error.code is errors.ErrorCode.PEER_UNREACHABLE:
            self._avoided[target] = self._clock.monotonic() + AVOID_S

    async def _ask(
        self, target: str, method: str, command: bytes, left_s: float
    ) -> bytes:
        if target == self._own:
            return await self._local(method, command, left_s)
        if method == PROPOSE:
            return await self._proposer.propose(target, command, left_s)
        if method == BARRIER:
            command = codec.pack(Forwarded(self._group, left_s))
        return await self._peers.call(target, method, command, left_s)

    def _check(self, error: errors.MarjoramusherError) -> None:
        """Raise unless the call was certainly not run and may be tried again."""
        if error.code not in _RETRIED:
            raise error
        if error.outcome is not errors.Outcome.NOT_RUN:
            raise errors.NoQuorumError(error.message, error.outcome) from error


def _redirect(error: errors.MarjoramusherError, target: str) -> str | None:
    leader = error.details.get("leader") or None
    return leader if leader != target else None
