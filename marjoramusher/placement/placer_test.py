"""Checks for both placers that jobs hold, release and never share resources."""

import random

import pytest

from marjoramusher.core import announcement, job, record, resource
from marjoramusher.placement import baseline, decision, gang

R = resource.Resources
MAKERS = {
    "gang": lambda: gang.make_placer(random.Random(1), "d"),
    "baseline": lambda: baseline.make_placer("d"),
}


def worker(name, rack="r0", accelerators=8, domain="d", incarnation=1):
    capacity = R(accelerators, 64, 256_000)
    return announcement.WorkerAnnouncement(
        name, "", domain, rack, incarnation, capacity
    )


def shape(tasks=1, accelerators=8, adjacency=resource.Adjacency.RACK, cores=1):
    return resource.GangShape(tasks, R(accelerators, cores, 1000), adjacency)


def queued(name, gang_shape=None, account="a", **fields):
    spec_fields = {
        key: fields.pop(key)
        for key in ("job_class", "run_s", "repeatable", "contract")
        if key in fields
    }
    spec = job.JobSpec(
        account,
        spec_fields.pop("contract", "c"),
        gang_shape or shape(),
        **spec_fields,
    )
    return job.Job(name, spec, job.JobState.QUEUED, 0.0, **fields)


def after(previous, state, workers=(), guarantee=None, **fields):
    allocation = None
    if workers:
        tasks = tuple(
            job.TaskPlacement(f"{previous.job_id}-{n}", w)
            for n, w in enumerate(workers)
        )
        allocation = job.Allocation(previous.epoch + 1, tasks, guarantee)
    values = {field: getattr(previous, field) for field in previous.__struct_fields__}
    values |= {"state": state, "allocation": allocation, **fields}
    return job.Job(**values)


def places(decisions):
    return {d.job_id: d for d in decisions if isinstance(d, decision.Place)}


def of_kind(decisions, kind):
    return [d for d in decisions if isinstance(d, kind)]


@pytest.fixture(params=MAKERS)
def placer(request):
    return MAKERS[request.param]()


def test_gang_is_placed_whole_in_one_rack(placer):
    for name, rack in (("w0", "r0"), ("w1", "r1"), ("w2", "r1")):
        placer.worker_up(worker(name, rack), 0.0)
    placer.job_changed(queued("j", shape(2)), 0.0)
    assert set(places(placer.plan(0.0))["j"].workers) == {"w1", "w2"}


def test_placed_resources_are_not_given_twice(placer):
    placer.worker_up(worker("w0"), 0.0)
    for name in "jk":
        placer.job_changed(queued(name), 0.0)
    assert list(places(placer.plan(0.0))) == ["j"]
    assert not places(placer.plan(1.0))


STATES_THAT_HOLD = [job.JobState.ALLOCATED, job.JobState.RUNNING, job.JobState.STOPPING]


@pytest.mark.parametrize("state", STATES_THAT_HOLD)
def test_new_leader_counts_what_running_jobs_hold(placer, state):
    # The job's state may arrive before the announcement of its worker.
    running = after(queued("j"), state, ["w0"])
    placer.job_changed(running, 0.0)
    placer.worker_up(worker("w0"), 0.0)
    placer.job_changed(queued("k"), 0.0)
    assert not places(placer.plan(0.0))
    placer.job_changed(after(running, job.JobState.DONE), 1.0)
    assert "k" in places(placer.plan(1.0))


STATES_THAT_RELEASE = [*sorted(job.FINAL_STATES, key=str), job.JobState.QUEUED]


@pytest.mark.parametrize("state", STATES_THAT_RELEASE, ids=str)
def test_resources_come_back_once(placer, state):
    placer.worker_up(worker("w0"), 0.0)
    first = queued("j")
    placer.job_changed(first, 0.0)
    placer.plan(0.0)
    for _ in range(2):
        placer.job_changed(after(first, state, epoch=1), 1.0)
    for name in "kl":
        placer.job_changed(queued(name), 1.0)
    assert len(places(placer.plan(1.0))) == 1


def test_cancelled_wave_is_never_placed(placer):
    queued_jobs = [queued(f"j{n}") for n in range(50)]
    for submitted in queued_jobs:
        placer.job_changed(submitted, 0.0)
    for submitted in queued_jobs:
        placer.job_changed(after(submitted, job.JobState.CANCELLED), 0.0)
    placer.worker_up(worker("w0"), 0.0)
    assert not placer.plan(0.0)


EXCLUSIONS = {
    "drain": {"drains": {"w0": record.Drain("w0", "d")}},
    "quarantine": {"quarantines": {"w0": record.Quarantine("w0", "d")}},
}


@pytest.mark.parametrize("kind", EXCLUSIONS)
def test_operators_keep_new_work_off_a_worker(placer, kind):
    placer.worker_up(worker("w0"), 0.0)
    placer.configure(record.Configuration(1, **EXCLUSIONS[kind]), 0.0)
    placer.job_changed(queued("j"), 0.0)
    assert not placer.plan(0.0)
    placer.configure(record.Configuration(2), 1.0)
    assert "j" in places(placer.plan(1.0))


def test_workers_of_another_failure_domain_are_ignored(placer):
    placer.worker_up(worker("w0", domain="e"), 0.0)
    placer.job_changed(queued("j"), 0.0)
    assert not places(placer.plan(0.0))


def test_lost_worker_stops_its_gangs_and_gets_no_more(placer):
    for name in ("w0", "w1"):
        placer.worker_up(worker(name), 0.0)
    first = queued("j", shape(2))
    placer.job_changed(first, 0.0)
    placer.plan(0.0)
    placer.worker_down("w1", 1.0)
    (stop,) = of_kind(placer.plan(1.0), decision.Stop)
    assert (stop.job_id, stop.reason) == ("j", decision.StopReason.WORKER_LOST)
    placer.job_changed(after(first, job.JobState.QUEUED, epoch=1), 2.0)
    assert not places(placer.plan(2.0))
    placer.worker_up(worker("w1", incarnation=2), 3.0)
    assert "j" in places(placer.plan(4.0))


def guaranteed(gangs=1, gang_shape=None, account="a"):
    return record.Configuration(
        1,
        guarantees={
            "g": record.GuaranteedShape("g", account, "d", gangs, gang_shape or shape())
        },
    )


def start(placer, submitted, now=0.0):
    """Submit a job and, if it is placed, report it as running."""
    placer.job_changed(submitted, now)
    decisions = placer.plan(now)
    place = places(decisions).get(submitted.job_id)
    if place is None:
        return decisions, None
    running = after(submitted, job.JobState.RUNNING, place.workers, place.guarantee)
    placer.job_changed(running, now)
    return decisions, running


def test_claimant_waits_for_a_borrower_that_is_already_stopping():
    # A pending claim without victims of its own must not be placed a second time.
    placer = MAKERS["gang"]()
    placer.configure(guaranteed(2, shape(1, 4)), 0.0)
    placer.worker_up(worker("w0"), 0.0)
    _, borrower = start(placer, queued("b", account="b"))
    first, _ = start(placer, queued("j", shape(1, 4)), 1.0)
    assert [s.job_id for s in of_kind(first, decision.Stop)] == ["b"]
    placer.job_changed(after(borrower, job.JobState.STOPPING, ["w0"]), 1.0)
    second, _ = start(placer, queued("k", shape(1, 4)), 1.1)
    assert not second
    placer.job_changed(after(borrower, job.JobState.QUEUED, epoch=1), 1.5)
    assert set(places(placer.plan(1.5))) == {"j", "k"}
    assert not places(placer.plan(1.6))
