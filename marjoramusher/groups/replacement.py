"""Choice of the next membership change by the leader of a group."""

from collections.abc import Callable, Iterable

from ..consensus import message
from ..membership import member
from . import bootstrap


def next_change(
    group: str,
    config: message.GroupConfig,
    views: Iterable[member.MemberView],
    is_caught_up: Callable[[message.VoterId], bool],
    is_single_group: bool = False,
) -> message.Change | None:
    """Return the next change to make, or ``None``.

    Its proposal id is 0; `RaftGroup.change` sets the real one.

    The new store of an instance replaces its old one once it has caught up as a
    learner. New instances become learners of the records group. A group with fewer
    voters than it would be created with now, for example after a recovery with loss,
    grows. A voter of another failure domain is replaced by an instance of the group's
    own domain, so that the domain keeps a majority when it is cut off. Otherwise a
    member that is down keeps its place, since it may hold the only other copy.

    Parameters
    ----------
    is_caught_up : callable
        Tells whether a learner may become a voter.
    is_single_group : bool
        Whether this is the only group of the cluster. Instances of such a cluster are
        replaced by ones at other addresses, so a silent voter is replaced by a learner
        of its failure domain.
    """
    known = {}
    alive = {}
    for view in views:
        known[view.member.instance_id] = view.member
        if view.status is member.Status.ALIVE:
            alive[view.member.instance_id] = view.member
    return (
        _replace_old_store(group, config, known, alive, is_caught_up)
        or (
            _replace_silent_voter(config, known, alive, is_caught_up)
            if is_single_group
            else None
        )
        or _add_missing_voter(group, config, alive, is_caught_up, is_single_group)
        or _replace_remote_voter(group, config, known, alive, is_caught_up)
        or _add_records_learner(group, config, alive)
    )


def _replace_old_store(
    group: str,
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    is_caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    for old in config.voters:
        instance = alive.get(old.instance)
        if instance is None or instance.store_of(group) == old.store:
            continue
        new = bootstrap.voter_id(instance, group)
        if new in config.voters:
            continue
        if new not in config.learners:
            return message.AddLearner(0, new)
        if is_caught_up(new) and _stays_durable(config, known, old, instance):
            return message.ReplaceVoter(0, old, new)
    return None


def _replace_silent_voter(
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    is_caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    """Replace a silent voter by a learner of the same failure domain."""
    for old in config.voters:
        if old.instance in alive or old.instance not in known:
            continue
        domain = known[old.instance].failure_domain
        for learner in config.learners:
            instance = alive.get(learner.instance)
            if (
                instance is not None
                and instance.failure_domain == domain
                and instance.has_disk
                and is_caught_up(learner)
            ):
                return message.ReplaceVoter(0, old, learner)
    return None


def _stays_durable(
    config: message.GroupConfig,
    members: dict[str, member.Member],
    old: message.VoterId,
    new: member.Member,
) -> bool:
    """Tell whether every majority still has a disk after a voter is replaced.

    Unknown voters count as having a disk, as they were chosen with one.
    """
    other_voters = [members.get(v.instance) for v in config.voters if v != old]
    diskless_count = sum(m is not None and not m.has_disk for m in other_voters)
    return new.has_disk or diskless_count + 1 <= (len(config.voters) - 1) // 2


def _add_missing_voter(
    group: str,
    config: message.GroupConfig,
    alive: dict[str, member.Member],
    is_caught_up: Callable[[message.VoterId], bool],
    is_single_group: bool,
) -> message.Change | None:
    voting_instances = {voter.instance for voter in config.voters}
    if not voting_instances <= alive.keys():
        return None
    try:
        desired = _desired_voters(group, tuple(alive.values()), is_single_group)
    except bootstrap.NoDiskError:
        return None
    if len(desired) <= len(config.voters):
        return None
    for candidate in desired:
        if candidate.instance_id in voting_instances:
            continue
        new = bootstrap.voter_id(candidate, group)
        if new not in config.learners:
            return message.AddLearner(0, new)
        voters_after = [alive[instance] for instance in voting_instances] + [candidate]
        # A voter with a disk never reduces durability, not even when it joins a lone
        # survivor without a disk, which is not a durable group by itself.
        is_durable_after = candidate.has_disk or bootstrap.is_durable(voters_after)
        if is_caught_up(new) and is_durable_after:
            return message.AddVoter(0, new)
    return None


def _replace_remote_voter(
    group: str,
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    is_caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    """Replace a surplus remote voter by an instance of the group's domain.

    The number of local voters only rises, so an instance that comes and goes causes
    no further change. A voter of an unknown failure domain counts as local.
    """
    domain = group.removeprefix(bootstrap.DOMAIN_PREFIX)
    if group == domain or len(config.voters) < bootstrap.DOMAIN_VOTERS:
        return None
    remote_voters = [
        voter
        for voter in config.voters
        if voter.instance in known and known[voter.instance].failure_domain != domain
    ]
    if len(config.voters) - len(remote_voters) >= bootstrap.LOCAL_DOMAIN_VOTERS:
        return _remove_unneeded_learner(config)
    voting_instances = {voter.instance for voter in config.voters}
    regions = {m.region for m in known.values() if m.failure_domain == domain}
    # The remote voter that is alive and in the region of the domain is kept.
    remote_voters.sort(
        key=lambda v: (v.instance in alive, known[v.instance].region in regions)
    )
    candidates = [
        m
        for m in alive.values()
        if m.failure_domain == domain and m.instance_id not in voting_instances
    ]
    for candidate in sorted(candidates, key=bootstrap.disk_first_key):
        new = bootstrap.voter_id(candidate, group)
        for old in remote_voters:
            if not _stays_durable(config, known, old, candidate):
                continue
            if new not in config.learners:
                return message.AddLearner(0, new)
            if is_caught_up(new):
                return message.ReplaceVoter(0, old, new)
            break
    return None


def _remove_unneeded_learner(config: message.GroupConfig) -> message.Change | None:
    """Remove a learner of a complete domain group that will replace no voter."""
    voting_instances = {voter.instance for voter in config.voters}
    for learner in config.learners:
        if learner.instance not in voting_instances:
            return message.RemoveLearner(0, learner)
    return None


def _desired_voters(
    group: str, members: tuple[member.Member, ...], is_single_group: bool
) -> list[member.Member]:
    if is_single_group:
        return bootstrap.choose_single_group_voters(members)
    if group == bootstrap.RECORDS:
        return bootstrap.choose_records_voters(members)
    domain = group.removeprefix(bootstrap.DOMAIN_PREFIX)
    if all(m.failure_domain != domain for m in members):
        return []
    return bootstrap.choose_domain_voters(domain, members, {})


def _add_records_learner(
    group: str, config: message.GroupConfig, alive: dict[str, member.Member]
) -> message.Change | None:
    if group != bootstrap.RECORDS:
        return None
    members = {*config.voters, *config.learners}
    voting_instances = {voter.instance for voter in config.voters}
    for instance in alive.values():
        new = bootstrap.voter_id(instance, group)
        if new not in members and instance.instance_id not in voting_instances:
            return message.AddLearner(0, new)
    return None
