"""One attempt of a job: a gang, its tasks and where they stand."""

import enum

from ..core import announcement
from ..core import job as model
from ..jobs import command


class Phase(enum.Enum):
    """Where a gang stands."""

    RECONCILING = "reconciling"
    PREPARING = "preparing"
    STARTING = "starting"
    RUNNING = "running"
    GRACE = "grace"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


class TaskStatus(enum.Enum):
    """What the leader knows of a task.

    ``UNSEEN`` is a task of an earlier leader that its worker has not reported yet, and
    ``MISSING`` one that its worker does not hold.
    """

    UNSEEN = "unseen"
    MISSING = "missing"
    PREPARING = "preparing"
    PREPARED = "prepared"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    OVER = "over"


ENDED = frozenset({TaskStatus.DONE, TaskStatus.FAILED, TaskStatus.OVER})

LIVE = (announcement.TaskState.PREPARED, announcement.TaskState.RUNNING)

RAN = (
    announcement.TaskState.RUNNING,
    announcement.TaskState.DONE,
    announcement.TaskState.FAILED,
)
"""States that show a start; a stopped task may only have been prepared."""


class Task:
    """One task of a gang."""

    __slots__ = (
        "absences",
        "checkpoint",
        "confirmed_at",
        "index",
        "progress_s",
        "saved",
        "started",
        "status",
        "stop_due_at",
        "task_id",
        "usage",
        "worker",
    )

    def __init__(self, placement: model.TaskPlacement, index: int) -> None:
        self.task_id = placement.task_id
        self.worker = placement.worker
        self.index = index
        self.status = TaskStatus.PREPARING
        self.started = False  # a start may have reached the worker
        self.confirmed_at = 0.0
        self.absences = 0  # announcements in a row that do not name the task
        self.checkpoint = ""
        self.progress_s = 0.0
        self.saved = False  # has answered the checkpoint of this stop
        self.usage = None
        self.stop_due_at = 0.0  # infinite while a stop is under way


class Gang:
    """One attempt of a job at one epoch."""

    __slots__ = (
        "cause",
        "deadline",
        "epoch",
        "job",
        "phase",
        "proposed",
        "propose_due_at",
        "tasks",
    )

    def __init__(self, item: model.Job, phase: Phase) -> None:
        assert item.allocation is not None
        self.job = item
        self.epoch = item.epoch
        self.phase = phase
        self.tasks = {
            placement.task_id: Task(placement, index)
            for index, placement in enumerate(item.allocation.tasks)
        }
        self.cause: command.StopCause | None = None  # wanted, maybe not committed
        self.deadline = 0.0  # of the grace period or the checkpoint
        self.proposed = False  # a proposal is under way
        self.propose_due_at = 0.0

    @property
    def job_id(self) -> str:
        """Return the id of the job."""
        return self.job.job_id

    def all_in(self, *statuses: TaskStatus) -> bool:
        """Tell whether every task has one of the statuses."""
        return all(task.status in statuses for task in self.tasks.values())

    def common_checkpoint(self) -> tuple[str, float]:
        """Return the checkpoint that every task holds and the least progress in it."""
        names = {task.checkpoint for task in self.tasks.values()}
        if len(names) != 1 or "" in names:
            return "", 0.0
        return names.pop(), min(task.progress_s for task in self.tasks.values())
