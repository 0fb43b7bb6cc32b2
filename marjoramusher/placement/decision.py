"""Placement decisions, which the leader of a failure domain carries out."""

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
        Guaranteed shape that the gang is charged to; ``None`` for a borrower, which
        runs on capacity that is not guaranteed to it.
    """

    job_id: str
    workers: tuple[str, ...]
    guarantee: str | None = None


class Stop(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running gang, which is then queued again.

    Parameters
    ----------
    on_behalf_of : str or None
        Job that starts on the released workers.
    """

    job_id: str
    reason: StopReason
    on_behalf_of: str | None = None


class Reject(msgspec.Struct, frozen=True):
    """Fail a job that can't run to completion on any worker."""

    job_id: str
    error: errors.ErrorBody


class Throttle(msgspec.Struct, frozen=True):
    """Limit a task that uses more resources than it declared."""

    job_id: str
    task_id: str
    worker: str


class QuarantineWorker(msgspec.Struct, frozen=True):
    """Exclude a worker on which tasks fail from new placements."""

    worker: str
    reason: str


class ReleaseWorker(msgspec.Struct, frozen=True):
    """End the quarantine of a worker, which then is on probation."""

    worker: str


Decision: TypeAlias = (
    Place | Stop | Reject | Throttle | QuarantineWorker | ReleaseWorker
)
