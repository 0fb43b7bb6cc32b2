"""Group configurations in the log, and quorum rules."""

from collections.abc import Callable, Iterable

from ..core import codec
from . import message


class ConfigHistory:
    """Configurations by log index; the newest one is in force.

    A configuration is in force as soon as it is in the log. While it is uncommitted
    and its majorities need not overlap with those of its predecessor, a quorum needs
    a majority of both (joint consensus). Replacing one voter by another is such a
    change; with the new majority alone it would be safe only if the old store were
    certainly gone. Once the change is committed, the leader appends the configuration
    again: a restarted voter does not know what is committed, and without that second
    entry it would need the old majority again after the loss of another voter.

    Parameters
    ----------
    initial : GroupConfig or None
        Configuration at `index`, None for a node that does not know its group yet.
    """

    __slots__ = ("_history",)

    def __init__(self, index: int, initial: message.GroupConfig | None) -> None:
        self._history: list[tuple[int, message.GroupConfig]] = []
        if initial is not None:
            self._history.append((index, initial))

    @property
    def current(self) -> message.GroupConfig | None:
        """Return the configuration in force."""
        return self._history[-1][1] if self._history else None

    @property
    def index(self) -> int:
        """Return the log index of the configuration in force."""
        return self._history[-1][0] if self._history else 0

    @property
    def needs_confirming_entry(self) -> bool:
        """Tell whether the newest configuration has yet to be appended again.

        This is so after a change whose majorities need not overlap with the old ones.
        """
        if len(self._history) < 2:
            return False
        previous, current = self._history[-2][1], self._history[-1][1]
        return previous.epoch == current.epoch and not _majorities_overlap(
            previous, current
        )

    @property
    def added_voters(self) -> tuple[message.VoterId, ...]:
        """Return the voters added by the last change of the voter set."""
        if not self._history:
            return ()
        voters = self._history[-1][1].voters
        for _, previous in reversed(self._history):
            if previous.voters != voters:
                return tuple(voter for voter in voters if voter not in previous.voters)
        return ()

    def is_voter(self, member: message.VoterId) -> bool:
        """Tell whether a member votes in the configuration in force."""
        return bool(self._history) and member in self._history[-1][1].voters

    def at(self, index: int) -> message.GroupConfig | None:
        """Return the configuration that was in force at a log index."""
        result = None
        for config_index, config in self._history:
            if config_index <= index:
                result = config
        return result

    def add(self, entry: message.Entry) -> None:
        """Add the configuration of a log entry."""
        config = codec.unpack(entry.payload, message.GroupConfig)
        self._history.append((entry.index, config))

    def truncate_from(self, index: int) -> None:
        """Drop the configurations from a log index on."""
        while self._history and self._history[-1][0] >= index > 0:
            self._history.pop()

    def compact(self, index: int) -> None:
        """Drop the configurations that were superseded at or before a log index."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            del self._history[0]

    def reset(self, index: int, config: message.GroupConfig) -> None:
        """Replace the history by one configuration."""
        self._history = [(index, config)]

    def voter_sets(self, commit_index: int) -> tuple[tuple[message.VoterId, ...], ...]:
        """Return the voter sets that must each contribute a majority to a quorum."""
        if not self._history:
            return ()
        index, current = self._history[-1]
        if index > commit_index and self.needs_confirming_entry:
            return (self._history[-2][1].voters, current.voters)
        return (current.voters,)

    def voters(self, commit_index: int) -> set[message.VoterId]:
        """Return the voters that count towards a quorum."""
        return {voter for voters in self.voter_sets(commit_index) for voter in voters}

    def replicated_members(self, commit_index: int) -> dict[message.VoterId, None]:
        """Return the members that entries are replicated to, in a stable order.

        A removed member is included until its removal is committed, so that it learns
        of the removal. Members of an older epoch are not.
        """
        members: dict[message.VoterId, None] = {}
        for index, config in self._history[-2:]:
            same_epoch = config.epoch == self._history[-1][1].epoch
            if index == self.index or (self.index > commit_index and same_epoch):
                members.update(dict.fromkeys(config.voters))
                members.update(dict.fromkeys(config.learners))
        return members

    def has_quorum(self, votes: Iterable[message.VoterId], commit_index: int) -> bool:
        """Tell whether the votes include a majority of each voter set."""
        voted = set(votes)
        voter_sets = self.voter_sets(commit_index)
        return bool(voter_sets) and all(
            2 * sum(voter in voted for voter in voters) > len(voters)
            for voters in voter_sets
        )

    def quorum_value(
        self, value_of: Callable[[message.VoterId], float], commit_index: int
    ) -> float:
        """Return the highest value that a majority of each voter set has reached."""
        voter_sets = self.voter_sets(commit_index)
        result = _majority_value(voter_sets[0], value_of)
        if len(voter_sets) > 1:
            result = min(result, _majority_value(voter_sets[1], value_of))
        return result


def _majority_value(
    voters: tuple[message.VoterId, ...], value_of: Callable[[message.VoterId], float]
) -> float:
    return sorted(map(value_of, voters), reverse=True)[len(voters) // 2]


def _majorities_overlap(old: message.GroupConfig, new: message.GroupConfig) -> bool:
    """Tell whether any two majorities share a voter."""
    return len(set(old.voters) ^ set(new.voters)) <= 1


def apply_change(
    config: message.GroupConfig, change: message.Change
) -> message.GroupConfig | None:
    """Return the configuration after a change, or None if the change is invalid.

    A new learner replaces an older learner of the same instance, since an instance
    runs only one store.
    """
    voters, learners = config.voters, config.learners
    match change:
        case message.AddLearner(learner=new) if new not in voters + learners:
            other_learners = tuple(
                old for old in learners if old.instance != new.instance
            )
            learners = (*other_learners, new)
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
    members: tuple[message.VoterId, ...], removed: message.VoterId
) -> tuple[message.VoterId, ...]:
    return tuple(member for member in members if member != removed)
