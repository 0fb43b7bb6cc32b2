"""Completion deadlines of workflows."""

from . import catalog, machine, permit, run_times, workflow

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


def worthless_ms(
    submitted: workflow.Workflow, queue: catalog.Queue, occurrence: int
) -> float:
    """Return the Unix time in milliseconds from which a completion has no value."""
    start_ms = submitted.due_ms(occurrence) or submitted.submitted_ms
    return start_ms + LATE_FACTOR * objective_ms(submitted, queue)


def remaining_path_ms(
    entry: machine.Entry, occurrence: int, times: run_times.RunTimes
) -> float:
    """Return how long an occurrence still takes if nothing in it has to wait.

    It is the longest chain of steps with unfinished tasks, by the run times that are
    expected from completed runs, with the policy calls of `critical_path_ms`. Tasks
    that are in progress count in full, so it is an upper bound for them.
    """
    submitted, queue = entry.workflow, entry.queue
    call_ms = queue.policy.call_ms(permit.MAX_QUERIED_WORKERS) if queue.policy else 0.0
    finish_ms: list[float] = []
    for step, tasks in zip(submitted.steps, entry.occurrences[occurrence], strict=True):
        start_ms = max((finish_ms[index] for index in step.after), default=0.0)
        if not all(task.done for task in tasks):
            expected_ms = times.expected_ms(queue.name, submitted.account, step)
            start_ms += expected_ms + call_ms
        finish_ms.append(start_ms)
    return max(finish_ms, default=0.0)


def can_have_value(
    entry: machine.Entry, occurrence: int, now_ms: float, times: run_times.RunTimes
) -> bool:
    """Tell whether an occurrence can end before its completion has no value."""
    end_ms = now_ms + remaining_path_ms(entry, occurrence, times)
    return end_ms < worthless_ms(entry.workflow, entry.queue, occurrence)


def can_be_timely(
    entry: machine.Entry, occurrence: int, now_ms: float, times: run_times.RunTimes
) -> bool:
    """Tell whether an occurrence can end within its objective."""
    end_ms = now_ms + remaining_path_ms(entry, occurrence, times)
    return end_ms <= deadline_ms(entry.workflow, entry.queue, occurrence)
