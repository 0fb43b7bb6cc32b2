"""Ledger of the resources that tasks hold on each worker."""

from collections.abc import Iterable, Iterator

import msgspec

from ..core import job as model
from ..core import resource


class Holding(msgspec.Struct, frozen=True):
    """Resources that one task holds on a worker.

    Parameters
    ----------
    epoch : int
        Epoch of the allocation.
    """

    task_id: str
    job_id: str
    epoch: int
    resources: resource.Resources


class Ledger:
    """Record the allocated resources of each worker exactly."""

    __slots__ = ("_holdings", "_used")

    def __init__(self) -> None:
        self._holdings: dict[str, dict[str, Holding]] = {}
        self._used: dict[str, resource.Resources] = {}

    def used(self, worker: str) -> resource.Resources:
        """Return the total resources that tasks hold on a worker."""
        return self._used.get(worker, resource.Resources())

    def holdings(self, worker: str) -> Iterable[Holding]:
        """Return the holdings of the tasks on a worker."""
        return self._holdings.get(worker, {}).values()

    def workers(self) -> Iterator[str]:
        """Return the workers on which tasks hold resources."""
        return iter(self._holdings)

    def find_overcommitted_worker(
        self,
        workers: Iterable[str],
        task_resources: resource.Resources,
        capacities: dict[str, resource.Resources],
    ) -> str | None:
        """Return the first worker whose capacity a new gang exceeds, or None.

        Parameters
        ----------
        workers : iterable of str
            Worker of each task; a worker that is listed twice gets two tasks.
        task_resources : Resources
            Resources that each task needs.
        capacities : dict of str to Resources
            Declared capacity of each worker; a worker without an entry is treated as
            overcommitted.
        """
        required: dict[str, resource.Resources] = {}
        for worker in workers:
            required[worker] = required.get(worker, self.used(worker)).plus(
                task_resources
            )
            capacity = capacities.get(worker)
            if capacity is None or not required[worker].fits_within(capacity):
                return worker
        return None

    def allocate(self, job: model.Job) -> None:
        """Add the holdings of a job's allocation."""
        if job.allocation is None:
            return
        for task in job.allocation.tasks:
            holding = Holding(
                task.task_id, job.job_id, job.allocation.epoch, job.spec.shape.each
            )
            self._holdings.setdefault(task.worker, {})[task.task_id] = holding
            self._used[task.worker] = self.used(task.worker).plus(holding.resources)

    def release(self, job: model.Job) -> None:
        """Remove the holdings of a job's allocation."""
        if job.allocation is None:
            return
        for task in job.allocation.tasks:
            tasks = self._holdings[task.worker]
            holding = tasks.pop(task.task_id)
            if tasks:
                self._used[task.worker] = self.used(task.worker).minus(
                    holding.resources
                )
            else:
                del self._holdings[task.worker]
                del self._used[task.worker]
