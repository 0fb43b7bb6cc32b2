"""Reservations of large gangs, around which small jobs are backfilled."""

from collections.abc import Iterable

from ..core import resource
from . import cell, ledger, queue

# A gang that has waited this long gets a reservation.
RESERVE_AFTER_S = 5.0
# Smaller jobs find room without one.
MIN_ACCELERATORS = 8
# Racks with the most free cells that are considered for one reservation.
MAX_RACKS = 16
# Beyond this, reservations would keep the small jobs out.
MAX_RESERVATIONS = 2
# A reservation looks at every job on some racks, so it is made at most this often.
WANT_S = 1.0
# Share of the present wait below which other workers are reserved instead.
CHANGE_SHARE = 0.6


class Reservation:
    """Workers that a gang is expected to get at a time."""

    __slots__ = ("job_id", "next_try", "order", "ready_at", "waiting", "workers")

    def __init__(
        self, waiting: queue.Waiting, workers: frozenset[str], ready_at: float
    ) -> None:
        self.job_id = waiting.job.job_id
        self.waiting = waiting
        self.workers = workers
        self.ready_at = ready_at
        self.next_try = 0.0
        self.order = 0


class Reservations:
    """Keep long jobs off the workers that a waiting gang is to get."""

    def __init__(self, book: ledger.Ledger, cells: cell.Cells) -> None:
        self._ledger = book
        self._cells = cells
        self._made: dict[str, Reservation] = {}
        self._next_want = 0.0
        self._order = 0

    def want(self, waiting: queue.Waiting, now: float) -> None:
        """Reserve workers for a gang that could not be placed."""
        job_id = waiting.job.job_id
        if job_id in self._made or not self._is_wanted(waiting, now):
            return
        self._next_want = now + WANT_S
        reservation = self._choose(waiting, now)
        if reservation is not None:
            self._order += 1
            reservation.order = self._order
            self._made[job_id] = reservation

    def is_due(self, waiting: queue.Waiting, now: float) -> bool:
        """Tell whether trying a gang again may give or use a reservation."""
        if waiting.shape.accelerators < MIN_ACCELERATORS:
            return False
        made = self._made.get(waiting.job.job_id)
        if made is not None:
            return made.next_try <= now
        return self._is_wanted(waiting, now)

    def _is_wanted(self, waiting: queue.Waiting, now: float) -> bool:
        return (
            waiting.shape.accelerators >= MIN_ACCELERATORS
            and len(self._made) < MAX_RESERVATIONS
            and now - waiting.since >= RESERVE_AFTER_S
            and now >= self._next_want
        )

    def drop(self, job_id: str) -> None:
        """Give up the reservation of a job that is placed or gone."""
        self._made.pop(job_id, None)

    def refresh(self, now: float) -> None:
        """Choose again where an estimate was wrong.

        Other workers are taken only if they are ready much sooner; changing them
        often would let long jobs in everywhere.
        """
        for job_id, made in list(self._made.items()):
            group = [self._ledger.worker(worker) for worker in sorted(made.workers)]
            cells, each = cell.unit_of(made.waiting.shape)
            same = None
            if all(worker.is_open for worker in group):
                same = self._ready(group, cells, each, now)
            if same is not None and same[0] <= made.ready_at:
                made.ready_at = same[0]
                continue
            del self._made[job_id]
            reservation = self._choose(made.waiting, now)
            if reservation is None:
                continue
            if same is not None:
                is_sooner = reservation.ready_at - now < CHANGE_SHARE * (same[0] - now)
                if not is_sooner:
                    reservation.workers, reservation.ready_at = made.workers, same[0]
            reservation.next_try = made.next_try
            reservation.order = made.order
            self._made[job_id] = reservation

    def get(self, job_id: str) -> Reservation | None:
        """Return the reservation of a job."""
        return self._made.get(job_id)

    def touches(self, job_id: str, workers: Iterable[str]) -> bool:
        """Tell whether workers are reserved for another job."""
        return any(
            made.job_id != job_id and not made.workers.isdisjoint(workers)
            for made in self._made.values()
        )

    def without_backfill(self, made: Reservation) -> tuple[str, ...] | None:
        """Return where a gang starts if what was backfilled is stopped."""
        cells, each = cell.unit_of(made.waiting.shape)
        found: list[str] = []
        for worker_id in sorted(made.workers):
            worker = self._ledger.worker(worker_id)
            if not worker.is_open:
                continue
            have = list(ledger.projected_free(worker))
            for job_id, part in worker.jobs.items():
                holding = self._ledger.holdings[job_id]
                if holding.backfilled and holding.can_stop:
                    have = [h + p for h, p in zip(have, part, strict=True)]
            slots = ledger.count_slots((have[0], have[1], have[2]), each)
            found += [worker_id] * min(slots, cells - len(found))
        if len(found) < cells:
            return None
        if made.waiting.shape.adjacency is resource.Adjacency.WORKER:
            found = found * made.waiting.shape.tasks
        return tuple(found)

    def binding(self, job_id: str, ends_at: float) -> tuple[str, ...]:
        """Return the reservations that a job ending at a time must respect.

        A gang that has a reservation respects only older ones. Two gangs with
        overlapping reservations would otherwise keep each other off for good.
        """
        own = self._made.get(job_id)
        return tuple(
            made.job_id
            for made in self._made.values()
            if made.job_id != job_id
            and ends_at > made.ready_at
            and (own is None or made.order < own.order)
        )

    def all_workers(self) -> set[str]:
        """Return the workers of all reservations."""
        return {w for made in self._made.values() for w in made.workers}

    def workers(self, job_ids: Iterable[str]) -> set[str]:
        """Return the workers of some reservations."""
        return {w for job_id in job_ids for w in self._made[job_id].workers}

    def _choose(self, waiting: queue.Waiting, now: float) -> Reservation | None:
        cells, each = cell.unit_of(waiting.shape)
        index = self._cells.index(each, ledger.free)
        racks = [rack for rack, _ in index.racks()]
        if len(racks) < MAX_RACKS:
            racks += sorted(self._ledger.racks - set(racks))[: MAX_RACKS - len(racks)]
        members: dict[str, list[ledger.Worker]] = {}
        for rack in racks[-MAX_RACKS:]:
            members[rack] = [
                worker
                for worker in self._ledger.open_in(rack)
                if worker.id not in waiting.job.failed_on
            ]
        if waiting.shape.adjacency is resource.Adjacency.NONE:
            groups = [[w for rack in members for w in members[rack]]]
        else:
            groups = [members[rack] for rack in members]
        best = None
        for group in groups:
            found = self._ready(group, cells, each, now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return None
        return Reservation(waiting, frozenset(best[1]), best[0])

    def _ready(
        self,
        group: Iterable[ledger.Worker],
        cells: int,
        each: ledger.Amounts,
        now: float,
    ) -> tuple[float, list[str]] | None:
        """Return when enough cells of some workers are free, and which."""
        available = {worker.id: list(ledger.free(worker)) for worker in group}
        slots = {w: ledger.count_slots(tuple(a), each) for w, a in available.items()}
        total = sum(slots.values())
        ready_at = now
        ends = sorted(
            (self._end(holding, now), holding.job_id)
            for holding in {
                job_id: self._ledger.holdings[job_id]
                for worker_id in available
                for job_id in self._ledger.worker(worker_id).jobs
            }.values()
        )
        for end, job_id in ends:
            if total >= cells:
                break
            ready_at = end
            for worker_id, part in self._ledger.holdings[job_id].amounts.items():
                have = available.get(worker_id)
                if have is None:
                    continue
                for dimension in range(3):
                    have[dimension] += part[dimension]
                after = ledger.count_slots(tuple(have), each)
                total += after - slots[worker_id]
                slots[worker_id] = after
        if total < cells:
            return None
        chosen: list[str] = []
        for worker_id, count in sorted(slots.items(), key=lambda i: (-i[1], i[0])):
            if cells <= 0 or not count:
                break
            chosen.append(worker_id)
            cells -= count
        return ready_at, chosen

    def _end(self, holding: ledger.Holding, now: float) -> float:
        if holding.stop_at is not None or holding.backfilled and holding.can_stop:
            return now
        ran_s = now - holding.started_at
        # One that has outrun its estimate is expected to need half as long again.
        return now + max(holding.estimate_s - ran_s, ran_s / 2)
