"""What a node does with a leader's entries and snapshots."""

from . import message, raft_state, state


class Follower:
    """Take entries and snapshot chunks from the leader of the present term.

    Parameters
    ----------
    own : Replica
        State of the node.
    """

    __slots__ = ("_arriving", "_data", "_replica")

    def __init__(self, own: raft_state.Replica) -> None:
        self._replica = own
        self._arriving: tuple[message.VoterId, int, int] | None = None
        self._data = bytearray()

    def diverged(self, sent: message.Append | message.SnapshotChunk) -> bool:
        """Tell whether the leader of a recovered group lacks committed entries.

        A leader that has them never starts below this node's commit index: its first
        message starts at its last entry, and every hint is at or above that index.
        """
        own = self._replica
        if own.epoch_checked:
            return False
        if isinstance(sent, message.SnapshotChunk):
            return sent.index <= own.commit
        known = own.log.term_at(sent.prev_index)
        if sent.prev_index < own.commit:
            return True
        own.epoch_checked = known == sent.prev_term
        return not own.epoch_checked and sent.prev_index == own.commit

    def append(self, sent: message.Append) -> None:
        """Take entries that fit and answer."""
        own = self._replica
        previous, entries = sent.prev_index, sent.entries
        match = previous + len(entries)
        if previous < own.commit:
            # Up to the commit index the leader's log is the same as this one.
            entries = entries[own.commit - previous :]
            previous = own.commit
            match = max(match, previous)
        elif own.log.term_at(previous) != sent.prev_term:
            if previous == own.commit:
                raise own.contradiction(previous)
            hint = own.log.conflict_hint(previous, own.commit)
            own.send(message.AppendReply, sent.sender, False, hint, sent.round)
            return
        for position, entry in enumerate(entries):
            term = own.log.term_at(entry.index)
            if term != entry.term:
                cut = None if term is None else entry.index
                own.append(entries[position:], cut)
                break
        own.commit_to(min(sent.commit, match))
        if sent.entries or sent.round:
            own.send(message.AppendReply, sent.sender, True, match, sent.round)

    def chunk(self, sent: message.SnapshotChunk) -> None:
        """Take a part of a snapshot and answer."""
        own = self._replica
        if own.log.term_at(sent.index) == sent.index_term and sent.index > own.commit:
            own.commit_to(sent.index)
        if sent.index <= own.commit:
            own.epoch_checked = True
            self._arriving = None
            self._data = bytearray()
            own.send(message.AppendReply, sent.sender, True, own.commit, sent.round)
            return
        key = (sent.sender, sent.index, sent.index_term)
        if key != self._arriving:
            self._arriving = key
            self._data = bytearray()
        if sent.offset == len(self._data):
            self._data += sent.data
            if sent.last:
                data = bytes(self._data)
                self._arriving = None
                self._data = bytearray()
                own.epoch_checked = True
                own.restore(
                    state.Snapshot(sent.index, sent.index_term, sent.config, data)
                )
                own.send(message.AppendReply, sent.sender, True, sent.index, sent.round)
                return
        own.send(
            message.SnapshotReply,
            sent.sender,
            sent.index,
            len(self._data),
            sent.round,
        )
