"""Which instances vote in which groups when a cluster is formed."""

from collections.abc import Iterable, Sequence

import msgspec

from ..consensus import message
from ..core import errors
from ..membership import member

RECORDS = "records"
DOMAIN_PREFIX = "domain:"
MAX_RECORDS_VOTERS = 5
DOMAIN_VOTERS = 3
LOCAL_VOTERS = 2  # of a domain's own voters, a majority when the domain is cut off
SETTLE_S = 5.0  # how long a new domain's group waits for a second instance


class Plan(msgspec.Struct, frozen=True):
    """A new cluster and the members of its records group."""

    cluster_id: str
    records: message.GroupConfig


class NoDiskError(errors.MarjoramusherError):
    """No instance has a disk, so nothing could be kept durably."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorCode.INVALID_SETTING,
            "a cluster needs at least one instance with a data folder",
        )


def domain_group(failure_domain: str) -> str:
    """Return the name of a failure domain's group."""
    return DOMAIN_PREFIX + failure_domain


def is_due(views: Iterable[member.MemberView], own: member.Member, expect: int) -> bool:
    """Tell whether this instance has to form the cluster now.

    The instance with the lowest id among those with a disk does, once exactly
    `expect` members are known, all of them alive and without a cluster. It needs a
    disk so that it goes on with the same plan after a crash half-way.
    """
    views = tuple(views)
    if len(views) != expect:
        return False
    if any(v.member.cluster_id or v.status is not member.Status.ALIVE for v in views):
        return False
    disks = [v.member.instance_id for v in views if v.member.has_disk]
    if not disks:
        raise NoDiskError
    return min(disks) == own.instance_id


def plan(members: Iterable[member.Member], cluster_id: str) -> Plan:
    """Choose the members of the records group."""
    members = sorted(members, key=lambda m: m.instance_id)
    chosen = records_voters(members)
    learners = [m for m in members if m not in chosen]
    return Plan(cluster_id, message.GroupConfig(_ids(chosen), _ids(learners)))


def domain_groups(
    domains: Iterable[str],
    members: Iterable[member.Member],
    existing: dict[str, message.GroupConfig],
) -> dict[str, message.GroupConfig]:
    """Choose the members of new domain groups.

    Parameters
    ----------
    existing : dict of str to GroupConfig
        First members of the groups that exist, over which the load is spread.
    """
    members = sorted(members, key=lambda m: m.instance_id)
    home = {m.instance_id: domain_group(m.failure_domain) for m in members}
    groups: dict[str, message.GroupConfig] = {}
    for domain in sorted(domains):
        load: dict[str, int] = {}
        for name, config in [*existing.items(), *groups.items()]:
            for voter in config.voters:
                if home.get(voter.instance) != name:
                    load[voter.instance] = load.get(voter.instance, 0) + 1
        voters = domain_voters(domain, members, load)
        groups[domain_group(domain)] = message.GroupConfig(_ids(voters))
    return groups


def domains_to_create(
    views: Iterable[member.MemberView],
    existing: dict[str, message.GroupConfig],
    expect: int,
    seen_s: dict[str, float],
    now: float,
) -> list[str]:
    """Return the failure domains whose groups have to be created now.

    The first groups wait for all expected instances, the group of a later domain for
    the domain's second instance, but none for long.

    Parameters
    ----------
    seen_s : dict of str to float
        When each domain was first seen; it is brought up to date.
    """
    alive = [v.member for v in views if v.status is member.Status.ALIVE]
    count: dict[str, int] = {}
    for described in alive:
        domain = described.failure_domain
        count[domain] = count.get(domain, 0) + 1
        seen_s.setdefault(domain, now)
    return [
        domain
        for domain, instances in sorted(count.items())
        if domain_group(domain) not in existing
        and (
            (instances > 1 if existing else len(alive) >= expect)
            or now - seen_s[domain] >= SETTLE_S
        )
    ]


def records_voters(members: Iterable[member.Member]) -> list[member.Member]:
    """Choose one voter in each failure domain, at most five and an odd number."""
    best: dict[str, member.Member] = {}
    for candidate in sorted(members, key=disk_first):
        best.setdefault(candidate.failure_domain, candidate)
    order = sorted(best.values(), key=lambda m: (not m.has_disk, m.failure_domain))
    return _largest(order, MAX_RECORDS_VOTERS)


def single_voters(members: Iterable[member.Member]) -> list[member.Member]:
    """Choose the voters of a single group, at most five and an odd number.

    Its members are few and have disks, so that more than one of a failure domain may
    vote: with five, two may be lost at once.
    """
    turns: dict[str, int] = {}
    order = []
    for candidate in sorted(members, key=disk_first):
        if not candidate.has_disk:
            continue
        turn = turns.get(candidate.failure_domain, 0)
        turns[candidate.failure_domain] = turn + 1
        order.append((turn, candidate.failure_domain, candidate.instance_id, candidate))
    order.sort(key=lambda each: each[:3])
    return _largest([candidate for *_, candidate in order], MAX_RECORDS_VOTERS)


def domain_voters(
    domain: str, members: Iterable[member.Member], load: dict[str, int]
) -> list[member.Member]:
    """Choose two instances of the domain and one disk instance of another.

    Parameters
    ----------
    load : dict of str to int
        Number of other domains that each instance already votes for.
    """
    members = tuple(members)
    local = sorted((m for m in members if m.failure_domain == domain), key=disk_first)
    regions = {m.region for m in local}
    remote = sorted(
        (m for m in members if m.failure_domain != domain and m.has_disk),
        key=lambda m: (
            m.region not in regions,
            load.get(m.instance_id, 0),
            m.instance_id,
        ),
    )
    for split in (LOCAL_VOTERS, 1):
        chosen = local[:split] + remote[: DOMAIN_VOTERS - split]
        if len(chosen) == DOMAIN_VOTERS and is_durable(chosen):
            return chosen
    return _largest(local, DOMAIN_VOTERS) if local[0].has_disk else remote[:1]


def is_durable(voters: Sequence[member.Member]) -> bool:
    """Tell whether every majority holds a synced copy: f diskless of 2f+1 at most."""
    diskless = sum(not voter.has_disk for voter in voters)
    return diskless <= (len(voters) - 1) // 2


def voter_id(described: member.Member, group: str = "") -> message.VoterId:
    """Return the id under which an instance votes in a group."""
    return message.VoterId(described.instance_id, described.store_of(group))


def _largest(order: Sequence[member.Member], limit: int) -> list[member.Member]:
    """Return the longest durable start of odd length of a list, disks first."""
    count = min(limit, len(order))
    count -= 1 - count % 2
    while count > 1 and not is_durable(order[:count]):
        count -= 2
    chosen = list(order[:count])
    if not is_durable(chosen):
        raise NoDiskError
    return chosen


def _ids(members: Iterable[member.Member]) -> tuple[message.VoterId, ...]:
    return tuple(voter_id(m) for m in members)


def disk_first(described: member.Member) -> tuple[bool, str]:
    """Return a sort key that puts instances with a disk first."""
    return not described.has_disk, described.instance_id
