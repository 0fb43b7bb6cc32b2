"""Tasks during which workers have crashed, and workers of their own for them."""

from collections.abc import Callable, Mapping, Sequence

from ..core import crash
from . import backlog, machine, resources, suspicion


class Isolation:
    """Rules by which suspects wait, and are kept apart from other tasks.

    Parameters
    ----------
    candidates : mapping of str to list of Candidate
        Usable workers by service, which may be added to.
    has_to_run : callable
        Tells whether tasks must not wait beside workers that have room for them.
    """

    __slots__ = ("_candidates", "_has_to_run", "_now_ms", "_state")

    def __init__(
        self,
        state: machine.WorkflowMachine,
        now_ms: float,
        candidates: Mapping[str, list[resources.Candidate]],
        has_to_run: Callable[[backlog.PendingStep], bool],
    ) -> None:
        self._state = state
        self._now_ms = now_ms
        self._candidates = candidates
        self._has_to_run = has_to_run

    def crashes(
        self, pending: backlog.PendingStep, index: int
    ) -> Sequence[crash.Crash]:
        """Return the crashes and possible ones of a task that count now."""
        if not pending.has_suspects:
            return ()
        suspicions = pending.tasks[index].suspicions
        return suspicion.recent(suspicions, pending.step, self._now_ms)

    def by_crashes(self, pending: backlog.PendingStep) -> Sequence[int]:
        """Return the pending tasks, those with most crashes first."""
        if not pending.has_suspects:
            return pending.task_indexes
        return sorted(
            pending.task_indexes,
            key=lambda index: -len(self.crashes(pending, index)),
        )

    def needs_isolation(self, pending: backlog.PendingStep, index: int) -> bool:
        """Tell whether a task is to be placed on a worker of its own."""
        return len(self.crashes(pending, index)) >= crash.ISOLATION_CRASHES

    def may_wait_for_isolation(self, pending: backlog.PendingStep, index: int) -> bool:
        """Tell whether a suspect may wait until it has a worker of its own.

        One whose next crash could give it up waits, so that it is alone if that comes.
        """
        if pending.step.long_running:
            return False
        suspected = self.crashes(pending, index)
        certain = pending.tasks[index].crashes
        return (
            len(certain) >= crash.MIN_CRASHES
            or crash.has_fresh(suspected, self._now_ms, crash.MAX_HOLD_MS)
            or not self._has_to_run(pending)
        )

    def may_wait(self, pending: backlog.PendingStep, index: int) -> bool:
        """Tell whether a task may wait because of its crashes."""
        return self.is_undecided(pending, index) or (
            self.needs_isolation(pending, index)
            and self.may_wait_for_isolation(pending, index)
        )

    def is_undecided(self, pending: backlog.PendingStep, index: int) -> bool:
        """Tell whether it is not known yet how many crashes a task has had."""
        task, step = pending.tasks[index], pending.step
        return crash.is_undecided(
            suspicion.recent(task.crashes, step, self._now_ms),
            task.possible_crashes,
            self._now_ms,
            crash.MAX_HOLD_MS,
        )

    def _isolation_limit(self, service: str, workers_per_isolation: int) -> int:
        """Return how many workers may be closed to other tasks at a time."""
        return max(len(self._candidates.get(service, ())) // workers_per_isolation, 1)

    def can_isolate(
        self, pending: backlog.PendingStep, candidates: list[resources.Candidate]
    ) -> bool:
        """Tell whether tasks could have workers of their own once these are empty.

        The other members of a gang have to fit on the remaining workers.
        """
        if not pending.has_suspects:
            return False
        alone = sum(
            self.needs_isolation(pending, index) for index in pending.task_indexes
        )
        if not pending.step.gang:
            alone = 1
        needs = resources.reserved(pending.step)
        options = sorted(
            resources.max_tasks(needs, candidate.worker.capacity)
            for candidate in candidates
            if self._is_isolation_option(pending, candidate)
        )
        service = pending.entry.queue.service
        limit = self._isolation_limit(service, crash.WORKERS_PER_ISOLATION)
        if alone > min(len(options), limit):
            return False
        total = sum(
            resources.max_tasks(needs, candidate.worker.capacity)
            for candidate in candidates
        )
        others = len(pending.task_indexes) - alone if pending.step.gang else 0
        return others <= total - sum(options[:alone])

    def _is_isolation_option(
        self, pending: backlog.PendingStep, candidate: resources.Candidate
    ) -> bool:
        """Tell whether a worker has the resources for a task, and can become empty."""
        needs = resources.reserved(pending.step)
        return needs.fits_within(candidate.worker.capacity) and not any(
            self._state.step(placement.task).long_running
            for placement in candidate.running
        )

    def spare_worker(
        self,
        pending: backlog.PendingStep,
        index: int,
        candidates: list[resources.Candidate],
        workers_per_isolation: int = crash.WORKERS_PER_ISOLATION,
    ) -> resources.Candidate | None:
        """Return a worker for a task on its own, and close it to other tasks.

        If it is not empty, the task has to wait for the tasks there. ``None`` if no
        further worker may be closed now.
        """
        service = pending.entry.queue.service
        closed = sum(item.is_closed for item in self._candidates.get(service, ()))
        options = [
            candidate
            for candidate in candidates
            if not candidate.is_closed
            and not candidate.is_silent
            and self._is_isolation_option(pending, candidate)
        ]
        limit = self._isolation_limit(service, workers_per_isolation)
        if closed >= limit or not options:
            return None
        addresses = {item.address for item in self.crashes(pending, index)}
        rack = pending.step.rack
        spared = min(
            options,
            key=lambda candidate: (
                candidate.task_count > 0,
                candidate.worker.address in addresses,
                bool(rack) and candidate.worker.rack != rack,
                candidate.is_suspect,
                candidate.task_count,
                candidate.worker.worker_id,
            ),
        )
        spared.close()
        return spared
