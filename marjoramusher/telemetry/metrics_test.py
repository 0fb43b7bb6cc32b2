"""Guards the exposition format and the per-account separation of histograms."""

from marjoramusher.telemetry import metrics


def test_histograms_are_kept_apart_by_account():
    values = metrics.Metrics()
    values.observe("request_wait", 0.001, "a", "short")
    values.observe("request_wait", 1.0, "b", "short")
    waits = {
        h.labels["account"]: h.quantiles_s["0.99"] for h in values.snapshot().histograms
    }
    assert waits["a"] < 0.01 < 0.9 < waits["b"]


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
