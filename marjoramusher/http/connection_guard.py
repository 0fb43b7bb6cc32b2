"""Server connections that charge what they receive to the budget of the process.

The guard sits between the socket and aiohttp's parser. It counts each received segment
before it is parsed, so that no crowd takes memory that the budget does not know. What
to close is decided in `memory_budget`; this module carries it out. One timer serves all
connections of the process, and a received segment costs a few additions.
"""

import asyncio
import contextlib
from typing import Any

from aiohttp import StreamReader, http_exceptions, web, web_protocol

from ..telemetry import log, metrics
from . import memory_budget
from .memory_budget import Phase, Reason

SWEEP_INTERVAL_S = 0.5
LOG_INTERVAL_S = 10.0
# Low enough that the chunks of a body that its handler does not read stay small.
READ_BUFFER_BYTES = 32 * 1024
# Bytes that are read from a socket at once, an eighth of asyncio's default. One pass of
# the event loop reads all sockets that are ready, so this bounds the length of a pass
# and what arrives before any connection can be closed.
SEGMENT_BYTES = 32 * 1024
# How long a client that still sends after the response may take to read it.
LINGER_S = 3.0
# More than aiohttp takes of the requests behind the one that is handled: 32 heads of
# the largest size, before it stops reading.
PIPELINED_BYTES = 1024 * 1024
# Responses are held by the handler and by the buffer of the socket.
HELD_PER_RESPONSE_BYTE = 2
# Responses to requests without a handler yet, by reason.
_REFUSALS = {
    Reason.HEAD_TOO_LARGE: b"431 Request Header Fields Too Large",
    Reason.HEAD_SLOW: b"408 Request Timeout",
    Reason.MEMORY: b"503 Service Unavailable",
    Reason.CONNECTIONS: b"503 Service Unavailable",
}


# An attribute of an enumeration takes several times as long to look up as a global.
_IDLE, _HEAD, _BODY, _WORK, _RESPONSE, _REFUSED = Phase


class Intake:
    """Budget of a process with its timer, metrics and log lines.

    Parameters
    ----------
    limits : Limits
        Limits to keep.
    metrics_registry : Metrics
        Records ``intake_refusals`` by reason, ``intake_held_bytes`` and
        ``intake_connections``.
    """

    def __init__(
        self, limits: memory_budget.Limits, metrics_registry: metrics.Metrics
    ) -> None:
        self.budget = memory_budget.Budget(limits)
        # Calls of other instances have a pool of their own, so that no crowd of
        # clients keeps the instances from each other.
        self.peer_pool = memory_budget.Pool(limits.memory_bytes)
        self._metrics = metrics_registry
        self._timer: asyncio.TimerHandle | None = None
        self._unlogged: dict[Reason, int] = {}
        self._logged_s = float("-inf")

    def start(self) -> None:
        """Start the timer, unless it is running."""
        if self._timer is None:
            self._sweep()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        budget = self.budget
        budget.advance(loop.time())
        self._metrics.set_gauge("intake_connections", budget.connection_count)
        self._metrics.set_gauge("intake_held_bytes", budget.held_bytes)
        for reason, count in budget.take_counts().items():
            self._metrics.increment("intake_refusals", count, reason=reason.value)
            # An idle connection that is closed is no event.
            if reason is not Reason.IDLE:
                self._unlogged[reason] = self._unlogged.get(reason, 0) + count
        if self._unlogged and loop.time() - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = loop.time()
            log.state_change(
                "intake.limited",
                refused={
                    reason.value: count for reason, count in self._unlogged.items()
                },
                connections=budget.connection_count,
                held_bytes=budget.held_bytes,
                limit_bytes=budget.limits.memory_bytes,
            )
            self._unlogged.clear()


class GuardedHandler(web_protocol.RequestHandler):
    """Connection of aiohttp that keeps the limits of an intake."""

    __slots__ = (
        "_budget",
        "_connection",
        "_data",
        "_early_bytes",
        "_is_answered",
        "_parsed_count",
        "_payload",
        "_reader",
        "_refusal",
    )

    def __init__(self, intake: Intake, server: web.Server) -> None:
        limits = intake.budget.limits
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=limits.field_bytes,
            max_field_size=limits.field_bytes,
            lingering_time=LINGER_S,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._budget = intake.budget
        self._connection: memory_budget.Connection | None = None
        self._payload: StreamReader | None = None
        self._reader: asyncio.Timeout | None = None
        self._data: bytearray | None = None
        self._refusal: Reason | None = None
        self._parsed_count = 0
        # Bytes that arrived while a handler was running and hold no whole head.
        self._early_bytes = 0
        # Whether the response was sent before the body was received.
        self._is_answered = False

    @property
    def refusal(self) -> Reason | None:
        """Return why the request that is being read is refused, if it is."""
        return self._refusal

    def set_reader(self, reader: asyncio.Timeout, data: bytearray) -> None:
        """Set what to end and what to clear if the request is refused.

        Parameters
        ----------
        reader : asyncio.Timeout
            Time limit of the reading of the body.
        data : bytearray
            What has been read. The reader must not use it if there is a `refusal`.
        """
        self._reader = reader
        self._data = data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection within the limit of the process."""
        super().connection_made(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = SEGMENT_BYTES
        peer = transport.get_extra_info("peername")
        address = peer[0] if isinstance(peer, tuple) else ""
        self._connection = memory_budget.Connection(
            address, self._refuse, self._budget.now_s
        )
        self._budget.open(self._connection)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds, unless a handler still works with it."""
        connection = self._connection
        if connection is not None:
            self._budget.discard(connection)
            if not self._request_in_progress:
                self._budget.release(connection)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Charge a segment, then parse it."""
        connection = self._connection
        if connection is None or connection.phase is _REFUSED:
            return
        if data:
            self._charge(connection, len(data))
            if connection.phase is _REFUSED:
                return
        super().data_received(data)
        if self._request_count != self._parsed_count:
            self._begin_requests(connection)
        elif connection.phase is _BODY:
            if self._payload.is_eof():
                self._end_body(connection)
        elif (
            connection.phase is _HEAD
            and connection.received_bytes > self._budget.limits.head_bytes
        ):
            self._budget.close(connection, Reason.HEAD_TOO_LARGE)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response, for which the client has a limited time."""
        connection = self._connection
        if connection.phase is not _REFUSED:
            self._enter(connection, _RESPONSE)
            body = getattr(resp, "body", None)
            if isinstance(body, (bytes, bytearray)):
                self._budget.hold(connection, len(body) * HELD_PER_RESPONSE_BYTE)
        try:
            answered = await super().finish_response(request, resp, start_time)
            if isinstance(resp, web.Response):
                # aiohttp keeps the response until the next request of the connection.
                resp.body = None
            return answered
        finally:
            self._end_request(connection)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return an error response.

        Malformed requests are counted, and lost connections are no error, so that no
        client fills the log.
        """
        if isinstance(exc, http_exceptions.HttpProcessingError):
            self._budget.count(Reason.MALFORMED)
        elif self.transport is not None or not isinstance(
            exc, (ConnectionError, RuntimeError)
        ):
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status, text=f"{status} {message or ''}\n")
        response.force_close()
        return response

    def _charge(self, connection: memory_budget.Connection, size: int) -> None:
        connection.received_bytes += size
        if connection.phase is _IDLE:
            self._enter(connection, _HEAD)
        elif connection.phase is _WORK or connection.phase is _RESPONSE:
            self._early_bytes += size
        self._budget.hold(connection, size * memory_budget.HELD_PER_RECEIVED_BYTE)

    def _begin_requests(self, connection: memory_budget.Connection) -> None:
        self._parsed_count = self._request_count
        self._early_bytes = 0
        if not self._messages:
            return  # aiohttp parses what follows a declined upgrade by itself
        message, payload = self._messages[-1]
        self._payload = payload
        limit = self._budget.limits.head_bytes
        # A head within the limit may have arrived together with its body.
        if connection.received_bytes > limit and _head_bytes(message) > limit:
            self._budget.close(connection, Reason.HEAD_TOO_LARGE)
            return
        if payload.is_eof():
            phase = _WORK
        else:
            phase = _BODY
            if message.chunked:
                self._budget.hold(connection, memory_budget.CHUNKED_BYTES)
        # The budget may have refused the connection.
        if connection.phase is not _REFUSED:
            self._enter(connection, phase)

    def _end_body(self, connection: memory_budget.Connection) -> None:
        if self._is_answered:
            self._enter_idle(connection)
        else:
            self._enter(connection, _WORK)

    def _end_request(self, connection: memory_budget.Connection) -> None:
        self._reader = self._data = None
        if self.transport is None:
            self._budget.release(connection)
            return
        if connection.phase is _REFUSED:
            return
        connection.served += 1
        if self._messages:
            # The bytes of the requests that are left are not known one by one.
            kept_bytes = min(connection.held_bytes, PIPELINED_BYTES)
            self._budget.release(connection, kept_bytes)
            connection.received_bytes = 0
            is_whole = self._payload.is_eof()
            self._enter(connection, _WORK if is_whole else _BODY)
        elif self._payload is not None and not self._payload.is_eof():
            # The rest of the body is read and dropped.
            self._is_answered = True
            self._budget.release(connection, memory_budget.CONNECTION_BYTES)
            connection.received_bytes = 0
            self._enter(connection, _BODY)
        else:
            self._enter_idle(connection)

    def _enter(self, connection: memory_budget.Connection, phase: Phase) -> None:
        connection.phase = phase
        connection.since_s = self._budget.now_s

    def _enter_idle(self, connection: memory_budget.Connection) -> None:
        """Wait for the next request, whose first bytes may have arrived."""
        self._is_answered = False
        self._payload = None
        early_bytes, self._early_bytes = self._early_bytes, 0
        connection.received_bytes = early_bytes
        kept_bytes = early_bytes * memory_budget.HELD_PER_RECEIVED_BYTE
        self._budget.release(connection, memory_budget.CONNECTION_BYTES + kept_bytes)
        self._enter(connection, _HEAD if early_bytes else _IDLE)

    def _refuse(self, reason: Reason) -> None:
        """Refuse the request that is being received, and close the connection."""
        connection = self._connection
        transport = self.transport
        phase = connection.phase
        self._refusal = reason
        self._enter(connection, _REFUSED)
        # Handlers and lost connections are dealt with after all sockets that are ready
        # have been read, so what was received is dropped now.
        if self._data is not None:
            self._data.clear()
        if self._payload is not None and phase is _BODY:
            with contextlib.suppress(Exception):  # of a payload that has failed
                self._payload.read_nowait()
        self._budget.release(connection, memory_budget.CONNECTION_BYTES)
        is_answered = (
            phase is _BODY
            and self._reader is not None
            and reason is not Reason.CONNECTIONS
        )
        if is_answered:
            with contextlib.suppress(RuntimeError):  # the body has just been read
                self._reader.reschedule(asyncio.get_running_loop().time())
            return
        self._budget.discard(connection)
        if transport is None:
            return
        if phase is _HEAD and reason in _REFUSALS:
            transport.write(
                b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                % _REFUSALS[reason]
            )
        if phase is _IDLE or phase is _HEAD:
            self.force_close()
        else:
            transport.abort()


class GuardedSite(web.BaseSite):
    """TCP listener whose connections keep the limits of an intake.

    Parameters
    ----------
    runner : web.AppRunner
        Runner that was set up.
    intake : Intake
        Limits of the process.
    """

    __slots__ = ("_host", "_intake", "_port")

    def __init__(
        self,
        runner: web.AppRunner,
        intake: Intake,
        host: str,
        port: int,
        backlog: int = 1024,
    ) -> None:
        super().__init__(runner, backlog=backlog)
        self._intake = intake
        self._host = host
        self._port = port

    @property
    def name(self) -> str:
        """Return the address as a URL."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        await super().start()
        server = self._runner.server
        self._intake.start()
        self._server = await asyncio.get_running_loop().create_server(
            lambda: GuardedHandler(self._intake, server),
            self._host,
            self._port,
            backlog=self._backlog,
        )


def _head_bytes(message: Any) -> int:
    """Return the size of a head, 0 of one that could not be parsed."""
    return len(getattr(message, "path", "")) + sum(
        len(name) + len(value) + 4
        for name, value in getattr(message, "raw_headers", ())
    )
