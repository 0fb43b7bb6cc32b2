"""Server for calls and one-way messages from other instances."""

import asyncio
import contextlib
import hmac
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import grpclib.config
import grpclib.const
import grpclib.exceptions
import grpclib.protocol
import grpclib.server
import h2.exceptions
import h2.settings
import xxhash

from ..core import codec, errors
from ..http import connection_guard, memory_budget
from ..telemetry import log, metrics
from . import cuts, frame

ACKNOWLEDGE_INTERVAL_S = 1.0  # shared by batches, to save traffic when idle
# Delay if no other batch follows; less than `SILENCE_TIMEOUT_S` of the client.
LAST_ACKNOWLEDGE_DELAY_S = 1.5
SWALLOW_TIMEOUT_S = 60.0
STREAM_WINDOW_BYTES = 1024 * 1024  # bounds the memory of an unread stream
CONNECTION_WINDOW_BYTES = 64 * 1024 * 1024  # unread streams must not block others
DEFAULT_POOL_BYTES = 256 * 1024 * 1024  # for calls in progress, without an intake
MAX_STREAMS = 8192  # more than the requests that one instance forwards to another

CallHandler: TypeAlias = Callable[[str, bytes], Awaitable[bytes]]
OneWayHandler: TypeAlias = Callable[[str, bytes], None]
StreamHandler: TypeAlias = Callable[[str, bytes], AsyncIterator[bytes]]


class UnauthorizedError(errors.MarjoramusherError):
    """The instance token is missing or wrong."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorCode.UNAUTHORIZED, "the instance token is missing or wrong"
        )


class PeerServer:
    """Server for the calls of other instances.

    Parameters
    ----------
    token : bytes
        Instance token of the cluster; empty on loopback without tokens.
    metrics_registry : Metrics
        Records traffic by peer and errors by code.
    links : LinkCuts
        Link cuts, shared with the client.
    intake : Intake, optional
        Limits of the process. Calls in progress take memory from its pool;
        connections that send no valid message are closed.
    """

    def __init__(
        self,
        token: bytes,
        metrics_registry: metrics.Metrics,
        links: cuts.LinkCuts | None = None,
        intake: connection_guard.Intake | None = None,
    ) -> None:
        self._token = token
        self._metrics = metrics_registry
        self._links = links or cuts.LinkCuts()
        self._intake = intake
        self._pool = (
            memory_budget.Pool(DEFAULT_POOL_BYTES)
            if intake is None
            else intake.peer_pool
        )
        self._call_handlers: dict[str, CallHandler] = {}
        self._one_way_handlers: dict[str, OneWayHandler] = {}
        self._stream_handlers: dict[str, StreamHandler] = {}
        self._batch_end_handler: Callable[[], None] = lambda: None
        self._server: _Server | None = None
        self._port = 0

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self._port

    def register(self, method: str, handler: CallHandler) -> None:
        """Register a handler, ``handler(sender, body)``, that returns the response."""
        self._call_handlers[method] = handler

    def register_one_way(self, method: str, handler: OneWayHandler) -> None:
        """Register a handler for one-way messages; it must not block."""
        self._one_way_handlers[method] = handler

    def register_batch_end(self, handler: Callable[[], None]) -> None:
        """Register a handler that is called after each batch of one-way messages."""
        self._batch_end_handler = handler

    def register_stream(self, method: str, handler: StreamHandler) -> None:
        """Register a handler for calls that yields the response in chunks."""
        self._stream_handlers[method] = handler

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address; port 0 selects a free port."""
        self._server = _Server(
            self._intake,
            [self],
            codec=frame.RawCodec(),
            config=grpclib.config.Configuration(
                http2_connection_window_size=CONNECTION_WINDOW_BYTES,
                http2_stream_window_size=STREAM_WINDOW_BYTES,
            ),
        )
        await self._server.start(host, port)
        if self._intake is not None:
            self._intake.start()
        self._port = self._server._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server.close_connections()
            await self._server.wait_closed()
            self._server = None

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the gRPC handlers by method path."""
        cardinality = grpclib.const.Cardinality
        return {
            frame.CALL: grpclib.const.Handler(
                self._call, cardinality.UNARY_UNARY, bytes, bytes
            ),
            frame.BATCHES: grpclib.const.Handler(
                self._batches, cardinality.STREAM_STREAM, bytes, bytes
            ),
            frame.STREAM: grpclib.const.Handler(
                self._stream, cardinality.UNARY_STREAM, bytes, bytes
            ),
        }

    async def _call(self, stream: grpclib.server.Stream) -> None:
        with self._pool.reservation() as reserve:
            await self._serve_call(stream, reserve)

    async def _serve_call(
        self, stream: grpclib.server.Stream, reserve: Callable[[int], None]
    ) -> None:
        sender = ""
        try:
            envelope = await self._receive_envelope(stream, reserve)
            sender = envelope.sender
            handler = self._call_handlers.get(envelope.method)
            if handler is None:
                raise _unknown_method_error(envelope.method)
            reply = frame.Reply(await handler(sender, envelope.body))
        except _TRANSPORT_ERRORS:
            raise
        except Exception as error:
            reply = frame.Reply(error=_error_body(error))
            self._metrics.increment("peer_call_errors", code=reply.error.code.value)
        await self._fail_if_cut(sender)
        await self._send(stream, sender, codec.pack(reply))

    async def _stream(self, stream: grpclib.server.Stream) -> None:
        with self._pool.reservation() as reserve:
            await self._serve_stream(stream, reserve)

    async def _serve_stream(
        self, stream: grpclib.server.Stream, reserve: Callable[[int], None]
    ) -> None:
        sender = ""
        length = 0
        checksum = xxhash.xxh3_64()
        try:
            envelope = await self._receive_envelope(stream, reserve)
            sender = envelope.sender
            handler = self._stream_handlers.get(envelope.method)
            if handler is None:
                raise _unknown_method_error(envelope.method)
            async for data in handler(sender, envelope.body):
                for start in range(0, len(data), frame.CHUNK_BYTES):
                    part = data[start : start + frame.CHUNK_BYTES]
                    length += len(part)
                    checksum.update(part)
                    await self._fail_if_cut(sender)
                    await self._send(stream, sender, codec.pack(frame.Chunk(part)))
            last = frame.Chunk(b"", True, length, checksum.intdigest())
        except _TRANSPORT_ERRORS:
            raise
        except Exception as error:
            last = frame.Chunk(last=True, error=_error_body(error))
        await self._fail_if_cut(sender)
        await self._send(stream, sender, codec.pack(last))

    async def _batches(self, stream: grpclib.server.Stream) -> None:
        acknowledger = _Acknowledger(stream)
        sender = ""
        try:
            while (data := await frame.receive(stream)) is not None:
                batch = codec.unpack(data, frame.Batch)
                if not sender:
                    self._authenticate(stream, batch.token)
                    sender = batch.sender
                mode = self._links.mode(sender)
                if mode is cuts.CutMode.REFUSE:
                    raise _link_cut_error()
                if mode is cuts.CutMode.SWALLOW:
                    continue
                self._metrics.increment("peer_received_bytes", len(data), peer=sender)
                acknowledger.add()
                for method, body in batch.messages:
                    self._deliver(sender, method, body)
                self._run_handler("end of batch", self._batch_end_handler)
        except errors.MarjoramusherError as error:
            self._metrics.increment("peer_batch_errors", code=error.code.value)
            status = (
                grpclib.const.Status.UNAUTHENTICATED
                if error.code is errors.ErrorCode.UNAUTHORIZED
                else grpclib.const.Status.INVALID_ARGUMENT
            )
            raise grpclib.exceptions.GRPCError(status, error.code.value) from error
        finally:
            acknowledger.close()

    def _deliver(self, sender: str, method: str, body: bytes) -> None:
        handler = self._one_way_handlers.get(method)
        if handler is None:
            self._metrics.increment("peer_unknown_messages", method=method)
            return
        self._run_handler(method, lambda: handler(sender, body))

    def _run_handler(self, method: str, handler: Callable[[], None]) -> None:
        try:
            handler()
        except errors.MarjoramusherError as error:
            self._metrics.increment("peer_message_errors", code=error.code.value)
        except Exception as error:
            # An error in one message must not end the stream, which carries all others.
            self._metrics.increment("peer_message_errors", code="internal")
            log.state_change("peer.message_failed", method=method, error=repr(error))

    async def _receive_envelope(
        self, stream: grpclib.server.Stream, reserve: Callable[[int], None]
    ) -> frame.Envelope:
        data = await frame.receive(stream, reserve=reserve)
        envelope = codec.unpack(data or b"", frame.Envelope)
        self._authenticate(stream, envelope.token)
        await self._links.wait_uncut(envelope.sender, SWALLOW_TIMEOUT_S)
        if self._links.mode(envelope.sender) is not None:
            raise _link_cut_error()
        self._metrics.increment("peer_received_bytes", len(data), peer=envelope.sender)
        return envelope

    def _authenticate(self, stream: grpclib.server.Stream, token: bytes) -> None:
        if not hmac.compare_digest(self._token, token):
            raise UnauthorizedError
        if self._server is not None:
            self._server.confirm(stream._stream.connection)

    async def _fail_if_cut(self, sender: str) -> None:
        """Fail the call if the link to the sender is cut."""
        mode = self._links.mode(sender)
        if mode is cuts.CutMode.SWALLOW:
            await asyncio.sleep(SWALLOW_TIMEOUT_S)
        if mode is not None:
            raise _link_cut_error()

    async def _send(
        self, stream: grpclib.server.Stream, sender: str, data: bytes
    ) -> None:
        self._metrics.increment("peer_sent_bytes", len(data), peer=sender)
        await stream.send_message(data)


class _Server(grpclib.server.Server):
    """gRPC server that can close its connections, unlike that of grpclib."""

    def __init__(
        self, intake: connection_guard.Intake | None, *args: Any, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._intake = intake
        self._protocols: weakref.WeakSet = weakref.WeakSet()
        self._unconfirmed: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    def confirm(self, connection: grpclib.protocol.Connection) -> None:
        """Keep a connection whose peer has sent a valid message."""
        entry = self._unconfirmed.pop(connection, None)
        if entry is not None:
            entry.phase = memory_budget.Phase.WORK

    def close_connections(self) -> None:
        """Close all open connections."""
        for protocol in self._protocols:
            if hasattr(protocol, "connection"):
                protocol.connection.close()

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        default = super()._protocol_factory()
        protocol = _Protocol(default.handler, default.config, default.h2_config)
        protocol.guard(self._intake, self._unconfirmed)
        self._protocols.add(protocol)
        return protocol


class _Protocol(grpclib.protocol.H2Protocol):
    """Connection that accepts more than the 100 streams that h2 allows by default."""

    _budget: memory_budget.Budget | None = None
    _entry: memory_budget.Connection | None = None

    def guard(
        self,
        intake: connection_guard.Intake | None,
        unconfirmed: weakref.WeakKeyDictionary,
    ) -> None:
        """Set the limits of the process and the connections without a message yet."""
        self._budget = None if intake is None else intake.budget
        self._unconfirmed = unconfirmed

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection."""
        if self._entry is not None:
            self._budget.discard(self._entry)
            self._budget.release(self._entry)
        super().connection_lost(exc)

    def _refuse(self, reason: memory_budget.Reason) -> None:
        del reason
        self._entry.phase = memory_budget.Phase.REFUSED
        self._budget.discard(self._entry)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Announce the number of concurrent streams that the peer may open."""
        super().connection_made(transport)
        self.connection._connection.update_settings(
            {h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS}
        )
        self.connection.flush()
        if self._budget is None:
            return
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._entry = memory_budget.Connection(
            str(peer[0]) if peer else "", self._refuse, self._budget.now_s
        )
        # The first message has as much time as the head of a request.
        self._entry.phase = memory_budget.Phase.HEAD
        self._unconfirmed[self.connection] = self._entry
        self._budget.open(self._entry)


class _Acknowledger:
    """Sender of acknowledgements, at most one per `ACKNOWLEDGE_INTERVAL_S`."""

    __slots__ = ("_count", "_sent_s", "_stream", "_task", "_timer")

    def __init__(self, stream: grpclib.server.Stream) -> None:
        self._stream = stream
        self._count = 0
        self._sent_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None

    def add(self) -> None:
        """Count a batch and schedule its acknowledgement."""
        self._count += 1
        loop = asyncio.get_running_loop()
        if loop.time() - self._sent_s >= ACKNOWLEDGE_INTERVAL_S:
            self._send_now()
        elif self._timer is None:
            self._timer = loop.call_later(LAST_ACKNOWLEDGE_DELAY_S, self._send_now)

    def close(self) -> None:
        """Cancel pending acknowledgements."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _send_now(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._sent_s = asyncio.get_running_loop().time()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send())

    async def _send(self) -> None:
        # The handler of the stream notices a broken connection by itself.
        with _suppress_broken_connection():
            acknowledgement = frame.Acknowledgement(self._count)
            await self._stream.send_message(codec.pack(acknowledgement))


# Errors of the stream itself, which grpclib handles.
_TRANSPORT_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)


def _suppress_broken_connection() -> Any:
    return contextlib.suppress(
        OSError, h2.exceptions.H2Error, grpclib.exceptions.StreamTerminatedError
    )


def _link_cut_error() -> grpclib.exceptions.GRPCError:
    return grpclib.exceptions.GRPCError(grpclib.const.Status.UNAVAILABLE, "link cut")


def _unknown_method_error(method: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.NOT_FOUND, f"unknown peer method {method[:40]!r}"
    )


def _error_body(error: Exception) -> errors.ErrorBody:
    if isinstance(error, errors.MarjoramusherError):
        return error.body()
    log.state_change("peer.call_failed", error=repr(error))
    return errors.ErrorBody(
        errors.ErrorCode.INTERNAL, errors.Outcome.UNKNOWN, "the handler failed"
    )
