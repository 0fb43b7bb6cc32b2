"""Tests of the driver against stand-in workers on loopback."""

import asyncio
import datetime
import json
import time

import eliot
import pytest
import reactivex.subject
from aiohttp import web

from marjoramusher.consensus import message
from marjoramusher.core import announcement, crash, errors, record, resource
from marjoramusher.core import job as model
from marjoramusher.groups import composite, local
from marjoramusher.http import errors as http_errors
from marjoramusher.jobs import command, machine
from marjoramusher.placement import baseline
from marjoramusher.telemetry import metrics
from marjoramusher.workers import client, driver, handlers, rpc, table
from standins import worker as standin

STATES = model.JobState


class WallClock:
    def monotonic(self):
        return time.monotonic()

    def utcnow(self):
        return datetime.datetime.now(datetime.UTC)


class Group(local.LocalGroup):
    """Group with one member whose leadership the test switches."""

    def __init__(self, jobs):
        parts = composite.CompositeMachine({command.PART: jobs})
        super().__init__("domain:fd-a", parts)
        self.is_leading = True
        self.role_changes = reactivex.subject.Subject()

    @property
    def is_leader(self):
        return self.is_leading

    @property
    def roles(self):
        return self.role_changes

    def set_leader(self, led):
        self.is_leading = led
        role = message.Role.LEADER if led else message.Role.FOLLOWER
        self.role_changes.on_next(message.RoleChanged(role, 1, None))


class FaultyPlacer(baseline.Baseline):
    """Placer that raises in the first `faults` calls, counted over all instances."""

    faults = 0

    def job_changed(self, job, now):
        if FaultyPlacer.faults:
            FaultyPlacer.faults -= 1
            raise ZeroDivisionError
        super().job_changed(job, now)


class Domain:
    """One instance and its three workers."""

    def __init__(self, path):
        self.path = path
        self.jobs = machine.JobsMachine("fd-a")
        self.group = Group(self.jobs)
        self.metrics = metrics.Metrics()
        self.tasks = client.TaskClient("t")
        self.driver = driver.GangDriver(
            self.group,
            self.jobs,
            lambda: FaultyPlacer("fd-a"),
            self.tasks,
            WallClock(),
            record.Configuration,
            self.metrics,
        )
        self.workers = []

    async def __aenter__(self):
        app = web.Application(middlewares=[http_errors.make_middleware(self.metrics)])
        self.runner = web.AppRunner(app)

        async def forward(worker_announcement):
            raise errors.NotLeaderError(None)

        worker_handlers = handlers.WorkerHandlers(
            lambda: ("fd-a",),
            self.driver.announce,
            "",
            lambda failure_domain: "",
            forward,
            lambda request: None,
        )
        worker_handlers.add_to(app.router)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.driver_task = asyncio.create_task(self.driver.run())
        self.url = "http://{}:{}".format(*self.runner.addresses[0][:2])
        for number in range(3):
            self.workers.append(await self.start_worker(number))
        return self

    async def start_worker(self, number):
        standin_worker = standin.Worker(
            f"w{number}",
            "fd-a",
            "r1",
            resource.Resources(8, 64, 1000),
            [self.url],
            "t",
            self.path / "history",
        )
        await standin_worker.start()
        return standin_worker

    async def restart_worker(self, number):
        """End a worker without a word to the leader, and start it again."""
        await self.workers[number].stop()
        self.workers[number] = await self.start_worker(number)

    async def __aexit__(self, *error):
        self.driver_task.cancel()
        await asyncio.gather(self.driver_task, return_exceptions=True)
        for standin_worker in self.workers:
            await standin_worker.stop()
        await self.tasks.close()
        await self.runner.cleanup()

    async def propose(self, cmd):
        data = composite.part_command(command.PART, command.encode(cmd))
        return command.decode_result(await self.group.propose(data, 1.0)).job

    async def submit(self, payload, **fields):
        shape = resource.GangShape(3, resource.Resources(8))
        spec = model.JobSpec("a", "c", shape, payload=payload, **fields)
        return (await self.propose(command.SubmitJob(time.time(), spec))).job_id

    async def until(self, job_id, *states):
        while (job := self.jobs.job(job_id)).state not in states:
            await asyncio.sleep(0.01)
        return job

    def history(self, *events):
        lines = (self.path / "history").read_text().splitlines()
        return [e for e in map(json.loads, lines) if e["event"] in events]


@pytest.fixture
async def domain(tmp_path):
    async with asyncio.timeout(60), Domain(tmp_path) as started_domain:
        yield started_domain


async def test_gang_runs_on_real_workers_and_fails_with_its_task(domain):
    done = await domain.submit('{"run_s": 0.1}')
    await domain.until(done, STATES.DONE)
    started = domain.history("started")
    assert [line["epoch"] for line in started] == [1, 1, 1]
    failed = await domain.submit('{"run_s": 0.1, "fail": "on:w1"}', repeatable=False)
    job = await domain.until(failed, STATES.FAILED)
    assert job.error.code is errors.ErrorCode.TARGET_FAILED
    assert job.failed_on == ("w1",)


async def test_cancel_and_refusal_leave_nothing_behind(domain):
    running = await domain.submit('{"run_s": 60}')
    await domain.until(running, STATES.RUNNING)
    await domain.propose(command.CancelJob(time.time(), running))
    await domain.until(running, STATES.CANCELLED)
    assert len(domain.history("stopped")) == 3
    domain.workers[1].control(standin.Control("refuse"))
    refused = await domain.submit('{"run_s": 0.1}')
    while domain.jobs.job(refused).failed_on != ("w1",):
        await asyncio.sleep(0.01)
    domain.workers[1].control(standin.Control())
    await domain.until(refused, STATES.DONE)


async def test_gang_outlives_a_change_of_leader(domain):
    job_id = await domain.submit('{"run_s": 3}')
    await domain.until(job_id, STATES.RUNNING)
    domain.group.set_leader(False)
    with pytest.raises(errors.NotLeaderError):
        domain.driver.announce(
            announcement.WorkerAnnouncement(
                "w9", "http://h:1", "fd-a", "r", 1, resource.Resources()
            )
        )
    await asyncio.sleep(0.3)
    assert domain.driver.core is None
    domain.group.set_leader(True)
    job = await domain.until(job_id, STATES.DONE)
    assert job.epoch == 1 and len(domain.history("started")) == 3


async def test_a_job_that_crashes_a_worker_is_given_up_and_the_log_says_why(domain):
    """Guards against endless starts, and an end that operators can't explain."""
    lines = []
    eliot.add_destinations(lines.append)
    job_id, crashes = await domain.submit('{"run_s": 60}'), 0
    while (job := domain.jobs.job(job_id)).state not in model.FINAL_STATES:
        if job.state is STATES.RUNNING and job.attempts > crashes:
            crashes = job.attempts
            await domain.restart_worker(1)
        await asyncio.sleep(0.01)
    eliot.remove_destination(lines.append)
    error = domain.jobs.job(job_id).error
    assert error.code is errors.ErrorCode.TARGET_FAILED and "w1" in error.message
    assert crash.MIN_CRASHES < crashes <= crash.MAX_CRASHES  # all on one worker
    about_job = [line for line in lines if line.get("job_id") == job_id]
    assert about_job[-1]["reason"] == error.message
    assert any(
        line["message_type"] == "job.suspected" and line["workers"] == "w1"
        for line in about_job
    )


async def test_fault_of_the_placer_neither_reaches_the_group_nor_ends_the_driver(
    domain, monkeypatch
):
    monkeypatch.setattr(driver, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(FaultyPlacer, "faults", 2)
    job_id = await domain.submit('{"run_s": 0.1}')
    await domain.until(job_id, STATES.DONE)
    assert FaultyPlacer.faults == 0
    assert domain.metrics.counter("gang_driver_faults") >= 2


async def test_worker_stops_by_itself_without_renewal(domain):
    job_id = await domain.submit('{"run_s": 60}')
    await domain.until(job_id, STATES.RUNNING)
    domain.driver_task.cancel()
    domain.group.set_leader(False)
    while len(domain.history("stopped")) < 3:
        await asyncio.sleep(0.05)
    assert {line["reason"] for line in domain.history("stopped")} == {"lease"}


async def _call(domain, method, epoch, task_id="job-fd-a-9.0", **fields):
    call = rpc.Call(
        "job-fd-a-9",
        task_id,
        epoch,
        "w0",
        domain.workers[0].url,
        rpc.Method(method),
        rpc.TaskRequest(epoch, **fields),
    )
    try:
        return (await domain.tasks.call(call)).state.value
    except errors.MarjoramusherError as error:
        return error.code.value


async def test_worker_fences_by_epoch_and_lease(domain):
    """Check that the stand-in fences tasks as the leader's decisions require."""
    domain.group.set_leader(False)
    assert await _call(domain, "prepare", 2) == "prepared"
    assert await _call(domain, "prepare", 2) == "prepared"
    assert await _call(domain, "start", 1) == "stale_epoch"
    assert await _call(domain, "start", 2) == "running"
    assert await _call(domain, "start", 2) == "running"
    assert len(domain.history("started")) == 1
    assert await _call(domain, "stop", 3) == "stopped"
    assert await _call(domain, "prepare", 2) == "stale_epoch"
    assert await _call(domain, "prepare", 3) == "stale_epoch"
    assert await _call(domain, "prepare", 4, lease_s=0.01) == "prepared"
    await asyncio.sleep(0.02)
    assert await _call(domain, "start", 4) == "stale_epoch"
    assert await _call(domain, "stop", 8, "never-seen.0") == "stopped"
    assert await _call(domain, "start", 7, "never-seen.0") == "stale_epoch"


def test_lease_is_longer_than_two_lost_announcements():
    assert table.TASK_LEASE_S > table.SUSPECT_AFTER_S > 2 * standin.ANNOUNCE_INTERVAL_S
