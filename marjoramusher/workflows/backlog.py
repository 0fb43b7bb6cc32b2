"""Steps whose tasks are ready but not placed, and the demand of urgent work."""

from collections.abc import Iterator

import msgspec

from . import machine, objective, resources, workflow


class PendingStep(msgspec.Struct, frozen=True):
    """Unplaced tasks of one step; for a gang, all of its members.

    Parameters
    ----------
    deadline_ms : float
        Unix milliseconds at which the occurrence should be complete.
    has_suspects : bool
        Whether workers have crashed, or may have, during runs of a task of the step.
    """

    entry: machine.Entry
    occurrence: int
    step_index: int
    task_indexes: tuple[int, ...]
    deadline_ms: float
    has_suspects: bool

    @property
    def key(self) -> resources.StepKey:
        """Return workflow id, occurrence and step."""
        return self.entry.workflow.workflow_id, self.occurrence, self.step_index

    @property
    def step(self) -> workflow.Step:
        """Return the definition of the step."""
        return self.entry.workflow.steps[self.step_index]

    @property
    def tasks(self) -> list[machine.TaskState]:
        """Return all tasks of the step in this occurrence."""
        return self.entry.occurrences[self.occurrence][self.step_index]

    def task_key(self, index: int) -> workflow.TaskKey:
        """Return the key of one of the tasks."""
        return workflow.TaskKey(
            self.entry.workflow.workflow_id, self.occurrence, self.step_index, index
        )


def urgent_accelerators(state: machine.WorkflowMachine, now_ms: float) -> int:
    """Return the accelerators that ready or running urgent tasks need."""
    total = 0
    for entry in state.active.values():
        if entry.queue.priority:
            continue
        for occurrence, index, tasks in entry.tasks():
            is_due = entry.workflow.due_ms(occurrence) <= now_ms
            if is_due and entry.is_ready(occurrence, index):
                step = entry.workflow.steps[index]
                unfinished = sum(not task.done for task in tasks)
                total += unfinished * step.needs.accelerators
    return total


def urgent_accelerators_by_account(state: machine.WorkflowMachine) -> dict[str, int]:
    """Return the accelerators of all active urgent work, by account."""
    totals: dict[str, int] = {}
    for entry in state.active.values():
        if not entry.queue.priority:
            account = entry.workflow.account
            needed = sum(
                step.count * step.needs.accelerators for step in entry.workflow.steps
            )
            totals[account] = totals.get(account, 0) + needed
    return totals


def total_accelerators(state: machine.WorkflowMachine) -> int:
    """Return the accelerators of all workers on which tasks may start."""
    return sum(
        registered.worker.capacity.accelerators
        for registered in state.workers.values()
        if not registered.worker.draining and not state.is_evacuated(registered.worker)
    )


def pending_steps(
    state: machine.WorkflowMachine, now_ms: float
) -> Iterator[PendingStep]:
    """Yield the steps with tasks that are due, ready and not placed."""
    for entry in state.active.values():
        for occurrence, steps in entry.occurrences.items():
            if occurrence in entry.finished_occurrences:
                continue
            if entry.workflow.due_ms(occurrence) > now_ms:
                break  # the following occurrences are due later
            for index, tasks in enumerate(steps):
                task_indexes = _unplaced(entry.workflow.steps[index], tasks)
                if task_indexes and entry.is_ready(occurrence, index):
                    deadline_ms = objective.deadline_ms(
                        entry.workflow, entry.queue, occurrence
                    )
                    has_suspects = any(task.suspicions for task in tasks)
                    yield PendingStep(
                        entry,
                        occurrence,
                        index,
                        task_indexes,
                        deadline_ms,
                        has_suspects,
                    )


def _unplaced(step: workflow.Step, tasks: list[machine.TaskState]) -> tuple[int, ...]:
    """Return the unplaced tasks; a gang waits until no member is placed."""
    indexes = tuple(
        index
        for index, task in enumerate(tasks)
        if not task.done and task.placement is None
    )
    if step.gang and len(indexes) < len(tasks):
        return ()
    return indexes
