"""Link cuts for tests and fault trials, set at run time at one process."""

import asyncio
import enum
from collections.abc import Iterable


class CutMode(enum.Enum):
    """What happens to traffic on a cut link."""

    SWALLOW = "swallow"
    REFUSE = "refuse"


class LinkCuts:
    """Links that this process cuts in both directions.

    One object is shared by the client and the server of a process.
    """

    __slots__ = ("_changed", "_modes")

    def __init__(self) -> None:
        self._modes: dict[str, CutMode] = {}
        self._changed = asyncio.Event()

    @property
    def instances(self) -> frozenset[str]:
        """Return the instances whose links are cut."""
        return frozenset(self._modes)

    def set_cuts(
        self, instance_ids: Iterable[str], mode: CutMode = CutMode.SWALLOW
    ) -> None:
        """Cut exactly these links; an empty set heals all."""
        self._modes = dict.fromkeys(instance_ids, mode)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def mode(self, instance_id: str | None) -> CutMode | None:
        """Return how the link to an instance is cut, if it is."""
        return self._modes.get(instance_id) if instance_id else None

    async def wait_uncut(self, instance_id: str, timeout_s: float) -> bool:
        """Hold traffic back while its link swallows it, as TCP does by resending.

        Returns
        -------
        bool
            False if the link still swallows everything after the time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.mode(instance_id) is CutMode.SWALLOW:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
