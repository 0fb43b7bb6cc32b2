"""Calls to the leader, and its replies."""

import enum
from typing import TypeAlias

import msgspec

from ..core import codec, errors
from ..workflows import catalog, evacuation, wave, workflow

METHOD = "queues"


class Call(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all calls, which are idempotent."""


class CallerCall(Call, frozen=True, tag=True):
    """Base of the calls of clients.

    Parameters
    ----------
    host, path : str
        Select the queue by host and path prefix; the rest of the path is the id of the
        workflow.
    key : str or None
        Key of a client account.
    """

    host: str
    path: str
    key: str | None


class Submit(CallerCall, frozen=True, tag=True):
    """Submit a workflow; the leader sets its queue, account and id."""

    workflow: workflow.Workflow


class Read(CallerCall, frozen=True, tag=True):
    """Read the status of a workflow, or without an id the backlog of a queue."""


class Cancel(CallerCall, frozen=True, tag=True):
    """Cancel a workflow."""


class Announce(Call, frozen=True, tag=True):
    """Register a worker or renew its registration.

    Parameters
    ----------
    sequence : int
        Rises with each announcement of one incarnation.
    clock_ms : int or None
        Reading of the worker's clock.
    drain_remaining_ms : float or None
        Minimum time until it leaves, ``None`` if it has not announced that.
    cold_remaining_ms : float or None
        Time for which its tasks run slower, ``None`` if it has not announced that.
    """

    worker: workflow.Worker
    sequence: int
    clock_ms: int | None
    drain_remaining_ms: float | None = None
    cold_remaining_ms: float | None = None


class Leave(Call, frozen=True, tag=True):
    """Deregister a worker.

    Parameters
    ----------
    incarnation : int or None
        ``None`` if it is not known; only a worker that is draining leaves then.
    """

    worker_id: str
    incarnation: int | None


class Replace(Call, frozen=True, tag=True):
    """Replace the catalog."""

    catalog: catalog.Catalog
    document: bytes


class ReadCatalog(Call, frozen=True, tag=True):
    """Read the catalog in force."""


class ReadVersion(Call, frozen=True, tag=True):
    """Read the version of the catalog in force."""


class StartWave(Call, frozen=True, tag=True):
    """Start a maintenance wave."""

    wave: wave.Wave


class ReadWave(Call, frozen=True, tag=True):
    """Read whether a maintenance wave is complete."""

    number: int


class BeginEvacuation(Call, frozen=True, tag=True):
    """Start nothing more in a failure domain until the evacuation is ended."""

    failure_domain: str


class EndEvacuation(Call, frozen=True, tag=True):
    """Let tasks start again in a failure domain."""

    failure_domain: str


class ReadEvacuations(Call, frozen=True, tag=True):
    """Read the evacuations in force."""


class WorkflowStatus(enum.Enum):
    """Status of a workflow as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Reply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all replies."""


class Accepted(Reply, frozen=True, tag=True):
    """The workflow or its cancellation is stored."""


class Shown(Reply, frozen=True, tag=True):
    """Status of a workflow."""

    status: WorkflowStatus


class Counted(Reply, frozen=True, tag=True):
    """Number of active workflows of a queue of which no task has started."""

    pending: int


class Unknown(Reply, frozen=True, tag=True):
    """The workflow or wave does not exist."""


class NoQueue(Reply, frozen=True, tag=True):
    """No queue matches the host and path."""


class Unauthorized(Reply, frozen=True, tag=True):
    """The key belongs to no client account."""


class Acknowledged(Reply, frozen=True, tag=True):
    """An announcement or a departure was processed.

    Parameters
    ----------
    leader : str
        Id of the instance that processed it.
    """

    leader: str


class Replaced(Reply, frozen=True, tag=True):
    """Reply to `Replace` and `StartWave`.

    Parameters
    ----------
    version : int
        Version of the catalog in force, or number of the wave.
    conflict : bool
        Whether other content is known under the same version or number.
    """

    version: int
    conflict: bool


class WaveProgress(Reply, frozen=True, tag=True):
    """Whether the maintenance of all hosts of a wave has started."""

    complete: bool


class Document(Reply, frozen=True, tag=True):
    """The catalog in force as it was sent.

    Parameters
    ----------
    document : bytes
        Empty in replies to `ReadVersion`, and if there is no catalog.
    """

    version: int
    document: bytes


class Committed(Reply, frozen=True, tag=True):
    """The change is durable."""


class Rejected(Reply, frozen=True, tag=True):
    """The workflow was not stored, since it could not complete while it has a value.

    Parameters
    ----------
    retry_after_s : int
        When it may be accepted, from 1.
    """

    retry_after_s: int


class TooMany(Reply, frozen=True, tag=True):
    """The change was not made, since there are too many others of its kind."""


class Evacuations(Reply, frozen=True, tag=True):
    """The evacuations in force."""

    evacuations: tuple[evacuation.Evacuation, ...]


AnyCall: TypeAlias = (
    Submit
    | Read
    | Cancel
    | Announce
    | Leave
    | Replace
    | ReadCatalog
    | ReadVersion
    | StartWave
    | ReadWave
    | BeginEvacuation
    | EndEvacuation
    | ReadEvacuations
)
AnyReply: TypeAlias = (
    Accepted
    | Shown
    | Counted
    | Unknown
    | NoQueue
    | Unauthorized
    | Acknowledged
    | Replaced
    | Document
    | WaveProgress
    | Committed
    | TooMany
    | Rejected
    | Evacuations
)


def pack_call(call: AnyCall) -> bytes:
    """Encode a call."""
    return codec.pack(call)


def unpack_call(data: bytes) -> AnyCall:
    """Decode a call.

    Raises
    ------
    BadRequestError
        If the data is not an encoded call.
    """
    return codec.unpack(data, AnyCall)


def unpack_reply(data: bytes) -> AnyReply:
    """Decode a reply.

    Raises
    ------
    MarjoramusherError
        With outcome ``unknown`` if the data is not an encoded reply.
    """
    try:
        return codec.unpack(data, AnyReply)
    except errors.BadRequestError as error:
        raise errors.MarjoramusherError(
            errors.ErrorCode.OUTCOME_UNKNOWN,
            f"the reply can't be decoded: {error.message}",
            errors.Outcome.UNKNOWN,
        ) from error


def is_rejection(data: bytes) -> bool:
    """Tell whether an encoded reply says that a submission was not stored."""
    return isinstance(unpack_reply(data), NoQueue | Unauthorized | Rejected)
