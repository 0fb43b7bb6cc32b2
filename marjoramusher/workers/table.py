"""Workers that have announced themselves, and the leases of their tasks."""

import enum
from collections.abc import Iterator

import msgspec

from ..core import announcement, errors, resource

TASK_LEASE_S = 4.0  # outlasts a leader change of about 2 s and expires within 5.5 s
MAX_CLOCK_DRIFT = 0.01  # a worker's clock runs at most this fraction slower than ours
OVERDUE_AFTER_S = 1.5  # one missed announcement; excludes the worker from placement
SUSPECT_AFTER_S = 3.0  # three missed announcements, but before the lease expires

INITIAL_BACKOFF_S = 2.0  # after an unanswered call; doubles up to MAX_BACKOFF_S
MAX_BACKOFF_S = 60.0
FORGET_AFTER_S = 600.0  # a worker absent for longer may have been decommissioned

LEASE_EXPIRY_S = TASK_LEASE_S * (1 + MAX_CLOCK_DRIFT)


class AnnouncementChange(enum.Enum):
    """Change of a worker since its previous announcement.

    ``KNOWN`` means that nothing but the tasks has changed.
    """

    NEW = "new"
    RESTARTED = "restarted"
    CHANGED = "changed"
    KNOWN = "known"


class Silence(enum.Enum):
    """Level of a worker's silence; see `OVERDUE_AFTER_S` and `SUSPECT_AFTER_S`."""

    NONE = "none"
    OVERDUE = "overdue"
    SUSPECTED = "suspected"


class Worker:
    """A worker as described by its last announcement.

    Attributes
    ----------
    is_schedulable : bool
        Whether the placer may use the worker.
    is_known_to_placer : bool
        Whether the worker has been reported to the placer.
    unanswered_calls : int
        Number of consecutive calls without an answer.
    backoff_until : float
        Monotonic time until which the worker gets no new work.
    next_settlement_at : float
        Earliest monotonic time of the next proposal to settle its possible crashes.
    """

    __slots__ = (
        "announced_at",
        "announcement",
        "backoff_until",
        "is_known_to_placer",
        "is_schedulable",
        "next_settlement_at",
        "silence",
        "unanswered_calls",
    )

    def __init__(
        self, worker_announcement: announcement.WorkerAnnouncement, now: float
    ) -> None:
        self.announcement = worker_announcement
        self.announced_at = now
        self.silence = Silence.NONE
        self.is_schedulable = False
        self.is_known_to_placer = False
        self.unanswered_calls = 0
        self.backoff_until = 0.0
        self.next_settlement_at = 0.0

    def record_call(self, is_answered: bool, now: float) -> None:
        """Record whether a call was answered; back off exponentially if it was not."""
        if is_answered:
            self.unanswered_calls = 0
            self.backoff_until = 0.0
            return
        backoff_s = INITIAL_BACKOFF_S * 2 ** min(self.unanswered_calls, 8)
        self.backoff_until = now + min(backoff_s, MAX_BACKOFF_S)
        self.unanswered_calls += 1


class WorkerLeases(msgspec.Struct, frozen=True):
    """Summary of the leases at one worker, for operators.

    Parameters
    ----------
    silent_s : float
        Time since the last announcement.
    tasks : int
        Number of tasks in the last announcement.
    shortest_s : float or None
        Time until the first of their leases expires unless it is renewed.
    takes_work : bool
        Whether the placer may use the worker.
    """

    worker: str
    silent_s: float
    tasks: int
    shortest_s: float | None
    takes_work: bool


class WorkerTable:
    """Workers and task leases as the leader knows them, rebuilt on each election.

    Parameters
    ----------
    elected_at : float
        Time of the election on the monotonic clock. Renewals by earlier leaders are
        unknown, so each lease is treated as renewed at that time.
    """

    __slots__ = ("_elected_at", "_renewed_at", "_workers")

    def __init__(self, elected_at: float) -> None:
        self._elected_at = elected_at
        self._workers: dict[str, Worker] = {}  # ordered by `announced_at`
        self._renewed_at: dict[str, float] = {}

    @property
    def elected_at(self) -> float:
        """Return the time of the election on the monotonic clock."""
        return self._elected_at

    def __len__(self) -> int:
        return len(self._workers)

    def worker(self, worker_id: str) -> Worker | None:
        """Return a worker that has announced itself since the election."""
        return self._workers.get(worker_id)

    def capacities(self) -> set[resource.Resources]:
        """Return the distinct capacities of the known workers."""
        return {worker.announcement.capacity for worker in self._workers.values()}

    def record_announcement(
        self, worker_announcement: announcement.WorkerAnnouncement, now: float
    ) -> tuple[Worker, AnnouncementChange]:
        """Record an announcement; return the worker and what has changed.

        Raises
        ------
        MarjoramusherError
            With code ``stale_epoch`` if a later incarnation has announced itself.
        """
        worker = self._workers.get(worker_announcement.id)
        if worker is None:
            worker = Worker(worker_announcement, now)
            self._workers[worker_announcement.id] = worker
            return worker, AnnouncementChange.NEW
        previous = worker.announcement
        if worker_announcement.incarnation < previous.incarnation:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STALE_EPOCH,
                f"worker {worker_announcement.id} has announced a later incarnation",
                details={"incarnation": str(previous.incarnation)},
            )
        change = _detect_change(previous, worker_announcement)
        worker.announcement = worker_announcement
        worker.announced_at = now
        worker.silence = Silence.NONE
        del self._workers[worker_announcement.id]
        self._workers[worker_announcement.id] = worker
        return worker, change

    def find_newly_silent(self, now: float) -> list[tuple[str, Worker]]:
        """Return the workers whose level of silence has risen since the last call.

        Workers that have been silent for `FORGET_AFTER_S` are removed.
        """
        newly_silent = []
        forgotten_ids = []
        for worker_id, worker in self._workers.items():
            if now < worker.announced_at + OVERDUE_AFTER_S:
                break
            silence = Silence.OVERDUE
            if now >= worker.announced_at + SUSPECT_AFTER_S:
                silence = Silence.SUSPECTED
            if worker.silence is not silence:
                worker.silence = silence
                newly_silent.append((worker_id, worker))
            if now >= worker.announced_at + FORGET_AFTER_S:
                forgotten_ids.append(worker_id)
        for worker_id in forgotten_ids:
            del self._workers[worker_id]
        return newly_silent

    def is_silent(self, worker_id: str, now: float) -> bool:
        """Return whether a worker has been silent for `SUSPECT_AFTER_S`."""
        worker = self._workers.get(worker_id)
        last_announced_at = self._elected_at if worker is None else worker.announced_at
        return now >= last_announced_at + SUSPECT_AFTER_S

    def renew_lease(self, task_id: str, now: float) -> None:
        """Record that the lease of a task may have been renewed now."""
        self._renewed_at[task_id] = now

    def is_lease_expired(self, task_id: str, now: float) -> bool:
        """Return whether a task has stopped itself.

        The expiry allows for a worker clock that is slow by `MAX_CLOCK_DRIFT`.
        """
        return now >= self._renewed_at.get(task_id, self._elected_at) + LEASE_EXPIRY_S

    def leases(self, now: float) -> Iterator[WorkerLeases]:
        """Yield the lease summaries of workers that hold tasks or are silent."""
        for worker_id, worker in self._workers.items():
            tasks = worker.announcement.tasks
            if not tasks and not self.is_silent(worker_id, now):
                continue
            expiries = [
                self._renewed_at[task.task_id] + LEASE_EXPIRY_S
                for task in tasks
                if task.task_id in self._renewed_at
            ]
            yield WorkerLeases(
                worker_id,
                round(now - worker.announced_at, 3),
                len(tasks),
                round(max(0.0, min(expiries) - now), 3) if expiries else None,
                worker.is_schedulable,
            )

    def drop_lease(self, task_id: str) -> None:
        """Remove the lease of a task whose gang was dropped."""
        self._renewed_at.pop(task_id, None)


def _detect_change(
    previous: announcement.WorkerAnnouncement, current: announcement.WorkerAnnouncement
) -> AnnouncementChange:
    if current.incarnation > previous.incarnation:
        return AnnouncementChange.RESTARTED
    if (current.capacity, current.rack, current.url) != (
        previous.capacity,
        previous.rack,
        previous.url,
    ):
        return AnnouncementChange.CHANGED
    return AnnouncementChange.KNOWN
