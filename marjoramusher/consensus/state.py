"""Settings of a node and the state loaded from its store."""

import msgspec

from . import message


class Settings(msgspec.Struct, frozen=True):
    """Timing and size constants of a node.

    Parameters
    ----------
    election_min_s, election_max_s : float
        Range of the randomized election timeout. A voter that heard from a leader
        less than `election_min_s` ago gives no vote.
    election_delay_s : float
        Added to the election timeout of a voter that should lead only if no other
        voter can. Its votes are not delayed.
    lease_s : float
        Lease that a heartbeat round gives the leader once a quorum has answered it,
        counted from when the round was sent. It is shorter than `election_min_s` by
        more than clocks drift in that time.
    learner_heartbeat_s : float
        Heartbeat interval of idle learners, which neither vote nor time out. These
        heartbeats only detect lost messages: entries and commit indexes are sent
        without waiting for them.
    commit_flush_s : float
        Longest delay before a new commit index is sent without entries.
    batch_bytes, max_in_flight : int
        Size of one `Append`, and how many of them may be unanswered per member. Their
        product takes 140 ms on a 15 Mbit/s link, so that heartbeats are not delayed
        for longer.
    chunk_bytes : int
        Size of one snapshot chunk.
    tail_bytes : int
        Size of the entries kept in memory below a snapshot, so that a member that is
        slightly behind needs no snapshot.
    max_learner_lag_entries : int
        How far a learner may be behind the commit index to become a voter.
    max_uncommitted_entries : int
        Number of uncommitted entries above which proposals are refused.
    requires_boot_registration : bool
        Whether another voter must have recorded a store's boot before the store votes
        or acknowledges entries. Tests switch it off to show what it guards against.
    """

    heartbeat_s: float = 0.25
    election_min_s: float = 1.0
    election_max_s: float = 1.5
    election_delay_s: float = 0.0
    lease_s: float = 0.9
    learner_heartbeat_s: float = 2.0
    commit_flush_s: float = 0.05
    batch_bytes: int = 64 * 1024
    max_in_flight: int = 4
    chunk_bytes: int = 64 * 1024
    tail_bytes: int = 1024 * 1024
    max_learner_lag_entries: int = 64
    max_uncommitted_entries: int = 10_000
    requires_boot_registration: bool = True


class Snapshot(msgspec.Struct, frozen=True):
    """State of the machine after the entry at `index`.

    Parameters
    ----------
    data : bytes
        A node uses only its length and slices, so a mapped file serves as well, which
        keeps a large state out of memory.
    """

    index: int
    term: int
    config: message.GroupConfig
    data: bytes


class NodeState(msgspec.Struct, frozen=True):
    """State loaded from the store when the node is made.

    Parameters
    ----------
    entries : tuple of Entry
        Entries without a gap. Those up to the snapshot's index are ignored.
    boot_counter : int
        Boot counter of the store, incremented and synced before the node is made.
    boots : tuple of (VoterId, int)
        Highest recorded boot of each peer, as written by `Persist.boots`.
    """

    hard_state: message.HardState = message.HardState()
    entries: tuple[message.Entry, ...] = ()
    snapshot: Snapshot | None = None
    boot_counter: int = 1
    boots: tuple[tuple[message.VoterId, int], ...] = ()
