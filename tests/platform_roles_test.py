"""Guards start, reload and stop of the platform's roles as real processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

import pytest
from aiohttp import ClientSession, test_utils

from adapter import settings, wire_test
from tests import platform_session_test as session

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The port of the metrics is fixed, so each process has an address of its own.
CONTROLLER, GATEWAY = (
    f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{last}" for last in (2, 3)
)
PATIENCE_S = 60.0  # only ends a test that would never end


class Role:
    """One process of the platform, its settings file and its log lines."""

    def __init__(self, folder, role, address, own):
        self.role = role
        self.path = folder / f"{role}.json"
        self.own = {"node_name": role, "ip_address": address, **own}
        self.lines = []
        self.write()

    def write(self, **changes):
        self.own.update(changes)
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.own))
        fresh.rename(self.path)

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/main.py",
            self.role,
            cwd=ROOT,
            env={**os.environ, settings.BOOT: str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.create_task(self.read())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader

    async def read(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    async def until(self, kind, **fields):
        """Wait for a log line."""
        while not any(
            line["message_type"] == kind and fields.items() <= line.items()
            for line in self.lines
        ):
            assert self.process.returncode is None, self.lines
            await asyncio.sleep(0.05)

    async def stop(self):
        """Stop gracefully and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


def roles(folder):
    control, peers, front, ready = (test_utils.unused_port() for _ in range(4))
    shared = {
        "zone": "z",
        "region": "r",
        "internal_port_range": [peers, peers],
        "seed_nodes": [f"{CONTROLLER}:{control}"],
        "bootstrap": True,
        "field_of_a_later_release": 1,
    }
    controller = Role(
        folder,
        "controller",
        CONTROLLER,
        {
            **shared,
            "listen_addresses": {"control_plane": f"{CONTROLLER}:{control}"},
            "data_directory": str(folder / "data"),
        },
    )
    gateway = Role(
        folder,
        "gateway",
        GATEWAY,
        {
            **shared,
            "listen_addresses": {
                "frontend": f"{GATEWAY}:{front}",
                "ready": f"{GATEWAY}:{ready}",
            },
        },
    )
    return controller, gateway


@pytest.mark.asyncio
async def test_roles_start_reload_and_stop_without_cutting_a_request(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(PATIENCE_S))
        controller, gateway = roles(tmp_path)
        await stack.enter_async_context(controller)
        await stack.enter_async_context(gateway)
        await controller.until("driver.started")
        await gateway.until("leader.regained")
        client = await stack.enter_async_context(ClientSession())
        listen = {
            **controller.own["listen_addresses"],
            **gateway.own["listen_addresses"],
        }
        control = f"http://{listen['control_plane']}"
        front = f"http://{listen['frontend']}/q/{session.ID}"
        ready = f"http://{listen['ready']}/readiness"
        manifest = json.dumps(wire_test.MANIFEST)
        async with client.post(f"{control}/Configuration.Replace", data=manifest) as r:
            assert r.status == 200
        async with client.get(ready) as answer:
            assert answer.status == 200
        async with client.get(f"http://{CONTROLLER}:9464/metrics") as answer:
            assert "marjoramusher_leading 1" in await answer.text()

        # Settings change with and without a signal, and may be unreadable for a while.
        seeds = [*controller.own["seed_nodes"], "127.0.0.9:1"]
        gateway.write(seed_nodes=seeds)
        await gateway.until("gateway.controllers")
        controller.process.send_signal(signal.SIGHUP)
        await controller.until("settings.reloaded", signalled=True, changed=False)
        gateway.path.write_text("{")
        gateway.process.send_signal(signal.SIGHUP)
        await gateway.until("settings.not_reloaded")

        # While it stops, the entry is out of rotation but still answers.
        stopping = asyncio.create_task(gateway.stop())
        await gateway.until("gateway.draining")
        async with client.get(ready) as answer:
            assert answer.status == 503
        async with client.post(
            front, data=session.job(1), headers=session.HEADERS
        ) as answer:
            assert answer.status == 200
        assert await stopping == 0
        assert await controller.stop() == 0
        assert controller.lines[-1]["message_type"] == "controller.stopped"


@pytest.mark.asyncio
async def test_a_role_with_settings_that_cannot_be_used_says_so_and_ends(tmp_path):
    async with asyncio.timeout(PATIENCE_S):
        controller, _ = roles(tmp_path)
        controller.path.write_text('{"node_name": 1}')
        async with controller:
            assert await controller.process.wait() == 2
        assert [line["message_type"] for line in controller.lines] == [
            "settings.invalid"
        ]
