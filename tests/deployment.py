"""One instance, a runner and a worker in the process of the test."""

import asyncio
import datetime
import json
import random
import socket
import time
from typing import Any

import aiohttp
from aiohttp import web

from marjoramusher.core import resource
from marjoramusher.daemon import instance, settings
from marjoramusher.telemetry import metrics
from standins import runner as runners
from standins import worker as workers

OPERATOR_TOKEN = "operator-token-for-tests"
INSTANCE_TOKEN = "instance-token-for-tests"
SERVICE = "inspect"
DOMAIN = "default"

RECORDS = [
    {"kind": "client_account", "name": "acme", "replaces": 0, "spec": {"home": DOMAIN}},
    {
        "schema": 1,
        "kind": "client_account",
        "name": "zeta",
        "replaces": 0,
        "spec": {"home": DOMAIN},
    },
    {"kind": "service", "name": SERVICE, "replaces": 0, "spec": {"deadline_s": 30}},
    {
        "kind": "contract",
        "name": "acme-2090",
        "replaces": 0,
        "spec": {
            "account": "acme",
            "failure_domain": DOMAIN,
            "expires_at": "2090-01-01T00:00:00Z",
        },
    },
]


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def utcnow(self) -> datetime.datetime:
        """Return the current instant."""
        return datetime.datetime.now(datetime.UTC)


class Answer:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def value(self) -> Any:
        """Return the decoded body, or its text if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return self.body.decode("utf-8", "replace")


class Deployment:
    """Start and stop the parts; the instance keeps its folder and addresses.

    Parameters
    ----------
    folder : pathlib.Path
        Gets the data folder, tokens and histories.
    """

    def __init__(self, folder) -> None:
        self._folder = folder
        http, peer = _free_ports(2)
        operator, inner = folder / "operator-token", folder / "instance-token"
        operator.write_text(OPERATOR_TOKEN)
        inner.write_text(INSTANCE_TOKEN)
        self.url = f"http://127.0.0.1:{http}"
        self.port = http
        self._settings = settings.parse(
            {
                "instance-id": "instance-1",
                "failure-domain": DOMAIN,
                "region": "default",
                "listen": f"127.0.0.1:{http}",
                "advertise-url": "",
                "peer-listen": f"127.0.0.1:{peer}",
                "seeds": "",
                "data-dir": str(folder / "data"),
                "diskless": False,
                "bootstrap-expect": "1",
                "operator-token-file": str(operator),
                "instance-token-file": str(inner),
                "enable-fault-injection": True,
                "drain-timeout-s": "30",
            }
        )
        self.instance: instance.Instance
        self._session: aiohttp.ClientSession
        self._announcing: asyncio.Task | None = None

    async def __aenter__(self) -> "Deployment":
        self._session = aiohttp.ClientSession()
        await self.start_instance()
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._announcing is not None:
            self._announcing.cancel()
            await self._worker.stop()
            await self._runner_site.cleanup()
        await self.stop_instance()
        await self._session.close()

    async def start_instance(self) -> None:
        """Start the instance and wait until it is ready and leads its groups."""
        self.instance = instance.Instance(
            self._settings, SystemClock(), random.Random(1), metrics.Metrics()
        )
        await self.instance.start()
        while (await self.call("GET", "/ready")).status != 200:
            await asyncio.sleep(0.02)
        while not await self._leads():
            await asyncio.sleep(0.02)

    async def _leads(self) -> bool:
        status = (await self.operate("GET", "/v1/status")).value
        return all(one["role"] == "leader" for one in status["groups"].values())

    async def stop_instance(self) -> bool:
        """Drain and stop the instance; tell whether nothing was interrupted."""
        drained = await self.instance.drain()
        await self.instance.stop()
        return drained

    async def start_targets(self) -> None:
        """Start a runner and a worker, and wait until both take work."""
        runner = runners.Runner(
            "runner-1",
            "",
            (f"{self.url}/v1/targets/announce",),
            SERVICE,
            DOMAIN,
            token=INSTANCE_TOKEN,
            history=self._folder / "runner.jsonl",
        )
        self._runner_site = web.AppRunner(runner.application(), access_log=None)
        await self._runner_site.setup()
        await web.TCPSite(self._runner_site, "127.0.0.1", 0).start()
        runner.url = f"http://127.0.0.1:{self._runner_site.addresses[0][1]}"
        self._announcing = asyncio.create_task(runner.keep_announcing(self._session))
        self._worker = workers.Worker(
            "worker-1",
            DOMAIN,
            "rack-1",
            resource.Resources(8, 64, 65536),
            [self.url],
            INSTANCE_TOKEN,
        )
        await self._worker.start()

    def runs(self, key: str) -> int:
        """Return how often the runner has started a request with a key."""
        lines = (self._folder / "runner.jsonl").read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return sum(e["event"] == "started" and e.get("key") == key for e in events)

    async def call(self, method: str, path: str, body=None, **headers: str) -> Answer:
        """Make one call; a body that is not bytes is sent as JSON."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        async with self._session.request(
            method, f"{self.url}{path}", data=body, headers=named
        ) as response:
            return Answer(response.status, response.headers, await response.read())

    async def operate(self, method: str, path: str, body=None, **headers: str):
        """Make one call as an operator."""
        token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.call(method, path, body, **{**token, **headers})

    async def apply(self, operation_id: str, *records) -> Answer:
        """Write records."""
        body = {"operation_id": operation_id, "records": records}
        return await self.operate("POST", "/v1/records/apply", body, X_Operator="alice")


def _free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
