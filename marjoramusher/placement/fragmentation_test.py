"""Checks which borrowers may be moved so that a waiting gang can start."""

import pytest

from marjoramusher.core import resource
from marjoramusher.placement import cell, fragmentation, ledger

NOW = 1000.0
GANG = resource.GangShape(1, resource.Resources(8, 8, 8), resource.Adjacency.RACK)


def make_holding(name, worker, accelerators, rank, **fields):
    task_resources = resource.Resources(accelerators, 1, 1)
    shape = resource.GangShape(1, task_resources, resource.Adjacency.RACK)
    is_preemptible = fields.pop("is_preemptible", True)
    holding = ledger.Holding(
        name, "a", shape, [worker], rank, is_preemptible, NOW - 10.0
    )
    holding.checkpointed_at = NOW
    for field, value in fields.items():
        setattr(holding, field, value)
    return holding


@pytest.mark.parametrize(
    ("rank", "fields", "elsewhere", "is_moved"),
    [
        (0, {}, 4, True),
        (1, {}, 4, True),
        (2, {}, 4, False),
        (ledger.GUARANTEED_RANK, {}, 4, False),
        (0, {"is_preemptible": False}, 4, False),
        (0, {"moved_at": NOW - 10.0}, 4, False),
        (0, {"moved_at": NOW - 40.0}, 4, True),
        (0, {}, 0, False),
        (0, {"is_backfilled": True}, 0, True),
        (0, {"is_backfilled": True, "moved_at": NOW - 10.0}, 0, True),
    ],
)
def test_a_borrower_moves_only_if_it_loses_little(rank, fields, elsewhere, is_moved):
    worker_ledger = ledger.Ledger()
    for worker in ("w0", "w1"):
        worker_ledger.set_worker(worker, "r0", (8, 64, 64), True)
    worker_ledger.allocate(make_holding("small", "w0", 2, rank, **fields))
    worker_ledger.allocate(
        make_holding("charged", "w1", 8 - elsewhere, ledger.GUARANTEED_RANK)
    )
    move = fragmentation.choose_move(
        worker_ledger, cell.CellIndexes(worker_ledger), GANG, 60.0, (), NOW
    )
    assert (move is not None) is is_moved
    if move is not None:
        assert move.workers == ("w0",)
        assert [victim.job_id for victim in move.victims] == ["small"]
