"""Replication progress of one member, as tracked by the leader."""

import collections
import enum

from . import state


class Phase(enum.Enum):
    """How entries are replicated to a member."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress:
    """Replication state of one member.

    Parameters
    ----------
    next_index : int
        Index of the first entry to send.
    """

    __slots__ = (
        "acked_round",
        "chunk_sent_s",
        "contact_s",
        "in_flight",
        "match_index",
        "next_index",
        "snapshot_offset",
        "phase",
        "is_probe_pending",
        "sent_commit_index",
        "last_sent_s",
        "snapshot",
    )

    def __init__(self, next_index: int) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.phase = Phase.PROBE
        self.is_probe_pending = False  # Whether a probe with entries is unanswered.
        # Last index of each unanswered `Append`.
        self.in_flight: collections.deque[int] = collections.deque()
        self.snapshot: state.Snapshot | None = None
        self.snapshot_offset = 0  # End of the snapshot data sent so far.
        self.chunk_sent_s = float("-inf")
        self.acked_round = 0
        self.contact_s = float("-inf")  # When the last acknowledged round was sent.
        self.last_sent_s = float("-inf")
        self.sent_commit_index = 0

    def start_probing(self, next_index: int) -> None:
        """Switch to probing, which sends one batch of entries at a time."""
        self.phase = Phase.PROBE
        self.next_index = next_index
        self.is_probe_pending = False
        self.in_flight.clear()
        self.snapshot = None

    def start_snapshot(self, snapshot: state.Snapshot) -> None:
        """Switch to sending a snapshot from its start."""
        self.phase = Phase.SNAPSHOT
        self.in_flight.clear()
        self.snapshot = snapshot
        self.snapshot_offset = 0

    def record_match(self, match_index: int) -> bool:
        """Record that the member holds all entries up to an index.

        Returns
        -------
        bool
            Whether the member's match index has advanced.
        """
        if self.phase is Phase.SNAPSHOT:
            if match_index < self.snapshot.index:
                return False
            self.start_probing(match_index + 1)
        is_new = match_index > self.match_index
        self.match_index = max(self.match_index, match_index)
        if self.phase is Phase.PROBE:
            self.phase = Phase.REPLICATE
            self.next_index = match_index + 1
            self.is_probe_pending = False
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        return is_new
