"""State that a node keeps in every role."""

from ..core import codec, errors
from . import config, log, message, outbox, state


class Replica:
    """Log, members, term, vote and commit index of one node.

    Each change of synced state goes to the outbox as well. `epoch_checked` is false
    while the node hears from a recovered group and has not found its own committed
    entries in that group's log yet.

    Parameters
    ----------
    initial : GroupConfig or None
        Voters of a new group. They become its first entry, synced by the first step.
    """

    __slots__ = (
        "commit",
        "epoch",
        "epoch_checked",
        "group",
        "log",
        "members",
        "outbox",
        "own",
        "snapshot",
        "term",
        "voted_for",
    )

    def __init__(
        self,
        group: str,
        own: message.VoterId,
        loaded: state.NodeState,
        initial: message.GroupConfig | None,
    ) -> None:
        self.group = group
        self.own = own
        self.outbox = outbox.Outbox()
        self.term = loaded.hard_state.term
        self.voted_for = loaded.hard_state.voted_for
        self.snapshot = loaded.snapshot
        base = loaded.snapshot
        self.commit = base.index if base else 0
        entries = [each for each in loaded.entries if each.index > self.commit]
        self.log = log.Log(self.commit, base.term if base else 0, entries)
        self.members = config.Members(self.commit, base.config if base else None)
        for entry in log.configs(entries):
            self.members.add(entry)
        self.epoch_checked = True
        current = self.members.current
        self.epoch = current.epoch if current else 0
        new = not loaded.entries and base is None and self.term == 0
        if new and initial is not None and own in initial.voters:
            # The same entry at each initial voter, so their logs agree on it.
            payload = codec.pack(initial)
            self.append((message.Entry(1, 0, message.EntryKind.CONFIG, payload),))

    def set_term(self, term: int, voted_for: message.VoterId | None) -> None:
        """Take over a term and a vote."""
        self.term = term
        self.voted_for = voted_for
        self.outbox.persist_hard_state(message.HardState(term, voted_for))

    def append(
        self, entries: tuple[message.Entry, ...], truncate_from: int | None = None
    ) -> None:
        """Append entries, after dropping those from `truncate_from` on.

        Raises
        ------
        MarjoramusherError
            With code ``internal`` if a committed entry would be dropped.
        """
        if truncate_from is not None:
            if truncate_from <= self.commit:
                raise self.contradiction(truncate_from)
            self.log.truncate_from(truncate_from)
            self.members.truncate_from(truncate_from)
        self.log.append(entries)
        self.outbox.persist_entries(entries, truncate_from)
        for entry in log.configs(entries):
            self.members.add(entry)
            self.epoch = max(self.epoch, self.members.current.epoch)

    def contradiction(self, index: int) -> errors.MarjoramusherError:
        """Return the error for a committed entry that differs at the leader."""
        return errors.MarjoramusherError(
            errors.ErrorCode.INTERNAL,
            f"group {self.group}: entry {index} is committed "
            f"(commit index {self.commit}) and differs at the leader",
        )

    def commit_to(self, index: int) -> bool:
        """Raise the commit index; tell whether it has changed."""
        if index <= self.commit:
            return False
        self.outbox.emit(message.Commit(self.log.entries(self.commit + 1, index)))
        self.commit = index
        return True

    def restore(self, snapshot: state.Snapshot) -> None:
        """Replace log and members by a snapshot."""
        self.snapshot = snapshot
        self.log.reset(snapshot.index, snapshot.term)
        self.members.reset(snapshot.index, snapshot.config)
        self.commit = snapshot.index
        self.epoch = max(self.epoch, snapshot.config.epoch)
        self.outbox.emit(
            message.RestoreSnapshot(
                snapshot.index, snapshot.term, snapshot.config, snapshot.data
            )
        )

    def compact(self, index: int, data: bytes, tail_bytes: int) -> None:
        """Note that the store holds a snapshot up to `index`."""
        term = self.log.term_at(index)
        current = self.members.at(index)
        if index > self.commit or term is None or current is None:
            return
        self.snapshot = state.Snapshot(index, term, current, data)
        self.log.compact(index, tail_bytes)
        self.members.compact(index)

    def send(self, kind: type, receiver: message.VoterId, *fields: object) -> None:
        """Send a message with the present term."""
        self.send_in_term(self.term, kind, receiver, *fields)

    def send_in_term(
        self, term: int, kind: type, receiver: message.VoterId, *fields: object
    ) -> None:
        """Send a message that belongs to another term."""
        sent = kind(self.group, self.own, receiver, self.epoch, term, *fields)
        self.outbox.emit(message.Send(sent))
