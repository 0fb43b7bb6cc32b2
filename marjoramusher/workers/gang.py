"""Decide the steps of every gang's life; pure.

The leader of a failure domain feeds events and carries out the effects. Nothing here
waits: a step that can't be taken yet is taken by a later event or tick.
"""

import enum
from collections.abc import Iterable
from typing import TypeAlias

import msgspec

from ..core import announcement, errors, record, resource
from ..core import job as model
from ..jobs import command, machine
from ..placement import decision, placer
from . import table

RECLAIM_GRACE_S = 1.0  # checkpoint time of a gang that gives way
MISSING_S = 2.0  # an announcement may have left before a call and arrive after it
MISSING_COUNT = 2  # a single one may have been delayed for longer
RETRY_S = 0.5
SILENT_RETRY_S = 5.0
SETTLE_S = 1.5  # every live worker announces itself once within it
RECOVERY_S = 60.0  # far above a lease and the difference of two clocks
REJECT_AFTER_S = 10.0  # a job may only seem too large while workers are coming back


class Phase(enum.Enum):
    """Where a gang stands."""

    RECONCILING = "reconciling"
    PREPARING = "preparing"
    STARTING = "starting"
    RUNNING = "running"
    GRACE = "grace"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


class TaskStatus(enum.Enum):
    """What the leader knows of a task.

    ``UNSEEN`` is a task of an earlier leader that its worker has not reported yet, and
    ``MISSING`` one that its worker does not hold.
    """

    UNSEEN = "unseen"
    MISSING = "missing"
    PREPARING = "preparing"
    PREPARED = "prepared"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    OVER = "over"


ENDED = frozenset({TaskStatus.DONE, TaskStatus.FAILED, TaskStatus.OVER})


LIVE = (announcement.TaskState.PREPARED, announcement.TaskState.RUNNING)


RAN = (
    announcement.TaskState.RUNNING,
    announcement.TaskState.DONE,
    announcement.TaskState.FAILED,
)
"""States that show a start; a stopped task may only have been prepared."""


class Method(enum.Enum):
    """Calls that a worker serves."""

    PREPARE = "prepare"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a call to a worker.

    Parameters
    ----------
    epoch : int
        Fencing epoch. A stop carries the one after the task's, so that a late prepare
        or start of the task is refused.
    checkpoint : str
        Name to write for a checkpoint, or to resume from for a prepare.
    """

    epoch: int
    lease_s: float = table.TASK_LEASE_S
    job_id: str = ""
    index: int = 0
    gang_size: int = 1
    payload: str = ""
    checkpoint: str = ""
    progress_s: float = 0.0
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class Call(msgspec.Struct, frozen=True):
    """Effect: call a worker."""

    job_id: str
    task_id: str
    gang_epoch: int
    worker: str
    url: str
    method: Method
    order: Order


class Propose(msgspec.Struct, frozen=True):
    """Effect: propose a command to the domain group."""

    command: command.Command


class Reply(msgspec.Struct, frozen=True):
    """Effect: answer the announcement that this event was."""

    renewals: tuple[announcement.LeaseRenewal, ...]
    stop: tuple[str, ...]


Effect: TypeAlias = Call | Propose | Reply


class Announced(msgspec.Struct, frozen=True):
    """Event: a worker has announced itself."""

    announcement: announcement.WorkerAnnouncement


class Answered(msgspec.Struct, frozen=True):
    """Event: a call has ended.

    Parameters
    ----------
    report : TaskReport or None
        The task after the call; ``None`` if the call failed.
    code : ErrorCode or None
        ``stale_epoch`` if the worker does not hold the task at this epoch,
        ``target_failed`` if it refuses for another reason, ``peer_unreachable`` if it
        did not answer.
    """

    call: Call
    report: announcement.TaskReport | None = None
    code: errors.ErrorCode | None = None
    message: str = ""


class Proposed(msgspec.Struct, frozen=True):
    """Event: a proposal has ended; `error` tells why it was not accepted."""

    command: command.Command
    error: errors.ErrorBody | None = None


class Applied(msgspec.Struct, frozen=True):
    """Event: the jobs machine has applied commands."""


class Configured(msgspec.Struct, frozen=True):
    """Event: a new revision of the operators' records is in force."""

    configuration: record.Configuration


class Ticked(msgspec.Struct, frozen=True):
    """Event: time has passed."""


Event: TypeAlias = Announced | Answered | Proposed | Applied | Configured | Ticked


class Task:
    """One task of a gang."""

    __slots__ = (
        "absences",
        "checkpoint",
        "confirmed_at",
        "index",
        "progress_s",
        "saved",
        "started",
        "status",
        "stop_due_at",
        "task_id",
        "usage",
        "worker",
    )

    def __init__(self, placement: model.TaskPlacement, index: int) -> None:
        self.task_id = placement.task_id
        self.worker = placement.worker
        self.index = index
        self.status = TaskStatus.PREPARING
        self.started = False  # a start may have reached the worker
        self.confirmed_at = 0.0
        self.absences = 0  # announcements in a row that do not name the task
        self.checkpoint = ""
        self.progress_s = 0.0
        self.saved = False  # has answered the checkpoint of this stop
        self.usage = None
        self.stop_due_at = 0.0  # infinite while a stop is under way


class Gang:
    """One attempt of a job at one epoch."""

    __slots__ = (
        "cause",
        "deadline",
        "epoch",
        "job",
        "phase",
        "proposed",
        "propose_due_at",
        "tasks",
    )

    def __init__(self, item: model.Job, phase: Phase) -> None:
        assert item.allocation is not None
        self.job = item
        self.epoch = item.epoch
        self.phase = phase
        self.tasks = {
            placement.task_id: Task(placement, index)
            for index, placement in enumerate(item.allocation.tasks)
        }
        self.cause: command.StopCause | None = None  # wanted, maybe not committed
        self.deadline = 0.0  # of the grace period or the checkpoint
        self.proposed = False  # a proposal is under way
        self.propose_due_at = 0.0

    @property
    def job_id(self) -> str:
        """Return the id of the job."""
        return self.job.job_id

    def all_in(self, *statuses: TaskStatus) -> bool:
        """Tell whether every task has one of the statuses."""
        return all(task.status in statuses for task in self.tasks.values())


_CAUSES = {
    decision.StopReason.RECLAIM: command.StopCause.RECLAIM,
    decision.StopReason.OVERUSE: command.StopCause.OVERUSE,
    decision.StopReason.DEFRAGMENT: command.StopCause.DEFRAGMENT,
    decision.StopReason.WORKER_LOST: command.StopCause.WORKER_LOST,
    decision.StopReason.CONTRACT_EXPIRED: command.StopCause.CONTRACT_EXPIRED,
}


class GangCore:
    """Drive the gangs of one failure domain during one leadership.

    Parameters
    ----------
    jobs : JobsMachine
        The local machine, which holds all that was committed before the election.
    policy : Placer
        A placer without state; the core tells it all jobs and workers.
    configuration : Configuration
        Operators' records in force.
    now : float
        Instant of the election on the monotonic clock.
    at : float
        The same instant in seconds since the Unix epoch.
    """

    def __init__(
        self,
        jobs: machine.JobsMachine,
        policy: placer.Placer,
        configuration: record.Configuration,
        now: float,
        at: float,
    ) -> None:
        self._now = now
        self._at = at
        self._jobs = jobs
        self._placer = policy
        self._configuration = configuration
        self._table = table.WorkerTable(now)
        self._gangs: dict[str, Gang] = {}
        self._active: dict[str, None] = {}  # gangs that a tick must look at
        self._effects: list[Effect] = []
        self._retries: list[tuple[float, command.Command]] = []
        self._refreshes: list[tuple[float, str]] = []
        self._expiring: dict[str, float] = {}
        self._gate_open = False
        self._recovered_at = jobs.recovered_at
        # Gangs of lost commands may run anywhere, also on workers that are silent.
        self._is_lossy = (
            jobs.recovered_at is not None and abs(at - jobs.recovered_at) < RECOVERY_S
        )
        self._awaited = set(jobs.ledger.workers())
        jobs.drain_changes()
        policy.configure(configuration, now)
        for worker in jobs.quarantines:
            policy.worker_quarantined(worker, now)
        for item in jobs.jobs():
            policy.job_changed(item, now)
            if item.allocation is not None:
                self._inherit(item)

    @property
    def workers(self) -> table.WorkerTable:
        """Return the workers that have announced themselves."""
        return self._table

    @property
    def gangs(self) -> Iterable[Gang]:
        """Return the gangs that hold workers."""
        return self._gangs.values()

    @property
    def is_placing(self) -> bool:
        """Tell whether reconciliation with the workers is complete."""
        return self._gate_open

    @property
    def is_busy(self) -> bool:
        """Tell whether a step may be due soon without a further event."""
        return bool(
            self._active
            or self._retries
            or self._refreshes
            or not self._gate_open
            or self._jobs.queued_count
        )

    @property
    def is_outdated(self) -> bool:
        """Tell whether a recovery with loss has made the gangs unknown.

        The caller must go on with a new core, which waits until no task of a lost
        command can run.
        """
        return self._jobs.recovered_at != self._recovered_at

    def shortfalls(self, now: float) -> Iterable[placer.Shortfall]:
        """Return the guarantees that can't be honoured."""
        return self._placer.shortfalls(now) if self._gate_open else ()

    def infeasible(self, shape: resource.GangShape) -> str | None:
        """Return why a shape can never fit the known workers, or None."""
        if self._now < self._table.elected_at + REJECT_AFTER_S or not len(self._table):
            return None  # more workers may still announce themselves
        together = 1
        if shape.adjacency is resource.Adjacency.WORKER:
            together = shape.tasks
        each = resource.Resources(
            shape.each.accelerators * together,
            shape.each.cores * together,
            shape.each.memory_mb * together,
        )
        if any(each.fits(capacity) for capacity in self._table.capacities()):
            return None
        return (
            f"no worker has {each.accelerators} accelerators, {each.cores} cores and "
            f"{each.memory_mb} MiB of memory"
        )

    def step(self, event: Event, now: float, at: float) -> list[Effect]:
        """Take one event.

        Parameters
        ----------
        event : Event
            What has happened.
        now : float
            Seconds of the monotonic clock.
        at : float
            Seconds since the Unix epoch, for commands.

        Returns
        -------
        list of Effect
            What the caller must do, in order.
        """
        self._now = now
        self._at = at
        self._effects = []
        # Committed changes come first, so that a cancelled job is not started by the
        # answer that completes its preparation.
        self._take_changes()
        match event:
            case Announced():
                self._announced(event.announcement)
            case Answered():
                self._answered(event)
            case Proposed():
                self._proposed(event)
            case Applied():
                pass
            case Configured():
                self._configuration = event.configuration
                self._placer.configure(event.configuration, now)
            case Ticked():
                self._ticked()
        return self._effects

    # Committed changes.

    def _take_changes(self) -> None:
        for job_id in self._jobs.drain_changes():
            item = self._jobs.job(job_id)
            if item is None:
                self._drop(job_id)
                continue
            self._placer.job_changed(item, self._now)
            if item.allocation is None:
                self._drop(job_id)
            else:
                self._holding_changed(item)

    def _holding_changed(self, item: model.Job) -> None:
        gang = self._gangs.get(item.job_id)
        if gang is not None and gang.epoch != item.epoch:
            self._drop(item.job_id)
            gang = None
        if gang is None:
            gang = Gang(item, Phase.PREPARING)
            self._gangs[item.job_id] = gang
            self._active[item.job_id] = None
            if item.state is model.JobState.ALLOCATED:
                self._prepare(gang)
        gang.job = item
        if item.state is model.JobState.RUNNING and gang.phase is Phase.STARTING:
            gang.phase = Phase.RUNNING
        elif item.state is model.JobState.STOPPING:
            self._stop_committed(gang)
        self._advance(gang)

    def _inherit(self, item: model.Job) -> None:
        gang = Gang(item, Phase.RECONCILING)
        for task in gang.tasks.values():
            task.status = TaskStatus.UNSEEN
            task.started = True
        self._gangs[item.job_id] = gang
        self._active[item.job_id] = None

    def _drop(self, job_id: str) -> None:
        gang = self._gangs.pop(job_id, None)
        self._active.pop(job_id, None)
        if gang is not None:
            for task_id in gang.tasks:
                self._table.forget(task_id)

    # Start of a gang.

    def _prepare(self, gang: Gang) -> None:
        for task in gang.tasks.values():
            self._call(gang, task, Method.PREPARE)

    def _start(self, gang: Gang) -> None:
        gang.phase = Phase.STARTING
        for task in gang.tasks.values():
            task.status = TaskStatus.STARTING
            task.started = True
            self._call(gang, task, Method.START)

    def _answered(self, event: Answered) -> None:
        call = event.call
        known = self._table.worker(call.worker)
        if known is not None:
            answered = event.code is not errors.ErrorCode.PEER_UNREACHABLE
            known.called(answered, self._now)
            if not answered:
                self._close(call.worker, known)
        gang = self._gangs.get(call.job_id)
        if gang is None or gang.epoch != call.gang_epoch:
            return
        task = gang.tasks[call.task_id]
        if call.method is Method.PREPARE:
            self._prepare_answered(gang, task, event)
        elif call.method is Method.START:
            self._start_answered(gang, task, event)
        elif call.method is Method.CHECKPOINT:
            self._checkpoint_answered(gang, task, event)
        elif call.method is Method.STOP:
            self._stop_answered(task, event)
        self._advance(gang)

    def _prepare_answered(self, gang: Gang, task: Task, event: Answered) -> None:
        if event.report is not None:
            self._table.renew(task.task_id, self._now)
            task.confirmed_at = self._now
            if task.status is TaskStatus.PREPARING:
                task.status = TaskStatus.PREPARED
        elif gang.phase is Phase.PREPARING:
            self._start_failed(gang, task, event)

    def _start_answered(self, gang: Gang, task: Task, event: Answered) -> None:
        # An unanswered start may have arrived as late as the call was given up.
        self._table.renew(task.task_id, self._now)
        if event.report is not None:
            task.confirmed_at = self._now
            if task.status is TaskStatus.STARTING:
                task.status = TaskStatus.RUNNING
            self._take_state(gang, task, event.report)
        elif gang.phase is Phase.STARTING and task.status is TaskStatus.STARTING:
            self._start_failed(gang, task, event)

    def _start_failed(self, gang: Gang, task: Task, event: Answered) -> None:
        # Silence or a restart of the worker says nothing about the job.
        if event.code is errors.ErrorCode.TARGET_FAILED:
            self._task_failed(gang, task, event.message)
        self._want_stop(gang, command.StopCause.START_FAILED)

    def _task_failed(self, gang: Gang, task: Task, message: str) -> None:
        self._placer.task_failed(gang.job_id, task.worker, self._now)
        failed = command.TaskFailed(
            self._at, gang.job_id, gang.epoch, task.worker, message[:200]
        )
        self._propose(failed)

    # Reports.

    def _announced(self, said: announcement.WorkerAnnouncement) -> None:
        known, arrival = self._table.announce(said, self._now)
        self._awaited.discard(said.id)
        seen: set[str] = set()
        touched: dict[str, Gang] = {}
        renewals: list[announcement.LeaseRenewal] = []
        stop: list[str] = []
        has_strays = False
        for report in said.tasks:
            job_id = report.task_id.rpartition(".")[0]
            gang = self._gangs.get(job_id)
            task = None if gang is None else gang.tasks.get(report.task_id)
            if gang is None or task is None or task.worker != said.id:
                stop.append(report.task_id)
                has_strays = has_strays or report.state in LIVE
                continue
            if report.epoch != gang.epoch:
                continue  # its lease is not renewed; the calls carry a higher epoch
            seen.add(report.task_id)
            task.absences = 0
            before = task.status
            self._take_report(gang, task, report)
            if task.status is not before or gang.phase is not Phase.RUNNING:
                touched[job_id] = gang
            # A gang that stops soon is not renewed, so that a worker that answers no
            # call is free when its lease is over.
            if gang.cause is None or gang.phase is Phase.GRACE:
                self._table.renew(task.task_id, self._now)
                renewals.append(
                    announcement.LeaseRenewal(
                        task.task_id, gang.epoch, table.TASK_LEASE_S
                    )
                )
        restarted = arrival is table.Arrival.RESTARTED
        for holding in self._jobs.ledger.holdings(said.id):
            gang = self._gangs.get(holding.job_id)
            if gang is not None and holding.task_id not in seen:
                self._take_absence(gang, gang.tasks[holding.task_id], restarted)
                if gang.cause is not None or gang.phase is Phase.RECONCILING:
                    touched[holding.job_id] = gang
        self._worker_known(known, arrival, has_strays)
        self._effects.append(Reply(tuple(renewals), tuple(stop)))
        for gang in touched.values():
            self._advance(gang)

    def _worker_known(
        self, known: table.Worker, arrival: table.Arrival, has_strays: bool
    ) -> None:
        """Tell the placer of a worker that can take work.

        A worker is held back while it runs what the machine does not know, or does
        not answer calls.
        """
        if known.is_open and arrival is table.Arrival.KNOWN:
            return
        if not known.is_open and (has_strays or self._now < known.withheld_until):
            return
        known.is_open = known.is_placed = True
        self._placer.worker_up(known.announcement, self._now)

    def _close(self, worker: str, known: table.Worker) -> None:
        if known.is_open:
            known.is_open = False
            self._placer.worker_silent(worker, self._now)

    def _take_report(
        self, gang: Gang, task: Task, report: announcement.TaskReport
    ) -> None:
        if report.state in RAN:
            task.started = True
        if report.checkpoint and gang.phase is not Phase.CHECKPOINTING:
            task.checkpoint = report.checkpoint
            task.progress_s = report.progress_s
        if report.usage != task.usage and task.status not in ENDED:
            task.usage = report.usage
            self._placer.task_used(gang.job_id, task.task_id, report.usage, self._now)
        if report.state is announcement.TaskState.PREPARED:
            if task.status in (TaskStatus.UNSEEN, TaskStatus.PREPARING):
                task.status = TaskStatus.PREPARED
                task.confirmed_at = self._now
        elif report.state is announcement.TaskState.RUNNING:
            if task.status in (
                TaskStatus.UNSEEN,
                TaskStatus.MISSING,
                TaskStatus.STARTING,
                TaskStatus.PREPARED,
            ):
                task.status = TaskStatus.RUNNING
                task.confirmed_at = self._now
        else:
            self._take_state(gang, task, report)

    def _take_state(
        self, gang: Gang, task: Task, report: announcement.TaskReport
    ) -> None:
        """Take over the end of a task."""
        if task.status in ENDED:
            return
        if report.state is announcement.TaskState.DONE:
            task.status = TaskStatus.DONE
        elif report.state is announcement.TaskState.FAILED:
            task.status = TaskStatus.FAILED
            self._task_failed(gang, task, report.error)
            self._want_stop(gang, command.StopCause.TASK_FAILED)
        elif report.state is announcement.TaskState.STOPPED:
            task.status = TaskStatus.OVER
            self._want_stop(gang, command.StopCause.WORKER_LOST)

    def _take_absence(self, gang: Gang, task: Task, restarted: bool) -> None:
        """Note that an announcement does not name a task of its worker."""
        if task.status in ENDED or gang.phase is Phase.STOPPING:
            return
        if task.status is TaskStatus.UNSEEN:
            task.status = TaskStatus.MISSING
            return
        if task.status not in (TaskStatus.PREPARED, TaskStatus.RUNNING):
            return
        task.absences += 1
        late = self._now <= task.confirmed_at + MISSING_S
        if restarted or (task.absences >= MISSING_COUNT and not late):
            task.status = TaskStatus.MISSING
            self._want_stop(gang, command.StopCause.WORKER_LOST)

    # Stop of a gang.

    def _want_stop(self, gang: Gang, cause: command.StopCause) -> None:
        if gang.cause is None:
            gang.cause = cause
            self._active[gang.job_id] = None
        elif gang.phase in (Phase.GRACE, Phase.CHECKPOINTING):
            self._stop(gang)  # a gang that is no longer whole has no grace

    def _stop_committed(self, gang: Gang) -> None:
        stopping = self._jobs.stopping(gang.job_id)
        assert stopping is not None
        self._active[gang.job_id] = None
        gang.cause = stopping.cause
        graceful = stopping.cause in machine.GRACEFUL
        if graceful and gang.phase is Phase.RECONCILING and self._is_unseen(gang):
            return
        if not graceful or not gang.all_in(TaskStatus.RUNNING, TaskStatus.DONE):
            self._stop(gang)
        elif gang.phase in (Phase.GRACE, Phase.CHECKPOINTING, Phase.STOPPING):
            return
        elif stopping.until > self._at + RECLAIM_GRACE_S:
            gang.phase = Phase.GRACE
            gang.deadline = self._now + stopping.until - self._at - RECLAIM_GRACE_S
        else:
            self._checkpoint(gang)

    def _checkpoint(self, gang: Gang) -> None:
        gang.phase = Phase.CHECKPOINTING
        gang.deadline = self._now + RECLAIM_GRACE_S
        for task in gang.tasks.values():
            task.checkpoint = ""
            task.saved = False
            if task.status is TaskStatus.RUNNING:
                self._call(gang, task, Method.CHECKPOINT)

    def _checkpoint_answered(self, gang: Gang, task: Task, event: Answered) -> None:
        if gang.phase is not Phase.CHECKPOINTING:
            return
        if event.report is None or not event.report.checkpoint:
            self._stop(gang)
            return
        task.checkpoint = event.report.checkpoint
        task.progress_s = event.report.progress_s
        task.saved = True

    def _stop(self, gang: Gang) -> None:
        if gang.phase is not Phase.STOPPING:
            gang.phase = Phase.STOPPING
            for task in gang.tasks.values():
                task.stop_due_at = 0.0

    def _stop_answered(self, task: Task, event: Answered) -> None:
        report = event.report
        if report is None:
            # Calls to a dead rack must not crowd out others; its leases end anyway.
            silent = self._table.is_silent(task.worker, self._now)
            task.stop_due_at = self._now + (SILENT_RETRY_S if silent else RETRY_S)
            if not task.started:
                # It was never told to start, and the higher epoch keeps a late
                # prepare of it from mattering.
                task.status = TaskStatus.OVER
        elif report.state is announcement.TaskState.DONE:
            task.status = TaskStatus.DONE
        elif task.status not in ENDED:
            task.status = TaskStatus.OVER

    # Progress of a gang; every path is safe to take again.

    def _advance(self, gang: Gang) -> None:
        if self._gangs.get(gang.job_id) is not gang:
            return
        if gang.phase is Phase.RECONCILING:
            self._reconcile(gang)
        committed = gang.job.state is model.JobState.STOPPING
        if gang.all_in(TaskStatus.DONE):
            if gang.phase is not Phase.STARTING or committed:
                self._propose_for(
                    gang, command.GangEnded(self._at, gang.job_id, gang.epoch)
                )
                return
        elif gang.cause is not None and not committed:
            self._propose_for(
                gang,
                command.GangStopping(self._at, gang.job_id, gang.epoch, gang.cause),
            )
            return
        match gang.phase:
            case Phase.PREPARING if gang.all_in(TaskStatus.PREPARED):
                self._start(gang)
            case Phase.STARTING if gang.all_in(TaskStatus.RUNNING, TaskStatus.DONE):
                self._propose_for(
                    gang, command.GangStarted(self._at, gang.job_id, gang.epoch)
                )
            case Phase.RUNNING:
                self._active.pop(gang.job_id, None)
            case Phase.GRACE if self._now >= gang.deadline:
                self._checkpoint(gang)
            case Phase.CHECKPOINTING:
                if self._now >= gang.deadline or all(
                    task.saved or task.status is not TaskStatus.RUNNING
                    for task in gang.tasks.values()
                ):
                    self._stop(gang)
                    self._advance_stop(gang)
            case Phase.STOPPING:
                self._advance_stop(gang)

    def _reconcile(self, gang: Gang) -> None:
        if gang.job.state is model.JobState.STOPPING:
            self._stop_committed(gang)
            return
        if self._is_unseen(gang):
            return
        if gang.cause is None and gang.all_in(TaskStatus.RUNNING, TaskStatus.DONE):
            running = gang.job.state is model.JobState.RUNNING
            gang.phase = Phase.RUNNING if running else Phase.STARTING
        elif gang.job.state is model.JobState.RUNNING:
            self._want_stop(gang, command.StopCause.WORKER_LOST)
        else:
            self._want_stop(gang, command.StopCause.START_FAILED)

    def _is_unseen(self, gang: Gang) -> bool:
        """Tell whether a worker of an inherited gang may still report it."""
        return any(
            task.status is TaskStatus.UNSEEN
            and not self._table.is_silent(task.worker, self._now)
            for task in gang.tasks.values()
        )

    def _advance_stop(self, gang: Gang) -> None:
        for task in gang.tasks.values():
            if task.status in ENDED:
                continue
            if task.started and self._table.lease_over(task.task_id, self._now):
                task.status = TaskStatus.OVER
            elif self._now >= task.stop_due_at:
                task.stop_due_at = float("inf")
                self._call(gang, task, Method.STOP)
        if gang.all_in(TaskStatus.DONE):
            self._propose_for(
                gang, command.GangEnded(self._at, gang.job_id, gang.epoch)
            )
        elif all(task.status in ENDED for task in gang.tasks.values()):
            checkpoint, progress_s = _common_checkpoint(gang)
            stopped = command.GangStopped(
                self._at,
                gang.job_id,
                gang.epoch,
                checkpoint,
                progress_s,
                any(task.started for task in gang.tasks.values()),
            )
            self._propose_for(gang, stopped)

    # Proposals and calls.

    def _propose_for(self, gang: Gang, value: command.Command) -> None:
        if not gang.proposed and self._now >= gang.propose_due_at:
            gang.proposed = True
            self._active[gang.job_id] = None
            self._propose(value)

    def _propose(self, value: command.Command) -> None:
        self._effects.append(Propose(value))

    def _proposed(self, event: Proposed) -> None:
        value, error = event.command, event.error
        lost = error is not None and error.code in (
            errors.ErrorCode.NO_QUORUM,
            errors.ErrorCode.NOT_LEADER,
            errors.ErrorCode.PEER_UNREACHABLE,
        )
        match value:
            case (
                command.GangStarted()
                | command.GangStopping()
                | command.GangStopped()
                | command.GangEnded()
            ):
                gang = self._gangs.get(value.job_id)
                if gang is not None and gang.epoch == value.epoch:
                    gang.proposed = False
                    if error is not None:
                        gang.propose_due_at = self._now + RETRY_S
                    self._advance(gang)
            case command.AllocateGang() | command.RejectJob():
                if error is not None:
                    self._refresh_later(value.job_id)
            case command.ContractExpired():
                self._expiring[value.contract] = self._now + RETRY_S
            case _ if lost:
                self._retries.append((self._now + RETRY_S, value))

    def _call(self, gang: Gang, task: Task, method: Method) -> None:
        spec = gang.job.spec
        known = self._table.worker(task.worker)
        url = "" if known is None else known.announcement.url
        if method is Method.PREPARE:
            order = Order(
                epoch=gang.epoch,
                job_id=gang.job_id,
                index=task.index,
                gang_size=len(gang.tasks),
                payload=spec.payload,
                checkpoint=gang.job.checkpoint,
                progress_s=gang.job.progress_s,
                accelerators=spec.shape.each.accelerators,
                cores=spec.shape.each.cores,
                memory_mb=spec.shape.each.memory_mb,
            )
        elif method is Method.CHECKPOINT:
            order = Order(gang.epoch, checkpoint=f"{gang.job_id}@{gang.epoch}")
        else:
            order = Order(gang.epoch + (method is Method.STOP))
        self._effects.append(
            Call(gang.job_id, task.task_id, gang.epoch, task.worker, url, method, order)
        )

    # Time.

    def _ticked(self) -> None:
        for worker, known in self._table.silences(self._now):
            self._close(worker, known)
            if known.silence is table.Silence.SUSPECTED:
                self._lose(worker, known)
        due = [value for due_at, value in self._retries if due_at <= self._now]
        self._retries = [entry for entry in self._retries if entry[0] > self._now]
        for value in due:
            self._propose(msgspec.structs.replace(value, at=self._at))
        self._refresh_due()
        self._expire_contracts()
        for job_id in list(self._active):
            self._advance(self._gangs[job_id])
        if not self._gate_open:
            settled = self._now >= self._table.elected_at + SETTLE_S
            over = self._now >= self._table.elected_at + table.LEASE_OVER_S
            heard = not self._awaited and not self._is_lossy
            self._gate_open = settled and (over or heard)
        if self._gate_open:
            self._plan()

    def _lose(self, worker: str, known: table.Worker) -> None:
        """Stop the gangs of a worker that is given up."""
        if known.is_placed:
            known.is_placed = False
            self._placer.worker_down(worker, self._now)
        for holding in self._jobs.ledger.holdings(worker):
            gang = self._gangs.get(holding.job_id)
            if gang is not None and gang.tasks[holding.task_id].status not in ENDED:
                self._want_stop(gang, command.StopCause.WORKER_LOST)

    def _expire_contracts(self) -> None:
        for name in list(self._jobs.contracts()):
            if not self._is_expired(name) or self._now < self._expiring.get(name, 0.0):
                continue
            if any(
                item.state is not model.JobState.STOPPING
                for item in self._jobs.unfinished(name)
            ):
                self._expiring[name] = float("inf")
                grace_s = self._configuration.contracts[name].grace_s
                self._propose(command.ContractExpired(self._at, name, grace_s))

    def _is_expired(self, contract: str) -> bool:
        known = self._configuration.contracts.get(contract)
        return known is not None and known.expires_at.timestamp() <= self._at

    # Decisions of the placer.

    def _plan(self) -> None:
        for item in self._placer.plan(self._now):
            self._decided(item)

    def _decided(self, item: decision.Decision) -> None:
        match item:
            case decision.Place():
                self._place(item)
            case decision.Stop():
                gang = self._gangs.get(item.job_id)
                if gang is not None and (
                    gang.job.spec.repeatable
                    or item.reason is not decision.StopReason.DEFRAGMENT
                ):
                    self._want_stop(gang, _CAUSES[item.reason])
                    self._advance(gang)
                else:
                    self._refresh_later(item.job_id)
            case decision.Reject():
                if self._now >= self._table.elected_at + REJECT_AFTER_S:
                    self._propose(command.RejectJob(self._at, item.job_id, item.error))
                else:
                    self._refresh_later(item.job_id)
            case decision.Throttle():
                gang = self._gangs.get(item.job_id)
                if gang is not None and item.task_id in gang.tasks:
                    self._call(gang, gang.tasks[item.task_id], Method.THROTTLE)
            case decision.QuarantineWorker():
                self._propose(
                    command.QuarantineWorker(self._at, item.worker, item.reason)
                )
            case decision.ReleaseWorker():
                self._propose(command.ReleaseWorker(self._at, item.worker))

    def _place(self, item: decision.Place) -> None:
        queued = self._jobs.job(item.job_id)
        known = {name: self._table.worker(name) for name in item.workers}
        if (
            queued is None
            or queued.state is not model.JobState.QUEUED
            or self._is_expired(queued.spec.contract)
            or any(worker is None or not worker.is_open for worker in known.values())
        ):
            self._refresh_later(item.job_id)
            return
        capacities = {
            name: worker.announcement.capacity
            for name, worker in known.items()
            if worker is not None
        }
        self._propose(
            command.AllocateGang(
                self._at,
                item.job_id,
                queued.epoch,
                item.workers,
                capacities,
                item.guarantee,
            )
        )

    def _refresh_later(self, job_id: str) -> None:
        """Tell the placer again of a job whose decision was not carried out.

        The delay keeps a decision that is refused each time from being made at the
        rate of events.
        """
        self._refreshes.append((self._now + RETRY_S, job_id))

    def _refresh_due(self) -> None:
        due = [job_id for due_at, job_id in self._refreshes if due_at <= self._now]
        self._refreshes = [entry for entry in self._refreshes if entry[0] > self._now]
        for job_id in due:
            item = self._jobs.job(job_id)
            if item is not None:
                self._placer.job_changed(item, self._now)


def _common_checkpoint(gang: Gang) -> tuple[str, float]:
    """Return the checkpoint that every task holds and the least progress in it."""
    names = {task.checkpoint for task in gang.tasks.values()}
    if len(names) != 1 or "" in names:
        return "", 0.0
    return names.pop(), min(task.progress_s for task in gang.tasks.values())
