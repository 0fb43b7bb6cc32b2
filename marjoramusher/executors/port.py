"""What the leader asks of a worker, whatever protocol the worker speaks."""

import enum
from collections.abc import Mapping
from typing import Protocol

import msgspec

from ..core import errors
from ..workflows import resources, workflow


class StartRequest(msgspec.Struct, frozen=True):
    """Start one run of a task.

    Parameters
    ----------
    deadline_ms : int
        End of the lease on the clock of the worker.
    token : int
        Fencing token; the worker does nothing for a lower one than it has seen.
    ticket : str
        Permit of the policy service, empty where none is needed.
    """

    task: workflow.TaskKey
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class Refusal(enum.Enum):
    """Why a worker has not started a run."""

    FENCED = "fenced"  # a higher token was seen
    STALE_RUN = "old"  # the run is not higher than one that ended there
    LEASE_EXPIRED = "late"  # the lease was over on arrival
    NO_CAPACITY = "room"
    INVALID_TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class Reply(msgspec.Struct, frozen=True):
    """Answer to a start or stop.

    Parameters
    ----------
    clock_ms : int or None
        Clock of the worker when it answered.
    refusal : Refusal or None
        ``None`` if the order was carried out.
    """

    clock_ms: int | None
    refusal: Refusal | None = None


class RunStatus(msgspec.Struct, frozen=True):
    """A run that is in progress on a worker.

    Parameters
    ----------
    percent : int
        Progress; 100 for a long-running task at work.
    load : float
        For a serving task the tail of its response times in milliseconds, for any
        other one the cores in use, in thousandths; a rough figure.
    """

    task: workflow.TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    load: float = 0.0


class WorkerReport(msgspec.Struct, frozen=True):
    """All that a worker runs, and the ends that it has not been told to forget."""

    clock_ms: int
    incarnation: int | None
    running: tuple[RunStatus, ...]
    ends: tuple[workflow.RunEnd, ...]


class WorkerUnreachableError(errors.MarjoramusherError):
    """A worker gave no usable answer.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` if the order has certainly not reached it.
    """

    def __init__(self, worker_id: str, reason: str, outcome: errors.Outcome) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"worker {worker_id}: {reason}",
            outcome,
        )


class WorkerReplacedError(errors.MarjoramusherError):
    """Another life of a worker, or another worker, answers at the address."""

    def __init__(self, worker_id: str) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"worker {worker_id} has been replaced at its address",
        )


class WorkerPort(Protocol):
    """Give orders to workers."""

    async def start(self, worker: workflow.Worker, order: StartRequest) -> Reply:
        """Start a run.

        Raises
        ------
        WorkerSilentError
            If there is no answer; the order may be carried out seconds later.
        WorkerReplacedError
            If this life of the worker is over.
        """

    async def stop(
        self, worker: workflow.Worker, task: workflow.TaskKey, run: int, token: int
    ) -> Reply:
        """Stop a run; once answered, this run can't start there any more."""

    async def set_pace(
        self,
        worker: workflow.Worker,
        task: workflow.TaskKey,
        run: int,
        percentage: int,
        token: int,
    ) -> Reply:
        """Let a run work at a share of its speed."""

    async def poll(
        self,
        worker: workflow.Worker,
        token: int,
        last_end_number: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> WorkerReport:
        """Renew the lease, have ends forgotten, and wait a while for the next end."""


class PolicyDecision(msgspec.Struct, frozen=True):
    """Answer of the policy service.

    Parameters
    ----------
    tickets : mapping of str to str
        Ticket for each worker that may run the step.
    validity_s : float
        How long the tickets last, counted from the answer.
    """

    tickets: Mapping[str, str]
    validity_s: float


class PolicyUnavailableError(errors.MarjoramusherError):
    """The policy service gave no usable answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(errors.ErrorCode.TARGET_FAILED, f"policy service: {reason}")


class PolicyPort(Protocol):
    """Ask which workers may run a step."""

    async def request_permits(
        self, step: resources.StepKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> PolicyDecision:
        """Return the permits of some workers.

        Raises
        ------
        PolicyUnavailableError
            If there is no usable answer.
        """
