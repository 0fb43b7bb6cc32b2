"""Decisions of the placer, turned into commands and calls."""

from ..core import job as model
from ..core import resource
from ..jobs import command
from ..placement import decision
from . import domain, expiry, lifecycle, rpc, stop

REJECT_AFTER_S = 10.0  # a job may only seem too large while workers are coming back

_CAUSES = {
    decision.StopReason.RECLAIM: command.StopCause.RECLAIM,
    decision.StopReason.OVERUSE: command.StopCause.OVERUSE,
    decision.StopReason.DEFRAGMENT: command.StopCause.DEFRAGMENT,
    decision.StopReason.WORKER_LOST: command.StopCause.WORKER_LOST,
    decision.StopReason.CONTRACT_EXPIRED: command.StopCause.CONTRACT_EXPIRED,
}


class Plan:
    """Carry out what the placer decides."""

    __slots__ = ("_domain", "_expiry", "_lifecycle", "_refreshes", "_stops")

    def __init__(
        self,
        shared: domain.Domain,
        stops: stop.Stops,
        steps: lifecycle.Lifecycle,
        contracts: expiry.Expiry,
    ) -> None:
        self._domain = shared
        self._stops = stops
        self._lifecycle = steps
        self._expiry = contracts
        self._refreshes: list[tuple[float, str]] = []

    @property
    def is_busy(self) -> bool:
        """Tell whether the placer must be told again of a job."""
        return bool(self._refreshes)

    def infeasibility_reason(self, shape: resource.GangShape) -> str | None:
        """Return why a shape can never fit the known workers, or None."""
        if (
            self._domain.now < self._domain.workers.elected_at + REJECT_AFTER_S
            or not len(self._domain.workers)
        ):
            return None  # more workers may still announce themselves
        together = 1
        if shape.adjacency is resource.Adjacency.WORKER:
            together = shape.tasks
        each = resource.Resources(
            shape.each.accelerators * together,
            shape.each.cores * together,
            shape.each.memory_mb * together,
        )
        if any(each.fits(capacity) for capacity in self._domain.workers.capacities()):
            return None
        return (
            f"no worker has {each.accelerators} accelerators, {each.cores} cores and "
            f"{each.memory_mb} MiB of memory"
        )

    def take(self) -> None:
        """Carry out the decisions that are due."""
        for item in self._domain.policy.plan(self._domain.now):
            self._decided(item)

    def refresh_later(self, job_id: str) -> None:
        """Tell the placer again of a job whose decision was not carried out.

        The delay keeps a decision that is refused each time from being made at the
        rate of events.
        """
        self._refreshes.append((self._domain.now + domain.RETRY_S, job_id))

    def refresh_due(self) -> None:
        """Tell the placer again of the jobs whose delay is over."""
        due = [
            job_id for due_at, job_id in self._refreshes if due_at <= self._domain.now
        ]
        self._refreshes = [
            entry for entry in self._refreshes if entry[0] > self._domain.now
        ]
        for job_id in due:
            item = self._domain.jobs.job(job_id)
            if item is not None:
                self._domain.policy.job_changed(item, self._domain.now)

    def _decided(self, item: decision.Decision) -> None:
        match item:
            case decision.Place():
                self._place(item)
            case decision.Stop():
                self._stop(item)
            case decision.Reject():
                if self._domain.now >= self._domain.workers.elected_at + REJECT_AFTER_S:
                    self._domain.propose(
                        command.RejectJob(self._domain.at, item.job_id, item.error)
                    )
                else:
                    self.refresh_later(item.job_id)
            case decision.Throttle():
                gang = self._domain.gangs.get(item.job_id)
                if gang is not None and item.task_id in gang.tasks:
                    self._domain.call(
                        gang, gang.tasks[item.task_id], rpc.Method.THROTTLE
                    )
            case decision.QuarantineWorker():
                self._domain.propose(
                    command.QuarantineWorker(self._domain.at, item.worker, item.reason)
                )
            case decision.ReleaseWorker():
                self._domain.propose(
                    command.ReleaseWorker(self._domain.at, item.worker)
                )

    def _stop(self, item: decision.Stop) -> None:
        gang = self._domain.gangs.get(item.job_id)
        if gang is not None and (
            gang.job.spec.repeatable
            or item.reason is not decision.StopReason.DEFRAGMENT
        ):
            self._stops.want(gang, _CAUSES[item.reason])
            self._lifecycle.advance(gang)
        else:
            self.refresh_later(item.job_id)

    def _place(self, item: decision.Place) -> None:
        queued = self._domain.jobs.job(item.job_id)
        known = {name: self._domain.workers.worker(name) for name in item.workers}
        if (
            queued is None
            or queued.state is not model.JobState.QUEUED
            or self._expiry.is_expired(queued.spec.contract)
            or any(worker is None or not worker.is_open for worker in known.values())
        ):
            self.refresh_later(item.job_id)
            return
        capacities = {
            name: worker.announcement.capacity
            for name, worker in known.items()
            if worker is not None
        }
        self._domain.propose(
            command.AllocateGang(
                self._domain.at,
                item.job_id,
                queued.epoch,
                item.workers,
                capacities,
                item.guarantee,
            )
        )
