"""Tests the transport with hostile peers, silent connections and truncated streams."""

import asyncio
import contextlib
import time

import grpclib.client
import grpclib.const
import pytest

from marjoramusher.core import clock, codec, errors
from marjoramusher.instances import client, cuts, frame, server
from marjoramusher.telemetry import metrics

TOKEN = b"t0ken"


class Pair:
    """A client `a` and a server `b` on loopback, optionally connected by a relay."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self.clock = clock.ManualClock()
        self.server = server.PeerServer(TOKEN, self.metrics, cuts.LinkCuts())
        self.client = client.PeerClient("a", TOKEN, self.clock, self.metrics)
        self.received = []
        self.relay = None

    async def start(self, relay=False):
        async def echo(sender, body):
            if body == b"fail":
                raise errors.NotLeaderError("c")
            if body == b"crash":
                raise RuntimeError
            if body == b"hang":
                await asyncio.sleep(60)
            return sender.encode() + b":" + body

        async def chunks(sender, body):
            yield b"x" * 100_000
            if body == b"long":
                for _ in range(64):
                    yield bytes(256 * 1024)
            if body == b"fail":
                raise errors.NotLeaderError("c")
            if body == b"abort":
                raise grpclib.exceptions.StreamTerminatedError("gone")
            if body == b"hang":
                await asyncio.sleep(60)
            yield b"y"

        self.server.register("echo", echo)
        self.server.register_stream("parts", chunks)
        self.server.register_one_way("note", lambda s, b: self.received.append((s, b)))
        await self.server.start("127.0.0.1", 0)
        port = self.server.port
        if relay:
            self.relay = Relay(port)
            port = await self.relay.start()
        self.client.set_address("b", f"127.0.0.1:{port}")
        return self

    async def wait_notes(self, count):
        while len(self.received) < count:
            await asyncio.sleep(0.001)
        return self.received

    async def stop(self):
        self.client.close()
        if self.relay:
            self.relay.stop()
        await self.server.stop()


class Relay:
    """TCP relay; `freeze` stops traffic on the open connections but not on new ones."""

    def __init__(self, port):
        self._port = port
        self._frozen = set()
        self._writers = []
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def freeze(self):
        self._frozen = set(range(1, self.connections + 1))

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(self, reader, writer):
        self.connections += 1
        number = self.connections
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._writers += [writer, server_writer]
        await asyncio.gather(
            self._pump(number, reader, server_writer),
            self._pump(number, server_reader, writer),
        )

    async def _pump(self, number, reader, writer):
        while data := await reader.read(65536):
            if number not in self._frozen:
                writer.write(data)


@pytest.fixture
async def pair():
    connected = await Pair().start()
    yield connected
    await connected.stop()


@pytest.fixture
async def relayed():
    connected = await Pair().start(relay=True)
    yield connected
    await connected.stop()


async def test_call_and_its_bytes_are_counted(pair):
    assert await pair.client.call("b", "echo", b"hi", 5) == b"a:hi"
    assert pair.metrics.counter("peer_received_bytes", peer="a") > 0
    assert pair.metrics.counter("peer_sent_bytes", peer="a") > 0
    assert pair.metrics.counter("peer_sent_bytes", peer="b") > 0
    assert pair.metrics.counter("peer_received_bytes", peer="b") > 0


ANSWERS = {
    b"fail": (errors.ErrorCode.NOT_LEADER, errors.Outcome.NOT_RUN),
    b"crash": (errors.ErrorCode.INTERNAL, errors.Outcome.UNKNOWN),
}


@pytest.mark.parametrize("body", ANSWERS)
async def test_errors_cross_the_wire(pair, body):
    with pytest.raises(errors.MarjoramusherError) as caught:
        await pair.client.call("b", "echo", body, 5)
    assert (caught.value.code, caught.value.outcome) == ANSWERS[body]


async def test_unknown_method_is_refused(pair):
    with pytest.raises(errors.MarjoramusherError) as caught:
        await pair.client.call("b", "nothing", b"", 5)
    assert caught.value.code is errors.ErrorCode.NOT_FOUND


@pytest.mark.parametrize("token", [b"", b"t0keN", b"t0ken1", b"\xff"])
async def test_wrong_token_is_refused_on_all_methods(pair, token):
    port = pair.server.port
    intruder = client.PeerClient("x", token, pair.clock, pair.metrics)
    intruder.set_address("b", f"127.0.0.1:{port}")
    with pytest.raises(errors.MarjoramusherError) as caught:
        await intruder.call("b", "echo", b"hi", 5)
    assert caught.value.code is errors.ErrorCode.UNAUTHORIZED
    with pytest.raises(errors.MarjoramusherError) as caught:
        [_ async for _ in intruder.stream("b", "parts", b"", 5)]
    assert caught.value.code is errors.ErrorCode.UNAUTHORIZED
    intruder.send("b", "note", b"n")
    while not pair.metrics.counter("peer_batch_errors", code="unauthorized"):
        await asyncio.sleep(0.001)
    assert not pair.received
    intruder.close()


ENVELOPES = {
    "empty": (b"", errors.ErrorCode.BAD_REQUEST),
    "truncated": (b"\x94\xa1a", errors.ErrorCode.BAD_REQUEST),
    "wrong type": (codec.pack(["a", TOKEN, "echo", 7]), errors.ErrorCode.BAD_REQUEST),
    "too few fields": (codec.pack(["a", TOKEN]), errors.ErrorCode.BAD_REQUEST),
    "not a list": (codec.pack({"a": 1}), errors.ErrorCode.BAD_REQUEST),
    "oversized": (
        bytes(frame.MAX_MESSAGE_BYTES + 1),
        errors.ErrorCode.BODY_TOO_LARGE,
    ),
}


@pytest.mark.parametrize("name", ENVELOPES)
async def test_malformed_envelope_is_answered_with_a_code(pair, name):
    body, code = ENVELOPES[name]
    channel = grpclib.client.Channel(
        "127.0.0.1", pair.server.port, codec=frame.RawCodec()
    )
    request = channel.request(
        frame.CALL, grpclib.const.Cardinality.UNARY_UNARY, bytes, bytes
    )
    # The server may respond before it has read the whole message.
    with contextlib.suppress(grpclib.exceptions.ProtocolError):
        async with request as stream:
            await stream.send_request()
            send_task = asyncio.ensure_future(stream.send_message(body, end=True))
            reply = codec.unpack(await stream.recv_message(), frame.Reply)
            send_task.cancel()
            await asyncio.gather(send_task, return_exceptions=True)
    channel.close()
    assert reply.error.code is code
    assert await pair.client.call("b", "echo", b"hi", 5) == b"a:hi"


async def test_malformed_batch_ends_the_stream_and_the_next_one_works(pair):
    channel = grpclib.client.Channel(
        "127.0.0.1", pair.server.port, codec=frame.RawCodec()
    )
    with pytest.raises(grpclib.exceptions.GRPCError):
        async with channel.request(
            frame.BATCHES, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
        ) as stream:
            await stream.send_message(b"\xc1")
            await stream.recv_message()
    channel.close()
    pair.client.send("b", "note", b"1")
    assert await pair.wait_notes(1) == [("a", b"1")]


async def test_refused_connection_is_not_run(pair):
    await pair.server.stop()
    with pytest.raises(errors.PeerUnreachableError) as caught:
        await pair.client.call("b", "echo", b"hi", 5)
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    await pair.server.start("127.0.0.1", 0)


async def test_one_way_messages_keep_their_order_and_the_oldest_are_dropped(pair):
    count = client.MAX_QUEUED_MESSAGES + 10
    for number in range(count):
        pair.client.send("b", "note", str(number).encode())
    received = await pair.wait_notes(client.MAX_QUEUED_MESSAGES)
    assert [int(body) for _, body in received] == list(range(10, count))


async def test_one_way_messages_reach_a_peer_that_restarted(pair):
    pair.client.send("b", "note", b"1")
    await pair.wait_notes(1)
    port = pair.server.port
    await pair.server.stop()
    await pair.server.start("127.0.0.1", port)
    while len(pair.received) < 2:
        pair.clock.advance(1.0)
        pair.client.send("b", "note", b"2")
        await asyncio.sleep(0.01)
    assert pair.received[1] == ("a", b"2")


async def test_silent_connection_is_abandoned_by_calls(relayed):
    assert await relayed.client.call("b", "echo", b"1", 5) == b"a:1"
    relayed.relay.freeze()
    relayed.clock.advance(1.0)
    with pytest.raises(errors.PeerUnreachableError) as caught:
        await relayed.client.call("b", "echo", b"2", 0.05)
    assert caught.value.outcome is errors.Outcome.UNKNOWN
    assert await relayed.client.call("b", "echo", b"3", 5) == b"a:3"
    assert relayed.relay.connections == 2


async def test_silent_connection_is_abandoned_by_one_way_messages(relayed):
    relayed.client.send("b", "note", b"1")
    await relayed.wait_notes(1)
    relayed.relay.freeze()
    while len(relayed.received) < 2:
        relayed.client.send("b", "note", b"2")
        relayed.clock.advance(client.SILENCE_TIMEOUT_S / 2)
        await asyncio.sleep(0.01)
    assert relayed.received[1] == ("a", b"2")


async def test_slow_call_does_not_abandon_a_connection_with_progress(relayed):
    await relayed.client.call("b", "echo", b"0", 5)
    relayed.clock.advance(1.0)
    hanging_call = asyncio.ensure_future(relayed.client.call("b", "echo", b"hang", 1.0))
    await asyncio.sleep(0)
    relayed.clock.advance(1.0)
    assert await relayed.client.call("b", "echo", b"1", 5) == b"a:1"
    with pytest.raises(errors.PeerUnreachableError):
        await hanging_call
    assert await relayed.client.call("b", "echo", b"2", 5) == b"a:2"
    assert relayed.relay.connections == 1


async def test_streamed_answer_arrives_whole(pair):
    data = [chunk async for chunk in pair.client.stream("b", "parts", b"", 5)]
    assert max(map(len, data)) <= frame.CHUNK_BYTES
    assert b"".join(data) == b"x" * 100_000 + b"y"


async def test_many_calls_in_progress_do_not_hold_up_another(pair):
    hanging = [
        asyncio.ensure_future(pair.client.call("b", "echo", b"hang", 30))
        for _ in range(300)
    ]
    await asyncio.sleep(0)
    assert await pair.client.call("b", "echo", b"1", 20) == b"a:1"
    for call in hanging:
        call.cancel()
    await asyncio.gather(*hanging, return_exceptions=True)


async def test_a_burst_of_calls_keeps_the_connection_that_it_has_opened(
    pair, monkeypatch
):
    """Guards against giving up a connection, with all its calls, that works."""
    count_sent = client._Peer._count_sent

    def send_slowly(peer, envelope):
        time.sleep(0.01)
        count_sent(peer, envelope)

    monkeypatch.setattr(client._Peer, "_count_sent", send_slowly)
    count = int(1.5 * client.CONNECT_TIMEOUT_S / 0.01)
    calls = [pair.client.call("b", "echo", b"1", 30) for _ in range(count)]
    assert await asyncio.gather(*calls) == [b"a:1"] * count


async def test_unread_streams_do_not_hold_up_other_traffic(pair):
    streams = [pair.client.stream("b", "parts", b"long", 30) for _ in range(8)]
    for stream in streams:
        await anext(stream)
    await asyncio.sleep(0.2)  # the peer fills the flow control windows
    assert await pair.client.call("b", "echo", bytes(100_000), 20)
    pair.client.send("b", "note", b"1")
    assert await pair.wait_notes(1)
    for stream in streams:
        await stream.aclose()


STREAMS = {
    "handler's error": (b"fail", errors.NotLeaderError, {}),
    "connection reset": (b"abort", client.StreamCutError, {}),
    "no progress": (b"hang", client.StreamCutError, {"progress_timeout_s": 0.1}),
    "too long": (b"", client.StreamCutError, {"limit_bytes": 100_000}),
}


@pytest.mark.parametrize("name", STREAMS)
async def test_cut_stream_raises_a_typed_error(pair, name):
    body, error_type, options = STREAMS[name]
    options = {"progress_timeout_s": 5.0} | options
    with pytest.raises(error_type):
        [_ async for _ in pair.client.stream("b", "parts", body, **options)]


async def test_wrong_checksum_of_a_stream_is_noticed(pair, monkeypatch):
    monkeypatch.setattr(frame, "CHUNK_BYTES", 10)
    unpack = codec.unpack

    def corrupt(data, value_type):
        value = unpack(data, value_type)
        if value_type is frame.Chunk and not value.last:
            return frame.Chunk(b"z" * len(value.data))
        return value

    monkeypatch.setattr(client.codec, "unpack", corrupt)
    with pytest.raises(client.StreamCutError):
        [_ async for _ in pair.client.stream("b", "parts", b"", 5)]


@pytest.mark.parametrize("side", ["client", "server"])
@pytest.mark.parametrize("mode", cuts.CutMode)
async def test_cut_link_carries_nothing_and_heals(pair, side, mode):
    links = pair.client.links if side == "client" else pair.server._links
    links.set_cuts({"b" if side == "client" else "a"}, mode)
    with pytest.raises(errors.PeerUnreachableError):
        await pair.client.call("b", "echo", b"1", 0.05)
    with pytest.raises(errors.PeerUnreachableError):
        [_ async for _ in pair.client.stream("b", "parts", b"", 0.05)]
    pair.client.send("b", "note", b"lost")
    await asyncio.sleep(0.05)
    links.set_cuts(())
    pair.clock.advance(10.0)
    pair.client.send("b", "note", b"healed")
    assert await pair.client.call("b", "echo", b"2", 5) == b"a:2"
    while ("a", b"healed") not in pair.received:
        pair.clock.advance(1.0)
        pair.client.send("b", "note", b"healed")
        await asyncio.sleep(0.01)
    assert ("a", b"lost") not in pair.received


async def test_answer_over_a_link_cut_meanwhile_is_lost(pair):
    call = asyncio.ensure_future(pair.client.call("b", "echo", b"1", 0.2))
    pair.client.set_cuts({"b"})
    with pytest.raises(errors.PeerUnreachableError) as caught:
        await call
    assert caught.value.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize("side", ["client", "server"])
async def test_call_held_back_by_a_cut_link_runs_once_it_is_healed(pair, side):
    """Tests that a call which was never sent does not report an unknown outcome."""
    links = pair.client.links if side == "client" else pair.server._links
    links.set_cuts({"b" if side == "client" else "a"})
    call = asyncio.create_task(pair.client.call("b", "echo", b"x", 30.0))
    await asyncio.sleep(0.1)
    assert not call.done()
    links.set_cuts(())
    assert await call == b"a:x"


async def test_calls_beyond_the_memory_of_the_server_are_refused_before_they_run():
    pair = await Pair().start()
    pair.server._pool.capacity_bytes = 2 * frame.CALL_BYTES + 1000
    hanging = asyncio.create_task(pair.client.call("b", "echo", b"hang", 5.0))
    while not pair.server._pool.reserved_bytes:
        await asyncio.sleep(0.01)
    with pytest.raises(errors.MarjoramusherError) as caught:
        await pair.client.call("b", "echo", b"x" * frame.CALL_BYTES, 5.0)
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert await pair.client.call("b", "echo", b"small", 5.0) == b"a:small"
    hanging.cancel()
    await asyncio.gather(hanging, return_exceptions=True)
    await pair.stop()
    assert not pair.server._pool.reserved_bytes
