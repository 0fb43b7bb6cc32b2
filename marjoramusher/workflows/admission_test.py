"""Guards against rejections of work that could complete, and of work to be kept.

Load: a fleet of 2 workers with 8 accelerators each that is full, with a backlog in
front of the submission; each test names it.
"""

import msgspec
import pytest

from marjoramusher.workflows import admission, workflow
from marjoramusher.workflows.planner_test import CATALOG, Harness

URGENT, LONG, BATCH = CATALOG.queues[:3]


def submission(queue=URGENT, account="a", accelerators=8, workflow_id="new", **fields):
    step = workflow.Step(
        2, workflow.Resources(1000, 10, accelerators), 2000, gang=True, **fields
    )
    return workflow.Workflow(workflow_id, queue.name, account, "", (step,), 0)


def backlogged(queue="urgent", count=20, account="a", size=2):
    """Return a full fleet with workflows that need 2 s of it each."""
    harness = Harness(size=size)
    for _ in range(count):
        harness.submit(queue, 2, 8, estimate_ms=2000, account=account, gang=True)
    harness.run()
    return harness


def decide(harness, submitted, queue=URGENT, now_ms=0.0):
    return admission.Admission(harness.state).rejection(submitted, queue, now_ms)


def test_work_that_can_not_complete_in_time_is_rejected():
    """Load: 40 s of urgent work; the value of the new one ends after 10.8 s."""
    rejection = decide(backlogged(), submission())
    assert rejection.value_s == pytest.approx(10.8)
    assert rejection.ahead_s + rejection.path_s > rejection.value_s
    assert 1 <= rejection.retry_after_s <= 60


def test_less_urgent_work_counts_the_more_urgent_backlog_and_not_the_reverse():
    """Load: 80 s of work of one priority, and a submission of another."""
    late = submission(LONG)  # its value ends after 22.5 s
    assert decide(backlogged("urgent", 40), late, LONG) is not None
    assert decide(backlogged("batch", 40), late, LONG) is None


@pytest.mark.parametrize(
    "change",
    [
        {"workflow_id": "w1"},
        {"repetitions": 1, "first_due_ms": 1, "interval_ms": 1},
        {"steps": (workflow.Step(1, long_running=True),)},
        {
            "account": "b",
            "steps": (workflow.Step(1, workflow.Resources(1, 1, 4), 2000),),
        },
    ],
    ids=["known", "repeated", "long-running", "guaranteed"],
)
def test_some_work_is_never_rejected(change):
    """Load: 40 s of urgent work of account a; b has nothing and a guarantee of 4."""
    submitted = msgspec.structs.replace(submission(), **change)
    assert decide(backlogged(), submitted) is None


def test_small_work_is_not_rejected_for_the_backlog_of_large_work():
    """Load: 40 s of gangs of the whole fleet; the new task needs a 16th of it."""
    step = workflow.Step(1, workflow.Resources(1000, 10, 1), 2000)
    small = msgspec.structs.replace(submission(), steps=(step,))
    assert decide(backlogged(), small) is None


def half_idle():
    """Return a fleet with room that no waiting gang can use, as one task failed."""
    harness = backlogged()
    placements = list(harness.state.placements_on("0-1").values())
    harness.end(placements, workflow.RunOutcome.FAILED)
    return harness


@pytest.mark.parametrize(
    "make, now_ms",
    [(half_idle, 0.0), (lambda: backlogged(size=0), 0.0), (backlogged, 20_000.0)],
    ids=["idle-capacity", "no-worker-known", "backlog-past-its-value"],
)
def test_nothing_is_rejected_without_clear_evidence(make, now_ms):
    """Load: 40 s of urgent work, in each case with a reason not to count it."""
    assert decide(make(), submission(), now_ms=now_ms) is None


def test_accounts_that_hold_less_are_accepted_and_return_first():
    """Load: a burst of one account; another one submits its first workflow."""
    harness = backlogged()
    assert decide(harness, submission(account="b")) is None
    for _ in range(5):
        harness.submit("urgent", 2, 8, estimate_ms=2000, account="b", gang=True)
    first = decide(harness, submission(account="b"))
    second = decide(harness, submission(account="a"))
    assert first.retry_after_s < second.retry_after_s


def test_a_shrunken_fleet_rejects_earlier():
    """Load: 12 s of work for two workers, one of which is reclaimed."""
    harness = backlogged(count=6)
    assert decide(harness, submission()) is None
    worker = harness.state.workers["0-1"].worker
    harness.state.workers["0-1"].worker = msgspec.structs.replace(worker, draining=True)
    assert decide(harness, submission(accelerators=4)) is not None
