"""Plan workflows first in first out on the first worker that fits."""

from marjoramusher.workflows import (
    machine,
    planner,
    room,
    unit,
    workflow,
)


def plan(situation: planner.Situation) -> planner.Plan:
    """Place what waits in the order of submission; nothing is ever stopped."""
    state, conditions = situation.state, situation.conditions
    rooms = [
        _room(state, known.worker)
        for name, known in state.workers.items()
        if name in conditions and conditions[name].usable
    ]
    placements: list[workflow.Placement] = []
    waiting = sorted(
        unit.waiting(state, situation.now_ms + situation.early_ms),
        key=lambda each: each.entry.workflow.submitted_ms,
    )
    for wanted in waiting:
        placements += _place(wanted, rooms)
    return planner.Plan(tuple(placements))


def _room(state: machine.WorkflowMachine, worker: workflow.Worker) -> room.Room:
    made = room.Room(worker, avoid=False)
    for key in state.placed(worker.worker_id):
        made.take(
            room.accounted(state.entries[key.workflow_id].workflow.steps[key.step])
        )
    return made


def _place(wanted: unit.Unit, rooms: list[room.Room]) -> list[workflow.Placement]:
    needs = room.accounted(wanted.shape)
    chosen: list[tuple[int, room.Room]] = []
    for index in wanted.indexes:
        found = next((each for each in rooms if each.fits(needs)), None)
        if found is None:
            break
        found.take(needs)
        chosen.append((index, found))
    if wanted.shape.gang and len(chosen) < len(wanted.indexes):
        for _, there in chosen:
            there.give(needs)
        return []
    tasks = wanted.entry.occurrences[wanted.occurrence][wanted.step]
    run = 1 + max(task.run for task in tasks)
    return [
        workflow.Placement(
            wanted.key(index), run, there.worker.worker_id, there.worker.born
        )
        for index, there in chosen
    ]
