"""Guards the exposition format and the per-account separation of histograms."""

import random

import hdrh.histogram
import pytest

from marjoramusher.telemetry import metrics


def test_histograms_are_kept_apart_by_account():
    values = metrics.Metrics()
    values.observe("request_wait", 0.001, "a", "short")
    values.observe("request_wait", 1.0, "b", "short")
    waits = {
        h.labels["account"]: h.quantiles_s["0.99"] for h in values.snapshot().histograms
    }
    assert waits["a"] < 0.01 < 0.9 < waits["b"]


@pytest.mark.parametrize("count", [1, 2, 7, 1000])
def test_summaries_are_those_of_the_library(count):
    """Guards the quantiles, which are not read by the library's own slow walk."""
    rng = random.Random(count)
    values = metrics.Metrics()
    library = hdrh.histogram.HdrHistogram(
        metrics.LOWEST_US, metrics.HIGHEST_US, metrics.DIGITS
    )
    samples_us = [int(rng.lognormvariate(9, 3)) + 1 for _ in range(count)]
    for sample_us in samples_us:
        values.observe("run", sample_us / 1e6 + 1e-9)
        library.record_value(sample_us)
    found = values.snapshot().histograms[0]
    assert found.count == count
    assert found.mean_s == pytest.approx(sum(samples_us) / count / 1e6)
    assert found.quantiles_s == {
        f"{percent / 100:g}": library.get_value_at_percentile(percent) / 1e6
        for percent in metrics.QUANTILES
    }


def test_prometheus_text_escapes_labels():
    values = metrics.Metrics()
    values.increment("refusals", account='a"b\\c\nd')
    text = values.prometheus()
    assert 'marjoramusher_refusals_total{account="a\\"b\\\\c\\nd"} 1' in text


def test_out_of_range_durations_are_clipped():
    values = metrics.Metrics()
    values.observe("run", 1e9)
    values.observe("run", -1)
    assert values.snapshot().histograms[0].count == 2
