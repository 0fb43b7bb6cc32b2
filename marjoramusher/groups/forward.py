"""Forwarding of calls to the leader of a group from any instance."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias

import msgspec

from ..core import clock, codec, errors
from ..instances import client
from . import proposer

INITIAL_BACKOFF_S = 0.05
# Lookups wait at the other instance for a leader, so there is little to gain by pauses
# between them.
MAX_BACKOFF_S = 0.15
PROPOSE_METHOD = proposer.PROPOSE_METHOD
BARRIER_METHOD = "barrier"
LEADER_METHOD = "leader"
FIND_LEADER_TIMEOUT_S = 0.5
# How long an instance that knows no leader waits for one before it answers a lookup;
# with a round trip between regions, the answer arrives within `FIND_LEADER_TIMEOUT_S`.
LEADER_WAIT_S = 0.3
# Instances that are asked for the leader at the same time.
LOOKUP_FANOUT = 3
# How long an unreachable instance is avoided in lookups, since an attempt to reach a
# frozen one takes half the time of an election.
AVOID_UNREACHABLE_S = 1.0
# Thirteen round trips between regions, and less than an election takes.
ATTEMPT_TIMEOUT_S = 0.8

_RETRYABLE_CODES = frozenset(
    {
        errors.ErrorCode.NOT_LEADER,
        errors.ErrorCode.NO_QUORUM,
        errors.ErrorCode.NOT_FOUND,
        errors.ErrorCode.STORE_FAILED,
        errors.ErrorCode.PEER_UNREACHABLE,
        errors.ErrorCode.DRAINING,
    }
)

LocalCall: TypeAlias = Callable[[str, bytes, float], Awaitable[bytes]]


class BarrierCall(msgspec.Struct, frozen=True, array_like=True):
    """Read barrier requested from the leader of a group."""

    group: str
    timeout_s: float


class Forwarder:
    """Forwards calls to the leader of one group, following leader hints.

    Parameters
    ----------
    candidates : callable
        Returns the instances that may know the leader, best first.
    call_local : callable
        ``call_local(method, command, timeout_s)`` runs a call at this instance.
    """

    __slots__ = (
        "_candidates",
        "_avoided_until_s",
        "_clock",
        "_failed_leader",
        "_proposer",
        "_group",
        "_leader_hint",
        "_lookup",
        "_target_by_timeout",
        "_call_local",
        "_instance_id",
        "_peers",
        "_rng",
    )

    def __init__(
        self,
        group: str,
        instance_id: str,
        peers: client.PeerClient,
        time: clock.Clock,
        candidates: Callable[[], list[str]],
        call_local: LocalCall,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._instance_id = instance_id
        self._peers = peers
        self._proposer = proposer.Proposer(group, peers)
        self._clock = time
        self._candidates = candidates
        self._call_local = call_local
        self._rng = rng
        self._leader_hint: str | None = None
        self._failed_leader: str | None = None
        self._lookup: asyncio.Task[str | None] | None = None
        self._target_by_timeout: dict[asyncio.Timeout, str | None] = {}
        self._avoided_until_s: dict[str, float] = {}

    @property
    def leader(self) -> str | None:
        """Return the instance that last accepted a call as leader."""
        return self._leader_hint

    async def call(
        self,
        method: str,
        command: bytes,
        timeout_s: float,
        known_leader: Callable[[], str | None] | None = None,
        *,
        idempotent: bool = False,
        is_rejection: Callable[[bytes], bool] | None = None,
    ) -> bytes:
        """Call the leader, and retry until the deadline while the call was not run.

        The call is sent only to an instance known or reported as the leader. A call
        sent to an instance that is cut off is lost, and its outcome unknown.

        The outcome covers all attempts. Once an answer was lost, a later rejection says
        only that the later attempt was not run.

        Parameters
        ----------
        known_leader : callable or None
            Returns the leader known to this instance as a member of the group. Without
            it, the instance that accepted the last call is tried first.
        idempotent : bool
            Whether a call whose answer is lost may be retried too. Each attempt then
            takes `ATTEMPT_TIMEOUT_S` at most.
        is_rejection : callable or None
            Tells whether an answer says that the call was not run.

        Raises
        ------
        NoQuorumError
            With outcome ``not_run`` if no leader accepted the call before the
            deadline, ``unknown`` if an answer was lost.
        MarjoramusherError
            If the leader rejects the call; with outcome ``unknown`` if an earlier
            answer was lost.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        backoff_s = INITIAL_BACKOFF_S
        redirect: str | None = None
        attempt = 0
        lookup_count = 0
        may_have_run = False
        while (remaining_s := deadline_s - self._clock.monotonic()) > 0:
            target = redirect
            # Every other attempt looks the leader up, since the hint may be outdated.
            if target is None and attempt % 2 == 0:
                target = known_leader() if known_leader else self._leader_hint
            if target is None:
                try:
                    async with self._interrupted_by_new_leader(None):
                        target = await self._find_leader(lookup_count, remaining_s)
                except TimeoutError:
                    target = self._leader_hint
                lookup_count += 1
                remaining_s = deadline_s - self._clock.monotonic()
            redirect = None
            attempt += 1
            if target is not None and remaining_s > 0:
                if idempotent:
                    remaining_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
                try:
                    async with self._interrupted_by_new_leader(target, idempotent):
                        answer = await self._send(target, method, command, remaining_s)
                except TimeoutError:
                    may_have_run = True
                    self._failed_leader = target
                    redirect = self._leader_hint
                    continue
                except errors.MarjoramusherError as error:
                    self._avoid_if_unreachable(target, error)
                    is_answer_lost = error.outcome is not errors.Outcome.NOT_RUN
                    may_have_run = may_have_run or is_answer_lost
                    if not (
                        idempotent and is_answer_lost and error.code in _RETRYABLE_CODES
                    ):
                        self._raise_unless_retryable(error, may_have_run)
                    self._failed_leader = target
                    if self._leader_hint == target:
                        self._leader_hint = None
                    redirect = _redirect(error, target)
                    # Every fourth attempt backs off, in case redirects form a loop.
                    if redirect is not None and attempt % 4:
                        continue
                else:
                    self._record_leader(target)
                    if may_have_run and is_rejection and is_rejection(answer):
                        raise errors.NoQuorumError(
                            "an answer was lost, and a later attempt was rejected",
                            errors.Outcome.UNKNOWN,
                        )
                    return answer
            remaining_s = max(deadline_s - self._clock.monotonic(), 0)
            pause_s = min(remaining_s, backoff_s * self._rng.uniform(0.5, 1.0))
            try:
                async with self._interrupted_by_new_leader(None):
                    await asyncio.sleep(pause_s)
            except TimeoutError:
                redirect = self._leader_hint
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise errors.NoQuorumError(
            f"no leader of {self._group} was found in time",
            errors.Outcome.UNKNOWN if may_have_run else errors.Outcome.NOT_RUN,
        )

    def _record_leader(self, leader: str) -> None:
        """Record the leader and redirect interruptible calls that wait elsewhere.

        Without the redirection, a call could be answered much later than calls that
        were made after it, from a newer state than theirs.
        """
        self._failed_leader = None
        if self._leader_hint == leader:
            return
        self._leader_hint = leader
        now = asyncio.get_running_loop().time()
        for timeout, target in self._target_by_timeout.items():
            if target != leader:
                timeout.reschedule(now)

    @contextlib.asynccontextmanager
    async def _interrupted_by_new_leader(
        self, target: str | None, is_repeatable: bool = True
    ) -> AsyncIterator[None]:
        """Raise `TimeoutError` once another call finds the leader elsewhere.

        Parameters
        ----------
        target : str or None
            Instance that the body of the context calls, if any.
        is_repeatable : bool
            Whether the body may be interrupted and repeated; if not, it never is.
        """
        if not is_repeatable:
            yield
            return
        async with asyncio.timeout(None) as timeout:
            self._target_by_timeout[timeout] = target
            try:
                yield
            finally:
                del self._target_by_timeout[timeout]

    async def _find_leader(self, lookup_index: int, remaining_s: float) -> str | None:
        """Return the leader that other instances know; calls share one lookup."""
        if self._lookup is None or self._lookup.done():
            self._lookup = asyncio.get_running_loop().create_task(
                self._ask_candidates(lookup_index)
            )
        try:
            async with asyncio.timeout(remaining_s):
                return await asyncio.shield(self._lookup)
        except TimeoutError:
            return None

    async def _ask_candidates(self, lookup_index: int) -> str | None:
        """Ask some candidates at once, and return the first leader that they name.

        An instance that was just called without success is returned only if nobody
        names another, since not all candidates learn of a new leader at once.
        """
        candidates = self._candidates()
        now = self._clock.monotonic()
        reachable = [c for c in candidates if self._avoided_until_s.get(c, now) <= now]
        asked = reachable or candidates
        start = lookup_index % len(asked) if asked else 0
        targets = (asked[start:] + asked[:start])[:LOOKUP_FANOUT]
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._ask_candidate(target)) for target in targets]
        named: str | None = None
        try:
            for next_answer in asyncio.as_completed(tasks):
                leader = await next_answer
                named = leader or named
                if leader is not None and leader != self._failed_leader:
                    return leader
        finally:
            for task in tasks:
                task.cancel()
        return named

    async def _ask_candidate(self, target: str) -> str | None:
        try:
            leader = await self._peers.call(
                target, LEADER_METHOD, self._group.encode(), FIND_LEADER_TIMEOUT_S
            )
        except errors.MarjoramusherError as error:
            self._avoid_if_unreachable(target, error)
            return None
        return leader.decode() or None

    def _avoid_if_unreachable(
        self, target: str, error: errors.MarjoramusherError
    ) -> None:
        """Avoid an instance in lookups for a while if it is unreachable."""
        if error.code is errors.ErrorCode.PEER_UNREACHABLE:
            self._avoided_until_s[target] = (
                self._clock.monotonic() + AVOID_UNREACHABLE_S
            )

    async def _send(
        self, target: str, method: str, command: bytes, remaining_s: float
    ) -> bytes:
        if target == self._instance_id:
            return await self._call_local(method, command, remaining_s)
        if method == PROPOSE_METHOD:
            return await self._proposer.propose(target, command, remaining_s)
        if method == BARRIER_METHOD:
            command = codec.pack(BarrierCall(self._group, remaining_s))
        return await self._peers.call(target, method, command, remaining_s)

    def _raise_unless_retryable(
        self, error: errors.MarjoramusherError, may_have_run: bool
    ) -> None:
        """Raise unless the call was certainly not run and may be retried.

        Parameters
        ----------
        may_have_run : bool
            Whether this attempt or an earlier one may have run.
        """
        if error.code not in _RETRYABLE_CODES:
            if may_have_run and error.outcome is errors.Outcome.NOT_RUN:
                raise errors.MarjoramusherError(
                    error.code, error.message, errors.Outcome.UNKNOWN, error.details
                ) from error
            raise error
        if error.outcome is not errors.Outcome.NOT_RUN:
            raise errors.NoQuorumError(error.message, error.outcome) from error


def _redirect(error: errors.MarjoramusherError, target: str) -> str | None:
    leader = error.details.get("leader") or None
    return leader if leader != target else None
