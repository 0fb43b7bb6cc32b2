"""Measure the cost of histograms by client account and of calls to workers."""

import asyncio
import threading
import time

from aiohttp import web

from bench import sweep
from marjoramusher.telemetry import metrics
from marjoramusher.workers import client, rpc

MIN_CALLS = 300
HISTOGRAMS = (
    ("request_wait", "short"),
    ("request_wait", "long"),
    ("request_completion", ""),
    ("request_claim", ""),
)


def accounts(count: int) -> sweep.Values:
    """Measure the metrics of an instance that serves `count` client accounts."""
    base_bytes = sweep.rss_bytes()
    metrics_registry = metrics.Metrics()
    cpu_s, observations = 0.0, 0
    for account in range(count):
        for name, run_class in HISTOGRAMS:
            for number in range(20):
                cpu_before_s = time.process_time()
                metrics_registry.observe(
                    name, 0.002 * 1.4**number, f"account{account:04}", run_class
                )
                cpu_s += time.process_time() - cpu_before_s
                observations += 1
    memory_bytes = sweep.rss_bytes() - base_bytes
    cpu_before_s = time.process_time()
    metrics_registry.snapshot()
    return {
        "observe_us": cpu_s / observations * 1e6,
        "memory_mb": memory_bytes / 1e6,
        "snapshot_ms": (time.process_time() - cpu_before_s) * 1e3,
    }


def calls(concurrency: int) -> sweep.Values:
    """Measure concurrent calls to a worker that runs in another thread."""
    return asyncio.run(_calls(concurrency))


async def _calls(concurrency: int) -> sweep.Values:
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
    cpu_before_s = time.thread_time()
    started_at = time.monotonic()
    for _ in range(-(-MIN_CALLS // concurrency)):
        await asyncio.gather(*(tasks.call(call) for _ in range(concurrency)))
    call_count = -(-MIN_CALLS // concurrency) * concurrency
    measured = {
        "call_cpu_ms": (time.thread_time() - cpu_before_s) / call_count * 1e3,
        "calls_per_s": call_count / (time.monotonic() - started_at),
    }
    await tasks.close()
    stop()
    return measured


def _start_worker():
    ready = threading.Event()
    shared: dict = {}

    async def handle_call(request: web.Request) -> web.Response:
        await request.read()
        report = {"task_id": "job-d1-1.0", "epoch": 1, "state": "running"}
        return web.json_response(report)

    async def serve() -> None:
        application = web.Application()
        application.router.add_post("/tasks/{id}/{method}", handle_call)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        shared["port"] = runner.addresses[0][1]
        shared["loop"], shared["end"] = asyncio.get_running_loop(), asyncio.Event()
        ready.set()
        await shared["end"].wait()
        await runner.cleanup()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()

    def stop() -> None:
        shared["loop"].call_soon_threadsafe(shared["end"].set)
        thread.join()

    return shared["port"], stop


SWEEPS = (
    sweep.Sweep("telemetry", "account", (4, 30, 60, 120, 240), accounts),
    sweep.Sweep("worker_calls", "concurrent_call", (1, 8, 32, 64), calls),
)
