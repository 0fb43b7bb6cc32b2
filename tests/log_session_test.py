"""Guards the log of whole sessions: each kind of line appears, and no unknown one."""

import asyncio
import contextlib
import json

import eliot
import pytest

from adapter import wire_test
from marjoramusher.executors import driver_test
from marjoramusher.workflows import command, wave, workflow
from standins import virtual
from tests import log_lines_test, platform_session_test

LIBRARY_FIELDS = {"message_type", "timestamp", "task_uuid", "task_level"}
# Kinds of the leader, its workers and its callers; the others are those of the
# instances of a cluster, whose sessions have golden files of their own.
PREFIXES = (
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
# Lines of rare races, each with a test of its own beside the code.
RARE = {
    "driver.step_failed",
    "gateway.controllers",
    "gateway.drain_timeout",
    "gateway.draining",
    "worker.change_not_committed",
    "worker.report_not_committed",
}


@contextlib.contextmanager
def captured():
    """Collect the lines that are written meanwhile."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


async def disturbed_session():
    """Have workers fail, stall, go silent and leave, and the leader change."""

    def work_s(task, run):
        if task.workflow_id.endswith("2") and run <= 2:
            return 1e6, workflow.RunOutcome.DONE
        how = workflow.RunOutcome.DONE if run > 4 else workflow.RunOutcome.FAILED
        return 0.5, how

    async with driver_test.Harness(1, work_s) as bed:
        bed.hosts.rejoin = bed.join
        steps = driver_test.step(3, 4)
        for queue in ("batch", "batch", "batch", "policed"):
            await bed.submit(queue, steps)
        bed.policy.failing = True
        bed.fleet.loss_rate = 0.3
        await asyncio.sleep(8.0)
        bed.policy.failing = False
        bed.fleet.unreachable.add("x0")
        await asyncio.sleep(3.0)
        bed.fleet.unreachable.discard("x0")
        hosts = ("m-x1", "m-x2")
        started = command.StartWave(0, wave.Wave(1, hosts, 10.0, 1))
        bed.hosts.loss_rate = 0.5
        await bed.group.propose(command.pack(started), 1.0)
        await asyncio.sleep(15.0)
        bed.group.set_leader(False)
        await asyncio.sleep(1.0)


async def paced_session():
    """Have filling tasks slow down beside serving ones while orders are lost."""
    async with driver_test.Harness(2, driver_test.always(900.0)) as bed:
        serving = driver_test.step(
            4, 1, long_running=True, target_ms=100, max_per_worker=1
        )
        await bed.submit("batch", serving)
        await asyncio.sleep(2.0)
        bed.fleet.disturbance_ms = 60.0
        await bed.submit("batch", driver_test.step(40, 0, fill=True))
        await asyncio.sleep(2.0)
        bed.fleet.loss_rate = 0.3
        await asyncio.sleep(8.0)


async def refused_session(folder):
    """Have a runner refuse and leave, a job cancelled, and all controllers go."""
    session = platform_session_test
    async with session.Deployment(folder) as made:
        made.runner.refusals = 1
        manifest = json.dumps(wire_test.MANIFEST)
        await made.control("POST", "/Configuration.Replace", manifest)
        await made.beat(1)
        await made.ask("POST", f"/q/{session.ID}", session.job(2))
        await made.completed(session.ID)
        await made.control("POST", "/Instances.Deregister/i-1")
        cancelled = session.ID.replace("5c", "6d")
        await made.ask("POST", f"/q/{cancelled}", session.job(2))
        await made.ask("DELETE", f"/q/{cancelled}")
        waved = {"wave": 1, "machines": ["m-1"], "duration_s": 5, "max_count": 1}
        await made.control("POST", "/wave-start", json.dumps(waved))
        for address in list(made.controllers):
            await made.stop(address)
        async with made.client.get(f"/q/{cancelled}", headers=session.HEADERS) as lost:
            assert lost.status in (503, 504)


@pytest.mark.asyncio
async def test_sessions_write_each_kind_of_line_and_no_unknown_one(tmp_path):
    with captured() as lines:
        await platform_session_test.play(tmp_path / "first")
        await refused_session(tmp_path / "second")
        for session in (disturbed_session, paced_session):
            await asyncio.to_thread(lambda play=session: virtual.run(play()))
    page = log_lines_test.documented()
    seen = {}
    for line in lines:
        fields = set(line) - LIBRARY_FIELDS
        seen.setdefault(line["message_type"], set()).update(fields)
    assert set(seen) <= set(page)
    assert {kind: fields - page[kind] for kind, fields in seen.items()} == {
        kind: set() for kind in seen
    }
    expected = {kind for kind in page if kind.split(".")[0] in PREFIXES}
    assert expected - set(seen) - RARE == set()
