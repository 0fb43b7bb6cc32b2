"""Deployment of an instance, a runner and a worker inside the test process."""

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
    """System clock with the interface that the instance expects."""

    def monotonic(self) -> float:
        """Return the reading of the monotonic clock in seconds."""
        return time.monotonic()

    def utcnow(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(datetime.UTC)


class Response:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def content(self) -> Any:
        """Return the body decoded from JSON, or as text if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return self.body.decode("utf-8", "replace")


class Deployment:
    """Start and stop an instance, a runner and a worker.

    A restarted instance keeps its data directory and its addresses.

    Parameters
    ----------
    folder : pathlib.Path
        Receives the data directory, the token files and the history of the runner.
    """

    def __init__(self, folder) -> None:
        self._folder = folder
        http_port, peer_port = _free_ports(2)
        operator_token_file, instance_token_file = (
            folder / "operator-token",
            folder / "instance-token",
        )
        operator_token_file.write_text(OPERATOR_TOKEN)
        instance_token_file.write_text(INSTANCE_TOKEN)
        self.url = f"http://127.0.0.1:{http_port}"
        self.http_port = http_port
        self._settings = settings.parse(
            {
                "instance-id": "instance-1",
                "failure-domain": DOMAIN,
                "region": "default",
                "listen": f"127.0.0.1:{http_port}",
                "advertise-url": "",
                "peer-listen": f"127.0.0.1:{peer_port}",
                "seeds": "",
                "data-dir": str(folder / "data"),
                "diskless": False,
                "bootstrap-expect": "1",
                "operator-token-file": str(operator_token_file),
                "instance-token-file": str(instance_token_file),
                "enable-fault-injection": True,
                "drain-timeout-s": "30",
            }
        )
        self.instance: instance.Instance
        self._session: aiohttp.ClientSession
        self._announcement_task: asyncio.Task | None = None

    async def __aenter__(self) -> "Deployment":
        self._session = aiohttp.ClientSession()
        await self.start_instance()
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._announcement_task is not None:
            self._announcement_task.cancel()
            await self._worker.stop()
            await self._runner_site.cleanup()
        await self.stop_instance()
        await self._session.close()

    async def start_instance(self) -> None:
        """Start the instance and wait until it is ready and leads all its groups."""
        self.instance = instance.Instance(
            self._settings, SystemClock(), random.Random(1), metrics.Metrics()
        )
        await self.instance.start()
        while (await self.call("GET", "/ready")).status != 200:
            await asyncio.sleep(0.02)
        while not await self._leads_all_groups():
            await asyncio.sleep(0.02)

    async def _leads_all_groups(self) -> bool:
        status = (await self.call_as_operator("GET", "/v1/status")).content
        return all(group["role"] == "leader" for group in status["groups"].values())

    async def stop_instance(self) -> bool:
        """Drain and stop the instance.

        Returns
        -------
        bool
            Whether all requests in progress ended before the drain timeout.
        """
        is_drained = await self.instance.drain()
        await self.instance.stop()
        return is_drained

    async def start_targets(self) -> None:
        """Start a runner and a worker, which announce themselves to the instance."""
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
        self._announcement_task = asyncio.create_task(
            runner.keep_announcing(self._session)
        )
        self._worker = workers.Worker(
            "worker-1",
            DOMAIN,
            "rack-1",
            resource.Resources(8, 64, 65536),
            [self.url],
            INSTANCE_TOKEN,
        )
        await self._worker.start()

    def count_runs(self, key: str) -> int:
        """Return how often the runner started a request with an idempotency key."""
        lines = (self._folder / "runner.jsonl").read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return sum(
            event["event"] == "started" and event.get("key") == key for event in events
        )

    async def call(self, method: str, path: str, body=None, **headers: str) -> Response:
        """Send an HTTP request; a body other than bytes is encoded as JSON.

        Underscores in the names of header arguments become hyphens.
        """
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        http_headers = {name.replace("_", "-"): text for name, text in headers.items()}
        async with self._session.request(
            method, f"{self.url}{path}", data=body, headers=http_headers
        ) as response:
            return Response(response.status, response.headers, await response.read())

    async def call_as_operator(self, method: str, path: str, body=None, **headers: str):
        """Send an HTTP request with the token of the operators."""
        token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.call(method, path, body, **{**token, **headers})

    async def apply_records(self, operation_id: str, *records) -> Response:
        """Apply records in one operation, as the operator alice."""
        body = {"operation_id": operation_id, "records": records}
        return await self.call_as_operator(
            "POST", "/v1/records/apply", body, X_Operator="alice"
        )


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
        return [bound_socket.getsockname()[1] for bound_socket in sockets]
    finally:
        for bound_socket in sockets:
            bound_socket.close()
