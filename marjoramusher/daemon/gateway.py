"""Gateway role: forwards requests of callers to the leader; it is stateless."""

import asyncio
import random
from collections.abc import Callable

from ..core import clock, errors
from ..groups import bootstrap, forward
from ..instances import peers
from ..queues import call, outage
from ..telemetry import log, metrics, supervision

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
        self._rng = rng
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
        self._outage = outage.LeaderOutage(time.monotonic())
        self._is_draining = False
        self._probe_task: asyncio.Task | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return not self._outage.is_lost and not self._is_draining

    def start(self) -> None:
        """Start probing the leader."""
        self._probe_task = asyncio.get_running_loop().create_task(
            supervision.repeat(self._probe, "gateway")
        )
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

    async def call(self, request: call.AnyCall, remaining_s: float) -> call.AnyReply:
        """Send a request to the leader and return its reply.

        Parameters
        ----------
        remaining_s : float
            Time until the deadline of the request.

        Raises
        ------
        LeaderUnavailableError
            If no leader accepted the request.
        MarjoramusherError
            With outcome ``unknown`` if a leader may have run the request, but its
            answer was lost; ``not_run`` if the leader rejects it.
        """
        now_s = self._clock.monotonic()
        wait_s = self._outage.wait_s(now_s, remaining_s)
        if not wait_s:
            raise self._outage.rejection(now_s, self._rng)
        try:
            reply = await self._forward(
                call.pack_call(request),
                wait_s,
                call.is_rejection if isinstance(request, call.Submit) else None,
            )
        except errors.NoQuorumError as error:
            if error.outcome is not errors.Outcome.NOT_RUN:
                raise
            raise self._outage.rejection(self._clock.monotonic(), self._rng) from error
        return call.unpack_reply(reply)

    async def _forward(
        self,
        body: bytes,
        timeout_s: float,
        is_rejection: Callable[[bytes], bool] | None = None,
    ) -> bytes:
        reply = await self._forwarder.call(
            call.METHOD, body, timeout_s, idempotent=True, is_rejection=is_rejection
        )
        if self._outage.is_lost:
            self._log_leader("leader.regained", "answered")
        self._outage.record_answer(self._clock.monotonic())
        return reply

    async def _probe(self) -> None:
        sent_s = self._clock.monotonic()
        was_lost = self._outage.is_lost
        try:
            await self._forward(call.pack_call(call.ReadVersion()), PROBE_TIMEOUT_S)
        except errors.MarjoramusherError as error:
            self._outage.record_failure(sent_s)
            if self._outage.is_lost and not was_lost:
                self._log_leader("leader.lost", error.message)
        await asyncio.sleep(PROBE_INTERVAL_S)

    def _log_leader(self, name: str, reason: str) -> None:
        log.state_change(name, instance=self._instance_id, reason=reason)


async def _refuse_local(method: str, body: bytes, timeout_s: float) -> bytes:
    del method, body, timeout_s
    raise errors.NotLeaderError(None)
