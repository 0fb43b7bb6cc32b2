"""Baseline planner: first in first out, on the first worker with free capacity."""

from marjoramusher.workflows import (
    backlog,
    machine,
    planner,
    resources,
    workflow,
)


def plan(plan_input: planner.PlanInput) -> planner.Plan:
    """Place pending steps in order of submission, without preemption."""
    state, conditions = plan_input.state, plan_input.conditions
    candidates = [
        _make_candidate(state, worker_state.worker)
        for name, worker_state in state.workers.items()
        if name in conditions and conditions[name].is_usable
    ]
    placements: list[workflow.Placement] = []
    pending = sorted(
        backlog.pending_steps(state, plan_input.now_ms + plan_input.early_ms),
        key=lambda step: step.entry.workflow.submitted_ms,
    )
    for pending_step in pending:
        placements += _place(pending_step, candidates)
    return planner.Plan(tuple(placements))


def _make_candidate(
    state: machine.WorkflowMachine, worker: workflow.Worker
) -> resources.Candidate:
    candidate = resources.Candidate(worker, is_suspect=False)
    for key in state.placements_on(worker.worker_id):
        candidate.allocate(
            resources.reserved(state.entries[key.workflow_id].workflow.steps[key.step])
        )
    return candidate


def _place(
    pending_step: backlog.PendingStep, candidates: list[resources.Candidate]
) -> list[workflow.Placement]:
    demand = resources.reserved(pending_step.step)
    chosen: list[tuple[int, resources.Candidate]] = []
    for index in pending_step.task_indexes:
        candidate = next(
            (candidate for candidate in candidates if candidate.fits(demand)), None
        )
        if candidate is None:
            break
        candidate.allocate(demand)
        chosen.append((index, candidate))
    if pending_step.step.gang and len(chosen) < len(pending_step.task_indexes):
        for _, candidate in chosen:
            candidate.deallocate(demand)
        return []
    tasks = pending_step.entry.occurrences[pending_step.occurrence][
        pending_step.step_index
    ]
    run = 1 + max(task.last_run for task in tasks)
    return [
        workflow.Placement(
            pending_step.task_key(index),
            run,
            candidate.worker.worker_id,
            candidate.worker.incarnation,
        )
        for index, candidate in chosen
    ]
