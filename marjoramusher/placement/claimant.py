"""Jobs that wait for others to stop."""

from collections.abc import Iterator

from . import allocator, decision, guarantee, ledger, queue, reclaim, state


class Claimants:
    """Keep workers aside for jobs until the borrowers there have stopped."""

    def __init__(self, shared: state.State, job_allocator: allocator.Allocator) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._claims: dict[str, reclaim.Claim] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._claims

    def cancel(self, job_id: str) -> None:
        """Give up the claim of a job that runs elsewhere or is over."""
        claim = self._claims.pop(job_id, None)
        if claim is not None:
            self._unclaim(claim)
            self._state.plan.finish(job_id)

    def claim(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        rank: int,
        entry: guarantee.Entry | None,
        victims: list[ledger.Holding],
        now: float,
        reason: decision.StopReason = decision.StopReason.RECLAIM,
    ) -> list[decision.Decision]:
        """Set workers aside for a job and stop the borrowers there."""
        job_id = waiting.job.job_id
        self._state.queue.remove(job_id)
        claim = reclaim.Claim(job_id, workers, amounts, rank, entry, now)
        self._claims[job_id] = claim
        self._state.ledger.set_aside(amounts, 1)
        if entry is None and not waiting.job.spec.repeatable:
            # The plan must not count on this room while the claimant waits for it.
            claim.is_firm = True
            self._state.ledger.set_firm(amounts, 1)
        if entry is not None:
            self._state.plan.use(entry, job_id)
        return [
            stop
            for victim in victims
            for stop in self._allocator.stop(victim.job_id, reason, now, job_id)
        ]

    def settle(self, now: float) -> Iterator[decision.Decision]:
        """Start claimants whose workers are free; give up what can't be had."""
        for job_id, claim in list(self._claims.items()):
            if self._claims.get(job_id) is not claim:
                continue
            entry = claim.entry
            is_taken = entry is not None and entry.job_id != job_id
            if is_taken or not claim.is_open(self._state.ledger):
                self._drop(claim, now)
            elif claim.is_ready(self._state.ledger):
                del self._claims[job_id]
                self._unclaim(claim)
                yield self._allocator.hold(
                    self._state.jobs[job_id],
                    claim.workers,
                    claim.rank,
                    claim.entry,
                    now,
                )
            else:
                yield from self._more_victims(claim, now)

    def _more_victims(
        self, claim: reclaim.Claim, now: float
    ) -> Iterator[decision.Decision]:
        """Choose again if a stop did not happen or another claim took the room."""
        self._state.ledger.set_aside(claim.amounts, -1, wakes=False)
        victims = reclaim.choose_victims(
            self._state.ledger, claim.amounts, reclaim.victims_of(claim.rank), now
        )
        self._state.ledger.set_aside(claim.amounts, 1)
        if victims is not None:
            for victim in victims:
                yield from self._allocator.stop(
                    victim.job_id, decision.StopReason.RECLAIM, now, claim.job_id
                )
            return
        if claim.rank < 3:
            self._drop(claim, now)
            return
        for other in list(self._claims.values()):
            if other.rank < 3 and other.amounts.keys() & claim.amounts.keys():
                self._drop(other, now)

    def _unclaim(self, claim: reclaim.Claim) -> None:
        """Give up what was set aside for a claimant."""
        self._state.ledger.set_aside(claim.amounts, -1)
        if claim.is_firm:
            self._state.ledger.set_firm(claim.amounts, -1)
            self._state.plan.capacity_changed()

    def _drop(self, claim: reclaim.Claim, now: float) -> None:
        """Give up a claim's workers and queue its job again."""
        del self._claims[claim.job_id]
        self._unclaim(claim)
        self._state.plan.finish(claim.job_id)
        known = self._state.jobs.get(claim.job_id)
        if known is not None:
            self._allocator.enqueue(known, now)
