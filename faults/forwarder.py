"""TCP forwarder whose established connections can go silent."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class Forwarder:
    """Forward connections from a loopback port to another.

    After `silence`, the connections that are open at that moment stay open and carry
    nothing in either direction, as after a lost entry in a stateful firewall. New
    connections work.
    """

    __slots__ = ("_connections", "_port", "_server", "_target_port")

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def port(self) -> int:
        """Return the port that clients connect to."""
        return self._port

    async def start(self, port: int) -> None:
        """Listen on a loopback port."""
        self._port = port
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    def silence(self) -> int:
        """Silence the open connections and return how many there are."""
        for connection in self._connections:
            connection.silent = True
        return len(self._connections)

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()
        await asyncio.sleep(0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, target[1])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump(reader, target[1]),
                connection.pump(target[0], writer),
            )
        finally:
            self._connections.discard(connection)
            connection.close()


class _Connection:
    """A pair of connected streams."""

    __slots__ = ("_writers", "silent")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.silent = False

    def close(self) -> None:
        for writer in self._writers:
            with contextlib.suppress(OSError, RuntimeError):
                writer.transport.abort()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy bytes until the end; drop them, and the end too, once silent."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
            if not self.silent and writer.can_write_eof():
                writer.write_eof()
            return
        if not self.silent:
            self.close()
