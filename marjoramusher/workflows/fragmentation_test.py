"""Guards against a measure that counts room as lost which a waiting step could use."""

import pytest

from marjoramusher.workflows import fragmentation, planner_test


@pytest.mark.parametrize(
    "fields, share",
    [
        ({"count": 1, "accelerators": 1}, 0.0),
        ({"count": 1, "accelerators": 4}, 4 / 16),
        ({"count": 1, "accelerators": 8}, 1.0),
        ({"count": 1, "accelerators": 0}, 0.0),
        ({"count": 2, "accelerators": 4, "gang": True}, 4 / 16),
        ({"count": 3, "accelerators": 4, "gang": True, "same_rack": True}, 1.0),
        ({"count": 1, "accelerators": 1, "label": "r0"}, 10 / 16),
        ({"count": 4, "accelerators": 1, "max_per_worker": 1}, 13 / 16),
        ({"count": 1, "accelerators": 1, "cores": 65_000}, 1.0),
    ],
)
def test_free_accelerators_count_unless_a_waiting_step_could_use_them(fields, share):
    harness = planner_test.Harness(racks=3, size=1)
    for rack, accelerators in (("r0", 2), ("r1", 3), ("r2", 3)):
        harness.submit("batch", 1, accelerators, rack=rack)
    harness.run()
    name = harness.submit("batch", **fields)
    assert fragmentation.unusable_share(harness.state, [(name, 0, 0)]) == pytest.approx(
        share
    )


def test_nothing_is_lost_without_waiting_steps_or_on_draining_workers():
    harness = planner_test.Harness(size=1)
    assert fragmentation.unusable_share(harness.state, []) == 0.0
    harness.submit("batch", 1, 4)
    harness.run()
    name = harness.submit("batch", 1, 8)
    key = (name, 0, 0)
    assert fragmentation.unusable_share(harness.state, [key]) == 1.0
    assert fragmentation.unusable_share(harness.state, [("gone", 0, 0)]) == 0.0
    planner_test.shrink(harness, "0-0", 4)
    assert fragmentation.unusable_share(harness.state, [key]) == 0.0
