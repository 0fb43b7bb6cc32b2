"""Placement and release of jobs."""

from collections.abc import Iterator, Sequence

from ..core import job, resource
from . import decision, guarantee, ledger, queue, reclaim, state

# A Stop that has not become visible after this time is repeated.
STOP_REPEAT_S = 10.0


class Allocator:
    """Give jobs resources, take them back and queue jobs."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self.lost: dict[str, None] = {}

    def stop_lost(self, now: float) -> Iterator[decision.Stop]:
        """Stop the gangs of workers that are lost."""
        for job_id in list(self.lost):
            if job_id in self._state.ledger.holdings:
                yield from self.stop(job_id, decision.StopReason.WORKER_LOST, now)
            else:
                del self.lost[job_id]

    def place(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.Entry | None,
        now: float,
    ) -> decision.Place:
        """Take a job from the queue and start it."""
        self._state.queue.remove(waiting.job.job_id)
        if entry is not None:
            self._state.plan.use(entry, waiting.job.job_id)
        return self.hold(waiting.job, workers, rank, entry, now)

    def hold(
        self,
        known: job.Job,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.Entry | None,
        now: float,
    ) -> decision.Place:
        """Start a job that is not queued."""
        self._state.reservations.drop(known.job_id)
        self.add(known, workers, rank, now)
        name = entry.guarantee.name if entry is not None else None
        return decision.Place(known.job_id, workers, name)

    def add(
        self, known: job.Job, workers: Sequence[str], rank: int, now: float
    ) -> None:
        """Give a job its resources."""
        spec = known.spec
        holding = ledger.Holding(
            known.job_id,
            spec.account,
            self._state.profiles.shape(known),
            workers,
            rank,
            spec.repeatable,
            now,
        )
        holding.progress_s = known.progress_s
        holding.stops = known.epoch
        holding.estimate_s = self._state.profiles.estimate(known, 0.5)
        holding.moved_at = self._state.moved.get(known.job_id, holding.moved_at)
        if rank < 2 and self._state.reservations.touches(known.job_id, holding.amounts):
            holding.backfilled = True
        self._state.ledger.hold(holding)
        if holding.is_firm:
            self._state.plan.evict(holding.amounts)
        self._state.accounts.charge(holding, 1, now)
        self._state.quarantine.started(known.job_id, now)

    def stop(
        self,
        job_id: str,
        reason: decision.StopReason,
        now: float,
        on_behalf_of: str | None = None,
    ) -> Iterator[decision.Stop]:
        """Stop a gang unless it was told to stop lately."""
        holding = self._state.ledger.holdings.get(job_id)
        if holding is None:
            return
        if holding.stop_at is not None and now - holding.stop_at < STOP_REPEAT_S:
            return
        self._state.ledger.mark_stopping(job_id, now)
        if job_id in self._state.plan.by_job:
            self._state.plan.finish(job_id)
            self.demote(job_id)
        yield decision.Stop(job_id, reason, on_behalf_of)

    def enqueue(self, known: job.Job, now: float) -> None:
        """Queue a job."""
        spec = known.spec
        contract = self._state.configuration.contracts.get(spec.contract)
        expires_at_s = float("inf")
        if contract is not None:
            expires_at_s = contract.expires_at.timestamp() - self._state.wall_offset_s
        waiting = queue.Waiting(
            known,
            self._state.profiles.shape(known),
            min(now, known.submitted_at - self._state.wall_offset_s),
            self._state.profiles.estimate(known, 0.5),
            expires_at_s,
            known.progress_s * known.spec.shape.accelerators,
        )
        self._state.queue.add(waiting, reclaim.rank_of(spec.job_class))

    def release(self, job_id: str, now: float) -> None:
        """Take back what a job holds."""
        used = self._state.overuse.forget(job_id)
        if used is not None:
            self._state.profiles.set_use(job_id, used)
        holding = self._state.ledger.release(job_id)
        self.lost.pop(job_id, None)
        if holding is None:
            return
        self._state.accounts.charge(holding, -1, now)
        self._state.plan.finish(job_id)
        if holding.is_firm:
            self._state.plan.capacity_changed()

    def demote(self, job_id: str) -> None:
        """Let a job continue as a borrower."""
        holding = self._state.ledger.release(job_id)
        if holding is not None:
            known = self._state.jobs.get(job_id)
            job_class = known.spec.job_class if known else resource.JobClass.NORMAL
            holding.rank = reclaim.rank_of(job_class)
            self._state.ledger.hold(holding)
