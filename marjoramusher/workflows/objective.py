"""Completion deadlines of workflows."""

from . import catalog, permit, workflow

# A completion later than this multiple of the objective has no value any more.
LATE_FACTOR = 3.0


def critical_path_ms(submitted: workflow.Workflow, queue: catalog.Queue) -> float:
    """Return the estimated duration of the longest chain of dependent steps.

    In a queue with a policy, each step also waits for one policy call about
    `MAX_QUERIED_WORKERS` workers.
    """
    call_ms = queue.policy.call_ms(permit.MAX_QUERIED_WORKERS) if queue.policy else 0.0
    finish_ms: list[float] = []
    for step in submitted.steps:
        start_ms = max((finish_ms[index] for index in step.after), default=0.0)
        finish_ms.append(start_ms + step.estimate_ms + call_ms)
    return max(finish_ms, default=0.0)


def objective_ms(submitted: workflow.Workflow, queue: catalog.Queue) -> float:
    """Return the time after submission by which a workflow should complete."""
    return queue.slack_factor * critical_path_ms(submitted, queue) + queue.target_ms


def deadline_ms(
    submitted: workflow.Workflow, queue: catalog.Queue, occurrence: int
) -> float:
    """Return the Unix time in milliseconds by which an occurrence should complete."""
    start_ms = submitted.due_ms(occurrence) or submitted.submitted_ms
    return start_ms + objective_ms(submitted, queue)
