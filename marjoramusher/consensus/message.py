"""Messages between members, and the events and effects of a node."""

import enum
from typing import TypeAlias

import msgspec

from ..core import errors


class VoterId(msgspec.Struct, frozen=True, order=True):
    """Identity of a member: one store of one instance.

    Parameters
    ----------
    instance : str
        Instance id from the settings.
    store : str
        Random id, created with the data folder or, for a diskless instance, at each
        process start.
    """

    instance: str
    store: str


class Role(enum.Enum):
    """Role of a node in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class GroupConfig(msgspec.Struct, frozen=True):
    """Members of a group.

    Parameters
    ----------
    epoch : int
        Incremented only when an operator recovers the group after it has lost its
        majority.
    """

    voters: tuple[VoterId, ...]
    learners: tuple[VoterId, ...] = ()
    epoch: int = 0


class EntryKind(enum.Enum):
    """Content of a log entry."""

    COMMAND = "command"
    CONFIG = "config"
    NOOP = "noop"


class Entry(msgspec.Struct, frozen=True):
    """Entry of the replicated log. The payload of a CONFIG is a `GroupConfig`."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, which are synced before a vote or acknowledgement is sent."""

    term: int = 0
    voted_for: VoterId | None = None


# Messages between members.


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages of a group. Messages are encoded without field names."""

    group: str
    sender: VoterId
    receiver: VoterId
    epoch: int
    term: int


class VoteRequest(Message, frozen=True, tag=True):
    """Request a vote or, with `pre_vote`, ask whether a vote would be granted.

    Parameters
    ----------
    transfer_round : int or None
        Round of the `TimeoutNow` from the previous term's leader; None unless this is
        a campaign of the successor in a leadership transfer.
    """

    last_index: int
    last_term: int
    pre_vote: bool
    transfer_round: int | None = None


class VoteReply(Message, frozen=True, tag=True):
    """Answer to a `VoteRequest`."""

    granted: bool
    pre_vote: bool


class Append(Message, frozen=True, tag=True):
    """Replicate entries, or act as a heartbeat if there are none.

    Parameters
    ----------
    round : int
        Number of the heartbeat round, echoed by the reply. The check for a lost
        quorum, read barriers and the leader's lease are based on it.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AppendReply(Message, frozen=True, tag=True):
    """Answer to an `Append` or to a completed snapshot.

    Parameters
    ----------
    match_index : int
        Last index known to be replicated if `success`, otherwise a hint where to probe
        next.
    """

    success: bool
    match_index: int
    round: int


class SnapshotChunk(Message, frozen=True, tag=True):
    """Part of a snapshot for a member whose next entry is compacted at the leader.

    Parameters
    ----------
    config : GroupConfig
        Configuration at `index` in the last chunk, empty in the others.
    """

    index: int
    index_term: int
    config: GroupConfig
    offset: int
    data: bytes
    last: bool
    round: int


class SnapshotReply(Message, frozen=True, tag=True):
    """Report how much of a snapshot has arrived. The next chunk starts at `offset`."""

    index: int
    offset: int
    round: int


class BootRegister(Message, frozen=True, tag=True):
    """Register a process start of a store.

    Parameters
    ----------
    boot : int
        Identifier of the process start, made by `boot.encode_boot`.
    last_index : int
        Index of the store's last entry. A leader to which the store has acknowledged
        a later one answers with ``stale``.
    """

    boot: int
    last_index: int


class BootReply(Message, frozen=True, tag=True):
    """Acknowledge a boot; ``stale`` means that the store is an old copy."""

    boot: int
    stale: bool


class TimeoutNow(Message, frozen=True, tag=True):
    """Make a voter that holds the whole log campaign at once.

    Parameters
    ----------
    round : int
        Last heartbeat round before the leader released its lease. A voter that has
        received a later round knows that the leader has resumed.
    """

    round: int


AnyMessage: TypeAlias = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | BootRegister
    | BootReply
    | TimeoutNow
)


# Events of a node.


class Tick(msgspec.Struct, frozen=True):
    """Time has passed, so timers may be due."""


class Receive(msgspec.Struct, frozen=True):
    """A message has arrived."""

    message: AnyMessage


class Propose(msgspec.Struct, frozen=True):
    """A caller proposes a command."""

    proposal_id: int
    payload: bytes


class ProposeBatch(msgspec.Struct, frozen=True):
    """Several proposals, which share one `Persist` and one `Append` per member."""

    proposals: tuple[Propose, ...]


class ReplaceVoter(msgspec.Struct, frozen=True):
    """Replace a voter by a learner that has caught up."""

    proposal_id: int
    old: VoterId
    new: VoterId


class AddVoter(msgspec.Struct, frozen=True):
    """Promote a learner that has caught up to a voter."""

    proposal_id: int
    voter: VoterId


class RemoveVoter(msgspec.Struct, frozen=True):
    """Remove a voter from the group."""

    proposal_id: int
    voter: VoterId


class AddLearner(msgspec.Struct, frozen=True):
    """Add a member that receives entries but does not vote."""

    proposal_id: int
    learner: VoterId


class RemoveLearner(msgspec.Struct, frozen=True):
    """Remove a learner from the group."""

    proposal_id: int
    learner: VoterId


class TransferLeadership(msgspec.Struct, frozen=True):
    """Transfer the leadership to another voter; ignored unless the node leads.

    Parameters
    ----------
    target : VoterId or None
        The new leader, ``None`` for any voter that holds the whole log.
    """

    target: VoterId | None = None


class ReadBarrier(msgspec.Struct, frozen=True):
    """Request an index from which a linearizable read can be served."""

    read_id: int


class Compacted(msgspec.Struct, frozen=True):
    """The store holds a snapshot up to `index`, and has dropped the entries before."""

    index: int
    data: bytes


class StoreFailed(msgspec.Struct, frozen=True):
    """The store failed, so the node must not vote, acknowledge or lead any more."""


Change: TypeAlias = ReplaceVoter | AddVoter | RemoveVoter | AddLearner | RemoveLearner

Event: TypeAlias = (
    Tick
    | Receive
    | Propose
    | ProposeBatch
    | Change
    | TransferLeadership
    | ReadBarrier
    | Compacted
    | StoreFailed
)


# Effects of a node, which are carried out in order.


class Persist(msgspec.Struct, frozen=True):
    """Write and sync this before any later effect of the same step.

    Parameters
    ----------
    truncate_from : int or None
        Index from which the log is truncated before `entries` are appended.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    boots: tuple[tuple[VoterId, int], ...] = ()


class Send(msgspec.Struct, frozen=True):
    """Send a message to `message.receiver`."""

    message: AnyMessage


class Commit(msgspec.Struct, frozen=True):
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


class ProposalAccepted(msgspec.Struct, frozen=True):
    """A proposal was appended at an index but is not committed yet."""

    proposal_id: int
    index: int
    term: int


class ProposalRefused(msgspec.Struct, frozen=True):
    """A proposal or change was refused and not appended."""

    proposal_id: int
    error: errors.ErrorCode
    leader: VoterId | None


class ReadReady(msgspec.Struct, frozen=True):
    """A read can be served once `index` is applied."""

    read_id: int
    index: int


class ReadRefused(msgspec.Struct, frozen=True):
    """A read barrier was refused, since the leadership could not be confirmed."""

    read_id: int
    leader: VoterId | None


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Replace the contents of the store and the machine by a snapshot."""

    index: int
    term: int
    config: GroupConfig
    data: bytes


class RoleChanged(msgspec.Struct, frozen=True):
    """The role, the term or the known leader has changed."""

    role: Role
    term: int
    leader: VoterId | None


class ConfigChanged(msgspec.Struct, frozen=True):
    """The configuration in force has changed."""

    config: GroupConfig


class StaleStore(msgspec.Struct, frozen=True):
    """The store is stale and must be discarded.

    Parameters
    ----------
    group_only : bool
        Whether only this group's state must be discarded, since the group was
        recovered with loss and has lost entries that are committed here.
    """

    group_only: bool = False


Effect: TypeAlias = (
    Persist
    | Send
    | Commit
    | ProposalAccepted
    | ProposalRefused
    | ReadReady
    | ReadRefused
    | RestoreSnapshot
    | RoleChanged
    | ConfigChanged
    | StaleStore
)
