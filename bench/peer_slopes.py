"""Cost of one-way frames between instances."""

import asyncio
import time

from bench import sweep
from marjoramusher.daemon import system
from marjoramusher.instances import peers
from marjoramusher.telemetry import metrics

LENGTH_S = 5.0
BODY = b"h" * 120  # about the size of a heartbeat


def frames(per_s: int) -> sweep.Values:
    """Measure both ends of a connection that carries so many frames a second."""
    return asyncio.run(_frames(per_s))


async def _frames(per_s: int) -> sweep.Values:
    clock = system.SystemClock()
    received: list[str] = []
    ends = [
        peers.make_peers(name, b"token", clock, metrics.Metrics())
        for name in ("a", "b")
    ]
    ends[1].server.register_one_way(
        "beat", lambda sender, body: received.append(sender)
    )
    await ends[1].server.start("127.0.0.1", 0)
    ends[0].client.set_address("b", f"127.0.0.1:{ends[1].server.port}")
    ends[0].client.send("b", "beat", BODY)
    await asyncio.sleep(0.5)
    spent = []
    for send in (False, True):
        received.clear()
        before = time.process_time()
        for _ in range(int(LENGTH_S * per_s)):
            if send:
                ends[0].client.send("b", "beat", BODY)
            await asyncio.sleep(1 / per_s)
        spent.append(time.process_time() - before)
    if not received:
        raise RuntimeError("no frame has arrived")
    for end in ends:
        await end.stop()
    # The same wake-ups without a frame are taken off.
    return {"both_ends_cpu_share": (spent[1] - spent[0]) / LENGTH_S}


SWEEPS = (sweep.Sweep("peer_frames", "frame_per_s", (10, 20, 45, 90), frames),)
