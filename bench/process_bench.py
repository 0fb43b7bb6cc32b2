"""Measure a cluster of real processes on loopback."""

import asyncio
import itertools
import json
import math
import pathlib
import time
from collections.abc import Iterator, Sequence

import aiohttp

from bench import cluster, measure
from demo import main as demo

IDLE_PERIOD_S = 20.0
DAILY_CHANGES = 12_000
SPACED_CHANGES = 60
CHANGE_SPACING_S = 0.5  # 14 times as often as 12,000 changes a day
BURST_CHANGES = 500
SEQUENTIAL_REQUESTS = 150
PEAK_CONCURRENCY = 48
PEAK_PERIOD_S = 5.0
WATCH_WAIT_S = 30
ANNOUNCEMENTS = 500
TIMEOUT_S = 60.0
RECORDS_FILE = pathlib.Path(demo.__file__).parent / "records.json"


def measures(seeds: Sequence[int], quick: bool = False) -> Iterator[measure.Measure]:
    """Yield all measures; each seed is one start of all processes."""
    for seed in seeds:
        with cluster.start_cluster() as running_cluster:
            yield from asyncio.run(_measure(running_cluster, seed, quick))


async def _measure(
    running_cluster: cluster.Cluster, seed: int, quick: bool
) -> list[measure.Measure]:
    bench = ClusterBench(running_cluster, seed)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        await bench.prepare(http)
        await bench.idle(http, IDLE_PERIOD_S / 4 if quick else IDLE_PERIOD_S)
        await bench.sequential(
            http, SEQUENTIAL_REQUESTS // 5 if quick else SEQUENTIAL_REQUESTS
        )
        await bench.peak(http, PEAK_PERIOD_S / 5 if quick else PEAK_PERIOD_S)
        await bench.changes(
            http,
            "spaced",
            SPACED_CHANGES // 6 if quick else SPACED_CHANGES,
            CHANGE_SPACING_S,
        )
        await bench.changes(http, "burst", BURST_CHANGES, 0.0)
        await bench.memory(http)
        await bench.announcements(http)
    return bench.measured


class ClusterBench:
    """Run the measurements on one cluster.

    Parameters
    ----------
    running : Cluster
        Started instances.
    seed : int
        Seed that the measures report.
    """

    def __init__(self, running_cluster: cluster.Cluster, seed: int) -> None:
        self._cluster = running_cluster
        self._seed = seed
        self._sequence = itertools.count()
        self.measured: list[measure.Measure] = []

    async def prepare(self, http: aiohttp.ClientSession) -> None:
        """Write the demo's records and wait until every instance serves requests."""
        instances = self._cluster.instances
        template = RECORDS_FILE.read_text().replace("FD", instances[0].failure_domain)
        await self._apply(http, json.loads(template)["records"])
        for instance in instances:
            deadline_at = time.monotonic() + TIMEOUT_S
            while not await self._request(http, instance.url, False):
                if time.monotonic() > deadline_at:
                    raise TimeoutError(f"{instance.name} does not serve requests")
                await asyncio.sleep(0.2)

    async def idle(self, http: aiohttp.ClientSession, duration_s: float) -> None:
        """Measure instances that receive only announcements of runners and workers."""
        instances = self._cluster.instances
        await asyncio.sleep(2.0)
        before = [await self._cluster.usage(http, item) for item in instances]
        # Wait so that the CPU time of the metrics calls is not measured.
        await asyncio.sleep(0.5)
        cpu_before_s = [self._cluster.cpu_s(item.name) for item in instances]
        started_at = time.monotonic()
        await asyncio.sleep(duration_s)
        after = [await self._cluster.usage(http, item) for item in instances]
        elapsed_s = time.monotonic() - started_at
        pairs = list(zip(before, after, strict=True))
        cpu_shares = [
            (b.cpu_s - a) / elapsed_s for a, b in zip(cpu_before_s, after, strict=True)
        ]
        peer_kb_per_s = [
            (b.peer_bytes - a.peer_bytes) / elapsed_s / 1000 for a, b in pairs
        ]
        self._record(
            "instance_idle_cpu_share/worst", max(cpu_shares), "ratio", "<= 0.015"
        )
        self._record(
            "instance_idle_cpu_share/mean", _mean(cpu_shares), "ratio", "<= 0.015"
        )
        self._record("instance_control_kb_s/worst", max(peer_kb_per_s), "KB/s", "<= 10")
        self._record(
            "instance_control_kb_s/mean", _mean(peer_kb_per_s), "KB/s", "<= 10"
        )
        self._record_rss("idle", [item.rss_mb for item in after])

    async def memory(self, http: aiohttp.ClientSession) -> None:
        """Measure memory use after the load."""
        usages = [
            await self._cluster.usage(http, instance)
            for instance in self._cluster.instances
        ]
        self._record_rss("loaded", [usage.rss_mb for usage in usages])

    async def sequential(self, http: aiohttp.ClientSession, count: int) -> None:
        """Measure the latency that a claim adds to sequential requests."""
        without_claim, with_claim = [], []
        for number in range(count):
            # The six instances cover the three failure domains evenly.
            url = self._cluster.instances[number % 6].url
            without_claim.append(await self._time_request(http, url, False))
            with_claim.append(await self._time_request(http, url, True))
        self._record_claim_latency("light", without_claim, with_claim)

    async def peak(self, http: aiohttp.ClientSession, duration_s: float) -> None:
        """Measure the throughput of one instance and the latency that claims add."""
        instance = self._cluster.instances[0]
        without_claim = await self._closed_loop(
            http, instance.url, False, duration_s / 5
        )
        before_s = self._cluster.cpu_s(instance.name)
        started_at = time.monotonic()
        without_claim = await self._closed_loop(http, instance.url, False, duration_s)
        elapsed_s = time.monotonic() - started_at
        cpu_s = self._cluster.cpu_s(instance.name) - before_s
        self._record("instance_requests_per_s", len(without_claim) / elapsed_s, "1/s")
        self._record("instance_request_cpu_ms", cpu_s / len(without_claim) * 1e3, "ms")
        self._record("instance_peak_cpu_share", cpu_s / elapsed_s, "ratio")
        before_s = self._cluster.cpu_s(instance.name)
        with_claim = await self._closed_loop(http, instance.url, True, duration_s)
        cpu_s = self._cluster.cpu_s(instance.name) - before_s
        self._record(
            "instance_claimed_request_cpu_ms", cpu_s / len(with_claim) * 1e3, "ms"
        )
        self._record_claim_latency("peak", without_claim, with_claim)

    async def changes(
        self, http: aiohttp.ClientSession, name: str, count: int, pause_s: float
    ) -> None:
        """Measure the time from sending a change until all instances apply it."""
        instances = self._cluster.instances
        reached_by_instance: list[dict[int, float]] = [{} for _ in instances]
        watchers = [
            asyncio.create_task(self._watch_revisions(http, instance.url, reached))
            for instance, reached in zip(instances, reached_by_instance, strict=True)
        ]
        try:
            await asyncio.sleep(0.5)
            writes = []
            for _ in range(count):
                writes.append(asyncio.create_task(self._write_record(http)))
                if pause_s:
                    await asyncio.sleep(pause_s)
            committed = await asyncio.gather(*writes)
            deadline_at = time.monotonic() + TIMEOUT_S
            last = max(revision for revision, _ in committed)
            while any(
                max(reached, default=0) < last for reached in reached_by_instance
            ):
                if time.monotonic() > deadline_at:
                    raise TimeoutError("a change did not reach all instances in time")
                await asyncio.sleep(0.05)
        finally:
            for watcher in watchers:
                watcher.cancel()
            await asyncio.gather(*watchers, return_exceptions=True)
        propagation_s = [
            max(_first_reached_at(reached, revision) for reached in reached_by_instance)
            - sent_at
            for revision, sent_at in committed
        ]
        self._record(
            f"config_in_force_p99_s/{name}", quantile(propagation_s, 0.99), "s", "<= 3"
        )
        self._record(f"config_in_force_p50_s/{name}", quantile(propagation_s, 0.5), "s")

    async def _watch_revisions(
        self, http: aiohttp.ClientSession, url: str, reached: dict[int, float]
    ) -> None:
        since = 0
        while True:
            path = f"{url}/v1/records?since={since}&wait_s={WATCH_WAIT_S}"
            async with http.get(path) as response:
                since = (await response.json())["revision"]
            reached.setdefault(since, time.monotonic())

    async def _write_record(self, http: aiohttp.ClientSession) -> tuple[int, float]:
        sent_at = time.monotonic()
        name = f"w{self._seed}-{next(self._sequence)}"
        spec = {"failure_domain": self._cluster.instances[0].failure_domain}
        document = {
            "schema": 2,
            "kind": "quarantine",
            "name": name,
            "replaces": 0,
            "spec": spec,
        }
        return (await self._apply(http, [document]))["revision"], sent_at

    async def _apply(self, http: aiohttp.ClientSession, records: list) -> dict:
        operation_id = f"bench-{self._seed}-{next(self._sequence)}"
        async with http.post(
            f"{self._cluster.instances[0].url}/v1/records/apply",
            json={"operation_id": operation_id, "records": records},
        ) as response:
            reply = await response.json()
            if response.status != 200:
                raise RuntimeError(f"a change was rejected: {reply}")
            return reply

    async def _closed_loop(
        self, http: aiohttp.ClientSession, url: str, with_claim: bool, duration_s: float
    ) -> list[float]:
        end_at = time.monotonic() + duration_s
        latencies_s: list[float] = []

        async def caller() -> None:
            while time.monotonic() < end_at:
                latencies_s.append(await self._time_request(http, url, with_claim))

        await asyncio.gather(*(caller() for _ in range(PEAK_CONCURRENCY)))
        return latencies_s

    async def _time_request(
        self, http: aiohttp.ClientSession, url: str, with_claim: bool
    ) -> float:
        started_at = time.perf_counter()
        if not await self._request(http, url, with_claim):
            raise RuntimeError("a request failed")
        return time.perf_counter() - started_at

    async def _request(
        self, http: aiohttp.ClientSession, url: str, with_claim: bool
    ) -> bool:
        headers = {"X-Client-Account": "acme"}
        if with_claim:
            headers["Idempotency-Key"] = f"key-{self._seed}-{next(self._sequence)}"
            headers["X-Non-Repeatable"] = "true"
        async with http.post(
            f"{url}/v1/services/{demo.SERVICE}/requests",
            json={"run_ms": 0, "echo": "bench"},
            headers=headers,
        ) as response:
            await response.read()
            return response.status == 200

    async def announcements(self, http: aiohttp.ClientSession) -> None:
        """Measure the leader's cost of announcements of workers with six tasks each."""
        by_url = {instance.url: instance for instance in self._cluster.instances}
        first_instance = self._cluster.instances[0]
        reply = await self._announce(http, first_instance.url, 0)
        leader = by_url[reply["leader_url"]]
        before_s = self._cluster.cpu_s(leader.name)
        started_at = time.monotonic()
        for number in range(ANNOUNCEMENTS):
            await self._announce(http, leader.url, number)
        elapsed_s = time.monotonic() - started_at
        cpu_s = self._cluster.cpu_s(leader.name) - before_s
        self._record(
            "worker_announcement_cpu_ms",
            cpu_s / ANNOUNCEMENTS * 1e3,
            "ms",
        )
        self._record("worker_announcements_per_s", ANNOUNCEMENTS / elapsed_s, "1/s")

    async def _announce(
        self, http: aiohttp.ClientSession, url: str, number: int
    ) -> dict:
        domain = self._cluster.instances[0].failure_domain
        tasks = [
            {"task_id": f"job-{domain}-{number}.{n}", "epoch": 1, "state": "stopped"}
            for n in range(6)
        ]
        body = {
            "id": f"bench-{number}",
            "url": "http://127.0.0.1:9",
            "failure_domain": domain,
            "rack": f"bench-{number // 8}",
            "incarnation": 1,
            "capacity": {"accelerators": 8, "cores": 64, "memory_mb": 256_000},
            "tasks": tasks,
        }
        async with http.post(f"{url}/v1/workers/announce", json=body) as response:
            reply = await response.json()
            if response.status != 200:
                raise RuntimeError(f"an announcement was rejected: {reply}")
            return reply

    def _record_claim_latency(
        self, name: str, without_claim: Sequence[float], with_claim: Sequence[float]
    ) -> None:
        for label, share in (("p50", 0.5), ("p99", 0.99)):
            base_ms = quantile(without_claim, share) * 1e3
            added_ms = quantile(with_claim, share) * 1e3 - base_ms
            # The baseline is the latency without a claim.
            self._record(f"claim_added_{label}_ms/{name}", added_ms, "ms", "", base_ms)

    def _record_rss(self, name: str, values: Sequence[float]) -> None:
        self._record(f"instance_rss_mb/{name}", max(values), "MB", "<= 64")

    def _record(
        self,
        name: str,
        value: float,
        unit: str,
        target: str = "",
        baseline: float | None = None,
    ) -> None:
        self.measured.append(
            measure.Measure(name, value, unit, target, baseline, self._seed)
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile; with few values, the largest."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _first_reached_at(reached: dict[int, float], revision: int) -> float:
    return min(
        at for reached_revision, at in reached.items() if reached_revision >= revision
    )
