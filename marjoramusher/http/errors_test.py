"""Tests the error responses, input limits and token check of all handlers."""

import asyncio

import aiohttp
import pytest
from aiohttp import test_utils, web

from marjoramusher.core import announcement, errors
from marjoramusher.http import body, token
from marjoramusher.http import errors as http_errors
from marjoramusher.telemetry import metrics


async def _decode(request):
    await body.read_json(request, announcement.TargetAnnouncement, 100)
    return web.Response()


async def _slow(request):
    await body.read(request, timeout_s=0.01)
    return web.Response()


async def _query(request):
    body.check_query(request, "n", "wait_s")
    body.query_int(request, "n", 0, 100)
    body.query_seconds(request, "wait_s", 0.0, 60.0)
    return web.Response()


async def _fail(request):
    raise RuntimeError("secret detail")


async def _truncate(request):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"first part")
    raise errors.NoQuorumError("the group was lost")


async def _guarded(request):
    token.check(request, b"s3cret", request.app[COUNTERS], "operator")
    return web.Response()


COUNTERS = web.AppKey("counters", metrics.Metrics)


@pytest.fixture
async def client():
    counters = metrics.Metrics()
    app = web.Application(middlewares=[http_errors.make_middleware(counters)])
    app[COUNTERS] = counters
    for path, handler in {
        "/decode": _decode,
        "/slow": _slow,
        "/query": _query,
        "/fail": _fail,
        "/cut": _truncate,
        "/guarded": _guarded,
    }.items():
        app.router.add_post(path, handler)
    async with test_utils.TestClient(test_utils.TestServer(app)) as test_client:
        yield test_client


async def _endless_body():
    yield b"{"
    await asyncio.sleep(60)


async def _chunked_body():
    for _ in range(10):
        yield b" " * 50


CASES = {
    "unknown path": ("POST", "/nowhere", {}, 404, "not_found"),
    "wrong method": ("GET", "/decode", {}, 405, "bad_request"),
    "not json": ("POST", "/decode", {"data": b"x"}, 400, "bad_request"),
    "deep": ("POST", "/decode", {"data": b"[" * 40}, 400, "bad_request"),
    "not utf-8": ("POST", "/decode", {"data": b'{"id":"\xff"}'}, 400, "bad_request"),
    "announced too large": ("POST", "/decode", {"data": b"x" * 101}, 413, None),
    "chunks too large": ("POST", "/decode", {"data": _chunked_body}, 413, None),
    "compressed": (
        "POST",
        "/decode",
        {"data": b"x", "headers": {"Content-Encoding": "gzip"}},
        400,
        "bad_request",
    ),
    "never ends": ("POST", "/slow", {"data": _endless_body}, 400, "bad_request"),
    "internal": ("POST", "/fail", {}, 500, "internal"),
    "query unknown": ("POST", "/query?x=1", {}, 400, "bad_request"),
    "query twice": ("POST", "/query?n=1&n=2", {}, 400, "bad_request"),
    "query negative": ("POST", "/query?n=-1", {}, 400, "bad_request"),
    "query huge": ("POST", "/query?n=" + "9" * 5000, {}, 400, "bad_request"),
    "query above": ("POST", "/query?n=101", {}, 400, "bad_request"),
    "query nan": ("POST", "/query?wait_s=nan", {}, 400, "bad_request"),
    "no token": ("POST", "/guarded", {}, 401, "unauthorized"),
    "wrong token": (
        "POST",
        "/guarded",
        {"headers": {"Authorization": "Bearer s3cre"}},
        401,
        "unauthorized",
    ),
    "wrong scheme": (
        "POST",
        "/guarded",
        {"headers": {"Authorization": "Basic s3cret"}},
        401,
        "unauthorized",
    ),
}


@pytest.mark.parametrize("name", CASES)
async def test_every_refusal_has_a_coded_body(client, name):
    method, path, options, status, code = CASES[name]
    if callable(options.get("data")):
        options = {"data": options["data"]()}
    async with client.request(method, path, **options) as response:
        text = await response.text()
        assert response.status == status, text
        error = (await response.json())["error"]
    assert error["code"] == (code or "body_too_large")
    assert error["outcome"] == ("unknown" if status == 500 else "not_run")
    assert "secret" not in text
    assert client.app[COUNTERS].counter("http_errors", code=error["code"]) == 1


async def test_cut_answer_does_not_end_properly(client):
    with pytest.raises(aiohttp.ClientPayloadError):
        async with client.post("/cut") as response:
            await response.read()


async def test_right_token_is_admitted_and_refusals_are_counted(client):
    headers = {"Authorization": "Bearer s3cret"}
    async with client.post("/guarded", headers=headers) as response:
        assert response.status == 200
    await client.post("/guarded")
    assert client.app[COUNTERS].counter("unauthorized", realm="operator") == 1
