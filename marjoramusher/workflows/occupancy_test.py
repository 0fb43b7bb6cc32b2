"""Guards against sums over the runs on a worker that drift from the runs."""

import random

from marjoramusher.workflows import command, machine, planner_test, workflow


def described(state, names):
    """Return the runs and sums of each worker."""
    return {
        name: (
            state.placements_on(name),
            occupied.reserved,
            dict(occupied.task_counts),
            occupied.fill_count,
            occupied.serving_count,
        )
        for name in names
        for occupied in [state.occupancy_of(name)]
    }


def test_sums_are_those_of_the_runs_after_any_commands():
    """The sums that a restored state computes from its runs are the reference."""
    rng = random.Random(5)
    harness = planner_test.Harness(racks=2, size=3)
    names = list(harness.conditions)
    for number in range(60):
        is_service = rng.random() < 0.3
        harness.submit(
            "batch",
            rng.randint(1, 6),
            rng.choice([0, 1, 2, 8]),
            gang=rng.random() < 0.4,
            fill=rng.random() < 0.3,
            long_running=is_service,
            target_ms=50 * is_service,
        )
        harness.run()
        runs = [p for n in names for p in harness.state.placements_on(n).values()]
        harness.end(
            rng.sample(runs, len(runs) // 3), rng.choice(list(workflow.RunOutcome))
        )
        if number % 10 == 9:
            worker = harness.state.workers[rng.choice(names)].worker
            harness.apply(command.RemoveWorker(0, worker.worker_id, 1))
            names.remove(worker.worker_id)
            del harness.conditions[worker.worker_id]
        restored = machine.WorkflowMachine()
        restored.restore(harness.state.snapshot())
        assert described(harness.state, names) == described(restored, names)
    assert len(names) == 0
