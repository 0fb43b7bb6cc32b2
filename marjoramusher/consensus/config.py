"""Members of a group over the log, and quorum rules."""

from collections.abc import Callable, Iterable

from ..core import codec
from . import message


class Members:
    """Configurations by log index, the newest in force.

    A configuration is in force as soon as it is in the log. While it is uncommitted
    and its majorities need not overlap with those of the one before, both majorities
    are needed. This is so for the swap of one voter, which would otherwise rely on
    the old store being gone. The leader then repeats the configuration in a second
    entry: a restarted voter does not know what is committed, and without that entry
    it would need the old majority again after the loss of another voter.

    Parameters
    ----------
    base : GroupConfig or None
        Configuration at `index`; None for a node that does not know its group yet.
    """

    __slots__ = ("_history",)

    def __init__(self, index: int, base: message.GroupConfig | None) -> None:
        self._history: list[tuple[int, message.GroupConfig]] = []
        if base is not None:
            self._history.append((index, base))

    @property
    def current(self) -> message.GroupConfig | None:
        """Return the configuration in force."""
        return self._history[-1][1] if self._history else None

    @property
    def index(self) -> int:
        """Return the log index of the configuration in force."""
        return self._history[-1][0] if self._history else 0

    @property
    def needs_repeat(self) -> bool:
        """Tell whether the newest configuration swaps voters and is not repeated."""
        if len(self._history) < 2:
            return False
        before, now = self._history[-2][1], self._history[-1][1]
        return before.epoch == now.epoch and not _overlap(before, now)

    @property
    def added_voters(self) -> tuple[message.VoterId, ...]:
        """Return the voters that the last change of voters has added."""
        if not self._history:
            return ()
        voters = self._history[-1][1].voters
        for _, before in reversed(self._history):
            if before.voters != voters:
                return tuple(new for new in voters if new not in before.voters)
        return ()

    def is_voter(self, member: message.VoterId) -> bool:
        """Tell whether a member votes in the configuration in force."""
        return bool(self._history) and member in self._history[-1][1].voters

    def at(self, index: int) -> message.GroupConfig | None:
        """Return the configuration that was in force at a log index."""
        found = None
        for start, config in self._history:
            if start <= index:
                found = config
        return found

    def add(self, entry: message.Entry) -> None:
        """Take over a configuration entry."""
        config = codec.unpack(entry.payload, message.GroupConfig)
        self._history.append((entry.index, config))

    def truncate_from(self, index: int) -> None:
        """Return to the configuration before a log index."""
        while self._history and self._history[-1][0] >= index > 0:
            self._history.pop()

    def compact(self, index: int) -> None:
        """Forget what was replaced at or before a log index."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            del self._history[0]

    def reset(self, index: int, config: message.GroupConfig) -> None:
        """Replace everything by one configuration."""
        self._history = [(index, config)]

    def voter_sets(self, commit: int) -> tuple[tuple[message.VoterId, ...], ...]:
        """Return the voter sets of which each must have a majority."""
        if not self._history:
            return ()
        index, now = self._history[-1]
        if index > commit and self.needs_repeat:
            return (self._history[-2][1].voters, now.voters)
        return (now.voters,)

    def voters(self, commit: int) -> set[message.VoterId]:
        """Return every voter that may count towards a quorum."""
        return {voter for voters in self.voter_sets(commit) for voter in voters}

    def replicated_to(self, commit: int) -> dict[message.VoterId, None]:
        """Return the members that get entries, in a stable order.

        A removed member gets them until its removal is committed, so that it learns
        of it; members of an older epoch don't.
        """
        members: dict[message.VoterId, None] = {}
        for index, config in self._history[-2:]:
            same_epoch = config.epoch == self._history[-1][1].epoch
            if index == self.index or (self.index > commit and same_epoch):
                members.update(dict.fromkeys(config.voters))
                members.update(dict.fromkeys(config.learners))
        return members

    def has_quorum(self, granted: Iterable[message.VoterId], commit: int) -> bool:
        """Tell whether the members given hold a majority of each voter set."""
        chosen = set(granted)
        sets = self.voter_sets(commit)
        return bool(sets) and all(
            2 * sum(voter in chosen for voter in voters) > len(voters)
            for voters in sets
        )

    def quorum_value(
        self, value: Callable[[message.VoterId], float], commit: int
    ) -> float:
        """Return the highest value that a majority of each voter set has reached."""
        sets = self.voter_sets(commit)
        lowest = _majority_value(sets[0], value)
        if len(sets) > 1:
            lowest = min(lowest, _majority_value(sets[1], value))
        return lowest


def _majority_value(
    voters: tuple[message.VoterId, ...], value: Callable[[message.VoterId], float]
) -> float:
    return sorted(map(value, voters), reverse=True)[len(voters) // 2]


def _overlap(before: message.GroupConfig, now: message.GroupConfig) -> bool:
    """Tell whether any two majorities share a voter."""
    return len(set(before.voters) ^ set(now.voters)) <= 1


def changed(
    config: message.GroupConfig, change: message.Change
) -> message.GroupConfig | None:
    """Return the configuration after a change, or None if the change does not fit.

    A learner takes the place of an older store of the same instance, since an
    instance runs only one store.
    """
    voters, learners = config.voters, config.learners
    match change:
        case message.AddLearner(learner=new) if new not in voters + learners:
            kept = tuple(old for old in learners if old.instance != new.instance)
            learners = (*kept, new)
        case message.RemoveLearner(learner=old) if old in learners:
            learners = _without(learners, old)
        case message.AddVoter(voter=new) if new in learners:
            voters, learners = (*voters, new), _without(learners, new)
        case message.RemoveVoter(voter=old) if old in voters and len(voters) > 1:
            voters = _without(voters, old)
        case message.ReplaceVoter(old=old, new=new) if (
            old in voters and new in learners
        ):
            voters = tuple(new if voter == old else voter for voter in voters)
            learners = _without(learners, new)
        case _:
            return None
    return message.GroupConfig(voters, learners, config.epoch)


def _without(
    members: tuple[message.VoterId, ...], gone: message.VoterId
) -> tuple[message.VoterId, ...]:
    return tuple(member for member in members if member != gone)
