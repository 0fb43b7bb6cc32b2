"""Drain the hosts of a wave and start their maintenance, a few at a time."""

import asyncio
from typing import Protocol

import msgspec

from ..core import clock, errors
from ..telemetry import log, metrics
from ..workflows import availability, command, machine, wave, workflow
from . import port

# Each call that lists the hosts is billed, and a host is down for at least two
# intervals.
POLL_INTERVAL_S = 1.0
# Consecutive listings without a host after which it counts as missing, since a new
# host may be listed late.
MAX_ABSENCES = 3


class Settings(msgspec.Struct, frozen=True):
    """Settings of maintenance.

    Parameters
    ----------
    holder : str
        Name under which this instance sends requests for hosts.
    handover_s : float
        Minimum time between requests of two different holders.
    maintenance_s : float
        Downtime of a host during its maintenance.
    """

    holder: str = ""
    handover_s: float = 3.0
    maintenance_s: float = 2.0


class Leader(Protocol):
    """The part of the driver that maintenance uses."""

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance still leads; checked before each request."""

    @property
    def term(self) -> int:
        """Return the term of this leadership, which is its fencing token."""

    async def propose(self, proposed: command.AnyCommand) -> bytes:
        """Commit a command."""

    async def end_incarnation(self, worker: workflow.Worker, reason: str) -> None:
        """Remove an incarnation of a worker that has certainly ended."""

    def await_announcement(self, worker_id: str) -> None:
        """Place nothing on a worker until it has announced itself again."""

    def is_unavailable(self, placement: workflow.Placement) -> bool:
        """Tell whether a long-running task is not serving or is being stopped."""


class _Drain(msgspec.Struct):
    """A host that is being drained or is down for maintenance.

    Parameters
    ----------
    started_at : float
        Since when the host gets no new tasks.
    is_requested : bool
        Whether maintenance was requested; without a reply it may start later.
    incarnation : int or None
        Incarnation of the worker that was registered when maintenance was first
        requested.
    confirmed_at : float or None
        When the start of maintenance was confirmed. The host is then down for
        `Settings.maintenance_s`; listings requested before that has passed can't show
        that it is up again.
    """

    wave_number: int
    host: str
    worker_id: str | None
    started_at: float
    timeout_s: float
    is_requested: bool = False
    incarnation: int | None = None
    confirmed_at: float | None = None


class Maintenance:
    """Carry out maintenance waves while this instance leads.

    Parameters
    ----------
    service : HostPort or None
        ``None`` if the deployment has no such service.
    """

    def __init__(
        self,
        state: machine.WorkflowMachine,
        service: port.HostPort | None,
        time: clock.Clock,
        leader: Leader,
        metrics_registry: metrics.Metrics,
        settings: Settings,
    ) -> None:
        self._state = state
        self._service = service
        self._clock = time
        self._leader = leader
        self._metrics = metrics_registry
        self._settings = settings
        self._drains: dict[str, _Drain] = {}
        self._absences: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to carry out waves as leader."""
        if self._service is not None:
            self._task = asyncio.get_running_loop().create_task(
                self._run(self._service)
            )

    async def close(self) -> None:
        """Send no more requests, and forget the current drains."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self._drains = {}
        self._absences = {}

    def is_draining(self, worker_id: str) -> bool:
        """Tell whether a worker gets no new tasks because its host is drained."""
        return any(drain.worker_id == worker_id for drain in self._drains.values())

    def stop_reason(self, placement: workflow.Placement) -> str:
        """Return why a run should be stopped for maintenance, empty if it should not.

        Single tasks with checkpoints lose little and are stopped at once, other tasks
        when the drain times out. Long-running tasks are stopped within the disruption
        budget of their step.
        """
        drain = next(
            (
                drain
                for drain in self._drains.values()
                if drain.worker_id == placement.worker_id
            ),
            None,
        )
        step = self._state.step(placement.task)
        if drain is None or step is None:
            return ""
        if step.long_running:
            can_stop = availability.can_stop(
                self._state, placement, self._leader.is_unavailable
            )
            return "maintenance of its host" if can_stop else ""
        waited_s = self._clock.monotonic() - drain.started_at
        is_cheap = step.checkpointing and not step.gang
        if is_cheap or waited_s >= drain.timeout_s:
            return "maintenance of its host"
        return ""

    async def _run(self, service: port.HostPort) -> None:
        # A request of the former leader may still be in transit.
        await asyncio.sleep(self._settings.handover_s)
        while True:
            if self._open_waves() or self._drains:
                try:
                    await self._advance(service)
                except errors.MarjoramusherError as failure:
                    self._metrics.increment("host_calls_failed")
                    log.state_change(
                        "hosts.unavailable",
                        code=failure.code.value,
                        reason=failure.message,
                    )
                except Exception as failure:
                    # An unexpected error in one step must not end the loop.
                    log.unexpected_error("maintenance", failure)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _open_waves(self) -> list[wave.WaveState]:
        return [state for state in self._state.waves.values() if not state.is_complete]

    async def _advance(self, service: port.HostPort) -> None:
        """List the hosts, and continue all drains and open waves."""
        listed_at = self._clock.monotonic()
        hosts = await service.hosts()
        await self._end_drains(hosts, listed_at)
        for open_wave in self._open_waves():
            await self._record_missing(open_wave, hosts)
            self._start_drains(open_wave, hosts)
        for drain in list(self._drains.values()):
            if drain.confirmed_at is None and self._is_drained(drain, hosts):
                await self._request_maintenance(service, drain)

    async def _end_drains(self, hosts: dict[str, port.Host], listed_at: float) -> None:
        """End the drains of hosts that are up again or have disappeared."""
        for name, drain in list(self._drains.items()):
            host = hosts.get(name)
            if drain.confirmed_at is None:
                if host is None and not drain.is_requested:
                    del self._drains[name]
                continue
            if listed_at - drain.confirmed_at < self._settings.maintenance_s:
                continue
            if host is None or host.state is port.HostState.UP:
                del self._drains[name]
                await self._end_replaced(drain, host)

    async def _end_replaced(self, drain: _Drain, host: port.Host | None) -> None:
        """End the incarnation before maintenance if its host runs another worker.

        The reply to a request can't tell this: it is the same if maintenance was done
        long before, and a worker that has restarted under its id announces that itself.
        """
        registered = self._state.workers.get(drain.worker_id or "")
        if (
            registered is not None
            and registered.worker.incarnation == drain.incarnation
            and host is not None
            and host.worker_id not in (None, drain.worker_id)
        ):
            await self._leader.end_incarnation(
                registered.worker, "maintenance of its host"
            )

    async def _record_missing(
        self, open_wave: wave.WaveState, hosts: dict[str, port.Host]
    ) -> None:
        """Commit which remaining hosts of a wave no longer exist."""
        for name in open_wave.remaining:
            if name in hosts:
                self._absences.pop(name, None)
                continue
            self._absences[name] = self._absences.get(name, 0) + 1
            if self._absences[name] >= MAX_ABSENCES:
                await self._record(open_wave.wave.number, name, is_missing=True)

    def _start_drains(
        self, open_wave: wave.WaveState, hosts: dict[str, port.Host]
    ) -> None:
        """Start to drain hosts of a wave, up to its `max_down` at a time."""
        number = open_wave.wave.number
        active = sum(drain.wave_number == number for drain in self._drains.values())
        ready = [
            name
            for name in open_wave.remaining
            if name in hosts
            and name not in self._drains
            and hosts[name].state is port.HostState.UP
        ]
        placements = {
            name: list(self._state.placements_on(hosts[name].worker_id or "").values())
            for name in ready
        }
        long_running = {
            run
            for runs in placements.values()
            for run in runs
            if self._is_long_running(run)
        }
        timeout_s = wave.drain_timeout_s(open_wave.wave, self._settings.maintenance_s)
        for name in wave.order_by_disruption(ready, placements, long_running)[
            : max(open_wave.wave.max_down - active, 0)
        ]:
            self._drains[name] = _Drain(
                number,
                name,
                hosts[name].worker_id,
                self._clock.monotonic(),
                timeout_s,
            )
            log.state_change(
                "host.emptying",
                wave=number,
                host=name,
                worker=hosts[name].worker_id,
                runs=len(placements[name]),
                patience_s=timeout_s,
            )

    def _is_long_running(self, placement: workflow.Placement) -> bool:
        step = self._state.step(placement.task)
        return step is not None and step.long_running

    def _is_drained(self, drain: _Drain, hosts: dict[str, port.Host]) -> bool:
        """Tell whether to request maintenance of a host, or to repeat the request.

        A request is repeated if it got no reply.
        """
        if drain.is_requested:
            return True
        host = hosts.get(drain.host)
        if host is None or host.state is not port.HostState.UP:
            return False
        drain.worker_id = host.worker_id
        return not host.worker_id or not self._state.placements_on(host.worker_id)

    async def _request_maintenance(self, service: port.HostPort, drain: _Drain) -> None:
        if not self._leader.is_leading:
            return
        is_retry = drain.is_requested
        if not is_retry:
            registered = self._state.workers.get(drain.worker_id or "")
            if registered is not None:
                drain.incarnation = registered.worker.incarnation
        drain.is_requested = True
        outcome = await service.maintain(
            drain.host, drain.wave_number, self._settings.holder, self._leader.term
        )
        self._metrics.increment("host_maintenance", outcome=outcome.value)
        log.state_change(
            "host.maintenance",
            wave=drain.wave_number,
            host=drain.host,
            worker=drain.worker_id,
            outcome=outcome.value,
            term=self._leader.term,
        )
        if outcome is port.MaintenanceOutcome.STARTED:
            drain.confirmed_at = self._clock.monotonic()
            self._leader.await_announcement(drain.worker_id or "")
            await self._record(drain.wave_number, drain.host, is_missing=False)
            return
        if is_retry and outcome is port.MaintenanceOutcome.BUSY:
            return  # the request without a reply may be in progress
        del self._drains[drain.host]
        if outcome is port.MaintenanceOutcome.REFUSED:
            await self._record(drain.wave_number, drain.host, is_missing=True)

    async def _record(self, number: int, host: str, *, is_missing: bool) -> None:
        await self._leader.propose(
            command.NoteMaintenance(
                clock.unix_ms(self._clock), number, host, is_missing
            )
        )
