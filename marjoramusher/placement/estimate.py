"""Run time estimates for each client account and contract."""

import bisect
import collections

# Enough for a 0.9 quantile. Older runs are dropped, so that estimates follow drift.
WINDOW_RUNS = 64
# With fewer runs than this, the declared run time is the better estimate.
MIN_RUNS = 5
# Bounds the error that a wrong declaration or a new kind of job can cause.
MAX_FACTOR = 16.0
MAX_KEYS = 4096


class RunTimeEstimates:
    """Quantiles of recent run times by client account and contract.

    The recorded value is the ratio of actual to declared run time, so that jobs of
    different length can share a contract. Estimates affect only the order of jobs
    and the limits of backfill; `MAX_FACTOR` bounds them.
    """

    __slots__ = ("_ratios",)

    def __init__(self) -> None:
        self._ratios: dict[
            tuple[str, str], tuple[collections.deque[float], list[float]]
        ] = {}

    def record_run(
        self, account: str, contract: str, declared_s: float, run_s: float
    ) -> None:
        """Record a finished run."""
        ratio = min(max(run_s / max(declared_s, 1e-3), 1 / MAX_FACTOR), MAX_FACTOR)
        for key in ((account, contract), (account, "")):
            window = self._ratios.get(key)
            if window is None:
                if len(self._ratios) >= MAX_KEYS:
                    del self._ratios[next(iter(self._ratios))]
                window = self._ratios[key] = (collections.deque(), [])
            recent_ratios, sorted_ratios = window
            recent_ratios.append(ratio)
            bisect.insort(sorted_ratios, ratio)
            if len(recent_ratios) > WINDOW_RUNS:
                del sorted_ratios[
                    bisect.bisect_left(sorted_ratios, recent_ratios.popleft())
                ]

    def quantile(
        self, account: str, contract: str, declared_s: float, quantile: float
    ) -> float:
        """Return a quantile of the run time, or the declared time without data."""
        for key in ((account, contract), (account, "")):
            window = self._ratios.get(key)
            if window is not None and len(window[1]) >= MIN_RUNS:
                sorted_ratios = window[1]
                return (
                    declared_s
                    * sorted_ratios[
                        min(int(quantile * len(sorted_ratios)), WINDOW_RUNS - 1)
                    ]
                )
        return declared_s
