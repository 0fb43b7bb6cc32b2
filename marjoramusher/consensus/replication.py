"""What a leader does: replication, commit, reads, configuration changes."""

from ..core import codec, errors
from . import config, handover, message, progress, raft_state, state

NO_CONFIG = message.GroupConfig(())
RETRY_S = 0.5  # A snapshot chunk unanswered for this long is sent again.


class Leadership:
    """One term of leadership; it starts with a NOOP entry.

    Parameters
    ----------
    own : Replica
        State of the node.
    now : float
        Time of the election, which counts as contact with a majority.
    """

    __slots__ = (
        "_flush_due_s",
        "_handover",
        "_heartbeat_due_s",
        "_members",
        "_noop_index",
        "_reading",
        "_reads",
        "_replica",
        "_round",
        "_round_sent_s",
        "_settings",
        "_started_s",
    )

    def __init__(
        self, own: raft_state.Replica, settings: state.Settings, now: float
    ) -> None:
        self._replica = own
        self._settings = settings
        self._members: dict[message.VoterId, progress.Progress] = {}
        self._round = 0
        self._round_sent_s: dict[int, float] = {}
        self._started_s = now
        self._heartbeat_due_s = now
        self._flush_due_s = float("inf")
        self._reads: list[int] = []  # Not yet part of a heartbeat round.
        self._reading: tuple[int, int, list[int]] | None = None
        self._handover: handover.Handover | None = None
        self._noop_index = own.log.last_index + 1
        self._update_members(self._noop_index)
        self._append([(message.EntryKind.NOOP, b"")], now)
        self._heartbeat(now)

    @property
    def due_s(self) -> float:
        """Return when `tick` has something to do."""
        deadline_s = self._handover.deadline_s if self._handover else float("inf")
        return min(self._heartbeat_due_s, self._flush_due_s, deadline_s)

    @property
    def transferring(self) -> bool:
        """Tell whether the leadership is being handed over."""
        return self._handover is not None

    @property
    def handed_over(self) -> int | None:
        """Return the last round before the lease was given up, if it was."""
        return self._handover.round if self._handover else None

    @property
    def established(self) -> bool:
        """Tell whether an entry of this term is committed."""
        return self._replica.commit >= self._noop_index

    @property
    def change_pending(self) -> bool:
        """Tell whether a configuration change is uncommitted."""
        return self._replica.members.index > self._replica.commit

    @property
    def match(self) -> dict[message.VoterId, int]:
        """Return the last index that each member is known to hold."""
        return {member: known.match for member, known in self._members.items()}

    def confirmed_s(self, now: float) -> float:
        """Return when the newest heartbeat that a majority has answered was sent.

        The election itself does not count: a vote is no promise to refuse the next
        candidate, an answered heartbeat is.
        """
        own = self._replica

        def heard(voter: message.VoterId) -> float:
            if voter == own.own:
                return now
            known = self._members.get(voter)
            return known.heard_s if known else float("-inf")

        return own.members.quorum_value(heard, own.commit)

    def quorum_lost(self, now: float) -> bool:
        """Tell whether no majority has answered for an election timeout."""
        if self.handed_over is not None:
            return False  # No answer is asked for until the leader resumes.
        return now - self._contact_s(now) >= self._settings.election_min_s

    def catch_up_done(self, member: message.VoterId, now: float) -> bool:
        """Tell whether a learner may become a voter."""
        known = self._members.get(member)
        return (
            known is not None
            and known.phase is progress.Phase.REPLICATE
            and known.match + self._settings.catch_up_entries >= self._replica.commit
            and now - known.heard_s
            < self._settings.learner_heartbeat_s + self._settings.election_max_s
        )

    def tick(self, now: float) -> None:
        """Send heartbeats and commit indexes that are due."""
        if self._handover and now >= self._handover.deadline_s:
            self._resume(now)
        if now >= self._heartbeat_due_s:
            self._heartbeat(now)
        if now >= self._flush_due_s:
            self._flush(now)

    def propose(self, proposals: tuple[message.Propose, ...], now: float) -> None:
        """Append commands."""
        own = self._replica
        if self._handover:
            for proposal in proposals:
                self._refuse(proposal.proposal_id)
            return
        room = own.commit + self._settings.max_uncommitted - own.log.last_index
        fresh = now - self._contact_s(now) <= self._settings.lease_s
        taken = proposals[: max(room, 0)] if fresh else ()
        code = errors.ErrorCode.OVERLOADED if fresh else errors.ErrorCode.NO_QUORUM
        for refused in proposals[len(taken) :]:
            own.outbox.emit(message.ProposalRefused(refused.proposal_id, code, own.own))
        first = own.log.last_index + 1
        for index, proposal in enumerate(taken, first):
            own.outbox.emit(
                message.ProposalAccepted(proposal.proposal_id, index, own.term)
            )
        if taken:
            kind = message.EntryKind.COMMAND
            self._append([(kind, proposal.payload) for proposal in taken], now)

    def change(self, wanted: message.Change, now: float) -> None:
        """Append a new configuration, or refuse the change."""
        if self._handover:
            self._refuse(wanted.proposal_id)
            return
        own = self._replica
        target = config.changed(own.members.current, wanted)
        code = None
        if target is None:
            code = errors.ErrorCode.BAD_REQUEST
        elif not self._may_change(wanted, now):
            code = errors.ErrorCode.VERSION_CONFLICT
        if code is not None:
            own.outbox.emit(message.ProposalRefused(wanted.proposal_id, code, own.own))
            return
        index = own.log.last_index + 1
        own.outbox.emit(message.ProposalAccepted(wanted.proposal_id, index, own.term))
        self._append([(message.EntryKind.CONFIG, codec.pack(target))], now)

    def read(self, read_id: int, now: float) -> None:
        """Confirm leadership for a read."""
        if self._handover:
            self._replica.outbox.emit(message.ReadRefused(read_id, None))
            return
        self._reads.append(read_id)
        self._start_reads(now)

    def transfer(self, target: message.VoterId | None, now: float) -> None:
        """Take no more proposals and hand over once all is replicated."""
        voters = self._replica.members.current.voters
        successors = [voter for voter in voters if voter != self._replica.own]
        wanted = target in successors if target else bool(successors)
        if self._handover is None and wanted:
            deadline_s = now + self._settings.election_min_s
            self._handover = handover.Handover(target, deadline_s)
            self._hand_over(now)

    def end(self) -> None:
        """Refuse the open reads."""
        opened = [*(self._reading[2] if self._reading else ()), *self._reads]
        for read_id in opened:
            self._replica.outbox.emit(message.ReadRefused(read_id, None))

    def append_answered(self, reply: message.AppendReply, now: float) -> None:
        """Take a member's answer to entries, a heartbeat or a finished snapshot."""
        known = self._members.get(reply.sender)
        if known is None:
            return
        self._heard(known, reply.round)
        if not reply.success:
            if known.phase is progress.Phase.SNAPSHOT:
                return
            if reply.match + 1 < known.next or not known.probing:
                known.probe(min(reply.match + 1, known.next))
        elif known.acknowledged(min(reply.match, self._replica.log.last_index)):
            if known.match > self._replica.commit:
                self._advance(now)
            if known.sent_commit < min(known.match, self._replica.commit):
                self._arm_flush(now)
        if reply.sender in self._members:
            self._fill(reply.sender, known, now)
        self._finish_reads(now)
        self._hand_over(now)

    def member_started(self, member: message.VoterId, now: float) -> None:
        """Probe a member that has registered its boot.

        It has answered nothing so far, and a learner's next heartbeat may be far off.
        """
        known = self._members.get(member)
        if known is not None:
            known.probe(known.next)
            self._send_heartbeat(member, known, self._round, now)

    def chunk_answered(self, reply: message.SnapshotReply, now: float) -> None:
        """Take a member's answer to a snapshot chunk."""
        known = self._members.get(reply.sender)
        if known is None:
            return
        self._heard(known, reply.round)
        transfer = known.transfer
        if transfer is not None and transfer.index == reply.index:
            lost = reply.offset < known.offset and now - known.chunk_s >= RETRY_S
            if reply.offset >= known.offset or lost:
                known.offset = reply.offset
                self._send_chunk(reply.sender, known, now)
        self._finish_reads(now)

    def _hand_over(self, now: float) -> None:
        """Give up the lease and have the successor campaign, if it holds all."""
        own, open_ = self._replica, self._handover
        last = own.log.last_index
        if open_ is None or open_.round is not None:
            return
        if own.commit < last or not self.established or own.members.needs_repeat:
            return
        target = open_.choose(own.members.current, self._members, last)
        if target is None:
            return
        self.end()
        self._reading, self._reads = None, []
        # The lease ends here. When the leader resumes, an election timeout later, the
        # answers to the rounds up to this one are older than a lease lasts.
        open_.target, open_.round = target, self._round
        open_.deadline_s = now + self._settings.election_min_s
        own.send(message.TimeoutNow, target, open_.round)

    def _resume(self, now: float) -> None:
        """Lead on, since the successor has not taken over in time."""
        if self.handed_over is not None:
            self._started_s = now
        self._handover = None
        self._heartbeat(now)

    def _refuse(self, proposal_id: int) -> None:
        code = errors.ErrorCode.NOT_LEADER
        self._replica.outbox.emit(message.ProposalRefused(proposal_id, code, None))

    def _contact_s(self, now: float) -> float:
        return max(self._started_s, self.confirmed_s(now))

    def _may_change(self, wanted: message.Change, now: float) -> bool:
        own = self._replica
        if self.change_pending or not self.established:
            return False
        if isinstance(wanted, message.AddLearner | message.RemoveLearner):
            return True
        gone = getattr(wanted, "old", None) or getattr(wanted, "voter", None)
        for voter in own.members.added_voters:
            # A voter that was just added must hold its own entry before the next
            # change, unless it is the one that is taken out.
            known = self._members.get(voter)
            if voter != gone and known and known.match < own.members.index:
                return False
        new = getattr(wanted, "new", None)
        if isinstance(wanted, message.AddVoter):
            new = wanted.voter
        return new is None or self.catch_up_done(new, now)

    def _append(
        self, contents: list[tuple[message.EntryKind, bytes]], now: float
    ) -> None:
        own = self._replica
        first = own.log.last_index + 1
        own.append(
            tuple(
                message.Entry(index, own.term, kind, payload)
                for index, (kind, payload) in enumerate(contents, first)
            )
        )
        if contents[0][0] is message.EntryKind.CONFIG:
            self._update_members(first)
        for member, known in self._members.items():
            self._fill(member, known, now)
        # The own copy counts: the step's Persist precedes any effect of the commit.
        self._advance(now)

    def _advance(self, now: float) -> None:
        """Commit what a majority holds, if the last such entry is of this term."""
        own = self._replica
        last = own.log.last_index

        def held(voter: message.VoterId) -> int:
            if voter == own.own:
                return last
            known = self._members.get(voter)
            return known.match if known else 0

        changed = False
        while True:
            index = int(own.members.quorum_value(held, own.commit))
            if index <= own.commit or own.log.term_at(index) != own.term:
                break
            pending = self.change_pending
            own.commit_to(index)
            changed = True
            if not pending or self.change_pending:
                break
            # Fewer voters may be needed now that the change is committed.
            self._drop_members(now)
        if changed:
            if self._members:
                self._arm_flush(now)
            self._start_reads(now)
            members = own.members
            if self.established and not self.change_pending and members.needs_repeat:
                repeated = codec.pack(members.current)
                self._append([(message.EntryKind.CONFIG, repeated)], now)

    def _update_members(self, next_index: int) -> None:
        own = self._replica
        wanted = own.members.replicated_to(own.commit)
        wanted.pop(own.own, None)
        self._members = {
            member: self._members.get(member) or progress.Progress(next_index)
            for member in wanted
        }

    def _drop_members(self, now: float) -> None:
        """Tell removed members of the commit, then forget them."""
        before = dict(self._members)
        self._update_members(self._replica.log.last_index + 1)
        for member, known in before.items():
            if member not in self._members:
                self._send_heartbeat(member, known, 0, now)

    def _heard(self, known: progress.Progress, answered: int) -> None:
        known.acked_round = max(known.acked_round, min(answered, self._round))
        known.heard_s = max(
            known.heard_s, self._round_sent_s.get(answered, float("-inf"))
        )

    def _heartbeat(self, now: float) -> None:
        self._heartbeat_due_s = now + self._settings.heartbeat_s
        number = 0  # Answers to no round count while the lease is given up.
        if self.handed_over is None:
            self._next_round(now)
            number = self._round
        else:
            # The first one may be lost.
            own, successor = self._replica, self._handover.target
            own.send(message.TimeoutNow, successor, self._handover.round)
        voters = self._replica.members.voters(self._replica.commit)
        idle_s = self._settings.learner_heartbeat_s
        last = self._replica.log.last_index
        for member, known in self._members.items():
            catching_up = known.match < last and now - known.heard_s < 2 * idle_s
            if member in voters or catching_up or now - known.sent_s >= idle_s:
                self._send_heartbeat(member, known, number, now)

    def _next_round(self, now: float) -> None:
        self._round += 1
        self._round_sent_s[self._round] = now
        horizon_s = now - 2 * self._settings.election_max_s
        for old, sent_s in list(self._round_sent_s.items()):
            if sent_s >= horizon_s:
                break
            del self._round_sent_s[old]

    def _arm_flush(self, now: float) -> None:
        if self._flush_due_s == float("inf"):
            self._flush_due_s = now + self._settings.commit_flush_s

    def _flush(self, now: float) -> None:
        self._flush_due_s = float("inf")
        for member, known in self._members.items():
            behind = known.sent_commit < min(known.match, self._replica.commit)
            if behind and known.phase is progress.Phase.REPLICATE:
                self._send_heartbeat(member, known, 0, now)

    def _send_heartbeat(
        self,
        member: message.VoterId,
        known: progress.Progress,
        round_number: int,
        now: float,
    ) -> None:
        own = self._replica
        if known.phase is not progress.Phase.SNAPSHOT:
            if own.log.term_at(known.next - 1) is not None:
                self._send_append(member, known, (), round_number, now)
                return
            known.start_transfer(own.snapshot)
        # No data: the answer tells how much has arrived.
        known.sent_s = now
        sent = known.transfer
        own.send(
            message.SnapshotChunk,
            member,
            sent.index,
            sent.term,
            NO_CONFIG,
            known.offset,
            b"",
            False,
            round_number,
        )

    def _send_append(
        self,
        member: message.VoterId,
        known: progress.Progress,
        entries: tuple[message.Entry, ...],
        round_number: int,
        now: float,
    ) -> None:
        own = self._replica
        previous = known.next - 1
        known.sent_s = now
        known.sent_commit = min(own.commit, previous + len(entries))
        own.send(
            message.Append,
            member,
            previous,
            own.log.term_at(previous),
            entries,
            own.commit,
            round_number,
        )

    def _send_chunk(
        self, member: message.VoterId, known: progress.Progress, now: float
    ) -> None:
        sent = known.transfer
        start = known.offset
        end = min(start + self._settings.chunk_bytes, len(sent.data))
        last = end == len(sent.data)
        known.offset = end
        known.chunk_s = now
        self._replica.send(
            message.SnapshotChunk,
            member,
            sent.index,
            sent.term,
            sent.config if last else NO_CONFIG,
            start,
            sent.data[start:end],
            last,
            self._round,
        )

    def _fill(
        self, member: message.VoterId, known: progress.Progress, now: float
    ) -> None:
        """Send what a member lacks, as far as its window allows."""
        own = self._replica
        last = own.log.last_index
        if known.phase is progress.Phase.SNAPSHOT:
            return
        if own.log.term_at(known.next - 1) is None:
            known.start_transfer(own.snapshot)
            self._send_chunk(member, known, now)
            return
        if known.phase is progress.Phase.PROBE:
            if not known.probing and known.next <= last:
                known.probing = True
                batch = own.log.batch(known.next, self._settings.batch_bytes)
                self._send_append(member, known, batch, self._round, now)
            return
        while known.next <= last and len(known.in_flight) < self._settings.window:
            batch = own.log.batch(known.next, self._settings.batch_bytes)
            self._send_append(member, known, batch, self._round, now)
            known.next += len(batch)
            known.in_flight.append(known.next - 1)

    def _start_reads(self, now: float) -> None:
        if not self._reads or self._reading or not self.established:
            return
        self._next_round(now)
        self._reading = (self._round, self._replica.commit, self._reads)
        self._reads = []
        voters = self._replica.members.voters(self._replica.commit)
        for member, known in self._members.items():
            if member in voters:
                self._send_heartbeat(member, known, self._round, now)
        self._finish_reads(now)

    def _finish_reads(self, now: float) -> None:
        if self._reading is None:
            return
        own = self._replica

        def answered(voter: message.VoterId) -> int:
            if voter == own.own:
                return self._round
            known = self._members.get(voter)
            return known.acked_round if known else 0

        wanted, index, reads = self._reading
        if own.members.quorum_value(answered, own.commit) < wanted:
            return
        for read_id in reads:
            own.outbox.emit(message.ReadReady(read_id, index))
        self._reading = None
        self._start_reads(now)
