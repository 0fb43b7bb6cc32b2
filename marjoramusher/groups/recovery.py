"""Forced recovery of a group that has permanently lost its majority."""

from ..consensus import message, recovery, state
from ..storage import store


def recover_with_loss(
    group_store: store.Store,
    survivor: message.VoterId,
    commands: tuple[bytes, ...] = (),
) -> message.GroupConfig:
    """Make the survivor the only voter of a new epoch in its store.

    The node of the group must not be running. Committed entries that the survivor
    lacks are lost; all entries that it holds are kept.

    Parameters
    ----------
    commands : tuple of bytes
        First commands of the new epoch. They are stored in the same append as the
        configuration, so that no other command can precede them.

    Raises
    ------
    StoreFailedError
        If the change can't be stored.
    """
    recovered = recovery.recover_with_loss(node_state(group_store.load()), survivor)
    persist = recovered.persist
    config_entry = persist.entries[-1]
    command_entries = tuple(
        message.Entry(index, config_entry.term, message.EntryKind.COMMAND, command)
        for index, command in enumerate(commands, config_entry.index + 1)
    )
    group_store.append(
        persist.hard_state,
        persist.truncate_from,
        persist.entries + command_entries,
        persist.boots,
    )
    return recovered.config


def node_state(stored: store.StoredState, boot: int = 1) -> state.NodeState:
    """Convert the contents of a store to the state from which a node is made."""
    snapshot = stored.snapshot
    return state.NodeState(
        stored.hard_state,
        stored.entries,
        snapshot
        and state.Snapshot(
            snapshot.index, snapshot.term, snapshot.config, snapshot.data
        ),
        boot,
        tuple(stored.boots.items()),
    )
