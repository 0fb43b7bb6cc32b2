"""A runner is cut off for three seconds while more than 500 work items end on it."""

import asyncio
import sys

from review.standins import case, platform

JOBS = 55
WIDTH = 20
SUBMIT_S = 0.33
LINK_S = 0.03  # one way between two regions
CUT_S = 3.0
ENDS_AFTER_S = 22.0  # from the first job to the end of its work items
SPREAD_S = 0.04  # between the ends of two jobs, so that they end within 2.2 s
WATCHED_S = 12.0


async def scenario(test: case.Case) -> list[str]:
    """Show second runs of work items whose ends did not fit into one list."""
    await test.start()
    # Only the first runner has the label that the jobs require.
    first = test.make_runner("i-1", labels=("b", "r3-1"), zone="liberia", link_s=LINK_S)
    second = test.make_runner("i-2")
    for runner in (first, second):
        await runner.start()
    await asyncio.sleep(4.0)
    begun_s = test.record.now_s()
    for number in range(JOBS):
        # The later a job is handed in, the shorter is its work.
        work_s = ENDS_AFTER_S + number * SPREAD_S - (test.record.now_s() - begun_s)
        await test.client.submit(
            platform.BATCH,
            work_s,
            {
                "count": WIDTH,
                "cpu": 50,
                "task_memory_mb": 200,
                "estimated_ms": int(1000 * work_s),
                "requirements": "b",
            },
        )
        await asyncio.sleep(SUBMIT_S)
    await asyncio.sleep(begun_s + ENDS_AFTER_S - 0.4 - test.record.now_s())
    test.record.write(f"{len(first.runs)} work items are at work on i-1")
    if test.trouble:
        first.is_cut_off = True
        test.record.write("i-1 is cut off, and runs on")
    await asyncio.sleep(CUT_S)
    if test.trouble:
        first.is_cut_off = False
        test.record.write("i-1 is reachable again")
    await asyncio.sleep(WATCHED_S)
    return platform.find_doubles(test.history, test.record.now_s())


if __name__ == "__main__":
    case.main(scenario, sys.argv[0])
