"""Allocation and release of job resources."""

from collections.abc import Iterator, Sequence

from ..core import job, resource
from . import decision, guarantee, ledger, queue, reclaim, state

# A stop decision without effect after this time is repeated.
STOP_RETRY_S = 10.0


class Allocator:
    """Allocate resources to jobs, release them, and queue jobs."""

    def __init__(self, shared: state.PlacerState) -> None:
        self._state = shared
        self.lost_jobs: dict[str, None] = {}

    def stop_lost_gangs(self, now: float) -> Iterator[decision.Stop]:
        """Stop the gangs that have lost a worker."""
        for job_id in list(self.lost_jobs):
            if job_id in self._state.ledger.holdings:
                yield from self.stop(job_id, decision.StopReason.WORKER_LOST, now)
            else:
                del self.lost_jobs[job_id]

    def place(
        self,
        queued: queue.QueuedJob,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.PlanEntry | None,
        now: float,
    ) -> decision.Place:
        """Remove a job from the queue and start it."""
        self._state.queue.remove(queued.job.job_id)
        if entry is not None:
            self._state.plan.charge(entry, queued.job.job_id)
        return self.start(queued.job, workers, rank, entry, now)

    def start(
        self,
        job_record: job.Job,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.PlanEntry | None,
        now: float,
    ) -> decision.Place:
        """Start a job that is not queued."""
        self._state.reservations.cancel(job_record.job_id)
        self.allocate(job_record, workers, rank, now)
        guarantee_name = entry.guarantee.name if entry is not None else None
        return decision.Place(job_record.job_id, workers, guarantee_name)

    def allocate(
        self, job_record: job.Job, workers: Sequence[str], rank: int, now: float
    ) -> None:
        """Allocate a job's resources on the given workers."""
        spec = job_record.spec
        holding = ledger.Holding(
            job_record.job_id,
            spec.account,
            self._state.profiles.shape(job_record),
            workers,
            rank,
            spec.repeatable,
            now,
        )
        holding.progress_s = job_record.progress_s
        holding.previous_starts = job_record.epoch
        holding.estimate_s = self._state.profiles.estimate(job_record, 0.5)
        holding.moved_at = self._state.moved_at.get(job_record.job_id, holding.moved_at)
        if rank < 2 and self._state.reservations.overlaps(
            job_record.job_id, holding.amounts
        ):
            holding.is_backfilled = True
        self._state.ledger.allocate(holding)
        if holding.is_pinned:
            self._state.plan.unassign_unsatisfiable(holding.amounts)
        self._state.accounts.adjust_usage(holding, 1, now)
        self._state.quarantine.record_start(job_record.job_id, now)
        self._state.isolation.record_start(job_record, holding.amounts, now)

    def stop(
        self,
        job_id: str,
        reason: decision.StopReason,
        now: float,
        on_behalf_of: str | None = None,
    ) -> Iterator[decision.Stop]:
        """Stop a gang unless a recent stop request is pending."""
        holding = self._state.ledger.holdings.get(job_id)
        if holding is None:
            return
        if (
            holding.stop_requested_at is not None
            and now - holding.stop_requested_at < STOP_RETRY_S
        ):
            return
        self._state.ledger.mark_stopping(job_id, now)
        if job_id in self._state.plan.by_job:
            self._state.plan.release(job_id)
            self.demote_to_borrower(job_id)
        yield decision.Stop(job_id, reason, on_behalf_of)

    def enqueue(self, job_record: job.Job, now: float) -> None:
        """Queue a job."""
        spec = job_record.spec
        contract = self._state.configuration.contracts.get(spec.contract)
        expires_at_s = float("inf")
        if contract is not None:
            expires_at_s = contract.expires_at.timestamp() - self._state.wall_offset_s
        queued = queue.QueuedJob(
            job_record,
            self._state.profiles.shape(job_record),
            min(now, job_record.submitted_at - self._state.wall_offset_s),
            self._state.profiles.estimate(job_record, 0.5),
            expires_at_s,
            job_record.progress_s * job_record.spec.shape.accelerators,
        )
        self._state.queue.add(queued, reclaim.borrower_rank(spec.job_class))

    def release(self, job_id: str, now: float) -> None:
        """Release the resources that a job holds."""
        usage = self._state.overuse.forget(job_id)
        if usage is not None:
            self._state.profiles.record_usage(job_id, usage)
        holding = self._state.ledger.release(job_id)
        self.lost_jobs.pop(job_id, None)
        if holding is None:
            return
        self._state.accounts.adjust_usage(holding, -1, now)
        self._state.plan.release(job_id)
        if holding.is_pinned:
            self._state.plan.capacity_changed()

    def demote_to_borrower(self, job_id: str) -> None:
        """Let a job continue without its guarantee."""
        holding = self._state.ledger.release(job_id)
        if holding is not None:
            job_record = self._state.jobs.get(job_id)
            job_class = (
                job_record.spec.job_class if job_record else resource.JobClass.NORMAL
            )
            holding.rank = reclaim.borrower_rank(job_class)
            self._state.ledger.allocate(holding)
