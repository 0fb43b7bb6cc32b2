"""Client side of the calls between instances."""

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

CONNECT_S = 2.0
# The first packet to a machine that has yet to start is lost and sent again after a
# second. Messages of elections wait for this connection, so a new attempt comes sooner.
STREAM_CONNECT_TIMEOUT_S = 0.7
SILENCE_S = 3.0  # a live peer acknowledges batches every second
RECONNECT_DELAY_S = 0.25
QUEUE_MESSAGES = 4096
QUEUE_BYTES = 32 * 1024 * 1024
# An answer that its caller does not read must not stop the other calls.
CONNECTION_WINDOW_BYTES = 64 * 1024 * 1024
STREAM_WINDOW_BYTES = 256 * 1024
MAX_STREAM_BYTES = 256 * 1024 * 1024

_BROKEN = (
    OSError,
    h2.exceptions.H2Error,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    AssertionError,  # grpclib raises it for a message that is cut short
)


class StreamCutError(errors.PeerUnreachableError):
    """A streamed answer ended early or does not match its checksum."""


class PeerClient:
    """Call other instances over one connection each, and one for streamed answers.

    Parameters
    ----------
    instance_id : str
        Own id, sent with each call.
    token : bytes
        Instance token of the cluster.
    time : Clock
        Gives monotonic time.
    values : Metrics
        Gets bytes and failures by peer.
    links : LinkCuts
        Links to cut in tests, shared with the server.
    """

    def __init__(
        self,
        instance_id: str,
        token: bytes,
        time: clock.Clock,
        values: metrics.Metrics,
        links: cuts.LinkCuts | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._token = token
        self._clock = time
        self._metrics = values
        self._links = links or cuts.LinkCuts()
        self._addresses: dict[str, str] = {}
        self._ids: dict[str, str] = {}
        self._peers: dict[str, _Peer] = {}

    @property
    def links(self) -> cuts.LinkCuts:
        """Return the link cuts."""
        return self._links

    def set_address(self, instance_id: str, address: str) -> None:
        """Note where an instance listens (``host:port``)."""
        old = self._addresses.get(instance_id)
        if old == address:
            return
        if old is not None and self._ids.get(old) == instance_id:
            del self._ids[old]
            peer = self._peers.pop(old, None)
            if peer is not None:
                peer.close()
        self._addresses[instance_id] = address
        self._ids[address] = instance_id

    def set_cuts(
        self, instance_ids: Iterable[str], mode: cuts.CutMode = cuts.CutMode.SWALLOW
    ) -> None:
        """Cut exactly these links in both directions; for tests and fault trials."""
        self._links.set_cuts(instance_ids, mode)

    def send(
        self, instance_id: str, method: str, body: bytes, delay_s: float = 0.0
    ) -> None:
        """Send a one-way message; it may be lost, and the oldest are dropped first.

        Parameters
        ----------
        delay_s : float
            How long the message may wait for another one to share its frame.
        """
        address = self._addresses.get(instance_id)
        if address is not None:
            self.send_to(address, method, body, delay_s)

    def send_to(
        self, address: str, method: str, body: bytes, delay_s: float = 0.0
    ) -> None:
        """Send a one-way message to an address whose instance may not be known.

        Parameters
        ----------
        delay_s : float
            How long the message may wait for another one to share its frame.
        """
        if self._links.mode(self._ids.get(address)) is None:
            self._peer(address).send(method, body, delay_s)

    async def call(
        self, instance_id: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a peer.

        Raises
        ------
        PeerUnreachableError
            With outcome ``not_run`` if the call was not sent, else ``unknown``.
        MarjoramusherError
            Error that the peer answered.
        """
        started_s = self._clock.monotonic()
        address = await self._reach(instance_id, timeout_s)
        timeout_s -= self._clock.monotonic() - started_s
        data = await self._peer(address).call(
            instance_id, self._envelope(method, body), timeout_s
        )
        await self._guard_answer(instance_id, timeout_s)
        reply = codec.unpack(data, frame.Reply)
        if reply.error is not None:
            raise errors.from_body(reply.error)
        return reply.body

    async def stream(
        self,
        instance_id: str,
        method: str,
        body: bytes,
        progress_s: float,
        limit_bytes: int = MAX_STREAM_BYTES,
    ) -> AsyncIterator[bytes]:
        """Call a method of a peer and give its answer in chunks.

        The answer is complete only if the iteration ends without an error.

        Parameters
        ----------
        progress_s : float
            Longest time to wait for the next chunk.
        limit_bytes : int
            Longest answer.

        Raises
        ------
        StreamCutError
            If the answer is cut short, too long or does not match its checksum.
        MarjoramusherError
            Error that the peer answered.
        """
        address = await self._reach(instance_id, progress_s)
        length = 0
        checksum = xxhash.xxh3_64()
        frames = self._peer(address).stream(
            instance_id, self._envelope(method, body), progress_s
        )
        async with contextlib.aclosing(frames):
            async for data in frames:
                await self._guard_answer(instance_id, progress_s)
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
                self._ids,
                self._instance_id,
                self._token,
                self._clock,
                self._metrics,
            )
            self._peers[address] = peer
        return peer

    def _envelope(self, method: str, body: bytes) -> bytes:
        return codec.pack(frame.Envelope(self._instance_id, self._token, method, body))

    async def _reach(self, instance_id: str, timeout_s: float) -> str:
        if not await self._links.wait_uncut(instance_id, timeout_s):
            raise errors.PeerUnreachableError(instance_id)
        address = self._addresses.get(instance_id)
        if address is None and ":" in instance_id:
            address = instance_id  # an instance may be named by its address
        if address is None or self._links.mode(instance_id) is cuts.CutMode.REFUSE:
            raise errors.PeerUnreachableError(instance_id, errors.Outcome.NOT_RUN)
        return address

    async def _guard_answer(self, instance_id: str, timeout_s: float) -> None:
        """Lose an answer that arrives over a link cut in the meantime."""
        mode = self._links.mode(instance_id)
        if mode is cuts.CutMode.SWALLOW:
            await asyncio.sleep(timeout_s)
        if mode is not None:
            raise errors.PeerUnreachableError(instance_id)


class _Connection:
    """One gRPC channel and the calls in progress on it."""

    __slots__ = ("_abandoned", "_calls", "channel", "opened_s", "progress_s")

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
        self.progress_s = now
        self._calls = 0
        self._abandoned = False

    @contextlib.contextmanager
    def use(self):
        """Keep the channel open for a call, even if it is abandoned meanwhile."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            if self._abandoned and not self._calls:
                self.channel.close()

    def abandon(self) -> None:
        """Close the channel once its calls in progress have ended."""
        self._abandoned = True
        if not self._calls:
            self.channel.close()


class _Use(enum.Enum):
    """What a connection carries.

    Large answers have a connection of their own, since messages queue behind them in
    the buffers of a slow link for longer than an election timeout.
    """

    CONTROL = "control"
    ANSWERS = "answers"


class _Peer:
    """Connections and queue of one-way messages to one address."""

    def __init__(
        self,
        address: str,
        ids: dict[str, str],
        instance_id: str,
        token: bytes,
        time: clock.Clock,
        values: metrics.Metrics,
    ) -> None:
        self._address = address
        self._ids = ids
        self._instance_id = instance_id
        self._token = token
        self._clock = time
        self._metrics = values
        self._connections: dict[_Use, _Connection] = {}
        self._queue: collections.deque[tuple[str, bytes]] = collections.deque()
        self._queued_bytes = 0
        self._wake: asyncio.Event = asyncio.Event()
        self._sender: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unacknowledged: collections.deque[tuple[int, float]] = collections.deque()
        self._acknowledged_s = 0.0
        self._failed_s = -RECONNECT_DELAY_S
        self._carrier: _Connection | None = None  # carries the stream of batches

    @property
    def _label(self) -> str:
        """Return the instance id for counters, or the address until it is known."""
        return self._ids.get(self._address, self._address)

    def send(self, method: str, body: bytes, delay_s: float = 0.0) -> None:
        """Queue a message for the next turn of the loop, or for a later one."""
        self._queue.append((method, body))
        self._queued_bytes += len(body)
        while len(self._queue) > QUEUE_MESSAGES or (
            self._queued_bytes > QUEUE_BYTES and len(self._queue) > 1
        ):
            _, dropped = self._queue.popleft()
            self._queued_bytes -= len(dropped)
            self._metrics.increment("peer_dropped_messages", peer=self._label)
        self._check_silence()
        if not delay_s:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sender is None or self._sender.done():
            self._sender = asyncio.get_running_loop().create_task(self._run())
        self._wake.set()

    async def call(self, instance_id: str, envelope: bytes, timeout_s: float) -> bytes:
        """Make a unary call and return the encoded reply."""
        started_s = self._clock.monotonic()
        connection = await self._connect(_Use.CONTROL, instance_id, timeout_s)
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
                self._abandon_if_silent(connection, started_s)
                raise errors.PeerUnreachableError(instance_id) from error
            except grpclib.exceptions.GRPCError as error:  # the peer has answered
                raise errors.PeerUnreachableError(instance_id) from error
            except _BROKEN as error:
                self._lose(connection)
                raise errors.PeerUnreachableError(instance_id) from error
        if data is None:
            raise errors.PeerUnreachableError(instance_id)
        connection.progress_s = self._clock.monotonic()
        self._metrics.increment("peer_received_bytes", len(data), peer=self._label)
        return data

    async def stream(
        self, instance_id: str, envelope: bytes, progress_s: float
    ) -> AsyncIterator[bytes]:
        """Make a call whose reply is a stream of encoded chunks."""
        started_s = self._clock.monotonic()
        connection = await self._connect(_Use.ANSWERS, instance_id, progress_s)
        with connection.use():
            try:
                async with connection.channel.request(
                    frame.STREAM,
                    grpclib.const.Cardinality.UNARY_STREAM,
                    bytes,
                    bytes,
                ) as stream:
                    async with asyncio.timeout(progress_s):
                        self._count_sent(envelope)
                        await stream.send_message(envelope, end=True)
                    while True:
                        async with asyncio.timeout(progress_s):
                            data = await stream.recv_message()
                        if data is None:
                            return
                        started_s = connection.progress_s = self._clock.monotonic()
                        self._metrics.increment(
                            "peer_received_bytes", len(data), peer=self._label
                        )
                        yield data
            except TimeoutError as error:
                self._abandon_if_silent(connection, started_s)
                raise StreamCutError(instance_id) from error
            except grpclib.exceptions.GRPCError as error:  # the peer has answered
                raise StreamCutError(instance_id) from error
            except _BROKEN as error:
                self._lose(connection)
                raise StreamCutError(instance_id) from error

    def close(self) -> None:
        """Drop the queue and close the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sender is not None:
            self._sender.cancel()
            self._sender = None
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    async def _connect(
        self, use: _Use, instance_id: str, timeout_s: float
    ) -> _Connection:
        connection = self._connections.get(use)
        if connection is None:
            connection = _Connection(self._address, self._clock.monotonic())
            self._connections[use] = connection
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_S)):
                await connection.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._lose(connection)
            raise errors.PeerUnreachableError(
                instance_id, errors.Outcome.NOT_RUN
            ) from error
        return connection

    def _lose(self, connection: _Connection) -> None:
        connection.abandon()
        for use, current in tuple(self._connections.items()):
            if current is connection:
                del self._connections[use]

    def _abandon_if_silent(self, connection: _Connection, since_s: float) -> None:
        """Abandon a connection on which nothing has arrived since a call began."""
        current = connection in self._connections.values()
        if connection.progress_s <= since_s and current:
            self._lose(connection)
            self._metrics.increment("peer_silent_connections", peer=self._label)

    def _check_silence(self) -> None:
        if not self._unacknowledged:
            return
        since_s = max(self._unacknowledged[0][1], self._acknowledged_s)
        if self._clock.monotonic() - since_s > SILENCE_S:
            self._metrics.increment("peer_silent_connections", peer=self._label)
            log.state_change("peer.connection_silent", address=self._address)
            if self._sender is not None:
                self._sender.cancel()
                self._sender = None
            self._unacknowledged.clear()
            connection, self._carrier = self._carrier, None
            if connection is not None:
                self._lose(connection)
                connection.channel.close()

    async def _run(self) -> None:
        """Send batches on one stream until it breaks or has nothing to do."""
        if self._clock.monotonic() - self._failed_s < RECONNECT_DELAY_S:
            self._drop_queue()
            return
        try:
            connection = await self._connect(
                _Use.CONTROL, self._address, STREAM_CONNECT_TIMEOUT_S
            )
            self._carrier = connection
            with connection.use():
                async with connection.channel.request(
                    frame.BATCHES,
                    grpclib.const.Cardinality.STREAM_STREAM,
                    bytes,
                    bytes,
                ) as stream:
                    await self._run_stream(connection, stream)
        except errors.PeerUnreachableError:
            self._failed_s = self._clock.monotonic()
            self._drop_queue()
        except _BROKEN:
            self._failed_s = self._clock.monotonic()
            self._lose(connection)

    async def _run_stream(
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
                await self._wake.wait()
                self._wake.clear()
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
                    self._wake.set()
        finally:
            reader.cancel()
            self._unacknowledged.clear()
        self._lose(connection)

    async def _read_acknowledgements(
        self, connection: _Connection, stream: grpclib.client.Stream
    ) -> None:
        try:
            while (data := await stream.recv_message()) is not None:
                count = codec.unpack(data, frame.Acknowledgement).count
                self._acknowledged_s = self._clock.monotonic()
                connection.progress_s = self._acknowledged_s
                while self._unacknowledged and self._unacknowledged[0][0] <= count:
                    self._unacknowledged.popleft()
        except (*_BROKEN, errors.BadRequestError):
            self._metrics.increment("peer_broken_streams", peer=self._label)
        finally:
            self._wake.set()

    def _take_batch(self) -> list[tuple[str, bytes]]:
        """Take queued messages up to half of the largest accepted message."""
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

    def _drop_queue(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0

    def _count_sent(self, data: bytes) -> None:
        self._metrics.increment("peer_sent_bytes", len(data), peer=self._label)
