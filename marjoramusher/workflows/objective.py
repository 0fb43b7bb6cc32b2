"""When a workflow should be complete."""

from . import catalog, workflow

# Later than this multiple of the objective a completion is worth nothing any more.
LATE_FACTOR = 3.0


def chain_ms(wanted: workflow.Workflow) -> int:
    """Return the declared time of the longest chain of steps."""
    ends: list[int] = []
    for step in wanted.steps:
        before = max((ends[each] for each in step.after), default=0)
        ends.append(before + step.estimate_ms)
    return max(ends, default=0)


def objective_ms(wanted: workflow.Workflow, queue: catalog.Queue) -> float:
    """Return the time from submission within which it should be complete."""
    return queue.slack_factor * chain_ms(wanted) + queue.target_ms


def deadline_ms(
    wanted: workflow.Workflow, queue: catalog.Queue, occurrence: int
) -> float:
    """Return the instant at which an occurrence should be complete."""
    start_ms = wanted.due_ms(occurrence) or wanted.submitted_ms
    return start_ms + objective_ms(wanted, queue)
