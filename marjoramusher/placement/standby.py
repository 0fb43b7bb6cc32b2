"""Workers kept for urgent jobs."""

from . import ledger, state

# Share of the workers that other jobs than best effort ones leave to urgent jobs.
STANDBY_SHARE = 1 / 12


class StandbyWorkers:
    """Choose workers that are free or run best effort jobs only."""

    __slots__ = ("_position", "_state", "_workers")

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._position = -1
        self._workers: set[str] = set()

    def workers(self) -> set[str]:
        """Return the workers to keep for urgent jobs."""
        end = self._state.ledger.end
        if self._position != end:
            self._position = end
            self._workers = self._choose()
        return self._workers

    def _choose(self) -> set[str]:
        chosen: set[str] = set()
        wanted = int(len(self._state.ledger.workers) * STANDBY_SHARE)
        if "no_standby" in self._state.options:
            wanted = 0
        # Whole workers first; if guarantees have taken those, halves.
        for part in (1, 2):
            size = self._state.profiles.largest[0] // part
            if not size or not wanted:
                break
            index = self._state.cells.index((size, 0, 0), ledger.yielding_free)
            if index.total > wanted * part:
                break
            chosen.update(index.workers())
        return chosen
