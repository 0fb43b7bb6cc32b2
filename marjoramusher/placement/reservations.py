"""Reservations for large waiting gangs, with backfill of smaller jobs."""

from collections.abc import Iterable

from ..core import resource
from . import cell, ledger, queue

# A gang that has waited this long gets a reservation.
RESERVE_AFTER_S = 5.0
# Smaller jobs find free workers without a reservation.
MIN_ACCELERATORS = 8
# Number of racks, those with the most free cells, considered for one reservation.
MAX_RACKS = 16
# More reservations than this would exclude small jobs.
MAX_RESERVATIONS = 2
# Minimum time between reservations, since each examines every job on several racks.
RESERVE_INTERVAL_S = 1.0
# Other workers are reserved only if they reduce the expected wait to less than this
# share of it.
CHANGE_THRESHOLD = 0.6


class Reservation:
    """Workers reserved for a waiting gang, expected to be free at `ready_at`.

    Parameters
    ----------
    next_attempt_at : float
        Earliest time of the next attempt to free the workers by preemption.
    sequence : int
        Order of creation; lower ones take precedence.
    """

    __slots__ = (
        "job_id",
        "next_attempt_at",
        "queued",
        "ready_at",
        "sequence",
        "workers",
    )

    def __init__(
        self, queued: queue.QueuedJob, workers: frozenset[str], ready_at: float
    ) -> None:
        self.job_id = queued.job.job_id
        self.queued = queued
        self.workers = workers
        self.ready_at = ready_at
        self.next_attempt_at = 0.0
        self.sequence = 0


class Reservations:
    """Keep jobs that would delay a waiting gang off the workers reserved for it."""

    def __init__(
        self, worker_ledger: ledger.Ledger, cell_indexes: cell.CellIndexes
    ) -> None:
        self._ledger = worker_ledger
        self._cell_indexes = cell_indexes
        self._reservations: dict[str, Reservation] = {}
        self._next_reserve_at = 0.0
        self._last_sequence = 0

    def reserve(self, queued: queue.QueuedJob, now: float) -> None:
        """Reserve workers for a gang that could not be placed."""
        job_id = queued.job.job_id
        if job_id in self._reservations or not self._may_reserve(queued, now):
            return
        self._next_reserve_at = now + RESERVE_INTERVAL_S
        reservation = self._choose_workers(queued, now)
        if reservation is not None:
            self._last_sequence += 1
            reservation.sequence = self._last_sequence
            self._reservations[job_id] = reservation

    def is_due(self, queued: queue.QueuedJob, now: float) -> bool:
        """Tell whether another attempt may create or use a gang's reservation."""
        if queued.shape.accelerators < MIN_ACCELERATORS:
            return False
        reservation = self._reservations.get(queued.job.job_id)
        if reservation is not None:
            return reservation.next_attempt_at <= now
        return self._may_reserve(queued, now)

    def _may_reserve(self, queued: queue.QueuedJob, now: float) -> bool:
        return (
            queued.shape.accelerators >= MIN_ACCELERATORS
            and len(self._reservations) < MAX_RESERVATIONS
            and now - queued.queued_at >= RESERVE_AFTER_S
            and now >= self._next_reserve_at
        )

    def cancel(self, job_id: str) -> None:
        """Cancel the reservation of a job that was placed or has ended."""
        self._reservations.pop(job_id, None)

    def refresh(self, now: float) -> None:
        """Update reservations whose workers will be free later than expected.

        Other workers are chosen only if they are free much sooner. Frequent changes
        would leave no workers reserved long enough to keep long jobs off them.
        """
        for job_id, reservation in list(self._reservations.items()):
            workers = [
                self._ledger.worker(name) for name in sorted(reservation.workers)
            ]
            cell_count, cell_size = cell.cell_demand(reservation.queued.shape)
            current = None
            if all(worker.is_schedulable for worker in workers):
                current = self._earliest_start(workers, cell_count, cell_size, now)
            if current is not None and current[0] <= reservation.ready_at:
                reservation.ready_at = current[0]
                continue
            del self._reservations[job_id]
            replacement = self._choose_workers(reservation.queued, now)
            if replacement is None:
                continue
            if current is not None:
                is_sooner = replacement.ready_at - now < CHANGE_THRESHOLD * (
                    current[0] - now
                )
                if not is_sooner:
                    replacement.workers, replacement.ready_at = (
                        reservation.workers,
                        current[0],
                    )
            replacement.next_attempt_at = reservation.next_attempt_at
            replacement.sequence = reservation.sequence
            self._reservations[job_id] = replacement

    def get(self, job_id: str) -> Reservation | None:
        """Return the reservation of a job."""
        return self._reservations.get(job_id)

    def overlaps(self, job_id: str, workers: Iterable[str]) -> bool:
        """Tell whether any of the workers is reserved for another job."""
        return any(
            reservation.job_id != job_id and not reservation.workers.isdisjoint(workers)
            for reservation in self._reservations.values()
        )

    def workers_without_backfill(
        self, reservation: Reservation
    ) -> tuple[str, ...] | None:
        """Return the workers of a gang's tasks once backfilled jobs are stopped."""
        cell_count, cell_size = cell.cell_demand(reservation.queued.shape)
        chosen: list[str] = []
        for worker_id in sorted(reservation.workers):
            worker = self._ledger.worker(worker_id)
            if not worker.is_schedulable:
                continue
            available = list(ledger.free_after_stops(worker))
            for job_id, amounts in worker.jobs.items():
                holding = self._ledger.holdings[job_id]
                if holding.is_backfilled and holding.can_be_preempted:
                    available = [
                        free + held
                        for free, held in zip(available, amounts, strict=True)
                    ]
            slots = ledger.count_slots(
                (available[0], available[1], available[2]), cell_size
            )
            chosen += [worker_id] * min(slots, cell_count - len(chosen))
        if len(chosen) < cell_count:
            return None
        if reservation.queued.shape.adjacency is resource.Adjacency.WORKER:
            chosen = chosen * reservation.queued.shape.tasks
        return tuple(chosen)

    def binding_for(self, job_id: str, ends_at: float) -> tuple[str, ...]:
        """Return the reservations that a job ending at `ends_at` must respect.

        A gang that has a reservation respects only older ones. Otherwise, two gangs
        with overlapping reservations would block each other forever.
        """
        own = self._reservations.get(job_id)
        return tuple(
            reservation.job_id
            for reservation in self._reservations.values()
            if reservation.job_id != job_id
            and ends_at > reservation.ready_at
            and (own is None or reservation.sequence < own.sequence)
        )

    def all_workers(self) -> set[str]:
        """Return the workers of all reservations."""
        return {
            w
            for reservation in self._reservations.values()
            for w in reservation.workers
        }

    def workers_of(self, job_ids: Iterable[str]) -> set[str]:
        """Return the workers of the given jobs' reservations."""
        return {w for job_id in job_ids for w in self._reservations[job_id].workers}

    def _choose_workers(
        self, queued: queue.QueuedJob, now: float
    ) -> Reservation | None:
        cell_count, cell_size = cell.cell_demand(queued.shape)
        index = self._cell_indexes.index(cell_size, ledger.free)
        racks = [rack for rack, _ in index.racks()]
        if len(racks) < MAX_RACKS:
            racks += sorted(self._ledger.racks - set(racks))[: MAX_RACKS - len(racks)]
        workers_by_rack: dict[str, list[ledger.Worker]] = {}
        for rack in racks[-MAX_RACKS:]:
            workers_by_rack[rack] = [
                worker
                for worker in self._ledger.schedulable_in(rack)
                if worker.id not in queued.job.failed_on
            ]
        if queued.shape.adjacency is resource.Adjacency.NONE:
            worker_groups = [
                [w for rack in workers_by_rack for w in workers_by_rack[rack]]
            ]
        else:
            worker_groups = [workers_by_rack[rack] for rack in workers_by_rack]
        best = None
        for workers in worker_groups:
            found = self._earliest_start(workers, cell_count, cell_size, now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return None
        return Reservation(queued, frozenset(best[1]), best[0])

    def _earliest_start(
        self,
        workers: Iterable[ledger.Worker],
        cell_count: int,
        cell_size: ledger.Amounts,
        now: float,
    ) -> tuple[float, list[str]] | None:
        """Return the time at which the cells are expected to be free, and the workers.

        ``None`` means that the workers are too small for the cells.
        """
        free_amounts = {worker.id: list(ledger.free(worker)) for worker in workers}
        slots = {
            w: ledger.count_slots(tuple(a), cell_size) for w, a in free_amounts.items()
        }
        total = sum(slots.values())
        ready_at = now
        expected_ends = sorted(
            (self._expected_end(holding, now), holding.job_id)
            for holding in {
                job_id: self._ledger.holdings[job_id]
                for worker_id in free_amounts
                for job_id in self._ledger.worker(worker_id).jobs
            }.values()
        )
        for end_at, job_id in expected_ends:
            if total >= cell_count:
                break
            ready_at = end_at
            for worker_id, amounts in self._ledger.holdings[job_id].amounts.items():
                available = free_amounts.get(worker_id)
                if available is None:
                    continue
                for dimension in range(3):
                    available[dimension] += amounts[dimension]
                new_slots = ledger.count_slots(tuple(available), cell_size)
                total += new_slots - slots[worker_id]
                slots[worker_id] = new_slots
        if total < cell_count:
            return None
        chosen: list[str] = []
        for worker_id, count in sorted(slots.items(), key=lambda i: (-i[1], i[0])):
            if cell_count <= 0 or not count:
                break
            chosen.append(worker_id)
            cell_count -= count
        return ready_at, chosen

    def _expected_end(self, holding: ledger.Holding, now: float) -> float:
        if (
            holding.stop_requested_at is not None
            or holding.is_backfilled
            and holding.can_be_preempted
        ):
            return now
        ran_s = now - holding.started_at
        # A job beyond its estimate is expected to run half as long again.
        return now + max(holding.estimate_s - ran_s, ran_s / 2)
