"""Run times learned for each client account, service and declared class."""

import math

from . import request

FIRST_S = {request.RequestClass.SHORT: 0.1, request.RequestClass.LONG: 2.0}
HYSTERESIS = 1.5  # a key changes its class only when clearly across the limit
QUANTILE = 0.9
FIRST_RUNS = 5  # their largest is near the 0.9 quantile
FIRST_MARGIN = 0.3
STEP = 0.15  # in log space; 20 longer runs move the estimate by a factor of 15


class RunTime:
    """Mean and upper quantile of the run times of one key.

    Attributes
    ----------
    mean_s : float
        Moving average.
    high_s : float
        Estimate of the 0.9 quantile, followed by steps in log space.
    run_class : RequestClass
        Class that follows from the quantile.
    """

    __slots__ = ("_log_high", "_probes", "count", "high_s", "mean_s", "run_class")

    def __init__(self, declared: request.RequestClass | None) -> None:
        self.run_class = declared or request.RequestClass.SHORT
        self.mean_s = FIRST_S[self.run_class]
        self.high_s = 2.0 * self.mean_s
        self._log_high = math.log(self.high_s)
        self.count = 0
        self._probes = FIRST_RUNS

    def take_class(self) -> request.RequestClass:
        """Return the class of the next request.

        A few requests of a key that has no runs are treated as short. Otherwise a key
        declared long by mistake could wait behind long work past every deadline and
        would never be learned.
        """
        if self.run_class is request.RequestClass.LONG and self._probes:
            self._probes -= 1
            return request.RequestClass.SHORT
        return self.run_class

    def note_starved(self) -> None:
        """Allow one more probe after a request has waited past its deadline."""
        self._probes = max(self._probes, 1)

    def note(self, run_s: float, short_run_s: float) -> None:
        """Take in one run time."""
        run_s = max(run_s, 1e-4)
        self.count += 1
        if self.count >= FIRST_RUNS:
            self._probes = 0
        gain = max(0.05, 1.0 / self.count)
        self.mean_s += gain * (run_s - self.mean_s)
        log_run = math.log(run_s)
        if self.count <= FIRST_RUNS:
            # The declared class says little, so the first runs replace its estimate.
            first = log_run + FIRST_MARGIN
            known = first if self.count == 1 else max(self._log_high, first)
            self._log_high = known
        elif log_run > self._log_high:
            self._log_high += STEP * QUANTILE
        else:
            self._log_high -= STEP * (1.0 - QUANTILE)
        self.high_s = math.exp(self._log_high)
        if self.run_class is request.RequestClass.SHORT:
            if self.high_s > short_run_s * HYSTERESIS:
                self.run_class = request.RequestClass.LONG
        elif self.high_s < short_run_s / HYSTERESIS:
            self.run_class = request.RequestClass.SHORT


class RunTimes:
    """Run times of all keys, bounded in number.

    Parameters
    ----------
    limit : int
        Keys kept; the oldest is forgotten first.
    """

    __slots__ = ("_by_key", "_limit")

    def __init__(self, limit: int = 4096) -> None:
        self._by_key: dict[tuple[str, str, object], RunTime] = {}
        self._limit = limit

    def of(self, asked: request.Request) -> RunTime:
        """Return the run time of a request's key."""
        key = (asked.account, asked.service, asked.declared)
        known = self._by_key.get(key)
        if known is None:
            if len(self._by_key) >= self._limit:
                del self._by_key[next(iter(self._by_key))]
            known = self._by_key[key] = RunTime(asked.declared)
        return known
