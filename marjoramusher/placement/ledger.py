"""Exact accelerators, cores and memory of each worker, and who holds them."""

import math
from collections.abc import Iterable, Mapping, Sequence

from ..core import resource

Amounts = tuple[int, int, int]
ZERO: Amounts = (0, 0, 0)
# Upper bound of tasks counted on one worker, for tasks that need almost nothing.
MAX_SLOTS = 1024


def amounts_of(resources: resource.Resources) -> Amounts:
    """Return accelerators, cores and memory as a tuple."""
    return (resources.accelerators, resources.cores, resources.memory_mb)


def scale(amounts: Amounts, factor: int) -> Amounts:
    """Multiply amounts."""
    return (amounts[0] * factor, amounts[1] * factor, amounts[2] * factor)


def count_slots(available: Amounts, each: Amounts) -> int:
    """Return how many times `each` fits into `available`."""
    slots = MAX_SLOTS
    for have, need in zip(available, each, strict=True):
        if need > 0:
            fit = have // need
            if fit < slots:
                slots = fit
    return slots if slots > 0 else 0


def spread(workers: Iterable[str], each: Amounts) -> dict[str, Amounts]:
    """Sum what tasks of `each` take on the workers named for them."""
    totals: dict[str, Amounts] = {}
    for worker in workers:
        a, c, m = totals.get(worker, ZERO)
        totals[worker] = (a + each[0], c + each[1], m + each[2])
    return totals


class Holding:
    """Resources that a job holds from its placement until it is known to be over.

    Parameters
    ----------
    rank : int
        Charged to a guarantee 3, urgent 2, normal 1, best effort 0. A job stops
        only jobs of lower rank, so preemption has no circles.
    movable : bool
        False for a job that must not start twice; it is never stopped for others.
    stops : int
        How often the job was started before.
    backfilled : bool
        Placed on workers that a waiting gang had reserved.
    """

    __slots__ = (
        "account",
        "accelerators",
        "amounts",
        "backfilled",
        "checkpoint_at",
        "estimate_s",
        "job_id",
        "moved_at",
        "movable",
        "progress_s",
        "shape",
        "rank",
        "started_at",
        "stop_at",
        "stops",
    )

    def __init__(
        self,
        job_id: str,
        account: str,
        shape: resource.GangShape,
        workers: Sequence[str],
        rank: int,
        movable: bool,
        now: float,
    ) -> None:
        self.job_id = job_id
        self.account = account
        self.shape = shape
        self.amounts = amounts = spread(workers, amounts_of(shape.each))
        self.accelerators = sum(a for a, _, _ in amounts.values())
        self.rank = rank
        self.movable = movable
        self.started_at = now
        self.checkpoint_at = now
        self.progress_s = 0.0
        self.estimate_s = 0.0
        self.stop_at: float | None = None
        self.stops = 0
        self.moved_at = -math.inf
        self.backfilled = False

    @property
    def can_stop(self) -> bool:
        """Tell whether this is a borrower that runs and may be stopped."""
        return self.movable and self.rank < CHARGED and self.stop_at is None

    @property
    def is_firm(self) -> bool:
        """Tell whether the holding is a borrower that can't be stopped."""
        return not self.movable and self.rank < CHARGED

    def lost_work(self, now: float) -> float:
        """Return accelerator seconds since the last checkpoint."""
        return (now - self.checkpoint_at) * max(1, self.accelerators)

    def stop_cost(self, now: float) -> float:
        """Return lost work with a surcharge that spreads stops over many jobs."""
        surcharge_s = STOP_COST_S * (1 + self.stops)
        return self.lost_work(now) + surcharge_s * max(1, self.accelerators)


CHARGED = 3
# Checkpoint, stop and start of a job, for each time that it was started.
STOP_COST_S = 3.0


class Worker:
    """Capacity of one worker and what is taken of it.

    Parameters
    ----------
    used : list of int
        Held by jobs.
    held : list of int
        Set aside for claimants that wait for others to stop.
    firm : list of int
        Planned or used by guarantees, and held by borrowers that can't be stopped.
    yielding : list of int
        Held by best effort borrowers that can be stopped.
    movable : list of int
        Held by all borrowers that can be stopped, without those being stopped.
    releasing : list of int
        Part of `used` whose jobs are being stopped.
    """

    __slots__ = (
        "capacity",
        "firm",
        "held",
        "id",
        "incarnation",
        "jobs",
        "movable",
        "present",
        "rack",
        "releasing",
        "usable",
        "used",
        "yielding",
    )

    def __init__(self, worker_id: str) -> None:
        self.id = worker_id
        self.rack = ""
        self.incarnation = 0
        self.present = False
        self.usable = True
        self.capacity = ZERO
        self.used = [0, 0, 0]
        self.held = [0, 0, 0]
        self.firm = [0, 0, 0]
        self.yielding = [0, 0, 0]
        self.movable = [0, 0, 0]
        self.releasing = [0, 0, 0]
        self.jobs: dict[str, Amounts] = {}

    @property
    def is_open(self) -> bool:
        """Tell whether new work may be placed here."""
        return self.present and self.usable


def free(worker: Worker) -> Amounts:
    """Return what is neither used nor set aside."""
    c, u, h = worker.capacity, worker.used, worker.held
    return (c[0] - u[0] - h[0], c[1] - u[1] - h[1], c[2] - u[2] - h[2])


def firm_free(worker: Worker) -> Amounts:
    """Return what would be free if all borrowers that can be stopped were."""
    c, f = worker.capacity, worker.firm
    return (c[0] - f[0], c[1] - f[1], c[2] - f[2])


def solid_free(worker: Worker) -> Amounts:
    """Return what is free now and not needed by the plan of guarantees."""
    a, b = free(worker), firm_free(worker)
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]))


def yielding_free(worker: Worker) -> Amounts:
    """Return what is free once all best effort borrowers are stopped."""
    a, y = free(worker), worker.yielding
    return (a[0] + y[0], a[1] + y[1], a[2] + y[2])


def yielding_solid(worker: Worker) -> Amounts:
    """Return what of `yielding_free` is not needed by the plan of guarantees."""
    a, b = yielding_free(worker), firm_free(worker)
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]))


def projected_free(worker: Worker) -> Amounts:
    """Return what is free once the jobs that are being stopped have ended."""
    a, r = free(worker), worker.releasing
    return (a[0] + r[0], a[1] + r[1], a[2] + r[2])


class Ledger:
    """Workers, holdings and the log of workers whose amounts have changed."""

    __slots__ = (
        "_holdings",
        "_log",
        "_log_start",
        "_racks",
        "_releases",
        "_totals",
        "_workers",
    )

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}
        self._holdings: dict[str, Holding] = {}
        self._log: list[str] = []
        self._log_start = 0
        self._releases = 0
        self._totals = [0, 0, 0]
        self._racks: dict[str, dict[str, Worker]] = {}

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Return all workers that were ever named."""
        return self._workers

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """Return the holdings by job id."""
        return self._holdings

    @property
    def racks(self) -> set[str]:
        """Return the names of all racks."""
        return set(self._racks)

    def open_in(self, rack: str) -> list[Worker]:
        """Return the workers of a rack that take new work."""
        return [w for w in self._racks.get(rack, {}).values() if w.is_open]

    @property
    def releases(self) -> int:
        """Return a count that grows whenever something may have become free."""
        return self._releases

    @property
    def totals(self) -> Amounts:
        """Return the capacity of all workers present."""
        return (self._totals[0], self._totals[1], self._totals[2])

    @property
    def end(self) -> int:
        """Return the position after the last change in the log."""
        return self._log_start + len(self._log)

    def changes(self, position: int) -> set[str] | None:
        """Return workers changed since a position, ``None`` if it is too old."""
        if position < self._log_start:
            return None
        return set(self._log[position - self._log_start :])

    def worker(self, worker_id: str) -> Worker:
        """Return a worker, also one that has not announced itself yet."""
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = self._workers[worker_id] = Worker(worker_id)
        return worker

    def set_worker(
        self, worker_id: str, rack: str, capacity: Amounts, present: bool
    ) -> None:
        """Take over a worker's rack, capacity and presence."""
        worker = self.worker(worker_id)
        if worker.present:
            self._totals = [
                t - c for t, c in zip(self._totals, worker.capacity, strict=True)
            ]
        if worker_id not in self._racks.get(rack, {}):
            self._racks.get(worker.rack, {}).pop(worker_id, None)
            self._racks.setdefault(rack, {})[worker_id] = worker
        worker.rack, worker.capacity, worker.present = rack, capacity, present
        if present:
            self._totals = [t + c for t, c in zip(self._totals, capacity, strict=True)]
        self._released(worker_id)

    def set_usable(self, worker_id: str, usable: bool) -> None:
        """Let new work onto a worker or keep it off."""
        worker = self.worker(worker_id)
        if worker.usable is not usable:
            worker.usable = usable
            self._released(worker_id)

    def hold(self, holding: Holding) -> None:
        """Take a job's resources."""
        self._holdings[holding.job_id] = holding
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            worker.jobs[holding.job_id] = amounts
            self._add(worker, holding, amounts, 1)
            self._touch(worker_id)

    def release(self, job_id: str) -> Holding | None:
        """Give a job's resources back."""
        holding = self._holdings.pop(job_id, None)
        if holding is None:
            return None
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            worker.jobs.pop(job_id, None)
            self._add(worker, holding, amounts, -1)
            self._released(worker_id)
        return holding

    def mark_stopping(self, job_id: str, now: float | None) -> None:
        """Note when a job was told to stop, or that it was not."""
        holding = self._holdings[job_id]
        if (holding.stop_at is None) is (now is None):
            holding.stop_at = now
            return
        holding.stop_at = now
        sign = -1 if now is None else 1
        for worker_id, amounts in holding.amounts.items():
            worker = self.worker(worker_id)
            _accumulate(worker.releasing, amounts, sign)
            if holding.movable and holding.rank < CHARGED:
                _accumulate(worker.movable, amounts, -sign)
            self._touch(worker_id)

    def set_aside(
        self, amounts: Mapping[str, Amounts], sign: int, wakes: bool = True
    ) -> None:
        """Keep resources for a claimant (sign 1) or give them up (sign -1).

        Parameters
        ----------
        wakes : bool
            False if what is given up was only kept for a trial.
        """
        for worker_id, part in amounts.items():
            _accumulate(self.worker(worker_id).held, part, sign)
            if sign < 0 and wakes:
                self._released(worker_id)
            else:
                self._touch(worker_id)

    def set_firm(self, amounts: Mapping[str, Amounts], sign: int) -> None:
        """Add to (sign 1) or take from (sign -1) what guarantees need."""
        for worker_id, part in amounts.items():
            _accumulate(self.worker(worker_id).firm, part, sign)
            self._touch(worker_id)
        if sign < 0:
            self._releases += 1

    def _add(
        self, worker: Worker, holding: Holding, amounts: Amounts, sign: int
    ) -> None:
        _accumulate(worker.used, amounts, sign)
        if holding.is_firm:
            _accumulate(worker.firm, amounts, sign)
        elif holding.rank == 0:
            _accumulate(worker.yielding, amounts, sign)
        if holding.stop_at is not None:
            _accumulate(worker.releasing, amounts, sign)
        elif holding.movable and holding.rank < CHARGED:
            _accumulate(worker.movable, amounts, sign)

    def _released(self, worker_id: str) -> None:
        self._releases += 1
        self._touch(worker_id)

    def _touch(self, worker_id: str) -> None:
        self._log.append(worker_id)
        # Indexes that lag by more than this are rebuilt, so the log stays short.
        if len(self._log) > 2 * len(self._workers) + 1024:
            drop = len(self._log) // 2
            del self._log[:drop]
            self._log_start += drop


def _accumulate(total: list[int], amounts: Amounts, sign: int) -> None:
    total[0] += sign * amounts[0]
    total[1] += sign * amounts[1]
    total[2] += sign * amounts[2]
