"""Failing work of one tenant keeps another tenant from its guaranteed GPUs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent.parent / "target/deps"))
sys.path.append(str(FOLDER.parent))

from bed import system  # noqa: E402

RUNNERS = 8
RECLAIM_TIMEOUT_S = system.BOUNDS["reclaim_timeout_ms"] / 1000
FAILS_AFTER_S = 3.0
MANIFEST = system.make_manifest(
    [
        {"name": "r-survey", "path_prefix": "/survey/", "priority": 2},
        {"name": "r-urgent", "path_prefix": "/urgent/", "priority": 0},
    ],
    [
        {"name": "other", "api_keys": ["key-other"], "guaranteed_gpus": {"gpu": 0}},
        {"name": "owner", "api_keys": ["key-owner"], "guaranteed_gpus": {"gpu": 32}},
    ],
)


def _step(count: int, gpu: int, **fields: object) -> dict[str, object]:
    return {
        "count": count,
        "cpu": 3000 * gpu,
        "task_memory_mb": 9000 * gpu,
        "gpu": gpu,
        "estimated_ms": 2000,
        **fields,
    }


async def _case(bed: system.Bed, has_trouble: bool) -> str:
    for number in range(RUNNERS):
        await bed.add_runner(f"i-{number}", rack=f"r1-{number // 4}")
    await bed.start(MANIFEST)
    await bed.wait_registered()
    long_step = _step(RUNNERS, 5, estimated_ms=60000, anti_affinity=1)
    await bed.submit("/survey/", "key-other", [long_step], {"run_s": 300.0})
    lasting = _step(RUNNERS, 1, long_running=True, anti_affinity=1)
    behaviour = {"lasts": True}
    if has_trouble:
        behaviour["fails_after_s"] = FAILS_AFTER_S
    for _ in range(2):
        await bed.submit("/survey/", "key-other", [lasting], behaviour)
    await asyncio.sleep(10)
    job, accepted_s = await bed.submit(
        "/urgent/", "key-owner", [_step(2, 8)], {"run_s": 2.0}
    )
    await asyncio.sleep(accepted_s + RECLAIM_TIMEOUT_S - bed.now_s)
    begun = {
        event["task"]
        for event in bed.events
        if event["event"] == "start" and event["task"].startswith(job)
    }
    if len(begun) == 2:
        return ""
    await asyncio.sleep(30)
    later = [
        round(event["at"] - accepted_s, 2)
        for event in bed.events
        if event["event"] == "start" and event["task"].startswith(job)
    ]
    await bed.call_client("GET", f"/urgent/{job}", "key-owner")
    return (
        f"RECLAIM: {len(begun)} of 2 work items had begun {RECLAIM_TIMEOUT_S} s after "
        f"the ack; {RECLAIM_TIMEOUT_S + 30} s after it: {later}"
    )


if __name__ == "__main__":
    sys.exit(system.run_case(_case, str(FOLDER)))
