"""Start and control the instances, runners and workers of a fault case on loopback.

Signals are sent only to processes that this module has started, by process id.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp

from . import forwarder, history

# Long enough for six interpreters that start at once and share the cores.
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
CALL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
# Below the usual range of ephemeral ports: an outgoing connection could otherwise
# occupy a port between its allocation and its use.
PORT_RANGE = range(20000, 32000)
RECORDS_GROUP = "records"


class PreconditionError(Exception):
    """The cluster did not reach a state that the case depends on."""


class PortAllocator:
    """Allocate unused loopback ports."""

    __slots__ = ("_allocated", "_random")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed}-{os.getpid()}")
        self._allocated: set[int] = set()

    def allocate(self) -> int:
        """Return a free port that has not been returned before."""
        while True:
            port = self._random.choice(PORT_RANGE)
            if port in self._allocated:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self._allocated.add(port)
            return port


class Process:
    """Child process that runs a Python module and writes to a log file."""

    __slots__ = ("_argv", "_log", "_process", "_recorder", "name")

    def __init__(
        self, name: str, argv: list[str], log: pathlib.Path, recorder: history.Recorder
    ) -> None:
        self.name = name
        self._argv = argv
        self._log = log
        self._recorder = recorder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def returncode(self) -> int | None:
        """Return the exit code of the most recent start."""
        return self._process.returncode if self._process else None

    async def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._argv,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            )

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self._send_signal("killed", signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send_signal("paused", signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._send_signal("resumed", signal.SIGCONT)

    async def terminate(self, timeout_s: float) -> int:
        """Send SIGTERM and return the exit code.

        Raises
        ------
        PreconditionError
            If the process has not exited after `timeout_s`.
        """
        self._send_signal("terminated", signal.SIGTERM)
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            raise PreconditionError(
                f"{self.name} has not exited {timeout_s:g} s after SIGTERM"
            ) from None

    def limit_file_size(self, size_bytes: int) -> None:
        """Limit the file size that the process may write (soft limit).

        Writes beyond the limit fail.

        Raises
        ------
        PreconditionError
            If the process is not running.
        """
        if not self.is_running:
            raise PreconditionError(f"{self.name} is not running")
        assert self._process is not None
        limit, pid = resource.RLIMIT_FSIZE, self._process.pid
        _, hard_limit = resource.prlimit(pid, limit)
        resource.prlimit(pid, limit, (size_bytes, hard_limit))

    async def kill_unrecorded(self) -> None:
        """Kill the process without recording an event, for the clean-up of a case."""
        if self._process is None or self._process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGKILL)
        await self._process.wait()

    def _send_signal(self, kind: str, signal_number: signal.Signals) -> None:
        if not self.is_running:
            raise PreconditionError(f"{self.name} is not running")
        assert self._process is not None
        self._recorder.record(history.ProcessFault(time.time(), self.name, kind))
        self._process.send_signal(signal_number)


class Instance(Process):
    """Process of the daemon."""

    __slots__ = ("data_dir", "failure_domain", "peer_address", "region", "url")

    def __init__(
        self,
        name: str,
        failure_domain: str,
        region: str,
        ports: tuple[int, int],
        seeds: str,
        directory: pathlib.Path,
        recorder: history.Recorder,
        is_diskless: bool = False,
    ) -> None:
        self.failure_domain = failure_domain
        self.region = region
        self.url = f"http://127.0.0.1:{ports[0]}"
        self.peer_address = f"127.0.0.1:{ports[1]}"
        self.data_dir = directory / f"data-{name}"
        argv = [
            "marjoramusher.daemon.main",
            f"--instance-id={name}",
            f"--failure-domain={failure_domain}",
            f"--region={region}",
            f"--listen=127.0.0.1:{ports[0]}",
            f"--peer-listen={self.peer_address}",
            f"--seeds={seeds}",
            "--diskless" if is_diskless else f"--data-dir={self.data_dir}",
            "--bootstrap-expect=6",
            f"--operator-token-file={directory / 'operator-token'}",
            f"--instance-token-file={directory / 'instance-token'}",
            "--enable-fault-injection",
        ]
        super().__init__(name, argv, directory / f"{name}.log", recorder)


class Cluster:
    """Cluster of six instances in three failure domains, with runners and workers.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the data, logs and histories of the case.
    diskless : tuple of str
        Names of the instances that run without a data directory.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        recorder: history.Recorder,
        diskless: tuple[str, ...] = (),
    ) -> None:
        self.directory = directory
        self.recorder = recorder
        self.ports = PortAllocator(seed)
        self.failure_domains = {"fd-a": "r1", "fd-b": "r1", "fd-c": "r2"}
        self.operator_token = f"operator-token-of-seed-{seed}"
        self.instance_token = f"instance-token-of-seed-{seed}"
        names = [
            (f"{domain}-{number}", domain)
            for domain in self.failure_domains
            for number in "12"
        ]
        ports = [(self.ports.allocate(), self.ports.allocate()) for _ in names]
        seeds = ",".join(f"127.0.0.1:{peer_port}" for _, peer_port in ports)
        self.instances = {
            name: Instance(
                name,
                domain,
                self.failure_domains[domain],
                instance_ports,
                seeds,
                directory,
                recorder,
                name in diskless,
            )
            for (name, domain), instance_ports in zip(names, ports, strict=True)
        }
        self.runners: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.forwarders: dict[str, forwarder.Forwarder] = {}
        self._session: aiohttp.ClientSession | None = None
        self._reachable: set[str] = set()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, which opens a new connection for each request."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        return self._session

    @property
    def operator_headers(self) -> dict[str, str]:
        """Return the headers that authenticate an operator."""
        return {"Authorization": f"Bearer {self.operator_token}"}

    @property
    def reachable(self) -> list[str]:
        """Return the names of the instances that are up and connected."""
        return sorted(self._reachable)

    def instances_of(self, domain: str) -> list[Instance]:
        """Return the instances of a failure domain."""
        return [
            instance
            for instance in self.instances.values()
            if instance.failure_domain == domain
        ]

    async def start(self) -> None:
        """Start all instances and wait until they are ready."""
        (self.directory / "operator-token").write_text(self.operator_token)
        (self.directory / "instance-token").write_text(self.instance_token)
        for instance in self.instances.values():
            await instance.start()
        await self.wait_ready(self.instances)

    async def stop(self) -> None:
        """Kill all processes and close all forwarders."""
        await asyncio.gather(
            *(
                process.kill_unrecorded()
                for process in [
                    *self.instances.values(),
                    *self.runners.values(),
                    *self.workers.values(),
                ]
            )
        )
        for link in self.forwarders.values():
            await link.stop()
        if self._session is not None:
            await self._session.close()

    async def wait_ready(
        self, names: Iterable[str], timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until instances are ready and mark them reachable.

        Raises
        ------
        PreconditionError
            Names the instances that are not ready in time.
        """
        pending = set(names)
        deadline = time.monotonic() + timeout_s
        while pending:
            for name in sorted(pending):
                if not self.instances[name].is_running:
                    raise PreconditionError(
                        f"{name} exited with code {self.instances[name].returncode}"
                    )
                if await self.is_ready(name):
                    pending.discard(name)
                    self.mark_reachable(name)
            if pending and time.monotonic() > deadline:
                raise PreconditionError(
                    f"not ready within {timeout_s:g} s: {', '.join(sorted(pending))}"
                )
            if pending:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        try:
            async with self.session.get(
                self.instances[name].url + "/ready", timeout=CALL_TIMEOUT
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def status(self, name: str) -> dict[str, Any] | None:
        """Return the status of an instance, or None if it does not respond."""
        try:
            async with self.session.get(
                self.instances[name].url + "/v1/status",
                headers=self.operator_headers,
                timeout=CALL_TIMEOUT,
            ) as response:
                return await response.json() if response.status == 200 else None
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None

    async def leader(self, group: str, timeout_s: float = 8.0) -> str:
        """Return the leader of a group that a reachable instance reports.

        Raises
        ------
        PreconditionError
            If no reachable instance is reported as the leader in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for name in self.reachable:
                leader = leader_of(await self.status(name), group)
                if leader in self._reachable:
                    return leader
            await asyncio.sleep(POLL_INTERVAL_S)
        raise PreconditionError(f"no leader of {group} within {timeout_s:g} s")

    def mark_reachable(self, name: str) -> None:
        """Record that an instance is up and connected."""
        if name not in self._reachable:
            self._reachable.add(name)
            self.recorder.record(history.InstanceReachable(time.time(), name))

    def mark_unreachable(self, name: str) -> None:
        """Record that an instance is down, partitioned or without its disk."""
        if name in self._reachable:
            self._reachable.discard(name)
            self.recorder.record(history.InstanceUnreachable(time.time(), name))

    async def kill(self, name: str) -> None:
        """Kill an instance with SIGKILL."""
        self.mark_unreachable(name)
        await self.instances[name].kill()

    async def restart(self, name: str) -> None:
        """Start a stopped instance and wait until it is ready."""
        await self.instances[name].start()
        await self.wait_ready([name])

    async def pause(self, name: str, duration_s: float) -> None:
        """Suspend an instance for `duration_s` and wait until it is ready again."""
        self.mark_unreachable(name)
        self.instances[name].pause()
        await asyncio.sleep(duration_s)
        self.instances[name].resume()
        await self.wait_ready([name])

    def erase_data(self, name: str) -> None:
        """Remove the data directory of a stopped instance."""
        shutil.rmtree(self.instances[name].data_dir, ignore_errors=True)

    def fill_disk(self, name: str) -> None:
        """Make every disk write of an instance fail."""
        self.mark_unreachable(name)
        self.recorder.record(history.DiskFull(time.time(), name))
        self.instances[name].limit_file_size(0)

    async def heal_disk(self, name: str) -> None:
        """Lift the limit on disk writes and wait until the instance has recovered."""
        self.instances[name].limit_file_size(resource.RLIM_INFINITY)
        self.recorder.record(history.DiskHealed(time.time(), name))
        await self.wait_status(
            name,
            "the store has recovered",
            lambda status: not status["store_failure"],
            15.0,
        )
        await self.wait_ready([name])

    async def wait_status(
        self,
        name: str,
        description: str,
        condition: Callable[[dict[str, Any]], bool],
        timeout_s: float,
    ) -> None:
        """Wait until the status of an instance meets a condition.

        Raises
        ------
        PreconditionError
            If the condition is not met in time; the message has its description.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            status = await self.status(name)
            if status is not None and condition(status):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise PreconditionError(
            f"{name}: condition not met within {timeout_s:g} s: {description}"
        )

    async def wait_caught_up(self, name: str, leader: str, group: str) -> None:
        """Wait until an instance has applied the leader's current commit index.

        Raises
        ------
        PreconditionError
            If it has not caught up within 10 s.
        """
        status = await self.status(leader) or {}
        commit_index = status.get("groups", {}).get(group, {}).get("commit_index", 0)
        await self.wait_status(
            name,
            f"{group} applied up to index {commit_index}",
            lambda status: status["groups"][group]["applied_index"] >= commit_index,
            10.0,
        )

    async def recover(self, name: str, group: str, timeout_s: float = 20.0) -> None:
        """Run `group recover --accept-loss` against a survivor until it succeeds.

        The survivor refuses it while it still considers the old leader alive.

        Raises
        ------
        PreconditionError
            If the recovery does not succeed in time.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "marjoramusher.cli.main",
                f"--server={self.instances[name].url}",
                f"--operator-token-file={self.directory / 'operator-token'}",
                "group",
                "recover",
                f"--group={group}",
                "--accept-loss",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await process.communicate()
            if process.returncode == 0:
                return
            if time.monotonic() > deadline:
                raise PreconditionError(f"recovery at {name} failed: {output.decode()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    def copy_data(self, name: str) -> pathlib.Path:
        """Copy the data directory of a stopped instance and return its path."""
        copy = self.directory / f"copy-{name}"
        shutil.copytree(self.instances[name].data_dir, copy)
        return copy

    def restore_data(self, name: str, copy: pathlib.Path) -> None:
        """Replace the data directory of a stopped instance by a copy."""
        self.erase_data(name)
        shutil.copytree(copy, self.instances[name].data_dir)

    async def cut(self, names: Iterable[str], mode: str = "silent") -> None:
        """Cut the links between the given instances and all others.

        Raises
        ------
        PreconditionError
            If an instance rejects the cut.
        """
        isolated = set(names)
        peers = sorted(self.instances.keys() - isolated)
        for name in sorted(isolated):
            self.mark_unreachable(name)
            await self._post_cut(name, peers, mode)

    async def heal(self, names: Iterable[str]) -> None:
        """Remove the cuts of instances and wait until they are ready."""
        names = sorted(names)
        for name in names:
            await self._post_cut(name, [], "silent")
        await self.wait_ready(names)

    async def _post_cut(self, name: str, peers: list[str], mode: str) -> None:
        async with self.session.post(
            self.instances[name].url + "/test/cut",
            json={"instances": peers, "mode": mode},
            headers=self.operator_headers,
            timeout=CALL_TIMEOUT,
        ) as response:
            if response.status >= 300:
                raise PreconditionError(
                    f"{name} responded with status {response.status} to a cut: "
                    f"{await response.text()}"
                )


def leader_of(status: dict[str, Any] | None, group: str) -> str | None:
    """Return the leader of a group from an instance's status."""
    if status is None:
        return None
    return status.get("groups", {}).get(group, {}).get("leader")


def role_of(status: dict[str, Any] | None, group: str) -> str | None:
    """Return the role of an instance in a group from its status."""
    if status is None:
        return None
    return status.get("groups", {}).get(group, {}).get("role")


def participation_failure_of(status: dict[str, Any] | None, group: str) -> str:
    """Return why an instance does not participate in a group, or an empty string."""
    if status is None:
        return ""
    return status.get("groups", {}).get(group, {}).get("failure", "")


def configuration_revision_of(status: dict[str, Any] | None) -> int | None:
    """Return the active configuration revision from an instance's status."""
    return None if status is None else status.get("revision")


def voters_of(
    status: dict[str, Any] | None, group: str = RECORDS_GROUP
) -> tuple[str, ...]:
    """Return the voters of a group from an instance's status."""
    if status is None:
        return ()
    config = status.get("groups", {}).get(group, {}).get("config") or {}
    return tuple(sorted(voter["instance"] for voter in config.get("voters", ())))
