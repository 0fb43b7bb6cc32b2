"""Pass on what targets announce and learn what other failure domains have free."""

import asyncio
from collections.abc import Callable, Iterator

from ..callers import engine
from ..core import announcement, clock, codec, errors
from ..instances import peers as transport
from ..routing import target
from ..targets import announcing
from . import domain as duties
from . import peers

TARGETS = "targets"
CAPACITY = "capacity"
SEEK_S = 0.5
SEEK_TIMEOUT_S = 0.5  # well above 60 ms to another region and back
DELAY_S = 0.25  # a renewal waits so long for a message to travel with


class Spreader:
    """Tell other instances about targets and ask them for free capacity.

    Capacity is asked for only while this instance lacks it. Telling it every second
    costs 132 KB/s with 46 instances and 8 services (docs/CAPACITY.md), and nothing
    spills at rest.

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
        transport_.server.register(CAPACITY, self._answer_capacity)

    def start(self) -> None:
        """Start to look for free capacity."""
        self._task = asyncio.get_running_loop().create_task(self._seek_capacity())

    async def stop(self) -> None:
        """Stop looking."""
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
        announcing.validate(announced, announced.failure_domain)
        self._take(announced)

    async def _answer_capacity(self, sender: str, body: bytes) -> bytes:
        del sender, body
        return codec.pack(self._engine.free_capacity())

    async def _seek_capacity(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(clock.delay_to_next_tick(loop.time(), SEEK_S))
            if self._engine.lacks_capacity:
                await asyncio.gather(*map(self._ask, self._chosen()))

    def _chosen(self) -> Iterator[str]:
        """Yield one instance of each other failure domain."""
        for failure_domain in sorted(self._directory.failure_domains):
            if failure_domain != self._failure_domain:
                yield from self._directory.pick(failure_domain)[:1]

    async def _ask(self, instance_id: str) -> None:
        try:
            answer = await self._peers.client.call(
                instance_id, CAPACITY, b"", SEEK_TIMEOUT_S
            )
        except errors.MarjoramusherError:
            return  # what is known of the domain expires by itself
        for capacity in codec.unpack(answer, list[target.Capacity]):
            self._engine.update_peer_capacity(capacity)
