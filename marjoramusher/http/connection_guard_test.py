"""Guards against requests that are not counted, not released or wrongly refused."""

import asyncio
import contextlib

import pytest
from aiohttp import test_utils, web

from marjoramusher.http import body, connection_guard, memory_budget
from marjoramusher.http import errors as http_errors
from marjoramusher.telemetry import metrics

MEMORY_BYTES = 4_000_000
TEST_TIMEOUT_S = 30.0  # only bounds a test that would otherwise hang
PART = b"x" * 300_000


class Server:
    """An application behind a guard, with the bodies that its handler has read."""

    def __init__(self, **limits):
        self.metrics = metrics.Metrics()
        self.intake = connection_guard.Intake(
            memory_budget.Limits(MEMORY_BYTES, 50, field_bytes=16_384, **limits),
            self.metrics,
        )
        self.delay_s = 0.0
        self.bodies = []
        self.writers = []
        self.release = asyncio.Event()
        self.release.set()

    async def __aenter__(self):
        application = web.Application(
            middlewares=[http_errors.make_middleware(self.metrics)]
        )
        application.router.add_post("/", self.handle)
        application.router.add_get("/", self.handle_get)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        self.port = test_utils.unused_port()
        site = connection_guard.GuardedSite(
            self.runner, self.intake, "127.0.0.1", self.port
        )
        await site.start()
        return self

    async def __aexit__(self, *_):
        self.release.set()
        await self.runner.cleanup()
        self.intake.close()

    @property
    def held_bytes(self):
        return self.intake.budget.held_bytes

    async def handle(self, request):
        received = await body.read(request)
        self.bodies.append(received)
        await self.release.wait()
        await asyncio.sleep(self.delay_s)
        return web.Response(text="done")

    async def handle_get(self, request):
        del request
        return web.Response(body=b"y" * 100_000)

    async def send(self, *parts):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)  # a writer that nobody refers to is closed
        for part in parts:
            writer.write(part)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        return reader, writer

    async def status(self, reader):
        line = await reader.readline()
        return int(line.split()[1]) if line else None

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.02)


def post(length):
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length


@pytest.fixture
async def timeout():
    async with asyncio.timeout(TEST_TIMEOUT_S):
        yield


@pytest.mark.usefixtures("timeout")
async def test_a_head_of_the_stated_size_is_served():
    async with Server() as server:
        field = b"X-Field: %s\r\n" % (b"x" * 16_000)
        reader, _ = await server.send(b"GET / HTTP/1.1\r\nHost: h\r\n", field, b"\r\n")
        assert await server.status(reader) == 200


@pytest.mark.usefixtures("timeout")
@pytest.mark.parametrize("end", [b"", b"\r\n"])
async def test_a_larger_head_is_refused_whether_it_ends_or_not(end):
    async with Server() as server:
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"x" * 8000) for n in range(6))
        reader, _ = await server.send(b"GET / HTTP/1.1\r\nHost: h\r\n" + fields + end)
        assert await server.status(reader) in (431, None)
        await server.until(lambda: server.held_bytes == 0)


@pytest.mark.usefixtures("timeout")
async def test_a_slow_head_and_an_idle_connection_are_closed():
    async with Server(head_timeout_s=0.5, idle_timeout_s=0.5) as server:
        slow, _ = await server.send(b"GET / HT")
        idle, _ = await server.send()
        assert await server.status(slow) == 408
        assert await idle.read() == b""
        await server.until(lambda: server.held_bytes == 0)
        for reason in ("head_slow", "idle"):
            assert server.metrics.counter("intake_refusals", reason=reason) == 1


@pytest.mark.usefixtures("timeout")
async def test_a_slow_body_is_refused_and_never_seen_by_its_handler():
    async with Server(body_timeout_s=0.5, body_bytes_per_s=1e9) as server:
        reader, _ = await server.send(post(1000), b"x" * 999)
        assert await server.status(reader) == 429
        assert not server.bodies


@pytest.mark.usefixtures("timeout")
async def test_unfinished_bodies_are_refused_and_a_small_one_is_served():
    async with Server() as server:
        crowd = [await server.send(post(900_000), PART, PART) for _ in range(10)]
        assert server.held_bytes <= MEMORY_BYTES
        reader, _ = await server.send(post(5), b"small")
        assert await server.status(reader) == 200
        assert server.bodies == [b"small"]
        # What arrives after the refusal does not complete the request.
        for _, writer in crowd:
            writer.write(PART)
        answers = [await server.status(reader) for reader, _ in crowd]
        assert answers.count(200) == len(server.bodies) - 1 < len(crowd)
        assert set(answers) <= {200, 429, None}


@pytest.mark.usefixtures("timeout")
async def test_what_a_request_holds_is_released_with_its_response():
    async with Server() as server:
        reader, writer = await server.send(post(len(PART)), PART)
        assert await server.status(reader) == 200
        assert server.held_bytes == memory_budget.CONNECTION_BYTES
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while (await reader.readline()).split()[1:2] != [b"200"]:
            pass
        await reader.readuntil(b"y" * 1000)
        writer.close()
        await server.until(lambda: server.held_bytes == 0)


@pytest.mark.usefixtures("timeout")
async def test_a_request_stays_charged_until_its_handler_ends():
    async with Server() as server:
        server.release.clear()
        _, writer = await server.send(post(len(PART)), PART)
        await server.until(lambda: server.bodies)
        writer.transport.abort()
        await server.until(lambda: not server.intake.budget.connection_count)
        assert server.held_bytes > 2 * len(PART)
        server.release.set()
        await server.until(lambda: server.held_bytes == 0)


@pytest.mark.usefixtures("timeout")
async def test_pipelined_requests_are_all_served():
    async with Server() as server:
        request = post(3) + b"abc"
        reader, _ = await server.send(request * 40 + request[:30], request[30:])
        for _ in range(41):
            assert await server.status(reader) == 200
            await reader.readuntil(b"done")
        await server.until(lambda: server.held_bytes == memory_budget.CONNECTION_BYTES)
        assert len(server.bodies) == 41


@pytest.mark.usefixtures("timeout")
async def test_requests_that_follow_each_other_without_a_gap_are_not_added_up():
    async with Server() as server:
        server.delay_s = 0.001
        request = post(5000) + b"x" * 5000
        reader, writer = await server.send(request * 8)
        for _ in range(MEMORY_BYTES // 5000):
            writer.write(request)
            await reader.readuntil(b"done")
        assert server.held_bytes <= MEMORY_BYTES / 2
        assert not server.intake.budget.take_counts()
