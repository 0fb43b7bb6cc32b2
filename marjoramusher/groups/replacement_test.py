"""Guards against membership changes that cost a group its quorum or its state."""

import pytest

from marjoramusher.consensus import message
from marjoramusher.groups import replacement
from marjoramusher.membership import member

ALIVE, DOWN = member.Status.ALIVE, member.Status.DOWN


def voter(name, store="1"):
    return message.VoterId(name, f"{name}-{store}")


def view(name, store="1", status=ALIVE, disk=True, domain=None):
    instance = member.Member(
        name, domain or name, "r1", "", "", f"{name}-{store}", disk
    )
    return member.MemberView(instance, status)


A, B, C = voter("a"), voter("b"), voter("c")
THREE = message.GroupConfig((A, B, C))
UNCHANGED = [view("a"), view("b"), view("c")]
B2 = voter("b", "2")
X1, X2 = voter("x1"), voter("x2")
REMOTE = message.GroupConfig((X1, A, B), (), 1)
REMOTE_VIEWS = [view("x1", domain="x"), view("a"), view("b")]
LOCAL = message.GroupConfig((X1, X2, A), (), 1)

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
    "survivor without a disk grows": (
        "domain:x",
        message.GroupConfig((X1,), (A,), 1),
        [view("x1", domain="x", disk=False), view("a"), view("b")],
        {A},
        message.AddVoter(0, A),
    ),
    "returned local instance learns": (
        "domain:x",
        REMOTE,
        [*REMOTE_VIEWS, view("x2", domain="x")],
        set(),
        message.AddLearner(0, X2),
    ),
    "returned local instance that is behind waits": (
        "domain:x",
        message.GroupConfig(REMOTE.voters, (X2,), 1),
        [*REMOTE_VIEWS, view("x2", domain="x")],
        set(),
        None,
    ),
    "returned local instance takes a remote voter's place": (
        "domain:x",
        message.GroupConfig(REMOTE.voters, (X2,), 1),
        [*REMOTE_VIEWS, view("x2", domain="x", disk=False)],
        {X2},
        message.ReplaceVoter(0, A, X2),
    ),
    "the remote voter that is down goes": (
        "domain:x",
        message.GroupConfig(REMOTE.voters, (X2,), 1),
        [REMOTE_VIEWS[0], view("a"), view("b", status=DOWN), view("x2", domain="x")],
        {X2},
        message.ReplaceVoter(0, B, X2),
    ),
    "a second local voter without a disk would leave a majority without one": (
        "domain:x",
        message.GroupConfig(REMOTE.voters, (X2,), 1),
        [
            view("x1", domain="x", disk=False),
            *REMOTE_VIEWS[1:],
            view("x2", domain="x", disk=False),
        ],
        {X2},
        None,
    ),
    "a local voter that is down keeps its place": (
        "domain:x",
        LOCAL,
        [
            *REMOTE_VIEWS,
            view("x2", domain="x", status=DOWN),
            view("x3", domain="x"),
        ],
        {voter("x3")},
        None,
    ),
    "a voter that is not known counts as local": (
        "domain:x",
        LOCAL,
        [view("x1", domain="x"), view("a"), view("x3", domain="x")],
        {voter("x3")},
        None,
    ),
    "complete domain group drops a learner that is left over": (
        "domain:x",
        message.GroupConfig(LOCAL.voters, (B,), 1),
        [*REMOTE_VIEWS, view("x2", domain="x")],
        {B},
        message.RemoveLearner(0, B),
    ),
    "a replacement that is briefly away stays a learner": (
        "domain:x",
        message.GroupConfig(LOCAL.voters, (voter("x2", "2"),), 1),
        [
            *REMOTE_VIEWS,
            view("x2", "2", status=member.Status.SUSPECT, domain="x"),
        ],
        set(),
        None,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_next_change(name):
    group, config, views, caught_up, expected = CASES[name]
    change = replacement.next_change(group, config, views, caught_up.__contains__)
    assert change == expected


N = voter("n")
D, E = voter("d"), voter("e")
ALL_IN_ONE = [view(name, domain="z") for name in "abcde"]
SINGLE_CASES = {
    "a silent voter waits for a learner of its domain": (
        message.GroupConfig((A, B, C), (N,)),
        [view("a"), view("b", status=DOWN), view("c"), view("n", domain="x")],
        {N},
        None,
    ),
    "a learner that is behind replaces nobody": (
        message.GroupConfig((A, B, C), (N,)),
        [view("a"), view("b", status=DOWN), view("c"), view("n", domain="b")],
        set(),
        None,
    ),
    "a learner of its domain takes the place of a silent voter": (
        message.GroupConfig((A, B, C), (N,)),
        [view("a"), view("b", status=DOWN), view("c"), view("n", domain="b")],
        {N},
        message.ReplaceVoter(0, B, N),
    ),
    "nobody replaces a voter that is heard": (
        message.GroupConfig((A, B, C), (N,)),
        [view("a"), view("b"), view("c"), view("n", domain="b")],
        {N},
        None,
    ),
    "one failure domain grows to five voters": (
        message.GroupConfig((A, B, C), (D, E)),
        ALL_IN_ONE,
        {D, E},
        message.AddVoter(0, D),
    ),
    "five stay five": (
        message.GroupConfig((A, B, C, D, E), (N,)),
        [*ALL_IN_ONE, view("n", domain="z")],
        {N},
        None,
    ),
}


@pytest.mark.parametrize("name", SINGLE_CASES)
def test_next_change_of_a_single_group(name):
    config, views, caught_up, expected = SINGLE_CASES[name]
    change = replacement.next_change(
        "records", config, views, caught_up.__contains__, is_single_group=True
    )
    assert change == expected
