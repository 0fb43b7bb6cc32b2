"""Link cuts for tests and fault trials, set at run time at one process."""

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

    __slots__ = ("_modes",)

    def __init__(self) -> None:
        self._modes: dict[str, CutMode] = {}

    @property
    def instances(self) -> frozenset[str]:
        """Return the instances whose links are cut."""
        return frozenset(self._modes)

    def cut(self, instance_ids: Iterable[str], mode: CutMode = CutMode.SWALLOW) -> None:
        """Cut exactly these links; an empty set heals all."""
        self._modes = dict.fromkeys(instance_ids, mode)

    def mode(self, instance_id: str | None) -> CutMode | None:
        """Return how the link to an instance is cut, if it is."""
        return self._modes.get(instance_id) if instance_id else None
