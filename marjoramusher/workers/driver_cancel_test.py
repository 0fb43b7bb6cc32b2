"""Guards against a shutdown that hangs because the driver misses its cancellation."""

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
    made = driver.GangDriver(
        group, machine.JobsMachine("d1"), None, None, time, None, metrics.Metrics()
    )
    # The number of turns between the wake-up and the cancellation decides the race.
    for turns in range(6):
        running = asyncio.create_task(made.run())
        await asyncio.sleep(0.01)
        group.roles.on_next(message.RoleChanged(message.Role.FOLLOWER, 1, None))
        for _ in range(turns):
            await asyncio.sleep(0)
        running.cancel()
        _, pending = await asyncio.wait({running}, timeout=2.0)
        assert not pending, f"still running after {turns} turns"
