"""Checks that suspects run apart, then alone, and that nobody waits for ever."""

import random

import pytest

from marjoramusher.core import crash, errors, job, resource
from marjoramusher.placement import decision, gang, isolation, placer_test

SMALL = placer_test.shape(1, 2, resource.Adjacency.NONE)


def crashes(*workers, at_s=0.0, was_alone=True):
    at_ms = int(at_s * 1000)
    return tuple(
        job.WorkerCrash(run, worker, at_ms, True, was_alone)
        for run, worker in enumerate(workers)
    )


def queue(placer, name, *workers, now=0.0, shape=SMALL, **fields):
    """Queue a job during which the given workers have crashed."""
    fields = {"crashes": crashes(*workers)} | fields
    record_ = placer_test.queued(name, shape, **fields)
    placer.job_changed(record_, now)
    return record_


def plan(placer, now):
    return {
        name: place.workers
        for name, place in placer_test.places(placer.plan(now)).items()
    }


def run(placer, record_, workers, now):
    running = placer_test.after(record_, job.JobState.RUNNING, workers)
    placer.job_changed(running, now)
    return running


@pytest.fixture
def placer():
    result = gang.make_placer(random.Random(1), "d")
    for n in range(4):
        result.worker_up(placer_test.worker(f"w{n}"), 0.0)
    return result


def test_suspects_are_kept_apart_until_they_have_survived(placer):
    """Guards against a second crash that tells as little as the first."""
    for n in range(3):
        queue(placer, f"j{n}", "w3")
    placed = plan(placer, 0.0)
    assert len({workers for workers in placed.values()}) == len(placed) == 3
    queue(placer, "late", "w3")
    queue(placer, "later", "w3")
    assert plan(placer, 5.0).keys() == {"late"}, "four workers for four suspects"
    assert plan(placer, crash.SURVIVAL_S + 2.0).keys() == {"later"}


def test_a_suspect_avoids_the_workers_that_crashed_under_it(placer):
    """Guards against putting a crash down to one worker that crashes by itself."""
    queue(placer, "j", "w0", "w1", "w2")
    assert plan(placer, 0.0) == {}  # it is the cause
    placer = gang.make_placer(random.Random(1), "d")
    for n in range(2):
        placer.worker_up(placer_test.worker(f"w{n}"), 0.0)
    queue(placer, "once", "w0")
    assert plan(placer, 0.0) == {"once": ("w1",)}
    placer.worker_down("w1", 1.0)
    queue(placer, "only here", "w0")
    assert plan(placer, 2.0) == {"only here": ("w0",)}


@pytest.mark.parametrize("is_new_leader", [False, True])
def test_after_two_crashes_a_job_runs_alone(placer, is_new_leader):
    """Guards against a third crash that hits other jobs, too."""
    others = [queue(placer, f"j{n}", crashes=()) for n in range(2)]
    for other, workers in zip(others, plan(placer, 0.0).values(), strict=True):
        run(placer, other, workers, 0.0)
    queued = queue(placer, "suspect", "w2", "w3")
    ((worker,),) = plan(placer, 1.0).values()
    assert worker not in ("w2", "w3")
    if is_new_leader:
        placer = gang.make_placer(random.Random(1), "d")
        for n in range(4):
            placer.worker_up(placer_test.worker(f"w{n}"), 0.0)
        run(placer, queued, (worker,), 1.0)
    for n in range(30):
        queue(placer, f"new{n}", crashes=())
    placed = plan(placer, 2.0)
    assert placed and (worker,) not in placed.values()
    assert (worker,) in plan(placer, 1.0 + crash.SURVIVAL_S).values()


def test_the_worker_of_a_suspect_takes_work_again_after_its_end(placer):
    """Guards against workers that stay closed."""
    queued = queue(placer, "suspect", "w2", "w3")
    (workers,) = plan(placer, 0.0).values()
    running = run(placer, queued, workers, 0.0)
    placer.job_changed(placer_test.after(running, job.JobState.DONE), 1.0)
    for n in range(16):
        queue(placer, f"new{n}", crashes=())
    assert workers in plan(placer, 1.0).values()


def test_a_suspect_shares_a_worker_in_the_end(placer):
    """Guards against a job that waits for ever since no worker is ever empty."""
    for n in range(4):
        shape = placer_test.shape(1, 6, resource.Adjacency.NONE)
        filler = queue(placer, f"filler{n}", crashes=(), shape=shape)
        run(placer, filler, (f"w{n}",), 0.0)
    queue(placer, "suspect", "w2", "w3")
    assert plan(placer, 0.0) == plan(placer, isolation.MAX_WAIT_S - 1.0) == {}
    assert plan(placer, isolation.MAX_WAIT_S + 2.0).keys() == {"suspect"}


def test_a_guarantee_does_not_bring_suspects_together(placer):
    """Guards against placing suspects side by side in a guaranteed gang."""
    shape = placer_test.shape(2, 2, resource.Adjacency.NONE)
    placer.configure(placer_test.guaranteed(2, shape), 0.0)
    queue(placer, "j0", "w3", shape=shape)
    queue(placer, "j1", "w3", shape=shape)
    placed = plan(placer, 0.0)
    assert placed.keys() == {"j0", "j1"}
    assert not set(placed["j0"]) & set(placed["j1"])


def test_a_job_waits_until_it_is_known_which_workers_have_crashed(placer, monkeypatch):
    """Guards against another start while the decisive workers are still absent."""
    monkeypatch.setattr(isolation, "MAX_WAIT_S", 0.0)
    lost = crashes("w7", "w8", "w9")
    queue(placer, "suspect", crashes=lost[:1], possible_crashes=lost[1:])
    assert not placer.plan(0.0)
    assert not placer.plan(4.0)
    queue(placer, "suspect", crashes=lost[:1], possible_crashes=lost[1:2], now=5.0)
    assert plan(placer, 5.0).keys() == {"suspect"}


def test_workers_that_stay_away_are_taken_to_have_crashed(placer):
    """Guards against a job that takes down all workers for good."""
    lost = crashes("w7", "w8", "w9")
    queue(placer, "suspect", crashes=lost[:1], possible_crashes=lost[1:])
    assert not placer.plan(0.0)
    assert not placer.plan(crash.MAX_ABSENCE_MS / 1000 - 1.0)
    (rejection,) = placer.plan(crash.MAX_ABSENCE_MS / 1000 + 2.0)
    assert isinstance(rejection, decision.Reject)
    assert rejection.error.code is errors.ErrorCode.TARGET_FAILED
