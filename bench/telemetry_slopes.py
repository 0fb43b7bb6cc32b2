"""Costs of the histograms of client accounts, and of calls to workers."""

import asyncio
import threading
import time

from aiohttp import web

from bench import sweep
from marjoramusher.telemetry import metrics
from marjoramusher.workers import client, rpc

CALLS = 300
HISTOGRAMS = (
    ("request_wait", "short"),
    ("request_wait", "long"),
    ("request_completion", ""),
    ("request_claim", ""),
)


def accounts(count: int) -> sweep.Values:
    """Measure the metrics of an instance that serves so many client accounts."""
    base = sweep.rss_bytes()
    metrics_registry = metrics.Metrics()
    spent_s, observed = 0.0, 0
    for account in range(count):
        for name, run_class in HISTOGRAMS:
            for number in range(20):
                before = time.process_time()
                metrics_registry.observe(
                    name, 0.002 * 1.4**number, f"account{account:04}", run_class
                )
                spent_s += time.process_time() - before
                observed += 1
    memory = sweep.rss_bytes() - base
    before = time.process_time()
    metrics_registry.snapshot()
    return {
        "observe_us": spent_s / observed * 1e6,
        "memory_mb": memory / 1e6,
        "snapshot_ms": (time.process_time() - before) * 1e3,
    }


def calls(together: int) -> sweep.Values:
    """Measure calls to a worker, so many at a time; the worker is another thread."""
    return asyncio.run(_calls(together))


async def _calls(together: int) -> sweep.Values:
    port, stop = _start_worker()
    tasks = client.TaskClient("")
    call = rpc.Call(
        "job-d1-1",
        "job-d1-1.0",
        1,
        "w1",
        f"http://127.0.0.1:{port}",
        rpc.Method.START,
        rpc.TaskRequest(1),
    )
    await tasks.call(call)
    before = time.thread_time()
    began = time.monotonic()
    for _ in range(-(-CALLS // together)):
        await asyncio.gather(*(tasks.call(call) for _ in range(together)))
    made = -(-CALLS // together) * together
    found = {
        "call_cpu_ms": (time.thread_time() - before) / made * 1e3,
        "calls_per_s": made / (time.monotonic() - began),
    }
    await tasks.close()
    stop()
    return found


def _start_worker():
    ready = threading.Event()
    state: dict = {}

    async def answer(request: web.Request) -> web.Response:
        await request.read()
        report = {"task_id": "job-d1-1.0", "epoch": 1, "state": "running"}
        return web.json_response(report)

    async def serve() -> None:
        application = web.Application()
        application.router.add_post("/tasks/{id}/{method}", answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        state["port"] = runner.addresses[0][1]
        state["loop"], state["end"] = asyncio.get_running_loop(), asyncio.Event()
        ready.set()
        await state["end"].wait()
        await runner.cleanup()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()

    def stop() -> None:
        state["loop"].call_soon_threadsafe(state["end"].set)
        thread.join()

    return state["port"], stop


SWEEPS = (
    sweep.Sweep("telemetry", "account", (4, 30, 60, 120, 240), accounts),
    sweep.Sweep("worker_calls", "concurrent_call", (1, 8, 32, 64), calls),
)
