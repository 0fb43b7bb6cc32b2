"""Room that is made by stopping or moving borrowers."""

from . import (
    claimant,
    decision,
    fragmentation,
    ledger,
    queue,
    reclaim,
    reservations,
    state,
)

# Places that are compared; more rarely give a better one.
MAX_CANDIDATES = 4


class Preemptor:
    """Make room for a job that fits nowhere."""

    def __init__(
        self, shared: state.State, pending_claims: claimant.PendingClaims
    ) -> None:
        self._state = shared
        self._pending_claims = pending_claims

    def end_backfill(
        self,
        queued: queue.QueuedJob,
        reservation: reservations.Reservation,
        subqueue: queue.SubQueue,
        now: float,
    ) -> list[decision.Decision] | None:
        """Start a gang on its reserved workers by stopping what was backfilled."""
        found = self._state.reservations.workers_without_backfill(reservation)
        if found is None:
            return None
        amounts = ledger.amounts_by_worker(found, ledger.amounts_of(queued.shape.each))
        victims = reclaim.choose_victims(
            self._state.ledger, amounts, lambda holding: holding.is_backfilled, now
        )
        if victims is None:
            return None
        return self._stop_for(queued, found, amounts, victims, subqueue, now)

    def _stop_for(
        self,
        queued: queue.QueuedJob,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        victims: list[ledger.Holding],
        subqueue: queue.SubQueue,
        now: float,
    ) -> list[decision.Decision] | None:
        if not queued.job.spec.repeatable and not self._state.plan.replan_around(
            amounts
        ):
            return None
        for victim in victims:
            self._state.moved_at[victim.job_id] = now
        reason = decision.StopReason.DEFRAGMENT
        return self._pending_claims.claim(
            queued, workers, amounts, subqueue.rank, None, victims, now, reason
        )

    def move(
        self,
        queued: queue.QueuedJob,
        ready_at: float,
        subqueue: queue.SubQueue,
        now: float,
    ) -> list[decision.Decision] | None:
        """Start a waiting gang by moving smaller borrowers, if that is cheaper."""
        if "no_move" in self._state.options:
            return None
        wait_s = ready_at - now
        excluded = self._state.quarantine.avoided(now).union(queued.job.failed_on)
        move = fragmentation.choose_move(
            self._state.ledger,
            self._state.cell_indexes,
            queued.shape,
            wait_s,
            excluded,
            now,
        )
        if move is None:
            return None
        amounts = ledger.amounts_by_worker(
            move.workers, ledger.amounts_of(queued.shape.each)
        )
        return self._stop_for(
            queued, move.workers, amounts, move.victims, subqueue, now
        )

    def preempt(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> list[decision.Decision] | None:
        """Make room for an urgent job by stopping best effort borrowers."""
        each = ledger.amounts_of(queued.shape.each)
        best = None
        view = ledger.free_after_preemption
        if not queued.job.spec.repeatable:
            view = ledger.uncommitted_after_preemption
        places = self._state.cell_indexes.candidates(queued.shape, view, excluded)
        for workers in reclaim.take_first(places, MAX_CANDIDATES):
            amounts = ledger.amounts_by_worker(workers, each)
            victims = reclaim.choose_victims(
                self._state.ledger, amounts, reclaim.preemptible_by(2), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, workers, amounts, victims)
        if best is None:
            return None
        _, workers, amounts, victims = best
        return self._pending_claims.claim(
            queued, workers, amounts, 2, None, victims, now
        )
