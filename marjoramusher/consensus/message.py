"""Messages between voters, and the events and effects of a node."""

import enum
from typing import TypeAlias

import msgspec

from ..core import errors


class VoterId(msgspec.Struct, frozen=True, order=True):
    """One store of one instance.

    Parameters
    ----------
    instance : str
        Instance id from the settings.
    store : str
        Random id made with the data folder, or for each process start of a
        diskless instance.
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
        Raised only when an operator restarts the group after a lost majority.
    """

    voters: tuple[VoterId, ...]
    learners: tuple[VoterId, ...] = ()
    epoch: int = 0


class EntryKind(enum.Enum):
    """What an entry holds."""

    COMMAND = "command"
    CONFIG = "config"
    NOOP = "noop"


class Entry(msgspec.Struct, frozen=True):
    """One entry of the replicated log; `payload` of a CONFIG is a `GroupConfig`."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True):
    """What must be synced before a vote or an acknowledgement is sent."""

    term: int = 0
    voted_for: VoterId | None = None


# Messages between voters. `sender` is filled in by the node.


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages of one group; encoded without field names."""

    group: str
    sender: VoterId
    receiver: VoterId
    epoch: int
    term: int


class VoteRequest(Message, frozen=True, tag=True):
    """Ask for a vote; with `pre_vote`, ask whether one would be given.

    Parameters
    ----------
    transfer : int or None
        Round of the `TimeoutNow` that the leader of the term before has sent.
    """

    last_index: int
    last_term: int
    pre_vote: bool
    transfer: int | None = None


class VoteReply(Message, frozen=True, tag=True):
    """Answer to a `VoteRequest`."""

    granted: bool
    pre_vote: bool


class Append(Message, frozen=True, tag=True):
    """Replicate entries, or renew the leader's authority with none.

    Parameters
    ----------
    round : int
        Number of the heartbeat round, echoed by the reply; it serves check-quorum,
        read barriers and the leader's lease.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(Message, frozen=True, tag=True):
    """Answer to an `Append` or a finished snapshot.

    Parameters
    ----------
    match : int
        Last index known to be replicated if `success`, else a hint where to go on.
    """

    success: bool
    match: int
    round: int


class SnapshotChunk(Message, frozen=True, tag=True):
    """A part of a snapshot for a member whose next entry is compacted.

    Parameters
    ----------
    config : GroupConfig
        Members at `index` in the last chunk, empty in the others.
    """

    index: int
    index_term: int
    config: GroupConfig
    offset: int
    data: bytes
    last: bool
    round: int


class SnapshotReply(Message, frozen=True, tag=True):
    """Tell how much of a snapshot has arrived; the next chunk starts at `offset`."""

    index: int
    offset: int
    round: int


class BootRegister(Message, frozen=True, tag=True):
    """Announce a process start of a store.

    Parameters
    ----------
    boot : int
        Made by `boot.combine`.
    last_index : int
        Last entry of the store; a leader that knows of a later one that the store
        acknowledged answers ``stale``.
    """

    boot: int
    last_index: int


class BootReply(Message, frozen=True, tag=True):
    """Tell whether a boot is new to the peer; ``stale`` means an old data folder."""

    boot: int
    stale: bool


class TimeoutNow(Message, frozen=True, tag=True):
    """Have a voter that holds the whole log campaign at once.

    Parameters
    ----------
    round : int
        Last heartbeat round before the leader gave up its lease. A voter that has
        seen a later one knows that the leader has resumed.
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
    """Time has passed."""


class Receive(msgspec.Struct, frozen=True):
    """A message has arrived."""

    message: AnyMessage


class Propose(msgspec.Struct, frozen=True):
    """A client of the group wants a command committed."""

    proposal_id: int
    payload: bytes


class ProposeBatch(msgspec.Struct, frozen=True):
    """Several proposals at once: one `Persist` and one `Append` for each member."""

    proposals: tuple[Propose, ...]


class ReplaceVoter(msgspec.Struct, frozen=True):
    """Put a caught-up learner in the place of the old store of the same instance."""

    proposal_id: int
    old: VoterId
    new: VoterId


class AddVoter(msgspec.Struct, frozen=True):
    """Promote a caught-up learner."""

    proposal_id: int
    voter: VoterId


class RemoveVoter(msgspec.Struct, frozen=True):
    """Take a voter out of the group."""

    proposal_id: int
    voter: VoterId


class AddLearner(msgspec.Struct, frozen=True):
    """Replicate to a member that does not vote."""

    proposal_id: int
    learner: VoterId


class RemoveLearner(msgspec.Struct, frozen=True):
    """Stop replicating to a learner."""

    proposal_id: int
    learner: VoterId


class TransferLeadership(msgspec.Struct, frozen=True):
    """Hand the leadership over; ignored by a node that doesn't lead.

    Parameters
    ----------
    target : VoterId or None
        The voter that shall lead, ``None`` for any that holds the whole log.
    """

    target: VoterId | None = None


class ReadBarrier(msgspec.Struct, frozen=True):
    """Ask for an index from which a linearizable read can be served."""

    read_id: int


class Compacted(msgspec.Struct, frozen=True):
    """The store holds a snapshot up to `index`; earlier entries are gone."""

    index: int
    data: bytes


class StoreFailed(msgspec.Struct, frozen=True):
    """The store can't sync; the node must neither vote, acknowledge nor lead."""


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


# Effects of a node, to be carried out in order.


class Persist(msgspec.Struct, frozen=True):
    """Sync before any later effect of the same step is carried out.

    Parameters
    ----------
    truncate_from : int or None
        First index to drop before `entries` are appended.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    boots: tuple[tuple[VoterId, int], ...] = ()


class Send(msgspec.Struct, frozen=True):
    """Send a message to `message.receiver`."""

    message: AnyMessage


class Commit(msgspec.Struct, frozen=True):
    """Apply these entries in order."""

    entries: tuple[Entry, ...]


class ProposalAccepted(msgspec.Struct, frozen=True):
    """A proposal has its index; it is not committed yet."""

    proposal_id: int
    index: int
    term: int


class ProposalRefused(msgspec.Struct, frozen=True):
    """A proposal was not appended."""

    proposal_id: int
    error: errors.ErrorCode
    leader: VoterId | None


class ReadReady(msgspec.Struct, frozen=True):
    """A read may be served once `index` is applied."""

    read_id: int
    index: int


class ReadRefused(msgspec.Struct, frozen=True):
    """A read barrier could not be had."""

    read_id: int
    leader: VoterId | None


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Replace store and machine by this snapshot."""

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
    """The members in force have changed."""

    config: GroupConfig


class StaleStore(msgspec.Struct, frozen=True):
    """The store is an old copy: discard it and start anew.

    Parameters
    ----------
    group_only : bool
        Only this group's state is to be discarded, since a recovery with loss has
        dropped entries that are committed here.
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
