"""A small deployment of the project's own processes on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import aiohttp
from lab import runner

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "d4a3hwrr6x73d3zji9n7"
HOST = "nony24.example"
SERVICE = "huvo11a"
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_timeout_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_timeout_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_extension_ms": 6000,
    "recovery_time_s": 12,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 200,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint_interval_s": 0.5,
    "restore_timeout_ms": 600,
    "maintenance_s": 2,
    "lease_duration_ms": 3000,
    "fencing_enforced": False,
}
DEADLINE_MS = 3000
START_TIMEOUT_S = 20.0
RESTART_S = 0.5  # from the end of a process to its start by the platform
WATCH_S = 0.1


def route(name, priority=1, **fields):
    """Return a route of the manifest, with the prefix of its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_duration_ms": 3000,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": 4,
        "slack_factor": 3.0,
        "public": False,
        **fields,
    }


def service(name=SERVICE, **fields):
    """Return a service of the manifest."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 64,
        "protocol": "h1",
        "tls_enabled": False,
        "rejects_overload": False,
        "standby": False,
        **fields,
    }


def manifest(version=1, routes=None, **fields):
    """Return a manifest with one route, unless others are given."""
    return {
        "version": version,
        "routes": routes or [route("urgent", 0), route("batch")],
        "services": [service()],
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
        **fields,
    }


class Record:
    """What was sent, answered and run, with the seconds since the beginning."""

    def __init__(self, path):
        self.file = path.open("w")
        self.began = time.time()

    def __call__(self, line):
        """Write a line."""
        self.file.write(f"{time.time() - self.began:8.3f} {line}\n")
        self.file.flush()


class Process:
    """A process of the deploy file, started with its command."""

    def __init__(self, role, settings, folder):
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"][role]["run"])
        self.role = role
        self.settings = settings
        self.path = folder / f"{settings['node_name']}.json"
        self.log = folder / f"{settings['node_name']}.log"
        self.process = None

    async def start(self):
        """Start the process with its settings of this moment."""
        self.path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                env={
                    **environment,
                    "LANG": "C.UTF-8",
                    "MARJORAMUSHER_BOOT": str(self.path),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self, number=signal.SIGKILL):
        """Send a signal that ends the process, and wait until it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        return await self.process.wait()

    def memory_mb(self):
        """Return the resident memory in MB, `None` if the process has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.split("VmRSS:")[1].split()[0]) // 1024
        except (OSError, IndexError):
            return None

    def usage(self):
        """Return the processor seconds and the peak memory in MB, as far as known."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            peak = next(
                int(line.split()[1]) // 1024
                for line in (folder / "status").read_text().splitlines()
                if line.startswith("VmHWM")
            )
        except (OSError, StopIteration):
            return 0.0, 0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), peak


class Bed:
    """Three controllers, gateways and servers, each on its own loopback address."""

    def __init__(self, record, gateways=2, runners=3, **fields):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ports = [self.free_port() for _ in range(5)]
        self.control_port, self.peer_port, self.front_port = ports[:3]
        self.ready_port, self.runner_port = ports[3:]
        self.fields = fields
        self.cloud_address = f"{self.subnet}.201:{self.runner_port}"
        self.control = [f"{self.subnet}.{1 + i}:{self.control_port}" for i in range(3)]
        self.controllers = [self.make("controller", i) for i in range(3)]
        self.gateways = [self.make("gateway", i) for i in range(gateways)]
        self.fronts = [
            item.settings["listen_addresses"]["frontend"] for item in self.gateways
        ]
        self.runner_count = runners
        self.runners = []
        self.tasks = []

    def free_port(self):
        """Return a port that is free on this subnet."""
        with socket.socket() as listener:
            listener.bind((f"{self.subnet}.1", 0))
            return listener.getsockname()[1]

    def make(self, role, index):
        """Return a process with settings like those of a small deployment."""
        is_controller = role == "controller"
        address = f"{self.subnet}.{(1 if is_controller else 11) + index}"
        name = f"{role}-{index}"
        if is_controller:
            listen = {"control_plane": f"{address}:{self.control_port}"}
        else:
            listen = {
                "frontend": f"{address}:{self.front_port}",
                "ready": f"{address}:{self.ready_port}",
            }
        zones = ("z1", "z2", "z3")
        return Process(
            role,
            {
                "node_name": name,
                "role": role,
                "machine_class": "core" if is_controller else "frontend",
                "serves": ["control" if is_controller else "frontend"],
                "ip_address": address,
                "zone": zones[index % 3],
                "region": "valle",
                "zones": dict.fromkeys(zones, "valle"),
                "listen_addresses": listen,
                "internal_port_range": [self.peer_port, self.peer_port + 15],
                "seed_nodes": self.control,
                "bootstrap": True,
                "limits": {
                    "cpu_share": 0.717,
                    "cpu_cores": 3,
                    "memory_mb": 300,
                    "file_descriptors": 4100,
                    "link_speed_mbps": 1000.0,
                    "disk_mb": 128 if is_controller else 0,
                },
                "data_directory": str(self.folder / name) if is_controller else None,
                "heartbeat_interval_ms": 1500,
                "contracts": ["base", "drain", "config", "recover", "sched", "tenants"],
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
                "cloud_api": {"address": self.cloud_address, "rate_per_s": 60.0},
                "control_mode": "invocation",
                **self.fields,
            },
            self.folder,
        )

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        for process in (*self.controllers, *self.gateways):
            if process.role == "controller":
                pathlib.Path(process.settings["data_directory"]).mkdir()
            await process.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in (*self.controllers, *self.gateways):
            cpu_s, peak_mb = process.usage()
            name = process.settings["node_name"]
            exited = process.process.returncode
            self.record(f"{name}: {cpu_s} s processor, {peak_mb} MB, exit {exited}")
            await process.end()
        await self.session.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, coroutine):
        """Run a coroutine until the bed ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def call(self, method, address, path, body=None, timeout_s=1.0, **headers):
        """Send a request once; the status is None if no answer came in time."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        fields = {name.replace("_", "-"): text for name, text in headers.items()}
        data = body if body is None or isinstance(body, bytes) else json.dumps(body)
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                data=data,
                headers=fields,
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return None, str(type(error).__name__).encode()

    async def order(self, path, body, seconds=START_TIMEOUT_S):
        """Send an order of the operator to node after node until it is answered."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            status, _ = await self.call(
                "POST", self.control[number % 3], path, body, 1.0
            )
            if status is not None and status < 500 and status not in (408, 429):
                self.record(f"order {path} answered {status}")
                return status
            number += 1
            await asyncio.sleep(0.2)
        return None

    async def client(self, method, path, body=None, tag="", front=0, **fields):
        """Send a client's call once and record it."""
        deadline_ms = fields.get("deadline_ms", DEADLINE_MS)
        status, data = await self.call(
            method,
            self.fronts[front % len(self.fronts)],
            path,
            body,
            deadline_ms / 1000,
            Host=fields.get("host", HOST),
            Authorization=f"Bearer {fields.get('key', KEY)}",
            Content_Type="application/json",
            X_Deadline_Ms=str(deadline_ms),
        )
        text = data[:80].decode("utf-8", "replace")
        self.record(f"{tag} {method} {path} answered {status} {text}")
        return status, data

    async def submit(self, path, body, tag="", seconds=DEADLINE_MS / 1000):
        """Hand a job in, again after no answer or an unclear one; return the status."""
        end = time.monotonic() + seconds
        front = random.randrange(len(self.fronts))
        status = None
        while True:
            left_ms = max(int((end - time.monotonic()) * 1000), 200)
            status, _ = await self.client(
                "POST", path, body, tag, front, deadline_ms=left_ms
            )
            if status not in (None, 502, 504) or time.monotonic() >= end:
                return status
            front += 1
            await asyncio.sleep(0.1)

    async def start_service(self, content, **fields):
        """Store the first manifest, start the servers and wait until a job runs."""
        if await self.order("/Configuration.Replace", content) != 200:
            raise RuntimeError("the first manifest wasn't acknowledged")
        for index in range(self.runner_count):
            self.add_runner(f"i-{index:04x}", index, **fields)
        end = time.monotonic() + START_TIMEOUT_S
        path = f"{content['routes'][-1]['path_prefix']}{new_id()}"
        while time.monotonic() < end:
            status, _ = await self.client("POST", path, job(50), "warm-up")
            if status == 200:
                break
            await asyncio.sleep(0.5)
        while time.monotonic() < end:
            _, data = await self.client("GET", path, None, "warm-up")
            if b"completed" in data:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("the first job didn't complete")

    def add_runner(self, name, index, **fields):
        """Start a server."""
        added = runner.Runner(
            name,
            f"{self.subnet}.{31 + index}:{self.runner_port}",
            fields.pop("service", SERVICE),
            random.sample(self.control, 3),
            self.record,
            **{"labels": ("a", f"r1-{index}"), "zone": f"z{1 + index % 3}", **fields},
        )
        self.runners.append(added)
        self.spawn(added.live(self.session))
        return added

    async def limit_memory(self, process, kills):
        """Kill and restart a process that uses more than its memory, as the platform.

        Each time, the name of its machine is added to `kills`.
        """
        name = process.settings["node_name"]
        limit_mb = process.settings["limits"]["memory_mb"]
        while True:
            await asyncio.sleep(WATCH_S)
            used_mb = process.memory_mb()
            if used_mb is None or used_mb <= limit_mb:
                continue
            kills.append(name)
            self.record(f"{name} uses {used_mb} MB: killed and restarted")
            await process.end()
            await asyncio.sleep(RESTART_S)
            process.settings["bootstrap"] = False
            await process.start()

    async def leader(self):
        """Return the index of the controller that leads, if one says so."""
        for index, process in enumerate(self.controllers):
            address = f"{process.settings['ip_address']}:9464"
            _, data = await self.call("GET", address, "/metrics", None, 0.5)
            if b"marjoramusher_leading 1" in data:
                return index
        return None

    def starts(self, workflow_id):
        """Return the starts of a job's work items as (time, task, run, server)."""
        return sorted(
            (at, task, run, item.name)
            for item in self.runners
            for at, task, run in item.starts
            if task.startswith(workflow_id)
        )


def new_id():
    """Return a new name of a job."""
    return f"{random.getrandbits(64):016x}"


def job(duration_ms, steps=None, spec=None):
    """Return a job of one work item, unless other steps are given."""
    plain = {"count": 1, "cpu": 100, "task_memory_mb": 10, "estimated_ms": duration_ms}
    return {"spec": spec or f"{duration_ms} text", "steps": steps or [plain]}
