"""Guards that unused guarantees stay reclaimable, and who stops whom."""

import random

import pytest

from marjoramusher.core import job, record, resource
from marjoramusher.placement import decision, gang, placer_test

URGENT = resource.JobClass.URGENT
NORMAL = resource.JobClass.NORMAL
BEST_EFFORT = resource.JobClass.BEST_EFFORT
shape, queued, after = placer_test.shape, placer_test.queued, placer_test.after


def make(options=frozenset(), workers=2, gangs=1, gang_shape=None, racks=1):
    placer = gang.make_placer(random.Random(1), "d", options=options)
    placer.configure(placer_test.guaranteed(gangs, gang_shape), 0.0)
    for n in range(workers):
        placer.worker_up(placer_test.worker(f"w{n}", f"r{n % racks}"), 0.0)
    return placer


def submit(placer, one, now=0.0):
    return placer_test.start(placer, one, now)


def stops(made):
    return [stop.job_id for stop in placer_test.of_kind(made, decision.Stop)]


# Three borrowers of 5 that can't be stopped, on three workers of 8: in sum 9 remain for
# the gang of 8, but no worker has 8. Counts break the guarantee, cells don't.
@pytest.mark.parametrize(
    ("options", "broken"), [(frozenset(), 0), (frozenset({"count_plan"}), 1)]
)
def test_counts_break_a_guarantee_that_cells_keep(options, broken):
    placer = make(options, workers=3)
    for name in ("b0", "b1", "b2"):
        submit(placer, queued(name, shape(1, 5), "b", repeatable=False))
    placer.plan(1.0)
    assert sum(s.missing_gangs for s in placer.shortfalls(2.0)) == broken


CLAIMS = {
    # name: (borrower's fields, is the borrower stopped)
    "normal borrower": ({"job_class": NORMAL}, True),
    "urgent borrower": ({"job_class": URGENT}, True),
    "best effort borrower": ({"job_class": BEST_EFFORT}, True),
    "job that must not start twice": ({"repeatable": False}, False),
}


@pytest.mark.parametrize("case", CLAIMS)
def test_claimant_stops_borrowers_only(case):
    fields, is_stopped = CLAIMS[case]
    placer = make(workers=1)
    _, borrower = submit(placer, queued("b", account="b", **fields))
    assert (borrower is not None) is is_stopped
    made, _ = submit(placer, queued("j"), 1.0)
    assert stops(made) == (["b"] if is_stopped else [])
    if is_stopped:
        # Nothing else takes the place while the borrower stops.
        submit(placer, queued("k", shape(1, 1), "b"), 1.1)
        placer.job_changed(after(borrower, job.JobState.STOPPING, ["w0"]), 1.2)
        placer.job_changed(after(borrower, job.JobState.QUEUED, epoch=1), 2.0)
        placed = placer_test.places(placer.plan(2.0))
        assert placed["j"].guarantee == "g"
        assert set(placed) == {"j"}


def test_charged_job_is_never_stopped_for_another():
    placer = make(workers=1)
    submit(placer, queued("j"))
    for n, job_class in enumerate((URGENT, NORMAL)):
        made, running = submit(placer, queued(f"k{n}", job_class=job_class), 1.0)
        assert not made
        assert running is None


PREEMPTION = {
    # (class that runs, class that comes): is the first one stopped
    (BEST_EFFORT, URGENT): True,
    (NORMAL, URGENT): False,
    (URGENT, URGENT): False,
    (BEST_EFFORT, NORMAL): False,
    (URGENT, BEST_EFFORT): False,
}


@pytest.mark.parametrize("classes", PREEMPTION, ids=str)
def test_preemption_goes_in_one_direction_only(classes):
    running, coming = classes
    placer = make(workers=1, gangs=0, options=frozenset({"no_standby"}))
    submit(placer, queued("b", account="b", job_class=running))
    made, _ = submit(placer, queued("j", account="c", job_class=coming), 1.0)
    assert stops(made) == (["b"] if PREEMPTION[classes] else [])


def test_least_lost_work_is_stopped():
    placer = make(workers=2, gang_shape=shape(1, 8))
    for name in ("b0", "b1"):
        submit(placer, queued(name, account="b"))
    placer.task_checkpointed("b1", 99.0, 100.0)
    made, _ = submit(placer, queued("j"), 101.0)
    assert stops(made) == ["b1"]


def test_claim_moves_on_when_its_worker_is_lost():
    placer = make(workers=2)
    running = {}
    for name in ("b0", "b1"):
        _, running[name] = submit(placer, queued(name, account="b"))
    made, _ = submit(placer, queued("j"), 1.0)
    (first,) = stops(made)
    lost = running[first].allocation.tasks[0].worker
    placer.worker_down(lost, 2.0)
    second = stops(placer.plan(2.0))
    assert set(second) == {"b0", "b1"} - {first}


def test_silent_worker_gets_no_claim_and_comes_back():
    placer = make(workers=2)
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
    lost, missing = SHORTFALLS[case]
    placer = make(gangs=2)
    for worker in lost:
        placer.worker_down(worker, 1.0)
    found = placer.shortfalls(1.0)
    assert sum(s.missing_gangs for s in found) == missing
    assert all(f"{len(lost)} of 2 workers" in s.reason for s in found)
    for worker in lost:
        placer.worker_up(placer_test.worker(worker, incarnation=2), 2.0)
    assert not placer.shortfalls(2.0)


def test_new_leader_knows_charged_jobs_whatever_comes_first():
    for order in ("worker first", "job first"):
        placer = gang.make_placer(random.Random(1), "d")
        placer.configure(placer_test.guaranteed(), 0.0)
        charged = after(queued("j"), job.JobState.RUNNING, ["w0"], "g")
        events = [
            lambda p=placer: p.worker_up(placer_test.worker("w0"), 0.0),
            lambda p=placer, c=charged: p.job_changed(c, 0.0),
        ]
        for event in events if order == "worker first" else events[::-1]:
            event()
        # The guarantee is in use, so it is neither short nor claimable.
        assert not placer.shortfalls(0.0)
        made, running = submit(placer, queued("k"), 1.0)
        assert not made, order
        assert running is None


def test_withdrawn_guarantee_leaves_its_job_as_a_borrower():
    placer = make(workers=1)
    submit(placer, queued("j"))
    other = placer_test.guaranteed(account="b")
    placer.configure(other, 1.0)
    made, _ = submit(placer, queued("k", account="b"), 2.0)
    assert stops(made) == ["j"]


def test_guarantee_of_another_failure_domain_is_ignored():
    placer = gang.make_placer(random.Random(1), "d")
    foreign = record.GuaranteedShape("g", "a", "e", 1, shape())
    placer.configure(record.Configuration(1, guarantees={"g": foreign}), 0.0)
    assert not placer.shortfalls(0.0)


def test_refused_stop_is_given_up():
    placer = make(workers=1)
    _, borrower = submit(placer, queued("b", account="b"))
    submit(placer, queued("j"), 1.0)
    placer.job_changed(borrower, 1.5)
    assert stops(placer.plan(1.6)) == ["b"]


def test_small_jobs_backfill_around_a_reserved_gang():
    placer = make(workers=2, gangs=0, options=frozenset({"no_standby", "no_move"}))
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
    placer = make(workers=2, gangs=0, options=frozenset({"no_standby"}))
    for n, run_s in enumerate((1.0, 1000.0, 1000.0)):
        submit(placer, queued(f"s{n}", shape(1, 4), "b", run_s=run_s), float(n))
    placer.job_changed(after(queued("s0"), job.JobState.DONE), 5.0)
    # 4 and 4 accelerators are free on two workers; the gang needs 8 on one.
    made, _ = submit(placer, queued("big"), 6.0)
    (stop,) = placer_test.of_kind(made, decision.Stop)
    assert stop.reason is decision.StopReason.DEFRAGMENT
    assert stop.on_behalf_of == "big"


# The guaranteed pair has no room while r1 has lost a worker. A job that can't be
# stopped may use up a broken cell, but not the last whole worker of r1.
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


# The pair has no room in r0 while a job uses the single gang there. Once that job is
# over the single gang moves to r1; without another attempt the shortfall stays.
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
