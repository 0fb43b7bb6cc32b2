"""Guards evacuated failure domains: nothing is placed there, and nothing is lost."""

import msgspec
import pytest

from marjoramusher.core import codec
from marjoramusher.workflows import command, evacuation, machine, machine_test
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


def test_repeated_changes_have_the_effect_of_one():
    """Guards against a second request that restarts or revives an evacuation."""
    harness = machine_test.Harness()
    assert begin(harness)
    harness.apply(command.BeginEvacuation(8, "fd"))
    assert harness.state.evacuations.stored() == (evacuation.Evacuation("fd", 7),)
    end(harness)
    end(harness)
    assert harness.state.evacuations.stored() == ()


def test_an_evacuation_survives_a_snapshot():
    """Guards against a domain that is used again once the log is compacted."""
    harness = machine_test.Harness(machine_test.step(1))
    begin(harness)
    restored = machine.WorkflowMachine()
    restored.restore(harness.state.snapshot())
    harness.state = restored
    assert restored.evacuations.stored() == (evacuation.Evacuation("fd", 7),)
    assert harness.assign(machine_test.placement()) == ()


def test_the_log_orders_evacuations_and_placements():
    """Guards against a plan from before an evacuation that is committed after it."""
    harness = machine_test.Harness(machine_test.step(2))
    move_worker(harness, "y", "other")
    begin(harness)
    runs = machine_test.placement(0), machine_test.placement(1, worker_id="y")
    assert harness.assign(*runs) == runs[1:]
    end(harness)
    assert harness.assign(*runs) == runs[:1]


def test_a_gang_is_not_placed_in_part():
    """Guards against members that wait for those in the evacuated domain."""
    harness = machine_test.Harness(machine_test.step(2, gang=True))
    move_worker(harness, "y", "other")
    begin(harness)
    runs = machine_test.placement(0), machine_test.placement(1, worker_id="y")
    assert harness.assign(*runs) == ()


def test_a_run_there_ends_as_usual():
    """Guards against work that is lost because its domain is evacuated."""
    harness = machine_test.Harness(machine_test.step(1))
    harness.assign(machine_test.placement())
    begin(harness)
    harness.settle(machine_test.run_end(1, "done"))
    assert harness.entry.state is machine_test.workflow.State.COMPLETED


def test_the_number_of_evacuations_is_bounded():
    """Guards against a state that grows with made-up names."""
    harness = machine_test.Harness()
    names = [f"fd{number}" for number in range(evacuation.MAX_EVACUATIONS)]
    assert all(begin(harness, name) for name in names)
    assert not begin(harness, "another")
    assert begin(harness, names[0])
    end(harness, names[0])
    assert begin(harness, "another")


@pytest.mark.parametrize(
    "name, is_valid",
    [("z1", True), ("z" * 200, True), ("", False), ("z" * 201, False), ("z\n", False)],
)
def test_names_are_printable_and_short(name, is_valid):
    assert evacuation.is_valid_name(name) is is_valid


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
def test_data_in_the_domain_binds_no_step(gang):
    """Guards against a step that waits for a rack which takes no work."""
    harness = PlanHarness()
    harness.evacuate()
    name = harness.submit("batch", 2, 4, rack="r0", gang=gang)
    workers = planning.workers_of(harness.plan(), name)
    assert len(workers) == 2
    assert all(worker.startswith("1-") for worker in workers)


def test_a_gang_does_not_reach_into_the_domain():
    """Guards against a gang of which some members can't start."""
    harness = PlanHarness()
    harness.evacuate()
    name = harness.submit("batch", 3, 8, gang=True)
    plan = harness.plan()
    assert planning.workers_of(plan, name) == []
    assert (name, 0, 0) in plan.wait_reasons


def test_guaranteed_work_preempts_in_other_domains():
    """Guards against stops in the domain, where nothing can start afterwards."""
    harness = PlanHarness(size=1)
    harness.submit("batch", 16, 1)
    harness.run()
    harness.evacuate()
    harness.submit("urgent", 1, 8)
    victims = [victim for victim, _ in harness.plan().preemptions]
    assert len(victims) == 8
    assert {victim.worker_id for victim in victims} == {"1-0"}
