"""Handling of worker announcements and of workers that fall silent."""

from ..core import announcement
from ..jobs import command
from . import attempt, domain, events, lifecycle, report, stop, table

# An announcement may be sent before a call and arrive after it, so one that arrives
# within this time does not show that the task is missing.
MISSING_DELAY_S = 2.0
MIN_MISSED_REPORTS = 2  # a single announcement may be delayed for longer
SETTLEMENT_RETRY_S = 2.0  # longer than a proposal takes


class PresenceTracker:
    """Handle announcements, renew task leases and detect silent workers."""

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

    def handle_announcement(
        self, worker_announcement: announcement.WorkerAnnouncement
    ) -> None:
        """Handle an announcement and add its reply to the effects."""
        worker, change = self._state.workers.record_announcement(
            worker_announcement, self._state.now
        )
        reported_ids: set[str] = set()
        changed_gangs: dict[str, attempt.Gang] = {}
        renewals: list[announcement.LeaseRenewal] = []
        unknown_task_ids: list[str] = []
        runs_unknown_tasks = False
        for task_report in worker_announcement.tasks:
            gang, task = self._find_task(worker_announcement.id, task_report.task_id)
            if gang is None or task is None:
                unknown_task_ids.append(task_report.task_id)
                runs_unknown_tasks = (
                    runs_unknown_tasks or task_report.state in attempt.LIVE_STATES
                )
                continue
            if task_report.epoch != gang.epoch:
                # The lease of another epoch is not renewed. Calls of the current
                # attempt fence that task by their higher epoch.
                continue
            reported_ids.add(task_report.task_id)
            task.missed_reports = 0
            previous_status = task.status
            self._report_handler.handle_report(gang, task, task_report)
            if (
                task.status is not previous_status
                or gang.phase is not attempt.Phase.RUNNING
            ):
                changed_gangs[gang.job_id] = gang
            # The leases of a gang that is about to stop are not renewed. A worker that
            # answers no calls is then free as soon as they expire.
            if gang.stop_cause is None or gang.phase is attempt.Phase.GRACE:
                renewals.append(self._renew(gang, task))
        self._handle_missing_tasks(
            worker_announcement, reported_ids, changed_gangs, change
        )
        self._propose_heard(worker)
        self._update_placer(worker, change, runs_unknown_tasks)
        self._state.effects.append(
            events.AnnouncementReply(tuple(renewals), tuple(unknown_task_ids))
        )
        for gang in changed_gangs.values():
            self._lifecycle.advance(gang)

    def handle_silent_workers(self) -> None:
        """Exclude silent workers from placement and stop gangs on suspected ones."""
        for worker_id, worker in self._state.workers.find_newly_silent(self._state.now):
            self._state.mark_unschedulable(worker_id, worker)
            if worker.silence is table.Silence.SUSPECTED:
                self._handle_lost_worker(worker_id, worker)

    def _find_task(
        self, worker_id: str, task_id: str
    ) -> tuple[attempt.Gang | None, attempt.Task | None]:
        """Return the gang and the task if the task is placed on the worker."""
        gang = self._state.gangs.get(task_id.rpartition(".")[0])
        task = None if gang is None else gang.tasks.get(task_id)
        if task is None or task.worker != worker_id:
            return None, None
        return gang, task

    def _renew(
        self, gang: attempt.Gang, task: attempt.Task
    ) -> announcement.LeaseRenewal:
        self._state.workers.renew_lease(task.task_id, self._state.now)
        return announcement.LeaseRenewal(task.task_id, gang.epoch, table.TASK_LEASE_S)

    def _propose_heard(self, worker: table.Worker) -> None:
        """Settle the possible crashes of a worker; repeated until it is committed."""
        heard = worker.announcement
        if (
            self._state.jobs.has_lapsed(heard.id)
            and self._state.now >= worker.next_settlement_at
        ):
            worker.next_settlement_at = self._state.now + SETTLEMENT_RETRY_S
            self._state.propose(
                command.WorkerHeard(
                    self._state.wall_time,
                    heard.id,
                    heard.incarnation,
                    self._state.is_drained(heard.id),
                )
            )

    def _handle_missing_tasks(
        self,
        worker_announcement: announcement.WorkerAnnouncement,
        reported_ids: set[str],
        changed_gangs: dict[str, attempt.Gang],
        change: table.AnnouncementChange,
    ) -> None:
        has_restarted = change is table.AnnouncementChange.RESTARTED
        worker_id = worker_announcement.id
        for holding in self._state.jobs.ledger.holdings(worker_id):
            gang = self._state.gangs.get(holding.job_id)
            if gang is not None and holding.task_id not in reported_ids:
                task = gang.tasks[holding.task_id]
                # The table does not know the incarnations that former leaders saw.
                current = self._state.jobs.attempt(holding.job_id)
                heard = worker_announcement.incarnation
                if current is not None and (
                    heard > current.incarnations.get(worker_id, heard)
                ):
                    task.has_lost_worker = True
                self._handle_missing_task(gang, task, has_restarted)
                if (
                    gang.stop_cause is not None
                    or gang.phase is attempt.Phase.RECONCILING
                ):
                    changed_gangs[holding.job_id] = gang

    def _handle_missing_task(
        self, gang: attempt.Gang, task: attempt.Task, has_restarted: bool
    ) -> None:
        """Handle an announcement that omits a task placed on its worker."""
        if (
            task.status in attempt.ENDED_STATUSES
            or gang.phase is attempt.Phase.STOPPING
        ):
            return
        if task.status is attempt.TaskStatus.UNSEEN:
            task.status = attempt.TaskStatus.MISSING
            return
        if task.status not in (attempt.TaskStatus.PREPARED, attempt.TaskStatus.RUNNING):
            return
        task.missed_reports += 1
        may_predate_call = self._state.now <= task.confirmed_at + MISSING_DELAY_S
        if has_restarted or (
            task.missed_reports >= MIN_MISSED_REPORTS and not may_predate_call
        ):
            task.status = attempt.TaskStatus.MISSING
            self._stopper.request_stop(gang, command.StopCause.WORKER_LOST)

    def _update_placer(
        self,
        worker: table.Worker,
        change: table.AnnouncementChange,
        runs_unknown_tasks: bool,
    ) -> None:
        """Report a schedulable worker to the placer.

        A worker is not schedulable while it runs tasks that the jobs machine does not
        know, or while it is in backoff after unanswered calls.
        """
        if worker.is_schedulable and change is table.AnnouncementChange.KNOWN:
            return
        if not worker.is_schedulable and (
            runs_unknown_tasks or self._state.now < worker.backoff_until
        ):
            return
        worker.is_schedulable = worker.is_known_to_placer = True
        self._state.policy.worker_up(worker.announcement, self._state.now)

    def _handle_lost_worker(self, worker_id: str, worker: table.Worker) -> None:
        """Remove a lost worker from the placer and stop its gangs."""
        if worker.is_known_to_placer:
            worker.is_known_to_placer = False
            self._state.policy.worker_down(worker_id, self._state.now)
        for holding in self._state.jobs.ledger.holdings(worker_id):
            gang = self._state.gangs.get(holding.job_id)
            if (
                gang is not None
                and gang.tasks[holding.task_id].status not in attempt.ENDED_STATUSES
            ):
                self._stopper.request_stop(gang, command.StopCause.WORKER_LOST)
