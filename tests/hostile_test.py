"""Guards that bad input to any interface gets a coded error and does no harm."""

import asyncio
import contextlib
import json

import pytest

from . import deployment

KB, MB = 1024, 1024 * 1024
OPERATOR = {"Authorization": f"Bearer {deployment.OPERATOR_TOKEN}"}
INSTANCE = {"Authorization": f"Bearer {deployment.INSTANCE_TOKEN}"}
CALLER = {"X-Client-Account": "acme"}

TARGET = {
    "id": "runner-9",
    "url": "http://127.0.0.1:9",
    "failure_domain": deployment.DOMAIN,
    "service": "unused",
    "incarnation": 1,
}
WORKER = {
    "id": "worker-9",
    "url": "http://127.0.0.1:9",
    "failure_domain": deployment.DOMAIN,
    "rack": "rack-9",
    "incarnation": 1,
    "capacity": {},
}
TASK = {"task_id": "t", "epoch": 1, "state": "running"}
JOB = {"contract": "acme-2090", "shape": {"each": {"accelerators": 1}}}
CHANGE = {"operation_id": "hostile", "records": deployment.RECORDS[:1]}
ROLLBACK = {"operation_id": "hostile", "to_revision": 0, "replaces_revision": 1}

# Method, path, headers, a good body and the limit of its size. None of the good
# bodies is sent here but for its bad variants.
BODIES = {
    "apply": ("POST", "/v1/records/apply", OPERATOR, CHANGE, MB),
    "rollback": ("POST", "/v1/records/rollback", OPERATOR, ROLLBACK, MB),
    "recover": (
        "POST",
        "/v1/groups/records/recover",
        OPERATOR,
        {"accept_loss": False},
        MB,
    ),
    "target": ("POST", "/v1/targets/announce", INSTANCE, TARGET, 64 * KB),
    "worker": ("POST", "/v1/workers/announce", INSTANCE, WORKER, 64 * KB),
    "job": ("POST", "/v1/jobs", CALLER, JOB, MB),
    "cut": ("POST", "/test/cut", {}, {"instances": []}, MB),
}


def _text(value):
    return json.dumps(value).encode()


def _spoiled(good, limit):
    whole = _text(good)
    yield "empty", b"", 400
    yield "truncated", whole[:-1], 400
    yield "not an object", b"[1]", 400
    yield "null", b"null", 400
    yield "unknown field", _text({**good, "surprise": 1}), 400
    yield "field missing", _text(dict(list(good.items())[1:])), 400
    yield "two values", whole + b"{}", 400
    yield "not UTF-8", whole[:-1] + b',"\xff":1}', 400
    yield "not UTF-8 in a value", b'{"id": "\xc3\x28"}', 400
    yield "lone surrogate", b'{"id": "\\ud800"}', 400
    yield "not a number", b'{"incarnation": NaN}', 400
    yield "deep list", b"[" * 100_000 if limit == MB else b"[" * 30_000, 400
    yield "deep object", b'{"a":' * 10_000 + b"1" + b"}" * 10_000, 400
    yield "too large", whole + b" " * limit, 413
    for field, value in good.items():
        wrong = [] if not isinstance(value, list) else {}
        yield f"wrong type of {field}", _text({**good, field: wrong}), 400
        yield f"null for {field}", _text({**good, field: None}), 400


CASES = {
    f"{name}: {what}": (method, path, headers, body, status)
    for name, (method, path, headers, good, limit) in BODIES.items()
    for what, body, status in _spoiled(good, limit)
}

RUN = "/v1/services/inspect/requests"


def _target(**fields):
    return "POST", "/v1/targets/announce", INSTANCE, _text({**TARGET, **fields}), 400


def _worker(**fields):
    return "POST", "/v1/workers/announce", INSTANCE, _text({**WORKER, **fields}), 400


def _job(status=400, **fields):
    return "POST", "/v1/jobs", CALLER, _text({**JOB, **fields}), status


def _record(**fields):
    record = {**deployment.RECORDS[0], "name": "new", **fields}
    operation = "-".join(["hostile", *fields])  # A used id gets its first answer.
    body = _text({"operation_id": operation, "records": [record]})
    return "POST", "/v1/records/apply", OPERATOR, body, 422


def _request(status=400, body=b"{}", **headers):
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return "POST", RUN, {**CALLER, **named}, body, status


CASES.update(
    {
        "target: of another domain": _target(failure_domain="elsewhere"),
        "target: no address": _target(url="file:///etc/passwd"),
        "target: no slots": _target(slots=0),
        "target: too many slots": _target(slots=10**9),
        "target: negative incarnation": _target(incarnation=-1),
        "target: huge incarnation": _target(incarnation=2**70),
        "target: endless ttl": _target(ttl_s=1e300),
        "target: control characters": _target(id="a\nb"),
        "target: unknown state": _target(state="dancing"),
        "target: url without host": _target(url="http://"),
        "target: url with bad port": _target(url="http://127.0.0.1:99999"),
        "worker: of another domain": _worker(failure_domain="elsewhere"),
        "worker: no address": _worker(url="ftp://127.0.0.1"),
        "worker: negative capacity": _worker(capacity={"cores": -1}),
        "worker: huge capacity": _worker(capacity={"cores": 2**40}),
        "worker: unknown resource": _worker(capacity={"gpus": 8}),
        "worker: task twice": _worker(tasks=[TASK, TASK]),
        "worker: unknown task field": _worker(tasks=[{**TASK, "x": 1}]),
        "worker: negative epoch": _worker(tasks=[{**TASK, "epoch": -1}]),
        "job: no account": ("POST", "/v1/jobs", {}, _text(JOB), 400),
        "job: unknown account": (
            "POST",
            "/v1/jobs",
            {"X-Client-Account": "nobody"},
            _text(JOB),
            404,
        ),
        "job: misspelt shape": _job(shape={"tasks": 1, "adjacancy": "rack"}),
        "job: misspelt resource": _job(shape={"each": {"accelerator": 1}}),
        "job: negative tasks": _job(shape={"tasks": -1}),
        "job: huge amount": _job(shape={"each": {"memory_mb": 2**60}}),
        "job: endless run time": _job(run_s=1e300),
        "job: unknown class": _job(job_class="royal"),
        "job: payload too large": _job(413, payload="x" * 65 * KB),
        "job: malformed id": ("GET", "/v1/jobs/%00", CALLER, None, 400),
        "job: endless wait": ("GET", "/v1/jobs/job-a-1?wait_s=inf", CALLER, None, 400),
        "job: bad limit": ("GET", "/v1/jobs?limit=-1", CALLER, None, 400),
        "job: unknown query": ("GET", "/v1/jobs?all=1", CALLER, None, 400),
        "job: id of another kind": ("DELETE", "/v1/jobs/x", CALLER, None, 404),
        # The domain may exist and be cut off, so "not found" might not be true.
        "job: id of unknown domain": ("GET", "/v1/jobs/job-x-1", CALLER, None, 503),
        "record: unknown kind": _record(kind="pet"),
        "record: bad name": _record(name="../x"),
        "record: unknown schema": _record(schema=3),
        "record: unknown field": _record(spec={"home": "default", "x": 1}, schema=1),
        "record: unknown home": _record(spec={"home": "elsewhere"}),
        "record: negative version": _record(replaces=-1),
        "request: no account": ("POST", RUN, {}, b"", 400),
        "request: unknown account": _request(404, X_Client_Account="nobody"),
        "request: long account": _request(X_Client_Account="a" * 300),
        "request: bad class": _request(X_Class="medium"),
        "request: bad flag": _request(X_Non_Repeatable="yes"),
        "request: no key": _request(X_Non_Repeatable="true"),
        "request: bad deadline": _request(X_Deadline_Ms="-5"),
        "request: endless deadline": _request(X_Deadline_Ms="9" * 30),
        "request: digits of another script": _request(X_Deadline_Ms="\u0665"),
        "request: bad issue time": _request(Idempotency_Issued_At="now"),
        "request: compressed": _request(Content_Encoding="gzip"),
        "request: too large": _request(413, b"x" * (MB + 1)),
        "unknown path": ("GET", "/v2/jobs", CALLER, None, 404),
        "wrong method": ("PUT", "/v1/jobs", CALLER, b"{}", 405),
        "unknown query": ("GET", "/v1/status?verbose=1", OPERATOR, None, 400),
        "unknown group": (
            "POST",
            "/v1/groups/none/recover",
            OPERATOR,
            b'{"accept_loss": true}',
            404,
        ),
        "group of no member": (
            "POST",
            "/v1/groups/domain:x/recover",
            OPERATOR,
            b'{"accept_loss": true}',
            404,
        ),
    }
)

OPERATORS_PATHS = (
    ("POST", "/v1/records/apply"),
    ("POST", "/v1/records/rollback"),
    ("GET", "/v1/records"),
    ("GET", "/v1/records/diff?from=0"),
    ("GET", "/v1/records/client_account/acme"),
    ("GET", "/v1/records/client_account/acme/history"),
    ("GET", "/v1/status"),
    ("GET", "/v1/metrics"),
    ("GET", "/metrics"),
    ("POST", "/v1/groups/records/recover"),
)
TOKENS = {
    "missing": {},
    "wrong": {"Authorization": "Bearer wrong"},
    "empty": {"Authorization": "Bearer "},
    "of another scheme": {"Authorization": f"Basic {deployment.OPERATOR_TOKEN}"},
    "longer": {"Authorization": f"Bearer {deployment.OPERATOR_TOKEN}x"},
    "for instances": INSTANCE,
}

# Heads and bodies that an HTTP client refuses to send.
RAW = {
    "no HTTP": b"\x00\xff\x16\x03\x01 hello\r\n\r\n",
    "line too long": b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    "header too long": b"GET /ready HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 20_000
    + b"\r\n\r\n",
    "two lengths": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nX-Client-Account: acme\r\n"
    b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    "bad length": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nX-Client-Account: acme\r\n"
    b"Content-Length: -1\r\n\r\n{}",
    "account not UTF-8": b"GET /v1/jobs HTTP/1.1\r\nHost: a\r\n"
    b"X-Client-Account: a\xff\r\n\r\n",
    "bad chunk": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nX-Client-Account: acme\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n",
}  # fmt: skip


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Run one instance for all cases, in the loop that the cases use."""
    loop = asyncio.new_event_loop()
    made = deployment.Deployment(tmp_path_factory.mktemp("hostile"))
    loop.run_until_complete(made.__aenter__())
    loop.run_until_complete(made.apply("setup", *deployment.RECORDS))
    yield lambda work: loop.run_until_complete(work(made))
    loop.run_until_complete(made.__aexit__(None, None, None))
    loop.close()


async def check_good(made):
    """A good call of each kind still works, and nothing was written."""
    answer = await made.operate("GET", "/v1/records")
    assert (answer.status, answer.value["revision"]) == (200, 1)
    answer = await made.call("GET", "/v1/jobs", X_Client_Account="acme")
    assert (answer.status, answer.value["jobs"]) == (200, [])


@pytest.mark.parametrize("name", CASES)
def test_bad_input_is_refused_with_a_code(running, name):
    method, path, headers, body, status = CASES[name]

    async def work(made):
        answer = await made.call(method, path, body, **headers)
        assert answer.status == status, answer.value
        error = answer.value["error"]
        assert (error["outcome"], bool(error["code"])) == ("not_run", True)
        await check_good(made)

    running(work)


@pytest.mark.parametrize("name", TOKENS)
def test_every_guarded_path_needs_its_token(running, name):
    async def work(made):
        headers = TOKENS[name]
        for method, path in OPERATORS_PATHS:
            answer = await made.call(method, path, b"{}", **headers)
            assert answer.status == 401, path
            assert answer.value["error"]["code"] == "unauthorized"
        if headers is INSTANCE:
            headers = OPERATOR
        for path in ("/v1/targets/announce", "/v1/workers/announce"):
            answer = await made.call("POST", path, b"{}", **headers)
            assert answer.status == 401, path
            assert deployment.INSTANCE_TOKEN.encode() not in answer.body
        await check_good(made)

    running(work)


@pytest.mark.parametrize("name", RAW)
def test_malformed_http_is_refused(running, name):
    async def work(made):
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        writer.write(RAW[name])
        answer = await reader.readuntil(b"\r\n")
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        assert answer.startswith(b"HTTP/1.") and b" 400 " in answer
        await check_good(made)

    running(work)


def test_body_cut_by_the_caller_starts_nothing(running):
    async def work(made):
        _, writer = await asyncio.open_connection("127.0.0.1", made.port)
        writer.write(
            b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nX-Client-Account: acme\r\n"
            b"Content-Length: 500\r\n\r\n" + _text(JOB)
        )
        writer.close()
        await writer.wait_closed()
        await check_good(made)

    running(work)
