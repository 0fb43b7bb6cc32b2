"""Guards the prediction of run times against stragglers, clocks and lost state."""

import random
import statistics

import pytest

from marjoramusher.workflows import run_times, workflow

STEP = workflow.Step(1, estimate_ms=1000)
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7
ESTIMATE_ERROR = 0.9


def recorded(*runs_ms, step=STEP):
    times = run_times.RunTimes()
    for run_ms in runs_ms:
        times.record("q", "a", step, run_ms)
    return times


def test_few_runs_leave_the_declared_time():
    times = recorded(*[9000] * (run_times.MIN_RUNS - 1))
    assert times.expected_ms("q", "a", STEP) == times.upper_ms("q", "a", STEP) == 1000
    assert times.remaining_ms("q", "a", STEP, 400) == 600


def test_stragglers_change_the_upper_quantile_only():
    times = recorded(*[2000] * 20, *[14_000] * 4)
    assert times.expected_ms("q", "a", STEP) == 2000
    assert times.upper_ms("q", "a", STEP) == 14_000


def test_a_run_that_is_older_than_most_is_expected_to_be_a_straggler():
    times = recorded(*[2000] * 20, *[14_000] * 2)
    assert times.remaining_ms("q", "a", STEP, 500) == 1500
    assert times.remaining_ms("q", "a", STEP, 3000) == 11_000
    assert times.remaining_ms("q", "a", STEP, 20_000) == 2000


@pytest.mark.parametrize("run_ms", [-5000, 0, run_times.MAX_RUN_MS + 1])
def test_a_clock_that_jumps_changes_nothing(run_ms):
    assert not recorded(run_ms).stored()


def test_steps_without_a_declared_time_are_not_predicted():
    step = workflow.Step(1)
    times = recorded(*[3000] * 9, step=step)
    assert times.expected_ms("q", "a", step) == 0


def test_stopped_runs_count_only_if_they_were_longer_than_expected():
    times = recorded(*[2000] * 9)
    for run_ms in [100, 1500, 9000]:
        times.record("q", "a", STEP, run_ms, is_lower_bound=True)
    assert times.stored()[0].runs == (*[(1000, 2000)] * 9, (1000, 9000))


def test_accounts_share_an_image_but_no_other_runs():
    image = workflow.Step(1, estimate_ms=1000, image="i")
    times = recorded(*[2000] * 9, step=image)
    assert times.expected_ms("q", "b", image) == 2000
    assert times.expected_ms("q", "a", STEP) == 1000
    assert times.expected_ms("other", "a", image) == 1000


def test_memory_is_bounded_and_recent_keys_stay():
    times = run_times.RunTimes()
    for index in range(run_times.MAX_KEYS + 3):
        times.record("q", f"a{index}", STEP, 2000)
        times.record("q", "a0", STEP, 2000)
    assert len(times) == run_times.MAX_KEYS
    accounts = [item.key.account for item in times.stored()]
    assert accounts[-1] == "a0"
    assert "a3" not in accounts
    for _ in range(3 * run_times.WINDOW_RUNS):
        times.record("q", "a0", STEP, 2000)
    assert len(times.stored()[-1].runs) == run_times.WINDOW_RUNS


def test_a_restored_state_predicts_and_forgets_the_same():
    rng = random.Random(5)
    times = recorded(*(rng.randint(100, 9000) for _ in range(100)))
    restored = run_times.RunTimes(times.stored())
    for _ in range(100):
        run_ms = rng.randint(100, 9000)
        for each in (times, restored):
            each.record("q", "a", STEP, run_ms)
        assert each.upper_ms("q", "a", STEP) == times.upper_ms("q", "a", STEP)
    assert restored.stored() == times.stored()


def errors(seed, spread, error, job_error):
    """Return the mean relative errors of declared and predicted run times.

    Parameters
    ----------
    spread : float
        Largest relative difference of the run time of a job from the mean.
    error : float
        Largest relative error by which all jobs of an account are declared wrong.
    job_error : float
        Largest further relative error of each job.
    """
    rng = random.Random(seed)
    times = run_times.RunTimes()
    factors = [1 + rng.uniform(-error, error) for _ in range(10)]
    declared_errors, predicted_errors = [], []
    for _ in range(3000):
        account = rng.randrange(10)
        actual_ms = 5000 * (1 + rng.uniform(-spread, spread))
        factor = factors[account] * (1 + rng.uniform(-job_error, job_error))
        step = workflow.Step(1, estimate_ms=max(int(actual_ms * factor), 1))
        if rng.random() < STRAGGLER_SHARE:
            actual_ms *= STRAGGLER_FACTOR
        expected_ms = times.expected_ms("q", str(account), step)
        declared_errors.append(abs(step.estimate_ms - actual_ms) / actual_ms)
        predicted_errors.append(abs(expected_ms - actual_ms) / actual_ms)
        times.record("q", str(account), step, int(actual_ms))
    return statistics.mean(declared_errors), statistics.mean(predicted_errors)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "spread, error, job_error", [(0.8, ESTIMATE_ERROR, 0.1), (0.1, 0, ESTIMATE_ERROR)]
)
def test_runs_that_resemble_others_are_predicted_better(seed, spread, error, job_error):
    """Guards against a prediction that follows stragglers or lags behind."""
    declared_error, predicted_error = errors(seed, spread, error, job_error)
    assert predicted_error < declared_error / 2


@pytest.mark.parametrize("seed", range(5))
def test_runs_without_a_pattern_are_predicted_hardly_worse(seed):
    """Guards against corrections that tell nothing of the next run."""
    declared_error, predicted_error = errors(seed, 0.8, 0, ESTIMATE_ERROR)
    assert predicted_error < 1.1 * declared_error
