"""Tests that a job that crashes its workers is given up, and no job beside it."""

import random

import pytest

from marjoramusher.core import crash, errors, record
from marjoramusher.jobs import command, machine
from marjoramusher.placement import gang as placement
from marjoramusher.workers import gang_test

TICK_S, STATES = gang_test.TICK_S, gang_test.STATES


def _make_placer():
    offset_s = gang_test.START.timestamp()
    return placement.make_placer(random.Random(1), "fd-a", offset_s)


class CrashSession(gang_test.Session):
    """Failure domain in which some jobs crash each worker on which they run.

    Attributes
    ----------
    causes : set of str
        Jobs that crash their workers.
    crash_after_s : float
        Run time of such a job until the crash.
    restart_s : callable
        Returns the time for which the next worker is away; infinite if for good.
    crashes : list of tuple of (float, str, str)
        Time, job and worker of each crash.
    """

    def __init__(self, workers=8, restart_s=3.3, **fields):
        self.causes = set()
        self.crash_after_s = 0.05
        self.restart_s = lambda: restart_s
        self.crashes = []
        self.returns = {}
        super().__init__(workers, make_placer=_make_placer, **fields)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.crash_workers()
            self.advance(TICK_S)

    def crash_workers(self):
        for name, worker in self.workers.items():
            if name in self.returns and self.now >= self.returns[name]:
                del self.returns[name]
                worker.alive = True
            causes = [
                task_id.rpartition(".")[0]
                for task_id, task in worker.tasks.items()
                if task.state is gang_test.RUNNING
                and self.now >= task.run_until - task.run_s + self.crash_after_s
                and task_id.rpartition(".")[0] in self.causes
            ]
            if worker.alive and causes:
                self.crashes.append((self.now, causes[0], name))
                self.crash(name)

    def crash(self, name):
        worker = self.workers[name]
        worker.alive = False
        worker.tasks.clear()
        worker.incarnation += 1
        self.returns[name] = self.now + self.restart_s()

    def submit_cause(self, tasks=1, accelerators=2):
        job_id = self.submit(tasks, accelerators)
        self.causes.add(job_id)
        return job_id

    def replace_leader(self):
        """Elect a leader whose replica has installed a snapshot."""
        replica = machine.JobsMachine("fd-a")
        replica.restore(self.jobs.snapshot())
        self.jobs = replica
        self.elect()

    def job(self, job_id):
        return self.jobs.job(job_id)


def _settle(session, limit_s):
    while session.jobs.jobs() and session.now < limit_s:
        session.run(TICK_S)


@pytest.mark.parametrize("restart_s", [1.0, 3.3, 4.5, 9.0, 25.0, float("inf")])
def test_a_job_that_crashes_each_worker_is_given_up(restart_s):
    """Guards against one job that takes down worker after worker."""
    session = CrashSession(restart_s=restart_s)
    job_id = session.submit_cause()
    _settle(session, 120.0)
    job = session.job(job_id)
    assert job.state is STATES.FAILED, job
    assert job.error.code is errors.ErrorCode.TARGET_FAILED
    assert len(session.crashes) == crash.MIN_CRASHES, session.crashes
    assert len({worker for _, _, worker in session.crashes}) == crash.MIN_CRASHES


def test_a_worker_that_is_back_at_once_has_certainly_crashed():
    """Guards against a crash that is counted only if it is confirmed later."""
    session = CrashSession(restart_s=1.0)
    job_id = session.submit_cause()
    while not session.job(job_id).crashes:
        assert session.now < 20.0, session.job(job_id)
        session.run(TICK_S)
    assert not any("WorkerHeard" in line for line in session.trace)


def test_a_gang_that_crashes_its_workers_is_given_up():
    """Guards against counting each worker of a gang as an attempt, or none of them."""
    session = CrashSession(workers=9)
    job_id = session.submit_cause(tasks=3, accelerators=8)
    _settle(session, 200.0)
    assert session.job(job_id).state is STATES.FAILED
    assert len(session.crashes) == 3 * crash.MIN_CRASHES, session.crashes


@pytest.mark.parametrize("restart_s", [3.3, 9.0])
def test_a_new_leader_and_a_snapshot_keep_the_crashes(restart_s):
    """Guards against a count that starts anew with each leader."""
    session = CrashSession(restart_s=restart_s)
    job_id = session.submit_cause()
    known = 0
    while session.job(job_id).state not in gang_test.model.FINAL_STATES:
        assert session.now < 200.0, session.job(job_id)
        session.run(0.5)
        if len(session.crashes) > known:
            known = len(session.crashes)
            session.replace_leader()
    assert session.job(job_id).state is STATES.FAILED
    # No leader saw how soon the workers crashed, which may cost another start.
    assert crash.MIN_CRASHES <= len(session.crashes) <= crash.MIN_CRASHES + 1


def _cut(session, name, silent_s=6.0):
    session.workers[name].alive = False
    session.returns[name] = session.now + silent_s


def _drain_and_restart(session, name):
    drains = {**session.configuration.drains, name: record.Drain(name, "fd-a")}
    session.configuration = record.Configuration(drains=drains)
    session.step(gang_test.events.ConfigurationChanged(session.configuration))
    session.crash(name)


def _leave(session, name):
    """Stop all tasks, report them and start again, as a worker that is updated."""
    worker = session.workers[name]
    for task in worker.tasks.values():
        task.state = gang_test.announcement.TaskState.STOPPED
    session.step(gang_test.events.WorkerAnnounced(worker.announcement()))
    session.crash(name)


def _go_deaf(session, name):
    """Announce, but answer no call, so that the leases lapse."""
    session.workers[name].ignores_calls = True
    (holding,) = session.jobs.ledger.holdings(name)
    gang = session.core._state.gangs[holding.job_id]
    session.core._lifecycle._stopper.request_stop(gang, command.StopCause.RECLAIM)
    session.run(6.0)
    session.workers[name].ignores_calls = False


@pytest.mark.parametrize("end", [_cut, _drain_and_restart, _leave, _go_deaf])
def test_a_worker_that_has_not_crashed_is_no_evidence(end):
    """Guards against a job that is given up since its workers left or were silent."""
    session = CrashSession(run_s=1000.0, restart_s=2.0)
    job_id = session.submit(1)
    for _ in range(crash.MAX_CRASHES + 1):
        while session.job(job_id).state is not STATES.RUNNING:
            session.run(TICK_S)
        (task,) = session.job(job_id).allocation.tasks
        end(session, task.worker)
        session.run(14.0)
        job = session.job(job_id)
        assert not job.crashes and not job.possible_crashes, job
    assert job.attempts > crash.MAX_CRASHES
    assert job.state is STATES.RUNNING


def test_a_job_whose_start_was_never_sent_is_no_suspect():
    """Guards against blaming a job that was only prepared when its worker crashed."""
    session = CrashSession()

    def crash_worker(session, effect):
        is_start = getattr(effect, "method", None) is gang_test.rpc.Method.PREPARE
        if is_start and session.workers[effect.worker].alive:
            session.crash(effect.worker)

    session.fault = crash_worker
    job_id = session.submit(1)
    session.run(12.0)
    session.fault = lambda session, effect: None
    _settle(session, 60.0)
    job = session.job(job_id)
    assert job.state is STATES.DONE and job.attempts > 1 and not job.crashes


def test_a_crash_long_ago_does_not_count():
    """Guards against a long job that is given up for crashes of several days."""
    session = CrashSession(run_s=1e6)
    job_id = session.submit(1)
    for _ in range(crash.MAX_CRASHES + 1):
        session.run(30.0)
        (task,) = session.job(job_id).allocation.tasks
        session.crash(task.worker)
        session.run(10.0)
        assert len(session.job(job_id).crashes) == 1
        session.now += crash.WINDOW_MS / 1000
        session.elect()
    session.run(30.0)
    assert session.job(job_id).state is STATES.RUNNING


def check_random_crashes(seed, steps=3000):
    """Run causes beside other jobs; give up the causes only, after few crashes.

    Workers are cut off, too, or crash by themselves.
    """
    rng = random.Random(seed)
    session = CrashSession(workers=rng.randint(6, 10), run_s=rng.uniform(5.0, 40.0))
    session.restart_s = lambda: rng.choice([1.5, 3.3, 5.0, 8.0, 15.0])
    session.crash_after_s = rng.choice([0.05, 0.5, 2.0, 5.0])
    others = []
    for _ in range(rng.randint(8, 25)):
        others.append(session.submit(rng.randint(1, 3), rng.choice([1, 2, 4, 8])))
    for _ in range(rng.randint(1, 2)):
        session.submit_cause(1, rng.choice([1, 2, 4]))
    for _ in range(steps):
        session.run(TICK_S)
        if rng.random() < 0.002:
            rng.choice([session.elect, session.replace_leader])()
        name = rng.choice(list(session.workers))
        if rng.random() < 0.005 and session.workers[name].alive:
            _cut(session, name, rng.uniform(2.0, 12.0))
        elif rng.random() < 0.0005 and session.workers[name].alive:
            session.crash(name)
        if rng.random() < 0.003:
            others.append(session.submit(1, rng.choice([1, 2, 4])))
        if not session.jobs.jobs():
            break
    _settle(session, session.now + 300.0)
    assert not session.jobs.jobs(), (seed, session.jobs.jobs())
    for job_id in others:
        job = session.job(job_id)
        assert job.state is STATES.DONE, (seed, job)
    for job_id in session.causes:
        assert session.job(job_id).state is STATES.FAILED, (seed, session.job(job_id))
        crashes = [entry for entry in session.crashes if entry[1] == job_id]
        assert len(crashes) <= crash.MAX_CRASHES, (seed, crashes)


@pytest.mark.parametrize("seed", range(20))
def test_jobs_beside_the_cause_are_not_given_up(seed):
    """Guards against blaming all jobs that ran on a worker for its crash."""
    check_random_crashes(seed)
