"""Guards the responses of a whole session, and accepted state across a restart."""

import json
import re

from . import deployment

FINAL_STATES = ("done", "failed", "cancelled")
VOLATILE_FIELDS = {
    "at",
    "boot",
    "cluster_id",
    "ended_at",
    "incarnation",
    "started_at",
    "submitted_at",
    "written_at",
}
RECORDED_HEADERS = (
    "Content-Type",
    "ETag",
    "Idempotency-Replayed",
    "Location",
)
REDACTIONS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "127.0.0.1:<port>"),
    (re.compile(r"instance-1-\d+-\d+"), "<request id>"),
)
JOB_SHAPE = {"tasks": 2, "each": {"accelerators": 4}, "adjacency": "rack"}


def redact(value):
    """Replace the parts of a JSON value that differ between runs."""
    if isinstance(value, dict):
        return {
            name: f"<{name}>" if name in VOLATILE_FIELDS else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [redact(item) for item in value]
    if isinstance(value, str):
        if value.startswith("[{"):  # The details of an error contain JSON in a string.
            return redact(json.loads(value))
        for pattern, replacement in REDACTIONS:
            value = pattern.sub(replacement, value)
    return value


class Transcript:
    """Record requests and responses without the values that differ between runs."""

    def __init__(self, system):
        self._system = system
        self.entries = []

    async def call(self, method, path, body=None, as_operator=False, **headers):
        call = self._system.call_as_operator if as_operator else self._system.call
        response = await call(method, path, body, **headers)
        headers = {
            name: response.headers[name]
            for name in RECORDED_HEADERS
            if name in response.headers
        }
        self.entries.append(
            {
                "call": f"{method} {path}",
                "status": response.status,
                "headers": redact(headers),
                "body": redact(response.content),
            }
        )
        return response

    def note(self, text):
        self.entries.append(text)


async def wait_for_state(system, job_id, *states):
    """Wait until a job reaches one of the states; fail if it ends in another."""
    while True:
        response = await system.call(
            "GET", f"/v1/jobs/{job_id}?wait_s=5", X_Client_Account="acme"
        )
        if response.content["state"] in states:
            return
        assert response.content["state"] not in FINAL_STATES, response.content


async def send_request(transcript, echo, **headers):
    return await transcript.call(
        "POST",
        "/v1/services/inspect/requests",
        {"echo": echo},
        **{"X_Client_Account": "acme", **headers},
    )


async def write_records(transcript):
    body = {"operation_id": "setup", "records": deployment.RECORDS}
    apply_path = "/v1/records/apply"
    preview = {**body, "dry_run": True}
    await transcript.call(
        "POST", apply_path, preview, as_operator=True, X_Operator="alice"
    )
    await transcript.call(
        "POST", apply_path, body, as_operator=True, X_Operator="alice"
    )
    transcript.note("the same operation again")
    await transcript.call(
        "POST", apply_path, body, as_operator=True, X_Operator="alice"
    )
    transcript.note("a writer that has seen an old version")
    stale = {**body, "operation_id": "stale", "records": deployment.RECORDS[:1]}
    await transcript.call("POST", apply_path, stale, as_operator=True, X_Operator="bob")
    transcript.note(
        "schema 2 sets a weight, schema 1 writes the record without losing it"
    )
    for number, change in enumerate(
        (
            {"schema": 2, "replaces": 1, "spec": {"home": "default", "weight": 3}},
            {"schema": 1, "replaces": 2, "spec": {"home": "default"}},
        )
    ):
        record = {"kind": "client_account", "name": "zeta", **change}
        body = {"operation_id": f"weight-{number}", "records": [record]}
        await transcript.call(
            "POST", apply_path, body, as_operator=True, X_Operator="alice"
        )
    for schema in (1, 2):
        path = f"/v1/records/client_account/zeta?schema={schema}"
        await transcript.call("GET", path, as_operator=True)


async def send_requests(transcript, system):
    while (await system.call(  # The runner may not be announced yet.
        "POST", "/v1/services/inspect/requests", {}, X_Client_Account="acme"
    )).status != 200:  # fmt: skip
        pass
    transcript.note("repeatable")
    await send_request(transcript, "first")
    order_headers = {"X_Non_Repeatable": "true", "Idempotency_Key": "order-1"}
    transcript.note("non-repeatable, twice, then with another payload")
    await send_request(transcript, "order", **order_headers)
    await send_request(transcript, "order", **order_headers)
    await send_request(transcript, "other", **order_headers)
    transcript.note(f"runs of order-1: {system.count_runs('order-1')}")
    transcript.note("refusals")
    await send_request(transcript, "x", X_Non_Repeatable="true")
    await send_request(transcript, "x", X_Client_Account="nobody", **order_headers)
    await transcript.call(
        "POST",
        "/v1/services/none/requests",
        {},
        X_Client_Account="acme",
        **order_headers,
    )
    await transcript.call(
        "POST", "/v1/services/none/requests", {}, X_Client_Account="acme"
    )
    await send_request(transcript, "x" * (1024 * 1024))
    wrong_token = {"Authorization": "Bearer wrong-token"}
    await transcript.call("GET", "/v1/status", **wrong_token)
    await transcript.call("POST", "/v1/targets/announce", {}, **wrong_token)
    await transcript.call("POST", "/v1/workers/announce", {}, **wrong_token)


async def run_jobs(transcript, system):
    account = {"X_Client_Account": "acme"}
    spec = {"contract": "acme-2090", "shape": JOB_SHAPE, "payload": '{"run_s": 0.2}'}
    key = {"Idempotency_Key": "job-1"}
    first = await transcript.call("POST", "/v1/jobs", spec, **account, **key)
    transcript.note("the same key again")
    repeated = await system.call("POST", "/v1/jobs", spec, **account, **key)
    assert repeated.content["job_id"] == first.content["job_id"]
    await wait_for_state(system, first.content["job_id"], "done")
    await transcript.call("GET", f"/v1/jobs/{first.content['job_id']}", **account)
    transcript.note("cancelled while it runs, twice")
    spec["payload"] = '{"run_s": 3600}'
    second = await system.call("POST", "/v1/jobs", spec, **account)
    path = f"/v1/jobs/{second.content['job_id']}"
    await wait_for_state(system, second.content["job_id"], "running")
    await transcript.call("DELETE", path, **account)
    await wait_for_state(system, second.content["job_id"], "cancelled")
    await transcript.call("DELETE", path, **account)
    transcript.note("refusals")
    await transcript.call("GET", path, X_Client_Account="zeta")
    await transcript.call("POST", "/v1/jobs", {**spec, "contract": "none"}, **account)
    await transcript.call("POST", "/v1/jobs", {**spec, "shape": {}}, **account)
    oversized_shape = {"tasks": 257, "each": {"accelerators": 8}}
    await transcript.call(
        "POST", "/v1/jobs", {**spec, "shape": oversized_shape}, **account
    )
    await transcript.call("POST", "/v1/jobs", {**spec, "priority": 1}, **account)
    await transcript.call("GET", "/v1/jobs/job-default-99", **account)


async def leave_job_running(system):
    spec = {"contract": "acme-2090", "shape": JOB_SHAPE, "payload": '{"run_s": 1}'}
    job = await system.call("POST", "/v1/jobs", spec, X_Client_Account="acme")
    await wait_for_state(system, job.content["job_id"], "running")
    return job.content["job_id"]


async def check_after_restart(transcript, system):
    account = {"X_Client_Account": "acme"}
    await transcript.call("GET", "/v1/records", as_operator=True)
    # The job that ran at the restart is left out: its state varies between runs.
    await transcript.call("GET", "/v1/jobs/job-default-1", **account)
    await transcript.call("GET", "/v1/jobs/job-default-2", **account)
    listed = await system.call("GET", "/v1/jobs", **account)
    transcript.note([item["job_id"] for item in listed.content["jobs"]])
    order_headers = {"X_Non_Repeatable": "true", "Idempotency_Key": "order-1"}
    await send_request(transcript, "order", **order_headers)
    transcript.note(f"runs of order-1: {system.count_runs('order-1')}")
    body = {"operation_id": "setup", "records": deployment.RECORDS}
    await transcript.call(
        "POST", "/v1/records/apply", body, as_operator=True, X_Operator="alice"
    )


async def test_session_is_as_recorded_and_survives_a_restart(tmp_path, snapshot):
    async with deployment.Deployment(tmp_path) as system:
        transcript = Transcript(system)
        await write_records(transcript)
        await system.start_targets()
        await send_requests(transcript, system)
        await run_jobs(transcript, system)
        job_id = await leave_job_running(system)
        assert await system.stop_instance()
        transcript.note("restart on the same folder")
        await system.start_instance()
        await check_after_restart(transcript, system)
        await wait_for_state(system, job_id, "done")
        transcript.note("the job that ran at the restart is done")
    assert transcript.entries == snapshot
