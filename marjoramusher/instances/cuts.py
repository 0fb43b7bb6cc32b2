"""Simulated network partitions for tests and fault injection, set at run time."""

import asyncio
import enum
from collections.abc import Iterable


class CutMode(enum.Enum):
    """How traffic on a cut link fails: without a response, or with an error."""

    SWALLOW = "swallow"
    REFUSE = "refuse"


class LinkCuts:
    """Set of links of this process that are cut in both directions.

    The client and the server of a process share one object.
    """

    __slots__ = ("_changed", "_modes")

    def __init__(self) -> None:
        self._modes: dict[str, CutMode] = {}
        self._changed = asyncio.Event()

    @property
    def instances(self) -> frozenset[str]:
        """Return the ids of the instances to which the links are cut."""
        return frozenset(self._modes)

    def set_cuts(
        self, instance_ids: Iterable[str], mode: CutMode = CutMode.SWALLOW
    ) -> None:
        """Replace the set of cut links; an empty set restores all links."""
        self._modes = dict.fromkeys(instance_ids, mode)
        previous_changed, self._changed = self._changed, asyncio.Event()
        previous_changed.set()

    def mode(self, instance_id: str | None) -> CutMode | None:
        """Return how the link to an instance is cut, or ``None`` if it is not cut."""
        return self._modes.get(instance_id) if instance_id else None

    async def wait_uncut(self, instance_id: str, timeout_s: float) -> bool:
        """Wait while a link swallows traffic; TCP delays it likewise by retransmission.

        Returns
        -------
        bool
            False if the link still swallows traffic when the timeout expires.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.mode(instance_id) is CutMode.SWALLOW:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
