"""Handling of the workers' reports of their tasks."""

from ..core import announcement
from ..jobs import command
from . import attempt, domain, stop


class TaskReportHandler:
    """Update tasks from the reports of their workers."""

    __slots__ = ("_state", "_stopper")

    def __init__(self, state: domain.DomainState, stopper: stop.GangStopper) -> None:
        self._state = state
        self._stopper = stopper

    def handle_report(
        self, gang: attempt.Gang, task: attempt.Task, report: announcement.TaskReport
    ) -> None:
        """Update a task from a report."""
        if report.state in attempt.STARTED_STATES:
            task.may_have_started = True
        if report.checkpoint and gang.phase is not attempt.Phase.CHECKPOINTING:
            task.checkpoint = report.checkpoint
            task.progress_s = report.progress_s
        if report.usage != task.usage and task.status not in attempt.ENDED_STATUSES:
            task.usage = report.usage
            self._state.policy.task_usage_reported(
                gang.job_id, task.task_id, report.usage, self._state.now
            )
        if report.state is announcement.TaskState.PREPARED:
            if task.status in (attempt.TaskStatus.UNSEEN, attempt.TaskStatus.PREPARING):
                task.status = attempt.TaskStatus.PREPARED
                task.confirmed_at = self._state.now
        elif report.state is announcement.TaskState.RUNNING:
            if task.status in (
                attempt.TaskStatus.UNSEEN,
                attempt.TaskStatus.MISSING,
                attempt.TaskStatus.STARTING,
                attempt.TaskStatus.PREPARED,
            ):
                task.status = attempt.TaskStatus.RUNNING
                task.confirmed_at = self._state.now
        else:
            self.handle_end(gang, task, report)

    def handle_end(
        self, gang: attempt.Gang, task: attempt.Task, report: announcement.TaskReport
    ) -> None:
        """Update a task that has ended, and request the stop of its gang if needed."""
        if report.epoch == gang.epoch and report.state in attempt.ENDED_STATES:
            task.has_reported_end = True
        if task.status in attempt.ENDED_STATUSES:
            return
        if report.state is announcement.TaskState.DONE:
            task.status = attempt.TaskStatus.DONE
        elif report.state is announcement.TaskState.FAILED:
            task.status = attempt.TaskStatus.FAILED
            self.record_failure(gang, task, report.error)
            self._stopper.request_stop(gang, command.StopCause.TASK_FAILED)
        elif report.state is announcement.TaskState.STOPPED:
            task.status = attempt.TaskStatus.STOPPED
            self._stopper.request_stop(gang, command.StopCause.WORKER_LOST)

    def record_failure(
        self, gang: attempt.Gang, task: attempt.Task, message: str
    ) -> None:
        """Report a failed task to the placer and to the jobs machine."""
        self._state.policy.task_failed(gang.job_id, task.worker, self._state.now)
        cmd = command.TaskFailed(
            self._state.wall_time, gang.job_id, gang.epoch, task.worker, message[:200]
        )
        self._state.propose(cmd)
