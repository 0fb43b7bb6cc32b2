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

    def __init__(self, shared: state.State, claimants: claimant.Claimants) -> None:
        self._state = shared
        self._claimants = claimants

    def end_backfill(
        self,
        waiting: queue.Waiting,
        reservation: reservations.Reservation,
        lane: queue.Lane,
        now: float,
    ) -> list[decision.Decision] | None:
        """Start a gang on its reserved workers by stopping what was backfilled."""
        found = self._state.reservations.without_backfill(reservation)
        if found is None:
            return None
        amounts = ledger.spread(found, ledger.amounts_of(waiting.shape.each))
        victims = reclaim.choose_victims(
            self._state.ledger, amounts, lambda holding: holding.backfilled, now
        )
        if victims is None:
            return None
        return self._stop_for(waiting, found, amounts, victims, lane, now)

    def _stop_for(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        victims: list[ledger.Holding],
        lane: queue.Lane,
        now: float,
    ) -> list[decision.Decision] | None:
        if not waiting.job.spec.repeatable and not self._state.plan.vacate(amounts):
            return None
        for victim in victims:
            self._state.moved[victim.job_id] = now
        reason = decision.StopReason.DEFRAGMENT
        return self._claimants.claim(
            waiting, workers, amounts, lane.rank, None, victims, now, reason
        )

    def move(
        self, waiting: queue.Waiting, ready_at: float, lane: queue.Lane, now: float
    ) -> list[decision.Decision] | None:
        """Start a waiting gang by moving smaller borrowers, if that is cheaper."""
        if "no_move" in self._state.options:
            return None
        wait_s = ready_at - now
        avoid = self._state.quarantine.avoided(now).union(waiting.job.failed_on)
        move = fragmentation.choose_move(
            self._state.ledger,
            self._state.cells,
            waiting.shape,
            wait_s,
            avoid,
            now,
        )
        if move is None:
            return None
        amounts = ledger.spread(move.workers, ledger.amounts_of(waiting.shape.each))
        return self._stop_for(waiting, move.workers, amounts, move.victims, lane, now)

    def preempt(
        self, waiting: queue.Waiting, avoid: set[str], now: float
    ) -> list[decision.Decision] | None:
        """Make room for an urgent job by stopping best effort borrowers."""
        each = ledger.amounts_of(waiting.shape.each)
        best = None
        view = ledger.yielding_free
        if not waiting.job.spec.repeatable:
            view = ledger.yielding_solid
        places = self._state.cells.candidates(waiting.shape, view, avoid)
        for workers in reclaim.first(places, MAX_CANDIDATES):
            amounts = ledger.spread(workers, each)
            victims = reclaim.choose_victims(
                self._state.ledger, amounts, reclaim.victims_of(2), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, workers, amounts, victims)
        if best is None:
            return None
        _, workers, amounts, victims = best
        return self._claimants.claim(waiting, workers, amounts, 2, None, victims, now)
