"""HTTP handlers for short requests."""

import asyncio
import itertools
from collections.abc import AsyncGenerator, AsyncIterator, Callable

from aiohttp import web

from ..claims import command
from ..core import clock, errors, record
from ..http import body
from ..http import errors as http_errors
from ..routing import request as routed
from ..targets import dispatch
from ..telemetry import metrics
from . import claiming, engine, keys, validation
from . import response as responses

MAX_DEADLINE_MS = 3_600_000
KEPT_BYTES = 64 * 1024
FIRST_POLL_S = 0.05
LAST_POLL_S = 1.0

_CLASSES = {item.value: item for item in routed.RequestClass}


class _Call:
    """One parsed request of a caller."""

    __slots__ = ("asked", "issued_at", "key", "sent")

    def __init__(
        self,
        asked: routed.Request,
        sent: dispatch.TargetRequest,
        key: str,
        issued_at: float | None,
    ) -> None:
        self.asked = asked
        self.sent = sent
        self.key = key
        self.issued_at = issued_at


class RequestHandlers:
    """Serve `POST /v1/services/{service}/requests`.

    The server may cancel handlers of callers that are gone: repeatable requests are
    withdrawn then, and the others go on.

    Parameters
    ----------
    runs : Engine
        Routes and dispatches.
    claims : ClaimClient
        Claims the keys of non-repeatable requests.
    homes : IdempotencyKeys
        Finds the home of a key.
    configuration : callable
        Returns the records in force.
    time : Clock
        Source of `now`.
    values : Metrics
        Gets counters.
    prefix : str
        Start of the request ids; unique to this process.
    """

    def __init__(
        self,
        runs: engine.Engine,
        claims: claiming.ClaimClient,
        homes: keys.IdempotencyKeys,
        configuration: Callable[[], record.Configuration],
        time: clock.Clock,
        values: metrics.Metrics,
        prefix: str,
    ) -> None:
        self._engine = runs
        self._claims = claims
        self._homes = homes
        self._configuration = configuration
        self._time = time
        self._metrics = values
        self._prefix = prefix
        self._serials = itertools.count(1)
        self._draining = False
        self._in_progress = 0
        self._once_tasks: set[asyncio.Future[web.StreamResponse]] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of requests that are not answered completely."""
        return self._in_progress

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [web.post("/v1/services/{service}/requests", self.post)]

    def drain(self) -> None:
        """Refuse new requests; those in progress go on."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until every request in progress is answered."""
        while self._in_progress or self._once_tasks or self._engine.in_progress:
            await asyncio.sleep(0.02)

    async def post(self, request: web.Request) -> web.StreamResponse:
        """Answer one request."""
        if self._draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        self._in_progress += 1
        try:
            call = await self._parse(request)
            if not call.asked.repeatable:
                # Goes on without its caller, so that the answer is recorded.
                work = asyncio.ensure_future(self._once(request, call))
                self._once_tasks.add(work)
                work.add_done_callback(self._once_ended)
                return await asyncio.shield(work)
            answer = await self._engine.run(call.asked, call.sent)
            return await _respond(request, call.asked.request_id, answer)
        finally:
            self._in_progress -= 1

    def _once_ended(self, work: asyncio.Future[web.StreamResponse]) -> None:
        self._once_tasks.discard(work)
        if not work.cancelled():
            # The handler has raised it, unless its caller is gone.
            work.exception()

    async def _parse(self, request: web.Request) -> _Call:
        headers = request.headers
        account = validation.name(headers.get("X-Client-Account"), "X-Client-Account")
        service = validation.name(request.match_info["service"], "service")
        key = headers.get("Idempotency-Key", "")
        if key:
            validation.name(key, "Idempotency-Key")
        repeatable = not validation.flag(
            headers.get("X-Non-Repeatable", "false"), "X-Non-Repeatable"
        )
        if not repeatable and not key:
            raise errors.BadRequestError(
                "a non-repeatable request needs an Idempotency-Key"
            )
        declared = headers.get("X-Class")
        if declared is not None and declared not in _CLASSES:
            raise errors.BadRequestError("X-Class is neither short nor long")
        configuration = self._configuration()
        known = configuration.services.get(service)
        deadline_s = known.deadline_s if known else 30.0
        if "X-Deadline-Ms" in headers:
            deadline_s = (
                validation.integer(
                    headers["X-Deadline-Ms"], "X-Deadline-Ms", 1, MAX_DEADLINE_MS
                )
                / 1000
            )
        issued_at = validation.issued_at(headers)
        # Error answers name the request too; a caller judges "not run" by its id.
        request_id = f"{self._prefix}-{next(self._serials)}"
        request[http_errors.REQUEST_ID] = request_id
        # The deadline counts from the head of the request, so that a slow body
        # doesn't extend it.
        deadline = self._time.monotonic() + deadline_s
        payload = await body.read(request)
        asked = routed.Request(
            request_id,
            account,
            service,
            deadline,
            _CLASSES.get(declared) if declared else None,
            repeatable,
            len(payload),
        )
        content_type = headers.get("Content-Type", "application/octet-stream")
        sent = dispatch.TargetRequest(request_id, account, content_type, payload, key)
        return _Call(asked, sent, key, issued_at)

    async def _once(self, request: web.Request, call: _Call) -> web.StreamResponse:
        """Answer a non-repeatable request, running it at most once."""
        asked = call.asked
        if asked.service not in self._configuration().services:
            raise errors.MarjoramusherError(
                errors.ErrorCode.UNKNOWN_SERVICE,
                f"service {asked.service} has no record",
            )
        found = self._homes.home_of(asked.account, call.key, call.issued_at)
        owner = found.failure_domain
        began_at = self._time.monotonic()
        result, holder = await self._claim(found, call)
        self._metrics.increment("claims", state=result.state.value)
        self._metrics.observe(
            "request_claim", self._time.monotonic() - began_at, asked.account
        )
        if result.state is not command.State.GRANTED:
            return _recorded(asked.request_id, result)
        account, key = asked.account, call.key
        try:
            answer = await self._engine.run(asked, call.sent)
            pieces = answer.pieces()
            kept, last = await _read_kept(pieces)
        except errors.MarjoramusherError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                await self._claims.release(owner, account, key, holder)
            else:
                await self._claims.unknown(owner, account, key, holder)
            raise
        except BaseException:
            await self._claims.unknown(owner, account, key, holder)
            raise
        head = (answer.status, answer.content_type)
        if last is None:
            await self._claims.record(owner, account, key, holder, *head, kept)
            whole = responses.Answer(*head, whole=kept)
            return await _respond(request, asked.request_id, whole)

        recorded = False

        async def rest() -> AsyncGenerator[bytes, None]:
            # The last piece is held back until the outcome is recorded.
            nonlocal recorded
            held = kept + last
            async for piece in pieces:
                yield held
                held = piece
            recorded = True
            await self._claims.record(owner, account, key, holder, *head, None)
            yield held

        large = responses.Answer(*head, stream=rest(), on_close=answer.close)
        try:
            return await _respond(request, asked.request_id, large)
        finally:
            if not recorded:
                await self._claims.unknown(owner, account, key, holder)

    async def _claim(
        self, found: keys.Home, call: _Call
    ) -> tuple[command.Result, command.Holder]:
        """Claim the key; wait for the answer if another process holds it."""
        asked = call.asked
        digest = command.fingerprint(
            asked.service, call.sent.content_type, call.sent.payload
        )
        pause_s = FIRST_POLL_S
        while True:
            result, holder = await self._claims.claim(
                found.failure_domain, asked.account, call.key, digest, found.issued_at
            )
            if result.state is not command.State.OPEN:
                return result, holder
            left_s = asked.deadline - self._time.monotonic()
            if left_s <= 0:
                raise errors.MarjoramusherError(
                    errors.ErrorCode.OUTCOME_UNKNOWN,
                    "the first request with this key has no answer yet",
                    errors.Outcome.UNKNOWN,
                )
            await asyncio.sleep(min(pause_s, left_s))
            pause_s = min(2 * pause_s, LAST_POLL_S)


async def _read_kept(
    pieces: AsyncIterator[bytes],
) -> tuple[bytes, bytes | None]:
    """Read an answer up to the size that is kept.

    Returns
    -------
    tuple
        The body read, and the piece that made it too large or ``None``.
    """
    kept = bytearray()
    async for piece in pieces:
        if len(kept) + len(piece) > KEPT_BYTES:
            return bytes(kept), piece
        kept += piece
    return bytes(kept), None


async def _respond(
    request: web.Request, request_id: str, answer: responses.Answer
) -> web.StreamResponse:
    """Send an answer completely, or abort the connection."""
    headers = {
        dispatch.Header.REQUEST_ID: request_id,
        "Content-Type": answer.content_type,
    }
    if answer.whole is not None:
        return web.Response(status=answer.status, headers=headers, body=answer.whole)
    response = web.StreamResponse(status=answer.status, headers=headers)
    response.enable_chunked_encoding()
    pieces = answer.pieces()
    try:
        await response.prepare(request)
        async for piece in pieces:
            await response.write(piece)
        await response.write_eof()
    except (errors.MarjoramusherError, ConnectionError):
        # An orderly end would make a cut answer look complete.
        if request.transport is not None:
            request.transport.abort()
    finally:
        await pieces.aclose()
        answer.close()
    return response


def _recorded(request_id: str, result: command.Result) -> web.Response:
    """Return what is recorded for a key, or the error that stands for it."""
    if result.state is command.State.ANSWERED:
        return web.Response(
            status=result.status,
            headers={
                dispatch.Header.REQUEST_ID: request_id,
                "Content-Type": result.content_type,
                "Idempotency-Replayed": "true",
            },
            body=result.body,
        )
    code, outcome, message = _RECORDED[result.state]
    raise errors.MarjoramusherError(code, message, outcome)


_RECORDED = {
    command.State.REUSED: (
        errors.ErrorCode.KEY_REUSED,
        errors.Outcome.NOT_RUN,
        "the key belongs to a different request",
    ),
    command.State.FULL: (
        errors.ErrorCode.OVERLOADED,
        errors.Outcome.NOT_RUN,
        "the home of the client account keeps as many keys as it can",
    ),
    command.State.UNKNOWN: (
        errors.ErrorCode.OUTCOME_UNKNOWN,
        errors.Outcome.UNKNOWN,
        "an earlier request with this key may have run",
    ),
    command.State.NOT_KEPT: (
        errors.ErrorCode.ANSWER_EXPIRED,
        errors.Outcome.DONE,
        "the request was done; its answer was too large to keep",
    ),
    command.State.EXPIRED: (
        errors.ErrorCode.ANSWER_EXPIRED,
        errors.Outcome.DONE,
        "the request was done; its answer is no longer kept",
    ),
}
