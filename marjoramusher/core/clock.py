"""Clocks for production and tests."""

import datetime
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return the time in seconds of a clock that never goes back."""

    def utcnow(self) -> datetime.datetime:
        """Return the current time as an aware datetime in UTC."""


class ManualClock:
    """Clock that moves only by `advance`, for tests and simulations.

    Parameters
    ----------
    start : datetime.datetime, optional
        Wall-clock time at creation.
    """

    __slots__ = ("_monotonic_s", "_start")

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._monotonic_s = 0.0
        self._start = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic(self) -> float:
        """Return the seconds by which the clock was advanced."""
        return self._monotonic_s

    def utcnow(self) -> datetime.datetime:
        """Return the start time plus the time advanced."""
        return self._start + datetime.timedelta(seconds=self._monotonic_s)

    def advance(self, seconds: float) -> None:
        """Move time forward.

        Parameters
        ----------
        seconds : float
            Time to add; must not be negative.
        """
        if seconds < 0:
            raise ValueError("cannot advance a clock by a negative time")
        self._monotonic_s += seconds


def unix_ms(time: Clock) -> int:
    """Return the current time in Unix milliseconds."""
    return int(time.utcnow().timestamp() * 1000)


def delay_to_next_tick(now: float, interval_s: float) -> float:
    """Return the seconds until the next multiple of an interval.

    Periodic tasks that wait for the same ticks share one wake-up of the process.

    Parameters
    ----------
    now : float
        Current monotonic time.
    """
    return (now // interval_s + 1.0) * interval_s - now
