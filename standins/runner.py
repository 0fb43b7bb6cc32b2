"""Stand-in for a target of a service."""

import asyncio
import json
import pathlib
import signal
import time
from typing import Any

import aiohttp
import click
from aiohttp import web

ANNOUNCE_INTERVAL_S = 2.0


class Runner:
    """Serve ``POST /run``, announce itself, and inject faults on request.

    The payload of a request is a JSON object with any of these fields: `run_ms`; `echo`
    (returned in the response); `size` (of the response, in bytes); `fail` (status code
    of the response); `fault` (``silent``: no response, ``wrong_id``: a wrong request
    id, ``cut``: the connection is closed during the response); and `pieces` (number of
    parts in which the response is sent over the run time).

    ``POST /control`` sets the following for later requests: `fault`, `count` (how many
    requests have the fault) and `slow` (factor on run times).
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
        self._running_count = 0
        self._is_leaving = False
        self._fault: str | None = None
        self._fault_count = 0
        self._slowdown = 1.0

    def application(self) -> web.Application:
        """Return the web application of the runner."""
        application = web.Application(client_max_size=2 * 1024 * 1024)
        application.router.add_post("/run", self._run)
        application.router.add_post("/control", self._control)
        return application

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Send one announcement to every announce URL."""
        body = {
            "id": self._id,
            "url": self.url,
            "failure_domain": self._failure_domain,
            "service": self._service,
            "slots": self._slots,
            "incarnation": self._incarnation,
            "state": "leaving" if self._is_leaving else "serving",
        }
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        for url in self._announce_urls:
            try:
                async with session.post(url, json=body, headers=headers):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                continue

    async def keep_announcing(self, session: aiohttp.ClientSession) -> None:
        """Send announcements until cancelled."""
        self._note("announced", slots=self._slots)
        while True:
            await self.announce(session)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Announce the departure, and wait until no request has run for a second."""
        self._is_leaving = True
        self._note("leaving")
        await self.announce(session)
        idle_since_s = time.monotonic()
        # Requests sent before the announcement was processed are still served.
        while time.monotonic() - idle_since_s < 1.0:
            if self._running_count:
                idle_since_s = time.monotonic()
            await asyncio.sleep(0.05)

    async def _control(self, request: web.Request) -> web.Response:
        settings = await request.json()
        self._fault = settings.get("fault")
        self._fault_count = int(settings.get("count", 1 << 30))
        self._slowdown = float(settings.get("slow", 1.0))
        self._note("control", **settings)
        return web.json_response({})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        if self._running_count >= self._slots:
            self._note("refused", request_id=request_id)
            return web.Response(
                status=503,
                headers={"X-Not-Started": "true", "X-Request-Id": request_id},
            )
        self._running_count += 1
        try:
            return await self._serve(request, request_id)
        finally:
            self._running_count -= 1

    async def _serve(self, request: web.Request, request_id: str) -> web.StreamResponse:
        payload = _payload(await request.read())
        fault = payload.get("fault") or self._take_fault()
        fields = {
            "request_id": request_id,
            "account": request.headers.get("X-Client-Account", ""),
            "key": request.headers.get("Idempotency-Key", ""),
        }
        self._note("started", **fields)
        try:
            return await self._respond(request, request_id, payload, fault, fields)
        except BaseException:
            # The connection was closed, or a fault has interrupted the request.
            self._note("abandoned", **fields)
            raise

    async def _respond(
        self,
        request: web.Request,
        request_id: str,
        payload: dict[str, Any],
        fault: str | None,
        fields: dict[str, str],
    ) -> web.StreamResponse:
        run_s = self._slowdown * float(payload.get("run_ms", 0)) / 1000
        if fault == "silent":
            await asyncio.sleep(3600)
        pieces = int(payload.get("pieces", 0))
        if not pieces:
            await asyncio.sleep(run_s)
        body = json.dumps({"echo": payload.get("echo"), "runner": self._id}).encode()
        body += b" " * (int(payload.get("size", 0)) - len(body))
        if fault == "wrong_id":
            request_id = f"{request_id}-other"
        headers = {"X-Request-Id": request_id, "Content-Type": "application/json"}
        if "fail" in payload:
            self._note("finished", **fields)
            return web.Response(status=int(payload["fail"]), headers=headers, body=body)
        if fault != "cut" and not pieces:
            self._note("finished", **fields)
            return web.Response(headers=headers, body=body)
        response = web.StreamResponse(headers=headers)
        if not pieces:
            response.content_length = len(body)
        await response.prepare(request)
        piece_size = -(-len(body) // max(pieces, 2))
        for start in range(0, len(body), piece_size):
            if start and fault == "cut":
                request.transport.abort()
                self._note("abandoned", **fields)
                return response
            if pieces:
                await asyncio.sleep(run_s / pieces)
            await response.write(body[start : start + piece_size])
        self._note("finished", **fields)
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
        payload = json.loads(data) if data else {}
    except ValueError:
        return {}
    return payload if isinstance(payload, dict) else {}


async def serve(runner: Runner, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, then leave."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    # The handler of a closed connection is cancelled, so that its slot is freed.
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
        announcer = asyncio.create_task(runner.keep_announcing(session))
        await stop.wait()
        announcer.cancel()
        await runner.leave(session)
    await app_runner.cleanup()


@click.command()
@click.option("--id", "runner_id", required=True)
@click.option("--listen", default="127.0.0.1:0", help="Host and port.")
@click.option(
    "--advertise-url",
    default="",
    help="Announced URL, if it differs from the listen address.",
)
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
