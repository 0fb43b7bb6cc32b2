"""Tests that the jobs machine loses or duplicates no job and overcommits no worker."""

import msgspec
import pytest

from marjoramusher.core import codec, crash, errors, resource
from marjoramusher.core import job as model
from marjoramusher.jobs import command, machine

CAPACITY = resource.Resources(8, 64, 1000)
ERROR = errors.ErrorBody(
    errors.ErrorCode.JOB_INFEASIBLE, errors.Outcome.NOT_RUN, "never fits"
)
STATES = model.JobState


def spec(tasks=2, accelerators=8, **fields):
    shape = resource.GangShape(tasks, resource.Resources(accelerators))
    return model.JobSpec("acct", "contract", shape, **fields)


class Replica:
    """Jobs machine to which a test applies commands through their encoding."""

    def __init__(self):
        self.machine = machine.JobsMachine("fd-a")
        self.at = 1000.0
        self.index = 0

    def __call__(self, command_type, *args, **fields):
        self.index += 1
        cmd = command_type(self.at, *args, **fields)
        data = self.machine.apply(self.index, command.encode(cmd))
        return command.decode_result(data)

    def submit(self, **fields):
        return self(command.SubmitJob, spec(**fields)).job.job_id

    def allocate(self, job_id, *workers, epoch=0, capacity=CAPACITY):
        capacities = dict.fromkeys(workers, capacity)
        return self(command.AllocateGang, job_id, epoch, workers, capacities)

    def start(self, job_id, *workers, incarnation=1):
        """Run a job on known incarnations of its workers; return the epoch."""
        epoch = self.machine.job(job_id).epoch
        self(
            command.AllocateGang,
            job_id,
            epoch,
            workers,
            dict.fromkeys(workers, CAPACITY),
            None,
            dict.fromkeys(workers, incarnation),
        )
        self(command.GangStarted, job_id, epoch + 1)
        return epoch + 1

    def lose(self, job_id, crashed=(), lapsed=()):
        """Stop a job after the loss of workers."""
        epoch = self.machine.job(job_id).epoch
        return self.stop(
            job_id, CAUSE.WORKER_LOST, epoch, crashed=crashed, lapsed=lapsed
        )

    def run(self, job_id, *workers, epoch=0):
        self.allocate(job_id, *workers, epoch=epoch)
        self(command.GangStarted, job_id, epoch + 1)

    def stop(self, job_id, cause, epoch=1, **fields):
        self(command.GangStopping, job_id, epoch, cause)
        return self(command.GangStopped, job_id, epoch, **fields).job


@pytest.fixture
def replica():
    return Replica()


CAUSE = command.StopCause
UNKNOWN = errors.ErrorCode.OUTCOME_UNKNOWN
EXPIRED = errors.ErrorCode.CONTRACT_EXPIRED
STOP_CASES = {
    "reclaim": (CAUSE.RECLAIM, True, True, STATES.QUEUED, None),
    "worker lost": (CAUSE.WORKER_LOST, True, True, STATES.QUEUED, None),
    "not repeatable, never started": (
        CAUSE.START_FAILED,
        False,
        False,
        STATES.QUEUED,
        None,
    ),
    "not repeatable, started": (
        CAUSE.WORKER_LOST,
        False,
        True,
        STATES.FAILED,
        UNKNOWN,
    ),
    "not repeatable, failed": (
        CAUSE.TASK_FAILED,
        False,
        True,
        STATES.FAILED,
        errors.ErrorCode.TARGET_FAILED,
    ),
    "cancelled": (CAUSE.CANCELLED, True, True, STATES.CANCELLED, None),
    "expired": (CAUSE.CONTRACT_EXPIRED, True, True, STATES.FAILED, EXPIRED),
}


@pytest.mark.parametrize("name", STOP_CASES)
def test_cause_decides_what_becomes_of_a_stopped_job(replica, name):
    cause, repeatable, may_have_run, state, code = STOP_CASES[name]
    job_id = replica.submit(repeatable=repeatable)
    replica.run(job_id, "w1", "w2")
    job = replica.stop(
        job_id, cause, checkpoint="c1", progress_s=3.0, may_have_run=may_have_run
    )
    assert job.state is state
    assert (job.error.code if job.error else None) is code
    assert job.error is None or job.error.outcome is errors.Outcome.UNKNOWN
    assert (job.checkpoint, job.progress_s) == ("c1", 3.0)
    assert list(replica.machine.ledger.workers()) == []
    assert job.epoch == (2 if state is STATES.QUEUED else 1)


MAX_STARTS = 5  # as many as a task of a workflow gets on the weakest evidence


def test_a_job_whose_workers_are_lost_right_after_each_start_is_given_up(replica):
    """Guards against one job that takes down worker after worker."""
    job_id = replica.submit(tasks=1, repeatable=True)
    for start in range(MAX_STARTS):
        epoch = 2 * start
        replica.run(job_id, f"w{start}", epoch=epoch)
        job = replica.stop(job_id, CAUSE.WORKER_LOST, epoch + 1)
    assert job.state is STATES.FAILED


def _crash(replica, job_id, worker, ran_s=0.0, neighbour=None):
    """Crash a worker while a job runs there, with another job beside it or not."""
    replica.start(job_id, worker)
    if neighbour is not None:
        replica.start(neighbour, worker)
    replica.at += ran_s
    job = replica.lose(job_id, crashed=(worker,))
    if neighbour is not None:
        replica.stop(neighbour, CAUSE.RECLAIM, replica.machine.job(neighbour).epoch)
    return job


CRASH_CASES = {
    "sudden, alone": (3, ["w0", "w1", "w2", "w3", "w4"], 0.0, False),
    "sudden, alone, always the same worker": (4, ["w0"] * 5, 0.0, False),
    "after a while, alone": (4, ["w0", "w1", "w2", "w3", "w4"], 30.0, False),
    "beside another job": (5, ["w0", "w1", "w2", "w3", "w4"], 0.0, True),
}


@pytest.mark.parametrize("name", CRASH_CASES)
def test_weaker_evidence_takes_more_crashes(replica, name):
    """Guards against jobs that are given up for having run beside the cause."""
    starts, workers, ran_s, is_shared = CRASH_CASES[name]
    job_id = replica.submit(tasks=1, accelerators=4)
    other_id = replica.submit(tasks=1, accelerators=4) if is_shared else None
    for worker in workers[: starts - 1]:
        job = _crash(replica, job_id, worker, ran_s, other_id)
        assert job.state is STATES.QUEUED
    job = _crash(replica, job_id, workers[starts - 1], ran_s, other_id)
    assert job.state is STATES.FAILED
    assert (job.error.code, job.error.outcome) == (
        errors.ErrorCode.TARGET_FAILED,
        errors.Outcome.UNKNOWN,
    )
    assert all(worker in job.error.message for worker in workers[:starts])


def test_order_of_releases_does_not_decide_who_was_alone(replica):
    """Guards against blaming the job that is released last after a crash."""
    first, last = (replica.submit(tasks=1, accelerators=4) for _ in range(2))
    replica.start(first, "w1")
    replica.start(last, "w1")
    for job_id in (first, last):
        job = replica.lose(job_id, crashed=("w1",))
        assert [item.was_alone for item in job.crashes] == [False]
    replica.start(last, "w2")
    assert replica.lose(last, crashed=("w2",)).crashes[-1].was_alone


def test_a_gang_that_loses_many_workers_has_one_crash(replica):
    """Guards against giving up a large gang after one failure of a rack."""
    job_id = replica.submit(tasks=5)
    workers = [f"w{n}" for n in range(5)]
    replica.start(job_id, *workers)
    job = replica.lose(job_id, crashed=workers[:4], lapsed=workers[4:])
    assert job.state is STATES.QUEUED
    replica.start(job_id, *workers)
    assert replica.lose(job_id, crashed=workers).state is STATES.QUEUED
    replica.start(job_id, *workers)
    assert replica.lose(job_id, crashed=workers).state is STATES.FAILED


HEARD_CASES = {
    "the same incarnation": (1, False, 0, 0),
    "a later incarnation": (2, False, 1, 0),
    "a later incarnation of a drained worker": (2, True, 0, 0),
    "a late announcement of an earlier incarnation": (0, False, 0, 1),
}


@pytest.mark.parametrize("name", HEARD_CASES)
def test_a_lapsed_lease_is_a_crash_once_the_worker_was_replaced(replica, name):
    """Guards against counting silence as a crash, or losing a crash in silence."""
    incarnation, is_planned, crashes, possible = HEARD_CASES[name]
    job_id = replica.submit(tasks=1)
    replica.start(job_id, "w1")
    job = replica.lose(job_id, lapsed=("w1",))
    assert (len(job.crashes), len(job.possible_crashes)) == (0, 1)
    replica(command.WorkerHeard, "w2", 5)
    assert replica.machine.job(job_id) == job
    replica(command.WorkerHeard, "w1", incarnation, is_planned)
    job = replica.machine.job(job_id)
    assert (len(job.crashes), len(job.possible_crashes)) == (crashes, possible)
    assert replica.machine.has_lapsed("w1") is bool(possible)


def test_a_late_crash_gives_up_a_queued_job(replica):
    """Guards against another start after the crash that decided was confirmed."""
    job_id = replica.submit(tasks=1)
    for n in range(crash.MIN_CRASHES):
        replica.start(job_id, f"w{n}")
        assert replica.lose(job_id, lapsed=(f"w{n}",)).state is STATES.QUEUED
    for n in range(crash.MIN_CRASHES):
        replica(command.WorkerHeard, f"w{n}", 2)
    assert replica.machine.job(job_id).state is STATES.FAILED
    assert not any(replica.machine.has_lapsed(f"w{n}") for n in range(9))


def test_old_crashes_are_dropped(replica):
    """Guards against a job that is given up for crashes of several days."""
    job_id = replica.submit(tasks=1)
    for n in range(2 * crash.MAX_CRASHES):
        job = _crash(replica, job_id, f"w{n}")
        assert job.state is STATES.QUEUED and len(job.crashes) == 1
        replica.at += crash.WINDOW_MS / 1000


def test_a_crash_that_only_silence_suggests_needs_a_sudden_loss(replica):
    """Guards against counting each lost worker that an earlier version recorded."""
    job_id = replica.submit(tasks=1)
    for n in range(2 * MAX_STARTS):
        replica.run(job_id, f"w{n}", epoch=2 * n)
        replica.at += crash.SURVIVAL_S
        assert replica.stop(job_id, CAUSE.WORKER_LOST, 2 * n + 1).crashes == ()


def test_crashes_survive_a_snapshot(replica):
    """Guards against a count that starts anew on a replica that was restored."""
    job_id, other_id = (replica.submit(tasks=1, accelerators=4) for _ in range(2))
    _crash(replica, job_id, "w1")
    _crash(replica, job_id, "w2")
    replica.start(other_id, "w4")
    replica.lose(other_id, lapsed=("w4",))
    replica.start(job_id, "w3")
    replica.start(other_id, "w3")
    restored = Replica()
    restored.machine.restore(replica.machine.snapshot())
    for copy in (replica, restored):
        copy.lose(other_id, crashed=("w3",))
        copy.lose(job_id, crashed=("w3",))
        copy(command.WorkerHeard, "w4", 2)
        assert len(copy.machine.job(other_id).crashes) == 2
        assert [c.was_alone for c in copy.machine.job(job_id).crashes] == [
            True,
            True,
            False,
        ]
    assert replica.machine.snapshot() == restored.machine.snapshot()


OLD_SNAPSHOT = {
    "format": 1,
    "failure_domain": "fd-a",
    "at": 1000.0,
    "next_number": 2,
    "jobs": [
        {
            "job_id": "job-fd-a-1",
            "spec": {
                "account": "acct",
                "contract": "contract",
                "shape": {"each": {"accelerators": 8}},
            },
            "state": "stopping",
            "submitted_at": 1000.0,
            "epoch": 1,
            "allocation": {
                "epoch": 1,
                "tasks": [{"task_id": "job-fd-a-1.0", "worker": "w1"}],
            },
            "started_at": 1000.0,
            "attempts": 1,
        }
    ],
    "stopping": {"job-fd-a-1": {"cause": "worker_lost"}},
    "finished": [],
    "keys": [],
    "quarantines": {},
}
OLD_ALLOCATION = {
    "type": "AllocateGang",
    "at": 1000.0,
    "job_id": "job-fd-a-1",
    "expected_epoch": 0,
    "workers": ["w1"],
    "capacities": {"w1": {"accelerators": 8, "cores": 64, "memory_mb": 1000}},
}
OLD_STOP = {"type": "GangStopped", "at": 1000.0, "job_id": "job-fd-a-1", "epoch": 1}


def test_state_of_an_earlier_version_is_read(replica):
    """Guards against a replica that can't start after an update."""
    replica.machine.restore(codec.pack(OLD_SNAPSHOT))
    job_id = OLD_STOP["job_id"]
    replica.machine.apply(1, codec.pack(OLD_STOP))
    job = replica.machine.job(job_id)
    assert job.state is STATES.QUEUED
    replica.machine.apply(2, codec.pack(OLD_ALLOCATION | {"expected_epoch": 2}))
    assert replica.machine.job(job_id).state is STATES.ALLOCATED
    # The incarnation of the worker is not known, so this is no crash.
    replica(command.GangStopping, job_id, 3, CAUSE.WORKER_LOST)
    later = replica(command.GangStopped, job_id, 3, crashed=("w1",)).job
    assert later.state is STATES.QUEUED and later.crashes == job.crashes


def _allocated(replica):
    job_id = replica.submit()
    replica.allocate(job_id, "w1", "w2")
    return job_id


def _stopping(replica):
    job_id = _allocated(replica)
    replica(command.GangStopping, job_id, 1, CAUSE.RECLAIM)
    return job_id


def _done(replica):
    job_id = _allocated(replica)
    replica(command.GangEnded, job_id, 1)
    return job_id


def _quarantined(replica):
    replica(command.QuarantineWorker, "w1", "fails everything")
    return replica.submit()


VERSION_CONFLICT, STALE_EPOCH = (
    errors.ErrorCode.VERSION_CONFLICT,
    errors.ErrorCode.STALE_EPOCH,
)
OVERLOADED, NOT_FOUND = errors.ErrorCode.OVERLOADED, errors.ErrorCode.NOT_FOUND
WORKERS, CAPACITIES = ("w1", "w2"), {"w1": CAPACITY, "w2": CAPACITY}
REFUSED_COMMANDS = {
    "allocated twice": (
        _allocated,
        command.AllocateGang,
        (0, WORKERS, CAPACITIES),
        VERSION_CONFLICT,
    ),
    "old epoch": (
        Replica.submit,
        command.AllocateGang,
        (7, WORKERS, CAPACITIES),
        STALE_EPOCH,
    ),
    "too few workers": (
        Replica.submit,
        command.AllocateGang,
        (0, ("w1",), CAPACITIES),
        VERSION_CONFLICT,
    ),
    "unknown capacity": (
        Replica.submit,
        command.AllocateGang,
        (0, ("w1", "w9"), CAPACITIES),
        OVERLOADED,
    ),
    "one worker for both": (
        Replica.submit,
        command.AllocateGang,
        (0, ("w1", "w1"), CAPACITIES),
        OVERLOADED,
    ),
    "quarantined": (
        _quarantined,
        command.AllocateGang,
        (0, WORKERS, CAPACITIES),
        VERSION_CONFLICT,
    ),
    "start while stopping": (_stopping, command.GangStarted, (1,), VERSION_CONFLICT),
    "start of an old epoch": (_allocated, command.GangStarted, (0,), STALE_EPOCH),
    "start of a queued job": (
        Replica.submit,
        command.GangStarted,
        (0,),
        VERSION_CONFLICT,
    ),
    "start after the end": (_done, command.GangStarted, (1,), VERSION_CONFLICT),
    "stopped, not stopping": (_allocated, command.GangStopped, (1,), VERSION_CONFLICT),
    "end of an old epoch": (_allocated, command.GangEnded, (0,), STALE_EPOCH),
    "rejected, not queued": (_allocated, command.RejectJob, (ERROR,), VERSION_CONFLICT),
    "unknown job": (
        lambda replica: replica.submit() + "9",
        command.CancelJob,
        (),
        NOT_FOUND,
    ),
}


@pytest.mark.parametrize("name", REFUSED_COMMANDS)
def test_refused_command_changes_nothing(replica, name):
    set_up, command_type, args, code = REFUSED_COMMANDS[name]
    job_id = set_up(replica)
    before = replica.machine.snapshot()
    with pytest.raises(errors.MarjoramusherError) as raised:
        replica(command_type, job_id, *args)
    assert raised.value.code is code
    assert replica.machine.snapshot() == before


def test_two_allocations_never_overlap(replica):
    first, second = replica.submit(accelerators=5), replica.submit(accelerators=5)
    replica.allocate(first, "w1", "w2")
    with pytest.raises(errors.MarjoramusherError):
        replica.allocate(second, "w2", "w3")
    replica.stop(first, CAUSE.RECLAIM)
    assert replica.allocate(second, "w2", "w3").job.state is STATES.ALLOCATED


def test_repeated_commands_are_accepted_once(replica):
    job_id = replica.submit()
    replica.run(job_id, "w1", "w2")
    assert replica(command.GangStarted, job_id, 1).repeated
    replica(command.GangStopping, job_id, 1, CAUSE.RECLAIM)
    again = replica(command.GangStopping, job_id, 1, CAUSE.WORKER_LOST)
    assert again.repeated
    assert replica.machine.pending_stop(job_id).cause is CAUSE.RECLAIM
    replica(command.GangEnded, job_id, 1)
    assert replica(command.GangEnded, job_id, 1).repeated


def test_same_key_gives_the_first_job(replica):
    first = replica(command.SubmitJob, spec(), "key", "print")
    again = replica(command.SubmitJob, spec(), "key", "print")
    assert again.job.job_id == first.job.job_id and again.repeated
    with pytest.raises(errors.MarjoramusherError) as raised:
        replica(command.SubmitJob, spec(tasks=3), "key", "other")
    assert raised.value.code is errors.ErrorCode.KEY_REUSED
    other = msgspec.structs.replace(spec(), account="other")
    assert replica(command.SubmitJob, other, "key", "print").job != first.job


def test_cancelled_job_never_starts(replica):
    queued, running = replica.submit(), replica.submit()
    replica.run(running, "w1", "w2")
    assert replica(command.CancelJob, queued).job.state is STATES.CANCELLED
    with pytest.raises(errors.MarjoramusherError):
        replica.allocate(queued, "w3", "w4")
    assert replica(command.CancelJob, running).job.state is STATES.STOPPING
    with pytest.raises(errors.MarjoramusherError):
        replica(command.GangStarted, running, 1)
    assert replica(command.GangStopped, running, 1).job.state is STATES.CANCELLED


def test_contract_expiry_fails_queued_and_stops_running(replica):
    queued, running, retried = (replica.submit() for _ in range(3))
    replica.run(running, "w1", "w2")
    replica.run(retried, "w3", "w4")
    replica.stop(retried, CAUSE.RECLAIM)
    replica(command.ContractExpired, "contract", 30.0)
    error = replica.machine.job(queued).error
    assert (error.code, error.outcome) == (EXPIRED, errors.Outcome.NOT_RUN)
    # An earlier attempt ran, so the outcome must not be "not run".
    assert replica.machine.job(retried).error.outcome is errors.Outcome.UNKNOWN
    assert replica.machine.pending_stop(running).until == 1030.0
    assert replica(command.ContractExpired, "contract", 30.0).changed == 0


def test_rejection_of_a_job_that_ran_does_not_say_not_run(replica):
    job_id = replica.submit()
    replica.run(job_id, "w1", "w2")
    replica.stop(job_id, CAUSE.TASK_FAILED)
    job = replica(command.RejectJob, job_id, ERROR).job
    assert job.error.outcome is errors.Outcome.UNKNOWN


def test_recovery_with_loss_fences_everything(replica):
    repeatable, not_repeatable, done = (
        replica.submit(),
        replica.submit(repeatable=False),
        replica.submit(),
    )
    replica.run(repeatable, "w1", "w2")
    replica.run(done, "w3", "w4")
    replica(command.GangEnded, done, 1)
    replica(command.RecoverWithLoss, 2000.0)
    job = replica.machine.job(repeatable)
    assert job.state is STATES.QUEUED and job.epoch > machine.RECOVERY_EPOCH_GAP
    assert replica.machine.job(not_repeatable).error.code is UNKNOWN
    assert replica.machine.job(done).state is STATES.DONE
    assert list(replica.machine.ledger.workers()) == []
    # The number of a lost job must not be assigned to another job.
    assert int(replica.submit().rpartition("-")[2]) > machine.RECOVERY_NUMBER_GAP
    with pytest.raises(errors.MarjoramusherError) as raised:
        replica(command.SubmitJob, spec(), "lost?", "print", 1999.0)
    assert raised.value.code is UNKNOWN
    assert replica(command.SubmitJob, spec(), "new", "print", 2001.0).job


def test_finished_jobs_and_keys_are_bounded(replica, monkeypatch):
    monkeypatch.setattr(machine, "MAX_FINISHED_JOBS", 3)
    first = replica(command.SubmitJob, spec(payload="x"), "key", "print").job
    for job_id in [first.job_id, *(replica.submit() for _ in range(4))]:
        replica(command.CancelJob, job_id)
    assert replica.machine.job(first.job_id) is None
    with pytest.raises(errors.MarjoramusherError) as raised:
        replica(command.SubmitJob, spec(payload="x"), "key", "print")
    assert raised.value.code is errors.ErrorCode.ANSWER_EXPIRED
    replica.at += machine.FINISHED_RETENTION_S + 1
    new_job_id = replica.submit()
    assert [i.job_id for i in replica.machine.list_jobs("acct", None, 9)] == [
        new_job_id
    ]


def test_queue_is_bounded_for_each_account(replica, monkeypatch):
    monkeypatch.setattr(machine, "MAX_UNFINISHED_JOBS_PER_ACCOUNT", 2)
    first = replica.submit()
    replica.submit()
    with pytest.raises(errors.MarjoramusherError) as raised:
        replica.submit()
    assert raised.value.code is OVERLOADED
    replica(command.CancelJob, first)
    assert replica.submit()


def test_list_is_newest_first_by_account_and_state(replica):
    ids = [replica.submit() for _ in range(12)]
    replica(command.CancelJob, ids[3])
    replica(command.SubmitJob, msgspec.structs.replace(spec(), account="other"))
    listed = [i.job_id for i in replica.machine.list_jobs("acct", STATES.QUEUED, 3)]
    assert listed == [ids[11], ids[10], ids[9]]
    assert len(replica.machine.list_jobs("acct", None, 100)) == 12


def test_restored_replica_stays_equal(replica):
    """Check that a replica restored from a snapshot applies later commands alike.

    Indexes are rebuilt on a restore, so a decision that depends on their order would
    make the replicas diverge.
    """
    jobs = [replica.submit() for _ in range(6)]
    for job_id, worker in zip(jobs[3:0:-1], "abc", strict=True):
        replica.run(job_id, worker + "1", worker + "2")
    replica.stop(jobs[2], CAUSE.WORKER_LOST)
    replica(command.QuarantineWorker, "a1", "bad")
    restored = Replica()
    restored.machine.restore(replica.machine.snapshot())
    restored.machine.take_changed_job_ids()
    replica.machine.take_changed_job_ids()
    for copy in (replica, restored):
        copy(command.RecoverWithLoss, 1500.0)
        copy(command.ContractExpired, "contract", 5.0)
    assert replica.machine.snapshot() == restored.machine.snapshot()
    assert (
        replica.machine.take_changed_job_ids()
        == restored.machine.take_changed_job_ids()
    )
    with pytest.raises(errors.MarjoramusherError):
        machine.JobsMachine("fd-b").restore(replica.machine.snapshot())


def test_time_never_goes_back(replica):
    replica(command.CancelJob, replica.submit())
    replica.at = 1.0  # the clock of a new leader lags behind
    job = replica(command.CancelJob, replica.submit()).job
    assert job.ended_at == 1000.0
