"""Stand-in for the service that says which runners may run a step."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

MAX_WAITING = 32


class Advice:
    """Approve runners, one call of each machine at a time.

    Parameters
    ----------
    is_guarded : callable
        Tells whether the starts of a step need a ticket, by the id of its job.
    """

    def __init__(
        self,
        decision_ms: float,
        per_worker_ms: float,
        validity_ms: float,
        is_guarded: Callable[[str], bool],
        record: Callable[..., None],
    ) -> None:
        self._decision_ms = decision_ms
        self._per_worker_ms = per_worker_ms
        self._validity_ms = validity_ms
        self._is_guarded = is_guarded
        self._record = record
        self._turns: dict[str, asyncio.Lock] = {}
        self._waiting = 0
        self._tickets: dict[tuple[str, str, int], tuple[str, float]] = {}
        self.born: dict[str, int] = {}

    async def start(self, host: str) -> str:
        """Serve on a free port, and return the address."""
        application = web.Application()
        application.router.add_post("/advise", self._handle)
        self._site = web.AppRunner(application, access_log=None, shutdown_timeout=0.0)
        await self._site.setup()
        site = web.TCPSite(self._site, host, 0)
        await site.start()
        port = self._site.addresses[0][1]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop to serve."""
        await self._site.cleanup()

    def check(self, step: str, runner: str, born: int, ticket: str) -> bool:
        """Tell whether a start may carry a ticket."""
        if not self._is_guarded(step.partition(".")[0]):
            return True
        known, until_s = self._tickets.get((step, runner, born), ("", 0.0))
        return bool(known) and ticket == known and time.monotonic() <= until_s

    async def _handle(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        if self._waiting >= MAX_WAITING:
            return web.json_response({}, status=429)
        self._waiting += 1
        try:
            async with self._turns.setdefault(request.remote or "", asyncio.Lock()):
                workers = body["workers"]
                work_ms = self._decision_ms + self._per_worker_ms * len(workers)
                await asyncio.sleep(work_ms / 1000)
        finally:
            self._waiting -= 1
        rows = []
        for worker in workers:
            if worker not in self.born:
                continue
            ticket = f"t-{body['step_id']}-{worker}"
            until_s = time.monotonic() + self._validity_ms / 1000
            self._tickets[body["step_id"], worker, self.born[worker]] = ticket, until_s
            rows.append([worker, ticket])
        self._record(event="advice", step=body["step_id"], workers=len(workers))
        return web.json_response(
            {"approved_workers": rows, "validity_ms": self._validity_ms}
        )
