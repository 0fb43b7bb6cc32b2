"""Targets of one failure domain with their incarnations."""

import math

import msgspec

from ..core import announcement
from . import request

TOMBSTONE_S = 3600.0  # longer than any announcement can be under way
MAX_BACKOFF_S = 4.0
FAILURE_GAIN = 0.15  # five failures in a row make a target a failing one
FAILING_SHARE = 0.5
SLOW_RATIO = 1.5  # below this the noise of run times looks like slowness
SLOWNESS_GAIN = 0.05  # deviation of 0.1 at the usual spread of run times


class Target:
    """One target as an instance knows it.

    Attributes
    ----------
    granted : int
        Slots that this instance may fill.
    slowness : float
        Run times relative to those of the same work at the peers.
    """

    __slots__ = (
        "announcement",
        "backoff_until",
        "expires_at",
        "failing_share",
        "failures",
        "free_index",
        "grant_expires_at",
        "granted",
        "in_flight",
        "limit",
        "log_ratio",
        "slowness",
    )

    def __init__(self, announced: announcement.TargetAnnouncement, now: float) -> None:
        self.announcement = announced
        self.expires_at = now + announced.ttl_s
        self.granted = 0
        self.grant_expires_at = 0.0
        self.in_flight = 0
        self.limit = 0
        self.slowness = 1.0
        self.log_ratio = 0.0
        self.failures = 0
        self.failing_share = 0.0
        self.backoff_until = 0.0
        self.free_index = -1

    def refresh_limit(self, now: float) -> None:
        """Work out how many slots may be filled now."""
        announced = self.announcement
        if (
            announced.state is announcement.TargetState.LEAVING
            or now >= self.expires_at
            or now < self.backoff_until
        ):
            self.limit = 0
        elif self.failures:
            # One probe at a time until an attempt succeeds.
            self.limit = min(1, self.granted)
        elif self.slowness > SLOW_RATIO:
            share = self.granted / (self.slowness * self.slowness)
            self.limit = max(1, int(share)) if self.granted else 0
        else:
            self.limit = self.granted

    def note_run(self, ratio: float, typical_log: float) -> float:
        """Take in the run time of an attempt relative to the expected one.

        Logarithms are averaged, since one run of ten times the usual length says
        little about a target.

        Parameters
        ----------
        typical_log : float
            Mean logarithm of the ratio at all targets of the service.

        Returns
        -------
        float
            Logarithm of the ratio.
        """
        log_ratio = math.log(max(ratio, 0.01))
        self.log_ratio += SLOWNESS_GAIN * (log_ratio - self.log_ratio)
        self.slowness = math.exp(self.log_ratio - typical_log)
        return log_ratio

    def note_success(self) -> None:
        """Note a complete answer."""
        self.failures = 0
        self.failing_share -= FAILURE_GAIN * self.failing_share

    def note_failure(self, now: float, was_sent: bool) -> None:
        """Keep work away for a time that doubles with each failure in a row.

        A target that can't be connected to gets none at once. After a failure on the
        way, that is done only if much of its recent work has failed: one lost
        answer in a hundred would otherwise take a fifth of the capacity at a peak.
        """
        self.failing_share += FAILURE_GAIN * (1.0 - self.failing_share)
        if was_sent and self.failing_share <= FAILING_SHARE:
            return
        self.failures += 1
        self.backoff_until = now + min(0.25 * 2**self.failures, MAX_BACKOFF_S)


class TargetTable:
    """Keep what targets announce; late announcements never revive a departed one."""

    __slots__ = ("_departed", "_targets")

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._departed: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> Target | None:
        """Return a target or ``None``."""
        return self._targets.get(target_id)

    def values(self) -> list[Target]:
        """Return all targets."""
        return list(self._targets.values())

    def announce(
        self, announced: announcement.TargetAnnouncement, now: float
    ) -> tuple[Target | None, Target | None]:
        """Take over an announcement.

        Returns
        -------
        tuple
            The target that is now known, ``None`` if the announcement is out of date,
            and the earlier incarnation that it replaces, if any.
        """
        known = self._targets.get(announced.id)
        departed = self._departed.get(announced.id)
        leaving = announced.state is announcement.TargetState.LEAVING
        if departed and announced.incarnation <= departed[0]:
            return None, None
        if known and announced.incarnation < known.announcement.incarnation:
            return None, None
        if known and announced.incarnation == known.announcement.incarnation:
            known.announcement = announced
            known.expires_at = now + announced.ttl_s
            if leaving:
                self._departed[announced.id] = (announced.incarnation, now)
            return known, None
        if known:
            del self._targets[announced.id]
        if leaving:
            self._departed[announced.id] = (announced.incarnation, now)
            return None, known
        target = Target(announced, now)
        self._targets[announced.id] = target
        return target, known

    def expire(self, now: float) -> list[Target]:
        """Remove and return targets that stayed silent or left."""
        gone = [
            target
            for target in self._targets.values()
            if now >= target.expires_at
            or (
                target.announcement.state is announcement.TargetState.LEAVING
                and not target.in_flight
            )
        ]
        for target in gone:
            del self._targets[target.announcement.id]
        if self._departed:
            self._departed = {
                name: mark
                for name, mark in self._departed.items()
                if now - mark[1] < TOMBSTONE_S
            }
        return gone


class Capacity(msgspec.Struct, frozen=True):
    """Free capacity of a service in one failure domain, told to the others.

    Parameters
    ----------
    run_class : RequestClass
        Slots kept for short work are not free for long work.
    wait_s : float
        Expected wait of a new request.
    """

    failure_domain: str
    service: str
    run_class: request.RequestClass
    free_slots: int
    wait_s: float
