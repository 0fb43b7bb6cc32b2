"""Stand-in for a runner: starts, stops, leases, fencing tokens and status reports."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

BEAT_S = 1.5
CALL_TIMEOUT_S = 1.0  # without a response, the next node is called
MAX_HOLD_MS = 6000
STOP_S = 0.1  # below stop_timeout_ms
STARTUP_S = 0.5  # of a task that lasts


class Run:
    """A run in progress."""

    def __init__(self, name: str, number: int, spec: dict[str, Any]) -> None:
        self.name = name
        self.number = number
        self.spec = spec
        self.started_s = time.monotonic()
        self.pace = 100
        self.task: asyncio.Task | None = None


class Runner:
    """One machine of a service; `crash` and `boot` end and begin a lifetime.

    Parameters
    ----------
    specs : callable
        Returns how a job's tasks behave, by the id of the job: ``run_s``, or ``lasts``.
    record : callable
        Receives a dictionary for each event.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        service: str,
        zone: str,
        labels: list[str],
        capacity: dict[str, int],
        specs: Callable[[str], dict[str, Any]],
        record: Callable[..., None],
    ) -> None:
        self.name = name
        self.machine = f"m-{name}"
        self.address = address
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.specs = specs
        self.record = record
        self.control: list[str] = []
        self.is_cut = False
        self.is_up = False
        self.tickets: Callable[[str, str, int, str], bool] | None = None
        self.state = "ready"
        self.active: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self._site: web.AppRunner | None = None
        self._tasks: set[asyncio.Task] = set()
        self._late: set[asyncio.Task] = set()
        self.delay_of: Callable[[str, Any], float | None] = lambda path, body: None

    async def boot(self, born_ms: int | None = None) -> None:
        """Begin a lifetime that knows nothing of earlier ones."""
        self.born = born_ms or int(time.time() * 1000)
        self._clock_zero_s = time.monotonic() - 1.0
        self.token = 0
        self.deadline_ms = 0
        self.active = {}
        self.finished = []
        self._highest: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)
        self._changed = asyncio.Event()
        self._beat_address: str | None = None
        application = web.Application()
        application.add_routes(
            [
                web.post("/run-start", self._handle_start),
                web.post("/run-stop", self._handle_stop),
                web.post("/hold", self._handle_hold),
                web.post("/pace", self._handle_pace),
            ]
        )
        self._site = web.AppRunner(application, access_log=None, shutdown_timeout=0.0)
        await self._site.setup()
        await web.TCPSite(self._site, *self.address, reuse_address=True).start()
        self.is_up = True
        self._spawn(self._beat())
        self._spawn(self._expire())
        self.record(event="up", runner=self.name, born=self.born, labels=self.labels)

    async def crash(self) -> None:
        """End the lifetime without a word."""
        self.is_up = False
        self.record(event="crashed", runner=self.name, running=sorted(self.active))
        for run in self.active.values():
            run.task.cancel()
        self.active = {}
        for connection in self._site.server.connections if self._site else ():
            if connection.transport is not None:
                connection.transport.abort()
        tasks = [*self._tasks]
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._site is not None:
            await self._site.cleanup()
            self._site = None

    async def leave(self, drain_s: float, *, is_ack_lost: bool = False) -> None:
        """Drain, deregister at one node after the other until one answers, and end."""
        self.state = "draining"
        async with aiohttp.ClientSession() as session:
            await self._report(session)
            await asyncio.sleep(drain_s)
            for target in self.control:
                self.record(event="deregisters", runner=self.name, at_node=target)
                sent_s = time.monotonic()
                is_acked = await self._deregister(session, target)
                if is_acked and not is_ack_lost:
                    break
                self.record(event="no_ack", runner=self.name, lost=is_acked)
                await asyncio.sleep(sent_s + CALL_TIMEOUT_S - time.monotonic())
                is_ack_lost = False
        await self.crash()

    async def _deregister(self, session: aiohttp.ClientSession, target: str) -> bool:
        try:
            async with session.post(
                f"http://{target}/Instances.Deregister/{self.name}",
                json={"born": self.born},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                return response.status // 100 == 2
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    @property
    def clock_ms(self) -> int:
        """Return the reading of the lifetime's steady clock."""
        return int((time.monotonic() - self._clock_zero_s) * 1000)

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Status reports.

    async def _beat(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._report(session)
                await asyncio.sleep(BEAT_S)

    async def _report(self, session: aiohttp.ClientSession) -> None:
        targets = [*self.control]
        if self._beat_address:
            targets.insert(0, self._beat_address)
        for target in targets:
            if self.is_cut:
                await asyncio.sleep(CALL_TIMEOUT_S)
                continue
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "born": self.born,
                "sequence": next(self._sequence),
            }
            try:
                async with session.post(
                    f"http://{target}/Instances.Heartbeat/{self.name}",
                    json=body,
                    timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                ) as response:
                    if response.status // 100 == 2:
                        reply = await response.json()
                        self._beat_address = (
                            reply.get("heartbeat_address") or self._beat_address
                        )
                        self.record(
                            event="beat_acked",
                            runner=self.name,
                            born=self.born,
                            state=body["state"],
                            by=target,
                        )
                        return
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                pass
            if target == self._beat_address:
                self._beat_address = None

    # Leases.

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.active and self.clock_ms > self.deadline_ms:
                for name in list(self.active):
                    self._end(name, "lapsed")

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            limit_ms = self.clock_ms + MAX_HOLD_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    # Runs.

    async def _work(self, run: Run) -> None:
        if run.spec.get("lasts"):
            await asyncio.sleep(run.spec.get("fails_after_s", 1e9))
            self._end(run.name, "failed")
            return
        await asyncio.sleep(run.spec.get("run_s", 1.0))
        self._end(run.name, "done")

    def _end(self, name: str, how: str) -> None:
        run = self.active.pop(name)
        if run.task is not asyncio.current_task():
            run.task.cancel()
        self._highest[name] = max(self._highest.get(name, 0), run.number)
        self.finished.append([next(self._numbers), name, run.number, how, ""])
        self._changed.set()
        self.record(event="end", runner=self.name, task=name, run=run.number, how=how)

    def percent(self, run: Run) -> int:
        """Return the progress of a run."""
        age_s = time.monotonic() - run.started_s
        whole_s = STARTUP_S if run.spec.get("lasts") else run.spec.get("run_s", 1.0)
        return min(int(100 * age_s / whole_s), 100 if run.spec.get("lasts") else 99)

    async def _receive(self, request: web.Request) -> dict[str, Any]:
        """Return the body, unless the request is lost on its way or held up."""
        body = await request.json()
        if self.is_cut:
            await self._lose(request)
        if "X-Late" not in request.headers:
            delay_s = self.delay_of(request.path, body)
            if delay_s is not None:
                self._hold_up(request, body, delay_s)
                await self._lose(request)
        return body

    def _hold_up(
        self, request: web.Request, body: dict[str, Any], delay_s: float
    ) -> None:
        """Carry a request out seconds later, in whatever lifetime is there then."""
        path = request.path
        headers = {
            "X-Expected-Instance": request.headers["X-Expected-Instance"],
            "X-Late": "1",
        }

        async def deliver() -> None:
            await asyncio.sleep(delay_s)
            while self.is_cut:
                await asyncio.sleep(0.05)
            self.record(event="late_order", path=path, runner=self.name, body=body)
            url = f"http://{self.address[0]}:{self.address[1]}{path}"
            try:
                async with (
                    aiohttp.ClientSession() as session,
                    session.post(url, json=body, headers=headers) as response,
                ):
                    await response.read()
            except (aiohttp.ClientError, OSError):
                pass  # nobody listens there now

        task = asyncio.get_running_loop().create_task(deliver())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _lose(self, request: web.Request) -> None:
        """Give no answer: the packets of a cut are lost, and the caller gives up."""
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(0.05)
        raise asyncio.CancelledError

    async def _reply(
        self, request: web.Request, status: int = 200, **body: Any
    ) -> web.Response:
        if self.is_cut or not self.is_up:
            await self._lose(request)
        return web.json_response({"clock_ms": self.clock_ms, **body}, status=status)

    def _is_other_lifetime(self, request: web.Request) -> bool:
        return request.headers.get("X-Expected-Instance", self.name) != self.name

    async def _handle_start(self, request: web.Request) -> web.Response:
        body = await self._receive(request)
        if self._is_other_lifetime(request):
            return await self._reply(request, 421)
        name, number = body["task"], body["run"]
        token = body.get("fencing_token", 0)
        if token < self.token:
            return await self._reply(request, 409, reason="fence")
        self.token = token
        self._extend(body.get("deadline_ms"))
        if name in self.active and self.active[name].number == number:
            return await self._reply(request)
        if number <= self._highest.get(name, 0) or name in self.active:
            return await self._reply(request, 409, reason="old")
        if self.clock_ms > self.deadline_ms:
            return await self._reply(request, 409, reason="late")
        step = name.rpartition(".")[0]
        if self.tickets and not self.tickets(
            step, self.name, self.born, body.get("ticket", "")
        ):
            return await self._reply(request, 409, reason="ticket")
        run = Run(name, number, self.specs(name.partition(".")[0]))
        self.active[name] = run
        run.task = self._spawn(self._work(run))
        self.record(
            event="start",
            runner=self.name,
            task=name,
            run=number,
            token=token,
            born=self.born,
            labels=self.labels,
            spec=body["spec"],
        )
        return await self._reply(request)

    async def _handle_stop(self, request: web.Request) -> web.Response:
        body = await self._receive(request)
        if self._is_other_lifetime(request):
            return await self._reply(request, 421)
        if body.get("fencing_token", 0) < self.token:
            return await self._reply(request, 409, reason="fence")
        self.token = body.get("fencing_token", 0)
        name, number = body["task"], body["run"]
        self._highest[name] = max(self._highest.get(name, 0), number)
        if name in self.active and self.active[name].number <= number:
            self.record(event="stop_order", runner=self.name, task=name, run=number)
            self._spawn(self._stop_soon(self.active[name]))
        return await self._reply(request)

    async def _stop_soon(self, run: Run) -> None:
        await asyncio.sleep(STOP_S)
        if self.active.get(run.name) is run:
            self._end(run.name, "stopped")

    async def _handle_pace(self, request: web.Request) -> web.Response:
        body = await self._receive(request)
        if self._is_other_lifetime(request):
            return await self._reply(request, 421)
        if body.get("fencing_token", 0) < self.token:
            return await self._reply(request, 409, reason="fence")
        run = self.active.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.pace = body["percentage"]
            self.record(event="pace", runner=self.name, task=run.name, pace=run.pace)
        return await self._reply(request)

    async def _handle_hold(self, request: web.Request) -> web.Response:
        body = await self._receive(request)
        if self._is_other_lifetime(request):
            return await self._reply(request, 421)
        if body.get("fencing_token", 0) < self.token:
            return await self._reply(request, 409, reason="fence")
        self.token = body.get("fencing_token", 0)
        self._extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        if not self.finished and body.get("wait_ms"):
            self._changed.clear()
            try:
                async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return await self._reply(
            request,
            born=self.born,
            active=[
                [run.name, run.number, "", self.percent(run), 0]
                for run in self.active.values()
            ],
            finished=self.finished[:500],
        )
