"""Restart of a group whose majority is lost for good."""

import msgspec

from ..core import codec
from . import message, raft_state, state


class Recovery(msgspec.Struct, frozen=True):
    """What an operator's forced recovery writes to the survivor's store.

    Parameters
    ----------
    config : GroupConfig
        The new members: the survivor as the only voter, in the next epoch.
    persist : Persist
        Next term and a configuration entry, to be synced before the node is made.
    """

    config: message.GroupConfig
    persist: message.Persist


def recover_with_loss(
    loaded: state.NodeState,
    survivor: message.VoterId,
) -> Recovery:
    """Give the survivor's way out of a lost majority.

    All entries of the survivor are kept, committed or not: dropping one may lose
    what a caller was told, while keeping one only adds what a caller asked for.
    """
    own = raft_state.Replica("", survivor, loaded, None)
    config = message.GroupConfig((survivor,), (), own.epoch + 1)
    term = max(loaded.hard_state.term, own.log.last_term) + 1
    entry = message.Entry(
        own.log.last_index + 1, term, message.EntryKind.CONFIG, codec.pack(config)
    )
    return Recovery(config, message.Persist(message.HardState(term), entries=(entry,)))
