"""Measure the planning of workflows against the baseline planner."""

import functools
from collections.abc import Iterator, Sequence

from bench import measure, workflow_baseline, workflow_driver, workflow_load

SESSION_S = 40.0
QUICK_SESSION_S = 20.0
# The second load needs about twice the available capacity when demand peaks.
LOAD_FACTORS = {"calm": 1.0, "crest": 1.6}
URGENT_TARGET = "<= 5.5"  # seconds; the users' bound for urgent work


def measures(seeds: Sequence[int], quick: bool = False) -> Iterator[measure.Measure]:
    """Yield the measures of the planner and the baseline on the same loads."""
    duration_s = QUICK_SESSION_S if quick else SESSION_S
    for seed in seeds:
        for case, factor in LOAD_FACTORS.items():
            run = functools.partial(workflow_driver.run, seed, duration_s, factor)
            result, baseline_result = run(), run(plan=workflow_baseline.plan)
            yield from _compare(case, seed, result, baseline_result)


def _compare(
    case: str,
    seed: int,
    result: workflow_driver.SessionResult,
    baseline_result: workflow_driver.SessionResult,
) -> Iterator[measure.Measure]:
    yield measure.Measure(
        f"workflow_earned_share/{case}",
        result.earned_share(),
        "ratio",
        "reported",
        baseline_result.earned_share(),
        seed,
    )
    for workload_class in workflow_load.WORKLOAD_CLASSES:
        name = workload_class.queue.name
        yield measure.Measure(
            f"workflow_earned_share/{case}/{name}",
            result.earned_share(name),
            "ratio",
            "reported",
            baseline_result.earned_share(name),
            seed,
        )
    yield measure.Measure(
        f"workflow_urgent_start_p99_s/{case}",
        _p99(result.urgent_start_s),
        "s",
        URGENT_TARGET,
        _p99(baseline_result.urgent_start_s),
        seed,
    )
    yield measure.Measure(
        f"workflow_wasted_share/{case}",
        result.wasted_core_s / result.used_core_s,
        "ratio",
        "reported",
        baseline_result.wasted_core_s / baseline_result.used_core_s,
        seed,
    )
    yield measure.Measure(
        f"workflow_faults/{case}",
        float(len(result.violations)),
        "count",
        "== 0",
        float(len(baseline_result.violations)),
        seed,
    )


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0
