"""What is expected of jobs: run times and the size of their tasks."""

from ..core import job, resource
from . import estimate, ledger


class Profiles:
    """Estimates learned from jobs that ended, and from what running ones use."""

    __slots__ = ("_largest", "_learned", "_run_times")

    def __init__(self) -> None:
        self._run_times = estimate.RunTimes()
        self._learned: dict[str, resource.Resources] = {}
        self._largest = ledger.ZERO

    @property
    def largest(self) -> ledger.Amounts:
        """Return the largest capacity seen of a worker."""
        return self._largest

    def add_capacity(self, capacity: ledger.Amounts) -> None:
        """Note the capacity of a worker."""
        self._largest = tuple(map(max, self._largest, capacity))

    def set_use(self, job_id: str, used: resource.Resources) -> None:
        """Note what a task of a job was seen to use."""
        self._learned[job_id] = used

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job that is over."""
        self._learned.pop(job_id, None)

    def learn(self, known: job.Job) -> None:
        """Learn from the run time of a job that is done."""
        if known.started_at is not None and known.ended_at is not None:
            run_s = known.ended_at - known.started_at + known.progress_s
            spec = known.spec
            self._run_times.learn(spec.account, spec.contract, spec.run_s, run_s)

    def estimate(self, known: job.Job, share: float) -> float:
        """Return a quantile of the rest of a job's run time."""
        spec = known.spec
        total_s = self._run_times.quantile(
            spec.account, spec.contract, spec.run_s, share
        )
        # A job beyond its estimate is expected to need half of its time again.
        return max(total_s - known.progress_s, known.progress_s / 2, 0.1)

    def shape(self, known: job.Job) -> resource.GangShape:
        """Return the shape to plan with, which covers what the job was seen to use."""
        shape = known.spec.shape
        used = self._learned.get(known.job_id)
        if used is None:
            return shape
        # A worker starts whatever it is given, so use may exceed any capacity.
        most = self._largest
        each = resource.Resources(
            max(shape.each.accelerators, min(used.accelerators, most[0])),
            max(shape.each.cores, min(used.cores, most[1])),
            max(shape.each.memory_mb, min(used.memory_mb, most[2])),
        )
        return resource.GangShape(shape.tasks, each, shape.adjacency)
