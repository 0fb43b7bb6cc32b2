"""Start of placement after an election."""

from . import domain, table

SETTLE_S = 1.5  # every live worker announces itself once within it
RECOVERY_S = 60.0  # far above a lease and the difference of two clocks


class Gate:
    """Hold placement back until the leader knows what may still run.

    Parameters
    ----------
    shared : Domain
        State at the election.
    """

    __slots__ = ("_awaited", "_domain", "_is_lossy", "_is_open", "_recovered_at")

    def __init__(self, shared: domain.Domain) -> None:
        jobs = shared.jobs
        self._domain = shared
        self._is_open = False
        self._recovered_at = jobs.recovered_at
        # Gangs of lost commands may run anywhere, also on workers that are silent.
        self._is_lossy = (
            jobs.recovered_at is not None
            and abs(shared.at - jobs.recovered_at) < RECOVERY_S
        )
        self._awaited = set(jobs.ledger.workers())

    @property
    def is_open(self) -> bool:
        """Tell whether reconciliation with the workers is complete."""
        return self._is_open

    @property
    def is_outdated(self) -> bool:
        """Tell whether a recovery with loss has happened since the election."""
        return self._domain.jobs.recovered_at != self._recovered_at

    def heard(self, worker: str) -> None:
        """Note that a worker has announced itself."""
        self._awaited.discard(worker)

    def ticked(self) -> None:
        """Open once all is heard, or no earlier lease can last."""
        if self._is_open:
            return
        now, elected_at = self._domain.now, self._domain.workers.elected_at
        settled = now >= elected_at + SETTLE_S
        over = now >= elected_at + table.LEASE_OVER_S
        heard = not self._awaited and not self._is_lossy
        self._is_open = settled and (over or heard)
