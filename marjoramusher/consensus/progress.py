"""What a leader knows of one member."""

import collections
import enum

from . import state


class Phase(enum.Enum):
    """How a member is brought up to date."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress:
    """Replication state of one member.

    Parameters
    ----------
    next_index : int
        First entry to send.
    """

    __slots__ = (
        "acked_round",
        "chunk_s",
        "heard_s",
        "in_flight",
        "match",
        "next",
        "offset",
        "phase",
        "probing",
        "sent_commit",
        "sent_s",
        "transfer",
    )

    def __init__(self, next_index: int) -> None:
        self.match = 0
        self.next = next_index
        self.phase = Phase.PROBE
        self.probing = False  # A probe with entries is unanswered.
        self.in_flight: collections.deque[int] = collections.deque()
        self.transfer: state.Snapshot | None = None
        self.offset = 0  # End of the snapshot data sent.
        self.chunk_s = float("-inf")
        self.acked_round = 0
        self.heard_s = float("-inf")  # When the newest answered round was sent.
        self.sent_s = float("-inf")
        self.sent_commit = 0

    def probe(self, next_index: int) -> None:
        """Go back to one unanswered message at a time."""
        self.phase = Phase.PROBE
        self.next = next_index
        self.probing = False
        self.in_flight.clear()
        self.transfer = None

    def start_transfer(self, snapshot: state.Snapshot) -> None:
        """Send a snapshot from its start."""
        self.phase = Phase.SNAPSHOT
        self.in_flight.clear()
        self.transfer = snapshot
        self.offset = 0

    def acknowledged(self, match: int) -> bool:
        """Note that the member holds all up to `match`; tell whether that is new."""
        if self.phase is Phase.SNAPSHOT:
            if match < self.transfer.index:
                return False
            self.probe(match + 1)
        news = match > self.match
        self.match = max(self.match, match)
        if self.phase is Phase.PROBE:
            self.phase = Phase.REPLICATE
            self.next = match + 1
            self.probing = False
        self.next = max(self.next, self.match + 1)
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()
        return news
