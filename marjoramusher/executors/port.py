"""Interfaces of workers and the policy service, independent of their protocols."""

import enum
from collections.abc import Mapping
from typing import Protocol

import msgspec

from ..core import errors
from ..workflows import resources, workflow


class StartRequest(msgspec.Struct, frozen=True):
    """Request to start one run of a task.

    Parameters
    ----------
    deadline_ms : int
        End of the lease on the worker's clock.
    token : int
        Fencing token; the worker rejects lower ones than it has seen.
    checkpoint : str
        Checkpoint to resume from, empty to start from the beginning.
    ticket : str
        Permit of the policy service, empty if none is needed.
    """

    task: workflow.TaskKey
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class Refusal(enum.Enum):
    """Why a worker rejected a request."""

    FENCED = "fenced"  # it has seen a higher fencing token
    STALE_RUN = "old"  # a run with this number or a higher one has ended there
    LEASE_EXPIRED = "late"  # the lease had expired when the request arrived
    NO_CAPACITY = "room"
    INVALID_TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class Reply(msgspec.Struct, frozen=True):
    """Reply to a request to start, stop or slow down a run.

    Parameters
    ----------
    clock_ms : int or None
        The worker's clock at the time of the reply.
    refusal : Refusal or None
        ``None`` if the request was carried out.
    """

    clock_ms: int | None
    refusal: Refusal | None = None

    @property
    def is_stopped(self) -> bool:
        """Tell whether the reply to a stop confirms that the run can't start any more.

        Either the stop was carried out, or the run had ended before. A worker has done
        nothing for a stop that it refuses otherwise.
        """
        return self.refusal in (None, Refusal.STALE_RUN)


class RunStatus(msgspec.Struct, frozen=True):
    """A run in progress on a worker.

    Parameters
    ----------
    progress_percent : int
        Progress; 100 for a long-running task that is serving.
    load : float
        Approximate tail latency in milliseconds for a serving task; for any other
        one, thousandths of cores in use.
    """

    task: workflow.TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    load: float = 0.0


class WorkerReport(msgspec.Struct, frozen=True):
    """All runs in progress on a worker, and the ends that were not acknowledged.

    Parameters
    ----------
    unreadable : int
        Number of entries that could not be read and name no run.
    """

    clock_ms: int
    incarnation: int | None
    running: tuple[RunStatus, ...]
    ends: tuple[workflow.RunEnd, ...]
    unreadable: int = 0


class WorkerUnreachableError(errors.MarjoramusherError):
    """A worker gave no valid reply.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` if the request certainly did not reach it.
    is_refused : bool
        Whether the host of the worker answered that nothing listens at its address.
    """

    def __init__(
        self,
        worker_id: str,
        reason: str,
        outcome: errors.Outcome,
        *,
        is_refused: bool = False,
    ) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"worker {worker_id}: {reason}",
            outcome,
        )
        self.is_refused = is_refused


class WorkerReplacedError(errors.MarjoramusherError):
    """Another worker, or a later incarnation, listens at the address."""

    def __init__(self, worker_id: str) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"another worker listens at the address of worker {worker_id}",
        )


class WorkerPort(Protocol):
    """Send requests to workers.

    All methods raise `WorkerUnreachableError` without a valid reply, in which case
    the request may be carried out seconds later, and `WorkerReplacedError` if this
    incarnation of the worker has ended.
    """

    async def start(self, worker: workflow.Worker, request: StartRequest) -> Reply:
        """Start a run; has no effect if it is already in progress."""

    async def stop(
        self, worker: workflow.Worker, task: workflow.TaskKey, run: int, token: int
    ) -> Reply:
        """Stop a run; after the reply, this run can no longer start there."""

    async def set_pace(
        self,
        worker: workflow.Worker,
        task: workflow.TaskKey,
        run: int,
        percentage: int,
        token: int,
    ) -> Reply:
        """Limit a run to a percentage of its full speed."""

    async def poll(
        self,
        worker: workflow.Worker,
        token: int,
        last_end_number: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and return the runs and new ends.

        Parameters
        ----------
        last_end_number : int
            The worker may forget the ends up to this number.
        deadline_ms : int or None
            New end of the lease on the worker's clock; ``None`` does not renew it.
        wait_s : float
            Maximum time to wait for a new end.
        """


class PolicyDecision(msgspec.Struct, frozen=True):
    """Answer of the policy service.

    Parameters
    ----------
    tickets : mapping of str to str
        Ticket for each worker id that may run the step.
    validity_s : float
        Lifetime of the tickets, counted from the answer.
    """

    tickets: Mapping[str, str]
    validity_s: float


class PolicyUnavailableError(errors.MarjoramusherError):
    """The policy service gave no valid answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(errors.ErrorCode.TARGET_FAILED, f"policy service: {reason}")


class PolicyPort(Protocol):
    """Query which workers may run a step."""

    async def request_permits(
        self, step: resources.StepKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> PolicyDecision:
        """Return the permits for some workers.

        Raises
        ------
        PolicyUnavailableError
            If there is no valid answer.
        """
