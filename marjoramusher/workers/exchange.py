"""Events that a step of the core takes and effects that it returns."""

from typing import TypeAlias

import msgspec

from ..core import announcement, errors, record
from ..jobs import command
from . import rpc


class Propose(msgspec.Struct, frozen=True):
    """Effect: propose a command to the domain group."""

    command: command.Command


class Reply(msgspec.Struct, frozen=True):
    """Effect: answer the announcement that this event was."""

    renewals: tuple[announcement.LeaseRenewal, ...]
    stop: tuple[str, ...]


Effect: TypeAlias = rpc.Call | Propose | Reply


class Announced(msgspec.Struct, frozen=True):
    """Event: a worker has announced itself."""

    announcement: announcement.WorkerAnnouncement


class Answered(msgspec.Struct, frozen=True):
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


class Proposed(msgspec.Struct, frozen=True):
    """Event: a proposal has ended; `error` tells why it was not accepted."""

    command: command.Command
    error: errors.ErrorBody | None = None


class Applied(msgspec.Struct, frozen=True):
    """Event: the jobs machine has applied commands."""


class Configured(msgspec.Struct, frozen=True):
    """Event: a new revision of the operators' records is in force."""

    configuration: record.Configuration


class Ticked(msgspec.Struct, frozen=True):
    """Event: time has passed."""


Event: TypeAlias = Announced | Answered | Proposed | Applied | Configured | Ticked
