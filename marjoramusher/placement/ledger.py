"""Accounting of each worker's accelerators, cores and memory."""

import math
from collections.abc import Iterable, Mapping, Sequence

from ..core import resource

Amounts = tuple[int, int, int]
ZERO: Amounts = (0, 0, 0)
# Upper bound on tasks counted for one worker, since a task may request nothing.
MAX_SLOTS = 1024


def amounts_of(resources: resource.Resources) -> Amounts:
    """Return accelerators, cores and memory as a tuple."""
    return (resources.accelerators, resources.cores, resources.memory_mb)


def scale(amounts: Amounts, factor: int) -> Amounts:
    """Multiply amounts."""
    return (amounts[0] * factor, amounts[1] * factor, amounts[2] * factor)


def count_slots(available: Amounts, unit_amounts: Amounts) -> int:
    """Return how many tasks of `unit_amounts` fit into `available`."""
    slots = MAX_SLOTS
    for available_units, requested in zip(available, unit_amounts, strict=True):
        if requested > 0:
            quotient = available_units // requested
            if quotient < slots:
                slots = quotient
    return slots if slots > 0 else 0


def amounts_by_worker(
    workers: Iterable[str], unit_amounts: Amounts
) -> dict[str, Amounts]:
    """Return the amounts per worker of equal tasks, given the worker of each task."""
    totals: dict[str, Amounts] = {}
    for worker in workers:
        a, c, m = totals.get(worker, ZERO)
        totals[worker] = (a + unit_amounts[0], c + unit_amounts[1], m + unit_amounts[2])
    return totals


class Holding:
    """Resources held by a job from its placement until its end is confirmed.

    Parameters
    ----------
    rank : int
        3 if charged to a guarantee, otherwise 2 for urgent, 1 for normal and 0 for
        best effort. A job preempts only jobs of lower rank, so preemption can't form
        a cycle.
    is_preemptible : bool
        False for a job that must not start twice; it is never stopped for others.
    previous_starts : int
        Number of earlier starts of the job.
    is_backfilled : bool
        True if placed on workers that a waiting gang has reserved.
    """

    __slots__ = (
        "accelerators",
        "account",
        "amounts",
        "checkpointed_at",
        "estimate_s",
        "is_backfilled",
        "is_preemptible",
        "job_id",
        "moved_at",
        "previous_starts",
        "progress_s",
        "rank",
        "shape",
        "started_at",
        "stop_requested_at",
    )

    def __init__(
        self,
        job_id: str,
        account: str,
        shape: resource.GangShape,
        workers: Sequence[str],
        rank: int,
        is_preemptible: bool,
        now: float,
    ) -> None:
        self.job_id = job_id
        self.account = account
        self.shape = shape
        self.amounts = amounts = amounts_by_worker(workers, amounts_of(shape.each))
        self.accelerators = sum(a for a, _, _ in amounts.values())
        self.rank = rank
        self.is_preemptible = is_preemptible
        self.started_at = now
        self.checkpointed_at = now
        self.progress_s = 0.0
        self.estimate_s = 0.0
        self.stop_requested_at: float | None = None
        self.previous_starts = 0
        self.moved_at = -math.inf
        self.is_backfilled = False

    @property
    def can_be_preempted(self) -> bool:
        """Tell whether this is a preemptible borrower that is not being stopped."""
        return (
            self.is_preemptible
            and self.rank < GUARANTEED_RANK
            and self.stop_requested_at is None
        )

    @property
    def is_pinned(self) -> bool:
        """Tell whether this is a non-preemptible borrower."""
        return not self.is_preemptible and self.rank < GUARANTEED_RANK

    def lost_work(self, now: float) -> float:
        """Return the accelerator seconds since the last checkpoint."""
        return (now - self.checkpointed_at) * max(1, self.accelerators)

    def stop_cost(self, now: float) -> float:
        """Return the lost work plus a surcharge that spreads stops over many jobs."""
        surcharge_s = STOP_COST_S * (1 + self.previous_starts)
        return self.lost_work(now) + surcharge_s * max(1, self.accelerators)


GUARANTEED_RANK = 3
# Time for checkpoint, stop and restart, counted once for each start of the job.
STOP_COST_S = 3.0


class Worker:
    """Capacity of one worker and the amounts in use.

    Parameters
    ----------
    used : list of int
        Held by jobs.
    claimed : list of int
        Set aside for jobs that wait until victims have stopped.
    committed : list of int
        Assigned to or used by guarantees, or held by non-preemptible borrowers.
    best_effort : list of int
        Held by preemptible best effort borrowers.
    preemptible : list of int
        Held by all preemptible borrowers, except those being stopped.
    stopping : list of int
        Part of `used` whose jobs are being stopped.
    """

    __slots__ = (
        "best_effort",
        "capacity",
        "claimed",
        "committed",
        "id",
        "incarnation",
        "is_enabled",
        "is_present",
        "jobs",
        "preemptible",
        "rack",
        "stopping",
        "used",
    )

    def __init__(self, worker_id: str) -> None:
        self.id = worker_id
        self.rack = ""
        self.incarnation = 0
        self.is_present = False
        self.is_enabled = True
        self.capacity = ZERO
        self.used = [0, 0, 0]
        self.claimed = [0, 0, 0]
        self.committed = [0, 0, 0]
        self.best_effort = [0, 0, 0]
        self.preemptible = [0, 0, 0]
        self.stopping = [0, 0, 0]
        self.jobs: dict[str, Amounts] = {}

    @property
    def is_schedulable(self) -> bool:
        """Tell whether new jobs may be placed here."""
        return self.is_present and self.is_enabled


def free(worker: Worker) -> Amounts:
    """Return the amounts that are neither used nor claimed."""
    total, used, claimed = worker.capacity, worker.used, worker.claimed
    return (
        total[0] - used[0] - claimed[0],
        total[1] - used[1] - claimed[1],
        total[2] - used[2] - claimed[2],
    )


def uncommitted(worker: Worker) -> Amounts:
    """Return the capacity not committed to guarantees or non-preemptible borrowers."""
    total, committed = worker.capacity, worker.committed
    return (
        total[0] - committed[0],
        total[1] - committed[1],
        total[2] - committed[2],
    )


def free_uncommitted(worker: Worker) -> Amounts:
    """Return the part of the free amounts that is not committed."""
    a, b = free(worker), uncommitted(worker)
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]))


def idle(worker: Worker) -> Amounts:
    """Return the whole capacity of a worker that no job uses or waits for."""
    if worker.jobs or any(worker.claimed):
        return ZERO
    return worker.capacity


def free_after_preemption(worker: Worker) -> Amounts:
    """Return the amounts free after the stop of all best effort borrowers."""
    a, b = free(worker), worker.best_effort
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def uncommitted_after_preemption(worker: Worker) -> Amounts:
    """Return the part of `free_after_preemption` that is not committed."""
    a, b = free_after_preemption(worker), uncommitted(worker)
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]))


def free_after_stops(worker: Worker) -> Amounts:
    """Return the amounts free once the jobs being stopped have ended."""
    a, b = free(worker), worker.stopping
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


class Ledger:
    """Workers, holdings and a log of the workers whose amounts have changed."""

    __slots__ = (
        "_change_log",
        "_change_log_start",
        "_holdings",
        "_racks",
        "_releases",
        "_totals",
        "_workers",
    )

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}
        self._holdings: dict[str, Holding] = {}
        self._change_log: list[str] = []
        self._change_log_start = 0
        self._releases = 0
        self._totals = [0, 0, 0]
        self._racks: dict[str, dict[str, Worker]] = {}

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Return all workers by id, also those that are gone or not yet present."""
        return self._workers

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """Return the holdings by job id."""
        return self._holdings

    @property
    def racks(self) -> set[str]:
        """Return the names of all racks."""
        return set(self._racks)

    def schedulable_in(self, rack: str) -> list[Worker]:
        """Return the workers of a rack that accept new jobs."""
        return [w for w in self._racks.get(rack, {}).values() if w.is_schedulable]

    @property
    def releases(self) -> int:
        """Return a counter that increases whenever resources may have become free."""
        return self._releases

    @property
    def totals(self) -> Amounts:
        """Return the capacity of all workers present."""
        return (self._totals[0], self._totals[1], self._totals[2])

    @property
    def log_end(self) -> int:
        """Return the position after the last change in the log."""
        return self._change_log_start + len(self._change_log)

    def changes_since(self, position: int) -> set[str] | None:
        """Return the workers changed since a position, ``None`` if it was dropped."""
        if position < self._change_log_start:
            return None
        return set(self._change_log[position - self._change_log_start :])

    def worker(self, worker_id: str) -> Worker:
        """Return a worker, created if it has not announced itself yet."""
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = self._workers[worker_id] = Worker(worker_id)
        return worker

    def set_worker(
        self, worker_id: str, rack: str, capacity: Amounts, is_present: bool
    ) -> None:
        """Set a worker's rack, capacity and presence."""
        worker = self.worker(worker_id)
        if worker.is_present:
            self._totals = [
                t - c for t, c in zip(self._totals, worker.capacity, strict=True)
            ]
        if worker_id not in self._racks.get(rack, {}):
            self._racks.get(worker.rack, {}).pop(worker_id, None)
            self._racks.setdefault(rack, {})[worker_id] = worker
        worker.rack, worker.capacity, worker.is_present = rack, capacity, is_present
        if is_present:
            self._totals = [t + c for t, c in zip(self._totals, capacity, strict=True)]
        self._record_release(worker_id)

    def set_enabled(self, worker_id: str, is_enabled: bool) -> None:
        """Allow or forbid new jobs on a worker."""
        worker = self.worker(worker_id)
        if worker.is_enabled is not is_enabled:
            worker.is_enabled = is_enabled
            self._record_release(worker_id)

    def allocate(self, holding: Holding) -> None:
        """Allocate a job's resources."""
        self._holdings[holding.job_id] = holding
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            worker.jobs[holding.job_id] = amounts
            self._adjust_worker(worker, holding, amounts, 1)
            self._record_change(worker_id)

    def release(self, job_id: str) -> Holding | None:
        """Free a job's resources."""
        holding = self._holdings.pop(job_id, None)
        if holding is None:
            return None
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            worker.jobs.pop(job_id, None)
            self._adjust_worker(worker, holding, amounts, -1)
            self._record_release(worker_id)
        return holding

    def mark_stopping(self, job_id: str, now: float | None) -> None:
        """Record the time of a job's stop request; ``None`` withdraws the request."""
        holding = self._holdings[job_id]
        if (holding.stop_requested_at is None) is (now is None):
            holding.stop_requested_at = now
            return
        holding.stop_requested_at = now
        sign = -1 if now is None else 1
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            _accumulate(worker.stopping, amounts, sign)
            if holding.is_preemptible and holding.rank < GUARANTEED_RANK:
                _accumulate(worker.preemptible, amounts, -sign)
            self._record_change(worker_id)

    def adjust_claimed(
        self, amounts: Mapping[str, Amounts], sign: int, is_release: bool = True
    ) -> None:
        """Claim resources for a waiting job (sign 1) or free them (sign -1).

        Parameters
        ----------
        is_release : bool
            False if the amounts were claimed only for a trial, so that their return
            frees nothing new.
        """
        for worker_id, worker_amounts in amounts.items():
            _accumulate(self.worker(worker_id).claimed, worker_amounts, sign)
            if sign < 0 and is_release:
                self._record_release(worker_id)
            else:
                self._record_change(worker_id)

    def adjust_committed(self, amounts: Mapping[str, Amounts], sign: int) -> None:
        """Add amounts to those committed to guarantees (sign 1) or subtract them."""
        for worker_id, worker_amounts in amounts.items():
            _accumulate(self.worker(worker_id).committed, worker_amounts, sign)
            self._record_change(worker_id)
        if sign < 0:
            self._releases += 1

    def _adjust_worker(
        self, worker: Worker, holding: Holding, amounts: Amounts, sign: int
    ) -> None:
        _accumulate(worker.used, amounts, sign)
        if holding.is_pinned:
            _accumulate(worker.committed, amounts, sign)
        elif holding.rank == 0:
            _accumulate(worker.best_effort, amounts, sign)
        if holding.stop_requested_at is not None:
            _accumulate(worker.stopping, amounts, sign)
        elif holding.is_preemptible and holding.rank < GUARANTEED_RANK:
            _accumulate(worker.preemptible, amounts, sign)

    def _record_release(self, worker_id: str) -> None:
        self._releases += 1
        self._record_change(worker_id)

    def _record_change(self, worker_id: str) -> None:
        self._change_log.append(worker_id)
        # Truncate the log; an index whose position was dropped is rebuilt.
        if len(self._change_log) > 2 * len(self._workers) + 1024:
            drop = len(self._change_log) // 2
            del self._change_log[:drop]
            self._change_log_start += drop


def _accumulate(total: list[int], amounts: Amounts, sign: int) -> None:
    total[0] += sign * amounts[0]
    total[1] += sign * amounts[1]
    total[2] += sign * amounts[2]
