"""Throttling and stopping of tasks that use more than they declared."""

from collections.abc import Iterator

from ..core import resource
from . import decision, ledger

# Usage up to this multiple of the declared cores and memory is ignored, since reports
# lag and fluctuate.
USAGE_TOLERANCE = 1.1
# A task that exceeds its declaration this long after being throttled is checkpointed
# and stopped.
THROTTLE_GRACE_S = 10.0
# The same on a worker that also runs a job charged to a guarantee.
THROTTLE_GRACE_BESIDE_GUARANTEE_S = 2.0


class OverusingTask:
    """Usage of a task that exceeds its declaration."""

    __slots__ = ("declared", "throttled_at", "usage", "worker")

    def __init__(self, worker: str, declared: resource.Resources) -> None:
        self.worker = worker
        self.declared = declared
        self.usage = declared
        self.throttled_at: float | None = None


class OveruseTracker:
    """Track overusing tasks, throttle them, and then stop their jobs."""

    __slots__ = ("_ledger", "_tasks")

    def __init__(self, worker_ledger: ledger.Ledger) -> None:
        self._ledger = worker_ledger
        self._tasks: dict[str, dict[str, OverusingTask]] = {}

    def report(
        self,
        job_id: str,
        task_id: str,
        worker: str,
        declared: resource.Resources,
        usage: resource.Resources,
    ) -> None:
        """Record a report of a task's usage."""
        if _exceeds_declaration(usage, declared):
            tasks = self._tasks.setdefault(job_id, {})
            if task_id not in tasks:
                tasks[task_id] = OverusingTask(worker, declared)
            tasks[task_id].usage = usage
            return
        tasks = self._tasks.get(job_id, {})
        tasks.pop(task_id, None)
        if not tasks:
            self._tasks.pop(job_id, None)

    def forget(self, job_id: str) -> resource.Resources | None:
        """Drop a job; return the largest usage of its overusing tasks, if any."""
        tasks = self._tasks.pop(job_id, None)
        if not tasks:
            return None
        usages = [task.usage for task in tasks.values()]
        return resource.Resources(
            max(usage.accelerators for usage in usages),
            max(usage.cores for usage in usages),
            max(usage.memory_mb for usage in usages),
        )

    def decide(self, now: float) -> Iterator[decision.Decision]:
        """Yield throttles and stops that are due.

        A task is not limited while its worker has enough free resources for the
        overuse.
        """
        worker_excess: dict[str, ledger.Amounts] = {}
        for tasks in self._tasks.values():
            for task in tasks.values():
                task_excess = ledger.amounts_of(task.usage.minus(task.declared))
                total = worker_excess.get(task.worker, ledger.ZERO)
                worker_excess[task.worker] = (
                    total[0] + max(0, task_excess[0]),
                    total[1] + max(0, task_excess[1]),
                    total[2] + max(0, task_excess[2]),
                )
        for job_id, tasks in self._tasks.items():
            holding = self._ledger.holdings.get(job_id)
            if holding is None or holding.stop_requested_at is not None:
                continue
            for task_id, task in tasks.items():
                if not self._is_harmful(task, worker_excess[task.worker]):
                    continue
                if task.throttled_at is None:
                    task.throttled_at = now
                    yield decision.Throttle(job_id, task_id, task.worker)
                    continue
                grace_s = THROTTLE_GRACE_S
                if self._has_guaranteed_neighbour(job_id, task.worker):
                    grace_s = THROTTLE_GRACE_BESIDE_GUARANTEE_S
                if now - task.throttled_at >= grace_s:
                    yield decision.Stop(job_id, decision.StopReason.OVERUSE)
                    break

    def _is_harmful(self, task: OverusingTask, worker_excess: ledger.Amounts) -> bool:
        worker = self._ledger.worker(task.worker)
        if len(worker.jobs) < 2:
            # A job alone on its worker affects no other. Without this case, one that
            # uses more than a whole worker would be stopped again after each start.
            return False
        available = ledger.free(worker)
        task_excess = ledger.amounts_of(task.usage.minus(task.declared))
        return any(
            task_excess[dimension] > 0
            and worker_excess[dimension] > available[dimension]
            for dimension in range(3)
        )

    def _has_guaranteed_neighbour(self, job_id: str, worker: str) -> bool:
        return any(
            other != job_id
            and self._ledger.holdings[other].rank == ledger.GUARANTEED_RANK
            for other in self._ledger.worker(worker).jobs
        )


def _exceeds_declaration(
    usage: resource.Resources, declared: resource.Resources
) -> bool:
    return (
        usage.accelerators > declared.accelerators
        or usage.cores > declared.cores * USAGE_TOLERANCE
        or usage.memory_mb > declared.memory_mb * USAGE_TOLERANCE
    )
