"""Commands of the replicated machine of workflows, and their results."""

from typing import TypeAlias

import msgspec

from ..core import codec
from . import catalog, wave, workflow


class Command(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all commands.

    Parameters
    ----------
    at_ms : int
        Unix milliseconds on the clock of the proposer.
    """

    at_ms: int


class ReplaceCatalog(Command, frozen=True, tag=True):
    """Put a catalog in force if its version is higher.

    Parameters
    ----------
    document : bytes
        The catalog as the operator sent it, given back to readers.
    """

    wanted: catalog.Catalog
    document: bytes


class Submit(Command, frozen=True, tag=True):
    """Accept a workflow; the same id again changes nothing."""

    wanted: workflow.Workflow


class Cancel(Command, frozen=True, tag=True):
    """Cancel a workflow."""

    workflow_id: str


class RegisterWorker(Command, frozen=True, tag=True):
    """Note a new life of a worker, or a change of what it says."""

    worker: workflow.Worker


class RemoveWorker(Command, frozen=True, tag=True):
    """Forget one life of a worker; all that ran there has ended."""

    worker_id: str
    incarnation: int


class Assign(Command, frozen=True, tag=True):
    """Bind tasks to workers before they are told to start."""

    placements: tuple[workflow.Placement, ...]


class Settle(Command, frozen=True, tag=True):
    """Note ends and releases of runs on one life of a worker.

    Parameters
    ----------
    seen : int
        Highest number of an end that this command includes, 0 if it has none.
    """

    worker_id: str
    incarnation: int
    ends: tuple[workflow.RunEnd, ...] = ()
    releases: tuple[workflow.Release, ...] = ()
    last_end_number: int = 0


class Forget(Command, frozen=True, tag=True):
    """Drop workflows that ended before an instant."""

    before_ms: int


class StartWave(Command, frozen=True, tag=True):
    """Have some hosts maintained; the same wave again changes nothing."""

    wave: wave.Wave


class NoteMaintenance(Command, frozen=True, tag=True):
    """Note that the maintenance of a host has begun, or that it no longer exists."""

    number: int
    host: str
    gone: bool = False


AnyCommand: TypeAlias = (
    ReplaceCatalog
    | Submit
    | Cancel
    | RegisterWorker
    | RemoveWorker
    | Assign
    | Settle
    | Forget
    | StartWave
    | NoteMaintenance
)


class ReplaceCatalogResult(msgspec.Struct, frozen=True):
    """Result of `ReplaceCatalog`: the version in force, and whether content differs."""

    version: int
    conflict: bool


class WorkflowResult(msgspec.Struct, frozen=True):
    """Result of `Submit` and `Cancel`: whether the workflow is known."""

    known: bool


class StartWaveResult(msgspec.Struct, frozen=True):
    """Result of `StartWave`: whether another wave has the number."""

    conflict: bool


class AssignResult(msgspec.Struct, frozen=True):
    """Result of `Assign`: the placements that were made."""

    placements: tuple[workflow.Placement, ...]


def pack(wanted: AnyCommand) -> bytes:
    """Encode a command."""
    return codec.pack(wanted)


def unpack(data: bytes) -> AnyCommand:
    """Decode a command.

    Raises
    ------
    BadRequestError
        If the bytes hold no command.
    """
    return codec.unpack(data, AnyCommand)
