"""Guards the prediction of run times against stragglers, clocks and lost state."""

from marjoramusher.workflows import run_times, workflow

STEP = workflow.Step(1, estimate_ms=1000)
IMAGE_STEP = workflow.Step(1, estimate_ms=1000, image="i")


def recorded(*runs_ms, step=STEP):
    times = run_times.RunTimes()
    for run_ms in runs_ms:
        times.record("q", "a", step, run_ms)
    return times


def test_few_or_impossible_runs_leave_the_declared_time():
    impossible = [-5000, 0, run_times.MAX_RUN_MS + 1]
    times = recorded(*impossible, *[9000] * (run_times.MIN_RUNS - 1))
    assert times.expected_ms("q", "a", STEP) == times.upper_ms("q", "a", STEP) == 1000
    assert times.remaining_ms("q", "a", STEP, 400) == 600
    undeclared = workflow.Step(1)
    assert recorded(*[3000] * 9, step=undeclared).expected_ms("q", "a", undeclared) == 0


def test_stragglers_change_the_upper_quantile_and_the_time_left_of_late_runs():
    times = recorded(*[2000] * 20, *[14_000] * 4)
    assert times.expected_ms("q", "a", STEP) == 2000
    assert times.upper_ms("q", "a", STEP) == 14_000
    ages_ms = (500, 3000, 20_000)
    remaining_ms = [times.remaining_ms("q", "a", STEP, age_ms) for age_ms in ages_ms]
    assert remaining_ms == [1500, 11_000, 2000]


def test_stopped_runs_count_only_if_they_were_longer_than_expected():
    times = recorded(*[2000] * 9)
    for run_ms in [100, 1500, 9000]:
        times.record("q", "a", STEP, run_ms, is_lower_bound=True)
    assert times.stored()[0].runs == (*[(1000, 2000)] * 9, (1000, 9000))


def test_accounts_share_an_image_but_no_other_runs():
    times = recorded(*[2000] * 9, step=IMAGE_STEP)
    assert times.expected_ms("q", "b", IMAGE_STEP) == 2000
    assert times.expected_ms("q", "a", STEP) == 1000
    assert times.expected_ms("other", "a", IMAGE_STEP) == 1000


def test_memory_is_bounded_and_a_restored_state_goes_on_the_same():
    times = recorded(*range(1, 3 * run_times.WINDOW_RUNS))
    for index in range(run_times.MAX_KEYS + 3):
        times.record("q", f"a{index}", STEP, 2000)
        times.record("q", "a", STEP, 2000)
    restored = run_times.RunTimes(times.stored())
    for each in (times, restored):
        each.record("q", "b", STEP, 2000)
    assert restored.stored() == times.stored()
    by_account = {item.key.account: item.runs for item in times.stored()}
    assert len(by_account) == run_times.MAX_KEYS
    assert len(by_account["a"]) == run_times.WINDOW_RUNS
    assert "a0" not in by_account
