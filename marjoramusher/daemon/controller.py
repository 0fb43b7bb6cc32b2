"""Role of the instances with a disk: keep the state, and lead the workers."""

import pathlib
import random

import msgspec

from ..consensus import state
from ..core import clock
from ..executors import driver
from ..groups import bootstrap, manager, runner
from ..instances import peers
from ..queues import call, service
from ..telemetry import log, metrics
from ..workflows import machine

# Two heartbeats may be lost before an election. All callers wait for the next leader,
# so it is sooner here than in the groups of failure domains.
ELECTION_MIN_S = 0.7
ELECTION_MAX_S = 1.1
LEASE_S = 0.6


class Settings(msgspec.Struct, frozen=True):
    """What a controller has to know.

    Parameters
    ----------
    address : str
        ``host:port`` for other instances; it is the id of the instance, too.
    seeds : tuple of str
        Addresses of other controllers.
    founds : bool
        Whether the system starts for the first time; the seeds are the founders.
    """

    address: str
    failure_domain: str
    region: str
    seeds: tuple[str, ...]
    data_folder: str
    founds: bool = False


class Controller:
    """Keep workflows, workers and the catalog, and drive the workers when leading."""

    def __init__(
        self,
        settings: Settings,
        driving: driver.Settings,
        ports: driver.Ports,
        time: clock.Clock,
        rng: random.Random,
        values: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._peers = peers.make_peers(settings.address, b"", time, values)
        self._state = machine.WorkflowMachine()
        self._manager = manager.make_manager(
            manager.Settings(
                settings.address,
                settings.failure_domain,
                settings.region,
                "",
                settings.address,
                settings.seeds,
                settings.data_folder,
                limits=runner.Limits(
                    node=state.Settings(
                        heartbeat_s=runner.Limits().node.heartbeat_s,
                        election_min_s=ELECTION_MIN_S,
                        election_max_s=ELECTION_MAX_S,
                        lease_s=LEASE_S,
                    )
                ),
                single_group=True,
                founders=settings.seeds if settings.founds else (),
            ),
            time,
            rng,
            self._peers,
            values,
            {bootstrap.RECORDS: self._state},
        )
        self._driving = driving
        self._ports = ports
        self._clock = time
        self._metrics = values

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance leads."""
        return self._driver.is_leading

    async def start(self) -> None:
        """Open the store, find the others and listen to them."""
        host, _, number = self._settings.address.rpartition(":")
        pathlib.Path(self._settings.data_folder).mkdir(parents=True, exist_ok=True)
        await self._peers.server.start(host, int(number))
        await self._manager.start()
        group = self._manager.group(bootstrap.RECORDS)
        self._driver = driver.Driver(
            group,
            self._state,
            self._ports,
            self._clock,
            self._metrics,
            self._driving,
        )
        self._service = service.QueueService(
            self._settings.address,
            self._state,
            self._driver,
            self._clock,
            self._metrics,
        )
        self._forwarder = self._manager.forwarder(bootstrap.RECORDS, self._answer)
        self._group = group
        self._peers.server.register(call.METHOD, self._serve_peer)
        self._driver.start()
        log.state_change(
            "controller.started",
            instance=self._settings.address,
            seeds=self._settings.seeds,
            founds=self._settings.founds,
        )

    async def stop(self) -> None:
        """Hand the lead over and stop."""
        log.state_change("controller.stopping", instance=self._settings.address)
        await self._manager.hand_over()
        await self._driver.stop()
        await self._manager.stop()
        await self._peers.stop()
        log.state_change("controller.stopped", instance=self._settings.address)

    async def call(self, wanted: call.AnyCall, timeout_s: float) -> call.AnyReply:
        """Have the leader answer a call, wherever it is.

        Raises
        ------
        NoQuorumError
            If no leader answered in time; the outcome tells whether one may have
            taken the call.
        """
        answer = await self._forwarder.call(
            call.METHOD,
            call.pack_call(wanted),
            timeout_s,
            lambda: self._group.responsive_leader,
            idempotent=True,
        )
        return call.unpack_reply(answer)

    async def _answer(self, method: str, body: bytes, timeout_s: float) -> bytes:
        del method, timeout_s
        return await self._service.serve(body)

    async def _serve_peer(self, sender: str, body: bytes) -> bytes:
        del sender
        return await self._service.serve(body)
