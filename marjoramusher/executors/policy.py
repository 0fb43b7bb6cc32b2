"""Calls to the policy service, one at a time."""

import asyncio
from collections.abc import Callable

from ..core import clock, errors
from ..telemetry import log, metrics
from ..workflows import permit
from . import port

# The timeout of a call is this multiple of its expected duration, since the service is
# also loaded by other instances, plus a margin.
TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_S = 1.0  # the first packet of a connection is retransmitted after 1 s
RETRY_S = 0.5  # after a failed call; the service rejects calls if too many wait


class PolicyClient:
    """Query the workers for pending steps, and keep the permits.

    The service handles the calls of one instance in sequence. A second call at the
    same time would only wait there, while its choice of workers becomes outdated.

    Parameters
    ----------
    service : PolicyPort or None
        ``None`` if there is no policy service.
    on_answer : callable
        Called after each answer, to trigger placement.
    """

    def __init__(
        self,
        service: port.PolicyPort | None,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
        on_answer: Callable[[], None],
    ) -> None:
        self._service = service
        self._clock = time
        self._metrics = metrics_registry
        self._on_answer = on_answer
        self._task: asyncio.Task | None = None
        self._retry_after_s = float("-inf")
        self.permits = permit.Permits()

    def query(self, queries: tuple[permit.PolicyQuery, ...]) -> None:
        """Send the first query, unless a call is in progress or failed recently."""
        is_busy = self._task is not None and not self._task.done()
        if is_busy or not queries or self._service is None:
            return
        if self._clock.monotonic() >= self._retry_after_s:
            self._task = asyncio.get_running_loop().create_task(
                self._call(self._service, queries[0])
            )
            log.watch_task(self._task, "policy")

    async def close(self) -> None:
        """Cancel a call in progress, and drop all permits."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self.permits = permit.Permits()

    async def _call(self, service: port.PolicyPort, query: permit.PolicyQuery) -> None:
        sent_s = self._clock.monotonic()
        call_s = query.policy.call_ms(len(query.workers)) / 1000
        workflow_id, occurrence, step = query.step
        try:
            decision = await service.request_permits(
                query.step,
                tuple(worker.worker_id for worker in query.workers),
                TIMEOUT_FACTOR * call_s + TIMEOUT_MARGIN_S,
            )
        except errors.MarjoramusherError as failure:
            self._metrics.increment("policy_calls", outcome="failed")
            self._retry_after_s = self._clock.monotonic() + RETRY_S
            log.state_change(
                "policy.unavailable",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=failure.message,
            )
            return
        now_s = self._clock.monotonic()
        # The permits are valid from the decision, which may be as old as the expected
        # duration of the call.
        expires_s = max(sent_s, now_s - call_s) + decision.validity_s
        self.permits.record(query.step, query.workers, decision.tickets, expires_s)
        self._metrics.increment("policy_calls", outcome="answered")
        log.state_change(
            "policy.answered",
            workflow=workflow_id,
            occurrence=occurrence,
            step=step,
            asked=len(query.workers),
            permitted=len(decision.tickets),
            took_s=round(now_s - sent_s, 3),
            lasts_s=round(expires_s - now_s, 3),
        )
        self._on_answer()
