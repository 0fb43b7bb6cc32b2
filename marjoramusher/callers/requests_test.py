"""Guards the path of a request against faults of runners, callers and the home.

Each case runs real runners and handlers over loopback.
"""

import asyncio
import contextlib
import json
import random

import aiohttp
import pytest
from aiohttp import test_utils, web

from marjoramusher.callers import claiming, engine, keys, requests, slots
from marjoramusher.claims import machine
from marjoramusher.core import clock, errors, record
from marjoramusher.groups import local
from marjoramusher.http import errors as http_errors
from marjoramusher.routing import router
from marjoramusher.targets import announcing, dispatch
from marjoramusher.telemetry import metrics
from standins import runner as runners

CONFIGURATION = record.Configuration(
    revision=1,
    accounts={"acme": record.ClientAccount("acme", "d1")},
    services={"echo": record.Service("echo", progress_timeout_s=0.3)},
)


class LoopClock(clock.ManualClock):
    def monotonic(self):
        return asyncio.get_running_loop().time()


class Stack:
    """One instance with its runners."""

    def __init__(self):
        self.time = LoopClock()
        self.metrics = metrics.Metrics()
        self.machine = machine.ClaimsMachine()
        self.group = local.LocalGroup("domain:d1", self.machine)
        self.home_error = None
        self.proposed_to = set()
        self.answers = []
        routing = router.Router("i1", "p1", "d1", random.Random(1))
        self.engine = engine.Engine(
            routing, dispatch.HttpDispatcher(), self.time, self.metrics
        )
        self.engine.configure(CONFIGURATION)
        self.server = slots.SlotServer(self.time)
        self.client = slots.SlotClient(
            self.engine, lambda body: self.server.handle("i1", body)
        )
        claims = claiming.ClaimClient(self._propose, "i1", "p1", self.time)
        self.homes = self.keys_of("d1")
        self.handlers = requests.RequestHandlers(
            self.engine,
            claims,
            self.homes,
            lambda: CONFIGURATION,
            self.time,
            self.metrics,
            "i1-p1",
        )
        self.history = []
        self.request_ids = []

    def keys_of(self, domain):
        rng = random.Random(3)
        return keys.IdempotencyKeys(
            domain, b"secret", lambda: CONFIGURATION, self.time, rng
        )

    async def _propose(self, home, command):
        self.proposed_to.add(home)
        if self.home_error is not None:
            raise self.home_error
        return await self.group.propose(command, 1.0)

    def on_announcement(self, announced):
        self.server.announce(announced)
        self.engine.announce(announced)

    async def post(self, payload=None, **headers):
        body = json.dumps(payload or {}).encode()
        names = {"X-Client-Account": "acme"}
        names |= {k.replace("_", "-"): v for k, v in headers.items()}
        url = "/v1/services/echo/requests"
        async with self.http.post(url, data=body, headers=names) as response:
            self.request_ids.append(response.headers.get("X-Request-Id"))
            return response.status, await response.json(content_type=None)

    def runs(self, event="started"):
        return [line for line in self.history if line["event"] == event]


@contextlib.asynccontextmanager
async def running(runner_count=2, grants=True):
    stack = Stack()
    application = web.Application(
        middlewares=[http_errors.make_middleware(stack.metrics)]
    )
    application.add_routes(stack.handlers.routes())
    application.add_routes(stack.homes.routes())
    handlers = announcing.TargetHandlers(
        "d1", stack.on_announcement, b"secret", stack.metrics
    )
    application.add_routes(handlers.routes())
    stack.engine.start()
    stack.server.lead("lead1", frozenset({"i1"}))
    async with contextlib.AsyncExitStack() as opened:
        server = test_utils.TestServer(application)
        stack.http = await opened.enter_async_context(test_utils.TestClient(server))
        stack.announce_url = str(server.make_url("/v1/targets/announce"))
        stack.runners = []
        for number in range(runner_count):
            one = runners.Runner(
                f"r{number}", "", (stack.announce_url,), "echo", "d1", 2, "secret"
            )
            one._note = lambda event, **fields: stack.history.append(
                {"event": event, **fields}
            )
            app_server = test_utils.TestServer(one.application())
            await app_server.start_server()
            opened.push_async_callback(app_server.close)
            one.url = str(app_server.make_url("")).rstrip("/")
            stack.runners.append(one)
            async with aiohttp.ClientSession() as session:
                await one.announce(session)
        if grants:
            await stack.client.exchange()
        yield stack
        await stack.engine.stop()


async def test_issued_key_is_claimed_where_it_was_issued_and_runs_once():
    async with running() as stack:
        (key,) = stack.keys_of("d2").issue(1).keys
        once = ONCE | {"Idempotency_Key": key}
        responses = [await stack.post({"echo": "x"}, **once) for _ in range(2)]
        assert [status for status, _ in responses] == [200, 200]
        assert stack.proposed_to == {"d2"} and len(stack.runs()) == 1


@pytest.mark.parametrize("change", ["x", "d9", "late"])
async def test_forged_or_expired_key_is_refused_before_a_claim(change):
    async with running() as stack:
        (key,) = stack.keys_of("d2").issue(1).keys
        if change == "late":
            stack.time.advance(25 * 3600)
        else:
            key = key[:-1] + change if change == "x" else key.replace("d2", change)
        status, body = await stack.post(**ONCE | {"Idempotency_Key": key})
        assert (status, body["error"]["outcome"]) == (400, "not_run")
        assert not stack.proposed_to and not stack.runs()


@pytest.mark.parametrize(
    ("asked", "status"), [({}, 201), ({"count": 100}, 201), ({"count": 101}, 400)]
)
async def test_number_of_issued_keys_is_bounded(asked, status):
    async with running() as stack:
        async with stack.http.post("/v1/idempotency-keys", json=asked) as response:
            body = await response.json()
        assert response.status == status
        if status == 201:
            assert len(set(body["keys"])) == asked.get("count", 1)


ONCE = {"X_Non_Repeatable": "true", "Idempotency_Key": "k1"}


async def test_request_reaches_a_runner_and_its_answer_the_caller():
    async with running() as stack:
        status, body = await stack.post({"echo": "hello"})
        assert (status, body["echo"]) == (200, "hello")
        values = stack.metrics.snapshot()
        assert {h.name for h in values.histograms} >= {
            "request_wait",
            "request_completion",
        }


FAULTS = {
    # fault of the runner: (status and outcome if repeatable, if not)
    "silent": ((200, None), (502, "unknown")),
    "cut": ((200, None), (502, "unknown")),
    "wrong_id": ((200, None), (502, "unknown")),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("once", [False, True])
async def test_faulty_answer_is_tried_again_only_if_repeatable(fault, once):
    async with running(2) as stack:
        for one in stack.runners:
            one._fault, one._fault_count = fault, 1 if once else 0
        stack.runners[0]._fault_count = 1
        headers = ONCE if once else {}
        status, body = await stack.post({"echo": 1}, **headers)
        expected = FAULTS[fault][once]
        assert (status, body.get("error", {}).get("outcome")) == expected
        if once:
            assert len(stack.runs()) == 1
            # The resend must not run it either.
            status, body = await stack.post({"echo": 1}, **headers)
            assert body["error"]["code"] == "outcome_unknown"
            assert len(stack.runs()) == 1


async def test_refused_slot_means_not_run_and_another_runner_is_tried():
    async with running(2) as stack:
        stack.runners[0]._slots = 0
        stack.runners[1]._slots = 0
        status, body = await stack.post({}, **ONCE, X_Deadline_Ms="300")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.runs()
        stack.runners[0]._slots = stack.runners[1]._slots = 2
        await asyncio.sleep(0.1)
        status, _ = await stack.post({}, **ONCE)
        assert status == 200


async def test_duplicates_get_the_recorded_answer_and_run_once():
    async with running() as stack:
        calls = [stack.post({"run_ms": 50, "echo": 1}, **ONCE) for _ in range(5)]
        results = await asyncio.gather(*calls)
        assert [status for status, _ in results] == [200] * 5
        assert len(stack.runs()) == 1
        status, body = await stack.post({"echo": "other"}, **ONCE)
        assert (status, body["error"]["code"]) == (409, "key_reused")


async def test_duplicate_past_its_deadline_gets_unknown_outcome():
    async with running() as stack:
        first = asyncio.create_task(stack.post({"run_ms": 250}, **ONCE))
        await asyncio.sleep(0.05)
        _, body = await stack.post({"run_ms": 250}, **ONCE, X_Deadline_Ms="60")
        assert body["error"] | {"message": ""} == {
            "code": "outcome_unknown",
            "outcome": "unknown",
            "message": "",
        }
        assert (await first)[0] == 200


async def test_unreachable_home_refuses_before_anything_is_sent():
    async with running() as stack:
        stack.home_error = errors.NoQuorumError("cut off", errors.Outcome.UNKNOWN)
        status, body = await stack.post({}, **ONCE)
        assert (status, body["error"]["code"]) == (503, "home_unreachable")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.runs()


async def test_full_home_refuses_before_anything_is_sent():
    async with running() as stack:
        stack.machine._max_keys = 0
        status, body = await stack.post({}, **ONCE)
        assert (status, body["error"]["code"]) == (429, "overloaded")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.runs()


async def test_error_answers_carry_the_id_of_their_own_attempt():
    # A caller could not tell which attempt a "not run" is about.
    async with running(1) as stack:
        stack.runners[0]._slots = 0
        _, refused = await stack.post({}, **ONCE, X_Deadline_Ms="300")
        stack.runners[0]._slots = 2
        await asyncio.sleep(0.1)
        await stack.post({}, **ONCE)
        _, reused = await stack.post({"echo": "other"}, **ONCE)
        assert refused["error"]["outcome"] == reused["error"]["outcome"] == "not_run"
        assert None not in stack.request_ids
        assert len(set(stack.request_ids)) == 3
        assert [one["request_id"] for one in stack.runs()] == [stack.request_ids[1]]


async def test_claim_committed_after_its_timeout_does_not_block_the_resend():
    async with running() as stack:
        propose = stack.group.propose

        async def lose_answer(command, timeout_s):
            await propose(command, timeout_s)
            raise errors.NoQuorumError("timed out", errors.Outcome.UNKNOWN)

        stack.group.propose = lose_answer
        assert (await stack.post({}, **ONCE))[0] == 503
        stack.group.propose = propose
        assert (await stack.post({}, **ONCE))[0] == 200
        assert len(stack.runs()) == 1


@pytest.mark.parametrize("payload", [{"size": 200_000}, {"pieces": 3}])
async def test_cut_stream_breaks_the_callers_connection(payload):
    async with running(1) as stack:
        with pytest.raises(aiohttp.ClientError):
            await stack.post({"fault": "cut", **payload})
        assert not stack.engine.in_progress


@pytest.mark.parametrize("once", [False, True])
async def test_caller_that_goes_away_frees_its_slot(once):
    headers = ONCE if once else {}
    async with running(1) as stack:
        payload = {"run_ms": 200, "size": 200_000, "pieces": 2}
        call = asyncio.create_task(stack.post(payload, **headers))
        while not stack.runs():
            await asyncio.sleep(0.01)
        call.cancel()
        await stack.handlers.wait_idle()
        assert stack.engine.in_progress == 0
        assert stack.engine._routing.in_flight == 0
        if once:
            _, body = await stack.post(payload, **headers)
            assert body["error"]["code"] in ("outcome_unknown", "answer_expired")
            assert len(stack.runs()) == 1


async def test_large_answer_of_a_key_is_recorded_as_done():
    async with running(1) as stack:
        status, _ = await stack.post({"size": 200_000, "pieces": 4}, **ONCE)
        assert status == 200
        status, body = await stack.post({"size": 200_000, "pieces": 4}, **ONCE)
        assert (status, body["error"]["outcome"]) == (410, "done")


async def test_draining_refuses_new_requests_and_finishes_the_others():
    async with running(1) as stack:
        first = asyncio.create_task(stack.post({"run_ms": 100}))
        await asyncio.sleep(0.03)
        stack.handlers.drain()
        status, body = await stack.post({})
        assert (status, body["error"]["code"]) == (503, "draining")
        await stack.handlers.wait_idle()
        assert (await first)[0] == 200


BAD = {
    "no account": ({"X_Client_Account": ""}, "bad_request"),
    "strange account": ({"X_Client_Account": "nobody"}, "unknown_account"),
    "key missing": ({"X_Non_Repeatable": "true"}, "bad_request"),
    "bad flag": ({"X_Non_Repeatable": "yes"}, "bad_request"),
    "bad class": ({"X_Class": "huge"}, "bad_request"),
    "bad deadline": ({"X_Deadline_Ms": "soon"}, "bad_request"),
    "huge deadline": ({"X_Deadline_Ms": "9" * 30}, "bad_request"),
    "bad issue time": ({"Idempotency_Issued_At": "-5"}, "bad_request"),
}


@pytest.mark.parametrize("case", BAD)
async def test_malformed_request_gets_a_coded_refusal(case):
    headers, code = BAD[case]
    async with running(1) as stack:
        _, body = await stack.post({}, **headers)
        assert (body["error"]["code"], body["error"]["outcome"]) == (code, "not_run")
        assert not stack.runs()
