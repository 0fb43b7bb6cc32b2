"""Application of committed job states to the placer's state."""

from ..core import job
from . import allocator, claimant, ledger, reclaim, state

_QUEUED = job.JobState.QUEUED


class JobLifecycle:
    """Update queue, claims and ledger when the committed state of a job changes."""

    def __init__(
        self,
        shared: state.PlacerState,
        job_allocator: allocator.Allocator,
        pending_claims: claimant.PendingClaims,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._pending_claims = pending_claims

    def requeue(self, job_record: job.Job, now: float) -> None:
        """Queue a job and release its resources, unless its claim is pending."""
        job_id = job_record.job_id
        previous_record = self._state.jobs.get(job_id)
        is_waiting = job_id in self._pending_claims or job_id in self._state.queue
        if is_waiting and previous_record == job_record:
            return
        self._state.jobs[job_id] = job_record
        if job_id in self._pending_claims:
            return
        self._allocator.release(job_id, now)
        self._state.queue.remove(job_id)
        self._state.quarantine.restore_failures(job_id, job_record.failed_on)
        self._allocator.enqueue(job_record, now)

    def set_running(self, job_record: job.Job, now: float) -> None:
        """Apply the state of a job that holds workers."""
        job_id = job_record.job_id
        previous_record = self._state.jobs.get(job_id)
        self._state.jobs[job_id] = job_record
        if self._state.queue.remove(job_id) is not None:
            self._state.reservations.cancel(job_id)
        allocation = job_record.allocation
        if allocation is None:
            return
        workers = [task.worker for task in allocation.tasks]
        holding = self._state.ledger.holdings.get(job_id)
        if holding is None:
            self._adopt(job_record, allocation, workers, now)
            holding = self._state.ledger.holdings[job_id]
        self.record_progress(job_id, job_record.progress_s, now)
        if job_record.state is job.JobState.STOPPING:
            if holding.stop_requested_at is None:
                self._state.ledger.mark_stopping(job_id, now)
        elif (
            holding.stop_requested_at is not None
            and previous_record is not None
            and previous_record.state is job_record.state
        ):
            # The same state again after a stop decision means that the stop was not
            # committed.
            self._state.ledger.mark_stopping(job_id, None)

    def _adopt(
        self,
        job_record: job.Job,
        allocation: job.Allocation,
        workers: list[str],
        now: float,
    ) -> None:
        """Allocate the resources of a gang that an earlier leader placed."""
        rank = reclaim.borrower_rank(job_record.spec.job_class)
        self._pending_claims.cancel(job_record.job_id)
        if allocation.guarantee is not None and self._state.plan.adopt(
            allocation.guarantee,
            job_record.job_id,
            workers,
            self._state.profiles.shape(job_record),
        ):
            rank = ledger.GUARANTEED_RANK
        self._allocator.allocate(job_record, workers, rank, now)

    def finish(self, job_record: job.Job, now: float) -> None:
        """Remove a finished job from all state."""
        job_id = job_record.job_id
        self._state.queue.remove(job_id)
        self._pending_claims.cancel(job_id)
        is_done = job_record.state is job.JobState.DONE
        if is_done:
            self._state.profiles.record_run(job_record)
        self._state.quarantine.record_end(job_id, now, is_done)
        self._allocator.release(job_id, now)
        self._state.overuse.forget(job_id)
        self._state.reservations.cancel(job_id)
        self._state.profiles.forget(job_id)
        self._state.moved_at.pop(job_id, None)
        self._state.isolation.forget(job_id)
        self._state.jobs.pop(job_id, None)

    def dequeue_rejected(self, job_id: str) -> bool:
        """Remove a rejected job from the queue; return whether it is known."""
        if job_id in self._state.queue:
            self._state.queue.remove(job_id)
            return True
        return job_id in self._state.ledger.holdings or job_id in self._pending_claims

    def requeue_all(self, now: float) -> None:
        """Queue all queued jobs again, with the current contracts and guarantees."""
        for job_id, job_record in self._state.jobs.items():
            if (
                job_record.state is _QUEUED
                and job_id not in self._pending_claims
                and job_id not in self._state.ledger.holdings
            ):
                self._state.queue.remove(job_id)
                self._allocator.enqueue(job_record, now)

    def record_progress(self, job_id: str, progress_s: float, now: float) -> None:
        """Record the run time saved in a checkpoint."""
        holding = self._state.ledger.holdings.get(job_id)
        if holding is not None and progress_s > holding.progress_s:
            holding.progress_s = progress_s
            holding.checkpointed_at = now
