"""Calls to the policy service, one at a time."""

import asyncio
from collections.abc import Callable

from ..core import clock, errors
from ..telemetry import log, metrics
from ..workflows import permit
from . import port

CALL_FACTOR = 2.0  # the service is loaded by other instances, too
CALL_MARGIN_S = 1.0  # a connection's first packet is sent again after a second
RETRY_S = 0.5  # after a call that failed; the service refuses when many calls wait


class PolicyCalls:
    """Ask about the workers for steps that wait, and keep the permits.

    The service answers the calls of one instance in turn, so a second call at the
    same time would only wait there, with workers chosen too early.

    Parameters
    ----------
    service : PolicyPort or None
        ``None`` if there is no policy service.
    answered : callable
        Called after each answer, so that tasks are placed.
    """

    def __init__(
        self,
        service: port.PolicyPort | None,
        time: clock.Clock,
        values: metrics.Metrics,
        answered: Callable[[], None],
    ) -> None:
        self._service = service
        self._clock = time
        self._metrics = values
        self._answered = answered
        self._task: asyncio.Task | None = None
        self._not_before_s = float("-inf")
        self.permits = permit.Permits()

    def ask(self, questions: tuple[permit.PolicyQuery, ...]) -> None:
        """Ask the first question, unless a call is in progress."""
        busy = self._task is not None and not self._task.done()
        if busy or not questions or self._service is None:
            return
        if self._clock.monotonic() >= self._not_before_s:
            self._task = asyncio.get_running_loop().create_task(
                self._call(self._service, questions[0])
            )
            log.watch(self._task, "policy")

    async def close(self) -> None:
        """Give up a call in progress, and all permits."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self.permits = permit.Permits()

    async def _call(self, service: port.PolicyPort, wanted: permit.PolicyQuery) -> None:
        began_s = self._clock.monotonic()
        call_s = wanted.policy.call_ms(len(wanted.workers)) / 1000
        workflow_id, occurrence, step = wanted.step
        try:
            permitted = await service.request_permits(
                wanted.step,
                tuple(worker.worker_id for worker in wanted.workers),
                CALL_FACTOR * call_s + CALL_MARGIN_S,
            )
        except errors.MarjoramusherError as failure:
            self._metrics.increment("policy_calls", outcome="failed")
            self._not_before_s = self._clock.monotonic() + RETRY_S
            log.state_change(
                "policy.unavailable",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=failure.message,
            )
            return
        now = self._clock.monotonic()
        # The decision is made during the call at the earliest.
        until_s = max(began_s, now - call_s) + permitted.validity_s
        self.permits.record(wanted.step, wanted.workers, permitted.tickets, until_s)
        self._metrics.increment("policy_calls", outcome="answered")
        log.state_change(
            "policy.answered",
            workflow=workflow_id,
            occurrence=occurrence,
            step=step,
            asked=len(wanted.workers),
            permitted=len(permitted.tickets),
            took_s=round(now - began_s, 3),
            lasts_s=round(until_s - now, 3),
        )
        self._answered()
