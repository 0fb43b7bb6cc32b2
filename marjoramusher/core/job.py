"""Jobs, gangs and allocations."""

import enum

import msgspec

from . import crash, errors, resource


class JobState(enum.Enum):
    """Lifecycle state of a job.

    A job that is preempted, cancelled or expired stays ``STOPPING`` until each of its
    tasks has stopped or its lease has expired.
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
    """Specification of a job, as submitted by a caller.

    Parameters
    ----------
    run_s : float
        Declared run time; an often inaccurate estimate.
    repeatable : bool
        False if the job must not be restarted once it may have run.
    """

    account: str
    contract: str
    shape: resource.GangShape
    job_class: resource.JobClass = resource.JobClass.NORMAL
    run_s: float = 60.0
    repeatable: bool = True
    payload: str = ""


class TaskPlacement(msgspec.Struct, frozen=True):
    """Assignment of one task of a gang to a worker."""

    task_id: str
    worker: str


class Allocation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Workers that are allocated to a gang.

    Parameters
    ----------
    epoch : int
        Fencing token of the attempt; workers refuse requests with a lower epoch.
    guarantee : str or None
        Guaranteed shape that the gang counts against; ``None`` if it uses spare
        capacity.
    """

    epoch: int
    tasks: tuple[TaskPlacement, ...]
    guarantee: str | None = None


class WorkerCrash(crash.Crash, frozen=True, omit_defaults=True, array_like=False):
    """A crash of a worker during an attempt of a job.

    Parameters
    ----------
    address : str
        Id of the worker, which a restart doesn't change.
    is_sudden : bool
        Whether the gang began to stop soon after its allocation.
    was_alone : bool
        Whether no other job used the worker during the attempt.
    incarnation : int
        Incarnation of the worker that the attempt was bound to.
    """

    incarnation: int = 0


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of a job in the group of its failure domain.

    Parameters
    ----------
    submitted_at : float
        Unix time in seconds by the clock of the leader.
    progress_s : float
        Run time that the last checkpoint covers.
    crashes : tuple of WorkerCrash
        Recent crashes of workers during attempts, whatever their cause.
    possible_crashes : tuple of WorkerCrash
        Workers whose leases lapsed without a word, until they are heard again.
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
    crashes: tuple[WorkerCrash, ...] = ()
    possible_crashes: tuple[WorkerCrash, ...] = ()
