"""Workers that have announced themselves, and the leases of their tasks."""

import enum

from ..core import announcement, errors, resource

TASK_LEASE_S = 4.0  # survives a leader change of about 2 s and ends before 5.5 s
CLOCK_RATE_BOUND = 0.01  # a worker's clock runs at most this much slower than ours
SUSPECT_S = 3.0  # three missed announcements; before the lease of 4 s is over

FORGET_S = 600.0  # a worker that is away for longer may have been taken away

LEASE_OVER_S = TASK_LEASE_S * (1 + CLOCK_RATE_BOUND)


class Arrival(enum.Enum):
    """What an announcement has changed."""

    NEW = "new"
    RESTARTED = "restarted"
    CHANGED = "changed"
    KNOWN = "known"


class Worker:
    """A worker as its last announcement describes it."""

    __slots__ = ("announcement", "heard_at", "suspected")

    def __init__(self, said: announcement.WorkerAnnouncement, now: float) -> None:
        self.announcement = said
        self.heard_at = now
        self.suspected = False


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
        arrival = _arrival(before, said, known.suspected)
        known.announcement = said
        known.heard_at = now
        known.suspected = False
        del self._workers[said.id]
        self._workers[said.id] = known
        return known, arrival

    def suspects(self, now: float) -> list[str]:
        """Return the workers that have just been silent for `SUSPECT_S`."""
        found = []
        gone = []
        for name, worker in self._workers.items():
            if now < worker.heard_at + SUSPECT_S:
                break
            if not worker.suspected:
                worker.suspected = True
                found.append(name)
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

    def forget(self, task_id: str) -> None:
        """Drop the lease of a task that is over."""
        self._renewed_at.pop(task_id, None)


def _arrival(
    before: announcement.WorkerAnnouncement,
    said: announcement.WorkerAnnouncement,
    suspected: bool,
) -> Arrival:
    if said.incarnation > before.incarnation:
        return Arrival.RESTARTED
    if suspected or (said.capacity, said.rack, said.url) != (
        before.capacity,
        before.rack,
        before.url,
    ):
        return Arrival.CHANGED
    return Arrival.KNOWN
