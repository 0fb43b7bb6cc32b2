"""Replicated state machine that holds the jobs of one failure domain."""

import heapq
from collections.abc import Iterable
from typing import Any

import msgspec

from ..core import codec, crash, errors, suspect
from ..core import job as model
from . import command, ledger

FORMAT = 1

FINISHED_RETENTION_S = 24 * 3600.0
# A finished job takes about 1 KB, which must fit in the 64 MB of an instance.
MAX_FINISHED_JOBS = 4096

# Exceeds the jobs of one failure domain in ten days at 10,000 jobs a day.
MAX_UNFINISHED_JOBS = 16384
# Keeps one client account from filling the queue for all others.
MAX_UNFINISHED_JOBS_PER_ACCOUNT = 8192

KEY_RETENTION_S = 24 * 3600.0

# The placer needs several workers to tell a faulty job from faulty workers.
MAX_FAILED_ON_WORKERS = 16

# Lost commands may have raised epochs and assigned job numbers. After a recovery with
# loss, both continue far above any value that could have been committed between two
# acknowledgements of the surviving replica.
RECOVERY_EPOCH_GAP = 1_000
RECOVERY_NUMBER_GAP = 1_000_000

GRACEFUL_CAUSES = frozenset(
    {
        command.StopCause.RECLAIM,
        command.StopCause.OVERUSE,
        command.StopCause.DEFRAGMENT,
        command.StopCause.CONTRACT_EXPIRED,
    }
)
"""Causes that let a gang write a checkpoint before it stops."""

# A worker that crashes right after a start is missed within this time, also if its
# gang has to be prepared first.
SUDDEN_LOSS_S = 5.0

LOSS_CAUSES = frozenset({command.StopCause.WORKER_LOST, command.StopCause.START_FAILED})
"""Causes that a crash of a worker may have."""


class PendingStop(msgspec.Struct, frozen=True, omit_defaults=True):
    """Cause and deadline of a gang stop that has not completed.

    Parameters
    ----------
    until : float
        Deadline for the tasks to stop, in seconds since the Unix epoch; 0 means as
        soon as possible.
    at : float
        Time at which the stop was committed, in seconds since the Unix epoch.
    """

    cause: command.StopCause
    until: float = 0.0
    at: float = 0.0


class Attempt(msgspec.Struct, frozen=True, omit_defaults=True):
    """What attributes a crash of a worker to the present attempt of a job.

    Parameters
    ----------
    at : float
        Time of the allocation, in seconds since the Unix epoch.
    incarnations : dict of str to int
        Incarnation of each worker that the attempt is bound to.
    shared : tuple of str
        Workers that other jobs have used during the attempt.
    """

    at: float
    incarnations: dict[str, int]
    shared: tuple[str, ...] = ()


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """Job that was submitted with an idempotency key.

    Parameters
    ----------
    at : float
        Time of the submission, in seconds since the Unix epoch.
    """

    account: str
    key: str
    job_id: str
    fingerprint: str
    at: float


class Snapshot(msgspec.Struct, frozen=True, omit_defaults=True):
    """Complete state of the machine.

    Jobs, finished jobs and keys keep their insertion order, on which expiry depends.

    Parameters
    ----------
    at : float
        Time of the machine, in seconds since the Unix epoch.
    finished : list of str
        Ids of the finished jobs, oldest first.
    attempts : dict of str to Attempt
        Attempts by job id, except those allocated by an earlier version.
    """

    format: int
    failure_domain: str
    at: float
    next_number: int
    jobs: list[model.Job]
    stopping: dict[str, PendingStop]
    finished: list[str]
    keys: list[KeyEntry]
    quarantines: dict[str, str]
    recovered_at: float | None = None
    attempts: dict[str, Attempt] = {}


class JobsMachine:
    """Keep jobs, gang allocations and automatic quarantines.

    Parameters
    ----------
    failure_domain : str
        Failure domain that owns the jobs; it is part of their ids.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._reset()

    def _reset(self) -> None:
        self._now = 0.0
        self._next_number = 1
        self._jobs: dict[str, model.Job] = {}
        self._number_by_id: dict[str, int] = {}
        self._pending_stops: dict[str, PendingStop] = {}
        self._attempts: dict[str, Attempt] = {}
        self._ids_by_lapsed_worker: dict[str, dict[str, None]] = {}
        self._key_entries: dict[tuple[str, str], KeyEntry] = {}
        self._quarantines: dict[str, str] = {}
        self._recovered_at: float | None = None
        self._finished_ids: dict[str, None] = {}
        self._changed_ids: dict[str, None] = {}
        self._ids_by_state: dict[model.JobState, dict[str, None]] = {
            state: {} for state in model.JobState
        }
        self._ids_by_account: dict[tuple[str, model.JobState], dict[str, None]] = {}
        self._unfinished_ids_by_contract: dict[str, dict[str, None]] = {}
        self._ledger = ledger.Ledger()

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that owns the jobs."""
        return self._failure_domain

    @property
    def ledger(self) -> ledger.Ledger:
        """Return the allocations by worker; callers must not modify them."""
        return self._ledger

    @property
    def quarantines(self) -> dict[str, str]:
        """Return the reason of each automatic quarantine by worker."""
        return dict(self._quarantines)

    @property
    def queued_count(self) -> int:
        """Return the number of queued jobs."""
        return len(self._ids_by_state[model.JobState.QUEUED])

    @property
    def recovered_at(self) -> float | None:
        """Return the Unix time of the last recovery with loss, or None."""
        return self._recovered_at

    def job(self, job_id: str) -> model.Job | None:
        """Return a job, or None if it is unknown or no longer retained."""
        return self._jobs.get(job_id)

    def pending_stop(self, job_id: str) -> PendingStop | None:
        """Return the pending stop of a job, or None if the job is not stopping."""
        return self._pending_stops.get(job_id)

    def attempt(self, job_id: str) -> Attempt | None:
        """Return the present attempt of a job, or None if its workers are unknown."""
        return self._attempts.get(job_id)

    def has_lapsed(self, worker: str) -> bool:
        """Return whether leases have lapsed on a worker that was not heard since."""
        return worker in self._ids_by_lapsed_worker

    def jobs(self, *states: model.JobState) -> list[model.Job]:
        """Return the jobs in the given states, or all unfinished jobs if none given."""
        selected = states or tuple(
            state for state in model.JobState if state not in model.FINAL_STATES
        )
        return [
            self._jobs[job_id]
            for state in selected
            for job_id in self._ids_by_state[state]
        ]

    def unfinished_jobs(self, contract: str) -> list[model.Job]:
        """Return the unfinished jobs of a contract, oldest first."""
        ids = self._unfinished_ids_by_contract.get(contract, ())
        return [
            self._jobs[job_id]
            for job_id in sorted(ids, key=self._number_by_id.__getitem__)
        ]

    def contracts_with_unfinished_jobs(self) -> Iterable[str]:
        """Return the contracts that have unfinished jobs."""
        return self._unfinished_ids_by_contract.keys()

    def list_jobs(
        self, account: str, state: model.JobState | None, limit: int
    ) -> list[model.Job]:
        """Return the newest jobs of a client account, newest first."""
        states = [state] if state is not None else list(model.JobState)
        ids = (
            job_id
            for state in states
            for job_id in self._ids_by_account.get((account, state), ())
        )
        newest = heapq.nlargest(limit, ids, key=self._number_by_id.__getitem__)
        return [self._jobs[job_id] for job_id in newest]

    def take_changed_job_ids(self) -> list[str]:
        """Return the ids of the jobs changed since the last call, by first change."""
        changed = list(self._changed_ids)
        self._changed_ids.clear()
        return changed

    def apply(self, index: int, command_bytes: bytes) -> bytes:
        """Apply one committed command."""
        del index
        cmd = command.decode(command_bytes)
        # The clocks of successive leaders differ, so the machine's time takes the
        # maximum and never goes back.
        self._now = max(self._now, cmd.at)
        try:
            result: command.Result = _HANDLERS[type(cmd)](self, cmd)
        except errors.MarjoramusherError as error:
            result = command.Refused(error.body())
        self._remove_expired()
        return codec.pack(result)

    def snapshot(self) -> bytes:
        """Return the complete state as bytes."""
        return codec.pack(
            Snapshot(
                format=FORMAT,
                failure_domain=self._failure_domain,
                at=self._now,
                next_number=self._next_number,
                jobs=list(self._jobs.values()),
                stopping=self._pending_stops,
                finished=list(self._finished_ids),
                keys=list(self._key_entries.values()),
                quarantines=self._quarantines,
                recovered_at=self._recovered_at,
                attempts=self._attempts,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with one that `snapshot` returned.

        Raises
        ------
        MarjoramusherError
            With code ``store_corrupt`` if the format or the failure domain differs.
        """
        state = codec.unpack(data, Snapshot)
        if state.format != FORMAT or state.failure_domain != self._failure_domain:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT,
                f"snapshot has format {state.format} and failure domain "
                f"{state.failure_domain!r}, expected format {FORMAT} and "
                f"{self._failure_domain!r}",
            )
        previous_ids = [job_id for job_id in self._jobs]
        self._reset()
        self._changed_ids = dict.fromkeys(previous_ids)
        self._now = state.at
        self._next_number = state.next_number
        self._pending_stops = dict(state.stopping)
        self._key_entries = {(entry.account, entry.key): entry for entry in state.keys}
        self._quarantines = dict(state.quarantines)
        self._recovered_at = state.recovered_at
        self._attempts = dict(state.attempts)
        for job in state.jobs:
            self._store(job)
            self._ledger.allocate(job)
        self._finished_ids = dict.fromkeys(state.finished)

    def _apply_submit_job(self, cmd: command.SubmitJob) -> command.Result:
        spec = cmd.spec
        if cmd.key:
            key_entry = self._key_entries.get((spec.account, cmd.key))
            if key_entry is not None:
                return self._repeat_submission(key_entry, cmd)
            if self._may_repeat_lost_job(cmd):
                raise errors.MarjoramusherError(
                    errors.ErrorCode.OUTCOME_UNKNOWN,
                    "jobs submitted before the recovery may have been lost",
                    errors.Outcome.UNKNOWN,
                )
        self._check_queue_limits(spec.account)
        job_id = f"job-{self._failure_domain}-{self._next_number}"
        self._next_number += 1
        if cmd.key:
            self._key_entries[spec.account, cmd.key] = KeyEntry(
                spec.account, cmd.key, job_id, cmd.fingerprint, self._now
            )
        job = model.Job(job_id, spec, model.JobState.QUEUED, submitted_at=cmd.at)
        self._store(job)
        return command.JobResult(job)

    def _check_queue_limits(self, account: str) -> None:
        unfinished_states = [
            state for state in model.JobState if state not in model.FINAL_STATES
        ]
        account_count = sum(
            len(self._ids_by_account.get((account, state), ()))
            for state in unfinished_states
        )
        domain_count = sum(
            len(self._ids_by_state[state]) for state in unfinished_states
        )
        if (
            account_count >= MAX_UNFINISHED_JOBS_PER_ACCOUNT
            or domain_count >= MAX_UNFINISHED_JOBS
        ):
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED, "too many unfinished jobs"
            )

    def _repeat_submission(
        self, key_entry: KeyEntry, cmd: command.SubmitJob
    ) -> command.JobResult:
        if key_entry.fingerprint != cmd.fingerprint:
            raise errors.MarjoramusherError(
                errors.ErrorCode.KEY_REUSED,
                "the idempotency key was used for another job",
                details={"job_id": key_entry.job_id},
            )
        job = self._jobs.get(key_entry.job_id)
        if job is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.ANSWER_EXPIRED,
                f"{key_entry.job_id} has finished and is no longer retained",
                errors.Outcome.DONE,
                {"job_id": key_entry.job_id},
            )
        return command.JobResult(job, repeated=True)

    def _may_repeat_lost_job(self, cmd: command.SubmitJob) -> bool:
        if self._recovered_at is None:
            return False
        if cmd.issued_at is not None:
            return cmd.issued_at < self._recovered_at
        # Callers retry for less than the retention time of a key, so a later
        # submission can't repeat a job lost in the recovery.
        return self._now < self._recovered_at + KEY_RETENTION_S

    def _apply_cancel_job(self, cmd: command.CancelJob) -> command.Result:
        job = self._get_job(cmd.job_id)
        if job.state in model.FINAL_STATES:
            return command.JobResult(job, repeated=True)
        if job.state is model.JobState.QUEUED:
            return self._finish(job, model.JobState.CANCELLED, None)
        return self._mark_stopping(job, PendingStop(command.StopCause.CANCELLED))

    def _apply_allocate_gang(self, cmd: command.AllocateGang) -> command.Result:
        job = self._get_job(cmd.job_id)
        if job.state is not model.JobState.QUEUED:
            raise _conflict_error(job, "the job is not queued")
        if job.epoch != cmd.expected_epoch:
            raise _stale_epoch_error(job, cmd.expected_epoch)
        if len(cmd.workers) != job.spec.shape.tasks:
            raise _conflict_error(
                job,
                "the number of workers differs from the number of tasks in the gang",
            )
        for worker in cmd.workers:
            if worker in self._quarantines:
                raise _conflict_error(job, f"worker {worker} is quarantined")
        overcommitted = self._ledger.find_overcommitted_worker(
            cmd.workers, job.spec.shape.each, cmd.capacities
        )
        if overcommitted is not None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED,
                f"worker {overcommitted} has too few free resources for the gang",
                details={"worker": overcommitted},
            )
        epoch = job.epoch + 1
        tasks = tuple(
            model.TaskPlacement(f"{job.job_id}.{index}", worker)
            for index, worker in enumerate(cmd.workers)
        )
        job = msgspec.structs.replace(
            job,
            state=model.JobState.ALLOCATED,
            epoch=epoch,
            allocation=model.Allocation(epoch, tasks, cmd.guarantee),
            attempts=job.attempts + 1,
        )
        self._add_attempt(job.job_id, cmd)
        self._ledger.allocate(job)
        self._store(job)
        return command.JobResult(job)

    def _add_attempt(self, job_id: str, cmd: command.AllocateGang) -> None:
        """Record an attempt before its resources are added to the ledger."""
        shared = []
        for worker in sorted(set(cmd.workers)):
            others = {item.job_id for item in self._ledger.holdings(worker)}
            if others:
                shared.append(worker)
            for other_id in others:
                other = self._attempts.get(other_id)
                if other is not None and worker not in other.shared:
                    self._attempts[other_id] = msgspec.structs.replace(
                        other, shared=tuple(sorted((*other.shared, worker)))
                    )
        if cmd.incarnations:
            self._attempts[job_id] = Attempt(self._now, cmd.incarnations, tuple(shared))

    def _apply_gang_started(self, cmd: command.GangStarted) -> command.Result:
        job = self._get_allocated_job(cmd.job_id, cmd.epoch)
        if job.state is model.JobState.RUNNING:
            return command.JobResult(job, repeated=True)
        if job.state is not model.JobState.ALLOCATED:
            raise _conflict_error(job, "the gang is stopping")
        job = msgspec.structs.replace(
            job, state=model.JobState.RUNNING, started_at=cmd.at
        )
        self._store(job)
        return command.JobResult(job)

    def _apply_gang_stopping(self, cmd: command.GangStopping) -> command.Result:
        job = self._get_allocated_job(cmd.job_id, cmd.epoch)
        if job.state is model.JobState.STOPPING:
            return command.JobResult(job, repeated=True)
        return self._mark_stopping(job, PendingStop(cmd.cause))

    def _apply_gang_stopped(self, cmd: command.GangStopped) -> command.Result:
        job = self._get_allocated_job(cmd.job_id, cmd.epoch)
        pending_stop = self._pending_stops.get(job.job_id)
        if pending_stop is None:
            raise _conflict_error(job, "the gang is not stopping")
        if cmd.checkpoint:
            job = msgspec.structs.replace(
                job, checkpoint=cmd.checkpoint, progress_s=cmd.progress_s
            )
        previous_job = job
        job = self._record_crashes(job, pending_stop, cmd)
        if pending_stop.cause is command.StopCause.CANCELLED:
            return self._finish(job, model.JobState.CANCELLED, None)
        if pending_stop.cause is command.StopCause.CONTRACT_EXPIRED:
            return self._finish(
                job,
                model.JobState.FAILED,
                _contract_expired_error(job, cmd.may_have_run),
            )
        if cmd.may_have_run and not job.spec.repeatable:
            return self._finish(
                job, model.JobState.FAILED, _interruption_error(pending_stop.cause)
            )
        cause_error = suspect.find_cause_error(job, self._now * 1000)
        if cause_error is not None and job is not previous_job:
            return self._finish(job, model.JobState.FAILED, cause_error)
        return self._requeue(job, job.epoch + 1)

    def _record_crashes(
        self, job: model.Job, pending_stop: PendingStop, cmd: command.GangStopped
    ) -> model.Job:
        """Record the crashes and possible crashes of an attempt that has stopped."""
        attempt = self._attempts.get(job.job_id)
        now_ms = int(self._now * 1000)
        crashes, lapsed = [], []
        if cmd.crashed is None:
            crashes = self._untold_crashes(job, pending_stop, cmd)
        elif attempt is not None:
            is_sudden = (
                pending_stop.cause in LOSS_CAUSES
                and pending_stop.at < attempt.at + SUDDEN_LOSS_S
            )
            crashes, lapsed = (
                [
                    model.WorkerCrash(
                        job.epoch,
                        worker,
                        now_ms,
                        is_sudden,
                        worker not in attempt.shared,
                        attempt.incarnations[worker],
                    )
                    for worker in workers
                    if worker in attempt.incarnations
                ]
                for workers in (cmd.crashed, cmd.lapsed)
            )
        if not crashes and not lapsed:
            return job
        return msgspec.structs.replace(
            job,
            crashes=tuple(crash.recent([*job.crashes, *crashes], now_ms)),
            possible_crashes=tuple(
                crash.recent([*job.possible_crashes, *lapsed], now_ms)
            ),
        )

    def _untold_crashes(
        self, job: model.Job, pending_stop: PendingStop, cmd: command.GangStopped
    ) -> list[model.WorkerCrash]:
        """Return the crash that a leader of an earlier version may have seen.

        It may have been mere silence, so it is the weakest evidence. Only what earlier
        versions keep, too, decides about it, since their snapshots hold nothing else.
        """
        if (
            pending_stop.cause is not command.StopCause.WORKER_LOST
            or not cmd.may_have_run
            or job.allocation is None
            or job.started_at is None
            or cmd.at >= job.started_at + crash.SURVIVAL_S
        ):
            return []
        worker = job.allocation.tasks[0].worker
        return [
            model.WorkerCrash(job.epoch, worker, int(self._now * 1000), is_sudden=True)
        ]

    def _apply_worker_heard(self, cmd: command.WorkerHeard) -> command.Result:
        changed = []
        # Sorted for the same reason as in `_apply_recover_with_loss`.
        job_ids = sorted(
            self._ids_by_lapsed_worker.get(cmd.worker, ()),
            key=self._number_by_id.__getitem__,
        )
        for job_id in job_ids:
            job = self._jobs[job_id]
            heard = [
                item
                for item in job.possible_crashes
                if item.address == cmd.worker and item.incarnation <= cmd.incarnation
            ]
            if not heard:
                continue
            confirmed = [
                item
                for item in heard
                if item.incarnation < cmd.incarnation and not cmd.is_planned
            ]
            job = msgspec.structs.replace(
                job,
                crashes=(*job.crashes, *confirmed),
                possible_crashes=tuple(
                    item for item in job.possible_crashes if item not in heard
                ),
            )
            changed.append(self._settle(job))
        return command.JobsResult(tuple(changed))

    def _settle(self, job: model.Job) -> model.Job:
        """Store a job with further crashes; fail it if it is queued and their cause."""
        cause_error = suspect.find_cause_error(job, self._now * 1000)
        if job.state is model.JobState.QUEUED and cause_error is not None:
            return self._finish(job, model.JobState.FAILED, cause_error).job
        self._store(job)
        return job

    def _apply_gang_ended(self, cmd: command.GangEnded) -> command.Result:
        job = self._get_job(cmd.job_id)
        if job.state in model.FINAL_STATES and job.epoch == cmd.epoch:
            return command.JobResult(job, repeated=True)
        job = self._get_allocated_job(cmd.job_id, cmd.epoch)
        state = model.JobState.DONE if cmd.error is None else model.JobState.FAILED
        return self._finish(job, state, cmd.error)

    def _apply_task_failed(self, cmd: command.TaskFailed) -> command.Result:
        job = self._get_allocated_job(cmd.job_id, cmd.epoch)
        others = [worker for worker in job.failed_on if worker != cmd.worker]
        job = msgspec.structs.replace(
            job, failed_on=(*others, cmd.worker)[-MAX_FAILED_ON_WORKERS:]
        )
        self._store(job)
        return command.JobResult(job)

    def _apply_reject_job(self, cmd: command.RejectJob) -> command.Result:
        job = self._get_job(cmd.job_id)
        if job.state is not model.JobState.QUEUED:
            raise _conflict_error(job, "only a queued job can be rejected")
        error = cmd.error
        if job.attempts:
            error = msgspec.structs.replace(error, outcome=errors.Outcome.UNKNOWN)
        return self._finish(job, model.JobState.FAILED, error)

    def _apply_contract_expired(self, cmd: command.ContractExpired) -> command.Result:
        changed = 0
        until = cmd.at + cmd.grace_s
        for job in self.unfinished_jobs(cmd.contract):
            if job.state is model.JobState.QUEUED:
                error = _contract_expired_error(job, job.attempts > 0)
                self._finish(job, model.JobState.FAILED, error)
            elif job.state is model.JobState.STOPPING:
                continue  # Fails as expired once it is queued again.
            else:
                self._mark_stopping(
                    job, PendingStop(command.StopCause.CONTRACT_EXPIRED, until)
                )
            changed += 1
        return command.CountResult(changed)

    def _apply_quarantine_worker(self, cmd: command.QuarantineWorker) -> command.Result:
        if cmd.worker in self._quarantines:
            return command.CountResult(0)
        self._quarantines[cmd.worker] = cmd.reason
        return command.CountResult(1)

    def _apply_release_worker(self, cmd: command.ReleaseWorker) -> command.Result:
        was_quarantined = self._quarantines.pop(cmd.worker, None) is not None
        return command.CountResult(int(was_quarantined))

    def _apply_recover_with_loss(self, cmd: command.RecoverWithLoss) -> command.Result:
        self._recovered_at = max(cmd.mark, self._recovered_at or cmd.mark)
        self._next_number += RECOVERY_NUMBER_GAP
        # Sorts by number because the order of the indexes differs on a replica that
        # has rebuilt them from a snapshot.
        unfinished = sorted(self.jobs(), key=lambda job: self._number_by_id[job.job_id])
        for job in unfinished:
            epoch = job.epoch + RECOVERY_EPOCH_GAP
            if job.spec.repeatable:
                # The lost commands may have included an attempt.
                attempts = max(job.attempts, 1)
                job = msgspec.structs.replace(job, attempts=attempts)
                self._requeue(job, epoch)
            else:
                # A lost command may have started this job, even if it is queued here.
                self._finish(
                    msgspec.structs.replace(job, epoch=epoch),
                    model.JobState.FAILED,
                    _outcome_unknown_error("the job may have run before the recovery"),
                )
        return command.CountResult(len(unfinished))

    def _get_job(self, job_id: str) -> model.Job:
        job = self._jobs.get(job_id)
        if job is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"no job {job_id}"
            )
        return job

    def _get_allocated_job(self, job_id: str, epoch: int) -> model.Job:
        job = self._get_job(job_id)
        if job.epoch != epoch:
            raise _stale_epoch_error(job, epoch)
        if job.allocation is None:
            raise _conflict_error(job, "the job has no allocation")
        return job

    def _mark_stopping(
        self, job: model.Job, pending_stop: PendingStop
    ) -> command.JobResult:
        self._pending_stops[job.job_id] = msgspec.structs.replace(
            pending_stop, at=self._now
        )
        job = msgspec.structs.replace(job, state=model.JobState.STOPPING)
        self._store(job)
        return command.JobResult(job)

    def _requeue(self, job: model.Job, epoch: int) -> command.JobResult:
        self._release(job)
        job = msgspec.structs.replace(
            job,
            state=model.JobState.QUEUED,
            epoch=epoch,
            allocation=None,
        )
        self._store(job)
        return command.JobResult(job)

    def _finish(
        self,
        job: model.Job,
        state: model.JobState,
        error: errors.ErrorBody | None,
    ) -> command.JobResult:
        self._release(job)
        # The payload of a finished job is never read again and may be much larger than
        # the rest of the job.
        job = msgspec.structs.replace(
            job,
            spec=msgspec.structs.replace(job.spec, payload=""),
            state=state,
            ended_at=self._now,
            error=error,
            allocation=None,
            possible_crashes=(),
        )
        self._store(job)
        self._finished_ids[job.job_id] = None
        return command.JobResult(job)

    def _release(self, job: model.Job) -> None:
        self._ledger.release(job)
        self._pending_stops.pop(job.job_id, None)
        self._attempts.pop(job.job_id, None)

    def _store(self, job: model.Job) -> None:
        job_id = job.job_id
        previous = self._jobs.get(job_id)
        if previous is None:
            self._number_by_id[job_id] = int(job_id.rpartition("-")[2])
        else:
            self._unindex(previous)
        self._jobs[job_id] = job
        self._ids_by_state[job.state][job_id] = None
        account_key = (job.spec.account, job.state)
        self._ids_by_account.setdefault(account_key, {})[job_id] = None
        if job.state not in model.FINAL_STATES:
            self._unfinished_ids_by_contract.setdefault(job.spec.contract, {})[
                job_id
            ] = None
        for item in job.possible_crashes:
            self._ids_by_lapsed_worker.setdefault(item.address, {})[job_id] = None
        self._changed_ids[job_id] = None

    def _unindex(self, job: model.Job) -> None:
        del self._ids_by_state[job.state][job.job_id]
        _remove_from_index(
            self._ids_by_account, (job.spec.account, job.state), job.job_id
        )
        if job.state not in model.FINAL_STATES:
            _remove_from_index(
                self._unfinished_ids_by_contract, job.spec.contract, job.job_id
            )
        for worker in {item.address for item in job.possible_crashes}:
            _remove_from_index(self._ids_by_lapsed_worker, worker, job.job_id)

    def _remove_expired(self) -> None:
        while self._finished_ids:
            oldest = self._jobs[next(iter(self._finished_ids))]
            is_expired = oldest.ended_at is not None and (
                oldest.ended_at + FINISHED_RETENTION_S < self._now
            )
            if not is_expired and len(self._finished_ids) <= MAX_FINISHED_JOBS:
                break
            del self._finished_ids[oldest.job_id]
            self._unindex(oldest)
            del self._jobs[oldest.job_id]
            del self._number_by_id[oldest.job_id]
            self._changed_ids.pop(oldest.job_id, None)
        while self._key_entries:
            key, entry = next(iter(self._key_entries.items()))
            if entry.at + KEY_RETENTION_S >= self._now:
                break
            del self._key_entries[key]


def _remove_from_index(
    index: dict[Any, dict[str, None]], key: Any, job_id: str
) -> None:
    ids = index[key]
    del ids[job_id]
    if not ids:
        del index[key]


def _conflict_error(job: model.Job, message: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.VERSION_CONFLICT,
        message,
        details={"job_id": job.job_id, "state": job.state.value},
    )


def _stale_epoch_error(job: model.Job, epoch: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.STALE_EPOCH,
        f"epoch {epoch} of {job.job_id} is stale; the current epoch is {job.epoch}",
        details={"epoch": str(job.epoch)},
    )


def _outcome_unknown_error(message: str) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.OUTCOME_UNKNOWN, errors.Outcome.UNKNOWN, message
    )


def _interruption_error(cause: command.StopCause) -> errors.ErrorBody:
    if cause is command.StopCause.TASK_FAILED:
        return errors.ErrorBody(
            errors.ErrorCode.TARGET_FAILED,
            errors.Outcome.UNKNOWN,
            "a task failed and the job is not repeatable",
        )
    return _outcome_unknown_error(
        f"stopped by {cause.value} and the job is not repeatable"
    )


def _contract_expired_error(job: model.Job, may_have_run: bool) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.CONTRACT_EXPIRED,
        errors.Outcome.UNKNOWN if may_have_run else errors.Outcome.NOT_RUN,
        f"contract {job.spec.contract} has expired",
    )


_HANDLERS: dict[type, Any] = {
    command.SubmitJob: JobsMachine._apply_submit_job,
    command.CancelJob: JobsMachine._apply_cancel_job,
    command.AllocateGang: JobsMachine._apply_allocate_gang,
    command.GangStarted: JobsMachine._apply_gang_started,
    command.GangStopping: JobsMachine._apply_gang_stopping,
    command.GangStopped: JobsMachine._apply_gang_stopped,
    command.GangEnded: JobsMachine._apply_gang_ended,
    command.TaskFailed: JobsMachine._apply_task_failed,
    command.WorkerHeard: JobsMachine._apply_worker_heard,
    command.RejectJob: JobsMachine._apply_reject_job,
    command.ContractExpired: JobsMachine._apply_contract_expired,
    command.QuarantineWorker: JobsMachine._apply_quarantine_worker,
    command.ReleaseWorker: JobsMachine._apply_release_worker,
    command.RecoverWithLoss: JobsMachine._apply_recover_with_loss,
}
