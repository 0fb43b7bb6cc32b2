"""Quantiles of the most recent values of a series."""

import bisect
import collections
from collections.abc import Iterable


class QuantileWindow:
    """The most recent values, in the order of arrival and sorted.

    Quantiles over a window of fixed length follow drift, and a few extreme values
    leave the median as it is.

    Parameters
    ----------
    size : int
        Number of values after which the oldest is dropped.
    values : iterable of float
        Initial values, the oldest first.
    """

    __slots__ = ("_recent", "_size", "_sorted")

    def __init__(self, size: int, values: Iterable[float] = ()) -> None:
        self._size = size
        self._recent = collections.deque(values, size)
        self._sorted = sorted(self._recent)

    def __len__(self) -> int:
        return len(self._sorted)

    @property
    def values(self) -> tuple[float, ...]:
        """Return the values, the oldest first."""
        return tuple(self._recent)

    def add(self, value: float) -> None:
        """Add a value, and drop the oldest one if the window is full."""
        if len(self._recent) >= self._size:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(value)
        bisect.insort(self._sorted, value)

    def quantile(self, quantile: float, above: float | None = None) -> float | None:
        """Return a quantile of the values, ``None`` if there are none.

        Parameters
        ----------
        quantile : float
            Share of the values from 0 to 1 that are at most as large.
        above : float or None
            Lower bound, so that only larger values count.
        """
        start = 0 if above is None else bisect.bisect_right(self._sorted, above)
        count = len(self._sorted) - start
        if not count:
            return None
        return self._sorted[start + min(int(quantile * count), count - 1)]
