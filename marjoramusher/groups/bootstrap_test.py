"""Guards against groups that a cut domain or a lost disk would leave without state."""

import pytest

from marjoramusher.groups import bootstrap
from marjoramusher.membership import member


def made(name, domain, region="r1", disk=True, **fields):
    return member.Member(name, domain, region, "", "", f"s-{name}", disk, **fields)


def alive(*members, status=member.Status.ALIVE):
    return [member.MemberView(m, status) for m in members]


SIX = [
    made("a1", "a"),
    made("a2", "a", disk=False),
    made("b1", "b"),
    made("b2", "b", disk=False),
    made("c1", "c", "r2"),
    made("c2", "c", "r2", disk=False),
]


def form(members):
    """Return all groups of a new cluster."""
    records = bootstrap.plan(members, "c1").records
    domains = {m.failure_domain for m in members}
    return {"records": records} | bootstrap.domain_groups(domains, members, {})


def names(config):
    return [voter.instance for voter in config.voters]


def test_six_instances_in_three_domains():
    groups = form(SIX)
    records = groups["records"]
    assert names(records) == ["a1", "b1", "c1"]
    assert [v.instance for v in records.learners] == ["a2", "b2", "c2"]
    assert names(groups["domain:a"]) == ["a1", "a2", "b1"]
    assert names(groups["domain:b"]) == ["b1", "b2", "a1"]
    # No other domain lies in the region of c; the less loaded of a1 and b1 is equal.
    assert names(groups["domain:c"]) == ["c1", "c2", "a1"]


def test_order_of_the_members_does_not_matter():
    assert form(SIX) == form(SIX[::-1])


CLUSTERS = {
    "one": ([made("a1", "a")], ["a1"], {"a": ["a1"]}),
    "two in a domain": ([made("a1", "a"), made("a2", "a")], ["a1"], {"a": ["a1"]}),
    "two domains": (
        [made("a1", "a"), made("b1", "b")],
        ["a1"],
        {"a": ["a1"], "b": ["b1"]},
    ),
    "one instance in each of three domains": (
        [made("a1", "a"), made("b1", "b"), made("c1", "c")],
        ["a1", "b1", "c1"],
        {"a": ["a1", "b1", "c1"], "c": ["c1", "a1", "b1"]},
    ),
    "three in one domain": (
        [made("a1", "a"), made("a2", "a", disk=False), made("a3", "a")],
        ["a1"],
        {"a": ["a1", "a3", "a2"]},
    ),
    "domain without disks": (
        [made("a1", "a", disk=False), made("a2", "a", disk=False)]
        + [made("b1", "b"), made("c1", "c")],
        ["b1", "c1", "a1"],
        {"a": ["a1", "b1", "c1"]},
    ),
    "a single disk": (
        [made("a1", "a", disk=False), made("b1", "b"), made("c1", "c", disk=False)],
        ["b1"],
        {"a": ["b1"], "b": ["b1"], "c": ["b1"]},
    ),
}


@pytest.mark.parametrize("name", CLUSTERS)
def test_voters(name):
    members, records, domains = CLUSTERS[name]
    groups = form(members)
    assert names(groups["records"]) == records
    for domain, voters in domains.items():
        assert names(groups[f"domain:{domain}"]) == voters
    by_id = {m.instance_id: m for m in members}
    for config in groups.values():
        voters = [by_id[name] for name in names(config)]
        assert len(voters) % 2 == 1
        assert bootstrap.is_durable(voters)


def test_records_have_at_most_five_voters():
    members = [made(f"i{n:02}", f"d{n:02}") for n in range(11)]
    assert len(names(form(members)["records"])) == 5


def test_cluster_without_disks_is_refused():
    members = [made("a1", "a", disk=False)]
    with pytest.raises(bootstrap.NoDiskError):
        bootstrap.is_due(alive(*members), members[0], 1)
    with pytest.raises(bootstrap.NoDiskError):
        bootstrap.plan(members, "c1")


DUE = {
    "all known": (alive(*SIX), "a1", True),
    "not the lowest with a disk": (alive(*SIX), "b1", False),
    "lowest id without a disk": (
        alive(made("a0", "a", disk=False), *SIX[:5]),
        "a1",
        True,
    ),
    "one missing": (alive(*SIX[:5]), "a1", False),
    "one too many": (alive(*SIX, made("d1", "d")), "a1", False),
    "one silent": (
        alive(*SIX[:5]) + alive(SIX[5], status=member.Status.SUSPECT),
        "a1",
        False,
    ),
    "one has a cluster": (
        alive(*SIX[:5], made("c2", "c", cluster_id="c9")),
        "a1",
        False,
    ),
}


@pytest.mark.parametrize("name", DUE)
def test_cluster_is_formed_once_by_one_instance(name):
    views, own, due = DUE[name]
    [described] = [v.member for v in views if v.member.instance_id == own]
    assert bootstrap.is_due(views, described, 6) is due


CREATED = {
    "not all are there": (alive(*SIX[:5]), {}, 0, []),
    "all are there": (alive(*SIX), {}, 0, ["a", "b", "c"]),
    "one of them is silent": (
        alive(*SIX[:5]) + alive(SIX[5], status=member.Status.DOWN),
        {},
        0,
        [],
    ),
    "one of them is silent for long": (
        alive(*SIX[:5]) + alive(SIX[5], status=member.Status.DOWN),
        {},
        bootstrap.SETTLE_S,
        ["a", "b", "c"],
    ),
    "a later domain has one instance": (alive(*SIX, made("d1", "d")), "abc", 0, []),
    "it has had one for long": (
        alive(*SIX, made("d1", "d")),
        "abc",
        bootstrap.SETTLE_S,
        ["d"],
    ),
    "a later domain has two": (
        alive(*SIX, made("d1", "d"), made("d2", "d")),
        "abc",
        0,
        ["d"],
    ),
    "a domain is gone": (alive(*SIX[:4]), "abc", 60, []),
}


@pytest.mark.parametrize("name", CREATED)
def test_domain_groups_are_created_once_their_instances_are_known(name):
    views, existing, now, created = CREATED[name]
    groups = form(SIX) if existing else {}
    seen_s = dict.fromkeys("abcd", 0.0)
    found = bootstrap.domains_to_create(views, groups, 6, seen_s, now)
    assert found == created
