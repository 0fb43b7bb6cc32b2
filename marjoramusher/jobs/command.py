"""Commands of the jobs machine and their results.

Commands are written to the log, so fields are only ever added, with a default.
"""

import enum
from typing import TypeAlias

import msgspec

from ..core import codec, errors, resource
from ..core import job as model

PART = "jobs"
"""Name of the jobs machine among the parts of a domain group."""


class StopCause(enum.Enum):
    """Why a gang stops; it decides what becomes of the job afterwards."""

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
    """Add a job, or find the one that the same key has added.

    Parameters
    ----------
    key : str
        Idempotency key within the client account; empty if the caller gave none.
    fingerprint : str
        Digest of what was submitted; the same key with another one is refused.
    issued_at : float or None
        When the caller made the key, if it said so.
    """

    spec: model.JobSpec
    key: str = ""
    fingerprint: str = ""
    issued_at: float | None = None


class CancelJob(_Command, frozen=True):
    """Cancel a job; a job that holds workers stops first."""

    job_id: str


class AllocateGang(_Command, frozen=True):
    """Give workers to a queued job.

    Parameters
    ----------
    expected_epoch : int
        Epoch that the proposer has seen; the command is refused at any other.
    workers : tuple of str
        Worker of each task in order.
    capacities : dict of str to Resources
        Declared capacity of these workers, against which the ledger checks.
    """

    job_id: str
    expected_epoch: int
    workers: tuple[str, ...]
    capacities: dict[str, resource.Resources]
    guarantee: str | None = None


class GangStarted(_Command, frozen=True):
    """Note that all tasks of a gang run."""

    job_id: str
    epoch: int


class GangStopping(_Command, frozen=True):
    """Begin to stop a gang."""

    job_id: str
    epoch: int
    cause: StopCause


class GangStopped(_Command, frozen=True):
    """Release the workers of a stopping gang; no task of it runs any more.

    Parameters
    ----------
    checkpoint : str
        Checkpoint that all tasks hold; empty keeps the earlier one.
    may_have_run : bool
        False only if no task can have started.
    """

    job_id: str
    epoch: int
    checkpoint: str = ""
    progress_s: float = 0.0
    may_have_run: bool = True


class GangEnded(_Command, frozen=True):
    """Finish a job whose tasks have all ended by themselves."""

    job_id: str
    epoch: int
    error: errors.ErrorBody | None = None


class TaskFailed(_Command, frozen=True):
    """Note that a task of a job failed on a worker."""

    job_id: str
    epoch: int
    worker: str
    message: str = ""


class RejectJob(_Command, frozen=True):
    """Fail a queued job that can never run."""

    job_id: str
    error: errors.ErrorBody


class ContractExpired(_Command, frozen=True):
    """Fail the queued jobs of a contract and stop its gangs after the grace."""

    contract: str
    grace_s: float


class QuarantineWorker(_Command, frozen=True):
    """Keep new gangs from a worker."""

    worker: str
    reason: str


class ReleaseWorker(_Command, frozen=True):
    """Admit gangs to a quarantined worker again."""

    worker: str


class RecoverWithLoss(_Command, frozen=True):
    """Go on after committed commands may have been lost.

    Parameters
    ----------
    mark : float
        Keys issued before this instant may have belonged to lost jobs.
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
    | RejectJob
    | ContractExpired
    | QuarantineWorker
    | ReleaseWorker
    | RecoverWithLoss
)


class JobResult(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """The job after an accepted command.

    Parameters
    ----------
    repeated : bool
        True if the command had been accepted before and changed nothing now.
    """

    job: model.Job
    repeated: bool = False


class CountResult(msgspec.Struct, frozen=True, tag=True):
    """How many jobs or workers an accepted command has changed."""

    changed: int


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Why a command was refused; it changed nothing."""

    error: errors.ErrorBody


Result: TypeAlias = JobResult | CountResult | Refused


def encode(command: Command) -> bytes:
    """Return the bytes of a command."""
    return codec.pack(command)


def decode(data: bytes) -> Command:
    """Return the command that `encode` gave.

    Raises
    ------
    BadRequestError
        If the bytes hold no command.
    """
    return codec.unpack(data, Command)


def decode_result(data: bytes) -> JobResult | CountResult:
    """Return the result of a command.

    Raises
    ------
    MarjoramusherError
        If the command was refused.
    """
    value = codec.unpack(data, Result)
    if isinstance(value, Refused):
        raise errors.from_body(value.error)
    return value
