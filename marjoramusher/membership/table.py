"""Table of instances: heartbeats in, heartbeats and changes of status out."""

import zlib
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from ..core import codec
from . import member

HEARTBEAT_S = 1.0
SUSPECT_S = 3.0  # three heartbeats lost
DOWN_S = 6.0
DOWN_HEARTBEAT_S = 2.0  # bounds how long a healed link goes unnoticed
EXCHANGE_S = 5.0  # views differ for a while after each failure
FORGET_S = 3600.0
# Heartbeats a second to instances of other failure domains. With more of them the
# interval grows, and with it the times of suspicion: with 46 instances a heartbeat to
# each of them every second costs 2.5% of a core.
OUTSIDE_PER_S = 12
DESCRIBE_EVERY = 10  # a description may get lost, as every heartbeat may


class TimerTicked(msgspec.Struct, frozen=True):
    """Time has passed."""


class HeartbeatReceived(msgspec.Struct, frozen=True):
    """A heartbeat has arrived."""

    heartbeat: member.Heartbeat


class OwnMemberChanged(msgspec.Struct, frozen=True):
    """The own description has changed; its incarnation and version are kept."""

    own: member.Member


Event: TypeAlias = TimerTicked | HeartbeatReceived | OwnMemberChanged


class SendHeartbeat(msgspec.Struct, frozen=True):
    """Send a heartbeat to an address."""

    address: str
    heartbeat: member.Heartbeat


class MemberChanged(msgspec.Struct, frozen=True):
    """A member is new, or its description or status has changed."""

    view: member.MemberView
    before: member.MemberView | None


class MemberRefused(msgspec.Struct, frozen=True):
    """An instance of another cluster has called."""

    other: member.Member


Effect: TypeAlias = SendHeartbeat | MemberChanged | MemberRefused


class _Peer(msgspec.Struct):
    view: member.MemberView
    heard_s: float
    sent_s: float
    exchanged_s: float
    direct: bool = False
    told: tuple[int, int, int] = (0, 0, 0)


class Table:
    """Members as one instance sees them.

    Parameters
    ----------
    own : Member
        Own description.
    seeds : iterable of str
        Addresses to call until their instances are known.
    """

    __slots__ = ("_beats", "_due_s", "_effects", "_own", "_peers", "_seeds")

    def __init__(self, own: member.Member, seeds: Iterable[str], now: float) -> None:
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._peers: dict[str, _Peer] = {}
        self._due_s = now
        self._beats = 0
        self._effects: list[Effect] = []

    @property
    def own(self) -> member.Member:
        """Return the own description."""
        return self._own

    @property
    def views(self) -> tuple[member.MemberView, ...]:
        """Return all members with this instance, ordered by id."""
        views = [peer.view for peer in self._peers.values()]
        views.append(member.MemberView(self._own, member.Status.ALIVE))
        return tuple(sorted(views, key=lambda view: view.member.instance_id))

    @property
    def due_s(self) -> float:
        """Return when the next tick has something to do."""
        return self._due_s

    @property
    def highest_revision(self) -> int:
        """Return the highest configuration revision heard of, the own included."""
        revisions = [p.view.member.records_revision for p in self._peers.values()]
        return max([self._own.records_revision, *revisions])

    def view(self, instance_id: str) -> member.MemberView | None:
        """Return one member."""
        if instance_id == self._own.instance_id:
            return member.MemberView(self._own, member.Status.ALIVE)
        peer = self._peers.get(instance_id)
        return peer.view if peer else None

    def step(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what to do."""
        match event:
            case TimerTicked():
                self._tick(now)
            case HeartbeatReceived(heartbeat=heartbeat):
                self._receive(heartbeat, now)
            case OwnMemberChanged(own=own):
                self._describe(own, now)
        effects, self._effects = self._effects, []
        return effects

    def _tick(self, now: float) -> None:
        outside = self._outside_factor()
        for instance_id, peer in list(self._peers.items()):
            silent_s = now - peer.heard_s
            factor = outside if self._is_outside(peer) else 1.0
            if silent_s >= FORGET_S:
                del self._peers[instance_id]
            elif silent_s >= DOWN_S * factor:
                self._set(peer, status=member.Status.DOWN)
            elif silent_s >= SUSPECT_S * factor:
                self._set(peer, status=member.Status.SUSPECT)
        if now < self._due_s:
            return
        self._due_s = max(self._due_s + HEARTBEAT_S, now + HEARTBEAT_S / 2)
        self._beats += 1
        digest = self._digest()
        for peer in self._peers.values():
            interval_s = HEARTBEAT_S * (outside if self._is_outside(peer) else 1.0)
            if peer.view.status is member.Status.DOWN:
                interval_s = max(interval_s, DOWN_HEARTBEAT_S)
            elif (peer.view.member.incarnation, *self._own.version_stamp) != peer.told:
                interval_s = 0.0
            # Half a beat early is nearer to the interval than half a beat late.
            if now - peer.sent_s >= interval_s - HEARTBEAT_S / 2:
                self._beat(peer, digest, now)
        known = {peer.view.member.peer_address for peer in self._peers.values()}
        for seed in self._seeds:
            if seed not in known:
                beat = self._heartbeat(digest, members=(self._own,), wants=True)
                self._effects.append(SendHeartbeat(seed, beat))

    def _is_outside(self, peer: _Peer) -> bool:
        return peer.view.member.failure_domain != self._own.failure_domain

    def _outside_factor(self) -> float:
        """Return how much rarer heartbeats to other failure domains are."""
        outside = sum(self._is_outside(peer) for peer in self._peers.values())
        return max(1.0, outside / OUTSIDE_PER_S)

    def _beat(self, peer: _Peer, digest: int, now: float) -> None:
        told = (peer.view.member.incarnation, *self._own.version_stamp)
        describe = (
            told != peer.told
            or not peer.direct
            or peer.view.status is not member.Status.ALIVE
            or self._beats % DESCRIBE_EVERY == 0
        )
        self._send(peer, now, (self._own,) if describe else (), digest=digest)

    def _receive(self, heartbeat: member.Heartbeat, now: float) -> None:
        if heartbeat.instance_id == self._own.instance_id:
            return
        for described in heartbeat.members:
            self._learn(described, now, heartbeat.instance_id)
        peer = self._peers.get(heartbeat.instance_id)
        if peer is None:
            return
        known = peer.view.member
        if heartbeat.incarnation < known.incarnation:
            # The instance has restarted with a clock that is behind: tell it which
            # incarnation it must exceed.
            self._send(peer, now, (known,))
            return
        peer.heard_s = now
        peer.direct = True
        revision = max(heartbeat.revision, known.records_revision)
        if revision != known.records_revision:
            known = msgspec.structs.replace(known, records_revision=revision)
        self._set(peer, known, member.Status.ALIVE)
        wants = (heartbeat.incarnation, heartbeat.version) > known.version_stamp
        differs = (
            heartbeat.digest != self._digest() and now - peer.exchanged_s >= EXCHANGE_S
        )
        if differs:
            peer.exchanged_s = now
            self._send(peer, now, tuple(self._heard()), wants)
        elif heartbeat.wants or wants:
            self._send(peer, now, (self._own,), wants)

    def _learn(self, described: member.Member, now: float, teller: str) -> None:
        if described.instance_id == self._own.instance_id:
            if described.incarnation > self._own.incarnation or (
                described.incarnation == self._own.incarnation
                and described.store_id != self._own.store_id
            ):
                self._own = msgspec.structs.replace(
                    self._own, incarnation=described.incarnation + 1
                )
            return
        own_cluster = self._own.cluster_id
        if own_cluster and described.cluster_id not in ("", own_cluster):
            self._effects.append(MemberRefused(described))
            return
        peer = self._peers.get(described.instance_id)
        if peer is None:
            view = member.MemberView(described, member.Status.ALIVE)
            self._peers[described.instance_id] = _Peer(
                view, now, now - HEARTBEAT_S, now - EXCHANGE_S
            )
            self._effects.append(MemberChanged(view, None))
            return
        known = peer.view.member
        if described.version_stamp <= known.version_stamp:
            same_stamp = described.version_stamp == known.version_stamp
            if same_stamp and described.store_id != known.store_id:
                # Two processes started with one incarnation; the later one must
                # exceed it.
                self._send(peer, now, (known,))
            return
        if described.incarnation > known.incarnation:
            peer.direct = False
            if teller != described.instance_id:
                peer.heard_s = max(peer.heard_s, now - SUSPECT_S)
        else:
            revision = max(described.records_revision, known.records_revision)
            described = msgspec.structs.replace(described, records_revision=revision)
        self._set(peer, described)

    def _describe(self, own: member.Member, now: float) -> None:
        version = self._own.version
        same = msgspec.structs.replace(own, records_revision=self._own.records_revision)
        kept = msgspec.structs.replace(
            own, incarnation=self._own.incarnation, version=version
        )
        if msgspec.structs.replace(same, incarnation=0, version=0) != (
            msgspec.structs.replace(self._own, incarnation=0, version=0)
        ):
            kept = msgspec.structs.replace(kept, version=version + 1)
            self._due_s = min(self._due_s, now)
        self._own = kept

    def _set(
        self,
        peer: _Peer,
        described: member.Member | None = None,
        status: member.Status | None = None,
    ) -> None:
        before = peer.view
        view = member.MemberView(described or before.member, status or before.status)
        if view != before:
            peer.view = view
            self._effects.append(MemberChanged(view, before))

    def _send(
        self,
        peer: _Peer,
        now: float,
        members: tuple[member.Member, ...],
        wants: bool = False,
        digest: int | None = None,
    ) -> None:
        peer.sent_s = now
        if self._own in members:
            peer.told = (peer.view.member.incarnation, *self._own.version_stamp)
        beat = self._heartbeat(
            self._digest() if digest is None else digest, members, wants
        )
        self._effects.append(SendHeartbeat(peer.view.member.peer_address, beat))

    def _heartbeat(
        self, digest: int, members: tuple[member.Member, ...], wants: bool = False
    ) -> member.Heartbeat:
        own = self._own
        return member.Heartbeat(
            own.instance_id,
            own.incarnation,
            own.version,
            own.records_revision,
            digest,
            wants,
            members,
        )

    def _heard(self) -> Iterator[member.Member]:
        yield self._own
        for peer in self._peers.values():
            if peer.view.status is not member.Status.DOWN:
                yield peer.view.member

    def _digest(self) -> int:
        stamps = sorted((m.instance_id, *m.version_stamp) for m in self._heard())
        return zlib.crc32(codec.pack(stamps))
