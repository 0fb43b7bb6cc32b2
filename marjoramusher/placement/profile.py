"""Expected run times and task sizes of jobs."""

from ..core import job, resource
from . import estimate, ledger


class JobProfiles:
    """Estimate jobs from the run times of finished jobs and from observed usage."""

    __slots__ = ("_largest_capacity", "_run_times", "_usage_by_job")

    def __init__(self) -> None:
        self._run_times = estimate.RunTimeEstimates()
        self._usage_by_job: dict[str, resource.Resources] = {}
        self._largest_capacity = ledger.ZERO

    @property
    def largest_capacity(self) -> ledger.Amounts:
        """Return the largest worker capacity seen, for each resource separately."""
        return self._largest_capacity

    def record_capacity(self, capacity: ledger.Amounts) -> None:
        """Record the capacity of a worker."""
        self._largest_capacity = tuple(map(max, self._largest_capacity, capacity))

    def record_usage(self, job_id: str, usage: resource.Resources) -> None:
        """Record the observed usage of a job's task."""
        self._usage_by_job[job_id] = usage

    def forget(self, job_id: str) -> None:
        """Drop the observed usage of a finished job."""
        self._usage_by_job.pop(job_id, None)

    def record_run(self, job_record: job.Job) -> None:
        """Record the run time of a successfully finished job."""
        if job_record.started_at is not None and job_record.ended_at is not None:
            run_s = job_record.ended_at - job_record.started_at + job_record.progress_s
            spec = job_record.spec
            self._run_times.record_run(spec.account, spec.contract, spec.run_s, run_s)

    def estimate(self, job_record: job.Job, quantile: float) -> float:
        """Return a quantile of a job's remaining run time."""
        spec = job_record.spec
        total_s = self._run_times.quantile(
            spec.account, spec.contract, spec.run_s, quantile
        )
        # A job beyond its estimate is expected to run half as long again.
        return max(total_s - job_record.progress_s, job_record.progress_s / 2, 0.1)

    def shape(self, job_record: job.Job) -> resource.GangShape:
        """Return the shape to plan with, which covers the observed usage."""
        shape = job_record.spec.shape
        usage = self._usage_by_job.get(job_record.job_id)
        if usage is None:
            return shape
        # Workers start every task that they receive, so usage may exceed any capacity.
        # Without this limit, the shape could exceed every worker.
        largest = self._largest_capacity
        task_resources = resource.Resources(
            max(shape.each.accelerators, min(usage.accelerators, largest[0])),
            max(shape.each.cores, min(usage.cores, largest[1])),
            max(shape.each.memory_mb, min(usage.memory_mb, largest[2])),
        )
        return resource.GangShape(shape.tasks, task_resources, shape.adjacency)
