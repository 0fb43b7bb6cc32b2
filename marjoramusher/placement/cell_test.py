"""Checks that the cell index finds a placement if and only if one exists."""

import random

import pytest

from marjoramusher.core import resource
from marjoramusher.placement import cell, fragmentation, ledger

ADJACENCIES = list(resource.Adjacency)


def has_placement(worker_ledger, shape, excluded):
    """Tell by a scan of all workers whether a gang has a placement."""
    task_amounts = ledger.amounts_of(shape.each)
    slots_by_group = {}
    for worker in worker_ledger.workers.values():
        if worker.is_schedulable and worker.id not in excluded:
            group = {
                resource.Adjacency.NONE: "",
                resource.Adjacency.RACK: worker.rack,
                resource.Adjacency.WORKER: worker.id,
            }[shape.adjacency]
            slots = ledger.count_slots(ledger.free(worker), task_amounts)
            slots_by_group[group] = slots_by_group.get(group, 0) + slots
    return any(slots >= shape.tasks for slots in slots_by_group.values())


@pytest.mark.parametrize("seed", range(8))
def test_index_agrees_with_a_scan_of_all_workers(seed):
    rng = random.Random(seed)
    worker_ledger = ledger.Ledger()
    cells = cell.CellIndexes(worker_ledger)
    worker_names = [f"w{n}" for n in range(12)]
    for n, name in enumerate(worker_names):
        worker_ledger.set_worker(name, f"r{n // 4}", (8, 16, 100), True)
    for step in range(300):
        action = rng.random()
        name = rng.choice(worker_names)
        if action < 0.4:
            shape = resource.GangShape(1, resource.Resources(rng.randint(0, 4), 2, 9))
            worker_ledger.allocate(
                ledger.Holding(f"j{step}", "a", shape, [name], 1, True, 0.0)
            )
        elif action < 0.7 and worker_ledger.holdings:
            worker_ledger.release(rng.choice(sorted(worker_ledger.holdings)))
        elif action < 0.8:
            worker_ledger.set_enabled(name, rng.random() < 0.7)
        elif action < 0.85:
            worker_ledger.set_worker(name, f"r{rng.randrange(4)}", (8, 16, 100), True)
        requested = resource.GangShape(
            rng.randint(1, 12),
            resource.Resources(rng.randint(0, 3), rng.randint(1, 4), rng.randint(0, 9)),
            rng.choice(ADJACENCIES),
        )
        excluded = set(rng.sample(worker_names, rng.choice([0, 0, 3])))
        workers = cells.locate(requested, ledger.free, excluded)
        assert (workers is not None) is has_placement(
            worker_ledger, requested, excluded
        )
        if workers is None:
            continue
        assert len(workers) == requested.tasks
        assert not excluded.intersection(workers)
        task_amounts = ledger.amounts_of(requested.each)
        for worker_id, needed in ledger.amounts_by_worker(
            workers, task_amounts
        ).items():
            available = ledger.free(worker_ledger.worker(worker_id))
            # The test may overcommit a worker, which is ignored for unused resources.
            assert all(h >= p or p == 0 for h, p in zip(available, needed, strict=True))


STRANDED = {
    # name: (free accelerators of the workers of two racks, shape, stranded share)
    "all serve": ([[8, 8], [0, 0]], (2, 8), 0.0),
    "split over racks": ([[8, 0], [8, 0]], (2, 8), 1.0),
    "odd rest": ([[8, 8], [4, 0]], (2, 8), 0.2),
    "nothing free": ([[0, 0], [0, 0]], (1, 8), 0.0),
}


@pytest.mark.parametrize("case", STRANDED)
def test_stranded_accelerators(case):
    racks, (tasks, accelerators), share = STRANDED[case]
    worker_ledger = ledger.Ledger()
    for rack, workers in enumerate(racks):
        for n, free in enumerate(workers):
            worker_ledger.set_worker(f"w{rack}{n}", f"r{rack}", (free, 64, 64), True)
    shape = resource.GangShape(
        tasks, resource.Resources(accelerators, 1, 1), resource.Adjacency.RACK
    )
    assert fragmentation.stranded_share(worker_ledger, shape) == pytest.approx(share)
