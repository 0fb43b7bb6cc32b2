"""What a node is made from: settings and the state loaded from its store."""

import msgspec

from . import message


class Settings(msgspec.Struct, frozen=True):
    """Timing and size constants of a node.

    Parameters
    ----------
    election_min_s, election_max_s : float
        Range of the randomized election timeout. A voter that heard from a leader
        less than `election_min_s` ago gives no vote.
    patience_s : float
        Added to the election timeout of a voter that should lead only if no other
        can. Its votes are not delayed.
    lease_s : float
        How long a confirmed heartbeat round keeps the quorum fresh, counted from
        when it was sent. It is below `election_min_s` by more than clocks drift.
    learner_heartbeat_s : float
        Heartbeat interval of idle learners, which neither vote nor time out. It only
        serves to find a lost message: entries and commit indexes are sent at once.
    commit_flush_s : float
        Longest wait before a new commit index is sent without entries.
    batch_bytes, window : int
        Size of one `Append`, and how many may be unanswered for each member. Their
        product is 140 ms of a 15 Mbit/s link, so that heartbeats are not held up.
    chunk_bytes : int
        Size of one snapshot chunk.
    tail_bytes : int
        Entries kept in memory below a snapshot, so that a member which is slightly
        behind needs no snapshot.
    catch_up_entries : int
        How far behind the commit index a learner may be to become a voter.
    max_uncommitted : int
        Proposals beyond this number of uncommitted entries are refused.
    boot_rule : bool
        Whether a store must be registered at another voter before it votes or
        acknowledges. Tests switch it off to show what it guards against.
    """

    heartbeat_s: float = 0.25
    election_min_s: float = 1.0
    election_max_s: float = 1.5
    patience_s: float = 0.0
    lease_s: float = 0.9
    learner_heartbeat_s: float = 2.0
    commit_flush_s: float = 0.05
    batch_bytes: int = 64 * 1024
    window: int = 4
    chunk_bytes: int = 64 * 1024
    tail_bytes: int = 1024 * 1024
    catch_up_entries: int = 64
    max_uncommitted: int = 10_000
    boot_rule: bool = True


class Snapshot(msgspec.Struct, frozen=True):
    """State of the machine up to `index`.

    Parameters
    ----------
    data : bytes
        A node uses only its length and slices, so a mapped file serves as well and
        keeps a large state out of memory.
    """

    index: int
    term: int
    config: message.GroupConfig
    data: bytes


class NodeState(msgspec.Struct, frozen=True):
    """What the store holds when the node is made.

    Parameters
    ----------
    entries : tuple of Entry
        Entries without a gap; those up to the snapshot's index are ignored.
    boot : int
        Boot counter of the store, raised and synced before the node is made.
    boots : tuple of (VoterId, int)
        Highest boot seen of each peer, as given in `Persist.boots`.
    """

    hard_state: message.HardState = message.HardState()
    entries: tuple[message.Entry, ...] = ()
    snapshot: Snapshot | None = None
    boot: int = 1
    boots: tuple[tuple[message.VoterId, int], ...] = ()
