"""Workers that fail what they start, told apart from tasks that always fail."""

import msgspec

from ..workflows import workflow

SUSPECT_FAILURES = 2  # in a row, of different workflows; one may be the task's fault
REFUSED_S = 2.0  # a worker that is unhealthy says so at once, so asking is cheap
QUARANTINE_S = 6.0  # a worker that fails everything costs a task an attempt each time


class Verdict(msgspec.Struct, frozen=True):
    """Whether a worker is used, and whether others are preferred."""

    is_usable: bool = True
    is_suspect: bool = False


class _Record(msgspec.Struct):
    failed: set[str] = set()
    until_s: float = 0.0


class Health:
    """Failures in a row of each worker."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note(self, worker_id: str, end: workflow.RunEnd, now: float) -> bool:
        """Take an end into account; tell whether the worker is now left alone."""
        record = self._records.setdefault(worker_id, _Record())
        if end.outcome is workflow.RunOutcome.DONE:
            record.failed = set()
            record.until_s = 0.0
            return False
        if end.outcome is not workflow.RunOutcome.FAILED:
            return False
        return self._add(record, end.task, now)

    def record_stall(self, placement: workflow.Placement, now: float) -> bool:
        """Count a run without progress as a failure of its worker."""
        record = self._records.setdefault(placement.worker_id, _Record())
        return self._add(record, placement.task, now)

    def _add(self, record: _Record, task: workflow.TaskKey, now: float) -> bool:
        record.failed.add(task.workflow_id)
        if len(record.failed) >= SUSPECT_FAILURES:
            record.until_s = now + QUARANTINE_S
            return True
        return False

    def refuse(self, worker_id: str, now: float) -> None:
        """Leave a worker alone for a while that says that it is unhealthy."""
        record = self._records.setdefault(worker_id, _Record())
        record.until_s = max(record.until_s, now + REFUSED_S)

    def judge(self, worker_id: str, now: float) -> Verdict:
        """Return how a worker is to be used."""
        record = self._records.get(worker_id)
        if record is None:
            return Verdict()
        return Verdict(now >= record.until_s, bool(record.failed))
