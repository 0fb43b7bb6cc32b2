"""Commands of the jobs machine and their results.

Commands are stored in the log. To keep old entries readable, fields are only ever
added, and each new field has a default.
"""

import enum
from typing import TypeAlias

import msgspec

from ..core import codec, errors, resource
from ..core import job as model

PART = "jobs"
"""Name of the jobs machine within the composite machine of a domain group."""


class StopCause(enum.Enum):
    """Reason to stop a gang; it determines the state of the job afterwards."""

    RECLAIM = "reclaim"
    OVERUSE = "overuse"
    DEFRAGMENT = "defragment"
    WORKER_LOST = "worker_lost"
    START_FAILED = "start_failed"
    TASK_FAILED = "task_failed"
    CONTRACT_EXPIRED = "contract_expired"
    CANCELLED = "cancelled"


class _Command(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """Base of all commands.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    """

    at: float


class SubmitJob(_Command, frozen=True):
    """Add a job, or return the job that the same idempotency key added before.

    Parameters
    ----------
    key : str
        Idempotency key within the client account; empty if the caller sent none.
    fingerprint : str
        Digest of the submitted job; the same key with another digest is refused.
    issued_at : float or None
        Time at which the key was issued, in seconds since the Unix epoch; ``None`` if
        the caller did not send it.
    """

    spec: model.JobSpec
    key: str = ""
    fingerprint: str = ""
    issued_at: float | None = None


class CancelJob(_Command, frozen=True):
    """Cancel a job; a job with an allocation stops its gang first."""

    job_id: str


class AllocateGang(_Command, frozen=True):
    """Allocate workers to a queued job.

    Parameters
    ----------
    expected_epoch : int
        Epoch of the job as the proposer read it; the command is refused at any other
        epoch.
    workers : tuple of str
        Worker of each task, in task order.
    capacities : dict of str to Resources
        Declared capacity of each of these workers, which the ledger must not exceed.
    guarantee : str or None
        Guaranteed shape that the gang is charged to; ``None`` if it borrows.
    incarnations : dict of str to int
        Incarnation of each of these workers; empty in entries of earlier versions.
    """

    job_id: str
    expected_epoch: int
    workers: tuple[str, ...]
    capacities: dict[str, resource.Resources]
    guarantee: str | None = None
    incarnations: dict[str, int] = {}


class GangStarted(_Command, frozen=True):
    """Record that all tasks of a gang are running."""

    job_id: str
    epoch: int


class GangStopping(_Command, frozen=True):
    """Begin to stop a gang."""

    job_id: str
    epoch: int
    cause: StopCause


class GangStopped(_Command, frozen=True):
    """Release the workers of a stopping gang after its last task has stopped.

    Parameters
    ----------
    checkpoint : str
        Checkpoint that all tasks wrote; empty to keep the previous one.
    progress_s : float
        Run time saved in the checkpoint.
    may_have_run : bool
        False only if no task can have started.
    crashed : tuple of str or None
        Workers that crashed while a task may have been running there. ``None`` in
        entries of earlier versions, whose leaders did not tell a crash from silence.
    lapsed : tuple of str
        Workers on which the leases lapsed, and that have not been heard since.
    """

    job_id: str
    epoch: int
    checkpoint: str = ""
    progress_s: float = 0.0
    may_have_run: bool = True
    crashed: tuple[str, ...] | None = None
    lapsed: tuple[str, ...] = ()


class GangEnded(_Command, frozen=True):
    """Finish a job whose tasks have all ended without being stopped."""

    job_id: str
    epoch: int
    error: errors.ErrorBody | None = None


class TaskFailed(_Command, frozen=True):
    """Record that a task of a job failed on a worker."""

    job_id: str
    epoch: int
    worker: str
    message: str = ""


class WorkerHeard(_Command, frozen=True):
    """Record that a worker is heard after leases have lapsed there.

    Its possible crashes become crashes if a later incarnation is heard.

    Parameters
    ----------
    is_planned : bool
        Whether the end of the earlier incarnation is no crash, since an operator has
        drained the worker.
    """

    worker: str
    incarnation: int
    is_planned: bool = False


class RejectJob(_Command, frozen=True):
    """Fail a queued job that can never run."""

    job_id: str
    error: errors.ErrorBody


class ContractExpired(_Command, frozen=True):
    """Fail the queued jobs of a contract and stop its gangs after a grace period."""

    contract: str
    grace_s: float


class QuarantineWorker(_Command, frozen=True):
    """Exclude a worker from new allocations."""

    worker: str
    reason: str


class ReleaseWorker(_Command, frozen=True):
    """End the quarantine of a worker."""

    worker: str


class RecoverWithLoss(_Command, frozen=True):
    """Fence off all work of commands that a forced recovery may have lost.

    Parameters
    ----------
    mark : float
        Time of the recovery, in seconds since the Unix epoch. Keys issued before it
        may belong to jobs that were lost.
    """

    mark: float


Command: TypeAlias = (
    SubmitJob
    | CancelJob
    | AllocateGang
    | GangStarted
    | GangStopping
    | GangStopped
    | GangEnded
    | TaskFailed
    | WorkerHeard
    | RejectJob
    | ContractExpired
    | QuarantineWorker
    | ReleaseWorker
    | RecoverWithLoss
)


class JobResult(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """Job after an accepted command.

    Parameters
    ----------
    repeated : bool
        True if an earlier command already had this effect, so that nothing changed.
    """

    job: model.Job
    repeated: bool = False


class JobsResult(msgspec.Struct, frozen=True, tag=True):
    """Jobs that an accepted command changed."""

    jobs: tuple[model.Job, ...] = ()


class CountResult(msgspec.Struct, frozen=True, tag=True):
    """Number of jobs or workers that an accepted command changed."""

    changed: int


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Error of a refused command, which changed nothing."""

    error: errors.ErrorBody


Result: TypeAlias = JobResult | JobsResult | CountResult | Refused


def encode(command: Command) -> bytes:
    """Return the encoded command."""
    return codec.pack(command)


def decode(data: bytes) -> Command:
    """Return the command that `encode` encoded.

    Raises
    ------
    BadRequestError
        If the bytes are not an encoded command.
    """
    return codec.unpack(data, Command)


def decode_result(data: bytes) -> JobResult | JobsResult | CountResult:
    """Return the decoded result of an accepted command.

    Raises
    ------
    MarjoramusherError
        If the command was refused.
    """
    result = codec.unpack(data, Result)
    if isinstance(result, Refused):
        raise errors.from_body(result.error)
    return result
