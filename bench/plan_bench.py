"""Measure how long the leader's loop is busy with one plan."""

import time
from collections.abc import Iterator, Sequence

from bench import measure, plan_load
from marjoramusher.workflows import planner

# Targets in milliseconds of CPU time: below the interval of heartbeats, so that a plan
# delays no lease.
CASES = {
    plan_load.Case(24, 60): "reported",
    plan_load.Case(270, 60): "<= 20",
    plan_load.Case(270, 300): "<= 20",
    plan_load.Case(1000, 60): "<= 50",
    plan_load.Case(1000, 1000): "<= 50",
}
ROUNDS = 3


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield the CPU time of the plan after a burst, and of the one after it.

    The third one is of the burst with known times until the end of each run.
    """
    for seed in seeds:
        for case, target in CASES.items():
            first = plan_load.make_input(case, seed)
            plan = planner.plan(first)
            following = plan_load.with_stops(first, plan)
            ending = plan_load.with_remaining(first)
            for name, plan_input in (
                ("burst", first),
                ("stops", following),
                ("ending", ending),
            ):
                yield measure.Measure(
                    f"workflow_plan_ms/{case.workers}x{case.waiting}/{name}",
                    min(_plan_ms(plan_input) for _ in range(ROUNDS)),
                    "ms",
                    target,
                    None,
                    seed,
                )


def _plan_ms(plan_input: planner.PlanInput) -> float:
    started_s = time.process_time()
    planner.plan(plan_input)
    return 1000 * (time.process_time() - started_s)
