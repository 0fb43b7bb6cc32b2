"""Empty the hosts of a wave and have them maintained, a few at a time."""

import asyncio
from typing import Protocol

import msgspec

from ..core import clock, errors
from ..telemetry import log, metrics
from ..workflows import availability, command, machine, wave, workflow
from . import port

POLL_S = 1.0  # each list of hosts is paid for; a host is down for two of these or more
MISSED_LISTS = 3  # a list may lag behind a host that has just been added


class Settings(msgspec.Struct, frozen=True):
    """What maintenance has to know of the deployment.

    Parameters
    ----------
    holder : str
        Name under which this instance gives orders for hosts.
    handover_s : float
        Orders of two holders have to be this far apart.
    maintenance_s : float
        How long a host is down.
    """

    holder: str = ""
    handover_s: float = 3.0
    maintenance_s: float = 2.0


class Leader(Protocol):
    """What maintenance needs of the instance that leads."""

    @property
    def is_leading(self) -> bool:
        """Tell whether it still leads; asked before each order."""

    @property
    def term(self) -> int:
        """Return the fencing token of this leadership."""

    async def propose(self, wanted: command.AnyCommand) -> bytes:
        """Commit a command."""

    async def end_incarnation(self, worker: workflow.Worker, reason: str) -> None:
        """Give up a life of a worker that is certainly over."""

    def is_unavailable(self, placement: workflow.Placement) -> bool:
        """Tell whether a long-running task is not at work, or will not be."""


class _Turn(msgspec.Struct):
    """A host that is being emptied or is down.

    Parameters
    ----------
    began_s : float
        When it got no new work any more.
    ordered : bool
        Whether its maintenance was ordered; without an answer it may begin later.
    ended_s : float or None
        When the order was answered; a list asked for later shows it up again.
    """

    number: int
    host: str
    worker_id: str | None
    began_s: float
    patience_s: float
    ordered: bool = False
    ended_s: float | None = None


class Maintenance:
    """Carry out the waves while this instance leads.

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
        values: metrics.Metrics,
        settings: Settings,
    ) -> None:
        self._state = state
        self._service = service
        self._clock = time
        self._leader = leader
        self._metrics = values
        self._settings = settings
        self._turns: dict[str, _Turn] = {}
        self._missed: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def begin(self) -> None:
        """Begin to lead."""
        if self._service is not None:
            self._task = asyncio.get_running_loop().create_task(
                self._run(self._service)
            )

    async def close(self) -> None:
        """Give no more orders, and forget whose turn it is."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self._turns = {}
        self._missed = {}

    def is_emptying(self, worker_id: str) -> bool:
        """Tell whether a worker gets no new work because its host's turn has come."""
        return any(each.worker_id == worker_id for each in self._turns.values())

    def unwanted(self, placement: workflow.Placement) -> str:
        """Return why a run should stop for maintenance, empty if it should not."""
        turn = next(
            (t for t in self._turns.values() if t.worker_id == placement.worker_id),
            None,
        )
        step = self._state.step(placement.task)
        if turn is None or step is None:
            return ""
        if step.long_running:
            may_stop = availability.can_stop(
                self._state, placement, self._leader.is_unavailable
            )
            return "maintenance of its host" if may_stop else ""
        waited_s = self._clock.monotonic() - turn.began_s
        cheap = step.checkpointing and not step.gang
        if cheap or waited_s >= turn.patience_s:
            return "maintenance of its host"
        return ""

    async def _run(self, service: port.HostPort) -> None:
        # An order of the former leader may still be on its way.
        await asyncio.sleep(self._settings.handover_s)
        while True:
            if self._open() or self._turns:
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
                    # A fault in one turn must not end all later ones.
                    log.unexpected("maintenance", failure)
            await asyncio.sleep(POLL_S)

    def _open(self) -> list[wave.WaveState]:
        return [each for each in self._state.waves.values() if not each.is_complete]

    async def _advance(self, service: port.HostPort) -> None:
        asked_s = self._clock.monotonic()
        hosts = await service.hosts()
        self._end_turns(hosts, asked_s)
        for each in self._open():
            await self._note_gone(each, hosts)
            self._begin_turns(each, hosts)
        for turn in list(self._turns.values()):
            if turn.ended_s is None and self._is_empty(turn, hosts):
                await self._order(service, turn)

    def _end_turns(self, hosts: dict[str, port.Host], asked_s: float) -> None:
        """Note which hosts are up again after their maintenance."""
        for name, turn in list(self._turns.items()):
            host = hosts.get(name)
            if turn.ended_s is None:
                if host is None and not turn.ordered:
                    del self._turns[name]
                continue
            if asked_s - turn.ended_s < self._settings.maintenance_s:
                continue
            if host is None or host.state is port.HostState.UP:
                del self._turns[name]

    async def _note_gone(
        self, each: wave.WaveState, hosts: dict[str, port.Host]
    ) -> None:
        for name in each.remaining:
            if name in hosts:
                self._missed.pop(name, None)
                continue
            self._missed[name] = self._missed.get(name, 0) + 1
            if self._missed[name] >= MISSED_LISTS:
                await self._note(each.wave.number, name, gone=True)

    def _begin_turns(self, each: wave.WaveState, hosts: dict[str, port.Host]) -> None:
        """Let the next hosts of a wave empty, as many as may be down."""
        number = each.wave.number
        taken = sum(turn.number == number for turn in self._turns.values())
        ready = [
            name
            for name in each.remaining
            if name in hosts
            and name not in self._turns
            and hosts[name].state is port.HostState.UP
        ]
        placed = {
            name: list(self._state.placements_on(hosts[name].worker_id or "").values())
            for name in ready
        }
        lasting = {
            run for runs in placed.values() for run in runs if self._is_lasting(run)
        }
        patience_s = wave.drain_timeout_s(each.wave, self._settings.maintenance_s)
        for name in wave.order_by_disruption(ready, placed, lasting)[
            : max(each.wave.max_down - taken, 0)
        ]:
            self._turns[name] = _Turn(
                number,
                name,
                hosts[name].worker_id,
                self._clock.monotonic(),
                patience_s,
            )
            log.state_change(
                "host.emptying",
                wave=number,
                host=name,
                worker=hosts[name].worker_id,
                runs=len(placed[name]),
                patience_s=patience_s,
            )

    def _is_lasting(self, placement: workflow.Placement) -> bool:
        step = self._state.step(placement.task)
        return step is not None and step.long_running

    def _is_empty(self, turn: _Turn, hosts: dict[str, port.Host]) -> bool:
        if turn.ordered:
            return True  # sent again until it is answered
        host = hosts.get(turn.host)
        if host is None or host.state is not port.HostState.UP:
            return False
        turn.worker_id = host.worker_id
        return not host.worker_id or not self._state.placements_on(host.worker_id)

    async def _order(self, service: port.HostPort, turn: _Turn) -> None:
        if not self._leader.is_leading:
            return
        repeated = turn.ordered
        turn.ordered = True
        outcome = await service.maintain(
            turn.host, turn.number, self._settings.holder, self._leader.term
        )
        self._metrics.increment("host_maintenance", outcome=outcome.value)
        log.state_change(
            "host.maintenance",
            wave=turn.number,
            host=turn.host,
            worker=turn.worker_id,
            outcome=outcome.value,
            term=self._leader.term,
        )
        if outcome is port.Outcome.BEGUN:
            turn.ended_s = self._clock.monotonic()
            known = self._state.workers.get(turn.worker_id or "")
            if known is not None:
                await self._leader.end_incarnation(
                    known.worker, "maintenance of its host"
                )
            await self._note(turn.number, turn.host, gone=False)
            return
        if repeated and outcome is port.Outcome.BUSY:
            return  # the order without an answer may be under way
        del self._turns[turn.host]
        if outcome is port.Outcome.REFUSED:
            await self._note(turn.number, turn.host, gone=True)

    async def _note(self, number: int, host: str, *, gone: bool) -> None:
        await self._leader.propose(
            command.NoteMaintenance(clock.unix_ms(self._clock), number, host, gone)
        )
