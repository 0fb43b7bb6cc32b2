"""Free capacity of other failure domains and the links to them."""

import msgspec

from . import budget, fair_queue, request, target

CAPACITY_TTL_S = 3.0
SPILL_MARGIN_S = 0.05
REQUEST_OVERHEAD_BYTES = 600


class Link(msgspec.Struct, frozen=True):
    """Path to another failure domain.

    Parameters
    ----------
    bytes_per_s : float or None
        This instance's part of a link that is charged by volume; ``None`` if the
        volume doesn't matter.
    """

    failure_domain: str
    one_way_s: float
    bytes_per_s: float | None = None


class _Capacity:
    __slots__ = ("free_slots", "noted_at", "wait_s")

    def __init__(self, told: target.Capacity, now: float) -> None:
        self.free_slots = told.free_slots
        self.wait_s = told.wait_s
        self.noted_at = now


class _Peer:
    __slots__ = ("bucket", "capacities", "link")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.capacities: dict[tuple[str, request.RequestClass], _Capacity] = {}
        self.bucket = (
            None
            if link.bytes_per_s is None
            else budget.TokenBucket(link.bytes_per_s, link.bytes_per_s)
        )

    def remote_s(self, capacity: _Capacity) -> float:
        return capacity.wait_s + 2 * self.link.one_way_s


class Peers:
    """Failure domains that requests may spill to."""

    __slots__ = ("_peers",)

    def __init__(self, links: tuple[Link, ...]) -> None:
        self._peers = {link.failure_domain: _Peer(link) for link in links}

    def __len__(self) -> int:
        return len(self._peers)

    def connect(self, link: Link) -> None:
        """Take over the path to another failure domain, if it is new or changed."""
        known = self._peers.get(link.failure_domain)
        if known is None or known.link != link:
            self._peers[link.failure_domain] = _Peer(link)

    def note(self, told: target.Capacity, now: float) -> None:
        """Note the free capacity of another failure domain."""
        peer = self._peers.get(told.failure_domain)
        if peer is not None:
            key = (told.service, told.run_class)
            peer.capacities[key] = _Capacity(told, now)

    def choose(
        self, entry: fair_queue.Entry, limit_s: float, answer_bytes: float, now: float
    ) -> str | None:
        """Return the failure domain that serves an entry sooner, if any.

        Parameters
        ----------
        limit_s : float
            Wait at this instance.
        answer_bytes : float
            Expected size of the answer, which the link's budget has to cover.
        """
        key = (entry.asked.service, entry.run_class)
        best = self._quickest(key, limit_s - SPILL_MARGIN_S, now)
        if best is None:
            return None
        size = entry.asked.payload_bytes + answer_bytes + REQUEST_OVERHEAD_BYTES
        if best.bucket is not None and not best.bucket.take(size, now):
            return None
        best.capacities[key].free_slots -= 1
        return best.link.failure_domain

    def _quickest(
        self, key: tuple[str, request.RequestClass], below_s: float, now: float
    ) -> _Peer | None:
        best = None
        for peer in self._peers.values():
            capacity = peer.capacities.get(key)
            if capacity is None or now - capacity.noted_at > CAPACITY_TTL_S:
                continue
            remote_s = peer.remote_s(capacity)
            if capacity.free_slots > 0 and remote_s < below_s:
                best, below_s = peer, remote_s
        return best
