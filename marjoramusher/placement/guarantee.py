"""Plan that assigns workers to every guaranteed gang, used or not."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from ..core import record, resource
from . import cell, ledger, placer


class PlanEntry:
    """One guaranteed gang with its assigned workers and the job charged to it."""

    __slots__ = ("amounts", "guarantee", "job_id", "sequence", "workers")

    def __init__(self, guarantee: record.GuaranteedShape, sequence: int) -> None:
        self.guarantee = guarantee
        self.sequence = sequence
        self.workers: tuple[str, ...] = ()
        self.amounts: dict[str, ledger.Amounts] = {}
        self.job_id: str | None = None

    @property
    def is_assigned(self) -> bool:
        """Tell whether workers are assigned."""
        return bool(self.workers)


def covers(guarantee: record.GuaranteedShape, job_class, shape) -> bool:
    """Tell whether a job of a class and shape may use a guaranteed gang."""
    if guarantee.job_class is not None and guarantee.job_class is not job_class:
        return False
    return bool(fit_into_cells(guarantee.shape, shape, None))


def fit_into_cells(
    outer: resource.GangShape,
    inner: resource.GangShape,
    workers: Sequence[str] | None,
) -> tuple[str, ...] | bool:
    """Fit a gang into the cells of a larger, guaranteed gang.

    Returns
    -------
    tuple of str or bool
        The worker of each task, or False if the gang doesn't fit; without `workers`,
        whether it fits.
    """
    per_cell = ledger.count_slots(
        ledger.amounts_of(outer.each), ledger.amounts_of(inner.each)
    )
    if per_cell * outer.tasks < inner.tasks:
        return False
    cell_count = -(-inner.tasks // per_cell)
    adjacencies = (
        resource.Adjacency.NONE,
        resource.Adjacency.RACK,
        resource.Adjacency.WORKER,
    )
    is_close_enough = adjacencies.index(outer.adjacency) >= adjacencies.index(
        inner.adjacency
    )
    if not is_close_enough and cell_count > 1:
        return False
    if workers is None:
        return True
    return tuple(workers[task // per_cell] for task in range(inner.tasks))


class Plan(Protocol):
    """Interface of a plan that keeps capacity available for guarantees."""

    def configure(self, guarantees: Iterable[record.GuaranteedShape]) -> None:
        """Apply the guarantees in force."""

    def repair(self) -> None:
        """Assign workers to unassigned entries, where possible."""

    def shortfalls(self) -> Iterator[placer.Shortfall]:
        """Yield the guarantees that have unassigned entries."""


class CellPlan:
    """Assign each guaranteed gang to specific workers.

    On each worker, the amounts of all entries, used or not, and of non-preemptible
    borrowers never exceed its capacity. All other jobs there can be preempted, so
    all unused entries can be made available at any moment, even at once.
    """

    # Upper bound on the entries that one repacking moves; each costs one search.
    MAX_REPACK = 128

    def __init__(
        self, worker_ledger: ledger.Ledger, cell_indexes: cell.CellIndexes
    ) -> None:
        self._ledger = worker_ledger
        self._cell_indexes = cell_indexes
        self._entries: dict[str, list[PlanEntry]] = {}
        self._by_account: dict[str, list[str]] = {}
        self._by_worker: dict[str, dict[PlanEntry, None]] = {}
        self._unassigned: dict[PlanEntry, None] = {}
        self._by_job: dict[str, PlanEntry] = {}
        self._last_sequence = 0
        self._has_repacked = False

    @property
    def by_job(self) -> dict[str, PlanEntry]:
        """Return the entries in use by job id."""
        return self._by_job

    def configure(self, guarantees: Iterable[record.GuaranteedShape]) -> None:
        """Apply the guarantees in force."""
        guarantees_by_name = {guarantee.name: guarantee for guarantee in guarantees}
        for name in [name for name in self._entries if name not in guarantees_by_name]:
            self._shrink(name, 0)
            del self._entries[name]
        for name, guarantee in guarantees_by_name.items():
            entries = self._entries.setdefault(name, [])
            if entries and entries[0].guarantee != guarantee:
                old = entries[0].guarantee
                if old.shape != guarantee.shape or old.account != guarantee.account:
                    self._shrink(name, 0)
                for entry in entries:
                    entry.guarantee = guarantee
            self._shrink(name, guarantee.gangs)
            while len(entries) < guarantee.gangs:
                self._last_sequence += 1
                entry = PlanEntry(guarantee, self._last_sequence)
                entries.append(entry)
                self._unassigned[entry] = None
        self._by_account = {}
        for name, guarantee in sorted(guarantees_by_name.items()):
            self._by_account.setdefault(guarantee.account, []).append(name)
        self._has_repacked = False

    def unused_of(self, name: str) -> list[PlanEntry]:
        """Return the assigned entries of a guarantee that no job uses."""
        return [
            entry
            for entry in self._entries.get(name, ())
            if entry.job_id is None and entry.is_assigned
        ]

    def iter_unused(self) -> Iterator[PlanEntry]:
        """Yield all entries that no job uses."""
        for entries in self._entries.values():
            for entry in entries:
                if entry.job_id is None:
                    yield entry

    def usable_by(
        self, account: str, job_class: resource.JobClass, shape: resource.GangShape
    ) -> tuple[str, ...]:
        """Return the account's guarantees that a job may use, the smallest first."""
        if account not in self._by_account:
            return ()
        names = [
            name
            for name in self._by_account.get(account, ())
            if self._entries[name]
            and covers(self._entries[name][0].guarantee, job_class, shape)
        ]
        names.sort(key=lambda n: self._entries[n][0].guarantee.shape.accelerators)
        return tuple(names)

    def has_unused(self, names: Iterable[str]) -> bool:
        """Tell whether any of the guarantees has an unused, assigned entry."""
        for name in names:
            for entry in self._entries.get(name, ()):
                if entry.job_id is None and entry.workers:
                    return True
        return False

    def with_exact_shape(
        self, names: Iterable[str], shape: resource.GangShape
    ) -> tuple[str, ...]:
        """Return the guarantees whose shape equals the given one."""
        return tuple(
            name for name in names if self._entries[name][0].guarantee.shape == shape
        )

    def assigned_on(self, worker: str) -> Iterable[PlanEntry]:
        """Return the entries assigned to a worker."""
        return self._by_worker.get(worker, ())

    def charge(self, entry: PlanEntry, job_id: str) -> None:
        """Charge a job to an entry."""
        entry.job_id = job_id
        self._by_job[job_id] = entry

    def adopt(self, name: str, job_id: str, workers: Sequence[str], shape) -> bool:
        """Charge a job that already holds workers, after a change of leader.

        Returns
        -------
        bool
            False if all entries of the guarantee are in use.
        """
        entries = [e for e in self._entries.get(name, ()) if e.job_id is None]
        if not entries:
            return False
        entry = min(entries, key=lambda e: (set(e.workers) != set(workers), e.sequence))
        if set(entry.workers) != set(workers):
            self.unassign(entry)
            amounts = ledger.amounts_by_worker(workers, ledger.amounts_of(shape.each))
            self.assign(entry, tuple(workers), amounts)
        self.charge(entry, job_id)
        self.unassign_unsatisfiable(workers)
        return True

    def release(self, job_id: str) -> None:
        """Make the entry of a finished job available again."""
        entry = self._by_job.pop(job_id, None)
        if entry is None:
            return
        entry.job_id = None
        shape = entry.guarantee.shape
        full_amounts = ledger.amounts_by_worker(
            entry.workers, ledger.amounts_of(shape.each)
        )
        is_usable = all(self._ledger.worker(w).is_schedulable for w in entry.workers)
        if (
            len(entry.workers) != shape.tasks
            or full_amounts != entry.amounts
            or not is_usable
        ):
            self.unassign(entry)
        # Unused entries can be moved, which may free cells for others.
        self._has_repacked = False

    def assign(
        self,
        entry: PlanEntry,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts] | None = None,
    ) -> None:
        """Assign workers to an entry."""
        if amounts is None:
            task_amounts = ledger.amounts_of(entry.guarantee.shape.each)
            amounts = ledger.amounts_by_worker(workers, task_amounts)
        entry.workers = workers
        entry.amounts = amounts
        self._ledger.adjust_committed(amounts, 1)
        for worker in amounts:
            self._by_worker.setdefault(worker, {})[entry] = None
        self._unassigned.pop(entry, None)

    def unassign(self, entry: PlanEntry) -> None:
        """Remove an entry's workers; `repair` looks for others."""
        if entry.is_assigned:
            self._ledger.adjust_committed(entry.amounts, -1)
            for worker in entry.amounts:
                self._by_worker[worker].pop(entry, None)
        entry.workers, entry.amounts = (), {}
        self._unassigned[entry] = None

    def unassign_unsatisfiable(self, workers: Iterable[str]) -> None:
        """Unassign unused entries from overcommitted or unschedulable workers."""
        for worker_id in workers:
            worker = self._ledger.worker(worker_id)
            for entry in list(self._by_worker.get(worker_id, ())):
                is_overcommitted = min(ledger.uncommitted(worker)) < 0
                if entry.job_id is None and (
                    is_overcommitted or not worker.is_schedulable
                ):
                    self.unassign(entry)
        self._has_repacked = False

    def relocate(self, entry: PlanEntry, excluded: Collection[str]) -> bool:
        """Move an unused entry off the excluded workers, repacking if necessary.

        Returns
        -------
        bool
            False if there is no such assignment; then nothing changes.
        """
        unused = sorted((e for e in self.iter_unused() if e.is_assigned), key=_by_size)[
            : self.MAX_REPACK
        ]
        previous_workers = {e: e.workers for e in unused}
        for other in unused:
            self.unassign(other)
        workers = self._cell_indexes.locate(
            entry.guarantee.shape, ledger.uncommitted, excluded
        )
        if workers is not None:
            self.assign(entry, workers)
            self._assign_entries(other for other in unused if other is not entry)
        if workers is not None and all(other.is_assigned for other in unused):
            return True
        self._restore(previous_workers)
        return False

    def replan_around(self, amounts: Mapping[str, ledger.Amounts]) -> bool:
        """Reassign unused entries so that a job can hold `amounts` permanently.

        Returns
        -------
        bool
            False if there is no such assignment; then nothing changes.
        """
        self._ledger.adjust_committed(amounts, 1)
        displaced = [
            entry
            for worker_id in amounts
            for entry in self._by_worker.get(worker_id, ())
            if entry.job_id is None
            and min(ledger.uncommitted(self._ledger.worker(worker_id))) < 0
        ]
        all_assigned = sorted(
            (e for e in self.iter_unused() if e.is_assigned), key=_by_size
        )
        is_feasible = False
        for unused in (list(dict.fromkeys(displaced)), all_assigned[: self.MAX_REPACK]):
            previous_workers = {entry: entry.workers for entry in unused}
            for entry in unused:
                self.unassign(entry)
            self._assign_entries(unused)
            is_feasible = all(entry.is_assigned for entry in unused) and all(
                min(ledger.uncommitted(self._ledger.worker(worker))) >= 0
                for worker in amounts
            )
            if is_feasible:
                break
            self._restore(previous_workers)
        self._ledger.adjust_committed(amounts, -1)
        return is_feasible

    def preserves_cells(self, amounts: Mapping[str, ledger.Amounts]) -> bool:
        """Tell whether a non-preemptible job uses no cell that a shortfall needs.

        Unassigned entries commit no capacity. Without this check, such jobs would
        use the remaining cells, and the entries would stay unassigned after workers
        return.
        """
        cell_sizes = {cell.cell_demand(e.guarantee.shape)[1] for e in self._unassigned}
        for worker_id, requested in amounts.items():
            available = ledger.uncommitted(self._ledger.worker(worker_id))
            remaining = (
                available[0] - requested[0],
                available[1] - requested[1],
                available[2] - requested[2],
            )
            for cell_size in cell_sizes:
                if ledger.count_slots(remaining, cell_size) < ledger.count_slots(
                    available, cell_size
                ):
                    return False
        return True

    def _restore(self, previous_workers: dict[PlanEntry, tuple[str, ...]]) -> None:
        for entry in previous_workers:
            self.unassign(entry)
        for entry, workers in previous_workers.items():
            if workers:
                self.assign(entry, workers)

    def capacity_changed(self) -> None:
        """Allow another repacking after a change of capacity."""
        self._has_repacked = False

    def repair(self) -> None:
        """Assign workers to unassigned entries, where possible."""
        if not self._unassigned or self._has_repacked:
            return
        self._assign_entries(self._unassigned)
        if self._unassigned:
            self._repack()
        self._has_repacked = True

    def shortfalls(self) -> Iterator[placer.Shortfall]:
        """Yield the guarantees that have unassigned entries."""
        missing: dict[str, int] = {}
        for entry in self._unassigned:
            name = entry.guarantee.name
            missing[name] = missing.get(name, 0) + 1
        workers = self._ledger.workers.values()
        unavailable = sum(1 for worker in workers if not worker.is_schedulable)
        for name, count in sorted(missing.items()):
            shape = self._entries[name][0].guarantee.shape
            yield placer.Shortfall(
                name,
                count,
                f"insufficient capacity for {shape.tasks} tasks of "
                f"{shape.each.accelerators} accelerators; "
                f"{unavailable} of {len(workers)} workers are out of service",
            )

    def _shrink(self, name: str, gangs: int) -> None:
        entries = self._entries[name]
        # Remove unused entries first; jobs of removed entries continue as borrowers.
        entries.sort(key=lambda entry: (entry.job_id is None, entry.sequence))
        while len(entries) > gangs:
            entry = entries.pop()
            if entry.job_id is not None:
                self._by_job.pop(entry.job_id, None)
            self.unassign(entry)
            del self._unassigned[entry]

    def _assign_entries(self, entries: Iterable[PlanEntry]) -> None:
        ordered_entries = sorted(entries, key=_by_size)
        failed: set[resource.GangShape] = set()
        for entry in ordered_entries:
            shape = entry.guarantee.shape
            if shape in failed:
                continue
            workers = self._cell_indexes.locate(shape, ledger.uncommitted)
            if workers is None:
                failed.add(shape)
            else:
                self.assign(entry, workers)

    def _repack(self) -> None:
        """Reassign unused entries, the largest first; undo if no more entries fit."""
        unused = sorted(self.iter_unused(), key=_by_size)
        previous_workers = {entry: entry.workers for entry in unused}
        reassigned = [e for e in unused if e.is_assigned][-self.MAX_REPACK :]
        missing = len(self._unassigned)
        for entry in reassigned:
            self.unassign(entry)
        self._assign_entries(list(self._unassigned))
        if len(self._unassigned) >= missing:
            self._restore(previous_workers)


def _by_size(entry: PlanEntry) -> tuple[bool, int, int, int]:
    shape = entry.guarantee.shape
    is_without_adjacency = shape.adjacency is resource.Adjacency.NONE
    return (
        is_without_adjacency,
        -cell.cell_demand(shape)[1][0],
        -shape.accelerators,
        entry.sequence,
    )
