"""Run times learned for each client account, service and declared class."""

import math

from . import request as requests

INITIAL_MEAN_S = {requests.RequestClass.SHORT: 0.1, requests.RequestClass.LONG: 2.0}
CLASS_HYSTERESIS = 1.5  # a key changes its class only when clearly across the limit
QUANTILE = 0.9
WARM_UP_RUNS = 5  # the largest of so many is near the 0.9 quantile
WARM_UP_LOG_MARGIN = 0.3
LOG_STEP = 0.15  # 20 runs in a row above the estimate raise it by a factor of 15


class RunTimeEstimate:
    """Mean and upper quantile of the run times of one key.

    Attributes
    ----------
    count : int
        Number of run times recorded.
    mean_s : float
        Moving average.
    p90_s : float
        Estimate of the 0.9 quantile, adjusted in steps of its logarithm.
    run_class : RequestClass
        Class that follows from the quantile.
    """

    __slots__ = ("_log_p90", "_probes_left", "count", "mean_s", "p90_s", "run_class")

    def __init__(self, declared_class: requests.RequestClass | None) -> None:
        self.run_class = declared_class or requests.RequestClass.SHORT
        self.mean_s = INITIAL_MEAN_S[self.run_class]
        self.p90_s = 2.0 * self.mean_s
        self._log_p90 = math.log(self.p90_s)
        self.count = 0
        self._probes_left = WARM_UP_RUNS

    def next_class(self) -> requests.RequestClass:
        """Return the class of the next request.

        The first requests of a key are treated as short, as probes. Otherwise a key
        that is wrongly declared long could wait behind long work past every deadline,
        and its run time would never be learned.
        """
        if self.run_class is requests.RequestClass.LONG and self._probes_left:
            self._probes_left -= 1
            return requests.RequestClass.SHORT
        return self.run_class

    def allow_probe(self) -> None:
        """Allow one more probe after a request has waited past its deadline."""
        self._probes_left = max(self._probes_left, 1)

    def record(self, run_s: float, short_run_s: float) -> None:
        """Update the estimates and the class with the run time of one request.

        Parameters
        ----------
        short_run_s : float
            Longest run time of the short class.
        """
        run_s = max(run_s, 1e-4)
        self.count += 1
        if self.count >= WARM_UP_RUNS:
            self._probes_left = 0
        gain = max(0.05, 1.0 / self.count)
        self.mean_s += gain * (run_s - self.mean_s)
        log_run = math.log(run_s)
        if self.count <= WARM_UP_RUNS:
            # The first runs replace the estimate from the declared class, which is
            # unreliable.
            log_bound = log_run + WARM_UP_LOG_MARGIN
            log_p90 = log_bound if self.count == 1 else max(self._log_p90, log_bound)
            self._log_p90 = log_p90
        elif log_run > self._log_p90:
            self._log_p90 += LOG_STEP * QUANTILE
        else:
            self._log_p90 -= LOG_STEP * (1.0 - QUANTILE)
        self.p90_s = math.exp(self._log_p90)
        if self.run_class is requests.RequestClass.SHORT:
            if self.p90_s > short_run_s * CLASS_HYSTERESIS:
                self.run_class = requests.RequestClass.LONG
        elif self.p90_s < short_run_s / CLASS_HYSTERESIS:
            self.run_class = requests.RequestClass.SHORT


class RunTimeTable:
    """Run-time estimates of all keys, bounded in number.

    Parameters
    ----------
    max_keys : int
        Largest number of keys; the oldest key is evicted first.
    """

    __slots__ = ("_by_key", "_max_keys")

    def __init__(self, max_keys: int = 4096) -> None:
        self._by_key: dict[tuple[str, str, object], RunTimeEstimate] = {}
        self._max_keys = max_keys

    def estimate_for(self, request: requests.Request) -> RunTimeEstimate:
        """Return the estimate for a request's key."""
        key = (request.account, request.service, request.declared_class)
        estimate = self._by_key.get(key)
        if estimate is None:
            if len(self._by_key) >= self._max_keys:
                del self._by_key[next(iter(self._by_key))]
            estimate = self._by_key[key] = RunTimeEstimate(request.declared_class)
        return estimate
