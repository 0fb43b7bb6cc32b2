"""Free accelerators that no waiting step can use."""

import math
from collections.abc import Iterable, Iterator

import msgspec

from . import machine, resources, workflow


def unusable_share(
    state: machine.WorkflowMachine, waiting: Iterable[resources.StepKey]
) -> float:
    """Return the share of the free accelerators that no waiting step can use.

    A step can use those of a worker that a whole number of its tasks would take. The
    members of a gang need room at the same time, in one rack if they run slower
    otherwise. If several steps can use a worker, the one that would take most counts.

    Parameters
    ----------
    waiting : iterable of StepKey
        Steps of active workflows that wait.

    Returns
    -------
    float
        0 if nothing is free, or if no waiting step needs accelerators.
    """
    demands: dict[str, dict[_Fit, _Demand]] = {}
    for workflow_id, _, index in waiting:
        entry = state.active.get(workflow_id)
        if entry is not None and entry.workflow.steps[index].needs.accelerators:
            step = entry.workflow.steps[index]
            fit = _Fit(resources.reserved(step), step.label, step.max_per_worker)
            by_fit = demands.setdefault(entry.queue.service, {})
            by_fit.setdefault(fit, _Demand()).add(step)
    free = unusable = 0
    for service, by_fit in demands.items():
        workers = list(_free_workers(state, service))
        usable = [0] * len(workers)
        for fit, demand in by_fit.items():
            for position, count in enumerate(_places(fit, demand, workers)):
                taken = count * fit.needs.accelerators
                usable[position] = max(usable[position], taken)
        service_free = sum(available.accelerators for _, available in workers)
        free += service_free
        unusable += service_free - sum(usable)
    return unusable / free if free else 0.0


class _Fit(msgspec.Struct, frozen=True):
    """What decides how many tasks of a step fit on a worker."""

    needs: workflow.Resources
    label: str
    max_per_worker: int


class _Demand:
    """Smallest number of tasks that have to fit at a time, over some steps.

    Attributes
    ----------
    anywhere, in_one_rack : float
        On all workers together, and on those of one rack; infinite if no step needs
        that.
    """

    __slots__ = ("anywhere", "in_one_rack")

    def __init__(self) -> None:
        self.anywhere = math.inf
        self.in_one_rack = math.inf

    def add(self, step: workflow.Step) -> None:
        """Take a step into account."""
        if not step.gang:
            self.anywhere = 0
        elif step.same_rack:
            self.in_one_rack = min(self.in_one_rack, step.count)
        else:
            self.anywhere = min(self.anywhere, step.count)


def _free_workers(
    state: machine.WorkflowMachine, service: str
) -> Iterator[tuple[workflow.Worker, workflow.Resources]]:
    """Yield the workers of a service with free accelerators, and what is free."""
    for registered in state.workers.values():
        worker = registered.worker
        if worker.service != service or worker.draining or state.is_evacuated(worker):
            continue
        used = resources.negated(state.occupancy_of(worker.worker_id).reserved)
        available = resources.combined(worker.capacity, used)
        if available.accelerators > 0:
            yield worker, available


def _places(
    fit: _Fit,
    demand: _Demand,
    workers: list[tuple[workflow.Worker, workflow.Resources]],
) -> Iterator[int]:
    """Yield how many tasks fit on each worker, 0 where gangs have no room."""
    counts: list[int] = []
    by_rack: dict[str, int] = {}
    for worker, available in workers:
        count = 0
        if not fit.label or fit.label in worker.labels:
            count = max(resources.max_tasks(fit.needs, available), 0)
        if fit.max_per_worker:
            count = min(count, fit.max_per_worker)
        counts.append(count)
        by_rack[worker.rack] = by_rack.get(worker.rack, 0) + count
    is_enough = sum(counts) >= demand.anywhere
    for (worker, _), count in zip(workers, counts, strict=True):
        is_usable = is_enough or by_rack[worker.rack] >= demand.in_one_rack
        yield count if is_usable else 0
