"""Guards against replacements that cost a group its quorum or its state."""

import pytest

from marjoramusher.consensus import message
from marjoramusher.groups import replacement
from marjoramusher.membership import member

ALIVE, DOWN = member.Status.ALIVE, member.Status.DOWN


def voter(name, store="1"):
    return message.VoterId(name, f"{name}-{store}")


def view(name, store="1", status=ALIVE, disk=True, domain=None):
    described = member.Member(
        name, domain or name, "r1", "", "", f"{name}-{store}", disk
    )
    return member.MemberView(described, status)


A, B, C = voter("a"), voter("b"), voter("c")
THREE = message.GroupConfig((A, B, C))
UNCHANGED = [view("a"), view("b"), view("c")]
B2 = voter("b", "2")

CASES = {
    "nothing to do": ("records", THREE, UNCHANGED, set(), None),
    "down for long is kept": (
        "records",
        THREE,
        [view("a"), view("b", status=DOWN), view("c")],
        set(),
        None,
    ),
    "suspect with a new store waits": (
        "records",
        THREE,
        [view("a"), view("b", "2", member.Status.SUSPECT), view("c")],
        {B2},
        None,
    ),
    "new store learns first": (
        "records",
        THREE,
        [view("a"), view("b", "2"), view("c")],
        set(),
        message.AddLearner(0, B2),
    ),
    "learner that is behind waits": (
        "records",
        message.GroupConfig((A, B, C), (B2,)),
        [view("a"), view("b", "2"), view("c")],
        set(),
        None,
    ),
    "learner that caught up replaces": (
        "records",
        message.GroupConfig((A, B, C), (B2,)),
        [view("a"), view("b", "2"), view("c")],
        {B2},
        message.ReplaceVoter(0, B, B2),
    ),
    "second loss right after the repair": (
        "records",
        message.GroupConfig((A, B, C), (B2,)),
        [view("a"), view("b", "3"), view("c")],
        {B2},
        message.AddLearner(0, voter("b", "3")),
    ),
    "two new stores go one after the other": (
        "records",
        message.GroupConfig((A, B, C), (B2, voter("c", "2"))),
        [view("a"), view("b", "2"), view("c", "2")],
        {B2, voter("c", "2")},
        message.ReplaceVoter(0, B, B2),
    ),
    "a replacement without a disk needs disks elsewhere": (
        "records",
        message.GroupConfig((A, B, C), (B2,)),
        [view("a", disk=False), view("b", "2", disk=False), view("c")],
        {B2},
        None,
    ),
    "a replacement without a disk may be the only one": (
        "records",
        message.GroupConfig((A, B, C), (B2,)),
        [view("a"), view("b", "2", disk=False), view("c")],
        {B2},
        message.ReplaceVoter(0, B, B2),
    ),
    "new instance learns the records": (
        "records",
        THREE,
        [*UNCHANGED, view("d", domain="a")],
        set(),
        message.AddLearner(0, voter("d")),
    ),
    "new instance does not learn a domain": (
        "domain:a",
        THREE,
        [*UNCHANGED, view("d", domain="b")],
        set(),
        None,
    ),
    "recovered group grows": (
        "records",
        message.GroupConfig((A,), (), 1),
        UNCHANGED,
        set(),
        message.AddLearner(0, B),
    ),
    "recovered group promotes": (
        "records",
        message.GroupConfig((A,), (B,), 1),
        UNCHANGED,
        {B},
        message.AddVoter(0, B),
    ),
    "recovered group does not grow while a voter is down": (
        "domain:a",
        message.GroupConfig((A, B), (), 1),
        [view("a"), view("b", status=DOWN), view("c"), view("d")],
        set(),
        None,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_next_change(name):
    group, config, views, caught_up, wanted = CASES[name]
    change = replacement.next_change(group, config, views, caught_up.__contains__)
    assert change == wanted
