"""Separation of suspects, jobs during whose attempts workers have crashed."""

from collections.abc import Collection

from ..core import crash, job, suspect
from . import ledger

# A suspect that has found no worker of its own for this long shares one.
MAX_WAIT_S = 60.0


class Run:
    """Present run of a suspect.

    Parameters
    ----------
    is_isolated : bool
        Whether its workers are closed to other jobs.
    """

    __slots__ = ("is_isolated", "started_at", "workers")

    def __init__(
        self, workers: frozenset[str], started_at: float, is_isolated: bool
    ) -> None:
        self.workers = workers
        self.started_at = started_at
        self.is_isolated = is_isolated


class Isolation:
    """Keep suspects apart from each other, and after a second crash from all jobs.

    Both end once a suspect has run for `crash.SURVIVAL_S`.

    Parameters
    ----------
    wall_offset_s : float
        Seconds since the Unix epoch minus `now`.
    """

    def __init__(self, worker_ledger: ledger.Ledger, wall_offset_s: float) -> None:
        self._ledger = worker_ledger
        self._wall_offset_s = wall_offset_s
        self._runs: dict[str, Run] = {}
        self._waiting_since: dict[str, float] = {}
        self._occupied: frozenset[str] | None = None  # None after a change

    @property
    def closed_workers(self) -> set[str]:
        """Return the workers on which no other job may start."""
        return {
            worker
            for run in self._runs.values()
            if run.is_isolated
            for worker in run.workers
        }

    def wall_ms(self, now: float) -> float:
        """Return a time in milliseconds since the Unix epoch."""
        return (now + self._wall_offset_s) * 1000

    def needs_isolation(self, job_record: job.Job, now: float) -> bool:
        """Tell whether a job needs workers of its own."""
        crashes = suspect.suspicions(job_record, self.wall_ms(now))
        return len(crashes) >= crash.ISOLATION_CRASHES

    def occupied_by_others(self, job_record: job.Job, now: float) -> frozenset[str]:
        """Return the workers that a queued suspect must not share.

        There are none for a job that is no suspect.
        """
        if not self._runs or not suspect.suspicions(job_record, self.wall_ms(now)):
            return frozenset()
        if self._occupied is None:
            self._occupied = frozenset(
                worker for run in self._runs.values() for worker in run.workers
            )
        return self._occupied

    def crashed_under(self, job_record: job.Job, now: float) -> set[str]:
        """Return the workers that have recently crashed during runs of a job."""
        if not job_record.crashes and not job_record.possible_crashes:
            return set()
        crashes = crash.recent(
            [*job_record.crashes, *job_record.possible_crashes], self.wall_ms(now)
        )
        return {item.address for item in crashes}

    def may_close(self, workers: Collection[str]) -> bool:
        """Tell whether workers may be closed beside those that are closed now."""
        closed = self.closed_workers
        count = sum(worker.is_present for worker in self._ledger.workers.values())
        limit = max(1, count // crash.WORKERS_PER_IDLE_ISOLATION)
        return not closed or len(closed.union(workers)) <= limit

    def may_share(self, job_id: str, now: float) -> bool:
        """Tell whether a job has waited for workers of its own for long enough."""
        return now - self._waiting_since.setdefault(job_id, now) >= MAX_WAIT_S

    def record_start(
        self, job_record: job.Job, workers: Collection[str], now: float
    ) -> None:
        """Record a start, also one by an earlier leader."""
        job_id = job_record.job_id
        self.forget(job_id)
        if suspect.suspicions(job_record, self.wall_ms(now)):
            is_isolated = self.needs_isolation(job_record, now)
            self._runs[job_id] = Run(frozenset(workers), now, is_isolated)
            self._occupied = None

    def record_end(self, job_id: str) -> frozenset[str]:
        """Record the end of a run; return the workers that it had closed."""
        run = self._runs.pop(job_id, None)
        if run is not None:
            self._occupied = None
        return run.workers if run is not None and run.is_isolated else frozenset()

    def forget(self, job_id: str) -> None:
        """Forget the wait of a job that has started or ended."""
        self._waiting_since.pop(job_id, None)

    def end_survived(self, now: float) -> set[str]:
        """End the separation of jobs that have survived; return their workers."""
        survived = [
            job_id
            for job_id, run in self._runs.items()
            if now - run.started_at >= crash.SURVIVAL_S
        ]
        return {worker for job_id in survived for worker in self.record_end(job_id)}
