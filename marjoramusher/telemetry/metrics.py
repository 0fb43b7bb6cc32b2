"""Counters, gauges and histograms of one process."""

import bisect
import itertools
from collections.abc import Iterator

import hdrh.histogram
import msgspec

MIN_VALUE_US = 1
MAX_VALUE_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
BUCKET_BYTES = 4  # up to 2**32 values each, in half the default memory

Labels = tuple[tuple[str, str], ...]


class HistogramSummary(msgspec.Struct, frozen=True):
    """Count, mean and quantiles of one histogram."""

    name: str
    labels: dict[str, str]
    count: int
    mean_s: float
    quantiles_s: dict[str, float]


class CounterValue(msgspec.Struct, frozen=True):
    """Value of a counter or gauge."""

    name: str
    labels: dict[str, str]
    value: float


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """All metrics of a process."""

    counters: list[CounterValue]
    gauges: list[CounterValue]
    histograms: list[HistogramSummary]


class _Histogram:
    """HDR histogram with a fast summary.

    The library takes 13 ms to compute mean and quantiles. With a histogram for each
    client account, reading all of them would block the process for seconds.
    """

    __slots__ = ("_counts", "_sum_us")

    def __init__(self) -> None:
        self._counts = hdrh.histogram.HdrHistogram(
            MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS, word_size=BUCKET_BYTES
        )
        self._sum_us = 0

    def record(self, value_us: int) -> None:
        self._counts.record_value(value_us)
        self._sum_us += value_us

    def summarize(self, name: str, labels: dict[str, str]) -> HistogramSummary:
        counts = self._counts
        total = counts.get_total_count()
        cumulative_counts = list(itertools.accumulate(counts.counts))
        quantiles = {}
        for percent in QUANTILES:
            target_count = counts.get_target_count_at_percentile(percent)
            index = bisect.bisect_left(cumulative_counts, target_count)
            value_us = counts.get_highest_equivalent_value(
                counts.get_value_from_index(index)
            )
            quantiles[f"{percent / 100:g}"] = value_us / 1e6
        mean_s = self._sum_us / total / 1e6
        return HistogramSummary(name, labels, total, mean_s, quantiles)


class Metrics:
    """Registry of counters, gauges and histograms, which are created on first use.

    A histogram takes 14 KB with two significant digits, so its labels are limited to
    the client account and the class.
    """

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}

    def increment(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter."""
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
            Name without a unit, for example ``request_wait``.
        seconds : float
            Duration, clipped to the range from 1 µs to 1 h.
        """
        key = (name, (("account", account), ("class", job_class)))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.record(min(max(int(seconds * 1e6), MIN_VALUE_US), MAX_VALUE_US))

    def counter(self, name: str, **labels: str) -> float:
        """Return the value of a counter, 0 if it does not exist."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def snapshot(self) -> MetricsSnapshot:
        """Return the current values of all metrics."""
        return MetricsSnapshot(
            counters=_counter_values(self._counters),
            gauges=_counter_values(self._gauges),
            histograms=[
                histogram.summarize(name, dict(labels))
                for (name, labels), histogram in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            ],
        )

    def prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._prometheus_lines())

    def _prometheus_lines(self) -> Iterator[str]:
        snapshot = self.snapshot()
        for metric_type, values in (
            ("counter", snapshot.counters),
            ("gauge", snapshot.gauges),
        ):
            suffix = "_total" if metric_type == "counter" else ""
            previous_name = None
            for value in values:
                name = f"marjoramusher_{value.name}{suffix}"
                if name != previous_name:
                    yield f"# TYPE {name} {metric_type}"
                    previous_name = name
                yield f"{name}{_format_labels(value.labels)} {value.value:g}"
        previous_name = None
        for histogram in snapshot.histograms:
            name = f"marjoramusher_{histogram.name}_seconds"
            if name != previous_name:
                yield f"# TYPE {name} summary"
                previous_name = name
            for quantile, seconds in histogram.quantiles_s.items():
                labels = {**histogram.labels, "quantile": quantile}
                yield f"{name}{_format_labels(labels)} {seconds:g}"
            label_text = _format_labels(histogram.labels)
            yield f"{name}_sum{label_text} {histogram.mean_s * histogram.count:g}"
            yield f"{name}_count{label_text} {histogram.count}"


def _counter_values(
    value_by_key: dict[tuple[str, Labels], float],
) -> list[CounterValue]:
    return [
        CounterValue(name, dict(labels), value)
        for (name, labels), value in sorted(
            value_by_key.items(), key=lambda item: item[0]
        )
    ]


def _format_labels(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape(value)}"' for name, value in labels.items())
    return "{" + ",".join(pairs) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
