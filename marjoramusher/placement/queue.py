"""Queued jobs and the orders in which they are considered for placement."""

import math
from collections.abc import Collection, Iterator
from typing import Protocol

import msgspec

from ..core import job, resource
from . import cell, ledger

Demand = tuple[resource.GangShape, bool]


class AccountShare(msgspec.Struct):
    """Usage of a client account, as an input of queue orders.

    Parameters
    ----------
    dominant : float
        Largest share of accelerators, cores or memory in use, divided by weight.
    served : float
        Accelerator seconds received, divided by weight.
    """

    dominant: float = 0.0
    served: float = 0.0


class QueuedJob(msgspec.Struct):
    """A queued job.

    Parameters
    ----------
    shape : GangShape
        Shape to plan with, which may exceed the declared one.
    queued_at : float
        Time of submission; unchanged when the job is queued again.
    estimate_s : float
        Expected remaining run time.
    expires_at_s : float
        Time at which the contract expires; infinite without one.
    served_s : float
        Accelerator seconds received so far.
    """

    job: job.Job
    shape: resource.GangShape
    queued_at: float
    estimate_s: float
    expires_at_s: float
    served_s: float = 0.0
    serial: int = 0
    cancelled: bool = False


class QueueOrder(Protocol):
    """Order of queued jobs; the job with the lowest key is considered first."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""


class FirstInFirstOut:
    """Order by time of submission."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""
        return (queued.queued_at,)


class LeastAttainedService:
    """Order by the service received by the job, then by its client account."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""
        return (queued.served_s, share.served, queued.queued_at)


class EarliestDeadline:
    """Order by the expiry of the contract."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""
        return (queued.expires_at_s, queued.queued_at)


class DominantShare:
    """Order by the dominant share of the client account."""

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""
        return (share.dominant, queued.queued_at)


class Combined:
    """Order jobs of expiring contracts first, the others by response ratio and share.

    The response ratio is (waiting time + job size) / job size. Small jobs overtake
    large ones, and a large job advances while it waits. The size grows with the
    dominant share of the client account.
    """

    # A job comes first if its contract expires within this many estimated run times.
    URGENT_SLACK_RUNS = 2.0
    # Added to every size, so that among very short jobs the waiting time decides.
    MIN_SIZE_S = 5.0
    # Longer estimates count as this long, since declared run times are often far too
    # long and would keep a large gang waiting.
    MAX_ESTIMATE_S = 120.0

    def key(
        self, queued: QueuedJob, share: AccountShare, now: float
    ) -> tuple[float, ...]:
        """Return the sort key of a job of a client account."""
        slack_s = queued.expires_at_s - now
        is_due = slack_s < self.URGENT_SLACK_RUNS * queued.estimate_s
        size = min(queued.estimate_s, self.MAX_ESTIMATE_S) + self.MIN_SIZE_S
        size *= 1.0 + share.dominant
        ratio = (now - queued.queued_at + size) / size
        return (0.0 if is_due else 1.0, slack_s if is_due else 0.0, -ratio)


class SubQueue:
    """Queued jobs of one client account, class, contract and demand.

    Parameters
    ----------
    rank : int
        Rank of the jobs without a guarantee; see `ledger.Holding`.
    demand_id : int
        Number of the demand, since hashing a shape on each attempt costs more.
    is_retry : bool
        True if the job has failed before, or workers have crashed during it.
    usable_guarantees : tuple of str or None
        Guarantees that the jobs may use; ``None`` before they are looked up.
    exact_guarantees : tuple of str
        Usable guarantees whose shape equals that of the jobs.
    blocked_at_release : int
        Ledger's release counter at the last failed attempt.
    blocked_by : tuple of str
        Reservations, and ``standby``, that the last attempt had to respect.
    cell_demand : tuple
        Number and size of the cells that a job needs.
    next_feasibility_check_at : float
        Time of the next check whether the jobs can fit on any worker.
    """

    __slots__ = (
        "account",
        "blocked_at_release",
        "blocked_by",
        "cell_demand",
        "demand_id",
        "exact_guarantees",
        "is_retry",
        "jobs",
        "next_feasibility_check_at",
        "rank",
        "usable_guarantees",
    )

    def __init__(
        self,
        account: str,
        rank: int,
        demand_id: int,
        is_retry: bool,
        cell_demand: tuple[int, ledger.Amounts],
    ) -> None:
        self.cell_demand = cell_demand
        self.account = account
        self.rank = rank
        self.demand_id = demand_id
        self.is_retry = is_retry
        self.usable_guarantees: tuple[str, ...] | None = None
        self.exact_guarantees: tuple[str, ...] = ()
        self.blocked_at_release = -1
        self.blocked_by: tuple[str, ...] = ()
        self.next_feasibility_check_at = 0.0
        self.jobs: dict[str, QueuedJob] = {}

    def head(self) -> QueuedJob:
        """Return the job that was added first."""
        return next(iter(self.jobs.values()))


# Limits the number of known demands, since callers choose shapes freely.
MAX_DEMAND_IDS = 4096

# Account, contract, class, length class and retry key.
SubQueueKey = tuple[str, str, resource.JobClass, int, str]


class Queue:
    """Sub-queues by demand, so that one failed attempt covers all equal jobs.

    Any job can be removed at constant cost, since sub-queues are dicts.
    """

    __slots__ = ("_added_count", "_demand_ids", "_locations", "_subqueues")

    def __init__(self) -> None:
        self._subqueues: dict[int, dict[SubQueueKey, SubQueue]] = {}
        self._demand_ids: dict[Demand, int] = {}
        self._locations: dict[str, tuple[int, SubQueueKey]] = {}
        self._added_count = 0

    @property
    def added_count(self) -> int:
        """Return the number of jobs added so far."""
        return self._added_count

    def __len__(self) -> int:
        return len(self._locations)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._locations

    def get(self, job_id: str) -> QueuedJob | None:
        """Return a queued job."""
        location = self._locations.get(job_id)
        if location is None:
            return None
        return self._subqueues[location[0]][location[1]].jobs[job_id]

    def add(self, queued: QueuedJob, rank: int) -> None:
        """Append a job to the sub-queue of its equals.

        A job that has failed, or during which workers have crashed, gets its own
        sub-queue, since it avoids workers that equal jobs may use. Stopped jobs have
        sub-queues of their own, so that they don't wait behind new jobs.
        """
        spec = queued.job.spec
        self._added_count += 1
        if len(self._demand_ids) >= MAX_DEMAND_IDS:
            # Demands still queued under an old number are merely tried twice.
            self._demand_ids.clear()
        demand_id = self._demand_ids.setdefault(
            (queued.shape, spec.repeatable), self._added_count
        )
        retry_key = "stopped" if queued.job.epoch else ""
        is_retry = bool(
            queued.job.failed_on or queued.job.crashes or queued.job.possible_crashes
        )
        if is_retry:
            retry_key = queued.job.job_id
        # Only jobs of similar length share a sub-queue, so that a long job at the head
        # does not keep short ones from being backfilled.
        length_class = math.frexp(spec.run_s)[1] // 2
        key = (spec.account, spec.contract, spec.job_class, length_class, retry_key)
        subqueues = self._subqueues.setdefault(demand_id, {})
        subqueue = subqueues.get(key)
        if subqueue is None:
            cell_demand = cell.cell_demand(queued.shape)
            subqueue = subqueues[key] = SubQueue(
                spec.account, rank, demand_id, is_retry, cell_demand
            )
        subqueue.jobs[queued.job.job_id] = queued
        self._locations[queued.job.job_id] = (demand_id, key)

    def remove(self, job_id: str) -> QueuedJob | None:
        """Remove a job and return it."""
        location = self._locations.pop(job_id, None)
        if location is None:
            return None
        demand_id, key = location
        subqueues = self._subqueues[demand_id]
        queued = subqueues[key].jobs.pop(job_id)
        if not subqueues[key].jobs:
            del subqueues[key]
            if not subqueues:
                del self._subqueues[demand_id]
        return queued

    def subqueues_by_demand(self) -> Iterator[tuple[int, Collection[SubQueue]]]:
        """Yield each demand with its sub-queues."""
        for demand_id, subqueues in self._subqueues.items():
            yield demand_id, subqueues.values()

    def subqueues(self) -> Iterator[SubQueue]:
        """Yield all sub-queues, those of equal demand together."""
        for subqueues in self._subqueues.values():
            yield from subqueues.values()
