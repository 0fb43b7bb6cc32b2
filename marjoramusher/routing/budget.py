"""Budgets that refill over time or with each success."""


class TokenBucket:
    """Allow an average rate with a bounded burst.

    Parameters
    ----------
    per_s : float
        Refill rate.
    burst : float
        Largest number of tokens.
    """

    __slots__ = ("_burst", "_per_s", "_tokens", "_updated_at")

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def take(self, amount: float, now: float) -> bool:
        """Take tokens and return whether there were enough."""
        if self._updated_at is not None:
            refill = (now - self._updated_at) * self._per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class RetryBudget:
    """Allow retries as a share of the successes, so that they can't multiply load.

    Parameters
    ----------
    share : float
        Retries allowed for each success.
    burst : float
        Largest number of retries that can accumulate.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, share: float = 0.1, burst: float = 20.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_success(self) -> None:
        """Add the share of a retry that a success allows."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
