"""The plan that makes room for each unused guaranteed gang."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from ..core import record, resource
from . import cell, ledger, placer


class Entry:
    """One guaranteed gang: where it would start, or the job that uses it."""

    __slots__ = ("amounts", "guarantee", "job_id", "serial", "workers")

    def __init__(self, guarantee: record.GuaranteedShape, serial: int) -> None:
        self.guarantee = guarantee
        self.serial = serial
        self.workers: tuple[str, ...] = ()
        self.amounts: dict[str, ledger.Amounts] = {}
        self.job_id: str | None = None

    @property
    def is_planned(self) -> bool:
        """Tell whether workers are assigned."""
        return bool(self.workers)


def covers(guarantee: record.GuaranteedShape, spec_class, shape) -> bool:
    """Tell whether a job of a class and shape may use a guaranteed gang."""
    if guarantee.job_class is not None and guarantee.job_class is not spec_class:
        return False
    return bool(seats(guarantee.shape, shape, None))


def seats(
    outer: resource.GangShape,
    inner: resource.GangShape,
    workers: Sequence[str] | None,
) -> tuple[str, ...] | bool:
    """Seat a gang in the cells of a guaranteed one.

    Returns
    -------
    tuple of str or bool
        The worker of each task; without `workers` whether the gang can be seated.
    """
    per_cell = ledger.count_slots(
        ledger.amounts_of(outer.each), ledger.amounts_of(inner.each)
    )
    if per_cell * outer.tasks < inner.tasks:
        return False
    cells = -(-inner.tasks // per_cell)
    ranks = (
        resource.Adjacency.NONE,
        resource.Adjacency.RACK,
        resource.Adjacency.WORKER,
    )
    is_close = ranks.index(outer.adjacency) >= ranks.index(inner.adjacency)
    if not is_close and cells > 1:
        return False
    if workers is None:
        return True
    return tuple(workers[task // per_cell] for task in range(inner.tasks))


class Plan(Protocol):
    """Keep room for guarantees; the cells are weighed against plain counts."""

    def configure(self, guarantees: Iterable[record.GuaranteedShape]) -> None:
        """Take over the guarantees in force."""

    def repair(self) -> None:
        """Assign workers to entries that have none, where that is possible."""

    def shortfalls(self) -> Iterator[placer.Shortfall]:
        """Yield the guarantees that have entries without workers."""


class CellPlan:
    """Assign each guaranteed gang to concrete workers.

    The amounts of all entries, used or not, and of borrowers that can't be stopped
    never exceed a worker's capacity. Everything else on a worker can be stopped, so
    every unused entry can be made room for at any moment, all of them at once.
    """

    # Larger plans are repacked only as far as the entries that fit this limit;
    # repacking costs one search for each.
    MAX_REPACK = 128

    def __init__(self, book: ledger.Ledger, cells: cell.Cells) -> None:
        self._ledger = book
        self._cells = cells
        self._entries: dict[str, list[Entry]] = {}
        self._by_account: dict[str, list[str]] = {}
        self._by_worker: dict[str, dict[Entry, None]] = {}
        self._unplanned: dict[Entry, None] = {}
        self._by_job: dict[str, Entry] = {}
        self._serial = 0
        self._is_repacked = False

    @property
    def by_job(self) -> dict[str, Entry]:
        """Return the used entries by job id."""
        return self._by_job

    def configure(self, guarantees: Iterable[record.GuaranteedShape]) -> None:
        """Take over the guarantees in force."""
        wanted = {guarantee.name: guarantee for guarantee in guarantees}
        for name in [name for name in self._entries if name not in wanted]:
            self._shrink(name, 0)
            del self._entries[name]
        for name, guarantee in wanted.items():
            entries = self._entries.setdefault(name, [])
            if entries and entries[0].guarantee != guarantee:
                old = entries[0].guarantee
                if old.shape != guarantee.shape or old.account != guarantee.account:
                    self._shrink(name, 0)
                for entry in entries:
                    entry.guarantee = guarantee
            self._shrink(name, guarantee.gangs)
            while len(entries) < guarantee.gangs:
                self._serial += 1
                entry = Entry(guarantee, self._serial)
                entries.append(entry)
                self._unplanned[entry] = None
        self._by_account = {}
        for name, guarantee in sorted(wanted.items()):
            self._by_account.setdefault(guarantee.account, []).append(name)
        self._is_repacked = False

    def unused(self, name: str) -> list[Entry]:
        """Return the planned entries of a guarantee that no job uses."""
        return [
            entry
            for entry in self._entries.get(name, ())
            if entry.job_id is None and entry.is_planned
        ]

    def waiting_entries(self) -> Iterator[Entry]:
        """Yield entries that no job uses."""
        for entries in self._entries.values():
            for entry in entries:
                if entry.job_id is None:
                    yield entry

    def covering(
        self, account: str, job_class: resource.JobClass, shape: resource.GangShape
    ) -> tuple[str, ...]:
        """Return an account's guarantees that a job may use, the smallest first."""
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
        """Tell whether one of some guarantees has an unused gang with workers."""
        for name in names:
            for entry in self._entries.get(name, ()):
                if entry.job_id is None and entry.workers:
                    return True
        return False

    def exact(self, names: Iterable[str], shape: resource.GangShape) -> tuple[str, ...]:
        """Return the guarantees that have exactly a shape."""
        return tuple(
            name for name in names if self._entries[name][0].guarantee.shape == shape
        )

    def planned_on(self, worker: str) -> Iterable[Entry]:
        """Return the entries assigned to a worker."""
        return self._by_worker.get(worker, ())

    def use(self, entry: Entry, job_id: str) -> None:
        """Charge a job to an entry."""
        entry.job_id = job_id
        self._by_job[job_id] = entry

    def adopt(self, name: str, job_id: str, workers: Sequence[str], shape) -> bool:
        """Charge a job that already holds workers, after a change of leader."""
        entries = [e for e in self._entries.get(name, ()) if e.job_id is None]
        if not entries:
            return False
        entry = min(entries, key=lambda e: (set(e.workers) != set(workers), e.serial))
        if set(entry.workers) != set(workers):
            self.unassign(entry)
            amounts = ledger.spread(workers, ledger.amounts_of(shape.each))
            self.assign(entry, tuple(workers), amounts)
        self.use(entry, job_id)
        self.evict(workers)
        return True

    def finish(self, job_id: str) -> None:
        """Make the entry of a job unused again."""
        entry = self._by_job.pop(job_id, None)
        if entry is None:
            return
        entry.job_id = None
        shape = entry.guarantee.shape
        full = ledger.spread(entry.workers, ledger.amounts_of(shape.each))
        usable = all(self._ledger.worker(w).is_open for w in entry.workers)
        if len(entry.workers) != shape.tasks or full != entry.amounts or not usable:
            self.unassign(entry)
        # An unused entry can be moved, which may make room for another.
        self._is_repacked = False

    def assign(
        self,
        entry: Entry,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts] | None = None,
    ) -> None:
        """Give an entry workers."""
        if amounts is None:
            each = ledger.amounts_of(entry.guarantee.shape.each)
            amounts = ledger.spread(workers, each)
        entry.workers = workers
        entry.amounts = amounts
        self._ledger.set_firm(amounts, 1)
        for worker in amounts:
            self._by_worker.setdefault(worker, {})[entry] = None
        self._unplanned.pop(entry, None)

    def unassign(self, entry: Entry) -> None:
        """Take an entry's workers away; `repair` looks for others."""
        if entry.is_planned:
            self._ledger.set_firm(entry.amounts, -1)
            for worker in entry.amounts:
                self._by_worker[worker].pop(entry, None)
        entry.workers, entry.amounts = (), {}
        self._unplanned[entry] = None

    def evict(self, workers: Iterable[str]) -> None:
        """Move unused entries off workers that can't honour them any more."""
        for worker_id in workers:
            worker = self._ledger.worker(worker_id)
            for entry in list(self._by_worker.get(worker_id, ())):
                is_over = min(ledger.firm_free(worker)) < 0
                if entry.job_id is None and (is_over or not worker.is_open):
                    self.unassign(entry)
        self._is_repacked = False

    def relocate(self, entry: Entry, avoid: Collection[str]) -> bool:
        """Move an unused entry off some workers, rearranging the others if need be.

        Returns
        -------
        bool
            False if there is no such arrangement; then nothing changes.
        """
        unused = sorted(
            (e for e in self.waiting_entries() if e.is_planned), key=_by_size
        )[: self.MAX_REPACK]
        before = {e: e.workers for e in unused}
        for other in unused:
            self.unassign(other)
        found = self._cells.locate(entry.guarantee.shape, ledger.firm_free, avoid)
        if found is not None:
            self.assign(entry, found)
            self._fill(other for other in unused if other is not entry)
        if found is not None and all(other.is_planned for other in unused):
            return True
        self._restore(before)
        return False

    def vacate(self, amounts: Mapping[str, ledger.Amounts]) -> bool:
        """Plan unused entries away from room that a job is to keep.

        Returns
        -------
        bool
            False if there is no such arrangement; then nothing changes.
        """
        self._ledger.set_firm(amounts, 1)
        touched = [
            entry
            for worker_id in amounts
            for entry in self._by_worker.get(worker_id, ())
            if entry.job_id is None
            and min(ledger.firm_free(self._ledger.worker(worker_id))) < 0
        ]
        everything = sorted(
            (e for e in self.waiting_entries() if e.is_planned), key=_by_size
        )
        is_kept = False
        for unused in (list(dict.fromkeys(touched)), everything[: self.MAX_REPACK]):
            before = {entry: entry.workers for entry in unused}
            for entry in unused:
                self.unassign(entry)
            self._fill(unused)
            is_kept = all(entry.is_planned for entry in unused) and all(
                min(ledger.firm_free(self._ledger.worker(worker))) >= 0
                for worker in amounts
            )
            if is_kept:
                break
            self._restore(before)
        self._ledger.set_firm(amounts, -1)
        return is_kept

    def keeps_cells(self, amounts: Mapping[str, ledger.Amounts]) -> bool:
        """Tell whether a job that can't be stopped takes no cell from a shortfall.

        An entry without workers has no room to defend, so without this check such
        jobs would keep it from being planned when workers return.
        """
        units = {cell.unit_of(e.guarantee.shape)[1] for e in self._unplanned}
        for worker_id, part in amounts.items():
            have = ledger.firm_free(self._ledger.worker(worker_id))
            left = (have[0] - part[0], have[1] - part[1], have[2] - part[2])
            for each in units:
                if ledger.count_slots(left, each) < ledger.count_slots(have, each):
                    return False
        return True

    def _restore(self, before: dict[Entry, tuple[str, ...]]) -> None:
        for entry in before:
            self.unassign(entry)
        for entry, workers in before.items():
            if workers:
                self.assign(entry, workers)

    def capacity_changed(self) -> None:
        """Allow another repacking."""
        self._is_repacked = False

    def repair(self) -> None:
        """Assign workers to entries that have none, where that is possible."""
        if not self._unplanned or self._is_repacked:
            return
        self._fill(self._unplanned)
        if self._unplanned:
            self._repack()
        self._is_repacked = True

    def shortfalls(self) -> Iterator[placer.Shortfall]:
        """Yield the guarantees that have entries without workers."""
        missing: dict[str, int] = {}
        for entry in self._unplanned:
            name = entry.guarantee.name
            missing[name] = missing.get(name, 0) + 1
        workers = self._ledger.workers.values()
        out = sum(1 for worker in workers if not worker.is_open)
        for name, count in sorted(missing.items()):
            shape = self._entries[name][0].guarantee.shape
            yield placer.Shortfall(
                name,
                count,
                f"no room for {shape.tasks} tasks of {shape.each.accelerators} "
                f"accelerators; {out} of {len(workers)} workers are out of service",
            )

    def _shrink(self, name: str, gangs: int) -> None:
        entries = self._entries[name]
        # Unused entries go first; jobs of further ones continue as borrowers.
        entries.sort(key=lambda entry: (entry.job_id is None, entry.serial))
        while len(entries) > gangs:
            entry = entries.pop()
            if entry.job_id is not None:
                self._by_job.pop(entry.job_id, None)
            self.unassign(entry)
            del self._unplanned[entry]

    def _fill(self, entries: Iterable[Entry]) -> None:
        order = sorted(entries, key=_by_size)
        failed: set[resource.GangShape] = set()
        for entry in order:
            shape = entry.guarantee.shape
            if shape in failed:
                continue
            found = self._cells.locate(shape, ledger.firm_free)
            if found is None:
                failed.add(shape)
            else:
                self.assign(entry, found)

    def _repack(self) -> None:
        """Place unused entries anew, the largest first; undo if it is no better."""
        unused = sorted(self.waiting_entries(), key=_by_size)
        before = {entry: entry.workers for entry in unused}
        movable = [e for e in unused if e.is_planned][-self.MAX_REPACK :]
        missing = len(self._unplanned)
        for entry in movable:
            self.unassign(entry)
        self._fill(list(self._unplanned))
        if len(self._unplanned) >= missing:
            self._restore(before)


def _by_size(entry: Entry) -> tuple[bool, int, int, int]:
    shape = entry.guarantee.shape
    is_loose = shape.adjacency is resource.Adjacency.NONE
    return (
        is_loose,
        -cell.unit_of(shape)[1][0],
        -shape.accelerators,
        entry.serial,
    )
