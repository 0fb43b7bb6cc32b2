"""Guards a whole session of one instance, and that a restart keeps what it accepted."""

import json
import re

from . import deployment

FINAL = ("done", "failed", "cancelled")
VOLATILE = {
    "at",
    "boot",
    "cluster_id",
    "ended_at",
    "incarnation",
    "started_at",
    "submitted_at",
    "written_at",
}
SHOWN_HEADERS = (
    "Content-Type",
    "ETag",
    "Idempotency-Replayed",
    "Location",
)
PATTERNS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "127.0.0.1:<port>"),
    (re.compile(r"instance-1-\d+-\d+"), "<request id>"),
)
SHAPE = {"tasks": 2, "each": {"accelerators": 4}, "adjacency": "rack"}


def redact(value):
    if isinstance(value, dict):
        return {
            name: f"<{name}>" if name in VOLATILE else redact(part)
            for name, part in value.items()
        }
    if isinstance(value, list):
        return [redact(part) for part in value]
    if isinstance(value, str):
        if value.startswith("[{"):  # Details of an error carry JSON in a string.
            return redact(json.loads(value))
        for pattern, text in PATTERNS:
            value = pattern.sub(text, value)
    return value


class Transcript:
    """What was asked and answered, without what differs between runs."""

    def __init__(self, running):
        self._running = running
        self.entries = []

    async def call(self, method, path, body=None, operator=False, **headers):
        ask = self._running.operate if operator else self._running.call
        answer = await ask(method, path, body, **headers)
        headers = {n: answer.headers[n] for n in SHOWN_HEADERS if n in answer.headers}
        self.entries.append(
            {
                "call": f"{method} {path}",
                "status": answer.status,
                "headers": redact(headers),
                "body": redact(answer.value),
            }
        )
        return answer

    def note(self, text):
        self.entries.append(text)


async def reach(running, job_id, *states):
    """Wait until a job is in one of the states."""
    while True:
        answer = await running.call(
            "GET", f"/v1/jobs/{job_id}?wait_s=5", X_Client_Account="acme"
        )
        if answer.value["state"] in states:
            return
        assert answer.value["state"] not in FINAL, answer.value


async def send(said, echo, **headers):
    return await said.call(
        "POST",
        "/v1/services/inspect/requests",
        {"echo": echo},
        **{"X_Client_Account": "acme", **headers},
    )


async def write_records(said):
    body = {"operation_id": "setup", "records": deployment.RECORDS}
    apply = "/v1/records/apply"
    preview = {**body, "dry_run": True}
    await said.call("POST", apply, preview, operator=True, X_Operator="alice")
    await said.call("POST", apply, body, operator=True, X_Operator="alice")
    said.note("the same operation again")
    await said.call("POST", apply, body, operator=True, X_Operator="alice")
    said.note("a writer that has seen an old version")
    stale = {**body, "operation_id": "stale", "records": deployment.RECORDS[:1]}
    await said.call("POST", apply, stale, operator=True, X_Operator="bob")
    said.note("schema 2 sets a weight, schema 1 writes the record without losing it")
    for number, change in enumerate(
        (
            {"schema": 2, "replaces": 1, "spec": {"home": "default", "weight": 3}},
            {"schema": 1, "replaces": 2, "spec": {"home": "default"}},
        )
    ):
        record = {"kind": "client_account", "name": "zeta", **change}
        body = {"operation_id": f"weight-{number}", "records": [record]}
        await said.call("POST", apply, body, operator=True, X_Operator="alice")
    for schema in (1, 2):
        path = f"/v1/records/client_account/zeta?schema={schema}"
        await said.call("GET", path, operator=True)


async def send_requests(said, running):
    while (await running.call(  # The first announcement is on its way.
        "POST", "/v1/services/inspect/requests", {}, X_Client_Account="acme"
    )).status != 200:  # fmt: skip
        pass
    said.note("repeatable")
    await send(said, "first")
    once = {"X_Non_Repeatable": "true", "Idempotency_Key": "order-1"}
    said.note("non-repeatable, twice, then with another payload")
    await send(said, "order", **once)
    await send(said, "order", **once)
    await send(said, "other", **once)
    said.note(f"runs of order-1: {running.runs('order-1')}")
    said.note("refusals")
    await send(said, "x", X_Non_Repeatable="true")
    await send(said, "x", X_Client_Account="nobody", **once)
    await said.call(
        "POST", "/v1/services/none/requests", {}, X_Client_Account="acme", **once
    )
    await said.call("POST", "/v1/services/none/requests", {}, X_Client_Account="acme")
    await send(said, "x" * (1024 * 1024))
    wrong = {"Authorization": "Bearer wrong-token"}
    await said.call("GET", "/v1/status", **wrong)
    await said.call("POST", "/v1/targets/announce", {}, **wrong)
    await said.call("POST", "/v1/workers/announce", {}, **wrong)


async def run_jobs(said, running):
    account = {"X_Client_Account": "acme"}
    spec = {"contract": "acme-2090", "shape": SHAPE, "payload": '{"run_s": 0.2}'}
    key = {"Idempotency_Key": "job-1"}
    first = await said.call("POST", "/v1/jobs", spec, **account, **key)
    said.note("the same key again")
    again = await running.call("POST", "/v1/jobs", spec, **account, **key)
    assert again.value["job_id"] == first.value["job_id"]
    await reach(running, first.value["job_id"], "done")
    await said.call("GET", f"/v1/jobs/{first.value['job_id']}", **account)
    said.note("cancelled while it runs, twice")
    spec["payload"] = '{"run_s": 3600}'
    second = await running.call("POST", "/v1/jobs", spec, **account)
    path = f"/v1/jobs/{second.value['job_id']}"
    await reach(running, second.value["job_id"], "running")
    await said.call("DELETE", path, **account)
    await reach(running, second.value["job_id"], "cancelled")
    await said.call("DELETE", path, **account)
    said.note("refusals")
    await said.call("GET", path, X_Client_Account="zeta")
    await said.call("POST", "/v1/jobs", {**spec, "contract": "none"}, **account)
    await said.call("POST", "/v1/jobs", {**spec, "shape": {}}, **account)
    huge = {"tasks": 257, "each": {"accelerators": 8}}
    await said.call("POST", "/v1/jobs", {**spec, "shape": huge}, **account)
    await said.call("POST", "/v1/jobs", {**spec, "priority": 1}, **account)
    await said.call("GET", "/v1/jobs/job-default-99", **account)


async def leave_job_running(running):
    spec = {"contract": "acme-2090", "shape": SHAPE, "payload": '{"run_s": 1}'}
    made = await running.call("POST", "/v1/jobs", spec, X_Client_Account="acme")
    await reach(running, made.value["job_id"], "running")
    return made.value["job_id"]


async def look_after_restart(said, running):
    account = {"X_Client_Account": "acme"}
    await said.call("GET", "/v1/records", operator=True)
    # Whether the job in progress has ended by now differs between runs.
    await said.call("GET", "/v1/jobs/job-default-1", **account)
    await said.call("GET", "/v1/jobs/job-default-2", **account)
    listed = await running.call("GET", "/v1/jobs", **account)
    said.note([item["job_id"] for item in listed.value["jobs"]])
    once = {"X_Non_Repeatable": "true", "Idempotency_Key": "order-1"}
    await send(said, "order", **once)
    said.note(f"runs of order-1: {running.runs('order-1')}")
    body = {"operation_id": "setup", "records": deployment.RECORDS}
    await said.call(
        "POST", "/v1/records/apply", body, operator=True, X_Operator="alice"
    )


async def test_session_is_as_recorded_and_survives_a_restart(tmp_path, snapshot):
    async with deployment.Deployment(tmp_path) as running:
        said = Transcript(running)
        await write_records(said)
        await running.start_targets()
        await send_requests(said, running)
        await run_jobs(said, running)
        job_id = await leave_job_running(running)
        assert await running.stop_instance()
        said.note("restart on the same folder")
        await running.start_instance()
        await look_after_restart(said, running)
        await reach(running, job_id, "done")
        said.note("the job that ran at the restart is done")
    assert said.entries == snapshot
