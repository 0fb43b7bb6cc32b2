"""Baseline placer: first in, first out with first fit and a failure limit."""

import collections
from collections.abc import Sequence

from ..core import announcement, errors, job, record, resource
from . import decision, ledger, placer

# A job is rejected after this many failures, on whichever workers they occurred.
MAX_FAILURES = 10


class Baseline:
    """Start jobs in order of submission on the first workers with enough capacity.

    There are no guarantees and no preemption, and the head of the queue blocks the
    rest. A job that has failed `MAX_FAILURES` times is rejected.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._ledger = ledger.Ledger()
        self._queue: collections.OrderedDict[str, job.Job] = collections.OrderedDict()
        self._failures: dict[str, int] = {}
        self._lost_jobs: dict[str, None] = {}
        self._excluded: set[str] = set()

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Apply drains and quarantines; guarantees are ignored."""
        excluded = {
            item.name
            for records in (configuration.drains, configuration.quarantines)
            for item in records.values()
            if item.failure_domain == self._failure_domain
        }
        for worker in self._excluded ^ excluded:
            self._ledger.set_enabled(worker, worker not in excluded)
        self._excluded = excluded

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or update its capacity."""
        if worker.failure_domain == self._failure_domain:
            capacity = ledger.amounts_of(worker.capacity)
            self._ledger.set_worker(worker.id, worker.rack, capacity, True)

    def worker_silent(self, worker: str, now: float) -> None:
        """Ignore silent workers; only `worker_down` removes one."""

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; `plan` stops its gangs."""
        ledger_worker = self._ledger.worker(worker)
        self._ledger.set_worker(
            worker, ledger_worker.rack, ledger_worker.capacity, False
        )
        self._lost_jobs.update(dict.fromkeys(ledger_worker.jobs))

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Ignore automatic quarantines."""

    def job_changed(self, job: job.Job, now: float) -> None:
        """Apply the committed state of a job, which may be any `JobState`."""
        if job.state is _QUEUED or job.state in _FINAL:
            self._ledger.release(job.job_id)
            self._queue.pop(job.job_id, None)
            if job.state is _QUEUED:
                self._queue[job.job_id] = job
            return
        self._queue.pop(job.job_id, None)
        if job.allocation is not None and job.job_id not in self._ledger.holdings:
            self._allocate(job, [task.worker for task in job.allocation.tasks], now)

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Ignore checkpoints; nothing is preempted."""

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Count a failure of the job."""
        self._failures[job_id] = self._failures.get(job_id, 0) + 1

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Ignore reports of usage."""

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""
        decisions: list[decision.Decision] = []
        for job_id in self._lost_jobs:
            if job_id in self._ledger.holdings:
                decisions.append(decision.Stop(job_id, decision.StopReason.WORKER_LOST))
        self._lost_jobs.clear()
        while self._queue:
            job_id, head = next(iter(self._queue.items()))
            if self._failures.get(job_id, 0) >= MAX_FAILURES:
                del self._queue[job_id]
                decisions.append(decision.Reject(job_id, _infeasible_error()))
                continue
            workers = self._first_fit(head.spec.shape)
            if workers is None:
                if not self._fits_empty_workers(head.spec.shape):
                    del self._queue[job_id]
                    decisions.append(decision.Reject(job_id, _infeasible_error()))
                    continue
                break
            del self._queue[job_id]
            self._allocate(head, workers, now)
            decisions.append(decision.Place(job_id, tuple(workers)))
        return decisions

    def shortfalls(self, now: float) -> Sequence[placer.Shortfall]:
        """Return no shortfalls, since guarantees are ignored."""
        return ()

    def _allocate(
        self, job_record: job.Job, workers: Sequence[str], now: float
    ) -> None:
        spec = job_record.spec
        self._ledger.allocate(
            ledger.Holding(
                job_record.job_id, spec.account, spec.shape, workers, 1, True, now
            )
        )

    def _fits_empty_workers(self, shape: resource.GangShape) -> bool:
        return self._locate(shape, lambda worker: worker.capacity) is not None

    def _first_fit(self, shape: resource.GangShape) -> list[str] | None:
        return self._locate(
            shape, lambda w: ledger.free(w) if w.is_schedulable else ledger.ZERO
        )

    def _locate(self, shape: resource.GangShape, view) -> list[str] | None:
        task_amounts = ledger.amounts_of(shape.each)
        workers_by_group: dict[str, list[str]] = {}
        for worker in self._ledger.workers.values():
            slots = ledger.count_slots(view(worker), task_amounts)
            group = {
                resource.Adjacency.NONE: "",
                resource.Adjacency.RACK: worker.rack,
                resource.Adjacency.WORKER: worker.id,
            }[shape.adjacency]
            group_workers = workers_by_group.setdefault(group, [])
            group_workers += [worker.id] * min(slots, shape.tasks - len(group_workers))
            if len(group_workers) == shape.tasks:
                return group_workers
        return None


_QUEUED = job.JobState.QUEUED
_FINAL = job.FINAL_STATES


def _infeasible_error() -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.JOB_INFEASIBLE,
        errors.Outcome.UNKNOWN,
        f"the job does not fit or has failed {MAX_FAILURES} times",
    )


def make_placer(failure_domain: str) -> placer.Placer:
    """Make the baseline placer of a failure domain."""
    return Baseline(failure_domain)
