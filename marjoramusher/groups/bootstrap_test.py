"""Guards against voters whose groups lose state with one domain or disk."""

import pytest

from marjoramusher.groups import bootstrap
from marjoramusher.membership import member


def make_member(name, domain, region="r1", disk=True, **fields):
    return member.Member(name, domain, region, "", "", f"s-{name}", disk, **fields)


def alive(*members, status=member.Status.ALIVE):
    return [member.MemberView(m, status) for m in members]


SIX = [
    make_member("a1", "a"),
    make_member("a2", "a", disk=False),
    make_member("b1", "b"),
    make_member("b2", "b", disk=False),
    make_member("c1", "c", "r2"),
    make_member("c2", "c", "r2", disk=False),
]


def form(members):
    """Return all groups of a new cluster."""
    records = bootstrap.plan_cluster(members, "c1").records
    domains = {m.failure_domain for m in members}
    return {"records": records} | bootstrap.plan_domain_groups(domains, members, {})


def voter_names(config):
    return [voter.instance for voter in config.voters]


def test_six_instances_in_three_domains():
    groups = form(SIX)
    records = groups["records"]
    assert voter_names(records) == ["a1", "b1", "c1"]
    assert [v.instance for v in records.learners] == ["a2", "b2", "c2"]
    assert voter_names(groups["domain:a"]) == ["a1", "a2", "b1"]
    assert voter_names(groups["domain:b"]) == ["b1", "b2", "a1"]
    # No other domain is in the region of c; a1 and b1 are equally loaded.
    assert voter_names(groups["domain:c"]) == ["c1", "c2", "a1"]


def test_order_of_the_members_does_not_matter():
    assert form(SIX) == form(SIX[::-1])


CLUSTERS = {
    "one": ([make_member("a1", "a")], ["a1"], {"a": ["a1"]}),
    "two in a domain": (
        [make_member("a1", "a"), make_member("a2", "a")],
        ["a1"],
        {"a": ["a1"]},
    ),
    "two domains": (
        [make_member("a1", "a"), make_member("b1", "b")],
        ["a1"],
        {"a": ["a1"], "b": ["b1"]},
    ),
    "one instance in each of three domains": (
        [make_member("a1", "a"), make_member("b1", "b"), make_member("c1", "c")],
        ["a1", "b1", "c1"],
        {"a": ["a1", "b1", "c1"], "c": ["c1", "a1", "b1"]},
    ),
    "three in one domain": (
        [
            make_member("a1", "a"),
            make_member("a2", "a", disk=False),
            make_member("a3", "a"),
        ],
        ["a1"],
        {"a": ["a1", "a3", "a2"]},
    ),
    "domain without disks": (
        [make_member("a1", "a", disk=False), make_member("a2", "a", disk=False)]
        + [make_member("b1", "b"), make_member("c1", "c")],
        ["b1", "c1", "a1"],
        {"a": ["a1", "b1", "c1"]},
    ),
    "a single disk": (
        [
            make_member("a1", "a", disk=False),
            make_member("b1", "b"),
            make_member("c1", "c", disk=False),
        ],
        ["b1"],
        {"a": ["b1"], "b": ["b1"], "c": ["b1"]},
    ),
}


@pytest.mark.parametrize("name", CLUSTERS)
def test_voters(name):
    members, records, domains = CLUSTERS[name]
    groups = form(members)
    assert voter_names(groups["records"]) == records
    for domain, voters in domains.items():
        assert voter_names(groups[f"domain:{domain}"]) == voters
    by_id = {m.instance_id: m for m in members}
    for config in groups.values():
        voters = [by_id[name] for name in voter_names(config)]
        assert len(voters) % 2 == 1
        assert bootstrap.is_durable(voters)


def test_records_have_at_most_five_voters():
    members = [make_member(f"i{n:02}", f"d{n:02}") for n in range(11)]
    assert len(voter_names(form(members)["records"])) == 5


def test_cluster_without_disks_is_refused():
    members = [make_member("a1", "a", disk=False)]
    with pytest.raises(bootstrap.NoDiskError):
        bootstrap.should_form_cluster(alive(*members), members[0], 1)
    with pytest.raises(bootstrap.NoDiskError):
        bootstrap.plan_cluster(members, "c1")


FORMATION_CASES = {
    "all known": (alive(*SIX), "a1", True),
    "not the lowest with a disk": (alive(*SIX), "b1", False),
    "lowest id without a disk": (
        alive(make_member("a0", "a", disk=False), *SIX[:5]),
        "a1",
        True,
    ),
    "one missing": (alive(*SIX[:5]), "a1", False),
    "one too many": (alive(*SIX, make_member("d1", "d")), "a1", False),
    "one silent": (
        alive(*SIX[:5]) + alive(SIX[5], status=member.Status.SUSPECT),
        "a1",
        False,
    ),
    "one has a cluster": (
        alive(*SIX[:5], make_member("c2", "c", cluster_id="c9")),
        "a1",
        False,
    ),
}


@pytest.mark.parametrize("name", FORMATION_CASES)
def test_cluster_is_formed_once_by_one_instance(name):
    views, own_id, expected = FORMATION_CASES[name]
    [own_member] = [v.member for v in views if v.member.instance_id == own_id]
    assert bootstrap.should_form_cluster(views, own_member, 6) is expected


CREATION_CASES = {
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
        bootstrap.DOMAIN_SETTLE_S,
        ["a", "b", "c"],
    ),
    "a later domain has one instance": (
        alive(*SIX, make_member("d1", "d")),
        "abc",
        0,
        [],
    ),
    "it has had one for long": (
        alive(*SIX, make_member("d1", "d")),
        "abc",
        bootstrap.DOMAIN_SETTLE_S,
        ["d"],
    ),
    "a later domain has two": (
        alive(*SIX, make_member("d1", "d"), make_member("d2", "d")),
        "abc",
        0,
        ["d"],
    ),
    "a domain is gone": (alive(*SIX[:4]), "abc", 60, []),
}


@pytest.mark.parametrize("name", CREATION_CASES)
def test_domain_groups_are_created_once_their_instances_are_known(name):
    views, existing, now, expected = CREATION_CASES[name]
    groups = form(SIX) if existing else {}
    first_seen_s = dict.fromkeys("abcd", 0.0)
    created = bootstrap.domains_to_create(views, groups, 6, first_seen_s, now)
    assert created == expected
