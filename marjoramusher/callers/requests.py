"""HTTP handlers for short requests."""

import asyncio
import itertools
from collections.abc import AsyncGenerator, AsyncIterator, Callable

from aiohttp import web

from ..claims import command as commands
from ..core import clock, errors, record
from ..http import body
from ..http import errors as http_errors
from ..routing import request as routing_requests
from ..targets import dispatch
from ..telemetry import metrics
from . import claiming, keys, validation
from . import engine as engines
from . import response as responses

MAX_DEADLINE_MS = 3_600_000
MAX_RECORDED_BYTES = 64 * 1024  # larger responses are recorded without their body
INITIAL_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 1.0

_CLASSES = {item.value: item for item in routing_requests.RequestClass}


class _ParsedRequest:
    """Validated request of a caller."""

    __slots__ = ("issued_at", "key", "routing_request", "target_request")

    def __init__(
        self,
        routing_request: routing_requests.Request,
        target_request: dispatch.TargetRequest,
        key: str,
        issued_at: float | None,
    ) -> None:
        self.routing_request = routing_request
        self.target_request = target_request
        self.key = key
        self.issued_at = issued_at


class RequestHandlers:
    """Serve `POST /v1/services/{service}/requests`.

    The server may cancel handlers whose callers have disconnected. Repeatable requests
    are then withdrawn; non-repeatable ones continue.

    Parameters
    ----------
    engine : Engine
        Routes and dispatches requests.
    claims : ClaimClient
        Claims the keys of non-repeatable requests.
    idempotency_keys : IdempotencyKeys
        Finds the home of a key.
    configuration : callable
        Returns the records in force.
    time : Clock
        Source of monotonic time.
    metrics_registry : Metrics
        Registry of the counters and histograms.
    id_prefix : str
        Prefix of the request ids; unique to this process.
    """

    def __init__(
        self,
        engine: engines.Engine,
        claims: claiming.ClaimClient,
        idempotency_keys: keys.IdempotencyKeys,
        configuration: Callable[[], record.Configuration],
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
        id_prefix: str,
    ) -> None:
        self._engine = engine
        self._claims = claims
        self._idempotency_keys = idempotency_keys
        self._configuration = configuration
        self._time = time
        self._metrics = metrics_registry
        self._id_prefix = id_prefix
        self._serials = itertools.count(1)
        self._is_draining = False
        self._in_progress_count = 0
        self._run_once_tasks: set[asyncio.Future[web.StreamResponse]] = set()

    @property
    def in_progress_count(self) -> int:
        """Return the number of requests without a complete response."""
        return self._in_progress_count

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [web.post("/v1/services/{service}/requests", self.post)]

    def drain(self) -> None:
        """Refuse new requests; those in progress continue."""
        self._is_draining = True

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while (
            self._in_progress_count
            or self._run_once_tasks
            or self._engine.in_progress_count
        ):
            await asyncio.sleep(0.02)

    async def post(self, request: web.Request) -> web.StreamResponse:
        """Run one request and send its response."""
        if self._is_draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        self._in_progress_count += 1
        try:
            parsed = await self._parse(request)
            if not parsed.routing_request.repeatable:
                # Continues if the caller disconnects, so that the response is recorded.
                task = asyncio.ensure_future(self._run_once(request, parsed))
                self._run_once_tasks.add(task)
                task.add_done_callback(self._on_run_once_done)
                return await asyncio.shield(task)
            response = await self._engine.run(
                parsed.routing_request, parsed.target_request
            )
            return await _send_response(
                request, parsed.routing_request.request_id, response
            )
        finally:
            self._in_progress_count -= 1

    def _on_run_once_done(self, task: asyncio.Future[web.StreamResponse]) -> None:
        self._run_once_tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved; the handler has raised it unless the
            # caller has disconnected.
            task.exception()

    async def _parse(self, request: web.Request) -> _ParsedRequest:
        headers = request.headers
        account = validation.check_name(
            headers.get("X-Client-Account"), "X-Client-Account"
        )
        service = validation.check_name(request.match_info["service"], "service")
        key = headers.get("Idempotency-Key", "")
        if key:
            validation.check_name(key, "Idempotency-Key")
        repeatable = not validation.parse_flag(
            headers.get("X-Non-Repeatable", "false"), "X-Non-Repeatable"
        )
        if not repeatable and not key:
            raise errors.BadRequestError(
                "a non-repeatable request needs an Idempotency-Key"
            )
        declared_class = headers.get("X-Class")
        if declared_class is not None and declared_class not in _CLASSES:
            raise errors.BadRequestError("X-Class must be short or long")
        configuration = self._configuration()
        service_record = configuration.services.get(service)
        deadline_s = service_record.deadline_s if service_record else 30.0
        if "X-Deadline-Ms" in headers:
            deadline_s = (
                validation.parse_integer(
                    headers["X-Deadline-Ms"], "X-Deadline-Ms", 1, MAX_DEADLINE_MS
                )
                / 1000
            )
        issued_at = validation.parse_issued_at(headers)
        # Error responses carry the request id too, so that a caller knows to which
        # attempt an outcome of not run applies.
        request_id = f"{self._id_prefix}-{next(self._serials)}"
        request[http_errors.REQUEST_ID] = request_id
        # The deadline counts from the headers of the request, so that a slow body
        # doesn't extend it.
        deadline = self._time.monotonic() + deadline_s
        payload = await body.read(request)
        routing_request = routing_requests.Request(
            request_id,
            account,
            service,
            deadline,
            _CLASSES.get(declared_class) if declared_class else None,
            repeatable,
            len(payload),
        )
        content_type = headers.get("Content-Type", "application/octet-stream")
        target_request = dispatch.TargetRequest(
            request_id, account, content_type, payload, key
        )
        return _ParsedRequest(routing_request, target_request, key, issued_at)

    async def _run_once(
        self, request: web.Request, parsed: _ParsedRequest
    ) -> web.StreamResponse:
        """Run a non-repeatable request at most once and send its response."""
        routing_request = parsed.routing_request
        if routing_request.service not in self._configuration().services:
            raise errors.MarjoramusherError(
                errors.ErrorCode.UNKNOWN_SERVICE,
                f"service {routing_request.service} has no record",
            )
        key_home = self._idempotency_keys.home_of(
            routing_request.account, parsed.key, parsed.issued_at
        )
        home = key_home.failure_domain
        started_at = self._time.monotonic()
        result, holder = await self._claim(key_home, parsed)
        self._metrics.increment("claims", state=result.state.value)
        self._metrics.observe(
            "request_claim",
            self._time.monotonic() - started_at,
            routing_request.account,
        )
        if result.state is not commands.State.GRANTED:
            return _recorded_response(routing_request.request_id, result)
        account, key = routing_request.account, parsed.key
        try:
            response = await self._engine.run(routing_request, parsed.target_request)
            chunks = response.chunks()
            recordable, excess = await _read_recordable(chunks)
        except errors.MarjoramusherError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                await self._claims.release(home, account, key, holder)
            else:
                await self._claims.record_unknown(home, account, key, holder)
            raise
        except BaseException:
            await self._claims.record_unknown(home, account, key, holder)
            raise
        head = (response.status, response.content_type)
        if excess is None:
            await self._claims.record(home, account, key, holder, *head, recordable)
            complete = responses.Response(*head, body=recordable)
            return await _send_response(request, routing_request.request_id, complete)

        is_recorded = False

        async def stream() -> AsyncGenerator[bytes, None]:
            # The last chunk is sent only after the outcome has been recorded.
            nonlocal is_recorded
            held_back = recordable + excess
            async for chunk in chunks:
                yield held_back
                held_back = chunk
            is_recorded = True
            await self._claims.record(home, account, key, holder, *head, None)
            yield held_back

        streamed = responses.Response(*head, stream=stream(), on_close=response.close)
        try:
            return await _send_response(request, routing_request.request_id, streamed)
        finally:
            if not is_recorded:
                await self._claims.record_unknown(home, account, key, holder)

    async def _claim(
        self, key_home: keys.KeyHome, parsed: _ParsedRequest
    ) -> tuple[commands.Result, commands.Holder]:
        """Claim the key; if another request holds it, poll for its response."""
        routing_request = parsed.routing_request
        fingerprint = commands.fingerprint(
            routing_request.service,
            parsed.target_request.content_type,
            parsed.target_request.payload,
        )
        interval_s = INITIAL_POLL_INTERVAL_S
        while True:
            result, holder = await self._claims.claim(
                key_home.failure_domain,
                routing_request.account,
                parsed.key,
                fingerprint,
                key_home.issued_at,
            )
            if result.state is not commands.State.OPEN:
                return result, holder
            remaining_s = routing_request.deadline - self._time.monotonic()
            if remaining_s <= 0:
                raise errors.MarjoramusherError(
                    errors.ErrorCode.OUTCOME_UNKNOWN,
                    "the first request with this key has no response yet",
                    errors.Outcome.UNKNOWN,
                )
            await asyncio.sleep(min(interval_s, remaining_s))
            interval_s = min(2 * interval_s, MAX_POLL_INTERVAL_S)


async def _read_recordable(
    chunks: AsyncIterator[bytes],
) -> tuple[bytes, bytes | None]:
    """Read a body up to the size that can be recorded.

    Returns
    -------
    tuple
        The part of the body within the limit, and the chunk that exceeded it or
        ``None``.
    """
    recordable = bytearray()
    async for chunk in chunks:
        if len(recordable) + len(chunk) > MAX_RECORDED_BYTES:
            return bytes(recordable), chunk
        recordable += chunk
    return bytes(recordable), None


async def _send_response(
    request: web.Request, request_id: str, response: responses.Response
) -> web.StreamResponse:
    """Send a response, and abort the connection if it is incomplete."""
    headers = {
        dispatch.Header.REQUEST_ID: request_id,
        "Content-Type": response.content_type,
    }
    if response.body is not None:
        return web.Response(status=response.status, headers=headers, body=response.body)
    http_response = web.StreamResponse(status=response.status, headers=headers)
    http_response.enable_chunked_encoding()
    chunks = response.chunks()
    try:
        await http_response.prepare(request)
        async for chunk in chunks:
            await http_response.write(chunk)
        await http_response.write_eof()
    except (errors.MarjoramusherError, ConnectionError):
        # With an orderly end, the incomplete response would look complete.
        if request.transport is not None:
            request.transport.abort()
    finally:
        await chunks.aclose()
        response.close()
    return http_response


def _recorded_response(request_id: str, result: commands.Result) -> web.Response:
    """Return the response recorded for a key.

    Raises
    ------
    MarjoramusherError
        If the state of the key has no response.
    """
    if result.state is commands.State.ANSWERED:
        return web.Response(
            status=result.status,
            headers={
                dispatch.Header.REQUEST_ID: request_id,
                "Content-Type": result.content_type,
                "Idempotency-Replayed": "true",
            },
            body=result.body,
        )
    code, outcome, message = _STATE_ERRORS[result.state]
    raise errors.MarjoramusherError(code, message, outcome)


_STATE_ERRORS = {
    commands.State.REUSED: (
        errors.ErrorCode.KEY_REUSED,
        errors.Outcome.NOT_RUN,
        "the key belongs to a different request",
    ),
    commands.State.FULL: (
        errors.ErrorCode.OVERLOADED,
        errors.Outcome.NOT_RUN,
        "the home of the client account has reached its limit of keys",
    ),
    commands.State.UNKNOWN: (
        errors.ErrorCode.OUTCOME_UNKNOWN,
        errors.Outcome.UNKNOWN,
        "an earlier request with this key may have run",
    ),
    commands.State.NOT_KEPT: (
        errors.ErrorCode.ANSWER_EXPIRED,
        errors.Outcome.DONE,
        "the request has completed, but its response was too large to keep",
    ),
    commands.State.EXPIRED: (
        errors.ErrorCode.ANSWER_EXPIRED,
        errors.Outcome.DONE,
        "the request has completed, but its response is no longer kept",
    ),
}
