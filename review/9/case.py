"""A second work item of a step is stopped while one is away with its runner."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent.parent / "target/deps"))
sys.path.append(str(FOLDER.parent))

from bed import system  # noqa: E402

RUNNERS = 8
NOTICE_S = system.BOUNDS["notice_ms"] / 1000
URGENT_AFTER_S = NOTICE_S + 0.2
MANIFEST = system.make_manifest(
    [
        {"name": "r-serve", "path_prefix": "/serve/", "priority": 1},
        {"name": "r-urgent", "path_prefix": "/urgent/", "priority": 0},
    ],
    [
        {"name": "other", "api_keys": ["key-other"], "guaranteed_gpus": {"gpu": 0}},
        {"name": "owner", "api_keys": ["key-owner"], "guaranteed_gpus": {"gpu": 32}},
    ],
)


def _step(count: int, **fields: object) -> dict[str, object]:
    return {
        "count": count,
        "cpu": 26000,
        "task_memory_mb": 75000,
        "gpu": 8,
        "estimated_ms": 2000,
        **fields,
    }


async def _case(bed: system.Bed, has_trouble: bool) -> str:
    for number in range(RUNNERS):
        await bed.add_runner(f"i-{number}", rack=f"r1-{number // 4}")
    await bed.start(MANIFEST)
    await bed.wait_registered()
    step = _step(RUNNERS, long_running=True, max_unavailable=1)
    job, _ = await bed.submit("/serve/", "key-other", [step], {"lasts": True})
    await asyncio.sleep(6)
    victim = bed.runners["i-0"]
    before_s = victim.renewed_s
    while victim.renewed_s == before_s:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    crashed_s = bed.now_s
    if has_trouble:
        await victim.crash()
    await asyncio.sleep(crashed_s + URGENT_AFTER_S - bed.now_s)
    await bed.submit("/urgent/", "key-owner", [_step(1)], {"run_s": 2.0})
    await asyncio.sleep(4)
    stops = [
        event
        for event in bed.events
        if event["event"] == "stop_order" and event["task"].startswith(job)
    ]
    back = [
        event["at"]
        for event in bed.events
        if event["event"] == "start" and event["at"] > crashed_s
    ]
    bed.record(event="started_later", at_s=back)
    broken = [
        event["at"] - crashed_s for event in stops if has_trouble
    ]
    away = [after_s for after_s in broken if after_s >= NOTICE_S]
    if not away:
        return ""
    return (
        f"AVAIL: {away[0]:.2f} s after a runner crashed, with one work item of the "
        "step away since then and max_unavailable 1, another one was stopped"
    )


if __name__ == "__main__":
    sys.exit(system.run_case(_case, str(FOLDER)))
