"""Guards the readiness of a gateway against errors of its probe."""

import asyncio
import random

from marjoramusher.daemon import gateway
from marjoramusher.queues import call
from marjoramusher.telemetry import metrics
from standins import virtual


class Forwarder:
    """Leader that answers, after some answers that can't be decoded."""

    def __init__(self, malformed):
        self.malformed = malformed

    async def call(self, method, body, timeout_s, *, idempotent):
        await asyncio.sleep(0.01)
        if self.malformed:
            self.malformed -= 1
            raise UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte")
        return call.codec.pack(call.Document(1, b""))


def test_a_malformed_answer_to_a_probe_does_not_end_the_probes():
    """Guards against a gateway that stays out of rotation after one bad answer."""

    async def scenario():
        time = virtual.LoopClock(asyncio.get_running_loop())
        frontend = gateway.Gateway("g1", (), time, random.Random(1), metrics.Metrics())
        frontend._forwarder = Forwarder(malformed=2)
        frontend.start()
        await asyncio.sleep(0.3)
        assert not frontend.is_ready
        await asyncio.sleep(3.0)
        assert frontend.is_ready
        await frontend.stop()

    virtual.run(scenario())
