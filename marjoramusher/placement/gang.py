"""The placer of a failure domain."""

import random
from collections.abc import Iterator, Sequence

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
    """Place gangs under guarantees; see `placer.Placer` for the methods."""

    def __init__(self, failure_domain: str, shared: state.State) -> None:
        self._failure_domain = failure_domain
        self._state = shared
        self._silent: set[str] = set()
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
        """Take over the operators' records of a new revision."""
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
            self._update_usable(worker_id)
        self._state.accounts.configure(configuration.accounts)
        self._lifecycle.requeue_all(now)
        self._dispatcher.unblock()

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or take over its changed capacity."""
        if worker.failure_domain != self._failure_domain:
            return
        if self._attempts.settled_at is None:
            self._attempts.settled_at = now + attempt.SETTLE_S
        if worker.id in self._silent:
            self._silent.discard(worker.id)
            self._update_usable(worker.id)
        capacity = ledger.amounts_of(worker.capacity)
        known = self._state.ledger.worker(worker.id)
        if (
            known.is_present
            and known.capacity == capacity
            and known.rack == worker.rack
            and known.incarnation == worker.incarnation
        ):
            return
        known.incarnation = worker.incarnation
        self._state.profiles.record_capacity(capacity)
        self._state.ledger.set_worker(worker.id, worker.rack, capacity, True)
        self._update_usable(worker.id)
        self._state.plan.unassign_unsatisfiable([worker.id])

    def worker_silent(self, worker: str, now: float) -> None:
        """Keep new work off a worker that misses announcements or calls."""
        if self._state.ledger.worker(worker).is_present:
            self._silent.add(worker)
            self._update_usable(worker)

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; its gangs are stopped by `plan`."""
        known = self._state.ledger.worker(worker)
        if not known.is_present:
            return
        self._state.ledger.set_worker(worker, known.rack, known.capacity, False)
        for job_id in known.jobs:
            self._allocator.lost_jobs[job_id] = None
        self._state.plan.unassign_unsatisfiable([worker])

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Take over an automatic quarantine that an earlier leader committed."""
        self._state.quarantine.restore(worker, now)
        self._update_usable(worker)

    def job_changed(self, job: job.Job, now: float) -> None:
        """Take over a job's committed state, for any of its states."""
        state = job.state
        if state is _QUEUED:
            self._lifecycle.requeue(job, now)
        elif state in _FINAL:
            self._lifecycle.finish(job, now)
        else:
            self._lifecycle.run(job, now)

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Note run time saved in a checkpoint."""
        self._lifecycle.save(job_id, progress_s, now)

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Note that a task failed on a worker."""
        known = self._state.jobs.get(job_id)
        if known is not None:
            spec = known.spec
            self._state.quarantine.failed(
                job_id, spec.account, spec.contract, worker, now
            )

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Note a late report of what a task uses."""
        known = self._state.jobs.get(job_id)
        if known is None or known.allocation is None:
            return
        # The placer keeps no map of tasks; reports of overuse are rare.
        for task in known.allocation.tasks:
            if task.task_id == task_id:
                self._state.overuse.report(
                    job_id,
                    task_id,
                    task.worker,
                    self._state.profiles.shape(known).each,
                    usage,
                )

    # Decisions.

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""
        return list(self._plan_all(now))

    def shortfalls(self, now: float) -> Sequence[placer.Shortfall]:
        """Return the guarantees that can't be honoured and why."""
        self._state.plan.repair()
        return list(self._state.plan.shortfalls())

    def fragmentation(self, shape: resource.GangShape) -> float:
        """Return the share of free accelerators that can't serve a gang."""
        return fragmentation.stranded_share(self._state.ledger, shape)

    def _plan_all(self, now: float) -> Iterator[decision.Decision]:
        yield from self._allocator.stop_lost_gangs(now)
        yield from self._judge(now)
        self._state.plan.repair()
        yield from self._pending_claims.resolve(now)
        # A claim that was given up may have left its entry without workers.
        self._state.plan.repair()
        yield from self._dispatcher.plan(now)

    def _judge(self, now: float) -> Iterator[decision.Decision]:
        """Yield decisions on failures and on overuse."""
        for verdict in self._state.quarantine.decide(now):
            if isinstance(verdict, decision.Reject):
                if self._lifecycle.refuse(verdict.job_id):
                    yield verdict
                continue
            self._update_usable(verdict.worker)
            yield verdict
        for verdict in self._state.overuse.decide(now):
            if isinstance(verdict, decision.Stop):
                yield from self._allocator.stop(verdict.job_id, verdict.reason, now)
            else:
                yield verdict

    def _update_usable(self, worker_id: str) -> None:
        configuration = self._state.configuration
        kept_off = any(
            (entry := records.get(worker_id)) is not None
            and entry.failure_domain == self._failure_domain
            for records in (configuration.drains, configuration.quarantines)
        )
        kept_off = kept_off or worker_id in self._silent
        usable = not kept_off and worker_id not in self._state.quarantine.active
        worker = self._state.ledger.worker(worker_id)
        if worker.is_enabled is not usable:
            self._state.ledger.set_enabled(worker_id, usable)
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
        Spreads the ends of quarantines.
    failure_domain : str
        Records and workers of others are ignored.
    wall_offset_s : float
        Seconds since the Unix epoch minus `now`; relates contract expiry and
        submission to the monotonic clock.
    order : queue.QueueOrder or None
        Order of the queue; the bench compares others.
    options : frozenset of str
        Alternatives that the bench compares: ``no_reserve``, ``no_move``,
        ``no_standby``, ``no_overstay`` and ``count_plan``.
    """
    shared = state.State(rng, wall_offset_s, order or queue.Combined(), options)
    return GangPlacer(failure_domain, shared)
