"""The first order for the upkeep of each machine of a wave gets no answer."""

import asyncio
import sys

from review.standins import case, platform

WAVE = 1
WAVE_DURATION_S = 40
WORK_S = 2.0
FINISH_S = 14.0
UNUSED_S = 3.0


async def scenario(test: case.Case) -> list[str]:
    """Show a job that never runs after a wave, beside idle runners."""
    cloud_address = f"{test.addresses.ip()}:{test.addresses.port()}"
    await test.start(cloud_address)
    machines = {f"m-{number}": f"i-{number}" for number in (1, 2, 3)}
    runners = {machine: test.make_runner(name) for machine, name in machines.items()}

    async def restart(machine: str) -> platform.Runner:
        """Start a new runner under the id and the address of the former one."""
        former = runners[machine]
        runners[machine] = test.make_runner(former.name, former.address)
        await runners[machine].start()
        return runners[machine]

    unanswered = set(machines) if test.trouble else set()
    test.cloud = platform.Cloud(cloud_address, test.record, restart, unanswered)
    for machine, runner in runners.items():
        await runner.start()
        test.cloud.add(machine, runner)
    await test.cloud.start()
    await asyncio.sleep(4.0)

    step = {"count": 3, "cpu": 1000, "task_memory_mb": 256, "estimated_ms": 2000}
    before = await test.client.submit(platform.BATCH, WORK_S, step)
    await asyncio.sleep(WORK_S + 3.0)
    if await test.client.state(platform.BATCH, before) != "completed":
        raise RuntimeError("a job before the wave was not completed")

    order = {
        "wave": WAVE,
        "machines": list(machines),
        "duration_s": WAVE_DURATION_S,
        "max_count": 1,
    }
    test.cloud.add_wave(WAVE, list(machines))
    await test.operator.call("POST", "/wave-start", order)
    state = ""
    while state != "completed":
        if test.record.now_s() > 75.0:
            raise RuntimeError("the wave was not completed")
        await asyncio.sleep(1.0)
        _, answer = await test.operator.call("GET", f"/wave-get/{WAVE}")
        state = answer["state"]
    # All impairments are over, and the last runner is back.
    await asyncio.sleep(5.0)

    submitted_s = test.record.now_s()
    after = await test.client.submit(platform.BATCH, WORK_S, step)
    await asyncio.sleep(FINISH_S)
    idle = [runner for runner in runners.values() if runner.is_up and not runner.runs]
    runs = list(test.runs_of(after))
    state = await test.client.state(platform.BATCH, after)
    test.record.write(f"{len(idle)} of {len(runners)} runners are up and run nothing")
    if runs and min(run.started_s for _, run in runs) - submitted_s < UNUSED_S:
        return []
    return [
        f"LOST {after}: nothing of the job has run {FINISH_S} s after it was accepted, "
        f"its state is {state}, and {len(idle)} runners with room for it are idle"
    ]


if __name__ == "__main__":
    case.main(scenario, sys.argv[0])
