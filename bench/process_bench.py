"""Measures of real processes on loopback."""

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

IDLE_S = 20.0
DAILY_CHANGES = 12_000
SPACED_CHANGES = 60
SPACED_S = 0.5  # 14 times as often as 12,000 changes a day
BURST = 500
LIGHT_REQUESTS = 150
PEAK_CONCURRENCY = 48
PEAK_S = 5.0
POLL_S = 30
ANNOUNCEMENTS = 500
TIMEOUT_S = 60.0
RECORDS = pathlib.Path(demo.__file__).parent / "records.json"


def measures(seeds: Sequence[int], quick: bool = False) -> Iterator[measure.Measure]:
    """Yield all measures; a seed stands for one start of all processes."""
    for seed in seeds:
        with cluster.started() as running:
            yield from asyncio.run(_measure(running, seed, quick))


async def _measure(
    running: cluster.Cluster, seed: int, quick: bool
) -> list[measure.Measure]:
    bench = Bench(running, seed)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        await bench.prepare(http)
        await bench.idle(http, IDLE_S / 4 if quick else IDLE_S)
        await bench.light(http, LIGHT_REQUESTS // 5 if quick else LIGHT_REQUESTS)
        await bench.peak(http, PEAK_S / 5 if quick else PEAK_S)
        await bench.changes(
            http, "spaced", SPACED_CHANGES // 6 if quick else SPACED_CHANGES, SPACED_S
        )
        await bench.changes(http, "burst", BURST, 0.0)
        await bench.memory(http)
        await bench.announcements(http)
    return bench.found


class Bench:
    """Measure one cluster.

    Parameters
    ----------
    running : Cluster
        Started instances.
    seed : int
        Number of the start, for the results.
    """

    def __init__(self, running: cluster.Cluster, seed: int) -> None:
        self._running = running
        self._seed = seed
        self._serial = itertools.count()
        self.found: list[measure.Measure] = []

    async def prepare(self, http: aiohttp.ClientSession) -> None:
        """Write the demo's records and wait until every instance routes."""
        instances = self._running.instances
        text = RECORDS.read_text().replace("FD", instances[0].failure_domain)
        await self._apply(http, json.loads(text)["records"])
        for instance in instances:
            until = time.monotonic() + TIMEOUT_S
            while not await self._request(http, instance.url, False):
                if time.monotonic() > until:
                    raise TimeoutError(f"{instance.name} serves no requests")
                await asyncio.sleep(0.2)

    async def idle(self, http: aiohttp.ClientSession, length_s: float) -> None:
        """Measure instances that only runners and workers call."""
        instances = self._running.instances
        await asyncio.sleep(2.0)
        before = [await self._running.usage(http, one) for one in instances]
        # What the call for metrics costs is over before the measurement begins.
        await asyncio.sleep(0.5)
        quiet = [self._running.cpu_s(one.name) for one in instances]
        began = time.monotonic()
        await asyncio.sleep(length_s)
        after = [await self._running.usage(http, one) for one in instances]
        spent_s = time.monotonic() - began
        pairs = list(zip(before, after, strict=True))
        cpu = [(b.cpu_s - a) / spent_s for a, b in zip(quiet, after, strict=True)]
        peers = [(b.peer_bytes - a.peer_bytes) / spent_s / 1000 for a, b in pairs]
        self._add("instance_idle_cpu_share/worst", max(cpu), "ratio", "<= 0.015")
        self._add("instance_idle_cpu_share/mean", _mean(cpu), "ratio", "<= 0.015")
        self._add("instance_control_kb_s/worst", max(peers), "KB/s", "<= 10")
        self._add("instance_control_kb_s/mean", _mean(peers), "KB/s", "<= 10")
        self._add_rss("idle", [one.rss_mb for one in after])

    async def memory(self, http: aiohttp.ClientSession) -> None:
        """Measure the memory after all load."""
        used = [await self._running.usage(http, one) for one in self._running.instances]
        self._add_rss("loaded", [one.rss_mb for one in used])

    async def light(self, http: aiohttp.ClientSession, count: int) -> None:
        """Measure what a claim adds when one request runs at a time."""
        plain, claimed = [], []
        for number in range(count):
            # Every third instance belongs to each of the three failure domains.
            url = self._running.instances[number % 6].url
            plain.append(await self._timed(http, url, False))
            claimed.append(await self._timed(http, url, True))
        self._add_claims("light", plain, claimed)

    async def peak(self, http: aiohttp.ClientSession, length_s: float) -> None:
        """Measure what one instance serves, and what claims add to it."""
        instance = self._running.instances[0]
        plain = await self._closed_loop(http, instance.url, False, length_s / 5)
        before_s = self._running.cpu_s(instance.name)
        began = time.monotonic()
        plain = await self._closed_loop(http, instance.url, False, length_s)
        spent_s = time.monotonic() - began
        cpu_s = self._running.cpu_s(instance.name) - before_s
        self._add("instance_requests_per_s", len(plain) / spent_s, "1/s")
        self._add("instance_request_cpu_ms", cpu_s / len(plain) * 1e3, "ms")
        self._add("instance_peak_cpu_share", cpu_s / spent_s, "ratio")
        before_s = self._running.cpu_s(instance.name)
        claimed = await self._closed_loop(http, instance.url, True, length_s)
        cpu_s = self._running.cpu_s(instance.name) - before_s
        self._add("instance_claimed_request_cpu_ms", cpu_s / len(claimed) * 1e3, "ms")
        self._add_claims("peak", plain, claimed)

    async def changes(
        self, http: aiohttp.ClientSession, name: str, count: int, pause_s: float
    ) -> None:
        """Measure from a write's sending until it is in force at all instances."""
        instances = self._running.instances
        seen: list[dict[int, float]] = [{} for _ in instances]
        watchers = [
            asyncio.create_task(self._watch(http, instance.url, reached))
            for instance, reached in zip(instances, seen, strict=True)
        ]
        try:
            await asyncio.sleep(0.5)
            sent = []
            for _ in range(count):
                sent.append(asyncio.create_task(self._change(http)))
                if pause_s:
                    await asyncio.sleep(pause_s)
            written = await asyncio.gather(*sent)
            until = time.monotonic() + TIMEOUT_S
            last = max(revision for revision, _ in written)
            while any(max(reached, default=0) < last for reached in seen):
                if time.monotonic() > until:
                    raise TimeoutError("a change is not in force everywhere")
                await asyncio.sleep(0.05)
        finally:
            for watcher in watchers:
                watcher.cancel()
            await asyncio.gather(*watchers, return_exceptions=True)
        taken = [
            max(_first(reached, revision) for reached in seen) - began
            for revision, began in written
        ]
        self._add(f"config_in_force_p99_s/{name}", quantile(taken, 0.99), "s", "<= 3")
        self._add(f"config_in_force_p50_s/{name}", quantile(taken, 0.5), "s")

    async def _watch(
        self, http: aiohttp.ClientSession, url: str, reached: dict[int, float]
    ) -> None:
        since = 0
        while True:
            path = f"{url}/v1/records?since={since}&wait_s={POLL_S}"
            async with http.get(path) as response:
                since = (await response.json())["revision"]
            reached.setdefault(since, time.monotonic())

    async def _change(self, http: aiohttp.ClientSession) -> tuple[int, float]:
        began = time.monotonic()
        name = f"w{self._seed}-{next(self._serial)}"
        spec = {"failure_domain": self._running.instances[0].failure_domain}
        document = {
            "schema": 2,
            "kind": "quarantine",
            "name": name,
            "replaces": 0,
            "spec": spec,
        }
        return (await self._apply(http, [document]))["revision"], began

    async def _apply(self, http: aiohttp.ClientSession, records: list) -> dict:
        operation = f"bench-{self._seed}-{next(self._serial)}"
        async with http.post(
            f"{self._running.instances[0].url}/v1/records/apply",
            json={"operation_id": operation, "records": records},
        ) as response:
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(f"a change was refused: {answer}")
            return answer

    async def _closed_loop(
        self, http: aiohttp.ClientSession, url: str, claimed: bool, length_s: float
    ) -> list[float]:
        until = time.monotonic() + length_s
        taken: list[float] = []

        async def caller() -> None:
            while time.monotonic() < until:
                taken.append(await self._timed(http, url, claimed))

        await asyncio.gather(*(caller() for _ in range(PEAK_CONCURRENCY)))
        return taken

    async def _timed(
        self, http: aiohttp.ClientSession, url: str, claimed: bool
    ) -> float:
        began = time.perf_counter()
        if not await self._request(http, url, claimed):
            raise RuntimeError("a request failed")
        return time.perf_counter() - began

    async def _request(
        self, http: aiohttp.ClientSession, url: str, claimed: bool
    ) -> bool:
        headers = {"X-Client-Account": "acme"}
        if claimed:
            headers["Idempotency-Key"] = f"key-{self._seed}-{next(self._serial)}"
            headers["X-Non-Repeatable"] = "true"
        async with http.post(
            f"{url}/v1/services/{demo.SERVICE}/requests",
            json={"run_ms": 0, "echo": "bench"},
            headers=headers,
        ) as response:
            await response.read()
            return response.status == 200

    async def announcements(self, http: aiohttp.ClientSession) -> None:
        """Measure what announcements of workers with six tasks each cost a leader."""
        by_url = {instance.url: instance for instance in self._running.instances}
        first = self._running.instances[0]
        reply = await self._announce(http, first.url, 0)
        leader = by_url[reply["leader_url"]]
        before_s = self._running.cpu_s(leader.name)
        began = time.monotonic()
        for number in range(ANNOUNCEMENTS):
            await self._announce(http, leader.url, number)
        spent_s = time.monotonic() - began
        cpu_s = self._running.cpu_s(leader.name) - before_s
        self._add(
            "worker_announcement_cpu_ms",
            cpu_s / ANNOUNCEMENTS * 1e3,
            "ms",
        )
        self._add("worker_announcements_per_s", ANNOUNCEMENTS / spent_s, "1/s")

    async def _announce(
        self, http: aiohttp.ClientSession, url: str, number: int
    ) -> dict:
        domain = self._running.instances[0].failure_domain
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
            answer = await response.json()
            if response.status != 200:
                raise RuntimeError(f"an announcement was refused: {answer}")
            return answer

    def _add_claims(
        self, name: str, plain: Sequence[float], claimed: Sequence[float]
    ) -> None:
        for label, share in (("p50", 0.5), ("p99", 0.99)):
            base_ms = quantile(plain, share) * 1e3
            added_ms = quantile(claimed, share) * 1e3 - base_ms
            # The baseline is the same request without a claim.
            self._add(f"claim_added_{label}_ms/{name}", added_ms, "ms", "", base_ms)

    def _add_rss(self, name: str, values: Sequence[float]) -> None:
        self._add(f"instance_rss_mb/{name}", max(values), "MB", "<= 64")

    def _add(
        self,
        name: str,
        value: float,
        unit: str,
        target: str = "",
        baseline: float | None = None,
    ) -> None:
        self.found.append(
            measure.Measure(name, value, unit, target, baseline, self._seed)
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile; the worst value if there are few."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _first(reached: dict[int, float], revision: int) -> float:
    return min(at for known, at in reached.items() if known >= revision)
