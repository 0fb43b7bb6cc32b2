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
) -> message.Change | None:
    """Return the next change of one leader, or ``None``.

    An instance that came up with a new store takes the place of its old one as soon
    as it has caught up as a learner. New instances learn the records. A group with
    fewer voters than it would get today, as after a recovery with loss, grows. A
    member that is down keeps its place, since it may still hold the only other copy.

    Parameters
    ----------
    caught_up : callable
        Tells whether a learner may become a voter.
    """
    alive = {
        view.member.instance_id: view.member
        for view in views
        if view.status is member.Status.ALIVE
    }
    return (
        _replace(config, alive, caught_up)
        or _grow(group, config, alive, caught_up)
        or _learn(group, config, alive)
    )


def _replace(
    config: message.GroupConfig,
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    for old in config.voters:
        described = alive.get(old.instance)
        if described is None or described.store_id == old.store:
            continue
        new = bootstrap.voter_id(described)
        if new in config.voters:
            continue
        if new not in config.learners:
            return message.AddLearner(0, new)
        if caught_up(new) and _stays_durable(config, alive, old, described):
            return message.ReplaceVoter(0, old, new)
    return None


def _stays_durable(
    config: message.GroupConfig,
    alive: dict[str, member.Member],
    old: message.VoterId,
    new: member.Member,
) -> bool:
    """Tell whether a diskless replacement leaves a disk in every majority.

    Voters that are not heard are counted as having a disk: they were chosen so.
    """
    others = [alive.get(v.instance) for v in config.voters if v != old]
    diskless = sum(m is not None and not m.has_disk for m in others)
    return new.has_disk or diskless + 1 <= (len(config.voters) - 1) // 2


def _grow(
    group: str,
    config: message.GroupConfig,
    alive: dict[str, member.Member],
    caught_up: Callable[[message.VoterId], bool],
) -> message.Change | None:
    present = {voter.instance for voter in config.voters}
    if not present <= alive.keys():
        return None
    try:
        wanted = _wanted(group, tuple(alive.values()))
    except bootstrap.NoDiskError:
        return None
    if len(wanted) <= len(config.voters):
        return None
    for candidate in wanted:
        if candidate.instance_id in present:
            continue
        new = bootstrap.voter_id(candidate)
        if new not in config.learners:
            return message.AddLearner(0, new)
        after = [alive[instance] for instance in present] + [candidate]
        if caught_up(new) and bootstrap.is_durable(after):
            return message.AddVoter(0, new)
    return None


def _wanted(group: str, members: tuple[member.Member, ...]) -> list[member.Member]:
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
        new = bootstrap.voter_id(described)
        if new not in known and described.instance_id not in voting:
            return message.AddLearner(0, new)
    return None
