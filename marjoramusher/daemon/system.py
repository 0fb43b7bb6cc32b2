"""Clock of the operating system."""

import datetime
import time


class SystemClock:
    """Clock of the operating system.

    The time since the boot of the machine goes on while the machine is suspended, as
    the leases that others hold do. The monotonic clock stands still then.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utcnow(self) -> datetime.datetime:
        """Return the current instant."""
        return datetime.datetime.now(datetime.UTC)
