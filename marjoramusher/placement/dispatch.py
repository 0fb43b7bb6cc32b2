"""Dispatch of queued jobs in the order of the queue."""

import heapq
import itertools
from collections.abc import Iterator

from . import attempt, decision, queue, state

# Bounds the duration of one call of `plan` after many submissions; the next call
# continues.
MAX_PLACEMENTS = 256


class Dispatcher:
    """Try queued jobs in order until no more can start."""

    def __init__(
        self, shared: state.PlacerState, attempts: attempt.PlacementAttempts
    ) -> None:
        self._state = shared
        self._attempts = attempts
        self._sequence = itertools.count()
        self._exhausted_version = (-1, -1)
        self._next_retry_at = 0.0

    def plan(self, now: float) -> Iterator[decision.Decision]:
        """Yield the decisions for queued jobs that can start now."""
        if now >= self._next_retry_at:
            self._next_retry_at = now + attempt.RETRY_INTERVAL_S
            self.unblock_all()
            self._state.reservations.refresh(now)
        # No queued job can start unless resources were released or jobs were added.
        if len(self._state.queue) and self._exhausted_version != self._state_version():
            yield from self._try_subqueues(now)

    def unblock_all(self) -> None:
        """Discard the record of failed attempts."""
        self._attempts.failed_at_release.clear()
        self._exhausted_version = (-1, -1)
        for subqueue in self._state.queue.subqueues():
            subqueue.blocked_at_release = -1

    def _state_version(self) -> tuple[int, int]:
        """Return counters that change when another attempt may succeed."""
        return (self._state.ledger.releases, self._state.queue.added_count)

    def _try_subqueues(self, now: float) -> Iterator[decision.Decision]:
        heap: list[tuple] = []
        releases = self._state.ledger.releases
        for demand_id, subqueues in self._state.queue.subqueues_by_demand():
            if self._attempts.failed_at_release.get((demand_id, ())) != releases:
                self._attempts.block_if_full(demand_id, next(iter(subqueues)))
            for subqueue in subqueues:
                self._push(heap, subqueue, now)
        placed_count = 0
        while heap and placed_count < MAX_PLACEMENTS:
            subqueue = heapq.heappop(heap)[-1]
            if not subqueue.jobs or self._attempts.is_blocked(
                subqueue, subqueue.head(), now
            ):
                continue
            decisions = self._attempts.try_head(subqueue, subqueue.head(), now)
            if decisions is None:
                continue
            placed_count += 1
            yield from decisions
            if subqueue.jobs:
                self._push(heap, subqueue, now)
        if not heap:
            self._exhausted_version = self._state_version()

    def _push(self, heap: list[tuple], subqueue: queue.SubQueue, now: float) -> None:
        if subqueue.blocked_at_release == self._state.ledger.releases:
            return
        queued = subqueue.head()
        if (
            subqueue.is_retry
            and self._state.quarantine.paused_until(queued.job.job_id) > now
        ):
            return
        if self._attempts.is_blocked(subqueue, queued, now):
            return
        if subqueue.usable_guarantees is None:
            spec = queued.job.spec
            subqueue.usable_guarantees = self._state.plan.usable_by(
                spec.account, spec.job_class, queued.shape
            )
            subqueue.exact_guarantees = self._state.plan.with_exact_shape(
                subqueue.usable_guarantees, queued.shape
            )
        # Urgent jobs come first. A job that has failed comes before new ones, since its
        # next run shows whether the job or the worker is at fault.
        tier = -2 if subqueue.rank == 2 else -1 if subqueue.is_retry else 0
        if subqueue.exact_guarantees and self._state.plan.has_unused(
            subqueue.exact_guarantees
        ):
            # A job with an unused guarantee of its exact shape comes before smaller
            # jobs of the account that would use up the guaranteed gang.
            tier = -2
        share = self._state.accounts.get(subqueue.account).share
        key = self._state.queue_order.key(queued, share, now)
        heapq.heappush(heap, (tier, key, next(self._sequence), subqueue))
