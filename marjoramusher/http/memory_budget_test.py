"""Guards against closing the wrong connections when memory or time is short."""

import pytest

from marjoramusher.core import errors
from marjoramusher.http import memory_budget
from marjoramusher.http.memory_budget import Phase, Reason

LIMITS = memory_budget.Limits(1_000_000, 20)


class Crowd:
    """A budget with connections that record why they were closed."""

    def __init__(self, limits=LIMITS):
        self.budget = memory_budget.Budget(limits)
        self.closed = []

    def open(self, name, address="crowd", phase=Phase.BODY, size=0, served=0):
        def close(reason):
            connection.phase = Phase.REFUSED
            self.closed.append((name, reason))
            self.budget.discard(connection)
            self.budget.release(connection)

        connection = memory_budget.Connection(address, close, self.budget.now_s)
        connection.phase = phase
        connection.served = served
        self.budget.open(connection)
        self.budget.hold(connection, size)
        return connection

    def wait(self, seconds):
        start_s = self.budget.now_s
        for step in range(int(seconds * 2) + 1):
            self.budget.advance(start_s + step / 2)


def test_the_address_that_holds_most_loses_what_it_holds_for_longest():
    crowd = Crowd()
    for number in range(8):
        crowd.open(f"crowd {number}", size=100_000)
        crowd.wait(0.5)
    crowd.open("single", "other", size=100_000)
    crowd.open("newcomer", "other", size=90_000)
    assert crowd.closed == [("crowd 0", Reason.MEMORY), ("crowd 1", Reason.MEMORY)]
    assert crowd.budget.held_bytes <= LIMITS.memory_bytes


def test_a_small_request_of_the_crowds_address_is_spared():
    crowd = Crowd()
    crowd.open("small", size=4_000)
    for number in range(9):
        crowd.open(number, size=200_000)
    assert len(crowd.closed) >= 5
    assert "small" not in dict(crowd.closed)


def test_a_request_that_was_received_whole_is_not_closed():
    crowd = Crowd()
    crowd.open("work", phase=Phase.WORK, size=900_000)
    crowd.open("late", size=200_000)
    assert crowd.closed == [("late", Reason.MEMORY)]


def test_clients_that_were_served_are_kept_before_idle_ones():
    crowd = Crowd()
    for number in range(LIMITS.connections // 2):
        crowd.open(f"caller {number}", phase=Phase.IDLE, served=1)
        crowd.wait(0.5)
    for number in range(200):
        crowd.open(number, phase=Phase.IDLE)
    assert crowd.budget.connection_count <= LIMITS.connections
    assert all(isinstance(name, int) for name, _ in crowd.closed)


@pytest.mark.parametrize(
    "phase, reason, limit_s",
    [
        (Phase.IDLE, Reason.IDLE, LIMITS.idle_timeout_s),
        (Phase.HEAD, Reason.HEAD_SLOW, LIMITS.head_timeout_s),
        (Phase.BODY, Reason.BODY_SLOW, LIMITS.body_timeout_s),
        (Phase.RESPONSE, Reason.RESPONSE_SLOW, LIMITS.response_timeout_s),
        (Phase.WORK, None, 100),
    ],
)
def test_each_phase_has_its_time(phase, reason, limit_s):
    crowd = Crowd()
    crowd.open("slow", phase=phase)
    crowd.wait(limit_s - 1)
    assert not crowd.closed
    crowd.wait(3)
    assert crowd.closed == ([("slow", reason)] if reason else [])


def test_a_body_that_arrives_steadily_has_more_time():
    crowd = Crowd()
    connection = crowd.open("steady")
    connection.received_bytes = 1_000_000
    crowd.wait(LIMITS.body_timeout_s + 20)
    assert not crowd.closed
    crowd.wait(20)
    assert crowd.closed == [("steady", Reason.BODY_SLOW)]


def test_a_process_that_was_suspended_closes_nothing():
    crowd = Crowd()
    crowd.open("head", phase=Phase.HEAD)
    crowd.budget.advance(1.0)
    crowd.budget.advance(1000.0)
    assert not crowd.closed


@pytest.mark.parametrize("memory_mb, descriptors", [(200, 4100), (424, 4096), (0, 0)])
def test_defaults_are_above_what_operators_state(memory_mb, descriptors):
    limits = memory_budget.make_limits(memory_mb, descriptors)
    assert limits.head_bytes > 16_384
    assert limits.head_timeout_s > 3
    assert limits.idle_timeout_s > 15
    assert limits.connections >= 1000
    # A body of the largest size arrives and is answered while others do so, too.
    assert limits.memory_bytes / memory_budget.HELD_PER_RECEIVED_BYTE > 64 * 262_144
    if memory_mb != 200:
        assert limits.memory_bytes / memory_budget.HELD_PER_RECEIVED_BYTE > 2**24


@pytest.mark.parametrize(
    "changes",
    [
        {"connections": 3},
        {"memory_bytes": 10},
        {"idle_timeout_s": -1},
        {"head_bytes": 9},
    ],
)
def test_limits_below_a_single_request_are_invalid(changes):
    with pytest.raises(errors.BadRequestError):
        memory_budget.make_limits(**changes)


def test_a_pool_lends_no_more_than_it_has():
    pool = memory_budget.Pool(100)
    with pool.reservation() as reserve:
        reserve(60)
        with pytest.raises(memory_budget.OverloadedError):
            reserve(60)
    assert pool.reserved_bytes == 0
