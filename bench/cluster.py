"""Six real instances with runners and workers on loopback."""

import contextlib
import os
import pathlib
import tempfile
import time
from collections.abc import Iterator

import aiohttp
import msgspec

from demo import main as demo
from demo import processes

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_S = 5.0  # elections, descriptions of members and first announcements are over


class Usage(msgspec.Struct, frozen=True):
    """What a process has used so far.

    Parameters
    ----------
    cpu_s : float
        Processor time of the process in user and system mode.
    rss_mb : float
        Resident set.
    peer_bytes : float
        Bytes sent to and received from other instances.
    """

    cpu_s: float
    rss_mb: float
    peer_bytes: float


class Cluster:
    """Instances that were started for a measurement.

    Parameters
    ----------
    instances : list of InstanceAddress
        Their addresses.
    running : Processes
        Their processes, with those of runners and workers.
    """

    def __init__(
        self,
        instances: list[processes.InstanceAddress],
        running: processes.Processes,
    ) -> None:
        self._instances = instances
        self._running = running

    @property
    def instances(self) -> list[processes.InstanceAddress]:
        """Return the addresses of the instances."""
        return self._instances

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        text = pathlib.Path(f"/proc/{self._running.pid(name)}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def rss_mb(self, name: str) -> float:
        """Return the resident set of a process."""
        status = pathlib.Path(f"/proc/{self._running.pid(name)}/status").read_text()
        line = next(one for one in status.splitlines() if one.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def usage(
        self, http: aiohttp.ClientSession, instance: processes.InstanceAddress
    ) -> Usage:
        """Return what an instance has used so far; the call itself is not counted."""
        cpu_s, rss_mb = self.cpu_s(instance.name), self.rss_mb(instance.name)
        async with http.get(f"{instance.url}/v1/metrics") as response:
            counters = (await response.json())["counters"]
        peer_bytes = sum(
            one["value"]
            for one in counters
            if one["name"] in ("peer_sent_bytes", "peer_received_bytes")
        )
        return Usage(cpu_s, rss_mb, peer_bytes)


@contextlib.contextmanager
def started() -> Iterator[Cluster]:
    """Start six instances with two runners and two workers for each domain."""
    with tempfile.TemporaryDirectory(prefix="marjoramusher-bench-") as name:
        folder = pathlib.Path(name)
        running = processes.Processes(folder)
        instances = processes.plan_instances(6)
        try:
            demo.start_all(running, instances, folder)
            processes.wait_ready(running, instances)
            time.sleep(SETTLE_S)
            yield Cluster(instances, running)
        finally:
            running.stop()
