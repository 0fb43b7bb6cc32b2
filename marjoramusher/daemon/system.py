"""Clock of the operating system."""

import datetime
import time


class SystemClock:
    """Clock of the operating system.

    ``CLOCK_BOOTTIME`` advances while the machine is suspended, as do the leases held by
    other instances; ``CLOCK_MONOTONIC`` stops.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utcnow(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)
