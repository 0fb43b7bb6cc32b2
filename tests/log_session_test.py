"""Guards against log lines that are undocumented, or documented but not written."""

import asyncio
import contextlib
import json

import eliot
import msgspec
import pytest

from adapter import wire_test
from marjoramusher.queues import call
from marjoramusher.workflows import command, wave, workflow
from standins import leader, virtual
from tests import log_lines_test, platform_session_test

LIBRARY_FIELDS = {"message_type", "timestamp", "task_uuid", "task_level"}
# First parts of the kinds that these sessions write. The other kinds belong to
# instances in a cluster, whose sessions have golden files of their own.
COVERED_PREFIXES = (
    "catalog",
    "controller",
    "driver",
    "gateway",
    "host",
    "leader",
    "policy",
    "request",
    "task",
    "wave",
    "worker",
    "workflow",
)
# Kinds written only in rare races, each covered by a test beside the code.
RARE_KINDS = {
    "driver.step_failed",
    "gateway.controllers",
    "gateway.drain_timeout",
    "gateway.draining",
    "task.outlived",
    "task.stop_departing",
    "task.stop_misdirected",
    "task.stop_repeated",
    "worker.change_not_committed",
    "worker.departure_unconfirmed",
    "worker.fence_unanswered",
    "worker.report_not_committed",
    "worker.unreadable_entries",
    "workflow.cancel_unknown",
}


@contextlib.contextmanager
def captured_lines():
    """Collect the log lines that are written inside the context."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


async def disturbed_session():
    """Run workflows while runs fail or stall and workers fall silent or leave.

    The leader changes at the end.
    """

    def work_s(task, run):
        if task.workflow_id.endswith("2") and run <= 2:
            return 1e6, workflow.RunOutcome.DONE
        outcome = workflow.RunOutcome.DONE if run > 4 else workflow.RunOutcome.FAILED
        return 0.5, outcome

    async with leader.Harness(1, work_s) as harness:
        harness.hosts.rejoin = harness.join
        steps = leader.step(3, 4)
        for queue in ("batch", "batch", "batch", "policed"):
            await harness.submit(queue, steps)
        harness.policy.failing = True
        harness.fleet.loss_rate = 0.3
        harness.fleet.refusal_rate = 0.3
        await asyncio.sleep(8.0)
        harness.policy.failing = False
        harness.fleet.unreachable.add("x0")
        await asyncio.sleep(3.0)
        harness.fleet.unreachable.discard("x0")
        hosts = ("m-x1", "m-x2")
        start_wave = command.StartWave(0, wave.Wave(1, hosts, 10.0, 1))
        harness.hosts.loss_rate = 0.5
        await harness.group.propose(command.pack(start_wave), 1.0)
        await asyncio.sleep(25.0)
        harness.group.set_leader(False)
        await asyncio.sleep(1.0)


async def paced_session():
    """Run fill tasks that slow down beside serving tasks while requests are lost."""
    async with leader.Harness(2, leader.always(900.0)) as harness:
        serving = leader.step(4, 1, long_running=True, target_ms=100, max_per_worker=1)
        await harness.submit("batch", serving)
        await asyncio.sleep(2.0)
        harness.fleet.disturbance_ms = 60.0
        await harness.submit("batch", leader.step(40, 0, fill=True))
        await asyncio.sleep(2.0)
        harness.fleet.loss_rate = 0.3
        await asyncio.sleep(8.0)


async def overloaded_session():
    """Reject a workflow behind a long backlog, and let two workers leave.

    One gives notice, the other one has closed its port.
    """
    async with leader.Harness(4, leader.always(900.0)) as harness:
        backlog = leader.step(60, 8)
        await harness.submit(
            "urgent", msgspec.structs.replace(backlog, estimate_ms=60_000)
        )
        await asyncio.sleep(2.0)
        submitted = workflow.Workflow("", "", "", "", (leader.step(1, 1),))
        await harness.service.serve(
            call.pack_call(call.Submit("h", "/b/0123456789abcdef", "k", submitted))
        )
        await harness.depart("x0", 3.0)
        harness.fleet.closed_ports.add("x1")
        departure = call.Leave("x1", harness.fleet.processes["x1"].worker.incarnation)
        await harness.service.serve(call.pack_call(departure))


async def slow_session():
    """Run a workflow whose commit takes longer than an announcement is valid."""
    async with leader.Harness(3, leader.always(900.0)) as harness:
        await asyncio.sleep(leader.HEARTBEAT_S + 0.1)
        harness.unheard.update(harness.fleet.processes)
        await asyncio.sleep(3.5)
        harness.group.commit_s = 2.5
        await harness.submit("batch", leader.step(4, 1))
        await asyncio.sleep(4.0)


async def refused_session(folder):
    """Run a session with a refused run, a deregistered worker and no controller left.

    One workflow is cancelled before all controllers stop.
    """
    session = platform_session_test
    async with session.Deployment(folder) as platform:
        platform.runner.refusals = 1
        manifest = json.dumps(wire_test.MANIFEST)
        await platform.call_controllers("POST", "/Configuration.Replace", manifest)
        await platform.send_heartbeat(1)
        await platform.call_gateway(
            "POST", f"/q/{session.WORKFLOW_ID}", session.job_body(2)
        )
        await platform.wait_completed(session.WORKFLOW_ID)
        await platform.send_heartbeat(1, service="unknown", born=2**52)
        await platform.call_controllers("POST", "/Instances.Deregister/i-1")
        await platform.send_heartbeat(10_000, state="draining")
        await platform.call_controllers("POST", "/Instances.Deregister/i-1")
        cancelled_id = session.WORKFLOW_ID.replace("5c", "6d")
        await platform.call_gateway("POST", f"/q/{cancelled_id}", session.job_body(2))
        await platform.call_gateway("DELETE", f"/q/{cancelled_id}")
        wave_body = {"wave": 1, "machines": ["m-1"], "duration_s": 5, "max_count": 1}
        await platform.call_controllers("POST", "/wave-start", json.dumps(wave_body))
        for address in list(platform.controllers):
            await platform.stop_controller(address)
        async with platform.client.get(
            f"/q/{cancelled_id}", headers=session.HEADERS
        ) as response:
            assert response.status in (503, 504)


@pytest.mark.asyncio
async def test_sessions_write_each_kind_of_line_and_no_unknown_one(tmp_path):
    with captured_lines() as lines:
        await platform_session_test.run_session(tmp_path / "first")
        await refused_session(tmp_path / "second")
        for session in (
            disturbed_session,
            paced_session,
            overloaded_session,
            slow_session,
        ):
            await asyncio.to_thread(lambda run=session: virtual.run(run()))
    documented = log_lines_test.documented_fields()
    fields_by_kind = {}
    for line in lines:
        fields = set(line) - LIBRARY_FIELDS
        fields_by_kind.setdefault(line["message_type"], set()).update(fields)
    assert set(fields_by_kind) <= set(documented)
    assert {
        kind: fields - documented[kind] for kind, fields in fields_by_kind.items()
    } == {kind: set() for kind in fields_by_kind}
    expected = {kind for kind in documented if kind.split(".")[0] in COVERED_PREFIXES}
    assert expected - set(fields_by_kind) - RARE_KINDS == set()
