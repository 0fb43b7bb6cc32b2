"""Guarantees kept by plain counts, as the alternative to cells."""

from ..core import resource
from . import guarantee, ledger


class CountPlan:
    """Allow borrowers that can't be stopped while enough accelerators remain in sum.

    The sum says nothing about where the accelerators are: two single accelerators on
    two workers count like two on one. The bench and the tests keep this to show the
    guarantees that it breaks.
    """

    __slots__ = ("_ledger", "_plan")

    def __init__(self, book: ledger.Ledger, plan: guarantee.CellPlan) -> None:
        self._ledger = book
        self._plan = plan

    def allows(self, shape: resource.GangShape) -> bool:
        """Tell whether the counts admit a borrower that can't be stopped."""
        left = 0
        for worker in self._ledger.workers.values():
            if worker.is_open:
                left += worker.capacity[0] - worker.firm[0]
        for entry in self._plan.waiting_entries():
            if not entry.is_planned:
                left -= entry.guarantee.shape.accelerators
        return left >= shape.accelerators
