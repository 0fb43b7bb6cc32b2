"""Clock and lease of one life of a worker, as the leader may assume them."""

import msgspec

# A worker's steady clock may be this much slow against the leader's.
CLOCK_RATE_BOUND = 0.02
# Covers the rounding of the clocks and the time from a check to the send.
LAPSE_MARGIN_S = 0.2


class Settings(msgspec.Struct, frozen=True):
    """Times of leases.

    Parameters
    ----------
    lease_s : float
        Length of a lease; the workers shorten longer ones to it.
    """

    lease_s: float = 6.0


class Lease:
    """When everything on a worker that can't be reached has certainly ended.

    Before the first answer the leader does not know what its predecessor has granted.
    That grant began before this leader was elected, and lasts a lease at most.
    """

    __slots__ = ("_at_s", "_clock_ms", "_lapsed_s", "_settings")

    def __init__(self, settings: Settings, now: float) -> None:
        self._settings = settings
        self._clock_ms: int | None = None
        self._at_s = now
        self._lapsed_s = now + self._stretch(settings.lease_s)

    @property
    def lapsed_s(self) -> float:
        """Return when all that was granted has lapsed, on the leader's clock."""
        return self._lapsed_s

    def read(self, clock_ms: int, now: float) -> None:
        """Note the clock of the worker, which has since gone on."""
        estimate = self.estimate_ms(now)
        if estimate is None or clock_ms > estimate or self._age_s(now) > 1.0:
            self._clock_ms = clock_ms
            self._at_s = now

    def estimate_ms(self, now: float) -> float | None:
        """Return what the worker's clock shows at least, ``None`` if unknown."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + self._age_s(now) * 1000 * (1 - CLOCK_RATE_BOUND)

    def grant_ms(self, now: float) -> int | None:
        """Return the end of a full lease on the worker's clock, and count on it."""
        estimate = self.estimate_ms(now)
        if estimate is None:
            return None
        self._lapsed_s = max(
            self._lapsed_s, now + self._stretch(self._settings.lease_s)
        )
        return int(estimate + self._settings.lease_s * 1000)

    def _age_s(self, now: float) -> float:
        return now - self._at_s

    @staticmethod
    def _stretch(seconds: float) -> float:
        return seconds / (1 - CLOCK_RATE_BOUND) + LAPSE_MARGIN_S
