"""Guards requests against failures of runners, callers and the home of a key.

The tests run the handlers and the stand-in runners over loopback HTTP.
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
    """Request handling of one instance, with its runners."""

    def __init__(self):
        self.time = LoopClock()
        self.metrics = metrics.Metrics()
        self.machine = machine.ClaimsMachine()
        self.group = local.LocalGroup("domain:d1", self.machine)
        self.home_error = None
        self.proposed_homes = set()
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
        self.idempotency_keys = self.keys_for("d1")
        self.handlers = requests.RequestHandlers(
            self.engine,
            claims,
            self.idempotency_keys,
            lambda: CONFIGURATION,
            self.time,
            self.metrics,
            "i1-p1",
        )
        self.history = []
        self.request_ids = []

    def keys_for(self, domain):
        rng = random.Random(3)
        return keys.IdempotencyKeys(
            domain, b"secret", lambda: CONFIGURATION, self.time, rng
        )

    async def _propose(self, home, command):
        self.proposed_homes.add(home)
        if self.home_error is not None:
            raise self.home_error
        return await self.group.propose(command, 1.0)

    def on_announcement(self, announcement):
        self.server.announce(announcement)
        self.engine.announce(announcement)

    async def post(self, payload=None, **headers):
        body = json.dumps(payload or {}).encode()
        request_headers = {"X-Client-Account": "acme"}
        request_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
        url = "/v1/services/echo/requests"
        async with self.http.post(url, data=body, headers=request_headers) as response:
            self.request_ids.append(response.headers.get("X-Request-Id"))
            return response.status, await response.json(content_type=None)

    def run_events(self, event="started"):
        return [line for line in self.history if line["event"] == event]


@contextlib.asynccontextmanager
async def running_stack(runner_count=2, grants=True):
    stack = Stack()
    application = web.Application(
        middlewares=[http_errors.make_middleware(stack.metrics)]
    )
    application.add_routes(stack.handlers.routes())
    application.add_routes(stack.idempotency_keys.routes())
    handlers = announcing.TargetHandlers(
        "d1", stack.on_announcement, b"secret", stack.metrics
    )
    application.add_routes(handlers.routes())
    stack.engine.start()
    stack.server.lead("lead1", frozenset({"i1"}))
    async with contextlib.AsyncExitStack() as exit_stack:
        server = test_utils.TestServer(application)
        stack.http = await exit_stack.enter_async_context(test_utils.TestClient(server))
        stack.announce_url = str(server.make_url("/v1/targets/announce"))
        stack.runners = []
        for number in range(runner_count):
            runner = runners.Runner(
                f"r{number}", "", (stack.announce_url,), "echo", "d1", 2, "secret"
            )
            runner._note = lambda event, **fields: stack.history.append(
                {"event": event, **fields}
            )
            app_server = test_utils.TestServer(runner.application())
            await app_server.start_server()
            exit_stack.push_async_callback(app_server.close)
            runner.url = str(app_server.make_url("")).rstrip("/")
            stack.runners.append(runner)
            async with aiohttp.ClientSession() as session:
                await runner.announce(session)
        if grants:
            await stack.client.exchange()
        yield stack
        await stack.engine.stop()


async def test_issued_key_is_claimed_where_it_was_issued_and_runs_once():
    async with running_stack() as stack:
        (key,) = stack.keys_for("d2").issue(1).keys
        headers = NON_REPEATABLE | {"Idempotency_Key": key}
        answers = [await stack.post({"echo": "x"}, **headers) for _ in range(2)]
        assert [status for status, _ in answers] == [200, 200]
        assert stack.proposed_homes == {"d2"} and len(stack.run_events()) == 1


@pytest.mark.parametrize("change", ["x", "d9", "late"])
async def test_forged_or_expired_key_is_refused_before_a_claim(change):
    async with running_stack() as stack:
        (key,) = stack.keys_for("d2").issue(1).keys
        if change == "late":
            stack.time.advance(25 * 3600)
        else:
            key = key[:-1] + change if change == "x" else key.replace("d2", change)
        status, body = await stack.post(**NON_REPEATABLE | {"Idempotency_Key": key})
        assert (status, body["error"]["outcome"]) == (400, "not_run")
        assert not stack.proposed_homes and not stack.run_events()


@pytest.mark.parametrize(
    ("body", "status"), [({}, 201), ({"count": 100}, 201), ({"count": 101}, 400)]
)
async def test_number_of_issued_keys_is_bounded(body, status):
    async with running_stack() as stack:
        async with stack.http.post("/v1/idempotency-keys", json=body) as response:
            issued = await response.json()
        assert response.status == status
        if status == 201:
            assert len(set(issued["keys"])) == body.get("count", 1)


NON_REPEATABLE = {"X_Non_Repeatable": "true", "Idempotency_Key": "k1"}


async def test_request_reaches_a_runner_and_its_answer_the_caller():
    async with running_stack() as stack:
        status, body = await stack.post({"echo": "hello"})
        assert (status, body["echo"]) == (200, "hello")
        values = stack.metrics.snapshot()
        assert {h.name for h in values.histograms} >= {
            "request_wait",
            "request_completion",
        }


FAULTS = {
    # fault of the runner: (status and outcome if repeatable, and if not)
    "silent": ((200, None), (502, "unknown")),
    "cut": ((200, None), (502, "unknown")),
    "wrong_id": ((200, None), (502, "unknown")),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("is_non_repeatable", [False, True])
async def test_faulty_answer_is_tried_again_only_if_repeatable(
    fault, is_non_repeatable
):
    async with running_stack(2) as stack:
        for runner in stack.runners:
            runner._fault, runner._fault_count = fault, 1 if is_non_repeatable else 0
        stack.runners[0]._fault_count = 1
        headers = NON_REPEATABLE if is_non_repeatable else {}
        status, body = await stack.post({"echo": 1}, **headers)
        expected = FAULTS[fault][is_non_repeatable]
        assert (status, body.get("error", {}).get("outcome")) == expected
        if is_non_repeatable:
            assert len(stack.run_events()) == 1
            # A resend must not run the request again.
            status, body = await stack.post({"echo": 1}, **headers)
            assert body["error"]["code"] == "outcome_unknown"
            assert len(stack.run_events()) == 1


async def test_refused_slot_means_not_run_and_another_runner_is_tried():
    async with running_stack(2) as stack:
        stack.runners[0]._slots = 0
        stack.runners[1]._slots = 0
        status, body = await stack.post({}, **NON_REPEATABLE, X_Deadline_Ms="300")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.run_events()
        stack.runners[0]._slots = stack.runners[1]._slots = 2
        await asyncio.sleep(0.1)
        status, _ = await stack.post({}, **NON_REPEATABLE)
        assert status == 200


async def test_duplicates_get_the_recorded_answer_and_run_once():
    async with running_stack() as stack:
        duplicates = [
            stack.post({"run_ms": 50, "echo": 1}, **NON_REPEATABLE) for _ in range(5)
        ]
        results = await asyncio.gather(*duplicates)
        assert [status for status, _ in results] == [200] * 5
        assert len(stack.run_events()) == 1
        status, body = await stack.post({"echo": "other"}, **NON_REPEATABLE)
        assert (status, body["error"]["code"]) == (409, "key_reused")


async def test_duplicate_past_its_deadline_gets_unknown_outcome():
    async with running_stack() as stack:
        first = asyncio.create_task(stack.post({"run_ms": 250}, **NON_REPEATABLE))
        await asyncio.sleep(0.05)
        _, body = await stack.post(
            {"run_ms": 250}, **NON_REPEATABLE, X_Deadline_Ms="60"
        )
        assert body["error"] | {"message": ""} == {
            "code": "outcome_unknown",
            "outcome": "unknown",
            "message": "",
        }
        assert (await first)[0] == 200


async def test_unreachable_home_refuses_before_anything_is_sent():
    async with running_stack() as stack:
        stack.home_error = errors.NoQuorumError("cut off", errors.Outcome.UNKNOWN)
        status, body = await stack.post({}, **NON_REPEATABLE)
        assert (status, body["error"]["code"]) == (503, "home_unreachable")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.run_events()


async def test_full_home_refuses_before_anything_is_sent():
    async with running_stack() as stack:
        stack.machine._max_keys = 0
        status, body = await stack.post({}, **NON_REPEATABLE)
        assert (status, body["error"]["code"]) == (429, "overloaded")
        assert body["error"]["outcome"] == "not_run"
        assert not stack.run_events()


async def test_error_answers_carry_the_id_of_their_own_attempt():
    # Without the id, a caller can't tell which attempt an outcome of not run is for.
    async with running_stack(1) as stack:
        stack.runners[0]._slots = 0
        _, refused = await stack.post({}, **NON_REPEATABLE, X_Deadline_Ms="300")
        stack.runners[0]._slots = 2
        await asyncio.sleep(0.1)
        await stack.post({}, **NON_REPEATABLE)
        _, reused = await stack.post({"echo": "other"}, **NON_REPEATABLE)
        assert refused["error"]["outcome"] == reused["error"]["outcome"] == "not_run"
        assert None not in stack.request_ids
        assert len(set(stack.request_ids)) == 3
        assert [event["request_id"] for event in stack.run_events()] == [
            stack.request_ids[1]
        ]


async def test_claim_committed_after_its_timeout_does_not_block_the_resend():
    async with running_stack() as stack:
        propose = stack.group.propose

        async def lose_reply(command, timeout_s):
            await propose(command, timeout_s)
            raise errors.NoQuorumError("timed out", errors.Outcome.UNKNOWN)

        stack.group.propose = lose_reply
        assert (await stack.post({}, **NON_REPEATABLE))[0] == 503
        stack.group.propose = propose
        assert (await stack.post({}, **NON_REPEATABLE))[0] == 200
        assert len(stack.run_events()) == 1


@pytest.mark.parametrize("payload", [{"size": 200_000}, {"pieces": 3}])
async def test_cut_stream_breaks_the_callers_connection(payload):
    async with running_stack(1) as stack:
        with pytest.raises(aiohttp.ClientError):
            await stack.post({"fault": "cut", **payload})
        assert not stack.engine.in_progress_count


@pytest.mark.parametrize("is_non_repeatable", [False, True])
async def test_caller_that_goes_away_frees_its_slot(is_non_repeatable):
    headers = NON_REPEATABLE if is_non_repeatable else {}
    async with running_stack(1) as stack:
        payload = {"run_ms": 200, "size": 200_000, "pieces": 2}
        call = asyncio.create_task(stack.post(payload, **headers))
        while not stack.run_events():
            await asyncio.sleep(0.01)
        call.cancel()
        await stack.handlers.wait_idle()
        assert stack.engine.in_progress_count == 0
        assert stack.engine._routing.in_flight == 0
        if is_non_repeatable:
            _, body = await stack.post(payload, **headers)
            assert body["error"]["code"] in ("outcome_unknown", "answer_expired")
            assert len(stack.run_events()) == 1


async def test_large_answer_of_a_key_is_recorded_as_done():
    async with running_stack(1) as stack:
        status, _ = await stack.post({"size": 200_000, "pieces": 4}, **NON_REPEATABLE)
        assert status == 200
        status, body = await stack.post(
            {"size": 200_000, "pieces": 4}, **NON_REPEATABLE
        )
        assert (status, body["error"]["outcome"]) == (410, "done")


async def test_draining_refuses_new_requests_and_finishes_the_others():
    async with running_stack(1) as stack:
        first = asyncio.create_task(stack.post({"run_ms": 100}))
        await asyncio.sleep(0.03)
        stack.handlers.drain()
        status, body = await stack.post({})
        assert (status, body["error"]["code"]) == (503, "draining")
        await stack.handlers.wait_idle()
        assert (await first)[0] == 200


INVALID = {
    "no account": ({"X_Client_Account": ""}, "bad_request"),
    "strange account": ({"X_Client_Account": "nobody"}, "unknown_account"),
    "key missing": ({"X_Non_Repeatable": "true"}, "bad_request"),
    "bad flag": ({"X_Non_Repeatable": "yes"}, "bad_request"),
    "bad class": ({"X_Class": "huge"}, "bad_request"),
    "bad deadline": ({"X_Deadline_Ms": "soon"}, "bad_request"),
    "huge deadline": ({"X_Deadline_Ms": "9" * 30}, "bad_request"),
    "bad issue time": ({"Idempotency_Issued_At": "-5"}, "bad_request"),
}


@pytest.mark.parametrize("case", INVALID)
async def test_malformed_request_gets_a_coded_refusal(case):
    headers, code = INVALID[case]
    async with running_stack(1) as stack:
        _, body = await stack.post({}, **headers)
        assert (body["error"]["code"], body["error"]["outcome"]) == (code, "not_run")
        assert not stack.run_events()
