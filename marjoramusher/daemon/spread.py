"""Spread what targets announce and what a failure domain has free."""

import asyncio
from collections.abc import Callable

from ..callers import engine
from ..core import announcement, clock, codec
from ..instances import peers as transport
from ..routing import target
from ..targets import announcing
from . import domain as duties
from . import peers

TARGETS = "targets"
CAPACITY = "capacity"
CAPACITY_S = 1.0
DELAY_S = 0.25  # a renewal waits so long for a message to travel with


class Spreader:
    """Tell other instances about targets and free capacity.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    domains : callable
        Returns the duties of the domain groups that this instance is a member of.
    leader : callable
        Returns the instance that leads the own domain group, if known.
    """

    def __init__(
        self,
        failure_domain: str,
        runs: engine.Engine,
        domains: Callable[[], dict[str, duties.DomainDuties]],
        leader: Callable[[], str | None],
        directory: peers.Directory,
        transport_: transport.Peers,
    ) -> None:
        self._failure_domain = failure_domain
        self._engine = runs
        self._domains = domains
        self._leader = leader
        self._directory = directory
        self._peers = transport_
        self._task: asyncio.Task | None = None
        transport_.server.register_one_way(TARGETS, self._receive_target)
        transport_.server.register_one_way(CAPACITY, self._receive_capacity)

    def start(self) -> None:
        """Start to tell the free capacity."""
        self._task = asyncio.get_running_loop().create_task(self._tell_capacity())

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def announce(self, announced: announcement.TargetAnnouncement) -> None:
        """Take over an announcement and pass it to all that may use the target."""
        self._take(announced)
        body = codec.pack(announced)
        serving = announced.state is announcement.TargetState.SERVING
        delay_s = DELAY_S if serving else 0.0
        receivers = {
            found.instance_id for found in self._directory.others(self._failure_domain)
        }
        # The third voter of the group is of another domain and may lead.
        leader = self._leader()
        if leader is not None:
            receivers.add(leader)
        for receiver in receivers:
            self._peers.client.send(receiver, TARGETS, body, delay_s)

    def _take(self, announced: announcement.TargetAnnouncement) -> None:
        if announced.failure_domain == self._failure_domain:
            self._engine.announce(announced)
        duty = self._domains().get(announced.failure_domain)
        if duty is not None:
            duty.slots.announce(announced)

    def _receive_target(self, sender: str, body: bytes) -> None:
        del sender
        announced = codec.unpack(body, announcement.TargetAnnouncement)
        announcing.check(announced, announced.failure_domain)
        self._take(announced)

    def _receive_capacity(self, sender: str, body: bytes) -> None:
        del sender
        for capacity in codec.unpack(body, list[target.Capacity]):
            if capacity.failure_domain != self._failure_domain:
                self._engine.peer_capacity(capacity)

    async def _tell_capacity(self) -> None:
        while True:
            free = self._engine.capacity()
            if free:
                body = codec.pack(free)
                for found in self._directory.outside(self._failure_domain):
                    self._peers.client.send(found.instance_id, CAPACITY, body, DELAY_S)
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(clock.until_point(now, CAPACITY_S))
