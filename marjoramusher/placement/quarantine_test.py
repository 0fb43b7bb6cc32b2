"""Checks that faulty jobs and workers are distinguished in time and within the cap."""

import random

import pytest

from marjoramusher.core import errors, job, resource
from marjoramusher.placement import decision, gang, placer_test, quarantine

CLASSES = (resource.JobClass.NORMAL, resource.JobClass.BEST_EFFORT)
CPU = placer_test.shape(1, 1)


class SimulatedDomain:
    """A failure domain in which the given jobs and workers fail after each start."""

    def __init__(self, workers, bad_workers=(), bad_jobs=(), fails_after_s=1.0):
        self.placer = gang.make_placer(random.Random(1), "d")
        for n in range(workers):
            self.placer.worker_up(placer_test.worker(f"w{n}", f"r{n % 3}"), 0.0)
        self.bad_workers = set(bad_workers)
        self.bad_jobs = set(bad_jobs)
        self.fails_after_s = fails_after_s
        self.jobs = {}
        self.fails_at = {}
        self.decisions = []
        self.now = 0.0

    def submit(self, name, account="a", **fields):
        self.jobs[name] = placer_test.queued(name, CPU, account, **fields)
        self.placer.job_changed(self.jobs[name], self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            for name, (at, worker) in list(self.fails_at.items()):
                if at <= self.now:
                    del self.fails_at[name]
                    self.fail(name, worker)
            for item in self.placer.plan(self.now):
                self.apply_decision(item)

    def fail(self, name, worker):
        self.placer.task_failed(name, worker, self.now)
        previous = self.jobs[name]
        self.jobs[name] = placer_test.after(
            previous,
            job.JobState.QUEUED,
            epoch=previous.epoch + 1,
            failed_on=(*previous.failed_on, worker),
        )
        self.placer.job_changed(self.jobs[name], self.now)

    def apply_decision(self, item):
        self.decisions.append((self.now, item))
        if isinstance(item, decision.Place):
            running = placer_test.after(
                self.jobs[item.job_id], job.JobState.RUNNING, item.workers
            )
            self.placer.job_changed(running, self.now)
            (worker,) = item.workers
            if worker in self.bad_workers or item.job_id in self.bad_jobs:
                at = self.now + self.fails_after_s
                self.fails_at[item.job_id] = (at, worker)
        elif isinstance(item, decision.Reject):
            state = job.JobState.FAILED
            self.placer.job_changed(
                placer_test.after(self.jobs[item.job_id], state), self.now
            )

    def decisions_of(self, kind):
        return [item for _, item in self.decisions if isinstance(item, kind)]


def run_with_bad_workers(bad):
    domain = SimulatedDomain(12, bad_workers=bad)
    # Enough jobs to reach every worker, most of which fit on the healthy ones. Best
    # effort jobs also use the worker that is reserved for urgent jobs.
    for n in range(96):
        domain.submit(f"j{n}", account=f"a{n % 3}", job_class=CLASSES[n % 2])
    domain.run(30.0)
    return domain


@pytest.mark.parametrize("bad", [["w0"], ["w5"], ["w1", "w2", "w3"]], ids=str)
def test_bad_workers_are_quarantined_within_30_s(bad):
    domain = run_with_bad_workers(bad)
    assert {q.worker for q in domain.decisions_of(decision.QuarantineWorker)} == set(
        bad
    )
    assert not domain.decisions_of(decision.Reject)


@pytest.mark.parametrize("fails_after_s", [0.5, 2.0, 6.0])
def test_bad_jobs_are_refused_and_no_worker_is_blamed(fails_after_s):
    bad = [f"bad{n}" for n in range(4)]
    domain = SimulatedDomain(12, bad_jobs=bad, fails_after_s=fails_after_s)
    for n in range(30):
        domain.submit(f"j{n}", account=f"a{n % 3}")
    domain.run(5.0)
    for name in bad:
        domain.submit(name)
    domain.run(30.0)
    rejections = domain.decisions_of(decision.Reject)
    assert {r.job_id for r in rejections} == set(bad)
    assert {r.error.code for r in rejections} == {errors.ErrorCode.JOB_INFEASIBLE}
    # The job was started, so the rejection must not claim that it did not run.
    assert {r.error.outcome for r in rejections} == {errors.Outcome.UNKNOWN}
    assert not domain.decisions_of(decision.QuarantineWorker)


def test_bad_jobs_alone_never_empty_the_racks():
    bad = [f"bad{n}" for n in range(20)]
    domain = SimulatedDomain(12, bad_jobs=bad)
    for name in bad:
        domain.submit(name)
    domain.run(120.0)
    assert not domain.decisions_of(decision.QuarantineWorker)
    assert {r.job_id for r in domain.decisions_of(decision.Reject)} == set(bad)


def test_quarantine_stays_below_its_cap():
    domain = run_with_bad_workers([f"w{n}" for n in range(8)])
    max_quarantined = int(12 * quarantine.MAX_QUARANTINED_SHARE)
    assert len(domain.decisions_of(decision.QuarantineWorker)) <= max_quarantined


def test_probation_ends_in_release_or_in_a_longer_quarantine():
    domain = run_with_bad_workers(["w0"])
    domain.run(60.0)
    assert [r.worker for r in domain.decisions_of(decision.ReleaseWorker)] == ["w0"]
    for n in range(40):
        domain.submit(f"k{n}", job_class=CLASSES[n % 2])
    domain.run(20.0)
    reasons = [q.reason for q in domain.decisions_of(decision.QuarantineWorker)]
    assert [reason.split()[-2] for reason in reasons] == ["60", "120"]
    domain.bad_workers.clear()
    domain.run(300.0)
    assert len(domain.decisions_of(decision.ReleaseWorker)) == 2
    assert len(domain.decisions_of(decision.QuarantineWorker)) == 2


def test_new_leader_keeps_an_earlier_quarantine():
    placer = gang.make_placer(random.Random(1), "d")
    placer.worker_quarantined("w0", 0.0)
    placer.worker_up(placer_test.worker("w0"), 0.0)
    placer.job_changed(placer_test.queued("j"), 0.0)
    assert not placer.plan(1.0)
    decisions = placer.plan(70.0)
    assert placer_test.of_kind(decisions, decision.ReleaseWorker)
    assert "j" in placer_test.places(decisions)


def test_job_too_large_for_any_worker_is_refused_as_not_run():
    domain = SimulatedDomain(2)
    huge = placer_test.shape(1, 9)
    domain.jobs["j"] = placer_test.queued("j", huge)
    domain.placer.job_changed(domain.jobs["j"], 0.0)
    domain.run(29.0)
    assert not domain.decisions_of(decision.Reject)
    domain.run(5.0)
    (rejection,) = domain.decisions_of(decision.Reject)
    assert rejection.error.outcome is errors.Outcome.NOT_RUN
