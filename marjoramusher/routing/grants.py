"""Split the slots of targets between the instances of a failure domain."""

import msgspec

from ..core import announcement
from . import target

GRANT_LEASE_S = 3.0  # slots of a dead instance come back after it
MAX_PROGRESS_S = 10.0  # an instance's lost requests may occupy the runner so long
MOVE_SHARE = 0.04  # smaller changes of demand move no slots


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What an instance holds of one target."""

    target: str
    incarnation: int
    slots: int
    in_flight: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of an instance to the leader of the domain group.

    Parameters
    ----------
    process : str
        Id of the process; a new one starts without grants.
    leader_process : str
        Leader process whose reply was last taken over, with its `sequence`.
    demand : dict of str to float
        Slots that the instance could fill, by service.
    """

    instance: str
    process: str
    leader_process: str
    sequence: int
    demand: dict[str, float]
    holdings: tuple[Holding, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one target."""

    target: str
    incarnation: int
    slots: int


class GrantReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a `Demand`; it replaces all earlier grants of the instance."""

    leader_process: str
    sequence: int
    lease_s: float
    grants: tuple[Grant, ...]


class _Share:
    """Slots of one target that one instance may be using."""

    __slots__ = ("in_flight", "offered", "slots")

    def __init__(self, slots: int, in_flight: int) -> None:
        self.slots = slots
        self.in_flight = in_flight
        self.offered = slots

    @property
    def reserved(self) -> int:
        return max(self.slots, self.offered, self.in_flight)


class _Holder:
    __slots__ = ("demand", "expires_at", "process", "sequence", "shares")

    def __init__(self, process: str) -> None:
        self.process = process
        self.demand: dict[str, float] = {}
        self.expires_at = 0.0
        self.sequence = 0
        self.shares: dict[tuple[str, int], _Share] = {}


class SlotBroker:
    """Grant slots by lease and demand; runs on the leader of the domain group.

    The sum of what holders may use never exceeds a target's slots: a share that
    shrinks counts in full until its holder has confirmed the reply that shrinks it, or
    its lease is over. A new broker only renews what holders report until all expected
    instances have reported or one lease has passed, since an instance that it hasn't
    heard of may hold the rest.

    Parameters
    ----------
    process : str
        Id of this leadership; replies carry it.
    now : float
        Start of the leadership.
    instances : frozenset of str
        Instances of the failure domain, those included that don't answer; empty if
        they are not known.
    """

    def __init__(
        self, process: str, now: float, instances: frozenset[str] = frozenset()
    ) -> None:
        self._process = process
        self._opens_at = now + GRANT_LEASE_S
        self._unheard = set(instances)
        self._sequence = 0
        self._targets = target.TargetTable()
        self._holders: dict[str, _Holder] = {}
        self._parts: dict[str, dict[str, float]] = {}
        self._orphans: list[tuple[float, tuple[str, int], int]] = []

    def announce(self, announced: announcement.TargetAnnouncement, now: float) -> None:
        """Take over an announcement of a target."""
        self._targets.announce(announced, now)

    def reserved(self, target_id: str, incarnation: int) -> int:
        """Return the slots of a target that can't be granted to anyone else."""
        key = (target_id, incarnation)
        held = sum(
            holder.shares[key].reserved
            for holder in self._holders.values()
            if key in holder.shares
        )
        return held + sum(slots for _, k, slots in self._orphans if k == key)

    def handle_report(self, report: DemandReport, now: float) -> GrantReply:
        """Take in an instance's report and return its grants."""
        self.tick(now)
        holder = self._holders.get(report.instance)
        if holder is None or holder.process != report.process:
            if holder is not None:
                self._orphan(holder, now)
            holder = self._holders[report.instance] = _Holder(report.process)
        self._take_over(holder, report, now)
        holder.demand = report.demand
        if self._unheard:
            self._unheard.discard(report.instance)
            if not self._unheard:
                self._opens_at = min(self._opens_at, now)
        holder.expires_at = now + GRANT_LEASE_S
        self._sequence += 1
        holder.sequence = self._sequence
        by_service: dict[str, list[announcement.TargetAnnouncement]] = {}
        for known in self._targets.values():
            announced = known.announcement
            if announced.state is announcement.TargetState.SERVING:
                by_service.setdefault(announced.service, []).append(announced)
        grants = []
        for service, targets in by_service.items():
            split = self._split(service, targets)
            for announced in targets:
                wanted = split[announced.id][report.instance]
                slots = self._offer(holder, announced, wanted, now)
                if slots:
                    grants.append(Grant(announced.id, announced.incarnation, slots))
        return GrantReply(self._process, self._sequence, GRANT_LEASE_S, tuple(grants))

    def tick(self, now: float) -> None:
        """Return the slots of instances whose lease is over."""
        self._targets.expire(now)
        self._orphans = [entry for entry in self._orphans if entry[0] > now]
        for name, holder in list(self._holders.items()):
            if now >= holder.expires_at:
                del self._holders[name]
                self._orphan(holder, now, lease_over=True)

    def _orphan(self, holder: _Holder, now: float, lease_over: bool = False) -> None:
        for key, share in holder.shares.items():
            if share.in_flight:
                until = now + MAX_PROGRESS_S
                self._orphans.append((until, key, share.in_flight))
            if not lease_over:
                # The process ended, but a copy of it that is only cut off may still
                # dispatch until its lease is over.
                idle = share.reserved - share.in_flight
                self._orphans.append((holder.expires_at, key, idle))

    def _take_over(self, holder: _Holder, report: DemandReport, now: float) -> None:
        ours = report.leader_process == self._process
        confirmed = ours and report.sequence == holder.sequence
        held = {(h.target, h.incarnation): h for h in report.holdings}
        for key, entry in held.items():
            share = holder.shares.get(key)
            if share is None:
                # Granted by an earlier leader; counted as it is, since the sum of its
                # grants did not exceed the slots either.
                free = self._slots(key) - self.reserved(*key)
                slots = entry.slots if not ours and now < self._opens_at else 0
                share = _Share(min(slots, max(free, 0)), entry.in_flight)
                holder.shares[key] = share
            share.in_flight = entry.in_flight
        if confirmed:
            for key, share in list(holder.shares.items()):
                share.slots = share.offered
                if key not in held:
                    share.in_flight = 0
                if not share.reserved:
                    del holder.shares[key]

    def _slots(self, key: tuple[str, int]) -> int:
        known = self._targets.get(key[0])
        if known is None or known.announcement.incarnation != key[1]:
            return 0
        return known.announcement.slots

    def _offer(
        self,
        holder: _Holder,
        announced: announcement.TargetAnnouncement,
        wanted: int,
        now: float,
    ) -> int:
        key = (announced.id, announced.incarnation)
        share = holder.shares.get(key)
        if now < self._opens_at:
            wanted = share.slots if share else 0
        if share is None:
            if not wanted:
                return 0
            share = holder.shares[key] = _Share(0, 0)
        others = self.reserved(*key) - share.reserved
        share.slots = max(share.slots, share.offered)
        share.offered = max(0, min(wanted, announced.slots - others))
        return share.offered

    def _split(
        self, service: str, targets: list[announcement.TargetAnnouncement]
    ) -> dict[str, dict[str, int]]:
        """Split the slots of a service's targets between the instances.

        Each instance gets what it asks for up to an equal part; what others leave goes
        to those that ask for more, and what nobody asks for is split equally, so that
        a burst meets free slots anywhere.

        Returns
        -------
        dict
            Slots by target and instance.
        """
        total = sum(announced.slots for announced in targets)
        demands = {
            name: max(holder.demand.get(service, 0.0), 1.0)
            for name, holder in sorted(self._holders.items())
        }
        parts = _water_fill(demands, total)
        previous = self._parts.get(service, {})
        if previous.keys() == parts.keys() and sum(previous.values()) == total:
            moved = sum(abs(parts[name] - previous[name]) for name in parts) / 2
            # Slots that move serve nobody until their holder has confirmed.
            if moved < MOVE_SHARE * total:
                parts = previous
        self._parts[service] = parts
        carried = dict.fromkeys(parts, 0.0)
        split: dict[str, dict[str, int]] = {}
        for announced in sorted(targets, key=lambda known: known.id):
            exact = {
                name: carried[name] + part * announced.slots / total
                for name, part in parts.items()
            }
            slots = _round_to(exact, announced.slots)
            carried = {name: exact[name] - slots[name] for name in parts}
            split[announced.id] = slots
        return split


def _water_fill(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair parts of the demands, with the rest split equally."""
    parts: dict[str, float] = {}
    left = total
    ordered = sorted(demands, key=lambda name: demands[name])
    for position, name in enumerate(ordered):
        parts[name] = min(demands[name], left / (len(ordered) - position))
        left -= parts[name]
    return {name: part + left / len(parts) for name, part in parts.items()}


def _round_to(exact: dict[str, float], total: int) -> dict[str, int]:
    """Round to integers of at least 0 with a given sum."""
    slots = {name: max(int(value), 0) for name, value in exact.items()}
    by_rest = sorted(exact, key=lambda name: slots[name] - exact[name])
    while sum(slots.values()) < total:
        for name in by_rest[: total - sum(slots.values())]:
            slots[name] += 1
    while sum(slots.values()) > total:
        slots[max(slots, key=lambda name: slots[name] - exact[name])] -= 1
    return slots
