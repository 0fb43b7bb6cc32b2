"""Budgets that refill over time or by success."""


class TokenBucket:
    """Allow an average rate with a bounded burst.

    Parameters
    ----------
    per_s : float
        Refill rate.
    burst : float
        Largest number of tokens.
    """

    __slots__ = ("_burst", "_per_s", "_tokens", "_updated")

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None

    def take(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough."""
        if self._updated is not None:
            refill = (now - self._updated) * self._per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated = now
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
        Retries allowed after a long time without any.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, share: float = 0.1, burst: float = 20.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def succeed(self) -> None:
        """Note a success."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
