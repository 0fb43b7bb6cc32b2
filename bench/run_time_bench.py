"""Measure the error of predicted against declared run times on random loads."""

import random
import statistics
from collections.abc import Iterator, Sequence

import msgspec

from bench import measure
from marjoramusher.workflows import run_times, workflow

ACCOUNTS = 10
RUNS = 3000
MEAN_RUN_MS = 5000
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7


class Load(msgspec.Struct, frozen=True):
    """Describe how run times and declarations differ.

    Parameters
    ----------
    spread : float
        Largest relative difference of the run time of a job from the mean.
    account_error : float
        Largest relative error by which all jobs of an account are declared wrong.
    job_error : float
        Largest further relative error of each job.
    """

    spread: float
    account_error: float
    job_error: float


LOADS = {
    "wrong_accounts": Load(0.8, 0.9, 0.1),
    "wrong_jobs_alike": Load(0.1, 0.0, 0.9),
    "wrong_accounts_and_jobs_alike": Load(0.1, 0.9, 0.9),
    "half_wrong": Load(0.4, 0.5, 0.5),
    "no_pattern": Load(0.8, 0.0, 0.9),
    "exact": Load(0.8, 0.0, 0.0),
}


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield the error of predictions, with that of declarations as the baseline."""
    for seed in seeds:
        for name, load in LOADS.items():
            declared_error, predicted_error = errors(load, seed)
            yield measure.Measure(
                f"run_time_error/{name}",
                predicted_error,
                "ratio",
                "reported",
                declared_error,
                seed,
            )


def errors(load: Load, seed: int) -> tuple[float, float]:
    """Return the mean relative errors of declared and of predicted run times."""
    rng = random.Random(seed)
    times = run_times.RunTimes()
    factors = [
        1 + rng.uniform(-load.account_error, load.account_error)
        for _ in range(ACCOUNTS)
    ]
    declared_errors, predicted_errors = [], []
    for _ in range(RUNS):
        account = rng.randrange(ACCOUNTS)
        run_ms = MEAN_RUN_MS * (1 + rng.uniform(-load.spread, load.spread))
        job_factor = 1 + rng.uniform(-load.job_error, load.job_error)
        declared_ms = max(int(run_ms * factors[account] * job_factor), 1)
        step = workflow.Step(1, estimate_ms=declared_ms)
        if rng.random() < STRAGGLER_SHARE:
            run_ms *= STRAGGLER_FACTOR
        expected_ms = times.expected_ms("q", str(account), step)
        declared_errors.append(abs(declared_ms - run_ms) / run_ms)
        predicted_errors.append(abs(expected_ms - run_ms) / run_ms)
        times.record("q", str(account), step, int(run_ms))
    return statistics.mean(declared_errors), statistics.mean(predicted_errors)
