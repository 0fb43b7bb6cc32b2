"""Guards against overload that delays the wrong work.

Load: small fleets of 8 accelerators each worker; each test names what waits there.
"""

import msgspec
import pytest

from marjoramusher.workflows import backlog, condition, ordering, planner
from marjoramusher.workflows.planner_test import Harness


def order(harness, now_ms=0.0):
    """Return the workflow ids of the pending steps in their order."""
    built = planner._PlanBuilder(
        planner.PlanInput(harness.state, harness.conditions, now_ms)
    )
    pending = backlog.pending_steps(harness.state, now_ms)
    steps = ordering.ordered(
        harness.state, pending, built.candidates, now_ms, built.is_guaranteed
    )
    return [step.entry.workflow.workflow_id for step in steps]


def submit(harness, queue, submitted_ms, *arguments, **fields):
    """Submit a workflow at a time; the harness submits at 0."""
    name = harness.submit(queue, *arguments, **fields)
    entry = harness.state.entries[name]
    entry.workflow = msgspec.structs.replace(entry.workflow, submitted_ms=submitted_ms)
    return name


def test_without_overload_the_deadline_decides():
    """Load: four batch workflows that fit the fleet, one estimate 90 percent too long.

    They become due at 9, 9.6, 23 and 9.3 s.
    """
    harness = Harness(size=1)
    names = [
        submit(harness, "batch", at_ms, count, 1, estimate_ms=estimate_ms)
        for at_ms, count, estimate_ms in (
            (0, 4, 2000),
            (600, 2, 2000),
            (300, 6, 6600),
            (300, 2, 2000),
        )
    ]
    assert order(harness, 1000.0) == [names[index] for index in (0, 3, 1, 2)]


def test_work_that_can_complete_in_time_comes_before_late_work():
    """Load: three urgent workflows beyond their guarantee, one late, on one worker."""
    harness = Harness(size=1)
    late = submit(harness, "urgent", -8000, 1, 8, estimate_ms=4000)  # due at -1.4 s
    early = submit(harness, "urgent", -1000, 1, 8, estimate_ms=4000)
    timely = submit(harness, "urgent", 0, 1, 8, estimate_ms=4000)
    assert order(harness) == [early, timely, late]
    # At 2 s the second can't complete within its objective any more, which is 5.6 s.
    assert order(harness, 2000.0)[0] == timely


@pytest.mark.parametrize("has_room", [True, False])
def test_work_past_its_value_gets_only_idle_room(has_room):
    """Load: urgent work past its value beside batch work, sustained overload."""
    harness = Harness(size=2)
    worthless = submit(harness, "urgent", -30_000, 3, 8, estimate_ms=2000, gang=False)
    valued = submit(harness, "batch", 0, 8, 1, estimate_ms=2000)
    assert order(harness) == [valued, worthless]
    if not has_room:
        submit(harness, "batch", 0, 8, 1, estimate_ms=2000)
    plan = harness.run()
    placed = [p.task.workflow_id for p in plan.placements]
    assert placed.count(worthless) == (1 if has_room else 0)
    assert not harness.plan().preemptions  # it stops nothing


def test_work_past_its_value_runs_once_it_is_overdue_beside_idle_room():
    """Load: one workflow past its value on an idle fleet with headroom for others."""
    harness = Harness(size=2)
    name = submit(harness, "batch", -60_000, 1, 1, estimate_ms=2000)
    first = planner.PlanInput(harness.state, harness.conditions, 0.0, headroom=16)
    assert planner.plan(first).wait_reasons == {
        (name, 0, 0): planner.WaitReason.HEADROOM
    }
    overdue = msgspec.structs.replace(first, overdue={(name, 0, 0)})
    assert len(planner.plan(overdue).placements) == 1


def test_the_burst_of_one_account_does_not_delay_others():
    """Load: 20 urgent workflows of one account, then one of another, on 2 workers."""
    harness = Harness(size=2)
    for _ in range(20):
        submit(harness, "urgent", 0, 1, 8, estimate_ms=2000)
    other = submit(harness, "urgent", 0, 1, 8, estimate_ms=2000, account="b")
    assert other in order(harness)[:2]


def test_large_gangs_are_not_held_up_by_small_steps_for_ever():
    """Load: gangs of 16 accelerators beside a steady stream of small batch steps."""
    harness = Harness(size=2)
    small = [submit(harness, "long", 0, 1, 1, estimate_ms=4000) for _ in range(54)]
    large = [
        submit(harness, "long", 0, 2, 8, estimate_ms=4000, gang=True) for _ in range(6)
    ]
    ranks = order(harness)
    assert ranks[0] in small
    assert any(name in large for name in ranks[:3])
    assert sum(name in large for name in ranks[: len(ranks) // 2]) >= 2


def test_begun_workflows_come_before_others_under_overload():
    """Load: ten batch workflows of 8 tasks, one partly placed, on one worker."""
    harness = Harness(size=1)
    begun = submit(harness, "batch", 0, 12, 1, estimate_ms=6000)
    harness.run()
    for _ in range(10):
        submit(harness, "batch", -2000, 12, 1, estimate_ms=6000)
    assert order(harness)[0] == begun


def test_unusable_workers_count_as_lost_capacity():
    """Load: work that fits four workers in time, three of which are reclaimed."""
    harness = Harness(size=4)
    large = submit(harness, "batch", 0, 60, 1, estimate_ms=4000)
    small = submit(harness, "batch", 100, 2, 1, estimate_ms=4000)
    assert order(harness) == [large, small]
    for name in ("0-1", "0-2", "0-3"):
        harness.conditions[name] = condition.WorkerCondition(is_usable=False)
    assert order(harness) == [small, large]
