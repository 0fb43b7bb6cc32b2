"""Commands of the replicated workflow state machine, and their results."""

from typing import TypeAlias

import msgspec

from ..core import codec
from . import catalog, suspicion, wave, workflow


class Command(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all commands.

    Parameters
    ----------
    at_ms : int
        Unix milliseconds on the clock of the proposer.
    """

    at_ms: int


class ReplaceCatalog(Command, frozen=True, tag=True):
    """Replace the catalog if the version of the new one is higher.

    Parameters
    ----------
    document : bytes
        The catalog as the operator sent it, returned to readers unchanged.
    """

    catalog: catalog.Catalog
    document: bytes


class Submit(Command, frozen=True, tag=True):
    """Accept a workflow; has no effect if its id is already known."""

    workflow: workflow.Workflow


class Cancel(Command, frozen=True, tag=True):
    """Cancel a workflow; one that is not known yet is cancelled when it arrives.

    Parameters
    ----------
    queue : str
        Queue to which a workflow that is not known yet was meant.
    """

    workflow_id: str
    queue: str = ""


class RegisterWorker(Command, frozen=True, tag=True):
    """Register an incarnation of a worker, or update its description.

    Parameters
    ----------
    sequence : int
        Sequence number of the announcement, 0 if it is not known.
    """

    worker: workflow.Worker
    sequence: int = 0


class RemoveWorker(Command, frozen=True, tag=True):
    """Remove an incarnation of a worker, whose runs have all ended.

    Parameters
    ----------
    releases : tuple of Release
        Its last runs, with their checkpoints.
    has_crashed : bool
        Whether it has ended unexpectedly.
    suspects : tuple of Suspect
        Tasks that may have been running then.
    ends : tuple of RunEnd
        Ends of its runs that a later incarnation of the worker has reported.
    """

    worker_id: str
    incarnation: int
    releases: tuple[workflow.Release, ...] = ()
    has_crashed: bool = False
    suspects: tuple[suspicion.Suspect, ...] = ()
    ends: tuple[workflow.RunEnd, ...] = ()


class Assign(Command, frozen=True, tag=True):
    """Assign tasks to workers; committed before the workers are asked to start."""

    placements: tuple[workflow.Placement, ...]


class Settle(Command, frozen=True, tag=True):
    """Record ends and releases of runs on one incarnation of a worker.

    Parameters
    ----------
    last_end_number : int
        Highest number among the ends, 0 without ends.
    is_heard : bool
        Whether the worker has reported this itself.
    """

    worker_id: str
    incarnation: int
    ends: tuple[workflow.RunEnd, ...] = ()
    releases: tuple[workflow.Release, ...] = ()
    last_end_number: int = 0
    is_heard: bool = False


class Forget(Command, frozen=True, tag=True):
    """Delete workflows that ended before a point in time."""

    before_ms: int


class BeginEvacuation(Command, frozen=True, tag=True):
    """Start nothing more in a failure domain; has no effect if that is in force."""

    failure_domain: str


class EndEvacuation(Command, frozen=True, tag=True):
    """Let tasks start again in a failure domain."""

    failure_domain: str


class StartWave(Command, frozen=True, tag=True):
    """Start a maintenance wave; has no effect if its number is already known."""

    wave: wave.Wave


class NoteMaintenance(Command, frozen=True, tag=True):
    """Record that maintenance of a host has started, or that the host does not exist.

    Parameters
    ----------
    number : int
        Number of the wave.
    """

    number: int
    host: str
    is_missing: bool = False


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
    | BeginEvacuation
    | EndEvacuation
)


class ReplaceCatalogResult(msgspec.Struct, frozen=True):
    """Result of `ReplaceCatalog`.

    Parameters
    ----------
    version : int
        Version in force.
    conflict : bool
        Whether the catalog in force has the same version but other content.
    """

    version: int
    conflict: bool


class WorkflowResult(msgspec.Struct, frozen=True):
    """Result of `Submit` and `Cancel`: whether the workflow exists.

    A submission is not accepted if its queue does not exist.
    """

    known: bool


class StartWaveResult(msgspec.Struct, frozen=True):
    """Result of `StartWave`: whether a different wave has the same number."""

    conflict: bool


class EvacuationResult(msgspec.Struct, frozen=True):
    """Result of `BeginEvacuation`: whether the evacuation is in force."""

    in_force: bool


class AssignResult(msgspec.Struct, frozen=True):
    """Result of `Assign`: the placements that were accepted."""

    placements: tuple[workflow.Placement, ...]


def pack(command: AnyCommand) -> bytes:
    """Encode a command."""
    return codec.pack(command)


def unpack(data: bytes) -> AnyCommand:
    """Decode a command.

    Raises
    ------
    BadRequestError
        If the data is not an encoded command.
    """
    return codec.unpack(data, AnyCommand)
