"""Carries out the effects of a routing policy on the event loop."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable

import msgspec

from ..core import announcement, clock, errors, record
from ..routing import effect, grants, policy, request, target
from ..targets import dispatch
from ..telemetry import log, metrics
from . import forwarding
from . import response as responses

BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.5
FORWARD_GRACE_S = 0.5  # the other domain ends the request at its deadline itself
WHOLE_BYTES = 64 * 1024  # shorter answers are read whole and may be tried again


Forward = Callable[[str, request.Request, dispatch.TargetRequest], AsyncIterator[bytes]]
"""Forwards to a failure domain and yields the frames of `forwarding.frames`."""


class _Pending:
    __slots__ = ("aborted", "answer", "asked", "may_have_run", "sent", "tasks")

    def __init__(
        self,
        asked: request.Request,
        sent: dispatch.TargetRequest,
        answer: asyncio.Future[responses.Answer],
    ) -> None:
        self.asked = asked
        self.sent = sent
        self.answer = answer
        self.tasks: dict[int, asyncio.Task] = {}
        # True after a forward with an unknown outcome, which the local policy doesn't
        # know of.
        self.may_have_run = False
        self.aborted: errors.MarjoramusherError | None = None


class Engine:
    """Run requests through a routing policy and a dispatcher.

    Parameters
    ----------
    routing : RoutingPolicy
        Decides; called on the loop only.
    dispatcher : Dispatcher
        Sends requests to targets.
    time : Clock
        Source of `now`.
    values : Metrics
        Gets counters, and histograms for each client account and class.
    forward : callable, optional
        Sends a request to another failure domain, see `Forward`.
    """

    def __init__(
        self,
        routing: policy.RoutingPolicy,
        dispatcher: dispatch.Dispatcher,
        time: clock.Clock,
        values: metrics.Metrics,
        forward: Forward | None = None,
    ) -> None:
        self._routing = routing
        self._dispatcher = dispatcher
        self._time = time
        self._metrics = values
        self._forward = forward
        self._pending: dict[str, _Pending] = {}
        self._background: set[asyncio.Task] = set()
        self._ticking: asyncio.Task | None = None
        self._slots_wanted = asyncio.Event()

    @property
    def in_progress(self) -> int:
        """Return the number of requests not yet answered completely."""
        return len(self._pending)

    @property
    def slots_wanted(self) -> asyncio.Event:
        """Return the event that is set when requests wait for slots."""
        return self._slots_wanted

    def start(self) -> None:
        """Start the periodic tick."""
        self._ticking = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Stop the tick and give up what is in progress."""
        if self._ticking is not None:
            self._ticking.cancel()
        for pending in list(self._pending.values()):
            for task in pending.tasks.values():
                task.cancel()
        await self._dispatcher.close()

    def configure(self, configuration: record.Configuration) -> None:
        """Take over the operators' records of a new revision."""
        self._apply(self._routing.configure(configuration, self._time.monotonic()))

    def announce(self, announced: announcement.TargetAnnouncement) -> None:
        """Take over a target's announcement."""
        self._apply(self._routing.announce(announced, self._time.monotonic()))

    def demand_report(self) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""
        return self._routing.demand_report(self._time.monotonic())

    def apply_grants(self, granted: grants.GrantReply) -> None:
        """Take over the slots that the leader granted."""
        self._apply(self._routing.apply_grants(granted, self._time.monotonic()))

    def set_leader_known(self, is_known: bool) -> None:
        """Note whether the domain group has a leader."""
        self._routing.set_leader_known(is_known, self._time.monotonic())

    @property
    def lacks_capacity(self) -> bool:
        """Tell whether requests wait here or a service has no free slot."""
        return bool(
            self._routing.queued_count
            or any(not free.free_slots for free in self.free_capacity())
        )

    def free_capacity(self) -> list[target.Capacity]:
        """Return the free capacity to tell to other failure domains."""
        return list(self._routing.free_capacity(self._time.monotonic()))

    def update_peer_capacity(self, capacity: target.Capacity) -> None:
        """Note the free capacity of another failure domain."""
        self._routing.update_peer_capacity(capacity, self._time.monotonic())

    async def run(
        self, asked: request.Request, sent: dispatch.TargetRequest
    ) -> responses.Answer:
        """Run a request and return its answer once its head is known.

        Raises
        ------
        MarjoramusherError
            With an outcome that is ``not_run`` only if nothing was sent.
        """
        loop = asyncio.get_running_loop()
        pending = _Pending(asked, sent, loop.create_future())
        self._pending[asked.request_id] = pending
        began_at = self._time.monotonic()
        try:
            self._apply(self._routing.submit(asked, began_at))
            answer = await pending.answer
        except errors.MarjoramusherError as error:
            self._metrics.increment(
                "request_refusals", code=error.code.value, account=asked.account
            )
            self._forget(asked.request_id)
            raise
        except asyncio.CancelledError:
            self._withdraw(asked.request_id)
            raise
        if answer.whole is not None:
            self._observe_end(asked, began_at)
            self._forget(asked.request_id)
            return answer
        return responses.Answer(
            answer.status,
            answer.content_type,
            stream=self._watch(pending, answer, began_at),
            on_close=lambda: self._withdraw(asked.request_id),
        )

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._pending:
            await asyncio.sleep(0.02)

    async def _watch(
        self, pending: _Pending, answer: responses.Answer, began_at: float
    ) -> AsyncGenerator[bytes, None]:
        """Stream an answer and end the request with it."""
        request_id = pending.asked.request_id
        try:
            async with contextlib.aclosing(answer.pieces()) as pieces:
                async for piece in pieces:
                    if pending.aborted is not None:
                        raise pending.aborted
                    yield piece
            self._observe_end(pending.asked, began_at)
        finally:
            self._withdraw(request_id)

    async def _tick(self) -> None:
        while True:
            busy = self._routing.queued_count or self._pending
            now = self._time.monotonic()
            idle_s = clock.until_point(now, IDLE_TICK_S)
            await asyncio.sleep(BUSY_TICK_S if busy else idle_s)
            self._apply(self._routing.tick(self._time.monotonic()))

    def _apply(self, effects: Iterable[effect.Effect]) -> None:
        for item in effects:
            pending = self._pending.get(item.request_id)
            if pending is None:
                continue
            if isinstance(item, effect.Dispatch):
                self._spawn(pending, item.attempt, self._attempt(pending, item))
                self._observe_wait(pending.asked, item)
            elif isinstance(item, effect.Cancel):
                task = pending.tasks.pop(item.attempt, None)
                if task is not None:
                    task.cancel()
            elif isinstance(item, effect.Refuse):
                error = errors.from_body(item.error)
                if pending.may_have_run:
                    error.outcome = errors.Outcome.UNKNOWN
                pending.aborted = error
                if not pending.answer.done():
                    pending.answer.set_exception(error)
            else:
                self._spawn(pending, 0, self._relay(pending, item))
        if self._routing.queued_count:
            self._slots_wanted.set()

    def _spawn(self, pending: _Pending, number: int, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        pending.tasks[number] = task
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _attempt(self, pending: _Pending, item: effect.Dispatch) -> None:
        number = item.attempt
        try:
            answer = await self._dispatcher.send(
                item.target, item.url, pending.sent, item.progress_timeout_s
            )
            whole = None
            if answer.length is not None and answer.length <= WHOLE_BYTES:
                whole = b"".join([piece async for piece in answer.pieces()])
        except dispatch.AttemptFailedError as error:
            self._metrics.increment("attempt_failures", kind=error.kind.value)
            self._apply(
                self._routing.attempt_failed(number, error.kind, self._time.monotonic())
            )
            return
        except Exception as error:
            # Without this, the slot would stay taken until the deadline.
            log.state_change("attempt.internal_error", error=repr(error))
            kind = request.FailureKind.CUT
            self._apply(
                self._routing.attempt_failed(number, kind, self._time.monotonic())
            )
            return
        now = self._time.monotonic()
        self._apply(self._routing.attempt_started(number, now))
        if pending.answer.done():
            answer.close()
            return
        if whole is not None:
            self._apply(self._routing.attempt_finished(number, now, len(whole)))
            result = responses.Answer(answer.status, answer.content_type, whole)
        else:
            stream = self._stream(number, answer)
            result = responses.Answer(answer.status, answer.content_type, stream=stream)
        pending.answer.set_result(result)

    async def _stream(
        self, number: int, answer: dispatch.TargetAnswer
    ) -> AsyncGenerator[bytes, None]:
        size = 0
        try:
            async with contextlib.aclosing(answer.pieces()) as pieces:
                async for piece in pieces:
                    size += len(piece)
                    yield piece
        except dispatch.AttemptFailedError as error:
            self._metrics.increment("attempt_failures", kind=error.kind.value)
            self._apply(
                self._routing.attempt_failed(number, error.kind, self._time.monotonic())
            )
            raise
        finally:
            answer.close()
        self._apply(
            self._routing.attempt_finished(number, self._time.monotonic(), size)
        )

    async def _relay(self, pending: _Pending, item: effect.Forward) -> None:
        self._metrics.increment("requests_forwarded", to=item.failure_domain)
        try:
            if self._forward is None:
                raise errors.PeerUnreachableError(
                    item.failure_domain, errors.Outcome.NOT_RUN
                )
            frames = self._forward(item.failure_domain, pending.asked, pending.sent)
            left_s = pending.asked.deadline - self._time.monotonic()
            async with asyncio.timeout(left_s + FORWARD_GRACE_S):
                answer = await forwarding.read(frames)
        except (errors.MarjoramusherError, TimeoutError) as error:
            if pending.answer.done():
                return
            if isinstance(error, TimeoutError):
                error = errors.PeerUnreachableError(item.failure_domain)
            if error.outcome is not errors.Outcome.NOT_RUN:
                pending.may_have_run = True
            if error.outcome is errors.Outcome.NOT_RUN or pending.asked.repeatable:
                # Nothing is lost but time: the local queue gets it after all.
                again = msgspec.structs.replace(pending.asked, is_forwarded=True)
                self._apply(self._routing.submit(again, self._time.monotonic()))
            else:
                pending.answer.set_exception(error)
            return
        if not pending.answer.done():
            pending.answer.set_result(answer)

    def _withdraw(self, request_id: str) -> None:
        if request_id in self._pending:
            self._apply(self._routing.withdraw(request_id, self._time.monotonic()))
            self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            current = asyncio.current_task()
            for task in pending.tasks.values():
                if task is not current:
                    task.cancel()

    def _observe_wait(self, asked: request.Request, item: effect.Dispatch) -> None:
        run_class = item.run_class.value
        self._metrics.observe("request_wait", item.waited_s, asked.account, run_class)
        if item.behind_long:
            self._metrics.observe(
                "request_head_of_line", item.waited_s, asked.account, run_class
            )

    def _observe_end(self, asked: request.Request, began_at: float) -> None:
        declared = asked.declared_class.value if asked.declared_class else ""
        self._metrics.observe(
            "request_completion",
            self._time.monotonic() - began_at,
            asked.account,
            declared,
        )
        self._metrics.increment("requests_answered", account=asked.account)
