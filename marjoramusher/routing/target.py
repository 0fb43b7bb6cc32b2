"""Targets of one failure domain and their incarnations."""

import math

import msgspec

from ..core import announcement as announcements
from . import request as requests

TOMBSTONE_S = 3600.0  # longer than any announcement can be in transit
MAX_BACKOFF_S = 4.0
FAILURE_GAIN = 0.15  # five failures in a row exceed FAILING_RATE
FAILING_RATE = 0.5
# A target is failing only if its failure rate exceeds the service's by this factor:
# where all targets fail alike, avoiding one of them doesn't help.
OUTLIER_RATIO = 2.0
SLOW_RATIO = 1.5  # smaller ratios can't be told from the noise of run times
SLOWNESS_GAIN = 0.05  # slowness varies by 0.1 at the usual spread of run times


class Target:
    """State of one target at an instance.

    Attributes
    ----------
    granted_slots : int
        Slots that the leader has granted to this instance.
    slot_limit : int
        Slots that this instance may fill now.
    in_flight : int
        Attempts of this instance at the target.
    slowness : float
        Run times relative to those of the same work at the service's other targets.
    mean_log_ratio : float
        Moving average of the logarithm of run time over expected run time.
    failure_rate : float
        Moving average of the share of failed attempts.
    free_index : int
        Position in the service's list of targets with free slots, or -1.
    """

    __slots__ = (
        "announcement",
        "backoff_until",
        "consecutive_failures",
        "expires_at",
        "failure_rate",
        "free_index",
        "grant_expires_at",
        "granted_slots",
        "in_flight",
        "mean_log_ratio",
        "slot_limit",
        "slowness",
    )

    def __init__(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> None:
        self.announcement = announcement
        self.expires_at = now + announcement.ttl_s
        self.granted_slots = 0
        self.grant_expires_at = 0.0
        self.in_flight = 0
        self.slot_limit = 0
        self.slowness = 1.0
        self.mean_log_ratio = 0.0
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self.free_index = -1

    def update_slot_limit(self, now: float) -> None:
        """Recompute how many slots may be filled now."""
        announcement = self.announcement
        if (
            announcement.state is announcements.TargetState.LEAVING
            or now >= self.expires_at
            or now < self.backoff_until
        ):
            self.slot_limit = 0
        elif self.consecutive_failures:
            # One probe at a time until an attempt succeeds.
            self.slot_limit = min(1, self.granted_slots)
        elif self.slowness > SLOW_RATIO:
            reduced = self.granted_slots / (self.slowness * self.slowness)
            self.slot_limit = max(1, int(reduced)) if self.granted_slots else 0
        else:
            self.slot_limit = self.granted_slots

    def record_run_ratio(self, ratio: float, service_log_ratio: float) -> float:
        """Update the slowness from the run time of an attempt.

        Logarithms are averaged, since a single run of ten times the usual length is
        weak evidence that a target is slow.

        Parameters
        ----------
        ratio : float
            Run time relative to the expected one.
        service_log_ratio : float
            Mean logarithm of the ratio over all targets of the service.

        Returns
        -------
        float
            Logarithm of the ratio.
        """
        log_ratio = math.log(max(ratio, 0.01))
        self.mean_log_ratio += SLOWNESS_GAIN * (log_ratio - self.mean_log_ratio)
        self.slowness = math.exp(self.mean_log_ratio - service_log_ratio)
        return log_ratio

    def record_success(self) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.failure_rate -= FAILURE_GAIN * self.failure_rate

    def record_failure(
        self, now: float, was_sent: bool, service_failure_rate: float = 0.0
    ) -> None:
        """Record a failed attempt and back off if the target is failing.

        The backoff doubles with each failure in a row. It starts at once if the target
        can't be connected to. After a request was sent, it starts only if the failure
        rate is high: backing off after every failure would cost a fifth of the
        capacity at a peak with one lost response in a hundred.

        Parameters
        ----------
        was_sent : bool
            Whether the target may have received the request.
        service_failure_rate : float
            Failure rate over all targets of the service.
        """
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
        tolerated_rate = max(FAILING_RATE, OUTLIER_RATIO * service_failure_rate)
        if was_sent and self.failure_rate <= tolerated_rate:
            return
        self.consecutive_failures += 1
        self.backoff_until = now + min(
            0.25 * 2**self.consecutive_failures, MAX_BACKOFF_S
        )


class TargetTable:
    """Targets by id, with the latest incarnation of each.

    A tombstone keeps the incarnation of a target that has left, so that a late
    announcement doesn't bring it back.
    """

    __slots__ = ("_targets", "_tombstones")

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        # Incarnation and time of leaving, by target id.
        self._tombstones: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> Target | None:
        """Return a target or ``None``."""
        return self._targets.get(target_id)

    def values(self) -> list[Target]:
        """Return all targets."""
        return list(self._targets.values())

    def announce(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> tuple[Target | None, Target | None]:
        """Apply the announcement of a target.

        Returns
        -------
        tuple
            The announced target, or ``None`` if the announcement is out of date or a
            new incarnation is already leaving; and the earlier incarnation that it
            replaces, if any.
        """
        target = self._targets.get(announcement.id)
        tombstone = self._tombstones.get(announcement.id)
        is_leaving = announcement.state is announcements.TargetState.LEAVING
        if tombstone and announcement.incarnation <= tombstone[0]:
            return None, None
        if target and announcement.incarnation < target.announcement.incarnation:
            return None, None
        if target and announcement.incarnation == target.announcement.incarnation:
            target.announcement = announcement
            target.expires_at = now + announcement.ttl_s
            if is_leaving:
                self._tombstones[announcement.id] = (announcement.incarnation, now)
            return target, None
        if target:
            del self._targets[announcement.id]
        if is_leaving:
            self._tombstones[announcement.id] = (announcement.incarnation, now)
            return None, target
        replacement = Target(announcement, now)
        self._targets[announcement.id] = replacement
        return replacement, target

    def expire(self, now: float) -> list[Target]:
        """Remove and return expired targets, and leaving ones without attempts."""
        removed = [
            target
            for target in self._targets.values()
            if now >= target.expires_at
            or (
                target.announcement.state is announcements.TargetState.LEAVING
                and not target.in_flight
            )
        ]
        for target in removed:
            del self._targets[target.announcement.id]
        if self._tombstones:
            self._tombstones = {
                target_id: tombstone
                for target_id, tombstone in self._tombstones.items()
                if now - tombstone[1] < TOMBSTONE_S
            }
        return removed


class Capacity(msgspec.Struct, frozen=True):
    """Free capacity of a service in one failure domain, reported to the others.

    Parameters
    ----------
    run_class : RequestClass
        Class of the slots; those reserved for short work are not free for long work.
    wait_s : float
        Expected wait of a new request.
    """

    failure_domain: str
    service: str
    run_class: requests.RequestClass
    free_slots: int
    wait_s: float
