"""How many slots of each target may be filled."""

from . import request, state, target

FULL_BACKOFF_S = 0.05  # a full target may have a free slot by then


class Allowance:
    """Rules that limit the use of targets: grants, drains and failures.

    Attributes
    ----------
    drained : set of str
        Names of the targets that operators drain.
    leader_known : bool
        Whether the domain group has a leader; without one, grants don't expire.
    """

    __slots__ = ("drained", "leader_known")

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self.leader_known = True

    def refresh(self, service: state.Service, now: float) -> None:
        """Work out the limits of a service and of all its targets."""
        total = 0
        for known in service.targets.values():
            self._set_limit(known, now)
            service.set_free(known)
            total += known.limit
        service.limit = total
        service.set_limits()

    def punish(
        self,
        service: state.Service,
        chosen: target.Target,
        kind: request.FailureKind,
        now: float,
    ) -> None:
        """Keep work away from a target that failed or was full."""
        if kind is request.FailureKind.NOT_STARTED:
            # Full or about to leave; tried again once it may have changed.
            chosen.backoff_until = now + FULL_BACKOFF_S
        else:
            was_sent = kind not in request.NOT_SENT
            if was_sent:
                service.note_outcome(failed=True)
            chosen.note_failure(now, was_sent, service.failing_share)
        before = chosen.limit
        self._set_limit(chosen, now)
        service.limit += chosen.limit - before
        service.set_free(chosen)
        service.set_limits()

    def _set_limit(self, known: target.Target, now: float) -> None:
        if self.leader_known and now >= known.grant_expires_at:
            known.granted = 0
        known.refresh_limit(now)
        if known.announcement.id in self.drained:
            known.limit = 0
