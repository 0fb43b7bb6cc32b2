"""Check that loads are reproducible and that sessions violate no protocol rule."""

from bench import workflow_baseline, workflow_driver, workflow_load


def test_the_same_seed_gives_the_same_load():
    assert workflow_load.make_load(3, 20.0) == workflow_load.make_load(3, 20.0)
    assert workflow_load.make_load(3, 20.0) != workflow_load.make_load(4, 20.0)


def test_neither_planner_violates_the_worker_protocol():
    result = workflow_driver.run(1, 8.0, 1.6)
    baseline_result = workflow_driver.run(1, 8.0, 1.6, workflow_baseline.plan)
    assert result.violations == baseline_result.violations == []
    assert result.attainable == baseline_result.attainable
    # The baseline never preempts, so urgent workflows wait for running ones.
    assert baseline_result.wasted_core_s <= result.wasted_core_s
    assert max(result.urgent_start_s) < max(baseline_result.urgent_start_s)
