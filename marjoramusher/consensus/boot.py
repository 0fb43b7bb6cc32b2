"""Boot registration, which detects stores restored from an old copy.

A voter whose data folder was restored from an old copy has lost votes and entries that
it acknowledged. Its boot counter has gone back as well, so a peer that recorded the
same or a higher counter for that store reports the store as stale.
"""

import random

from . import message, raft_state

NONCE_BITS = 32
COUNTER_BITS = 24  # Enough for 80 starts a day for 570 years.
RETRY_MIN_S = 0.25
RETRY_MAX_S = 30.0  # An unreachable voter costs one message per interval.


def encode_boot(epoch: int, counter: int, nonce: int) -> int:
    """Return the identifier of a process start.

    It consists of the group epoch, the boot counter and a random nonce. The nonce
    distinguishes a resent registration from one of a copied store. The epoch makes the
    boot of a recovery's survivor newer than the one its peers recorded, even if its
    process was not restarted. An older copy of the survivor's store belongs to an older
    epoch, so its messages are ignored.
    """
    return (((epoch << COUNTER_BITS) | counter) << NONCE_BITS) | nonce


class Registry:
    """Registers this node's boot with the voters and records the boots of peers.

    Parameters
    ----------
    counter : int
        Boot counter of this node's store.
    peer_boots : tuple of (VoterId, int)
        Boots of peers, as loaded from the store.
    is_required : bool
        Whether the node must be registered before it votes or acknowledges.
    is_enabled : bool
        Whether this node registers its boots. False for a diskless instance, whose
        store id is new at each start.
    """

    __slots__ = (
        "_acknowledged_by",
        "_is_enabled",
        "_boot",
        "_due_s",
        "_contacted_peers",
        "_retry_interval_s",
        "_raft",
        "_peer_boots",
        "is_registered",
    )

    def __init__(
        self,
        raft: raft_state.RaftState,
        counter: int,
        peer_boots: tuple[tuple[message.VoterId, int], ...],
        rng: random.Random,
        is_required: bool,
        is_enabled: bool,
        now: float,
    ) -> None:
        self._raft = raft
        self._boot = encode_boot(raft.epoch, counter, rng.getrandbits(NONCE_BITS))
        self._peer_boots = dict(peer_boots)
        self._acknowledged_by: set[message.VoterId] = set()
        self._contacted_peers: set[message.VoterId] = set()
        self._is_enabled = is_enabled
        self._due_s = now
        self._retry_interval_s = RETRY_MIN_S
        self.is_registered = not is_required

    @property
    def due_s(self) -> float:
        """Return when `tick` next has a registration to send."""
        return self._due_s if self._pending_peers() else float("inf")

    def tick(self, now: float) -> None:
        """Send due registrations to the peers that have not acknowledged one."""
        if now < self._due_s:
            return
        pending = self._pending_peers()
        for voter in pending:
            self._register(voter)
        if pending:
            self._due_s = now + self._retry_interval_s
            self._retry_interval_s = min(2 * self._retry_interval_s, RETRY_MAX_S)

    def register_with(self, peer: message.VoterId) -> None:
        """Register with a peer that leads or requests a vote.

        A node that does not know its group's members yet is registered this way.
        """
        if (
            not self.is_registered
            and self._is_enabled
            and peer not in self._contacted_peers
        ):
            self._contacted_peers.add(peer)
            self._register(peer)

    def handle_register(
        self, request: message.BootRegister, acknowledged_index: int
    ) -> None:
        """Record the boot of a peer, or reply that its store is stale.

        Parameters
        ----------
        acknowledged_index : int
            Last index that the peer's store is known to have acknowledged. It reveals
            a copy made since the last process start, which the boot counter does not.
        """
        known_boot = self._peer_boots.get(request.sender, 0)
        start_number = request.boot >> NONCE_BITS  # Epoch and boot counter.
        # In a later term another leader may have truncated acknowledged entries.
        lacks_acknowledged_entries = (
            request.last_index < acknowledged_index and request.term <= self._raft.term
        )
        is_stale = request.boot != known_boot and (
            start_number <= known_boot >> NONCE_BITS or lacks_acknowledged_entries
        )
        if not is_stale and request.boot != known_boot:
            self._peer_boots[request.sender] = request.boot
            self._raft.outbox.persist_boot(request.sender, request.boot)
        self._raft.send(message.BootReply, request.sender, request.boot, is_stale)

    def handle_reply(self, reply: message.BootReply) -> bool:
        """Process a reply to a registration; return False if the store is stale."""
        if reply.boot != self._boot:
            return True
        if reply.stale:
            return False
        self._acknowledged_by.add(reply.sender)
        voters = self._raft.configs.voters(self._raft.commit_index)
        if reply.sender in voters or reply.sender in self._contacted_peers:
            self.is_registered = True
        return True

    def _register(self, peer: message.VoterId) -> None:
        last_index = self._raft.log.last_index
        self._raft.send(message.BootRegister, peer, self._boot, last_index)

    def _pending_peers(self) -> list[message.VoterId]:
        if not self._is_enabled:
            return []
        node_id = self._raft.node_id
        config = self._raft.configs.current
        required_peers = set() if self.is_registered else set(self._contacted_peers)
        if config and node_id in config.voters + config.learners:
            required_peers.update(config.voters)
        return sorted(required_peers - self._acknowledged_by - {node_id})
