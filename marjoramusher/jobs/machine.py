"""The jobs of one failure domain as a replicated state machine."""

import heapq
from collections.abc import Iterable
from typing import Any

import msgspec

from ..core import codec, errors
from ..core import job as model
from . import command, ledger

FORMAT = 1

FINISHED_AGE_S = 24 * 3600.0
FINISHED_COUNT = 4096  # about 1 KB each, within the 64 MB of an instance

UNFINISHED_COUNT = 16384  # one domain's jobs of more than ten days at 10,000 a day
ACCOUNT_UNFINISHED_COUNT = 8192  # one client account can't close the queue to others

KEY_AGE_S = 24 * 3600.0

FAILED_ON_COUNT = 16  # enough for the placer to tell a bad job from bad workers

# Lost commands may have raised epochs and given out job numbers. Both continue far
# above what could have been committed between two acknowledgements of the survivor.
RECOVERY_EPOCHS = 1_000
RECOVERY_NUMBERS = 1_000_000

GRACEFUL = frozenset(
    {
        command.StopCause.RECLAIM,
        command.StopCause.OVERUSE,
        command.StopCause.DEFRAGMENT,
        command.StopCause.CONTRACT_EXPIRED,
    }
)
"""Causes for which the gang checkpoints before it stops."""


class Stopping(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why and until when a gang stops.

    Parameters
    ----------
    until : float
        Instant at which the tasks must stop, in seconds since the Unix epoch; 0 for
        as soon as possible.
    """

    cause: command.StopCause
    until: float = 0.0


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """Job that an idempotency key has added."""

    account: str
    key: str
    job_id: str
    fingerprint: str
    at: float


class Snapshot(msgspec.Struct, frozen=True, omit_defaults=True):
    """Whole state in the order in which it was built."""

    format: int
    failure_domain: str
    at: float
    next_number: int
    jobs: list[model.Job]
    stopping: dict[str, Stopping]
    finished: list[str]
    keys: list[KeyEntry]
    quarantines: dict[str, str]
    recovered_at: float | None = None


class JobsMachine:
    """Keep jobs, gang allocations and automatic quarantines.

    Parameters
    ----------
    failure_domain : str
        Failure domain that owns the jobs; part of their ids.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._clear()

    def _clear(self) -> None:
        self._at = 0.0
        self._next_number = 1
        self._jobs: dict[str, model.Job] = {}
        self._numbers: dict[str, int] = {}
        self._stopping: dict[str, Stopping] = {}
        self._keys: dict[tuple[str, str], KeyEntry] = {}
        self._quarantines: dict[str, str] = {}
        self._recovered_at: float | None = None
        self._finished: dict[str, None] = {}
        self._changed: dict[str, None] = {}
        self._by_state: dict[model.JobState, dict[str, None]] = {
            state: {} for state in model.JobState
        }
        self._by_account: dict[tuple[str, model.JobState], dict[str, None]] = {}
        self._by_contract: dict[str, dict[str, None]] = {}
        self._ledger = ledger.Ledger()

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that owns the jobs."""
        return self._failure_domain

    @property
    def ledger(self) -> ledger.Ledger:
        """Return the allocations by worker; not to be changed."""
        return self._ledger

    @property
    def quarantines(self) -> dict[str, str]:
        """Return the reason of each automatic quarantine by worker."""
        return dict(self._quarantines)

    @property
    def queued_count(self) -> int:
        """Return the number of queued jobs."""
        return len(self._by_state[model.JobState.QUEUED])

    @property
    def recovered_at(self) -> float | None:
        """Return the mark of the last recovery with loss."""
        return self._recovered_at

    def job(self, job_id: str) -> model.Job | None:
        """Return a job, or None if it is unknown or no longer kept."""
        return self._jobs.get(job_id)

    def stopping(self, job_id: str) -> Stopping | None:
        """Return why a job stops, or None if it does not."""
        return self._stopping.get(job_id)

    def jobs(self, *states: model.JobState) -> list[model.Job]:
        """Return the jobs in the given states, or all that are not finished."""
        wanted = states or tuple(
            state for state in model.JobState if state not in model.FINAL_STATES
        )
        return [self._jobs[i] for state in wanted for i in self._by_state[state]]

    def unfinished(self, contract: str) -> list[model.Job]:
        """Return the jobs of a contract that are not finished, oldest first."""
        ids = self._by_contract.get(contract, ())
        return [self._jobs[i] for i in sorted(ids, key=self._numbers.__getitem__)]

    def contracts(self) -> Iterable[str]:
        """Return the contracts that have unfinished jobs."""
        return self._by_contract.keys()

    def list_jobs(
        self, account: str, state: model.JobState | None, limit: int
    ) -> list[model.Job]:
        """Return the newest jobs of a client account, newest first."""
        states = [state] if state is not None else list(model.JobState)
        ids = (i for s in states for i in self._by_account.get((account, s), ()))
        newest = heapq.nlargest(limit, ids, key=self._numbers.__getitem__)
        return [self._jobs[i] for i in newest]

    def drain_changes(self) -> list[str]:
        """Return the ids of the jobs changed since the last call, oldest first."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def apply(self, index: int, command_bytes: bytes) -> bytes:
        """Apply one committed command."""
        del index
        value = command.decode(command_bytes)
        # Clocks of successive leaders differ; time never goes back in the machine.
        self._at = max(self._at, value.at)
        try:
            outcome: command.Result = _HANDLERS[type(value)](self, value)
        except errors.MarjoramusherError as error:
            outcome = command.Refused(error.body())
        self._expire()
        return codec.pack(outcome)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return codec.pack(
            Snapshot(
                format=FORMAT,
                failure_domain=self._failure_domain,
                at=self._at,
                next_number=self._next_number,
                jobs=list(self._jobs.values()),
                stopping=self._stopping,
                finished=list(self._finished),
                keys=list(self._keys.values()),
                quarantines=self._quarantines,
                recovered_at=self._recovered_at,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` gave.

        Raises
        ------
        MarjoramusherError
            With code ``store_corrupt`` if the format or the failure domain differs.
        """
        state = codec.unpack(data, Snapshot)
        if state.format != FORMAT or state.failure_domain != self._failure_domain:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT,
                f"snapshot has format {state.format} of {state.failure_domain}",
            )
        gone = [job_id for job_id in self._jobs]
        self._clear()
        self._changed = dict.fromkeys(gone)
        self._at = state.at
        self._next_number = state.next_number
        self._stopping = dict(state.stopping)
        self._keys = {(entry.account, entry.key): entry for entry in state.keys}
        self._quarantines = dict(state.quarantines)
        self._recovered_at = state.recovered_at
        for item in state.jobs:
            self._put(item)
            self._ledger.hold(item)
        self._finished = dict.fromkeys(state.finished)

    def _submit(self, value: command.SubmitJob) -> command.Result:
        spec = value.spec
        if value.key:
            known = self._keys.get((spec.account, value.key))
            if known is not None:
                return self._resubmitted(known, value)
            if self._may_be_lost(value):
                raise errors.MarjoramusherError(
                    errors.ErrorCode.OUTCOME_UNKNOWN,
                    "jobs submitted before the recovery may have been lost",
                    errors.Outcome.UNKNOWN,
                )
        self._admit(spec.account)
        job_id = f"job-{self._failure_domain}-{self._next_number}"
        self._next_number += 1
        if value.key:
            self._keys[spec.account, value.key] = KeyEntry(
                spec.account, value.key, job_id, value.fingerprint, self._at
            )
        item = model.Job(job_id, spec, model.JobState.QUEUED, submitted_at=value.at)
        self._put(item)
        return command.JobResult(item)

    def _admit(self, account: str) -> None:
        open_states = [s for s in model.JobState if s not in model.FINAL_STATES]
        mine = sum(len(self._by_account.get((account, s), ())) for s in open_states)
        total = sum(len(self._by_state[s]) for s in open_states)
        if mine >= ACCOUNT_UNFINISHED_COUNT or total >= UNFINISHED_COUNT:
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED, "too many jobs are not finished"
            )

    def _resubmitted(
        self, known: KeyEntry, value: command.SubmitJob
    ) -> command.JobResult:
        if known.fingerprint != value.fingerprint:
            raise errors.MarjoramusherError(
                errors.ErrorCode.KEY_REUSED,
                "the idempotency key belongs to another job",
                details={"job_id": known.job_id},
            )
        item = self._jobs.get(known.job_id)
        if item is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.ANSWER_EXPIRED,
                f"{known.job_id} has finished and is no longer kept",
                errors.Outcome.DONE,
                {"job_id": known.job_id},
            )
        return command.JobResult(item, repeated=True)

    def _may_be_lost(self, value: command.SubmitJob) -> bool:
        if self._recovered_at is None:
            return False
        if value.issued_at is not None:
            return value.issued_at < self._recovered_at
        # A caller resends for less than the age of a key, so later ones are new.
        return self._at < self._recovered_at + KEY_AGE_S

    def _cancel(self, value: command.CancelJob) -> command.Result:
        item = self._require(value.job_id)
        if item.state in model.FINAL_STATES:
            return command.JobResult(item, repeated=True)
        if item.state is model.JobState.QUEUED:
            return self._finish(item, model.JobState.CANCELLED, None)
        return self._stop(item, Stopping(command.StopCause.CANCELLED))

    def _allocate(self, value: command.AllocateGang) -> command.Result:
        item = self._require(value.job_id)
        if item.state is not model.JobState.QUEUED:
            raise _conflict(item, "the job is not queued")
        if item.epoch != value.expected_epoch:
            raise _stale(item, value.expected_epoch)
        if len(value.workers) != item.spec.shape.tasks:
            raise _conflict(item, "the gang has another number of tasks")
        for worker in value.workers:
            if worker in self._quarantines:
                raise _conflict(item, f"worker {worker} is quarantined")
        short = self._ledger.shortage(
            value.workers, item.spec.shape.each, value.capacities
        )
        if short is not None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED,
                f"worker {short} has no room for the gang",
                details={"worker": short},
            )
        epoch = item.epoch + 1
        tasks = tuple(
            model.TaskPlacement(f"{item.job_id}.{index}", worker)
            for index, worker in enumerate(value.workers)
        )
        item = msgspec.structs.replace(
            item,
            state=model.JobState.ALLOCATED,
            epoch=epoch,
            allocation=model.Allocation(epoch, tasks, value.guarantee),
            attempts=item.attempts + 1,
        )
        self._ledger.hold(item)
        self._put(item)
        return command.JobResult(item)

    def _started(self, value: command.GangStarted) -> command.Result:
        item = self._holding(value.job_id, value.epoch)
        if item.state is model.JobState.RUNNING:
            return command.JobResult(item, repeated=True)
        if item.state is not model.JobState.ALLOCATED:
            raise _conflict(item, "the gang is stopping")
        item = msgspec.structs.replace(
            item, state=model.JobState.RUNNING, started_at=value.at
        )
        self._put(item)
        return command.JobResult(item)

    def _begin_stop(self, value: command.GangStopping) -> command.Result:
        item = self._holding(value.job_id, value.epoch)
        if item.state is model.JobState.STOPPING:
            return command.JobResult(item, repeated=True)
        return self._stop(item, Stopping(value.cause))

    def _stopped(self, value: command.GangStopped) -> command.Result:
        item = self._holding(value.job_id, value.epoch)
        stopping = self._stopping.get(item.job_id)
        if stopping is None:
            raise _conflict(item, "the gang is not stopping")
        if value.checkpoint:
            item = msgspec.structs.replace(
                item, checkpoint=value.checkpoint, progress_s=value.progress_s
            )
        if stopping.cause is command.StopCause.CANCELLED:
            return self._finish(item, model.JobState.CANCELLED, None)
        if stopping.cause is command.StopCause.CONTRACT_EXPIRED:
            return self._finish(
                item, model.JobState.FAILED, _expired(item, value.may_have_run)
            )
        if value.may_have_run and not item.spec.repeatable:
            return self._finish(item, model.JobState.FAILED, _cut(stopping.cause))
        return self._requeue(item, item.epoch + 1)

    def _ended(self, value: command.GangEnded) -> command.Result:
        item = self._require(value.job_id)
        if item.state in model.FINAL_STATES and item.epoch == value.epoch:
            return command.JobResult(item, repeated=True)
        item = self._holding(value.job_id, value.epoch)
        state = model.JobState.DONE if value.error is None else model.JobState.FAILED
        return self._finish(item, state, value.error)

    def _task_failed(self, value: command.TaskFailed) -> command.Result:
        item = self._holding(value.job_id, value.epoch)
        others = [worker for worker in item.failed_on if worker != value.worker]
        item = msgspec.structs.replace(
            item, failed_on=(*others, value.worker)[-FAILED_ON_COUNT:]
        )
        self._put(item)
        return command.JobResult(item)

    def _reject(self, value: command.RejectJob) -> command.Result:
        item = self._require(value.job_id)
        if item.state is not model.JobState.QUEUED:
            raise _conflict(item, "only a queued job can be rejected")
        error = value.error
        if item.attempts:
            error = msgspec.structs.replace(error, outcome=errors.Outcome.UNKNOWN)
        return self._finish(item, model.JobState.FAILED, error)

    def _contract_expired(self, value: command.ContractExpired) -> command.Result:
        changed = 0
        until = value.at + value.grace_s
        for item in self.unfinished(value.contract):
            if item.state is model.JobState.QUEUED:
                error = _expired(item, item.attempts > 0)
                self._finish(item, model.JobState.FAILED, error)
            elif item.state is model.JobState.STOPPING:
                continue  # expires when it is back in the queue
            else:
                self._stop(item, Stopping(command.StopCause.CONTRACT_EXPIRED, until))
            changed += 1
        return command.CountResult(changed)

    def _quarantine(self, value: command.QuarantineWorker) -> command.Result:
        if value.worker in self._quarantines:
            return command.CountResult(0)
        self._quarantines[value.worker] = value.reason
        return command.CountResult(1)

    def _release_worker(self, value: command.ReleaseWorker) -> command.Result:
        known = self._quarantines.pop(value.worker, None) is not None
        return command.CountResult(int(known))

    def _recover(self, value: command.RecoverWithLoss) -> command.Result:
        self._recovered_at = max(value.mark, self._recovered_at or value.mark)
        self._next_number += RECOVERY_NUMBERS
        # The order must not depend on the indexes, which a restored snapshot rebuilds.
        unfinished = sorted(self.jobs(), key=lambda item: self._numbers[item.job_id])
        for item in unfinished:
            epoch = item.epoch + RECOVERY_EPOCHS
            if item.spec.repeatable:
                # An attempt may have been lost with the commands.
                attempts = max(item.attempts, 1)
                item = msgspec.structs.replace(item, attempts=attempts)
                self._requeue(item, epoch)
            else:
                # A queued job may have started by a command that was lost.
                self._finish(
                    msgspec.structs.replace(item, epoch=epoch),
                    model.JobState.FAILED,
                    _unknown("the job may have run before the recovery"),
                )
        return command.CountResult(len(unfinished))

    def _require(self, job_id: str) -> model.Job:
        item = self._jobs.get(job_id)
        if item is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"no job {job_id}"
            )
        return item

    def _holding(self, job_id: str, epoch: int) -> model.Job:
        item = self._require(job_id)
        if item.epoch != epoch:
            raise _stale(item, epoch)
        if item.allocation is None:
            raise _conflict(item, "the job holds no workers")
        return item

    def _stop(self, item: model.Job, stopping: Stopping) -> command.JobResult:
        self._stopping[item.job_id] = stopping
        item = msgspec.structs.replace(item, state=model.JobState.STOPPING)
        self._put(item)
        return command.JobResult(item)

    def _requeue(self, item: model.Job, epoch: int) -> command.JobResult:
        self._ledger.release(item)
        self._stopping.pop(item.job_id, None)
        item = msgspec.structs.replace(
            item,
            state=model.JobState.QUEUED,
            epoch=epoch,
            allocation=None,
        )
        self._put(item)
        return command.JobResult(item)

    def _finish(
        self,
        item: model.Job,
        state: model.JobState,
        error: errors.ErrorBody | None,
    ) -> command.JobResult:
        self._ledger.release(item)
        self._stopping.pop(item.job_id, None)
        # Nothing reads the payload of a finished job; it may be many times its size.
        item = msgspec.structs.replace(
            item,
            spec=msgspec.structs.replace(item.spec, payload=""),
            state=state,
            ended_at=self._at,
            error=error,
            allocation=None,
        )
        self._put(item)
        self._finished[item.job_id] = None
        return command.JobResult(item)

    def _put(self, item: model.Job) -> None:
        job_id = item.job_id
        previous = self._jobs.get(job_id)
        if previous is None:
            self._numbers[job_id] = int(job_id.rpartition("-")[2])
        else:
            self._unindex(previous)
        self._jobs[job_id] = item
        self._by_state[item.state][job_id] = None
        account = (item.spec.account, item.state)
        self._by_account.setdefault(account, {})[job_id] = None
        if item.state not in model.FINAL_STATES:
            self._by_contract.setdefault(item.spec.contract, {})[job_id] = None
        self._changed[job_id] = None

    def _unindex(self, item: model.Job) -> None:
        del self._by_state[item.state][item.job_id]
        _discard(self._by_account, (item.spec.account, item.state), item.job_id)
        if item.state not in model.FINAL_STATES:
            _discard(self._by_contract, item.spec.contract, item.job_id)

    def _expire(self) -> None:
        while self._finished:
            oldest = self._jobs[next(iter(self._finished))]
            aged = oldest.ended_at is not None and (
                oldest.ended_at + FINISHED_AGE_S < self._at
            )
            if not aged and len(self._finished) <= FINISHED_COUNT:
                break
            del self._finished[oldest.job_id]
            self._unindex(oldest)
            del self._jobs[oldest.job_id]
            del self._numbers[oldest.job_id]
            self._changed.pop(oldest.job_id, None)
        while self._keys:
            key, entry = next(iter(self._keys.items()))
            if entry.at + KEY_AGE_S >= self._at:
                break
            del self._keys[key]


def _discard(index: dict[Any, dict[str, None]], key: Any, job_id: str) -> None:
    ids = index[key]
    del ids[job_id]
    if not ids:
        del index[key]


def _conflict(item: model.Job, message: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.VERSION_CONFLICT,
        message,
        details={"job_id": item.job_id, "state": item.state.value},
    )


def _stale(item: model.Job, epoch: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.STALE_EPOCH,
        f"epoch {epoch} of {item.job_id} is not current",
        details={"epoch": str(item.epoch)},
    )


def _unknown(message: str) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.OUTCOME_UNKNOWN, errors.Outcome.UNKNOWN, message
    )


def _cut(cause: command.StopCause) -> errors.ErrorBody:
    if cause is command.StopCause.TASK_FAILED:
        return errors.ErrorBody(
            errors.ErrorCode.TARGET_FAILED,
            errors.Outcome.UNKNOWN,
            "a task failed and the job is not repeatable",
        )
    return _unknown(f"stopped by {cause.value} and the job is not repeatable")


def _expired(item: model.Job, may_have_run: bool) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.CONTRACT_EXPIRED,
        errors.Outcome.UNKNOWN if may_have_run else errors.Outcome.NOT_RUN,
        f"contract {item.spec.contract} has expired",
    )


_HANDLERS: dict[type, Any] = {
    command.SubmitJob: JobsMachine._submit,
    command.CancelJob: JobsMachine._cancel,
    command.AllocateGang: JobsMachine._allocate,
    command.GangStarted: JobsMachine._started,
    command.GangStopping: JobsMachine._begin_stop,
    command.GangStopped: JobsMachine._stopped,
    command.GangEnded: JobsMachine._ended,
    command.TaskFailed: JobsMachine._task_failed,
    command.RejectJob: JobsMachine._reject,
    command.ContractExpired: JobsMachine._contract_expired,
    command.QuarantineWorker: JobsMachine._quarantine,
    command.ReleaseWorker: JobsMachine._release_worker,
    command.RecoverWithLoss: JobsMachine._recover,
}
