"""Ordinary callers: small jobs at a steady rate, and what becomes of them."""

import asyncio
import collections
import json
import os
import pathlib
import sys
import time

from lab import bed

FINISH_S = 14.0  # `finish_s` of the pages' sheets
ASK_S = 10.0  # how long the jobs are asked for after that


class Ordinary:
    """Small jobs on both queues, each asked for after the end of the traffic."""

    def __init__(self, system, seconds, rate=4.0, duration_ms=200):
        self.system = system
        self.seconds = seconds
        self.rate = rate
        self.duration_ms = duration_ms
        self.statuses = collections.Counter()
        self.states = {}

    async def submit(self, number):
        """Hand one job in and note whether it was accepted."""
        path = f"/{('urgent', 'batch')[number % 2]}/{bed.new_id()}"
        body = bed.job(self.duration_ms)
        status = await self.system.submit(path, body, "ordinary")
        self.statuses[status] += 1
        if status == 200:
            self.states[path] = None

    async def run(self):
        """Hand jobs in at a steady rate until the end of the traffic."""
        began = time.monotonic()
        calls = []
        for number in range(int(self.seconds * self.rate)):
            due = began + number / self.rate
            await asyncio.sleep(max(due - time.monotonic(), 0))
            calls.append(asyncio.create_task(self.submit(number)))
        await asyncio.gather(*calls)
        self.system.record(f"end of the traffic: {dict(self.statuses)}")

    async def ask(self, path):
        """Ask for one job once."""
        status, data = await self.system.client("GET", path, None, "asked")
        if status == 200:
            self.states[path] = json.loads(data)["state"]
        elif status == 410:
            self.states[path] = "unknown"

    async def settle(self, min_s=0.0):
        """Ask for the accepted jobs from `finish_s` on; return how many are open.

        A job is open if it isn't shown as completed in any answer of `ASK_S` seconds.
        """
        await asyncio.sleep(FINISH_S)
        began = time.monotonic()
        end = began + ASK_S
        while time.monotonic() < end and self.open_paths:
            paths = self.open_paths
            for first in range(0, len(paths), 20):
                await asyncio.gather(*map(self.ask, paths[first : first + 20]))
            await asyncio.sleep(0.5)
        await asyncio.sleep(max(began + min_s - time.monotonic(), 0))
        counts = collections.Counter(str(state) for state in self.states.values())
        record = self.system.record
        record(f"accepted ordinary jobs, {FINISH_S} s and more later: {dict(counts)}")
        return len(self.open_paths)

    @property
    def open_paths(self):
        """Return the accepted jobs that weren't shown as completed."""
        return [path for path, state in self.states.items() if state != "completed"]


def main(folder, play, *, is_troubled):
    """Run a case with or without its disruption, and exit with its result."""
    try:
        path = pathlib.Path(folder) / os.environ.get("RECORD", "record.txt")
        result = asyncio.run(play(bed.Record(path), is_troubled))
    except (RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        result = 2
    sys.exit(result)
