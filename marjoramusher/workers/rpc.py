"""Calls from the leader of a failure domain to its workers."""

import enum

import msgspec

from . import table


class Method(enum.Enum):
    """Method that a worker serves."""

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
        Fencing epoch. A stop carries the epoch after the task's, so that the worker
        refuses a late prepare or start of the task.
    checkpoint : str
        For the method ``checkpoint``, the name to write; for ``prepare``, the name of
        the checkpoint to resume from.
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
    """Effect that calls a worker.

    Parameters
    ----------
    gang_epoch : int
        Epoch of the attempt; the request of a stop carries a higher one.
    """

    job_id: str
    task_id: str
    gang_epoch: int
    worker: str
    url: str
    method: Method
    request: TaskRequest
