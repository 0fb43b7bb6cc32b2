"""Reconciliation with the workers after an election, before placement starts."""

from . import domain, table

MIN_RECONCILIATION_S = 1.5  # every live worker announces itself within this time

# Far above the length of a lease plus the difference between the clocks of two leaders.
LOSSY_RECOVERY_S = 60.0


class Reconciliation:
    """Delay placement until the leader knows which tasks may still run.

    Parameters
    ----------
    state : DomainState
        State at the election.
    """

    __slots__ = (
        "_awaited_workers",
        "_is_after_lossy_recovery",
        "_is_complete",
        "_recovered_at",
        "_state",
    )

    def __init__(self, state: domain.DomainState) -> None:
        jobs = state.jobs
        self._state = state
        self._is_complete = False
        self._recovered_at = jobs.recovered_at
        # Gangs of lost commands may run on any worker, including silent ones.
        self._is_after_lossy_recovery = (
            jobs.recovered_at is not None
            and abs(state.wall_time - jobs.recovered_at) < LOSSY_RECOVERY_S
        )
        self._awaited_workers = set(jobs.ledger.workers())

    @property
    def is_complete(self) -> bool:
        """Return whether placement may start."""
        return self._is_complete

    @property
    def is_outdated(self) -> bool:
        """Return whether a recovery with loss has happened since the election."""
        return self._state.jobs.recovered_at != self._recovered_at

    def record_announcement(self, worker_id: str) -> None:
        """Record that a worker has announced itself."""
        self._awaited_workers.discard(worker_id)

    def update(self) -> None:
        """Complete once all awaited workers have reported or their leases expired."""
        if self._is_complete:
            return
        now, elected_at = self._state.now, self._state.workers.elected_at
        has_waited = now >= elected_at + MIN_RECONCILIATION_S
        are_leases_expired = now >= elected_at + table.LEASE_EXPIRY_S
        are_all_tasks_known = (
            not self._awaited_workers and not self._is_after_lossy_recovery
        )
        self._is_complete = has_waited and (are_leases_expired or are_all_tasks_known)
