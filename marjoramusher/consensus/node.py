"""A Raft node as a pure state machine: each event yields a list of effects."""

import random

from ..core import errors
from . import (
    boot,
    election,
    following,
    message,
    raft_state,
    replication,
    state,
)

_LeaderMessage = message.Append | message.SnapshotChunk


class Node:
    """A member of one group. It does no I/O and reads no clock.

    Parameters
    ----------
    raft : RaftState
        State of the node.
    elections : Election
        Votes and election timeouts.
    boots : Registry
        Boot registration.
    """

    __slots__ = (
        "_boots",
        "_elections",
        "_follower",
        "_is_halted",
        "_leader",
        "_leadership",
        "_reported_config",
        "_reported_role",
        "_raft",
        "_role",
        "_settings",
    )

    def __init__(
        self,
        raft: raft_state.RaftState,
        settings: state.Settings,
        elections: election.Election,
        boots: boot.Registry,
    ) -> None:
        self._raft = raft
        self._settings = settings
        self._elections = elections
        self._boots = boots
        self._follower = following.Follower(raft)
        self._leadership: replication.Leadership | None = None
        self._leader: message.VoterId | None = None
        self._is_halted = False
        self._role = self._non_leading_role()
        self._reported_config = raft.configs.current
        self._reported_role = (self._role, raft.term, self._leader)

    @property
    def role(self) -> message.Role:
        """Return the current role."""
        return self._role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._raft.term

    @property
    def leader(self) -> message.VoterId | None:
        """Return the known leader of this term."""
        return self._leader

    def leader_silence_s(self, now: float) -> float:
        """Return the time since the last message of the known leader."""
        return 0.0 if self._leadership else now - self._elections.leader_contact_s

    @property
    def config(self) -> message.GroupConfig | None:
        """Return the configuration in force, None if the node knows no group."""
        return self._raft.configs.current

    @property
    def epoch(self) -> int:
        """Return the group epoch."""
        return self._raft.epoch

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._raft.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._raft.log.last_index

    @property
    def is_halted(self) -> bool:
        """Tell whether the node has stopped because its store failed or is stale."""
        return self._is_halted

    @property
    def is_registered(self) -> bool:
        """Tell whether the node may vote and acknowledge entries."""
        return self._boots.is_registered

    @property
    def is_change_pending(self) -> bool:
        """Tell whether the newest configuration is uncommitted."""
        return self._raft.configs.index > self._raft.commit_index

    @property
    def has_committed_in_term(self) -> bool:
        """Tell whether this node leads and has committed an entry of its term."""
        return self._leadership is not None and self._leadership.has_committed_in_term

    @property
    def match_indexes(self) -> dict[message.VoterId, int]:
        """Return the last index each member is known to hold, empty unless leading."""
        return self._leadership.match_indexes if self._leadership else {}

    @property
    def due_s(self) -> float:
        """Return when the next `Tick` is due."""
        if self._is_halted:
            return float("inf")
        if self._leadership:
            return min(self._leadership.due_s, self._boots.due_s)
        timeout_s = self._elections.due_s if self._can_campaign() else float("inf")
        return min(timeout_s, self._boots.due_s)

    @property
    def is_transferring(self) -> bool:
        """Tell whether this node leads and is transferring its leadership."""
        return self._leadership is not None and self._leadership.is_transferring

    def has_fresh_quorum(self, now: float) -> bool:
        """Tell whether this node leads and a quorum confirmed it within the lease."""
        return (
            self._leadership is not None
            and self._leadership.lease_end_round is None
            and now - self._leadership.quorum_contact_s(now) <= self._settings.lease_s
        )

    def is_caught_up(self, learner: message.VoterId, now: float) -> bool:
        """Tell whether this node leads and the learner may become a voter."""
        return self._leadership is not None and self._leadership.is_caught_up(
            learner, now
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is compacted or missing."""
        return self._raft.log.term_at(index)

    def config_at(self, index: int) -> message.GroupConfig | None:
        """Return the configuration in force at an index, for a snapshot's header."""
        return self._raft.configs.at(index)

    def step(self, event: message.Event, now: float) -> list[message.Effect]:
        """Process one event.

        Parameters
        ----------
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        list of Effect
            Effects to carry out in order. At most one is a `Persist`, which comes
            first.

        Raises
        ------
        MarjoramusherError
            With code ``internal`` if a message contradicts committed state. The group
            must then be stopped, since its stores no longer agree.
        """
        match event:
            case message.Receive(message=incoming):
                if not self._is_halted:
                    self._handle_message(incoming, now)
            case message.Tick():
                if not self._is_halted:
                    self._tick(now)
            case message.Propose():
                self._propose((event,), now)
            case message.ProposeBatch(proposals=proposals):
                self._propose(proposals, now)
            case message.ReadBarrier(read_id=read_id):
                if self._leadership:
                    self._leadership.read(read_id, now)
                else:
                    refusal = message.ReadRefused(read_id, self._leader)
                    self._raft.outbox.emit(refusal)
            case message.TransferLeadership(target=target):
                if self._leadership:
                    self._leadership.transfer(target, now)
            case message.Compacted(index=index, data=data):
                self._raft.compact(index, data, self._settings.tail_bytes)
            case message.StoreFailed():
                self._halt()
            case _:
                self._change(event, now)
        self._step_down_if_removed()
        self._emit_changes()
        return self._raft.outbox.take()

    def _tick(self, now: float) -> None:
        self._boots.tick(now)
        if self._leadership:
            if self._leadership.has_lost_quorum(now):
                self._become_follower(None)
                self._elections.reset_timeout(now)
            else:
                self._leadership.tick(now)
        elif now >= self._elections.due_s and self._can_campaign():
            self._become_follower(None)
            self._apply_election_outcome(self._elections.start_pre_vote(now), now)

    def _handle_message(self, incoming: message.AnyMessage, now: float) -> None:
        raft = self._raft
        if incoming.receiver != raft.node_id:
            return
        if incoming.epoch < raft.epoch:
            if raft.configs.current is not None:
                # A recovery with loss gave up the sender, which has returned. It may
                # not be a member in the new epoch, so no leader would send it anything.
                # The reply informs it of the epoch; boot 0 matches no boot.
                raft.send(message.BootReply, incoming.sender, 0, True)
            return
        if incoming.epoch > raft.epoch:
            # The group was recovered with loss. This node may hold entries that the
            # recovered group lacks, even committed ones.
            raft.epoch = incoming.epoch
            raft.is_epoch_verified = raft.configs.current is None
            self._become_follower(None)
        match incoming:
            case message.BootRegister():
                self._boots.handle_register(
                    incoming, self.match_indexes.get(incoming.sender, 0)
                )
                if self._leadership:
                    self._leadership.handle_member_restart(incoming.sender, now)
            case message.BootReply():
                if not self._boots.handle_reply(incoming):
                    self._report_stale_store()
            case message.VoteRequest():
                self._handle_vote_request(incoming, now)
            case _:
                self._handle_message_in_term(incoming, now)

    def _handle_message_in_term(self, incoming: message.AnyMessage, now: float) -> None:
        raft = self._raft
        # A granted pre-vote carries the next term, which this node has not adopted.
        is_pre_vote_grant = isinstance(incoming, message.VoteReply) and (
            incoming.granted and incoming.pre_vote
        )
        if incoming.term > raft.term and not is_pre_vote_grant:
            raft.set_term(incoming.term, None)
            self._become_follower(None)
        if incoming.term < raft.term:
            if isinstance(incoming, _LeaderMessage) and self._boots.is_registered:
                # The term of the reply makes the old leader step down.
                raft.send(message.AppendReply, incoming.sender, False, 0, 0)
            return
        match incoming:
            case message.Append():
                if self._accept_leader(incoming, now):
                    self._follower.handle_append(incoming)
            case message.SnapshotChunk():
                if self._accept_leader(incoming, now):
                    self._follower.handle_chunk(incoming)
            case message.VoteReply():
                if not self._leadership:
                    self._apply_election_outcome(
                        self._elections.handle_reply(incoming), now
                    )
            case message.AppendReply():
                if self._leadership:
                    self._leadership.handle_append_reply(incoming, now)
            case message.SnapshotReply():
                if self._leadership:
                    self._leadership.handle_snapshot_reply(incoming, now)
            case message.TimeoutNow():
                self._handle_timeout_now(incoming, now)

    def _handle_timeout_now(self, incoming: message.TimeoutNow, now: float) -> None:
        """Campaign at once, unless the leader has resumed since it sent the request."""
        if (
            self._leader == incoming.sender
            and self._can_campaign()
            and self._elections.allows_transfer(incoming.round, now)
        ):
            self._become_follower(None)
            self._apply_election_outcome(
                self._elections.start_transfer_campaign(incoming.round, now), now
            )

    def _accept_leader(self, incoming: _LeaderMessage, now: float) -> bool:
        """Follow the sender and tell whether its entries may be acknowledged."""
        if self._leadership:
            raise errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                f"group {self._raft.group}: {incoming.sender} also claims to lead "
                f"term {incoming.term}",
            )
        self._elections.record_leader_contact(incoming.round, now)
        self._become_follower(incoming.sender)
        self._boots.register_with(incoming.sender)
        if not self._boots.is_registered:
            return False
        if self._follower.leader_lacks_committed_entries(incoming):
            self._report_stale_store(group_only=True)
        return not self._is_halted

    def _handle_vote_request(self, request: message.VoteRequest, now: float) -> None:
        self._boots.register_with(request.sender)
        raft = self._raft
        if not self._boots.is_registered:
            return
        if request.term < raft.term:
            self._elections.handle_request(request, now)
            return
        if self._is_bound_by_lease(request, now):
            return
        if not request.pre_vote and request.term > raft.term:
            raft.set_term(request.term, None)
            self._become_follower(None)
        self._elections.handle_request(request, now)

    def _is_bound_by_lease(self, request: message.VoteRequest, now: float) -> bool:
        """Tell whether the vote is withheld, since this node leads or granted a lease.

        Only the successor chosen by the leader in a transfer is exempt.
        """
        is_successor = not request.pre_vote and request.term == self._raft.term + 1
        if self._leadership:
            lease_end_round = self._leadership.lease_end_round
            return (
                not is_successor
                or lease_end_round is None
                or request.transfer_round != lease_end_round
            )
        return self._elections.is_in_lease(now) and not (
            is_successor
            and self._elections.allows_transfer(request.transfer_round, now)
        )

    def _apply_election_outcome(self, outcome: election.Outcome, now: float) -> None:
        if outcome is election.Outcome.CANDIDATE:
            self._elections.schedule_retry(now)
            self._role = message.Role.CANDIDATE
        elif outcome is election.Outcome.WON:
            self._role = message.Role.LEADER
            self._leader = self._raft.node_id
            self._leadership = replication.Leadership(self._raft, self._settings, now)

    def _propose(self, proposals: tuple[message.Propose, ...], now: float) -> None:
        if self._leadership:
            self._leadership.propose(proposals, now)
            return
        for proposal in proposals:
            self._refuse_proposal(proposal.proposal_id)

    def _change(self, change: message.Change, now: float) -> None:
        if self._leadership:
            self._leadership.change(change, now)
        else:
            self._refuse_proposal(change.proposal_id)

    def _refuse_proposal(self, proposal_id: int) -> None:
        code = errors.ErrorCode.NOT_LEADER
        if self._is_halted:
            code = errors.ErrorCode.STORE_FAILED
        refusal = message.ProposalRefused(proposal_id, code, self._leader)
        self._raft.outbox.emit(refusal)

    def _become_follower(self, leader: message.VoterId | None) -> None:
        if self._leadership:
            self._leadership.refuse_reads()
            self._leadership = None
        if leader is None:
            self._elections.cancel()
        self._leader = leader
        self._role = self._non_leading_role()

    def _non_leading_role(self) -> message.Role:
        if self._raft.configs.is_voter(self._raft.node_id):
            return message.Role.FOLLOWER
        return message.Role.LEARNER

    def _can_campaign(self) -> bool:
        raft = self._raft
        return (
            self._boots.is_registered
            and raft.configs.is_voter(raft.node_id)
            and raft.configs.current.epoch == raft.epoch
        )

    def _step_down_if_removed(self) -> None:
        raft = self._raft
        if (
            self._leadership
            and not self.is_change_pending
            and not raft.configs.is_voter(raft.node_id)
        ):
            self._become_follower(None)

    def _halt(self) -> None:
        self._is_halted = True
        self._become_follower(None)

    def _report_stale_store(self, group_only: bool = False) -> None:
        self._halt()
        self._raft.outbox.emit(message.StaleStore(group_only))

    def _emit_changes(self) -> None:
        """Emit an effect for each change of role, term, leader or members."""
        raft = self._raft
        if self._role in (message.Role.FOLLOWER, message.Role.LEARNER):
            self._role = self._non_leading_role()
        if raft.configs.current is not self._reported_config:
            self._reported_config = raft.configs.current
            if self._reported_config is not None:
                raft.outbox.emit(message.ConfigChanged(self._reported_config))
        role = (self._role, raft.term, self._leader)
        if role != self._reported_role:
            self._reported_role = role
            raft.outbox.emit(message.RoleChanged(*role))


def make_node(
    group: str,
    node_id: message.VoterId,
    stored_state: state.NodeState,
    initial: message.GroupConfig | None,
    *,
    diskless: bool,
    rng: random.Random,
    now: float,
    settings: state.Settings | None = None,
) -> Node:
    """Make a node from the state of its store.

    Parameters
    ----------
    initial : GroupConfig or None
        Configuration of a new group, identical at each of its voters. It is ignored if
        the store holds state or `node_id` is not one of the voters. A node without a
        configuration stays passive until a leader replicates to it.
    diskless : bool
        Whether the store id is new at each process start.
    rng : random.Random
        Source of election timeouts and of the boot's nonce. Its seed must differ
        between process starts.
    """
    settings = settings or state.Settings()
    raft = raft_state.RaftState(group, node_id, stored_state, initial)
    config = raft.configs.current
    is_only_voter = config is not None and config.voters == (node_id,)
    is_registration_required = (
        settings.requires_boot_registration and not diskless and not is_only_voter
    )
    boots = boot.Registry(
        raft,
        stored_state.boot_counter,
        stored_state.boots,
        rng,
        is_registration_required,
        settings.requires_boot_registration and not diskless,
        now,
    )
    elections = election.Election(raft, settings, rng, now)
    return Node(raft, settings, elections, boots)
