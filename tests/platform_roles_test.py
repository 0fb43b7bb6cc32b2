"""Guards start, settings reload and graceful stop of the platform's processes."""

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
# The metrics port is fixed, so each process needs a loopback address of its own.
CONTROLLER_IP, GATEWAY_IP = (
    f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{last_byte}"
    for last_byte in (2, 3)
)
TEST_TIMEOUT_S = 60.0  # Only bounds a test that would otherwise hang.


class RoleProcess:
    """A process of the platform with its settings file and its log lines."""

    def __init__(self, folder, role, address, role_settings):
        self.role = role
        self.path = folder / f"{role}.json"
        self.settings = {"node_name": role, "ip_address": address, **role_settings}
        self.lines = []
        self.write_settings()

    def write_settings(self, **changes):
        self.settings.update(changes)
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(self.settings))
        new_path.rename(self.path)

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/main.py",
            self.role,
            cwd=ROOT,
            env={**os.environ, settings.BOOT: str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader_task = asyncio.create_task(self.collect_lines())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader_task

    async def collect_lines(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    async def wait_for_line(self, kind, **fields):
        """Wait for a log line of a kind that has the given fields."""
        while not any(
            line["message_type"] == kind and fields.items() <= line.items()
            for line in self.lines
        ):
            assert self.process.returncode is None, self.lines
            await asyncio.sleep(0.05)

    async def stop(self):
        """Stop the process with SIGTERM and return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


def make_roles(folder):
    control_port, peer_port, frontend_port, ready_port = (
        test_utils.unused_port() for _ in range(4)
    )
    shared = {
        "zone": "z",
        "region": "r",
        "internal_port_range": [peer_port, peer_port],
        "seed_nodes": [f"{CONTROLLER_IP}:{control_port}"],
        "bootstrap": True,
        "field_of_a_later_release": 1,
    }
    controller = RoleProcess(
        folder,
        "controller",
        CONTROLLER_IP,
        {
            **shared,
            "listen_addresses": {"control_plane": f"{CONTROLLER_IP}:{control_port}"},
            "data_directory": str(folder / "data"),
        },
    )
    gateway = RoleProcess(
        folder,
        "gateway",
        GATEWAY_IP,
        {
            **shared,
            "listen_addresses": {
                "frontend": f"{GATEWAY_IP}:{frontend_port}",
                "ready": f"{GATEWAY_IP}:{ready_port}",
            },
        },
    )
    return controller, gateway


@pytest.mark.asyncio
async def test_roles_start_reload_and_stop_without_cutting_a_request(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(TEST_TIMEOUT_S))
        controller, gateway = make_roles(tmp_path)
        await stack.enter_async_context(controller)
        await stack.enter_async_context(gateway)
        await controller.wait_for_line("driver.started")
        await gateway.wait_for_line("leader.regained")
        client = await stack.enter_async_context(ClientSession())
        addresses = {
            **controller.settings["listen_addresses"],
            **gateway.settings["listen_addresses"],
        }
        control_url = f"http://{addresses['control_plane']}"
        workflow_url = f"http://{addresses['frontend']}/q/{session.WORKFLOW_ID}"
        ready_url = f"http://{addresses['ready']}/readiness"
        manifest = json.dumps(wire_test.MANIFEST)
        async with client.post(
            f"{control_url}/Configuration.Replace", data=manifest
        ) as response:
            assert response.status == 200
        async with client.get(ready_url) as response:
            assert response.status == 200
        async with client.get(f"http://{CONTROLLER_IP}:9464/metrics") as response:
            assert "marjoramusher_leading 1" in await response.text()

        # Settings are reloaded with and without a signal; unreadable ones are ignored.
        seeds = [*controller.settings["seed_nodes"], "127.0.0.9:1"]
        gateway.write_settings(seed_nodes=seeds)
        await gateway.wait_for_line("gateway.controllers")
        controller.process.send_signal(signal.SIGHUP)
        await controller.wait_for_line(
            "settings.reloaded", signalled=True, changed=False
        )
        gateway.path.write_text("{")
        gateway.process.send_signal(signal.SIGHUP)
        await gateway.wait_for_line("settings.not_reloaded")

        # A draining gateway is not ready, but still answers requests.
        stop_task = asyncio.create_task(gateway.stop())
        await gateway.wait_for_line("gateway.draining")
        async with client.get(ready_url) as response:
            assert response.status == 503
        async with client.post(
            workflow_url, data=session.job_body(1), headers=session.HEADERS
        ) as response:
            assert response.status == 200
        assert await stop_task == 0
        assert await controller.stop() == 0
        assert controller.lines[-1]["message_type"] == "controller.stopped"


@pytest.mark.asyncio
@pytest.mark.parametrize("connections", [None, 3, -1])
async def test_a_role_with_settings_that_cannot_be_used_says_so_and_ends(
    tmp_path, connections
):
    async with asyncio.timeout(TEST_TIMEOUT_S):
        controller, _ = make_roles(tmp_path)
        unusable = '{"node_name": 1}'
        if connections is not None:
            intake = {"connections": connections}
            unusable = json.dumps({**controller.settings, "intake": intake})
        controller.path.write_text(unusable)
        async with controller:
            assert await controller.process.wait() == 2
        assert [line["message_type"] for line in controller.lines] == [
            "settings.invalid"
        ]
