"""Guards steps that need a permit against waiting for ever behind others."""

import random

import pytest

from marjoramusher.workflows import catalog, permit

POLICY = catalog.Policy(200.0, 5.0, 3000.0)
CALL_S = 0.21


def query(name, priority=0, can_start=True):
    return permit.PolicyQuery((name, 0, 0), (), POLICY, priority, can_start)


def call_next(turns, queries, now_s):
    """Call for the query whose turn it is, and return the id of its workflow."""
    turns.update(queries, now_s)
    chosen = turns.choose(queries, now_s)
    turns.record_call(chosen)
    return chosen.step[0]


@pytest.mark.parametrize("waiting", [1, 24, 200])
def test_steps_without_room_do_not_hold_back_a_step_that_can_start(waiting):
    """Guards against renewals that take each turn."""
    turns = permit.QueryTurns()
    urgent = [query(f"u{index}", can_start=False) for index in range(waiting)]
    for number in range(3 * waiting):
        call_next(turns, urgent, number * CALL_S)
    now_s = 3 * waiting * CALL_S
    queries = [*urgent, query("new", priority=2)]
    calls = 0
    while call_next(turns, queries, now_s + calls * CALL_S) != "new":
        calls += 1
        assert calls <= 1


def test_the_most_urgent_of_equals_comes_first():
    """Guards against urgent steps that wait behind others of the same moment."""
    turns = permit.QueryTurns()
    queries = [query("u", can_start=False), query("a", 2), query("b", 0), query("c", 0)]
    assert call_next(turns, queries, 0.0) == "b"
    assert call_next(turns, [*queries[:2], queries[3]], 0.2) == "c"
    assert call_next(turns, queries[:2], 0.4) == "a"
    assert call_next(turns, queries[:1], 0.6) == "u"


@pytest.mark.parametrize("seed", range(20))
def test_no_step_waits_longer_than_its_share_of_the_calls_allows(seed):
    """Guards against starvation by any mixture of steps."""
    rng = random.Random(seed)
    turns = permit.QueryTurns()
    queries = [
        query(f"w{index}", rng.randrange(3), rng.random() < 0.5)
        for index in range(rng.randint(2, 40))
    ]
    last_s = {each.step[0]: 0.0 for each in queries}
    calls = (permit.MAX_FAVOURED_CALLS + 1) * (len(queries) + 1)
    limit_s = permit.LESS_URGENT_WAIT_S + calls * CALL_S
    for number in range(10 * len(queries)):
        now_s = number * CALL_S
        last_s[call_next(turns, queries, now_s)] = now_s
        assert all(now_s - since_s <= limit_s for since_s in last_s.values())


def test_a_step_whose_call_has_failed_waits_behind_others():
    """Guards against one step that takes each turn, as all its calls fail."""
    turns = permit.QueryTurns()
    queries = [query("failing"), query("other", priority=2)]
    assert call_next(turns, queries, 0.0) == "failing"
    turns.record_failure(("failing", 0, 0), 1.4)
    assert call_next(turns, queries, 1.4) == "other"
    turns.update(queries[:1], 1.6)
    assert turns.choose(queries[:1], 1.6) is None
    assert call_next(turns, queries[:1], 1.4 + permit.RETRY_S) == "failing"
