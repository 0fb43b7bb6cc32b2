"""Guards against bad input that changes state or gets no error code."""

import asyncio
import contextlib
import json

import pytest

from . import deployment

KIB, MIB = 1024, 1024 * 1024
OPERATOR_HEADERS = {"Authorization": f"Bearer {deployment.OPERATOR_TOKEN}"}
INSTANCE_HEADERS = {"Authorization": f"Bearer {deployment.INSTANCE_TOKEN}"}
ACCOUNT_HEADERS = {"X-Client-Account": "acme"}

TARGET_ANNOUNCEMENT = {
    "id": "runner-9",
    "url": "http://127.0.0.1:9",
    "failure_domain": deployment.DOMAIN,
    "service": "unused",
    "incarnation": 1,
}
WORKER_ANNOUNCEMENT = {
    "id": "worker-9",
    "url": "http://127.0.0.1:9",
    "failure_domain": deployment.DOMAIN,
    "rack": "rack-9",
    "incarnation": 1,
    "capacity": {},
}
TASK_REPORT = {"task_id": "t", "epoch": 1, "state": "running"}
JOB_SPEC = {"contract": "acme-2090", "shape": {"each": {"accelerators": 1}}}
RECORD_CHANGE = {"operation_id": "hostile", "records": deployment.RECORDS[:1]}
ROLLBACK = {"operation_id": "hostile", "to_revision": 0, "replaces_revision": 1}

# Method, path, headers, a valid body and the maximum body size in bytes. Only
# malformed variants of the valid bodies are sent.
ENDPOINTS = {
    "apply": ("POST", "/v1/records/apply", OPERATOR_HEADERS, RECORD_CHANGE, MIB),
    "rollback": ("POST", "/v1/records/rollback", OPERATOR_HEADERS, ROLLBACK, MIB),
    "recover": (
        "POST",
        "/v1/groups/records/recover",
        OPERATOR_HEADERS,
        {"accept_loss": False},
        MIB,
    ),
    "target": (
        "POST",
        "/v1/targets/announce",
        INSTANCE_HEADERS,
        TARGET_ANNOUNCEMENT,
        64 * KIB,
    ),
    "worker": (
        "POST",
        "/v1/workers/announce",
        INSTANCE_HEADERS,
        WORKER_ANNOUNCEMENT,
        64 * KIB,
    ),
    "job": ("POST", "/v1/jobs", ACCOUNT_HEADERS, JOB_SPEC, MIB),
    "cut": ("POST", "/test/cut", {}, {"instances": []}, MIB),
}


def _encode(value):
    return json.dumps(value).encode()


def _malformed_bodies(valid_body, max_bytes):
    encoded = _encode(valid_body)
    yield "empty", b"", 400
    yield "truncated", encoded[:-1], 400
    yield "not an object", b"[1]", 400
    yield "null", b"null", 400
    yield "unknown field", _encode({**valid_body, "surprise": 1}), 400
    yield "field missing", _encode(dict(list(valid_body.items())[1:])), 400
    yield "two values", encoded + b"{}", 400
    yield "not UTF-8", encoded[:-1] + b',"\xff":1}', 400
    yield "not UTF-8 in a value", b'{"id": "\xc3\x28"}', 400
    yield "lone surrogate", b'{"id": "\\ud800"}', 400
    yield "not a number", b'{"incarnation": NaN}', 400
    yield "deep list", b"[" * 100_000 if max_bytes == MIB else b"[" * 30_000, 400
    yield "deep object", b'{"a":' * 10_000 + b"1" + b"}" * 10_000, 400
    yield "too large", encoded + b" " * max_bytes, 413
    for field, value in valid_body.items():
        wrong_value = [] if not isinstance(value, list) else {}
        yield f"wrong type of {field}", _encode({**valid_body, field: wrong_value}), 400
        yield f"null for {field}", _encode({**valid_body, field: None}), 400


CASES = {
    f"{name}: {variant}": (method, path, headers, body, status)
    for name, (method, path, headers, valid_body, max_bytes) in ENDPOINTS.items()
    for variant, body, status in _malformed_bodies(valid_body, max_bytes)
}

REQUESTS_PATH = "/v1/services/inspect/requests"


def _target_case(**fields):
    return (
        "POST",
        "/v1/targets/announce",
        INSTANCE_HEADERS,
        _encode({**TARGET_ANNOUNCEMENT, **fields}),
        400,
    )


def _worker_case(**fields):
    return (
        "POST",
        "/v1/workers/announce",
        INSTANCE_HEADERS,
        _encode({**WORKER_ANNOUNCEMENT, **fields}),
        400,
    )


def _job_case(status=400, **fields):
    return "POST", "/v1/jobs", ACCOUNT_HEADERS, _encode({**JOB_SPEC, **fields}), status


def _record_case(**fields):
    record = {**deployment.RECORDS[0], "name": "new", **fields}
    # A repeated operation id would get the response of its first use.
    operation_id = "-".join(["hostile", *fields])
    body = _encode({"operation_id": operation_id, "records": [record]})
    return "POST", "/v1/records/apply", OPERATOR_HEADERS, body, 422


def _request_case(status=400, body=b"{}", **headers):
    http_headers = {name.replace("_", "-"): text for name, text in headers.items()}
    return "POST", REQUESTS_PATH, {**ACCOUNT_HEADERS, **http_headers}, body, status


CASES.update(
    {
        "target: of another domain": _target_case(failure_domain="elsewhere"),
        "target: no address": _target_case(url="file:///etc/passwd"),
        "target: no slots": _target_case(slots=0),
        "target: too many slots": _target_case(slots=10**9),
        "target: negative incarnation": _target_case(incarnation=-1),
        "target: huge incarnation": _target_case(incarnation=2**70),
        "target: endless ttl": _target_case(ttl_s=1e300),
        "target: control characters": _target_case(id="a\nb"),
        "target: unknown state": _target_case(state="dancing"),
        "target: url without host": _target_case(url="http://"),
        "target: url with bad port": _target_case(url="http://127.0.0.1:99999"),
        "worker: of another domain": _worker_case(failure_domain="elsewhere"),
        "worker: no address": _worker_case(url="ftp://127.0.0.1"),
        "worker: negative capacity": _worker_case(capacity={"cores": -1}),
        "worker: huge capacity": _worker_case(capacity={"cores": 2**40}),
        "worker: unknown resource": _worker_case(capacity={"gpus": 8}),
        "worker: task twice": _worker_case(tasks=[TASK_REPORT, TASK_REPORT]),
        "worker: unknown task field": _worker_case(tasks=[{**TASK_REPORT, "x": 1}]),
        "worker: negative epoch": _worker_case(tasks=[{**TASK_REPORT, "epoch": -1}]),
        "job: no account": ("POST", "/v1/jobs", {}, _encode(JOB_SPEC), 400),
        "job: unknown account": (
            "POST",
            "/v1/jobs",
            {"X-Client-Account": "nobody"},
            _encode(JOB_SPEC),
            404,
        ),
        "job: misspelt shape": _job_case(shape={"tasks": 1, "adjacancy": "rack"}),
        "job: misspelt resource": _job_case(shape={"each": {"accelerator": 1}}),
        "job: negative tasks": _job_case(shape={"tasks": -1}),
        "job: huge amount": _job_case(shape={"each": {"memory_mb": 2**60}}),
        "job: endless run time": _job_case(run_s=1e300),
        "job: unknown class": _job_case(job_class="royal"),
        "job: payload too large": _job_case(413, payload="x" * 65 * KIB),
        "job: malformed id": ("GET", "/v1/jobs/%00", ACCOUNT_HEADERS, None, 400),
        "job: endless wait": (
            "GET",
            "/v1/jobs/job-a-1?wait_s=inf",
            ACCOUNT_HEADERS,
            None,
            400,
        ),
        "job: bad limit": ("GET", "/v1/jobs?limit=-1", ACCOUNT_HEADERS, None, 400),
        "job: unknown query": ("GET", "/v1/jobs?all=1", ACCOUNT_HEADERS, None, 400),
        "job: id of another kind": ("DELETE", "/v1/jobs/x", ACCOUNT_HEADERS, None, 404),
        # The domain may exist but be unreachable, so a 404 could be wrong.
        "job: id of unknown domain": (
            "GET",
            "/v1/jobs/job-x-1",
            ACCOUNT_HEADERS,
            None,
            503,
        ),
        "record: unknown kind": _record_case(kind="pet"),
        "record: bad name": _record_case(name="../x"),
        "record: unknown schema": _record_case(schema=3),
        "record: unknown field": _record_case(
            spec={"home": "default", "x": 1}, schema=1
        ),
        "record: unknown home": _record_case(spec={"home": "elsewhere"}),
        "record: negative version": _record_case(replaces=-1),
        "request: no account": ("POST", REQUESTS_PATH, {}, b"", 400),
        "request: unknown account": _request_case(404, X_Client_Account="nobody"),
        "request: long account": _request_case(X_Client_Account="a" * 300),
        "request: bad class": _request_case(X_Class="medium"),
        "request: bad flag": _request_case(X_Non_Repeatable="yes"),
        "request: no key": _request_case(X_Non_Repeatable="true"),
        "request: bad deadline": _request_case(X_Deadline_Ms="-5"),
        "request: endless deadline": _request_case(X_Deadline_Ms="9" * 30),
        "request: digits of another script": _request_case(X_Deadline_Ms="\u0665"),
        "request: bad issue time": _request_case(Idempotency_Issued_At="now"),
        "request: compressed": _request_case(Content_Encoding="gzip"),
        "request: too large": _request_case(413, b"x" * (MIB + 1)),
        "unknown path": ("GET", "/v2/jobs", ACCOUNT_HEADERS, None, 404),
        "wrong method": ("PUT", "/v1/jobs", ACCOUNT_HEADERS, b"{}", 405),
        "unknown query": ("GET", "/v1/status?verbose=1", OPERATOR_HEADERS, None, 400),
        "unknown group": (
            "POST",
            "/v1/groups/none/recover",
            OPERATOR_HEADERS,
            b'{"accept_loss": true}',
            404,
        ),
        "group of no member": (
            "POST",
            "/v1/groups/domain:x/recover",
            OPERATOR_HEADERS,
            b'{"accept_loss": true}',
            404,
        ),
    }
)

OPERATOR_ENDPOINTS = (
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
INVALID_TOKENS = {
    "missing": {},
    "wrong": {"Authorization": "Bearer wrong"},
    "empty": {"Authorization": "Bearer "},
    "of another scheme": {"Authorization": f"Basic {deployment.OPERATOR_TOKEN}"},
    "longer": {"Authorization": f"Bearer {deployment.OPERATOR_TOKEN}x"},
    "for instances": INSTANCE_HEADERS,
}

# Sent through a socket, because an HTTP client refuses to send them.
MALFORMED_REQUESTS = {
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
def run_scenario(tmp_path_factory):
    """Yield a function that runs a scenario against one instance for all cases."""
    loop = asyncio.new_event_loop()
    system = deployment.Deployment(tmp_path_factory.mktemp("hostile"))
    loop.run_until_complete(system.__aenter__())
    loop.run_until_complete(system.apply_records("setup", *deployment.RECORDS))
    yield lambda scenario: loop.run_until_complete(scenario(system))
    loop.run_until_complete(system.__aexit__(None, None, None))
    loop.close()


async def check_unharmed(system):
    """Check that valid requests still work and that nothing was written."""
    response = await system.call_as_operator("GET", "/v1/records")
    assert (response.status, response.content["revision"]) == (200, 1)
    response = await system.call("GET", "/v1/jobs", X_Client_Account="acme")
    assert (response.status, response.content["jobs"]) == (200, [])


@pytest.mark.parametrize("name", CASES)
def test_bad_input_is_refused_with_a_code(run_scenario, name):
    method, path, headers, body, status = CASES[name]

    async def scenario(system):
        response = await system.call(method, path, body, **headers)
        assert response.status == status, response.content
        error = response.content["error"]
        assert (error["outcome"], bool(error["code"])) == ("not_run", True)
        await check_unharmed(system)

    run_scenario(scenario)


@pytest.mark.parametrize("name", INVALID_TOKENS)
def test_every_guarded_path_needs_its_token(run_scenario, name):
    async def scenario(system):
        headers = INVALID_TOKENS[name]
        for method, path in OPERATOR_ENDPOINTS:
            response = await system.call(method, path, b"{}", **headers)
            assert response.status == 401, path
            assert response.content["error"]["code"] == "unauthorized"
        if headers is INSTANCE_HEADERS:
            headers = OPERATOR_HEADERS
        for path in ("/v1/targets/announce", "/v1/workers/announce"):
            response = await system.call("POST", path, b"{}", **headers)
            assert response.status == 401, path
            assert deployment.INSTANCE_TOKEN.encode() not in response.body
        await check_unharmed(system)

    run_scenario(scenario)


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_http_is_refused(run_scenario, name):
    async def scenario(system):
        reader, writer = await asyncio.open_connection("127.0.0.1", system.http_port)
        writer.write(MALFORMED_REQUESTS[name])
        response = await reader.readuntil(b"\r\n")
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        assert response.startswith(b"HTTP/1.") and b" 400 " in response
        await check_unharmed(system)

    run_scenario(scenario)


def test_body_cut_by_the_caller_starts_nothing(run_scenario):
    async def scenario(system):
        _, writer = await asyncio.open_connection("127.0.0.1", system.http_port)
        writer.write(
            b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nX-Client-Account: acme\r\n"
            b"Content-Length: 500\r\n\r\n" + _encode(JOB_SPEC)
        )
        writer.close()
        await writer.wait_closed()
        await check_unharmed(system)

    run_scenario(scenario)
