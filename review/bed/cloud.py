"""Stand-in for the service that lists machines and takes them down for upkeep."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from . import runner


class Cloud:
    """List the machines of some runners, and carry out upkeeps at once."""

    def __init__(
        self,
        runners: dict[str, runner.Runner],
        upkeep_s: float,
        record: Callable[..., None],
    ) -> None:
        self._runners = runners
        self._upkeep_s = upkeep_s
        self._record = record
        self._states: dict[str, str] = {}
        self._done: set[tuple[str, int]] = set()
        self._lives: dict[str, int] = {}
        self.waves: dict[int, set[str]] = {}
        self.delay_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str) -> str:
        """Serve on a free port, and return the address."""
        application = web.Application()
        application.router.add_get("/machines", self._handle_list)
        application.router.add_post("/machine-upkeep", self._handle_upkeep)
        self._site = web.AppRunner(application, access_log=None, shutdown_timeout=0.0)
        await self._site.setup()
        await web.TCPSite(self._site, host, 0).start()
        return f"{host}:{self._site.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop to serve."""
        for task in [*self._tasks]:
            task.cancel()
        await self._site.cleanup()

    async def _handle_list(self, request: web.Request) -> web.Response:
        del request
        await asyncio.sleep(self.delay_s)
        rows = [
            {
                "machine": one.machine,
                "pool": one.service,
                "state": self._states.get(one.machine, "up" if one.is_up else "down"),
                "zone": one.zone,
                "labels": one.labels,
                "capacity": one.capacity,
                "id": one.name if one.is_up else None,
            }
            for one in self._runners.values()
        ]
        return web.json_response({"machines": rows, "next_token": None})

    async def _handle_upkeep(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        machine, wave = body["machine"], body["wave"]
        await asyncio.sleep(self.delay_s)
        one = next(
            (item for item in self._runners.values() if item.machine == machine), None
        )
        self._record(
            event="upkeep_order",
            machine=machine,
            wave=wave,
            holder=request.headers.get("X-Duty-Holder"),
            token=request.headers.get("X-Fencing-Token"),
        )
        if one is None:
            return web.json_response({}, status=400)
        if machine not in self.waves.get(wave, ()):
            return web.json_response({"reason": "wave"}, status=409)
        if (machine, wave) in self._done:
            return web.json_response({})
        if self._states.get(machine) or not one.is_up or one.state != "ready":
            return web.json_response({"reason": "busy"}, status=409)
        self._done.add((machine, wave))
        self._states[machine] = "upkeep"
        self._record(
            event="upkeep_begins",
            machine=machine,
            wave=wave,
            runner=one.name,
            running=sorted(one.active),
        )
        await one.crash()
        task = asyncio.get_running_loop().create_task(self._bring_back(one, wave))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response({})

    async def _bring_back(self, one: runner.Runner, wave: int) -> None:
        await asyncio.sleep(self._upkeep_s)
        life = self._lives[one.machine] = self._lives.get(one.machine, 0) + 1
        one.name = f"{one.machine.removeprefix('m-')}-life{life}"
        await one.boot()
        del self._states[one.machine]
        self._record(event="upkeep_ends", machine=one.machine, wave=wave)
