"""Which tasks hold which worker's resources, and at which epoch."""

from collections.abc import Iterable, Iterator

import msgspec

from ..core import job as model
from ..core import resource


class Holding(msgspec.Struct, frozen=True):
    """Resources that one task holds on a worker."""

    task_id: str
    job_id: str
    epoch: int
    each: resource.Resources


class Ledger:
    """Count exactly what each worker has given away."""

    __slots__ = ("_held", "_used")

    def __init__(self) -> None:
        self._held: dict[str, dict[str, Holding]] = {}
        self._used: dict[str, resource.Resources] = {}

    def used(self, worker: str) -> resource.Resources:
        """Return what the tasks on a worker hold together."""
        return self._used.get(worker, resource.Resources())

    def holdings(self, worker: str) -> Iterable[Holding]:
        """Return the tasks that hold resources of a worker."""
        return self._held.get(worker, {}).values()

    def workers(self) -> Iterator[str]:
        """Return the workers that hold tasks."""
        return iter(self._held)

    def shortage(
        self,
        workers: Iterable[str],
        each: resource.Resources,
        capacities: dict[str, resource.Resources],
    ) -> str | None:
        """Return the first worker that can't take its tasks, or None.

        Parameters
        ----------
        workers : iterable of str
            Worker of each task; a worker that is named twice takes two tasks.
        each : Resources
            What each task needs.
        capacities : dict of str to Resources
            Declared capacity of each worker.
        """
        wanted: dict[str, resource.Resources] = {}
        for worker in workers:
            wanted[worker] = wanted.get(worker, self.used(worker)).plus(each)
            capacity = capacities.get(worker)
            if capacity is None or not wanted[worker].fits(capacity):
                return worker
        return None

    def hold(self, item: model.Job) -> None:
        """Add the tasks of a job's allocation."""
        if item.allocation is None:
            return
        for task in item.allocation.tasks:
            held = Holding(
                task.task_id, item.job_id, item.allocation.epoch, item.spec.shape.each
            )
            self._held.setdefault(task.worker, {})[task.task_id] = held
            self._used[task.worker] = self.used(task.worker).plus(held.each)

    def release(self, item: model.Job) -> None:
        """Remove the tasks of a job's allocation."""
        if item.allocation is None:
            return
        for task in item.allocation.tasks:
            tasks = self._held[task.worker]
            held = tasks.pop(task.task_id)
            if tasks:
                self._used[task.worker] = self.used(task.worker).minus(held.each)
            else:
                del self._held[task.worker]
                del self._used[task.worker]
