"""Counters, gauges and histograms of one process."""

import bisect
import itertools
from collections.abc import Iterator

import hdrh.histogram
import msgspec

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
WORD_BYTES = 4  # four billion values a bucket, at half the memory of the default

Labels = tuple[tuple[str, str], ...]


class HistogramSummary(msgspec.Struct, frozen=True):
    """Quantiles of one histogram, in seconds."""

    name: str
    labels: dict[str, str]
    count: int
    mean_s: float
    quantiles_s: dict[str, float]


class CounterValue(msgspec.Struct, frozen=True):
    """One counter or gauge."""

    name: str
    labels: dict[str, str]
    value: float


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """All values of one process."""

    counters: list[CounterValue]
    gauges: list[CounterValue]
    histograms: list[HistogramSummary]


class _Histogram:
    """Histogram that is read without a walk through the library's iterators.

    The library takes 13 ms for mean and quantiles, and there is a histogram for each
    client account, so a reader of all of them would stall the process for seconds.
    """

    __slots__ = ("_counts", "_sum_us")

    def __init__(self) -> None:
        self._counts = hdrh.histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, DIGITS, word_size=WORD_BYTES
        )
        self._sum_us = 0

    def record(self, value_us: int) -> None:
        self._counts.record_value(value_us)
        self._sum_us += value_us

    def summarize(self, name: str, labels: dict[str, str]) -> HistogramSummary:
        counts = self._counts
        total = counts.get_total_count()
        reached = list(itertools.accumulate(counts.counts))
        quantiles = {}
        for percent in QUANTILES:
            target = counts.get_target_count_at_percentile(percent)
            index = bisect.bisect_left(reached, target)
            value_us = counts.get_highest_equivalent_value(
                counts.get_value_from_index(index)
            )
            quantiles[f"{percent / 100:g}"] = value_us / 1e6
        mean_s = self._sum_us / total / 1e6
        return HistogramSummary(name, labels, total, mean_s, quantiles)


class Metrics:
    """Collect values; histograms are made when first used.

    A histogram takes 14 KB with two digits, so labels are limited to the client
    account and the class.
    """

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}

    def increment(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = value

    def observe(
        self, name: str, seconds: float, account: str = "", job_class: str = ""
    ) -> None:
        """Record a duration for a client account and class.

        Parameters
        ----------
        name : str
            Base name without unit, for example ``request_wait``.
        seconds : float
            Duration; clipped to the range from 1 µs to 1 h.
        """
        key = (name, (("account", account), ("class", job_class)))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.record(min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US))

    def counter(self, name: str, **labels: str) -> float:
        """Return the value of a counter, 0 if never incremented."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def snapshot(self) -> MetricsSnapshot:
        """Return all values."""
        return MetricsSnapshot(
            counters=_values(self._counters),
            gauges=_values(self._gauges),
            histograms=[
                histogram.summarize(name, dict(labels))
                for (name, labels), histogram in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            ],
        )

    def prometheus(self) -> str:
        """Return all values in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        snapshot = self.snapshot()
        for kind, values in (
            ("counter", snapshot.counters),
            ("gauge", snapshot.gauges),
        ):
            suffix = "_total" if kind == "counter" else ""
            last = None
            for value in values:
                name = f"marjoramusher_{value.name}{suffix}"
                if name != last:
                    yield f"# TYPE {name} {kind}"
                    last = name
                yield f"{name}{_label_text(value.labels)} {value.value:g}"
        last = None
        for histogram in snapshot.histograms:
            name = f"marjoramusher_{histogram.name}_seconds"
            if name != last:
                yield f"# TYPE {name} summary"
                last = name
            for quantile, seconds in histogram.quantiles_s.items():
                labels = {**histogram.labels, "quantile": quantile}
                yield f"{name}{_label_text(labels)} {seconds:g}"
            text = _label_text(histogram.labels)
            yield f"{name}_sum{text} {histogram.mean_s * histogram.count:g}"
            yield f"{name}_count{text} {histogram.count}"


def _values(store: dict[tuple[str, Labels], float]) -> list[CounterValue]:
    return [
        CounterValue(name, dict(labels), value)
        for (name, labels), value in sorted(store.items(), key=lambda item: item[0])
    ]


def _label_text(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    parts = (f'{name}="{_escape(value)}"' for name, value in labels.items())
    return "{" + ",".join(parts) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
