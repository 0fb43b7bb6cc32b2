"""Events that a step of the core takes and effects that it returns."""

from typing import TypeAlias

import msgspec

from ..core import announcement, errors, record
from ..jobs import command
from . import rpc


class ProposeCommand(msgspec.Struct, frozen=True):
    """Effect: propose a command to the domain group."""

    command: command.Command


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Effect: answer the announcement that this event was."""

    renewals: tuple[announcement.LeaseRenewal, ...]
    stop: tuple[str, ...]


Effect: TypeAlias = rpc.Call | ProposeCommand | AnnouncementReply


class WorkerAnnounced(msgspec.Struct, frozen=True):
    """Event: a worker has announced itself."""

    announcement: announcement.WorkerAnnouncement


class CallCompleted(msgspec.Struct, frozen=True):
    """Event: a call has ended.

    Parameters
    ----------
    report : TaskReport or None
        The task after the call; ``None`` if the call failed.
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
    """Event: a proposal has ended; `error` tells why it was not accepted."""

    command: command.Command
    error: errors.ErrorBody | None = None


class CommandsApplied(msgspec.Struct, frozen=True):
    """Event: the jobs machine has applied commands."""


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """Event: a new revision of the operators' records is in force."""

    configuration: record.Configuration


class TimerTicked(msgspec.Struct, frozen=True):
    """Event: time has passed."""


Event: TypeAlias = (
    WorkerAnnounced
    | CallCompleted
    | ProposalCompleted
    | CommandsApplied
    | ConfigurationChanged
    | TimerTicked
)
