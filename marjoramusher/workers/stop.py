"""Stop of a gang: grace, checkpoint, stop of its tasks, release of its workers."""

from ..jobs import command, machine
from . import attempt, domain, rpc

RECLAIM_GRACE_S = 1.0  # checkpoint time of a gang that gives way


class Stops:
    """Stop gangs; every path is safe to take again."""

    __slots__ = ("_domain",)

    def __init__(self, shared: domain.Domain) -> None:
        self._domain = shared

    def want(self, gang: attempt.Gang, cause: command.StopCause) -> None:
        """Note that a gang must stop; the first cause counts."""
        if gang.cause is None:
            gang.cause = cause
            self._domain.active[gang.job_id] = None
        elif gang.phase in (attempt.Phase.GRACE, attempt.Phase.CHECKPOINTING):
            self.begin(gang)  # a gang that is no longer whole has no grace

    def committed(self, gang: attempt.Gang) -> None:
        """Begin the stop that the machine has committed."""
        stopping = self._domain.jobs.pending_stop(gang.job_id)
        assert stopping is not None
        self._domain.active[gang.job_id] = None
        gang.cause = stopping.cause
        graceful = stopping.cause in machine.GRACEFUL_CAUSES
        if (
            graceful
            and gang.phase is attempt.Phase.RECONCILING
            and self._domain.is_unseen(gang)
        ):
            return
        if not graceful or not gang.all_in(
            attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
        ):
            self.begin(gang)
        elif gang.phase in (
            attempt.Phase.GRACE,
            attempt.Phase.CHECKPOINTING,
            attempt.Phase.STOPPING,
        ):
            return
        elif stopping.until > self._domain.at + RECLAIM_GRACE_S:
            gang.phase = attempt.Phase.GRACE
            gang.deadline = (
                self._domain.now + stopping.until - self._domain.at - RECLAIM_GRACE_S
            )
        else:
            self.checkpoint(gang)

    def checkpoint(self, gang: attempt.Gang) -> None:
        """Let every running task write a checkpoint."""
        gang.phase = attempt.Phase.CHECKPOINTING
        gang.deadline = self._domain.now + RECLAIM_GRACE_S
        for task in gang.tasks.values():
            task.checkpoint = ""
            task.saved = False
            if task.status is attempt.TaskStatus.RUNNING:
                self._domain.call(gang, task, rpc.Method.CHECKPOINT)

    def begin(self, gang: attempt.Gang) -> None:
        """Stop every task without further grace."""
        if gang.phase is not attempt.Phase.STOPPING:
            gang.phase = attempt.Phase.STOPPING
            for task in gang.tasks.values():
                task.stop_due_at = 0.0

    def advance(self, gang: attempt.Gang) -> None:
        """Stop what still runs and tell the machine once nothing does."""
        for task in gang.tasks.values():
            if task.status in attempt.ENDED:
                continue
            if task.started and self._domain.workers.lease_over(
                task.task_id, self._domain.now
            ):
                task.status = attempt.TaskStatus.OVER
            elif self._domain.now >= task.stop_due_at:
                task.stop_due_at = float("inf")
                self._domain.call(gang, task, rpc.Method.STOP)
        self._propose_end(gang)

    def _propose_end(self, gang: attempt.Gang) -> None:
        if gang.all_in(attempt.TaskStatus.DONE):
            self._domain.propose_for(
                gang, command.GangEnded(self._domain.at, gang.job_id, gang.epoch)
            )
        elif all(task.status in attempt.ENDED for task in gang.tasks.values()):
            checkpoint, progress_s = gang.common_checkpoint()
            stopped = command.GangStopped(
                self._domain.at,
                gang.job_id,
                gang.epoch,
                checkpoint,
                progress_s,
                any(task.started for task in gang.tasks.values()),
            )
            self._domain.propose_for(gang, stopped)
