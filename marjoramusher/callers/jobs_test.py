"""Guards the job handlers against malformed bodies and access across accounts."""

import pytest
from aiohttp import test_utils, web

from marjoramusher.callers import jobs
from marjoramusher.core import errors, job, record
from marjoramusher.http import errors as http_errors
from marjoramusher.telemetry import metrics

CONFIGURATION = record.Configuration(
    accounts={name: record.ClientAccount(name, "d1") for name in ("acme", "bolt")}
)


class FakeJobs:
    """Jobs in memory; the idempotency key determines the job id."""

    def __init__(self):
        self.jobs = {}

    async def submit(self, spec, key, issued_at):
        job_id = f"job-d1-{key or len(self.jobs)}"
        submitted = job.Job(job_id, spec, job.JobState.QUEUED, 0.0)
        return self.jobs.setdefault(job_id, submitted)

    async def get(self, account, job_id):
        current = self.jobs.get(job_id)
        if current is None or current.spec.account != account:
            raise errors.MarjoramusherError(errors.ErrorCode.NOT_FOUND, "no such job")
        return current

    async def list(self, account, limit):
        return [j for j in self.jobs.values() if j.spec.account == account][:limit]

    async def watch(self, account, job_id, wait_s):
        return await self.get(account, job_id)

    async def cancel(self, account, job_id):
        return await self.get(account, job_id)


@pytest.fixture
async def client():
    application = web.Application(
        middlewares=[http_errors.make_middleware(metrics.Metrics())]
    )
    handlers = jobs.JobHandlers(FakeJobs(), lambda: CONFIGURATION)
    application.add_routes(handlers.routes())
    async with test_utils.TestClient(test_utils.TestServer(application)) as test_client:
        test_client.handlers = handlers
        yield test_client


def headers(account="acme", **extra):
    return {"X-Client-Account": account} | extra


BODY = {"contract": "c", "shape": {"tasks": 2, "each": {"accelerators": 8}}}


async def test_resend_of_a_key_gives_the_same_job(client):
    ids = set()
    for _ in range(2):
        key_headers = headers(**{"Idempotency-Key": "k"})
        async with client.post("/v1/jobs", json=BODY, headers=key_headers) as response:
            assert response.status == 202
            ids.add((await response.json())["job_id"])
    assert len(ids) == 1


async def test_job_of_another_account_is_not_found(client):
    async with client.post("/v1/jobs", json=BODY, headers=headers()) as response:
        path = response.headers["Location"]
    for method in (client.get, client.delete):
        async with method(path, headers=headers("bolt")) as response:
            assert response.status == 404
    async with client.get("/v1/jobs", headers=headers("bolt")) as response:
        assert (await response.json())["jobs"] == []
    async with client.get(f"{path}?wait_s=1", headers=headers()) as response:
        assert (await response.json())["state"] == "queued"


INVALID = {
    "no tasks": {**BODY, "shape": {"tasks": 0}},
    "negative accelerators": {**BODY, "shape": {"each": {"accelerators": -1}}},
    "unknown field": {**BODY, "account": "bolt"},
    "run time not finite": {**BODY, "run_s": 1e300},
    "no contract": {**BODY, "contract": ""},
}


@pytest.mark.parametrize("case", INVALID)
async def test_malformed_job_is_refused(client, case):
    async with client.post(
        "/v1/jobs", json=INVALID[case], headers=headers()
    ) as response:
        assert response.status == 400
        assert (await response.json())["error"]["outcome"] == "not_run"


async def test_draining_instance_takes_no_jobs(client):
    client.handlers.drain()
    async with client.post("/v1/jobs", json=BODY, headers=headers()) as response:
        assert (await response.json())["error"]["code"] == "draining"
