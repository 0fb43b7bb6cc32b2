"""Measures of the leader's decisions about workflows."""

import functools
from collections.abc import Iterator, Sequence

from bench import measure, workflow_baseline, workflow_driver, workflow_load

LENGTH_S = 40.0  # of a session
QUICK_LENGTH_S = 20.0
# The second load wants about twice the room that there is at the crest of a swing.
FACTORS = {"calm": 1.0, "crest": 1.6}
URGENT_TARGET = "<= 5.5"  # seconds, the users' bound for urgent work


def measures(seeds: Sequence[int], quick: bool = False) -> Iterator[measure.Measure]:
    """Yield what the planner and the baseline earn on the same loads."""
    length_s = QUICK_LENGTH_S if quick else LENGTH_S
    for seed in seeds:
        for case, factor in FACTORS.items():
            run = functools.partial(workflow_driver.run, seed, length_s, factor)
            ours, theirs = run(), run(plan=workflow_baseline.plan)
            yield from _compare(case, seed, ours, theirs)


def _compare(
    case: str,
    seed: int,
    ours: workflow_driver.Verdict,
    theirs: workflow_driver.Verdict,
) -> Iterator[measure.Measure]:
    yield measure.Measure(
        f"workflow_earned_share/{case}",
        ours.share(),
        "ratio",
        "reported",
        theirs.share(),
        seed,
    )
    for kind in workflow_load.KINDS:
        name = kind.queue.name
        yield measure.Measure(
            f"workflow_earned_share/{case}/{name}",
            ours.share(name),
            "ratio",
            "reported",
            theirs.share(name),
            seed,
        )
    yield measure.Measure(
        f"workflow_urgent_start_p99_s/{case}",
        _p99(ours.urgent_start_s),
        "s",
        URGENT_TARGET,
        _p99(theirs.urgent_start_s),
        seed,
    )
    yield measure.Measure(
        f"workflow_wasted_share/{case}",
        ours.wasted_core_s / ours.used_core_s,
        "ratio",
        "reported",
        theirs.wasted_core_s / theirs.used_core_s,
        seed,
    )
    yield measure.Measure(
        f"workflow_faults/{case}",
        float(len(ours.faults)),
        "count",
        "== 0",
        float(len(theirs.faults)),
        seed,
    )


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))] if values else 0.0
