"""Guards the path from callers to runners when a leader stops and loses its disk."""

import asyncio
import contextlib
import json
import random

import pytest
from aiohttp import test_utils, web

from adapter import client, control, ingress, settings, wire_test, workers
from marjoramusher.cli import controllers
from marjoramusher.daemon import controller, gateway, system
from marjoramusher.executors import driver
from marjoramusher.queues import call
from marjoramusher.telemetry import metrics

WORKFLOW_ID = "5c0e7a21d94b36f8"
HEADERS = {"Host": "h.example", "Authorization": "Bearer k1"}
TEST_TIMEOUT_S = 60.0  # Only bounds a test that would otherwise hang.


class Runner:
    """Stand-in for a runner that completes each run as soon as it starts."""

    def __init__(self):
        self.started_runs = []
        self.finished_runs = []
        self.refusals = 0

    def application(self):
        application = web.Application()
        application.router.add_post("/run-start", self.handle_start)
        application.router.add_post("/run-stop", self.handle_stop)
        application.router.add_post("/hold", self.handle_poll)
        return application

    async def handle_start(self, request):
        body = await request.json()
        run_key = (body["task"], body["run"])
        if self.refusals:
            self.refusals -= 1
            return web.json_response({"clock_ms": 1000, "reason": "room"}, status=409)
        if run_key not in self.started_runs:
            self.started_runs.append(run_key)
            self.finished_runs.append(
                [len(self.finished_runs) + 1, *run_key, "done", ""]
            )
        return web.json_response({"clock_ms": 1000})

    async def handle_stop(self, request):
        await request.read()
        return web.json_response({"clock_ms": 1000})

    async def handle_poll(self, request):
        body = await request.json()
        new_runs = [run for run in self.finished_runs if run[0] > body["last_seen"]]
        return web.json_response({"clock_ms": 1000, "active": [], "finished": new_runs})


class Deployment:
    """Three controllers, a gateway and a runner on loopback."""

    def __init__(self, folder):
        self.folder = folder
        self.runner = Runner()
        self.stack = contextlib.AsyncExitStack()
        self.controllers = {}

    async def __aenter__(self):
        self.addresses = tuple(
            f"127.0.0.1:{test_utils.unused_port()}" for _ in range(3)
        )
        for address in self.addresses:
            await self.start_controller(address, is_bootstrapping=True)
        running_gateway = gateway.Gateway(
            "entry",
            self.addresses,
            system.SystemClock(),
            random.Random(),
            self.metrics_registry,
        )
        running_gateway.start()
        self.stack.push_async_callback(running_gateway.stop)
        self.client = await self.serve(
            ingress.Ingress(running_gateway, self.metrics_registry)
        )
        runner = test_utils.TestServer(self.runner.application())
        await self.stack.enter_async_context(runner)
        self.runner_address = f"127.0.0.1:{runner.port}"
        return self

    async def __aexit__(self, *_):
        await self.stack.aclose()
        for running_controller, http in self.controllers.values():
            await running_controller.stop()
            await http.close()

    @property
    def metrics_registry(self):
        return metrics.Metrics()

    async def serve(self, handlers):
        server = test_utils.TestServer(handlers.application())
        return await self.stack.enter_async_context(test_utils.TestClient(server))

    async def start_controller(self, address, is_bootstrapping):
        http = client.Client()
        running_controller = controller.Controller(
            controller.Settings(
                address,
                f"z{address}",
                "r",
                self.addresses,
                str(self.folder / address.replace(":", "-")),
                is_bootstrapping,
            ),
            driver.Settings(),
            driver.Ports(workers.HttpWorkers(http)),
            system.SystemClock(),
            random.Random(),
            self.metrics_registry,
        )
        await running_controller.start()
        self.controllers[address] = (running_controller, http)

    async def stop_controller(self, address):
        running_controller, http = self.controllers.pop(address)
        await running_controller.stop()
        await http.close()

    def leader_address(self):
        """Return the address of the controller that leads, if any."""
        return next(
            (
                address
                for address, (candidate, _) in self.controllers.items()
                if candidate.is_leading
            ),
            None,
        )

    async def call_controllers(self, method, path, body=None):
        """Send a request to randomly chosen controllers until one accepts it."""
        while True:
            address = random.choice(sorted(self.controllers))
            control_settings = settings.Settings(
                address, "127.0.0.1", "z", "r", {}, (1, 2), ("127.0.0.1:1",)
            )
            running_controller, _ = self.controllers[address]
            caller = await self.serve(
                control.Control(
                    running_controller, control_settings, self.metrics_registry
                )
            )
            async with caller.request(method, path, data=body) as response:
                if response.status == 200:
                    return await response.read()
            await asyncio.sleep(0.1)

    async def send_heartbeat(self, sequence, **changes):
        heartbeat = {
            **wire_test.HEARTBEAT,
            "address": self.runner_address,
            "sequence": sequence,
            **changes,
        }
        await self.call_controllers(
            "POST", "/Instances.Heartbeat/i-1", json.dumps(heartbeat)
        )

    async def call_gateway(self, method, path, body=None):
        """Send a request to the gateway until the response states an outcome."""
        while True:
            async with self.client.request(
                method, path, data=body, headers=HEADERS
            ) as response:
                if response.status not in (503, 504):
                    return response.status, await response.json()
            await asyncio.sleep(0.1)

    async def wait_completed(self, workflow_id):
        """Wait until a workflow is completed, while its worker sends heartbeats."""
        sequence = 100
        while True:
            status, body = await self.call_gateway("GET", f"/q/{workflow_id}")
            if (status, body) == (200, {"state": "completed"}):
                return
            sequence += 1
            await self.send_heartbeat(sequence)
            await asyncio.sleep(0.1)


def job_body(count):
    steps = [
        {"count": count, "cpu": 100, "gpu": 1},
        {"count": 1, "cpu": 100, "dependencies": [0], "gang_scheduled": True},
    ]
    return json.dumps({"spec": "s", "steps": steps})


async def run_session(tmp_path):
    """Submit workflows while the leader stops and returns with an empty disk."""
    async with asyncio.timeout(TEST_TIMEOUT_S), Deployment(tmp_path) as platform:
        manifest = json.dumps(wire_test.MANIFEST)
        await platform.call_controllers("POST", "/Configuration.Replace", manifest)
        await platform.send_heartbeat(1)
        assert await platform.call_gateway(
            "POST", f"/q/{WORKFLOW_ID}", job_body(3)
        ) == (200, {})
        await platform.wait_completed(WORKFLOW_ID)
        await platform.call_controllers("POST", "/Evacuation.Begin/z9")
        # The next leader knows the workflows that were accepted and completed.
        stopped_address = platform.leader_address()
        await platform.stop_controller(stopped_address)
        await platform.wait_completed(WORKFLOW_ID)
        second_id = WORKFLOW_ID.replace("5c", "6d")
        assert await platform.call_gateway("POST", f"/q/{second_id}", job_body(2)) == (
            200,
            {},
        )
        await platform.wait_completed(second_id)
        # The stopped controller returns with an empty disk.
        folder = tmp_path / stopped_address.replace(":", "-")
        folder.rename(tmp_path / "lost")
        await platform.start_controller(stopped_address, is_bootstrapping=False)
        configuration = await platform.call_controllers("GET", "/Configuration.Read")
        assert configuration.decode() == manifest
        reply = await controllers.call_leader(
            platform.addresses, call.ReadEvacuations(), TEST_TIMEOUT_S
        )
        assert [item.failure_domain for item in reply.evacuations] == ["z9"]
        assert await platform.call_gateway(
            "POST", f"/q/{WORKFLOW_ID}", job_body(3)
        ) == (200, {})
        assert (
            len(platform.runner.started_runs)
            == len(set(platform.runner.started_runs))
            == 7
        )


@pytest.mark.asyncio
async def test_a_session_survives_the_leader_and_a_lost_disk(tmp_path):
    await run_session(tmp_path)
