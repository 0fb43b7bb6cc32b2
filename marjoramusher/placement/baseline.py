"""First in first out, first fit, and plain counts: what the placer is compared to."""

import collections
from collections.abc import Sequence

from ..core import announcement, errors, job, record, resource
from . import decision, ledger, placer

# The plain count that gives a job up, wherever it has failed.
MAX_FAILURES = 10


class Baseline:
    """Start jobs in the order of submission on the first workers that have room.

    There are no guarantees and no preemption; the head of the queue blocks the rest.
    A job that has failed a fixed number of times is given up.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._ledger = ledger.Ledger()
        self._queue: collections.OrderedDict[str, job.Job] = collections.OrderedDict()
        self._failures: dict[str, int] = {}
        self._lost: dict[str, None] = {}
        self._kept_off: set[str] = set()

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Take over drains and quarantines; guarantees are ignored."""
        kept_off = {
            kept.name
            for records in (configuration.drains, configuration.quarantines)
            for kept in records.values()
            if kept.failure_domain == self._failure_domain
        }
        for worker in self._kept_off ^ kept_off:
            self._ledger.set_enabled(worker, worker not in kept_off)
        self._kept_off = kept_off

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or take over its changed capacity."""
        if worker.failure_domain == self._failure_domain:
            capacity = ledger.amounts_of(worker.capacity)
            self._ledger.set_worker(worker.id, worker.rack, capacity, True)

    def worker_silent(self, worker: str, now: float) -> None:
        """Ignore silence; only a lost lease counts."""

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; its gangs are stopped by `plan`."""
        known = self._ledger.worker(worker)
        self._ledger.set_worker(worker, known.rack, known.capacity, False)
        self._lost.update(dict.fromkeys(known.jobs))

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Ignore automatic quarantines."""

    def job_changed(self, job: job.Job, now: float) -> None:
        """Take over a job's committed state, for any of its states."""
        if job.state is _QUEUED or job.state in _FINAL:
            self._ledger.release(job.job_id)
            self._queue.pop(job.job_id, None)
            if job.state is _QUEUED:
                self._queue[job.job_id] = job
            return
        self._queue.pop(job.job_id, None)
        if job.allocation is not None and job.job_id not in self._ledger.holdings:
            self._hold(job, [task.worker for task in job.allocation.tasks], now)

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Ignore checkpoints; nothing is preempted."""

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Count a failure."""
        self._failures[job_id] = self._failures.get(job_id, 0) + 1

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Ignore what a task uses."""

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""
        made: list[decision.Decision] = []
        for job_id in self._lost:
            if job_id in self._ledger.holdings:
                made.append(decision.Stop(job_id, decision.StopReason.WORKER_LOST))
        self._lost.clear()
        while self._queue:
            job_id, head = next(iter(self._queue.items()))
            if self._failures.get(job_id, 0) >= MAX_FAILURES:
                del self._queue[job_id]
                made.append(decision.Reject(job_id, _given_up()))
                continue
            workers = self._first_fit(head.spec.shape)
            if workers is None:
                if not self._could_fit(head.spec.shape):
                    del self._queue[job_id]
                    made.append(decision.Reject(job_id, _given_up()))
                    continue
                break
            del self._queue[job_id]
            self._hold(head, workers, now)
            made.append(decision.Place(job_id, tuple(workers)))
        return made

    def shortfalls(self, now: float) -> Sequence[placer.Shortfall]:
        """Return nothing, since no guarantee is kept."""
        return ()

    def _hold(self, known: job.Job, workers: Sequence[str], now: float) -> None:
        spec = known.spec
        self._ledger.add_holding(
            ledger.Holding(
                known.job_id, spec.account, spec.shape, workers, 1, True, now
            )
        )

    def _could_fit(self, shape: resource.GangShape) -> bool:
        return self._fit(shape, lambda worker: worker.capacity) is not None

    def _first_fit(self, shape: resource.GangShape) -> list[str] | None:
        return self._fit(
            shape, lambda w: ledger.free(w) if w.is_schedulable else ledger.ZERO
        )

    def _fit(self, shape: resource.GangShape, view) -> list[str] | None:
        each = ledger.amounts_of(shape.each)
        groups: dict[str, list[str]] = {}
        for worker in self._ledger.workers.values():
            slots = ledger.count_slots(view(worker), each)
            group = {
                resource.Adjacency.NONE: "",
                resource.Adjacency.RACK: worker.rack,
                resource.Adjacency.WORKER: worker.id,
            }[shape.adjacency]
            found = groups.setdefault(group, [])
            found += [worker.id] * min(slots, shape.tasks - len(found))
            if len(found) == shape.tasks:
                return found
        return None


_QUEUED = job.JobState.QUEUED
_FINAL = job.FINAL_STATES


def _given_up() -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.JOB_INFEASIBLE,
        errors.Outcome.UNKNOWN,
        f"the job does not fit or has failed {MAX_FAILURES} times",
    )


def make_placer(failure_domain: str) -> placer.Placer:
    """Make the baseline placer of a failure domain."""
    return Baseline(failure_domain)
