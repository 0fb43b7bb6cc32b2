"""Guards against retries that fail on the same workers until no attempt is left.

Load: workers that fail everything they start, beside racks of sound ones.
"""

import pytest

from marjoramusher.workflows import condition, planner_test, workflow

FAILED = workflow.RunOutcome.FAILED


def placed_on(plan):
    return {placement.worker_id for placement in plan.placements}


def fail(harness, plan, worker_id):
    """End a run of a gang as failed on one worker and as broken on the others."""
    for placement in plan.placements:
        is_cause = placement.worker_id == worker_id
        outcome = FAILED if is_cause else workflow.RunOutcome.BROKEN
        harness.end([placement], outcome)


def test_a_gang_is_retried_on_another_rack_than_the_one_that_failed_it():
    """Guards against the fullest rack, the failed one, being chosen again."""
    harness = planner_test.Harness(racks=2, size=3)
    harness.submit("urgent", 2, 8, gang=True, same_rack=True)
    first = harness.run()
    failed = first.placements[0].worker_id
    fail(harness, first, failed)
    assert failed not in placed_on(harness.run())


def test_a_task_is_retried_on_another_worker():
    harness = planner_test.Harness(size=2)
    harness.submit("batch", 1, 8)
    first = harness.run()
    harness.end(first.placements, FAILED)
    assert placed_on(harness.run()).isdisjoint(placed_on(first))


def test_the_last_attempt_waits_for_a_worker_without_failures():
    """Guards against spending it on a worker that fails everything it starts."""
    harness = planner_test.Harness(size=3)
    harness.submit("batch", 1, 8)
    for _ in range(2):
        plan = harness.run()
        harness.end(plan.placements, FAILED)
    last = next(name for name in harness.conditions if name not in failed_on(harness))
    harness.conditions[last] = condition.WorkerCondition(is_suspect=True)
    assert placed_on(harness.plan()) == {last}  # no sound worker could ever run it
    harness = planner_test.Harness(size=4)
    harness.submit("batch", 1, 8)
    for _ in range(2):
        plan = harness.run()
        harness.end(plan.placements, FAILED)
    suspect, sound = (
        name for name in harness.conditions if name not in failed_on(harness)
    )
    harness.conditions[suspect] = condition.WorkerCondition(is_suspect=True)
    harness.submit("urgent", 1, 8, account="b", rack=f"r{sound[0]}")
    assert suspect not in {
        placement.worker_id
        for placement in harness.plan().placements
        if placement.task.workflow_id == "w1"
    }


def failed_on(harness):
    return harness.state.entries["w1"].occurrences[0][0][0].failed_on


@pytest.mark.parametrize("same_rack", [False, True])
def test_a_gang_starts_without_suspect_workers_if_it_can(same_rack):
    """Guards against one bad worker that costs a whole gang an attempt."""
    harness = planner_test.Harness(racks=2, size=2)
    harness.submit("batch", 1, 1, rack="r0")
    harness.run()  # the first rack is the fullest one
    harness.conditions["0-1"] = condition.WorkerCondition(is_suspect=True)
    harness.submit("urgent", 2, 4, gang=True, same_rack=same_rack)
    assert "0-1" not in placed_on(harness.run())


def test_a_retry_uses_the_worker_that_failed_it_if_there_is_no_other():
    harness = planner_test.Harness(size=1)
    harness.submit("batch", 1, 8)
    harness.end(harness.run().placements, FAILED)
    assert len(harness.run().placements) == 1


def test_a_new_leader_knows_the_workers_on_which_a_task_has_failed():
    """Guards against retries at the same worker after a change of the leader."""
    harness = planner_test.Harness(size=2)
    harness.submit("batch", 1, 8)
    first = harness.run()
    harness.end(first.placements, FAILED)
    harness.state.restore(harness.state.snapshot())
    assert placed_on(harness.run()).isdisjoint(placed_on(first))
