"""Client and server of the transport of one process."""

from ..core import clock
from ..http import connection_guard
from ..telemetry import metrics
from . import client, cuts, server


class Peers:
    """Client and server that share one set of link cuts."""

    __slots__ = ("client", "server")

    def __init__(
        self, peer_client: client.PeerClient, peer_server: server.PeerServer
    ) -> None:
        self.client = peer_client
        self.server = peer_server

    def set_cuts(
        self, instance_ids: set[str], mode: cuts.CutMode = cuts.CutMode.SWALLOW
    ) -> None:
        """Replace the set of cut links, for tests and fault injection."""
        self.client.set_cuts(instance_ids, mode)

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        self.client.close()
        await self.server.stop()


def make_peers(
    instance_id: str,
    token: bytes,
    time: clock.Clock,
    metrics_registry: metrics.Metrics,
    intake: connection_guard.Intake | None = None,
) -> Peers:
    """Create the client and the server, which does not listen yet.

    Parameters
    ----------
    intake : Intake, optional
        Limits of the process for its connections.
    """
    links = cuts.LinkCuts()
    return Peers(
        client.PeerClient(instance_id, token, time, metrics_registry, links),
        server.PeerServer(token, metrics_registry, links, intake),
    )
