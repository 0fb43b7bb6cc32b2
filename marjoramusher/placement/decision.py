"""Decisions of the placer, carried out by the leader of a failure domain."""

import enum
from typing import TypeAlias

import msgspec

from ..core import errors


class StopReason(enum.Enum):
    """Why a running gang is stopped."""

    RECLAIM = "reclaim"
    OVERUSE = "overuse"
    DEFRAGMENT = "defragment"
    WORKER_LOST = "worker_lost"
    CONTRACT_EXPIRED = "contract_expired"


class Place(msgspec.Struct, frozen=True):
    """Start a gang; `workers` names the worker of each task in order.

    Parameters
    ----------
    guarantee : str or None
        Guaranteed shape that the gang is charged to; ``None`` if it borrows.
    """

    job_id: str
    workers: tuple[str, ...]
    guarantee: str | None = None


class Stop(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running gang, which then queues again."""

    job_id: str
    reason: StopReason
    on_behalf_of: str | None = None


class Reject(msgspec.Struct, frozen=True):
    """Fail a job that can never run."""

    job_id: str
    error: errors.ErrorBody


class Throttle(msgspec.Struct, frozen=True):
    """Limit a task that uses more than it declared."""

    job_id: str
    task_id: str
    worker: str


class QuarantineWorker(msgspec.Struct, frozen=True):
    """Keep new work from a worker that fails what it starts."""

    worker: str
    reason: str


class ReleaseWorker(msgspec.Struct, frozen=True):
    """Give a quarantined worker work again, on probation."""

    worker: str


Decision: TypeAlias = (
    Place | Stop | Reject | Throttle | QuarantineWorker | ReleaseWorker
)
