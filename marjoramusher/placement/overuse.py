"""Tasks that use more than they declared."""

from collections.abc import Iterator

from ..core import resource
from . import decision, ledger

# Reports lag and jitter; less than this above the declaration is ignored.
TOLERANCE = 1.1
# Time that a throttled task gets before it is checkpointed and stopped.
THROTTLED_S = 10.0
# The same next to a neighbour that is charged to a guarantee.
THROTTLED_BY_GUARANTEE_S = 2.0


class OverusingTask:
    """A task above its declaration."""

    __slots__ = ("declared", "throttled_at", "usage", "worker")

    def __init__(self, worker: str, declared: resource.Resources) -> None:
        self.worker = worker
        self.declared = declared
        self.usage = declared
        self.throttled_at: float | None = None


class OveruseTracker:
    """Throttle a task that overuses, then have its job checkpointed and stopped."""

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
        """Take over a report of a task's use."""
        if _is_over(usage, declared):
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
        """Forget a job; returns the largest use seen, if it was above."""
        tasks = self._tasks.pop(job_id, None)
        if not tasks:
            return None
        uses = [task.usage for task in tasks.values()]
        return resource.Resources(
            max(use.accelerators for use in uses),
            max(use.cores for use in uses),
            max(use.memory_mb for use in uses),
        )

    def decide(self, now: float) -> Iterator[decision.Decision]:
        """Yield throttles and stops that are due.

        A task is left alone while its worker has room for what it uses above its
        declaration.
        """
        excess: dict[str, ledger.Amounts] = {}
        for tasks in self._tasks.values():
            for task in tasks.values():
                extra = ledger.amounts_of(task.usage.minus(task.declared))
                total = excess.get(task.worker, ledger.ZERO)
                excess[task.worker] = (
                    total[0] + max(0, extra[0]),
                    total[1] + max(0, extra[1]),
                    total[2] + max(0, extra[2]),
                )
        for job_id, tasks in self._tasks.items():
            holding = self._ledger.holdings.get(job_id)
            if holding is None or holding.stop_requested_at is not None:
                continue
            for task_id, task in tasks.items():
                if not self._is_harmful(task, excess[task.worker]):
                    continue
                if task.throttled_at is None:
                    task.throttled_at = now
                    yield decision.Throttle(job_id, task_id, task.worker)
                    continue
                patience_s = THROTTLED_S
                if self._has_guaranteed_neighbour(job_id, task.worker):
                    patience_s = THROTTLED_BY_GUARANTEE_S
                if now - task.throttled_at >= patience_s:
                    yield decision.Stop(job_id, decision.StopReason.OVERUSE)
                    break

    def _is_harmful(self, task: OverusingTask, excess: ledger.Amounts) -> bool:
        worker = self._ledger.worker(task.worker)
        if len(worker.jobs) < 2:
            # Alone on its worker it harms nobody; one that uses more than a whole
            # worker would otherwise be stopped again after each start.
            return False
        have = ledger.free(worker)
        extra = ledger.amounts_of(task.usage.minus(task.declared))
        return any(
            extra[dimension] > 0 and excess[dimension] > have[dimension]
            for dimension in range(3)
        )

    def _has_guaranteed_neighbour(self, job_id: str, worker: str) -> bool:
        return any(
            other != job_id
            and self._ledger.holdings[other].rank == ledger.GUARANTEED_RANK
            for other in self._ledger.worker(worker).jobs
        )


def _is_over(usage: resource.Resources, declared: resource.Resources) -> bool:
    return (
        usage.accelerators > declared.accelerators
        or usage.cores > declared.cores * TOLERANCE
        or usage.memory_mb > declared.memory_mb * TOLERANCE
    )
