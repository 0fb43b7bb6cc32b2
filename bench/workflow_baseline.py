"""Plan workflows first in first out on the first worker that fits."""

from marjoramusher.workflows import (
    backlog,
    machine,
    planner,
    resources,
    workflow,
)


def plan(plan_input: planner.PlanInput) -> planner.Plan:
    """Place what waits in the order of submission; nothing is ever stopped."""
    state, conditions = plan_input.state, plan_input.conditions
    rooms = [
        _room(state, known.worker)
        for name, known in state.workers.items()
        if name in conditions and conditions[name].is_usable
    ]
    placements: list[workflow.Placement] = []
    waiting = sorted(
        backlog.pending_steps(state, plan_input.now_ms + plan_input.early_ms),
        key=lambda each: each.entry.workflow.submitted_ms,
    )
    for wanted in waiting:
        placements += _place(wanted, rooms)
    return planner.Plan(tuple(placements))


def _room(
    state: machine.WorkflowMachine, worker: workflow.Worker
) -> resources.Candidate:
    made = resources.Candidate(worker, is_suspect=False)
    for key in state.placements_on(worker.worker_id):
        made.allocate(
            resources.reserved(state.entries[key.workflow_id].workflow.steps[key.step])
        )
    return made


def _place(
    wanted: backlog.PendingStep, rooms: list[resources.Candidate]
) -> list[workflow.Placement]:
    needs = resources.reserved(wanted.step)
    chosen: list[tuple[int, resources.Candidate]] = []
    for index in wanted.task_indexes:
        found = next((each for each in rooms if each.fits(needs)), None)
        if found is None:
            break
        found.allocate(needs)
        chosen.append((index, found))
    if wanted.step.gang and len(chosen) < len(wanted.task_indexes):
        for _, there in chosen:
            there.deallocate(needs)
        return []
    tasks = wanted.entry.occurrences[wanted.occurrence][wanted.step_index]
    run = 1 + max(task.last_run for task in tasks)
    return [
        workflow.Placement(
            wanted.task_key(index),
            run,
            there.worker.worker_id,
            there.worker.incarnation,
        )
        for index, there in chosen
    ]
