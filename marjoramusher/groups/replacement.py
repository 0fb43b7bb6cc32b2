"""Which change of members the leader of a group makes next."""

from collections.abc import Callable, Iterable

from ..consensus import message
from ..membership import member
from . import bootstrap


def next_change(
    group: str,
    config: message.GroupConfig,
    views: Iterable[member.MemberView],
    caught_up: Callable[[message.VoterId], bool],
    single: bool = False,
) -> message.Change | None:
    """Return the next change of one leader, or ``None``.

    An instance that came up with a new store takes the place of its old one as soon
    as it has caught up as a learner. New instances learn the records. A group with
    fewer voters than it would get today, as after a recovery with loss, grows. A
    voter of another failure domain gives its place to an instance of the group's own
    domain, so that a domain that is cut off keeps its majority. Otherwise a member
    that is down keeps its place, since it may still hold the only other copy.

    Parameters
    ----------
    caught_up : callable
        Tells whether a learner may become a voter.
    single : bool
        Whether this is the only group. Its instances are replaced at other addresses,
        so a voter that is silent gives its place to a learner of its failure domain.
    """
    known = {}
    alive = {}
    for view in views:
        known[view.member.instance_id] = view.member
        if view.status is member.Status.ALIVE:
            alive[view.member.instance_id] = view.member
    return (
        _replace(group, config, known, alive, caught_up)
        or (_supersede(config, known, alive, caught_up) if single else None)
        or _grow(group, config, alive, caught_up, single)
        or _localize(group, config, known, alive, caught_up)
        or _learn(group, config, alive)
    )


def _replace(
    group: str,
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    for old in config.voters:
        described = alive.get(old.instance)
        if described is None or described.store_of(group) == old.store:
            continue
        new = bootstrap.voter_id(described, group)
        if new in config.voters:
            continue
        if new not in config.learners:
            return message.AddLearner(0, new)
        if caught_up(new) and _stays_durable(config, known, old, described):
            return message.ReplaceVoter(0, old, new)
    return None


def _supersede(
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    """Put a learner in the place of a silent voter of its failure domain."""
    for old in config.voters:
        if old.instance in alive or old.instance not in known:
            continue
        domain = known[old.instance].failure_domain
        for learner in config.learners:
            described = alive.get(learner.instance)
            if (
                described is not None
                and described.failure_domain == domain
                and described.has_disk
                and caught_up(learner)
            ):
                return message.ReplaceVoter(0, old, learner)
    return None


def _stays_durable(
    config: message.GroupConfig,
    members: dict[str, member.Member],
    old: message.VoterId,
    new: member.Member,
) -> bool:
    """Tell whether a diskless replacement leaves a disk in every majority.

    Voters that are not known are counted as having a disk: they were chosen so.
    """
    others = [members.get(v.instance) for v in config.voters if v != old]
    diskless = sum(m is not None and not m.has_disk for m in others)
    return new.has_disk or diskless + 1 <= (len(config.voters) - 1) // 2


def _grow(
    group: str,
    config: message.GroupConfig,
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
    single: bool,
) -> message.Change | None:
    present = {voter.instance for voter in config.voters}
    if not present <= alive.keys():
        return None
    try:
        wanted = _wanted(group, tuple(alive.values()), single)
    except bootstrap.NoDiskError:
        return None
    if len(wanted) <= len(config.voters):
        return None
    for candidate in wanted:
        if candidate.instance_id in present:
            continue
        new = bootstrap.voter_id(candidate, group)
        if new not in config.learners:
            return message.AddLearner(0, new)
        after = [alive[instance] for instance in present] + [candidate]
        # A voter with a disk never takes durability away, not even beside a survivor
        # without one, which alone is no durable group.
        durable = candidate.has_disk or bootstrap.is_durable(after)
        if caught_up(new) and durable:
            return message.AddVoter(0, new)
    return None


def _localize(
    group: str,
    config: message.GroupConfig,
    known: dict[str, member.Member],
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    """Give the place of a surplus remote voter to an instance of the domain.

    The number of local voters only rises, so an instance that comes and goes causes
    no second change. A voter whose failure domain is not known counts as local.
    """
    domain = group.removeprefix(bootstrap.DOMAIN_PREFIX)
    if group == domain or len(config.voters) < bootstrap.DOMAIN_VOTERS:
        return None
    remote = [
        voter
        for voter in config.voters
        if voter.instance in known and known[voter.instance].failure_domain != domain
    ]
    if len(config.voters) - len(remote) >= bootstrap.LOCAL_VOTERS:
        return _forget_learner(config)
    present = {voter.instance for voter in config.voters}
    regions = {m.region for m in known.values() if m.failure_domain == domain}
    # The one that is alive and near is kept.
    remote.sort(
        key=lambda v: (v.instance in alive, known[v.instance].region in regions)
    )
    candidates = [
        m
        for m in alive.values()
        if m.failure_domain == domain and m.instance_id not in present
    ]
    for candidate in sorted(candidates, key=bootstrap.disk_first):
        new = bootstrap.voter_id(candidate, group)
        for old in remote:
            if not _stays_durable(config, known, old, candidate):
                continue
            if new not in config.learners:
                return message.AddLearner(0, new)
            if caught_up(new):
                return message.ReplaceVoter(0, old, new)
            break
    return None


def _forget_learner(config: message.GroupConfig) -> message.Change | None:
    """Drop a learner of a complete domain group that takes no voter's place."""
    present = {voter.instance for voter in config.voters}
    for learner in config.learners:
        if learner.instance not in present:
            return message.RemoveLearner(0, learner)
    return None


def _wanted(
    group: str, members: tuple[member.Member, ...], single: bool
) -> list[member.Member]:
    if single:
        return bootstrap.single_voters(members)
    if group == bootstrap.RECORDS:
        return bootstrap.records_voters(members)
    domain = group.removeprefix(bootstrap.DOMAIN_PREFIX)
    if all(m.failure_domain != domain for m in members):
        return []
    return bootstrap.domain_voters(domain, members, {})


def _learn(
    group: str, config: message.GroupConfig, alive: dict[str, member.Member]
) -> message.Change | None:
    if group != bootstrap.RECORDS:
        return None
    known = {*config.voters, *config.learners}
    voting = {voter.instance for voter in config.voters}
    for described in alive.values():
        new = bootstrap.voter_id(described, group)
        if new not in known and described.instance_id not in voting:
            return message.AddLearner(0, new)
    return None
