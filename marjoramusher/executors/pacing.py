"""How fast filling tasks may work beside tasks that serve users."""

from collections.abc import Iterable

import msgspec

from ..workflows import workflow

# Tails are rough figures of the last half second, so the pace falls before the target
# is reached, and rises only while there is room for what a step adds.
HIGH = 0.85  # share of the target
LOW = 0.6
FULL = 100  # percent
# A worker on which nothing is known starts here: two halvings, one second, bring it to
# a tenth, well within the time that a target may be missed.
FIRST = 40
STEP_UP = 15
STEP_UP_S = 2.0  # disturbances change within seconds
LEAST = 10  # below this pace a task is held entirely
# Below this pace no more filling tasks come to the worker.
TAKES_MORE = 50
REPEAT_S = 2.0  # an order that was late may have undone a newer one


class Served(msgspec.Struct, frozen=True):
    """Tail of the response times of a serving task, and its target."""

    tail_ms: float
    target_ms: float


class Pacer:
    """Pace of all filling tasks on one worker.

    The pace falls at least by half while a target is in danger, as far as the tail
    asks for, and rises step by step.
    """

    __slots__ = ("_at_s", "_pace", "_told")

    def __init__(self) -> None:
        self._pace = FIRST
        self._at_s = float("-inf")
        self._told: dict[workflow.Placement, tuple[int, float]] = {}

    @property
    def pace(self) -> int:
        """Return the percentage at which filling tasks work."""
        return self._pace

    @property
    def takes_more(self) -> bool:
        """Tell whether more filling tasks may come."""
        return self._pace >= TAKES_MORE or not self._told

    def look(
        self,
        served: Iterable[Served],
        filling: Iterable[workflow.Placement],
        now: float,
    ) -> list[workflow.Placement]:
        """Set the pace, and return the tasks that have to be told.

        Parameters
        ----------
        served, filling : iterable
            Serving and filling tasks that a worker runs.
        """
        filling = list(filling)
        worst = max((each.tail_ms / each.target_ms for each in served), default=None)
        if worst is None or not filling:
            self._pace = FULL if worst is None else FIRST
        elif worst >= HIGH:
            lower = min(self._pace // 2, int(self._pace * LOW / worst))
            self._pace = lower if lower >= LEAST else 0
            self._at_s = now
        elif worst <= LOW and now - self._at_s >= STEP_UP_S:
            self._pace = min(FULL, max(self._pace, LEAST) + STEP_UP)
            self._at_s = now
        self._told = {
            each: told for each, told in self._told.items() if each in filling
        }
        return [each for each in filling if self._must_tell(each, now)]

    def note_told(self, filling: workflow.Placement, pace: int, now: float) -> None:
        """Note that a task was told a pace."""
        self._told[filling] = (pace, now)

    def _must_tell(self, filling: workflow.Placement, now: float) -> bool:
        pace, at_s = self._told.get(filling, (FULL, float("-inf")))
        if pace != self._pace:
            return True
        return self._pace < FULL and now - at_s >= REPEAT_S
