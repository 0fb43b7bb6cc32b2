"""Announcements and silence of workers."""

from ..core import announcement
from ..jobs import command
from . import attempt, domain, events, lifecycle, report, stop, table

MISSING_S = 2.0  # an announcement may have left before a call and arrive after it
MISSING_COUNT = 2  # a single one may have been delayed for longer


class Presence:
    """Take over announcements, renew leases and give up silent workers."""

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

    def announced(self, said: announcement.WorkerAnnouncement) -> None:
        """Take over an announcement and answer it."""
        known, arrival = self._domain.workers.announce(said, self._domain.now)
        seen: set[str] = set()
        touched: dict[str, attempt.Gang] = {}
        renewals: list[announcement.LeaseRenewal] = []
        strays: list[str] = []
        has_strays = False
        for one in said.tasks:
            gang, task = self._held(said.id, one.task_id)
            if gang is None or task is None:
                strays.append(one.task_id)
                has_strays = has_strays or one.state in attempt.LIVE
                continue
            if one.epoch != gang.epoch:
                continue  # its lease is not renewed; the calls carry a higher epoch
            seen.add(one.task_id)
            task.absences = 0
            before = task.status
            self._reports.take(gang, task, one)
            if task.status is not before or gang.phase is not attempt.Phase.RUNNING:
                touched[gang.job_id] = gang
            # A gang that stops soon is not renewed, so that a worker that answers no
            # call is free when its lease is over.
            if gang.cause is None or gang.phase is attempt.Phase.GRACE:
                renewals.append(self._renew(gang, task))
        self._take_absences(said.id, seen, touched, arrival)
        self._known(known, arrival, has_strays)
        self._domain.effects.append(
            events.AnnouncementReply(tuple(renewals), tuple(strays))
        )
        for gang in touched.values():
            self._lifecycle.advance(gang)

    def close_silent(self) -> None:
        """Keep silent workers from new work and give up those that seem dead."""
        for worker, known in self._domain.workers.silences(self._domain.now):
            self._domain.close(worker, known)
            if known.silence is table.Silence.SUSPECTED:
                self._lose(worker, known)

    def _held(
        self, worker: str, task_id: str
    ) -> tuple[attempt.Gang | None, attempt.Task | None]:
        """Return a task that is placed on the worker, and its gang."""
        gang = self._domain.gangs.get(task_id.rpartition(".")[0])
        task = None if gang is None else gang.tasks.get(task_id)
        if task is None or task.worker != worker:
            return None, None
        return gang, task

    def _renew(
        self, gang: attempt.Gang, task: attempt.Task
    ) -> announcement.LeaseRenewal:
        self._domain.workers.renew(task.task_id, self._domain.now)
        return announcement.LeaseRenewal(task.task_id, gang.epoch, table.TASK_LEASE_S)

    def _take_absences(
        self,
        worker: str,
        seen: set[str],
        touched: dict[str, attempt.Gang],
        arrival: table.Arrival,
    ) -> None:
        restarted = arrival is table.Arrival.RESTARTED
        for holding in self._domain.jobs.ledger.holdings(worker):
            gang = self._domain.gangs.get(holding.job_id)
            if gang is not None and holding.task_id not in seen:
                self._take_absence(gang, gang.tasks[holding.task_id], restarted)
                if gang.cause is not None or gang.phase is attempt.Phase.RECONCILING:
                    touched[holding.job_id] = gang

    def _take_absence(
        self, gang: attempt.Gang, task: attempt.Task, restarted: bool
    ) -> None:
        """Note that an announcement does not name a task of its worker."""
        if task.status in attempt.ENDED or gang.phase is attempt.Phase.STOPPING:
            return
        if task.status is attempt.TaskStatus.UNSEEN:
            task.status = attempt.TaskStatus.MISSING
            return
        if task.status not in (attempt.TaskStatus.PREPARED, attempt.TaskStatus.RUNNING):
            return
        task.absences += 1
        late = self._domain.now <= task.confirmed_at + MISSING_S
        if restarted or (task.absences >= MISSING_COUNT and not late):
            task.status = attempt.TaskStatus.MISSING
            self._stops.want(gang, command.StopCause.WORKER_LOST)

    def _known(
        self, known: table.Worker, arrival: table.Arrival, has_strays: bool
    ) -> None:
        """Tell the placer of a worker that can take work.

        A worker is held back while it runs what the machine does not know, or does
        not answer calls.
        """
        if known.is_open and arrival is table.Arrival.KNOWN:
            return
        if not known.is_open and (
            has_strays or self._domain.now < known.withheld_until
        ):
            return
        known.is_open = known.is_placed = True
        self._domain.policy.worker_up(known.announcement, self._domain.now)

    def _lose(self, worker: str, known: table.Worker) -> None:
        """Stop the gangs of a worker that is given up."""
        if known.is_placed:
            known.is_placed = False
            self._domain.policy.worker_down(worker, self._domain.now)
        for holding in self._domain.jobs.ledger.holdings(worker):
            gang = self._domain.gangs.get(holding.job_id)
            if (
                gang is not None
                and gang.tasks[holding.task_id].status not in attempt.ENDED
            ):
                self._stops.want(gang, command.StopCause.WORKER_LOST)
