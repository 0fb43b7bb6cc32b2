"""Execution of the placer's decisions as commands and calls to workers."""

from ..core import job as model
from ..core import resource
from ..jobs import command
from ..placement import decision
from . import domain, expiry, lifecycle, rpc, stop

# A job may only seem too large until all workers have announced themselves after an
# election.
REJECT_AFTER_S = 10.0

_CAUSES = {
    decision.StopReason.RECLAIM: command.StopCause.RECLAIM,
    decision.StopReason.OVERUSE: command.StopCause.OVERUSE,
    decision.StopReason.DEFRAGMENT: command.StopCause.DEFRAGMENT,
    decision.StopReason.WORKER_LOST: command.StopCause.WORKER_LOST,
    decision.StopReason.CONTRACT_EXPIRED: command.StopCause.CONTRACT_EXPIRED,
}


class DecisionExecutor:
    """Execute the decisions of the placer."""

    __slots__ = (
        "_contract_expiry",
        "_lifecycle",
        "_refreshes",
        "_state",
        "_stopper",
    )

    def __init__(
        self,
        state: domain.DomainState,
        stopper: stop.GangStopper,
        gang_lifecycle: lifecycle.Lifecycle,
        contract_expiry: expiry.ContractExpiry,
    ) -> None:
        self._state = state
        self._stopper = stopper
        self._lifecycle = gang_lifecycle
        self._contract_expiry = contract_expiry
        self._refreshes: list[tuple[float, str]] = []

    @property
    def has_pending_refreshes(self) -> bool:
        """Return whether a job must be reported to the placer again."""
        return bool(self._refreshes)

    def infeasibility_reason(self, shape: resource.GangShape) -> str | None:
        """Return why a shape can never fit the known workers, or None."""
        if self._state.now < self._state.workers.elected_at + REJECT_AFTER_S or not len(
            self._state.workers
        ):
            return None  # more workers may still announce themselves
        tasks_per_worker = 1
        if shape.adjacency is resource.Adjacency.WORKER:
            tasks_per_worker = shape.tasks
        required = resource.Resources(
            shape.each.accelerators * tasks_per_worker,
            shape.each.cores * tasks_per_worker,
            shape.each.memory_mb * tasks_per_worker,
        )
        if any(
            required.fits_within(capacity)
            for capacity in self._state.workers.capacities()
        ):
            return None
        return (
            f"no worker has {required.accelerators} accelerators, "
            f"{required.cores} cores and {required.memory_mb} MiB of memory"
        )

    def execute_due(self) -> None:
        """Execute the decisions that the placer makes now."""
        for placer_decision in self._state.policy.plan(self._state.now):
            self._execute(placer_decision)

    def schedule_refresh(self, job_id: str) -> None:
        """Report a job to the placer again after a delay.

        Used when a decision about the job was not executed. Without the delay, a
        decision that is always refused would be repeated on every event.
        """
        self._refreshes.append((self._state.now + domain.RETRY_S, job_id))

    def run_due_refreshes(self) -> None:
        """Report the jobs whose delay has passed to the placer again."""
        due = [
            job_id for due_at, job_id in self._refreshes if due_at <= self._state.now
        ]
        self._refreshes = [
            entry for entry in self._refreshes if entry[0] > self._state.now
        ]
        for job_id in due:
            job = self._state.jobs.job(job_id)
            if job is not None:
                self._state.policy.job_changed(job, self._state.now)

    def _execute(self, placer_decision: decision.Decision) -> None:
        match placer_decision:
            case decision.Place():
                self._place(placer_decision)
            case decision.Stop():
                self._stop(placer_decision)
            case decision.Reject():
                if self._state.now >= self._state.workers.elected_at + REJECT_AFTER_S:
                    self._state.propose(
                        command.RejectJob(
                            self._state.wall_time,
                            placer_decision.job_id,
                            placer_decision.error,
                        )
                    )
                else:
                    self.schedule_refresh(placer_decision.job_id)
            case decision.Throttle():
                gang = self._state.gangs.get(placer_decision.job_id)
                if gang is not None and placer_decision.task_id in gang.tasks:
                    self._state.call_worker(
                        gang, gang.tasks[placer_decision.task_id], rpc.Method.THROTTLE
                    )
            case decision.QuarantineWorker():
                self._state.propose(
                    command.QuarantineWorker(
                        self._state.wall_time,
                        placer_decision.worker,
                        placer_decision.reason,
                    )
                )
            case decision.ReleaseWorker():
                self._state.propose(
                    command.ReleaseWorker(self._state.wall_time, placer_decision.worker)
                )

    def _stop(self, placer_decision: decision.Stop) -> None:
        gang = self._state.gangs.get(placer_decision.job_id)
        if gang is not None and (
            gang.job.spec.repeatable
            or placer_decision.reason is not decision.StopReason.DEFRAGMENT
        ):
            self._stopper.request_stop(gang, _CAUSES[placer_decision.reason])
            self._lifecycle.advance(gang)
        else:
            self.schedule_refresh(placer_decision.job_id)

    def _place(self, placer_decision: decision.Place) -> None:
        job = self._state.jobs.job(placer_decision.job_id)
        workers = {
            worker_id: self._state.workers.worker(worker_id)
            for worker_id in placer_decision.workers
        }
        if (
            job is None
            or job.state is not model.JobState.QUEUED
            or self._contract_expiry.is_expired(job.spec.contract)
            or any(
                worker is None or not worker.is_schedulable
                for worker in workers.values()
            )
        ):
            self.schedule_refresh(placer_decision.job_id)
            return
        capacities = {
            worker_id: worker.announcement.capacity
            for worker_id, worker in workers.items()
            if worker is not None
        }
        self._state.propose(
            command.AllocateGang(
                self._state.wall_time,
                placer_decision.job_id,
                job.epoch,
                placer_decision.workers,
                capacities,
                placer_decision.guarantee,
                {
                    worker_id: worker.announcement.incarnation
                    for worker_id, worker in workers.items()
                    if worker is not None
                },
            )
        )
