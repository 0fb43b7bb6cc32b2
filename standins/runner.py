"""Runner that stands in for a target of a service."""

import asyncio
import json
import pathlib
import signal
import time
from typing import Any

import aiohttp
import click
from aiohttp import web

RENEW_S = 2.0


class Runner:
    """Serve `POST /run`, announce itself, and misbehave when told.

    A payload is a JSON object with any of: `run_ms`, `echo`, `size` (bytes of the
    answer), `fail` (status code), `fault` (``silent``, ``wrong_id``, ``cut``), and
    `pieces` (parts that a large answer is sent in over its run time). The control
    path `POST /control` sets `fault`, `slow` (factor of run times), `count` (how many
    requests the fault is for) for the requests that follow.
    """

    def __init__(
        self,
        runner_id: str,
        url: str,
        announce_urls: tuple[str, ...],
        service: str,
        failure_domain: str,
        slots: int = 8,
        token: str = "",
        history: pathlib.Path | None = None,
    ) -> None:
        self._id = runner_id
        self.url = url
        self._announce_urls = announce_urls
        self._service = service
        self._failure_domain = failure_domain
        self._slots = slots
        self._token = token
        self._history = history.open("a", buffering=1) if history else None
        self._incarnation = time.time_ns()
        self._running = 0
        self._leaving = False
        self._fault: str | None = None
        self._fault_count = 0
        self._slow = 1.0

    def application(self) -> web.Application:
        """Return the application that serves the runner's paths."""
        application = web.Application(client_max_size=2 * 1024 * 1024)
        application.router.add_post("/run", self._run)
        application.router.add_post("/control", self._control)
        return application

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announce once to every address."""
        body = {
            "id": self._id,
            "url": self.url,
            "failure_domain": self._failure_domain,
            "service": self._service,
            "slots": self._slots,
            "incarnation": self._incarnation,
            "state": "leaving" if self._leaving else "serving",
        }
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        for address in self._announce_urls:
            try:
                async with session.post(address, json=body, headers=headers):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                continue

    async def keep_announcing(self, session: aiohttp.ClientSession) -> None:
        """Announce until cancelled."""
        self._note("announced", slots=self._slots)
        while True:
            await self.announce(session)
            await asyncio.sleep(RENEW_S)

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Say goodbye and finish what runs."""
        self._leaving = True
        self._note("leaving")
        await self.announce(session)
        quiet_since = time.monotonic()
        # Requests that were under way when the news arrived are still served.
        while time.monotonic() - quiet_since < 1.0:
            if self._running:
                quiet_since = time.monotonic()
            await asyncio.sleep(0.05)

    async def _control(self, request: web.Request) -> web.Response:
        told = await request.json()
        self._fault = told.get("fault")
        self._fault_count = int(told.get("count", 1 << 30))
        self._slow = float(told.get("slow", 1.0))
        self._note("control", **told)
        return web.json_response({})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        if self._running >= self._slots:
            self._note("refused", request_id=request_id)
            return web.Response(
                status=503,
                headers={"X-Not-Started": "true", "X-Request-Id": request_id},
            )
        self._running += 1
        try:
            return await self._serve(request, request_id)
        finally:
            self._running -= 1

    async def _serve(self, request: web.Request, request_id: str) -> web.StreamResponse:
        told = _payload(await request.read())
        fault = told.get("fault") or self._take_fault()
        marks = {
            "request_id": request_id,
            "account": request.headers.get("X-Client-Account", ""),
            "key": request.headers.get("Idempotency-Key", ""),
        }
        self._note("started", **marks)
        try:
            return await self._answer(request, request_id, told, fault, marks)
        except BaseException:
            # The connection broke, or a fault is over.
            self._note("abandoned", **marks)
            raise

    async def _answer(
        self,
        request: web.Request,
        request_id: str,
        told: dict[str, Any],
        fault: str | None,
        marks: dict[str, str],
    ) -> web.StreamResponse:
        run_s = self._slow * float(told.get("run_ms", 0)) / 1000
        if fault == "silent":
            await asyncio.sleep(3600)
        pieces = int(told.get("pieces", 0))
        if not pieces:
            await asyncio.sleep(run_s)
        body = json.dumps({"echo": told.get("echo"), "runner": self._id}).encode()
        body += b" " * (int(told.get("size", 0)) - len(body))
        if fault == "wrong_id":
            request_id = f"{request_id}-other"
        headers = {"X-Request-Id": request_id, "Content-Type": "application/json"}
        if "fail" in told:
            self._note("finished", **marks)
            return web.Response(status=int(told["fail"]), headers=headers, body=body)
        if fault != "cut" and not pieces:
            self._note("finished", **marks)
            return web.Response(headers=headers, body=body)
        response = web.StreamResponse(headers=headers)
        if not pieces:
            response.content_length = len(body)
        await response.prepare(request)
        step = -(-len(body) // max(pieces, 2))
        for start in range(0, len(body), step):
            if start and fault == "cut":
                request.transport.abort()
                self._note("abandoned", **marks)
                return response
            if pieces:
                await asyncio.sleep(run_s / pieces)
            await response.write(body[start : start + step])
        self._note("finished", **marks)
        await response.write_eof()
        return response

    def _take_fault(self) -> str | None:
        if self._fault is None or self._fault_count <= 0:
            return None
        self._fault_count -= 1
        return self._fault

    def _note(self, event: str, **fields: Any) -> None:
        if self._history is not None:
            line = {"at": time.time(), "runner": self._id, "event": event, **fields}
            self._history.write(json.dumps(line) + "\n")


def _payload(data: bytes) -> dict[str, Any]:
    try:
        told = json.loads(data) if data else {}
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}


async def serve(runner: Runner, host: str, port: int) -> None:
    """Serve until SIGTERM, then leave."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Handlers of abandoned connections are cancelled, so that their slots come back.
    app_runner = web.AppRunner(
        runner.application(), access_log=None, handler_cancellation=True
    )
    await app_runner.setup()
    site = web.TCPSite(app_runner, host, port)
    await site.start()
    if not port:
        port = app_runner.addresses[0][1]
        runner.url = f"http://{host}:{port}"
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        announcing = asyncio.create_task(runner.keep_announcing(session))
        await stop.wait()
        announcing.cancel()
        await runner.leave(session)
    await app_runner.cleanup()


@click.command()
@click.option("--id", "runner_id", required=True)
@click.option("--listen", default="127.0.0.1:0", help="Host and port.")
@click.option("--advertise-url", default="", help="Announced if it differs.")
@click.option("--announce-url", "announce_urls", multiple=True, required=True)
@click.option("--service", required=True)
@click.option("--failure-domain", required=True)
@click.option("--slots", default=8, type=click.IntRange(1, 1024))
@click.option("--instance-token-file", type=click.Path(exists=True, dir_okay=False))
@click.option("--history", type=click.Path(dir_okay=False, path_type=pathlib.Path))
def main(
    runner_id: str,
    listen: str,
    advertise_url: str,
    announce_urls: tuple[str, ...],
    service: str,
    failure_domain: str,
    slots: int,
    instance_token_file: str | None,
    history: pathlib.Path | None,
) -> None:
    """Run a stand-in for a target.

    Each announce URL is the full address of an instance's announcement path.
    """
    host, _, port = listen.rpartition(":")
    token = ""
    if instance_token_file:
        token = pathlib.Path(instance_token_file).read_text().strip()
    runner = Runner(
        runner_id,
        advertise_url or f"http://{host}:{port}",
        announce_urls,
        service,
        failure_domain,
        slots,
        token,
        history,
    )
    asyncio.run(serve(runner, host, int(port)))


if __name__ == "__main__":
    main()
