"""Guards the replicated workflows against lost, doubled or revived work."""

import pytest

from marjoramusher.core import codec
from marjoramusher.workflows import catalog, command, machine, workflow

QUEUE = catalog.Queue("q", "h.example", "/q/", "s", 1, 2, 2.0, 100, 1000)
CATALOG = catalog.Catalog(
    1, (QUEUE,), (catalog.Service("s"),), (catalog.Account("a", ("k",), 8),)
)
NEEDS = workflow.Resources(1000, 100, 1)


def step(count=1, **fields):
    return workflow.Step(count, NEEDS, 1000, **fields)


def submission(*steps, workflow_id="w", **fields):
    return workflow.Workflow(workflow_id, "q", "a", "spec", steps, 5, **fields)


def worker(worker_id="x", incarnation=1, address=None, draining=False):
    return workflow.Worker(
        worker_id,
        incarnation,
        address or f"{worker_id}:1",
        "s",
        "fd",
        "r1",
        ("a", "r1"),
        workflow.Resources(8000, 1000, 8),
        draining,
    )


def key(index=0, step=0, workflow_id="w"):
    return workflow.TaskKey(workflow_id, 0, step, index)


def place(index=0, run=1, worker_id="x", incarnation=1, step=0):
    return workflow.Placement(key(index, step), run, worker_id, incarnation)


def end(number, how, index=0, run=1, saved="", step=0):
    return workflow.RunEnd(
        number, key(index, step), run, workflow.RunOutcome(how), saved
    )


class Bed:
    """A machine with one worker, and what commands give."""

    def __init__(self, *steps, **fields):
        self.state = machine.WorkflowMachine()
        self.index = 0
        self.do(command.ReplaceCatalog(0, CATALOG, b"doc"))
        self.do(command.RegisterWorker(0, worker()))
        self.do(command.RegisterWorker(0, worker("y")))
        if steps:
            self.do(command.Submit(0, submission(*steps, **fields)))

    def do(self, wanted):
        self.index += 1
        return self.state.apply(self.index, command.pack(wanted))

    def assign(self, *placements):
        answer = self.do(command.Assign(0, placements))
        return codec.unpack(answer, command.AssignResult).placements

    def settle(self, *ends, worker_id="x", incarnation=1, releases=()):
        seen = max((each.number for each in ends), default=0)
        self.do(command.Settle(9, worker_id, incarnation, ends, releases, seen))

    @property
    def entry(self):
        return self.state.entries["w"]


def test_a_workflow_completes_only_with_its_last_task():
    bed = Bed(step(2), step(1, after=(0,)))
    bed.assign(place(0), place(1))
    bed.settle(end(1, "done", 0))
    assert not bed.entry.is_ready(0, 1)
    bed.settle(end(2, "done", 1))
    assert bed.entry.is_ready(0, 1)
    bed.assign(place(0, step=1))
    bed.settle(end(3, "done", 0, step=1))
    assert bed.entry.state is workflow.State.COMPLETED
    assert bed.entry.ended_ms == 9


def test_a_resent_submission_changes_nothing():
    bed = Bed(step(1))
    bed.assign(place())
    bed.do(command.Submit(7, submission(step(3))))
    assert len(bed.entry.occurrences[0][0]) == 1
    assert bed.entry.is_started


def test_an_end_that_is_reported_again_counts_once():
    bed = Bed(step(1))
    bed.assign(place())
    bed.settle(end(1, "failed"))
    bed.settle(end(1, "failed"))
    assert bed.state.task(key()).failures == 1
    assert bed.entry.is_active


def test_attempts_are_bounded_by_the_queue():
    bed = Bed(step(1))
    for run in (1, 2):
        bed.assign(place(run=run))
        bed.settle(end(run, "failed", run=run))
    assert bed.entry.state is workflow.State.FAILED
    assert bed.assign(place(run=3)) == ()


@pytest.mark.parametrize("how", ["stopped", "lapsed", "broken", "alone"])
def test_only_failures_count_as_attempts(how):
    bed = Bed(step(1))
    for run in (1, 2, 3):
        bed.assign(place(run=run))
        bed.settle(end(run, how, run=run))
    assert bed.entry.is_active
    assert bed.state.task(key()).failures == 0


def test_members_that_fail_in_one_run_are_one_failed_attempt():
    bed = Bed(step(2, gang=True))
    bed.assign(place(0), place(1))
    bed.settle(end(1, "failed", 0), end(2, "failed", 1))
    assert bed.entry.is_active
    assert bed.state.task(key(1)).failures == 1


def test_one_end_of_a_gang_stands_for_all_members():
    bed = Bed(step(2, gang=True))
    bed.assign(place(0), place(1, worker_id="y"))
    bed.settle(end(1, "done", 0))
    assert bed.entry.state is workflow.State.COMPLETED
    # The room of the other member is taken until its end is listed.
    assert bed.state.placements_on("y")


@pytest.mark.parametrize(
    "placements",
    [
        (place(0),),
        (place(0), place(1, worker_id="gone")),
        (place(0), place(1, incarnation=2)),
    ],
)
def test_a_gang_is_placed_as_a_whole_or_not_at_all(placements):
    bed = Bed(step(2, gang=True))
    assert bed.assign(*placements) == ()
    assert not bed.state.placements_on("x")


def test_a_task_is_never_placed_twice():
    bed = Bed(step(1))
    assert len(bed.assign(place())) == 1
    assert bed.assign(place(run=2, worker_id="y")) == ()
    bed.settle(end(1, "stopped"))
    assert bed.assign(place(run=1, worker_id="y")) == ()  # runs rise
    assert len(bed.assign(place(run=2, worker_id="y"))) == 1


def test_a_cancelled_workflow_starts_nothing_and_keeps_its_room():
    bed = Bed(step(2))
    bed.assign(place(0))
    bed.do(command.Cancel(4, "w"))
    assert bed.assign(place(1)) == ()
    assert bed.state.placements_on("x")
    bed.settle(end(1, "stopped"))
    assert not bed.state.placements_on("x")
    assert bed.entry.state is workflow.State.CANCELLED


def test_an_end_of_an_older_run_clears_no_newer_placement():
    bed = Bed(step(1))
    bed.assign(place(run=1))
    bed.settle(releases=(workflow.Release(key(), 1, "lapsed", "c1"),))
    bed.assign(place(run=2, worker_id="y"))
    bed.settle(end(1, "lapsed", run=1, saved="c0"))
    task = bed.state.task(key())
    assert task.placement.worker_id == "y"
    assert task.checkpoint == "c1"


def test_a_later_life_ends_all_that_ran_in_the_former_one():
    bed = Bed(step(1))
    bed.assign(place())
    bed.do(command.RegisterWorker(0, worker(incarnation=2)))
    assert bed.state.task(key()).placement is None
    bed.settle(end(1, "done"), incarnation=1)  # a report of the former life
    assert not bed.state.task(key()).done


def test_a_delayed_announcement_revives_no_former_life():
    bed = Bed()
    bed.do(command.RemoveWorker(0, "x", 1))
    bed.do(command.RegisterWorker(0, worker()))
    assert "x" not in bed.state.workers
    bed.do(command.RegisterWorker(0, worker("z", incarnation=5, address="y:1")))
    bed.do(command.RegisterWorker(0, worker("y")))
    assert "y" not in bed.state.workers


def test_draining_is_not_taken_back_in_one_life():
    bed = Bed()
    bed.do(command.RegisterWorker(0, worker(draining=True)))
    bed.do(command.RegisterWorker(0, worker()))
    assert bed.state.workers["x"].worker.draining
    bed.do(command.RegisterWorker(0, worker(incarnation=2)))
    assert not bed.state.workers["x"].worker.draining


def test_a_catalog_is_replaced_by_a_higher_version_only():
    bed = Bed()
    same = catalog.Catalog(1)
    answer = bed.do(command.ReplaceCatalog(0, same, b"other"))
    assert codec.unpack(
        answer, command.ReplaceCatalogResult
    ) == command.ReplaceCatalogResult(1, True)
    assert bed.state.document == b"doc"
    bed.do(command.ReplaceCatalog(0, catalog.Catalog(4), b"new"))
    bed.do(command.ReplaceCatalog(0, CATALOG, b"doc"))
    assert bed.state.index.catalog.version == 4
    assert bed.state.document == b"new"


def test_a_workflow_goes_on_when_its_queue_is_dropped():
    bed = Bed(step(1))
    bed.do(command.ReplaceCatalog(0, catalog.Catalog(4), b"new"))
    assert len(bed.assign(place())) == 1


def test_repeated_workflows_complete_with_their_last_occurrence():
    bed = Bed(step(1), repetitions=2, first_due_ms=10, interval_ms=5)
    assert bed.entry.workflow.due_ms(1) == 15
    bed.assign(place())
    bed.settle(end(1, "done"))
    assert bed.entry.is_active
    second = workflow.TaskKey("w", 1, 0, 0)
    bed.assign(workflow.Placement(second, 1, "x", 1))
    bed.settle(workflow.RunEnd(2, second, 1, workflow.RunOutcome.DONE))
    assert bed.entry.state is workflow.State.COMPLETED


def test_finished_workflows_are_forgotten_only_without_placements():
    bed = Bed(step(1))
    bed.assign(place())
    bed.do(command.Cancel(4, "w"))
    bed.do(command.Forget(9, 100))
    assert "w" in bed.state.entries
    bed.settle(end(1, "stopped"))
    bed.do(command.Forget(9, 100))
    assert "w" not in bed.state.entries


def test_a_snapshot_restores_everything():
    bed = Bed(step(2, gang=True), step(1, after=(0,)))
    bed.assign(place(0), place(1, worker_id="y"))
    bed.settle(end(1, "stopped", saved="c"))
    bed.do(command.RemoveWorker(0, "y", 1))
    copy = machine.WorkflowMachine()
    copy.restore(bed.state.snapshot())
    assert copy.snapshot() == bed.state.snapshot()
    assert copy.placements_on("x") == bed.state.placements_on("x")
    assert copy.active.keys() == bed.state.active.keys()
    assert copy.has_incarnation_ended("y", 1)
    assert copy.index.match("h.example", "/q/1").name == "q"
