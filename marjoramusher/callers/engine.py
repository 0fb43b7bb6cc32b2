"""Engine that carries out the effects of a routing policy on the event loop."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable

import msgspec

from ..core import announcement as announcements
from ..core import clock, errors, record
from ..routing import effect, grants, policy
from ..routing import request as requests
from ..routing import target as targets
from ..targets import dispatch
from ..telemetry import log, metrics, supervision
from . import forwarding
from . import response as responses

BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.5
# Time after the deadline of a forwarded request in which the other failure domain can
# report that it has ended the request.
FORWARD_GRACE_S = 0.5
# Responses up to this size are read completely before they are passed on, so that the
# request can still be retried.
MAX_BUFFERED_BYTES = 64 * 1024


Forward = Callable[
    [str, requests.Request, dispatch.TargetRequest], AsyncIterator[bytes]
]
"""Forwards a request to a failure domain and yields the frames of the response."""


class _PendingRequest:
    """Request in progress.

    Attributes
    ----------
    response : asyncio.Future
        Set once the status and headers of the response are known, or to an error.
    tasks : dict
        Tasks by attempt number; number 0 is the forward.
    may_have_run : bool
        True after a forward with an unknown outcome. The local policy doesn't know of
        it, so the outcome of its refusals is changed to unknown.
    refusal : MarjoramusherError or None
        Error with which the policy refused the request.
    """

    __slots__ = (
        "may_have_run",
        "refusal",
        "request",
        "response",
        "target_request",
        "tasks",
    )

    def __init__(
        self,
        request: requests.Request,
        target_request: dispatch.TargetRequest,
        response: asyncio.Future[responses.Response],
    ) -> None:
        self.request = request
        self.target_request = target_request
        self.response = response
        self.tasks: dict[int, asyncio.Task] = {}
        self.may_have_run = False
        self.refusal: errors.MarjoramusherError | None = None


class Engine:
    """Run requests through a routing policy and a dispatcher.

    Parameters
    ----------
    routing : RoutingPolicy
        Makes the routing decisions; called on the event loop only.
    dispatcher : Dispatcher
        Sends requests to targets.
    time : Clock
        Source of monotonic time.
    metrics_registry : Metrics
        Registry of the counters, and of the histograms for each client account and
        class.
    forward : callable, optional
        Sends a request to another failure domain, see `Forward`.
    """

    def __init__(
        self,
        routing: policy.RoutingPolicy,
        dispatcher: dispatch.Dispatcher,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
        forward: Forward | None = None,
    ) -> None:
        self._routing = routing
        self._dispatcher = dispatcher
        self._time = time
        self._metrics = metrics_registry
        self._forward = forward
        self._pending: dict[str, _PendingRequest] = {}
        self._background_tasks: set[asyncio.Task] = set()
        self._tick_task: asyncio.Task | None = None
        self._slots_wanted = asyncio.Event()

    @property
    def in_progress_count(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self._pending)

    @property
    def slots_wanted(self) -> asyncio.Event:
        """Return the event that is set when requests wait for slots."""
        return self._slots_wanted

    def start(self) -> None:
        """Start the periodic tick."""
        self._tick_task = asyncio.get_running_loop().create_task(
            supervision.repeat(self._tick, "engine")
        )

    async def stop(self) -> None:
        """Stop the tick and cancel the requests in progress."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for pending in list(self._pending.values()):
            for task in pending.tasks.values():
                task.cancel()
        await self._dispatcher.close()

    def configure(self, configuration: record.Configuration) -> None:
        """Apply a new revision of the operators' records."""
        self._apply(self._routing.configure(configuration, self._time.monotonic()))

    def announce(self, announcement: announcements.TargetAnnouncement) -> None:
        """Apply the announcement of a target."""
        self._apply(self._routing.announce(announcement, self._time.monotonic()))

    def demand_report(self) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""
        return self._routing.demand_report(self._time.monotonic())

    def apply_grants(self, reply: grants.GrantReply) -> None:
        """Replace the granted slots by those in the leader's reply."""
        self._apply(self._routing.apply_grants(reply, self._time.monotonic()))

    def set_leader_known(self, is_known: bool) -> None:
        """Set whether the domain group has a leader."""
        self._routing.set_leader_known(is_known, self._time.monotonic())

    @property
    def lacks_capacity(self) -> bool:
        """Tell whether requests are queued or a service has no free slot."""
        return bool(
            self._routing.queued_count
            or any(not capacity.free_slots for capacity in self.free_capacity())
        )

    def free_capacity(self) -> list[targets.Capacity]:
        """Return the free capacity of each service for other failure domains."""
        return list(self._routing.free_capacity(self._time.monotonic()))

    def update_peer_capacity(self, capacity: targets.Capacity) -> None:
        """Store the free capacity reported by another failure domain."""
        self._routing.update_peer_capacity(capacity, self._time.monotonic())

    async def run(
        self, request: requests.Request, target_request: dispatch.TargetRequest
    ) -> responses.Response:
        """Run a request and return its response once the headers are known.

        Raises
        ------
        MarjoramusherError
            With an outcome that is ``not_run`` only if no target has run the request.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingRequest(request, target_request, loop.create_future())
        self._pending[request.request_id] = pending
        started_at = self._time.monotonic()
        try:
            self._apply(self._routing.submit(request, started_at))
            response = await pending.response
        except errors.MarjoramusherError as error:
            self._metrics.increment(
                "request_refusals", code=error.code.value, account=request.account
            )
            self._remove(request.request_id)
            raise
        except asyncio.CancelledError:
            self._withdraw(request.request_id)
            raise
        if response.body is not None:
            self._observe_completion(request, started_at)
            self._remove(request.request_id)
            return response
        return responses.Response(
            response.status,
            response.content_type,
            stream=self._stream_to_caller(pending, response, started_at),
            on_close=lambda: self._withdraw(request.request_id),
        )

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._pending:
            await asyncio.sleep(0.02)

    async def _stream_to_caller(
        self,
        pending: _PendingRequest,
        response: responses.Response,
        started_at: float,
    ) -> AsyncGenerator[bytes, None]:
        """Stream a response and end the request with it."""
        request_id = pending.request.request_id
        try:
            async with contextlib.aclosing(response.chunks()) as chunks:
                async for chunk in chunks:
                    if pending.refusal is not None:
                        raise pending.refusal
                    yield chunk
            self._observe_completion(pending.request, started_at)
        finally:
            self._withdraw(request_id)

    async def _tick(self) -> None:
        is_busy = self._routing.queued_count or self._pending
        now = self._time.monotonic()
        idle_s = clock.delay_to_next_tick(now, IDLE_TICK_S)
        await asyncio.sleep(BUSY_TICK_S if is_busy else idle_s)
        self._apply(self._routing.tick(self._time.monotonic()))

    def _apply(self, effects: Iterable[effect.Effect]) -> None:
        """Carry out the effects of the routing policy."""
        for item in effects:
            pending = self._pending.get(item.request_id)
            if pending is None:
                continue
            if isinstance(item, effect.Dispatch):
                self._spawn(pending, item.attempt, self._run_attempt(pending, item))
                self._observe_wait(pending.request, item)
            elif isinstance(item, effect.Cancel):
                task = pending.tasks.pop(item.attempt, None)
                if task is not None:
                    task.cancel()
            elif isinstance(item, effect.Refuse):
                error = errors.from_body(item.error)
                if pending.may_have_run:
                    error.outcome = errors.Outcome.UNKNOWN
                pending.refusal = error
                if not pending.response.done():
                    pending.response.set_exception(error)
            else:
                self._spawn(pending, 0, self._run_forward(pending, item))
        if self._routing.queued_count:
            self._slots_wanted.set()

    def _spawn(self, pending: _PendingRequest, attempt_number: int, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        pending.tasks[attempt_number] = task
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _run_attempt(
        self, pending: _PendingRequest, item: effect.Dispatch
    ) -> None:
        """Send a request to a target and set the response of the pending request."""
        attempt_number = item.attempt
        try:
            target_response = await self._dispatcher.send(
                item.target, item.url, pending.target_request, item.progress_timeout_s
            )
            body = None
            if (
                target_response.length is not None
                and target_response.length <= MAX_BUFFERED_BYTES
            ):
                body = b"".join([chunk async for chunk in target_response.chunks()])
        except dispatch.AttemptFailedError as error:
            self._metrics.increment("attempt_failures", kind=error.kind.value)
            self._apply(
                self._routing.attempt_failed(
                    attempt_number, error.kind, self._time.monotonic()
                )
            )
            return
        except Exception as error:
            # Otherwise the slot would stay occupied until the deadline.
            log.state_change("attempt.internal_error", error=repr(error))
            kind = requests.FailureKind.CUT
            self._apply(
                self._routing.attempt_failed(
                    attempt_number, kind, self._time.monotonic()
                )
            )
            return
        now = self._time.monotonic()
        self._apply(self._routing.attempt_started(attempt_number, now))
        if pending.response.done():
            target_response.close()
            return
        if body is not None:
            self._apply(self._routing.attempt_finished(attempt_number, now, len(body)))
            response = responses.Response(
                target_response.status, target_response.content_type, body
            )
        else:
            stream = self._stream_from_target(attempt_number, target_response)
            response = responses.Response(
                target_response.status, target_response.content_type, stream=stream
            )
        pending.response.set_result(response)

    async def _stream_from_target(
        self, attempt_number: int, target_response: dispatch.TargetResponse
    ) -> AsyncGenerator[bytes, None]:
        """Stream the body of a target's response and report how the attempt ended."""
        size_bytes = 0
        try:
            async with contextlib.aclosing(target_response.chunks()) as chunks:
                async for chunk in chunks:
                    size_bytes += len(chunk)
                    yield chunk
        except dispatch.AttemptFailedError as error:
            self._metrics.increment("attempt_failures", kind=error.kind.value)
            self._apply(
                self._routing.attempt_failed(
                    attempt_number, error.kind, self._time.monotonic()
                )
            )
            raise
        finally:
            target_response.close()
        self._apply(
            self._routing.attempt_finished(
                attempt_number, self._time.monotonic(), size_bytes
            )
        )

    async def _run_forward(
        self, pending: _PendingRequest, item: effect.Forward
    ) -> None:
        """Run a request in another failure domain, or locally if that fails."""
        self._metrics.increment("requests_forwarded", to=item.failure_domain)
        try:
            if self._forward is None:
                raise errors.PeerUnreachableError(
                    item.failure_domain, errors.Outcome.NOT_RUN
                )
            frames = self._forward(
                item.failure_domain, pending.request, pending.target_request
            )
            remaining_s = pending.request.deadline - self._time.monotonic()
            async with asyncio.timeout(remaining_s + FORWARD_GRACE_S):
                response = await forwarding.read(frames)
        except (errors.MarjoramusherError, TimeoutError) as error:
            if pending.response.done():
                return
            if isinstance(error, TimeoutError):
                error = errors.PeerUnreachableError(item.failure_domain)
            if error.outcome is not errors.Outcome.NOT_RUN:
                pending.may_have_run = True
            if error.outcome is errors.Outcome.NOT_RUN or pending.request.repeatable:
                # The request runs locally with the time that is left; marked as
                # forwarded, it isn't forwarded again.
                local_request = msgspec.structs.replace(
                    pending.request, is_forwarded=True
                )
                self._apply(self._routing.submit(local_request, self._time.monotonic()))
            else:
                pending.response.set_exception(error)
            return
        if not pending.response.done():
            pending.response.set_result(response)

    def _withdraw(self, request_id: str) -> None:
        if request_id in self._pending:
            self._apply(self._routing.withdraw(request_id, self._time.monotonic()))
            self._remove(request_id)

    def _remove(self, request_id: str) -> None:
        """Remove a request and cancel its tasks, except the current one."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            current = asyncio.current_task()
            for task in pending.tasks.values():
                if task is not current:
                    task.cancel()

    def _observe_wait(self, request: requests.Request, item: effect.Dispatch) -> None:
        run_class = item.run_class.value
        self._metrics.observe("request_wait", item.waited_s, request.account, run_class)
        if item.behind_long:
            self._metrics.observe(
                "request_head_of_line", item.waited_s, request.account, run_class
            )

    def _observe_completion(self, request: requests.Request, started_at: float) -> None:
        declared_class = request.declared_class.value if request.declared_class else ""
        self._metrics.observe(
            "request_completion",
            self._time.monotonic() - started_at,
            request.account,
            declared_class,
        )
        self._metrics.increment("requests_answered", account=request.account)
