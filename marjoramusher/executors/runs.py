"""The leader's knowledge of the runs on a worker."""

import enum
from collections.abc import Callable

import msgspec

from ..workflows import workflow

SERVING_PERCENT = 100  # progress of a long-running task once it serves
FINISHED_PERCENT = 99  # progress of a run whose own work is done
MAX_DELAY_S = 15.0  # a start without a reply may be carried out this much later
# A task that runs at a third of its normal speed still reports progress within this.
MIN_STALL_S = 5.0
STALL_ESTIMATE_SHARE = 0.6  # of the expected run time, without any progress
# Multiple of a run's average time for one percent, within which the next has to follow.
STALL_PERCENT_FACTOR = 4.0


class Phase(enum.Enum):
    """What the leader knows of a run on the worker."""

    UNKNOWN = "unknown"  # possibly started by an earlier leader
    SENT = "sent"
    CONFIRMED = "confirmed"
    UNCERTAIN = "uncertain"  # no reply: it may start later unless it is stopped
    STOP_CONFIRMED = "stop_confirmed"  # it can't start any more


class Run(msgspec.Struct):
    """A run on the worker.

    Parameters
    ----------
    phase_since_s : float
        Start of the phase; reports that were requested earlier say nothing about it.
    started_s : float
        When the start was confirmed.
    progress_percent : int
        Progress that the worker last reported, -1 before its first report.
    progressed_s : float
        When the worker last reported progress.
    stop_reason : str
        Why the run is being stopped, empty if it is not.
    may_have_started : bool
        Whether its start may have reached the worker.
    is_unreported : bool
        Whether this leader has started it and no report has listed it yet.
    has_outlived : bool
        Whether it was logged that it outlived its workflow.
    unanswered_s : float or None
        When the last start without a reply may have been sent, ``None`` if each start
        got one.
    is_resumed : bool
        Whether part of its progress was made before `started_s`, by an earlier run or
        under an earlier leader.
    resumed_percent : int
        First progress that was reported of a resumed run.
    resumed_s : float or None
        When that was reported, ``None`` before.
    """

    placement: workflow.Placement
    phase: Phase
    phase_since_s: float
    started_s: float = 0.0
    progress_percent: int = -1
    progressed_s: float = 0.0
    checkpoint: str = ""
    stop_reason: str = ""
    may_have_started: bool = True
    is_unreported: bool = False
    has_outlived: bool = False
    unanswered_s: float | None = None
    is_resumed: bool = False
    resumed_percent: int = 0
    resumed_s: float | None = None

    @property
    def has_been_reported(self) -> bool:
        """Tell whether this incarnation of the worker has listed the run."""
        return self.progress_percent >= 0

    @property
    def has_started(self) -> bool:
        """Tell whether the worker is known to have started the run."""
        return self.started_s > 0.0 or self.has_been_reported

    def may_start_late(self, now_s: float) -> bool:
        """Tell whether a start of the run got no reply and may still be carried out."""
        return (
            self.unanswered_s is not None and now_s - self.unanswered_s <= MAX_DELAY_S
        )

    def is_confined(self, now_s: float) -> bool:
        """Tell whether the run can only be on the incarnation that has listed it."""
        return self.has_been_reported and not self.may_start_late(now_s)


def remaining_s(
    run: Run, now_s: float, predict_s: Callable[[float], float] | None = None
) -> float | None:
    """Return the expected time until a run ends, ``None`` if it is not known.

    The reported progress is extrapolated; that of a resumed run only since its first
    report, since the time that the progress before took is not known. A run that is
    late for its next percent is not expected to be as fast as before, so its remaining
    time does not fall to 0.

    Parameters
    ----------
    predict_s : callable or None
        Returns the expected time left of a run of a given age, in seconds. It is used
        before the first reported progress.
    """
    if run.progress_percent > FINISHED_PERCENT:
        return None
    if run.progress_percent <= 0:
        return predict_s(max(now_s - run.started_s, 0.0)) if predict_s else None
    since_s = run.resumed_s if run.is_resumed else run.started_s
    progress_percent = run.progress_percent - run.resumed_percent
    if since_s is None or progress_percent <= 0:
        return None
    per_percent_s = (run.progressed_s - since_s) / progress_percent
    at_last_report_s = per_percent_s * (100 - run.progress_percent)
    return max(at_last_report_s - (now_s - run.progressed_s), per_percent_s)


def stall_limit_s(
    run: Run, step: workflow.Step, expected_ms: float | None = None
) -> float:
    """Return how long a run may go without progress before it counts as stalled.

    Some runs take many times their estimate, and stopping a run by mistake costs more
    the longer it has run, so the limit grows with the time per percent so far. The
    members of a gang end together, so a finished member waits for slower ones.

    Parameters
    ----------
    expected_ms : float or None
        Run time that is expected from completed runs. Only a longer one than declared
        counts, since a run that is stopped by mistake costs more than one that is
        stopped late.
    """
    estimate_ms = max(step.estimate_ms, expected_ms or 0.0)
    limit_s = max(MIN_STALL_S, STALL_ESTIMATE_SHARE * estimate_ms / 1000)
    if run.progress_percent > 0:
        worked_s = run.progressed_s - run.started_s
        limit_s = max(limit_s, STALL_PERCENT_FACTOR * worked_s / run.progress_percent)
        if step.gang and run.progress_percent >= FINISHED_PERCENT:
            limit_s = max(limit_s, worked_s)
    return limit_s


def name(task: workflow.TaskKey) -> str:
    """Return the name of a task in log lines."""
    return f"{task.workflow_id}.{task.occurrence}.{task.step}.{task.index}"
