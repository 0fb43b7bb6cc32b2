"""Guards against stops that operators can't explain, and waits that are not counted.

Load: a fleet full of batch runs, and one urgent workflow that needs one worker.
"""

import asyncio

import eliot
import pytest

from standins import virtual
from standins.leader import WORKERS, Harness, always, step


def value(harness, name):
    counters = harness.driver._metrics.snapshot().counters
    return sum(counter.value for counter in counters if counter.name == name)


@pytest.mark.parametrize("work_s, is_stopped", [(30.0, True), (4.2, False)])
def test_stops_tell_what_they_lost_and_for_whom(work_s, is_stopped):
    """The urgent step has 1.6 s of slack; runs of 4.2 s end 0.4 s after it arrives."""
    lines = []
    eliot.add_destinations(lines.append)
    lines.clear()  # the first destination gets what was logged before it was added

    async def scenario():
        async with Harness(3, always(work_s)) as harness:
            await harness.submit("batch", step(WORKERS, 8))
            await asyncio.sleep(4.0)
            name = await harness.submit("urgent", step(1, 8))
            await asyncio.sleep(2.0)
            assert harness.state.entries[name].is_started
            assert value(harness, "preemptions_avoided") == (not is_stopped)
            assert value(harness, "tasks_preempted") == is_stopped
            stops = [line for line in lines if line.get("message_type") == "task.stop"]
            assert [stop["beneficiary"] for stop in stops] == [name] * is_stopped
            lost_core_s = sum(stop["lost_core_s"] for stop in stops)
            # A run of 8 accelerators and a core has lasted for about 4 s.
            assert lost_core_s == pytest.approx(4 * 65 * is_stopped, rel=0.1)
            preempted_core_s = value(harness, "preempted_core_s")
            assert preempted_core_s == pytest.approx(lost_core_s, abs=0.1)

    try:
        virtual.run(scenario())
    finally:
        eliot.remove_destination(lines.append)
