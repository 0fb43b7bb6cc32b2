"""Guards calls to the leader against silent instances and lost answers."""

import asyncio
import random

import pytest

from marjoramusher.core import errors
from marjoramusher.groups import forward
from standins import virtual

METHOD = "queues"


class Peers:
    """Instances that lead, know the leader, or do not answer."""

    def __init__(self, leader, frozen=(), lost=0):
        self.leader = leader
        self.frozen = set(frozen)
        self.lost = lost
        self.asked = []

    async def call(self, target, method, body, timeout_s):
        self.asked.append((target, method))
        if target in self.frozen:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError(target)
        await asyncio.sleep(0.03)
        if method == forward.LEADER:
            return self.leader.encode()
        if target != self.leader:
            raise errors.NotLeaderError(self.leader or None)
        if self.lost:
            self.lost -= 1
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError(target)
        return b"done"


async def local(method, command, timeout_s):
    raise errors.NotLeaderError(None)


def make(peers):
    clock = virtual.LoopClock(asyncio.get_running_loop())
    return clock, forward.Forwarder(
        "records", "own", peers, clock, lambda: ["a", "b", "c"], local, random.Random(1)
    )


def test_a_frozen_leader_costs_one_attempt_until_there_is_another():
    async def play():
        peers = Peers("a")
        clock, made = make(peers)
        await made.call(METHOD, b"", 2.0, idempotent=True)
        peers.asked.clear()
        peers.frozen.add("a")
        peers.leader = "c"
        began_s = clock.monotonic()
        assert await made.call(METHOD, b"", 2.0, idempotent=True) == b"done"
        assert clock.monotonic() - began_s < forward.ATTEMPT_S + forward.FIND_S
        assert [target for target, _ in peers.asked].count("a") == 1

    virtual.run(play())


@pytest.mark.parametrize("idempotent", [True, False])
def test_only_an_idempotent_call_is_sent_again_after_a_lost_answer(idempotent):
    async def play():
        _, made = make(Peers("a", lost=1))
        if idempotent:
            assert await made.call(METHOD, b"", 3.0, idempotent=True) == b"done"
            return
        with pytest.raises(errors.NoQuorumError) as caught:
            await made.call(METHOD, b"", 3.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN

    virtual.run(play())


@pytest.mark.parametrize(
    "lost, outcome",
    [(0, errors.Outcome.NOT_RUN), (9, errors.Outcome.UNKNOWN)],
)
def test_a_refusal_says_whether_the_call_may_have_run(lost, outcome):
    async def play():
        _, made = make(Peers("a" if lost else "", lost=lost))
        with pytest.raises(errors.NoQuorumError) as caught:
            await made.call(METHOD, b"", 2.0, idempotent=True)
        assert caught.value.outcome is outcome

    virtual.run(play())


def test_a_call_that_waits_elsewhere_goes_on_once_another_has_found_the_leader():
    async def play():
        peers = Peers("a")
        clock, made = make(peers)
        await made.call(METHOD, b"", 2.0, idempotent=True)
        peers.frozen.add("a")
        peers.leader = "c"
        first = asyncio.create_task(made.call(METHOD, b"", 2.0, idempotent=True))
        await asyncio.sleep(0.1)
        # What another caller has found holds for all.
        peers.frozen.discard("a")
        await made.call(METHOD, b"", 2.0, idempotent=True)
        found_s = clock.monotonic()
        assert await first == b"done"
        assert clock.monotonic() - found_s < 0.1

    virtual.run(play())


@pytest.mark.parametrize("idempotent", [True, False])
def test_calls_are_answered_in_their_order_after_a_time_without_a_leader(idempotent):
    async def play():
        peers = Peers("")
        clock, made = make(peers)
        ended = {}

        async def call(number):
            await made.call(METHOD, b"", 5.0, idempotent=idempotent)
            ended[number] = clock.monotonic()

        tasks = []
        for number in range(20):
            tasks.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.1)
        peers.leader = "b"
        await asyncio.gather(*tasks)
        # All within the time that an answer may be older than one before it.
        assert max(ended.values()) - min(ended.values()) < 0.1

    virtual.run(play())
