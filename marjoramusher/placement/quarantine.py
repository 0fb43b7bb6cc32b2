"""Jobs that can never run told apart from workers that fail everything."""

import heapq
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from ..core import errors
from . import decision, ledger

# A task that has run this long, and RAN_FACTOR times as long as until its earlier
# failure, is taken as fit for its worker. The factor keeps a job that always fails
# after a while from counting as one that ran elsewhere.
SURVIVED_S = 3.0
RAN_FACTOR = 2.0
# Distinct jobs that must have failed on a worker and run elsewhere.
MIN_INNOCENT = 2
# Distinct jobs that failed on a worker, and then found no other for DOUBT_S, that
# count as well; in a full failure domain nothing can run elsewhere.
MIN_DOUBTED = 3
DOUBT_S = 8.0
# Distinct healthy workers on which a job must have failed.
MIN_HEALTHY = 3
# Distinct workers of which nothing is known that refuse a job as well: fewer if
# another job runs somewhere, so that the failure domain as a whole is not at fault.
MIN_UNKNOWN = 5
MIN_UNKNOWN_ALONE = 8
FIRST_QUARANTINE_S = 60.0
LONGEST_QUARANTINE_S = 3600.0
# At most this share of the workers is quarantined automatically.
MAX_SHARE = 1 / 3
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# A job that found no other worker for this long returns to those it failed on.
RETURN_S = 30.0
# Evidence older than this says nothing about the present.
EVIDENCE_S = 900.0


class Failure(NamedTuple):
    """When a job failed on a worker and how long it had run there."""

    at: float
    run_s: float


class WorkerEvidence:
    """What is known about one worker."""

    __slots__ = ("failures", "level", "on_probation", "paused_until", "proofs", "until")

    def __init__(self) -> None:
        self.failures: dict[str, Failure] = {}
        self.proofs: dict[str, float] = {}
        self.level = 0
        self.on_probation = False
        self.paused_until = 0.0
        self.until: float | None = None


class JobEvidence:
    """What is known about one job that has failed."""

    __slots__ = ("failed_on", "origin", "paused_until", "ran")

    def __init__(self) -> None:
        self.origin = ("", "")
        self.failed_on: dict[str, Failure] = {}
        self.ran = False
        self.paused_until = 0.0


class Quarantine:
    """Blame failures on jobs or workers by which jobs fail where.

    A job is innocent once it has run on another worker. A worker is quarantined when
    several innocent jobs have failed on it and none has run on it since. A job is
    refused when it has failed on several workers on which other jobs run.
    """

    def __init__(self, rng: random.Random, worker_ledger: ledger.Ledger) -> None:
        self._rng = rng
        self._ledger = worker_ledger
        self._workers: dict[str, WorkerEvidence] = {}
        self._jobs: dict[str, JobEvidence] = {}
        self._checks: list[tuple[float, str, float]] = []
        self._suspects: set[str] = set()
        self._accused: set[str] = set()
        self._questioned: set[str] = set()
        self._is_changed = False
        self._active: set[str] = set()
        self._proven_at = -EVIDENCE_S
        self._next_doubt = math.inf

    @property
    def active(self) -> set[str]:
        """Return the workers in automatic quarantine."""
        return self._active

    def restore(self, worker: str, now: float) -> None:
        """Take over an automatic quarantine decided by an earlier leader."""
        evidence = self._worker(worker)
        evidence.level += 1
        evidence.until = now + FIRST_QUARANTINE_S
        self._active.add(worker)

    def started(self, job_id: str, now: float) -> None:
        """Note a start; `decide` looks whether it has survived."""
        heapq.heappush(self._checks, (now + SURVIVED_S, job_id, now))

    def failed(
        self, job_id: str, account: str, contract: str, worker: str, now: float
    ) -> None:
        """Note a failure of a job's task on a worker."""
        holding = self._ledger.holdings.get(job_id)
        run_s = now - holding.started_at if holding is not None else 0.0
        failure = Failure(now, run_s)
        job = self._job(job_id)
        job.failed_on[worker] = failure
        job.origin = (account, contract)
        self._next_doubt = min(self._next_doubt, now + DOUBT_S)
        job.ran = False
        pause_s = FIRST_PAUSE_S * 2 ** min(len(job.failed_on) - 1, 6)
        job.paused_until = now + min(pause_s, LONGEST_PAUSE_S)
        self._accused.add(job_id)
        evidence = self._worker(worker)
        evidence.failures[job_id] = failure
        # A pause keeps a worker that fails at once from emptying the queue.
        pause_s = FIRST_PAUSE_S * 2 ** min(len(evidence.failures) - 1, 6)
        evidence.paused_until = now + min(pause_s, LONGEST_PAUSE_S)
        self._suspects.add(worker)
        self._questioned.add(worker)
        self._is_changed = True

    def seed(self, job_id: str, failed_on: tuple[str, ...]) -> None:
        """Take over a job's earlier failures from its record."""
        if failed_on and job_id not in self._jobs:
            job = self._job(job_id)
            job.failed_on = dict.fromkeys(failed_on, Failure(0.0, 0.0))
            self._accused.add(job_id)

    def ended(self, job_id: str, now: float, is_done: bool) -> None:
        """Forget a job; one that is done has run."""
        job = self._jobs.pop(job_id, None)
        self._accused.discard(job_id)
        if job is not None and is_done:
            self._clear(job_id, job)
        if is_done:
            holding = self._ledger.holdings.get(job_id)
            if holding is not None:
                self._prove(holding, now)

    def paused_until(self, job_id: str) -> float:
        """Return when a job that has failed may be tried again."""
        job = self._jobs.get(job_id)
        return 0.0 if job is None else job.paused_until

    def may_return(self, job_id: str, now: float) -> bool:
        """Tell whether a job may be tried where it has failed, for lack of others."""
        job = self._jobs.get(job_id)
        return job is not None and all(
            now - failure.at >= RETURN_S for failure in job.failed_on.values()
        )

    def probes(self, now: float) -> Iterator[str]:
        """Yield workers on which one more start would tell whether they are bad.

        An innocent job has failed there and nothing was started since; without a
        probe the second failure may be long in coming.
        """
        for worker in sorted(self._questioned):
            evidence = self._workers[worker]
            if (
                evidence.until is None
                and evidence.failures
                and evidence.paused_until <= now
                and self._innocent(evidence)
            ):
                last = max(failure.at for failure in evidence.failures.values())
                jobs = self._ledger.worker(worker).jobs
                holdings = (self._ledger.holdings[job_id] for job_id in jobs)
                if all(holding.started_at < last for holding in holdings):
                    yield worker

    def avoided(self, now: float) -> set[str]:
        """Return workers that get no new work for the moment."""
        over = [w for w in self._suspects if self._workers[w].paused_until <= now]
        self._suspects.difference_update(over)
        return self._suspects

    def decide(self, now: float) -> Iterator[decision.Decision]:
        """Yield quarantines, releases and refusals that are due."""
        while self._checks and self._checks[0][0] <= now:
            _, job_id, started_at = heapq.heappop(self._checks)
            holding = self._ledger.holdings.get(job_id)
            if holding is not None and holding.started_at == started_at:
                self._survived(holding, now)
        for worker in sorted(self._active):
            evidence = self._workers[worker]
            if evidence.until is not None and evidence.until <= now:
                evidence.until = None
                evidence.on_probation = True
                evidence.failures.clear()
                self._active.discard(worker)
                yield decision.ReleaseWorker(worker)
        if self._next_doubt <= now:
            self._next_doubt = now + DOUBT_S if self._questioned else math.inf
            self._is_changed = True
        if self._is_changed:
            self._is_changed = False
            yield from self._judge(now)

    def _judge(self, now: float) -> Iterator[decision.Decision]:
        for worker in sorted(self._questioned):
            evidence = self._workers[worker]
            if not evidence.failures:
                self._questioned.discard(worker)
            if not evidence.failures or evidence.until is not None:
                continue
            innocent = self._innocent(evidence)
            needed = 1 if evidence.on_probation else MIN_INNOCENT
            if len(innocent) < needed:
                innocent = self._doubted(evidence, now)
            if len(innocent) >= needed and self._below_cap():
                yield self._quarantine(worker, evidence, innocent, now)
        for job_id in sorted(self._accused):
            job = self._jobs[job_id]
            if job.ran:
                continue
            healthy = [w for w in job.failed_on if self._is_healthy(w, job_id, now)]
            present = sum(1 for w in self._ledger.workers.values() if w.is_schedulable)
            if (
                len(healthy) >= MIN_HEALTHY
                or len(job.failed_on) >= self._min_unknown(now)
                and not any(self._is_blamed(w) for w in job.failed_on)
                or 0 < present < MIN_HEALTHY
                and len(healthy) >= present
            ):
                self._accused.discard(job_id)
                names = ", ".join(sorted(job.failed_on))
                yield decision.Reject(
                    job_id,
                    errors.ErrorBody(
                        errors.ErrorCode.JOB_INFEASIBLE,
                        errors.Outcome.UNKNOWN,
                        f"the job failed on {len(job.failed_on)} different workers "
                        f"({names}), on which other jobs run",
                    ),
                )

    def _quarantine(
        self, worker: str, evidence: WorkerEvidence, innocent: list[str], now: float
    ) -> decision.QuarantineWorker:
        length_s = min(FIRST_QUARANTINE_S * 2**evidence.level, LONGEST_QUARANTINE_S)
        # Spread, so that workers that failed together don't return together.
        evidence.until = now + length_s * self._rng.uniform(1.0, 1.1)
        evidence.level += 1
        evidence.on_probation = False
        self._active.add(worker)
        return decision.QuarantineWorker(
            worker,
            f"{len(innocent)} jobs failed here and on no healthy worker: "
            f"{', '.join(sorted(innocent))}; for {length_s:.0f} s",
        )

    def _survived(self, holding: ledger.Holding, now: float) -> None:
        job = self._jobs.get(holding.job_id)
        ran_s = now - holding.started_at
        again_s = 0.0
        if job is not None and not job.ran:
            needed_s = RAN_FACTOR * max(f.run_s for f in job.failed_on.values())
            if ran_s >= needed_s:
                job.ran = True
                self._is_changed = True
            else:
                again_s = needed_s
        again_s = max(again_s, self._prove(holding, now))
        if again_s > ran_s:
            check = (holding.started_at + again_s, holding.job_id, holding.started_at)
            heapq.heappush(self._checks, check)

    def _prove(self, holding: ledger.Holding, now: float) -> float:
        """Count a run in favour of its workers.

        Returns
        -------
        float
            Run time at which it says more about them, 0 if it says all.
        """
        ran_s = now - holding.started_at
        again_s = 0.0
        if ran_s < SURVIVED_S:
            return again_s
        if holding.job_id not in self._jobs or self._jobs[holding.job_id].ran:
            self._proven_at = now
        for worker in holding.amounts:
            evidence = self._worker(worker)
            evidence.proofs[holding.job_id] = now
            if len(evidence.proofs) > 4:
                del evidence.proofs[next(iter(evidence.proofs))]
            for job_id, failure in list(evidence.failures.items()):
                if failure.at > holding.started_at:
                    continue
                if ran_s >= RAN_FACTOR * failure.run_s:
                    del evidence.failures[job_id]
                else:
                    again_s = max(again_s, RAN_FACTOR * failure.run_s)
            if evidence.on_probation:
                evidence.on_probation = False
                evidence.level = max(0, evidence.level - 1)
        self._is_changed = self._is_changed or bool(self._accused)
        return again_s

    def _clear(self, job_id: str, job: JobEvidence) -> None:
        """Keep a finished job's innocence with the workers it failed on."""
        for worker in job.failed_on:
            evidence = self._worker(worker)
            if job_id in evidence.failures:
                failure = evidence.failures.pop(job_id)
                evidence.failures["done:" + job_id] = failure
                self._is_changed = True

    def _innocent(self, evidence: WorkerEvidence) -> list[str]:
        return [
            job_id
            for job_id in evidence.failures
            if job_id.startswith("done:")
            or (job := self._jobs.get(job_id)) is not None
            and job.ran
        ]

    def _min_unknown(self, now: float) -> int:
        is_proven = now - self._proven_at < EVIDENCE_S
        return MIN_UNKNOWN if is_proven else MIN_UNKNOWN_ALONE

    def _doubted(self, evidence: WorkerEvidence, now: float) -> list[str]:
        """Return jobs that failed here and found no other worker to run on.

        They speak against the worker if they are many, of different origin, and
        other jobs run in the failure domain; a batch of bad jobs has one origin.
        Jobs that failed on several workers, none of which runs anything since, must
        be more, since it may be the jobs that are bad.
        """
        if now - self._proven_at >= EVIDENCE_S:
            return []
        found: dict[str, JobEvidence] = {}
        for job_id, failure in evidence.failures.items():
            job = self._jobs.get(job_id)
            if job is None or now - failure.at < DOUBT_S:
                continue
            if all(self._worker(worker).failures for worker in job.failed_on):
                found[job_id] = job
        only_here = {j: job for j, job in found.items() if len(job.failed_on) == 1}
        for jobs, least in ((only_here, MIN_DOUBTED), (found, MIN_DOUBTED + 1)):
            origins = {job.origin for job in jobs.values()}
            if len(jobs) >= least and len(origins) >= least - 1:
                return list(jobs)
        return []

    def _is_blamed(self, worker: str) -> bool:
        evidence = self._workers.get(worker)
        return evidence is not None and (
            evidence.until is not None or bool(self._innocent(evidence))
        )

    def _is_healthy(self, worker: str, job_id: str, now: float) -> bool:
        evidence = self._workers.get(worker)
        if evidence is None or self._is_blamed(worker):
            return False
        return any(
            other != job_id and now - at < EVIDENCE_S
            for other, at in evidence.proofs.items()
        )

    def _below_cap(self) -> bool:
        present = sum(1 for w in self._ledger.workers.values() if w.is_present)
        return len(self._active) + 1 <= max(1, int(present * MAX_SHARE))

    def _worker(self, worker: str) -> WorkerEvidence:
        evidence = self._workers.get(worker)
        if evidence is None:
            evidence = self._workers[worker] = WorkerEvidence()
        return evidence

    def _job(self, job_id: str) -> JobEvidence:
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = JobEvidence()
        return job
