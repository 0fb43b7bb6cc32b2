"""Jobs, gangs and allocations."""

import enum

import msgspec

from . import errors, resource


class JobState(enum.Enum):
    """Life of a job.

    ``STOPPING`` covers preemption, cancellation and expiry until every task is known
    to be stopped or its lease is over.
    """

    QUEUED = "queued"
    ALLOCATED = "allocated"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller submits.

    Parameters
    ----------
    run_s : float
        Declared run time; a hint that is often far off.
    repeatable : bool
        False if the job must not start a second time after it may have run.
    """

    account: str
    contract: str
    shape: resource.GangShape
    job_class: resource.JobClass = resource.JobClass.NORMAL
    run_s: float = 60.0
    repeatable: bool = True
    payload: str = ""


class TaskPlacement(msgspec.Struct, frozen=True):
    """One task of a gang on one worker."""

    task_id: str
    worker: str


class Allocation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Workers that a gang holds.

    Parameters
    ----------
    epoch : int
        Fencing epoch of the attempt; workers refuse lower ones.
    guarantee : str or None
        Guaranteed shape that the gang is charged to; ``None`` if it borrows.
    """

    epoch: int
    tasks: tuple[TaskPlacement, ...]
    guarantee: str | None = None


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the domain group knows it.

    Parameters
    ----------
    submitted_at : float
        Seconds since the Unix epoch on the leader's clock.
    progress_s : float
        Run time saved in the last checkpoint.
    """

    job_id: str
    spec: JobSpec
    state: JobState
    submitted_at: float
    epoch: int = 0
    allocation: Allocation | None = None
    started_at: float | None = None
    ended_at: float | None = None
    checkpoint: str = ""
    progress_s: float = 0.0
    attempts: int = 0
    failed_on: tuple[str, ...] = ()
    error: errors.ErrorBody | None = None
