"""Exchange of target announcements and free capacity with other instances."""

import asyncio
from collections.abc import Callable, Iterator

from ..callers import engine as engines
from ..core import announcement as announcements
from ..core import clock, codec, errors
from ..instances import peers as transport
from ..routing import target
from ..targets import announcing
from . import domain, peers

TARGETS_METHOD = "targets"
CAPACITY_METHOD = "capacity"
CAPACITY_INTERVAL_S = 0.5
CAPACITY_TIMEOUT_S = 0.5  # well above the round trip of 60 ms to another region
RENEWAL_DELAY_S = 0.25  # a renewal may wait this long to share a frame


class CapacitySharing:
    """Send target announcements to other instances and query their free capacity.

    Capacity is queried only while this instance lacks it, since requests spill to other
    failure domains only then. Publishing it every second would cost 132 KB/s with 46
    instances and 8 services (docs/CAPACITY.md).

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    coordinators : callable
        Returns the coordinators of the domain groups that this instance is a member
        of, by failure domain.
    group_leader : callable
        Returns the leader of this instance's domain group, if known.
    """

    def __init__(
        self,
        failure_domain: str,
        engine: engines.Engine,
        coordinators: Callable[[], dict[str, domain.DomainCoordinator]],
        group_leader: Callable[[], str | None],
        directory: peers.Directory,
        peer_transport: transport.Peers,
    ) -> None:
        self._failure_domain = failure_domain
        self._engine = engine
        self._coordinators = coordinators
        self._group_leader = group_leader
        self._directory = directory
        self._transport = peer_transport
        self._query_task: asyncio.Task | None = None
        peer_transport.server.register_one_way(TARGETS_METHOD, self._receive_target)
        peer_transport.server.register(CAPACITY_METHOD, self._answer_capacity)

    def start(self) -> None:
        """Start the periodic capacity queries."""
        self._query_task = asyncio.get_running_loop().create_task(
            self._query_capacity_periodically()
        )

    async def stop(self) -> None:
        """Stop the capacity queries."""
        if self._query_task is not None:
            self._query_task.cancel()
            await asyncio.gather(self._query_task, return_exceptions=True)

    def announce(self, announcement: announcements.TargetAnnouncement) -> None:
        """Apply a target's announcement and send it to all that may use the target."""
        self._apply(announcement)
        body = codec.pack(announcement)
        is_serving = announcement.state is announcements.TargetState.SERVING
        delay_s = RENEWAL_DELAY_S if is_serving else 0.0
        receiver_ids = {
            peer.instance_id
            for peer in self._directory.other_members(self._failure_domain)
        }
        # One voter of the group is in another failure domain and may be the leader.
        group_leader = self._group_leader()
        if group_leader is not None:
            receiver_ids.add(group_leader)
        for receiver_id in receiver_ids:
            self._transport.client.send(receiver_id, TARGETS_METHOD, body, delay_s)

    def _apply(self, announcement: announcements.TargetAnnouncement) -> None:
        if announcement.failure_domain == self._failure_domain:
            self._engine.announce(announcement)
        coordinator = self._coordinators().get(announcement.failure_domain)
        if coordinator is not None:
            coordinator.slots.announce(announcement)

    def _receive_target(self, sender: str, body: bytes) -> None:
        del sender
        announcement = codec.unpack(body, announcements.TargetAnnouncement)
        announcing.validate(announcement, announcement.failure_domain)
        self._apply(announcement)

    async def _answer_capacity(self, sender: str, body: bytes) -> bytes:
        del sender, body
        return codec.pack(self._engine.free_capacity())

    async def _query_capacity_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(
                clock.delay_to_next_tick(loop.time(), CAPACITY_INTERVAL_S)
            )
            if self._engine.lacks_capacity:
                await asyncio.gather(
                    *map(self._query_capacity, self._instances_to_query())
                )

    def _instances_to_query(self) -> Iterator[str]:
        """Yield one instance of each other failure domain."""
        for failure_domain in sorted(self._directory.failure_domains):
            if failure_domain != self._failure_domain:
                yield from self._directory.candidates(failure_domain)[:1]

    async def _query_capacity(self, instance_id: str) -> None:
        try:
            reply = await self._transport.client.call(
                instance_id, CAPACITY_METHOD, b"", CAPACITY_TIMEOUT_S
            )
        except errors.MarjoramusherError:
            return  # capacity that was reported earlier expires
        for capacity in codec.unpack(reply, list[target.Capacity]):
            self._engine.update_peer_capacity(capacity)
