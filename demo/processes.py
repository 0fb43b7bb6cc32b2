"""Start and stop the demo's processes on loopback."""

import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import msgspec

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


class DemoFailedError(Exception):
    """A step of the demo gave an unexpected result."""


class InstanceAddress(msgspec.Struct, frozen=True):
    """Hold the name and addresses of one instance."""

    name: str
    failure_domain: str
    region: str
    http: str
    peer: str

    @property
    def url(self) -> str:
        """Return the HTTP address."""
        return f"http://{self.http}"


class ProcessGroup:
    """Start Python processes and stop only these.

    Parameters
    ----------
    folder : pathlib.Path
        Receives the log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: list[tuple[str, subprocess.Popen[bytes]]] = []

    def start(self, name: str, *arguments: str) -> None:
        """Start ``python -m`` with the arguments and log its output to a file."""
        with (self._folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running.append((name, process))

    def pid(self, name: str) -> int:
        """Return the process id of the named process."""
        return next(
            process.pid
            for process_name, process in self._running
            if process_name == name
        )

    def check(self) -> None:
        """Raise `DemoFailedError` if a process has exited."""
        for name, process in self._running:
            if process.poll() is not None:
                log = (self._folder / f"{name}.log").read_text()[-2000:]
                raise DemoFailedError(f"{name} exited early:\n{log}")

    def stop(self) -> dict[str, int]:
        """Terminate all processes, kill them after a timeout, and return exit codes."""
        for _, process in reversed(self._running):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        exit_codes = {}
        for name, process in self._running:
            try:
                exit_codes[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[name] = process.wait()
        self._running = []
        return exit_codes


def free_ports(count: int) -> list[int]:
    """Return unused loopback ports."""
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
        domains_and_regions = [("default", "default")]
    else:
        domains_and_regions = [("fd-a", "r1"), ("fd-b", "r1"), ("fd-c", "r2")] * (
            count // 3
        )
    ports = iter(free_ports(2 * len(domains_and_regions)))
    return [
        InstanceAddress(
            f"{domain}-{number}",
            domain,
            region,
            f"127.0.0.1:{next(ports)}",
            f"127.0.0.1:{next(ports)}",
        )
        for number, (domain, region) in enumerate(sorted(domains_and_regions), start=1)
    ]


def wait_ready(process_group: ProcessGroup, instances: list[InstanceAddress]) -> None:
    """Wait until every instance reports that it is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for instance in instances:
        while not _is_ready(instance.url):
            process_group.check()
            if time.monotonic() > deadline:
                raise DemoFailedError(f"{instance.name} is not ready")
            time.sleep(0.1)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f"{url}/ready", timeout=1.0) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False
