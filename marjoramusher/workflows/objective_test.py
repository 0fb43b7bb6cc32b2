"""Guards the judgment whether late work can still be done in time."""

from marjoramusher.workflows import catalog, machine, objective, run_times, workflow

QUEUE = catalog.Queue("q", "h", "/", "s", 1, 3, 2.0, 1000, 3000)
STEPS = (
    workflow.Step(1, estimate_ms=1000),
    workflow.Step(2, estimate_ms=2000, after=(0,)),
    workflow.Step(1, estimate_ms=500, after=(0,)),
)


def test_slow_runs_count_as_they_are_and_the_objective_stays():
    """Guards against work that is started though it can't be of value any more."""
    times = run_times.RunTimes()
    submitted = workflow.Workflow("w", "q", "a", "", STEPS, 10_000)
    entry = machine.Entry(
        submitted, QUEUE, occurrences={0: machine.new_tasks(submitted)}
    )
    assert objective.remaining_path_ms(entry, 0, times) == 3000
    for _ in range(run_times.MIN_RUNS):
        times.record("q", "a", STEPS[0], 2000)
    assert [
        (
            objective.can_be_timely(entry, 0, now_ms, times),
            objective.can_have_value(entry, 0, now_ms, times),
        )
        for now_ms in (11_000, 12_000, 25_000)
    ] == [(True, True), (False, True), (False, False)]
    assert objective.objective_ms(submitted, QUEUE) == 7000
    entry.occurrences[0][0][0].done = True
    assert objective.remaining_path_ms(entry, 0, times) == 4000
