"""The order in which queued jobs are tried."""

import heapq
import itertools
from collections.abc import Iterator

from . import attempt, decision, queue, state

# Bounds one call of plan after a wave; the rest follows with the next call.
MAX_PLACEMENTS = 256


class Dispatcher:
    """Try queued jobs as long as something may start."""

    def __init__(self, shared: state.State, attempts: attempt.Attempts) -> None:
        self._state = shared
        self._attempts = attempts
        self._serial = itertools.count()
        self._drained = (-1, -1)
        self._next_retry = 0.0

    def plan(self, now: float) -> Iterator[decision.Decision]:
        """Yield what can start now."""
        if now >= self._next_retry:
            self._next_retry = now + attempt.RETRY_S
            self.unblock()
            self._state.reservations.refresh(now)
        # Nothing that waits can start unless something was released or added.
        if len(self._state.queue) and self._drained != self._seen():
            yield from self._drain(now)

    def unblock(self) -> None:
        """Forget what was tried in vain."""
        self._attempts.blocked.clear()
        self._drained = (-1, -1)
        for lane in self._state.queue.lanes():
            lane.blocked_at = -1

    def _seen(self) -> tuple[int, int]:
        return (self._state.ledger.releases, self._state.queue.added)

    def _drain(self, now: float) -> Iterator[decision.Decision]:
        heap: list[tuple] = []
        releases = self._state.ledger.releases
        for demand, lanes in self._state.queue.by_demand():
            if self._attempts.blocked.get((demand, ())) != releases:
                self._attempts.check_room(demand, next(iter(lanes)))
            for lane in lanes:
                self._push(heap, lane, now)
        placed = 0
        while heap and placed < MAX_PLACEMENTS:
            lane = heapq.heappop(heap)[-1]
            if not lane.jobs or self._attempts.is_hopeless(lane, lane.head(), now):
                continue
            made = self._attempts.try_lane(lane, lane.head(), now)
            if made is None:
                continue
            placed += 1
            yield from made
            if lane.jobs:
                self._push(heap, lane, now)
        if not heap:
            self._drained = self._seen()

    def _push(self, heap: list[tuple], lane: queue.Lane, now: float) -> None:
        if lane.blocked_at == self._state.ledger.releases:
            return
        waiting = lane.head()
        if (
            lane.is_retry
            and self._state.quarantine.paused_until(waiting.job.job_id) > now
        ):
            return
        if self._attempts.is_hopeless(lane, waiting, now):
            return
        if lane.covering is None:
            spec = waiting.job.spec
            lane.covering = self._state.plan.covering(
                spec.account, spec.job_class, waiting.shape
            )
            lane.exact = self._state.plan.exact(lane.covering, waiting.shape)
        # A job that failed is tried before new ones: where it runs now tells
        # whether the job or the worker is at fault.
        tier = -2 if lane.rank == 2 else -1 if lane.is_retry else 0
        if lane.exact and self._state.plan.has_unused(lane.exact):
            # Before smaller jobs of the account that would use up the gang.
            tier = -2
        share = self._state.accounts.get(lane.account).share
        key = self._state.order.key(waiting, share, now)
        heapq.heappush(heap, (tier, key, next(self._serial), lane))
