"""Lease of one incarnation of a worker, and an estimate of the worker's clock."""

import msgspec

# Maximum rate by which a worker's steady clock runs slower than the leader's.
MAX_CLOCK_DRIFT = 0.02
# Covers the rounding of clock values and the delay between a check and the send.
EXPIRY_MARGIN_S = 0.2


class Settings(msgspec.Struct, frozen=True):
    """Duration of leases.

    Parameters
    ----------
    lease_s : float
        Duration of a lease; workers shorten longer ones to this.
    departing_lease_s : float
        Duration of a lease on a worker that leaves.
    """

    lease_s: float = 6.0
    # Work may stand beside idle workers for 3 s. If a departing worker ends without
    # telling so, its runs start again after the lease, a plan and a commit.
    departing_lease_s: float = 2.4


class Lease:
    """Time after which no run on an unreachable worker can be in progress.

    Until the first reply, the leader does not know which lease its predecessor has
    granted. That lease began before this leader was elected, so it expires at most one
    lease duration later.
    """

    __slots__ = ("_clock_ms", "_clock_read_s", "_expires_s", "_settings")

    def __init__(self, settings: Settings, now_s: float) -> None:
        self._settings = settings
        self._clock_ms: int | None = None
        self._clock_read_s = now_s
        self._expires_s = now_s + self._upper_bound_s(settings.lease_s)

    @property
    def expires_s(self) -> float:
        """Return when every granted lease has expired, on the leader's clock."""
        return self._expires_s

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record a reading of the worker's clock, taken before `now_s`.

        A reading below the estimate replaces only one that is more than 1 s old.
        """
        estimate_ms = self.estimate_ms(now_s)
        if estimate_ms is None or clock_ms > estimate_ms or self._age_s(now_s) > 1.0:
            self._clock_ms = clock_ms
            self._clock_read_s = now_s

    def estimate_ms(self, now_s: float) -> float | None:
        """Return a lower bound of the worker's clock, ``None`` if it is unknown."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + self._age_s(now_s) * 1000 * (1 - MAX_CLOCK_DRIFT)

    def grant_ms(self, now_s: float, *, is_departing: bool = False) -> int | None:
        """Grant a lease, and return its end on the worker's clock.

        ``None`` if the worker's clock is unknown.

        Parameters
        ----------
        is_departing : bool
            Whether the worker leaves, so that its lease is to be short.
        """
        estimate_ms = self.estimate_ms(now_s)
        if estimate_ms is None:
            return None
        lease_s = self._settings.lease_s
        if is_departing:
            lease_s = min(lease_s, self._settings.departing_lease_s)
        self._expires_s = max(self._expires_s, now_s + self._upper_bound_s(lease_s))
        return int(estimate_ms + lease_s * 1000)

    def _age_s(self, now_s: float) -> float:
        return now_s - self._clock_read_s

    @staticmethod
    def _upper_bound_s(seconds: float) -> float:
        """Return the longest that a duration on the worker's clock can take here."""
        return seconds / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_S
