"""Processes of a case: instances, runners and workers on loopback.

Only processes that this module started are signalled, each by its own id.
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

READY_S = 20.0  # Six interpreters that start at once share the machine's cores.
POLL_S = 0.2
CALL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
# Below the usual range of outgoing connections, which could take a port that is free
# when it is chosen.
PORTS = range(20000, 32000)
RECORDS = "records"


class PreconditionError(Exception):
    """The cluster did not reach the state that a case starts from."""


class Ports:
    """Choose loopback ports that nothing listens on."""

    __slots__ = ("_random", "_taken")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed}-{os.getpid()}")
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a port that was not returned before."""
        while True:
            port = self._random.choice(PORTS)
            if port in self._taken:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self._taken.add(port)
            return port


class Process:
    """One child process with its log file."""

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
    def running(self) -> bool:
        """Tell whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def returncode(self) -> int | None:
        """Return the exit code of the last process."""
        return self._process.returncode if self._process else None

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
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
        """Send SIGKILL and wait for the end."""
        self._fault("killed", signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._fault("paused", signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._fault("resumed", signal.SIGCONT)

    async def terminate(self, timeout_s: float) -> int:
        """Send SIGTERM and return the exit code.

        Raises
        ------
        PreconditionError
            If the process is still there after `timeout_s`.
        """
        self._fault("terminated", signal.SIGTERM)
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            raise PreconditionError(
                f"{self.name} still runs {timeout_s:g} s after SIGTERM"
            ) from None

    def limit_files(self, size_bytes: int) -> None:
        """Let writes beyond a size fail in the running process (soft limit).

        Raises
        ------
        PreconditionError
            If the process does not run.
        """
        if not self.running:
            raise PreconditionError(f"{self.name} does not run")
        assert self._process is not None
        kind, pid = resource.RLIMIT_FSIZE, self._process.pid
        _, hard = resource.prlimit(pid, kind)
        resource.prlimit(pid, kind, (size_bytes, hard))

    async def reap(self) -> None:
        """End the process at the end of a case, without an event."""
        if self._process is None or self._process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGKILL)
        await self._process.wait()

    def _fault(self, kind: str, number: signal.Signals) -> None:
        if not self.running:
            raise PreconditionError(f"{self.name} does not run")
        assert self._process is not None
        self._recorder.record(history.ProcessFault(time.time(), self.name, kind))
        self._process.send_signal(number)


class Instance(Process):
    """One daemon process."""

    __slots__ = ("data_dir", "failure_domain", "peer", "region", "url")

    def __init__(
        self,
        name: str,
        failure_domain: str,
        region: str,
        ports: tuple[int, int],
        seeds: str,
        directory: pathlib.Path,
        recorder: history.Recorder,
        diskless: bool = False,
    ) -> None:
        self.failure_domain = failure_domain
        self.region = region
        self.url = f"http://127.0.0.1:{ports[0]}"
        self.peer = f"127.0.0.1:{ports[1]}"
        self.data_dir = directory / f"data-{name}"
        argv = [
            "marjoramusher.daemon.main",
            f"--instance-id={name}",
            f"--failure-domain={failure_domain}",
            f"--region={region}",
            f"--listen=127.0.0.1:{ports[0]}",
            f"--peer-listen={self.peer}",
            f"--seeds={seeds}",
            "--diskless" if diskless else f"--data-dir={self.data_dir}",
            "--bootstrap-expect=6",
            f"--operator-token-file={directory / 'operator-token'}",
            f"--instance-token-file={directory / 'instance-token'}",
            "--enable-fault-injection",
        ]
        super().__init__(name, argv, directory / f"{name}.log", recorder)


class Cluster:
    """Six instances in three failure domains, with their runners and workers.

    Parameters
    ----------
    directory : pathlib.Path
        Folder of the case for data, logs and histories.
    diskless : tuple of str
        Instances without a data folder.
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
        self.ports = Ports(seed)
        self.domains = {"fd-a": "r1", "fd-b": "r1", "fd-c": "r2"}
        self.operator_token = f"operator-token-of-seed-{seed}"
        self.instance_token = f"instance-token-of-seed-{seed}"
        names = [
            (f"{domain}-{number}", domain) for domain in self.domains for number in "12"
        ]
        ports = [(self.ports.take(), self.ports.take()) for _ in names]
        seeds = ",".join(f"127.0.0.1:{peer}" for _, peer in ports)
        self.instances = {
            name: Instance(
                name,
                domain,
                self.domains[domain],
                pair,
                seeds,
                directory,
                recorder,
                name in diskless,
            )
            for (name, domain), pair in zip(names, ports, strict=True)
        }
        self.runners: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.links: dict[str, forwarder.Forwarder] = {}
        self._session: aiohttp.ClientSession | None = None
        self._reachable: set[str] = set()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the session; each request opens its own connection."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        return self._session

    @property
    def operator_headers(self) -> dict[str, str]:
        """Return the headers of an operator's call."""
        return {"Authorization": f"Bearer {self.operator_token}"}

    @property
    def reachable(self) -> list[str]:
        """Return the instances that are up and connected."""
        return sorted(self._reachable)

    def of_domain(self, domain: str) -> list[Instance]:
        """Return the instances of a failure domain."""
        return [
            instance
            for instance in self.instances.values()
            if instance.failure_domain == domain
        ]

    async def start(self) -> None:
        """Start the instances and wait until each of them is ready."""
        (self.directory / "operator-token").write_text(self.operator_token)
        (self.directory / "instance-token").write_text(self.instance_token)
        for instance in self.instances.values():
            await instance.start()
        await self.wait_ready(self.instances)

    async def stop(self) -> None:
        """End every process and forwarder."""
        await asyncio.gather(
            *(
                process.reap()
                for process in [
                    *self.instances.values(),
                    *self.runners.values(),
                    *self.workers.values(),
                ]
            )
        )
        for link in self.links.values():
            await link.stop()
        if self._session is not None:
            await self._session.close()

    async def wait_ready(
        self, names: Iterable[str], timeout_s: float = READY_S
    ) -> None:
        """Wait until instances are ready and mark them reachable.

        Raises
        ------
        PreconditionError
            Names the instances that are not ready in time.
        """
        waiting = set(names)
        until = time.monotonic() + timeout_s
        while waiting:
            for name in sorted(waiting):
                if not self.instances[name].running:
                    raise PreconditionError(
                        f"{name} ended with code {self.instances[name].returncode}"
                    )
                if await self.is_ready(name):
                    waiting.discard(name)
                    self.mark_reachable(name)
            if waiting and time.monotonic() > until:
                raise PreconditionError(
                    f"not ready within {timeout_s:g} s: {', '.join(sorted(waiting))}"
                )
            if waiting:
                await asyncio.sleep(POLL_S)

    async def is_ready(self, name: str) -> bool:
        """Ask an instance whether it is ready."""
        try:
            async with self.session.get(
                self.instances[name].url + "/ready", timeout=CALL_TIMEOUT
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def status(self, name: str) -> dict[str, Any] | None:
        """Return the status of an instance, or None if it does not answer."""
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
        """Return the leader of a group as its reachable instances see it.

        Raises
        ------
        PreconditionError
            If no reachable instance names one in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for name in self.reachable:
                leader = leader_of(await self.status(name), group)
                if leader in self._reachable:
                    return leader
            await asyncio.sleep(POLL_S)
        raise PreconditionError(f"no leader of {group} within {timeout_s:g} s")

    def mark_reachable(self, name: str) -> None:
        """Record that an instance is up and connected."""
        if name not in self._reachable:
            self._reachable.add(name)
            self.recorder.record(history.InstanceReachable(time.time(), name))

    def mark_unreachable(self, name: str) -> None:
        """Record that an instance is down or cut off."""
        if name in self._reachable:
            self._reachable.discard(name)
            self.recorder.record(history.InstanceUnreachable(time.time(), name))

    async def kill(self, name: str) -> None:
        """End an instance with SIGKILL."""
        self.mark_unreachable(name)
        await self.instances[name].kill()

    async def restart(self, name: str) -> None:
        """Start an ended instance again and wait until it is ready."""
        await self.instances[name].start()
        await self.wait_ready([name])

    async def pause(self, name: str, seconds: float) -> None:
        """Stop an instance for a time."""
        self.mark_unreachable(name)
        self.instances[name].pause()
        await asyncio.sleep(seconds)
        self.instances[name].resume()
        await self.wait_ready([name])

    def erase(self, name: str) -> None:
        """Remove the data folder of an ended instance."""
        shutil.rmtree(self.instances[name].data_dir, ignore_errors=True)

    def fill_disk(self, name: str) -> None:
        """Let every write of an instance to its disk fail."""
        self.mark_unreachable(name)
        self.recorder.record(history.DiskFull(time.time(), name))
        self.instances[name].limit_files(0)

    async def heal_disk(self, name: str) -> None:
        """Let an instance write again, and wait until it has noticed that."""
        self.instances[name].limit_files(resource.RLIM_INFINITY)
        self.recorder.record(history.DiskHealed(time.time(), name))
        await self.wait_status(
            name, "its store works", lambda status: not status["store_failure"], 15.0
        )
        await self.wait_ready([name])

    async def wait_status(
        self,
        name: str,
        what: str,
        accepts: Callable[[dict[str, Any]], bool],
        timeout_s: float,
    ) -> None:
        """Wait until the status of an instance meets a condition.

        Raises
        ------
        PreconditionError
            Names the condition that is not met in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status = await self.status(name)
            if status is not None and accepts(status):
                return
            await asyncio.sleep(POLL_S)
        raise PreconditionError(f"{name}: not within {timeout_s:g} s: {what}")

    async def wait_caught_up(self, name: str, leader: str, group: str) -> None:
        """Wait until an instance has applied what the leader had committed.

        Raises
        ------
        PreconditionError
            If it has not caught up within 10 s.
        """
        status = await self.status(leader) or {}
        due = status.get("groups", {}).get(group, {}).get("commit_index", 0)
        await self.wait_status(
            name,
            f"{group} applied up to {due}",
            lambda status: status["groups"][group]["applied_index"] >= due,
            10.0,
        )

    async def recover(self, name: str, group: str, timeout_s: float = 20.0) -> None:
        """Run `group recover --accept-loss` on a survivor until it is accepted.

        It is refused while the survivor still believes in the old leader.

        Raises
        ------
        PreconditionError
            If it is not accepted in time.
        """
        until = time.monotonic() + timeout_s
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
            said, _ = await process.communicate()
            if process.returncode == 0:
                return
            if time.monotonic() > until:
                raise PreconditionError(f"recovery at {name}: {said.decode()}")
            await asyncio.sleep(POLL_S)

    def copy_data(self, name: str) -> pathlib.Path:
        """Copy the data folder of an ended instance and return the copy."""
        copy = self.directory / f"copy-{name}"
        shutil.copytree(self.instances[name].data_dir, copy)
        return copy

    def restore_data(self, name: str, copy: pathlib.Path) -> None:
        """Put a copied data folder in the place of the present one."""
        self.erase(name)
        shutil.copytree(copy, self.instances[name].data_dir)

    async def cut(self, names: Iterable[str], mode: str = "silent") -> None:
        """Cut instances off from all others outside the set.

        Raises
        ------
        PreconditionError
            If an instance does not accept the cut.
        """
        inside = set(names)
        others = sorted(self.instances.keys() - inside)
        for name in sorted(inside):
            self.mark_unreachable(name)
            await self._post_cut(name, others, mode)

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
                    f"{name} answered {response.status} to a cut: "
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


def failure_of(status: dict[str, Any] | None, group: str) -> str:
    """Return why an instance takes no part in a group, empty if it does."""
    if status is None:
        return ""
    return status.get("groups", {}).get(group, {}).get("failure", "")


def revision_of(status: dict[str, Any] | None) -> int | None:
    """Return the configuration revision in force from an instance's status."""
    return None if status is None else status.get("revision")


def voters_of(status: dict[str, Any] | None, group: str = RECORDS) -> tuple[str, ...]:
    """Return the instances that vote in a group, as an instance sees it."""
    if status is None:
        return ()
    config = status.get("groups", {}).get(group, {}).get("config") or {}
    return tuple(sorted(voter["instance"] for voter in config.get("voters", ())))
