"""Room to keep free for urgent work that has yet to come."""

import math

# A swing of demand lasts some ten seconds: its peak is remembered for two of them.
MEMORY_S = 20.0
# Half more than the remembered peak leaves room for gangs that need whole workers.
PEAK_FACTOR = 1.3
# Most of the capacity that is kept free: a service that is less than half in use
# while work waits counts as failing it.
LARGEST_SHARE = 0.35


class UrgentDemand:
    """Recent peak of the accelerators that urgent work takes."""

    __slots__ = ("_at_s", "_peak")

    def __init__(self) -> None:
        self._peak = 0.0
        self._at_s = 0.0

    def note(self, accelerators: int, now: float) -> None:
        """Take the present demand into account."""
        self._peak *= math.exp(-max(now - self._at_s, 0.0) / MEMORY_S)
        self._at_s = now
        self._peak = max(self._peak, float(accelerators))

    def headroom(self, accelerators: int, capacity: int) -> int:
        """Return what less urgent work should leave free.

        Parameters
        ----------
        accelerators : int
            Present demand of urgent work.
        capacity : int
            Accelerators of all workers.
        """
        missing = PEAK_FACTOR * self._peak - accelerators
        return int(max(0.0, min(missing, LARGEST_SHARE * capacity)))
