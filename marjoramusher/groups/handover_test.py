"""Guards against a handover to an unsuitable voter, and against flapping."""

import pytest

from marjoramusher.consensus import message
from marjoramusher.groups import handover
from marjoramusher.membership import member

A, B, C = (message.VoterId(name, f"{name}0") for name in "abc")
CONFIG = message.GroupConfig((A, B, C))
ALIVE = member.Status.ALIVE


def view(name, domain, status=ALIVE, draining=False, store=None, region="r1"):
    instance = member.Member(
        name, domain, region, "", "", store or f"{name}0", True, "c", 1, 0, 0, draining
    )
    return member.MemberView(instance, status)


@pytest.mark.parametrize(
    "a, b, behind, all_ready, local_ready",
    [
        pytest.param({}, {}, (), [A, B], [A], id="local first"),
        pytest.param({"status": member.Status.SUSPECT}, {}, (), [B], [], id="silent"),
        pytest.param({"draining": True}, {}, (), [B], [], id="leaving"),
        pytest.param({"store": "a1"}, {}, (), [B], [], id="replaced store"),
        pytest.param({}, {}, (A,), [B, A], [], id="behind"),
    ],
)
def test_only_a_voter_that_can_lead_gets_the_group(
    a, b, behind, all_ready, local_ready
):
    others = [view("a", "d1", **a), view("b", "d2", **b), view("x", "d1")]

    def has_all_committed(voter):
        return voter not in behind

    arguments = ("domain:d1", CONFIG, others, has_all_committed)
    assert handover.successors(*arguments) == all_ready
    assert handover.local_successors(*arguments) == local_ready


@pytest.mark.parametrize(
    "leader_region, regions, behind, expected",
    [
        pytest.param("r2", ("r1", "r1"), (), [A, B], id="majority elsewhere"),
        pytest.param("r2", ("r1", "r1"), (A,), [B], id="behind"),
        pytest.param("r1", ("r1", "r2"), (), [], id="majority here"),
        pytest.param("r3", ("r1", "r2"), (), [], id="no majority"),
    ],
)
def test_a_single_group_is_led_in_the_region_of_its_majority(
    leader_region, regions, behind, expected
):
    others = [view("a", "d1", region=regions[0]), view("b", "d2", region=regions[1])]

    def has_all_committed(voter):
        return voter not in behind

    successors = handover.central_successors(
        "records", CONFIG, leader_region, others, has_all_committed
    )
    assert successors == expected


def test_lead_is_returned_to_a_settled_voter_and_at_most_once_in_the_interval():
    returns = handover.LeadershipReturns()
    handovers = {}
    for step in range(80):  # 40 s; the voter is away from 15 s to 20 s
        now = step / 2
        ready = [] if 15 <= now < 20 else [A]
        if (voter := returns.next_target("domain:d1", ready, now)) is not None:
            handovers[now] = voter
    assert handovers == {3.0: A, 13.0: A, 23.0: A, 33.0: A}
