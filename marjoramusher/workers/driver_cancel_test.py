"""Test that the driver ends on cancellation, without which a shutdown hangs.

A cancellation that arrives close to a wake-up of the driver must not be lost.
"""

import asyncio

import reactivex

from marjoramusher.consensus import message
from marjoramusher.core import clock
from marjoramusher.jobs import machine
from marjoramusher.telemetry import metrics
from marjoramusher.workers import driver


class Follower:
    """Group that this instance does not lead."""

    is_leader = False
    leader = None

    def __init__(self):
        self.roles = reactivex.Subject()
        self.applied = reactivex.Subject()


async def test_cancellation_at_the_moment_of_a_wake_up_ends_the_driver():
    group = Follower()
    time = clock.ManualClock()
    gang_driver = driver.GangDriver(
        group, machine.JobsMachine("d1"), None, None, time, None, metrics.Metrics()
    )
    # The outcome of the race depends on the turns between wake-up and cancellation.
    for turns in range(6):
        driver_task = asyncio.create_task(gang_driver.run())
        await asyncio.sleep(0.01)
        group.roles.on_next(message.RoleChanged(message.Role.FOLLOWER, 1, None))
        for _ in range(turns):
            await asyncio.sleep(0)
        driver_task.cancel()
        _, pending = await asyncio.wait({driver_task}, timeout=2.0)
        assert not pending, f"still running after {turns} turns"
