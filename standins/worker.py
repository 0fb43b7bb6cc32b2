"""Stand-in for a worker.

It starts every task without checking its capacity. ``POST /control`` injects faults.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import time
from typing import Any

import aiohttp
import click
import msgspec
from aiohttp import web

from marjoramusher.core import announcement, codec, errors, resource

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
CHECKPOINT_DURATION_S = 0.05
USAGE_DELAY_S = 3.0
LEASE_CHECK_INTERVAL_S = 0.05
MAX_SEEN_EPOCHS = 65536


class Payload(msgspec.Struct):
    """Payload of a job: what each of its tasks does.

    Parameters
    ----------
    run_s : float
        Actual run time.
    fail : bool or str
        True to fail at the end, ``on:<worker>`` to fail on that worker only.
    usage : Resources or None
        Resources that each task uses; the declared ones if absent.
    """

    run_s: float = 1.0
    fail: bool | str = False
    usage: resource.Resources | None = None


class TaskRequest(msgspec.Struct):
    """Body of a call about a task; see `marjoramusher.workers.rpc.TaskRequest`."""

    epoch: int
    lease_s: float = 4.0
    job_id: str = ""
    index: int = 0
    gang_size: int = 1
    payload: str = ""
    checkpoint: str = ""
    progress_s: float = 0.0
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``.

    Parameters
    ----------
    mode : str
        ``ok``; ``silent`` (no announcements and no responses); ``fail`` (a task fails
        as soon as it starts); ``refuse`` (calls fail with status 500); ``slow`` (calls
        are delayed by `slow_s`).
    """

    mode: str = "ok"
    slow_s: float = 0.0


class Task:
    """State of a task on the worker."""

    def __init__(
        self, task_id: str, request: TaskRequest, lease_expires_s: float
    ) -> None:
        self.task_id = task_id
        self.request = request
        self.state = announcement.TaskState.PREPARED
        self.payload = _payload(request.payload)
        self.lease_expires_s = lease_expires_s
        self.rate = 1.0
        self.rate_progress_s = request.progress_s
        self.rate_since_s = 0.0
        self.started_s = 0.0
        self.checkpoint = request.checkpoint
        self.checkpoint_progress_s = request.progress_s
        self.error = ""

    @property
    def is_live(self) -> bool:
        """Tell whether the task occupies resources of the worker."""
        return self.state in (
            announcement.TaskState.PREPARED,
            announcement.TaskState.RUNNING,
        )

    def progress_s(self, now: float) -> float:
        """Return the completed run time."""
        if self.state is not announcement.TaskState.RUNNING:
            return self.rate_progress_s
        return self.rate_progress_s + (now - self.rate_since_s) * self.rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the speed of the task."""
        self.rate_progress_s = self.progress_s(now)
        self.rate_since_s = now
        self.rate = rate

    def report(self, now: float) -> announcement.TaskReport:
        """Return the report of the task for an announcement."""
        usage = resource.Resources()
        if (
            self.state is announcement.TaskState.RUNNING
            and now >= self.started_s + USAGE_DELAY_S
        ):
            declared = resource.Resources(
                self.request.accelerators, self.request.cores, self.request.memory_mb
            )
            is_throttled = self.rate < 1.0
            usage = declared if is_throttled else self.payload.usage or declared
        return announcement.TaskReport(
            self.task_id,
            self.request.epoch,
            self.state,
            self.checkpoint,
            self.checkpoint_progress_s,
            usage,
            self.error,
        )


def _payload(text: str) -> Payload:
    try:
        return msgspec.json.decode(text or "{}", type=Payload)
    except msgspec.DecodeError:
        return Payload()


class History:
    """Append one JSON line for each event of the worker and its tasks."""

    def __init__(self, path: pathlib.Path | None, worker: str) -> None:
        self._file = None if path is None else path.open("a", encoding="utf-8")
        self._worker = worker

    def up(self, accelerators: int) -> None:
        """Record the start of the process."""
        self._line("up", accelerators=accelerators)

    def write(self, event: str, task: Task, **fields: Any) -> None:
        """Record an event of a task."""
        request = task.request
        self._line(
            event,
            job_id=request.job_id,
            task_id=task.task_id,
            epoch=request.epoch,
            gang_size=request.gang_size,
            index=request.index,
            accelerators=request.accelerators,
            **fields,
        )

    def _line(self, event: str, **fields: Any) -> None:
        if self._file is None:
            return
        line = {
            "at": time.time(),
            "event": event,
            "worker": self._worker,
            **fields,
        }
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


class Worker:
    """Run tasks under leases, and announce the worker and its tasks."""

    def __init__(
        self,
        worker: str,
        failure_domain: str,
        rack: str,
        capacity: resource.Resources,
        announce_urls: list[str],
        token: str = "",
        history: pathlib.Path | None = None,
    ) -> None:
        self._id = worker
        self._failure_domain = failure_domain
        self._rack = rack
        self._capacity = capacity
        self._announce_urls = announce_urls
        self._token = token
        self._history = History(history, worker)
        self._incarnation = time.time_ns() // 1_000_000
        self._tasks: dict[str, Task] = {}
        self._seen_epochs: dict[str, int] = {}
        self._control = Control()
        self._loops: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self.url = ""

    @property
    def tasks(self) -> dict[str, Task]:
        """Return the tasks by id."""
        return self._tasks

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening and announcing."""
        app = web.Application()
        app.router.add_post("/tasks/{task_id}/{method}", self._handle)
        app.router.add_post("/control", self._handle_control)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.url = self.url or f"http://{host}:{port}"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S),
            headers={"Authorization": f"Bearer {self._token}"} if self._token else {},
        )
        self._history.up(self._capacity.accelerators)
        loop = asyncio.get_running_loop()
        self._loops = [
            loop.create_task(self._announce_loop()),
            loop.create_task(self._lease_loop()),
        ]

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        for task in self._tasks.values():
            self._stop(task, "worker")
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()
        self._history.close()

    def control(self, control: Control) -> None:
        """Set the faults to inject."""
        self._control = control

    # Calls

    async def _handle_control(self, request: web.Request) -> web.Response:
        self.control(codec.from_json(await request.read(), Control))
        return web.json_response({})

    async def _handle(self, request: web.Request) -> web.Response:
        if self._control.mode == "silent":
            await asyncio.sleep(3600.0)
        if self._control.mode == "slow":
            await asyncio.sleep(self._control.slow_s)
        if self._control.mode == "refuse":
            return web.json_response({"error": "refused"}, status=500)
        try:
            task_request = codec.from_json(await request.read(), TaskRequest)
            method = request.match_info["method"]
            report = await self._execute(
                request.match_info["task_id"], method, task_request
            )
        except errors.MarjoramusherError as error:
            return web.Response(
                body=codec.to_json({"error": error.body()}),
                status=error.http_status,
                content_type="application/json",
            )
        return web.Response(body=codec.to_json(report), content_type="application/json")

    async def _execute(
        self, task_id: str, method: str, request: TaskRequest
    ) -> announcement.TaskReport:
        seen_epoch = self._seen_epochs.get(task_id, -1)
        if request.epoch < seen_epoch:
            raise _stale(task_id, seen_epoch)
        self._seen_epochs.pop(task_id, None)
        self._seen_epochs[task_id] = request.epoch
        if len(self._seen_epochs) > MAX_SEEN_EPOCHS:
            del self._seen_epochs[next(iter(self._seen_epochs))]
        task = self._tasks.get(task_id)
        if method == "prepare":
            return self._prepare(task_id, request, task, seen_epoch)
        if method == "stop":
            return self._handle_stop(task_id, request, task)
        if task is None or task.request.epoch != request.epoch:
            raise _stale(task_id, seen_epoch)
        if method == "start":
            self._start(task)
        elif method == "renew":
            task.lease_expires_s = time.monotonic() + request.lease_s
        elif method == "checkpoint":
            await self._checkpoint(task, request.checkpoint)
        elif method == "throttle":
            if task.state is announcement.TaskState.RUNNING:
                task.set_rate(0.5, time.monotonic())
                self._history.write("throttled", task)
        else:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, "unknown method"
            )
        return task.report(time.monotonic())

    def _prepare(
        self, task_id: str, request: TaskRequest, task: Task | None, seen_epoch: int
    ) -> announcement.TaskReport:
        now = time.monotonic()
        if task is not None and task.request.epoch == request.epoch:
            if not task.is_live:
                raise _stale(task_id, seen_epoch)
            return task.report(now)
        if request.epoch == seen_epoch:
            raise _stale(task_id, seen_epoch)
        if task is not None:
            self._stop(task, "replaced")
        task = Task(task_id, request, now + request.lease_s)
        self._tasks[task_id] = task
        self._history.write("prepared", task)
        return task.report(now)

    def _start(self, task: Task) -> None:
        now = time.monotonic()
        if task.state is announcement.TaskState.STOPPED or now >= task.lease_expires_s:
            raise _stale(task.task_id, task.request.epoch)
        if task.state is not announcement.TaskState.PREPARED:
            return
        # A start does not extend the lease, so one that arrives late is refused.
        task.state = announcement.TaskState.RUNNING
        task.started_s = task.rate_since_s = now
        self._history.write("started", task)
        if self._control.mode == "fail":
            self._end(task, "the worker fails all tasks")

    async def _checkpoint(self, task: Task, name: str) -> None:
        if task.state is not announcement.TaskState.RUNNING:
            raise _stale(task.task_id, task.request.epoch)
        progress_s = task.progress_s(time.monotonic())
        await asyncio.sleep(CHECKPOINT_DURATION_S)
        if task.state is announcement.TaskState.RUNNING:
            task.checkpoint = name
            task.checkpoint_progress_s = progress_s
            self._history.write("checkpointed", task, progress_s=progress_s)

    def _handle_stop(
        self, task_id: str, request: TaskRequest, task: Task | None
    ) -> announcement.TaskReport:
        if task is None:
            return announcement.TaskReport(
                task_id, request.epoch, announcement.TaskState.STOPPED
            )
        self._stop(task, "told")
        return task.report(time.monotonic())

    def _stop(self, task: Task, reason: str) -> None:
        if task.is_live:
            task.rate_progress_s = task.progress_s(time.monotonic())
            task.state = announcement.TaskState.STOPPED
            self._history.write("stopped", task, reason=reason)

    def _end(self, task: Task, error: str) -> None:
        task.rate_progress_s = task.progress_s(time.monotonic())
        task.error = error
        if error:
            task.state = announcement.TaskState.FAILED
            self._history.write("failed", task, error=error)
        else:
            task.state = announcement.TaskState.DONE
            self._history.write("done", task)

    # Periodic loops

    async def _lease_loop(self) -> None:
        while True:
            now = time.monotonic()
            for task in list(self._tasks.values()):
                if not task.is_live:
                    continue
                if now >= task.lease_expires_s:
                    self._stop(task, "lease")
                elif (
                    task.state is announcement.TaskState.RUNNING
                    and task.progress_s(now) >= task.payload.run_s
                ):
                    is_failure = task.payload.fail in (True, f"on:{self._id}")
                    self._end(
                        task, "the payload makes the task fail" if is_failure else ""
                    )
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def _announce_loop(self) -> None:
        position = 0
        leader_url = ""
        while True:
            if self._control.mode != "silent":
                url = leader_url or self._announce_urls[position]
                reply = await self._announce(url)
                if reply is None:
                    # Another instance may reach the leader even if this worker can't.
                    leader_url = ""
                    position = (position + 1) % len(self._announce_urls)
                    await self._announce(self._announce_urls[position])
                elif reply.leader_url and reply.leader_url != url:
                    leader_url = reply.leader_url
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, url: str) -> announcement.WorkerReply | None:
        assert self._session is not None
        sent_s = time.monotonic()
        epochs = {task.task_id: task.request.epoch for task in self._tasks.values()}
        body = announcement.WorkerAnnouncement(
            self._id,
            self.url,
            self._failure_domain,
            self._rack,
            self._incarnation,
            self._capacity,
            tuple(task.report(sent_s) for task in self._tasks.values()),
        )
        try:
            async with self._session.post(
                f"{url}/v1/workers/announce",
                data=codec.to_json(body),
                headers={"Content-Type": "application/json"},
            ) as response:
                data = await response.read()
                if response.status != 200:
                    return None
            reply = codec.from_json(data, announcement.WorkerReply)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            errors.MarjoramusherError,
        ):
            return None
        if self._control.mode != "silent":
            self._apply(reply, epochs, sent_s)
        return reply

    def _apply(
        self, reply: announcement.WorkerReply, epochs: dict[str, int], sent_s: float
    ) -> None:
        for renewal in reply.renewals:
            task = self._tasks.get(renewal.task_id)
            if task is not None and task.request.epoch == renewal.epoch:
                # The response may be delayed, so the lease starts when the announcement
                # was sent.
                expires_s = sent_s + renewal.lease_s
                task.lease_expires_s = max(task.lease_expires_s, expires_s)
        for task_id in reply.stop:
            task = self._tasks.get(task_id)
            if task is not None and task.request.epoch == epochs.get(task_id):
                self._stop(task, "told")
                del self._tasks[task_id]


def _stale(task_id: str, epoch: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.STALE_EPOCH,
        f"{task_id}: stale epoch (latest: {epoch}), or the task has ended",
        details={"epoch": str(epoch)},
    )


async def _serve(worker: Worker, host: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await worker.start(host, port)
    click.echo(json.dumps({"url": worker.url}))
    await stop.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await worker.stop()


@click.command()
@click.option("--id", "worker", required=True)
@click.option("--listen", required=True, help="host:port")
@click.option(
    "--advertise-url",
    default="",
    help="Announced URL, if it differs from the listen address.",
)
@click.option("--announce-url", "announce_urls", multiple=True, required=True)
@click.option("--failure-domain", required=True)
@click.option("--rack", required=True)
@click.option("--cores", type=int, default=64)
@click.option("--memory-mb", type=int, default=256 * 1024)
@click.option("--accelerators", type=int, default=8)
@click.option("--instance-token-file", type=click.Path(path_type=pathlib.Path))
@click.option("--history", type=click.Path(path_type=pathlib.Path))
def main(
    worker: str,
    listen: str,
    advertise_url: str,
    announce_urls: tuple[str, ...],
    failure_domain: str,
    rack: str,
    cores: int,
    memory_mb: int,
    accelerators: int,
    instance_token_file: pathlib.Path | None,
    history: pathlib.Path | None,
) -> None:
    """Run one stand-in for a worker until SIGTERM or SIGINT."""
    token = "" if instance_token_file is None else instance_token_file.read_text()
    host, _, port = listen.rpartition(":")
    server = Worker(
        worker,
        failure_domain,
        rack,
        resource.Resources(accelerators, cores, memory_mb),
        list(announce_urls),
        token.strip(),
        history,
    )
    server.url = advertise_url
    asyncio.run(_serve(server, host, int(port)))


if __name__ == "__main__":
    main()
