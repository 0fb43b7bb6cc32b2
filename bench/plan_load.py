"""Build a fleet full of small tasks with workflows waiting behind them."""

import random

import msgspec

from bench import workflow_load
from marjoramusher.workflows import (
    catalog,
    command,
    condition,
    machine,
    planner,
    workflow,
)

WORKERS_PER_RACK = 20
GUARANTEED_SHARE = 0.6  # of all accelerators, over all accounts
ACCOUNTS = 24
RUN_S = 6.0  # run time of the small tasks, and largest age of a run
URGENT, GANGS, SMALL = (
    workload_class.queue.name for workload_class in workflow_load.WORKLOAD_CLASSES
)


class Case(msgspec.Struct, frozen=True):
    """Number of workers, and of workflows that wait.

    A third of the waiting workflows are urgent gangs, a third are large gangs, and the
    others have small tasks.
    """

    workers: int
    waiting: int


def make_input(case: Case, seed: int) -> planner.PlanInput:
    """Return the input of the first plan after a burst of submissions."""
    rng = random.Random(seed)
    state = machine.WorkflowMachine()
    _register(state, case.workers)
    idle = {name: condition.WorkerCondition() for name in state.workers}
    free = case.workers * workflow_load.CAPACITY.accelerators
    number = 0
    while free > 0:
        count = min(free, rng.randint(10, 60))
        free -= count
        number += 1
        _submit(state, rng, f"running-{number}", SMALL, workflow.Step(count, _needs(2)))
    placements = planner.plan(planner.PlanInput(state, idle, 0.0)).placements
    _apply(state, command.Assign(0, placements))
    for index in range(case.waiting):
        _submit_waiting(state, rng, index)
    conditions = {
        name: condition.WorkerCondition(
            ages_s={key: rng.uniform(0.0, RUN_S) for key in state.placements_on(name)}
        )
        for name in state.workers
    }
    return planner.PlanInput(state, conditions, 100.0)


def with_stops(plan_input: planner.PlanInput, plan: planner.Plan) -> planner.PlanInput:
    """Return the input of the next plan, with the stops of a plan under way."""
    stopping: dict[str, set[workflow.Placement]] = {}
    for placement, _ in plan.preemptions:
        stopping.setdefault(placement.worker_id, set()).add(placement)
    conditions = {
        name: msgspec.structs.replace(
            status, stopping=frozenset(stopping.get(name, ()))
        )
        for name, status in plan_input.conditions.items()
    }
    return msgspec.structs.replace(plan_input, conditions=conditions)


def with_remaining(plan_input: planner.PlanInput) -> planner.PlanInput:
    """Return a plan input in which the time until the end of each run is known."""
    conditions = {
        name: msgspec.structs.replace(
            status,
            remaining_s={
                key: max(0.0, RUN_S - age_s) for key, age_s in status.ages_s.items()
            },
        )
        for name, status in plan_input.conditions.items()
    }
    return msgspec.structs.replace(plan_input, conditions=conditions)


def _register(state: machine.WorkflowMachine, workers: int) -> None:
    guaranteed = int(
        workers * workflow_load.CAPACITY.accelerators * GUARANTEED_SHARE / ACCOUNTS
    )
    accounts = tuple(
        catalog.Account(f"a{index}", (f"k{index}",), guaranteed)
        for index in range(ACCOUNTS)
    )
    replaced = msgspec.structs.replace(workflow_load.CATALOG, accounts=accounts)
    _apply(state, command.ReplaceCatalog(0, replaced, b""))
    for index in range(workers):
        name, rack = f"w{index}", f"r{index // WORKERS_PER_RACK}"
        worker = workflow.Worker(
            name, 1, name, "s", rack, rack, ("a", rack), workflow_load.CAPACITY
        )
        _apply(state, command.RegisterWorker(0, worker))


def _submit_waiting(
    state: machine.WorkflowMachine, rng: random.Random, index: int
) -> None:
    queue = (URGENT, GANGS, SMALL)[index % 3]
    workload_class = workflow_load.WORKLOAD_CLASSES[index % 3]
    step = workflow.Step(
        rng.randint(2, 32),
        workflow.Resources(
            workload_class.cores_milli,
            workload_class.memory_mb,
            rng.choice(workload_class.accelerators),
        ),
        int(1000 * workload_class.work_s),
        gang=workload_class.gang,
        same_rack=workload_class.gang and rng.random() < 0.7,
    )
    _submit(state, rng, f"waiting-{index}", queue, step)


def _needs(class_index: int) -> workflow.Resources:
    workload_class = workflow_load.WORKLOAD_CLASSES[class_index]
    return workflow.Resources(workload_class.cores_milli, workload_class.memory_mb, 1)


def _submit(
    state: machine.WorkflowMachine,
    rng: random.Random,
    name: str,
    queue: str,
    step: workflow.Step,
) -> None:
    account = f"a{rng.randrange(ACCOUNTS)}"
    submitted = workflow.Workflow(name, queue, account, "", (step,))
    _apply(state, command.Submit(0, submitted))


def _apply(state: machine.WorkflowMachine, change: command.AnyCommand) -> None:
    state.apply(0, command.pack(change))
