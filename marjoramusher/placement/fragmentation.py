"""Fragmentation of free capacity, and moves of jobs that reduce it."""

from collections.abc import Collection

from ..core import resource
from . import cell, ledger, reclaim

# Accelerator seconds of waiting that a move must save per accelerator second of cost.
MIN_GAIN_FACTOR = 2.0
MAX_CANDIDATES = 4
MAX_VICTIMS = 16
# A job that was moved runs at least this long before it is moved again.
MIN_RUN_BETWEEN_MOVES_S = 30.0


def stranded_share(worker_ledger: ledger.Ledger, shape: resource.GangShape) -> float:
    """Return the share of free accelerators that no placement of a gang can use."""
    cell_count, cell_size = cell.cell_demand(shape)
    cells_by_rack: dict[str, int] = {}
    free_by_worker: list[tuple[str, int, int]] = []
    for worker in worker_ledger.workers.values():
        if worker.is_schedulable:
            available = ledger.free(worker)
            count = ledger.count_slots(available, cell_size)
            cells_by_rack[worker.rack] = cells_by_rack.get(worker.rack, 0) + count
            free_by_worker.append((worker.rack, max(0, available[0]), count))
    total_free = sum(accelerators for _, accelerators, _ in free_by_worker)
    if not total_free:
        return 0.0
    if shape.adjacency is resource.Adjacency.NONE:
        total_cells = sum(cells_by_rack.values())
        cells_by_rack = dict.fromkeys(cells_by_rack, total_cells)
    usable = sum(
        min(accelerators, count * cell_size[0])
        for rack, accelerators, count in free_by_worker
        if cells_by_rack[rack] >= cell_count
    )
    return 1.0 - usable / total_free


def free_after_moves(worker: ledger.Worker) -> ledger.Amounts:
    """Return the amounts free once all preemptible borrowers have moved away."""
    a, m = ledger.free(worker), worker.preemptible
    return (a[0] + m[0], a[1] + m[1], a[2] + m[2])


class Move:
    """Workers for a gang and the borrowers that must move off them."""

    __slots__ = ("victims", "workers")

    def __init__(self, workers: tuple[str, ...], victims: list[ledger.Holding]) -> None:
        self.workers = workers
        self.victims = victims


def choose_move(
    worker_ledger: ledger.Ledger,
    cell_indexes: cell.CellIndexes,
    shape: resource.GangShape,
    wait_s: float,
    excluded: Collection[str],
    now: float,
) -> Move | None:
    """Return the cheapest move of borrowers, if it costs less than waiting.

    A borrower is moved only if it is smaller than the gang, not urgent, and fits
    elsewhere at once. Since only smaller jobs are moved, a moved job never moves the
    gang in return, so moves can't form a cycle. A best effort gang may move normal
    jobs, since these only change workers. Backfilled jobs are stopped anyway once the
    gang can start, so they may be moved at any time and their cost is not counted.
    """
    task_amounts = ledger.amounts_of(shape.each)
    best: tuple[float, Move] | None = None

    def may_move(holding: ledger.Holding) -> bool:
        return (
            holding.rank <= 1
            and holding.accelerators < max(2, shape.accelerators)
            and (
                holding.is_backfilled
                or now - holding.moved_at >= MIN_RUN_BETWEEN_MOVES_S
            )
        )

    waiting_cost = max(1, shape.accelerators) * wait_s
    placements = cell_indexes.candidates(shape, free_after_moves, excluded)
    for workers in reclaim.take_first(placements, MAX_CANDIDATES):
        amounts = ledger.amounts_by_worker(workers, task_amounts)
        victims = reclaim.choose_victims(worker_ledger, amounts, may_move, now)
        if not victims or len(victims) > MAX_VICTIMS:
            continue
        # Backfilled jobs run on reserved workers and need not fit elsewhere.
        counted_victims = [victim for victim in victims if not victim.is_backfilled]
        cost = reclaim.stop_cost(counted_victims, now)
        if MIN_GAIN_FACTOR * cost > waiting_cost or (
            best is not None and cost >= best[0]
        ):
            continue
        if _can_relocate(worker_ledger, cell_indexes, counted_victims, set(amounts)):
            best = (cost, Move(workers, victims))
    return best[1] if best is not None else None


def _can_relocate(
    worker_ledger: ledger.Ledger,
    cell_indexes: cell.CellIndexes,
    victims: list[ledger.Holding],
    excluded: set[str],
) -> bool:
    claimed: list[dict[str, ledger.Amounts]] = []
    fits = True
    for victim in sorted(victims, key=lambda v: -v.accelerators):
        workers = cell_indexes.locate(victim.shape, ledger.free, excluded)
        if workers is None:
            fits = False
            break
        amounts = ledger.amounts_by_worker(
            workers, ledger.amounts_of(victim.shape.each)
        )
        worker_ledger.adjust_claimed(amounts, 1)
        claimed.append(amounts)
    for amounts in claimed:
        worker_ledger.adjust_claimed(amounts, -1, is_release=False)
    return fits
