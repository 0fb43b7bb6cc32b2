"""Handling of the results of calls to workers."""

from ..core import announcement, errors
from ..jobs import command
from . import attempt, domain, events, lifecycle, report, rpc, stop

SILENT_WORKER_RETRY_S = 5.0


class CallResultHandler:
    """Update workers, tasks and gangs from the results of calls."""

    __slots__ = ("_lifecycle", "_report_handler", "_state", "_stopper")

    def __init__(
        self,
        state: domain.DomainState,
        stopper: stop.GangStopper,
        gang_lifecycle: lifecycle.Lifecycle,
        report_handler: report.TaskReportHandler,
    ) -> None:
        self._state = state
        self._stopper = stopper
        self._lifecycle = gang_lifecycle
        self._report_handler = report_handler

    def handle(self, event: events.CallCompleted) -> None:
        """Handle the result of a call and advance its gang."""
        call = event.call
        worker = self._state.workers.worker(call.worker)
        if worker is not None:
            is_answered = event.code is not errors.ErrorCode.PEER_UNREACHABLE
            worker.record_call(is_answered, self._state.now)
            if not is_answered:
                self._state.mark_unschedulable(call.worker, worker)
        gang = self._state.gangs.get(call.job_id)
        if gang is None or gang.epoch != call.gang_epoch:
            return
        task = gang.tasks[call.task_id]
        if call.method is rpc.Method.PREPARE:
            self._handle_prepare_result(gang, task, event)
        elif call.method is rpc.Method.START:
            self._handle_start_result(gang, task, event)
        elif call.method is rpc.Method.CHECKPOINT:
            self._handle_checkpoint_result(gang, task, event)
        elif call.method is rpc.Method.STOP:
            self._handle_stop_result(gang, task, event)
        self._lifecycle.advance(gang)

    def _handle_prepare_result(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        if event.report is not None:
            self._state.workers.renew_lease(task.task_id, self._state.now)
            task.confirmed_at = self._state.now
            if task.status is attempt.TaskStatus.PREPARING:
                task.status = attempt.TaskStatus.PREPARED
        elif gang.phase is attempt.Phase.PREPARING:
            self._handle_failed_start(gang, task, event)

    def _handle_start_result(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        # A start without an answer may have arrived at any time until the call timed
        # out, so the lease counts from now.
        self._state.workers.renew_lease(task.task_id, self._state.now)
        if event.report is not None:
            task.confirmed_at = self._state.now
            if task.status is attempt.TaskStatus.STARTING:
                task.status = attempt.TaskStatus.RUNNING
            self._report_handler.handle_end(gang, task, event.report)
        elif (
            gang.phase is attempt.Phase.STARTING
            and task.status is attempt.TaskStatus.STARTING
        ):
            self._handle_failed_start(gang, task, event)

    def _handle_failed_start(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        # A worker that is silent or has restarted does not show a fault of the job.
        if event.code is errors.ErrorCode.TARGET_FAILED:
            self._report_handler.record_failure(gang, task, event.message)
        self._stopper.request_stop(gang, command.StopCause.START_FAILED)

    def _handle_checkpoint_result(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        if gang.phase is not attempt.Phase.CHECKPOINTING:
            return
        if event.report is None or not event.report.checkpoint:
            self._stopper.begin_stop(gang)
            return
        task.checkpoint = event.report.checkpoint
        task.progress_s = event.report.progress_s
        task.has_checkpointed = True

    def _handle_stop_result(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        task_report = event.report
        # A worker that does not hold the task answers with the epoch of the call. It
        # may have been started again.
        if task_report is not None and task_report.epoch == gang.epoch:
            task.has_reported_end = True
        if task_report is None:
            # Retries to a dead rack must not delay calls to other workers. The leases
            # of its tasks expire in any case.
            is_silent = self._state.workers.is_silent(task.worker, self._state.now)
            task.next_stop_at = self._state.now + (
                SILENT_WORKER_RETRY_S if is_silent else domain.RETRY_S
            )
            if not task.may_have_started:
                # No start was ever sent, and the higher epoch of the next attempt
                # fences a late prepare.
                task.status = attempt.TaskStatus.STOPPED
        elif task_report.state is announcement.TaskState.DONE:
            task.status = attempt.TaskStatus.DONE
        elif task.status not in attempt.ENDED_STATUSES:
            task.status = attempt.TaskStatus.STOPPED
