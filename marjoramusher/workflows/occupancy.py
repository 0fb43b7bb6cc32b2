"""Runs on one worker, and the sums over them."""

from collections.abc import Mapping

from . import resources, workflow


class Occupancy:
    """Runs that may be in progress on a worker, and what they reserve there.

    A plan needs the sums for all workers, and each command changes a few of them. So
    they are kept up to date instead of computed for each plan.

    Attributes
    ----------
    fill_count, serving_count : int
        Number of fill tasks, and of tasks with a target.
    """

    __slots__ = (
        "_placements",
        "_reserved",
        "_task_counts",
        "fill_count",
        "serving_count",
    )

    def __init__(self) -> None:
        self._placements: dict[workflow.TaskKey, workflow.Placement] = {}
        self._reserved = resources.NOTHING
        self._task_counts: dict[resources.StepKey, int] = {}
        self.fill_count = 0
        self.serving_count = 0

    @property
    def placements(self) -> dict[workflow.TaskKey, workflow.Placement]:
        """Return the runs by task."""
        return self._placements

    @property
    def reserved(self) -> workflow.Resources:
        """Return what all runs together reserve."""
        return self._reserved

    @property
    def task_counts(self) -> Mapping[resources.StepKey, int]:
        """Return the number of runs of each step."""
        return self._task_counts

    def add(self, placement: workflow.Placement, step: workflow.Step) -> None:
        """Add a run of a step."""
        self._placements[placement.task] = placement
        key = resources.step_key(placement.task)
        self._task_counts[key] = self._task_counts.get(key, 0) + 1
        self._reserved = resources.combined(self._reserved, resources.reserved(step))
        self.fill_count += step.fill
        self.serving_count += step.target_ms > 0

    def remove(self, placement: workflow.Placement, step: workflow.Step) -> None:
        """Remove a run of a step, if it is there."""
        if self._placements.pop(placement.task, None) is None:
            return
        key = resources.step_key(placement.task)
        self._task_counts[key] -= 1
        if not self._task_counts[key]:
            del self._task_counts[key]
        freed = resources.negated(resources.reserved(step))
        self._reserved = resources.combined(self._reserved, freed)
        self.fill_count -= step.fill
        self.serving_count -= step.target_ms > 0


# Of workers without runs.
NONE = Occupancy()
