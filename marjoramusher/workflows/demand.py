"""Headroom to keep free for urgent work that has not been submitted yet."""

import math

# Demand swings last about 10 s, so a peak decays over two of them.
PEAK_DECAY_S = 20.0
# Multiple of the decayed peak; more than 1 leaves space for gangs that need whole
# workers.
PEAK_FACTOR = 1.3
# Upper bound of the headroom as a share of the capacity: a service that is less than
# half utilized while work waits counts as a failure of the scheduler.
MAX_HEADROOM_SHARE = 0.35


class UrgentDemand:
    """Exponentially decaying peak of the accelerators that urgent work needs."""

    __slots__ = ("_peak_accelerators", "_updated_s")

    def __init__(self) -> None:
        self._peak_accelerators = 0.0
        self._updated_s = 0.0

    def record(self, accelerators: int, now_s: float) -> None:
        """Update the peak with the current demand."""
        self._peak_accelerators *= math.exp(
            -max(now_s - self._updated_s, 0.0) / PEAK_DECAY_S
        )
        self._updated_s = now_s
        self._peak_accelerators = max(self._peak_accelerators, float(accelerators))

    def headroom(self, accelerators: int, capacity: int) -> int:
        """Return the accelerators that less urgent work should leave free.

        Parameters
        ----------
        accelerators : int
            Current demand of urgent work.
        capacity : int
            Accelerators of all workers.
        """
        shortfall = PEAK_FACTOR * self._peak_accelerators - accelerators
        return int(max(0.0, min(shortfall, MAX_HEADROOM_SHARE * capacity)))
