"""Guards the whole path on the platform, from callers and operators to runners."""

import asyncio
import contextlib
import json
import random

import pytest
from aiohttp import test_utils, web

from adapter import client, control, ingress, settings, wire_test, workers
from marjoramusher.daemon import controller, gateway, system
from marjoramusher.executors import driver
from marjoramusher.telemetry import metrics

ID = "5c0e7a21d94b36f8"
HEADERS = {"Host": "h.example", "Authorization": "Bearer k1"}
PATIENCE_S = 60.0  # only ends a test that would never end


class Runner:
    """Stand-in of a runner: what it starts is done at once."""

    def __init__(self):
        self.started = []
        self.ends = []
        self.refusals = 0

    def application(self):
        made = web.Application()
        made.router.add_post("/run-start", self.start)
        made.router.add_post("/run-stop", self.stop)
        made.router.add_post("/hold", self.hold)
        return made

    async def start(self, request):
        order = await request.json()
        key = (order["task"], order["run"])
        if self.refusals:
            self.refusals -= 1
            return web.json_response({"clock_ms": 1000, "reason": "room"}, status=409)
        if key not in self.started:
            self.started.append(key)
            self.ends.append([len(self.ends) + 1, *key, "done", ""])
        return web.json_response({"clock_ms": 1000})

    async def stop(self, request):
        await request.read()
        return web.json_response({"clock_ms": 1000})

    async def hold(self, request):
        order = await request.json()
        ends = [end for end in self.ends if end[0] > order["last_seen"]]
        return web.json_response({"clock_ms": 1000, "active": [], "finished": ends})


class Deployment:
    """Three controllers and an entry on loopback."""

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
            await self.start(address, founds=True)
        entry = gateway.Gateway(
            "entry",
            self.addresses,
            system.SystemClock(),
            random.Random(),
            self.metrics_registry,
        )
        entry.start()
        self.stack.push_async_callback(entry.stop)
        self.client = await self.serve(ingress.Ingress(entry, self.metrics_registry))
        runner = test_utils.TestServer(self.runner.application())
        await self.stack.enter_async_context(runner)
        self.runner_address = f"127.0.0.1:{runner.port}"
        return self

    async def __aexit__(self, *_):
        await self.stack.aclose()
        for running, http in self.controllers.values():
            await running.stop()
            await http.close()

    @property
    def metrics_registry(self):
        return metrics.Metrics()

    async def serve(self, interface):
        server = test_utils.TestServer(interface.application())
        return await self.stack.enter_async_context(test_utils.TestClient(server))

    async def start(self, address, founds):
        http = client.Client()
        running = controller.Controller(
            controller.Settings(
                address,
                f"z{address}",
                "r",
                self.addresses,
                str(self.folder / address.replace(":", "-")),
                founds,
            ),
            driver.Settings(),
            driver.Ports(workers.HttpWorkers(http)),
            system.SystemClock(),
            random.Random(),
            self.metrics_registry,
        )
        await running.start()
        self.controllers[address] = (running, http)

    async def stop(self, address):
        running, http = self.controllers.pop(address)
        await running.stop()
        await http.close()

    def leader(self):
        return next((a for a, (c, _) in self.controllers.items() if c.is_leading), None)

    async def control(self, method, path, body=None):
        """Call the control interface of some controller until it is accepted."""
        while True:
            address = random.choice(sorted(self.controllers))
            own = settings.Settings(
                address, "127.0.0.1", "z", "r", {}, (1, 2), ("127.0.0.1:1",)
            )
            running, _ = self.controllers[address]
            caller = await self.serve(
                control.Control(running, own, self.metrics_registry)
            )
            async with caller.request(method, path, data=body) as response:
                if response.status == 200:
                    return await response.read()
            await asyncio.sleep(0.1)

    async def beat(self, sequence):
        said = {
            **wire_test.BEAT,
            "address": self.runner_address,
            "sequence": sequence,
        }
        await self.control("POST", "/Instances.Heartbeat/i-1", json.dumps(said))

    async def ask(self, method, path, body=None):
        """Call the entry until it knows the outcome."""
        while True:
            async with self.client.request(
                method, path, data=body, headers=HEADERS
            ) as response:
                if response.status not in (503, 504):
                    return response.status, await response.json()
            await asyncio.sleep(0.1)

    async def completed(self, workflow_id):
        sequence = 100
        while True:
            status, said = await self.ask("GET", f"/q/{workflow_id}")
            if (status, said) == (200, {"state": "completed"}):
                return
            sequence += 1
            await self.beat(sequence)
            await asyncio.sleep(0.1)


def job(count):
    steps = [
        {"count": count, "cpu": 100, "gpu": 1},
        {"count": 1, "cpu": 100, "dependencies": [0], "gang_scheduled": True},
    ]
    return json.dumps({"spec": "s", "steps": steps})


async def play(tmp_path):
    """Serve callers while the leader is lost and comes back with an empty disk."""
    async with asyncio.timeout(PATIENCE_S), Deployment(tmp_path) as made:
        manifest = json.dumps(wire_test.MANIFEST)
        await made.control("POST", "/Configuration.Replace", manifest)
        await made.beat(1)
        assert await made.ask("POST", f"/q/{ID}", job(3)) == (200, {})
        await made.completed(ID)
        # The leader goes; what was accepted and done is known to the next one.
        gone = made.leader()
        await made.stop(gone)
        await made.completed(ID)
        second = ID.replace("5c", "6d")
        assert await made.ask("POST", f"/q/{second}", job(2)) == (200, {})
        await made.completed(second)
        # It comes back with an empty disk.
        folder = tmp_path / gone.replace(":", "-")
        folder.rename(tmp_path / "lost")
        await made.start(gone, founds=False)
        read = await made.control("GET", "/Configuration.Read")
        assert read.decode() == manifest
        assert await made.ask("POST", f"/q/{ID}", job(3)) == (200, {})
        assert len(made.runner.started) == len(set(made.runner.started)) == 7


@pytest.mark.asyncio
async def test_a_session_survives_the_leader_and_a_lost_disk(tmp_path):
    await play(tmp_path)
