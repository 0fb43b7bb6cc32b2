"""An open transfer of leadership, as its leader sees it."""

from . import message, progress


class Handover:
    """Successor and state of a transfer.

    Parameters
    ----------
    target : VoterId or None
        The voter that shall lead, ``None`` while any will do.
    deadline_s : float
        When the leader resumes.
    """

    __slots__ = ("deadline_s", "round", "target")

    def __init__(self, target: message.VoterId | None, deadline_s: float) -> None:
        self.target = target
        self.deadline_s = deadline_s
        # Last round before the lease was given up, None while it is kept.
        self.round: int | None = None

    def choose(
        self,
        config: message.GroupConfig,
        members: dict[message.VoterId, progress.Progress],
        last_index: int,
    ) -> message.VoterId | None:
        """Return the successor heard most recently that holds the whole log."""
        ready = [
            voter
            for voter in config.voters
            if voter in members
            and members[voter].match >= last_index
            and self.target in (None, voter)
        ]
        return max(ready, key=lambda voter: members[voter].heard_s, default=None)
