"""Calls that a worker serves."""

import enum

import msgspec

from . import table


class Method(enum.Enum):
    """Calls that a worker serves."""

    PREPARE = "prepare"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class TaskRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a call to a worker.

    Parameters
    ----------
    epoch : int
        Fencing epoch. A stop carries the one after the task's, so that a late prepare
        or start of the task is refused.
    checkpoint : str
        Name to write for a checkpoint, or to resume from for a prepare.
    """

    epoch: int
    lease_s: float = table.TASK_LEASE_S
    job_id: str = ""
    index: int = 0
    gang_size: int = 1
    payload: str = ""
    checkpoint: str = ""
    progress_s: float = 0.0
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class Call(msgspec.Struct, frozen=True):
    """Effect: call a worker."""

    job_id: str
    task_id: str
    gang_epoch: int
    worker: str
    url: str
    method: Method
    request: TaskRequest
