"""Calls to the leader of the queues, and its replies."""

import enum
from typing import TypeAlias

import msgspec

from ..core import codec
from ..workflows import catalog, wave, workflow

METHOD = "queues"


class Call(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all calls; each may be sent again without a second effect."""


class CallerCall(Call, frozen=True, tag=True):
    """Call of a caller about what lies at a place.

    Parameters
    ----------
    host, path : str
        Select the queue; the rest of the path names a workflow.
    key : str or None
        Key of a client account.
    """

    host: str
    path: str
    key: str | None


class Submit(CallerCall, frozen=True, tag=True):
    """Submit a workflow; the queue, account and id are filled in by the leader."""

    workflow: workflow.Workflow


class Read(CallerCall, frozen=True, tag=True):
    """Ask for the state of a workflow, or for the waiting ones of a queue."""


class Cancel(CallerCall, frozen=True, tag=True):
    """Cancel a workflow."""


class Announce(Call, frozen=True, tag=True):
    """A worker describes itself.

    Parameters
    ----------
    sequence : int
        Rises with each announcement of one life.
    clock_ms : int or None
        Clock of the worker.
    """

    worker: workflow.Worker
    sequence: int
    clock_ms: int | None


class Leave(Call, frozen=True, tag=True):
    """A worker ends; ``None`` stands for whatever life is registered."""

    worker_id: str
    incarnation: int | None


class Replace(Call, frozen=True, tag=True):
    """An operator replaces the catalog."""

    catalog: catalog.Catalog
    document: bytes


class ReadCatalog(Call, frozen=True, tag=True):
    """Ask for the catalog in force."""


class ReadVersion(Call, frozen=True, tag=True):
    """Ask for the version of the catalog in force."""


class StartWave(Call, frozen=True, tag=True):
    """An operator has some hosts maintained."""

    wave: wave.Wave


class ReadWave(Call, frozen=True, tag=True):
    """Ask whether a wave of maintenance is complete."""

    number: int


class WorkflowStatus(enum.Enum):
    """State of a workflow as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Reply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all replies."""


class Accepted(Reply, frozen=True, tag=True):
    """The workflow is stored, or the cancellation is."""


class Shown(Reply, frozen=True, tag=True):
    """State of a workflow."""

    status: WorkflowStatus


class Counted(Reply, frozen=True, tag=True):
    """Number of workflows of a queue without a started task."""

    pending: int


class Unknown(Reply, frozen=True, tag=True):
    """No such workflow."""


class NoQueue(Reply, frozen=True, tag=True):
    """No queue at this place."""


class Unauthorized(Reply, frozen=True, tag=True):
    """The key belongs to no client account."""


class Acknowledged(Reply, frozen=True, tag=True):
    """An announcement was noted.

    Parameters
    ----------
    leader : str
        Id of the instance that noted it.
    """

    leader: str


class Replaced(Reply, frozen=True, tag=True):
    """The catalog in force, after a request to replace it."""

    version: int
    conflict: bool


class WaveProgress(Reply, frozen=True, tag=True):
    """Whether the maintenance of all hosts of a wave has begun."""

    complete: bool


class Document(Reply, frozen=True, tag=True):
    """The catalog in force as it was sent; empty before the first one."""

    version: int
    document: bytes


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
)


def pack_call(wanted: AnyCall) -> bytes:
    """Encode a call."""
    return codec.pack(wanted)


def unpack_call(data: bytes) -> AnyCall:
    """Decode a call.

    Raises
    ------
    BadRequestError
        If the bytes hold no call.
    """
    return codec.unpack(data, AnyCall)


def unpack_reply(data: bytes) -> AnyReply:
    """Decode a reply.

    Raises
    ------
    BadRequestError
        If the bytes hold no reply.
    """
    return codec.unpack(data, AnyReply)
