"""Answers of workers to calls."""

from ..core import announcement, errors
from ..jobs import command
from . import attempt, domain, events, lifecycle, report, rpc, stop

SILENT_RETRY_S = 5.0


class Answers:
    """Take over the ends of calls."""

    __slots__ = ("_domain", "_lifecycle", "_reports", "_stops")

    def __init__(
        self,
        shared: domain.Domain,
        stops: stop.Stops,
        steps: lifecycle.Lifecycle,
        reports: report.Reports,
    ) -> None:
        self._domain = shared
        self._stops = stops
        self._lifecycle = steps
        self._reports = reports

    def take(self, event: events.CallCompleted) -> None:
        """Take over the end of a call."""
        call = event.call
        known = self._domain.workers.worker(call.worker)
        if known is not None:
            answered = event.code is not errors.ErrorCode.PEER_UNREACHABLE
            known.called(answered, self._domain.now)
            if not answered:
                self._domain.close(call.worker, known)
        gang = self._domain.gangs.get(call.job_id)
        if gang is None or gang.epoch != call.gang_epoch:
            return
        task = gang.tasks[call.task_id]
        if call.method is rpc.Method.PREPARE:
            self._prepared(gang, task, event)
        elif call.method is rpc.Method.START:
            self._started(gang, task, event)
        elif call.method is rpc.Method.CHECKPOINT:
            self._saved(gang, task, event)
        elif call.method is rpc.Method.STOP:
            self._stopped(task, event)
        self._lifecycle.advance(gang)

    def _prepared(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        if event.report is not None:
            self._domain.workers.renew(task.task_id, self._domain.now)
            task.confirmed_at = self._domain.now
            if task.status is attempt.TaskStatus.PREPARING:
                task.status = attempt.TaskStatus.PREPARED
        elif gang.phase is attempt.Phase.PREPARING:
            self._start_failed(gang, task, event)

    def _started(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        # An unanswered start may have arrived as late as the call was given up.
        self._domain.workers.renew(task.task_id, self._domain.now)
        if event.report is not None:
            task.confirmed_at = self._domain.now
            if task.status is attempt.TaskStatus.STARTING:
                task.status = attempt.TaskStatus.RUNNING
            self._reports.take_end(gang, task, event.report)
        elif (
            gang.phase is attempt.Phase.STARTING
            and task.status is attempt.TaskStatus.STARTING
        ):
            self._start_failed(gang, task, event)

    def _start_failed(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        # Silence or a restart of the worker says nothing about the job.
        if event.code is errors.ErrorCode.TARGET_FAILED:
            self._reports.failed(gang, task, event.message)
        self._stops.want(gang, command.StopCause.START_FAILED)

    def _saved(
        self, gang: attempt.Gang, task: attempt.Task, event: events.CallCompleted
    ) -> None:
        if gang.phase is not attempt.Phase.CHECKPOINTING:
            return
        if event.report is None or not event.report.checkpoint:
            self._stops.begin(gang)
            return
        task.checkpoint = event.report.checkpoint
        task.progress_s = event.report.progress_s
        task.saved = True

    def _stopped(self, task: attempt.Task, event: events.CallCompleted) -> None:
        report = event.report
        if report is None:
            # Calls to a dead rack must not crowd out others; its leases end anyway.
            silent = self._domain.workers.is_silent(task.worker, self._domain.now)
            task.stop_due_at = self._domain.now + (
                SILENT_RETRY_S if silent else domain.RETRY_S
            )
            if not task.started:
                # It was never told to start, and the higher epoch keeps a late
                # prepare of it from mattering.
                task.status = attempt.TaskStatus.OVER
        elif report.state is announcement.TaskState.DONE:
            task.status = attempt.TaskStatus.DONE
        elif task.status not in attempt.ENDED:
            task.status = attempt.TaskStatus.OVER
