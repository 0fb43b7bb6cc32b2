"""Claims of jobs that wait until preempted jobs have stopped."""

from collections.abc import Iterator

from . import allocator, decision, guarantee, ledger, queue, reclaim, state


class PendingClaims:
    """Hold resources for waiting jobs until the victims on them have stopped."""

    def __init__(
        self, shared: state.PlacerState, job_allocator: allocator.Allocator
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._claims: dict[str, reclaim.Claim] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._claims

    def cancel(self, job_id: str) -> None:
        """Cancel the claim of a job that runs elsewhere or has ended."""
        claim = self._claims.pop(job_id, None)
        if claim is not None:
            self._free(claim)
            self._state.plan.release(job_id)

    def claim(
        self,
        queued: queue.QueuedJob,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        rank: int,
        entry: guarantee.PlanEntry | None,
        victims: list[ledger.Holding],
        now: float,
        reason: decision.StopReason = decision.StopReason.RECLAIM,
    ) -> list[decision.Decision]:
        """Claim workers for a queued job and stop the victims on them."""
        job_id = queued.job.job_id
        self._state.queue.remove(job_id)
        claim = reclaim.Claim(job_id, workers, amounts, rank, entry, now)
        self._claims[job_id] = claim
        self._state.ledger.adjust_claimed(amounts, 1)
        if entry is None and not queued.job.spec.repeatable:
            # A non-preemptible job will hold these amounts, so guarantees must not be
            # assigned to them meanwhile.
            claim.is_committed = True
            self._state.ledger.adjust_committed(amounts, 1)
        if entry is not None:
            self._state.plan.charge(entry, job_id)
        return [
            stop
            for victim in victims
            for stop in self._allocator.stop(victim.job_id, reason, now, job_id)
        ]

    def resolve(self, now: float) -> Iterator[decision.Decision]:
        """Start jobs whose claimed resources are free and cancel infeasible claims."""
        for job_id, claim in list(self._claims.items()):
            if self._claims.get(job_id) is not claim:
                continue
            entry = claim.entry
            is_entry_taken = entry is not None and entry.job_id != job_id
            if is_entry_taken or not claim.is_schedulable(self._state.ledger):
                self._cancel_claim(claim, now)
            elif claim.is_ready(self._state.ledger):
                del self._claims[job_id]
                self._free(claim)
                yield self._allocator.start(
                    self._state.jobs[job_id],
                    claim.workers,
                    claim.rank,
                    claim.entry,
                    now,
                )
            else:
                yield from self._choose_victims_again(claim, now)

    def _choose_victims_again(
        self, claim: reclaim.Claim, now: float
    ) -> Iterator[decision.Decision]:
        """Choose victims again if a stop failed or another claim used the resources.

        If no stops can free enough, a guaranteed job cancels the borrowers' claims on
        the same workers; a borrower's own claim is cancelled.
        """
        self._state.ledger.adjust_claimed(claim.amounts, -1, is_release=False)
        victims = reclaim.choose_victims(
            self._state.ledger, claim.amounts, reclaim.preemptible_by(claim.rank), now
        )
        self._state.ledger.adjust_claimed(claim.amounts, 1)
        if victims is not None:
            for victim in victims:
                yield from self._allocator.stop(
                    victim.job_id, decision.StopReason.RECLAIM, now, claim.job_id
                )
            return
        if claim.rank < 3:
            self._cancel_claim(claim, now)
            return
        for other in list(self._claims.values()):
            if other.rank < 3 and other.amounts.keys() & claim.amounts.keys():
                self._cancel_claim(other, now)

    def _free(self, claim: reclaim.Claim) -> None:
        """Free the claimed amounts."""
        self._state.ledger.adjust_claimed(claim.amounts, -1)
        if claim.is_committed:
            self._state.ledger.adjust_committed(claim.amounts, -1)
            self._state.plan.capacity_changed()

    def _cancel_claim(self, claim: reclaim.Claim, now: float) -> None:
        """Cancel a claim and queue its job again."""
        del self._claims[claim.job_id]
        self._free(claim)
        self._state.plan.release(claim.job_id)
        job_record = self._state.jobs.get(claim.job_id)
        if job_record is not None:
            self._allocator.enqueue(job_record, now)
