"""Calls to the policy service, one at a time."""

import asyncio
from collections.abc import Callable

from ..core import clock, errors
from ..telemetry import log, metrics
from ..workflows import permit, resources
from . import port

# The timeout of a call is this multiple of its expected duration, since the service is
# also loaded by other instances, plus a margin.
TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_S = 1.0  # the first packet of a connection is retransmitted after 1 s
# After calls for two steps in a row have failed, which is not due to one of the steps.
# The service rejects calls if too many wait.
PAUSE_S = 0.5
MAX_FAILED_STEPS = 2


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
        self._turns = permit.QueryTurns()
        self._failed_steps: set[resources.StepKey] = set()  # since the last answer
        self._retry_after_s = float("-inf")
        self.permits = permit.Permits()

    def query(self, queries: tuple[permit.PolicyQuery, ...]) -> None:
        """Send the query whose turn it is, unless a call is in progress."""
        now_s = self._clock.monotonic()
        self._turns.update(queries, now_s)
        is_busy = self._task is not None and not self._task.done()
        if is_busy or self._service is None or now_s < self._retry_after_s:
            return
        chosen = self._turns.choose(queries, now_s)
        if chosen is not None:
            self._turns.record_call(chosen)
            self._task = asyncio.get_running_loop().create_task(
                self._call(self._service, chosen)
            )
            log.watch_task(self._task, "policy")

    async def close(self) -> None:
        """Cancel a call in progress, and drop all permits."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self._turns = permit.QueryTurns()
        self._failed_steps.clear()
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
            self._record_failure(query.step)
            log.state_change(
                "policy.unavailable",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=failure.message,
            )
            return
        now_s = self._clock.monotonic()
        self._failed_steps.clear()
        self._turns.record_answer(query.step)
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

    def _record_failure(self, step: resources.StepKey) -> None:
        """Let other steps come first, or pause if it is not due to the step."""
        now_s = self._clock.monotonic()
        self._turns.record_failure(step, now_s)
        self._failed_steps.add(step)
        if len(self._failed_steps) >= MAX_FAILED_STEPS:
            self._retry_after_s = now_s + PAUSE_S
