"""Steps that wait while nothing of their workflow runs."""

from collections.abc import Iterable

from ..core import crash
from ..workflows import machine, resources, workflow

MAX_HOLD_S = crash.MAX_HOLD_MS / 1000


class HeldSteps:
    """Since when each waiting step has had nothing of its workflow at work.

    Each task of a long-running step has to be available, so such a step waits whether
    or not others of it run.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    """

    __slots__ = ("_since_s", "_state")

    def __init__(self, state: machine.WorkflowMachine) -> None:
        self._state = state
        self._since_s: dict[resources.StepKey, float] = {}

    def record(
        self,
        waiting: Iterable[resources.StepKey],
        placements: Iterable[workflow.Placement],
        now_s: float,
    ) -> None:
        """Record the steps that a plan leaves waiting, and what it places."""
        placed = {placement.task.workflow_id for placement in placements}
        self._since_s = {
            key: self._since_s.get(key, now_s)
            for key in waiting
            if self._is_held(key, placed)
        }

    def overdue(self, now_s: float) -> frozenset[resources.StepKey]:
        """Return the steps that have waited for `MAX_HOLD_S`."""
        return frozenset(
            key
            for key, since_s in self._since_s.items()
            if now_s - since_s >= MAX_HOLD_S
        )

    def _is_held(self, key: resources.StepKey, placed: set[str]) -> bool:
        workflow_id, _, step = key
        entry = self._state.entries[workflow_id]
        if entry.workflow.steps[step].long_running:
            return True
        return workflow_id not in placed and not entry.has_placement
