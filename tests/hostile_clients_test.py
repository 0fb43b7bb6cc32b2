"""Guards against clients that exhaust the memory or the descriptors of a process.

Each test starts the system's own processes with lowered limits and lets a crowd of
one kind at one of their ports. The bounds are the limits in the settings file.
"""

import asyncio
import contextlib
import json
import pathlib
import socket

import aiohttp
import pytest
from aiohttp import ClientSession

from adapter import wire_test
from tests import platform_roles_test as roles
from tests import platform_session_test as session

MEMORY_MB = 110  # both roles take about 55 MB when they are idle
DESCRIPTORS = 120
CROWD_DESCRIPTORS = 800  # more than a crowd has that is to take memory
CROWD_TIMEOUT_S = 3.0  # a server may stop reading, or read for as long as it is sent to
SETTLE_S = 1.0  # for the process to read what its sockets have received
RETRY_DELAY_S = 0.1
CROWD = 150
IDLE_CROWD = 300
BODY_BYTES = 1024 * 1024
PIECE_BYTES = 16 * 1024
FIELD = b"X-Field-%d: " + b"x" * 8000 + b"\r\n"
PATHS = {"frontend": b"/q/0123456789abcdef", "control_plane": b"/Configuration.Replace"}


def start_line(method, path):
    return b"%s %s HTTP/1.1\r\nHost: h.example\r\n" % (method, path)


def complete_large_head(path):
    yield start_line(b"GET", path)
    for number in range(120):
        yield FIELD % number
    yield b"\r\n"


def unfinished_head(path):
    yield start_line(b"GET", path)
    for number in range(120):
        yield FIELD % number


def endless_empty_lines(path):
    del path
    while True:
        yield b"\r\n" * 8192


def large_body(path, length=BODY_BYTES):
    yield start_line(b"POST", path) + b"Content-Length: %d\r\n\r\n" % length
    yield b"x" * length


def body_in_pieces(path):
    yield start_line(b"POST", path) + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def stalled_body(path):
    yield start_line(b"POST", path) + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield b"x" * (BODY_BYTES - 1)


def large_chunks(path):
    yield start_line(b"POST", path) + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)


def tiny_chunks(path):
    yield start_line(b"POST", path) + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(32):
        yield b"1\r\nx\r\n" * 8192


def unread_tiny_chunks(path):
    # The handler of this method does not read the body.
    yield start_line(b"PUT", path) + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(32):
        yield b"2\r\nxy\r\n" * 8192


def stalled_configuration(path):
    length = 15 * 1024 * 1024
    yield start_line(b"POST", path) + b"Content-Length: %d\r\n\r\n" % length
    yield b"x" * (length - 1)


def unread_response(path):
    yield start_line(b"GET", path) + b"\r\n"


def nothing(path):
    del path
    return iter(())


async def send_all(connection, address, pieces):
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):  # the server may close the connection
        await loop.sock_connect(connection, address)
        for piece in pieces:
            await loop.sock_sendall(connection, piece)


@contextlib.asynccontextmanager
async def crowd_of(count, address, path, send):
    """Open connections that send, and keep them open within the context."""
    host, _, port = address.rpartition(":")
    connections = [socket.socket() for _ in range(count)]
    for connection in connections:
        connection.setblocking(False)
    tasks = [
        asyncio.create_task(send_all(connection, (host, int(port)), send(path)))
        for connection in connections
    ]
    try:
        _, pending = await asyncio.wait(tasks, timeout=CROWD_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)
        yield
    finally:
        for connection in connections:
            connection.close()


def peak_memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1000


def descriptor_count(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


async def answer(client, method, url, **options):
    """Repeat an ordinary request until it is answered other than with a refusal."""
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            async with client.request(method, url, **options) as response:
                if response.status not in (429, 503, 504):
                    return response.status
        await asyncio.sleep(RETRY_DELAY_S)


async def check_role(role, client, addresses):
    assert role.process.returncode is None, role.lines[-5:]
    descriptors = descriptor_count(role.process)
    memory_mb = peak_memory_mb(role.process)
    print(f"{memory_mb:.0f} MB, {descriptors} descriptors")
    assert memory_mb < MEMORY_MB
    assert descriptors <= role.settings["limits"]["file_descriptors"]
    if role.role == "gateway":
        url = f"http://{addresses['frontend']}/q/{session.WORKFLOW_ID}"
        body = session.job_body(1)
        assert (
            await answer(client, "POST", url, data=body, headers=session.HEADERS) == 200
        )
        assert await answer(client, "GET", url, headers=session.HEADERS) == 200
    else:
        url = f"http://{addresses['control_plane']}/Configuration.Read"
        assert await answer(client, "GET", url) == 200


async def withstand(
    folder,
    role_name,
    port,
    count,
    send,
    path=None,
    descriptors=CROWD_DESCRIPTORS,
    padding_bytes=0,
):
    """Let a crowd at one port of a role and check that the role outlasts it."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(roles.TEST_TIMEOUT_S))
        controller, gateway = roles.make_roles(folder)
        limits = {"memory_mb": MEMORY_MB, "file_descriptors": descriptors}
        for role in (controller, gateway):
            role.write_settings(limits=limits)
            await stack.enter_async_context(role)
        await controller.wait_for_line("driver.started")
        await gateway.wait_for_line("leader.regained")
        addresses = {
            **controller.settings["listen_addresses"],
            **gateway.settings["listen_addresses"],
            "metrics": f"{roles.GATEWAY_IP}:9464",
            "peers": f"{roles.CONTROLLER_IP}:"
            f"{controller.settings['internal_port_range'][0]}",
        }
        client = await stack.enter_async_context(ClientSession())
        url = f"http://{addresses['control_plane']}/Configuration.Replace"
        manifest = json.dumps(wire_test.MANIFEST) + " " * padding_bytes
        assert await answer(client, "POST", url, data=manifest) == 200
        role = {"controller": controller, "gateway": gateway}[role_name]
        async with crowd_of(count, addresses[port], path or PATHS[port], send):
            # The crowd is still connected, and the client has another connection.
            await check_role(role, client, addresses)
        await check_role(role, client, addresses)


@pytest.mark.parametrize(
    "send",
    [
        complete_large_head,
        unfinished_head,
        endless_empty_lines,
        large_body,
        body_in_pieces,
        stalled_body,
        large_chunks,
        tiny_chunks,
        unread_tiny_chunks,
    ],
)
async def test_a_crowd_at_the_entry_port_is_withstood(tmp_path, send):
    await withstand(tmp_path, "gateway", "frontend", CROWD, send)


@pytest.mark.parametrize("port", ["frontend", "ready", "metrics"])
async def test_idle_connections_to_an_entry_process_are_bounded(tmp_path, port):
    await withstand(tmp_path, "gateway", port, IDLE_CROWD, nothing, b"/", DESCRIPTORS)


@pytest.mark.parametrize("send", [unfinished_head, stalled_body, large_chunks])
async def test_a_crowd_at_the_port_of_a_controller_is_withstood(tmp_path, send):
    await withstand(tmp_path, "controller", "control_plane", CROWD, send)


async def test_stalled_configurations_are_withstood(tmp_path):
    await withstand(tmp_path, "controller", "control_plane", 12, stalled_configuration)


async def test_responses_that_nobody_reads_are_withstood(tmp_path):
    await withstand(
        tmp_path,
        "controller",
        "control_plane",
        CROWD,
        unread_response,
        b"/Configuration.Read",
        padding_bytes=BODY_BYTES,
    )


@pytest.mark.parametrize("port", ["control_plane", "peers"])
async def test_idle_connections_to_a_controller_are_bounded(tmp_path, port):
    await withstand(
        tmp_path, "controller", port, IDLE_CROWD, nothing, b"/", DESCRIPTORS
    )
