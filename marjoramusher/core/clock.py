"""Time sources."""

import datetime
from typing import Protocol


class Clock(Protocol):
    """Give monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes back."""

    def utcnow(self) -> datetime.datetime:
        """Return the current instant, aware and in UTC."""


class ManualClock:
    """Advance only when told; for tests and virtual-time drivers."""

    __slots__ = ("_monotonic_s", "_start")

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._monotonic_s = 0.0
        self._start = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic(self) -> float:
        """Return seconds since the clock was made."""
        return self._monotonic_s

    def utcnow(self) -> datetime.datetime:
        """Return the start instant plus the time advanced."""
        return self._start + datetime.timedelta(seconds=self._monotonic_s)

    def advance(self, seconds: float) -> None:
        """Move time forward.

        Parameters
        ----------
        seconds : float
            Amount to add, not negative.
        """
        if seconds < 0:
            raise ValueError("a clock does not go back")
        self._monotonic_s += seconds


def unix_ms(time: Clock) -> int:
    """Return the current instant in Unix milliseconds."""
    return int(time.utcnow().timestamp() * 1000)


def until_point(now: float, interval_s: float) -> float:
    """Return the time to the next multiple of an interval of a monotonic clock.

    Periodic work that waits for the same points shares one wake-up of the process.
    """
    return (now // interval_s + 1.0) * interval_s - now
