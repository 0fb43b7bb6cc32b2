"""Choice of the voters of each group when a cluster is formed."""

from collections.abc import Iterable, Sequence

import msgspec

from ..consensus import message
from ..core import errors
from ..membership import member

RECORDS = "records"
DOMAIN_PREFIX = "domain:"
MAX_RECORDS_VOTERS = 5
DOMAIN_VOTERS = 3
# Voters inside the domain itself, which are a majority when the domain is cut off.
LOCAL_DOMAIN_VOTERS = 2
# How long the creation of a domain's group waits for further instances.
DOMAIN_SETTLE_S = 5.0


class Plan(msgspec.Struct, frozen=True):
    """Id of a new cluster and the members of its records group."""

    cluster_id: str
    records: message.GroupConfig


class NoDiskError(errors.MarjoramusherError):
    """No instance has a disk, so no state would be durable."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorCode.INVALID_SETTING,
            "a cluster needs at least one instance with a data folder",
        )


def domain_group(failure_domain: str) -> str:
    """Return the name of a failure domain's group."""
    return DOMAIN_PREFIX + failure_domain


def should_form_cluster(
    views: Iterable[member.MemberView], own_member: member.Member, expected_count: int
) -> bool:
    """Tell whether this instance must form the cluster now.

    The cluster is formed once exactly `expected_count` members are known, all of them
    alive and without a cluster. The instance with the lowest id among those with a
    disk forms it; the disk lets it resume the same plan after a crash.
    """
    views = tuple(views)
    if len(views) != expected_count:
        return False
    if any(v.member.cluster_id or v.status is not member.Status.ALIVE for v in views):
        return False
    disk_ids = [v.member.instance_id for v in views if v.member.has_disk]
    if not disk_ids:
        raise NoDiskError
    return min(disk_ids) == own_member.instance_id


def plan_cluster(members: Iterable[member.Member], cluster_id: str) -> Plan:
    """Choose the members of the records group."""
    members = sorted(members, key=lambda m: m.instance_id)
    voters = choose_records_voters(members)
    learners = [m for m in members if m not in voters]
    return Plan(
        cluster_id, message.GroupConfig(_voter_ids(voters), _voter_ids(learners))
    )


def plan_domain_groups(
    domains: Iterable[str],
    members: Iterable[member.Member],
    existing: dict[str, message.GroupConfig],
) -> dict[str, message.GroupConfig]:
    """Choose the members of new domain groups.

    Parameters
    ----------
    existing : dict of str to GroupConfig
        Initial members of the existing groups. Their remote voters are counted, so
        that remote votes are spread over the instances.
    """
    members = sorted(members, key=lambda m: m.instance_id)
    home_group = {m.instance_id: domain_group(m.failure_domain) for m in members}
    groups: dict[str, message.GroupConfig] = {}
    for domain in sorted(domains):
        remote_vote_counts: dict[str, int] = {}
        for name, config in [*existing.items(), *groups.items()]:
            for voter in config.voters:
                if home_group.get(voter.instance) != name:
                    remote_vote_counts[voter.instance] = (
                        remote_vote_counts.get(voter.instance, 0) + 1
                    )
        voters = choose_domain_voters(domain, members, remote_vote_counts)
        groups[domain_group(domain)] = message.GroupConfig(_voter_ids(voters))
    return groups


def domains_to_create(
    views: Iterable[member.MemberView],
    existing: dict[str, message.GroupConfig],
    expected_count: int,
    first_seen_s: dict[str, float],
    now: float,
) -> list[str]:
    """Return the failure domains whose groups must be created now.

    The first groups wait for all expected instances, and the group of a domain that
    appears later waits for its second instance. No group waits for longer than
    `DOMAIN_SETTLE_S`.

    Parameters
    ----------
    first_seen_s : dict of str to float
        Time at which each domain was first seen. New domains are added.
    """
    alive = [v.member for v in views if v.status is member.Status.ALIVE]
    instance_counts: dict[str, int] = {}
    for instance in alive:
        domain = instance.failure_domain
        instance_counts[domain] = instance_counts.get(domain, 0) + 1
        first_seen_s.setdefault(domain, now)
    return [
        domain
        for domain, instance_count in sorted(instance_counts.items())
        if domain_group(domain) not in existing
        and (
            (instance_count > 1 if existing else len(alive) >= expected_count)
            or now - first_seen_s[domain] >= DOMAIN_SETTLE_S
        )
    ]


def choose_records_voters(members: Iterable[member.Member]) -> list[member.Member]:
    """Choose one voter per failure domain, an odd number of at most five."""
    best_by_domain: dict[str, member.Member] = {}
    for candidate in sorted(members, key=disk_first_key):
        best_by_domain.setdefault(candidate.failure_domain, candidate)
    ordered = sorted(
        best_by_domain.values(), key=lambda m: (not m.has_disk, m.failure_domain)
    )
    return _largest_durable_prefix(ordered, MAX_RECORDS_VOTERS)


def choose_single_group_voters(members: Iterable[member.Member]) -> list[member.Member]:
    """Choose the voters of a cluster with a single group, an odd number up to five.

    Such a cluster has few instances, all with disks, so a failure domain may have more
    than one voter. Five voters tolerate the loss of two.
    """
    candidates_per_domain: dict[str, int] = {}
    ranked = []
    for candidate in sorted(members, key=disk_first_key):
        if not candidate.has_disk:
            continue
        rank = candidates_per_domain.get(candidate.failure_domain, 0)
        candidates_per_domain[candidate.failure_domain] = rank + 1
        ranked.append(
            (rank, candidate.failure_domain, candidate.instance_id, candidate)
        )
    ranked.sort(key=lambda entry: entry[:3])
    return _largest_durable_prefix(
        [candidate for *_, candidate in ranked], MAX_RECORDS_VOTERS
    )


def choose_domain_voters(
    domain: str, members: Iterable[member.Member], remote_vote_counts: dict[str, int]
) -> list[member.Member]:
    """Choose two instances of the domain and one of another domain with a disk.

    Parameters
    ----------
    remote_vote_counts : dict of str to int
        Number of groups of other domains that each instance already votes in.
    """
    members = tuple(members)
    local_members = sorted(
        (m for m in members if m.failure_domain == domain), key=disk_first_key
    )
    regions = {m.region for m in local_members}
    remote_members = sorted(
        (m for m in members if m.failure_domain != domain and m.has_disk),
        key=lambda m: (
            m.region not in regions,
            remote_vote_counts.get(m.instance_id, 0),
            m.instance_id,
        ),
    )
    for local_count in (LOCAL_DOMAIN_VOTERS, 1):
        voters = (
            local_members[:local_count] + remote_members[: DOMAIN_VOTERS - local_count]
        )
        if len(voters) == DOMAIN_VOTERS and is_durable(voters):
            return voters
    return (
        _largest_durable_prefix(local_members, DOMAIN_VOTERS)
        if local_members[0].has_disk
        else remote_members[:1]
    )


def is_durable(voters: Sequence[member.Member]) -> bool:
    """Tell whether every majority has a disk: of 2f+1 voters at most f are diskless."""
    diskless = sum(not voter.has_disk for voter in voters)
    return diskless <= (len(voters) - 1) // 2


def voter_id(instance: member.Member, group: str = "") -> message.VoterId:
    """Return the id under which an instance votes in a group."""
    return message.VoterId(instance.instance_id, instance.store_of(group))


def _largest_durable_prefix(
    ordered: Sequence[member.Member], limit: int
) -> list[member.Member]:
    """Return the longest durable prefix of odd length.

    The list must begin with the instances that have a disk.
    """
    count = min(limit, len(ordered))
    count -= 1 - count % 2
    while count > 1 and not is_durable(ordered[:count]):
        count -= 2
    voters = list(ordered[:count])
    if not is_durable(voters):
        raise NoDiskError
    return voters


def _voter_ids(members: Iterable[member.Member]) -> tuple[message.VoterId, ...]:
    return tuple(voter_id(m) for m in members)


def disk_first_key(instance: member.Member) -> tuple[bool, str]:
    """Return a sort key that puts instances with a disk first."""
    return not instance.has_disk, instance.instance_id
