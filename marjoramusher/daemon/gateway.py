"""Gateway role: forwards requests of callers to the leader; it is stateless."""

import asyncio
import random

from ..core import clock, errors
from ..groups import bootstrap, forward
from ..instances import peers
from ..queues import call
from ..telemetry import log, metrics

PROBE_INTERVAL_S = 0.5  # half the interval of the load balancer's readiness checks
PROBE_TIMEOUT_S = 0.5


class Gateway:
    """Forward requests to the leader and probe whether it can be reached.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    controllers : tuple of str
        Addresses of the known controllers.
    """

    def __init__(
        self,
        instance_id: str,
        controllers: tuple[str, ...],
        time: clock.Clock,
        rng: random.Random,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._controllers = list(controllers)
        self._clock = time
        self._metrics = metrics_registry
        self._peers = peers.make_peers(instance_id, b"", time, metrics_registry)
        self._forwarder = forward.Forwarder(
            bootstrap.RECORDS,
            instance_id,
            self._peers.client,
            time,
            lambda: self._controllers,
            _refuse_local,
            rng,
        )
        self._is_leader_reachable = False
        self._last_reply_s = float("-inf")
        self._is_draining = False
        self._probe_task: asyncio.Task | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self._is_leader_reachable and not self._is_draining

    def start(self) -> None:
        """Start probing the leader."""
        self._probe_task = asyncio.get_running_loop().create_task(self._probe())
        log.watch_task(self._probe_task, "gateway")
        log.state_change(
            "gateway.started",
            instance=self._instance_id,
            controllers=self._controllers,
        )

    def set_controllers(self, controllers: tuple[str, ...]) -> None:
        """Replace the known controllers."""
        if list(controllers) != self._controllers:
            log.state_change(
                "gateway.controllers", before=self._controllers, now=controllers
            )
            self._controllers = list(controllers)

    def drain(self) -> None:
        """Report not ready from now on, so that no new callers are sent here."""
        self._is_draining = True
        log.state_change("gateway.draining", instance=self._instance_id)

    async def stop(self) -> None:
        """Stop probing and close all connections."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)
        await self._peers.stop()
        log.state_change("gateway.stopped", instance=self._instance_id)

    async def call(self, request: call.AnyCall, timeout_s: float) -> call.AnyReply:
        """Send a request to the leader and return its reply.

        Raises
        ------
        NoQuorumError
            If no leader replied in time; the outcome tells whether one may have
            run the request.
        """
        reply = await self._forwarder.call(
            call.METHOD, call.pack_call(request), timeout_s, idempotent=True
        )
        self._last_reply_s = self._clock.monotonic()
        self._set_reachable(True, "answered")
        return call.unpack_reply(reply)

    async def _probe(self) -> None:
        while True:
            started_s = self._clock.monotonic()
            try:
                await self.call(call.ReadVersion(), PROBE_TIMEOUT_S)
            except errors.MarjoramusherError as error:
                if self._last_reply_s < started_s:
                    self._set_reachable(False, error.message)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _set_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable is not self._is_leader_reachable:
            self._is_leader_reachable = is_reachable
            name = "leader.regained" if is_reachable else "leader.lost"
            log.state_change(name, instance=self._instance_id, reason=reason)


async def _refuse_local(method: str, body: bytes, timeout_s: float) -> bytes:
    del method, body, timeout_s
    raise errors.NotLeaderError(None)
