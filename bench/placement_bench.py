"""Measures of the placement decisions."""

import random
from collections.abc import Callable, Iterable, Iterator

import msgspec
import numpy as np

from bench import measure, placement_driver, placement_load, placement_scale
from marjoramusher.placement import baseline, gang, placer, queue

DEPLOYMENTS = ("A", "B")
# All jobs of a run are final long before this.
UNTIL_S = 36_000.0
MANY_SINGLE_RUNS = 0.4
ORDERS: dict[str, queue.QueueOrder] = {
    "first in first out": queue.FirstInFirstOut(),
    "least attained service": queue.LeastAttainedService(),
    "earliest deadline": queue.EarliestDeadline(),
    "dominant share": queue.DominantShare(),
    "combined": queue.Combined(),
}
OPTIONS = ("", "no_reserve", "no_overstay", "no_move", "no_standby", "count_plan")
Maker = Callable[[int], placer.Placer]


def make_baseline(seed: int) -> placer.Placer:
    """Make the baseline placer."""
    return baseline.make_placer(placement_load.DOMAIN)


def make_gang(
    seed: int, order: queue.QueueOrder | None = None, option: str = ""
) -> placer.Placer:
    """Make the placer, or one with an alternative."""
    options = frozenset([option] if option else [])
    return gang.make_placer(
        random.Random(seed),
        placement_load.DOMAIN,
        placement_load.WALL_OFFSET_S,
        order,
        options,
    )


def drive(
    policy: placer.Placer, seed: int, deployment: str, single_run_share: float = 0.02
) -> placement_driver.Verdict:
    """Run one load of a deployment."""
    load = placement_load.make_load(seed, deployment, single_run_share=single_run_share)
    return placement_driver.Driver(policy, load, seed).run(UNTIL_S)


def completions(
    ours: placement_driver.Verdict, theirs: placement_driver.Verdict
) -> tuple[list[float], list[float]]:
    """Return completion times of the jobs that are done in both runs."""
    both = sorted(ours.completion_s.keys() & theirs.completion_s.keys())
    return (
        [ours.completion_s[job_id] for job_id in both],
        [theirs.completion_s[job_id] for job_id in both],
    )


def measures(seeds: Iterable[int]) -> Iterator[measure.Measure]:
    """Yield the measures of both deployments for each seed, then the scale."""
    for seed in seeds:
        for deployment in DEPLOYMENTS:
            ours = drive(make_gang(seed), seed, deployment)
            theirs = drive(make_baseline(seed), seed, deployment)
            for found in _compare(ours, theirs, seed):
                yield _renamed(found, deployment)
        yield from _scale(seed)


def _renamed(found: measure.Measure, case: str) -> measure.Measure:
    return msgspec.structs.replace(found, measure=f"{found.measure}[{case}]")


def _compare(
    ours: placement_driver.Verdict, theirs: placement_driver.Verdict, seed: int
) -> Iterator[measure.Measure]:
    mine, other = completions(ours, theirs)

    def make(
        name: str, value: float, unit: str, target: str, against: float | None = None
    ) -> measure.Measure:
        return measure.Measure(name, value, unit, target, against, seed)

    p99 = placement_driver.percentile
    mean_ratio = float(np.mean(mine) / np.mean(other))
    p99_ratio = p99(mine, 99) / p99(other, 99)
    yield make("job_completion_mean_ratio", mean_ratio, "1", "<= 0.6", 1.0)
    yield make("job_completion_p99_ratio", p99_ratio, "1", "<= 0.8", 1.0)
    shares = [one.stranded / max(1.0, one.free) for one in (ours, theirs)]
    yield make("fragmentation_share", shares[0], "1", "<= 0.05", shares[1])
    shares = [one.stranded_any / max(1.0, one.free_any) for one in (ours, theirs)]
    yield make("fragmentation_share_any_wait", shares[0], "1", "reported", shares[1])
    for name in ("urgent_start", "reclaim", "reclaim_silent"):
        values = [getattr(one, f"{name}_s") for one in (ours, theirs)]
        against = p99(values[1], 99) if values[1] else None
        yield make(f"{name}_p99_s", p99(values[0], 99), "s", "<= 5.5", against)
        yield make(f"{name}_count", len(values[0]), "count", "reported")
    yield make("guarantee_broken", ours.broken, "count", "== 0")
    yield make("shortfall_false", ours.shortfall_false, "count", "reported")
    yield make("gang_partial", ours.partial, "count", "== 0", theirs.partial)
    yield make("job_lost", ours.lost, "count", "== 0", theirs.lost)
    longest_s = max(ours.quarantine_s, default=0.0)
    yield make("worker_bad_quarantine_s", longest_s, "s", "<= 30")
    refused = ours.refused_wrongly
    yield make("job_refused_wrongly", refused, "count", "== 0", theirs.refused_wrongly)
    yield make("worker_quarantined_wrongly", ours.quarantined_wrongly, "count", "== 0")
    decision_us = [1e6 * one.plan_s / max(1, one.plan_places) for one in (ours, theirs)]
    yield make("placement_decision_us", decision_us[0], "us", "<= 500", decision_us[1])
    idle_us = [1e6 * one.idle_s / max(1, one.idle) for one in (ours, theirs)]
    yield make("placement_idle_us", idle_us[0], "us", "reported", idle_us[1])


def _scale(seed: int) -> Iterator[measure.Measure]:
    found = list(placement_scale.timings(seed))
    for one in found:
        target = {24: "<= 500", 5800: "<= 5000"}.get(one.workers, "reported")
        name = f"placement_decision_us[{one.workers} workers, {one.tasks} tasks]"
        yield measure.Measure(name, one.plan_us, "us", target, None, seed)
    exponent = placement_scale.slope(found)
    name = "placement_decision_slope"
    yield measure.Measure(name, exponent, "exponent", "< 1", None, seed)


def alternatives(seeds: Iterable[int]) -> Iterator[measure.Measure]:
    """Yield what each order and each part that is left out changes."""
    for seed in seeds:
        theirs = drive(make_baseline(seed), seed, "A")
        cases: dict[str, Maker] = {}
        for name, order in ORDERS.items():
            cases[name] = lambda seed, order=order: make_gang(seed, order)
        for option in OPTIONS:
            cases[option or "all"] = lambda seed, o=option: make_gang(seed, None, o)
        for name, maker in cases.items():
            ours = drive(maker(seed), seed, "A")
            for found in _compare(ours, theirs, seed):
                yield _renamed(found, name)
        # With many jobs that can't be stopped the sums are no longer enough.
        for name, option in (("cells", ""), ("counts", "count_plan")):
            ours = drive(make_gang(seed, None, option), seed, "A", MANY_SINGLE_RUNS)
            yield measure.Measure(
                f"guarantee_broken[{name}, {MANY_SINGLE_RUNS:.0%} single runs]",
                ours.broken,
                "count",
                "== 0",
                None,
                seed,
            )


if __name__ == "__main__":
    for one in measures((1, 2, 3)):
        print(one)
