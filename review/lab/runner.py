"""Stand-in for the servers that run work items, as the protocol page describes them."""

import asyncio
import json
import time

import aiohttp
from aiohttp import web

MAX_HOLD_S = 6.0
BEAT_S = 1.5
BEAT_TIMEOUT_S = 1.0


class Runner:
    """One life of a server: runs work items, holds a lease and reports itself.

    A work item takes the milliseconds that its job's spec begins with.
    """

    def __init__(self, name, address, service, control_addresses, record, **fields):
        self.name = name
        self.address = address
        self.service = service
        self.control_addresses = control_addresses
        self.record = record
        self.capacity = fields.get("capacity", (16000, 32768, 8))
        self.labels = fields.get("labels", ("a", "r1-1"))
        self.zone = fields.get("zone", "z1")
        self.state = "ready"
        self.drain_remaining_ms = None
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic() - 100
        self.sequence = 0
        self.token = 0
        self.lease_until = 0.0
        self.active = {}
        self.highest = {}
        self.finished = []
        self.end_number = 0
        self.ended = asyncio.Event()
        self.starts = []
        self.ends = []
        self.beats_acked = 0

    @property
    def clock_ms(self):
        """Return the reading of the server's own clock."""
        return int((time.monotonic() - self.origin) * 1000)

    def reply(self, status=200, **fields):
        """Return a response with the fields that every response has."""
        return web.json_response(
            {"clock_ms": self.clock_ms, "born": self.born, **fields}, status=status
        )

    def application(self):
        """Return the web application of the server."""
        application = web.Application(client_max_size=1 << 22)
        application.router.add_post("/run-start", self.start)
        application.router.add_post("/run-stop", self.stop)
        application.router.add_post("/hold", self.hold)
        application.router.add_post("/pace", self.pace)
        application.router.add_get("/health", self.health)
        return application

    def is_other(self, request):
        """Tell whether a request is meant for another life."""
        return request.headers.get("X-Expected-Instance", self.name) != self.name

    def extend(self, deadline_ms):
        """Extend the lease, which never shortens."""
        if deadline_ms is not None:
            until = min(deadline_ms / 1000 + self.origin, time.monotonic() + MAX_HOLD_S)
            self.lease_until = max(self.lease_until, until)

    def end(self, task, how, saved=""):
        """End a run and list its end."""
        run, timer = self.active.pop(task)
        timer.cancel()
        self.end_number += 1
        self.finished.append([self.end_number, task, run, how, saved])
        self.ends.append((time.time(), task, run, how))
        self.record(f"end {self.name} {task} run {run} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def start(self, request):
        """Start a run."""
        if self.is_other(request):
            return self.reply(421)
        body = await request.json()
        task, run, token = body["task"], body["run"], body.get("fencing_token", 0)
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        if task in self.active and self.active[task][0] == run:
            return self.reply()
        self.extend(body.get("deadline_ms"))
        if task in self.active or run <= self.highest.get(task, 0):
            return self.reply(409, reason="old")
        if self.lease_until <= time.monotonic():
            return self.reply(409, reason="late")
        self.highest[task] = run
        duration_s = float(body["spec"].split()[0]) / 1000
        timer = asyncio.get_running_loop().call_later(
            duration_s, lambda: self.end(task, "done")
        )
        self.active[task] = (run, timer)
        self.starts.append((time.time(), task, run))
        self.record(f"start {self.name} {task} run {run} token {token}")
        return self.reply()

    async def stop(self, request):
        """Stop a run; a run that is not there yet is refused from now on."""
        if self.is_other(request):
            return self.reply(421)
        body = await request.json()
        task, run, token = body["task"], body["run"], body.get("fencing_token", 0)
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.active and self.active[task][0] <= run:
            self.end(task, "stopped")
        return self.reply()

    async def pace(self, request):
        """Accept a pace, which doesn't change how long a work item takes here."""
        if self.is_other(request):
            return self.reply(421)
        await request.read()
        return self.reply()

    async def health(self, request):
        """Answer a health check."""
        del request
        return self.reply()

    async def hold(self, request):
        """Extend the lease and list what runs and what has ended."""
        if self.is_other(request):
            return self.reply(421)
        body = await request.json()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        self.extend(body.get("deadline_ms"))
        last_seen = body["last_seen"]
        self.finished = [item for item in self.finished if item[0] > last_seen]
        if not self.finished and body.get("wait_ms"):
            try:
                async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        active = [[task, run, "", 100, 0] for task, (run, _) in self.active.items()]
        return self.reply(active=active, finished=self.finished[:500])

    def beat(self):
        """Return the next status report."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": dict(
                zip(("cpu", "task_memory_mb", "gpu"), self.capacity, strict=True)
            ),
            "labels": list(self.labels),
            "clock_ms": self.clock_ms,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.drain_remaining_ms is not None:
            body["drain_remaining_ms"] = self.drain_remaining_ms
        return body

    async def report(self, session):
        """Send one status report, to the next node after a failure."""
        data = json.dumps(self.beat())
        timeout = aiohttp.ClientTimeout(total=BEAT_TIMEOUT_S)
        for _ in range(len(self.control_addresses)):
            url = f"http://{self.control_addresses[0]}/Instances.Heartbeat/{self.name}"
            try:
                async with session.post(url, data=data, timeout=timeout) as response:
                    await response.read()
                    if response.status == 200:
                        self.beats_acked += 1
                        return True
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            self.control_addresses = [
                *self.control_addresses[1:],
                self.control_addresses[0],
            ]
        return False

    async def live(self, session):
        """Serve, expire the lease and send status reports until cancelled."""
        site_runner = web.AppRunner(self.application(), access_log=None)
        await site_runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(site_runner, host, int(port)).start()
        beats = asyncio.create_task(self.keep_reporting(session))
        try:
            while True:
                await asyncio.sleep(0.02)
                if self.active and self.lease_until <= time.monotonic():
                    for task in list(self.active):
                        self.end(task, "lapsed")
        finally:
            beats.cancel()
            await site_runner.cleanup()

    async def keep_reporting(self, session):
        """Send status reports until cancelled."""
        while True:
            await self.report(session)
            await asyncio.sleep(BEAT_S)
