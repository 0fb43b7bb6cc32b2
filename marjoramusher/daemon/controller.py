"""Controller role: replicates the state of workflows and drives the workers."""

import pathlib
import random

import msgspec

from ..consensus import state
from ..core import clock
from ..executors import driver
from ..groups import bootstrap, manager, runner
from ..http import connection_guard
from ..instances import peers
from ..queues import call, service
from ..telemetry import log, metrics
from ..workflows import machine

# Two lost heartbeats do not cause an election. The timeout is shorter than in domain
# groups, since all callers wait for the next leader.
ELECTION_MIN_S = 0.7
ELECTION_MAX_S = 1.1
LEASE_S = 0.6


class Settings(msgspec.Struct, frozen=True):
    """Settings of a controller.

    Parameters
    ----------
    address : str
        ``host:port`` for other instances, and the id of this instance.
    seeds : tuple of str
        Addresses of other controllers.
    is_bootstrapping : bool
        Whether the cluster starts for the first time; the seeds are then its founding
        members.
    """

    address: str
    failure_domain: str
    region: str
    seeds: tuple[str, ...]
    data_folder: str
    is_bootstrapping: bool = False


class Controller:
    """Replicate workflows, workers and the catalog; drive the workers while leading."""

    def __init__(
        self,
        settings: Settings,
        driver_settings: driver.Settings,
        driver_ports: driver.Ports,
        time: clock.Clock,
        rng: random.Random,
        metrics_registry: metrics.Metrics,
        intake: connection_guard.Intake | None = None,
    ) -> None:
        self._settings = settings
        self._peers = peers.make_peers(
            settings.address, b"", time, metrics_registry, intake
        )
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
                founders=settings.seeds if settings.is_bootstrapping else (),
            ),
            time,
            rng,
            self._peers,
            metrics_registry,
            {bootstrap.RECORDS: self._state},
        )
        self._driver_settings = driver_settings
        self._driver_ports = driver_ports
        self._clock = time
        self._metrics = metrics_registry

    @property
    def is_leading(self) -> bool:
        """Return whether this instance is the leader."""
        return self._driver.is_leading

    async def start(self) -> None:
        """Open the store, join the other controllers and serve their calls."""
        host, _, port = self._settings.address.rpartition(":")
        pathlib.Path(self._settings.data_folder).mkdir(parents=True, exist_ok=True)
        await self._peers.server.start(host, int(port))
        await self._manager.start()
        group = self._manager.group(bootstrap.RECORDS)
        self._driver = driver.Driver(
            group,
            self._state,
            self._driver_ports,
            self._clock,
            self._metrics,
            self._driver_settings,
        )
        self._service = service.QueueService(
            self._settings.address,
            self._state,
            self._driver,
            self._clock,
            self._metrics,
        )
        self._forwarder = self._manager.forwarder(bootstrap.RECORDS, self._serve_local)
        self._group = group
        self._peers.server.register(call.METHOD, self._serve_peer)
        self._driver.start()
        log.state_change(
            "controller.started",
            instance=self._settings.address,
            seeds=self._settings.seeds,
            founds=self._settings.is_bootstrapping,
        )

    async def stop(self) -> None:
        """Hand over the leadership and stop."""
        log.state_change("controller.stopping", instance=self._settings.address)
        await self._manager.hand_over()
        await self._driver.stop()
        await self._manager.stop()
        await self._peers.stop()
        log.state_change("controller.stopped", instance=self._settings.address)

    async def call(self, request: call.AnyCall, timeout_s: float) -> call.AnyReply:
        """Send a request to the leader and return its reply.

        Raises
        ------
        NoQuorumError
            If no leader replied in time; the outcome tells whether one may have
            run the request.
        """
        reply = await self._forwarder.call(
            call.METHOD,
            call.pack_call(request),
            timeout_s,
            lambda: self._group.responsive_leader,
            idempotent=True,
        )
        return call.unpack_reply(reply)

    async def _serve_local(self, method: str, body: bytes, timeout_s: float) -> bytes:
        del method, timeout_s
        return await self._service.serve(body)

    async def _serve_peer(self, sender: str, body: bytes) -> bytes:
        del sender
        return await self._service.serve(body)
