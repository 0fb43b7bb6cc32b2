"""Exchange of demand and slot grants between the instances of a failure domain."""

import asyncio
from collections.abc import Awaitable, Callable

from ..core import announcement, clock, codec, errors
from ..routing import grants
from . import engine

BUSY_S = 0.25
IDLE_S = 1.0
LEAST_S = 0.05  # bounds the calls for grants while requests wait


class SlotServer:
    """Answer demand while this instance leads the domain group.

    Parameters
    ----------
    time : Clock
        Source of `now`.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._broker: grants.SlotBroker | None = None
        self._announced: dict[str, announcement.TargetAnnouncement] = {}

    def lead(self, process: str, instances: frozenset[str] = frozenset()) -> None:
        """Start to grant.

        Parameters
        ----------
        process : str
            Id of this leadership, for example the instance id with the term.
        instances : frozenset of str
            Instances of the failure domain by the settings, alive or not. If they
            are not known, nothing new is granted for the time of a lease.
        """
        now = self._time.monotonic()
        self._broker = grants.SlotBroker(process, now, instances)
        for announced in self._announced.values():
            self._broker.announce(announced, now)

    def step_down(self) -> None:
        """Stop to grant."""
        self._broker = None

    def announce(self, announced: announcement.TargetAnnouncement) -> None:
        """Take over a target's announcement."""
        known = self._announced.get(announced.id)
        if known is None or known.incarnation <= announced.incarnation:
            self._announced[announced.id] = announced
        if self._broker is not None:
            self._broker.announce(announced, self._time.monotonic())

    async def handle(self, sender: str, body: bytes) -> bytes:
        """Answer the peer method ``grants``.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        """
        del sender
        if self._broker is None:
            raise errors.NotLeaderError(None)
        demand = codec.unpack(body, grants.DemandReport)
        return codec.pack(self._broker.handle_report(demand, self._time.monotonic()))


class SlotClient:
    """Report demand and take over grants.

    Parameters
    ----------
    runs : Engine
        Uses the slots.
    call_leader : callable
        Sends a body to the leader's method ``grants``; raises `NotLeaderError` if
        the domain group has no known leader, else any `MarjoramusherError`.
    """

    def __init__(
        self, runs: engine.Engine, call_leader: Callable[[bytes], Awaitable[bytes]]
    ) -> None:
        self._engine = runs
        self._call_leader = call_leader

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(LEAST_S)
            self._engine.slots_wanted.clear()
            pause_s = BUSY_S if self._engine.in_progress else IDLE_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._engine.slots_wanted.wait()
            except TimeoutError:
                pass

    async def exchange(self) -> None:
        """Report once and take over the reply."""
        try:
            reply = await self._call_leader(codec.pack(self._engine.demand_report()))
            granted = codec.unpack(reply, grants.GrantReply)
        except errors.NotLeaderError:
            self._engine.set_leader_known(False)
            return
        except errors.MarjoramusherError:
            self._engine.set_leader_known(True)
            return
        self._engine.set_leader_known(True)
        self._engine.apply_grants(granted)
