"""Indexes of the free cells of workers and racks.

A cell is the capacity on one worker that one task needs, or the whole gang if all its
tasks must run on one worker.
"""

import bisect
from collections.abc import Callable, Collection, Iterator

from ..core import resource
from . import ledger

CapacityView = Callable[[ledger.Worker], ledger.Amounts]
NO_WORKERS: frozenset[str] = frozenset()


def cell_demand(shape: resource.GangShape) -> tuple[int, ledger.Amounts]:
    """Return the number and the size of the cells that a gang needs.

    All tasks of a gang with adjacency ``WORKER`` share one cell.
    """
    cell_size = ledger.amounts_of(shape.each)
    if shape.adjacency is resource.Adjacency.WORKER:
        return 1, ledger.scale(cell_size, shape.tasks)
    return shape.tasks, cell_size


class CellIndex:
    """Racks ordered by their number of free cells of one size.

    Parameters
    ----------
    view : CapacityView
        Function that returns the amounts of a worker that count as free.
    """

    __slots__ = (
        "_cell_size",
        "_free_by_rack",
        "_free_by_worker",
        "_free_counts",
        "_ledger",
        "_position",
        "_rack_by_worker",
        "_racks_by_free_count",
        "_total_free",
        "_view",
        "_workers_by_rack",
    )

    def __init__(
        self,
        worker_ledger: ledger.Ledger,
        cell_size: ledger.Amounts,
        view: CapacityView,
    ) -> None:
        self._ledger = worker_ledger
        self._cell_size = cell_size
        self._view = view
        self._rebuild()

    def refresh(self) -> None:
        """Apply the changes of the ledger since the last call."""
        end = self._ledger.log_end
        if self._position == end:
            return
        changed = self._ledger.changes_since(self._position)
        if changed is None:
            self._rebuild()
            return
        self._position = end
        workers = self._ledger.workers
        # Sorted, so that the order of racks doesn't depend on string hashes.
        for worker_id in sorted(changed):
            self._update_worker(workers[worker_id])

    @property
    def total_free(self) -> int:
        """Return the number of free cells in all racks."""
        return self._total_free

    def workers(self) -> Iterator[str]:
        """Yield the workers that have free cells."""
        for racks in self._racks_by_free_count.values():
            for rack in racks:
                yield from (
                    w for w in self._workers_by_rack[rack] if self._free_by_worker[w]
                )

    def can_fit(self, cell_count: int, adjacency: resource.Adjacency) -> bool:
        """Tell whether a gang fits if no worker is excluded."""
        if self._free_counts and self._free_counts[-1] >= cell_count:
            return True
        return adjacency is resource.Adjacency.NONE and self._total_free >= cell_count

    def racks(self) -> Iterator[tuple[str, int]]:
        """Yield racks and their free cells, those with the fewest free cells first."""
        for free_count in self._free_counts:
            for rack in self._racks_by_free_count[free_count]:
                yield rack, free_count

    def locate(
        self,
        cell_count: int,
        adjacency: resource.Adjacency,
        excluded: Collection[str] = NO_WORKERS,
    ) -> tuple[str, ...] | None:
        """Return a worker for each cell of a gang, or ``None``."""
        return next(self.candidates(cell_count, adjacency, excluded), None)

    def candidates(
        self,
        cell_count: int,
        adjacency: resource.Adjacency,
        excluded: Collection[str] = NO_WORKERS,
    ) -> Iterator[tuple[str, ...]]:
        """Yield placements of a gang by best fit, the fullest racks first.

        A gang without adjacency may also be spread over racks, as the last candidate.
        """
        if not self.can_fit(cell_count, adjacency):
            return
        start = bisect.bisect_left(self._free_counts, cell_count)
        for free_count in self._free_counts[start:]:
            for rack in self._racks_by_free_count[free_count]:
                chosen = self._pick_workers(rack, cell_count, excluded)
                if len(chosen) == cell_count:
                    yield tuple(chosen)
        if adjacency is resource.Adjacency.NONE and cell_count > 1:
            chosen = []
            for free_count in reversed(self._free_counts):
                for rack in self._racks_by_free_count[free_count]:
                    chosen += self._pick_workers(
                        rack, cell_count - len(chosen), excluded
                    )
                    if len(chosen) == cell_count:
                        yield tuple(chosen)
                        return

    def _pick_workers(
        self, rack: str, cell_count: int, excluded: Collection[str]
    ) -> list[str]:
        """Return workers of a rack for up to `cell_count` cells, by best fit."""
        candidates_by_free = [
            (free_cells, worker_id)
            for worker_id in self._workers_by_rack[rack]
            if (free_cells := self._free_by_worker[worker_id])
            and worker_id not in excluded
        ]
        candidates_by_free.sort()
        chosen: list[str] = []
        while candidates_by_free and len(chosen) < cell_count:
            remaining = cell_count - len(chosen)
            # The worker with the fewest free cells that suffice, else the largest one.
            index = min(
                bisect.bisect_left(candidates_by_free, (remaining, "")),
                len(candidates_by_free) - 1,
            )
            free_cells, worker_id = candidates_by_free.pop(index)
            chosen += [worker_id] * min(free_cells, remaining)
        return chosen

    def _rebuild(self) -> None:
        self._free_by_worker: dict[str, int] = {}
        self._rack_by_worker: dict[str, str] = {}
        self._workers_by_rack: dict[str, dict[str, None]] = {}
        self._free_by_rack: dict[str, int] = {}
        self._racks_by_free_count: dict[int, dict[str, None]] = {}
        self._free_counts: list[int] = []
        self._total_free = 0
        self._position = self._ledger.log_end
        for worker in self._ledger.workers.values():
            self._update_worker(worker)

    def _update_worker(self, worker: ledger.Worker) -> None:
        free_cells = 0
        if worker.is_present and worker.is_enabled:
            free_cells = ledger.count_slots(self._view(worker), self._cell_size)
        old_free_cells = self._free_by_worker.get(worker.id)
        old_rack = self._rack_by_worker.get(worker.id)
        if old_rack != worker.rack:
            if old_rack is not None:
                self._adjust_rack(old_rack, -(old_free_cells or 0))
                del self._workers_by_rack[old_rack][worker.id]
            self._workers_by_rack.setdefault(worker.rack, {})[worker.id] = None
            self._rack_by_worker[worker.id] = worker.rack
            old_free_cells = 0
        self._free_by_worker[worker.id] = free_cells
        if free_cells != old_free_cells:
            self._adjust_rack(worker.rack, free_cells - (old_free_cells or 0))

    def _adjust_rack(self, rack: str, change: int) -> None:
        if not change:
            return
        free_count = self._free_by_rack.get(rack, 0)
        if free_count:
            racks = self._racks_by_free_count[free_count]
            del racks[rack]
            if not racks:
                del self._racks_by_free_count[free_count]
                del self._free_counts[bisect.bisect_left(self._free_counts, free_count)]
        free_count += change
        self._total_free += change
        self._free_by_rack[rack] = free_count
        if free_count:
            racks = self._racks_by_free_count.get(free_count)
            if racks is None:
                racks = self._racks_by_free_count[free_count] = {}
                bisect.insort(self._free_counts, free_count)
            racks[rack] = None


class CellIndexes:
    """Cell indexes of one ledger, created on first use."""

    __slots__ = ("_indexes", "_ledger")

    # Each index costs memory for every worker, and callers choose cell sizes freely.
    _MAX_INDEXES = 96

    def __init__(self, worker_ledger: ledger.Ledger) -> None:
        self._ledger = worker_ledger
        self._indexes: dict[tuple[ledger.Amounts, CapacityView], CellIndex] = {}

    def index(self, cell_size: ledger.Amounts, view: CapacityView) -> CellIndex:
        """Return the up-to-date index for a cell size and a capacity view."""
        key = (cell_size, view)
        index = self._indexes.pop(key, None)
        if index is None:
            if len(self._indexes) >= self._MAX_INDEXES:
                del self._indexes[next(iter(self._indexes))]
            index = CellIndex(self._ledger, cell_size, view)
        self._indexes[key] = index
        index.refresh()
        return index

    def locate(
        self,
        shape: resource.GangShape,
        view: CapacityView,
        excluded: Collection[str] = NO_WORKERS,
    ) -> tuple[str, ...] | None:
        """Return the worker of each task of a gang, or ``None``."""
        return next(self.candidates(shape, view, excluded), None)

    def candidates(
        self,
        shape: resource.GangShape,
        view: CapacityView,
        excluded: Collection[str] = NO_WORKERS,
    ) -> Iterator[tuple[str, ...]]:
        """Yield placements of a gang, each as the worker of each task."""
        cell_count, cell_size = cell_demand(shape)
        index = self.index(cell_size, view)
        for workers in index.candidates(cell_count, shape.adjacency, excluded):
            if shape.adjacency is resource.Adjacency.WORKER:
                yield workers * shape.tasks
            else:
                yield workers
