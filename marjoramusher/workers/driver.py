"""Drive gangs while this instance leads its failure domain."""

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

TICK_S = 0.1  # while something is under way
IDLE_TICK_S = 0.5  # a new role or a commit wakes the driver earlier
RESTART_S = 1.0  # between two leaderships of which the first ended by a fault
BATCH_S = 0.005  # events of a burst share one plan
BARRIER_TIMEOUT_S = 2.0
PROPOSE_TIMEOUT_S = 2.0


class Caller(Protocol):
    """Call one worker."""

    async def call(self, call: rpc.Call) -> announcement.TaskReport:
        """Make one call; see `client.TaskClient`."""


class GangDriver:
    """Carry out the effects of a `GangCore` for as long as the group is led from here.

    Parameters
    ----------
    group : Group
        The failure domain's group.
    jobs : JobsMachine
        The local machine of that group.
    make_placer : callable
        Makes a placer without state, one for each leadership.
    tasks : Caller
        Client for the workers.
    time : Clock
        Source of time.
    configuration : callable
        Returns the operators' records in force.
    values : Metrics
        Counters.
    """

    def __init__(
        self,
        group: groups.Group,
        jobs: machine.JobsMachine,
        make_placer: Callable[[], placer.Placer],
        tasks: Caller,
        time: clock.Clock,
        configuration: Callable[[], record.Configuration],
        values: metrics.Metrics,
    ) -> None:
        self._group = group
        self._jobs = jobs
        self._make_placer = make_placer
        self._tasks = tasks
        self._time = time
        self._configuration = configuration
        self._metrics = values
        self._core: gang.GangCore | None = None
        self._revision = -1
        self._generation = 0
        self._is_elected = False
        self._running: set[asyncio.Task[None]] = set()
        self._kick = asyncio.Event()

    @property
    def core(self) -> gang.GangCore | None:
        """Return the core, or None while another instance leads."""
        return self._core

    def infeasibility_reason(
        self, failure_domain: str, shape: resource.GangShape
    ) -> str | None:
        """Return why a shape can never fit, or None if that is not known here."""
        if self._core is None or failure_domain != self._jobs.failure_domain:
            return None
        return self._core.infeasibility_reason(shape)

    def shortfalls(self) -> list[placer.Shortfall]:
        """Return the guarantees that can't be honoured; empty where not leading."""
        if self._core is None:
            return []
        return list(self._core.shortfalls(self._time.monotonic()))

    def leases(self) -> list[table.WorkerLeases]:
        """Return the leases of workers; empty where not leading."""
        if self._core is None:
            return []
        return list(self._core.workers.leases(self._time.monotonic()))

    async def run(self) -> None:
        """Drive gangs until cancelled."""
        roles = self._group.roles.subscribe(on_next=self._role_changed)
        applied = self._group.applied.subscribe(on_next=self._applied)
        try:
            while True:
                if self._group.is_leader:
                    try:
                        await self._lead()
                    except Exception as error:
                        self._failed(error)
                        await asyncio.sleep(RESTART_S)
                await self._wait()
        finally:
            self._resign()
            roles.dispose()
            applied.dispose()

    def announce(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        """Take a worker's announcement and renew the leases of its tasks.

        Raises
        ------
        NotLeaderError
            If this instance does not lead with a fresh quorum, or has not caught up.
        """
        core = self._core
        if core is None or not self._group.is_leader:
            raise errors.NotLeaderError(self._group.leader)
        effects = self._step(events.WorkerAnnounced(said))
        for effect in effects:
            if isinstance(effect, events.AnnouncementReply):
                return announcement.WorkerReply("", effect.renewals, effect.stop)
        raise AssertionError("an announcement is always answered")

    async def _lead(self) -> None:
        generation = self._generation
        elected_at = self._time.monotonic()
        try:
            await self._group.barrier(BARRIER_TIMEOUT_S)
        except errors.MarjoramusherError:
            return
        if not self._leads(generation):
            return
        configuration = self._configuration()
        self._revision = configuration.revision
        self._core = core = gang.GangCore(
            self._jobs,
            self._make_placer(),
            configuration,
            elected_at,
            self._time.utcnow().timestamp(),
        )
        log.state_change("jobs.leading", failure_domain=self._jobs.failure_domain)
        try:
            while self._leads(generation) and not core.is_outdated:
                configuration = self._configuration()
                if configuration.revision != self._revision:
                    self._revision = configuration.revision
                    self._step(events.ConfigurationChanged(configuration))
                self._step(events.TimerTicked())
                await self._wait()
        finally:
            self._resign()
            log.state_change("jobs.resigned", failure_domain=self._jobs.failure_domain)

    def _leads(self, generation: int) -> bool:
        return self._generation == generation and self._group.is_leader

    def _resign(self) -> None:
        self._core = None
        for task in self._running:
            task.cancel()
        self._running.clear()

    async def _wait(self) -> None:
        # A node that has just been elected has a fresh quorum a little later.
        busy = self._is_elected if self._core is None else self._core.is_busy
        loop = asyncio.get_running_loop()
        due_at = loop.time() + (TICK_S if busy else IDLE_TICK_S)
        timer = loop.call_at(due_at, self._kick.set)
        await self._kick.wait()
        timer.cancel()
        if loop.time() < due_at:
            await asyncio.sleep(BATCH_S)
        self._kick.clear()

    def _role_changed(self, change: message.RoleChanged) -> None:
        self._is_elected = change.role is message.Role.LEADER
        self._generation += 1
        self._kick.set()

    def _applied(self, index: int) -> None:
        # Each step takes the changes first. Taking them here would let a fault of the
        # placer reach the group.
        del index
        if self._core is not None:
            self._kick.set()

    def _step(self, event: events.Event) -> list[events.Effect]:
        core = self._core
        if core is None:
            return []
        try:
            effects = core.step(
                event, self._time.monotonic(), self._time.utcnow().timestamp()
            )
        except errors.MarjoramusherError:
            raise  # the event is refused
        except Exception as error:
            self._failed(error)
            raise
        for effect in effects:
            if isinstance(effect, rpc.Call):
                self._spawn(self._call(core, effect))
            elif isinstance(effect, events.ProposeCommand):
                self._spawn(self._propose(core, effect.command))
        return effects

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._failed(error)

    def _failed(self, error: BaseException) -> None:
        """Begin anew from the committed state after a fault of the program."""
        self._metrics.increment("gang_driver_faults")
        log.state_change("jobs.driver_fault", error=repr(error))
        self._generation += 1
        self._kick.set()

    async def _call(self, core: gang.GangCore, call: rpc.Call) -> None:
        if not self._group.is_leader:
            return
        method = call.method.value
        self._metrics.increment("task_calls", method=method)
        try:
            report = await self._tasks.call(call)
            event = events.CallCompleted(call, report)
        except errors.MarjoramusherError as error:
            self._metrics.increment("task_call_failures", method=method)
            event = events.CallCompleted(call, None, error.code, error.message)
        if self._core is core:
            self._step(event)
            self._kick.set()

    async def _propose(self, core: gang.GangCore, value: command.Command) -> None:
        error: errors.ErrorBody | None = None
        try:
            data = composite.part_command(command.PART, command.encode(value))
            outcome = command.decode_result(
                await self._group.propose(data, PROPOSE_TIMEOUT_S)
            )
            if isinstance(outcome, command.JobResult) and not outcome.repeated:
                self._note(outcome.job)
        except errors.MarjoramusherError as failure:
            error = failure.body()
            self._metrics.increment("job_proposals_refused", code=error.code.value)
        if self._core is core:
            self._step(events.ProposalCompleted(value, error))
            self._kick.set()

    def _note(self, item: model.Job) -> None:
        self._metrics.increment("job_changes", state=item.state.value)
        if item.started_at is not None:
            spec = item.spec
            if item.state is model.JobState.RUNNING and item.attempts == 1:
                waited_s = item.started_at - item.submitted_at
                self._metrics.observe(
                    "job_wait", waited_s, spec.account, spec.job_class.value
                )
            elif item.state is model.JobState.DONE and item.ended_at is not None:
                taken_s = item.ended_at - item.submitted_at
                self._metrics.observe(
                    "job_completion", taken_s, spec.account, spec.job_class.value
                )
        log.state_change(
            "job.state",
            job_id=item.job_id,
            state=item.state.value,
            epoch=item.epoch,
        )
