"""Cells of equal size within workers and racks, indexed by how many are free."""

import bisect
from collections.abc import Callable, Collection, Iterator

from ..core import resource
from . import ledger

View = Callable[[ledger.Worker], ledger.Amounts]
NOWHERE: frozenset[str] = frozenset()


def unit_of(shape: resource.GangShape) -> tuple[int, ledger.Amounts]:
    """Return how many cells of which size a gang needs.

    All tasks of a gang with adjacency ``WORKER`` form one cell.
    """
    each = ledger.amounts_of(shape.each)
    if shape.adjacency is resource.Adjacency.WORKER:
        return 1, ledger.scale(each, shape.tasks)
    return shape.tasks, each


class CellIndex:
    """Racks ordered by the number of cells of one size that a view leaves free."""

    __slots__ = (
        "_buckets",
        "_each",
        "_ledger",
        "_members",
        "_position",
        "_racks",
        "_slots",
        "_sums",
        "_total",
        "_totals",
        "_view",
    )

    def __init__(self, book: ledger.Ledger, each: ledger.Amounts, view: View) -> None:
        self._ledger = book
        self._each = each
        self._view = view
        self._rebuild()

    def refresh(self) -> None:
        """Take over the changes since the last call."""
        end = self._ledger.end
        if self._position == end:
            return
        changed = self._ledger.changes(self._position)
        if changed is None:
            self._rebuild()
            return
        self._position = end
        workers = self._ledger.workers
        # Sorted so that the order of racks doesn't depend on string hashes.
        for worker_id in sorted(changed):
            self._update(workers[worker_id])

    @property
    def total(self) -> int:
        """Return the number of free cells in all racks."""
        return self._total

    def workers(self) -> Iterator[str]:
        """Yield the workers that have free cells."""
        for racks in self._buckets.values():
            for rack in racks:
                yield from (w for w in self._members[rack] if self._slots[w])

    def has_room(self, tasks: int, adjacency: resource.Adjacency) -> bool:
        """Tell whether there are enough free cells for a gang."""
        if self._sums and self._sums[-1] >= tasks:
            return True
        return adjacency is resource.Adjacency.NONE and self._total >= tasks

    def racks(self) -> Iterator[tuple[str, int]]:
        """Yield racks and their free cells, the fullest racks first."""
        for total in self._sums:
            for rack in self._buckets[total]:
                yield rack, total

    def locate(
        self,
        tasks: int,
        adjacency: resource.Adjacency,
        avoid: Collection[str] = NOWHERE,
    ) -> tuple[str, ...] | None:
        """Return a worker for each cell of a gang, or ``None``."""
        return next(self.candidates(tasks, adjacency, avoid), None)

    def candidates(
        self,
        tasks: int,
        adjacency: resource.Adjacency,
        avoid: Collection[str] = NOWHERE,
    ) -> Iterator[tuple[str, ...]]:
        """Yield places for a gang; the rack that it fills best comes first."""
        if not self.has_room(tasks, adjacency):
            return
        start = bisect.bisect_left(self._sums, tasks)
        for total in self._sums[start:]:
            for rack in self._buckets[total]:
                found = self._pick(rack, tasks, avoid)
                if len(found) == tasks:
                    yield tuple(found)
        if adjacency is resource.Adjacency.NONE and tasks > 1:
            found = []
            for total in reversed(self._sums):
                for rack in self._buckets[total]:
                    found += self._pick(rack, tasks - len(found), avoid)
                    if len(found) == tasks:
                        yield tuple(found)
                        return

    def _pick(self, rack: str, tasks: int, avoid: Collection[str]) -> list[str]:
        """Fill workers of a rack, those with the fewest free cells that suffice."""
        members = [
            (slots, worker_id)
            for worker_id in self._members[rack]
            if (slots := self._slots[worker_id]) and worker_id not in avoid
        ]
        members.sort()
        found: list[str] = []
        while members and len(found) < tasks:
            missing = tasks - len(found)
            # The smallest worker that takes the rest, or else the largest one.
            at = min(bisect.bisect_left(members, (missing, "")), len(members) - 1)
            slots, worker_id = members.pop(at)
            found += [worker_id] * min(slots, missing)
        return found

    def _rebuild(self) -> None:
        self._slots: dict[str, int] = {}
        self._racks: dict[str, str] = {}
        self._members: dict[str, dict[str, None]] = {}
        self._totals: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        self._sums: list[int] = []
        self._total = 0
        self._position = self._ledger.end
        for worker in self._ledger.workers.values():
            self._update(worker)

    def _update(self, worker: ledger.Worker) -> None:
        slots = 0
        if worker.present and worker.usable:
            slots = ledger.count_slots(self._view(worker), self._each)
        before = self._slots.get(worker.id)
        old_rack = self._racks.get(worker.id)
        if old_rack != worker.rack:
            if old_rack is not None:
                self._move(old_rack, -(before or 0))
                del self._members[old_rack][worker.id]
            self._members.setdefault(worker.rack, {})[worker.id] = None
            self._racks[worker.id] = worker.rack
            before = 0
        self._slots[worker.id] = slots
        if slots != before:
            self._move(worker.rack, slots - (before or 0))

    def _move(self, rack: str, change: int) -> None:
        if not change:
            return
        total = self._totals.get(rack, 0)
        if total:
            racks = self._buckets[total]
            del racks[rack]
            if not racks:
                del self._buckets[total]
                del self._sums[bisect.bisect_left(self._sums, total)]
        total += change
        self._total += change
        self._totals[rack] = total
        if total:
            racks = self._buckets.get(total)
            if racks is None:
                racks = self._buckets[total] = {}
                bisect.insort(self._sums, total)
            racks[rack] = None


class Cells:
    """Cell indexes of one ledger, made when first asked for."""

    __slots__ = ("_indexes", "_ledger")

    # Each index costs memory for every worker; callers may send any sizes.
    _MAX_INDEXES = 96

    def __init__(self, book: ledger.Ledger) -> None:
        self._ledger = book
        self._indexes: dict[tuple[ledger.Amounts, View], CellIndex] = {}

    def index(self, each: ledger.Amounts, view: View) -> CellIndex:
        """Return the index for a size and view, up to date."""
        key = (each, view)
        found = self._indexes.pop(key, None)
        if found is None:
            if len(self._indexes) >= self._MAX_INDEXES:
                del self._indexes[next(iter(self._indexes))]
            found = CellIndex(self._ledger, each, view)
        self._indexes[key] = found
        found.refresh()
        return found

    def locate(
        self,
        shape: resource.GangShape,
        view: View,
        avoid: Collection[str] = NOWHERE,
    ) -> tuple[str, ...] | None:
        """Return the worker of each task of a gang, or ``None``."""
        return next(self.candidates(shape, view, avoid), None)

    def candidates(
        self,
        shape: resource.GangShape,
        view: View,
        avoid: Collection[str] = NOWHERE,
    ) -> Iterator[tuple[str, ...]]:
        """Yield places for a gang as the worker of each task."""
        cells, each = unit_of(shape)
        index = self.index(each, view)
        for found in index.candidates(cells, shape.adjacency, avoid):
            if shape.adjacency is resource.Adjacency.WORKER:
                yield found * shape.tasks
            else:
                yield found
