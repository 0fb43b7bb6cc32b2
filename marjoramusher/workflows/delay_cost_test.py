"""Guards the judgment whether late work can still be done in time."""

from marjoramusher.workflows import (
    backlog,
    catalog,
    command,
    delay_cost,
    machine,
    objective,
    run_times,
    workflow,
)
from marjoramusher.workflows.delay_cost import Standing

QUEUE = catalog.Queue("q", "h", "/", "s", 1, 3, 2.0, 1000, 3000)
CATALOG = catalog.Catalog(1, (QUEUE,), (catalog.Service("s"),))
STEPS = (
    workflow.Step(1, estimate_ms=1000),
    workflow.Step(2, estimate_ms=2000, after=(0,)),
    workflow.Step(1, estimate_ms=500, after=(0,)),
)


def test_slow_runs_count_as_they_are_and_the_objective_stays():
    """Guards against work that is started though it can't be of value any more."""
    state = machine.WorkflowMachine()
    submitted = workflow.Workflow("w", "q", "a", "", STEPS, 10_000)
    for change in (
        command.ReplaceCatalog(0, CATALOG, b""),
        command.Submit(0, submitted),
    ):
        state.apply(0, command.pack(change))
    entry = state.entries["w"]
    assert delay_cost.path_ms(state, entry, 0) == 3000
    for _ in range(run_times.MIN_RUNS):
        state.run_times.record("q", "a", STEPS[0], 2000)
    assert delay_cost.path_ms(state, entry, 0) == 6000
    (pending,) = backlog.pending_steps(state, 10_000)
    assert [
        delay_cost.standing(state, pending, now_ms)
        for now_ms in (10_000, 11_000, 11_001, 31_000, 31_001)
    ] == [
        Standing.TIMELY,
        Standing.TIMELY,
        Standing.LATE,
        Standing.LATE,
        Standing.WORTHLESS,
    ]
    assert objective.objective_ms(submitted, QUEUE) == 7000
    assert delay_cost.timing(entry, 0) == delay_cost.Timing(17_000, 31_000)
    # Once the first step is done, the others are ready, each with its own path.
    entry.occurrences[0][0][0].done = True
    ready = list(backlog.pending_steps(state, 10_000))
    assert [delay_cost.path_ms(state, entry, step.step_index) for step in ready] == [
        4000,
        1000,
    ]
