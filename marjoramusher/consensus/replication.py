"""Leader duties: replication, commit, reads and configuration changes."""

from ..core import codec, errors
from . import config, handover, message, progress, raft_state, state

EMPTY_CONFIG = message.GroupConfig(())
CHUNK_RETRY_S = 0.5  # A snapshot chunk is resent if unanswered for this long.


class Leadership:
    """Leadership of one term, which starts with a NOOP entry.

    Parameters
    ----------
    raft : RaftState
        State of the node.
    now : float
        Time of the election, which counts as contact with a quorum.
    """

    __slots__ = (
        "_flush_due_s",
        "_handover",
        "_heartbeat_due_s",
        "_progress",
        "_noop_index",
        "_active_read_round",
        "_queued_reads",
        "_raft",
        "_round",
        "_round_sent_s",
        "_settings",
        "_started_s",
    )

    def __init__(
        self, raft: raft_state.RaftState, settings: state.Settings, now: float
    ) -> None:
        self._raft = raft
        self._settings = settings
        self._progress: dict[message.VoterId, progress.Progress] = {}
        self._round = 0
        self._round_sent_s: dict[int, float] = {}
        self._started_s = now
        self._heartbeat_due_s = now
        self._flush_due_s = float("inf")
        self._queued_reads: list[int] = []  # Reads that wait for the next round.
        # Heartbeat round, commit index at its start, and ids of its reads.
        self._active_read_round: tuple[int, int, list[int]] | None = None
        self._handover: handover.Handover | None = None
        self._noop_index = raft.log.last_index + 1
        self._update_progress(self._noop_index)
        self._append([(message.EntryKind.NOOP, b"")], now)
        self._heartbeat(now)

    @property
    def due_s(self) -> float:
        """Return when `tick` is next due."""
        deadline_s = self._handover.deadline_s if self._handover else float("inf")
        return min(self._heartbeat_due_s, self._flush_due_s, deadline_s)

    @property
    def is_transferring(self) -> bool:
        """Tell whether the leadership is being transferred."""
        return self._handover is not None

    @property
    def lease_end_round(self) -> int | None:
        """Return the last round before the lease was released, None if it is held."""
        return self._handover.lease_end_round if self._handover else None

    @property
    def has_committed_in_term(self) -> bool:
        """Tell whether an entry of this term is committed."""
        return self._raft.commit_index >= self._noop_index

    @property
    def is_change_pending(self) -> bool:
        """Tell whether a configuration change is uncommitted."""
        return self._raft.configs.index > self._raft.commit_index

    @property
    def match_indexes(self) -> dict[message.VoterId, int]:
        """Return the last index known to be held by each member."""
        return {member: peer.match_index for member, peer in self._progress.items()}

    def quorum_contact_s(self, now: float) -> float:
        """Return when the newest heartbeat round answered by a quorum was sent.

        The election itself does not count: an answered heartbeat is a promise to
        refuse other candidates for a while, a vote is not.
        """
        raft = self._raft

        def contact_s(voter: message.VoterId) -> float:
            if voter == raft.node_id:
                return now
            peer = self._progress.get(voter)
            return peer.contact_s if peer else float("-inf")

        return raft.configs.quorum_value(contact_s, raft.commit_index)

    def has_lost_quorum(self, now: float) -> bool:
        """Tell whether no quorum has answered for an election timeout."""
        if self.lease_end_round is not None:
            return False  # No rounds are sent until the leader resumes.
        return now - self._last_contact_s(now) >= self._settings.election_min_s

    def is_caught_up(self, member: message.VoterId, now: float) -> bool:
        """Tell whether a learner may become a voter."""
        peer = self._progress.get(member)
        return (
            peer is not None
            and peer.phase is progress.Phase.REPLICATE
            and peer.match_index + self._settings.max_learner_lag_entries
            >= self._raft.commit_index
            and now - peer.contact_s
            < self._settings.learner_heartbeat_s + self._settings.election_max_s
        )

    def tick(self, now: float) -> None:
        """Send due heartbeats and commit indexes, and abort an overdue transfer."""
        if self._handover and now >= self._handover.deadline_s:
            self._resume(now)
        if now >= self._heartbeat_due_s:
            self._heartbeat(now)
        if now >= self._flush_due_s:
            self._flush_commit_index(now)

    def propose(self, proposals: tuple[message.Propose, ...], now: float) -> None:
        """Append commands, or refuse them."""
        raft = self._raft
        if self._handover:
            for proposal in proposals:
                self._refuse_proposal(proposal.proposal_id)
            return
        capacity = (
            raft.commit_index
            + self._settings.max_uncommitted_entries
            - raft.log.last_index
        )
        has_fresh_quorum = now - self._last_contact_s(now) <= self._settings.lease_s
        accepted = proposals[: max(capacity, 0)] if has_fresh_quorum else ()
        code = (
            errors.ErrorCode.OVERLOADED
            if has_fresh_quorum
            else errors.ErrorCode.NO_QUORUM
        )
        for proposal in proposals[len(accepted) :]:
            raft.outbox.emit(
                message.ProposalRefused(proposal.proposal_id, code, raft.node_id)
            )
        first_index = raft.log.last_index + 1
        for index, proposal in enumerate(accepted, first_index):
            raft.outbox.emit(
                message.ProposalAccepted(proposal.proposal_id, index, raft.term)
            )
        if accepted:
            kind = message.EntryKind.COMMAND
            self._append([(kind, proposal.payload) for proposal in accepted], now)

    def change(self, change: message.Change, now: float) -> None:
        """Append a changed configuration, or refuse the change."""
        if self._handover:
            self._refuse_proposal(change.proposal_id)
            return
        raft = self._raft
        new_config = config.apply_change(raft.configs.current, change)
        code = None
        if new_config is None:
            code = errors.ErrorCode.BAD_REQUEST
        elif not self._is_change_allowed(change, now):
            code = errors.ErrorCode.VERSION_CONFLICT
        if code is not None:
            raft.outbox.emit(
                message.ProposalRefused(change.proposal_id, code, raft.node_id)
            )
            return
        index = raft.log.last_index + 1
        raft.outbox.emit(message.ProposalAccepted(change.proposal_id, index, raft.term))
        self._append([(message.EntryKind.CONFIG, codec.pack(new_config))], now)

    def read(self, read_id: int, now: float) -> None:
        """Confirm the leadership with a heartbeat round for a read."""
        if self._handover:
            self._raft.outbox.emit(message.ReadRefused(read_id, None))
            return
        self._queued_reads.append(read_id)
        self._start_read_round(now)

    def transfer(self, target: message.VoterId | None, now: float) -> None:
        """Stop accepting proposals and hand over once all entries are replicated."""
        voters = self._raft.configs.current.voters
        successors = [voter for voter in voters if voter != self._raft.node_id]
        can_transfer = target in successors if target else bool(successors)
        if self._handover is None and can_transfer:
            deadline_s = now + self._settings.election_min_s
            self._handover = handover.Handover(target, deadline_s)
            self._try_hand_over(now)

    def refuse_reads(self) -> None:
        """Refuse all pending reads."""
        open_reads = [
            *(self._active_read_round[2] if self._active_read_round else ()),
            *self._queued_reads,
        ]
        for read_id in open_reads:
            self._raft.outbox.emit(message.ReadRefused(read_id, None))

    def handle_append_reply(self, reply: message.AppendReply, now: float) -> None:
        """Process a reply to entries, a heartbeat or a completed snapshot."""
        peer = self._progress.get(reply.sender)
        if peer is None:
            return
        self._record_round_reply(peer, reply.round)
        if not reply.success:
            if peer.phase is progress.Phase.SNAPSHOT:
                return
            if reply.match_index + 1 < peer.next_index or not peer.is_probe_pending:
                peer.start_probing(min(reply.match_index + 1, peer.next_index))
        elif peer.record_match(min(reply.match_index, self._raft.log.last_index)):
            if peer.match_index > self._raft.commit_index:
                self._advance_commit(now)
            if peer.sent_commit_index < min(peer.match_index, self._raft.commit_index):
                self._schedule_commit_flush(now)
        if reply.sender in self._progress:
            self._send_missing_entries(reply.sender, peer, now)
        self._finish_read_round(now)
        self._try_hand_over(now)

    def handle_member_restart(self, member: message.VoterId, now: float) -> None:
        """Probe a member that has registered its boot.

        It has acknowledged nothing since its start, and the next heartbeat of an idle
        learner may be seconds away.
        """
        peer = self._progress.get(member)
        if peer is not None:
            peer.start_probing(peer.next_index)
            self._send_heartbeat(member, peer, self._round, now)

    def handle_snapshot_reply(self, reply: message.SnapshotReply, now: float) -> None:
        """Process a reply to a snapshot chunk."""
        peer = self._progress.get(reply.sender)
        if peer is None:
            return
        self._record_round_reply(peer, reply.round)
        snapshot = peer.snapshot
        if snapshot is not None and snapshot.index == reply.index:
            is_chunk_lost = (
                reply.offset < peer.snapshot_offset
                and now - peer.chunk_sent_s >= CHUNK_RETRY_S
            )
            if reply.offset >= peer.snapshot_offset or is_chunk_lost:
                peer.snapshot_offset = reply.offset
                self._send_chunk(reply.sender, peer, now)
        self._finish_read_round(now)

    def _try_hand_over(self, now: float) -> None:
        """Release the lease and let a successor that holds the whole log campaign."""
        raft, transfer = self._raft, self._handover
        last_index = raft.log.last_index
        if transfer is None or transfer.lease_end_round is not None:
            return
        if (
            raft.commit_index < last_index
            or not self.has_committed_in_term
            or raft.configs.needs_confirming_entry
        ):
            return
        successor = transfer.choose_successor(
            raft.configs.current, self._progress, last_index
        )
        if successor is None:
            return
        self.refuse_reads()
        self._active_read_round, self._queued_reads = None, []
        # The lease ends here. If the leader resumes, it does so an election timeout
        # later, when answers to the rounds up to this one are older than a lease.
        transfer.target, transfer.lease_end_round = successor, self._round
        transfer.deadline_s = now + self._settings.election_min_s
        raft.send(message.TimeoutNow, successor, transfer.lease_end_round)

    def _resume(self, now: float) -> None:
        """Abort the transfer, since the successor has not taken over in time."""
        if self.lease_end_round is not None:
            self._started_s = now
        self._handover = None
        self._heartbeat(now)

    def _refuse_proposal(self, proposal_id: int) -> None:
        code = errors.ErrorCode.NOT_LEADER
        self._raft.outbox.emit(message.ProposalRefused(proposal_id, code, None))

    def _last_contact_s(self, now: float) -> float:
        return max(self._started_s, self.quorum_contact_s(now))

    def _is_change_allowed(self, change: message.Change, now: float) -> bool:
        raft = self._raft
        if self.is_change_pending or not self.has_committed_in_term:
            return False
        if isinstance(change, message.AddLearner | message.RemoveLearner):
            return True
        removed = getattr(change, "old", None) or getattr(change, "voter", None)
        for voter in raft.configs.added_voters:
            # A voter that was just added must hold the entry that added it before the
            # next change, unless that change removes it.
            peer = self._progress.get(voter)
            if voter != removed and peer and peer.match_index < raft.configs.index:
                return False
        added = getattr(change, "new", None)
        if isinstance(change, message.AddVoter):
            added = change.voter
        return added is None or self.is_caught_up(added, now)

    def _append(
        self, contents: list[tuple[message.EntryKind, bytes]], now: float
    ) -> None:
        raft = self._raft
        first_index = raft.log.last_index + 1
        raft.append(
            tuple(
                message.Entry(index, raft.term, kind, payload)
                for index, (kind, payload) in enumerate(contents, first_index)
            )
        )
        if contents[0][0] is message.EntryKind.CONFIG:
            self._update_progress(first_index)
        for member, peer in self._progress.items():
            self._send_missing_entries(member, peer, now)
        # The leader's own copy counts at once, since the step's `Persist` precedes any
        # effect of the commit.
        self._advance_commit(now)

    def _advance_commit(self, now: float) -> None:
        """Commit the entries held by a quorum if the last of them is of this term."""
        raft = self._raft
        last_index = raft.log.last_index

        def match_index(voter: message.VoterId) -> int:
            if voter == raft.node_id:
                return last_index
            peer = self._progress.get(voter)
            return peer.match_index if peer else 0

        has_advanced = False
        while True:
            index = int(raft.configs.quorum_value(match_index, raft.commit_index))
            if index <= raft.commit_index or raft.log.term_at(index) != raft.term:
                break
            was_change_pending = self.is_change_pending
            raft.advance_commit(index)
            has_advanced = True
            if not was_change_pending or self.is_change_pending:
                break
            # The committed change may need fewer voters, so commit again with them.
            self._drop_removed_members(now)
        if has_advanced:
            if self._progress:
                self._schedule_commit_flush(now)
            self._start_read_round(now)
            configs = raft.configs
            if (
                self.has_committed_in_term
                and not self.is_change_pending
                and configs.needs_confirming_entry
            ):
                payload = codec.pack(configs.current)
                self._append([(message.EntryKind.CONFIG, payload)], now)

    def _update_progress(self, next_index: int) -> None:
        raft = self._raft
        members = raft.configs.replicated_members(raft.commit_index)
        members.pop(raft.node_id, None)
        self._progress = {
            member: self._progress.get(member) or progress.Progress(next_index)
            for member in members
        }

    def _drop_removed_members(self, now: float) -> None:
        """Send removed members the commit index, then stop replicating to them."""
        previous = dict(self._progress)
        self._update_progress(self._raft.log.last_index + 1)
        for member, peer in previous.items():
            if member not in self._progress:
                self._send_heartbeat(member, peer, 0, now)

    def _record_round_reply(self, peer: progress.Progress, round_number: int) -> None:
        peer.acked_round = max(peer.acked_round, min(round_number, self._round))
        peer.contact_s = max(
            peer.contact_s, self._round_sent_s.get(round_number, float("-inf"))
        )

    def _heartbeat(self, now: float) -> None:
        self._heartbeat_due_s = now + self._settings.heartbeat_s
        round_number = 0  # Sent while the lease is released; extends no lease.
        if self.lease_end_round is None:
            self._next_round(now)
            round_number = self._round
        else:
            # The first `TimeoutNow` may have been lost.
            raft, successor = self._raft, self._handover.target
            raft.send(message.TimeoutNow, successor, self._handover.lease_end_round)
        voters = self._raft.configs.voters(self._raft.commit_index)
        idle_s = self._settings.learner_heartbeat_s
        last_index = self._raft.log.last_index
        for member, peer in self._progress.items():
            is_catching_up = (
                peer.match_index < last_index and now - peer.contact_s < 2 * idle_s
            )
            if member in voters or is_catching_up or now - peer.last_sent_s >= idle_s:
                self._send_heartbeat(member, peer, round_number, now)

    def _next_round(self, now: float) -> None:
        self._round += 1
        self._round_sent_s[self._round] = now
        horizon_s = now - 2 * self._settings.election_max_s
        for number, sent_s in list(self._round_sent_s.items()):
            if sent_s >= horizon_s:
                break
            del self._round_sent_s[number]

    def _schedule_commit_flush(self, now: float) -> None:
        if self._flush_due_s == float("inf"):
            self._flush_due_s = now + self._settings.commit_flush_s

    def _flush_commit_index(self, now: float) -> None:
        self._flush_due_s = float("inf")
        for member, peer in self._progress.items():
            is_behind = peer.sent_commit_index < min(
                peer.match_index, self._raft.commit_index
            )
            if is_behind and peer.phase is progress.Phase.REPLICATE:
                self._send_heartbeat(member, peer, 0, now)

    def _send_heartbeat(
        self,
        member: message.VoterId,
        peer: progress.Progress,
        round_number: int,
        now: float,
    ) -> None:
        raft = self._raft
        if peer.phase is not progress.Phase.SNAPSHOT:
            if raft.log.term_at(peer.next_index - 1) is not None:
                self._send_append(member, peer, (), round_number, now)
                return
            peer.start_snapshot(raft.snapshot)
        # An empty chunk: the reply tells how much of the snapshot has arrived.
        peer.last_sent_s = now
        snapshot = peer.snapshot
        raft.send(
            message.SnapshotChunk,
            member,
            snapshot.index,
            snapshot.term,
            EMPTY_CONFIG,
            peer.snapshot_offset,
            b"",
            False,
            round_number,
        )

    def _send_append(
        self,
        member: message.VoterId,
        peer: progress.Progress,
        entries: tuple[message.Entry, ...],
        round_number: int,
        now: float,
    ) -> None:
        raft = self._raft
        prev_index = peer.next_index - 1
        peer.last_sent_s = now
        peer.sent_commit_index = min(raft.commit_index, prev_index + len(entries))
        raft.send(
            message.Append,
            member,
            prev_index,
            raft.log.term_at(prev_index),
            entries,
            raft.commit_index,
            round_number,
        )

    def _send_chunk(
        self, member: message.VoterId, peer: progress.Progress, now: float
    ) -> None:
        snapshot = peer.snapshot
        start_offset = peer.snapshot_offset
        end_offset = min(start_offset + self._settings.chunk_bytes, len(snapshot.data))
        is_last = end_offset == len(snapshot.data)
        peer.snapshot_offset = end_offset
        peer.chunk_sent_s = now
        self._raft.send(
            message.SnapshotChunk,
            member,
            snapshot.index,
            snapshot.term,
            snapshot.config if is_last else EMPTY_CONFIG,
            start_offset,
            snapshot.data[start_offset:end_offset],
            is_last,
            self._round,
        )

    def _send_missing_entries(
        self, member: message.VoterId, peer: progress.Progress, now: float
    ) -> None:
        """Send the entries that a member lacks, within its in-flight limit."""
        raft = self._raft
        last_index = raft.log.last_index
        if peer.phase is progress.Phase.SNAPSHOT:
            return
        if raft.log.term_at(peer.next_index - 1) is None:
            peer.start_snapshot(raft.snapshot)
            self._send_chunk(member, peer, now)
            return
        if peer.phase is progress.Phase.PROBE:
            if not peer.is_probe_pending and peer.next_index <= last_index:
                peer.is_probe_pending = True
                batch = raft.log.batch(peer.next_index, self._settings.batch_bytes)
                self._send_append(member, peer, batch, self._round, now)
            return
        while (
            peer.next_index <= last_index
            and len(peer.in_flight) < self._settings.max_in_flight
        ):
            batch = raft.log.batch(peer.next_index, self._settings.batch_bytes)
            self._send_append(member, peer, batch, self._round, now)
            peer.next_index += len(batch)
            peer.in_flight.append(peer.next_index - 1)

    def _start_read_round(self, now: float) -> None:
        if (
            not self._queued_reads
            or self._active_read_round
            or not self.has_committed_in_term
        ):
            return
        self._next_round(now)
        self._active_read_round = (
            self._round,
            self._raft.commit_index,
            self._queued_reads,
        )
        self._queued_reads = []
        voters = self._raft.configs.voters(self._raft.commit_index)
        for member, peer in self._progress.items():
            if member in voters:
                self._send_heartbeat(member, peer, self._round, now)
        self._finish_read_round(now)

    def _finish_read_round(self, now: float) -> None:
        if self._active_read_round is None:
            return
        raft = self._raft

        def acked_round(voter: message.VoterId) -> int:
            if voter == raft.node_id:
                return self._round
            peer = self._progress.get(voter)
            return peer.acked_round if peer else 0

        round_number, commit_index, read_ids = self._active_read_round
        if raft.configs.quorum_value(acked_round, raft.commit_index) < round_number:
            return
        for read_id in read_ids:
            raft.outbox.emit(message.ReadReady(read_id, commit_index))
        self._active_read_round = None
        self._start_read_round(now)
