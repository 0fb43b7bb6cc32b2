"""Processes of the demo: instances, runners and workers on loopback."""

import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import msgspec

READY_S = 30.0
STOP_S = 15.0


class DemoFailedError(Exception):
    """The demo did not see what it must see."""


class InstanceAddress(msgspec.Struct, frozen=True):
    """Where one instance listens."""

    name: str
    failure_domain: str
    region: str
    http: str
    peer: str

    @property
    def url(self) -> str:
        """Return the HTTP address."""
        return f"http://{self.http}"


class Processes:
    """Start processes and stop just these.

    Parameters
    ----------
    folder : pathlib.Path
        Gets data folders, logs and histories.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: list[tuple[str, subprocess.Popen[bytes]]] = []

    def start(self, name: str, *arguments: str) -> None:
        """Start ``python -m`` with these arguments; its output goes to a log file."""
        with (self._folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running.append((name, process))

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return next(process.pid for known, process in self._running if known == name)

    def check(self) -> None:
        """Raise if a process has ended."""
        for name, process in self._running:
            if process.poll() is not None:
                log = (self._folder / f"{name}.log").read_text()[-2000:]
                raise DemoFailedError(f"{name} ended early:\n{log}")

    def stop(self) -> dict[str, int]:
        """Drain all processes and return their exit codes."""
        for _, process in reversed(self._running):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = {}
        for name, process in self._running:
            try:
                codes[name] = process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        self._running = []
        return codes


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for probe in sockets:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()


def plan_instances(count: int) -> list[InstanceAddress]:
    """Return addresses for one instance, or for six in three failure domains."""
    if count == 1:
        places = [("default", "default")]
    else:
        places = [("fd-a", "r1"), ("fd-b", "r1"), ("fd-c", "r2")] * (count // 3)
    ports = iter(free_ports(2 * len(places)))
    return [
        InstanceAddress(
            f"{domain}-{number}",
            domain,
            region,
            f"127.0.0.1:{next(ports)}",
            f"127.0.0.1:{next(ports)}",
        )
        for number, (domain, region) in enumerate(sorted(places), start=1)
    ]


def wait_ready(processes: Processes, instances: list[InstanceAddress]) -> None:
    """Wait until every instance answers that it is ready."""
    until = time.monotonic() + READY_S
    for instance in instances:
        while not _is_ready(instance.url):
            processes.check()
            if time.monotonic() > until:
                raise DemoFailedError(f"{instance.name} is not ready")
            time.sleep(0.1)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f"{url}/ready", timeout=1.0) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False
