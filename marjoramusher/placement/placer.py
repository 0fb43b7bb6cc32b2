"""What the leader of a failure domain asks of a placement policy."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..core import announcement, job, record, resource
from . import decision


class Shortfall(msgspec.Struct, frozen=True):
    """A guarantee that can't be honoured now."""

    guarantee: str
    missing_gangs: int
    reason: str


class Placer(Protocol):
    """Keep the ledger of one failure domain and decide what starts and stops.

    All methods take `now` in seconds of a monotonic clock. A decision counts as made
    once `plan` has returned it: the ledger holds its resources until a later event
    says otherwise.
    """

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Take over the operators' records of a new revision."""

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or take over its changed capacity."""

    def worker_silent(self, worker: str, now: float) -> None:
        """Keep new work off a worker that misses announcements or calls.

        Its gangs stay until `worker_down`; the next `worker_up` brings it back.
        """

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; its gangs are stopped by `plan`."""

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Take over an automatic quarantine that an earlier leader committed."""

    def job_changed(self, job: job.Job, now: float) -> None:
        """Take over a job's committed state, for any of its states."""

    def task_checkpointed(self, job_id: str, progress_s: float, now: float) -> None:
        """Note run time saved in a checkpoint, as workers announce it."""

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Note that a task failed on a worker."""

    def task_usage_reported(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Note a late report of what a task uses."""

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""

    def shortfalls(self, now: float) -> Sequence[Shortfall]:
        """Return the guarantees that can't be honoured and why."""
