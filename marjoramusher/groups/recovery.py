"""Forced recovery of a group whose majority is lost for good."""

from ..consensus import message, recovery, state
from ..storage import store


def recover_with_loss(
    kept: store.Store,
    survivor: message.VoterId,
) -> message.GroupConfig:
    """Make the survivor the only voter of a new group epoch, durably.

    The node of the group must not be running. Entries that the old majority had
    committed elsewhere are lost; what the survivor holds is kept.

    Raises
    ------
    StoreFailedError
        If the change can't be stored.
    """
    result = recovery.recover_with_loss(node_state(kept.load()), survivor)
    persist = result.persist
    kept.append(
        persist.hard_state, persist.truncate_from, persist.entries, persist.boots
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
