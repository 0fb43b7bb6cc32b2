"""Driver that runs the gang core while this instance leads its failure domain."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ..consensus import message
from ..core import announcement, clock, errors, record, resource
from ..core import job as model
from ..groups import composite
from ..groups import group as groups
from ..jobs import command, machine
from ..placement import placer
from ..telemetry import log, metrics
from . import events, gang, rpc, table

TICK_S = 0.1  # while the core is busy
IDLE_TICK_S = 0.5  # a role change or a commit wakes the driver earlier
RESTART_DELAY_S = 1.0  # after a leadership that ended with a fault
BATCH_DELAY_S = 0.005  # lets the events of a burst share one placement run
BARRIER_TIMEOUT_S = 2.0
PROPOSE_TIMEOUT_S = 2.0


class TaskCaller(Protocol):
    """Client that makes calls to workers."""

    async def call(self, call: rpc.Call) -> announcement.TaskReport:
        """Make one call; see `client.TaskClient`."""


class GangDriver:
    """Run a `GangCore` and execute its effects while this instance leads the group.

    Parameters
    ----------
    group : Group
        Group of the failure domain.
    jobs : JobsMachine
        Local machine of that group.
    make_placer : callable
        Makes a new placer for each leadership.
    client : TaskCaller
        Client for calls to workers.
    time : Clock
        Source of time.
    configuration : callable
        Returns the operators' records in force.
    metrics_registry : Metrics
        Registry of the metrics.
    """

    def __init__(
        self,
        group: groups.Group,
        jobs: machine.JobsMachine,
        make_placer: Callable[[], placer.Placer],
        client: TaskCaller,
        time: clock.Clock,
        configuration: Callable[[], record.Configuration],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._group = group
        self._jobs = jobs
        self._make_placer = make_placer
        self._client = client
        self._time = time
        self._configuration = configuration
        self._metrics = metrics_registry
        self._core: gang.GangCore | None = None
        self._configuration_revision = -1
        self._generation = 0
        self._is_elected = False
        self._effect_tasks: set[asyncio.Task[None]] = set()
        self._wake_up = asyncio.Event()

    @property
    def core(self) -> gang.GangCore | None:
        """Return the core, or None while another instance leads."""
        return self._core

    def infeasibility_reason(
        self, failure_domain: str, shape: resource.GangShape
    ) -> str | None:
        """Return why a shape can never fit, or None if it may fit.

        Also returns None if this instance does not lead the failure domain.
        """
        if self._core is None or failure_domain != self._jobs.failure_domain:
            return None
        return self._core.infeasibility_reason(shape)

    def shortfalls(self) -> list[placer.Shortfall]:
        """Return the guarantees that can't be honoured; empty if not leading."""
        if self._core is None:
            return []
        return list(self._core.shortfalls(self._time.monotonic()))

    def leases(self) -> list[table.WorkerLeases]:
        """Return the lease summaries of workers; empty if not leading."""
        if self._core is None:
            return []
        return list(self._core.workers.leases(self._time.monotonic()))

    async def run(self) -> None:
        """Run the core in each leadership until cancelled."""
        roles = self._group.roles.subscribe(on_next=self._on_role_changed)
        applied = self._group.applied.subscribe(on_next=self._on_applied)
        try:
            while True:
                if self._group.is_leader:
                    try:
                        await self._lead()
                    except Exception as error:
                        self._handle_fault(error)
                        await asyncio.sleep(RESTART_DELAY_S)
                await self._wait_for_wake_up()
        finally:
            self._resign()
            roles.dispose()
            applied.dispose()

    def announce(
        self, worker_announcement: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        """Handle a worker's announcement and renew the leases of its tasks.

        Raises
        ------
        NotLeaderError
            If this instance does not lead with a confirmed quorum, or has not yet
            applied all committed commands.
        """
        core = self._core
        if core is None or not self._group.is_leader:
            raise errors.NotLeaderError(self._group.leader)
        effects = self._step(events.WorkerAnnounced(worker_announcement))
        for effect in effects:
            if isinstance(effect, events.AnnouncementReply):
                return announcement.WorkerReply("", effect.renewals, effect.stop)
        raise AssertionError("the core returned no reply to an announcement")

    async def _lead(self) -> None:
        generation = self._generation
        elected_at = self._time.monotonic()
        try:
            await self._group.barrier(BARRIER_TIMEOUT_S)
        except errors.MarjoramusherError:
            return
        if not self._is_leading(generation):
            return
        configuration = self._configuration()
        self._configuration_revision = configuration.revision
        self._core = core = gang.GangCore(
            self._jobs,
            self._make_placer(),
            configuration,
            elected_at,
            self._time.utcnow().timestamp(),
        )
        log.state_change("jobs.leading", failure_domain=self._jobs.failure_domain)
        try:
            while self._is_leading(generation) and not core.is_outdated:
                configuration = self._configuration()
                if configuration.revision != self._configuration_revision:
                    self._configuration_revision = configuration.revision
                    self._step(events.ConfigurationChanged(configuration))
                self._step(events.TimerTicked())
                await self._wait_for_wake_up()
        finally:
            self._resign()
            log.state_change("jobs.resigned", failure_domain=self._jobs.failure_domain)

    def _is_leading(self, generation: int) -> bool:
        return self._generation == generation and self._group.is_leader

    def _resign(self) -> None:
        self._core = None
        for task in self._effect_tasks:
            task.cancel()
        self._effect_tasks.clear()

    async def _wait_for_wake_up(self) -> None:
        # A newly elected node needs a little time to confirm its quorum, so the driver
        # polls at the shorter interval.
        is_busy = self._is_elected if self._core is None else self._core.is_busy
        loop = asyncio.get_running_loop()
        due_at = loop.time() + (TICK_S if is_busy else IDLE_TICK_S)
        timer = loop.call_at(due_at, self._wake_up.set)
        await self._wake_up.wait()
        timer.cancel()
        if loop.time() < due_at:
            await asyncio.sleep(BATCH_DELAY_S)
        self._wake_up.clear()

    def _on_role_changed(self, change: message.RoleChanged) -> None:
        self._is_elected = change.role is message.Role.LEADER
        self._generation += 1
        self._wake_up.set()

    def _on_applied(self, index: int) -> None:
        # Only wakes the driver, because each step handles the changes first. Handling
        # them here would let a fault of the placer reach the group.
        del index
        if self._core is not None:
            self._wake_up.set()

    def _step(self, event: events.Event) -> list[events.Effect]:
        core = self._core
        if core is None:
            return []
        try:
            effects = core.step(
                event, self._time.monotonic(), self._time.utcnow().timestamp()
            )
        except errors.MarjoramusherError:
            raise  # the core refused the event
        except Exception as error:
            self._handle_fault(error)
            raise
        for effect in effects:
            if isinstance(effect, rpc.Call):
                self._spawn(self._execute_call(core, effect))
            elif isinstance(effect, events.ProposeCommand):
                self._spawn(self._execute_proposal(core, effect.command))
        return effects

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._effect_tasks.add(task)
        task.add_done_callback(self._on_effect_done)

    def _on_effect_done(self, task: asyncio.Task[None]) -> None:
        self._effect_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._handle_fault(error)

    def _handle_fault(self, error: BaseException) -> None:
        """Count a program fault and restart from the committed state."""
        self._metrics.increment("gang_driver_faults")
        log.state_change("jobs.driver_fault", error=repr(error))
        self._generation += 1
        self._wake_up.set()

    async def _execute_call(self, core: gang.GangCore, call: rpc.Call) -> None:
        if not self._group.is_leader:
            return
        method = call.method.value
        self._metrics.increment("task_calls", method=method)
        try:
            report = await self._client.call(call)
            event = events.CallCompleted(call, report)
        except errors.MarjoramusherError as error:
            self._metrics.increment("task_call_failures", method=method)
            event = events.CallCompleted(call, None, error.code, error.message)
        if self._core is core:
            self._step(event)
            self._wake_up.set()

    async def _execute_proposal(
        self, core: gang.GangCore, cmd: command.Command
    ) -> None:
        error: errors.ErrorBody | None = None
        try:
            data = composite.part_command(command.PART, command.encode(cmd))
            outcome = command.decode_result(
                await self._group.propose(data, PROPOSE_TIMEOUT_S)
            )
            if isinstance(outcome, command.JobResult) and not outcome.repeated:
                if isinstance(cmd, command.GangStopped):
                    self._log_crashes(outcome.job)
                self._record_job_change(outcome.job)
            elif isinstance(outcome, command.JobsResult):
                for job in outcome.jobs:
                    self._log_crashes(job)
                    if job.state is model.JobState.FAILED:
                        self._record_job_change(job)
        except errors.MarjoramusherError as failure:
            error = failure.body()
            self._metrics.increment("job_proposals_refused", code=error.code.value)
        if self._core is core:
            self._step(events.ProposalCompleted(cmd, error))
            self._wake_up.set()

    def _record_job_change(self, job: model.Job) -> None:
        self._metrics.increment("job_changes", state=job.state.value)
        if job.started_at is not None:
            spec = job.spec
            if job.state is model.JobState.RUNNING and job.attempts == 1:
                waited_s = job.started_at - job.submitted_at
                self._metrics.observe(
                    "job_wait", waited_s, spec.account, spec.job_class.value
                )
            elif job.state is model.JobState.DONE and job.ended_at is not None:
                completion_s = job.ended_at - job.submitted_at
                self._metrics.observe(
                    "job_completion", completion_s, spec.account, spec.job_class.value
                )
        log.state_change(
            "job.state",
            job_id=job.job_id,
            state=job.state.value,
            epoch=job.epoch,
            reason="" if job.error is None else job.error.message,
        )

    def _log_crashes(self, job: model.Job) -> None:
        if not job.crashes and not job.possible_crashes:
            return
        log.state_change(
            "job.suspected",
            job_id=job.job_id,
            crashes=len(job.crashes),
            possible=len(job.possible_crashes),
            workers=" ".join(
                item.address for item in (*job.crashes, *job.possible_crashes)
            ),
        )
