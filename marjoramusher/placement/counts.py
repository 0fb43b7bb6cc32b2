"""Capacity check by accelerator counts, an alternative to the cell plan."""

from ..core import resource
from . import guarantee, ledger


class CountPlan:
    """Admit non-preemptible borrowers while enough accelerators remain in total.

    The total ignores where the accelerators are: one accelerator on each of two
    workers counts like two on one worker. The bench and the tests use this class to
    show the guarantees that such a check breaks.
    """

    __slots__ = ("_ledger", "_plan")

    def __init__(self, worker_ledger: ledger.Ledger, plan: guarantee.CellPlan) -> None:
        self._ledger = worker_ledger
        self._plan = plan

    def allows(self, shape: resource.GangShape) -> bool:
        """Tell whether the total admits a non-preemptible borrower."""
        remaining = 0
        for worker in self._ledger.workers.values():
            if worker.is_schedulable:
                remaining += worker.capacity[0] - worker.committed[0]
        for entry in self._plan.iter_unused():
            if not entry.is_assigned:
                remaining -= entry.guarantee.shape.accelerators
        return remaining >= shape.accelerators
