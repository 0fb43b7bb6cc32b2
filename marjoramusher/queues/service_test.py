"""Guards the replies of the leader to callers, workers and operators."""

import asyncio
import datetime

import eliot
import msgspec
import pytest

from marjoramusher.core import clock, errors
from marjoramusher.executors import driver, port
from marjoramusher.groups import local
from marjoramusher.queues import call, service
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import catalog, machine, workflow
from standins import virtual

QUEUES = (
    catalog.Queue("long", "h.example", "/a/b/", "s", 1, 3, 2.0, 100, 1000),
    catalog.Queue("short", "h.example", "/a/", "s", 1, 3, 2.0, 100, 1000, True),
)
CATALOG = catalog.Catalog(
    3, QUEUES, (catalog.Service("s"),), (catalog.Account("t", ("k1",)),)
)
WORKFLOW = workflow.Workflow(
    "", "", "", "spec", (workflow.Step(1, workflow.Resources(1, 1, 1)),)
)
ID = "5c0e7a21d94b36f8"


class Fleet:
    """Workers that run nothing."""

    async def poll(self, worker, token, last_end_number, deadline_ms, wait_s):
        return port.WorkerReport(0, worker.incarnation, (), ())


class Harness:
    """A service whose leadership the test controls."""

    def __init__(self):
        self.state = machine.WorkflowMachine()
        self.is_leading = True
        time = clock.ManualClock(datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC))
        metrics_registry = metrics.Metrics()
        group = local.LocalGroup("records", self.state)
        harness = self

        class Driver(driver.Driver):
            is_leading = property(lambda _: harness.is_leading)

            async def wait_leading(self):
                return self.is_leading

        leader = Driver(
            group,
            self.state,
            driver.Ports(Fleet()),
            time,
            metrics_registry,
            driver.Settings(),
        )
        self.arguments = "10.0.0.1:7000", self.state, leader, time, metrics_registry
        self.forget_announcements()

    def forget_announcements(self):
        """Continue with the service of a new leader."""
        self.service = service.QueueService(*self.arguments)

    def ask(self, request):
        answer = asyncio.run(self.service.serve(call.pack_call(request)))
        return call.unpack_reply(answer)

    def submit(self, path, key="k1", host="h.example"):
        return self.ask(call.Submit(host, path, key, WORKFLOW))

    def read(self, path, key="k1", host="h.example"):
        return self.ask(call.Read(host, path, key))


@pytest.fixture
def harness():
    harness = Harness()
    harness.ask(call.Replace(CATALOG, b"doc"))
    return harness


def worker(incarnation=1, address="w:1", draining=False, worker_id="w"):
    return workflow.Worker(
        worker_id,
        incarnation,
        address,
        "s",
        "z",
        "r",
        (),
        workflow.Resources(),
        draining,
    )


def test_nothing_is_answered_before_the_first_catalog():
    with pytest.raises(errors.MarjoramusherError) as caught:
        Harness().read("/a/b/")
    assert caught.value.outcome is errors.Outcome.NOT_RUN


def test_the_longest_prefix_selects_the_queue(harness):
    assert harness.submit(f"/a/b/{ID}") == call.Accepted()
    assert harness.state.entries[ID].queue.name == "long"
    assert harness.state.entries[ID].workflow.account == "t"


@pytest.mark.parametrize(
    "path, key, host, expected",
    [
        (f"/a/b/{ID}", None, "h.example", call.Unauthorized()),
        (f"/a/b/{ID}", "gone", "h.example", call.Unauthorized()),
        (f"/a/{ID}", None, "h.example", call.Accepted()),
        (f"/a/{ID}", "gone", "h.example", call.Accepted()),
        (f"/c/{ID}", "k1", "h.example", call.NoQueue()),
        (f"/a/b/{ID}", "k1", "other.example", call.NoQueue()),
        ("/a/b/", "k1", "h.example", call.NoQueue()),
    ],
)
def test_host_path_and_key_decide_whether_a_submission_is_accepted(
    harness, path, key, host, expected
):
    assert harness.submit(path, key, host) == expected


def test_states_are_shown_and_counted(harness):
    assert harness.read(f"/a/b/{ID}") == call.Unknown()
    harness.submit(f"/a/b/{ID}")
    assert harness.submit(f"/a/b/{ID}") == call.Accepted()
    assert harness.read(f"/a/b/{ID}") == call.Shown(call.WorkflowStatus.QUEUED)
    assert harness.read("/a/b/") == call.Counted(1)
    assert harness.ask(call.Cancel("h.example", f"/a/b/{ID}", "k1")) == call.Accepted()
    assert harness.read(f"/a/b/{ID}") == call.Shown(call.WorkflowStatus.CANCELLED)
    assert harness.read("/a/b/") == call.Counted(0)


def test_a_cancellation_of_an_unknown_workflow_says_so(harness):
    assert harness.ask(call.Cancel("h.example", f"/a/b/{ID}", "k1")) == call.Unknown()


def test_a_cancellation_of_an_unknown_workflow_is_logged(harness):
    """Guards against cancellations that leave no line at the leader."""
    lines = []
    eliot.add_destinations(lines.append)
    harness.ask(call.Cancel("h.example", f"/a/b/{ID}", "k1"))
    eliot.remove_destination(lines.append)
    assert lines[-1]["message_type"] == "workflow.cancel_unknown"
    assert lines[-1]["workflow"] == ID


@pytest.mark.parametrize("workflow_id", ["", "f" * 65])
def test_a_cancellation_without_a_usable_id_is_not_remembered(harness, workflow_id):
    """Guards against callers that fill the memory of the leader."""
    cancel = call.Cancel("h.example", f"/a/b/{workflow_id}", "k1")
    assert harness.ask(cancel) == call.Unknown()
    assert not harness.state.has_early_cancellation(2**62)


def test_a_submission_that_arrives_after_its_cancellation_does_not_run(harness):
    """Guards against work that runs on although its caller has cancelled it."""
    assert harness.ask(call.Cancel("h.example", f"/a/b/{ID}", "k1")) == call.Unknown()
    assert harness.read(f"/a/b/{ID}") == call.Unknown()
    harness.forget_announcements()
    lines = []
    eliot.add_destinations(lines.append)
    assert harness.submit(f"/a/b/{ID}") == call.Accepted()
    eliot.remove_destination(lines.append)
    assert lines[-1]["message_type"] == "workflow.cancelled"
    assert not harness.state.active
    assert harness.read(f"/a/b/{ID}") == call.Shown(call.WorkflowStatus.CANCELLED)
    assert harness.read("/a/b/") == call.Counted(0)


def test_a_key_and_a_queue_end_with_the_catalog_that_drops_them(harness):
    harness.submit(f"/a/b/{ID}")
    harness.ask(call.Replace(catalog.Catalog(9, QUEUES[:1], CATALOG.services), b"2"))
    assert harness.read(f"/a/b/{ID}") == call.Unauthorized()
    assert harness.read(f"/a/{ID}") == call.NoQueue()
    assert harness.ask(call.ReadCatalog()) == call.Document(9, b"2")


def test_an_instance_that_does_not_lead_answers_nothing(harness):
    harness.is_leading = False
    for request in (
        call.Read("h.example", "/a/", None),
        call.ReadCatalog(),
        call.Announce(worker(), 1, None),
    ):
        with pytest.raises(errors.NotLeaderError):
            harness.ask(request)


def test_announcements_that_were_delayed_change_nothing(harness):
    harness.ask(call.Announce(worker(draining=True), 5, 10))
    harness.ask(call.Announce(worker(), 4, 9))
    assert harness.state.workers["w"].worker.draining
    harness.ask(call.Announce(worker(incarnation=2), 1, 0))
    harness.ask(call.Announce(worker(draining=True), 6, 11))
    assert harness.state.workers["w"].worker == worker(incarnation=2)


def test_the_time_left_of_a_worker_is_committed_nowhere(harness):
    """Guards against a commit for each announcement of a departing worker."""
    harness.ask(call.Announce(worker(draining=True), 1, 10, 3000.0, 400.0))
    committed = harness.state.snapshot()
    harness.ask(call.Announce(worker(draining=True), 2, 20, 2000.0, 0.0))
    harness.ask(call.Announce(worker(draining=True), 1, 10, 9000.0))
    assert harness.state.snapshot() == committed
    leader = harness.arguments[2]
    now_s = harness.arguments[3].monotonic()
    assert leader._departures.time_left_s(now_s) == {"w": 2.0}
    assert not leader._departures.is_cold(worker(), now_s)


def test_a_new_leader_knows_the_sequence_of_the_last_change(harness):
    """Guards against a former capacity that a delayed announcement restores."""
    harness.ask(call.Announce(worker(), 4, 0))
    small = msgspec.structs.replace(worker(), capacity=workflow.Resources(1, 1, 1))
    harness.ask(call.Announce(small, 6, 0))
    harness.forget_announcements()
    harness.ask(call.Announce(worker(), 5, 0))
    assert harness.state.workers["w"].worker == small
    harness.ask(call.Announce(worker(), 7, 0))
    assert harness.state.workers["w"].worker == worker()


@pytest.mark.parametrize("draining, incarnation", [(True, None), (False, 1)])
def test_a_worker_that_has_left_does_not_come_back(harness, draining, incarnation):
    harness.ask(call.Announce(worker(draining=draining), 1, 0))
    harness.ask(call.Leave("w", incarnation))
    assert "w" not in harness.state.workers
    harness.ask(call.Announce(worker(), 2, 0))
    assert "w" not in harness.state.workers


def test_a_delayed_departure_does_not_end_the_next_incarnation(harness):
    """Guards against a departure that was held up past the restart of its worker."""
    harness.ask(call.Announce(worker(draining=True), 1, 0))
    harness.ask(call.Leave("w", None))
    harness.ask(call.Announce(worker(incarnation=2), 1, 0))
    assert harness.ask(call.Leave("w", None)) == call.Acknowledged("10.0.0.1:7000")
    assert harness.state.workers["w"].worker == worker(incarnation=2)


def test_the_end_of_a_worker_whose_address_is_taken_is_logged(harness):
    """Guards against runs that vanish with their worker and leave no line."""
    lines = []
    harness.ask(call.Announce(worker(), 1, 0))
    eliot.add_destinations(lines.append)
    harness.ask(call.Announce(worker(incarnation=2, worker_id="v"), 1, 0))
    eliot.remove_destination(lines.append)
    assert list(harness.state.workers) == ["v"]
    ended = [line for line in lines if line["message_type"] == "worker.life_over"]
    # The first destination also gets the lines that were logged before.
    assert ended[-1]["worker"] == "w"
    assert ended[-1]["reason"] == "replaced at its address"
    assert ended[-1]["runs"] == 0


FUTURE_MS = 2**53


@pytest.mark.parametrize(
    "foreign",
    [
        msgspec.structs.replace(worker(2, worker_id="v"), service="unknown"),
        msgspec.structs.replace(worker(2), service="unknown"),
        worker(FUTURE_MS),
        worker(FUTURE_MS, worker_id="v"),
    ],
)
def test_an_announcement_that_describes_no_worker_ends_none(harness, foreign):
    """Guards against another sender that takes the address or the id of a worker."""
    harness.ask(call.Announce(worker(), 1, 0))
    assert harness.ask(call.Announce(foreign, 1, 0)) == call.Acknowledged(
        "10.0.0.1:7000"
    )
    assert [item.worker for item in harness.state.workers.values()] == [worker()]
    draining = worker(draining=True)
    harness.ask(call.Announce(draining, 2, 0))
    assert [item.worker for item in harness.state.workers.values()] == [draining]


def test_a_worker_whose_service_was_dropped_is_still_heard(harness):
    """Guards against runs that are lost with the service of their worker."""
    harness.ask(call.Announce(worker(), 1, 0))
    other = (catalog.Service("other"),)
    harness.ask(call.Replace(catalog.Catalog(9, (), other), b"2"))
    harness.ask(call.Announce(worker(draining=True), 2, 0))
    assert harness.state.workers["w"].worker.draining


def test_a_departure_of_a_former_life_is_no_departure_of_the_present_one(harness):
    harness.ask(call.Announce(worker(incarnation=2), 1, 0))
    harness.ask(call.Leave("w", 1))
    assert "w" in harness.state.workers


@pytest.mark.parametrize("barrier_s, is_answered", [(0.2, True), (5.0, False)])
def test_a_call_waits_for_a_takeover_in_progress(barrier_s, is_answered):
    """Guards against rejecting calls that reach a new leader in its first moments."""

    class Group(local.LocalGroup):
        async def barrier_as_leader(self, timeout_s):
            await asyncio.sleep(barrier_s)
            return await super().barrier_as_leader(timeout_s)

    async def run_scenario():
        state = machine.WorkflowMachine()
        time = virtual.LoopClock(asyncio.get_running_loop())
        registry = metrics.Metrics()
        leader = driver.Driver(
            Group("records", state),
            state,
            driver.Ports(Fleet()),
            time,
            registry,
            driver.Settings(),
        )
        queues = service.QueueService("10.0.0.1:7000", state, leader, time, registry)
        leader.start()
        await asyncio.sleep(0.3)
        try:
            return await queues.serve(call.pack_call(call.ReadVersion()))
        finally:
            await leader.stop()

    if is_answered:
        assert call.unpack_reply(virtual.run(run_scenario())) == call.Document(0, b"")
    else:
        with pytest.raises(errors.NotLeaderError):
            virtual.run(run_scenario())


def test_a_committed_change_is_acknowledged_though_the_leadership_ends(harness):
    """Guards against the answer "not run" for a change that is in force.

    The leadership ends between the commit of the change and the reply to it.
    """
    propose = harness.service._driver.propose

    async def commit_and_resign(command):
        result = await propose(command)
        harness.is_leading = False
        return result

    harness.service._driver.propose = commit_and_resign
    document = catalog.Catalog(4, QUEUES, CATALOG.services, CATALOG.accounts)
    reply = harness.ask(call.Replace(document, b"{}"))
    assert reply == call.Replaced(4, False)
    assert harness.state.index.catalog.version == 4
