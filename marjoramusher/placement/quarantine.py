"""Attribution of task failures to faulty workers or to faulty jobs."""

import heapq
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from ..core import errors
from . import decision, ledger

# A run counts as a success on its workers once it has lasted this long, and also
# SURVIVAL_FACTOR times as long as the run before an earlier failure. The factor keeps
# a job that always fails after some time from counting as one that ran elsewhere.
SURVIVAL_S = 3.0
SURVIVAL_FACTOR = 2.0
# Distinct jobs that must have failed on a worker and run elsewhere before the worker
# is quarantined.
MIN_EXONERATED_JOBS = 2
# Alternatively, distinct jobs that failed on a worker and found no other worker for
# UNCONFIRMED_AFTER_S, since in a full failure domain no job can run elsewhere.
MIN_UNCONFIRMED_JOBS = 3
UNCONFIRMED_AFTER_S = 8.0
# Distinct healthy workers on which a job must have failed before it is rejected.
MIN_HEALTHY_WORKERS = 3
# Alternatively, distinct workers without evidence against them. Fewer suffice while
# jobs succeed somewhere, since then the failure domain as a whole is not at fault.
MIN_UNPROVEN_WORKERS = 5
MIN_UNPROVEN_WORKERS_WITHOUT_SUCCESS = 8
INITIAL_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
# At most this share of the workers is quarantined automatically.
MAX_QUARANTINED_SHARE = 1 / 3
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# A job that found no other worker for this long may return to those it failed on.
RETURN_AFTER_S = 30.0
# Older evidence is ignored.
EVIDENCE_TTL_S = 900.0


class Failure(NamedTuple):
    """Time of a job's failure on a worker and its run time until then."""

    at: float
    run_s: float


class WorkerEvidence:
    """Failures and successes of jobs on one worker, and its quarantine.

    Parameters
    ----------
    failures : dict of str to Failure
        Unrefuted failures by job id, which has the prefix ``done:`` once the job is
        done.
    successes : dict of str to float
        Times of the latest successful runs by job id.
    backoff_level : int
        Exponent of the duration of the next quarantine.
    """

    __slots__ = (
        "backoff_level",
        "failures",
        "on_probation",
        "paused_until",
        "quarantined_until",
        "successes",
    )

    def __init__(self) -> None:
        self.failures: dict[str, Failure] = {}
        self.successes: dict[str, float] = {}
        self.backoff_level = 0
        self.on_probation = False
        self.paused_until = 0.0
        self.quarantined_until: float | None = None


class JobEvidence:
    """Failures of one job.

    Parameters
    ----------
    origin : tuple of str
        Client account and contract.
    has_run : bool
        True if the job has run successfully since its last failure.
    """

    __slots__ = ("failed_on", "has_run", "origin", "paused_until")

    def __init__(self) -> None:
        self.origin = ("", "")
        self.failed_on: dict[str, Failure] = {}
        self.has_run = False
        self.paused_until = 0.0


class Quarantine:
    """Attribute failures to jobs or workers by which jobs fail on which workers.

    A job is exonerated once it has run on another worker. A worker is quarantined
    when several exonerated jobs have failed on it and none has run on it since. A job
    is rejected when it has failed on several workers on which other jobs run.
    """

    def __init__(self, rng: random.Random, worker_ledger: ledger.Ledger) -> None:
        self._rng = rng
        self._ledger = worker_ledger
        self._workers: dict[str, WorkerEvidence] = {}
        self._jobs: dict[str, JobEvidence] = {}
        self._survival_checks: list[tuple[float, str, float]] = []
        self._paused_workers: set[str] = set()
        self._suspect_jobs: set[str] = set()
        self._suspect_workers: set[str] = set()
        self._has_new_evidence = False
        self._quarantined: set[str] = set()
        self._last_success_at = -EVIDENCE_TTL_S
        self._next_unconfirmed_check_at = math.inf

    @property
    def quarantined_workers(self) -> set[str]:
        """Return the workers in automatic quarantine."""
        return self._quarantined

    def restore_quarantine(self, worker: str, now: float) -> None:
        """Restore an automatic quarantine decided by an earlier leader."""
        evidence = self._worker_evidence(worker)
        evidence.backoff_level += 1
        evidence.quarantined_until = now + INITIAL_QUARANTINE_S
        self._quarantined.add(worker)

    def record_start(self, job_id: str, now: float) -> None:
        """Record a start and schedule a check whether the job survives it."""
        heapq.heappush(self._survival_checks, (now + SURVIVAL_S, job_id, now))

    def record_failure(
        self, job_id: str, account: str, contract: str, worker: str, now: float
    ) -> None:
        """Record the failure of a job's task on a worker."""
        holding = self._ledger.holdings.get(job_id)
        run_s = now - holding.started_at if holding is not None else 0.0
        failure = Failure(now, run_s)
        job_evidence = self._job_evidence(job_id)
        job_evidence.failed_on[worker] = failure
        job_evidence.origin = (account, contract)
        self._next_unconfirmed_check_at = min(
            self._next_unconfirmed_check_at, now + UNCONFIRMED_AFTER_S
        )
        job_evidence.has_run = False
        pause_s = INITIAL_PAUSE_S * 2 ** min(len(job_evidence.failed_on) - 1, 6)
        job_evidence.paused_until = now + min(pause_s, MAX_PAUSE_S)
        self._suspect_jobs.add(job_id)
        evidence = self._worker_evidence(worker)
        evidence.failures[job_id] = failure
        # A pause keeps a worker on which jobs fail at once from draining the queue.
        pause_s = INITIAL_PAUSE_S * 2 ** min(len(evidence.failures) - 1, 6)
        evidence.paused_until = now + min(pause_s, MAX_PAUSE_S)
        self._paused_workers.add(worker)
        self._suspect_workers.add(worker)
        self._has_new_evidence = True

    def restore_failures(self, job_id: str, failed_on: tuple[str, ...]) -> None:
        """Restore a job's earlier failures from its committed record."""
        if failed_on and job_id not in self._jobs:
            job_evidence = self._job_evidence(job_id)
            job_evidence.failed_on = dict.fromkeys(failed_on, Failure(0.0, 0.0))
            self._suspect_jobs.add(job_id)

    def record_end(self, job_id: str, now: float, is_done: bool) -> None:
        """Drop the evidence on a finished job; success counts for its workers."""
        job_evidence = self._jobs.pop(job_id, None)
        self._suspect_jobs.discard(job_id)
        if job_evidence is not None and is_done:
            self._mark_exonerated(job_id, job_evidence)
        if is_done:
            holding = self._ledger.holdings.get(job_id)
            if holding is not None:
                self._record_success(holding, now)

    def paused_until(self, job_id: str) -> float:
        """Return the earliest time of the next attempt for a job that has failed."""
        job_evidence = self._jobs.get(job_id)
        return 0.0 if job_evidence is None else job_evidence.paused_until

    def may_return(self, job_id: str, now: float) -> bool:
        """Tell whether a job may return to workers on which it has failed."""
        job_evidence = self._jobs.get(job_id)
        return job_evidence is not None and all(
            now - failure.at >= RETURN_AFTER_S
            for failure in job_evidence.failed_on.values()
        )

    def probe_candidates(self, now: float) -> Iterator[str]:
        """Yield suspect workers on which another start would provide evidence.

        An exonerated job has failed there and no job was started since. Without a
        probe, the second failure that confirms the fault may take long to occur.
        """
        for worker in sorted(self._suspect_workers):
            evidence = self._workers[worker]
            if (
                evidence.quarantined_until is None
                and evidence.failures
                and evidence.paused_until <= now
                and self._exonerated_jobs(evidence)
            ):
                last_failure_at = max(
                    failure.at for failure in evidence.failures.values()
                )
                jobs = self._ledger.worker(worker).jobs
                holdings = (self._ledger.holdings[job_id] for job_id in jobs)
                if all(holding.started_at < last_failure_at for holding in holdings):
                    yield worker

    def paused_workers(self, now: float) -> set[str]:
        """Return the workers that are paused after a recent failure."""
        resumed = [
            w for w in self._paused_workers if self._workers[w].paused_until <= now
        ]
        self._paused_workers.difference_update(resumed)
        return self._paused_workers

    def decide(self, now: float) -> Iterator[decision.Decision]:
        """Yield quarantines, releases and rejections that are due."""
        while self._survival_checks and self._survival_checks[0][0] <= now:
            _, job_id, started_at = heapq.heappop(self._survival_checks)
            holding = self._ledger.holdings.get(job_id)
            if holding is not None and holding.started_at == started_at:
                self._record_survival(holding, now)
        for worker in sorted(self._quarantined):
            evidence = self._workers[worker]
            if (
                evidence.quarantined_until is not None
                and evidence.quarantined_until <= now
            ):
                evidence.quarantined_until = None
                evidence.on_probation = True
                evidence.failures.clear()
                self._quarantined.discard(worker)
                yield decision.ReleaseWorker(worker)
        if self._next_unconfirmed_check_at <= now:
            self._next_unconfirmed_check_at = (
                now + UNCONFIRMED_AFTER_S if self._suspect_workers else math.inf
            )
            self._has_new_evidence = True
        if self._has_new_evidence:
            self._has_new_evidence = False
            yield from self._decide_on_suspects(now)

    def _decide_on_suspects(self, now: float) -> Iterator[decision.Decision]:
        for worker in sorted(self._suspect_workers):
            evidence = self._workers[worker]
            if not evidence.failures:
                self._suspect_workers.discard(worker)
            if not evidence.failures or evidence.quarantined_until is not None:
                continue
            failed_jobs = self._exonerated_jobs(evidence)
            min_exonerated = 1 if evidence.on_probation else MIN_EXONERATED_JOBS
            if len(failed_jobs) < min_exonerated:
                failed_jobs = self._unconfirmed_jobs(evidence, now)
            if len(failed_jobs) >= min_exonerated and self._is_below_cap():
                yield self._quarantine(worker, evidence, failed_jobs, now)
        for job_id in sorted(self._suspect_jobs):
            job_evidence = self._jobs[job_id]
            if job_evidence.has_run:
                continue
            healthy = [
                w for w in job_evidence.failed_on if self._is_healthy(w, job_id, now)
            ]
            schedulable_count = sum(
                1 for w in self._ledger.workers.values() if w.is_schedulable
            )
            if (
                len(healthy) >= MIN_HEALTHY_WORKERS
                or len(job_evidence.failed_on) >= self._min_unproven_workers(now)
                and not any(self._is_likely_faulty(w) for w in job_evidence.failed_on)
                or 0 < schedulable_count < MIN_HEALTHY_WORKERS
                and len(healthy) >= schedulable_count
            ):
                self._suspect_jobs.discard(job_id)
                names = ", ".join(sorted(job_evidence.failed_on))
                yield decision.Reject(
                    job_id,
                    errors.ErrorBody(
                        errors.ErrorCode.JOB_INFEASIBLE,
                        errors.Outcome.UNKNOWN,
                        f"the job failed on {len(job_evidence.failed_on)} different "
                        f"workers ({names}), on which other jobs run",
                    ),
                )

    def _quarantine(
        self, worker: str, evidence: WorkerEvidence, failed_jobs: list[str], now: float
    ) -> decision.QuarantineWorker:
        duration_s = min(
            INITIAL_QUARANTINE_S * 2**evidence.backoff_level, MAX_QUARANTINE_S
        )
        # Jitter, so that workers that failed together don't return together.
        evidence.quarantined_until = now + duration_s * self._rng.uniform(1.0, 1.1)
        evidence.backoff_level += 1
        evidence.on_probation = False
        self._quarantined.add(worker)
        return decision.QuarantineWorker(
            worker,
            f"{len(failed_jobs)} jobs failed here and on no healthy worker: "
            f"{', '.join(sorted(failed_jobs))}; for {duration_s:.0f} s",
        )

    def _record_survival(self, holding: ledger.Holding, now: float) -> None:
        job_evidence = self._jobs.get(holding.job_id)
        run_s = now - holding.started_at
        recheck_after_s = 0.0
        if job_evidence is not None and not job_evidence.has_run:
            min_run_s = SURVIVAL_FACTOR * max(
                f.run_s for f in job_evidence.failed_on.values()
            )
            if run_s >= min_run_s:
                job_evidence.has_run = True
                self._has_new_evidence = True
            else:
                recheck_after_s = min_run_s
        recheck_after_s = max(recheck_after_s, self._record_success(holding, now))
        if recheck_after_s > run_s:
            check = (
                holding.started_at + recheck_after_s,
                holding.job_id,
                holding.started_at,
            )
            heapq.heappush(self._survival_checks, check)

    def _record_success(self, holding: ledger.Holding, now: float) -> float:
        """Record a run as a success on its workers, and refute older failures.

        Returns
        -------
        float
            Run time at which the run refutes further failures, 0 if none are left.
        """
        run_s = now - holding.started_at
        recheck_after_s = 0.0
        if run_s < SURVIVAL_S:
            return recheck_after_s
        if holding.job_id not in self._jobs or self._jobs[holding.job_id].has_run:
            self._last_success_at = now
        for worker in holding.amounts:
            evidence = self._worker_evidence(worker)
            evidence.successes[holding.job_id] = now
            if len(evidence.successes) > 4:
                del evidence.successes[next(iter(evidence.successes))]
            for job_id, failure in list(evidence.failures.items()):
                if failure.at > holding.started_at:
                    continue
                if run_s >= SURVIVAL_FACTOR * failure.run_s:
                    del evidence.failures[job_id]
                else:
                    recheck_after_s = max(
                        recheck_after_s, SURVIVAL_FACTOR * failure.run_s
                    )
            if evidence.on_probation:
                evidence.on_probation = False
                evidence.backoff_level = max(0, evidence.backoff_level - 1)
        self._has_new_evidence = self._has_new_evidence or bool(self._suspect_jobs)
        return recheck_after_s

    def _mark_exonerated(self, job_id: str, job_evidence: JobEvidence) -> None:
        """Keep the failures of a finished job as those of an exonerated job."""
        for worker in job_evidence.failed_on:
            evidence = self._worker_evidence(worker)
            if job_id in evidence.failures:
                failure = evidence.failures.pop(job_id)
                evidence.failures["done:" + job_id] = failure
                self._has_new_evidence = True

    def _exonerated_jobs(self, evidence: WorkerEvidence) -> list[str]:
        return [
            job_id
            for job_id in evidence.failures
            if job_id.startswith("done:")
            or (job_evidence := self._jobs.get(job_id)) is not None
            and job_evidence.has_run
        ]

    def _min_unproven_workers(self, now: float) -> int:
        has_recent_success = now - self._last_success_at < EVIDENCE_TTL_S
        return (
            MIN_UNPROVEN_WORKERS
            if has_recent_success
            else MIN_UNPROVEN_WORKERS_WITHOUT_SUCCESS
        )

    def _unconfirmed_jobs(self, evidence: WorkerEvidence, now: float) -> list[str]:
        """Return jobs that failed on a worker and found no other to run on, if enough.

        They count as evidence against the worker if they are many and of different
        origins, since a batch of faulty jobs has one origin, and if other jobs succeed
        in the failure domain. More jobs are required if they also failed on other
        workers without a success since, as then the jobs may be faulty.
        """
        if now - self._last_success_at >= EVIDENCE_TTL_S:
            return []
        unconfirmed: dict[str, JobEvidence] = {}
        for job_id, failure in evidence.failures.items():
            job_evidence = self._jobs.get(job_id)
            if job_evidence is None or now - failure.at < UNCONFIRMED_AFTER_S:
                continue
            if all(
                self._worker_evidence(worker).failures
                for worker in job_evidence.failed_on
            ):
                unconfirmed[job_id] = job_evidence
        failed_only_here = {
            j: job_evidence
            for j, job_evidence in unconfirmed.items()
            if len(job_evidence.failed_on) == 1
        }
        for jobs, min_jobs in (
            (failed_only_here, MIN_UNCONFIRMED_JOBS),
            (unconfirmed, MIN_UNCONFIRMED_JOBS + 1),
        ):
            origins = {job_evidence.origin for job_evidence in jobs.values()}
            if len(jobs) >= min_jobs and len(origins) >= min_jobs - 1:
                return list(jobs)
        return []

    def _is_likely_faulty(self, worker: str) -> bool:
        evidence = self._workers.get(worker)
        return evidence is not None and (
            evidence.quarantined_until is not None
            or bool(self._exonerated_jobs(evidence))
        )

    def _is_healthy(self, worker: str, job_id: str, now: float) -> bool:
        evidence = self._workers.get(worker)
        if evidence is None or self._is_likely_faulty(worker):
            return False
        return any(
            other != job_id and now - at < EVIDENCE_TTL_S
            for other, at in evidence.successes.items()
        )

    def _is_below_cap(self) -> bool:
        present_count = sum(1 for w in self._ledger.workers.values() if w.is_present)
        return len(self._quarantined) + 1 <= max(
            1, int(present_count * MAX_QUARANTINED_SHARE)
        )

    def _worker_evidence(self, worker: str) -> WorkerEvidence:
        evidence = self._workers.get(worker)
        if evidence is None:
            evidence = self._workers[worker] = WorkerEvidence()
        return evidence

    def _job_evidence(self, job_id: str) -> JobEvidence:
        job_evidence = self._jobs.get(job_id)
        if job_evidence is None:
            job_evidence = self._jobs[job_id] = JobEvidence()
        return job_evidence
