"""A start that is carried out late runs in the next lifetime beside a later run."""

import asyncio
import os
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent.parent / "target/deps"))
sys.path.append(str(FOLDER.parent))

from bed import runner, system  # noqa: E402

RUNNERS = 12
OTHERS = 24  # work items whose starts are not late
LATE_S = 8.9  # after the first attempt at the start: 2 to 12 s
CUT_AT_S, CUT_S = 3.0, 5.0
CRASH_AT_S, BOOT_AT_S = 4.0, 5.0
MANIFEST = system.make_manifest(
    [{"name": "r-survey", "path_prefix": "/survey/", "priority": 2}],
    [{"name": "one", "api_keys": ["key-one"], "guaranteed_gpus": {"gpu": 16}}],
)
STEP = {
    "count": 1,
    "cpu": 5600,
    "task_memory_mb": 16000,
    "gpu": 1,
    "estimated_ms": 20000,
}


async def _case(bed: system.Bed, has_trouble: bool) -> str:
    held: list[runner.Runner] = []

    job = f"{1:016x}"

    def delay_by(one: runner.Runner) -> Any:
        def delay_of(path: str, body: Any) -> float | None:
            if held or path != "/run-start" or not body["task"].startswith(job):
                return None
            held.append(one)
            bed.record(
                event="held_up", runner=one.name, path=path, body=body, for_s=LATE_S
            )
            return LATE_S

        return delay_of

    for number in range(RUNNERS):
        one = await bed.add_runner(f"i-{number}", rack=f"r1-{number // 4}")
        if has_trouble:
            one.delay_of = delay_by(one)
    await bed.start(MANIFEST)
    await bed.wait_registered()
    others = {**STEP, "count": OTHERS, "estimated_ms": 1000}
    await bed.submit("/survey/", "key-one", [others], {"run_s": 1.0})
    await asyncio.sleep(3)
    await bed.submit("/survey/", "key-one", [STEP], {"run_s": 20.0}, job)
    started_s = bed.now_s
    if has_trouble:
        while not held:
            await asyncio.sleep(0.01)
        started_s = bed.now_s
        (victim,) = held
        await asyncio.sleep(CUT_AT_S)
        victim.is_cut = True
        bed.record(event="cut", runner=victim.name)
        await asyncio.sleep(started_s + CRASH_AT_S - bed.now_s)
        await victim.crash()
        await asyncio.sleep(started_s + BOOT_AT_S - bed.now_s)
        await victim.boot()
        await asyncio.sleep(started_s + CUT_AT_S + CUT_S - bed.now_s)
        victim.is_cut = False
        bed.record(event="cut_healed", runner=victim.name)
    await asyncio.sleep(started_s + 30 - bed.now_s)
    await bed.call_client("GET", f"/survey/{job}", "key-one")
    return system.find_overlaps(bed.events, job)


if __name__ == "__main__":
    HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(system.run_case(_case, str(FOLDER), has_trouble=HAS_TROUBLE))
