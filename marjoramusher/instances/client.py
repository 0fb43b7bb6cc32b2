"""Client for calls and one-way messages to other instances."""

import asyncio
import collections
import contextlib
import enum
from collections.abc import AsyncIterator, Iterable

import grpclib.client
import grpclib.config
import grpclib.const
import grpclib.exceptions
import h2.exceptions
import xxhash

from ..core import clock, codec, errors
from ..telemetry import log, metrics
from . import cuts, frame

CONNECT_TIMEOUT_S = 2.0
# TCP repeats a packet that is lost because the machine is still starting only after a
# second. Election messages wait for this connection, so it is retried sooner.
STREAM_CONNECT_TIMEOUT_S = 0.7
SILENCE_TIMEOUT_S = 3.0  # a live peer acknowledges batches every second
RECONNECT_DELAY_S = 0.25
MAX_QUEUED_MESSAGES = 4096
MAX_QUEUED_BYTES = 32 * 1024 * 1024
# Large enough that a response which its caller does not read does not block others.
CONNECTION_WINDOW_BYTES = 64 * 1024 * 1024
STREAM_WINDOW_BYTES = 256 * 1024
MAX_STREAM_BYTES = 256 * 1024 * 1024

_CONNECTION_ERRORS = (
    OSError,
    h2.exceptions.H2Error,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    AssertionError,  # raised by grpclib for a truncated message
)


class StreamCutError(errors.PeerUnreachableError):
    """A streamed response is truncated, too long or does not match its checksum."""


class PeerClient:
    """Client with two connections to each peer, one of them for streamed responses.

    Parameters
    ----------
    instance_id : str
        Id of this instance, sent as the sender.
    token : bytes
        Instance token of the cluster.
    time : Clock
        Source of monotonic time.
    metrics_registry : Metrics
        Records traffic and failures by peer.
    links : LinkCuts
        Link cuts, shared with the server.
    """

    def __init__(
        self,
        instance_id: str,
        token: bytes,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
        links: cuts.LinkCuts | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._token = token
        self._clock = time
        self._metrics = metrics_registry
        self._links = links or cuts.LinkCuts()
        self._addresses: dict[str, str] = {}
        self._ids_by_address: dict[str, str] = {}
        self._peers: dict[str, _Peer] = {}

    @property
    def links(self) -> cuts.LinkCuts:
        """Return the link cuts of this process."""
        return self._links

    def set_address(self, instance_id: str, address: str) -> None:
        """Set the address (``host:port``) of an instance."""
        old = self._addresses.get(instance_id)
        if old == address:
            return
        if old is not None and self._ids_by_address.get(old) == instance_id:
            del self._ids_by_address[old]
            peer = self._peers.pop(old, None)
            if peer is not None:
                peer.close()
        self._addresses[instance_id] = address
        self._ids_by_address[address] = instance_id

    def set_cuts(
        self, instance_ids: Iterable[str], mode: cuts.CutMode = cuts.CutMode.SWALLOW
    ) -> None:
        """Replace the set of cut links, for tests and fault injection."""
        self._links.set_cuts(instance_ids, mode)

    def send(
        self, instance_id: str, method: str, body: bytes, delay_s: float = 0.0
    ) -> None:
        """Send a one-way message, without a guarantee of delivery.

        If the queue is full, the oldest messages are dropped.

        Parameters
        ----------
        delay_s : float
            Longest time to wait for other messages that are sent in the same batch.
        """
        address = self._addresses.get(instance_id)
        if address is not None:
            self.send_to(address, method, body, delay_s)

    def send_to(
        self, address: str, method: str, body: bytes, delay_s: float = 0.0
    ) -> None:
        """Send a one-way message to an address, whose instance id may be unknown.

        Parameters
        ----------
        delay_s : float
            Longest time to wait for other messages that are sent in the same batch.
        """
        if self._links.mode(self._ids_by_address.get(address)) is None:
            self._peer(address).send(method, body, delay_s)

    async def call(
        self, instance_id: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a peer.

        Raises
        ------
        PeerUnreachableError
            If the peer can't be reached or does not respond; the outcome is ``not_run``
            if the call was not sent, and ``unknown`` otherwise.
        MarjoramusherError
            If the peer responds with an error.
        """
        started_s = self._clock.monotonic()
        address = await self._resolve(instance_id, timeout_s)
        timeout_s -= self._clock.monotonic() - started_s
        data = await self._peer(address).call(
            instance_id, self._envelope(method, body), timeout_s
        )
        await self._fail_if_cut(instance_id, timeout_s)
        try:
            reply = codec.unpack(data, frame.Reply)
        except errors.BadRequestError as error:
            raise errors.PeerUnreachableError(instance_id) from error
        if reply.error is not None:
            raise errors.from_body(reply.error)
        return reply.body

    async def stream(
        self,
        instance_id: str,
        method: str,
        body: bytes,
        progress_timeout_s: float,
        limit_bytes: int = MAX_STREAM_BYTES,
    ) -> AsyncIterator[bytes]:
        """Call a method of a peer and yield its response in chunks.

        The response is complete only if the iteration ends without an error.

        Parameters
        ----------
        progress_timeout_s : float
            Timeout for each chunk.
        limit_bytes : int
            Maximum length of the response.

        Raises
        ------
        StreamCutError
            If the response is truncated, too long or does not match its checksum.
        MarjoramusherError
            If the peer responds with an error.
        """
        address = await self._resolve(instance_id, progress_timeout_s)
        length = 0
        checksum = xxhash.xxh3_64()
        frames = self._peer(address).stream(
            instance_id, self._envelope(method, body), progress_timeout_s
        )
        async with contextlib.aclosing(frames):
            async for data in frames:
                await self._fail_if_cut(instance_id, progress_timeout_s)
                chunk = codec.unpack(data, frame.Chunk)
                if chunk.error is not None:
                    raise errors.from_body(chunk.error)
                if chunk.last:
                    if (chunk.length, chunk.checksum) != (length, checksum.intdigest()):
                        raise StreamCutError(instance_id)
                    return
                length += len(chunk.data)
                if length > limit_bytes:
                    raise StreamCutError(instance_id)
                checksum.update(chunk.data)
                yield chunk.data
        raise StreamCutError(instance_id)

    def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _peer(self, address: str) -> "_Peer":
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(
                address,
                self._ids_by_address,
                self._instance_id,
                self._token,
                self._clock,
                self._metrics,
            )
            self._peers[address] = peer
        return peer

    def _envelope(self, method: str, body: bytes) -> bytes:
        return codec.pack(frame.Envelope(self._instance_id, self._token, method, body))

    async def _resolve(self, instance_id: str, timeout_s: float) -> str:
        if not await self._links.wait_uncut(instance_id, timeout_s):
            raise errors.PeerUnreachableError(instance_id)
        address = self._addresses.get(instance_id)
        if address is None and ":" in instance_id:
            address = instance_id  # an address is accepted in place of an id
        if address is None or self._links.mode(instance_id) is cuts.CutMode.REFUSE:
            raise errors.PeerUnreachableError(instance_id, errors.Outcome.NOT_RUN)
        return address

    async def _fail_if_cut(self, instance_id: str, timeout_s: float) -> None:
        """Discard a response if its link was cut in the meantime."""
        mode = self._links.mode(instance_id)
        if mode is cuts.CutMode.SWALLOW:
            await asyncio.sleep(timeout_s)
        if mode is not None:
            raise errors.PeerUnreachableError(instance_id)


class _Connection:
    """gRPC channel with a count of its calls in progress."""

    __slots__ = (
        "_call_count",
        "_is_abandoned",
        "channel",
        "last_received_s",
        "opened_s",
    )

    def __init__(self, address: str, now: float) -> None:
        host, _, port = address.rpartition(":")
        self.channel = grpclib.client.Channel(
            host.strip("[]"),
            int(port),
            codec=frame.RawCodec(),
            config=grpclib.config.Configuration(
                http2_connection_window_size=CONNECTION_WINDOW_BYTES,
                http2_stream_window_size=STREAM_WINDOW_BYTES,
            ),
        )
        self.opened_s = now
        self.last_received_s = now
        self._call_count = 0
        self._is_abandoned = False

    @property
    def is_open(self) -> bool:
        """Tell whether the channel is connected."""
        return self.channel._connected

    @contextlib.contextmanager
    def use(self):
        """Keep the channel open during a call, even if it is abandoned meanwhile."""
        self._call_count += 1
        try:
            yield
        finally:
            self._call_count -= 1
            if self._is_abandoned and not self._call_count:
                self.channel.close()

    def abandon(self) -> None:
        """Close the channel after its last call in progress."""
        self._is_abandoned = True
        if not self._call_count:
            self.channel.close()


class _ConnectionKind(enum.Enum):
    """Purpose of a connection.

    Streamed responses have their own connection, since on a slow link, messages would
    queue behind them in the buffers for longer than an election timeout.
    """

    CONTROL = "control"
    ANSWERS = "answers"


class _Peer:
    """Connections and the queue of one-way messages to one address."""

    def __init__(
        self,
        address: str,
        ids_by_address: dict[str, str],
        instance_id: str,
        token: bytes,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._address = address
        self._ids_by_address = ids_by_address
        self._instance_id = instance_id
        self._token = token
        self._clock = time
        self._metrics = metrics_registry
        self._connections: dict[_ConnectionKind, _Connection] = {}
        self._queue: collections.deque[tuple[str, bytes]] = collections.deque()
        self._queued_bytes = 0
        self._wake_event: asyncio.Event = asyncio.Event()
        self._send_task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Number and send time of each batch without an acknowledgement.
        self._unacknowledged: collections.deque[tuple[int, float]] = collections.deque()
        self._last_acknowledged_s = 0.0
        self._last_failure_s = -RECONNECT_DELAY_S
        self._batch_connection: _Connection | None = None

    @property
    def _label(self) -> str:
        """Return the metrics label of the peer: its id, or its address if unknown."""
        return self._ids_by_address.get(self._address, self._address)

    def send(self, method: str, body: bytes, delay_s: float = 0.0) -> None:
        """Queue a message and send it on the next turn of the event loop or later."""
        self._queue.append((method, body))
        self._queued_bytes += len(body)
        while len(self._queue) > MAX_QUEUED_MESSAGES or (
            self._queued_bytes > MAX_QUEUED_BYTES and len(self._queue) > 1
        ):
            _, dropped = self._queue.popleft()
            self._queued_bytes -= len(dropped)
            self._metrics.increment("peer_dropped_messages", peer=self._label)
        self._discard_if_unacknowledged()
        if not delay_s:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._send_task is None or self._send_task.done():
            self._send_task = asyncio.get_running_loop().create_task(
                self._send_batches()
            )
        self._wake_event.set()

    async def call(self, instance_id: str, envelope: bytes, timeout_s: float) -> bytes:
        """Make a unary call and return the encoded reply.

        Raises
        ------
        PeerUnreachableError
            If the call fails or times out.
        """
        started_s = self._clock.monotonic()
        connection = await self._connect(
            _ConnectionKind.CONTROL, instance_id, timeout_s
        )
        remaining_s = timeout_s - (self._clock.monotonic() - started_s)
        with connection.use():
            try:
                async with asyncio.timeout(remaining_s):
                    async with connection.channel.request(
                        frame.CALL,
                        grpclib.const.Cardinality.UNARY_UNARY,
                        bytes,
                        bytes,
                    ) as stream:
                        self._count_sent(envelope)
                        await stream.send_message(envelope, end=True)
                        data = await stream.recv_message()
            except TimeoutError as error:
                self._discard_if_silent(connection, started_s)
                raise errors.PeerUnreachableError(instance_id) from error
            except grpclib.exceptions.GRPCError as error:  # the connection still works
                raise errors.PeerUnreachableError(instance_id) from error
            except _CONNECTION_ERRORS as error:
                self._discard(connection)
                raise errors.PeerUnreachableError(instance_id) from error
        if data is None:
            raise errors.PeerUnreachableError(instance_id)
        connection.last_received_s = self._clock.monotonic()
        self._metrics.increment("peer_received_bytes", len(data), peer=self._label)
        return data

    async def stream(
        self, instance_id: str, envelope: bytes, progress_timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Make a call and yield the encoded chunks of its reply.

        Raises
        ------
        StreamCutError
            If the stream fails or makes no progress.
        PeerUnreachableError
            If the connection can't be opened.
        """
        started_s = self._clock.monotonic()
        connection = await self._connect(
            _ConnectionKind.ANSWERS, instance_id, progress_timeout_s
        )
        with connection.use():
            try:
                async with connection.channel.request(
                    frame.STREAM,
                    grpclib.const.Cardinality.UNARY_STREAM,
                    bytes,
                    bytes,
                ) as stream:
                    async with asyncio.timeout(progress_timeout_s):
                        self._count_sent(envelope)
                        await stream.send_message(envelope, end=True)
                    while True:
                        async with asyncio.timeout(progress_timeout_s):
                            data = await stream.recv_message()
                        if data is None:
                            return
                        started_s = connection.last_received_s = self._clock.monotonic()
                        self._metrics.increment(
                            "peer_received_bytes", len(data), peer=self._label
                        )
                        yield data
            except TimeoutError as error:
                self._discard_if_silent(connection, started_s)
                raise StreamCutError(instance_id) from error
            except grpclib.exceptions.GRPCError as error:  # the connection still works
                raise StreamCutError(instance_id) from error
            except _CONNECTION_ERRORS as error:
                self._discard(connection)
                raise StreamCutError(instance_id) from error

    def close(self) -> None:
        """Stop sending and close the connections."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._send_task is not None:
            self._send_task.cancel()
            self._send_task = None
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    async def _connect(
        self, kind: _ConnectionKind, instance_id: str, timeout_s: float
    ) -> _Connection:
        connection = self._connections.get(kind)
        if connection is None:
            connection = _Connection(self._address, self._clock.monotonic())
            self._connections[kind] = connection
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                await connection.channel.__connect__()
        except (OSError, TimeoutError) as error:
            # In a burst, a call also waits here for the calls before it.
            if connection.is_open:
                return connection
            self._discard(connection)
            raise errors.PeerUnreachableError(
                instance_id, errors.Outcome.NOT_RUN
            ) from error
        return connection

    def _discard(self, connection: _Connection) -> None:
        connection.abandon()
        for kind, current in tuple(self._connections.items()):
            if current is connection:
                del self._connections[kind]

    def _discard_if_silent(self, connection: _Connection, since_s: float) -> None:
        """Discard a connection that has received nothing since a given time."""
        is_current = connection in self._connections.values()
        if connection.last_received_s <= since_s and is_current:
            self._discard(connection)
            self._metrics.increment("peer_silent_connections", peer=self._label)

    def _discard_if_unacknowledged(self) -> None:
        """Discard the connection if a batch is not acknowledged in time."""
        if not self._unacknowledged:
            return
        since_s = max(self._unacknowledged[0][1], self._last_acknowledged_s)
        if self._clock.monotonic() - since_s > SILENCE_TIMEOUT_S:
            self._metrics.increment("peer_silent_connections", peer=self._label)
            log.state_change("peer.connection_silent", address=self._address)
            if self._send_task is not None:
                self._send_task.cancel()
                self._send_task = None
            self._unacknowledged.clear()
            connection, self._batch_connection = self._batch_connection, None
            if connection is not None:
                self._discard(connection)
                connection.channel.close()

    async def _send_batches(self) -> None:
        """Open a stream and send batches on it until it fails."""
        if self._clock.monotonic() - self._last_failure_s < RECONNECT_DELAY_S:
            self._clear_queue()
            return
        try:
            connection = await self._connect(
                _ConnectionKind.CONTROL, self._address, STREAM_CONNECT_TIMEOUT_S
            )
            self._batch_connection = connection
            with connection.use():
                async with connection.channel.request(
                    frame.BATCHES,
                    grpclib.const.Cardinality.STREAM_STREAM,
                    bytes,
                    bytes,
                ) as stream:
                    await self._send_on_stream(connection, stream)
        except errors.PeerUnreachableError:
            self._last_failure_s = self._clock.monotonic()
            self._clear_queue()
        except _CONNECTION_ERRORS:
            self._last_failure_s = self._clock.monotonic()
            self._discard(connection)

    async def _send_on_stream(
        self, connection: _Connection, stream: grpclib.client.Stream
    ) -> None:
        self._unacknowledged.clear()
        await stream.send_request()
        reader = asyncio.get_running_loop().create_task(
            self._read_acknowledgements(connection, stream)
        )
        try:
            count = 0
            while not reader.done():
                await self._wake_event.wait()
                self._wake_event.clear()
                if not self._queue or reader.done():
                    continue
                batch = frame.Batch(
                    self._take_batch(),
                    "" if count else self._instance_id,
                    b"" if count else self._token,
                )
                count += 1
                data = codec.pack(batch)
                self._count_sent(data)
                self._unacknowledged.append((count, self._clock.monotonic()))
                await stream.send_message(data)
                if self._queue:
                    self._wake_event.set()
        finally:
            reader.cancel()
            self._unacknowledged.clear()
        self._discard(connection)

    async def _read_acknowledgements(
        self, connection: _Connection, stream: grpclib.client.Stream
    ) -> None:
        try:
            while (data := await stream.recv_message()) is not None:
                count = codec.unpack(data, frame.Acknowledgement).count
                self._last_acknowledged_s = self._clock.monotonic()
                connection.last_received_s = self._last_acknowledged_s
                while self._unacknowledged and self._unacknowledged[0][0] <= count:
                    self._unacknowledged.popleft()
        except (*_CONNECTION_ERRORS, errors.BadRequestError):
            self._metrics.increment("peer_broken_streams", peer=self._label)
        finally:
            self._wake_event.set()

    def _take_batch(self) -> list[tuple[str, bytes]]:
        """Remove queued messages up to half of the maximum message size."""
        batch = []
        size = 0
        while self._queue:
            method, body = self._queue[0]
            if batch and size + len(body) > frame.MAX_MESSAGE_BYTES // 2:
                break
            self._queue.popleft()
            size += len(body)
            batch.append((method, body))
        self._queued_bytes -= size
        return batch

    def _clear_queue(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0

    def _count_sent(self, data: bytes) -> None:
        self._metrics.increment("peer_sent_bytes", len(data), peer=self._label)
