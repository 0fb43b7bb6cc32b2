"""State of a node that is common to all roles."""

from ..core import codec, errors
from . import config, log, message, outbox, state


class RaftState:
    """Log, members, term, vote and commit index of one node.

    Changes of durable state are also put into the outbox. `is_epoch_verified` is false
    from the first message of a recovered group until that group's log is known to
    contain all entries committed here.

    Parameters
    ----------
    initial : GroupConfig or None
        Configuration of a new group. It becomes the first log entry, which the first
        step persists.
    """

    __slots__ = (
        "commit_index",
        "epoch",
        "is_epoch_verified",
        "group",
        "log",
        "configs",
        "outbox",
        "node_id",
        "snapshot",
        "term",
        "voted_for",
    )

    def __init__(
        self,
        group: str,
        node_id: message.VoterId,
        stored_state: state.NodeState,
        initial: message.GroupConfig | None,
    ) -> None:
        self.group = group
        self.node_id = node_id
        self.outbox = outbox.Outbox()
        self.term = stored_state.hard_state.term
        self.voted_for = stored_state.hard_state.voted_for
        self.snapshot = stored_state.snapshot
        snapshot = stored_state.snapshot
        self.commit_index = snapshot.index if snapshot else 0
        entries = [
            entry for entry in stored_state.entries if entry.index > self.commit_index
        ]
        self.log = log.Log(self.commit_index, snapshot.term if snapshot else 0, entries)
        self.configs = config.ConfigHistory(
            self.commit_index, snapshot.config if snapshot else None
        )
        for entry in log.config_entries(entries):
            self.configs.add(entry)
        self.is_epoch_verified = True
        current_config = self.configs.current
        self.epoch = current_config.epoch if current_config else 0
        is_new_group = not stored_state.entries and snapshot is None and self.term == 0
        if is_new_group and initial is not None and node_id in initial.voters:
            # All initial voters append the same entry, so their logs agree on it.
            payload = codec.pack(initial)
            self.append((message.Entry(1, 0, message.EntryKind.CONFIG, payload),))

    def set_term(self, term: int, voted_for: message.VoterId | None) -> None:
        """Set and persist the term and the vote."""
        self.term = term
        self.voted_for = voted_for
        self.outbox.persist_hard_state(message.HardState(term, voted_for))

    def append(
        self, entries: tuple[message.Entry, ...], truncate_from: int | None = None
    ) -> None:
        """Append entries, after truncating the log from `truncate_from` on.

        Raises
        ------
        MarjoramusherError
            With code ``internal`` if a committed entry would be truncated.
        """
        if truncate_from is not None:
            if truncate_from <= self.commit_index:
                raise self.committed_entry_conflict(truncate_from)
            self.log.truncate_from(truncate_from)
            self.configs.truncate_from(truncate_from)
        self.log.append(entries)
        self.outbox.persist_entries(entries, truncate_from)
        for entry in log.config_entries(entries):
            self.configs.add(entry)
            self.epoch = max(self.epoch, self.configs.current.epoch)

    def committed_entry_conflict(self, index: int) -> errors.MarjoramusherError:
        """Return the error for a committed entry that differs from the leader's."""
        return errors.MarjoramusherError(
            errors.ErrorCode.INTERNAL,
            f"group {self.group}: entry {index} is committed "
            f"(commit index {self.commit_index}) but differs at the leader",
        )

    def advance_commit(self, index: int) -> bool:
        """Advance the commit index; return False if it is already there."""
        if index <= self.commit_index:
            return False
        self.outbox.emit(message.Commit(self.log.entries(self.commit_index + 1, index)))
        self.commit_index = index
        return True

    def restore(self, snapshot: state.Snapshot) -> None:
        """Replace the log and the configurations by a snapshot."""
        self.snapshot = snapshot
        self.log.reset(snapshot.index, snapshot.term)
        self.configs.reset(snapshot.index, snapshot.config)
        self.commit_index = snapshot.index
        self.epoch = max(self.epoch, snapshot.config.epoch)
        self.outbox.emit(
            message.RestoreSnapshot(
                snapshot.index, snapshot.term, snapshot.config, snapshot.data
            )
        )

    def compact(self, index: int, data: bytes, tail_bytes: int) -> None:
        """Compact the log now that the store holds a snapshot up to `index`.

        The last `tail_bytes` of entries stay in memory.
        """
        term = self.log.term_at(index)
        current_config = self.configs.at(index)
        if index > self.commit_index or term is None or current_config is None:
            return
        self.snapshot = state.Snapshot(index, term, current_config, data)
        self.log.compact(index, tail_bytes)
        self.configs.compact(index)

    def send(
        self, message_type: type, receiver: message.VoterId, *fields: object
    ) -> None:
        """Send a message of the current term."""
        self.send_in_term(self.term, message_type, receiver, *fields)

    def send_in_term(
        self, term: int, message_type: type, receiver: message.VoterId, *fields: object
    ) -> None:
        """Send a message of a given term."""
        outgoing = message_type(
            self.group, self.node_id, receiver, self.epoch, term, *fields
        )
        self.outbox.emit(message.Send(outgoing))
