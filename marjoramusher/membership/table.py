"""Table of the members of a cluster, as a state machine without I/O.

It takes timer ticks and received heartbeats, and returns the heartbeats to send and the
changes of members.
"""

import zlib
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from ..core import codec
from . import member

HEARTBEAT_S = 1.0
SUSPECT_S = 3.0  # three lost heartbeats
DOWN_S = 6.0
DOWN_HEARTBEAT_S = 2.0  # bounds the time until a repaired link is noticed
# Minimum time between two full exchanges with a peer. The members that two instances
# consider down differ for a while after each failure, and so do the digests.
FULL_EXCHANGE_S = 5.0
FORGET_S = 3600.0  # silence after which a member is removed from the table
# Maximum rate of heartbeats to instances of other failure domains. With more of these
# instances, the heartbeat interval and the timeouts of `SUSPECT_S` and `DOWN_S` grow in
# proportion. With 46 instances, a heartbeat to each of them every second costs 2.5% of
# a core.
OUTSIDE_HEARTBEATS_PER_S = 12
# The own description is repeated, since a heartbeat that carries it may get lost.
HEARTBEATS_PER_DESCRIPTION = 10


class TimerTicked(msgspec.Struct, frozen=True):
    """The timer has ticked."""


class HeartbeatReceived(msgspec.Struct, frozen=True):
    """A heartbeat has arrived."""

    heartbeat: member.Heartbeat


class OwnMemberChanged(msgspec.Struct, frozen=True):
    """The own description has changed.

    Parameters
    ----------
    own : Member
        New description. The table ignores its incarnation and version and uses its own.
    """

    own: member.Member


Event: TypeAlias = TimerTicked | HeartbeatReceived | OwnMemberChanged


class SendHeartbeat(msgspec.Struct, frozen=True):
    """Send a heartbeat to an address."""

    address: str
    heartbeat: member.Heartbeat


class MemberChanged(msgspec.Struct, frozen=True):
    """A member is new, or its description or status has changed.

    Parameters
    ----------
    before : MemberView or None
        Member before the change; ``None`` if it is new.
    """

    view: member.MemberView
    before: member.MemberView | None


class MemberRefused(msgspec.Struct, frozen=True):
    """An instance of another cluster has been described and was not added."""

    other: member.Member


Effect: TypeAlias = SendHeartbeat | MemberChanged | MemberRefused


class _Peer(msgspec.Struct):
    """State of another member.

    Parameters
    ----------
    last_exchange_s : float
        Time of the last full exchange of descriptions with the peer.
    is_heard_directly : bool
        Whether a heartbeat of its current incarnation has arrived from the peer itself.
    announced_stamp : tuple of int
        Incarnation of the peer and own version stamp at the time when the own
        description was last sent to it.
    """

    view: member.MemberView
    last_heard_s: float
    last_sent_s: float
    last_exchange_s: float
    is_heard_directly: bool = False
    announced_stamp: tuple[int, int, int] = (0, 0, 0)


class Table:
    """Members of the cluster as one instance sees them.

    Parameters
    ----------
    own : Member
        Description of this instance.
    seeds : iterable of str
        Addresses that get heartbeats even before their instances are known.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_due_s", "_effects", "_heartbeat_rounds", "_own", "_peers", "_seeds")

    def __init__(self, own: member.Member, seeds: Iterable[str], now: float) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._peers: dict[str, _Peer] = {}
        self._due_s = now
        self._heartbeat_rounds = 0
        self._effects: list[Effect] = []

    @property
    def own(self) -> member.Member:
        """Return the description of this instance."""
        return self._own

    @property
    def views(self) -> tuple[member.MemberView, ...]:
        """Return all members, including this instance, ordered by id."""
        views = [peer.view for peer in self._peers.values()]
        views.append(member.MemberView(self._own, member.Status.ALIVE))
        return tuple(sorted(views, key=lambda view: view.member.instance_id))

    @property
    def due_s(self) -> float:
        """Return the time at which the next heartbeats are due."""
        return self._due_s

    @property
    def highest_revision(self) -> int:
        """Return the highest configuration revision in force at any known member."""
        revisions = [p.view.member.records_revision for p in self._peers.values()]
        return max([self._own.records_revision, *revisions])

    def view(self, instance_id: str) -> member.MemberView | None:
        """Return a member, ``None`` if it is not known."""
        if instance_id == self._own.instance_id:
            return member.MemberView(self._own, member.Status.ALIVE)
        peer = self._peers.get(instance_id)
        return peer.view if peer else None

    def step(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return its effects."""
        match event:
            case TimerTicked():
                self._tick(now)
            case HeartbeatReceived(heartbeat=heartbeat):
                self._receive_heartbeat(heartbeat, now)
            case OwnMemberChanged(own=own):
                self._replace_own(own, now)
        effects, self._effects = self._effects, []
        return effects

    def _tick(self, now: float) -> None:
        other_domain_factor = self._other_domain_factor()
        for instance_id, peer in list(self._peers.items()):
            silence_s = now - peer.last_heard_s
            factor = other_domain_factor if self._is_in_other_domain(peer) else 1.0
            if silence_s >= FORGET_S:
                del self._peers[instance_id]
            elif silence_s >= DOWN_S * factor:
                self._update_view(peer, status=member.Status.DOWN)
            elif silence_s >= SUSPECT_S * factor:
                self._update_view(peer, status=member.Status.SUSPECT)
        if now < self._due_s:
            return
        # After a late tick, the next round comes early to return to the schedule, but
        # not before half an interval.
        self._due_s = max(self._due_s + HEARTBEAT_S, now + HEARTBEAT_S / 2)
        self._heartbeat_rounds += 1
        digest = self._digest()
        for peer in self._peers.values():
            interval_s = HEARTBEAT_S * (
                other_domain_factor if self._is_in_other_domain(peer) else 1.0
            )
            if peer.view.status is member.Status.DOWN:
                interval_s = max(interval_s, DOWN_HEARTBEAT_S)
            elif (
                peer.view.member.incarnation,
                *self._own.version_stamp,
            ) != peer.announced_stamp:
                # The peer does not have the current own description yet.
                interval_s = 0.0
            # This code runs once every `HEARTBEAT_S`, so the interval is rounded to the
            # nearest multiple of it.
            if now - peer.last_sent_s >= interval_s - HEARTBEAT_S / 2:
                self._send_periodic(peer, digest, now)
        known_addresses = {
            peer.view.member.peer_address for peer in self._peers.values()
        }
        for seed in self._seeds:
            if seed not in known_addresses:
                heartbeat = self._make_heartbeat(
                    digest, members=(self._own,), wants_reply=True
                )
                self._effects.append(SendHeartbeat(seed, heartbeat))

    def _is_in_other_domain(self, peer: _Peer) -> bool:
        return peer.view.member.failure_domain != self._own.failure_domain

    def _other_domain_factor(self) -> float:
        """Return the factor on interval and timeouts for other failure domains."""
        other_domain_count = sum(
            self._is_in_other_domain(peer) for peer in self._peers.values()
        )
        return max(1.0, other_domain_count / OUTSIDE_HEARTBEATS_PER_S)

    def _send_periodic(self, peer: _Peer, digest: int, now: float) -> None:
        announced_stamp = (peer.view.member.incarnation, *self._own.version_stamp)
        is_description_due = (
            announced_stamp != peer.announced_stamp
            or not peer.is_heard_directly
            or peer.view.status is not member.Status.ALIVE
            or self._heartbeat_rounds % HEARTBEATS_PER_DESCRIPTION == 0
        )
        self._send_heartbeat(
            peer, now, (self._own,) if is_description_due else (), digest=digest
        )

    def _receive_heartbeat(self, heartbeat: member.Heartbeat, now: float) -> None:
        if heartbeat.instance_id == self._own.instance_id:
            return
        for description in heartbeat.members:
            self._merge_member(description, now, heartbeat.instance_id)
        peer = self._peers.get(heartbeat.instance_id)
        if peer is None:
            return
        known = peer.view.member
        if heartbeat.incarnation < known.incarnation:
            # The instance has restarted with a clock that is behind. The known
            # description makes it choose a higher incarnation.
            self._send_heartbeat(peer, now, (known,))
            return
        peer.last_heard_s = now
        peer.is_heard_directly = True
        revision = max(heartbeat.revision, known.records_revision)
        if revision != known.records_revision:
            known = msgspec.structs.replace(known, records_revision=revision)
        self._update_view(peer, known, member.Status.ALIVE)
        lacks_description = (
            heartbeat.incarnation,
            heartbeat.version,
        ) > known.version_stamp
        is_exchange_due = (
            heartbeat.digest != self._digest()
            and now - peer.last_exchange_s >= FULL_EXCHANGE_S
        )
        if is_exchange_due:
            peer.last_exchange_s = now
            self._send_heartbeat(
                peer, now, tuple(self._live_members()), lacks_description
            )
        elif heartbeat.wants_reply or lacks_description:
            self._send_heartbeat(peer, now, (self._own,), lacks_description)

    def _merge_member(
        self, description: member.Member, now: float, sender_id: str
    ) -> None:
        if description.instance_id == self._own.instance_id:
            if description.incarnation > self._own.incarnation or (
                description.incarnation == self._own.incarnation
                and description.store_id != self._own.store_id
            ):
                # The incarnation is already in use, by an earlier start of this
                # instance or by another process with its id. A higher one replaces it.
                self._own = msgspec.structs.replace(
                    self._own, incarnation=description.incarnation + 1
                )
            return
        own_cluster = self._own.cluster_id
        if own_cluster and description.cluster_id not in ("", own_cluster):
            self._effects.append(MemberRefused(description))
            return
        peer = self._peers.get(description.instance_id)
        if peer is None:
            view = member.MemberView(description, member.Status.ALIVE)
            self._peers[description.instance_id] = _Peer(
                view, now, now - HEARTBEAT_S, now - FULL_EXCHANGE_S
            )
            self._effects.append(MemberChanged(view, None))
            return
        known = peer.view.member
        if description.version_stamp <= known.version_stamp:
            has_same_stamp = description.version_stamp == known.version_stamp
            if has_same_stamp and description.store_id != known.store_id:
                # Two processes have started with the same incarnation. The known
                # description makes the later one choose a higher incarnation.
                self._send_heartbeat(peer, now, (known,))
            return
        if description.incarnation > known.incarnation:
            peer.is_heard_directly = False
            if sender_id != description.instance_id:
                # Another member reports the restart. The peer is not considered down
                # before it has had time to send a heartbeat itself.
                peer.last_heard_s = max(peer.last_heard_s, now - SUSPECT_S)
        else:
            revision = max(description.records_revision, known.records_revision)
            description = msgspec.structs.replace(
                description, records_revision=revision
            )
        self._update_view(peer, description)

    def _replace_own(self, own: member.Member, now: float) -> None:
        version = self._own.version
        # A change of the configuration revision alone gets no new version.
        own_at_old_revision = msgspec.structs.replace(
            own, records_revision=self._own.records_revision
        )
        new_own = msgspec.structs.replace(
            own, incarnation=self._own.incarnation, version=version
        )
        if msgspec.structs.replace(own_at_old_revision, incarnation=0, version=0) != (
            msgspec.structs.replace(self._own, incarnation=0, version=0)
        ):
            new_own = msgspec.structs.replace(new_own, version=version + 1)
            self._due_s = min(self._due_s, now)
        self._own = new_own

    def _update_view(
        self,
        peer: _Peer,
        description: member.Member | None = None,
        status: member.Status | None = None,
    ) -> None:
        before = peer.view
        view = member.MemberView(description or before.member, status or before.status)
        if view != before:
            peer.view = view
            self._effects.append(MemberChanged(view, before))

    def _send_heartbeat(
        self,
        peer: _Peer,
        now: float,
        members: tuple[member.Member, ...],
        wants_reply: bool = False,
        digest: int | None = None,
    ) -> None:
        peer.last_sent_s = now
        if self._own in members:
            peer.announced_stamp = (
                peer.view.member.incarnation,
                *self._own.version_stamp,
            )
        heartbeat = self._make_heartbeat(
            self._digest() if digest is None else digest, members, wants_reply
        )
        self._effects.append(SendHeartbeat(peer.view.member.peer_address, heartbeat))

    def _make_heartbeat(
        self, digest: int, members: tuple[member.Member, ...], wants_reply: bool = False
    ) -> member.Heartbeat:
        own = self._own
        return member.Heartbeat(
            own.instance_id,
            own.incarnation,
            own.version,
            own.records_revision,
            digest,
            wants_reply,
            members,
        )

    def _live_members(self) -> Iterator[member.Member]:
        yield self._own
        for peer in self._peers.values():
            if peer.view.status is not member.Status.DOWN:
                yield peer.view.member

    def _digest(self) -> int:
        stamps = sorted((m.instance_id, *m.version_stamp) for m in self._live_members())
        return zlib.crc32(codec.pack(stamps))
