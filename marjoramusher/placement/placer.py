"""Interface between the leader of a failure domain and a placement policy."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..core import announcement, job, record, resource
from . import decision


class Shortfall(msgspec.Struct, frozen=True):
    """A guarantee that can't be satisfied at present."""

    guarantee: str
    missing_gangs: int
    reason: str


class Placer(Protocol):
    """Track the resources of one failure domain and decide which jobs start and stop.

    All methods take `now` in seconds of a monotonic clock. A decision takes effect
    when `plan` returns it: its resources stay allocated until a later event releases
    them.
    """

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Apply a new revision of the operators' records."""

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or update its capacity."""

    def worker_silent(self, worker: str, now: float) -> None:
        """Exclude a worker that misses announcements or calls from new placements.

        Its gangs stay until `worker_down`; the next `worker_up` includes it again.
        """

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; `plan` stops its gangs."""

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Restore an automatic quarantine that an earlier leader committed."""

    def job_changed(self, job: job.Job, now: float) -> None:
        """Apply the committed state of a job, which may be any `JobState`."""

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Record the run time saved in a checkpoint, as announced by a worker."""

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Record that a task failed on a worker."""

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Record a report of a task's resource usage, which may arrive late."""

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""

    def shortfalls(self, now: float) -> Sequence[Shortfall]:
        """Return the guarantees that can't be satisfied, with the reasons."""
