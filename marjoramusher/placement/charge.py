"""Jobs charged to guaranteed gangs."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from . import allocator, claimant, decision, guarantee, ledger, queue, reclaim, state

# Time after which a small job may use up a larger guaranteed gang.
SMALL_CHARGE_S = 5.0
# Places that are compared; more rarely give a better one.
MAX_CANDIDATES = 4


class Option(NamedTuple):
    """A guaranteed gang, where it would be planned, and the job's workers there."""

    entry: guarantee.PlanEntry
    planned: tuple[str, ...]
    workers: tuple[str, ...]
    amounts: dict[str, ledger.Amounts]


class GuaranteeCharger:
    """Start jobs in guaranteed gangs."""

    def __init__(
        self,
        shared: state.State,
        job_allocator: allocator.Allocator,
        pending_claims: claimant.PendingClaims,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._pending_claims = pending_claims

    def charge(
        self, name: str, queued: queue.QueuedJob, rank: int, now: float
    ) -> list[decision.Decision] | None:
        """Start a job in a guaranteed gang, or make room for it."""
        entries = self._state.plan.unused_of(name)
        if not entries or self._waits(entries[0], queued, rank, now):
            return None
        excluded = self._state.quarantine.avoided(now).union(queued.job.failed_on)
        own = [e for e in entries if not excluded.intersection(e.workers)]
        if not own and self._state.plan.relocate(entries[0], excluded):
            own = [entries[0]]
        options = [
            self._option(entry, entry.workers, queued) for entry in own[:MAX_CANDIDATES]
        ]
        made = self._start(options, (own or entries)[0], queued, excluded, now)
        if made is not None:
            return [made]
        options += self._others((own or entries)[0], queued, excluded)
        if not options:
            # Every place has a worker that is avoided; a doubtful one is better
            # than none.
            options = [
                self._option(entry, entry.workers, queued)
                for entry in entries[:MAX_CANDIDATES]
            ]
        return self._reclaim(options, queued, now)

    def _waits(
        self, entry: guarantee.PlanEntry, queued: queue.QueuedJob, rank: int, now: float
    ) -> bool:
        """Tell whether a job is too small to use up a gang yet."""
        outer = entry.guarantee.shape
        is_small = 2 * queued.shape.accelerators <= outer.accelerators
        if not is_small or outer == queued.shape or rank >= 2:
            return False
        return (
            now - queued.since < SMALL_CHARGE_S
            or self._state.cell_indexes.locate(queued.shape, ledger.free) is not None
        )

    def _option(
        self,
        entry: guarantee.PlanEntry,
        planned: tuple[str, ...],
        queued: queue.QueuedJob,
    ) -> Option:
        workers = guarantee.fit_into_cells(entry.guarantee.shape, queued.shape, planned)
        each = ledger.amounts_of(queued.shape.each)
        return Option(entry, planned, workers, ledger.amounts_by_worker(workers, each))

    def _others(
        self, entry: guarantee.PlanEntry, queued: queue.QueuedJob, excluded: set[str]
    ) -> Iterator[Option]:
        """Yield places where a guaranteed gang might be planned instead."""
        shape = entry.guarantee.shape
        places = self._state.cell_indexes.candidates(
            shape, ledger.uncommitted, excluded
        )
        for planned in reclaim.take_first(places, MAX_CANDIDATES):
            yield self._option(entry, planned, queued)

    def _start(
        self,
        options: Sequence[Option],
        entry: guarantee.PlanEntry,
        queued: queue.QueuedJob,
        excluded: set[str],
        now: float,
    ) -> decision.Place | None:
        """Start a job where nothing has to stop.

        Workers that a waiting gang has reserved are taken only if no others are free.
        """
        reserved = self._state.reservations.all_workers()
        free_now = [
            option
            for option in options
            if reclaim.is_free(self._state.ledger, option.amounts)
        ]
        for option in free_now:
            if reserved.isdisjoint(option.workers):
                return self._place(option, queued, now)
        shape = entry.guarantee.shape
        elsewhere = self._state.cell_indexes.locate(
            shape, ledger.free_uncommitted, excluded | reserved
        )
        if elsewhere is None and not free_now and reserved:
            elsewhere = self._state.cell_indexes.locate(
                shape, ledger.free_uncommitted, excluded
            )
        if elsewhere is not None:
            return self._place(self._option(entry, elsewhere, queued), queued, now)
        return self._place(free_now[0], queued, now) if free_now else None

    def _place(
        self, option: Option, queued: queue.QueuedJob, now: float
    ) -> decision.Place:
        self._plan_on(option)
        return self._allocator.place(
            queued, option.workers, ledger.GUARANTEED_RANK, option.entry, now
        )

    def _reclaim(
        self, options: Sequence[Option], queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Stop the borrowers of the cheapest place."""
        best = None
        for option in options:
            victims = reclaim.choose_victims(
                self._state.ledger, option.amounts, reclaim.preemptible_by(3), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, option, victims)
        if best is None:
            return None
        _, option, victims = best
        self._plan_on(option)
        return self._pending_claims.claim(
            queued,
            option.workers,
            option.amounts,
            ledger.GUARANTEED_RANK,
            option.entry,
            victims,
            now,
        )

    def _plan_on(self, option: Option) -> None:
        if option.planned != option.entry.workers:
            self._state.plan.unassign(option.entry)
            self._state.plan.assign(option.entry, option.planned)
