"""Stand-in for the platform's service that lists machines and takes them down."""

import asyncio
import json
import time

from aiohttp import web

UPKEEP_S = 2.0  # `maintenance_s` of the sheets
HOLDERS_APART_S = 3.0  # `lease_duration_ms` of the sheets


class Platform:
    """Machines with one server each; a machine in upkeep gets a new one after it."""

    def __init__(self, system, address):
        self.system = system
        self.address = address
        self.machines = {}
        self.waves = {}
        self.begun = {}
        self.breaks = []
        self.orders = []
        self.change_entry = lambda entry: entry
        self.delay_s = lambda order: 0.0
        self.on_order = lambda order: None
        self.listings = 0
        self.lives = 0

    def add(self, name, index):
        """Add a machine and start its server."""
        self.machines[name] = {"state": "up", "index": index}
        self.start_server(name)

    def start_server(self, name):
        """Start a new life of a server on a machine."""
        machine = self.machines[name]
        self.lives += 1
        server_id = f"i-{self.lives:04x}"
        added = self.system.add_runner(server_id, machine["index"])
        machine.update(server=added, id=server_id, task=self.system.tasks[-1])

    def entry(self, name):
        """Return the entry of a machine in the list."""
        machine = self.machines[name]
        server = machine["server"]
        return self.change_entry(
            {
                "machine": name,
                "pool": server.service,
                "state": machine["state"],
                "zone": server.zone,
                "labels": list(server.labels),
                "capacity": dict(
                    zip(("cpu", "task_memory_mb", "gpu"), server.capacity, strict=True)
                ),
                "id": machine["id"] if machine["state"] == "up" else "",
            }
        )

    async def list(self, request):
        """Return all machines on one page."""
        del request
        self.listings += 1
        return web.json_response(
            {"machines": [self.entry(name) for name in self.machines], "next_token": ""}
        )

    async def upkeep(self, request):
        """Begin the upkeep of a machine, unless it has had it in this wave."""
        body = await request.json()
        order = {
            "machine": body["machine"],
            "wave": body["wave"],
            "holder": request.headers["X-Duty-Holder"],
            "token": int(request.headers["X-Fencing-Token"]),
        }
        self.system.record(f"order {json.dumps(order)}")
        self.on_order(order)
        delay_s = self.delay_s(order)
        if delay_s:
            # The platform is slow; whoever sent the order may no longer wait for it.
            task = asyncio.create_task(self.carry_out_later(order, delay_s))
            self.system.tasks.append(task)
            return await asyncio.shield(task)
        return self.carry_out(order)

    async def carry_out_later(self, order, delay_s):
        """Carry an order out after a delay."""
        await asyncio.sleep(delay_s)
        return self.carry_out(order)

    def carry_out(self, order):
        """Carry an order out and return the response."""
        name, wave = order["machine"], order["wave"]
        machine = self.machines.get(name)
        if machine is None:
            return web.json_response({}, status=400)
        if name not in self.waves[wave]["machines"]:
            return web.json_response({"reason": "wave"}, status=409)
        if (wave, name) in self.begun:
            return web.json_response({})
        if machine["state"] != "up":
            return web.json_response({"reason": "busy"}, status=409)
        now = time.monotonic()
        down = [
            other
            for (number, other), at in self.begun.items()
            if number == wave and now - at < UPKEEP_S
        ]
        if len(down) >= self.waves[wave]["max_count"]:
            self.note_break(f"LIMIT: {name} begins while {down} are down")
        for other, at in self.orders:
            if other["machine"] != name or other["holder"] == order["holder"]:
                continue
            if other["token"] == order["token"]:
                self.note_break(f"ONE: two holders with {other['token']} for {name}")
            if now - at < HOLDERS_APART_S:
                self.note_break(f"ONE: holders take turns at {name}")
        self.orders.append((order, now))
        self.begun[wave, name] = now
        machine["state"] = "upkeep"
        self.system.record(f"upkeep of {name} begins")
        machine["task"].cancel()
        asyncio.get_running_loop().call_later(UPKEEP_S, self.end_upkeep, name)
        return web.json_response({})

    def end_upkeep(self, name):
        """End the upkeep of a machine."""
        self.machines[name]["state"] = "up"
        self.system.record(f"upkeep of {name} ends")
        self.start_server(name)

    def note_break(self, line):
        """Record that a rule was broken."""
        self.breaks.append(line)
        self.system.record(f"BREAK {line}")

    async def serve(self):
        """Serve until cancelled."""
        application = web.Application()
        application.router.add_get("/machines", self.list)
        application.router.add_post("/machine-upkeep", self.upkeep)
        site_runner = web.AppRunner(application, access_log=None)
        await site_runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(site_runner, host, int(port)).start()
        try:
            await asyncio.Event().wait()
        finally:
            await site_runner.cleanup()

    async def start_wave(self, number, machines, duration_s, max_count):
        """Order a wave."""
        content = {
            "wave": number,
            "machines": machines,
            "duration_s": duration_s,
            "max_count": max_count,
        }
        self.waves[number] = content
        return await self.system.order("/wave-start", content)

    async def wave_state(self, number):
        """Ask any controller for the state of a wave; `None` without an answer."""
        for address in self.system.control:
            status, data = await self.system.call("GET", address, f"/wave-get/{number}")
            if status == 200:
                return json.loads(data)["state"]
        return None
