"""Guards the times of controllers against each other."""

from marjoramusher.daemon import controller
from marjoramusher.instances import client


def test_a_lost_connection_attempt_ends_before_an_election_would():
    # Requests for votes wait for the connection; all machines may have been down.
    attempt_s = client.STREAM_CONNECT_TIMEOUT_S + client.RECONNECT_DELAY_S
    assert attempt_s < controller.ELECTION_MAX_S


def test_a_lease_ends_before_others_may_elect():
    assert controller.LEASE_S < controller.ELECTION_MIN_S < controller.ELECTION_MAX_S
