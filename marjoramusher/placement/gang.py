"""The placer of a failure domain."""

import random
from collections.abc import Collection, Iterator, Sequence

from ..core import announcement, job, record, resource
from . import (
    allocator,
    attempt,
    charge,
    claimant,
    decision,
    dispatch,
    fragmentation,
    ledger,
    lifecycle,
    placer,
    preemption,
    queue,
    standby,
    state,
)


class GangPlacer:
    """Placer for gangs with guarantees; see `placer.Placer` for the methods."""

    def __init__(self, failure_domain: str, shared: state.PlacerState) -> None:
        self._failure_domain = failure_domain
        self._state = shared
        self._silent_workers: set[str] = set()
        self._allocator = allocator.Allocator(shared)
        self._pending_claims = claimant.PendingClaims(shared, self._allocator)
        self._lifecycle = lifecycle.JobLifecycle(
            shared, self._allocator, self._pending_claims
        )
        self._attempts = attempt.PlacementAttempts(
            shared,
            self._allocator,
            charge.GuaranteeCharger(shared, self._allocator, self._pending_claims),
            preemption.Preemptor(shared, self._pending_claims),
            standby.StandbyWorkers(shared),
        )
        self._dispatcher = dispatch.Dispatcher(shared, self._attempts)

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Apply a new revision of the operators' records."""
        self._state.configuration = configuration
        self._state.plan.configure(
            g
            for g in configuration.guarantees.values()
            if g.failure_domain == self._failure_domain
        )
        for job_id, holding in list(self._state.ledger.holdings.items()):
            if (
                holding.rank == ledger.GUARANTEED_RANK
                and job_id not in self._state.plan.by_job
                and holding.stop_requested_at is None
            ):
                self._allocator.demote_to_borrower(job_id)
        for worker_id in list(self._state.ledger.workers):
            self._update_enabled(worker_id)
        self._state.accounts.configure(configuration.accounts)
        self._lifecycle.requeue_all(now)
        self._dispatcher.unblock_all()

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or update its capacity."""
        if worker.failure_domain != self._failure_domain:
            return
        if self._attempts.feasibility_known_at is None:
            self._attempts.feasibility_known_at = now + attempt.WORKER_DISCOVERY_S
        if worker.id in self._silent_workers:
            self._silent_workers.discard(worker.id)
            self._update_enabled(worker.id)
        capacity = ledger.amounts_of(worker.capacity)
        ledger_worker = self._state.ledger.worker(worker.id)
        if (
            ledger_worker.is_present
            and ledger_worker.capacity == capacity
            and ledger_worker.rack == worker.rack
            and ledger_worker.incarnation == worker.incarnation
        ):
            return
        ledger_worker.incarnation = worker.incarnation
        self._state.profiles.record_capacity(capacity)
        self._state.ledger.set_worker(worker.id, worker.rack, capacity, True)
        self._update_enabled(worker.id)
        self._state.plan.unassign_unsatisfiable([worker.id])

    def worker_silent(self, worker: str, now: float) -> None:
        """Exclude a worker that misses announcements or calls from new placements."""
        if self._state.ledger.worker(worker).is_present:
            self._silent_workers.add(worker)
            self._update_enabled(worker)

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; `plan` stops its gangs."""
        ledger_worker = self._state.ledger.worker(worker)
        if not ledger_worker.is_present:
            return
        self._state.ledger.set_worker(
            worker, ledger_worker.rack, ledger_worker.capacity, False
        )
        for job_id in ledger_worker.jobs:
            self._allocator.lost_jobs[job_id] = None
        self._state.plan.unassign_unsatisfiable([worker])

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Restore an automatic quarantine that an earlier leader committed."""
        self._state.quarantine.restore_quarantine(worker, now)
        self._update_enabled(worker)

    def job_changed(self, job: job.Job, now: float) -> None:
        """Apply the committed state of a job, which may be any `JobState`."""
        job_state = job.state
        if job_state is _QUEUED:
            self._lifecycle.requeue(job, now)
        elif job_state in _FINAL:
            self._lifecycle.finish(job, now)
        else:
            self._lifecycle.set_running(job, now)
            self._close_isolated_workers()
        if job.job_id not in self._state.ledger.holdings:
            self._reopen_workers(self._state.isolation.record_end(job.job_id))

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Record the run time saved in a checkpoint."""
        self._lifecycle.record_progress(job_id, progress_s, now)

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Record that a task failed on a worker."""
        job_record = self._state.jobs.get(job_id)
        if job_record is not None:
            spec = job_record.spec
            self._state.quarantine.record_failure(
                job_id, spec.account, spec.contract, worker, now
            )

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Record a report of a task's resource usage, which may arrive late."""
        job_record = self._state.jobs.get(job_id)
        if job_record is None or job_record.allocation is None:
            return
        # A linear search suffices without an index of tasks, since reports are rare.
        for task in job_record.allocation.tasks:
            if task.task_id == task_id:
                self._state.overuse.report(
                    job_id,
                    task_id,
                    task.worker,
                    self._state.profiles.shape(job_record).each,
                    usage,
                )

    # Decisions.

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""
        return list(self._decide(now))

    def shortfalls(self, now: float) -> Sequence[placer.Shortfall]:
        """Return the guarantees that can't be satisfied, with the reasons."""
        self._state.plan.repair()
        return list(self._state.plan.shortfalls())

    def fragmentation(self, shape: resource.GangShape) -> float:
        """Return the share of free accelerators that a gang of a shape can't use."""
        return fragmentation.stranded_share(self._state.ledger, shape)

    def _decide(self, now: float) -> Iterator[decision.Decision]:
        self._reopen_workers(self._state.isolation.end_survived(now))
        for item in self._decide_on_jobs(now):
            if isinstance(item, decision.Place):
                self._close_isolated_workers()
            yield item

    def _decide_on_jobs(self, now: float) -> Iterator[decision.Decision]:
        yield from self._allocator.stop_lost_gangs(now)
        yield from self._decide_on_failures_and_overuse(now)
        self._state.plan.repair()
        yield from self._pending_claims.resolve(now)
        # A cancelled claim may have left its entry unassigned.
        self._state.plan.repair()
        yield from self._dispatcher.plan(now)

    def _decide_on_failures_and_overuse(
        self, now: float
    ) -> Iterator[decision.Decision]:
        """Yield decisions that follow from task failures and from overuse."""
        for item in self._state.quarantine.decide(now):
            if isinstance(item, decision.Reject):
                if self._lifecycle.dequeue_rejected(item.job_id):
                    yield item
                continue
            self._update_enabled(item.worker)
            yield item
        for item in self._state.overuse.decide(now):
            if isinstance(item, decision.Stop):
                yield from self._allocator.stop(item.job_id, item.reason, now)
            else:
                yield item

    def _close_isolated_workers(self) -> None:
        for worker_id in sorted(self._state.isolation.closed_workers):
            self._update_enabled(worker_id)

    def _reopen_workers(self, workers: Collection[str]) -> None:
        for worker_id in sorted(workers):
            self._update_enabled(worker_id)

    def _update_enabled(self, worker_id: str) -> None:
        configuration = self._state.configuration
        is_excluded = any(
            (operator_record := records.get(worker_id)) is not None
            and operator_record.failure_domain == self._failure_domain
            for records in (configuration.drains, configuration.quarantines)
        )
        is_excluded = (
            is_excluded
            or worker_id in self._silent_workers
            or worker_id in self._state.isolation.closed_workers
        )
        is_enabled = (
            not is_excluded
            and worker_id not in self._state.quarantine.quarantined_workers
        )
        worker = self._state.ledger.worker(worker_id)
        if worker.is_enabled is not is_enabled:
            self._state.ledger.set_enabled(worker_id, is_enabled)
            self._state.plan.unassign_unsatisfiable([worker_id])


_QUEUED = job.JobState.QUEUED
_FINAL = job.FINAL_STATES


def make_placer(
    rng: random.Random,
    failure_domain: str,
    wall_offset_s: float = 0.0,
    order: queue.QueueOrder | None = None,
    options: frozenset[str] = frozenset(),
) -> placer.Placer:
    """Make the placer of a failure domain.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the ends of quarantines.
    failure_domain : str
        Failure domain to place jobs in; records and workers of others are ignored.
    wall_offset_s : float
        Seconds since the Unix epoch minus `now`; converts the times of contract
        expiry and submission to the monotonic clock.
    order : queue.QueueOrder or None
        Order of the queue; `queue.Combined` by default.
    options : frozenset of str
        Variants that the bench compares. ``no_reserve``, ``no_move`` and
        ``no_standby`` disable reservations, moves of borrowers and standby workers;
        ``no_overstay`` allows backfill only by jobs expected to end in time;
        ``count_plan`` enables `counts.CountPlan`.
    """
    shared = state.PlacerState(rng, wall_offset_s, order or queue.Combined(), options)
    return GangPlacer(failure_domain, shared)
