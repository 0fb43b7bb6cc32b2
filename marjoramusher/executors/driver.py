"""Control loop of the leader: plan placements, commit them, and have them executed."""

import asyncio
import contextlib
import functools
from collections.abc import Callable

import msgspec

from ..core import clock, codec, errors
from ..groups import group as groups
from ..hosts import maintenance
from ..hosts import port as host_port
from ..telemetry import log, metrics
from ..workflows import (
    backlog,
    command,
    condition,
    demand,
    departure,
    machine,
    planner,
    resources,
    suspicion,
    workflow,
)
from . import (
    departures,
    fencing,
    health,
    held,
    lease,
    policy,
    port,
    progress,
    runs,
    session,
)

TICK_S = 0.25  # meets due times within the tolerance of the platform
BATCH_DELAY_S = 0.01  # lets events that arrive together share one plan
# Pause after a plan as a multiple of the time it took. While a plan is made, the loop
# answers no calls and sends no heartbeats, so plans take at most half of its time.
PLAN_PAUSE_FACTOR = 1.0
COMMIT_TIMEOUT_S = 3.0  # covers two elections; a later commit still takes effect
MAX_MISSED_HEARTBEATS = 3  # a worker that is silent for longer gets no new tasks
# A worker that is silent for longer is used only where no other fits. The share above 1
# allows for heartbeats that are late.
SUSPECT_HEARTBEATS = 1.25
START_MARGIN_S = 1.5  # covers a start that is on its way to the worker
FORGET_INTERVAL_S = 10.0
# A barrier takes a round trip between regions and a sync of the disk.
TAKEOVER_WAIT_S = 0.4
# Tokens that one term may issue before they reach those of the next one. The largest
# integer that all JSON parsers read exactly leaves 21 bits for the term.
TOKENS_PER_TERM = 2**32


class Settings:
    """Timing of the driver.

    Parameters
    ----------
    heartbeat_s : float
        Interval of the heartbeats of workers.
    early_ms : float
        How long before its due time an occurrence may start.
    retention_s : float
        How long an ended workflow can be queried.
    capacity_grace_s : float
        How long the capacity that a worker last announced may be used, since it can
        shrink at any time.
    plan : Planner
        Decides which tasks start on which workers.
    departure_settings : departure.Settings or None
        Durations of stops and restores of runs on departing workers.
    """

    __slots__ = (
        "capacity_grace_s",
        "departure",
        "early_ms",
        "heartbeat_s",
        "lease",
        "maintenance",
        "planner",
        "retention_s",
    )

    def __init__(
        self,
        heartbeat_s: float = 1.5,
        early_ms: float = 0.0,
        retention_s: float = 600.0,
        lease_settings: lease.Settings | None = None,
        maintenance_settings: maintenance.Settings | None = None,
        capacity_grace_s: float = 5.5,
        plan: planner.Planner = planner.plan,
        departure_settings: departure.Settings | None = None,
    ) -> None:
        self.capacity_grace_s = capacity_grace_s
        self.departure = departure_settings or departure.Settings()
        self.heartbeat_s = heartbeat_s
        self.early_ms = early_ms
        self.retention_s = retention_s
        self.lease = lease_settings or lease.Settings()
        self.maintenance = maintenance_settings or maintenance.Settings()
        self.planner = plan


class Ports(msgspec.Struct, frozen=True):
    """Interfaces of the external systems that the leader calls.

    Parameters
    ----------
    policy : PolicyPort or None
        Permits the steps of some queues to run on certain workers.
    hosts : HostPort or None
        Maintains the hosts of workers.
    """

    workers: port.WorkerPort
    policy: port.PolicyPort | None = None
    hosts: host_port.HostPort | None = None


class Driver:
    """Run the tasks of all workflows while this instance leads.

    Parameters
    ----------
    group : LeaderGroup
        Group that replicates the workflows.
    state : WorkflowMachine
        State machine of the group.
    ports : Ports
        Interfaces of the external systems.
    """

    def __init__(
        self,
        group: groups.LeaderGroup,
        state: machine.WorkflowMachine,
        ports: Ports,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
        settings: Settings,
    ) -> None:
        self._group = group
        self._state = state
        self._port = ports.workers
        self._clock = time
        self._metrics = metrics_registry
        self._settings = settings
        self._sessions: dict[str, session.Session] = {}
        self._closing: set[asyncio.Task] = set()
        self._health = health.Health()
        self._token = 0
        # Incarnation and time of the last announcement of each worker.
        self._announced: dict[str, tuple[int, float]] = {}
        self._term = 0
        self._is_leading = False
        self._has_taken_over = asyncio.Event()
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._plan_duration_s = 0.0
        self._next_forget_s = 0.0
        self._demand = demand.UrgentDemand()
        self._held = held.HeldSteps(state)
        self._progress = progress.Progress(state, time, metrics_registry)
        self._policy = policy.PolicyClient(
            ports.policy, time, metrics_registry, self._wake.set
        )
        self._maintenance = maintenance.Maintenance(
            state, ports.hosts, time, self, metrics_registry, settings.maintenance
        )
        self._departures = departures.Departures(
            state, time, self, metrics_registry, settings.departure
        )
        group.applied.subscribe(lambda _: self._wake.set())
        group.roles.subscribe(lambda _: self._wake.set())

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance leads and has applied all earlier commands."""
        return self._is_leading and self._is_leader()

    async def wait_leading(self) -> bool:
        """Tell whether this instance leads, after the end of a takeover in progress."""
        if not self.is_leading and self._group.is_leader:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TAKEOVER_WAIT_S):
                    await self._has_taken_over.wait()
        return self.is_leading

    @property
    def term(self) -> int:
        """Return the term of this leadership."""
        return self._term

    def issue_token(self) -> int:
        """Return a fencing token above all that were issued before, in any term."""
        self._token = max(self._token, self._term * TOKENS_PER_TERM) + 1
        return self._token

    def is_unavailable(self, placement: workflow.Placement) -> bool:
        """Tell whether a long-running task is not serving or is being stopped."""
        current = self._sessions.get(placement.worker_id)
        return current is None or not current.is_serving(placement)

    def has_begun(self, entry: machine.Entry) -> bool:
        """Tell whether a worker is known to have started a task of a workflow.

        A placement alone does not tell that, since its start may not have arrived.
        """
        return entry.has_begun or any(
            task.placement is not None and self._has_started(task.placement)
            for _, _, tasks in entry.tasks()
            for task in tasks
        )

    def _has_started(self, placement: workflow.Placement) -> bool:
        current = self._sessions.get(placement.worker_id)
        return current is not None and current.has_started(placement)

    def start(self) -> None:
        """Start the control loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop the control loop and close the sessions with workers."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._close_sessions()

    async def propose(self, proposed: command.AnyCommand) -> bytes:
        """Commit a command as leader, and return its encoded result."""
        sent_s = self._clock.monotonic()
        result = await self._group.propose_as_leader(
            command.pack(proposed), COMMIT_TIMEOUT_S
        )
        self._metrics.observe("commit", self._clock.monotonic() - sent_s)
        return result

    def record_heartbeat(
        self,
        worker_id: str,
        incarnation: int,
        clock_ms: int | None,
        drain_remaining_ms: float | None = None,
        cold_remaining_ms: float | None = None,
    ) -> None:
        """Record a heartbeat of a registered worker, which may have been delayed.

        Parameters
        ----------
        drain_remaining_ms, cold_remaining_ms : float or None
            Minimum time until the worker leaves, and time for which it is slow, when
            it was sent; ``None`` if it did not say.
        """
        announced_s = self._clock.monotonic()
        current = self._sessions.get(worker_id)
        if current is not None and current.worker.incarnation == incarnation:
            announced_s -= current.age_s(clock_ms)
        self._announced[worker_id] = (incarnation, announced_s)
        self._departures.record(
            worker_id, incarnation, announced_s, drain_remaining_ms, cold_remaining_ms
        )
        if current is not None and current.worker.incarnation == incarnation:
            current.record_heartbeat(clock_ms)
            self._wake.set()

    def await_announcement(self, worker_id: str) -> None:
        """Place nothing on a worker until it has announced itself again."""
        self._announced.pop(worker_id, None)

    async def end_incarnation(
        self,
        worker: workflow.Worker,
        reason: str,
        *,
        has_crashed: bool = False,
        successor: workflow.Worker | None = None,
    ) -> None:
        """Remove an incarnation of a worker that has certainly ended.

        Parameters
        ----------
        has_crashed : bool
            Whether it has ended unexpectedly, unless it was draining.
        successor : Worker or None
            Later incarnation under the same id.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        NoQuorumError
            If the removal was not committed in time.
        WorkerUnreachableError
            If the successor may still run what was meant for this incarnation.
        """
        if has_crashed and not worker.draining:
            self._metrics.increment("worker_crashes")
        current = self._sessions.get(worker.worker_id)
        if current is not None and current.worker.incarnation == worker.incarnation:
            await current.end_incarnation(
                reason, has_crashed=has_crashed, successor=successor
            )
        else:
            ends: list[workflow.RunEnd] = []
            if successor is not None and successor.address == worker.address:
                ends = await fencing.stop_all(successor, self._port, self.issue_token())
            placements = self._state.placements_on(worker.worker_id)
            has_crashed = has_crashed and not worker.draining
            session.log_incarnation_end(worker, reason, has_crashed, len(placements))
            await self.propose(
                command.RemoveWorker(
                    clock.unix_ms(self._clock),
                    worker.worker_id,
                    worker.incarnation,
                    has_crashed=has_crashed,
                    suspects=tuple(
                        suspicion.Suspect(placement.task, placement.run)
                        for placement in placements.values()
                    ),
                    ends=fencing.ends_of(placements.values(), ends),
                )
            )

    def awaits_lease(self, worker: workflow.Worker) -> bool:
        """Tell whether only the lease will show that a departing worker has ended."""
        self._open_sessions()
        current = self._sessions.get(worker.worker_id)
        return current is not None and current.awaits_lease

    async def end_departing(self, worker: workflow.Worker) -> bool:
        """Remove an incarnation of a worker that leaves, once it runs nothing.

        Returns
        -------
        bool
            Whether it has been removed; otherwise that follows, and its departure can
            be acknowledged all the same.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        NoQuorumError
            If a change was not committed in time.
        """
        if not self.is_leading:
            raise errors.NotLeaderError(None)
        # A worker can leave before the next iteration would open its session. Without
        # one, a run could start there while it is asked what it runs.
        self._open_sessions()
        return await self._sessions[worker.worker_id].end_departing()

    async def fence(self, worker: workflow.Worker) -> None:
        """Keep starts for former incarnations away from one that is to be registered.

        Raises
        ------
        WorkerUnreachableError
            If it is not confirmed in time that it runs nothing.
        """
        if self._state.is_known(worker.worker_id):
            await fencing.stop_all(worker, self._port, self.issue_token())

    def _is_leader(self) -> bool:
        return self._group.is_leader and self._group.term == self._term

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(
                max(BATCH_DELAY_S, PLAN_PAUSE_FACTOR * self._plan_duration_s)
            )
            self._wake.clear()
            try:
                await self._run_iteration()
            except errors.MarjoramusherError as failure:
                self._metrics.increment("driver_errors", code=failure.code.value)
                log.state_change(
                    "driver.step_failed",
                    code=failure.code.value,
                    outcome=failure.outcome.value,
                    reason=failure.message,
                    term=self._term,
                )
            except Exception as failure:
                # An unexpected error in one iteration must not end the loop.
                self._metrics.increment("driver_errors", code="internal")
                log.unexpected_error("driver", failure)

    async def _run_iteration(self) -> None:
        if not self._group.is_leader:
            if self._is_leading:
                self._is_leading = False
                self._has_taken_over.clear()
                self._progress.on_not_leading()
                log.state_change("driver.stopped", term=self._term)
                await self._close_sessions()
            return
        if not self._is_leading or self._group.term != self._term:
            await self._take_over()
            if not self._is_leading:
                return
        self._progress.record_ended()
        self._open_sessions()
        self._stop_obsolete_runs()
        await self._plan()
        # The plan comes first, so that pending tasks have taken their room.
        self._departures.carry_out(self._conditions)
        self._progress.update_gauges()
        await self._forget()

    async def _take_over(self) -> None:
        """Start to lead once the commands of all earlier terms are applied here."""
        self._is_leading = False
        self._has_taken_over.clear()
        await self._close_sessions()
        term = self._group.term
        barrier = await self._group.barrier_as_leader(COMMIT_TIMEOUT_S)
        if self._group.applied_index < codec.unpack(barrier, int):
            self._wake.set()
            return
        self._term = term
        self._is_leading = True
        self._has_taken_over.set()
        self._health = health.Health()
        self._announced = {}
        self._departures.clear()
        self._demand = demand.UrgentDemand()
        self._held = held.HeldSteps(self._state)
        self._progress.on_leading()
        self._maintenance.start()
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
        await asyncio.gather(*(current.close() for current in sessions))

    def _open_sessions(self) -> None:
        """Keep one session open for each registered incarnation of a worker."""
        for worker_id, registered in self._state.workers.items():
            current = self._sessions.get(worker_id)
            if (
                current is not None
                and current.worker.incarnation == registered.worker.incarnation
            ):
                current.worker = registered.worker
                if self._state.placements_on(worker_id):
                    current.wake()
                continue
            if current is not None:
                self._close_in_background(current)
            opened = session.Session(
                registered.worker,
                self._state,
                self._port,
                self._clock,
                self,
                self._settings.lease,
            )
            self._sessions[worker_id] = opened
            opened.open()
        for worker_id in [w for w in self._sessions if w not in self._state.workers]:
            self._close_in_background(self._sessions.pop(worker_id))
            self._announced.pop(worker_id, None)

    def record_end(self, worker_id: str, end: workflow.RunEnd) -> None:
        """Record the end of a run on a worker."""
        self._metrics.increment("task_ends", how=end.outcome.value)
        self._departures.record_end(worker_id, end)
        if self._health.record_end(worker_id, end, self._clock.monotonic()):
            self._log_quarantine(worker_id)

    def record_release(self, reason: str) -> None:
        """Record that a run was released without a reported end."""
        self._metrics.increment("runs_released", reason=reason)

    def record_stall(self, placement: workflow.Placement) -> None:
        """Record that a run is stopped because it made no progress."""
        self._metrics.increment("tasks_stalled")
        if self._health.record_stall(placement, self._clock.monotonic()):
            self._log_quarantine(placement.worker_id)

    def _log_quarantine(self, worker_id: str) -> None:
        self._metrics.increment("workers_quarantined")
        log.state_change("worker.quarantined", worker=worker_id)

    def record_refusal(
        self, placement: workflow.Placement, refusal: port.Refusal
    ) -> None:
        """Record a rejected start, so that it is not repeated immediately."""
        self._metrics.increment("starts_refused", reason=refusal.value)
        if refusal is port.Refusal.INVALID_TICKET:
            self._policy.permits.invalidate(
                resources.step_key(placement.task),
                placement.worker_id,
                placement.incarnation,
            )
        elif refusal is port.Refusal.UNHEALTHY:
            self._health.record_refusal(placement.worker_id, self._clock.monotonic())

    def ticket(self, placement: workflow.Placement) -> str | None:
        """Return the ticket for a start, empty if the queue has no policy.

        ``None`` if a required permit is missing or has expired.
        """
        entry = self._state.entries.get(placement.task.workflow_id)
        if entry is None or entry.queue.policy is None:
            return ""
        return self._policy.permits.ticket(
            resources.step_key(placement.task),
            placement.worker_id,
            placement.incarnation,
            self._clock.monotonic(),
        )

    def _close_in_background(self, closed: session.Session) -> None:
        task = asyncio.get_running_loop().create_task(closed.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _stop_obsolete_runs(self) -> None:
        @functools.cache
        def gang_reason(gang: resources.StepKey) -> str:
            return gang_stop_reason(self._state, gang, self._is_stopping)

        for worker_id, current in self._sessions.items():
            for placement in list(self._state.placements_on(worker_id).values()):
                reason = stop_reason(
                    self._state, placement, gang_reason
                ) or self._maintenance.stop_reason(placement)
                if reason and not current.is_stopping(placement):
                    current.stop(placement, reason)

    def stop_run(self, placement: workflow.Placement, reason: str) -> None:
        """Ask the worker of a run to stop it, if it is known to this leader."""
        current = self._sessions.get(placement.worker_id)
        if current is not None:
            current.stop(placement, reason)

    def _is_stopping(self, placement: workflow.Placement) -> bool:
        current = self._sessions.get(placement.worker_id)
        return current is not None and current.is_stopping(placement)

    async def _plan(self) -> None:
        """Make a plan, commit its placements, and carry it out."""
        now_s = self._clock.monotonic()
        now_ms = clock.unix_ms(self._clock)
        urgent = backlog.urgent_accelerators(self._state, now_ms)
        self._demand.record(urgent, now_s)
        plan_input = planner.PlanInput(
            self._state,
            self._conditions(now_s),
            now_ms,
            self._settings.early_ms,
            self._demand.headroom(urgent, backlog.total_accelerators(self._state)),
            self._policy.permits,
            now_s,
            self._held.overdue(now_s),
        )
        plan = self._settings.planner(plan_input)
        self._plan_duration_s = self._clock.monotonic() - now_s
        self._metrics.observe("plan", self._plan_duration_s)
        self._policy.permits.retain(self._state.active)
        self._policy.query(plan.queries)
        self._held.record(plan.wait_reasons, plan.placements, now_s)
        self._progress.record_held_back(plan.held_back)
        self._progress.record_awaiting(plan)
        self._progress.record_waiting(
            plan.wait_reasons, len(self._sessions), self._group.applied_index
        )
        for placement, workflow_id in plan.preemptions:
            current = self._sessions[placement.worker_id]
            self._metrics.increment("tasks_preempted")
            self._metrics.increment("preempted_core_s", current.lost_core_s(placement))
            current.stop(placement, f"preempted for {workflow_id}", workflow_id)
        if not plan.placements:
            return
        not_started = self._progress.not_started(plan.placements)
        result = await self.propose(command.Assign(now_ms, plan.placements))
        assigned = codec.unpack(result, command.AssignResult)
        self._progress.record_started(not_started)
        for placement in assigned.placements:
            log.state_change(
                "task.assigned",
                task=runs.name(placement.task),
                run=placement.run,
                worker=placement.worker_id,
                term=self._term,
                applied=self._group.applied_index,
            )
            current = self._sessions.get(placement.worker_id)
            if (
                current is not None
                and current.worker.incarnation == placement.incarnation
            ):
                current.start(placement)
                current.wake()

    def _conditions(self, now_s: float) -> dict[str, condition.WorkerCondition]:
        heartbeat_s = self._settings.heartbeat_s
        conditions = {}
        for worker_id, current in self._sessions.items():
            silence_s = now_s - current.last_heard_s
            is_heartbeat_recent = silence_s <= MAX_MISSED_HEARTBEATS * heartbeat_s
            is_silent = (
                silence_s > SUSPECT_HEARTBEATS * heartbeat_s
                or current.has_unanswered_call
            )
            verdict = self._health.verdict(worker_id, now_s)
            is_reachable = (
                is_heartbeat_recent
                and not current.is_unresponsive
                and not current.is_over
            )
            is_not_draining = not self._maintenance.is_draining(worker_id)
            conditions[worker_id] = condition.WorkerCondition(
                is_reachable
                and self._is_announcement_valid(current.worker, now_s)
                and is_not_draining
                and not self._state.is_evacuated(current.worker)
                and verdict.is_usable,
                current.stopping,
                current.ages_s(),
                verdict.is_suspect or is_silent,
                current.serving,
                current.accepts_fill,
                is_silent,
                verdict.is_quarantined,
                current.remaining_s(),
                self._departures.is_cold(current.worker, now_s),
            )
        return conditions

    def _is_announcement_valid(self, worker: workflow.Worker, now_s: float) -> bool:
        """Tell whether a worker announced its capacity recently enough to use it."""
        # What a worker announced to a former leader may never have been committed.
        incarnation, announced_s = self._announced.get(worker.worker_id, (0, 0.0))
        age_s = now_s - announced_s
        return (
            incarnation == worker.incarnation
            and age_s <= self._settings.capacity_grace_s - START_MARGIN_S
        )

    def has_room(self, worker: workflow.Worker) -> bool:
        """Tell whether all runs placed on a worker fit what it announced recently."""
        registered = self._state.workers.get(worker.worker_id)
        if registered is None or not self._is_announcement_valid(
            registered.worker, self._clock.monotonic()
        ):
            return False
        steps = [
            self._state.step(task)
            for task in self._state.placements_on(worker.worker_id)
        ]
        needs = [resources.reserved(step) for step in steps if step is not None]
        total = functools.reduce(resources.combined, needs, resources.NOTHING)
        return total.fits_within(registered.worker.capacity)

    async def _forget(self) -> None:
        """Delete workflows whose retention time is over, at a fixed interval."""
        now_s = self._clock.monotonic()
        if now_s < self._next_forget_s:
            return
        self._next_forget_s = now_s + FORGET_INTERVAL_S
        now_ms = clock.unix_ms(self._clock)
        before_ms = now_ms - int(self._settings.retention_s * 1000)
        if self._state.has_early_cancellation(before_ms) or any(
            not entry.is_active and entry.ended_ms < before_ms
            for entry in self._state.entries.values()
        ):
            await self.propose(command.Forget(now_ms, before_ms))


def stop_reason(
    state: machine.WorkflowMachine,
    placement: workflow.Placement,
    gang_reason: Callable[[resources.StepKey], str],
) -> str:
    """Return why a run should be stopped, empty if it should continue.

    Parameters
    ----------
    gang_reason : callable
        Returns why all members of a gang should be stopped.
    """
    key = placement.task
    entry = state.entries.get(key.workflow_id)
    task = state.task(key)
    if entry is None or task is None:
        return "the workflow is not known"
    is_gang = entry.workflow.steps[key.step].gang
    if is_gang and task.done and placement.run == task.done_run:
        return ""  # one member of this run is done, so all of them end by themselves
    if task.done:
        return "another run is done"
    if is_gang:
        reason = gang_reason(resources.step_key(key))
        if reason:
            return reason
    if not entry.is_active:
        return f"the workflow is {entry.state.value}"
    return ""


def gang_stop_reason(
    state: machine.WorkflowMachine,
    gang: resources.StepKey,
    is_stopping: Callable[[workflow.Placement], bool],
) -> str:
    """Return why the members of a gang should be stopped, empty if they should not.

    A gang can't run without one of its members. If that is on a worker that does not
    reply, the others would wait for it until they time out.
    """
    workflow_id, occurrence, step = gang
    members = state.entries[workflow_id].occurrences[occurrence][step]
    placements = [member.placement for member in members]
    if any(placement is None for placement in placements):
        return "another member of the gang is gone"
    if any(is_stopping(placement) for placement in placements):
        return "another member of the gang is being stopped"
    return ""
