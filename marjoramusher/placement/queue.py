"""Jobs that wait, and the order in which they are tried."""

import math
from collections.abc import Collection, Iterator
from typing import Protocol

import msgspec

from ..core import job, resource
from . import cell, ledger

Demand = tuple[resource.GangShape, bool]


class AccountShare(msgspec.Struct):
    """What a client account uses, as the order sees it.

    Parameters
    ----------
    dominant : float
        Largest share of accelerators, cores or memory in use, divided by weight.
    served : float
        Accelerator seconds received, decayed over time, divided by weight.
    """

    dominant: float = 0.0
    served: float = 0.0


class QueuedJob(msgspec.Struct):
    """A queued job.

    Parameters
    ----------
    expires_in_s : float
        Time until the contract expires; infinite without one.
    estimate_s : float
        Expected rest of the run time.
    """

    job: job.Job
    shape: resource.GangShape
    since: float
    estimate_s: float
    expires_at_s: float
    served_s: float = 0.0
    serial: int = 0
    cancelled: bool = False


class QueueOrder(Protocol):
    """Rank queued jobs; the lowest key is tried first."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""


class FirstInFirstOut:
    """Rank by time of submission."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""
        return (queued.since,)


class LeastAttainedService:
    """Rank by the service that the job, then its client account, has received."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""
        return (queued.served_s, share.served, queued.since)


class EarliestDeadline:
    """Rank by the expiry of the contract."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""
        return (queued.expires_at_s, queued.since)


class DominantShare:
    """Rank by the dominant share of the client account."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""
        return (share.dominant, queued.since)


class Combined:
    """Rank contracts about to expire first, then by response ratio and share.

    The response ratio weighs waiting against the estimated size of the job: small
    jobs pass large ones, and a large one gains rank while it waits. A client account
    with a large share counts as larger.
    """

    # A job is due when its contract leaves it less than this many estimated runs.
    DUE_RUNS = 2.0
    # Expected work below this is treated alike, so that waiting decides.
    FLOOR_S = 5.0
    # Expected work above this is treated alike, since declarations are often far too
    # long and would keep a large gang waiting.
    CEILING_S = 120.0

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the rank of a job of a client account."""
        slack_s = queued.expires_at_s - now
        due = slack_s < self.DUE_RUNS * queued.estimate_s
        size = min(queued.estimate_s, self.CEILING_S) + self.FLOOR_S
        size *= 1.0 + share.dominant
        ratio = (now - queued.since + size) / size
        return (0.0 if due else 1.0, slack_s if due else 0.0, -ratio)


class SubQueue:
    """Queued jobs of one client account, class and contract with equal demand.

    Parameters
    ----------
    demand : int
        Number of the demand; hashing a shape on each attempt costs more.
    is_retry : bool
        True if the job has failed before.
    covering : tuple of str or None
        Guarantees that the jobs may use, once they are looked up.
    exact : tuple of str
        Those of them that have exactly the jobs' shape.
    blocked_at : int
        Count of releases at which the lane was last tried in vain.
    blocked_by : tuple of str
        What the last attempt had to leave to others.
    unit : tuple
        Number and size of the cells that a job needs.
    next_check : float
        When to look again whether the jobs can ever fit.
    """

    __slots__ = (
        "account",
        "blocked_at",
        "blocked_by",
        "covering",
        "demand",
        "exact",
        "is_retry",
        "jobs",
        "next_check",
        "rank",
        "unit",
    )

    def __init__(
        self,
        account: str,
        rank: int,
        demand: int,
        is_retry: bool,
        unit: tuple[int, ledger.Amounts],
    ) -> None:
        self.unit = unit
        self.account = account
        self.rank = rank
        self.demand = demand
        self.is_retry = is_retry
        self.covering: tuple[str, ...] | None = None
        self.exact: tuple[str, ...] = ()
        self.blocked_at = -1
        self.blocked_by: tuple[str, ...] = ()
        self.next_check = 0.0
        self.jobs: dict[str, QueuedJob] = {}

    def head(self) -> QueuedJob:
        """Return the job that has waited longest."""
        return next(iter(self.jobs.values()))


# Callers choose shapes freely, so the demands that are remembered are limited.
MAX_NUMBERS = 4096

SubQueueKey = tuple[str, str, resource.JobClass, int, str]


class Queue:
    """Lanes by demand, so that one failed attempt speaks for all equal jobs.

    Removal is a deletion from a dict, also for jobs in the middle of a lane.
    """

    __slots__ = ("_added", "_lane_of", "_lanes", "_numbers")

    def __init__(self) -> None:
        self._lanes: dict[int, dict[SubQueueKey, SubQueue]] = {}
        self._numbers: dict[Demand, int] = {}
        self._lane_of: dict[str, tuple[int, SubQueueKey]] = {}
        self._added = 0

    @property
    def added(self) -> int:
        """Return how many jobs were added so far."""
        return self._added

    def __len__(self) -> int:
        return len(self._lane_of)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._lane_of

    def get(self, job_id: str) -> QueuedJob | None:
        """Return a queued job."""
        place = self._lane_of.get(job_id)
        if place is None:
            return None
        return self._lanes[place[0]][place[1]].jobs[job_id]

    def add(self, queued: QueuedJob, rank: int) -> None:
        """Add a job behind equal ones.

        A job that has failed gets a lane of its own, since it avoids workers that
        equal jobs may use. Jobs that were stopped don't queue behind new ones.
        """
        spec = queued.job.spec
        self._added += 1
        if len(self._numbers) >= MAX_NUMBERS:
            # Demands that still wait under an old number are merely tried twice.
            self._numbers.clear()
        demand = self._numbers.setdefault((queued.shape, spec.repeatable), self._added)
        again = "stopped" if queued.job.epoch else ""
        if queued.job.failed_on:
            again = queued.job.job_id
        # Jobs of like length wait together, so that a long one at the head does not
        # keep short ones from being backfilled.
        length = math.frexp(spec.run_s)[1] // 2
        key = (spec.account, spec.contract, spec.job_class, length, again)
        subqueues = self._lanes.setdefault(demand, {})
        subqueue = subqueues.get(key)
        if subqueue is None:
            is_retry = bool(queued.job.failed_on)
            unit = cell.cell_demand(queued.shape)
            subqueue = subqueues[key] = SubQueue(
                spec.account, rank, demand, is_retry, unit
            )
        subqueue.jobs[queued.job.job_id] = queued
        self._lane_of[queued.job.job_id] = (demand, key)

    def remove(self, job_id: str) -> QueuedJob | None:
        """Remove a job at constant cost."""
        place = self._lane_of.pop(job_id, None)
        if place is None:
            return None
        demand, key = place
        subqueues = self._lanes[demand]
        queued = subqueues[key].jobs.pop(job_id)
        if not subqueues[key].jobs:
            del subqueues[key]
            if not subqueues:
                del self._lanes[demand]
        return queued

    def by_demand(self) -> Iterator[tuple[int, Collection[SubQueue]]]:
        """Yield the lanes of each demand."""
        for demand, subqueues in self._lanes.items():
            yield demand, subqueues.values()

    def subqueues(self) -> Iterator[SubQueue]:
        """Yield all lanes, those of equal demand together."""
        for subqueues in self._lanes.values():
            yield from subqueues.values()
