"""Guards calls to the leader against unresponsive instances and lost answers."""

import asyncio
import random

import pytest

from marjoramusher.core import errors
from marjoramusher.groups import forward
from standins import virtual

METHOD = "queues"


class Peers:
    """Fake peer client: one instance leads, the others know it or are frozen."""

    def __init__(self, leader, frozen=(), lost_answers=0):
        self.leader = leader
        self.frozen = set(frozen)
        self.lost_answers = lost_answers
        self.calls = []

    async def call(self, target, method, body, timeout_s):
        self.calls.append((target, method))
        if target in self.frozen:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError(target)
        await asyncio.sleep(0.03)
        if method == forward.LEADER_METHOD:
            return self.leader.encode()
        if target != self.leader:
            raise errors.NotLeaderError(self.leader or None)
        if self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError(target)
        return b"done"


async def local(method, command, timeout_s):
    raise errors.NotLeaderError(None)


def make_forwarder(peers):
    clock = virtual.LoopClock(asyncio.get_running_loop())
    return clock, forward.Forwarder(
        "records", "own", peers, clock, lambda: ["a", "b", "c"], local, random.Random(1)
    )


def test_a_frozen_leader_costs_one_attempt_until_there_is_another():
    async def run_scenario():
        peers = Peers("a")
        clock, forwarder = make_forwarder(peers)
        await forwarder.call(METHOD, b"", 2.0, idempotent=True)
        peers.calls.clear()
        peers.frozen.add("a")
        peers.leader = "c"
        started_s = clock.monotonic()
        assert await forwarder.call(METHOD, b"", 2.0, idempotent=True) == b"done"
        assert (
            clock.monotonic() - started_s
            < forward.ATTEMPT_TIMEOUT_S + forward.FIND_LEADER_TIMEOUT_S
        )
        assert [target for target, _ in peers.calls].count("a") == 1

    virtual.run(run_scenario())


@pytest.mark.parametrize("idempotent", [True, False])
def test_only_an_idempotent_call_is_sent_again_after_a_lost_answer(idempotent):
    async def run_scenario():
        _, forwarder = make_forwarder(Peers("a", lost_answers=1))
        if idempotent:
            assert await forwarder.call(METHOD, b"", 3.0, idempotent=True) == b"done"
            return
        with pytest.raises(errors.NoQuorumError) as caught:
            await forwarder.call(METHOD, b"", 3.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN

    virtual.run(run_scenario())


@pytest.mark.parametrize(
    "lost_answers, outcome",
    [(0, errors.Outcome.NOT_RUN), (9, errors.Outcome.UNKNOWN)],
)
def test_a_refusal_says_whether_the_call_may_have_run(lost_answers, outcome):
    async def run_scenario():
        _, forwarder = make_forwarder(
            Peers("a" if lost_answers else "", lost_answers=lost_answers)
        )
        with pytest.raises(errors.NoQuorumError) as caught:
            await forwarder.call(METHOD, b"", 2.0, idempotent=True)
        assert caught.value.outcome is outcome

    virtual.run(run_scenario())


def test_a_call_that_waits_elsewhere_goes_on_once_another_has_found_the_leader():
    async def run_scenario():
        peers = Peers("a")
        clock, forwarder = make_forwarder(peers)
        await forwarder.call(METHOD, b"", 2.0, idempotent=True)
        peers.frozen.add("a")
        peers.leader = "c"
        first = asyncio.create_task(forwarder.call(METHOD, b"", 2.0, idempotent=True))
        await asyncio.sleep(0.1)
        # A leader found by one call redirects all others.
        peers.frozen.discard("a")
        await forwarder.call(METHOD, b"", 2.0, idempotent=True)
        leader_found_s = clock.monotonic()
        assert await first == b"done"
        assert clock.monotonic() - leader_found_s < 0.1

    virtual.run(run_scenario())


@pytest.mark.parametrize("idempotent", [True, False])
def test_calls_are_answered_in_their_order_after_a_time_without_a_leader(idempotent):
    async def run_scenario():
        peers = Peers("")
        clock, forwarder = make_forwarder(peers)
        ended_s = {}

        async def call(number):
            await forwarder.call(METHOD, b"", 5.0, idempotent=idempotent)
            ended_s[number] = clock.monotonic()

        tasks = []
        for number in range(20):
            tasks.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.1)
        peers.leader = "b"
        await asyncio.gather(*tasks)
        # 0.1 s is the most by which an answer may be older than an earlier one.
        assert max(ended_s.values()) - min(ended_s.values()) < 0.1

    virtual.run(run_scenario())


def test_a_lookup_prefers_an_instance_other_than_the_one_that_failed():
    """Guards against calling a lost leader again that one instance still names."""

    class Stale(Peers):
        async def call(self, target, method, body, timeout_s):
            if method == forward.LEADER_METHOD and target != "c":
                self.calls.append((target, method))
                return b"a"
            return await super().call(target, method, body, timeout_s)

    async def run_scenario():
        peers = Stale("c", frozen=["a"])
        _, forwarder = make_forwarder(peers)
        assert await forwarder.call(METHOD, b"", 3.0, idempotent=True) == b"done"
        assert [t for t, method in peers.calls if method == METHOD] == ["a", "c"]

    virtual.run(run_scenario())


def test_calls_that_look_for_the_leader_share_one_lookup():
    """Guards against a burst of lookups at the instances that elect a leader."""

    async def run_scenario():
        peers = Peers("b")
        _, forwarder = make_forwarder(peers)
        calls = [forwarder.call(METHOD, b"", 2.0) for _ in range(50)]
        assert await asyncio.gather(*calls) == [b"done"] * 50
        lookups = [t for t, method in peers.calls if method == forward.LEADER_METHOD]
        assert len(lookups) == forward.LOOKUP_FANOUT

    virtual.run(run_scenario())


class Attempts:
    """Fake peer client whose leader treats each attempt in a given way."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)

    async def call(self, target, method, body, timeout_s):
        await asyncio.sleep(0.03)
        if method == forward.LEADER_METHOD:
            return b"a"
        if target != "a":
            raise errors.NotLeaderError("a")
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, errors.MarjoramusherError):
            raise outcome
        return outcome


LOST = errors.PeerUnreachableError("a")
NOT_SENT = errors.PeerUnreachableError("a", errors.Outcome.NOT_RUN)
REJECTIONS = [
    errors.MarjoramusherError(code, "rejected")
    for code in errors.ErrorCode
    if code not in forward._RETRYABLE_CODES
]


@pytest.mark.parametrize("rejection", REJECTIONS, ids=lambda error: error.code.value)
@pytest.mark.parametrize(
    "first, outcome",
    [(LOST, errors.Outcome.UNKNOWN), (NOT_SENT, errors.Outcome.NOT_RUN)],
    ids=["lost", "not sent"],
)
def test_a_rejection_promises_nothing_for_an_earlier_attempt(first, outcome, rejection):
    """Guards against "not run" for a call whose first attempt runs after all."""

    async def run_scenario():
        _, forwarder = make_forwarder(Attempts(first, rejection))
        with pytest.raises(errors.MarjoramusherError) as caught:
            await forwarder.call(METHOD, b"", 3.0, idempotent=True)
        assert caught.value.code is rejection.code
        assert caught.value.outcome is outcome

    virtual.run(run_scenario())


@pytest.mark.parametrize(
    "first, is_rejected", [(LOST, False), (NOT_SENT, True)], ids=["lost", "not sent"]
)
def test_an_answer_that_rejects_promises_nothing_for_an_earlier_attempt(
    first, is_rejected
):
    """Guards against a 404 for a call whose first attempt runs after all."""

    async def run_scenario():
        _, forwarder = make_forwarder(Attempts(first, b"no such queue"))
        answer = forwarder.call(
            METHOD, b"", 3.0, idempotent=True, is_rejection=b"no such queue".__eq__
        )
        if is_rejected:
            assert await answer == b"no such queue"
            return
        with pytest.raises(errors.NoQuorumError) as caught:
            await answer
        assert caught.value.outcome is errors.Outcome.UNKNOWN

    virtual.run(run_scenario())


def test_an_acceptance_settles_an_earlier_attempt():
    """Guards against an unknown outcome for a call that has certainly run."""

    async def run_scenario():
        _, forwarder = make_forwarder(Attempts(LOST, b"accepted"))
        answer = await forwarder.call(
            METHOD, b"", 3.0, idempotent=True, is_rejection=b"no such queue".__eq__
        )
        assert answer == b"accepted"

    virtual.run(run_scenario())
