"""Guards evacuated failure domains: nothing is placed there, and nothing is lost."""

import msgspec
import pytest

from marjoramusher.core import codec
from marjoramusher.workflows import command, evacuation, machine_test, workflow
from marjoramusher.workflows import planner_test as planning


def begin(harness, domain="fd"):
    """Begin an evacuation; tell whether it is in force."""
    reply = harness.apply(command.BeginEvacuation(7, domain))
    return codec.unpack(reply, command.EvacuationResult).in_force


def end(harness, domain="fd"):
    harness.apply(command.EndEvacuation(9, domain))


def move_worker(harness, worker_id, domain):
    """Let a worker be in another failure domain."""
    worker = harness.state.workers[worker_id].worker
    moved = msgspec.structs.replace(worker, failure_domain=domain)
    harness.apply(command.RegisterWorker(0, moved))


def test_evacuations_are_idempotent_and_survive_a_snapshot():
    """Guards against a repeated request, or a compacted log, that undoes one."""
    harness = machine_test.Harness(machine_test.step(1))
    begin(harness)
    harness.apply(command.BeginEvacuation(8, "fd"))
    harness.state.restore(harness.state.snapshot())
    assert harness.state.evacuations.stored() == (evacuation.Evacuation("fd", 7),)
    assert harness.assign(machine_test.placement()) == ()
    for _ in range(2):
        end(harness)
        assert harness.state.evacuations.stored() == ()


def test_the_log_orders_evacuations_and_placements():
    """Guards against a plan from before an evacuation that is committed after it."""
    harness = machine_test.Harness(machine_test.step(2))
    move_worker(harness, "y", "other")
    begin(harness)
    runs = machine_test.placement(0), machine_test.placement(1, worker_id="y")
    assert harness.assign(*runs) == runs[1:]
    end(harness)
    assert harness.assign(*runs) == runs[:1]
    begin(harness)
    harness.settle(machine_test.run_end(1, "done"))
    harness.settle(machine_test.run_end(1, "done", 1), worker_id="y")
    assert harness.entry.state is workflow.State.COMPLETED


def test_a_gang_is_not_placed_in_part():
    """Guards against members that wait for those in the evacuated domain."""
    harness = machine_test.Harness(machine_test.step(2, gang=True))
    move_worker(harness, "y", "other")
    begin(harness)
    runs = machine_test.placement(0), machine_test.placement(1, worker_id="y")
    assert harness.assign(*runs) == ()


def test_the_number_of_evacuations_is_bounded():
    """Guards against a state that grows with made-up names."""
    harness = machine_test.Harness()
    names = [f"fd{number}" for number in range(evacuation.MAX_EVACUATIONS)]
    assert all(begin(harness, name) for name in names)
    assert begin(harness, names[0]) and not begin(harness, "another")
    end(harness, names[0])
    assert begin(harness, "another")


class PlanHarness(planning.Harness):
    """Two racks, of which the first is in a failure domain of its own."""

    def __init__(self, size=2):
        super().__init__(racks=2, size=size)
        for index in range(size):
            move_worker(self, f"0-{index}", "fd0")

    def evacuate(self):
        """Evacuate the first rack, whose workers the driver then does not use."""
        begin(self, "fd0")
        for name in self.conditions:
            is_usable = not self.state.is_evacuated(self.state.workers[name].worker)
            self.conditions[name] = planning.condition.WorkerCondition(is_usable)


@pytest.mark.parametrize("gang", [False, True])
def test_steps_run_elsewhere_even_if_their_data_is_there(gang):
    """Guards against steps that wait for the domain, and gangs that reach into it."""
    harness = PlanHarness()
    harness.evacuate()
    small = harness.submit("batch", 2, 4, rack="r0", gang=gang)
    large = harness.submit("batch", 3, 8, gang=True)
    plan = harness.plan()
    workers = planning.workers_of(plan, small)
    assert len(workers) == 2 and set(workers) <= {"1-0", "1-1"}
    assert planning.workers_of(plan, large) == []


def test_guaranteed_work_preempts_in_other_domains():
    """Guards against stops in the domain, where nothing can start afterwards."""
    harness = PlanHarness(size=1)
    harness.submit("batch", 16, 1)
    harness.run()
    harness.evacuate()
    harness.submit("urgent", 1, 8)
    victims = [victim.worker_id for victim, _ in harness.plan().preemptions]
    assert victims == ["1-0"] * 8
