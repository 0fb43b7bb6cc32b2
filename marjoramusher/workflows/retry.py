"""Workers that a retry of a failed task should not use.

Pattern: some workers fail whatever they start, and a task may fail a few times only. A
worker on which a task has failed is often free again before any other, so that a retry
would go back to it and use up the last attempt there.
"""

from collections.abc import Callable, Sequence

from . import backlog, resources, workflow


def candidates(
    pending: backlog.PendingStep,
    eligible: Sequence[resources.Candidate],
    can_hold: Callable[[workflow.Step, Sequence[resources.Candidate]], bool],
) -> Sequence[resources.Candidate]:
    """Return the workers for the pending tasks of a step, some of which have failed.

    The workers on which they failed are left out. For the last attempt, so are workers
    on which other tasks have failed since their last successful run.

    Parameters
    ----------
    eligible : sequence of Candidate
        Workers that meet the constraints of the step.
    can_hold : callable
        Tells whether some workers could run a step if they were empty. Otherwise fewer
        are left out.
    """
    failed_on = {
        worker_id
        for index in pending.task_indexes
        for worker_id in pending.tasks[index].failed_on
    }
    others = [item for item in eligible if item.worker.worker_id not in failed_on]
    if is_last_attempt(pending):
        trusted = [item for item in others if not item.is_suspect]
        if can_hold(pending.step, trusted):
            return trusted
    return others if can_hold(pending.step, others) else eligible


def has_failed(pending: backlog.PendingStep) -> bool:
    """Tell whether a run of a pending task has failed."""
    return any(pending.tasks[index].failed_on for index in pending.task_indexes)


def is_last_attempt(pending: backlog.PendingStep) -> bool:
    """Tell whether another failure of a pending task ends its workflow."""
    failures = max(pending.tasks[index].failures for index in pending.task_indexes)
    return failures + 1 >= pending.entry.queue.max_attempts
