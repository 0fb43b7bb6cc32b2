"""Run time estimates for each client account and contract."""

from ..core import quantile_window

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
        self._ratios: dict[tuple[str, str], quantile_window.QuantileWindow] = {}

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
                window = quantile_window.QuantileWindow(WINDOW_RUNS)
                self._ratios[key] = window
            window.add(ratio)

    def quantile(
        self, account: str, contract: str, declared_s: float, quantile: float
    ) -> float:
        """Return a quantile of the run time, or the declared time without data."""
        for key in ((account, contract), (account, "")):
            window = self._ratios.get(key)
            if window is not None and len(window) >= MIN_RUNS:
                return declared_s * window.quantile(quantile)
        return declared_s
