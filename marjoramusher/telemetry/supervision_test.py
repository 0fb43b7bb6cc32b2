"""Guards processes whose background loop meets an unexpected error."""

import asyncio
import contextlib

import eliot

from marjoramusher.telemetry import supervision
from standins import virtual


def test_an_error_in_one_step_is_logged_and_ends_nothing():
    async def scenario():
        steps, lines = [], []
        eliot.add_destinations(lines.append)

        async def step():
            steps.append(asyncio.get_running_loop().time())
            await asyncio.sleep(1.0)
            if len(steps) == 2:
                raise ValueError("malformed")

        task = asyncio.create_task(supervision.repeat(step, "probe"))
        await asyncio.sleep(5.0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        eliot.remove_destination(lines.append)
        assert len(steps) == 5
        errors = [x for x in lines if x["message_type"] == "program.unexpected_error"]
        assert [line["where"] for line in errors] == ["probe"]
        assert "malformed" in errors[0]["reason"]

    virtual.run(scenario())
