"""Free capacity of other failure domains and the links to them."""

import msgspec

from . import budget, fair_queue
from . import request as requests
from . import target as targets

CAPACITY_TTL_S = 3.0
SPILL_MARGIN_S = 0.05  # a peer has to be faster by more than this
REQUEST_OVERHEAD_BYTES = 600


class Link(msgspec.Struct, frozen=True):
    """Network path to another failure domain.

    Parameters
    ----------
    one_way_s : float
        One-way delay.
    bytes_per_s : float or None
        This instance's share of the rate of a link that is charged by volume;
        ``None`` if the volume is not limited.
    """

    failure_domain: str
    one_way_s: float
    bytes_per_s: float | None = None


class _PeerCapacity:
    """Free capacity of one service and class as last reported."""

    __slots__ = ("free_slots", "received_at", "wait_s")

    def __init__(self, capacity: targets.Capacity, now: float) -> None:
        self.free_slots = capacity.free_slots
        self.wait_s = capacity.wait_s
        self.received_at = now


class _PeerDomain:
    """Another failure domain with its link and its free capacity."""

    __slots__ = ("bucket", "capacities", "link")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.capacities: dict[tuple[str, requests.RequestClass], _PeerCapacity] = {}
        self.bucket = (
            None
            if link.bytes_per_s is None
            else budget.TokenBucket(link.bytes_per_s, link.bytes_per_s)
        )

    def expected_delay_s(self, capacity: _PeerCapacity) -> float:
        """Return the expected queue wait plus the network round trip."""
        return capacity.wait_s + 2 * self.link.one_way_s


class PeerDomains:
    """Failure domains that requests may spill to."""

    __slots__ = ("_peers",)

    def __init__(self, links: tuple[Link, ...]) -> None:
        self._peers = {link.failure_domain: _PeerDomain(link) for link in links}

    def __len__(self) -> int:
        return len(self._peers)

    def set_link(self, link: Link) -> None:
        """Set the link to a failure domain; a change discards the reported capacity."""
        peer = self._peers.get(link.failure_domain)
        if peer is None or peer.link != link:
            self._peers[link.failure_domain] = _PeerDomain(link)

    def update_capacity(self, capacity: targets.Capacity, now: float) -> None:
        """Store the free capacity reported by a failure domain."""
        peer = self._peers.get(capacity.failure_domain)
        if peer is not None:
            key = (capacity.service, capacity.run_class)
            peer.capacities[key] = _PeerCapacity(capacity, now)

    def choose(
        self,
        entry: fair_queue.Entry,
        max_delay_s: float,
        response_bytes: float,
        now: float,
    ) -> str | None:
        """Return the failure domain that serves an entry sooner, if any.

        Parameters
        ----------
        max_delay_s : float
            Delay that a failure domain has to undercut by the spill margin.
        response_bytes : float
            Expected size of the response, which counts against the link's budget.
        """
        key = (entry.request.service, entry.run_class)
        peer = self._fastest_peer(key, max_delay_s - SPILL_MARGIN_S, now)
        if peer is None:
            return None
        size = entry.request.payload_bytes + response_bytes + REQUEST_OVERHEAD_BYTES
        if peer.bucket is not None and not peer.bucket.take(size, now):
            return None
        peer.capacities[key].free_slots -= 1
        return peer.link.failure_domain

    def _fastest_peer(
        self, key: tuple[str, requests.RequestClass], max_delay_s: float, now: float
    ) -> _PeerDomain | None:
        fastest = None
        for peer in self._peers.values():
            capacity = peer.capacities.get(key)
            if capacity is None or now - capacity.received_at > CAPACITY_TTL_S:
                continue
            delay_s = peer.expected_delay_s(capacity)
            if capacity.free_slots > 0 and delay_s < max_delay_s:
                fastest, max_delay_s = peer, delay_s
        return fastest
