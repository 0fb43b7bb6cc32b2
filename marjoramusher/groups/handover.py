"""Which voter should lead a group instead of this instance."""

from collections.abc import Callable, Iterable

from ..consensus import message
from ..membership import member
from . import bootstrap

SETTLED_S = 3.0  # as long as a silent instance may still count as alive
RETURN_INTERVAL_S = 10.0  # between two returns of one group, so that it can't flap


def successors(
    name: str,
    config: message.GroupConfig,
    others: Iterable[member.MemberView],
    holds_all: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return the voters that could lead now, those of the own domain first.

    A voter that is behind is last: the leader waits for it before it hands over.

    Parameters
    ----------
    others : iterable of MemberView
        Instances of the cluster besides the leader.
    """
    found = [
        (not holds_all(voter), view.member.failure_domain != _domain(name), voter)
        for view in others
        if (voter := bootstrap.voter_id(view.member)) in config.voters
        and view.status is member.Status.ALIVE
        and not view.member.draining
    ]
    return [voter for _, _, voter in sorted(found)]


def local_successors(
    name: str,
    config: message.GroupConfig,
    others: Iterable[member.MemberView],
    holds_all: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return the voters of a domain group's own domain that hold all and could lead."""
    local = [view for view in others if view.member.failure_domain == _domain(name)]
    return [v for v in successors(name, config, local, holds_all) if holds_all(v)]


def central_successors(
    name: str,
    config: message.GroupConfig,
    own_region: str,
    others: Iterable[member.MemberView],
    holds_all: Callable[[message.VoterId], bool],
) -> list[message.VoterId]:
    """Return voters that could lead from the region with a majority of the voters.

    A leader elsewhere commits nothing without a trip between regions.
    """
    others = tuple(others)
    regions: dict[str, int] = {}
    for view in others:
        if bootstrap.voter_id(view.member) in config.voters:
            region = view.member.region
            regions[region] = regions.get(region, 0) + 1
    majority = len(config.voters) // 2 + 1
    central = [
        view
        for view in others
        if view.member.region != own_region
        and regions.get(view.member.region, 0) >= majority
    ]
    return [v for v in successors(name, config, central, holds_all) if holds_all(v)]


class Returns:
    """Decide when a leader gives a group to a voter that is placed better."""

    __slots__ = ("_ready_s", "_returned_s")

    def __init__(self) -> None:
        self._ready_s: dict[str, dict[message.VoterId, float]] = {}
        self._returned_s: dict[str, float] = {}

    def due(
        self, name: str, ready: list[message.VoterId], now: float
    ) -> message.VoterId | None:
        """Return the voter to hand over to, None if it is not time yet.

        Parameters
        ----------
        ready : list of VoterId
            Local voters that could lead; empty while this instance does not lead.
        """
        before = self._ready_s.get(name, {})
        since = {voter: before.get(voter, now) for voter in ready}
        self._ready_s[name] = since
        last_s = self._returned_s.get(name, float("-inf"))
        if now - last_s < RETURN_INTERVAL_S:
            return None
        for voter in ready:
            if now - since[voter] >= SETTLED_S:
                self._returned_s[name] = now
                return voter
        return None


def _domain(name: str) -> str:
    return name.removeprefix(bootstrap.DOMAIN_PREFIX)
