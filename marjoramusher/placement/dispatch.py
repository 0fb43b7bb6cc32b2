"""The order in which queued jobs are tried."""

import heapq
import itertools
from collections.abc import Iterator

from . import attempt, decision, queue, state

# Bounds one call of plan after a wave; the rest follows with the next call.
MAX_PLACEMENTS = 256


class Dispatcher:
    """Try queued jobs as long as something may start."""

    def __init__(
        self, shared: state.State, attempts: attempt.PlacementAttempts
    ) -> None:
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
        for subqueue in self._state.queue.subqueues():
            subqueue.blocked_at = -1

    def _seen(self) -> tuple[int, int]:
        return (self._state.ledger.releases, self._state.queue.added)

    def _drain(self, now: float) -> Iterator[decision.Decision]:
        heap: list[tuple] = []
        releases = self._state.ledger.releases
        for demand, subqueues in self._state.queue.by_demand():
            if self._attempts.blocked.get((demand, ())) != releases:
                self._attempts.check_room(demand, next(iter(subqueues)))
            for subqueue in subqueues:
                self._push(heap, subqueue, now)
        placed = 0
        while heap and placed < MAX_PLACEMENTS:
            subqueue = heapq.heappop(heap)[-1]
            if not subqueue.jobs or self._attempts.is_hopeless(
                subqueue, subqueue.head(), now
            ):
                continue
            made = self._attempts.try_head(subqueue, subqueue.head(), now)
            if made is None:
                continue
            placed += 1
            yield from made
            if subqueue.jobs:
                self._push(heap, subqueue, now)
        if not heap:
            self._drained = self._seen()

    def _push(self, heap: list[tuple], subqueue: queue.SubQueue, now: float) -> None:
        if subqueue.blocked_at == self._state.ledger.releases:
            return
        queued = subqueue.head()
        if (
            subqueue.is_retry
            and self._state.quarantine.paused_until(queued.job.job_id) > now
        ):
            return
        if self._attempts.is_hopeless(subqueue, queued, now):
            return
        if subqueue.covering is None:
            spec = queued.job.spec
            subqueue.covering = self._state.plan.usable_by(
                spec.account, spec.job_class, queued.shape
            )
            subqueue.exact = self._state.plan.with_exact_shape(
                subqueue.covering, queued.shape
            )
        # A job that failed is tried before new ones: where it runs now tells
        # whether the job or the worker is at fault.
        tier = -2 if subqueue.rank == 2 else -1 if subqueue.is_retry else 0
        if subqueue.exact and self._state.plan.has_unused(subqueue.exact):
            # Before smaller jobs of the account that would use up the gang.
            tier = -2
        share = self._state.accounts.get(subqueue.account).share
        key = self._state.queue_order.key(queued, share, now)
        heapq.heappush(heap, (tier, key, next(self._serial), subqueue))
