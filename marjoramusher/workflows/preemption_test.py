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


# Each run or gang that is in progress: tasks, accelerators, queue, age, remaining time.
@pytest.mark.parametrize(
    "running, urgent, guaranteed, stopped",
    [
        # Two steps that could both count on the room of the first run.
        ([(1, 8, "batch", 1, 0.9), (1, 8, "batch", 1, None)], [(1, 8)] * 2, 0, {"w2"}),
        # A gang that needs two workers, one of which empties by itself.
        ([(1, 8, "batch", 1, 0.9), (1, 8, "batch", 1, 4.0)], [(2, 8)], 0, {"w2"}),
        # A cheap run that is superfluous beside a larger one that suffices.
        ([(1, 2, "batch", 0.1, None), (1, 6, "batch", 5, None)], [(1, 6)], 8, {"w2"}),
        # A gang on one worker, which costs its work once: 180 core-seconds or 396.
        ([(4, 1, "long", 5, None), (1, 4, "batch", 12, None)], [(1, 4)], 8, {"w1"}),
    ],
    ids=["one-room", "partly-awaited", "superfluous", "gang-once"],
)
def test_only_what_is_needed_is_stopped(running, urgent, guaranteed, stopped):
    """Guards against stops that free no room that the urgent tasks need."""
    harness = make_harness(sum(run[0] * run[1] for run in running) // 8, guaranteed)
    for count, accelerators, queue, _, _ in running:
        gang = queue == "long"
        fill(harness, count, accelerators, queue, gang=gang, estimate_ms=9000)
    names = [f"w{number}" for number in range(1, len(running) + 1)]
    remaining_s = {name: run[4] for name, run in zip(names, running, strict=True)}
    set_times(
        harness,
        {name: run[3] for name, run in zip(names, running, strict=True)},
        {name: time_s for name, time_s in remaining_s.items() if time_s},
    )
    for count, accelerators in urgent:
        harness.submit("urgent", count, accelerators, estimate_ms=4000, gang=count > 1)
    plan = harness.plan()
    assert victims(plan) == stopped
    assert len(plan.awaiting) == any(time_s == 0.9 for time_s in remaining_s.values())


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
    for count, stopped in ((1, {"w1"}), (2, {"w1", "w2"}), (3, {"w1", "w2", "w3"})):
        name = harness.submit("urgent", count, 8, estimate_ms=1000)
        assert victims(harness.plan(now_ms=30_000.0)) == stopped
        harness.apply(command.Cancel(0, name, "urgent"))
