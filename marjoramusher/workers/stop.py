"""Stopping of a gang: grace period, checkpoint, stop of its tasks, release."""

from ..jobs import command, machine
from . import attempt, domain, rpc

CHECKPOINT_TIMEOUT_S = 1.0  # time for a preempted gang to write its checkpoint


class GangStopper:
    """Stop gangs; each step may safely be repeated."""

    __slots__ = ("_state",)

    def __init__(self, state: domain.DomainState) -> None:
        self._state = state

    def request_stop(self, gang: attempt.Gang, cause: command.StopCause) -> None:
        """Request the stop of a gang; the cause of the first request is kept.

        A further request ends the grace period or the checkpoint at once, because the
        gang is no longer complete.
        """
        if gang.stop_cause is None:
            gang.stop_cause = cause
            self._state.gang_ids_to_advance[gang.job_id] = None
        elif gang.phase in (attempt.Phase.GRACE, attempt.Phase.CHECKPOINTING):
            self.begin_stop(gang)

    def handle_committed_stop(self, gang: attempt.Gang) -> None:
        """Begin a committed stop with its grace period, checkpoint or stop calls."""
        pending_stop = self._state.jobs.pending_stop(gang.job_id)
        assert pending_stop is not None
        self._state.gang_ids_to_advance[gang.job_id] = None
        gang.stop_cause = pending_stop.cause
        is_graceful = pending_stop.cause in machine.GRACEFUL_CAUSES
        if (
            is_graceful
            and gang.phase is attempt.Phase.RECONCILING
            and self._state.is_awaiting_reports(gang)
        ):
            return
        if not is_graceful or not gang.all_tasks_in(
            attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
        ):
            self.begin_stop(gang)
        elif gang.phase in (
            attempt.Phase.GRACE,
            attempt.Phase.CHECKPOINTING,
            attempt.Phase.STOPPING,
        ):
            return
        elif pending_stop.until > self._state.wall_time + CHECKPOINT_TIMEOUT_S:
            gang.phase = attempt.Phase.GRACE
            gang.phase_deadline = (
                self._state.now
                + pending_stop.until
                - self._state.wall_time
                - CHECKPOINT_TIMEOUT_S
            )
        else:
            self.begin_checkpoint(gang)

    def begin_checkpoint(self, gang: attempt.Gang) -> None:
        """Call every running task to write a checkpoint."""
        gang.phase = attempt.Phase.CHECKPOINTING
        gang.phase_deadline = self._state.now + CHECKPOINT_TIMEOUT_S
        for task in gang.tasks.values():
            task.checkpoint = ""
            task.has_checkpointed = False
            if task.status is attempt.TaskStatus.RUNNING:
                self._state.call_worker(gang, task, rpc.Method.CHECKPOINT)

    def begin_stop(self, gang: attempt.Gang) -> None:
        """Enter the stopping phase, in which every task is stopped."""
        if gang.phase is not attempt.Phase.STOPPING:
            gang.phase = attempt.Phase.STOPPING
            for task in gang.tasks.values():
                task.next_stop_at = 0.0

    def advance(self, gang: attempt.Gang) -> None:
        """Stop tasks that may still run; propose the gang's end once none can."""
        for task in gang.tasks.values():
            if task.status in attempt.ENDED_STATUSES:
                continue
            if task.may_have_started and self._state.workers.is_lease_expired(
                task.task_id, self._state.now
            ):
                task.status = attempt.TaskStatus.STOPPED
            elif self._state.now >= task.next_stop_at:
                task.next_stop_at = float("inf")
                self._state.call_worker(gang, task, rpc.Method.STOP)
        self._propose_end(gang)

    def _propose_end(self, gang: attempt.Gang) -> None:
        if gang.all_tasks_in(attempt.TaskStatus.DONE):
            self._state.propose_for_gang(
                gang, command.GangEnded(self._state.wall_time, gang.job_id, gang.epoch)
            )
        elif all(task.status in attempt.ENDED_STATUSES for task in gang.tasks.values()):
            checkpoint, progress_s = gang.common_checkpoint()
            crashed, lapsed = (
                tuple(name for name in names if not self._state.is_drained(name))
                for names in gang.workers_without_ends()
            )
            cmd = command.GangStopped(
                self._state.wall_time,
                gang.job_id,
                gang.epoch,
                checkpoint,
                progress_s,
                any(task.may_have_started for task in gang.tasks.values()),
                crashed,
                lapsed,
            )
            self._state.propose_for_gang(gang, cmd)
