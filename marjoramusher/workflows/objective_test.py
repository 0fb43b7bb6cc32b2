"""Guards the judgment whether late work can still be done in time."""

import pytest

from marjoramusher.workflows import catalog, machine, objective, run_times, workflow

QUEUE = catalog.Queue("q", "h", "/", "s", 1, 3, 2.0, 1000, 3000)
STEPS = (
    workflow.Step(1, estimate_ms=1000),
    workflow.Step(2, estimate_ms=2000, after=(0,)),
    workflow.Step(1, estimate_ms=500, after=(0,)),
)


def entry():
    submitted = workflow.Workflow("w", "q", "a", "", STEPS, 10_000)
    return machine.Entry(
        submitted, QUEUE, occurrences={0: machine.new_tasks(submitted)}
    )


def slow_runs():
    """Return the run times of an account whose runs take twice as long."""
    times = run_times.RunTimes()
    for _ in range(run_times.MIN_RUNS):
        times.record("q", "a", STEPS[0], 2000)
    return times


def test_the_objective_follows_the_declared_time_only():
    """Guards against a promise to callers that changes with other runs."""
    assert objective.objective_ms(entry().workflow, QUEUE) == 7000


def test_only_unfinished_steps_are_left():
    unfinished = entry()
    assert objective.remaining_path_ms(unfinished, 0, run_times.RunTimes()) == 3000
    assert objective.remaining_path_ms(unfinished, 0, slow_runs()) == 6000
    unfinished.occurrences[0][0][0].done = True
    assert objective.remaining_path_ms(unfinished, 0, slow_runs()) == 4000


@pytest.mark.parametrize(
    "now_ms, is_timely, has_value",
    [(11_000, True, True), (12_000, False, True), (25_000, False, False)],
)
def test_slow_runs_count_as_they_are(now_ms, is_timely, has_value):
    """Guards against work that is started though it can't be of value any more."""
    times = slow_runs()
    assert objective.can_be_timely(entry(), 0, now_ms, times) is is_timely
    assert objective.can_have_value(entry(), 0, now_ms, times) is has_value
