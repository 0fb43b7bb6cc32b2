"""A runner is unhealthy for two seconds and has done nothing for a refused stop."""

import asyncio
import sys

from review.standins import case, platform

WORK_S = 14.0
UNHEALTHY_S = 2.0
LATE_S = 4.0
WATCHED_S = 12.0


class Unhealthy(platform.Impairment):
    """The first start is carried out late; then 503 to all orders for a while."""

    def __init__(self, test: case.Case) -> None:
        self._test = test
        self.first_s: float | None = None

    def on_order(self, runner, path, body):
        """Return how an order is disturbed."""
        now_s = self._test.record.now_s()
        if self.first_s is None and path == "/run-start":
            self.first_s = now_s
            return f"late:{LATE_S}"
        if self.first_s is not None and now_s - self.first_s < UNHEALTHY_S:
            return "503"
        return ""


async def scenario(test: case.Case) -> list[str]:
    """Show two runs of a work item after a refused stop."""
    await test.start()
    impairment = Unhealthy(test) if test.trouble else platform.Impairment()
    # The smaller runner is the fullest one, so it gets the first work item.
    first = test.make_runner("i-1", cpu=32000, gpu=4, impairment=impairment)
    second = test.make_runner("i-2")
    for runner in (first, second):
        await runner.start()
    await asyncio.sleep(4.0)
    job_id = await test.client.submit(
        platform.BATCH,
        WORK_S,
        {"count": 1, "cpu": 1000, "task_memory_mb": 256, "estimated_ms": 14000},
    )
    await asyncio.sleep(WATCHED_S)
    if not test.runs_of(job_id):
        raise RuntimeError("the work item never started")
    await test.client.state(platform.BATCH, job_id)
    return platform.find_doubles(test.history, test.record.now_s())


if __name__ == "__main__":
    case.main(scenario, sys.argv[0])
