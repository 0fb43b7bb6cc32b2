"""Role of the entry instances: carry callers' calls to the leader, and keep nothing."""

import asyncio
import random

from ..core import clock, errors
from ..groups import bootstrap, forward
from ..instances import peers
from ..queues import call
from ..telemetry import log, metrics

PROBE_S = 0.5  # half of the interval at which the load balancer asks
PROBE_TIMEOUT_S = 0.5


class Gateway:
    """Reach the leader for callers.

    Parameters
    ----------
    instance_id : str
        Own id.
    controllers : tuple of str
        Addresses of the controllers that are known.
    """

    def __init__(
        self,
        instance_id: str,
        controllers: tuple[str, ...],
        time: clock.Clock,
        rng: random.Random,
        values: metrics.Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._controllers = list(controllers)
        self._clock = time
        self._metrics = values
        self._peers = peers.make_peers(instance_id, b"", time, values)
        self._forwarder = forward.Forwarder(
            bootstrap.RECORDS,
            instance_id,
            self._peers.client,
            time,
            lambda: self._controllers,
            _refuse_local,
            rng,
        )
        self._reached = False
        self._answered_s = float("-inf")
        self._draining = False
        self._task: asyncio.Task | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether the load balancer should send callers here."""
        return self._reached and not self._draining

    def start(self) -> None:
        """Begin to look for the leader."""
        self._task = asyncio.get_running_loop().create_task(self._probe())
        log.watch(self._task, "gateway")
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
        """Report not ready from now on."""
        self._draining = True
        log.state_change("gateway.draining", instance=self._instance_id)

    async def stop(self) -> None:
        """Close all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._peers.stop()
        log.state_change("gateway.stopped", instance=self._instance_id)

    async def call(self, wanted: call.AnyCall, timeout_s: float) -> call.AnyReply:
        """Have the leader answer a call.

        Raises
        ------
        NoQuorumError
            If no leader answered in time; the outcome tells whether one may have
            taken the call.
        """
        answer = await self._forwarder.call(
            call.METHOD, call.pack_call(wanted), timeout_s, idempotent=True
        )
        self._answered_s = self._clock.monotonic()
        self._note(True, "answered")
        return call.unpack_reply(answer)

    async def _probe(self) -> None:
        while True:
            began_s = self._clock.monotonic()
            try:
                await self.call(call.ReadVersion(), PROBE_TIMEOUT_S)
            except errors.MarjoramusherError as failure:
                if self._answered_s < began_s:
                    self._note(False, failure.message)
            await asyncio.sleep(PROBE_S)

    def _note(self, reached: bool, reason: str) -> None:
        if reached is not self._reached:
            self._reached = reached
            name = "leader.regained" if reached else "leader.lost"
            log.state_change(name, instance=self._instance_id, reason=reason)


async def _refuse_local(method: str, body: bytes, timeout_s: float) -> bytes:
    del method, body, timeout_s
    raise errors.NotLeaderError(None)
