"""Limits on the slots of each target that this instance may fill."""

from . import request as requests
from . import state
from . import target as targets

FULL_BACKOFF_S = 0.05  # a full target may have a free slot by then


class SlotLimiter:
    """Limit the use of targets by grants, drains and failures.

    Attributes
    ----------
    drained_targets : set of str
        Ids of the targets that operators drain.
    is_leader_known : bool
        Whether the domain group has a leader; without one, grants don't expire.
    """

    __slots__ = ("drained_targets", "is_leader_known")

    def __init__(self) -> None:
        self.drained_targets: set[str] = set()
        self.is_leader_known = True

    def update(self, service: state.ServiceState, now: float) -> None:
        """Recompute the slot limits of a service and of all its targets."""
        total = 0
        for target in service.targets.values():
            self._update_target(target, now)
            service.update_free_targets(target)
            total += target.slot_limit
        service.slot_limit = total
        service.update_class_limits()

    def record_failure(
        self,
        service: state.ServiceState,
        target: targets.Target,
        kind: requests.FailureKind,
        now: float,
    ) -> None:
        """Reduce the slot limit of a target that failed or refused a request."""
        if kind is requests.FailureKind.NOT_STARTED:
            # The target is full or about to leave, and its state may soon change.
            target.backoff_until = now + FULL_BACKOFF_S
        else:
            was_sent = kind not in requests.NOT_RUN_FAILURES
            if was_sent:
                service.record_outcome(failed=True)
            target.record_failure(now, was_sent, service.failure_rate)
        previous_limit = target.slot_limit
        self._update_target(target, now)
        service.slot_limit += target.slot_limit - previous_limit
        service.update_free_targets(target)
        service.update_class_limits()

    def _update_target(self, target: targets.Target, now: float) -> None:
        if self.is_leader_known and now >= target.grant_expires_at:
            target.granted_slots = 0
        target.update_slot_limit(now)
        if target.announcement.id in self.drained_targets:
            target.slot_limit = 0
