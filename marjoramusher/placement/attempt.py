"""Attempts to start queued jobs."""

import math

from ..core import errors, resource, suspect
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

# All queued jobs are retried at this interval, even if no resources were released.
RETRY_INTERVAL_S = 2.0
# All workers announce themselves within this time. Before that, a job that fits on no
# known worker may still fit on one that has not been announced.
WORKER_DISCOVERY_S = 30.0
# A non-preemptible job waits at most this long to leave cells to an unassigned
# guarantee, since the shortfall may last until operators change the guarantee.
MAX_SHORTFALL_WAIT_S = 300.0
# Number of candidate placements compared; more of them rarely contain a better one.
MAX_CANDIDATES = 4


class PlacementAttempts:
    """Try to start the job at the head of a sub-queue."""

    def __init__(
        self,
        shared: state.PlacerState,
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
        # Jobs are rejected as infeasible only after this time; ``None`` until the first
        # worker has announced itself.
        self.feasibility_known_at: float | None = None
        # Release counter at the last failed attempt, by demand and by the reservations
        # that it had to respect; an empty tuple if it failed without any of these.
        self.failed_at_release: dict[tuple[int, tuple[str, ...]], int] = {}

    def try_head(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Start a job, or preempt others for it; ``None`` if neither is possible."""
        job_id = queued.job.job_id
        if queued.expires_at_s <= now:
            # The leader commits the expiry later; the job is not placed until then.
            self._state.queue.remove(job_id)
            return []
        if queued.job.crashes or queued.job.possible_crashes:
            decisions = self._try_suspect(subqueue, queued, now)
            if decisions is not None:
                return decisions
            if self._must_wait(queued, now):
                subqueue.blocked_at_release = self._state.ledger.releases
                return None
        for name in subqueue.usable_guarantees or ():
            decisions = self._guarantee_charger.charge(name, queued, subqueue.rank, now)
            if decisions is not None:
                return decisions
        excluded, binding = self._excluded_workers(subqueue, queued, now)
        probe_worker = self._find_probe(subqueue, queued, now)
        if probe_worker is not None:
            return [
                self._allocator.place(queued, (probe_worker,), subqueue.rank, None, now)
            ]
        workers = self._find_workers(subqueue, queued, excluded, binding, now)
        if workers is not None:
            return [self._allocator.place(queued, workers, subqueue.rank, None, now)]
        if subqueue.rank == 2:
            decisions = self._preemptor.preempt_best_effort(queued, excluded, now)
            if decisions is not None:
                return decisions
        if self._is_infeasible(subqueue, queued, now):
            self._state.queue.remove(job_id)
            return [_reject_infeasible(job_id, queued.shape)]
        decisions = self._free_reservation(subqueue, queued, now)
        if decisions is None:
            subqueue.blocked_at_release = self._state.ledger.releases
        return decisions

    def _try_suspect(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Reject a job that crashes its workers, or isolate a suspect if it needs it.

        ``None`` if it is not to be rejected, and no workers of its own are needed or
        idle.
        """
        job_record, isolation = queued.job, self._state.isolation
        error = suspect.find_cause_error(job_record, isolation.wall_ms(now))
        if error is not None:
            self._state.queue.remove(job_record.job_id)
            return [decision.Reject(job_record.job_id, error)]
        if (
            not job_record.spec.repeatable
            or not isolation.needs_isolation(job_record, now)
            or suspect.is_undecided(job_record, isolation.wall_ms(now))
        ):
            return None
        excluded = self._state.quarantine.paused_workers(now).union(
            job_record.failed_on
        )
        for avoided in (isolation.crashed_under(job_record, now), set()):
            workers = self._state.cell_indexes.locate(
                queued.shape, ledger.idle, excluded | avoided
            )
            if workers is not None and isolation.may_close(workers):
                rank = subqueue.rank
                return [self._allocator.place(queued, workers, rank, None, now)]
        return None

    def _must_wait(self, queued: queue.QueuedJob, now: float) -> bool:
        """Tell whether a suspect must not be placed beside other jobs yet."""
        job_record, isolation = queued.job, self._state.isolation
        if suspect.is_undecided(job_record, isolation.wall_ms(now)):
            return True
        if not isolation.needs_isolation(job_record, now):
            isolation.forget(job_record.job_id)
            return False
        return not isolation.may_share(job_record.job_id, now)

    def _excluded_workers(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> tuple[set[str], tuple[str, ...]]:
        """Return the workers to exclude, and the jobs whose reservations exclude some.

        ``standby`` among the job ids stands for the workers kept for urgent jobs, and
        ``isolation`` for those of other suspects.
        """
        spec = queued.job.spec
        excluded = self._state.quarantine.paused_workers(now)
        if queued.job.failed_on:
            excluded = excluded.union(queued.job.failed_on)
        binding: tuple[str, ...] = ()
        if subqueue.rank < 2 and not self._may_outlast_reservations(
            queued, subqueue.rank, now
        ):
            ends_at = now + self._state.profiles.estimate(queued.job, 0.9)
            binding = self._state.reservations.binding_for(queued.job.job_id, ends_at)
            if binding:
                excluded = excluded | self._state.reservations.workers_of(binding)
        if subqueue.rank == 1 or subqueue.rank == 0 and not spec.repeatable:
            standby_workers = self._standby.workers()
            if standby_workers:
                excluded = excluded | standby_workers
                binding += ("standby",)
        occupied = self._state.isolation.occupied_by_others(queued.job, now)
        if occupied:
            excluded = excluded | occupied
            binding += ("isolation",)
        return excluded, binding

    def _find_workers(
        self,
        subqueue: queue.SubQueue,
        queued: queue.QueuedJob,
        excluded: set[str],
        binding: tuple[str, ...],
        now: float,
    ) -> tuple[str, ...] | None:
        """Return free workers, unless an attempt for an equal job has failed."""
        releases = self._state.ledger.releases
        demand_id = subqueue.demand_id
        subqueue.blocked_by = binding
        if releases in (
            self.failed_at_release.get((demand_id, ())),
            self.failed_at_release.get((demand_id, binding)),
        ):
            return None
        crashed_under = self._state.isolation.crashed_under(queued.job, now)
        workers = None
        if crashed_under:
            workers = self._locate(queued, excluded | crashed_under, now)
        if workers is None:
            workers = self._locate(queued, excluded, now)
        if workers is not None:
            return workers
        if not excluded or not self._fits(queued.shape):
            self.failed_at_release[demand_id, ()] = releases
        elif not queued.job.failed_on:
            self.failed_at_release[demand_id, binding] = releases
        return None

    def _locate(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> tuple[str, ...] | None:
        shape, is_repeatable = queued.shape, queued.job.spec.repeatable
        cell_indexes, count_plan = self._state.cell_indexes, self._state.count_plan
        workers = cell_indexes.locate(shape, ledger.free_uncommitted, excluded)
        if (
            workers is not None
            and not is_repeatable
            and not self._preserves_guarantees(queued, workers, now)
        ):
            workers = None
        if workers is None and (
            is_repeatable or count_plan is not None and count_plan.allows(shape)
        ):
            workers = cell_indexes.locate(shape, ledger.free, excluded)
        if workers is None and not is_repeatable:
            workers = self._locate_with_replanning(queued, excluded, now)
        if workers is None and self._state.quarantine.may_return(
            queued.job.job_id, now
        ):
            paused = self._state.quarantine.paused_workers(now)
            workers = cell_indexes.locate(shape, ledger.free_uncommitted, paused)
        return workers

    def _free_reservation(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Free the workers reserved for a gang, at most every `RETRY_INTERVAL_S`."""
        if "no_reserve" not in self._state.options:
            self._state.reservations.reserve(queued, now)
        reservation = self._state.reservations.get(queued.job.job_id)
        if reservation is None or reservation.next_attempt_at > now:
            return None
        reservation.next_attempt_at = now + RETRY_INTERVAL_S
        decisions = self._preemptor.preempt_backfill(queued, reservation, subqueue, now)
        if decisions is not None:
            return decisions
        return self._preemptor.defragment(queued, reservation.ready_at, subqueue, now)

    def block_if_full(self, demand_id: int, subqueue: queue.SubQueue) -> None:
        """Skip all sub-queues of a demand for which too few cells are free."""
        queued = subqueue.head()
        cell_count, cell_size = subqueue.cell_demand
        index = self._state.cell_indexes.index(cell_size, ledger.free)
        if not index.can_fit(cell_count, queued.shape.adjacency):
            self.failed_at_release[demand_id, ()] = self._state.ledger.releases

    def is_blocked(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> bool:
        """Tell whether an attempt is bound to fail like that of an equal job."""
        if (
            subqueue.usable_guarantees is None
            or subqueue.rank == 2
            or subqueue.is_retry
        ):
            return False
        releases = self._state.ledger.releases
        if (
            self.failed_at_release.get((subqueue.demand_id, ())) != releases
            and self.failed_at_release.get((subqueue.demand_id, subqueue.blocked_by))
            != releases
        ):
            return False
        if subqueue.usable_guarantees and self._state.plan.has_unused(
            subqueue.usable_guarantees
        ):
            return False
        return not self._state.reservations.is_due(queued, now)

    def _find_probe(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> str | None:
        """Return a suspect worker to probe with a job of a single task."""
        if subqueue.is_retry or subqueue.rank == 2 or queued.shape.tasks > 1:
            return None
        if not queued.job.spec.repeatable:
            return None
        task_amounts = ledger.amounts_of(queued.shape.each)
        for worker in self._state.quarantine.probe_candidates(now):
            if reclaim.is_free(self._state.ledger, {worker: task_amounts}):
                return worker
        return None

    def _may_outlast_reservations(
        self, queued: queue.QueuedJob, rank: int, now: float
    ) -> bool:
        """Tell whether a job may run on reserved workers until the gang preempts it."""
        moved_at = self._state.moved_at.get(queued.job.job_id, -math.inf)
        return (
            rank == 0
            and "no_overstay" not in self._state.options
            and queued.job.spec.repeatable
            and now - moved_at >= fragmentation.MIN_RUN_BETWEEN_MOVES_S
        )

    def _fits(self, shape: resource.GangShape) -> bool:
        return self._state.cell_indexes.locate(shape, ledger.free) is not None

    def _locate_with_replanning(
        self, queued: queue.QueuedJob, excluded: set[str], now: float
    ) -> tuple[str, ...] | None:
        """Return free workers from which unused guarantees can be moved away."""
        task_amounts = ledger.amounts_of(queued.shape.each)
        placements = self._state.cell_indexes.candidates(
            queued.shape, ledger.free, excluded
        )
        for workers in reclaim.take_first(placements, MAX_CANDIDATES):
            if not self._preserves_guarantees(queued, workers, now):
                continue
            if self._state.plan.replan_around(
                ledger.amounts_by_worker(workers, task_amounts)
            ):
                return workers
        return None

    def _preserves_guarantees(
        self, queued: queue.QueuedJob, workers: tuple[str, ...], now: float
    ) -> bool:
        """Tell whether a non-preemptible job leaves cells to unassigned guarantees."""
        if now - queued.queued_at >= MAX_SHORTFALL_WAIT_S:
            return True
        task_amounts = ledger.amounts_of(queued.shape.each)
        return self._state.plan.preserves_cells(
            ledger.amounts_by_worker(workers, task_amounts)
        )

    def _is_infeasible(
        self, subqueue: queue.SubQueue, queued: queue.QueuedJob, now: float
    ) -> bool:
        if self.feasibility_known_at is None or now < self.feasibility_known_at:
            return False
        if (
            now - queued.queued_at < WORKER_DISCOVERY_S
            or now < subqueue.next_feasibility_check_at
        ):
            return False
        subqueue.next_feasibility_check_at = now + WORKER_DISCOVERY_S
        if self._state.cell_indexes.locate(queued.shape, _total_capacity) is not None:
            return False
        return all(
            worker.is_schedulable for worker in self._state.ledger.workers.values()
        )


def _total_capacity(worker: ledger.Worker) -> ledger.Amounts:
    return worker.capacity


def _reject_infeasible(job_id: str, shape: resource.GangShape) -> decision.Reject:
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
