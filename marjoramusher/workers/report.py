"""What workers report of their tasks."""

from ..core import announcement
from ..jobs import command
from . import attempt, domain, stop


class Reports:
    """Take over reports of tasks."""

    __slots__ = ("_domain", "_stops")

    def __init__(self, shared: domain.Domain, stops: stop.Stops) -> None:
        self._domain = shared
        self._stops = stops

    def take(
        self, gang: attempt.Gang, task: attempt.Task, report: announcement.TaskReport
    ) -> None:
        """Take over a task as its worker describes it."""
        if report.state in attempt.RAN:
            task.started = True
        if report.checkpoint and gang.phase is not attempt.Phase.CHECKPOINTING:
            task.checkpoint = report.checkpoint
            task.progress_s = report.progress_s
        if report.usage != task.usage and task.status not in attempt.ENDED:
            task.usage = report.usage
            self._domain.policy.task_usage_reported(
                gang.job_id, task.task_id, report.usage, self._domain.now
            )
        if report.state is announcement.TaskState.PREPARED:
            if task.status in (attempt.TaskStatus.UNSEEN, attempt.TaskStatus.PREPARING):
                task.status = attempt.TaskStatus.PREPARED
                task.confirmed_at = self._domain.now
        elif report.state is announcement.TaskState.RUNNING:
            if task.status in (
                attempt.TaskStatus.UNSEEN,
                attempt.TaskStatus.MISSING,
                attempt.TaskStatus.STARTING,
                attempt.TaskStatus.PREPARED,
            ):
                task.status = attempt.TaskStatus.RUNNING
                task.confirmed_at = self._domain.now
        else:
            self.take_end(gang, task, report)

    def take_end(
        self, gang: attempt.Gang, task: attempt.Task, report: announcement.TaskReport
    ) -> None:
        """Take over the end of a task."""
        if task.status in attempt.ENDED:
            return
        if report.state is announcement.TaskState.DONE:
            task.status = attempt.TaskStatus.DONE
        elif report.state is announcement.TaskState.FAILED:
            task.status = attempt.TaskStatus.FAILED
            self.failed(gang, task, report.error)
            self._stops.want(gang, command.StopCause.TASK_FAILED)
        elif report.state is announcement.TaskState.STOPPED:
            task.status = attempt.TaskStatus.OVER
            self._stops.want(gang, command.StopCause.WORKER_LOST)

    def failed(self, gang: attempt.Gang, task: attempt.Task, message: str) -> None:
        """Tell the placer and the machine of a task that failed."""
        self._domain.policy.task_failed(gang.job_id, task.worker, self._domain.now)
        failed = command.TaskFailed(
            self._domain.at, gang.job_id, gang.epoch, task.worker, message[:200]
        )
        self._domain.propose(failed)
