"""Tests the Prometheus format, and that histograms are separate per account."""

import random

import hdrh.histogram
import pytest

from marjoramusher.telemetry import metrics


def test_histograms_are_kept_apart_by_account():
    registry = metrics.Metrics()
    registry.observe("request_wait", 0.001, "a", "short")
    registry.observe("request_wait", 1.0, "b", "short")
    waits = {
        h.labels["account"]: h.quantiles_s["0.99"]
        for h in registry.snapshot().histograms
    }
    assert waits["a"] < 0.01 < 0.9 < waits["b"]


@pytest.mark.parametrize("count", [1, 2, 7, 1000])
def test_summaries_are_those_of_the_library(count):
    """Tests the fast summary against the slow methods of the library."""
    rng = random.Random(count)
    registry = metrics.Metrics()
    library = hdrh.histogram.HdrHistogram(
        metrics.MIN_VALUE_US, metrics.MAX_VALUE_US, metrics.SIGNIFICANT_DIGITS
    )
    samples_us = [int(rng.lognormvariate(9, 3)) + 1 for _ in range(count)]
    for sample_us in samples_us:
        registry.observe("run", sample_us / 1e6 + 1e-9)
        library.record_value(sample_us)
    summary = registry.snapshot().histograms[0]
    assert summary.count == count
    assert summary.mean_s == pytest.approx(sum(samples_us) / count / 1e6)
    assert summary.quantiles_s == {
        f"{percent / 100:g}": library.get_value_at_percentile(percent) / 1e6
        for percent in metrics.QUANTILES
    }


def test_prometheus_text_escapes_labels():
    registry = metrics.Metrics()
    registry.increment("refusals", account='a"b\\c\nd')
    text = registry.prometheus()
    assert 'marjoramusher_refusals_total{account="a\\"b\\\\c\\nd"} 1' in text


def test_out_of_range_durations_are_clipped():
    registry = metrics.Metrics()
    registry.observe("run", 1e9)
    registry.observe("run", -1)
    assert registry.snapshot().histograms[0].count == 2
