"""Guards claims of one instance against the clean-up of another."""

import asyncio

import pytest

from marjoramusher.callers import claiming
from marjoramusher.claims import command, machine
from marjoramusher.core import clock, errors
from marjoramusher.groups import local


class Home:
    """A home whose answers can be lost after the commit."""

    def __init__(self):
        self.group = local.LocalGroup("domain:d1", machine.ClaimsMachine())
        self.loses_answers = False

    async def propose(self, home, batch):
        answer = await self.group.propose(batch, 1.0)
        if self.loses_answers:
            raise errors.NoQuorumError("lost", errors.Outcome.UNKNOWN)
        return answer


async def test_claim_of_an_instance_with_the_same_process_id_is_not_released():
    # Two instances that started in the same millisecond had the same process id, and
    # the one with an unconfirmed claim released the other's: its request ran twice.
    home = Home()
    time = clock.ManualClock()
    one = claiming.ClaimClient(home.propose, "i1", "p", time)
    other = claiming.ClaimClient(home.propose, "i2", "p", time)
    home.loses_answers = True
    with pytest.raises(errors.MarjoramusherError):
        await one.claim("d1", "acme", "lost", b"f", None)
    home.loses_answers = False
    granted, _ = await other.claim("d1", "acme", "k", b"f", None)
    resent, _ = await one.claim("d1", "acme", "k", b"f", None)
    assert granted.state is command.State.GRANTED
    assert resent.state is command.State.OPEN
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
