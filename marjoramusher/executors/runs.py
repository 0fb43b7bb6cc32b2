"""What is known of one run on a worker."""

import enum

import msgspec

from ..workflows import workflow

AT_WORK = 100  # percent that a long-running task shows once it serves
ENDING = 99  # percent that a run shows once its own work is done
STALL_S = 5.0  # a task at a third of its speed shows progress more often
STALL_ESTIMATES = 0.6  # share of the declared run time without any progress
STALL_STEPS = 4.0  # a run that has shown progress shows the next as late as this


class Phase(enum.Enum):
    """What is known of a run on the worker."""

    UNKNOWN = "unknown"  # ordered by an earlier leader, if at all
    SENT = "sent"
    CONFIRMED = "confirmed"
    UNCERTAIN = "uncertain"  # no answer: it may start later, unless it is stopped
    FENCED = "fenced"  # a stop was answered, so that it can't start any more


class Run(msgspec.Struct):
    """One run on the worker.

    Parameters
    ----------
    since_s : float
        When the phase began; a report that was asked for earlier proves nothing.
    """

    placement: workflow.Placement
    phase: Phase
    since_s: float
    started_s: float = 0.0
    progress_percent: int = -1
    progress_s: float = 0.0
    checkpoint: str = ""
    stop_reason: str = ""


def stall_limit_s(run: Run, step: workflow.Step) -> float:
    """Return how long a run may show no progress.

    A few runs take many times their declared time. What a wrong stop throws away
    grows with the run, so the limit does, too. A member of a gang that has done its
    work waits for those on slower workers, since all end together.
    """
    limit_s = max(STALL_S, STALL_ESTIMATES * step.estimate_ms / 1000)
    if run.progress_percent > 0:
        worked_s = run.progress_s - run.started_s
        limit_s = max(limit_s, STALL_STEPS * worked_s / run.progress_percent)
        if step.gang and run.progress_percent >= ENDING:
            limit_s = max(limit_s, worked_s)
    return limit_s


def name(task: workflow.TaskKey) -> str:
    """Return a task's name for log lines."""
    return f"{task.workflow_id}.{task.occurrence}.{task.step}.{task.index}"
