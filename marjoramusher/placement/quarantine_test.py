"""Guards that bad jobs and bad workers are told apart, in time and within the cap."""

import random

import pytest

from marjoramusher.core import errors, job, resource
from marjoramusher.placement import decision, gang, placer_test, quarantine

CLASSES = (resource.JobClass.NORMAL, resource.JobClass.BEST_EFFORT)
CPU = placer_test.shape(1, 1)


class Site:
    """Workers on which given jobs and workers fail a second after each start."""

    def __init__(self, workers, bad_workers=(), bad_jobs=(), fails_after_s=1.0):
        self.placer = gang.make_placer(random.Random(1), "d")
        for n in range(workers):
            self.placer.worker_up(placer_test.worker(f"w{n}", f"r{n % 3}"), 0.0)
        self.bad_workers = set(bad_workers)
        self.bad_jobs = set(bad_jobs)
        self.fails_after_s = fails_after_s
        self.jobs = {}
        self.fails_at = {}
        self.decided = []
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
            for made in self.placer.plan(self.now):
                self.carry_out(made)

    def fail(self, name, worker):
        self.placer.task_failed(name, worker, self.now)
        before = self.jobs[name]
        self.jobs[name] = placer_test.after(
            before,
            job.JobState.QUEUED,
            epoch=before.epoch + 1,
            failed_on=(*before.failed_on, worker),
        )
        self.placer.job_changed(self.jobs[name], self.now)

    def carry_out(self, made):
        self.decided.append((self.now, made))
        if isinstance(made, decision.Place):
            running = placer_test.after(
                self.jobs[made.job_id], job.JobState.RUNNING, made.workers
            )
            self.placer.job_changed(running, self.now)
            (worker,) = made.workers
            if worker in self.bad_workers or made.job_id in self.bad_jobs:
                at = self.now + self.fails_after_s
                self.fails_at[made.job_id] = (at, worker)
        elif isinstance(made, decision.Reject):
            state = job.JobState.FAILED
            self.placer.job_changed(
                placer_test.after(self.jobs[made.job_id], state), self.now
            )

    def of(self, kind):
        return [made for _, made in self.decided if isinstance(made, kind)]


def bad_workers_case(bad):
    site = Site(12, bad_workers=bad)
    # Enough jobs to reach every worker; the others have room for most of them. Best
    # effort jobs also use the worker that is left to urgent jobs.
    for n in range(96):
        site.submit(f"j{n}", account=f"a{n % 3}", job_class=CLASSES[n % 2])
    site.run(30.0)
    return site


@pytest.mark.parametrize("bad", [["w0"], ["w5"], ["w1", "w2", "w3"]], ids=str)
def test_bad_workers_are_quarantined_within_30_s(bad):
    site = bad_workers_case(bad)
    assert {q.worker for q in site.of(decision.QuarantineWorker)} == set(bad)
    assert not site.of(decision.Reject)


@pytest.mark.parametrize("fails_after_s", [0.5, 2.0, 6.0])
def test_bad_jobs_are_refused_and_no_worker_is_blamed(fails_after_s):
    bad = [f"bad{n}" for n in range(4)]
    site = Site(12, bad_jobs=bad, fails_after_s=fails_after_s)
    for n in range(30):
        site.submit(f"j{n}", account=f"a{n % 3}")
    site.run(5.0)
    for name in bad:
        site.submit(name)
    site.run(30.0)
    refused = site.of(decision.Reject)
    assert {r.job_id for r in refused} == set(bad)
    assert {r.error.code for r in refused} == {errors.ErrorCode.JOB_INFEASIBLE}
    # The job was started, so the refusal must not say that it was not run.
    assert {r.error.outcome for r in refused} == {errors.Outcome.UNKNOWN}
    assert not site.of(decision.QuarantineWorker)


def test_bad_jobs_alone_never_empty_the_racks():
    bad = [f"bad{n}" for n in range(20)]
    site = Site(12, bad_jobs=bad)
    for name in bad:
        site.submit(name)
    site.run(120.0)
    assert not site.of(decision.QuarantineWorker)
    assert {r.job_id for r in site.of(decision.Reject)} == set(bad)


def test_quarantine_stays_below_its_cap():
    site = bad_workers_case([f"w{n}" for n in range(8)])
    most = int(12 * quarantine.MAX_QUARANTINED_SHARE)
    assert len(site.of(decision.QuarantineWorker)) <= most


def test_probation_ends_in_release_or_in_a_longer_quarantine():
    site = bad_workers_case(["w0"])
    site.run(60.0)
    assert [r.worker for r in site.of(decision.ReleaseWorker)] == ["w0"]
    for n in range(40):
        site.submit(f"k{n}", job_class=CLASSES[n % 2])
    site.run(20.0)
    reasons = [q.reason for q in site.of(decision.QuarantineWorker)]
    assert [reason.split()[-2] for reason in reasons] == ["60", "120"]
    site.bad_workers.clear()
    site.run(300.0)
    assert len(site.of(decision.ReleaseWorker)) == 2
    assert len(site.of(decision.QuarantineWorker)) == 2


def test_new_leader_keeps_an_earlier_quarantine():
    placer = gang.make_placer(random.Random(1), "d")
    placer.worker_quarantined("w0", 0.0)
    placer.worker_up(placer_test.worker("w0"), 0.0)
    placer.job_changed(placer_test.queued("j"), 0.0)
    assert not placer.plan(1.0)
    made = placer.plan(70.0)
    assert placer_test.of_kind(made, decision.ReleaseWorker)
    assert "j" in placer_test.places(made)


def test_job_too_large_for_any_worker_is_refused_as_not_run():
    site = Site(2)
    huge = placer_test.shape(1, 9)
    site.jobs["j"] = placer_test.queued("j", huge)
    site.placer.job_changed(site.jobs["j"], 0.0)
    site.run(29.0)
    assert not site.of(decision.Reject)
    site.run(5.0)
    (refusal,) = site.of(decision.Reject)
    assert refusal.error.outcome is errors.Outcome.NOT_RUN
