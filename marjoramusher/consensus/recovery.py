"""Forced recovery of a group that has permanently lost its majority."""

import msgspec

from ..core import codec
from . import message, raft_state, state


class Recovery(msgspec.Struct, frozen=True):
    """State that a forced recovery writes to the survivor's store.

    Parameters
    ----------
    config : GroupConfig
        Configuration of the next epoch, with the survivor as the only voter.
    persist : Persist
        Next term and a configuration entry, to be synced before the node is made.
    """

    config: message.GroupConfig
    persist: message.Persist


def recover_with_loss(
    stored_state: state.NodeState,
    survivor: message.VoterId,
) -> Recovery:
    """Make the survivor of a lost majority the only voter of a new epoch.

    All entries of the survivor are kept, committed or not. Dropping one could lose a
    command that was acknowledged to its caller, while keeping one only applies a
    command that a caller has requested.
    """
    raft = raft_state.RaftState("", survivor, stored_state, None)
    config = message.GroupConfig((survivor,), (), raft.epoch + 1)
    term = max(stored_state.hard_state.term, raft.log.last_term) + 1
    entry = message.Entry(
        raft.log.last_index + 1, term, message.EntryKind.CONFIG, codec.pack(config)
    )
    return Recovery(config, message.Persist(message.HardState(term), entries=(entry,)))
