"""State of a leadership transfer at the leader."""

from . import message, progress


class Handover:
    """A leadership transfer in progress.

    Parameters
    ----------
    target : VoterId or None
        The intended successor, ``None`` while any voter may become it.
    deadline_s : float
        Time at which the leader aborts the transfer and resumes.
    """

    __slots__ = ("deadline_s", "lease_end_round", "target")

    def __init__(self, target: message.VoterId | None, deadline_s: float) -> None:
        self.target = target
        self.deadline_s = deadline_s
        # Last heartbeat round before the lease was released, None while it is held.
        self.lease_end_round: int | None = None

    def choose_successor(
        self,
        config: message.GroupConfig,
        progress_by_member: dict[message.VoterId, progress.Progress],
        last_index: int,
    ) -> message.VoterId | None:
        """Return the most recently active eligible voter that holds the whole log."""
        candidates = [
            voter
            for voter in config.voters
            if voter in progress_by_member
            and progress_by_member[voter].match_index >= last_index
            and self.target in (None, voter)
        ]
        return max(
            candidates,
            key=lambda voter: progress_by_member[voter].contact_s,
            default=None,
        )
