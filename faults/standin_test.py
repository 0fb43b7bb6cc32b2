"""Guard against a history reader that does not match what the stand-ins write."""

import asyncio
import json

import aiohttp
from aiohttp import test_utils

from faults import history, standin
from marjoramusher.core import resource
from standins import runner, worker

TASK = {"epoch": 3, "job_id": "j1", "accelerators": 2, "payload": '{"run_s": 0.01}'}


async def test_runner_history_and_answers_are_understood(tmp_path):
    path = tmp_path / "r1.jsonl"
    runner_standin = runner.Runner("r1", "", (), "svc", "fd", 1, "", path)
    runner_standin._note("announced", slots=1)
    async with test_utils.TestClient(
        test_utils.TestServer(runner_standin.application())
    ) as http:

        async def post(number, request):
            headers = {"X-Request-Id": f"q{number}", "Idempotency-Key": request.token}
            async with http.post(
                "/run", data=request.payload(), headers=headers
            ) as response:
                return response.status, await response.read()

        requests = [
            standin.Request("k1", 0.0, 2000),
            standin.Request("k2", 0.1, 0, 5000, 4),
        ]
        _, body = await post(1, requests[0])
        assert standin.echo_of(body) == "k1"
        assert body == requests[0].expected_answer(body)
        assert body != requests[1].expected_answer(body)
        slow_request = asyncio.create_task(post(2, requests[1]))
        await asyncio.sleep(0.03)
        assert (await post(3, requests[0]))[0] == 503
        _, body = await slow_request
        assert body == requests[1].expected_answer(body)
        assert len(body) == 5000
    with path.open("a") as file:
        file.write('{"at": 1, "ev')
    types_and_tokens = [
        (type(event), getattr(event, "token", ""))
        for event in standin.read_runner(tmp_path, "r1")
    ]
    assert types_and_tokens == [
        (history.RunnerStarted, ""),
        (history.RunStarted, "k1"),
        (history.RunEnded, ""),
        (history.RunStarted, "k2"),
        (history.RunRefused, ""),
        (history.RunEnded, ""),
    ]


async def test_worker_history_is_understood(tmp_path):
    worker_standin = worker.Worker(
        "w1", "fd", "rack", resource.Resources(8), [], history=tmp_path / "w1.jsonl"
    )
    worker_standin._announce_urls = ["http://127.0.0.1:9"]
    await worker_standin.start("127.0.0.1", 0)
    async with aiohttp.ClientSession() as http:
        for task in ("t1", "t2"):
            for method in ("prepare", "start"):
                url = f"{worker_standin.url}/tasks/{task}/{method}"
                async with http.post(url, data=json.dumps(TASK)) as response:
                    assert response.status == 200
            if task == "t1":
                await asyncio.sleep(0.2)
    await worker_standin.stop()
    events = list(standin.read_worker(tmp_path, "w1"))
    assert events[0].accelerators == 8
    assert [type(event) for event in events[1:]] == [
        history.TaskStarted,
        history.TaskEnded,
    ] * 2
    assert events[1].epoch == 3 and events[1].accelerators == 2
    assert [event.reason for event in events if isinstance(event, history.TaskEnded)][
        0
    ] == "done"
