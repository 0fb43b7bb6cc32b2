"""Guard against a forwarder that closes silenced connections or silences new ones."""

import asyncio

import pytest

from faults import cluster, forwarder


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def exchange(reader, writer, data):
    writer.write(data)
    return await asyncio.wait_for(reader.readexactly(len(data)), 0.2)


async def test_only_open_connections_go_silent():
    ports = cluster.PortAllocator(seed=1)
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    tcp_forwarder = forwarder.Forwarder(server.sockets[0].getsockname()[1])
    await tcp_forwarder.start(ports.allocate())
    silenced = await asyncio.open_connection("127.0.0.1", tcp_forwarder.port)
    assert await exchange(*silenced, b"before") == b"before"
    assert tcp_forwarder.silence() == 1
    with pytest.raises(asyncio.TimeoutError):
        await exchange(*silenced, b"after")
    new = await asyncio.open_connection("127.0.0.1", tcp_forwarder.port)
    assert await exchange(*new, b"new") == b"new"
    assert not silenced[0].at_eof()
    await tcp_forwarder.stop()
    server.close()
