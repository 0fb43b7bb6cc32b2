"""Tests of the operators' interface: refusals, races, dry run and long polls."""

import asyncio

import pytest
from aiohttp import test_utils, web

from marjoramusher.core import clock, errors
from marjoramusher.groups import local
from marjoramusher.http import errors as http_errors
from marjoramusher.operators import routes, watch
from marjoramusher.records import machine
from marjoramusher.telemetry import metrics

TOKEN = b"operator-token-0123456789"
HEADERS = {"Authorization": f"Bearer {TOKEN.decode()}", "X-Operator": "alice"}
ACCOUNT = {
    "kind": "client_account",
    "name": "acme",
    "replaces": 0,
    "spec": {"home": "a1"},
}


class Server:
    """The operators' interface of an instance with a single-member group."""

    def __init__(self):
        self.records = machine.RecordsMachine()
        self.group = local.LocalGroup("records", self.records)
        self.counters = metrics.Metrics()
        self.watcher = watch.RevisionWatcher(self.group, self.records)
        self.failure = None
        self.not_ready = ""
        self.recovered = []

    async def propose(self, data, timeout_s):
        if self.failure is not None:
            raise self.failure
        return await self.group.propose(data, timeout_s)

    async def recover(self, name):
        self.recovered.append(name)
        return {"group": name}

    def application(self):
        app = web.Application(middlewares=[http_errors.make_middleware(self.counters)])
        app.add_routes(
            routes.make_routes(
                self.group,
                self.records,
                TOKEN,
                self.counters,
                clock.ManualClock(),
                failure_domains=lambda: {"a1", "a2"},
                status_sections=lambda: {"groups": [{"name": "records"}]},
                not_ready_reason=lambda: self.not_ready,
                recover=self.recover,
                propose=self.propose,
                revision_watcher=self.watcher,
            )
        )
        return app


@pytest.fixture
async def server():
    return Server()


@pytest.fixture
async def client(server):
    async with test_utils.TestClient(
        test_utils.TestServer(server.application()), headers=HEADERS
    ) as test_client:
        yield test_client


async def apply(client, *records, operation_id="op", **fields):
    async with client.post(
        "/v1/records/apply",
        json={"operation_id": operation_id, "records": records, **fields},
    ) as response:
        return response.status, await response.json()


async def get(client, path, **headers):
    async with client.get(path, headers=headers) as response:
        return response.status, await response.json(), response.headers.get("ETag")


VALID_CHANGE = {"operation_id": "x", "records": [ACCOUNT]}
REFUSALS = {
    "no operation id": ("POST", "/v1/records/apply", {"records": []}, 400),
    "operation id with space": (
        "POST",
        "/v1/records/apply",
        VALID_CHANGE | {"operation_id": "a b"},
        400,
    ),
    "unknown field": ("POST", "/v1/records/apply", VALID_CHANGE | {"force": True}, 400),
    "unknown query": ("POST", "/v1/records/apply?force=1", VALID_CHANGE, 400),
    "records not a list": (
        "POST",
        "/v1/records/apply",
        VALID_CHANGE | {"records": {}},
        400,
    ),
    "no records": ("POST", "/v1/records/apply", VALID_CHANGE | {"records": []}, 422),
    "faulty record": (
        "POST",
        "/v1/records/apply",
        VALID_CHANGE | {"records": [1]},
        422,
    ),
    "faulty record in dry run": (
        "POST",
        "/v1/records/apply",
        VALID_CHANGE | {"records": [1], "dry_run": True},
        422,
    ),
    "too large": ("POST", "/v1/records/apply", {"x": "y" * 1_100_000}, 413),
    "rollback to the future": (
        "POST",
        "/v1/records/rollback",
        {"operation_id": "x", "to_revision": 5, "replaces_revision": 0},
        404,
    ),
    "stale rollback": (
        "POST",
        "/v1/records/rollback",
        {"operation_id": "x", "to_revision": 0, "replaces_revision": 3},
        409,
    ),
    "negative revision": (
        "POST",
        "/v1/records/rollback",
        {"operation_id": "x", "to_revision": -1, "replaces_revision": 0},
        400,
    ),
    "unknown kind": ("GET", "/v1/records/pets/x", None, 404),
    "unknown record": ("GET", "/v1/records/client_account/x", None, 404),
    "unknown history": ("GET", "/v1/records/client_account/x/history", None, 404),
    "unknown schema": ("GET", "/v1/records?schema=3", None, 400),
    "revision not retained": ("GET", "/v1/records?revision=7", None, 404),
    "diff without from": ("GET", "/v1/records/diff", None, 400),
    "diff beyond": ("GET", "/v1/records/diff?from=0&to=9", None, 404),
    "recovery without consent": (
        "POST",
        "/v1/groups/records/recover",
        {"accept_loss": False},
        400,
    ),
}


@pytest.mark.parametrize("name", REFUSALS)
async def test_refusal_is_coded_and_changes_nothing(client, server, name):
    method, path, content, status = REFUSALS[name]
    async with client.request(method, path, json=content) as response:
        error = (await response.json())["error"]
        assert response.status == status, error
    assert error["outcome"] == "not_run"
    assert server.records.revision == 0
    assert server.recovered == []


async def test_every_guarded_route_refuses_without_token(server):
    app = server.application()
    open_paths = set()
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        for route in app.router.routes():
            if route.method == "HEAD":
                continue
            path = route.resource.canonical.format(kind="drain", name="x", group="g")
            headers = {"Authorization": "Bearer wrong"}
            async with client.request(route.method, path, headers=headers) as response:
                if response.status != 401:
                    open_paths.add(path)
                assert TOKEN not in await response.read()
    assert open_paths == {"/health", "/ready"}
    assert server.counters.counter("unauthorized", realm="operator") == 10


async def test_change_is_readable_with_its_version_and_operator(client):
    status, applied = await apply(client, ACCOUNT)
    assert (status, applied["revision"]) == (200, 1)
    status, found, _ = await get(client, "/v1/records/client_account/acme")
    assert (found["version"], found["operator"]) == (1, "alice")
    status, history, _ = await get(client, "/v1/records/client_account/acme/history")
    assert [v["version"] for v in history["versions"]] == [1]


async def test_dry_run_tells_the_difference_and_writes_nothing(client, server):
    status, preview = await apply(client, ACCOUNT, dry_run=True)
    assert status == 200
    assert [d["action"] for d in preview["differences"]] == ["create"]
    assert server.records.revision == 0
    # A dry run must not use up its operation id.
    assert (await apply(client, ACCOUNT))[0] == 200


async def test_conflict_carries_the_current_record(client):
    await apply(client, ACCOUNT)
    status, content = await apply(client, ACCOUNT, operation_id="other")
    assert status == 409
    assert '"version":1' in content["error"]["details"]["current"]


@pytest.mark.parametrize("outcome", ["not_run", "unknown"])
async def test_lost_quorum_is_told_with_its_outcome(client, server, outcome):
    server.failure = errors.NoQuorumError("no majority", errors.Outcome(outcome))
    status, content = await apply(client, ACCOUNT)
    assert status == 503
    assert content["error"]["code"] == "no_quorum"
    assert content["error"]["outcome"] == outcome


async def test_unchanged_state_is_not_sent_again(client):
    await apply(client, ACCOUNT)
    for path in ("/v1/records", "/v1/records/client_account/acme"):
        _, _, etag = await get(client, path)
        async with client.get(path, headers={"If-None-Match": etag}) as response:
            assert response.status == 304
    await apply(client, {**ACCOUNT, "name": "b"}, operation_id="2")
    async with client.get("/v1/records", headers={"If-None-Match": '"1"'}) as response:
        assert response.status == 200


async def test_long_poll_answers_when_the_revision_is_reached(client, server):
    long_poll = asyncio.ensure_future(get(client, "/v1/records?since=0&wait_s=30"))
    while not server.watcher.waiter_count:
        await asyncio.sleep(0)
    await apply(client, ACCOUNT)
    _, content, _ = await long_poll
    assert (content["revision"], content["complete"]) == (1, False)
    assert [r["name"] for r in content["records"]] == ["acme"]


async def test_long_poll_gives_only_what_has_changed(client):
    await apply(client, ACCOUNT, {**ACCOUNT, "name": "b"})
    deletion = {"kind": "client_account", "name": "b", "replaces": 1, "delete": True}
    await apply(client, deletion, operation_id="2")
    _, content, _ = await get(client, "/v1/records?since=1")
    assert [(r["name"], "spec" in r) for r in content["records"]] == [("b", False)]
    _, unreached, _ = await get(client, "/v1/records?since=9&wait_s=0.01")
    assert (unreached["revision"], unreached["records"]) == (2, [])


async def test_long_polls_are_bounded(client, server, monkeypatch):
    monkeypatch.setattr(watch, "MAX_WAITERS", 1)
    long_poll = asyncio.ensure_future(get(client, "/v1/records?since=0&wait_s=30"))
    while not server.watcher.waiter_count:
        await asyncio.sleep(0)
    status, content, _ = await get(client, "/v1/records?since=0&wait_s=30")
    assert (status, content["error"]["code"]) == (429, "overloaded")
    # A graceful shutdown closes the watcher and must not wait for the long poll.
    server.watcher.close()
    assert (await long_poll)[1]["records"] == []


async def test_rollback_restores_the_earlier_records(client, server):
    await apply(client, ACCOUNT)
    changed = {**ACCOUNT, "replaces": 1, "spec": {"home": "a1", "weight": 7}}
    await apply(client, changed, operation_id="2")
    rollback = {"operation_id": "3", "to_revision": 1, "replaces_revision": 2}
    async with client.post("/v1/records/rollback", json=rollback) as response:
        assert (await response.json())["revision"] == 3
    assert server.records.configuration.accounts["acme"].weight == 1
    _, content, _ = await get(client, "/v1/records/diff?from=2")
    assert content["differences"][0]["fields"] == ["weight"]


async def test_readiness_follows_its_reason(client, server):
    assert (await get(client, "/ready"))[0] == 200
    server.not_ready = "behind revision 9"
    status, content, _ = await get(client, "/ready")
    assert (status, content["reason"]) == (503, "behind revision 9")
    assert (await get(client, "/health"))[0] == 200
    _, content, _ = await get(client, "/v1/status")
    assert content["not_ready"] == "behind revision 9"
    assert content["groups"] == [{"name": "records"}]


async def test_metrics_and_recovery_are_served(client, server):
    server.counters.increment("requests", account="acme")
    async with client.get("/metrics") as response:
        assert 'marjoramusher_requests_total{account="acme"} 1' in await response.text()
    _, content, _ = await get(client, "/v1/metrics")
    assert content["counters"][0]["value"] == 1
    recovery = {"accept_loss": True}
    async with client.post("/v1/groups/domain:a1/recover", json=recovery) as response:
        assert response.status == 200
    assert server.recovered == ["domain:a1"]
