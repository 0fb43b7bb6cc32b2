"""Stand-ins of the users' platform: runners, clients, the operator, and machines.

They follow PROTOCOL.md. Where it is silent, they behave like a sound runner, client or
platform. A case gives a runner an `Impairment` to disturb single calls.
"""

import asyncio
import contextlib
import json
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from . import deployment

SERVICE = "huvo11a"
HOST = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"
URGENT = "/pufi791/"  # queue of priority 0
BATCH = "/lohu930/"  # queue of priority 2
MAX_HOLD_MS = deployment.BOUNDS["max_hold_ms"]
STOP_TIMEOUT_S = deployment.BOUNDS["stop_timeout_ms"] / 1000
CALL_TIMEOUT_S = 1.0  # callers of the control interface go on to the next node
ENDS_AT_A_TIME = 500


def manifest(version: int = 7) -> dict[str, Any]:
    """Return a manifest with two queues on one service."""
    queue = {
        "host": HOST,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "service": SERVICE,
        "max_attempts": 4,
        "slack_factor": 3.0,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **queue,
                "name": "r-zzyyjsg",
                "path_prefix": URGENT,
                "target_duration_ms": 600,
                "priority": 0,
            },
            {
                **queue,
                "name": "r-ce7ejsm",
                "path_prefix": BATCH,
                "target_duration_ms": 3000,
                "priority": 2,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls_enabled": False,
                "rejects_overload": False,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "kaje80",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed_gpus": {"gpu": 8},
            }
        ],
    }


class Http:
    """HTTP client of the stand-ins; each call has a connection of its own."""

    def __init__(self, record: deployment.Record) -> None:
        self._record = record
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any]:
        """Return status and decoded body, status 0 without an answer."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method,
                    f"http://{address}{path}",
                    data=None if body is None else json.dumps(body).encode(),
                    headers={"Content-Type": "application/json", **(headers or {})},
                ) as response,
            ):
                data = await response.read()
                return response.status, json.loads(data) if data else None
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return 0, None

    async def is_ready(self, address: str) -> bool:
        """Tell whether a gateway says that it is ready."""
        status, _ = await self.call("GET", address, "/readiness", timeout_s=1.0)
        return status == 200

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


class Operator:
    """Send orders to the nodes that serve control, one after the other."""

    def __init__(self, http: Http, nodes: list[str], record: deployment.Record) -> None:
        self._http = http
        self._nodes = nodes
        self._record = record

    async def call(
        self, method: str, path: str, body: Any = None, tries: int = 30
    ) -> tuple[int, Any]:
        """Repeat a call at one node after the other until it has a clear answer."""
        for attempt in range(tries):
            node = self._nodes[attempt % len(self._nodes)]
            status, answer = await self._http.call(
                method, node, path, body, timeout_s=CALL_TIMEOUT_S
            )
            if status and status < 500 and status not in (408, 429):
                self._record.write(f"operator: {method} {path}: {status} {answer}")
                return status, answer
            await asyncio.sleep(0.3)
        raise deployment.CannotRunError(f"{method} {path} got no clear answer")


class Client:
    """Hand in, ask for and cancel jobs."""

    def __init__(
        self, http: Http, frontends: list[str], record: deployment.Record
    ) -> None:
        self._http = http
        self._frontends = frontends
        self._record = record
        self._count = 0

    async def call(
        self, method: str, path: str, body: Any = None, tries: int = 6
    ) -> tuple[int, Any]:
        """Repeat a request until it has a clear answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": "3000",
        }
        status, answer = 0, None
        for _ in range(tries):
            self._count += 1
            address = self._frontends[self._count % len(self._frontends)]
            status, answer = await self._http.call(
                method, address, path, body, headers, 3.2
            )
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status, answer

    async def submit(self, prefix: str, work_s: float, *steps: dict[str, Any]) -> str:
        """Hand a job in, and return its id once it is accepted."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps({"work_s": work_s}), "steps": list(steps)}
        status, _ = await self.call("POST", prefix + job_id, body)
        self._record.write(f"client: POST {prefix}{job_id}: {status}")
        if status != 200:
            raise deployment.CannotRunError(f"the job was answered {status}")
        return job_id

    async def state(self, prefix: str, job_id: str) -> str:
        """Return the state of a job, or the status of another answer."""
        status, answer = await self.call("GET", prefix + job_id)
        state = answer["state"] if status == 200 else str(status)
        self._record.write(f"client: GET {prefix}{job_id}: {state}")
        return state

    async def cancel(self, prefix: str, job_id: str) -> None:
        """Cancel a job."""
        status, _ = await self.call("DELETE", prefix + job_id)
        self._record.write(f"client: DELETE {prefix}{job_id}: {status}")


class Run:
    """A run of a work item on a runner."""

    def __init__(self, task: str, run: int, work_s: float, started_s: float) -> None:
        self.task = task
        self.run = run
        self.work_s = work_s
        self.started_s = started_s
        self.stops_s: float | None = None
        self.ended_s: float | None = None
        self.how = ""
        self.end_number = 0
        # Whether `last_seen` has reached the end, with no lapse between the two.
        self.is_noted = False


class Impairment:
    """Disturb the calls to one runner; this one lets all of them through."""

    def on_order(self, runner: "Runner", path: str, body: dict[str, Any]) -> str:
        """Return ``""``, ``"late:SECONDS"`` or a status such as ``"503"``.

        With ``late``, the order gets no answer and is carried out that much later.
        """
        del runner, path, body
        return ""


class Runner:
    """One life of a runner.

    Parameters
    ----------
    history : list of (Runner, Run)
        Receives all runs of all lives, also of those that have ended.
    link_s : float
        Delay of the link to the machines of the system, one way.
    """

    def __init__(
        self,
        name: str,
        address: str,
        nodes: list[str],
        http: Http,
        record: deployment.Record,
        history: list[tuple["Runner", Run]],
        cpu: int = 64000,
        memory_mb: int = 262144,
        gpu: int = 8,
        labels: tuple[str, ...] = ("a", "r1-1"),
        zone: str = "sanjose",
        impairment: Impairment | None = None,
        link_s: float = 0.0,
    ) -> None:
        self.name = name
        self.address = address
        self.born = int(time.time() * 1000)
        self.capacity = {"cpu": cpu, "task_memory_mb": memory_mb, "gpu": gpu}
        self.labels = list(labels)
        self.zone = zone
        self.impairment = impairment or Impairment()
        self._link_s = link_s
        self._nodes = nodes
        self._http = http
        self._record = record
        self._history = history
        self._started_s = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_ms = 0.0
        self._lapsed_s = 0.0
        self._runs: dict[tuple[str, int], Run] = {}
        self._highest_ended: dict[str, int] = {}
        self._ends: list[Run] = []
        self._end_count = 0
        self._has_new_end = asyncio.Event()
        self._loops: list[asyncio.Task] = []
        self._late: set[asyncio.Task] = set()
        self._site: web.AppRunner | None = None
        self._preferred_node = ""
        self._next_node = 0
        self.is_up = False
        self.is_draining = False
        # Whether nothing reaches the runner, nor its answers anybody; it runs on.
        self.is_cut_off = False
        self.held_s = 0.0  # when the last call to hold arrived

    @property
    def life(self) -> str:
        """Return the id and the birth of this life."""
        return f"{self.name}/{self.born}"

    @property
    def runs(self) -> list[Run]:
        """Return what is running."""
        return list(self._runs.values())

    def clock_ms(self) -> int:
        """Return the runner's own steady clock, which starts anew in each life."""
        return int((time.monotonic() - self._started_s) * 1000)

    async def start(self, first_node: int = 0) -> None:
        """Listen, and send status reports.

        Parameters
        ----------
        first_node : int
            Which of the nodes that serve control is called first.
        """
        self._next_node = first_node
        application = web.Application()
        application.router.add_post("/run-start", self._on_order)
        application.router.add_post("/run-stop", self._on_order)
        application.router.add_post("/pace", self._on_order)
        application.router.add_post("/hold", self._on_hold)
        application.router.add_get("/health", self._on_health)
        self._site = web.AppRunner(
            application, access_log=None, handle_signals=False, shutdown_timeout=0.1
        )
        await self._site.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(
            self._site, host, int(port), backlog=1024, reuse_address=True
        ).start()
        self.is_up = True
        self._record.write(f"runner {self.life}: up at {self.address}")
        loop = asyncio.get_running_loop()
        self._loops = [
            loop.create_task(self._beat_loop()),
            loop.create_task(self._work_loop()),
        ]

    async def end(self, reason: str) -> None:
        """End this life; all that runs on it ends, and nothing answers any more."""
        self.is_up = False
        self._record.write(f"runner {self.life}: {reason}")
        for task in [*self._loops, *self._late]:
            task.cancel()
        for run in list(self._runs.values()):
            run.ended_s = self._record.now_s()
            run.how = "gone"
            del self._runs[run.task, run.run]
        if self._site is not None:
            await self._site.cleanup()

    # Status reports.

    async def _beat_loop(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(deployment.HEARTBEAT_INTERVAL_MS / 1000)

    async def beat(self) -> None:
        """Send one status report, to the next node if there is no answer."""
        if self.is_cut_off:
            return
        self._sequence += 1
        body = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.is_draining:
            body["drain_remaining_ms"] = 0
        answer = await self.report("Instances.Heartbeat", body)
        if isinstance(answer, dict) and answer.get("heartbeat_address"):
            self._preferred_node = answer["heartbeat_address"]

    async def report(
        self, method: str, body: Any = None, first: str | None = None
    ) -> Any:
        """Call one node after the other until one acknowledges."""
        for attempt in range(len(self._nodes) + 1):
            if first is not None and not attempt:
                node = first
            elif self._preferred_node:
                node = self._preferred_node
            else:
                node = self._nodes[self._next_node % len(self._nodes)]
            status, answer = await self._http.call(
                "POST", node, f"/{method}/{self.name}", body, timeout_s=CALL_TIMEOUT_S
            )
            if status == 200:
                if method != "Instances.Heartbeat" or self._sequence <= 2:
                    self._record.write(
                        f"runner {self.life}: {method} acknowledged by {node}"
                    )
                return answer
            self._record.write(
                f"runner {self.life}: {method} at {node}: "
                f"{status or 'no answer within a second'}"
            )
            self._preferred_node = ""
            self._next_node += 1
            if (
                first is not None
                and self._nodes[self._next_node % len(self._nodes)] == first
            ):
                self._next_node += 1
        return None

    # Orders.

    def _json(self, status: int, body: dict[str, Any]) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms(), **body}, status=status)

    async def _on_health(self, request: web.Request) -> web.Response:
        del request
        return web.Response(status=200, headers={"X-Instance-Id": self.name})

    async def _hang(self) -> web.Response:
        """Leave a call without an answer for longer than any caller waits."""
        await asyncio.sleep(20.0)
        return web.Response(status=500)

    async def _on_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(self._link_s)
        if self.is_cut_off:
            return await self._hang()
        if request.headers.get("X-Expected-Instance") not in (None, self.name):
            return web.Response(status=421)
        what = f"{request.path} {body['task']} run {body['run']}"
        disturbance = self.impairment.on_order(self, request.path, body)
        if disturbance.startswith("late:"):
            delay_s = float(disturbance.removeprefix("late:"))
            self._record.write(
                f"runner {self.life}: {what}: no answer, carried out {delay_s} s later"
            )
            task = asyncio.get_running_loop().create_task(
                self._carry_out_late(request.path, body, delay_s)
            )
            self._late.add(task)
            return await self._hang()
        if disturbance:
            self._record.write(
                f"runner {self.life}: {what}: {disturbance}, nothing is done"
            )
            return web.Response(status=int(disturbance))
        status, answer = self.carry_out(request.path, body)
        self._record.write(f"runner {self.life}: {what}: {status} {answer}")
        response = self._json(status, answer)
        await asyncio.sleep(self._link_s)
        return response

    async def _carry_out_late(
        self, path: str, body: dict[str, Any], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        status, answer = self.carry_out(path, body)
        self._record.write(
            f"runner {self.life}: {path} {body['task']} run {body['run']}: "
            f"carried out late: {status} {answer}"
        )

    def carry_out(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry an order out, and return its answer."""
        if body.get("fencing_token", 0) < self._token:
            return 409, {"reason": "fence"}
        self._token = body.get("fencing_token", 0)
        task, run = body["task"], body["run"]
        if path == "/run-stop":
            self._highest_ended[task] = max(run, self._highest_ended.get(task, 0))
            active = self._runs.get((task, run))
            if active is not None and active.stops_s is None:
                active.stops_s = time.monotonic() + STOP_TIMEOUT_S
            return 200, {}
        if path == "/pace":
            return 200, {}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend_lease(body["deadline_ms"])
        if (task, run) in self._runs:
            return 200, {}
        if run <= self._highest_ended.get(task, 0):
            return 409, {"reason": "old"}
        work_s = json.loads(body["spec"])["work_s"]
        started = Run(task, run, work_s, self._record.now_s())
        self._runs[task, run] = started
        self._history.append((self, started))
        self._record.write(f"runner {self.life}: {task} run {run} starts")
        return 200, {}

    def _extend_lease(self, deadline_ms: float) -> None:
        latest_ms = self.clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest_ms))

    async def _on_hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(self._link_s)
        if self.is_cut_off:
            return await self._hang()
        if request.headers.get("X-Expected-Instance") not in (None, self.name):
            return web.Response(status=421)
        if body.get("fencing_token", 0) < self._token:
            return self._json(409, {"reason": "fence"})
        self._token = body.get("fencing_token", 0)
        self.held_s = self._record.now_s()
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        last_seen = body.get("last_seen", 0)
        for run in self._ends:
            if run.end_number <= last_seen and run.ended_s >= self._lapsed_s:
                run.is_noted = True
        self._ends = [run for run in self._ends if run.end_number > last_seen]
        if not self._ends and body.get("wait_ms"):
            self._has_new_end.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000):
                    await self._has_new_end.wait()
            if self.is_cut_off:
                return await self._hang()
        now_s = self._record.now_s()
        active = [
            [
                run.task,
                run.run,
                "",
                min(99, int(100 * (now_s - run.started_s) / run.work_s)),
                0,
            ]
            for run in self._runs.values()
        ]
        finished = [
            [run.end_number, run.task, run.run, run.how, ""]
            for run in self._ends[:ENDS_AT_A_TIME]
        ]
        if finished:
            self._record.write(
                f"runner {self.life}: /hold last_seen {last_seen}: {len(active)} active"
                f", ends {finished[0][0]} to {finished[-1][0]} of {self._end_count}"
            )
        response = self._json(
            200, {"born": self.born, "active": active, "finished": finished}
        )
        await asyncio.sleep(self._link_s)
        return response

    # Work.

    async def _work_loop(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            if self.clock_ms() > self._lease_ms and self._runs:
                self._lapsed_s = self._record.now_s()
                for run in list(self._runs.values()):
                    self._finish(run, "lapsed")
            for run in list(self._runs.values()):
                if run.stops_s is not None and now_s >= run.stops_s:
                    self._finish(run, "stopped")
                elif self._record.now_s() - run.started_s >= run.work_s:
                    self._finish(run, "done")

    def _finish(self, run: Run, how: str) -> None:
        del self._runs[run.task, run.run]
        self._highest_ended[run.task] = max(
            run.run, self._highest_ended.get(run.task, 0)
        )
        self._end_count += 1
        run.end_number = self._end_count
        run.ended_s = self._record.now_s()
        run.how = how
        self._ends.append(run)
        self._has_new_end.set()
        self._record.write(f"runner {self.life}: {run.task} run {run.run} ends: {how}")


class Cloud:
    """The platform's interface for machines; each machine has one runner.

    Parameters
    ----------
    restart : callable
        ``restart(machine)`` returns the runner of a new life after an upkeep.
    unanswered : set of str
        Machines of which the first upkeep is carried out, but not answered.
    """

    def __init__(
        self,
        address: str,
        record: deployment.Record,
        restart: Callable[[str], Awaitable[Runner]],
        unanswered: set[str],
    ) -> None:
        self.address = address
        self._record = record
        self._restart = restart
        self._unanswered = unanswered
        self.runners: dict[str, Runner] = {}
        self._states: dict[str, str] = {}
        self._done: set[tuple[int, str]] = set()
        self._waves: dict[int, list[str]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._site: web.AppRunner | None = None

    def add(self, machine: str, runner: Runner) -> None:
        """Add a machine that is up."""
        self.runners[machine] = runner
        self._states[machine] = "up"

    def add_wave(self, number: int, machines: list[str]) -> None:
        """Let the platform know which machines belong to a wave."""
        self._waves[number] = machines

    async def start(self) -> None:
        """Listen."""
        application = web.Application()
        application.router.add_get("/machines", self._on_list)
        application.router.add_post("/machine-upkeep", self._on_upkeep)
        self._site = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._site.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._site, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._site is not None:
            await self._site.cleanup()

    async def _on_list(self, request: web.Request) -> web.Response:
        del request
        machines = [
            {
                "machine": machine,
                "pool": SERVICE,
                "state": self._states[machine],
                "zone": runner.zone,
                "labels": runner.labels,
                "capacity": runner.capacity,
                "id": runner.name if self._states[machine] == "up" else "",
            }
            for machine, runner in self.runners.items()
        ]
        return web.json_response({"machines": machines, "next_token": ""})

    async def _on_upkeep(self, request: web.Request) -> web.Response:
        body = await request.json()
        machine, wave = body["machine"], body["wave"]
        status, reason = self._carry_out(machine, wave)
        self._record.write(
            f"platform: upkeep of {machine} in wave {wave}: {status} {reason}"
        )
        if machine in self._unanswered:
            self._unanswered.discard(machine)
            self._record.write(f"platform: this order about {machine} gets no answer")
            await asyncio.sleep(20.0)
        if status == 200:
            return web.json_response({})
        return web.json_response({"reason": reason}, status=status)

    def _carry_out(self, machine: str, wave: int) -> tuple[int, str]:
        if machine not in self.runners:
            return 400, "no such machine"
        if machine not in self._waves.get(wave, ()):
            return 409, "wave"
        if (wave, machine) in self._done:
            return 200, "already done"
        if self._states[machine] != "up":
            return 409, "busy"
        self._done.add((wave, machine))
        self._states[machine] = "upkeep"
        task = asyncio.get_running_loop().create_task(self._maintain(machine))
        self._tasks.add(task)
        return 200, ""

    async def _maintain(self, machine: str) -> None:
        await self.runners[machine].end("machine is down for its upkeep")
        await asyncio.sleep(deployment.BOUNDS["maintenance_s"])
        self.runners[machine] = await self._restart(machine)
        self._states[machine] = "up"


def find_doubles(history: list[tuple[Runner, Run]], now_s: float) -> list[str]:
    """Return what breaks the rule TWICE.

    These are two runs of one work item at the same time, and a start after a run has
    ended ``done``, if that end was taken note of without a lapse between the two.
    """
    broken = []
    by_task: dict[str, list[tuple[Runner, Run]]] = {}
    for runner, run in history:
        by_task.setdefault(run.task, []).append((runner, run))
    for task, runs in by_task.items():
        runs.sort(key=lambda pair: pair[1].started_s)
        for position, (runner, run) in enumerate(runs):
            end_s = now_s if run.ended_s is None else run.ended_s
            for later_runner, later in runs[position + 1 :]:
                if later.started_s < end_s:
                    overlap_s = min(end_s, later.ended_s or now_s) - later.started_s
                    broken.append(
                        f"TWICE {task}: run {run.run} on {runner.life} and run "
                        f"{later.run} on {later_runner.life} at the same time, for "
                        f"{overlap_s:.3f} s from {later.started_s:.3f} s"
                    )
                elif run.how == "done" and run.is_noted:
                    broken.append(
                        f"TWICE {task}: run {later.run} starts on {later_runner.life} "
                        f"at {later.started_s:.3f} s, after run {run.run} ended done "
                        f"at {run.ended_s:.3f} s on {runner.life}"
                    )
    return broken
