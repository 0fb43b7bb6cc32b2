"""Guards against predictions that follow stragglers, lag behind or add noise."""

import pytest

from bench import run_time_bench


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "name, max_share",
    [("wrong_accounts", 0.5), ("wrong_jobs_alike", 0.5), ("no_pattern", 1.1)],
)
def test_predictions_are_closer_where_runs_resemble_others(seed, name, max_share):
    load = run_time_bench.LOADS[name]
    declared_error, predicted_error = run_time_bench.errors(load, seed)
    assert predicted_error < max_share * declared_error
