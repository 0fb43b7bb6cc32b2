"""Guards waits for a leader against callers that give up."""

import asyncio
import random

from marjoramusher.core import clock
from marjoramusher.groups import runner
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import machine


async def test_a_cancelled_wait_for_a_leader_leaves_no_subscription():
    """Guards against memory that grows with each lookup that another answer ends."""
    group = runner.RaftGroup(
        "records",
        machine.WorkflowMachine(),
        lambda instance, method, body: None,
        None,
        clock.ManualClock(),
        random.Random(1),
        metrics.Metrics(),
        lambda group_only: None,
    )
    waiting = asyncio.create_task(group.wait_leader(60.0))
    await asyncio.sleep(0)
    assert len(group._roles.observers) == 1
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not group._roles.observers
