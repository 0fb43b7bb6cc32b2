"""Tasks that wait for a place, and how much of the service they need."""

from collections.abc import Iterator

import msgspec

from . import machine, objective, resources, workflow


class PendingStep(msgspec.Struct, frozen=True):
    """Tasks of one step that wait: a whole gang, or all that are not placed."""

    entry: machine.Entry
    occurrence: int
    step_index: int
    task_indexes: tuple[int, ...]
    deadline_ms: float

    @property
    def key(self) -> resources.StepKey:
        """Return workflow id, occurrence and step."""
        return self.entry.workflow.workflow_id, self.occurrence, self.step_index

    @property
    def step(self) -> workflow.Step:
        """Return the step."""
        return self.entry.workflow.steps[self.step_index]

    def task_key(self, index: int) -> workflow.TaskKey:
        """Return the name of one of the tasks."""
        return workflow.TaskKey(
            self.entry.workflow.workflow_id, self.occurrence, self.step_index, index
        )


def urgent_accelerators(state: machine.WorkflowMachine, now_ms: float) -> int:
    """Return the accelerators that urgent work takes or waits for."""
    total = 0
    for entry in state.active.values():
        if entry.queue.priority:
            continue
        for occurrence, step, tasks in entry.tasks():
            due = entry.workflow.due_ms(occurrence) <= now_ms
            if due and entry.is_ready(occurrence, step):
                shape = entry.workflow.steps[step]
                pending_steps = sum(not task.done for task in tasks)
                total += pending_steps * shape.needs.accelerators
    return total


def total_accelerators(state: machine.WorkflowMachine) -> int:
    """Return the accelerators of all workers that stay."""
    return sum(
        known.worker.capacity.accelerators
        for known in state.workers.values()
        if not known.worker.draining
    )


def pending_steps(
    state: machine.WorkflowMachine, now_ms: float
) -> Iterator[PendingStep]:
    """Give the tasks that could start if there were room."""
    for entry in state.active.values():
        for occurrence, steps in entry.occurrences.items():
            if occurrence in entry.finished_occurrences:
                continue
            if entry.workflow.due_ms(occurrence) > now_ms:
                break
            for step, tasks in enumerate(steps):
                indexes = _pending_indexes(entry.workflow.steps[step], tasks)
                if indexes and entry.is_ready(occurrence, step):
                    due_ms = objective.deadline_ms(
                        entry.workflow, entry.queue, occurrence
                    )
                    yield PendingStep(entry, occurrence, step, indexes, due_ms)


def _pending_indexes(
    step: workflow.Step, tasks: list[machine.TaskState]
) -> tuple[int, ...]:
    pending_steps = tuple(
        index
        for index, task in enumerate(tasks)
        if not task.done and task.placement is None
    )
    if step.gang and len(pending_steps) < len(tasks):
        return ()
    return pending_steps
