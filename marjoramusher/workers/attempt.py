"""State of one attempt to run a job: a gang and its tasks."""

import enum

from ..core import announcement
from ..core import job as model
from ..jobs import command


class Phase(enum.Enum):
    """Phase of an attempt.

    ``RECONCILING`` is a gang of an earlier leader whose tasks its workers have not all
    reported yet. ``GRACE`` is the time in which a gang may still end before it must
    write a checkpoint and stop.
    """

    RECONCILING = "reconciling"
    PREPARING = "preparing"
    STARTING = "starting"
    RUNNING = "running"
    GRACE = "grace"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


class TaskStatus(enum.Enum):
    """Status of a task as the leader knows it.

    ``UNSEEN`` is a task of an earlier leader that its worker has not reported yet.
    ``MISSING`` is a task that its worker no longer holds. ``STOPPED`` is a task that
    was stopped or whose lease has expired.
    """

    UNSEEN = "unseen"
    MISSING = "missing"
    PREPARING = "preparing"
    PREPARED = "prepared"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "over"


ENDED_STATUSES = frozenset({TaskStatus.DONE, TaskStatus.FAILED, TaskStatus.STOPPED})

LIVE_STATES = (announcement.TaskState.PREPARED, announcement.TaskState.RUNNING)

ENDED_STATES = (
    announcement.TaskState.DONE,
    announcement.TaskState.FAILED,
    announcement.TaskState.STOPPED,
)

STARTED_STATES = (
    announcement.TaskState.RUNNING,
    announcement.TaskState.DONE,
    announcement.TaskState.FAILED,
)
"""States that prove a start; a stopped task may only have been prepared."""


class Task:
    """One task of a gang.

    Attributes
    ----------
    may_have_started : bool
        Whether a start call may have reached the worker.
    confirmed_at : float
        Monotonic time at which the worker last confirmed a change of the task.
    missed_reports : int
        Number of consecutive announcements of the worker that omit the task.
    has_checkpointed : bool
        Whether the task has answered the checkpoint call of the current stop.
    next_stop_at : float
        Monotonic time of the next stop call; infinite while a call is in flight.
    has_reported_end : bool
        Whether the worker itself has reported the end of the task.
    has_lost_worker : bool
        Whether a later incarnation of the worker was heard that omits the task.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "has_checkpointed",
        "has_lost_worker",
        "has_reported_end",
        "index",
        "may_have_started",
        "missed_reports",
        "next_stop_at",
        "progress_s",
        "status",
        "task_id",
        "usage",
        "worker",
    )

    def __init__(self, placement: model.TaskPlacement, index: int) -> None:
        self.task_id = placement.task_id
        self.worker = placement.worker
        self.index = index
        self.status = TaskStatus.PREPARING
        self.may_have_started = False
        self.confirmed_at = 0.0
        self.missed_reports = 0
        self.checkpoint = ""
        self.progress_s = 0.0
        self.has_checkpointed = False
        self.usage = None
        self.next_stop_at = 0.0
        self.has_reported_end = False
        self.has_lost_worker = False


class Gang:
    """One attempt of a job at one epoch.

    Attributes
    ----------
    stop_cause : StopCause or None
        Cause of a requested stop, which may not be committed yet.
    phase_deadline : float
        Monotonic time at which the grace period or the checkpoint phase ends.
    is_proposal_pending : bool
        Whether a proposal for this gang is in flight.
    next_proposal_at : float
        Earliest monotonic time of the next proposal, after one was refused.
    """

    __slots__ = (
        "epoch",
        "is_proposal_pending",
        "job",
        "next_proposal_at",
        "phase",
        "phase_deadline",
        "stop_cause",
        "tasks",
    )

    def __init__(self, job: model.Job, phase: Phase) -> None:
        assert job.allocation is not None
        self.job = job
        self.epoch = job.epoch
        self.phase = phase
        self.tasks = {
            placement.task_id: Task(placement, index)
            for index, placement in enumerate(job.allocation.tasks)
        }
        self.stop_cause: command.StopCause | None = None
        self.phase_deadline = 0.0
        self.is_proposal_pending = False
        self.next_proposal_at = 0.0

    @property
    def job_id(self) -> str:
        """Return the id of the job."""
        return self.job.job_id

    def all_tasks_in(self, *statuses: TaskStatus) -> bool:
        """Return whether every task has one of the statuses."""
        return all(task.status in statuses for task in self.tasks.values())

    def workers_without_ends(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the workers on which a task may have run until its lease lapsed.

        Returns
        -------
        crashed : tuple of str
            Those of which a later incarnation was heard.
        lapsed : tuple of str
            The others.
        """
        open_tasks = [
            task
            for task in self.tasks.values()
            if task.may_have_started and not task.has_reported_end
        ]
        crashed = {task.worker for task in open_tasks if task.has_lost_worker}
        lapsed = {task.worker for task in open_tasks} - crashed
        return tuple(sorted(crashed)), tuple(sorted(lapsed))

    def common_checkpoint(self) -> tuple[str, float]:
        """Return the checkpoint that all tasks hold and its least saved run time.

        Returns an empty name and no run time if the tasks hold different checkpoints.
        """
        names = {task.checkpoint for task in self.tasks.values()}
        if len(names) != 1 or "" in names:
            return "", 0.0
        return names.pop(), min(task.progress_s for task in self.tasks.values())
