"""Each of four runners is cut off once, a little longer than its lease lasts."""

import asyncio
import sys

from review.standins import case, platform

CUT_S = 6.0
RUNNERS = 4
WORK_S = 100.0
FINISH_S = 14.0
PAUSE_S = 1.0


async def cut_off_holder(
    test: case.Case, runners: list[platform.Runner], job_id: str
) -> None:
    """Cut the runner off on which the work item of a job is at work."""

    def holders() -> list[platform.Runner]:
        return [
            runner
            for runner in runners
            if any(run.task.startswith(job_id) for run in runner.runs)
        ]

    await test.wait_for(lambda: bool(holders()), 8.0, "a run of the work item")
    holder = holders()[0]
    held_s = test.record.now_s()
    await test.wait_for(lambda: holder.held_s > held_s, 3.0, "a call to hold")
    await asyncio.sleep(PAUSE_S)
    if test.trouble:
        holder.is_cut_off = True
        test.record.write(f"{holder.name} is cut off, and runs on")
    await asyncio.sleep(CUT_S)
    if test.trouble:
        holder.is_cut_off = False
        test.record.write(f"{holder.name} is reachable again")
    await asyncio.sleep(PAUSE_S)


async def scenario(test: case.Case) -> list[str]:
    """Show jobs that never run, beside runners that were cut off and are back."""
    await test.start()
    runners = [test.make_runner(f"i-{number + 1}") for number in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    await asyncio.sleep(4.0)
    step = {"count": 1, "cpu": 8000, "task_memory_mb": 1024, "estimated_ms": 100000}
    first_id = await test.client.submit(platform.BATCH, WORK_S, step)
    for _ in range(RUNNERS // 2):
        await cut_off_holder(test, runners, first_id)
    await test.client.cancel(platform.BATCH, first_id)
    second_id = await test.client.submit(platform.BATCH, WORK_S, step)
    for _ in range(RUNNERS // 2):
        await cut_off_holder(test, runners, second_id)
    third_id = await test.client.submit(platform.URGENT, 2.0, step)
    await asyncio.sleep(FINISH_S)
    broken = []
    for prefix, name in ((platform.BATCH, second_id), (platform.URGENT, third_id)):
        state = await test.client.state(prefix, name)
        is_at_work = any(
            run.task.startswith(name) for runner in runners for run in runner.runs
        )
        if state != "completed" and not is_at_work:
            broken.append(
                f"LOST {name}: its state is {state}, and nothing of it is at work "
                f"{FINISH_S} s after all cuts have ended, beside "
                f"{sum(not runner.runs for runner in runners)} idle runners"
            )
    return broken


if __name__ == "__main__":
    case.main(scenario, sys.argv[0])
