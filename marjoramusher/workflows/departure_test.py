"""Guards work on departing workers: against lost checkpoints and needless stops."""

import msgspec
import pytest

from marjoramusher.workflows import command, condition, departure
from marjoramusher.workflows import planner_test as planning

SETTINGS = departure.Settings(stop_s=0.9, restore_s=0.6, report_s=1.75)
FINISH, MOVE, WAIT = departure.Verdict


@pytest.mark.parametrize(
    "left_s, remaining_s, has_checkpoints, has_room, verdict",
    [
        # A run that ends in time is never stopped.
        (5.0, 5.0, False, True, FINISH),
        (5.0, 5.0, True, True, FINISH),
        (0.5, 0.4, True, True, FINISH),
        # A checkpoint is saved as late as it can be reported, with or without room.
        (2.7, 9.0, True, True, WAIT),
        (2.65, 9.0, True, False, MOVE),
        (2.65, None, True, False, MOVE),
        (9.0, None, True, True, WAIT),
        (0.0, 9.0, True, True, MOVE),
        # Other work is moved at once, but only where that saves waiting time.
        (9.0, 20.0, False, True, MOVE),
        (9.0, 20.0, False, False, WAIT),
        (9.0, 10.7, False, True, WAIT),
        (9.0, 10.9, False, True, MOVE),
        (9.0, None, False, True, WAIT),
        (0.9, 20.0, False, True, WAIT),
        (0.0, 0.1, False, True, WAIT),
    ],
)
def test_a_run_is_stopped_only_if_that_gains_something(
    left_s, remaining_s, has_checkpoints, has_room, verdict
):
    work = departure.Work(left_s, remaining_s, 3.0, has_checkpoints, has_room)
    assert departure.decide(work, SETTINGS)[0] is verdict


def test_a_checkpoint_that_takes_longer_to_restore_than_to_repeat_is_not_awaited():
    """Guards against a late stop that saves less than the restore costs."""
    work = departure.Work(0.4, 9.0, 0.1, has_checkpoints=True)
    assert departure.decide(work, SETTINGS)[0] is WAIT


@pytest.mark.parametrize(
    "can_stop, has_room, verdict",
    [(True, True, MOVE), (True, False, WAIT), (False, True, WAIT)],
)
def test_a_long_running_task_is_moved_within_its_budget(can_stop, has_room, verdict):
    """Guards against a step that is taken down further than `max_unavailable`."""
    work = departure.Work(
        9.0, has_room=has_room, is_long_running=True, can_stop=can_stop
    )
    assert departure.decide(work, SETTINGS)[0] is verdict


class Harness(planning.Harness):
    """Workers of which one departs, and the stops that were decided."""

    def __init__(self, size=2, left_s=9.0):
        super().__init__(size=size)
        self.left_s = {"0-0": left_s}
        self.stopped = []

    def place(self, workflow_id, *worker_ids, remaining_s=None, step=0):
        """Start the tasks of a step on some workers."""
        runs = tuple(
            planning.workflow.Placement(
                planning.workflow.TaskKey(workflow_id, 0, step, index), 1, name, 1
            )
            for index, name in enumerate(worker_ids)
        )
        self.apply(command.Assign(0, runs))
        if remaining_s is not None:
            for run in runs:
                known = self.conditions[run.worker_id].remaining_s
                self.conditions[run.worker_id] = condition.WorkerCondition(
                    remaining_s={**known, run.task: remaining_s}
                )
        return runs

    def decide(self):
        """Return the verdicts, carrying each out before the next."""
        worker = self.state.workers["0-0"].worker
        draining = msgspec.structs.replace(worker, draining=True)
        self.apply(command.RegisterWorker(0, draining))
        verdicts = []
        for decision in departure.decisions(
            self.state,
            self.conditions,
            self.left_s,
            SETTINGS,
            self.stopped.__contains__,
        ):
            verdicts.append(decision.verdict)
            if decision.verdict is MOVE:
                self.stopped += decision.placements
        return verdicts


def test_the_same_room_is_not_used_for_two_moves():
    """Guards against two stopped runs that wait for one free worker."""
    harness = Harness()
    for _ in range(2):
        name = harness.submit("batch", 1, 4)
        harness.place(name, "0-0", remaining_s=30.0)
    harness.place(harness.submit("batch", 1, 4), "0-1", remaining_s=30.0)
    assert harness.decide() == [MOVE, WAIT]
    # While the first is being stopped, its room remains taken.
    status = msgspec.structs.replace(
        harness.conditions["0-0"], stopping=frozenset(harness.stopped)
    )
    harness.conditions["0-0"] = status
    assert harness.decide() == [WAIT]


@pytest.mark.parametrize(
    "size, remaining_s, verdict",
    [(2, 30.0, WAIT), (3, 30.0, MOVE), (3, 8.0, FINISH)],
)
def test_a_gang_is_moved_as_a_whole_or_not_at_all(size, remaining_s, verdict):
    """Guards against a gang that is stopped for one member without room for all."""
    harness = Harness(size)
    name = harness.submit("batch", 2, 8, gang=True)
    runs = harness.place(name, "0-0", "0-1", remaining_s=remaining_s)
    assert harness.decide() == [verdict]
    assert harness.stopped == (list(runs) if verdict is MOVE else [])


def test_a_gang_waits_for_its_slowest_member():
    """Guards against a gang that counts as ending in time for one fast member."""
    harness = Harness(3)
    name = harness.submit("batch", 2, 8, gang=True)
    slow = harness.place(name, "0-0", "0-1", remaining_s=5.0)[1]
    harness.conditions["0-1"] = condition.WorkerCondition(remaining_s={slow.task: 30.0})
    assert harness.decide() == [MOVE]


@pytest.mark.parametrize("fields", [{"label": "b"}, {"max_per_worker": 1}])
def test_room_that_the_step_may_not_use_is_no_room(fields):
    """Guards against a stop of a run that no other worker may take."""
    harness = Harness()
    name = harness.submit("batch", 2, 1, **fields)
    harness.place(name, "0-0", "0-1", remaining_s=30.0)
    assert harness.decide() == [WAIT]


def test_long_running_tasks_leave_one_after_the_other():
    """Guards against two tasks of a step that are taken down at once."""
    harness = Harness()
    name = harness.submit("batch", 3, 1, long_running=True, max_unavailable=1)
    harness.place(name, "0-0", "0-0", "0-1")
    assert harness.decide() == [MOVE, WAIT]
