"""Quarantine of workers on which tasks of several workflows fail."""

import msgspec

from ..workflows import workflow

# Number of workflows that failed on a worker without a successful run in between, from
# which it is quarantined; a single workflow may itself be at fault.
MAX_FAILED_WORKFLOWS = 2
# An unhealthy worker rejects starts immediately, so trying again is cheap.
REFUSAL_BACKOFF_S = 2.0
# On a worker where everything fails, each start costs its task one of its attempts.
QUARANTINE_S = 6.0


class Verdict(msgspec.Struct, frozen=True):
    """Whether a worker may be used, and whether other workers are preferred.

    One in quarantine is the last choice: the workflows may be at fault themselves.
    """

    is_usable: bool = True
    is_suspect: bool = False
    is_quarantined: bool = False


class _Record(msgspec.Struct):
    failed_workflows: set[str] = set()
    quarantined_until_s: float = 0.0
    refuses_until_s: float = 0.0


class Health:
    """Workflows that failed on each worker since its last successful run."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_end(self, worker_id: str, end: workflow.RunEnd, now_s: float) -> bool:
        """Record the end of a run; tell whether it quarantines the worker."""
        record = self._records.setdefault(worker_id, _Record())
        if end.outcome is workflow.RunOutcome.DONE:
            record.failed_workflows = set()
            record.quarantined_until_s = record.refuses_until_s = 0.0
            return False
        if end.outcome is not workflow.RunOutcome.FAILED:
            return False
        return self._record_failure(record, end.task, now_s)

    def record_stall(self, placement: workflow.Placement, now_s: float) -> bool:
        """Record a run without progress as a failure; see `record_end`."""
        record = self._records.setdefault(placement.worker_id, _Record())
        return self._record_failure(record, placement.task, now_s)

    def _record_failure(
        self, record: _Record, task: workflow.TaskKey, now_s: float
    ) -> bool:
        record.failed_workflows.add(task.workflow_id)
        if len(record.failed_workflows) >= MAX_FAILED_WORKFLOWS:
            record.quarantined_until_s = now_s + QUARANTINE_S
            return True
        return False

    def record_refusal(self, worker_id: str, now_s: float) -> None:
        """Pause placement on a worker that reports itself as unhealthy."""
        record = self._records.setdefault(worker_id, _Record())
        record.refuses_until_s = now_s + REFUSAL_BACKOFF_S

    def verdict(self, worker_id: str, now_s: float) -> Verdict:
        """Return whether and how a worker may be used."""
        record = self._records.get(worker_id)
        if record is None:
            return Verdict()
        return Verdict(
            now_s >= record.refuses_until_s,
            bool(record.failed_workflows),
            now_s < record.quarantined_until_s,
        )
