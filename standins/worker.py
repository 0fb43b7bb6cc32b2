"""Stand-in for a worker of the platform.

It starts whatever it is given, whether it fits or not. ``POST /control`` makes it
misbehave.
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
CHECKPOINT_S = 0.05
USAGE_DELAY_S = 3.0
LEASE_CHECK_S = 0.05
SEEN_COUNT = 65536


class Payload(msgspec.Struct):
    """What a job does.

    Parameters
    ----------
    run_s : float
        Real run time.
    fail : bool or str
        True to fail at the end, ``on:<worker>`` to fail on that worker only.
    usage : Resources or None
        What each task uses; its declaration if absent.
    """

    run_s: float = 1.0
    fail: bool | str = False
    usage: resource.Resources | None = None


class Order(msgspec.Struct):
    """Body of a call; see `marjoramusher.workers.rpc.TaskRequest`."""

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
        ``ok``; ``silent`` (no announcements, no answers); ``fail`` (each started task
        fails at once); ``refuse`` (calls are answered with 500); ``slow`` (answers
        come `slow_s` later).
    """

    mode: str = "ok"
    slow_s: float = 0.0


class Task:
    """A task that the worker holds."""

    def __init__(self, task_id: str, order: Order, lease_until: float) -> None:
        self.task_id = task_id
        self.order = order
        self.state = announcement.TaskState.PREPARED
        self.payload = _payload(order.payload)
        self.lease_until = lease_until
        self.rate = 1.0
        self.base_s = order.progress_s
        self.since = 0.0
        self.started_at = 0.0
        self.checkpoint = order.checkpoint
        self.saved_s = order.progress_s
        self.error = ""

    @property
    def live(self) -> bool:
        """Tell whether the task holds the worker."""
        return self.state in (
            announcement.TaskState.PREPARED,
            announcement.TaskState.RUNNING,
        )

    def progress_s(self, now: float) -> float:
        """Return the run time done."""
        if self.state is not announcement.TaskState.RUNNING:
            return self.base_s
        return self.base_s + (now - self.since) * self.rate

    def set_rate(self, rate: float, now: float) -> None:
        """Go on at another speed."""
        self.base_s = self.progress_s(now)
        self.since = now
        self.rate = rate

    def report(self, now: float) -> announcement.TaskReport:
        """Return what an announcement says of the task."""
        usage = resource.Resources()
        if (
            self.state is announcement.TaskState.RUNNING
            and now >= self.started_at + USAGE_DELAY_S
        ):
            declared = resource.Resources(
                self.order.accelerators, self.order.cores, self.order.memory_mb
            )
            throttled = self.rate < 1.0
            usage = declared if throttled else self.payload.usage or declared
        return announcement.TaskReport(
            self.task_id,
            self.order.epoch,
            self.state,
            self.checkpoint,
            self.saved_s,
            usage,
            self.error,
        )


def _payload(text: str) -> Payload:
    try:
        return msgspec.json.decode(text or "{}", type=Payload)
    except msgspec.DecodeError:
        return Payload()


class History:
    """Append one JSON line for each event of a task."""

    def __init__(self, path: pathlib.Path | None, worker: str) -> None:
        self._file = None if path is None else path.open("a", encoding="utf-8")
        self._worker = worker

    def up(self, accelerators: int) -> None:
        """Write the line of a process start."""
        self._line("up", accelerators=accelerators)

    def write(self, event: str, task: Task, **fields: Any) -> None:
        """Write one line of a task."""
        order = task.order
        self._line(
            event,
            job_id=order.job_id,
            task_id=task.task_id,
            epoch=order.epoch,
            gang_size=order.gang_size,
            index=order.index,
            accelerators=order.accelerators,
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
    """Hold tasks, run them under leases and announce them."""

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
        self._seen: dict[str, int] = {}
        self._control = Control()
        self._running: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self.url = ""

    @property
    def tasks(self) -> dict[str, Task]:
        """Return the tasks by id."""
        return self._tasks

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, and announce until `stop`."""
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
        self._running = [
            loop.create_task(self._announce_loop()),
            loop.create_task(self._lease_loop()),
        ]

    async def stop(self) -> None:
        """Stop all tasks and close."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for held in self._tasks.values():
            self._stop(held, "worker")
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()
        self._history.close()

    def control(self, value: Control) -> None:
        """Change how the worker misbehaves."""
        self._control = value

    # Calls.

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
            order = codec.from_json(await request.read(), Order)
            method = request.match_info["method"]
            report = await self._carry_out(request.match_info["task_id"], method, order)
        except errors.MarjoramusherError as error:
            return web.Response(
                body=codec.to_json({"error": error.body()}),
                status=error.http_status,
                content_type="application/json",
            )
        return web.Response(body=codec.to_json(report), content_type="application/json")

    async def _carry_out(
        self, task_id: str, method: str, order: Order
    ) -> announcement.TaskReport:
        seen = self._seen.get(task_id, -1)
        if order.epoch < seen:
            raise _stale(task_id, seen)
        self._seen.pop(task_id, None)
        self._seen[task_id] = order.epoch
        if len(self._seen) > SEEN_COUNT:
            del self._seen[next(iter(self._seen))]
        held = self._tasks.get(task_id)
        if method == "prepare":
            return self._prepare(task_id, order, held, seen)
        if method == "stop":
            return self._stopped(task_id, order, held)
        if held is None or held.order.epoch != order.epoch:
            raise _stale(task_id, seen)
        if method == "start":
            self._start(held)
        elif method == "renew":
            held.lease_until = time.monotonic() + order.lease_s
        elif method == "checkpoint":
            await self._checkpoint(held, order.checkpoint)
        elif method == "throttle":
            if held.state is announcement.TaskState.RUNNING:
                held.set_rate(0.5, time.monotonic())
                self._history.write("throttled", held)
        else:
            raise errors.MarjoramusherError(errors.ErrorCode.NOT_FOUND, "no such call")
        return held.report(time.monotonic())

    def _prepare(
        self, task_id: str, order: Order, held: Task | None, seen: int
    ) -> announcement.TaskReport:
        now = time.monotonic()
        if held is not None and held.order.epoch == order.epoch:
            if not held.live:
                raise _stale(task_id, seen)
            return held.report(now)
        if order.epoch == seen:
            raise _stale(task_id, seen)
        if held is not None:
            self._stop(held, "replaced")
        held = Task(task_id, order, now + order.lease_s)
        self._tasks[task_id] = held
        self._history.write("prepared", held)
        return held.report(now)

    def _start(self, held: Task) -> None:
        now = time.monotonic()
        if held.state is announcement.TaskState.STOPPED or now >= held.lease_until:
            raise _stale(held.task_id, held.order.epoch)
        if held.state is not announcement.TaskState.PREPARED:
            return
        # A start does not extend the lease, so one that arrives late is refused.
        held.state = announcement.TaskState.RUNNING
        held.started_at = held.since = now
        self._history.write("started", held)
        if self._control.mode == "fail":
            self._end(held, "broken worker")

    async def _checkpoint(self, held: Task, name: str) -> None:
        if held.state is not announcement.TaskState.RUNNING:
            raise _stale(held.task_id, held.order.epoch)
        progress_s = held.progress_s(time.monotonic())
        await asyncio.sleep(CHECKPOINT_S)
        if held.state is announcement.TaskState.RUNNING:
            held.checkpoint = name
            held.saved_s = progress_s
            self._history.write("checkpointed", held, progress_s=progress_s)

    def _stopped(
        self, task_id: str, order: Order, held: Task | None
    ) -> announcement.TaskReport:
        if held is None:
            return announcement.TaskReport(
                task_id, order.epoch, announcement.TaskState.STOPPED
            )
        self._stop(held, "told")
        return held.report(time.monotonic())

    def _stop(self, held: Task, reason: str) -> None:
        if held.live:
            held.base_s = held.progress_s(time.monotonic())
            held.state = announcement.TaskState.STOPPED
            self._history.write("stopped", held, reason=reason)

    def _end(self, held: Task, error: str) -> None:
        held.base_s = held.progress_s(time.monotonic())
        held.error = error
        if error:
            held.state = announcement.TaskState.FAILED
            self._history.write("failed", held, error=error)
        else:
            held.state = announcement.TaskState.DONE
            self._history.write("done", held)

    # Time.

    async def _lease_loop(self) -> None:
        while True:
            now = time.monotonic()
            for held in list(self._tasks.values()):
                if not held.live:
                    continue
                if now >= held.lease_until:
                    self._stop(held, "lease")
                elif (
                    held.state is announcement.TaskState.RUNNING
                    and held.progress_s(now) >= held.payload.run_s
                ):
                    fails = held.payload.fail in (True, f"on:{self._id}")
                    self._end(held, "told to fail" if fails else "")
            await asyncio.sleep(LEASE_CHECK_S)

    async def _announce_loop(self) -> None:
        position = 0
        leader = ""
        while True:
            if self._control.mode != "silent":
                url = leader or self._announce_urls[position]
                reply = await self._announce(url)
                if reply is None:
                    # Another instance may reach the leader when this worker does not.
                    leader = ""
                    position = (position + 1) % len(self._announce_urls)
                    await self._announce(self._announce_urls[position])
                elif reply.leader_url and reply.leader_url != url:
                    leader = reply.leader_url
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, url: str) -> announcement.WorkerReply | None:
        assert self._session is not None
        sent_at = time.monotonic()
        epochs = {task.task_id: task.order.epoch for task in self._tasks.values()}
        said = announcement.WorkerAnnouncement(
            self._id,
            self.url,
            self._failure_domain,
            self._rack,
            self._incarnation,
            self._capacity,
            tuple(task.report(sent_at) for task in self._tasks.values()),
        )
        try:
            async with self._session.post(
                f"{url}/v1/workers/announce",
                data=codec.to_json(said),
                headers={"Content-Type": "application/json"},
            ) as response:
                body = await response.read()
                if response.status != 200:
                    return None
            reply = codec.from_json(body, announcement.WorkerReply)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            errors.MarjoramusherError,
        ):
            return None
        if self._control.mode != "silent":
            self._take(reply, epochs, sent_at)
        return reply

    def _take(
        self, reply: announcement.WorkerReply, epochs: dict[str, int], sent_at: float
    ) -> None:
        for renewal in reply.renewals:
            held = self._tasks.get(renewal.task_id)
            if held is not None and held.order.epoch == renewal.epoch:
                # The answer may be old; the lease counts from the question.
                until = sent_at + renewal.lease_s
                held.lease_until = max(held.lease_until, until)
        for task_id in reply.stop:
            held = self._tasks.get(task_id)
            if held is not None and held.order.epoch == epochs.get(task_id):
                self._stop(held, "told")
                del self._tasks[task_id]


def _stale(task_id: str, epoch: int) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.STALE_EPOCH,
        f"{task_id} has seen epoch {epoch} or is over",
        details={"epoch": str(epoch)},
    )


async def _serve(worker: Worker, host: str, port: int) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await worker.start(host, port)
    click.echo(json.dumps({"url": worker.url}))
    await ended.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await worker.stop()


@click.command()
@click.option("--id", "worker", required=True)
@click.option("--listen", required=True, help="host:port")
@click.option("--advertise-url", default="", help="Announced if it differs.")
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
    """Run one worker stand-in until it is told to end."""
    token = "" if instance_token_file is None else instance_token_file.read_text()
    host, _, port = listen.rpartition(":")
    made = Worker(
        worker,
        failure_domain,
        rack,
        resource.Resources(accelerators, cores, memory_mb),
        list(announce_urls),
        token.strip(),
        history,
    )
    made.url = advertise_url
    asyncio.run(_serve(made, host, int(port)))


if __name__ == "__main__":
    main()
