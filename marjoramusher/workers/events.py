"""Events that the gang core handles and effects that it returns."""

from typing import TypeAlias

import msgspec

from ..core import announcement, errors, record
from ..jobs import command
from . import rpc


class ProposeCommand(msgspec.Struct, frozen=True):
    """Effect that proposes a command to the domain group."""

    command: command.Command


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Effect that replies to the announcement being handled.

    Parameters
    ----------
    stop : tuple of str
        Ids of tasks that the worker must stop, because no gang holds them there.
    """

    renewals: tuple[announcement.LeaseRenewal, ...]
    stop: tuple[str, ...]


Effect: TypeAlias = rpc.Call | ProposeCommand | AnnouncementReply


class WorkerAnnounced(msgspec.Struct, frozen=True):
    """A worker has announced itself."""

    announcement: announcement.WorkerAnnouncement


class CallCompleted(msgspec.Struct, frozen=True):
    """A call to a worker has completed or failed.

    Parameters
    ----------
    report : TaskReport or None
        Report of the task after the call; ``None`` if the call failed.
    code : ErrorCode or None
        ``stale_epoch`` if the worker does not hold the task at this epoch,
        ``target_failed`` if it refuses for another reason, ``peer_unreachable`` if it
        did not answer.
    """

    call: rpc.Call
    report: announcement.TaskReport | None = None
    code: errors.ErrorCode | None = None
    message: str = ""


class ProposalCompleted(msgspec.Struct, frozen=True):
    """A proposal has completed.

    Parameters
    ----------
    error : ErrorBody or None
        Error if the command was refused or its outcome is unknown.
    """

    command: command.Command
    error: errors.ErrorBody | None = None


class CommandsApplied(msgspec.Struct, frozen=True):
    """The jobs machine has applied commands."""


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A new revision of the operators' records is in force."""

    configuration: record.Configuration


class TimerTicked(msgspec.Struct, frozen=True):
    """The driver's timer has fired."""


Event: TypeAlias = (
    WorkerAnnounced
    | CallCompleted
    | ProposalCompleted
    | CommandsApplied
    | ConfigurationChanged
    | TimerTicked
)
