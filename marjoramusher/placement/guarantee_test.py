"""Checks that unused guarantees stay reclaimable, and which jobs preempt which."""

import random

import pytest

from marjoramusher.core import job, record, resource
from marjoramusher.placement import decision, gang, placer_test

URGENT = resource.JobClass.URGENT
NORMAL = resource.JobClass.NORMAL
BEST_EFFORT = resource.JobClass.BEST_EFFORT
shape, queued, after = placer_test.shape, placer_test.queued, placer_test.after


def make_placer(options=frozenset(), workers=2, gangs=1, gang_shape=None, racks=1):
    placer = gang.make_placer(random.Random(1), "d", options=options)
    placer.configure(placer_test.guaranteed(gangs, gang_shape), 0.0)
    for n in range(workers):
        placer.worker_up(placer_test.worker(f"w{n}", f"r{n % racks}"), 0.0)
    return placer


def submit(placer, submitted, now=0.0):
    return placer_test.start(placer, submitted, now)


def stopped_jobs(decisions):
    return [stop.job_id for stop in placer_test.of_kind(decisions, decision.Stop)]


# Three non-preemptible borrowers of 5 accelerators would leave 9 in total on three
# workers of 8, but no worker with the 8 of the guaranteed gang. A check of counts
# admits all three and breaks the guarantee; the cell plan does not.
@pytest.mark.parametrize(
    ("options", "broken"), [(frozenset(), 0), (frozenset({"count_plan"}), 1)]
)
def test_counts_break_a_guarantee_that_cells_keep(options, broken):
    placer = make_placer(options, workers=3)
    for name in ("b0", "b1", "b2"):
        submit(placer, queued(name, shape(1, 5), "b", repeatable=False))
    placer.plan(1.0)
    assert sum(s.missing_gangs for s in placer.shortfalls(2.0)) == broken


CLAIMS = {
    # name: (fields of the borrower, whether it is stopped)
    "normal borrower": ({"job_class": NORMAL}, True),
    "urgent borrower": ({"job_class": URGENT}, True),
    "best effort borrower": ({"job_class": BEST_EFFORT}, True),
    "job that must not start twice": ({"repeatable": False}, False),
}


@pytest.mark.parametrize("case", CLAIMS)
def test_claimant_stops_borrowers_only(case):
    fields, is_stopped = CLAIMS[case]
    placer = make_placer(workers=1)
    _, borrower = submit(placer, queued("b", account="b", **fields))
    assert (borrower is not None) is is_stopped
    decisions, _ = submit(placer, queued("j"), 1.0)
    assert stopped_jobs(decisions) == (["b"] if is_stopped else [])
    if is_stopped:
        # No other job is placed on the claimed worker while the borrower stops.
        submit(placer, queued("k", shape(1, 1), "b"), 1.1)
        placer.job_changed(after(borrower, job.JobState.STOPPING, ["w0"]), 1.2)
        placer.job_changed(after(borrower, job.JobState.QUEUED, epoch=1), 2.0)
        placed = placer_test.places(placer.plan(2.0))
        assert placed["j"].guarantee == "g"
        assert set(placed) == {"j"}


def test_charged_job_is_never_stopped_for_another():
    placer = make_placer(workers=1)
    submit(placer, queued("j"))
    for n, job_class in enumerate((URGENT, NORMAL)):
        decisions, running = submit(placer, queued(f"k{n}", job_class=job_class), 1.0)
        assert not decisions
        assert running is None


PREEMPTION = {
    # (class of the running job, class of the new job): whether the first is stopped
    (BEST_EFFORT, URGENT): True,
    (NORMAL, URGENT): False,
    (URGENT, URGENT): False,
    (BEST_EFFORT, NORMAL): False,
    (URGENT, BEST_EFFORT): False,
}


@pytest.mark.parametrize("classes", PREEMPTION, ids=str)
def test_preemption_goes_in_one_direction_only(classes):
    running, new_class = classes
    placer = make_placer(workers=1, gangs=0, options=frozenset({"no_standby"}))
    submit(placer, queued("b", account="b", job_class=running))
    decisions, _ = submit(placer, queued("j", account="c", job_class=new_class), 1.0)
    assert stopped_jobs(decisions) == (["b"] if PREEMPTION[classes] else [])


def test_least_lost_work_is_stopped():
    placer = make_placer(workers=2, gang_shape=shape(1, 8))
    for name in ("b0", "b1"):
        submit(placer, queued(name, account="b"))
    placer.task_checkpointed("b1", 99.0, 100.0)
    decisions, _ = submit(placer, queued("j"), 101.0)
    assert stopped_jobs(decisions) == ["b1"]


def test_claim_moves_on_when_its_worker_is_lost():
    placer = make_placer(workers=2)
    running = {}
    for name in ("b0", "b1"):
        _, running[name] = submit(placer, queued(name, account="b"))
    decisions, _ = submit(placer, queued("j"), 1.0)
    (first,) = stopped_jobs(decisions)
    lost_worker = running[first].allocation.tasks[0].worker
    placer.worker_down(lost_worker, 2.0)
    second = stopped_jobs(placer.plan(2.0))
    assert set(second) == {"b0", "b1"} - {first}


def test_silent_worker_gets_no_claim_and_comes_back():
    placer = make_placer(workers=2)
    placer.worker_silent("w0", 0.5)
    _, running = submit(placer, queued("j"), 1.0)
    assert running.allocation.tasks[0].worker == "w1"
    placer.worker_up(placer_test.worker("w0"), 2.0)
    _, other = submit(placer, queued("k", account="b"), 2.0)
    assert other.allocation.tasks[0].worker == "w0"


SHORTFALLS = {
    # name: (workers lost, gangs missing)
    "none lost": ([], 0),
    "one of two gangs": (["w0"], 1),
    "all lost": (["w0", "w1"], 2),
}


@pytest.mark.parametrize("case", SHORTFALLS)
def test_lost_workers_are_named_as_shortfall(case):
    lost_workers, missing_gangs = SHORTFALLS[case]
    placer = make_placer(gangs=2)
    for worker in lost_workers:
        placer.worker_down(worker, 1.0)
    shortfalls = placer.shortfalls(1.0)
    assert sum(s.missing_gangs for s in shortfalls) == missing_gangs
    assert all(f"{len(lost_workers)} of 2 workers" in s.reason for s in shortfalls)
    for worker in lost_workers:
        placer.worker_up(placer_test.worker(worker, incarnation=2), 2.0)
    assert not placer.shortfalls(2.0)


def test_new_leader_knows_charged_jobs_whatever_comes_first():
    for event_order in ("worker first", "job first"):
        placer = gang.make_placer(random.Random(1), "d")
        placer.configure(placer_test.guaranteed(), 0.0)
        charged = after(queued("j"), job.JobState.RUNNING, ["w0"], "g")
        events = [
            lambda p=placer: p.worker_up(placer_test.worker("w0"), 0.0),
            lambda p=placer, c=charged: p.job_changed(c, 0.0),
        ]
        for event in events if event_order == "worker first" else events[::-1]:
            event()
        # The guarantee is in use, so it has no shortfall and can't be claimed.
        assert not placer.shortfalls(0.0)
        decisions, running = submit(placer, queued("k"), 1.0)
        assert not decisions, event_order
        assert running is None


def test_withdrawn_guarantee_leaves_its_job_as_a_borrower():
    placer = make_placer(workers=1)
    submit(placer, queued("j"))
    other = placer_test.guaranteed(account="b")
    placer.configure(other, 1.0)
    decisions, _ = submit(placer, queued("k", account="b"), 2.0)
    assert stopped_jobs(decisions) == ["j"]


def test_guarantee_of_another_failure_domain_is_ignored():
    placer = gang.make_placer(random.Random(1), "d")
    foreign = record.GuaranteedShape("g", "a", "e", 1, shape())
    placer.configure(record.Configuration(1, guarantees={"g": foreign}), 0.0)
    assert not placer.shortfalls(0.0)


def test_refused_stop_is_given_up():
    placer = make_placer(workers=1)
    _, borrower = submit(placer, queued("b", account="b"))
    submit(placer, queued("j"), 1.0)
    placer.job_changed(borrower, 1.5)
    assert stopped_jobs(placer.plan(1.6)) == ["b"]


def test_small_jobs_backfill_around_a_reserved_gang():
    placer = make_placer(
        workers=2, gangs=0, options=frozenset({"no_standby", "no_move"})
    )
    _, first = submit(placer, queued("a", run_s=100.0))
    big = queued("big", shape(2, 8), "b")
    submit(placer, big, 1.0)
    assert not placer.plan(10.0)
    _, long = submit(placer, queued("long", shape(1, 2), "c", run_s=1000.0), 11.0)
    _, short = submit(placer, queued("short", shape(1, 2), "c", run_s=10.0), 12.0)
    assert long is None
    assert short is not None
    placer.job_changed(after(short, job.JobState.DONE), 22.0)
    placer.job_changed(after(first, job.JobState.DONE), 90.0)
    assert "big" in placer_test.places(placer.plan(90.0))


def test_borrower_moves_when_that_is_cheaper_than_waiting():
    placer = make_placer(workers=2, gangs=0, options=frozenset({"no_standby"}))
    for n, run_s in enumerate((1.0, 1000.0, 1000.0)):
        submit(placer, queued(f"s{n}", shape(1, 4), "b", run_s=run_s), float(n))
    placer.job_changed(after(queued("s0"), job.JobState.DONE), 5.0)
    # Each of the two workers has 4 free accelerators; the gang needs 8 on one.
    decisions, _ = submit(placer, queued("big"), 6.0)
    (stop,) = placer_test.of_kind(decisions, decision.Stop)
    assert stop.reason is decision.StopReason.DEFRAGMENT
    assert stop.on_behalf_of == "big"


# The guaranteed pair has a shortfall while r1 has lost a worker. A non-preemptible job
# may use a worker that is too small for a cell, but not the last whole worker of r1.
@pytest.mark.parametrize(("half_used", "is_placed"), [(False, False), (True, True)])
def test_jobs_that_cannot_be_stopped_leave_a_shortfall_its_cells(half_used, is_placed):
    placer = gang.make_placer(random.Random(1), "d")
    placer.configure(placer_test.guaranteed(1, shape(2)), 0.0)
    for name in ("w0", "w1"):
        placer.worker_up(placer_test.worker(name, "r1"), 0.0)
    if half_used:
        placer.worker_up(placer_test.worker("w2", "r2", accelerators=7), 0.0)
    placer.plan(0.0)
    placer.worker_down("w1", 1.0)
    placer.plan(1.0)
    assert [s.missing_gangs for s in placer.shortfalls(1.0)] == [1]
    placer.job_changed(queued("b", shape(1, 4), "b", repeatable=False), 2.0)
    assert bool(placer_test.places(placer.plan(2.0))) is is_placed
    placer.worker_up(placer_test.worker("w1", "r1", incarnation=2), 3.0)
    placer.plan(3.0)
    assert not list(placer.shortfalls(3.0))


# The pair does not fit into r0 while a job uses the single gang there. Once that job
# has ended, the single gang moves to r1. Without another repacking, the shortfall
# would persist.
def test_a_gang_that_is_no_longer_used_makes_room_for_another():
    configuration = record.Configuration(
        1,
        guarantees={
            name: record.GuaranteedShape(name, name, "d", 1, shape(tasks))
            for name, tasks in (("single", 1), ("pair", 2))
        },
    )
    placer = gang.make_placer(random.Random(1), "d")
    placer.configure(configuration, 0.0)
    placer.worker_up(placer_test.worker("w0", "r0"), 0.0)
    _, running = submit(placer, queued("j", account="single"))
    placer.worker_up(placer_test.worker("w1", "r0"), 1.0)
    placer.worker_up(placer_test.worker("w2", "r1"), 1.0)
    placer.plan(1.0)
    assert [s.guarantee for s in placer.shortfalls(1.0)] == ["pair"]
    placer.job_changed(after(running, job.JobState.DONE), 2.0)
    placer.plan(2.0)
    assert not list(placer.shortfalls(2.0))
