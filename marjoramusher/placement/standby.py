"""Workers kept available for urgent jobs."""

from . import ledger, state

# Share of the workers that is left to urgent jobs; only preemptible best effort jobs
# may also run there.
STANDBY_SHARE = 1 / 12


class StandbyWorkers:
    """Choose workers that are free or run only preemptible best effort jobs."""

    __slots__ = ("_position", "_state", "_workers")

    def __init__(self, shared: state.PlacerState) -> None:
        self._state = shared
        self._position = -1
        self._workers: set[str] = set()

    def workers(self) -> set[str]:
        """Return the workers kept for urgent jobs; none if more than enough exist."""
        log_end = self._state.ledger.log_end
        if self._position != log_end:
            self._position = log_end
            self._workers = self._choose()
        return self._workers

    def _choose(self) -> set[str]:
        chosen: set[str] = set()
        target_count = int(len(self._state.ledger.workers) * STANDBY_SHARE)
        if "no_standby" in self._state.options:
            target_count = 0
        # Whole workers are preferred; half a worker also serves an urgent job if
        # guarantees use the whole ones.
        for divisor in (1, 2):
            cell_accelerators = self._state.profiles.largest_capacity[0] // divisor
            if not cell_accelerators or not target_count:
                break
            index = self._state.cell_indexes.index(
                (cell_accelerators, 0, 0), ledger.free_after_preemption
            )
            if index.total_free > target_count * divisor:
                break
            chosen.update(index.workers())
        return chosen
