"""Forward TCP connections, with a fault that stalls the open ones."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class Forwarder:
    """Forward TCP connections from one loopback port to another.

    `silence` makes the open connections drop all data in both directions without
    closing them, as when a stateful firewall loses its entry. New connections work.
    """

    __slots__ = ("_connections", "_port", "_server", "_upstream_port")

    def __init__(self, upstream_port: int) -> None:
        self._upstream_port = upstream_port
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._port

    async def start(self, port: int) -> None:
        """Start to listen on a loopback port."""
        self._port = port
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    def silence(self) -> int:
        """Silence the open connections and return their number."""
        for connection in self._connections:
            connection.is_silenced = True
        return len(self._connections)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()
        await asyncio.sleep(0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self._upstream_port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, upstream[1])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.copy(reader, upstream[1]),
                connection.copy(upstream[0], writer),
            )
        finally:
            self._connections.discard(connection)
            connection.close()


class _Connection:
    """Client connection and its connection to the upstream port."""

    __slots__ = ("_writers", "is_silenced")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_silenced = False

    def close(self) -> None:
        for writer in self._writers:
            with contextlib.suppress(OSError, RuntimeError):
                writer.transport.abort()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy data until the end of the stream.

        A silenced connection drops the data and does not pass the end on.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not self.is_silenced:
                    writer.write(data)
                    await writer.drain()
            if not self.is_silenced and writer.can_write_eof():
                writer.write_eof()
            return
        if not self.is_silenced:
            self.close()
