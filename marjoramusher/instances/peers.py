"""Both sides of the transport of one process."""

from ..core import clock
from ..telemetry import metrics
from . import client, cuts, server


class Peers:
    """Client and server that share their link cuts."""

    __slots__ = ("client", "server")

    def __init__(self, to: client.PeerClient, by: server.PeerServer) -> None:
        self.client = to
        self.server = by

    def set_cuts(
        self, instance_ids: set[str], mode: cuts.CutMode = cuts.CutMode.SWALLOW
    ) -> None:
        """Cut exactly these links in both directions; for tests and fault trials."""
        self.client.set_cuts(instance_ids, mode)

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        self.client.close()
        await self.server.stop()


def make_peers(
    instance_id: str, token: bytes, time: clock.Clock, values: metrics.Metrics
) -> Peers:
    """Make client and server; the server does not listen yet."""
    links = cuts.LinkCuts()
    return Peers(
        client.PeerClient(instance_id, token, time, values, links),
        server.PeerServer(token, values, links),
    )
