"""The leader's loop: plan, commit, order, and take note of what has ended."""

import asyncio

import msgspec

from ..core import clock, codec, errors
from ..groups import group as groups
from ..hosts import maintenance
from ..hosts import port as host_port
from ..telemetry import log, metrics
from ..workflows import (
    command,
    condition,
    demand,
    machine,
    planner,
    room,
    unit,
    workflow,
)
from . import health, lease, policy, port, progress, runs, session

TICK_S = 0.25  # due times are met within the platform's tolerance
PAUSE_S = 0.01  # events that arrive together share one plan
COMMIT_S = 3.0  # two elections; a later commit is found in the log
BEATS_MISSED = 3  # a worker that missed so many is not used for new work
FORGET_EVERY_S = 10.0


class Settings:
    """Times that the platform prescribes.

    Parameters
    ----------
    heartbeat_s : float
        Interval of the signs of life of workers.
    early_ms : float
        How much before its due time an occurrence may start.
    keep_s : float
        How long a finished workflow can be asked for.
    plan : Planner
        Decides what starts where.
    """

    __slots__ = (
        "early_ms",
        "heartbeat_s",
        "keep_s",
        "lease",
        "maintenance",
        "planner",
    )

    def __init__(
        self,
        heartbeat_s: float = 1.5,
        early_ms: float = 0.0,
        keep_s: float = 600.0,
        leases: lease.Settings | None = None,
        hosts: maintenance.Settings | None = None,
        plan: planner.Planner = planner.plan,
    ) -> None:
        self.heartbeat_s = heartbeat_s
        self.early_ms = early_ms
        self.keep_s = keep_s
        self.lease = leases or lease.Settings()
        self.maintenance = hosts or maintenance.Settings()
        self.planner = plan


class Ports(msgspec.Struct, frozen=True):
    """Whom the leader gives orders, and whom it asks.

    Parameters
    ----------
    policy : PolicyPort or None
        Says on which workers the steps of some queues may run.
    hosts : HostPort or None
        Maintains the hosts of workers.
    """

    workers: port.WorkerPort
    policy: port.PolicyPort | None = None
    hosts: host_port.HostPort | None = None


class Driver:
    """Have the tasks of all workflows run, while this instance leads.

    Parameters
    ----------
    group : LeaderGroup
        Group that replicates the workflows.
    state : WorkflowMachine
        Its machine.
    ports : Ports
        Carry the orders.
    """

    def __init__(
        self,
        group: groups.LeaderGroup,
        state: machine.WorkflowMachine,
        ports: Ports,
        time: clock.Clock,
        values: metrics.Metrics,
        settings: Settings,
    ) -> None:
        self._group = group
        self._state = state
        self._port = ports.workers
        self._clock = time
        self._metrics = values
        self._settings = settings
        self._sessions: dict[str, session.Session] = {}
        self._closing: set[asyncio.Task] = set()
        self._health = health.Health()
        self._term = 0
        self._leading = False
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._forget_s = 0.0
        self._demand = demand.UrgentDemand()
        self._progress = progress.Progress(state, time, values)
        self._policy = policy.PolicyCalls(ports.policy, time, values, self._wake.set)
        self._maintenance = maintenance.Maintenance(
            state, ports.hosts, time, self, values, settings.maintenance
        )
        group.applied.subscribe(lambda _: self._wake.set())
        group.roles.subscribe(lambda _: self._wake.set())

    @property
    def leads(self) -> bool:
        """Tell whether this instance leads and holds all that was committed."""
        return self._leading and self._is_leader()

    @property
    def term(self) -> int:
        """Return the fencing token of this leadership."""
        return self._term

    def is_away(self, placement: workflow.Placement) -> bool:
        """Tell whether a long-running task is not at work, or will not be."""
        known = self._sessions.get(placement.worker_id)
        return known is None or not known.is_at_work(placement)

    def start(self) -> None:
        """Begin the loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Give no more orders."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._close_sessions()

    async def propose(self, wanted: command.AnyCommand) -> bytes:
        """Commit a command as leader."""
        began_s = self._clock.monotonic()
        answer = await self._group.propose_as_leader(command.pack(wanted), COMMIT_S)
        self._metrics.observe("commit", self._clock.monotonic() - began_s)
        return answer

    def beat(self, worker_id: str, born: int, clock_ms: int | None) -> None:
        """Note a sign of life of a registered worker."""
        known = self._sessions.get(worker_id)
        if known is not None and known.worker.born == born:
            known.beat(clock_ms)
            self._wake.set()

    async def end_life(self, worker: workflow.Worker, reason: str) -> None:
        """Give up a life of a worker that is certainly over."""
        known = self._sessions.get(worker.worker_id)
        if known is not None and known.worker.born == worker.born:
            await known.end_life(reason)
        else:
            await self.propose(
                command.RemoveWorker(
                    clock.unix_ms(self._clock),
                    worker.worker_id,
                    worker.born,
                )
            )

    def _is_leader(self) -> bool:
        return self._group.is_leader and self._group.term == self._term

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(PAUSE_S)
            self._wake.clear()
            try:
                await self._step()
            except errors.MarjoramusherError as failure:
                self._metrics.increment("driver_errors", code=failure.code.value)
                log.state_change(
                    "driver.step_failed",
                    code=failure.code.value,
                    reason=failure.message,
                    term=self._term,
                )
            except Exception as failure:
                # A fault in one plan must not end all later ones.
                self._metrics.increment("driver_errors", code="internal")
                log.unexpected("driver", failure)

    async def _step(self) -> None:
        if not self._group.is_leader:
            if self._leading:
                self._leading = False
                self._progress.end()
                log.state_change("driver.stopped", term=self._term)
                await self._close_sessions()
            return
        if not self._leading or self._group.term != self._term:
            await self._take_over()
            if not self._leading:
                return
        self._progress.note_ended()
        self._open_sessions()
        self._stop_unwanted()
        await self._plan()
        self._progress.show()
        await self._forget()

    async def _take_over(self) -> None:
        """Begin to lead once all that was committed before is applied here."""
        self._leading = False
        await self._close_sessions()
        term = self._group.term
        answer = await self._group.barrier_as_leader(COMMIT_S)
        if self._group.applied_index < codec.unpack(answer, int):
            self._wake.set()
            return
        self._term = term
        self._leading = True
        self._health = health.Health()
        self._demand = demand.UrgentDemand()
        self._progress.begin()
        self._maintenance.begin()
        log.state_change(
            "driver.started",
            term=term,
            applied=self._group.applied_index,
            workers=len(self._state.workers),
            active=len(self._state.active),
        )

    async def _close_sessions(self) -> None:
        await self._policy.close()
        await self._maintenance.close()
        sessions = [*self._sessions.values()]
        self._sessions = {}
        await asyncio.gather(*(each.close() for each in sessions))

    def _open_sessions(self) -> None:
        """Look at each registered life once, and as long as something is there."""
        for worker_id, known in self._state.workers.items():
            current = self._sessions.get(worker_id)
            if current is not None and current.worker.born == known.worker.born:
                current.worker = known.worker
                if self._state.placed(worker_id):
                    current.wake()
                continue
            if current is not None:
                self._close(current)
            opened = session.Session(
                known.worker,
                self._state,
                self._port,
                self._term,
                self._clock,
                self,
                self._settings.lease,
            )
            self._sessions[worker_id] = opened
            opened.open()
        for worker_id in [w for w in self._sessions if w not in self._state.workers]:
            self._close(self._sessions.pop(worker_id))

    def note_end(self, worker_id: str, end: workflow.End) -> None:
        """Take a new end on a worker into account."""
        self._metrics.increment("task_ends", how=end.how.value)
        if self._health.note(worker_id, end, self._clock.monotonic()):
            self._note_quarantined(worker_id)

    def note_stall(self, placement: workflow.Placement) -> None:
        """Take a run into account that is stopped because it made no progress."""
        self._metrics.increment("tasks_stalled")
        if self._health.note_stall(placement, self._clock.monotonic()):
            self._note_quarantined(placement.worker_id)

    def _note_quarantined(self, worker_id: str) -> None:
        self._metrics.increment("workers_quarantined")
        log.state_change("worker.quarantined", worker=worker_id)

    def note_refusal(
        self, placement: workflow.Placement, refusal: port.Refusal
    ) -> None:
        """Take a refused start into account, so that it is not tried again at once."""
        self._metrics.increment("starts_refused", reason=refusal.value)
        if refusal is port.Refusal.TICKET:
            self._policy.permits.expire(
                room.unit_name(placement.task), placement.worker_id, placement.born
            )
        elif refusal is port.Refusal.UNHEALTHY:
            self._health.refuse(placement.worker_id, self._clock.monotonic())

    def ticket(self, placement: workflow.Placement) -> str | None:
        """Return the permit for a start, ``None`` if it must not be made."""
        entry = self._state.entries.get(placement.task.workflow_id)
        if entry is None or entry.queue.policy is None:
            return ""
        return self._policy.permits.ticket(
            room.unit_name(placement.task),
            placement.worker_id,
            placement.born,
            self._clock.monotonic(),
        )

    def _close(self, ended: session.Session) -> None:
        task = asyncio.get_running_loop().create_task(ended.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _stop_unwanted(self) -> None:
        for worker_id, current in self._sessions.items():
            for placement in list(self._state.placed(worker_id).values()):
                reason = unwanted(self._state, placement) or self._maintenance.unwanted(
                    placement
                )
                if reason and not current.is_stopping(placement):
                    current.stop(placement, reason)

    async def _plan(self) -> None:
        now = self._clock.monotonic()
        now_ms = clock.unix_ms(self._clock)
        urgent = unit.urgent_accelerators(self._state, now_ms)
        self._demand.note(urgent, now)
        situation = planner.Situation(
            self._state,
            self._conditions(now),
            now_ms,
            self._settings.early_ms,
            self._demand.headroom(urgent, unit.capacity(self._state)),
            self._policy.permits,
            now,
        )
        wanted = self._settings.planner(situation)
        self._policy.permits.keep(self._state.active)
        self._policy.ask(wanted.questions)
        self._progress.note_waiting(
            wanted.waiting, len(self._sessions), self._group.applied_index
        )
        for placement, workflow_id in wanted.preempted:
            self._metrics.increment("tasks_preempted")
            self._sessions[placement.worker_id].stop(
                placement, f"preempted for {workflow_id}"
            )
        if not wanted.placements:
            return
        fresh = self._progress.not_started(wanted.placements)
        answer = await self.propose(command.Assign(now_ms, wanted.placements))
        made = codec.unpack(answer, command.Assigned)
        self._progress.note_started(fresh)
        for placement in made.placements:
            log.state_change(
                "task.assigned",
                task=runs.name(placement.task),
                run=placement.run,
                worker=placement.worker_id,
                term=self._term,
                applied=self._group.applied_index,
            )
            current = self._sessions.get(placement.worker_id)
            if current is not None and current.worker.born == placement.born:
                current.start(placement)
                current.wake()

    def _conditions(self, now: float) -> dict[str, condition.Condition]:
        patience_s = BEATS_MISSED * self._settings.heartbeat_s
        conditions = {}
        for worker_id, current in self._sessions.items():
            heard = now - current.heard_s <= patience_s
            state = self._health.judge(worker_id, now)
            reached = heard and not current.silent and not current.over
            kept = not self._maintenance.is_emptying(worker_id)
            conditions[worker_id] = condition.Condition(
                reached and kept and state.usable,
                current.stopping,
                current.ages_s(),
                state.suspect,
                current.at_work,
                current.takes_fill,
            )
        return conditions

    async def _forget(self) -> None:
        now = self._clock.monotonic()
        if now < self._forget_s:
            return
        self._forget_s = now + FORGET_EVERY_S
        now_ms = clock.unix_ms(self._clock)
        before_ms = now_ms - int(self._settings.keep_s * 1000)
        if any(
            not entry.is_active and entry.ended_ms < before_ms
            for entry in self._state.entries.values()
        ):
            await self.propose(command.Forget(now_ms, before_ms))


def unwanted(state: machine.WorkflowMachine, placement: workflow.Placement) -> str:
    """Return why a run should stop, empty if it should go on."""
    key = placement.task
    entry = state.entries.get(key.workflow_id)
    task = state.task(key)
    if entry is None or task is None:
        return "the workflow is not known"
    step = entry.workflow.steps[key.step]
    if step.gang:
        members = entry.occurrences[key.occurrence][key.step]
        if task.done:
            return ""  # all members have ended together
        if any(each.placement is None for each in members):
            return "another member of the gang is gone"
    elif task.done:
        return "another run is done"
    if not entry.is_active:
        return f"the workflow is {entry.state.value}"
    return ""
