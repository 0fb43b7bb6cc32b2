"""Workers that have announced themselves, and the leases of their tasks."""

import enum
from collections.abc import Iterator

import msgspec

from ..core import announcement, errors, resource

TASK_LEASE_S = 4.0  # survives a leader change of about 2 s and ends before 5.5 s
CLOCK_RATE_BOUND = 0.01  # a worker's clock runs at most this much slower than ours
OVERDUE_S = 1.5  # a missed announcement; nothing new is placed on the worker
SUSPECT_S = 3.0  # three missed announcements; before the lease of 4 s is over

WITHHOLD_S = 2.0  # after a call without answer; doubles up to the longest
LONGEST_WITHHOLD_S = 60.0
FORGET_S = 600.0  # a worker that is away for longer may have been taken away

LEASE_OVER_S = TASK_LEASE_S * (1 + CLOCK_RATE_BOUND)


class Arrival(enum.Enum):
    """What an announcement has changed."""

    NEW = "new"
    RESTARTED = "restarted"
    CHANGED = "changed"
    KNOWN = "known"


class Silence(enum.Enum):
    """How long a worker has not announced itself."""

    NONE = "none"
    OVERDUE = "overdue"
    SUSPECTED = "suspected"


class Worker:
    """A worker as its last announcement describes it.

    Attributes
    ----------
    is_open : bool
        Whether the placer may use the worker.
    is_placed : bool
        Whether the placer knows the worker.
    """

    __slots__ = (
        "announcement",
        "heard_at",
        "is_open",
        "is_placed",
        "silence",
        "unanswered",
        "withheld_until",
    )

    def __init__(self, said: announcement.WorkerAnnouncement, now: float) -> None:
        self.announcement = said
        self.heard_at = now
        self.silence = Silence.NONE
        self.is_open = False
        self.is_placed = False
        self.unanswered = 0
        self.withheld_until = 0.0

    def called(self, answered: bool, now: float) -> None:
        """Note how a call ended; without answers nothing new is placed for a while."""
        if answered:
            self.unanswered = 0
            self.withheld_until = 0.0
            return
        length_s = WITHHOLD_S * 2 ** min(self.unanswered, 8)
        self.withheld_until = now + min(length_s, LONGEST_WITHHOLD_S)
        self.unanswered += 1


class WorkerLeases(msgspec.Struct, frozen=True):
    """Leases at one worker, for operators.

    Parameters
    ----------
    silent_s : float
        Time since the last announcement.
    tasks : int
        Tasks that the worker last reported.
    shortest_s : float or None
        When the first of their leases is over unless it is renewed.
    takes_work : bool
        Whether the placer may use the worker.
    """

    worker: str
    silent_s: float
    tasks: int
    shortest_s: float | None
    takes_work: bool


class WorkerTable:
    """Soft state of the domain leader, built anew on each election.

    Parameters
    ----------
    elected_at : float
        Instant of the election on the monotonic clock. Earlier renewals by other
        leaders are unknown, so each lease counts as renewed then.
    """

    __slots__ = ("_elected_at", "_renewed_at", "_workers")

    def __init__(self, elected_at: float) -> None:
        self._elected_at = elected_at
        self._workers: dict[str, Worker] = {}  # in the order of `heard_at`
        self._renewed_at: dict[str, float] = {}

    @property
    def elected_at(self) -> float:
        """Return the instant from which unheard workers count."""
        return self._elected_at

    def __len__(self) -> int:
        return len(self._workers)

    def worker(self, worker: str) -> Worker | None:
        """Return a worker that has announced itself since the election."""
        return self._workers.get(worker)

    def capacities(self) -> set[resource.Resources]:
        """Return the distinct capacities of the known workers."""
        return {worker.announcement.capacity for worker in self._workers.values()}

    def announce(
        self, said: announcement.WorkerAnnouncement, now: float
    ) -> tuple[Worker, Arrival]:
        """Take over an announcement.

        Raises
        ------
        MarjoramusherError
            With code ``stale_epoch`` if a later incarnation has announced itself.
        """
        known = self._workers.get(said.id)
        if known is None:
            worker = Worker(said, now)
            self._workers[said.id] = worker
            return worker, Arrival.NEW
        before = known.announcement
        if said.incarnation < before.incarnation:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STALE_EPOCH,
                f"worker {said.id} has announced a later incarnation",
                details={"incarnation": str(before.incarnation)},
            )
        arrival = _arrival(before, said)
        known.announcement = said
        known.heard_at = now
        known.silence = Silence.NONE
        del self._workers[said.id]
        self._workers[said.id] = known
        return known, arrival

    def silences(self, now: float) -> list[tuple[str, Worker]]:
        """Return the workers whose silence has just become worse."""
        found = []
        gone = []
        for name, worker in self._workers.items():
            if now < worker.heard_at + OVERDUE_S:
                break
            silence = Silence.OVERDUE
            if now >= worker.heard_at + SUSPECT_S:
                silence = Silence.SUSPECTED
            if worker.silence is not silence:
                worker.silence = silence
                found.append((name, worker))
            if now >= worker.heard_at + FORGET_S:
                gone.append(name)
        for name in gone:
            del self._workers[name]
        return found

    def is_silent(self, worker: str, now: float) -> bool:
        """Tell whether a worker has been silent for `SUSPECT_S`."""
        known = self._workers.get(worker)
        heard_at = self._elected_at if known is None else known.heard_at
        return now >= heard_at + SUSPECT_S

    def renew(self, task_id: str, now: float) -> None:
        """Note that a task's lease may last from now on."""
        self._renewed_at[task_id] = now

    def lease_over(self, task_id: str, now: float) -> bool:
        """Tell whether a task has stopped by itself on any clock within the bound."""
        return now >= self._renewed_at.get(task_id, self._elected_at) + LEASE_OVER_S

    def leases(self, now: float) -> Iterator[WorkerLeases]:
        """Yield the workers that hold tasks or are silent."""
        for name, known in self._workers.items():
            tasks = known.announcement.tasks
            if not tasks and not self.is_silent(name, now):
                continue
            ends = [
                self._renewed_at[task.task_id] + LEASE_OVER_S
                for task in tasks
                if task.task_id in self._renewed_at
            ]
            yield WorkerLeases(
                name,
                round(now - known.heard_at, 3),
                len(tasks),
                round(max(0.0, min(ends) - now), 3) if ends else None,
                known.is_open,
            )

    def forget(self, task_id: str) -> None:
        """Drop the lease of a task that is over."""
        self._renewed_at.pop(task_id, None)


def _arrival(
    before: announcement.WorkerAnnouncement, said: announcement.WorkerAnnouncement
) -> Arrival:
    if said.incarnation > before.incarnation:
        return Arrival.RESTARTED
    if (said.capacity, said.rack, said.url) != (
        before.capacity,
        before.rack,
        before.url,
    ):
        return Arrival.CHANGED
    return Arrival.KNOWN
