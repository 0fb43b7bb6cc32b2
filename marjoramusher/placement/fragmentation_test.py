"""Guards which borrowers may be moved so that a waiting gang can start."""

import pytest

from marjoramusher.core import resource
from marjoramusher.placement import cell, fragmentation, ledger

NOW = 1000.0
GANG = resource.GangShape(1, resource.Resources(8, 8, 8), resource.Adjacency.RACK)


def held(name, worker, accelerators, rank, **fields):
    each = resource.Resources(accelerators, 1, 1)
    shape = resource.GangShape(1, each, resource.Adjacency.RACK)
    movable = fields.pop("movable", True)
    one = ledger.Holding(name, "a", shape, [worker], rank, movable, NOW - 10.0)
    one.checkpoint_at = NOW
    for field, value in fields.items():
        setattr(one, field, value)
    return one


@pytest.mark.parametrize(
    ("rank", "fields", "elsewhere", "is_moved"),
    [
        (0, {}, 4, True),
        (1, {}, 4, True),
        (2, {}, 4, False),
        (ledger.CHARGED, {}, 4, False),
        (0, {"movable": False}, 4, False),
        (0, {"moved_at": NOW - 10.0}, 4, False),
        (0, {"moved_at": NOW - 40.0}, 4, True),
        (0, {}, 0, False),
        (0, {"backfilled": True}, 0, True),
        (0, {"backfilled": True, "moved_at": NOW - 10.0}, 0, True),
    ],
)
def test_a_borrower_moves_only_if_it_loses_little(rank, fields, elsewhere, is_moved):
    book = ledger.Ledger()
    for worker in ("w0", "w1"):
        book.set_worker(worker, "r0", (8, 64, 64), True)
    book.hold(held("small", "w0", 2, rank, **fields))
    book.hold(held("charged", "w1", 8 - elsewhere, ledger.CHARGED))
    move = fragmentation.choose_move(book, cell.Cells(book), GANG, 60.0, (), NOW)
    assert (move is not None) is is_moved
    if move is not None:
        assert move.workers == ("w0",)
        assert [victim.job_id for victim in move.victims] == ["small"]
