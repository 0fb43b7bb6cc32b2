"""Guards the bench of workflows: its loads, and what it judges."""

from bench import workflow_baseline, workflow_driver, workflow_load


def test_the_same_seed_gives_the_same_load():
    assert workflow_load.make_load(3, 20.0) == workflow_load.make_load(3, 20.0)
    assert workflow_load.make_load(3, 20.0) != workflow_load.make_load(4, 20.0)


def test_both_planners_keep_the_promises_of_workers():
    ours = workflow_driver.run(1, 8.0, 1.6)
    theirs = workflow_driver.run(1, 8.0, 1.6, workflow_baseline.plan)
    assert ours.faults == theirs.faults == []
    assert ours.owed == theirs.owed
    # The baseline stops nothing, and urgent work waits for it.
    assert theirs.wasted_core_s <= ours.wasted_core_s
    assert max(ours.urgent_start_s) < max(theirs.urgent_start_s)
