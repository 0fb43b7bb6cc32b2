"""Check the measures on handmade outcomes, and that a seed determines the run."""

import pytest

from bench import measure, routing_bench, routing_driver, routing_load


def outcome(at, run_s, start=None, account="large", answered=True):
    arrival = routing_load.Arrival(at, account, "short", run_s, 5.0, True, False)
    start = at if start is None else start
    if not answered:
        return routing_driver.RequestOutcome(arrival)
    run_interval = (start, start + run_s)
    return routing_driver.RequestOutcome(arrival, start + run_s, run_interval)


def test_goodput_counts_only_timely_work_within_the_peak():
    outcomes = [
        outcome(9.0, 2.0),  # Half of it is within the peak.
        outcome(12.0, 2.0),
        outcome(12.0, 2.0, start=18.0),  # Answered after its deadline.
        outcome(12.0, 1.0, answered=False),
    ]
    assert routing_bench._goodput(outcomes) == pytest.approx(3.0 / 6.0)


def test_worst_share_is_relative_to_the_demand_of_the_account():
    outcomes = [
        outcome(12.0, 4.0, account="tiny"),
        outcome(12.0, 4.0, account="small"),
        outcome(12.0, 4.0, account="small", answered=False),
        outcome(12.0, 4.0, account="middle"),
        outcome(12.0, 4.0, account="large"),
    ]
    assert routing_bench._worst_share(outcomes) == pytest.approx(0.5)


def test_recovery_ends_with_the_last_slow_window():
    def run(slow_until):
        times = [index * 0.01 for index in range(2800)]
        return [
            outcome(at, 0.3 if 20.0 <= at < slow_until else 0.1, start=at)
            for at in times
        ]

    assert routing_bench._recovery_s(run(0.0)) == 0.0
    assert routing_bench._recovery_s(run(21.0)) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("value", "target", "met"),
    [
        (1.3, "<= 1.3", True),
        (0.94, ">= 0.95", False),
        (1, "== 0", False),
        (9, "", None),
    ],
)
def test_met_compares_the_value_with_the_target(value, target, met):
    assert measure.Measure("m", value, "", target, None, 1).met is met


def test_same_seed_gives_the_same_run():
    def run():
        arrivals = routing_load.arrivals(routing_load.A, 1, 1.0)
        make = routing_bench.make_router(routing_load.A)
        driver = routing_driver.Driver(routing_load.A, make, 1)
        return [o.answered_at for o in driver.run(arrivals)]

    assert run() == run()
