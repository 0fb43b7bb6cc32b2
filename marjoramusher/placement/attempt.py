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


class PlacementAttempts:
    """Try to start the first job of a lane."""

    def __init__(
        self,
        shared: state.State,
        job_allocator: allocator.Allocator,
        guarantee_charger: charge.GuaranteeCharger,
        preemptor: preemption.Preemptor,
        standby_workers: standby.StandbyWorkers,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._guarantee_charger = guarantee_charger
        self._preemptor = preemptor
        self._standby = standby_workers
        self.settled_at: float | None = None
        # Releases at which a demand was tried in vain, by what it had to avoid.
        self.blocked: dict[tuple[int, tuple[str, ...]], int] = {}

    def try_head(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Start a job or make room for it; ``None`` if that can't be done now."""
        job_id = queued.job.job_id
        if queued.expires_at_s <= now:
            # The committed expiry follows; the job is not placed meanwhile.
            self._state.queue.remove(job_id)
            return []
        for name in subqueue.covering or ():
            made = self._guarantee_charger.charge(name, queued, subqueue.rank, now)
            if made is not None:
                return made
        excluded, binding = self._avoided(subqueue, queued, now)
        probed = self._probe(subqueue, queued, now)
        if probed is not None:
            return [self._allocator.place(queued, (probed,), subqueue.rank, None, now)]
        found = self._find(subqueue, queued, excluded, binding, now)
        if found is not None:
            return [self._allocator.place(queued, found, subqueue.rank, None, now)]
        if subqueue.rank == 2:
            made = self._preemptor.preempt(queued, excluded, now)
            if made is not None:
                return made
        if self._never_fits(subqueue, queued, now):
            self._state.queue.remove(job_id)
            return [_infeasible(job_id, queued.shape)]
        made = self._use_reservation(subqueue, queued, now)
        if made is None:
            subqueue.blocked_at = self._state.ledger.releases
        return made

    def _avoided(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> tuple[set[str], tuple[str, ...]]:
        """Return workers to avoid, and for whom some of them are kept."""
        spec = queued.job.spec
        excluded = self._state.quarantine.avoided(now)
        if queued.job.failed_on:
            excluded = excluded.union(queued.job.failed_on)
        binding: tuple[str, ...] = ()
        if subqueue.rank < 2 and not self._may_overstay(queued, subqueue.rank, now):
            ends_at = now + self._state.profiles.estimate(queued.job, 0.9)
            binding = self._state.reservations.binding_for(queued.job.job_id, ends_at)
            if binding:
                excluded = excluded | self._state.reservations.workers_of(binding)
        if subqueue.rank == 1 or subqueue.rank == 0 and not spec.repeatable:
            kept = self._standby.workers()
            if kept:
                excluded = excluded | kept
                binding += ("standby",)
        return excluded, binding

    def _find(
        self,
        subqueue: queue.SubQueue,
        queued: queue.QueuedJob,
        excluded: set[str],
        binding: tuple[str, ...],
        now: float,
    ) -> tuple[str, ...] | None:
        """Return free workers, unless an equal job was tried in vain."""
        releases = self._state.ledger.releases
        demand = subqueue.demand
        subqueue.blocked_by = binding
        if releases in (
            self.blocked.get((demand, ())),
            self.blocked.get((demand, binding)),
        ):
            return None
        found = self._locate(queued, excluded, now)
        if found is not None:
            return found
        if not excluded or not self._fits(queued.shape):
            self.blocked[demand, ()] = releases
        elif not queued.job.failed_on:
            self.blocked[demand, binding] = releases
        return None

    def _locate(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> tuple[str, ...] | None:
        shape, is_repeatable = queued.shape, queued.job.spec.repeatable
        cells, counted = self._state.cell_indexes, self._state.count_plan
        found = cells.locate(shape, ledger.free_uncommitted, excluded)
        if (
            found is not None
            and not is_repeatable
            and not self._keeps_cells(queued, found, now)
        ):
            found = None
        if found is None and (
            is_repeatable or counted is not None and counted.allows(shape)
        ):
            found = cells.locate(shape, ledger.free, excluded)
        if found is None and not is_repeatable:
            found = self._locate_vacated(queued, excluded, now)
        if found is None and self._state.quarantine.may_return(queued.job.job_id, now):
            doubtful = self._state.quarantine.avoided(now)
            found = cells.locate(shape, ledger.free_uncommitted, doubtful)
        return found

    def _use_reservation(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Make room for a gang that has a reservation, at most each `RETRY_S`."""
        if "no_reserve" not in self._state.options:
            self._state.reservations.reserve(queued, now)
        made = self._state.reservations.get(queued.job.job_id)
        if made is None or made.next_attempt_at > now:
            return None
        made.next_attempt_at = now + RETRY_S
        ended = self._preemptor.end_backfill(queued, made, subqueue, now)
        if ended is not None:
            return ended
        return self._preemptor.move(queued, made.ready_at, subqueue, now)

    def check_room(self, demand: int, subqueue: queue.SubQueue) -> None:
        """Block a demand that has no room, without an attempt for each lane."""
        queued = subqueue.head()
        cells, each = subqueue.unit
        index = self._state.cell_indexes.index(each, ledger.free)
        if not index.can_fit(cells, queued.shape.adjacency):
            self.blocked[demand, ()] = self._state.ledger.releases

    def is_hopeless(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> bool:
        """Tell whether an equal job was tried in vain and nothing else may help."""
        if subqueue.covering is None or subqueue.rank == 2 or subqueue.is_retry:
            return False
        releases = self._state.ledger.releases
        if (
            self.blocked.get((subqueue.demand, ())) != releases
            and self.blocked.get((subqueue.demand, subqueue.blocked_by)) != releases
        ):
            return False
        if subqueue.covering and self._state.plan.has_unused(subqueue.covering):
            return False
        return not self._state.reservations.is_due(queued, now)

    def _probe(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> str | None:
        """Return a questioned worker for a job of a single task."""
        if subqueue.is_retry or subqueue.rank == 2 or queued.shape.tasks > 1:
            return None
        if not queued.job.spec.repeatable:
            return None
        each = ledger.amounts_of(queued.shape.each)
        for worker in self._state.quarantine.probes(now):
            if reclaim.is_free(self._state.ledger, {worker: each}):
                return worker
        return None

    def _may_overstay(self, queued: queue.QueuedJob, rank: int, now: float) -> bool:
        """Tell whether a job may use reserved workers until the gang starts."""
        moved_at = self._state.moved_at.get(queued.job.job_id, -math.inf)
        return (
            rank == 0
            and "no_overstay" not in self._state.options
            and queued.job.spec.repeatable
            and now - moved_at >= fragmentation.MOVE_PAUSE_S
        )

    def _fits(self, shape: resource.GangShape) -> bool:
        return self._state.cell_indexes.locate(shape, ledger.free) is not None

    def _locate_vacated(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> tuple[str, ...] | None:
        """Return free workers that unused guarantees can be planned away from."""
        each = ledger.amounts_of(queued.shape.each)
        places = self._state.cell_indexes.candidates(
            queued.shape, ledger.free, excluded
        )
        for workers in reclaim.take_first(places, MAX_CANDIDATES):
            if not self._keeps_cells(queued, workers, now):
                continue
            if self._state.plan.replan_around(ledger.amounts_by_worker(workers, each)):
                return workers
        return None

    def _keeps_cells(
        self, queued: queue.QueuedJob, workers: tuple[str, ...], now: float
    ) -> bool:
        """Tell whether a job that can't be stopped spares what a guarantee lacks."""
        if now - queued.since >= SPARE_S:
            return True
        each = ledger.amounts_of(queued.shape.each)
        return self._state.plan.preserves_cells(ledger.amounts_by_worker(workers, each))

    def _never_fits(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> bool:
        if self.settled_at is None or now < self.settled_at:
            return False
        if now - queued.since < SETTLE_S or now < subqueue.next_check:
            return False
        subqueue.next_check = now + SETTLE_S
        if self._state.cell_indexes.locate(queued.shape, _nominal) is not None:
            return False
        return all(
            worker.is_schedulable for worker in self._state.ledger.workers.values()
        )


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
