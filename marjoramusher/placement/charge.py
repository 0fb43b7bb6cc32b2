"""Start of jobs that are charged to guaranteed gangs."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from . import allocator, claimant, decision, guarantee, ledger, queue, reclaim, state

# A small job waits this long before it may use a much larger guaranteed gang.
SMALL_JOB_WAIT_S = 5.0
# Number of candidate placements compared; more of them rarely contain a better one.
MAX_CANDIDATES = 4


class Candidate(NamedTuple):
    """A candidate placement of a job in a guaranteed gang.

    Parameters
    ----------
    gang_workers : tuple of str
        Workers that are to be assigned to the guaranteed gang.
    workers : tuple of str
        Worker of each task of the job.
    """

    entry: guarantee.PlanEntry
    gang_workers: tuple[str, ...]
    workers: tuple[str, ...]
    amounts: dict[str, ledger.Amounts]


class GuaranteeCharger:
    """Start jobs in the guaranteed gangs of their accounts."""

    def __init__(
        self,
        shared: state.PlacerState,
        job_allocator: allocator.Allocator,
        pending_claims: claimant.PendingClaims,
    ) -> None:
        self._state = shared
        self._allocator = job_allocator
        self._pending_claims = pending_claims

    def charge(
        self, guarantee_name: str, queued: queue.QueuedJob, rank: int, now: float
    ) -> list[decision.Decision] | None:
        """Start a job in a guaranteed gang, or preempt borrowers for it."""
        entries = self._state.plan.unused_of(guarantee_name)
        if not entries or self._must_wait(entries[0], queued, rank, now):
            return None
        excluded = self._state.quarantine.paused_workers(now).union(
            queued.job.failed_on,
            self._state.isolation.occupied_by_others(queued.job, now),
        )
        usable_entries = [e for e in entries if not excluded.intersection(e.workers)]
        if not usable_entries and self._state.plan.relocate(entries[0], excluded):
            usable_entries = [entries[0]]
        candidates = [
            self._candidate(entry, entry.workers, queued)
            for entry in usable_entries[:MAX_CANDIDATES]
        ]
        placement = self._start_without_preemption(
            candidates, (usable_entries or entries)[0], queued, excluded, now
        )
        if placement is not None:
            return [placement]
        candidates += self._alternatives(
            (usable_entries or entries)[0], queued, excluded
        )
        if not candidates:
            # Every candidate has an excluded worker; a suspect worker is better than
            # none.
            candidates = [
                self._candidate(entry, entry.workers, queued)
                for entry in entries[:MAX_CANDIDATES]
            ]
        return self._reclaim(candidates, queued, now)

    def _must_wait(
        self, entry: guarantee.PlanEntry, queued: queue.QueuedJob, rank: int, now: float
    ) -> bool:
        """Tell whether a job must wait since it is much smaller than the gang."""
        guaranteed_shape = entry.guarantee.shape
        is_small = 2 * queued.shape.accelerators <= guaranteed_shape.accelerators
        if not is_small or guaranteed_shape == queued.shape or rank >= 2:
            return False
        return (
            now - queued.queued_at < SMALL_JOB_WAIT_S
            or self._state.cell_indexes.locate(queued.shape, ledger.free) is not None
        )

    def _candidate(
        self,
        entry: guarantee.PlanEntry,
        gang_workers: tuple[str, ...],
        queued: queue.QueuedJob,
    ) -> Candidate:
        workers = guarantee.fit_into_cells(
            entry.guarantee.shape, queued.shape, gang_workers
        )
        task_amounts = ledger.amounts_of(queued.shape.each)
        return Candidate(
            entry,
            gang_workers,
            workers,
            ledger.amounts_by_worker(workers, task_amounts),
        )

    def _alternatives(
        self, entry: guarantee.PlanEntry, queued: queue.QueuedJob, excluded: set[str]
    ) -> Iterator[Candidate]:
        """Yield candidates with other workers for a guaranteed gang."""
        shape = entry.guarantee.shape
        placements = self._state.cell_indexes.candidates(
            shape, ledger.uncommitted, excluded
        )
        for gang_workers in reclaim.take_first(placements, MAX_CANDIDATES):
            yield self._candidate(entry, gang_workers, queued)

    def _start_without_preemption(
        self,
        candidates: Sequence[Candidate],
        entry: guarantee.PlanEntry,
        queued: queue.QueuedJob,
        excluded: set[str],
        now: float,
    ) -> decision.Place | None:
        """Start a job on free workers, without preemption.

        Workers reserved for a waiting gang are used only if no others are free.
        """
        reserved = self._state.reservations.all_workers()
        free_candidates = [
            candidate
            for candidate in candidates
            if reclaim.is_free(self._state.ledger, candidate.amounts)
        ]
        for candidate in free_candidates:
            if reserved.isdisjoint(candidate.workers):
                return self._place(candidate, queued, now)
        shape = entry.guarantee.shape
        other_workers = self._state.cell_indexes.locate(
            shape, ledger.free_uncommitted, excluded | reserved
        )
        if other_workers is None and not free_candidates and reserved:
            other_workers = self._state.cell_indexes.locate(
                shape, ledger.free_uncommitted, excluded
            )
        if other_workers is not None:
            return self._place(
                self._candidate(entry, other_workers, queued), queued, now
            )
        return self._place(free_candidates[0], queued, now) if free_candidates else None

    def _place(
        self, candidate: Candidate, queued: queue.QueuedJob, now: float
    ) -> decision.Place:
        self._assign_entry(candidate)
        return self._allocator.place(
            queued, candidate.workers, ledger.GUARANTEED_RANK, candidate.entry, now
        )

    def _reclaim(
        self, candidates: Sequence[Candidate], queued: queue.QueuedJob, now: float
    ) -> list[decision.Decision] | None:
        """Preempt the borrowers of the candidate with the lowest stop cost."""
        best = None
        for candidate in candidates:
            victims = reclaim.choose_victims(
                self._state.ledger, candidate.amounts, reclaim.preemptible_by(3), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, candidate, victims)
        if best is None:
            return None
        _, candidate, victims = best
        self._assign_entry(candidate)
        return self._pending_claims.claim(
            queued,
            candidate.workers,
            candidate.amounts,
            ledger.GUARANTEED_RANK,
            candidate.entry,
            victims,
            now,
        )

    def _assign_entry(self, candidate: Candidate) -> None:
        if candidate.gang_workers != candidate.entry.workers:
            self._state.plan.unassign(candidate.entry)
            self._state.plan.assign(candidate.entry, candidate.gang_workers)
