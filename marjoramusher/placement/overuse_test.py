"""Checks that overuse harms no other job, and that estimates stay bounded."""

import random

import pytest

from marjoramusher.core import job, resource
from marjoramusher.placement import decision, estimate, gang, placer_test

R = resource.Resources
DECLARED = R(1, 8, 8_000)


def start_overusing_job(is_neighbour_charged):
    placer = gang.make_placer(random.Random(1), "d")
    half = resource.GangShape(1, R(4, 48, 8_000))
    if is_neighbour_charged:
        placer.configure(placer_test.guaranteed(1, half), 0.0)
    placer.worker_up(placer_test.worker("w0"), 0.0)
    placer_test.start(placer, placer_test.queued("n", half))
    _, running = placer_test.start(
        placer, placer_test.queued("o", resource.GangShape(1, DECLARED), "b")
    )
    return placer, running


CASES = {
    # name: (usage, whether the neighbour is guaranteed, seconds until the stop)
    "within tolerance": (R(1, 8, 8_500), True, None),
    "room is left": (R(1, 14, 8_000), True, None),
    "beside a borrower": (R(1, 30, 8_000), False, 10.0),
    "beside a guarantee": (R(1, 30, 8_000), True, 2.0),
    "memory": (R(1, 8, 300_000), True, 2.0),
}


@pytest.mark.parametrize("case", CASES)
def test_overuse_is_throttled_first_and_then_stopped(case):
    usage, is_neighbour_charged, stops_after_s = CASES[case]
    placer, running = start_overusing_job(is_neighbour_charged)
    (task,) = running.allocation.tasks
    placer.task_usage_reported("o", task.task_id, usage, 1.0)
    first = placer.plan(1.0)
    if stops_after_s is None:
        assert not first
        assert not placer.plan(60.0)
        return
    assert first == [decision.Throttle("o", task.task_id, "w0")]
    assert not placer.plan(1.0 + stops_after_s - 0.1)
    decisions = placer.plan(1.0 + stops_after_s)
    assert decisions == [decision.Stop("o", decision.StopReason.OVERUSE)]


def test_throttled_task_that_obeys_is_not_stopped():
    placer, running = start_overusing_job(True)
    (task,) = running.allocation.tasks
    placer.task_usage_reported("o", task.task_id, R(1, 30, 8_000), 1.0)
    placer.plan(1.0)
    placer.task_usage_reported("o", task.task_id, DECLARED, 2.0)
    assert not placer.plan(60.0)


def test_stopped_job_returns_with_what_it_really_uses():
    placer, running = start_overusing_job(False)
    (task,) = running.allocation.tasks
    placer.task_usage_reported("o", task.task_id, R(1, 30, 8_000), 1.0)
    placer.plan(1.0)
    placer.plan(11.0)
    placer.job_changed(placer_test.after(running, job.JobState.STOPPING, ["w0"]), 11.0)
    placer.job_changed(placer_test.after(running, job.JobState.QUEUED, epoch=2), 12.0)
    assert not placer_test.places(placer.plan(12.0))
    placer.worker_up(placer_test.worker("w1"), 13.0)
    assert placer_test.places(placer.plan(13.0))["o"].workers == ("w1",)


def test_job_that_overuses_a_whole_worker_alone_is_left_to_end():
    # Regression: such a job was stopped after each start, forever.
    placer = gang.make_placer(random.Random(1), "d")
    placer.worker_up(placer_test.worker("w0"), 0.0)
    _, running = placer_test.start(placer, placer_test.queued("o"))
    (task,) = running.allocation.tasks
    placer.task_usage_reported("o", task.task_id, R(8, 96, 8_000), 1.0)
    assert not placer.plan(1.0)
    assert not placer.plan(60.0)


def test_estimates_follow_runs_and_are_bounded():
    estimates = estimate.RunTimeEstimates()
    assert estimates.quantile("a", "c", 10.0, 0.9) == 10.0
    for _ in range(estimate.MIN_RUNS):
        estimates.record_run("a", "c", 10.0, 1e9)
    assert estimates.quantile("a", "c", 10.0, 0.9) == 10.0 * estimate.MAX_FACTOR
    # Another contract of the account starts with the estimate of the account.
    assert estimates.quantile("a", "other", 10.0, 0.5) == 10.0 * estimate.MAX_FACTOR
    assert estimates.quantile("b", "c", 10.0, 0.5) == 10.0
    for _ in range(estimate.WINDOW_RUNS):
        estimates.record_run("a", "c", 10.0, 5.0)
    assert estimates.quantile("a", "c", 10.0, 0.9) == 5.0
