"""Measure the placement decisions against the baseline placer."""

import random
from collections.abc import Callable, Iterable, Iterator

import msgspec
import numpy as np

from bench import measure, placement_driver, placement_load, placement_scale
from marjoramusher.placement import baseline, gang, placer, queue

DEPLOYMENTS = ("A", "B")
# Virtual time at which a session is given up; its jobs are final long before.
MAX_SESSION_S = 36_000.0
HIGH_SINGLE_RUN_SHARE = 0.4
ORDERS: dict[str, queue.QueueOrder] = {
    "first in first out": queue.FirstInFirstOut(),
    "least attained service": queue.LeastAttainedService(),
    "earliest deadline": queue.EarliestDeadline(),
    "dominant share": queue.DominantShare(),
    "combined": queue.Combined(),
}
OPTIONS = ("", "no_reserve", "no_overstay", "no_move", "no_standby", "count_plan")
PlacerFactory = Callable[[int], placer.Placer]


def make_baseline_placer(seed: int) -> placer.Placer:
    """Return the baseline placer."""
    return baseline.make_placer(placement_load.DOMAIN)


def make_gang_placer(
    seed: int, order: queue.QueueOrder | None = None, option: str = ""
) -> placer.Placer:
    """Return the gang placer, or a variant with another order or a part disabled."""
    options = frozenset([option] if option else [])
    return gang.make_placer(
        random.Random(seed),
        placement_load.DOMAIN,
        placement_load.WALL_OFFSET_S,
        order,
        options,
    )


def run_session(
    policy: placer.Placer, seed: int, deployment: str, single_run_share: float = 0.02
) -> placement_driver.SessionResult:
    """Run the load of one seed and deployment."""
    load = placement_load.make_load(seed, deployment, single_run_share=single_run_share)
    return placement_driver.Driver(policy, load, seed).run(MAX_SESSION_S)


def completions(
    result: placement_driver.SessionResult,
    baseline_result: placement_driver.SessionResult,
) -> tuple[list[float], list[float]]:
    """Return the completion times of the jobs that completed in both sessions."""
    common = sorted(result.completion_s.keys() & baseline_result.completion_s.keys())
    return (
        [result.completion_s[job_id] for job_id in common],
        [baseline_result.completion_s[job_id] for job_id in common],
    )


def measures(seeds: Iterable[int]) -> Iterator[measure.Measure]:
    """Yield the measures of both deployments and of the scale sweep for each seed."""
    for seed in seeds:
        for deployment in DEPLOYMENTS:
            result = run_session(make_gang_placer(seed), seed, deployment)
            baseline_result = run_session(make_baseline_placer(seed), seed, deployment)
            for measured in _compare(result, baseline_result, seed):
                yield _with_case(measured, deployment)
        yield from _scale(seed)


def _with_case(value: measure.Measure, case: str) -> measure.Measure:
    return msgspec.structs.replace(value, measure=f"{value.measure}[{case}]")


def _compare(
    result: placement_driver.SessionResult,
    baseline_result: placement_driver.SessionResult,
    seed: int,
) -> Iterator[measure.Measure]:
    completion_s, baseline_completion_s = completions(result, baseline_result)

    def build(
        name: str,
        value: float,
        unit: str,
        target: str,
        baseline_value: float | None = None,
    ) -> measure.Measure:
        return measure.Measure(name, value, unit, target, baseline_value, seed)

    percentile = placement_driver.percentile
    mean_ratio = float(np.mean(completion_s) / np.mean(baseline_completion_s))
    p99_ratio = percentile(completion_s, 99) / percentile(baseline_completion_s, 99)
    yield build("job_completion_mean_ratio", mean_ratio, "1", "<= 0.6", 1.0)
    yield build("job_completion_p99_ratio", p99_ratio, "1", "<= 0.8", 1.0)
    shares = [
        outcome.stranded_accelerators / max(1.0, outcome.free_accelerators)
        for outcome in (result, baseline_result)
    ]
    yield build("fragmentation_share", shares[0], "1", "<= 0.05", shares[1])
    shares = [
        outcome.stranded_accelerators_any_wait
        / max(1.0, outcome.free_accelerators_any_wait)
        for outcome in (result, baseline_result)
    ]
    yield build("fragmentation_share_any_wait", shares[0], "1", "reported", shares[1])
    for name in ("urgent_start", "reclaim", "reclaim_silent"):
        values = [
            getattr(outcome, f"{name}_s") for outcome in (result, baseline_result)
        ]
        baseline_value = percentile(values[1], 99) if values[1] else None
        yield build(
            f"{name}_p99_s", percentile(values[0], 99), "s", "<= 5.5", baseline_value
        )
        yield build(f"{name}_count", len(values[0]), "count", "reported")
    yield build("guarantee_broken", result.guarantee_violations, "count", "== 0")
    yield build("shortfall_false", result.false_shortfalls, "count", "reported")
    yield build(
        "gang_partial",
        result.partial_gangs,
        "count",
        "== 0",
        baseline_result.partial_gangs,
    )
    yield build(
        "job_lost", result.lost_jobs, "count", "== 0", baseline_result.lost_jobs
    )
    longest_s = max(result.quarantine_s, default=0.0)
    yield build("worker_bad_quarantine_s", longest_s, "s", "<= 30")
    rejected = result.wrong_rejections
    yield build(
        "job_refused_wrongly",
        rejected,
        "count",
        "== 0",
        baseline_result.wrong_rejections,
    )
    yield build("worker_quarantined_wrongly", result.wrong_quarantines, "count", "== 0")
    decision_us = [
        1e6 * outcome.placing_plan_s / max(1, outcome.plan_placements)
        for outcome in (result, baseline_result)
    ]
    yield build("placement_decision_us", decision_us[0], "us", "<= 500", decision_us[1])
    idle_us = [
        1e6 * outcome.idle_plan_s / max(1, outcome.idle_plans)
        for outcome in (result, baseline_result)
    ]
    yield build("placement_idle_us", idle_us[0], "us", "reported", idle_us[1])


def _scale(seed: int) -> Iterator[measure.Measure]:
    timings = list(placement_scale.timings(seed))
    for timing in timings:
        target = {24: "<= 500", 5800: "<= 5000"}.get(timing.workers, "reported")
        name = f"placement_decision_us[{timing.workers} workers, {timing.tasks} tasks]"
        yield measure.Measure(name, timing.plan_us, "us", target, None, seed)
    exponent = placement_scale.slope(timings)
    name = "placement_decision_slope"
    yield measure.Measure(name, exponent, "exponent", "< 1", None, seed)


def alternatives(seeds: Iterable[int]) -> Iterator[measure.Measure]:
    """Yield the measures for each queue order and with each part disabled."""
    for seed in seeds:
        baseline_result = run_session(make_baseline_placer(seed), seed, "A")
        cases: dict[str, PlacerFactory] = {}
        for name, order in ORDERS.items():
            cases[name] = lambda seed, order=order: make_gang_placer(seed, order)
        for option in OPTIONS:
            cases[option or "all"] = lambda seed, option=option: make_gang_placer(
                seed, None, option
            )
        for name, factory in cases.items():
            result = run_session(factory(seed), seed, "A")
            for measured in _compare(result, baseline_result, seed):
                yield _with_case(measured, name)
        # With many jobs that can't be preempted, comparing sums of free capacity (the
        # `count_plan` option) no longer protects the guarantees.
        for name, option in (("cells", ""), ("counts", "count_plan")):
            result = run_session(
                make_gang_placer(seed, None, option), seed, "A", HIGH_SINGLE_RUN_SHARE
            )
            yield measure.Measure(
                f"guarantee_broken[{name}, {HIGH_SINGLE_RUN_SHARE:.0%} single runs]",
                result.guarantee_violations,
                "count",
                "== 0",
                None,
                seed,
            )


if __name__ == "__main__":
    for measured in measures((1, 2, 3)):
        print(measured)
