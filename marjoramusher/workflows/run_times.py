"""Prediction of run times from completed runs.

Callers declare the run time of each task, which can be far off. Recent runs correct
it, by the ratio of actual to declared run times or by their durations, whichever is
closer. They are part of the replicated state, so every replica and each new leader
makes the same predictions. For that reason, only operations are used that are rounded
the same on all machines.
"""

import collections
import enum
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from ..core import quantile_window
from . import workflow

MAX_KEYS = 1024
MAX_KEYS_OF_QUEUE = 16  # in the ratios of a queue
# Enough for a 0.9 quantile. Older runs are dropped, so that predictions follow drift. A
# key takes up to 500 bytes of a snapshot.
WINDOW_RUNS = 64
# With fewer runs than this, the declared run time is the better estimate.
MIN_RUNS = 5
UPPER_QUANTILE = 0.9
# A straggler takes 7 times as long as other runs, and a declared time can be a tenth of
# the actual one.
MAX_RATIO = 100.0
MIN_RATIO = 1 / MAX_RATIO
# A correction is used only if it makes the mean error this much smaller. Where each job
# is declared wrong by a factor of its own, the median ratio only adds noise: it made
# predictions a tenth worse than the declared times.
MAX_ERROR_SHARE = 0.8
MAX_ERROR = 2.0  # limits the effect of single runs on the choice
# A longer run is taken for a jump of a clock.
MAX_RUN_MS = 24 * 3_600_000


class Key(NamedTuple):
    """Runs that are expected to be off by similar ratios.

    Parameters
    ----------
    image : str
        Empty if the step names no image.
    account : str
        Client account, empty if the step names an image.
    """

    queue: str
    image: str
    account: str


class KeyRuns(msgspec.Struct, frozen=True, array_like=True):
    """Recent runs of one key in a snapshot, the oldest first.

    Parameters
    ----------
    runs : tuple of (int, int)
        Declared and actual run time of each, in milliseconds.
    """

    key: Key
    runs: tuple[tuple[int, int], ...]


class Basis(enum.Enum):
    """What the prediction of a run is based on."""

    DECLARED = "declared"
    RATIO = "ratio"  # declared run time, corrected by the median ratio
    DURATION = "duration"  # run times of other runs, whatever was declared


class _History:
    """Recent runs of one key."""

    __slots__ = ("_basis", "_median", "durations_ms", "ratios", "runs")

    def __init__(self, runs: Iterable[tuple[int, int]] = ()) -> None:
        self.runs = collections.deque(runs, WINDOW_RUNS)
        self.ratios = quantile_window.QuantileWindow(
            WINDOW_RUNS, (_ratio(*run) for run in self.runs)
        )
        self.durations_ms = quantile_window.QuantileWindow(
            WINDOW_RUNS, (run_ms for _, run_ms in self.runs)
        )
        self._basis: Basis | None = None
        self._median = 1.0  # on the present basis

    @property
    def basis(self) -> Basis:
        """Return what has predicted the recent runs best."""
        if self._basis is None:
            self._basis, self._median = self._best_basis()
        return self._basis

    def add(self, declared_ms: int, run_ms: int) -> None:
        """Add a run, and drop the oldest one if there are too many."""
        self.runs.append((declared_ms, run_ms))
        self.ratios.add(_ratio(declared_ms, run_ms))
        self.durations_ms.add(run_ms)
        self._basis = None

    def expected_ms(self, declared_ms: int) -> float:
        """Return the median run time."""
        basis = self.basis
        return self._median if basis is Basis.DURATION else declared_ms * self._median

    def _best_basis(self) -> tuple[Basis, float]:
        """Return the basis with the smallest error, and its median."""
        ratio, duration_ms = self.ratios.quantile(0.5), self.durations_ms.quantile(0.5)
        best, median = Basis.DECLARED, 1.0
        best_error = _mean_error((declared, actual) for declared, actual in self.runs)
        error = _mean_error(
            (declared * ratio, actual) for declared, actual in self.runs
        )
        if error < MAX_ERROR_SHARE * best_error:
            best, median, best_error = Basis.RATIO, ratio, error
        error = _mean_error((duration_ms, actual) for _, actual in self.runs)
        if error < MAX_ERROR_SHARE * best_error:
            best, median = Basis.DURATION, duration_ms
        return best, median

    def quantile_ms(
        self, declared_ms: int, quantile: float, age_ms: float = 0.0
    ) -> float | None:
        """Return a quantile of the run time of runs that take longer than an age.

        ``None`` if none took as long.
        """
        if self.basis is Basis.DURATION:
            return self.durations_ms.quantile(quantile, above=age_ms)
        ratio = self.ratios.quantile(quantile, above=age_ms / declared_ms)
        return None if ratio is None else declared_ms * ratio


class RunTimes:
    """Durations of recent runs by key, and predictions based on them.

    Only `record` changes them. The key that was recorded least recently is evicted
    first; reads don't count, since they differ between replicas.

    Parameters
    ----------
    stored : iterable of KeyRuns
        Result of `stored`.
    """

    __slots__ = ("_by_key",)

    def __init__(self, stored: Iterable[KeyRuns] = ()) -> None:
        self._by_key = {item.key: _History(item.runs) for item in stored}

    def __len__(self) -> int:
        return len(self._by_key)

    def stored(self) -> tuple[KeyRuns, ...]:
        """Return all keys with their runs, the least recently recorded first."""
        return tuple(
            KeyRuns(key, tuple(history.runs)) for key, history in self._by_key.items()
        )

    def medians(self) -> Iterator[tuple[Key, float, int]]:
        """Yield each key with enough runs, its median ratio and number of runs."""
        for key, history in self._by_key.items():
            if len(history.runs) >= MIN_RUNS:
                yield key, history.ratios.quantile(0.5), len(history.runs)

    def queue_ratios(self) -> dict[str, quantile_window.QuantileWindow]:
        """Return the recent ratios of each queue.

        Only the `MAX_KEYS_OF_QUEUE` keys count that were recorded last, which bounds
        the time that it takes.
        """
        histories: dict[str, list[_History]] = {}
        for key, history in reversed(self._by_key.items()):
            of_queue = histories.setdefault(key.queue, [])
            if len(of_queue) < MAX_KEYS_OF_QUEUE:
                of_queue.append(history)
        return {
            queue: quantile_window.QuantileWindow(
                MAX_KEYS_OF_QUEUE * WINDOW_RUNS,
                (ratio for history in of_queue for ratio in history.ratios.values),
            )
            for queue, of_queue in histories.items()
        }

    def record(
        self,
        queue: str,
        account: str,
        step: workflow.Step,
        run_ms: int,
        *,
        is_lower_bound: bool = False,
    ) -> None:
        """Record the duration of a run.

        Durations are differences of the clocks of two leaders, so impossible ones are
        ignored.

        Parameters
        ----------
        run_ms : int
            Time from the placement to the recorded end.
        is_lower_bound : bool
            Whether the run was stopped before it was done. It counts only if it took
            longer than expected. Otherwise the longest runs, which are stopped most
            often, would be missing.
        """
        if step.estimate_ms <= 0 or not 0 < run_ms <= MAX_RUN_MS:
            return
        if is_lower_bound and run_ms <= self.expected_ms(queue, account, step):
            return
        key = _key(queue, account, step)
        # Reinsertion moves the key to the end.
        history = self._by_key.pop(key, None) or _History()
        self._by_key[key] = history
        history.add(step.estimate_ms, run_ms)
        while len(self._by_key) > MAX_KEYS:
            del self._by_key[next(iter(self._by_key))]

    def expected_ms(self, queue: str, account: str, step: workflow.Step) -> float:
        """Return the median run time, the declared one with too few runs."""
        history = self._history(queue, account, step)
        if history is None:
            return float(step.estimate_ms)
        return history.expected_ms(step.estimate_ms)

    def upper_ms(self, queue: str, account: str, step: workflow.Step) -> float:
        """Return the 0.9 quantile of the run time, the declared one with too few runs.

        It is the run time that one of ten runs exceeds.
        """
        history = self._history(queue, account, step)
        if history is None:
            return float(step.estimate_ms)
        return history.quantile_ms(step.estimate_ms, UPPER_QUANTILE)

    def remaining_ms(
        self, queue: str, account: str, step: workflow.Step, age_ms: float
    ) -> float:
        """Return the median time left of a run that has not ended at an age.

        Only runs that took longer than that count, so a straggler is not expected to
        end at any moment. A run that is older than all of them, or than the declared
        run time with too few runs, is expected to take as long again as a whole run.
        """
        expected_ms = self.expected_ms(queue, account, step)
        if age_ms < expected_ms:
            return expected_ms - age_ms
        history = self._history(queue, account, step)
        if history is None:
            return expected_ms
        run_ms = history.quantile_ms(step.estimate_ms, 0.5, age_ms)
        return expected_ms if run_ms is None else run_ms - age_ms

    def _history(
        self, queue: str, account: str, step: workflow.Step
    ) -> _History | None:
        """Return the runs of a step's key, ``None`` if they are too few."""
        history = self._by_key.get(_key(queue, account, step))
        if history is None or len(history.runs) < MIN_RUNS or step.estimate_ms <= 0:
            return None
        return history


def _ratio(declared_ms: int, run_ms: int) -> float:
    return min(max(run_ms / declared_ms, MIN_RATIO), MAX_RATIO)


def _mean_error(predictions: Iterable[tuple[float, int]]) -> float:
    """Return the mean relative error of predicted against actual run times."""
    errors = [abs(predicted - actual) / actual for predicted, actual in predictions]
    return sum(min(error, MAX_ERROR) for error in errors) / len(errors)


def _key(queue: str, account: str, step: workflow.Step) -> Key:
    return Key(queue, step.image, "" if step.image else account)
