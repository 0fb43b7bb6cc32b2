"""Queries to the policy service for pending steps."""

from collections.abc import Collection, Iterable, Iterator, Mapping

from . import backlog, permit, resources, room


class Queries:
    """Permits of workers for steps, and the workers to query permits for.

    Parameters
    ----------
    now_s : float
        Time on the monotonic clock, on which permits expire.
    overdue : collection of StepKey
        Steps that may use what is kept or reserved for others.
    rack_free_accelerators : mapping of str to int
        Free accelerators of each rack at the time of a query.
    """

    __slots__ = ("_now_s", "_overdue", "_permits", "_rack_free_accelerators")

    def __init__(
        self,
        permits: permit.Permits,
        now_s: float,
        overdue: Collection[resources.StepKey],
        rack_free_accelerators: Mapping[str, int],
    ) -> None:
        self._permits = permits
        self._now_s = now_s
        self._overdue = overdue
        self._rack_free_accelerators = rack_free_accelerators

    def permitted(
        self, pending: backlog.PendingStep, suitable: Iterable[resources.Candidate]
    ) -> Iterator[resources.Candidate]:
        """Yield suitable workers, only permitted ones if the queue has a policy."""
        needs_permit = pending.entry.queue.policy is not None
        for candidate in suitable:
            worker = candidate.worker
            if needs_permit and not self._permits.ticket(
                pending.key, worker.worker_id, worker.incarnation, self._now_s
            ):
                continue
            yield candidate

    def query(
        self, pending: backlog.PendingStep, suitable: list[resources.Candidate]
    ) -> permit.PolicyQuery | None:
        """Return a query for further workers that could run a pending step, if needed.

        Expired permits of steps that are not urgent are renewed only for workers that
        have free resources now, since a permit expires before other runs end. Overdue
        steps may use what is kept or reserved for others.
        """
        queue = pending.entry.queue
        if queue.policy is None:
            return None
        needs = resources.reserved(pending.step)
        is_urgent = queue.priority == 0
        renews_full = is_urgent or pending.key in self._overdue
        permits = self._permits
        candidates = [
            candidate
            for candidate in suitable
            if needs.fits_within(candidate.worker.capacity)
            and permits.can_query(pending.key, candidate.worker, self._now_s)
            and (
                renews_full
                or candidate.fits(needs)
                or not permits.has_answer(pending.key, candidate.worker)
            )
        ]
        if not candidates:
            return None
        candidates.sort(key=lambda candidate: self._query_rank(pending, candidate))
        workers = tuple(
            candidate.worker for candidate in candidates[: permit.MAX_QUERIED_WORKERS]
        )
        # An urgent step may preempt others, but only where it is permitted.
        can_start = _has_room_for_step(pending, candidates, suitable) or (
            is_urgent and not permits.is_answered(pending.key)
        )
        return permit.PolicyQuery(
            pending.key, workers, queue.policy, queue.priority, can_start
        )

    def _query_rank(
        self, pending: backlog.PendingStep, candidate: resources.Candidate
    ) -> tuple[bool, bool, bool, bool, int]:
        """Return the sort key of a worker to query, the lowest first.

        Workers near the data come first, then workers with free resources, then those
        without recent failures, then those on the rack with most free accelerators.
        Overdue steps may run anywhere, so for them free resources come first.
        """
        step = pending.step
        is_remote = bool(step.rack) and candidate.worker.rack != step.rack
        is_full = not candidate.fits(resources.reserved(step))
        return (
            is_full and pending.key in self._overdue,
            is_remote,
            is_full,
            candidate.is_suspect,
            -self._rack_free_accelerators[candidate.worker.rack],
        )


def _has_room_for_step(
    pending: backlog.PendingStep,
    queried: list[resources.Candidate],
    suitable: list[resources.Candidate],
) -> bool:
    """Tell whether a task could start on one of some workers if it was permitted.

    A gang needs room for all members, also on workers that are permitted already.
    """
    if not any(room.has_room(pending, candidate) for candidate in queried):
        return False
    if not pending.step.gang:
        return True
    free = room.size(pending.step, suitable, is_free=True)
    return free >= len(pending.task_indexes)
