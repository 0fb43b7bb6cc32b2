"""Guards callers of a gateway that has lost its leader."""

import heapq
import random

import pytest

from marjoramusher.queues import outage

PROBE_S = 0.5
RETRIES = 4
DEADLINE_S = 2.85
CALLS_PER_S = 20


class ConstantOutage(outage.LeaderOutage):
    """Hold each call for two seconds, and ask its caller to return after one."""

    __slots__ = ()

    def wait_s(self, now_s, remaining_s):
        return min(remaining_s, outage.ELECTION_WAIT_S)

    def retry_after_s(self, now_s, rng):
        return 1


class Result:
    def __init__(self):
        self.served = 0
        self.lost = 0
        self.held_s = []  # of rejected calls, from the time when the breaker opened
        self.returns = {}  # by tenth of a second


def simulate(make, outage_s, seed=1):
    """Simulate calls through a gateway whose leader is away for some time."""
    rng = random.Random(seed)
    state, result = make(0.0), Result()
    state.record_answer(0.0)
    events = [(PROBE_S * number, 0, "probe", 0) for number in range(1, 80)]
    events += [
        (0.01 + number / CALLS_PER_S, 1 + number, "call", 0)
        for number in range(int(CALLS_PER_S * (outage_s + 1)))
    ]
    heapq.heapify(events)
    while events:
        now_s, number, kind, attempt = heapq.heappop(events)
        if kind == "probe":
            if now_s >= outage_s:
                state.record_answer(now_s)
            else:
                state.record_failure(now_s - PROBE_S)
            continue
        wait_s = state.wait_s(now_s, DEADLINE_S)
        if now_s + wait_s >= outage_s:
            result.served += 1
            continue
        if now_s > outage.ELECTION_WAIT_S:
            result.held_s.append(wait_s)
        if attempt == RETRIES:
            result.lost += 1
            continue
        rejected_s = now_s + wait_s
        back_s = rejected_s + state.retry_after_s(rejected_s, rng)
        slot = int(10 * back_s)
        result.returns[slot] = result.returns.get(slot, 0) + 1
        heapq.heappush(events, (back_s, number, "call", attempt + 1))
    return result


def test_calls_of_the_first_moments_wait_for_the_next_leader():
    """Guards against rejecting calls that an ordinary election would serve."""
    result = simulate(outage.LeaderOutage, 1.8)
    assert not result.returns
    assert not result.lost


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("outage_s", [6.0, 8.0, 12.0])
def test_later_calls_are_rejected_at_once_and_still_served_in_the_end(outage_s, seed):
    """Guards against holding calls that are known to fail (burst in a long outage)."""
    result = simulate(outage.LeaderOutage, outage_s, seed)
    baseline = simulate(ConstantOutage, outage_s, seed)
    assert set(result.held_s) == {0.0}
    assert min(baseline.held_s) == outage.ELECTION_WAIT_S
    assert result.lost <= baseline.lost
    assert result.served >= baseline.served


def test_callers_that_were_rejected_together_come_back_spread():
    """Guards against a crest of returns in the second after a long outage."""
    rng = random.Random(3)
    state = outage.LeaderOutage(0.0)
    delays = [state.retry_after_s(6.0, rng) for _ in range(300)]
    assert set(delays) >= {4, 5, 6, 7}
    assert max(delays.count(delay) for delay in set(delays)) <= 100


def test_the_time_to_return_grows_with_the_outage_within_bounds():
    rng = random.Random(4)
    state = outage.LeaderOutage(0.0)
    assert {state.retry_after_s(0.5, rng) for _ in range(200)} == {1, 2}
    assert max(state.retry_after_s(60.0, rng) for _ in range(200)) == 8


def test_a_probe_that_failed_before_a_later_answer_opens_nothing():
    """Guards against a late probe failure that shuts out callers of a good leader."""
    state = outage.LeaderOutage(0.0)
    state.record_answer(5.0)
    state.record_failure(4.8)
    assert not state.is_lost
    assert state.wait_s(9.0, DEADLINE_S) == outage.ELECTION_WAIT_S


def test_a_call_without_time_is_rejected():
    state = outage.LeaderOutage(0.0)
    state.record_answer(0.0)
    assert state.wait_s(0.1, 0.05) == 0.0
