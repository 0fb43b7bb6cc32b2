"""Guards claims of one instance against releases by another."""

import asyncio

import pytest

from marjoramusher.callers import claiming
from marjoramusher.claims import command, machine
from marjoramusher.core import clock, errors
from marjoramusher.groups import local
from standins import virtual


class Home:
    """Claims group whose replies can be lost after the commit."""

    def __init__(self):
        self.group = local.LocalGroup("domain:d1", machine.ClaimsMachine())
        self.loses_replies = False

    async def propose(self, home, batch):
        reply = await self.group.propose(batch, 1.0)
        if self.loses_replies:
            raise errors.NoQuorumError("lost", errors.Outcome.UNKNOWN)
        return reply


async def test_claim_of_an_instance_with_the_same_process_id_is_not_released():
    # Instances that start in the same millisecond have the same process id. If the
    # instance is not compared too, one with an unconfirmed claim releases the other's
    # claim, and that request runs twice.
    home = Home()
    time = clock.ManualClock()
    one = claiming.ClaimClient(home.propose, "i1", "p", time)
    other = claiming.ClaimClient(home.propose, "i2", "p", time)
    home.loses_replies = True
    with pytest.raises(errors.MarjoramusherError):
        await one.claim("d1", "acme", "lost", b"f", None)
    home.loses_replies = False
    granted, _ = await other.claim("d1", "acme", "k", b"f", None)
    resent, _ = await one.claim("d1", "acme", "k", b"f", None)
    assert granted.state is command.State.GRANTED
    assert resent.state is command.State.OPEN
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()


def test_a_claim_whose_releases_all_failed_is_released_by_the_next_claim():
    """Guards against a key that stays claimed for the life of its process.

    The home is away for longer than the background retries last.
    """

    class LosingHome(Home):
        async def propose(self, home, batch):
            if self.loses_replies == "all":
                raise errors.NoQuorumError("no leader", errors.Outcome.NOT_RUN)
            return await super().propose(home, batch)

    async def scenario():
        home = LosingHome()
        claims = claiming.ClaimClient(home.propose, "i1", "p", clock.ManualClock())
        home.loses_replies = True
        with pytest.raises(errors.MarjoramusherError):
            await claims.claim("d1", "acme", "k", b"f", None)
        home.loses_replies = "all"
        await asyncio.sleep(claiming.INITIAL_BACKOFF_S * 2**claiming.MAX_RETRIES)
        home.loses_replies = False
        result, _ = await claims.claim("d1", "acme", "k", b"f", None)
        assert result.state is command.State.GRANTED

    virtual.run(scenario())
