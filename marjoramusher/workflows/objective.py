"""When a workflow should be complete."""

from . import catalog, permit, workflow

# Later than this multiple of the objective a completion is worth nothing any more.
LATE_FACTOR = 3.0


def critical_path_ms(wanted: workflow.Workflow, queue: catalog.Queue) -> float:
    """Return the declared time of the longest chain of steps.

    A step of a queue with a policy waits for one call about a set of workers, too.
    """
    call_ms = queue.policy.call_ms(permit.MAX_QUERIED_WORKERS) if queue.policy else 0.0
    ends: list[float] = []
    for step in wanted.steps:
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + step.estimate_ms + call_ms)
    return max(ends, default=0.0)


def objective_ms(wanted: workflow.Workflow, queue: catalog.Queue) -> float:
    """Return the time from submission within which it should be complete."""
    return queue.slack_factor * critical_path_ms(wanted, queue) + queue.target_ms


def deadline_ms(
    wanted: workflow.Workflow, queue: catalog.Queue, occurrence: int
) -> float:
    """Return the instant at which an occurrence should be complete."""
    start_ms = wanted.due_ms(occurrence) or wanted.submitted_ms
    return start_ms + objective_ms(wanted, queue)
