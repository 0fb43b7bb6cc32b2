"""Exchange of demand reports and slot grants with the leader of the domain group."""

import asyncio
from collections.abc import Awaitable, Callable

from ..core import announcement as announcements
from ..core import clock, codec, errors
from ..routing import grants
from . import engine as engines

BUSY_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 1.0
MIN_INTERVAL_S = 0.05  # bounds the rate of reports while requests wait


class SlotServer:
    """Grant slots while this instance leads the domain group.

    Parameters
    ----------
    time : Clock
        Source of monotonic time.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._broker: grants.SlotBroker | None = None
        self._announcements: dict[str, announcements.TargetAnnouncement] = {}

    def lead(self, leadership_id: str, instances: frozenset[str] = frozenset()) -> None:
        """Start granting slots.

        Parameters
        ----------
        leadership_id : str
            Unique id of this leadership.
        instances : frozenset of str
            Instances of the failure domain, including those that don't respond. If
            they are not known, no new slots are granted until one lease has passed.
        """
        now = self._time.monotonic()
        self._broker = grants.SlotBroker(leadership_id, now, instances)
        for announcement in self._announcements.values():
            self._broker.announce(announcement, now)

    def step_down(self) -> None:
        """Stop granting slots."""
        self._broker = None

    def announce(self, announcement: announcements.TargetAnnouncement) -> None:
        """Apply the announcement of a target and keep it for the next leadership."""
        previous = self._announcements.get(announcement.id)
        if previous is None or previous.incarnation <= announcement.incarnation:
            self._announcements[announcement.id] = announcement
        if self._broker is not None:
            self._broker.announce(announcement, self._time.monotonic())

    async def handle(self, sender: str, body: bytes) -> bytes:
        """Handle a call of the peer method ``grants``.

        Raises
        ------
        NotLeaderError
            If this instance does not lead the domain group.
        """
        del sender
        if self._broker is None:
            raise errors.NotLeaderError(None)
        report = codec.unpack(body, grants.DemandReport)
        return codec.pack(self._broker.handle_report(report, self._time.monotonic()))


class SlotClient:
    """Report demand to the leader and pass its grants to the engine.

    Parameters
    ----------
    engine : Engine
        Uses the slots.
    call_leader : callable
        Sends a body to the leader's method ``grants``; raises `NotLeaderError` if the
        leader of the domain group is not known, and another `MarjoramusherError` if
        the call fails.
    """

    def __init__(
        self,
        engine: engines.Engine,
        call_leader: Callable[[bytes], Awaitable[bytes]],
    ) -> None:
        self._engine = engine
        self._call_leader = call_leader

    async def run(self) -> None:
        """Exchange reports and grants until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(MIN_INTERVAL_S)
            self._engine.slots_wanted.clear()
            interval_s = (
                BUSY_INTERVAL_S if self._engine.in_progress_count else IDLE_INTERVAL_S
            )
            try:
                async with asyncio.timeout(interval_s):
                    await self._engine.slots_wanted.wait()
            except TimeoutError:
                pass

    async def exchange(self) -> None:
        """Send one demand report and apply the reply."""
        try:
            body = await self._call_leader(codec.pack(self._engine.demand_report()))
            reply = codec.unpack(body, grants.GrantReply)
        except errors.NotLeaderError:
            self._engine.set_leader_known(False)
            return
        except errors.MarjoramusherError:
            # The call failed, but the domain group has a leader.
            self._engine.set_leader_known(True)
            return
        self._engine.set_leader_known(True)
        self._engine.apply_grants(reply)
