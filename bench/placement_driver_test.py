"""Check that the driver detects violations, and that real sessions have none."""

import pytest

from bench import placement_bench, placement_driver, placement_load
from marjoramusher.core import resource
from marjoramusher.placement import decision

FIT_CASES = {
    # name: (free accelerators of two racks, gangs as (tasks, accelerators), fits)
    "one each": ([[8, 8], [8, 8]], [(2, 8), (2, 8)], True),
    "split": ([[8, 0], [8, 8]], [(2, 8), (1, 8)], True),
    "sum is enough but not its place": ([[4, 4], [0, 0]], [(1, 8)], False),
    "greedy choice fails": ([[8, 4], [4, 4]], [(3, 4), (2, 4)], True),
    "too many": ([[8, 8], [8, 8]], [(2, 8), (2, 8), (1, 1)], False),
    "nothing wanted": ([[0, 0], [0, 0]], [], True),
}


@pytest.mark.parametrize("case", FIT_CASES)
def test_exhaustive_check_of_guarantees(case):
    racks, gangs, fits = FIT_CASES[case]
    workers = placement_load.make_workers(4, 2)
    free = {w.id: racks[n // 2][n % 2] for n, w in enumerate(workers)}
    shapes = [
        resource.GangShape(
            tasks, resource.Resources(accelerators), resource.Adjacency.RACK
        )
        for tasks, accelerators in gangs
    ]
    by_id = {worker.id: worker for worker in workers}
    assert placement_driver.can_fit_all(free, by_id, shapes) is fits


class InvalidPlacer:
    """Place the first job on the wrong number of workers in every plan."""

    def __init__(self):
        self._first = None

    def job_changed(self, job, now):
        self._first = self._first or job

    def plan(self, now):
        if self._first is None:
            return []
        return [decision.Place(self._first.job_id, ("w0000",) * 9)]

    def shortfalls(self, now):
        return ()

    def __getattr__(self, name):
        return lambda *arguments: None


def test_driver_counts_partial_and_doubled_gangs():
    load = placement_load.make_load(1, span_s=60.0)
    result = placement_driver.Driver(InvalidPlacer(), load, 1).run(120.0)
    assert result.partial_gangs > 0
    assert result.lost_jobs > 0


@pytest.mark.parametrize("deployment", placement_bench.DEPLOYMENTS)
@pytest.mark.parametrize("seed", [11, 12])
def test_session_breaks_no_guarantee_and_loses_no_job(deployment, seed):
    load = placement_load.make_load(seed, deployment, span_s=400.0)
    placer = placement_bench.make_gang_placer(seed)
    result = placement_driver.Driver(placer, load, seed).run(10_000.0)
    assert not result.problems
    assert result.guarantee_violations == result.partial_gangs == result.lost_jobs == 0
    assert result.wrong_rejections == result.wrong_quarantines == 0


def test_same_seed_gives_the_same_session():
    results = [
        placement_driver.Driver(
            placement_bench.make_gang_placer(5),
            placement_load.make_load(5, span_s=200.0),
            5,
        ).run(10_000.0)
        for _ in range(2)
    ]
    assert results[0].completion_s == results[1].completion_s
    assert results[0].stops == results[1].stops
