"""Choice of the voter that takes over the leadership from this instance."""

from collections.abc import Callable, Iterable

from ..consensus import message
from ..membership import member
from . import bootstrap

# How long a voter must have been eligible before the leadership returns to it. A silent
# instance may count as alive for as long.
RETURN_DELAY_S = 3.0
RETURN_INTERVAL_S = 10.0  # Between two returns of one group, so that it doesn't flap.


def successors(
    name: str,
    config: message.GroupConfig,
    others: Iterable[member.MemberView],
    has_all_committed: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return the voters that could lead now, those of the group's domain first.

    Voters that are behind come last, since the leader would have to wait until they
    have caught up.

    Parameters
    ----------
    others : iterable of MemberView
        Instances of the cluster other than the leader.
    """
    ranked = [
        (
            not has_all_committed(voter),
            view.member.failure_domain != _domain_of(name),
            voter,
        )
        for view in others
        if (voter := bootstrap.voter_id(view.member)) in config.voters
        and view.status is member.Status.ALIVE
        and not view.member.draining
    ]
    return [voter for _, _, voter in sorted(ranked)]


def local_successors(
    name: str,
    config: message.GroupConfig,
    others: Iterable[member.MemberView],
    has_all_committed: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return the caught-up voters of a domain group's own domain that could lead."""
    local = [view for view in others if view.member.failure_domain == _domain_of(name)]
    return [
        v
        for v in successors(name, config, local, has_all_committed)
        if has_all_committed(v)
    ]


def central_successors(
    name: str,
    config: message.GroupConfig,
    leader_region: str,
    others: Iterable[member.MemberView],
    has_all_committed: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return the caught-up voters that could lead in the region of the majority.

    The list is empty if the leader is in that region or no region has a majority. A
    leader elsewhere needs a round trip between regions for each commit.
    """
    others = tuple(others)
    voters_per_region: dict[str, int] = {}
    for view in others:
        if bootstrap.voter_id(view.member) in config.voters:
            region = view.member.region
            voters_per_region[region] = voters_per_region.get(region, 0) + 1
    majority = len(config.voters) // 2 + 1
    central = [
        view
        for view in others
        if view.member.region != leader_region
        and voters_per_region.get(view.member.region, 0) >= majority
    ]
    return [
        v
        for v in successors(name, config, central, has_all_committed)
        if has_all_committed(v)
    ]


class LeadershipReturns:
    """Decides when the leadership of a group returns to a better placed voter."""

    __slots__ = ("_ready_since_s", "_last_return_s")

    def __init__(self) -> None:
        self._ready_since_s: dict[str, dict[message.VoterId, float]] = {}
        self._last_return_s: dict[str, float] = {}

    def next_target(
        self, name: str, ready: list[message.VoterId], now: float
    ) -> message.VoterId | None:
        """Return the voter to transfer the leadership to now, or ``None``.

        Parameters
        ----------
        ready : list of VoterId
            Better placed voters that could lead now, empty unless this instance leads.
        """
        previous = self._ready_since_s.get(name, {})
        ready_since_s = {voter: previous.get(voter, now) for voter in ready}
        self._ready_since_s[name] = ready_since_s
        last_return_s = self._last_return_s.get(name, float("-inf"))
        if now - last_return_s < RETURN_INTERVAL_S:
            return None
        for voter in ready:
            if now - ready_since_s[voter] >= RETURN_DELAY_S:
                self._last_return_s[name] = now
                return voter
        return None


def _domain_of(name: str) -> str:
    return name.removeprefix(bootstrap.DOMAIN_PREFIX)
