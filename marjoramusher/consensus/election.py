"""Leader election with randomized timeouts and a pre-vote."""

import enum
import random

from . import message, raft_state, state

# Delay before the first retry of a campaign that failed because other voters still
# honoured a leader's lease or because the vote was split. It is five round trips
# between regions and doubles with each retry, up to the election timeout.
VOTE_RETRY_S = 0.3


class Outcome(enum.Enum):
    """Role change that follows from an election event."""

    NO_CHANGE = "nothing"
    CANDIDATE = "candidate"
    WON = "won"


class Election:
    """Votes granted and requested by one node.

    Parameters
    ----------
    raft : RaftState
        State of the node.
    rng : random.Random
        Source of the election timeouts.
    now : float
        Start of the node. It counts as contact with a leader, since the node may have
        answered a heartbeat, and so extended a lease, just before it stopped.
    """

    __slots__ = (
        "_retry_delay_s",
        "_leader_contact_s",
        "_votes",
        "_pre_vote",
        "_raft",
        "_rng",
        "_last_round",
        "_settings",
        "_started_s",
        "_ballot_term",
        "due_s",
    )

    def __init__(
        self,
        raft: raft_state.RaftState,
        settings: state.Settings,
        rng: random.Random,
        now: float,
    ) -> None:
        self._raft = raft
        self._settings = settings
        self._rng = rng
        self._leader_contact_s = now
        self._started_s = now
        self._last_round = (0, 0)  # Term and highest heartbeat round received.
        self._votes: set[message.VoterId] = set()
        self._pre_vote = False
        self._retry_delay_s = VOTE_RETRY_S
        self._ballot_term = 0  # Term of the open ballot, 0 if there is none.
        self.due_s = now
        if raft.configs.current is None or raft.configs.current.voters != (
            raft.node_id,
        ):
            self.reset_timeout(now)

    def reset_timeout(self, now: float) -> None:
        """Draw a new election timeout."""
        self.due_s = (
            now
            + self._settings.election_delay_s
            + self._rng.uniform(
                self._settings.election_min_s, self._settings.election_max_s
            )
        )

    @property
    def leader_contact_s(self) -> float:
        """Return when a message of the leader last arrived."""
        return self._leader_contact_s

    def record_leader_contact(self, round_number: int, now: float) -> None:
        """Record a message of this term's leader and restart the timeout."""
        self._last_round = max(self._last_round, (self._raft.term, round_number))
        self._leader_contact_s = now
        self._ballot_term = 0
        self._retry_delay_s = VOTE_RETRY_S
        self.reset_timeout(now)

    def is_in_lease(self, now: float) -> bool:
        """Tell whether a lease that this node granted may still be valid."""
        return now - self._leader_contact_s < self._settings.election_min_s

    def allows_transfer(self, transfer_round: int | None, now: float) -> bool:
        """Tell whether this term's leader released the lease granted by this node.

        A leader that transfers its leadership no longer relies on the answers to
        heartbeat rounds up to `transfer_round`. A restarted node may have answered a
        later round and forgotten it, so it first waits until a lease has expired.
        """
        term, last_round = self._last_round
        return (
            transfer_round is not None
            and term == self._raft.term
            and last_round <= transfer_round
            and now - self._started_s >= self._settings.election_min_s
        )

    def cancel(self) -> None:
        """Close the open ballot."""
        self._ballot_term = 0

    def start_pre_vote(self, now: float) -> Outcome:
        """Request pre-votes from the other voters."""
        self.schedule_retry(now)
        return self._open_ballot(self._raft.term + 1, pre_vote=True)

    def schedule_retry(self, now: float) -> None:
        """Schedule another campaign in case the open ballot is not won."""
        self.reset_timeout(now)
        retry_s = now + self._retry_delay_s * self._rng.uniform(0.5, 1.0)
        self.due_s = min(self.due_s, retry_s)
        self._retry_delay_s *= 2

    def start_transfer_campaign(self, transfer_round: int, now: float) -> Outcome:
        """Request real votes as the successor chosen by the leader."""
        self.reset_timeout(now)
        raft = self._raft
        raft.set_term(raft.term + 1, raft.node_id)
        return self._open_ballot(
            raft.term, pre_vote=False, transfer_round=transfer_round
        )

    def handle_reply(self, reply: message.VoteReply) -> Outcome:
        """Count the vote of a reply."""
        if (
            reply.term != self._ballot_term
            or reply.pre_vote != self._pre_vote
            or not reply.granted
        ):
            return Outcome.NO_CHANGE
        self._votes.add(reply.sender)
        return self._count_votes()

    def handle_request(self, request: message.VoteRequest, now: float) -> None:
        """Answer a vote request.

        The term of a real vote's request is at most this node's term; the caller has
        adopted a higher one before.
        """
        raft = self._raft
        is_log_current = (request.last_term, request.last_index) >= (
            raft.log.last_term,
            raft.log.last_index,
        )
        if request.pre_vote:
            granted = is_log_current and request.term > raft.term
        else:
            granted = (
                is_log_current
                and request.term == raft.term
                and raft.voted_for in (None, request.sender)
            )
            if granted:
                if raft.voted_for is None:
                    raft.set_term(raft.term, request.sender)
                self.reset_timeout(now)
        raft.send_in_term(
            request.term if granted else raft.term,
            message.VoteReply,
            request.sender,
            granted,
            request.pre_vote,
        )

    def _open_ballot(
        self, term: int, pre_vote: bool, transfer_round: int | None = None
    ) -> Outcome:
        raft = self._raft
        self._ballot_term = term
        self._pre_vote = pre_vote
        self._votes = {raft.node_id}
        outcome = self._count_votes()
        if outcome is not Outcome.NO_CHANGE:
            return outcome
        for voter in sorted(raft.configs.voters(raft.commit_index)):
            if voter != raft.node_id:
                raft.send_in_term(
                    term,
                    message.VoteRequest,
                    voter,
                    raft.log.last_index,
                    raft.log.last_term,
                    pre_vote,
                    transfer_round,
                )
        return Outcome.NO_CHANGE if pre_vote else Outcome.CANDIDATE

    def _count_votes(self) -> Outcome:
        raft = self._raft
        if not raft.configs.has_quorum(self._votes, raft.commit_index):
            return Outcome.NO_CHANGE
        if self._pre_vote:
            raft.set_term(self._ballot_term, raft.node_id)
            return self._open_ballot(self._ballot_term, pre_vote=False)
        self._ballot_term = 0
        return Outcome.WON
