"""Run times learned for each client account and contract."""

import bisect
import collections

# Enough for a 0.9 quantile; the oldest run is forgotten, so that drift is followed.
WINDOW = 64
# Fewer runs than this say less than the declaration does.
MIN_RUNS = 5
# A wrong declaration or a new kind of job misleads by at most this factor.
MAX_FACTOR = 16.0
MAX_KEYS = 4096


class RunTimes:
    """Quantiles of the last run times by client account and contract.

    The learned value is the ratio of run time to declared run time, so that one
    contract may hold jobs of different length. An estimate only orders work and
    limits backfill; `MAX_FACTOR` bounds it.
    """

    __slots__ = ("_ratios",)

    def __init__(self) -> None:
        self._ratios: dict[
            tuple[str, str], tuple[collections.deque[float], list[float]]
        ] = {}

    def learn(
        self, account: str, contract: str, declared_s: float, run_s: float
    ) -> None:
        """Add a finished run."""
        ratio = min(max(run_s / max(declared_s, 1e-3), 1 / MAX_FACTOR), MAX_FACTOR)
        for key in ((account, contract), (account, "")):
            entry = self._ratios.get(key)
            if entry is None:
                if len(self._ratios) >= MAX_KEYS:
                    del self._ratios[next(iter(self._ratios))]
                entry = self._ratios[key] = (collections.deque(), [])
            recent, ordered = entry
            recent.append(ratio)
            bisect.insort(ordered, ratio)
            if len(recent) > WINDOW:
                del ordered[bisect.bisect_left(ordered, recent.popleft())]

    def quantile(
        self, account: str, contract: str, declared_s: float, share: float
    ) -> float:
        """Return the run time that a share of the jobs stays below."""
        for key in ((account, contract), (account, "")):
            entry = self._ratios.get(key)
            if entry is not None and len(entry[1]) >= MIN_RUNS:
                ordered = entry[1]
                return declared_s * ordered[min(int(share * len(ordered)), WINDOW - 1)]
        return declared_s
