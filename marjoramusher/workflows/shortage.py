"""Requests of one plan that found no room, and what they say of later ones."""

from collections.abc import Hashable


class Shortages:
    """Smallest number of tasks of each kind for which there was no room.

    While a plan is made, resources are only taken. So there is no room for as many
    tasks of a kind later in the same plan either, and no search is needed for them.
    """

    __slots__ = ("_smallest_counts",)

    def __init__(self) -> None:
        self._smallest_counts: dict[Hashable, int] = {}

    def record(self, kind: Hashable, count: int) -> None:
        """Record that there was no room for a number of tasks."""
        known = self._smallest_counts.get(kind, count)
        self._smallest_counts[kind] = min(known, count)

    def covers(self, kind: Hashable, count: int) -> bool:
        """Tell whether there is certainly no room for a number of tasks."""
        known = self._smallest_counts.get(kind)
        return known is not None and known <= count
