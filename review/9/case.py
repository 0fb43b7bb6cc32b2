"""A job whose queue needs advice waits for ever behind others that can't start."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent.parent / "target/deps"))
sys.path.append(str(FOLDER.parent))

from bed import advice, system  # noqa: E402

RUNNERS = 12
BUSY = ("i-10", "i-11")  # of kind b, and in use by work that lasts
# The usual rate of water-alert, and its largest burst in the site file.
RATE_PER_S = 1.05
BURST_FACTOR, BURST_S = 2.3, 6.0
JOBS = 24
RECOMMENDATION = {"decision_ms": 200, "per_worker_ms": 5, "validity_ms": 3000}
FINISH_S = system.BOUNDS["finish_s"]
MANIFEST = system.make_manifest(
    [
        {"name": "r-serve", "path_prefix": "/serve/", "priority": 0},
        {
            "name": "r-alert",
            "path_prefix": "/alert/",
            "priority": 0,
            "recommendation": RECOMMENDATION,
        },
        {
            "name": "r-survey",
            "path_prefix": "/survey/",
            "priority": 2,
            "recommendation": RECOMMENDATION,
        },
    ],
    [
        {"name": "one", "api_keys": ["key-one"], "guaranteed_gpus": {"gpu": 16}},
        {"name": "two", "api_keys": ["key-two"], "guaranteed_gpus": {"gpu": 8}},
    ],
)


def _step(**fields: object) -> dict[str, object]:
    return {
        "count": 1,
        "cpu": 26000,
        "task_memory_mb": 75000,
        "gpu": 8,
        "estimated_ms": 2000,
        **fields,
    }


async def _case(bed: system.Bed, has_trouble: bool) -> str:
    guarded: set[str] = set()
    service = advice.Advice(*RECOMMENDATION.values(), guarded.__contains__, bed.record)
    bed.recommendation = await service.start("127.0.0.1")
    for number in range(RUNNERS):
        name = f"i-{number}"
        one = await bed.add_runner(name, kind="b" if name in BUSY else "a")
        one.tickets = service.check
        service.born[name] = one.born
    await bed.start(MANIFEST)
    await bed.wait_registered()
    lasting = _step(long_running=True, requirements="b")
    for _ in BUSY:
        await bed.submit("/serve/", "key-one", [lasting], {"lasts": True})
    await asyncio.sleep(2)
    if has_trouble:
        begun_s = bed.now_s
        for _ in range(JOBS):
            is_burst = bed.now_s - begun_s < BURST_S
            await asyncio.sleep(1 / RATE_PER_S / (BURST_FACTOR if is_burst else 1))
            job = f"{len(guarded):016x}"
            guarded.add(job)
            await bed.submit(
                "/alert/", "key-two", [_step(requirements="b")], {"run_s": 2.0}, job
            )
    job = f"{len(guarded):016x}"
    guarded.add(job)
    _, accepted_s = await bed.submit(
        "/survey/", "key-two", [_step(gpu=1, cpu=5600)], {"run_s": 2.0}, job
    )
    bed.record(event="traffic_ends", waiting=job)
    ends_s = accepted_s + FINISH_S + 10
    while bed.now_s < ends_s:
        if any(
            event["event"] == "start" and event["task"].startswith(job)
            for event in bed.events
        ):
            break
        await asyncio.sleep(0.1)
    await bed.call_client("GET", f"/survey/{job}", "key-two")
    started = [
        event["at"]
        for event in bed.events
        if event["event"] == "start" and event["task"].startswith(job)
    ]
    calls = sum(event["event"] == "advice" for event in bed.events)
    await service.stop()
    if started and started[0] - accepted_s < FINISH_S + 3:
        return ""
    return (
        f"LOST: nothing of the job ran for {FINISH_S + 10} s after its ack, with "
        f"{RUNNERS - len(BUSY)} of {RUNNERS} runners idle; calls for advice: {calls}"
    )


if __name__ == "__main__":
    HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(system.run_case(_case, str(FOLDER), has_trouble=HAS_TROUBLE))
