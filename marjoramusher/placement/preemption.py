"""Preemption of borrowers for jobs that find no free workers."""

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

# Number of candidate placements compared; more of them rarely contain a better one.
MAX_CANDIDATES = 4


class Preemptor:
    """Choose victims for a queued job and claim their resources."""

    def __init__(
        self, shared: state.PlacerState, pending_claims: claimant.PendingClaims
    ) -> None:
        self._state = shared
        self._pending_claims = pending_claims

    def preempt_backfill(
        self,
        queued: queue.QueuedJob,
        reservation: reservations.Reservation,
        subqueue: queue.SubQueue,
        now: float,
    ) -> list[decision.Decision] | None:
        """Claim a gang's reserved workers by stopping the backfilled jobs."""
        workers = self._state.reservations.workers_without_backfill(reservation)
        if workers is None:
            return None
        amounts = ledger.amounts_by_worker(
            workers, ledger.amounts_of(queued.shape.each)
        )
        victims = reclaim.choose_victims(
            self._state.ledger, amounts, lambda holding: holding.is_backfilled, now
        )
        if victims is None:
            return None
        return self._claim(queued, workers, amounts, victims, subqueue, now)

    def _claim(
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

    def defragment(
        self,
        queued: queue.QueuedJob,
        ready_at: float,
        subqueue: queue.SubQueue,
        now: float,
    ) -> list[decision.Decision] | None:
        """Claim workers by moving smaller borrowers, if cheaper than waiting."""
        if "no_move" in self._state.options:
            return None
        wait_s = ready_at - now
        excluded = self._state.quarantine.paused_workers(now).union(
            queued.job.failed_on,
            self._state.isolation.occupied_by_others(queued.job, now),
        )
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
        return self._claim(queued, move.workers, amounts, move.victims, subqueue, now)

    def preempt_best_effort(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> list[decision.Decision] | None:
        """Claim workers for an urgent job by stopping best effort borrowers."""
        task_amounts = ledger.amounts_of(queued.shape.each)
        best = None
        view = ledger.free_after_preemption
        if not queued.job.spec.repeatable:
            view = ledger.uncommitted_after_preemption
        placements = self._state.cell_indexes.candidates(queued.shape, view, excluded)
        for workers in reclaim.take_first(placements, MAX_CANDIDATES):
            amounts = ledger.amounts_by_worker(workers, task_amounts)
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
