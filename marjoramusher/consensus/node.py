"""A Raft node: one event in, effects out."""

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

_FROM_LEADER = message.Append | message.SnapshotChunk


class Node:
    """One member of one group; does no I/O and reads no clock.

    Parameters
    ----------
    own : Replica
        State of the node.
    elections : Election
        Votes and timeouts.
    boots : Registry
        Registration of process starts.
    """

    __slots__ = (
        "_boots",
        "_elections",
        "_follower",
        "_halted",
        "_leader",
        "_leadership",
        "_reported_config",
        "_reported_role",
        "_replica",
        "_role",
        "_settings",
    )

    def __init__(
        self,
        own: raft_state.Replica,
        settings: state.Settings,
        elections: election.Election,
        boots: boot.Registry,
    ) -> None:
        self._replica = own
        self._settings = settings
        self._elections = elections
        self._boots = boots
        self._follower = following.Follower(own)
        self._leadership: replication.Leadership | None = None
        self._leader: message.VoterId | None = None
        self._halted = False
        self._role = self._resting_role()
        self._reported_config = own.members.current
        self._reported_role = (self._role, own.term, self._leader)

    @property
    def role(self) -> message.Role:
        """Return the role."""
        return self._role

    @property
    def term(self) -> int:
        """Return the present term."""
        return self._replica.term

    @property
    def leader(self) -> message.VoterId | None:
        """Return the known leader of this term."""
        return self._leader

    def leader_silent_s(self, now: float) -> float:
        """Return for how long nothing has come from the known leader."""
        return 0.0 if self._leadership else now - self._elections.contact_s

    @property
    def config(self) -> message.GroupConfig | None:
        """Return the configuration in force, None if the node knows no group."""
        return self._replica.members.current

    @property
    def epoch(self) -> int:
        """Return the group epoch."""
        return self._replica.epoch

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._replica.commit

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._replica.log.last_index

    @property
    def halted(self) -> bool:
        """Tell whether the node takes no more part: its store failed or is old."""
        return self._halted

    @property
    def registered(self) -> bool:
        """Tell whether the node may vote and acknowledge."""
        return self._boots.registered

    @property
    def change_pending(self) -> bool:
        """Tell whether the newest configuration is uncommitted."""
        return self._replica.members.index > self._replica.commit

    @property
    def established(self) -> bool:
        """Tell whether this node leads and has committed an entry of its term."""
        return self._leadership is not None and self._leadership.established

    @property
    def match(self) -> dict[message.VoterId, int]:
        """Return, at the leader, the last index known to be held by each member."""
        return self._leadership.match if self._leadership else {}

    @property
    def due_s(self) -> float:
        """Return when the next `Tick` has something to do."""
        if self._halted:
            return float("inf")
        if self._leadership:
            return min(self._leadership.due_s, self._boots.due_s)
        timeout_s = self._elections.due_s if self._may_campaign() else float("inf")
        return min(timeout_s, self._boots.due_s)

    @property
    def transferring(self) -> bool:
        """Tell whether this node leads and is handing the leadership over."""
        return self._leadership is not None and self._leadership.transferring

    def has_fresh_quorum(self, now: float) -> bool:
        """Tell whether this node leads and a majority confirmed it recently."""
        return (
            self._leadership is not None
            and self._leadership.handed_over is None
            and now - self._leadership.confirmed_s(now) <= self._settings.lease_s
        )

    def catch_up_done(self, learner: message.VoterId, now: float) -> bool:
        """Tell, at the leader, whether a learner may become a voter."""
        return self._leadership is not None and self._leadership.catch_up_done(
            learner, now
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is compacted or missing."""
        return self._replica.log.term_at(index)

    def config_at(self, index: int) -> message.GroupConfig | None:
        """Return the configuration in force at an index, for a snapshot's header."""
        return self._replica.members.at(index)

    def step(self, event: message.Event, now: float) -> list[message.Effect]:
        """Take one event.

        Parameters
        ----------
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        list of Effect
            To be carried out in order. At most one `Persist`, which comes first.

        Raises
        ------
        MarjoramusherError
            With code ``internal`` if a message contradicts committed state. The
            runner must stop the group: its stores no longer agree.
        """
        match event:
            case message.Receive(message=received):
                if not self._halted:
                    self._receive(received, now)
            case message.Tick():
                if not self._halted:
                    self._tick(now)
            case message.Propose():
                self._propose((event,), now)
            case message.ProposeBatch(proposals=proposals):
                self._propose(proposals, now)
            case message.ReadBarrier(read_id=read_id):
                if self._leadership:
                    self._leadership.read(read_id, now)
                else:
                    refused = message.ReadRefused(read_id, self._leader)
                    self._replica.outbox.emit(refused)
            case message.TransferLeadership(target=target):
                if self._leadership:
                    self._leadership.transfer(target, now)
            case message.Compacted(index=index, data=data):
                self._replica.compact(index, data, self._settings.tail_bytes)
            case message.StoreFailed():
                self._halt()
            case _:
                self._change(event, now)
        self._leave_if_removed()
        self._report()
        return self._replica.outbox.take()

    def _tick(self, now: float) -> None:
        self._boots.tick(now)
        if self._leadership:
            if self._leadership.quorum_lost(now):
                self._follow(None)
                self._elections.reset_timeout(now)
            else:
                self._leadership.tick(now)
        elif now >= self._elections.due_s and self._may_campaign():
            self._follow(None)
            self._elect(self._elections.start(now), now)

    def _receive(self, received: message.AnyMessage, now: float) -> None:
        own = self._replica
        if received.receiver != own.own:
            return
        if received.epoch < own.epoch:
            if own.members.current is not None:
                # Members that were counted as lost are back. The new epoch may not
                # have them as members, so its leader would never tell them.
                own.send(message.BootReply, received.sender, 0, True)
            return
        if received.epoch > own.epoch:
            # The group was recovered with loss; this node may hold entries that it
            # has lost, also below the commit index.
            own.epoch = received.epoch
            own.epoch_checked = own.members.current is None
            self._follow(None)
        match received:
            case message.BootRegister():
                self._boots.receive(received, self.match.get(received.sender, 0))
                if self._leadership:
                    self._leadership.member_started(received.sender, now)
            case message.BootReply():
                if not self._boots.answered(received):
                    self._discard()
            case message.VoteRequest():
                self._vote(received, now)
            case _:
                self._receive_in_term(received, now)

    def _receive_in_term(self, received: message.AnyMessage, now: float) -> None:
        own = self._replica
        promised = isinstance(received, message.VoteReply) and (
            received.granted and received.pre_vote
        )
        if received.term > own.term and not promised:
            own.set_term(received.term, None)
            self._follow(None)
        if received.term < own.term:
            if isinstance(received, _FROM_LEADER) and self._boots.registered:
                # The term in the answer makes the old leader step down.
                own.send(message.AppendReply, received.sender, False, 0, 0)
            return
        match received:
            case message.Append():
                if self._obey(received, now):
                    self._follower.append(received)
            case message.SnapshotChunk():
                if self._obey(received, now):
                    self._follower.chunk(received)
            case message.VoteReply():
                if not self._leadership:
                    self._elect(self._elections.answered(received), now)
            case message.AppendReply():
                if self._leadership:
                    self._leadership.append_answered(received, now)
            case message.SnapshotReply():
                if self._leadership:
                    self._leadership.chunk_answered(received, now)
            case message.TimeoutNow():
                self._take_over(received, now)

    def _take_over(self, received: message.TimeoutNow, now: float) -> None:
        """Campaign at once, unless the leader has resumed since it asked for that."""
        if (
            self._leader == received.sender
            and self._may_campaign()
            and self._elections.allows_transfer(received.round, now)
        ):
            self._follow(None)
            self._elect(self._elections.take_over(received.round, now), now)

    def _obey(self, received: _FROM_LEADER, now: float) -> bool:
        """Follow the sender; tell whether its entries may be acknowledged."""
        if self._leadership:
            raise errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                f"group {self._replica.group}: {received.sender} leads term "
                f"{received.term} as well",
            )
        self._elections.leader_heard(received.round, now)
        self._follow(received.sender)
        self._boots.heard_from(received.sender)
        if not self._boots.registered:
            return False
        if self._follower.diverged(received):
            self._discard(group_only=True)
        return not self._halted

    def _vote(self, request: message.VoteRequest, now: float) -> None:
        self._boots.heard_from(request.sender)
        own = self._replica
        if not self._boots.registered:
            return
        if request.term < own.term:
            self._elections.asked(request, now)
            return
        if self._refuses_vote(request, now):
            return
        if not request.pre_vote and request.term > own.term:
            own.set_term(request.term, None)
            self._follow(None)
        self._elections.asked(request, now)

    def _refuses_vote(self, request: message.VoteRequest, now: float) -> bool:
        """Tell whether a leader may rely on the vote of this node, or it leads."""
        successor = not request.pre_vote and request.term == self._replica.term + 1
        if self._leadership:
            handed_over = self._leadership.handed_over
            return (
                not successor or handed_over is None or request.transfer != handed_over
            )
        return self._elections.in_lease(now) and not (
            successor and self._elections.allows_transfer(request.transfer, now)
        )

    def _elect(self, step: election.Step, now: float) -> None:
        if step is election.Step.CANDIDATE:
            self._elections.ask_again(now)
            self._role = message.Role.CANDIDATE
        elif step is election.Step.WON:
            self._role = message.Role.LEADER
            self._leader = self._replica.own
            self._leadership = replication.Leadership(
                self._replica, self._settings, now
            )

    def _propose(self, proposals: tuple[message.Propose, ...], now: float) -> None:
        if self._leadership:
            self._leadership.propose(proposals, now)
            return
        for proposal in proposals:
            self._refuse(proposal.proposal_id)

    def _change(self, change: message.Change, now: float) -> None:
        if self._leadership:
            self._leadership.change(change, now)
        else:
            self._refuse(change.proposal_id)

    def _refuse(self, proposal_id: int) -> None:
        code = errors.ErrorCode.NOT_LEADER
        if self._halted:
            code = errors.ErrorCode.STORE_FAILED
        refused = message.ProposalRefused(proposal_id, code, self._leader)
        self._replica.outbox.emit(refused)

    def _follow(self, leader: message.VoterId | None) -> None:
        if self._leadership:
            self._leadership.end()
            self._leadership = None
        if leader is None:
            self._elections.cancel()
        self._leader = leader
        self._role = self._resting_role()

    def _resting_role(self) -> message.Role:
        if self._replica.members.is_voter(self._replica.own):
            return message.Role.FOLLOWER
        return message.Role.LEARNER

    def _may_campaign(self) -> bool:
        own = self._replica
        return (
            self._boots.registered
            and own.members.is_voter(own.own)
            and own.members.current.epoch == own.epoch
        )

    def _leave_if_removed(self) -> None:
        own = self._replica
        if (
            self._leadership
            and not self.change_pending
            and not own.members.is_voter(own.own)
        ):
            self._follow(None)

    def _halt(self) -> None:
        self._halted = True
        self._follow(None)

    def _discard(self, group_only: bool = False) -> None:
        self._halt()
        self._replica.outbox.emit(message.StaleStore(group_only))

    def _report(self) -> None:
        """Emit changes of role, term, leader and members, once each."""
        own = self._replica
        if self._role in (message.Role.FOLLOWER, message.Role.LEARNER):
            self._role = self._resting_role()
        if own.members.current is not self._reported_config:
            self._reported_config = own.members.current
            if self._reported_config is not None:
                own.outbox.emit(message.ConfigChanged(self._reported_config))
        role = (self._role, own.term, self._leader)
        if role != self._reported_role:
            self._reported_role = role
            own.outbox.emit(message.RoleChanged(*role))


def make_node(
    group: str,
    own: message.VoterId,
    loaded: state.NodeState,
    initial: message.GroupConfig | None,
    *,
    diskless: bool,
    rng: random.Random,
    now: float,
    settings: state.Settings | None = None,
) -> Node:
    """Make a node from what its store holds.

    Parameters
    ----------
    initial : GroupConfig or None
        Voters of a new group, the same at each of them; ignored if the store holds
        state or `own` is not among them. A node without members stays passive until
        a leader replicates to it.
    diskless : bool
        Whether the store id is new at each process start.
    rng : random.Random
        Election timeouts and the boot's nonce; seeded differently at each start.
    """
    chosen = settings or state.Settings()
    own_state = raft_state.Replica(group, own, loaded, initial)
    current = own_state.members.current
    alone = current is not None and current.voters == (own,)
    needed = chosen.boot_rule and not diskless and not alone
    boots = boot.Registry(
        own_state,
        loaded.boot,
        loaded.boots,
        rng,
        needed,
        chosen.boot_rule and not diskless,
        now,
    )
    elections = election.Election(own_state, chosen, rng, now)
    return Node(own_state, chosen, elections, boots)
