"""Guards against stops that gain nothing, and against urgent work that waits too long.

Load: small fleets full of less urgent runs of known age and remaining time, and one
urgent workflow. Accounts have no guarantee unless the test names one.
"""

import pytest

from marjoramusher.workflows import catalog, command, condition, planner, workflow
from marjoramusher.workflows.planner_test import CATALOG, Harness


def make_harness(size=1, guaranteed=0):
    harness = Harness(size=size)
    accounts = (catalog.Account("a", ("k",), guaranteed),)
    document = catalog.Catalog(2, CATALOG.queues, CATALOG.services, accounts)
    harness.apply(command.ReplaceCatalog(0, document, b""))
    return harness


def fill(harness, count, accelerators, queue="batch", **fields):
    harness.submit(queue, count, accelerators, **fields)
    return harness.run().placements


def set_times(harness, ages_s, remaining_s):
    """Set age and remaining time of runs, by workflow id."""
    for name in harness.conditions:
        keys = list(harness.state.placements_on(name))
        harness.conditions[name] = condition.WorkerCondition(
            ages_s={key: ages_s.get(key.workflow_id, 1.0) for key in keys},
            remaining_s={
                key: remaining_s[key.workflow_id]
                for key in keys
                if key.workflow_id in remaining_s
            },
        )


def victims(plan):
    return {placement.task.workflow_id for placement, _ in plan.preemptions}


# The urgent objective is 1.5 * 4 s + 0.6 s, so a task of 4 s has 2.6 s of slack.
@pytest.mark.parametrize(
    "remaining_s, guaranteed, is_stopped",
    [(0.9, 0, False), (2.5, 0, True), (None, 0, True), (0.9, 8, True)],
)
def test_runs_that_end_soon_enough_are_not_stopped(remaining_s, guaranteed, is_stopped):
    """Guards against lost work beside room that comes free in time by itself."""
    harness = make_harness(guaranteed=guaranteed)
    fill(harness, 1, 8, estimate_ms=5000)
    set_times(harness, {}, {"w1": remaining_s} if remaining_s else {})
    harness.submit("urgent", 1, 8, estimate_ms=4000)
    plan = harness.plan()
    assert bool(plan.preemptions) == is_stopped
    expected = (
        planner.WaitReason.PREEMPTING if is_stopped else planner.WaitReason.ENDING
    )
    assert plan.wait_reasons[("w2", 0, 0)] is expected
    assert plan.awaiting == (frozenset() if is_stopped else {("w2", 0, 0)})


def test_late_urgent_work_does_not_wait_for_others_to_end():
    """Guards against a wait that makes late work later."""
    harness = make_harness()
    fill(harness, 1, 8, estimate_ms=5000)
    set_times(harness, {}, {"w1": 0.5})
    harness.submit("urgent", 1, 8, estimate_ms=4000)
    assert victims(harness.plan(now_ms=7000.0)) == {"w1"}


def test_one_end_makes_room_for_one_step_only():
    """Guards against two urgent steps that both count on the same room."""
    harness = make_harness(size=2)
    fill(harness, 1, 8, estimate_ms=5000)
    fill(harness, 1, 8, estimate_ms=5000)
    set_times(harness, {}, {"w1": 0.9})
    harness.submit("urgent", 1, 8, estimate_ms=4000)
    harness.submit("urgent", 1, 8, estimate_ms=4000)
    plan = harness.plan()
    assert victims(plan) == {"w2"}
    assert len(plan.awaiting) == 1


def test_a_gang_stops_only_what_does_not_end_in_time():
    """Guards against a gang that stops runs on workers that empty by themselves."""
    harness = make_harness(size=2)
    fill(harness, 1, 8, estimate_ms=5000)
    fill(harness, 1, 8, estimate_ms=5000)
    set_times(harness, {}, {"w1": 0.9, "w2": 4.0})
    harness.submit("urgent", 2, 8, estimate_ms=4000, gang=True)
    assert victims(harness.plan()) == {"w2"}


def test_cheap_runs_are_not_stopped_beside_a_larger_one_that_suffices():
    """Guards against a stop that frees nothing the urgent task needs."""
    harness = make_harness(guaranteed=8)
    fill(harness, 1, 2)
    fill(harness, 1, 6)
    set_times(harness, {"w1": 0.1, "w2": 5.0}, {})
    harness.submit("urgent", 1, 6)
    assert victims(harness.plan()) == {"w2"}


def test_a_gang_on_one_worker_costs_its_work_once():
    """Guards against a gang that counts once for each member on the worker."""
    harness = make_harness(guaranteed=8)
    fill(harness, 4, 1, queue="long", gang=True, estimate_ms=9000)  # loses 20 s
    fill(harness, 1, 4, estimate_ms=9000)  # loses 48 s
    set_times(harness, {"w1": 5.0, "w2": 12.0}, {})
    harness.submit("urgent", 1, 4, estimate_ms=4000)
    assert victims(harness.plan()) == {"w1"}


def test_runs_without_a_value_are_stopped_first_and_ending_ones_last():
    """Guards against lost value where other runs could have been stopped."""
    harness = make_harness(size=3, guaranteed=24)
    for _ in range(3):
        fill(harness, 1, 8, estimate_ms=10_000)
    # Submitted at 0 with an objective of 33 s, so the value of the first ends at 99 s.
    late = harness.state.entries["w1"].workflow
    harness.state.entries["w1"].workflow = workflow.Workflow(
        "w1", late.queue, "a", "", late.steps, -70_000
    )
    set_times(harness, {"w1": 9.0, "w2": 2.0, "w3": 1.5}, {"w3": 0.4})
    ordered = []
    for count in (1, 2, 3):
        harness.submit("urgent", count, 8, estimate_ms=1000)
        plan = harness.plan(now_ms=30_000.0)
        ordered.append(victims(plan))
        name = f"w{harness.number}"
        harness.apply(command.Cancel(0, name, "urgent"))
    assert ordered == [{"w1"}, {"w1", "w2"}, {"w1", "w2", "w3"}]
