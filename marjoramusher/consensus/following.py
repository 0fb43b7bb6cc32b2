"""Processing of a leader's entries and snapshots by a follower."""

from . import message, raft_state, state


class Follower:
    """Accepts entries and snapshot chunks from the leader of the current term.

    Parameters
    ----------
    raft : RaftState
        State of the node.
    """

    __slots__ = ("_snapshot_key", "_received_data", "_raft")

    def __init__(self, raft: raft_state.RaftState) -> None:
        self._raft = raft
        self._snapshot_key: tuple[message.VoterId, int, int] | None = None
        self._received_data = bytearray()

    def leader_lacks_committed_entries(
        self, request: message.Append | message.SnapshotChunk
    ) -> bool:
        """Tell whether a recovered group's leader lacks entries committed here.

        A leader that has them never sends entries from below this node's commit index:
        its first message starts at its last entry, and the conflict hints of this node
        are never below its commit index. Both have the same entry at that index.
        """
        raft = self._raft
        if raft.is_epoch_verified:
            return False
        if isinstance(request, message.SnapshotChunk):
            return request.index <= raft.commit_index
        local_term = raft.log.term_at(request.prev_index)
        if request.prev_index < raft.commit_index:
            return True
        raft.is_epoch_verified = local_term == request.prev_term
        return not raft.is_epoch_verified and request.prev_index == raft.commit_index

    def handle_append(self, request: message.Append) -> None:
        """Append the entries if they match the log, and reply."""
        raft = self._raft
        prev_index, entries = request.prev_index, request.entries
        match_index = prev_index + len(entries)
        if prev_index < raft.commit_index:
            # The logs are identical up to the commit index.
            entries = entries[raft.commit_index - prev_index :]
            prev_index = raft.commit_index
            match_index = max(match_index, prev_index)
        elif raft.log.term_at(prev_index) != request.prev_term:
            if prev_index == raft.commit_index:
                raise raft.committed_entry_conflict(prev_index)
            hint = raft.log.conflict_hint(prev_index, raft.commit_index)
            raft.send(message.AppendReply, request.sender, False, hint, request.round)
            return
        for position, entry in enumerate(entries):
            term = raft.log.term_at(entry.index)
            if term != entry.term:
                truncate_from = None if term is None else entry.index
                raft.append(entries[position:], truncate_from)
                break
        raft.advance_commit(min(request.commit_index, match_index))
        if request.entries or request.round:
            raft.send(
                message.AppendReply, request.sender, True, match_index, request.round
            )

    def handle_chunk(self, chunk: message.SnapshotChunk) -> None:
        """Store a snapshot chunk, restore a complete snapshot, and reply."""
        raft = self._raft
        # The log may already hold the last entry that the snapshot covers.
        if (
            raft.log.term_at(chunk.index) == chunk.index_term
            and chunk.index > raft.commit_index
        ):
            raft.advance_commit(chunk.index)
        if chunk.index <= raft.commit_index:
            raft.is_epoch_verified = True
            self._snapshot_key = None
            self._received_data = bytearray()
            raft.send(
                message.AppendReply, chunk.sender, True, raft.commit_index, chunk.round
            )
            return
        snapshot_key = (chunk.sender, chunk.index, chunk.index_term)
        if snapshot_key != self._snapshot_key:
            self._snapshot_key = snapshot_key
            self._received_data = bytearray()
        if chunk.offset == len(self._received_data):
            self._received_data += chunk.data
            if chunk.last:
                data = bytes(self._received_data)
                self._snapshot_key = None
                self._received_data = bytearray()
                raft.is_epoch_verified = True
                raft.restore(
                    state.Snapshot(chunk.index, chunk.index_term, chunk.config, data)
                )
                raft.send(
                    message.AppendReply, chunk.sender, True, chunk.index, chunk.round
                )
                return
        raft.send(
            message.SnapshotReply,
            chunk.sender,
            chunk.index,
            len(self._received_data),
            chunk.round,
        )
