"""Measure the cost of one-way frames between instances."""

import asyncio
import time

from bench import sweep
from marjoramusher.daemon import system
from marjoramusher.instances import peers
from marjoramusher.telemetry import metrics

PERIOD_S = 5.0
BODY = b"h" * 120  # about the size of a heartbeat


def frames(per_s: int) -> sweep.Values:
    """Measure both ends of a connection that carries `per_s` frames per second."""
    return asyncio.run(_frames(per_s))


async def _frames(per_s: int) -> sweep.Values:
    clock = system.SystemClock()
    received: list[str] = []
    instances = [
        peers.make_peers(name, b"token", clock, metrics.Metrics())
        for name in ("a", "b")
    ]
    instances[1].server.register_one_way(
        "beat", lambda sender, body: received.append(sender)
    )
    await instances[1].server.start("127.0.0.1", 0)
    instances[0].client.set_address("b", f"127.0.0.1:{instances[1].server.port}")
    instances[0].client.send("b", "beat", BODY)
    await asyncio.sleep(0.5)
    cpu_s = []
    for is_sending in (False, True):
        received.clear()
        cpu_before_s = time.process_time()
        for _ in range(int(PERIOD_S * per_s)):
            if is_sending:
                instances[0].client.send("b", "beat", BODY)
            await asyncio.sleep(1 / per_s)
        cpu_s.append(time.process_time() - cpu_before_s)
    if not received:
        raise RuntimeError("no frame was received")
    for instance in instances:
        await instance.stop()
    # The CPU time of the same wake-ups without frames is subtracted.
    return {"both_ends_cpu_share": (cpu_s[1] - cpu_s[0]) / PERIOD_S}


SWEEPS = (sweep.Sweep("peer_frames", "frame_per_s", (10, 20, 45, 90), frames),)
