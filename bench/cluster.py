"""Start six instances with runners and workers on loopback."""

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

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_S = 5.0  # after it, elections, membership and first announcements are complete


class Usage(msgspec.Struct, frozen=True):
    """Hold the resource usage of a process since its start.

    Parameters
    ----------
    cpu_s : float
        CPU time in user and system mode.
    rss_mb : float
        Resident set size.
    peer_bytes : float
        Bytes sent to and received from other instances.
    """

    cpu_s: float
    rss_mb: float
    peer_bytes: float


class Cluster:
    """Read the resource usage of running instances.

    Parameters
    ----------
    instances : list of InstanceAddress
        Addresses of the instances.
    process_group : ProcessGroup
        Processes of the instances, runners and workers.
    """

    def __init__(
        self,
        instances: list[processes.InstanceAddress],
        process_group: processes.ProcessGroup,
    ) -> None:
        self._instances = instances
        self._process_group = process_group

    @property
    def instances(self) -> list[processes.InstanceAddress]:
        """Return the addresses of the instances."""
        return self._instances

    def cpu_s(self, name: str) -> float:
        """Return the CPU time that a process has used."""
        stat = pathlib.Path(f"/proc/{self._process_group.pid(name)}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def rss_mb(self, name: str) -> float:
        """Return the resident set size of a process."""
        status = pathlib.Path(
            f"/proc/{self._process_group.pid(name)}/status"
        ).read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def usage(
        self, http: aiohttp.ClientSession, instance: processes.InstanceAddress
    ) -> Usage:
        """Return the usage of an instance, read before the call for its metrics."""
        cpu_s, rss_mb = self.cpu_s(instance.name), self.rss_mb(instance.name)
        async with http.get(f"{instance.url}/v1/metrics") as response:
            counters = (await response.json())["counters"]
        peer_bytes = sum(
            counter["value"]
            for counter in counters
            if counter["name"] in ("peer_sent_bytes", "peer_received_bytes")
        )
        return Usage(cpu_s, rss_mb, peer_bytes)


@contextlib.contextmanager
def start_cluster() -> Iterator[Cluster]:
    """Run six instances with two runners and two workers for each failure domain."""
    with tempfile.TemporaryDirectory(prefix="marjoramusher-bench-") as name:
        folder = pathlib.Path(name)
        process_group = processes.ProcessGroup(folder)
        instances = processes.plan_instances(6)
        try:
            demo.start_all(process_group, instances, folder)
            processes.wait_ready(process_group, instances)
            time.sleep(SETTLE_S)
            yield Cluster(instances, process_group)
        finally:
            process_group.stop()
