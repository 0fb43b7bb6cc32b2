"""Tests of the results and errors that callers get for their jobs."""

import asyncio
import datetime

import pytest

from marjoramusher.core import clock, errors, record, resource
from marjoramusher.core import job as model
from marjoramusher.groups import composite, local
from marjoramusher.jobs import command, machine
from marjoramusher.workers import service

NOW = clock.ManualClock().utcnow()
HOUR = datetime.timedelta(hours=1)
SHAPE = resource.GangShape(2, resource.Resources(4))
CONFIGURATION = record.Configuration(
    1,
    accounts={
        "acct": record.ClientAccount("acct", "fd-a"),
        "other": record.ClientAccount("other", "fd-a"),
    },
    contracts={
        name: record.Contract(name, account, domain, expires_at)
        for name, account, domain, expires_at in [
            ("near", "acct", "fd-a", NOW + HOUR),
            ("far", "acct", "fd-b", NOW + HOUR),
            ("over", "acct", "fd-a", NOW - HOUR),
        ]
    },
)


class Domains:
    """Two failure domains whose instances reach each other until `is_cut` is set."""

    def __init__(self):
        self.services, self.groups, self.machines = {}, {}, {}
        self.is_cut = False
        for domain in ("fd-a", "fd-b"):
            jobs = machine.JobsMachine(domain)
            parts = composite.CompositeMachine({command.PART: jobs})
            self.machines[domain] = jobs
            self.groups[domain] = local.LocalGroup(f"domain:{domain}", parts)
            self.services[domain] = service.JobsService(
                domain,
                self.groups[domain],
                jobs,
                lambda: CONFIGURATION,
                clock.ManualClock(),
                self.propose,
                self.remote,
                self.infeasibility_reason,
            )

    async def propose(self, domain, data, timeout_s):
        return await self.groups[domain].propose(data, timeout_s)

    async def remote(self, domain, method, body):
        assert method == service.METHOD
        if self.is_cut or domain not in self.services:
            raise errors.PeerUnreachableError(domain)
        return await self.services[domain].serve(body)

    def infeasibility_reason(self, domain, shape):
        return "too large" if shape.each.accelerators > 8 else None


@pytest.fixture
def domains():
    return Domains()


@pytest.fixture
def jobs(domains):
    return domains.services["fd-a"]


def spec(contract="near", shape=SHAPE, **fields):
    return model.JobSpec("acct", contract, shape, **fields)


def shape(tasks, accelerators):
    return resource.GangShape(tasks, resource.Resources(accelerators))


CODES = errors.ErrorCode
REFUSED_SUBMISSIONS = {
    "unknown account": ("nobody", spec(), CODES.UNKNOWN_ACCOUNT),
    "account of another": ("other", spec(), CODES.BAD_REQUEST),
    "unknown contract": ("acct", spec("none"), CODES.NOT_FOUND),
    "contract of another": (
        "other",
        model.JobSpec("other", "near", SHAPE),
        CODES.NOT_FOUND,
    ),
    "expired contract": ("acct", spec("over"), CODES.CONTRACT_EXPIRED),
    "no tasks": ("acct", spec(shape=shape(0, 1)), CODES.BAD_REQUEST),
    "negative": ("acct", spec(shape=shape(1, -1)), CODES.BAD_REQUEST),
    "nan": ("acct", spec(run_s=float("nan")), CODES.BAD_REQUEST),
    "no resources": ("acct", spec(shape=shape(1, 0)), CODES.JOB_INFEASIBLE),
    "gang too large": ("acct", spec(shape=shape(257, 1)), CODES.JOB_INFEASIBLE),
    "no worker": ("acct", spec(shape=shape(1, 9)), CODES.JOB_INFEASIBLE),
    "payload": ("acct", spec(payload="x" * 70_000), CODES.BODY_TOO_LARGE),
}


@pytest.mark.parametrize("name", REFUSED_SUBMISSIONS)
async def test_refused_job_is_not_kept(domains, jobs, name):
    account, job_spec, code = REFUSED_SUBMISSIONS[name]
    with pytest.raises(errors.MarjoramusherError) as raised:
        await jobs.submit(account, job_spec)
    assert raised.value.code is code
    assert raised.value.outcome is errors.Outcome.NOT_RUN
    assert domains.machines["fd-a"].jobs() == []


async def test_job_of_another_failure_domain_is_found_from_here(domains, jobs):
    near_job = await jobs.submit("acct", spec(), "key")
    far_job = await jobs.submit("acct", spec("far"), "key")
    assert near_job.job_id.startswith("job-fd-a-") and far_job.job_id.startswith(
        "job-fd-b-"
    )
    assert await jobs.get(far_job.job_id) == far_job
    listed = await jobs.list("acct", model.JobState.QUEUED, 10)
    assert {job.job_id for job in listed} == {near_job.job_id, far_job.job_id}
    assert (await jobs.cancel(far_job.job_id)).state is model.JobState.CANCELLED
    assert len(await jobs.list("acct", model.JobState.QUEUED, 10)) == 1
    with pytest.raises(errors.MarjoramusherError) as raised:
        await jobs.get("job-fd-b-99")
    assert raised.value.code is CODES.NOT_FOUND


async def test_unreachable_domain_is_reported_and_not_left_out(domains, jobs):
    """Check for an error, since a shorter list or "not found" would be wrong."""
    near_job = await jobs.submit("acct", spec())
    far_job = await jobs.submit("acct", spec("far"))
    domains.is_cut = True
    assert await jobs.get(near_job.job_id) == near_job
    for call in (jobs.get(far_job.job_id), jobs.list("acct")):
        with pytest.raises(errors.PeerUnreachableError):
            await call


@pytest.mark.parametrize("job_id", ["", "job-", "job--1", "job-fd-a-x", "task-fd-a-1"])
async def test_malformed_id_is_not_found(jobs, job_id):
    with pytest.raises(errors.MarjoramusherError) as raised:
        await jobs.get(job_id)
    assert raised.value.code is CODES.NOT_FOUND


@pytest.mark.parametrize("contract", ["near", "far"])
async def test_watch_returns_on_the_change(domains, jobs, contract):
    job_id = (await jobs.submit("acct", spec(contract))).job_id
    watch_task = asyncio.create_task(jobs.watch(job_id, 30.0, model.JobState.QUEUED))
    await asyncio.sleep(0.01)
    await jobs.submit("acct", spec(contract))  # changes another job
    await asyncio.sleep(0.01)
    assert not watch_task.done()
    await jobs.cancel(job_id)
    assert (await watch_task).state is model.JobState.CANCELLED
    # A finished job does not change any more, so a watch returns at once.
    assert (await jobs.watch(job_id, 30.0)).state is model.JobState.CANCELLED


async def test_watch_ends_without_a_change(jobs):
    job_id = (await jobs.submit("acct", spec())).job_id
    assert (await jobs.watch(job_id, 0.01)).state is model.JobState.QUEUED
    unchanged = await jobs.watch(job_id, 30.0, model.JobState.RUNNING)
    assert unchanged.state is model.JobState.QUEUED


async def test_lagging_replica_asks_for_the_barrier(domains, jobs):
    async def fail(timeout_s):
        raise errors.NoQuorumError("cut off")

    domains.groups["fd-a"].barrier = fail
    with pytest.raises(errors.NoQuorumError):
        await jobs.get("job-fd-a-1")
