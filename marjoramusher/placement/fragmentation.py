"""How much free capacity a gang can't use, and moves that make it usable."""

from collections.abc import Collection

from ..core import resource
from . import cell, ledger, reclaim

# Accelerator seconds of waiting that a move must save for each one that it costs.
GAIN_FACTOR = 2.0
MAX_CANDIDATES = 4
MAX_MOVED = 16
# A job that was moved runs at least this long before it is moved again.
MOVE_PAUSE_S = 30.0


def stranded_share(worker_ledger: ledger.Ledger, shape: resource.GangShape) -> float:
    """Return the share of free accelerators that are part of no place for a gang."""
    cells, each = cell.cell_demand(shape)
    slots: dict[str, int] = {}
    free: list[tuple[str, int, int]] = []
    for worker in worker_ledger.workers.values():
        if worker.is_schedulable:
            available = ledger.free(worker)
            count = ledger.count_slots(available, each)
            slots[worker.rack] = slots.get(worker.rack, 0) + count
            free.append((worker.rack, max(0, available[0]), count))
    total = sum(accelerators for _, accelerators, _ in free)
    if not total:
        return 0.0
    if shape.adjacency is resource.Adjacency.NONE:
        everywhere = sum(slots.values())
        slots = dict.fromkeys(slots, everywhere)
    serving = sum(
        min(accelerators, count * each[0])
        for rack, accelerators, count in free
        if slots[rack] >= cells
    )
    return 1.0 - serving / total


def free_after_moves(worker: ledger.Worker) -> ledger.Amounts:
    """Return what is free once all borrowers that can be stopped have moved."""
    a, m = ledger.free(worker), worker.preemptible
    return (a[0] + m[0], a[1] + m[1], a[2] + m[2])


class Move:
    """Borrowers that move elsewhere so that a gang can start."""

    __slots__ = ("victims", "workers")

    def __init__(self, workers: tuple[str, ...], victims: list[ledger.Holding]) -> None:
        self.workers = workers
        self.victims = victims


def choose_move(
    worker_ledger: ledger.Ledger,
    cells: cell.CellIndexes,
    shape: resource.GangShape,
    wait_s: float,
    excluded: Collection[str],
    now: float,
) -> Move | None:
    """Weigh moving borrowers against waiting until they end.

    A borrower is moved only if it is smaller than the gang, not urgent, and fits
    elsewhere at once. Since only smaller jobs are moved, a moved job never moves the
    gang in return, so moves can't go in a circle. A best effort gang may move normal
    jobs, since they only change their place. What was backfilled is stopped in any
    case when the gang can start, so it is neither spared nor counted as a loss.
    """
    each = ledger.amounts_of(shape.each)
    best: tuple[float, Move] | None = None

    def may_move(holding: ledger.Holding) -> bool:
        return (
            holding.rank <= 1
            and holding.accelerators < max(2, shape.accelerators)
            and (holding.is_backfilled or now - holding.moved_at >= MOVE_PAUSE_S)
        )

    gain = max(1, shape.accelerators) * wait_s
    places = cells.candidates(shape, free_after_moves, excluded)
    for workers in reclaim.take_first(places, MAX_CANDIDATES):
        amounts = ledger.amounts_by_worker(workers, each)
        victims = reclaim.choose_victims(worker_ledger, amounts, may_move, now)
        if not victims or len(victims) > MAX_MOVED:
            continue
        # What was backfilled runs on borrowed time and need not fit elsewhere.
        moved = [victim for victim in victims if not victim.is_backfilled]
        cost = reclaim.stop_cost(moved, now)
        if GAIN_FACTOR * cost > gain or (best is not None and cost >= best[0]):
            continue
        if _fit_elsewhere(worker_ledger, cells, moved, set(amounts)):
            best = (cost, Move(workers, victims))
    return best[1] if best is not None else None


def _fit_elsewhere(
    worker_ledger: ledger.Ledger,
    cells: cell.CellIndexes,
    victims: list[ledger.Holding],
    excluded: set[str],
) -> bool:
    held: list[dict[str, ledger.Amounts]] = []
    fits = True
    for victim in sorted(victims, key=lambda v: -v.accelerators):
        found = cells.locate(victim.shape, ledger.free, excluded)
        if found is None:
            fits = False
            break
        amounts = ledger.amounts_by_worker(found, ledger.amounts_of(victim.shape.each))
        worker_ledger.adjust_claimed(amounts, 1)
        held.append(amounts)
    for amounts in held:
        worker_ledger.adjust_claimed(amounts, -1, is_release=False)
    return fits
