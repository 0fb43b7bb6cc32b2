"""Committed states of jobs, as the placer takes them over."""

from ..core import job
from . import allocator, claimant, ledger, reclaim, state

_QUEUED = job.JobState.QUEUED


class Lifecycle:
    """Take over the states of jobs."""

    def __init__(
        self,
        shared: state.State,
        job_allocator: allocator.Allocator,
        claimants: claimant.Claimants,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._claimants = claimants

    def requeue(self, known: job.Job, now: float) -> None:
        """Queue a job that is not queued yet."""
        job_id = known.job_id
        before = self._state.jobs.get(job_id)
        is_waiting = job_id in self._claimants or job_id in self._state.queue
        if is_waiting and before == known:
            return
        self._state.jobs[job_id] = known
        if job_id in self._claimants:
            return
        self._allocator.release(job_id, now)
        self._state.queue.remove(job_id)
        self._state.quarantine.seed(job_id, known.failed_on)
        self._allocator.enqueue(known, now)

    def run(self, known: job.Job, now: float) -> None:
        """Take over a job that holds workers."""
        job_id = known.job_id
        before = self._state.jobs.get(job_id)
        self._state.jobs[job_id] = known
        if self._state.queue.remove(job_id) is not None:
            self._state.reservations.drop(job_id)
        allocation = known.allocation
        if allocation is None:
            return
        workers = [task.worker for task in allocation.tasks]
        holding = self._state.ledger.holdings.get(job_id)
        if holding is None:
            self._adopt(known, allocation, workers, now)
            holding = self._state.ledger.holdings[job_id]
        self.save(job_id, known.progress_s, now)
        if known.state is job.JobState.STOPPING:
            if holding.stop_at is None:
                self._state.ledger.mark_stopping(job_id, now)
        elif (
            holding.stop_at is not None
            and before is not None
            and before.state is known.state
        ):
            # The same state again after a Stop says that the stop was not committed.
            self._state.ledger.mark_stopping(job_id, None)

    def _adopt(
        self, known: job.Job, allocation: job.Allocation, workers: list[str], now: float
    ) -> None:
        """Take over a gang that an earlier leader placed."""
        rank = reclaim.rank_of(known.spec.job_class)
        self._claimants.cancel(known.job_id)
        if allocation.guarantee is not None and self._state.plan.adopt(
            allocation.guarantee,
            known.job_id,
            workers,
            self._state.profiles.shape(known),
        ):
            rank = ledger.CHARGED
        self._allocator.add(known, workers, rank, now)

    def finish(self, known: job.Job, now: float) -> None:
        """Forget a job that is over."""
        job_id = known.job_id
        self._state.queue.remove(job_id)
        self._claimants.cancel(job_id)
        is_done = known.state is job.JobState.DONE
        if is_done:
            self._state.profiles.learn(known)
        self._state.quarantine.ended(job_id, now, is_done)
        self._allocator.release(job_id, now)
        self._state.overuse.forget(job_id)
        self._state.reservations.drop(job_id)
        self._state.profiles.forget(job_id)
        self._state.moved.pop(job_id, None)
        self._state.jobs.pop(job_id, None)

    def refuse(self, job_id: str) -> bool:
        """Tell whether a job may be refused; a queued one is removed."""
        if job_id in self._state.queue:
            self._state.queue.remove(job_id)
            return True
        return job_id in self._state.ledger.holdings or job_id in self._claimants

    def requeue_all(self, now: float) -> None:
        """Read contracts and guarantees of queued jobs again."""
        for job_id, known in self._state.jobs.items():
            if (
                known.state is _QUEUED
                and job_id not in self._claimants
                and job_id not in self._state.ledger.holdings
            ):
                self._state.queue.remove(job_id)
                self._allocator.enqueue(known, now)

    def save(self, job_id: str, progress_s: float, now: float) -> None:
        """Note run time saved in a checkpoint."""
        holding = self._state.ledger.holdings.get(job_id)
        if holding is not None and progress_s > holding.progress_s:
            holding.progress_s = progress_s
            holding.checkpoint_at = now
