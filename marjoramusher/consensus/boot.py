"""Registration of process starts, which reveals an old copy of a store.

A voter that comes back with an old copy of its data folder has forgotten votes and
entries that it acknowledged. Its boot counter has gone back as well, so a peer that
has seen the same or a higher counter from that store tells it so.
"""

import random

from . import message, raft_state

NONCE_BITS = 32
COUNTER_BITS = 24  # 80 starts a day for 570 years.
RETRY_MIN_S = 0.25
RETRY_MAX_S = 30.0  # A voter that stays away costs one message in this time.


def combine(epoch: int, counter: int, nonce: int) -> int:
    """Return a boot: epoch, counter, and random bits that tell a resend from a copy.

    The epoch makes a recovered survivor new to its old peers, even if it goes on in
    the same process. An older copy of its store is of an older epoch and not heard.
    """
    return (((epoch << COUNTER_BITS) | counter) << NONCE_BITS) | nonce


class Registry:
    """Register the own boot at the voters and keep the boots of peers.

    Parameters
    ----------
    counter : int
        Boot counter of the own store.
    boots : tuple of (VoterId, int)
        Boots of peers from the store.
    needed : bool
        Whether the node must be registered before it votes or acknowledges.
    active : bool
        False for a diskless instance, whose store id is new at each start.
    """

    __slots__ = (
        "_acknowledged",
        "_active",
        "_boot",
        "_due_s",
        "_heard",
        "_interval_s",
        "_replica",
        "_seen",
        "registered",
    )

    def __init__(
        self,
        own: raft_state.Replica,
        counter: int,
        boots: tuple[tuple[message.VoterId, int], ...],
        rng: random.Random,
        needed: bool,
        active: bool,
        now: float,
    ) -> None:
        self._replica = own
        self._boot = combine(own.epoch, counter, rng.getrandbits(NONCE_BITS))
        self._seen = dict(boots)
        self._acknowledged: set[message.VoterId] = set()
        self._heard: set[message.VoterId] = set()
        self._active = active
        self._due_s = now
        self._interval_s = RETRY_MIN_S
        self.registered = not needed

    @property
    def due_s(self) -> float:
        """Return when `tick` has to send again."""
        return self._due_s if self._missing() else float("inf")

    def tick(self, now: float) -> None:
        """Register at the voters that have not answered yet."""
        if now < self._due_s:
            return
        missing = self._missing()
        for voter in missing:
            self._register(voter)
        if missing:
            self._due_s = now + self._interval_s
            self._interval_s = min(2 * self._interval_s, RETRY_MAX_S)

    def heard_from(self, peer: message.VoterId) -> None:
        """Register at a peer that leads or asks for a vote.

        This also serves a node that does not know its group yet.
        """
        if not self.registered and self._active and peer not in self._heard:
            self._heard.add(peer)
            self._register(peer)

    def receive(self, sent: message.BootRegister, held: int) -> None:
        """Record the boot of a peer, or tell it that its store is old.

        Parameters
        ----------
        held : int
            Last index that the peer's store is known to have acknowledged. It
            reveals a copy that was made since the last process start, which the
            counter can't.
        """
        known = self._seen.get(sent.sender, 0)
        start = sent.boot >> NONCE_BITS
        # In a later term another leader may have cut acknowledged entries off.
        shorter = sent.last_index < held and sent.term <= self._replica.term
        stale = sent.boot != known and (start <= known >> NONCE_BITS or shorter)
        if not stale and sent.boot != known:
            self._seen[sent.sender] = sent.boot
            self._replica.outbox.persist_boot(sent.sender, sent.boot)
        self._replica.send(message.BootReply, sent.sender, sent.boot, stale)

    def answered(self, reply: message.BootReply) -> bool:
        """Take an answer; return False if the own store is old."""
        if reply.boot != self._boot:
            return True
        if reply.stale:
            return False
        self._acknowledged.add(reply.sender)
        voters = self._replica.members.voters(self._replica.commit)
        if reply.sender in voters or reply.sender in self._heard:
            self.registered = True
        return True

    def _register(self, peer: message.VoterId) -> None:
        last_index = self._replica.log.last_index
        self._replica.send(message.BootRegister, peer, self._boot, last_index)

    def _missing(self) -> list[message.VoterId]:
        if not self._active:
            return []
        own = self._replica.own
        current = self._replica.members.current
        wanted = set() if self.registered else set(self._heard)
        if current and own in current.voters + current.learners:
            wanted.update(current.voters)
        return sorted(wanted - self._acknowledged - {own})
