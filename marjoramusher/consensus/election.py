"""Elections: timeouts, pre-vote, votes."""

import enum
import random

from . import message, raft_state, state

# A voter that was refused because others still rely on a leader, or whose ballot was
# split, asks again soon: after five round trips between regions, then after twice as
# long each time, up to the election timeout.
ASK_AGAIN_S = 0.3


class Step(enum.Enum):
    """What the node has to do after an election event."""

    NOTHING = "nothing"
    CANDIDATE = "candidate"
    WON = "won"


class Election:
    """Votes given and asked for by one node.

    Parameters
    ----------
    own : Replica
        State of the node.
    rng : random.Random
        Source of the election timeouts.
    now : float
        Start of the node. It counts as contact with a leader, since the node may have
        promised not to vote for another one just before it stopped.
    """

    __slots__ = (
        "_ask_again_s",
        "_contact_s",
        "_granted",
        "_pre_vote",
        "_replica",
        "_rng",
        "_seen",
        "_settings",
        "_started_s",
        "_term",
        "due_s",
    )

    def __init__(
        self,
        own: raft_state.Replica,
        settings: state.Settings,
        rng: random.Random,
        now: float,
    ) -> None:
        self._replica = own
        self._settings = settings
        self._rng = rng
        self._contact_s = now
        self._started_s = now
        self._seen = (0, 0)  # Term and highest round of the leader heard last.
        self._granted: set[message.VoterId] = set()
        self._pre_vote = False
        self._ask_again_s = ASK_AGAIN_S
        self._term = 0  # Term of the open ballot, 0 if none is open.
        self.due_s = now
        if own.members.current is None or own.members.current.voters != (own.own,):
            self.reset_timeout(now)

    def reset_timeout(self, now: float) -> None:
        """Draw a new election timeout."""
        self.due_s = (
            now
            + self._settings.patience_s
            + self._rng.uniform(
                self._settings.election_min_s, self._settings.election_max_s
            )
        )

    @property
    def contact_s(self) -> float:
        """Return when the leader was last heard."""
        return self._contact_s

    def leader_heard(self, heard_round: int, now: float) -> None:
        """Note that the leader of this term is alive."""
        self._seen = max(self._seen, (self._replica.term, heard_round))
        self._contact_s = now
        self._term = 0
        self._ask_again_s = ASK_AGAIN_S
        self.reset_timeout(now)

    def in_lease(self, now: float) -> bool:
        """Tell whether a leader may still rely on this node's vote."""
        return now - self._contact_s < self._settings.election_min_s

    def allows_transfer(self, transfer: int | None, now: float) -> bool:
        """Tell whether the leader of this term relies on no answer of this node.

        It has given up what was answered up to the round `transfer`. An answer to a
        later round may be forgotten in a restart, so the node waits for its lease to
        run out then.
        """
        term, seen = self._seen
        return (
            transfer is not None
            and term == self._replica.term
            and seen <= transfer
            and now - self._started_s >= self._settings.election_min_s
        )

    def cancel(self) -> None:
        """Close the open ballot."""
        self._term = 0

    def start(self, now: float) -> Step:
        """Ask whether the other voters would vote for this node."""
        self.ask_again(now)
        return self._open(self._replica.term + 1, pre_vote=True)

    def ask_again(self, now: float) -> None:
        """Ask again after a while unless the open ballot is won before."""
        self.reset_timeout(now)
        soon_s = now + self._ask_again_s * self._rng.uniform(0.5, 1.0)
        self.due_s = min(self.due_s, soon_s)
        self._ask_again_s *= 2

    def take_over(self, transfer: int, now: float) -> Step:
        """Ask for real votes as the successor that the leader has chosen."""
        self.reset_timeout(now)
        own = self._replica
        own.set_term(own.term + 1, own.own)
        return self._open(own.term, pre_vote=False, transfer=transfer)

    def answered(self, reply: message.VoteReply) -> Step:
        """Count a vote."""
        if (
            reply.term != self._term
            or reply.pre_vote != self._pre_vote
            or not reply.granted
        ):
            return Step.NOTHING
        self._granted.add(reply.sender)
        return self._count()

    def asked(self, request: message.VoteRequest, now: float) -> None:
        """Answer a request whose term is not above that of a real vote's."""
        own = self._replica
        up_to_date = (request.last_term, request.last_index) >= (
            own.log.last_term,
            own.log.last_index,
        )
        if request.pre_vote:
            granted = up_to_date and request.term > own.term
        else:
            granted = (
                up_to_date
                and request.term == own.term
                and own.voted_for in (None, request.sender)
            )
            if granted:
                if own.voted_for is None:
                    own.set_term(own.term, request.sender)
                self.reset_timeout(now)
        own.send_in_term(
            request.term if granted else own.term,
            message.VoteReply,
            request.sender,
            granted,
            request.pre_vote,
        )

    def _open(self, term: int, pre_vote: bool, transfer: int | None = None) -> Step:
        own = self._replica
        self._term = term
        self._pre_vote = pre_vote
        self._granted = {own.own}
        step = self._count()
        if step is not Step.NOTHING:
            return step
        for voter in sorted(own.members.voters(own.commit)):
            if voter != own.own:
                own.send_in_term(
                    term,
                    message.VoteRequest,
                    voter,
                    own.log.last_index,
                    own.log.last_term,
                    pre_vote,
                    transfer,
                )
        return Step.NOTHING if pre_vote else Step.CANDIDATE

    def _count(self) -> Step:
        own = self._replica
        if not own.members.has_quorum(self._granted, own.commit):
            return Step.NOTHING
        if self._pre_vote:
            own.set_term(self._term, own.own)
            return self._open(self._term, pre_vote=False)
        self._term = 0
        return Step.WON
