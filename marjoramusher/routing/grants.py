"""Division of the targets' slots between the instances of a failure domain."""

import msgspec

from ..core import announcement as announcements
from . import target as targets

GRANT_LEASE_S = 3.0  # then the slots of a dead instance can be granted again
ORPHAN_RESERVATION_S = 10.0  # requests of a dead instance may run on for so long
MIN_MOVED_SHARE = 0.04  # smaller changes of the division are not applied


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one target that an instance holds."""

    target: str
    incarnation: int
    slots: int
    in_flight: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of an instance to the leader of the domain group.

    Parameters
    ----------
    process : str
        Id of the process; a new process starts without grants.
    leadership_id : str
        Id of the leadership whose reply the instance applied last.
    sequence : int
        Sequence number of that reply.
    demand : dict of str to float
        Slots that the instance could fill, by service.
    """

    instance: str
    process: str
    leadership_id: str
    sequence: int
    demand: dict[str, float]
    holdings: tuple[Holding, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one target granted to an instance."""

    target: str
    incarnation: int
    slots: int


class GrantReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a `DemandReport`; it replaces all earlier grants of the instance."""

    leadership_id: str
    sequence: int
    lease_s: float
    grants: tuple[Grant, ...]


class _Share:
    """Slots of one target that one instance may be using.

    Attributes
    ----------
    max_slots : int
        Most slots that the holder may still use by earlier replies; once it has
        confirmed the latest reply, the slots which that reply grants.
    granted_slots : int
        Slots granted by the latest reply.
    """

    __slots__ = ("granted_slots", "in_flight", "max_slots")

    def __init__(self, slots: int, in_flight: int) -> None:
        self.max_slots = slots
        self.in_flight = in_flight
        self.granted_slots = slots

    @property
    def reserved(self) -> int:
        """Return the slots that can't be granted to another instance."""
        return max(self.max_slots, self.granted_slots, self.in_flight)


class _Holder:
    """Instance that holds slots, as known from its reports."""

    __slots__ = ("demand", "expires_at", "process", "sequence", "shares")

    def __init__(self, process: str) -> None:
        self.process = process
        self.demand: dict[str, float] = {}
        self.expires_at = 0.0
        self.sequence = 0
        self.shares: dict[tuple[str, int], _Share] = {}


class SlotBroker:
    """Lease slots according to demand; runs on the leader of the domain group.

    The sum of what holders may use never exceeds a target's slots: a share that
    shrinks counts in full until its holder has confirmed the reply that shrinks it or
    the holder's lease has expired. A new broker only renews the reported holdings until
    all expected instances have reported or one lease has passed, since an instance that
    has not reported may hold the remaining slots.

    Parameters
    ----------
    leadership_id : str
        Unique id of this leadership, which the replies carry.
    now : float
        Start of the leadership.
    instances : frozenset of str
        Instances of the failure domain, including those that don't respond; empty if
        they are not known.
    """

    def __init__(
        self, leadership_id: str, now: float, instances: frozenset[str] = frozenset()
    ) -> None:
        self._leadership_id = leadership_id
        self._renewal_only_until = now + GRANT_LEASE_S
        self._unreported = set(instances)
        self._sequence = 0
        self._targets = targets.TargetTable()
        self._holders: dict[str, _Holder] = {}
        # Slots by service and instance, as last divided.
        self._division: dict[str, dict[str, float]] = {}
        # Slots of ended processes: end of the reservation, target key and slots.
        self._orphaned_slots: list[tuple[float, tuple[str, int], int]] = []

    def announce(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> None:
        """Apply the announcement of a target."""
        self._targets.announce(announcement, now)

    def reserved(self, target_id: str, incarnation: int) -> int:
        """Return the slots of a target that are held or orphaned."""
        key = (target_id, incarnation)
        held = sum(
            holder.shares[key].reserved
            for holder in self._holders.values()
            if key in holder.shares
        )
        return held + sum(slots for _, k, slots in self._orphaned_slots if k == key)

    def handle_report(self, report: DemandReport, now: float) -> GrantReply:
        """Apply the report of an instance and return its grants."""
        self.tick(now)
        holder = self._holders.get(report.instance)
        if holder is None or holder.process != report.process:
            if holder is not None:
                self._orphan_shares(holder, now)
            holder = self._holders[report.instance] = _Holder(report.process)
        self._apply_holdings(holder, report, now)
        holder.demand = report.demand
        if self._unreported:
            self._unreported.discard(report.instance)
            if not self._unreported:
                self._renewal_only_until = min(self._renewal_only_until, now)
        holder.expires_at = now + GRANT_LEASE_S
        self._sequence += 1
        holder.sequence = self._sequence
        by_service: dict[str, list[announcements.TargetAnnouncement]] = {}
        for target in self._targets.values():
            announcement = target.announcement
            if announcement.state is announcements.TargetState.SERVING:
                by_service.setdefault(announcement.service, []).append(announcement)
        grants = []
        for service, serving in by_service.items():
            slots_by_target = self._divide_slots(service, serving)
            for announcement in serving:
                desired_slots = slots_by_target[announcement.id][report.instance]
                slots = self._grant(holder, announcement, desired_slots, now)
                if slots:
                    grants.append(
                        Grant(announcement.id, announcement.incarnation, slots)
                    )
        return GrantReply(
            self._leadership_id, self._sequence, GRANT_LEASE_S, tuple(grants)
        )

    def tick(self, now: float) -> None:
        """Release the slots of instances whose lease has expired."""
        self._targets.expire(now)
        self._orphaned_slots = [
            orphaned for orphaned in self._orphaned_slots if orphaned[0] > now
        ]
        for name, holder in list(self._holders.items()):
            if now >= holder.expires_at:
                del self._holders[name]
                self._orphan_shares(holder, now, is_lease_expired=True)

    def _orphan_shares(
        self, holder: _Holder, now: float, is_lease_expired: bool = False
    ) -> None:
        """Keep the slots of an ended process reserved while they may be in use."""
        for key, share in holder.shares.items():
            if share.in_flight:
                reserved_until = now + ORPHAN_RESERVATION_S
                self._orphaned_slots.append((reserved_until, key, share.in_flight))
            if not is_lease_expired:
                # Another process of the instance has reported, but the earlier one may
                # only be cut off and may dispatch until its lease expires.
                idle = share.reserved - share.in_flight
                self._orphaned_slots.append((holder.expires_at, key, idle))

    def _apply_holdings(
        self, holder: _Holder, report: DemandReport, now: float
    ) -> None:
        """Update the shares of a holder from its report, and confirm its grants."""
        is_own_grant = report.leadership_id == self._leadership_id
        is_confirmed = is_own_grant and report.sequence == holder.sequence
        holdings = {(h.target, h.incarnation): h for h in report.holdings}
        for key, holding in holdings.items():
            share = holder.shares.get(key)
            if share is None:
                # Only grants of an earlier leader are accepted as reported, since
                # their sum did not exceed the target's slots.
                free = self._announced_slots(key) - self.reserved(*key)
                slots = (
                    holding.slots
                    if not is_own_grant and now < self._renewal_only_until
                    else 0
                )
                share = _Share(min(slots, max(free, 0)), holding.in_flight)
                holder.shares[key] = share
            share.in_flight = holding.in_flight
        if is_confirmed:
            for key, share in list(holder.shares.items()):
                share.max_slots = share.granted_slots
                if key not in holdings:
                    share.in_flight = 0
                if not share.reserved:
                    del holder.shares[key]

    def _announced_slots(self, key: tuple[str, int]) -> int:
        target = self._targets.get(key[0])
        if target is None or target.announcement.incarnation != key[1]:
            return 0
        return target.announcement.slots

    def _grant(
        self,
        holder: _Holder,
        announcement: announcements.TargetAnnouncement,
        desired_slots: int,
        now: float,
    ) -> int:
        """Grant the desired slots, up to those not reserved for other instances."""
        key = (announcement.id, announcement.incarnation)
        share = holder.shares.get(key)
        if now < self._renewal_only_until:
            desired_slots = share.max_slots if share else 0
        if share is None:
            if not desired_slots:
                return 0
            share = holder.shares[key] = _Share(0, 0)
        reserved_by_others = self.reserved(*key) - share.reserved
        share.max_slots = max(share.max_slots, share.granted_slots)
        share.granted_slots = max(
            0, min(desired_slots, announcement.slots - reserved_by_others)
        )
        return share.granted_slots

    def _divide_slots(
        self, service: str, serving: list[announcements.TargetAnnouncement]
    ) -> dict[str, dict[str, int]]:
        """Divide the slots of a service's targets between the instances.

        The division is max-min fair: each instance gets its demand up to an equal
        part, and what the others leave goes to those with a larger demand. Slots beyond
        the total demand are divided equally, so that a burst finds free slots at any
        instance.

        Returns
        -------
        dict
            Slots by target and instance.
        """
        total = sum(announcement.slots for announcement in serving)
        demands = {
            name: max(holder.demand.get(service, 0.0), 1.0)
            for name, holder in sorted(self._holders.items())
        }
        division = _water_fill(demands, total)
        previous = self._division.get(service, {})
        if previous.keys() == division.keys() and sum(previous.values()) == total:
            moved = sum(abs(division[name] - previous[name]) for name in division) / 2
            # A slot that moves is unused until its holder has confirmed the reply.
            if moved < MIN_MOVED_SHARE * total:
                division = previous
        self._division[service] = division
        # Rounding errors carry over to the next target.
        remainders = dict.fromkeys(division, 0.0)
        slots_by_target: dict[str, dict[str, int]] = {}
        for announcement in sorted(serving, key=lambda announcement: announcement.id):
            exact = {
                name: remainders[name] + part * announcement.slots / total
                for name, part in division.items()
            }
            slots = _round_to_sum(exact, announcement.slots)
            remainders = {name: exact[name] - slots[name] for name in division}
            slots_by_target[announcement.id] = slots
        return slots_by_target


def _water_fill(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair parts of the demands, with the rest divided equally."""
    parts: dict[str, float] = {}
    remaining = total
    by_demand = sorted(demands, key=lambda name: demands[name])
    for position, name in enumerate(by_demand):
        parts[name] = min(demands[name], remaining / (len(by_demand) - position))
        remaining -= parts[name]
    return {name: part + remaining / len(parts) for name, part in parts.items()}


def _round_to_sum(exact: dict[str, float], total: int) -> dict[str, int]:
    """Round values to integers of at least 0 with a given sum."""
    rounded = {name: max(int(value), 0) for name, value in exact.items()}
    by_remainder = sorted(exact, key=lambda name: rounded[name] - exact[name])
    while sum(rounded.values()) < total:
        for name in by_remainder[: total - sum(rounded.values())]:
            rounded[name] += 1
    while sum(rounded.values()) > total:
        rounded[max(rounded, key=lambda name: rounded[name] - exact[name])] -= 1
    return rounded
