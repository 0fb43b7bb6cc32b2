"""One attempt to start a queued job."""

import math

from ..core import errors, resource
from . import (
    allocator,
    charge,
    decision,
    fragmentation,
    ledger,
    preemption,
    queue,
    reclaim,
    standby,
    state,
)

# Everything that waits is tried again after this time, also if nothing was released.
RETRY_S = 2.0
# Workers announce themselves within this time; until then a job that fits nowhere
# may fit a worker that is yet to come.
SETTLE_S = 30.0
# A job that can't be stopped waits at most this long for the sake of a guarantee that
# has no room, since such a shortfall may last until operators change the guarantee.
SPARE_S = 300.0
# Places that are compared; more rarely give a better one.
MAX_CANDIDATES = 4


class Attempts:
    """Try to start the first job of a lane."""

    def __init__(
        self,
        shared: state.State,
        job_allocator: allocator.Allocator,
        charger: charge.Charger,
        preemptor: preemption.Preemptor,
        standby_workers: standby.StandbyWorkers,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._charger = charger
        self._preemptor = preemptor
        self._standby = standby_workers
        self.settled_at: float | None = None
        # Releases at which a demand was tried in vain, by what it had to avoid.
        self.blocked: dict[tuple[int, tuple[str, ...]], int] = {}

    def try_lane(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> list[decision.Decision] | None:
        """Start a job or make room for it; ``None`` if that can't be done now."""
        job_id = waiting.job.job_id
        if waiting.expires_at_s <= now:
            # The committed expiry follows; the job is not placed meanwhile.
            self._state.queue.remove(job_id)
            return []
        for name in lane.covering or ():
            made = self._charger.charge(name, waiting, lane.rank, now)
            if made is not None:
                return made
        avoid, binding = self._avoided(lane, waiting, now)
        probed = self._probe(lane, waiting, now)
        if probed is not None:
            return [self._allocator.place(waiting, (probed,), lane.rank, None, now)]
        found = self._find(lane, waiting, avoid, binding, now)
        if found is not None:
            return [self._allocator.place(waiting, found, lane.rank, None, now)]
        if lane.rank == 2:
            made = self._preemptor.preempt(waiting, avoid, now)
            if made is not None:
                return made
        if self._never_fits(lane, waiting, now):
            self._state.queue.remove(job_id)
            return [_infeasible(job_id, waiting.shape)]
        made = self._use_reservation(lane, waiting, now)
        if made is None:
            lane.blocked_at = self._state.ledger.releases
        return made

    def _avoided(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> tuple[set[str], tuple[str, ...]]:
        """Return workers to avoid, and for whom some of them are kept."""
        spec = waiting.job.spec
        avoid = self._state.quarantine.avoided(now)
        if waiting.job.failed_on:
            avoid = avoid.union(waiting.job.failed_on)
        binding: tuple[str, ...] = ()
        if lane.rank < 2 and not self._may_overstay(waiting, lane.rank, now):
            ends_at = now + self._state.profiles.estimate(waiting.job, 0.9)
            binding = self._state.reservations.binding(waiting.job.job_id, ends_at)
            if binding:
                avoid = avoid | self._state.reservations.workers(binding)
        if lane.rank == 1 or lane.rank == 0 and not spec.repeatable:
            kept = self._standby.workers()
            if kept:
                avoid = avoid | kept
                binding += ("standby",)
        return avoid, binding

    def _find(
        self,
        lane: queue.Lane,
        waiting: queue.Waiting,
        avoid: set[str],
        binding: tuple[str, ...],
        now: float,
    ) -> tuple[str, ...] | None:
        """Return free workers, unless an equal job was tried in vain."""
        releases = self._state.ledger.releases
        demand = lane.demand
        lane.blocked_by = binding
        if releases in (
            self.blocked.get((demand, ())),
            self.blocked.get((demand, binding)),
        ):
            return None
        found = self._locate(waiting, avoid, now)
        if found is not None:
            return found
        if not avoid or not self._fits(waiting.shape):
            self.blocked[demand, ()] = releases
        elif not waiting.job.failed_on:
            self.blocked[demand, binding] = releases
        return None

    def _locate(
        self, waiting: queue.Waiting, avoid: set[str], now: float
    ) -> tuple[str, ...] | None:
        shape, is_repeatable = waiting.shape, waiting.job.spec.repeatable
        cells, counted = self._state.cells, self._state.counts
        found = cells.locate(shape, ledger.solid_free, avoid)
        if (
            found is not None
            and not is_repeatable
            and not self._keeps_cells(waiting, found, now)
        ):
            found = None
        if found is None and (
            is_repeatable or counted is not None and counted.allows(shape)
        ):
            found = cells.locate(shape, ledger.free, avoid)
        if found is None and not is_repeatable:
            found = self._locate_vacated(waiting, avoid, now)
        if found is None and self._state.quarantine.may_return(waiting.job.job_id, now):
            doubtful = self._state.quarantine.avoided(now)
            found = cells.locate(shape, ledger.solid_free, doubtful)
        return found

    def _use_reservation(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> list[decision.Decision] | None:
        """Make room for a gang that has a reservation, at most each `RETRY_S`."""
        if "no_reserve" not in self._state.options:
            self._state.reservations.want(waiting, now)
        made = self._state.reservations.get(waiting.job.job_id)
        if made is None or made.next_try > now:
            return None
        made.next_try = now + RETRY_S
        ended = self._preemptor.end_backfill(waiting, made, lane, now)
        if ended is not None:
            return ended
        return self._preemptor.move(waiting, made.ready_at, lane, now)

    def check_room(self, demand: int, lane: queue.Lane) -> None:
        """Block a demand that has no room, without an attempt for each lane."""
        waiting = lane.head()
        cells, each = lane.unit
        index = self._state.cells.index(each, ledger.free)
        if not index.has_room(cells, waiting.shape.adjacency):
            self.blocked[demand, ()] = self._state.ledger.releases

    def is_hopeless(self, lane: queue.Lane, waiting: queue.Waiting, now: float) -> bool:
        """Tell whether an equal job was tried in vain and nothing else may help."""
        if lane.covering is None or lane.rank == 2 or lane.is_retry:
            return False
        releases = self._state.ledger.releases
        if (
            self.blocked.get((lane.demand, ())) != releases
            and self.blocked.get((lane.demand, lane.blocked_by)) != releases
        ):
            return False
        if lane.covering and self._state.plan.has_unused(lane.covering):
            return False
        return not self._state.reservations.is_due(waiting, now)

    def _probe(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> str | None:
        """Return a questioned worker for a job of a single task."""
        if lane.is_retry or lane.rank == 2 or waiting.shape.tasks > 1:
            return None
        if not waiting.job.spec.repeatable:
            return None
        each = ledger.amounts_of(waiting.shape.each)
        for worker in self._state.quarantine.probes(now):
            if reclaim.room_for(self._state.ledger, {worker: each}):
                return worker
        return None

    def _may_overstay(self, waiting: queue.Waiting, rank: int, now: float) -> bool:
        """Tell whether a job may use reserved workers until the gang starts."""
        moved_at = self._state.moved.get(waiting.job.job_id, -math.inf)
        return (
            rank == 0
            and "no_overstay" not in self._state.options
            and waiting.job.spec.repeatable
            and now - moved_at >= fragmentation.MOVE_PAUSE_S
        )

    def _fits(self, shape: resource.GangShape) -> bool:
        return self._state.cells.locate(shape, ledger.free) is not None

    def _locate_vacated(
        self, waiting: queue.Waiting, avoid: set[str], now: float
    ) -> tuple[str, ...] | None:
        """Return free workers that unused guarantees can be planned away from."""
        each = ledger.amounts_of(waiting.shape.each)
        places = self._state.cells.candidates(waiting.shape, ledger.free, avoid)
        for workers in reclaim.first(places, MAX_CANDIDATES):
            if not self._keeps_cells(waiting, workers, now):
                continue
            if self._state.plan.vacate(ledger.spread(workers, each)):
                return workers
        return None

    def _keeps_cells(
        self, waiting: queue.Waiting, workers: tuple[str, ...], now: float
    ) -> bool:
        """Tell whether a job that can't be stopped spares what a guarantee lacks."""
        if now - waiting.since >= SPARE_S:
            return True
        each = ledger.amounts_of(waiting.shape.each)
        return self._state.plan.keeps_cells(ledger.spread(workers, each))

    def _never_fits(self, lane: queue.Lane, waiting: queue.Waiting, now: float) -> bool:
        if self.settled_at is None or now < self.settled_at:
            return False
        if now - waiting.since < SETTLE_S or now < lane.next_check:
            return False
        lane.next_check = now + SETTLE_S
        if self._state.cells.locate(waiting.shape, _nominal) is not None:
            return False
        return all(worker.is_open for worker in self._state.ledger.workers.values())


def _nominal(worker: ledger.Worker) -> ledger.Amounts:
    return worker.capacity


def _infeasible(job_id: str, shape: resource.GangShape) -> decision.Reject:
    return decision.Reject(
        job_id,
        errors.ErrorBody(
            errors.ErrorCode.JOB_INFEASIBLE,
            errors.Outcome.NOT_RUN,
            f"no worker or rack has room for {shape.tasks} tasks of "
            f"{shape.each.accelerators} accelerators, {shape.each.cores} cores and "
            f"{shape.each.memory_mb} MiB with adjacency {shape.adjacency.value}",
        ),
    )
