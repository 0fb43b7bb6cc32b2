"""Forced recovery of a group whose majority is lost for good."""

from ..consensus import message, recovery, state
from ..storage import store


def recover_with_loss(
    kept: store.Store,
    survivor: message.VoterId,
    commands: tuple[bytes, ...] = (),
) -> message.GroupConfig:
    """Make the survivor the only voter of a new group epoch, durably.

    The node of the group must not be running. Entries that the old majority had
    committed elsewhere are lost; what the survivor holds is kept.

    Parameters
    ----------
    commands : tuple of bytes
        First commands of the new epoch. They are stored together with it, so that no
        other command can come before them.

    Raises
    ------
    StoreFailedError
        If the change can't be stored.
    """
    result = recovery.recover_with_loss(node_state(kept.load()), survivor)
    persist = result.persist
    last = persist.entries[-1]
    first = tuple(
        message.Entry(index, last.term, message.EntryKind.COMMAND, command)
        for index, command in enumerate(commands, last.index + 1)
    )
    kept.append(
        persist.hard_state,
        persist.truncate_from,
        persist.entries + first,
        persist.boots,
    )
    return result.config


def node_state(stored: store.StoredState, boot: int = 1) -> state.NodeState:
    """Return what a node is made from."""
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
