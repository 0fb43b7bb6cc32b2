"""What workers announce of their departure and their warm-up, and what follows."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from ..core import clock
from ..telemetry import log, metrics
from ..workflows import condition, departure, machine, workflow


class Leader(Protocol):
    """The part of the driver that departures use."""

    def is_unavailable(self, placement: workflow.Placement) -> bool:
        """Tell whether a long-running task is not serving or is being stopped."""

    def stop_run(self, placement: workflow.Placement, reason: str) -> None:
        """Stop a run."""


class Notice(msgspec.Struct, frozen=True):
    """What the latest announcement of a worker says of its next seconds.

    Parameters
    ----------
    incarnation : int
        Incarnation of the worker that the notice is about.
    leaves_s : float or None
        Earliest time at which it leaves; ``None`` if it has not announced that.
    cold_until_s : float or None
        Until when it is slow; ``None`` if it has not announced that.
    """

    incarnation: int
    leaves_s: float | None
    cold_until_s: float | None


class Departures:
    """Carry out the decisions about runs on departing workers while leading.

    Notices are kept in memory. A new leader knows them from the next announcement of
    each worker.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    leader : Leader
        Stops runs.
    """

    __slots__ = (
        "_clock",
        "_departing_runs",
        "_leader",
        "_metrics",
        "_notices",
        "_settings",
        "_state",
    )

    def __init__(
        self,
        state: machine.WorkflowMachine,
        time: clock.Clock,
        leader: Leader,
        metrics_registry: metrics.Metrics,
        settings: departure.Settings,
    ) -> None:
        self._state = state
        self._clock = time
        self._leader = leader
        self._metrics = metrics_registry
        self._settings = settings
        self._notices: dict[str, Notice] = {}
        # Runs that were left on each departing worker, by worker and incarnation.
        self._departing_runs: dict[
            tuple[str, int], set[tuple[workflow.TaskKey, int]]
        ] = {}

    def clear(self) -> None:
        """Forget all notices, as a new leader."""
        self._notices = {}
        self._departing_runs = {}

    def record(
        self,
        worker_id: str,
        incarnation: int,
        announced_s: float,
        drain_remaining_ms: float | None,
        cold_remaining_ms: float | None,
    ) -> None:
        """Record the durations in an announcement.

        Parameters
        ----------
        announced_s : float
            When the announcement was sent, on the clock of this instance.
        drain_remaining_ms, cold_remaining_ms : float or None
            Minimum time until the worker leaves, and time for which it is slow;
            ``None`` if the announcement did not say.
        """

        def end_s(remaining_ms: float | None) -> float | None:
            if remaining_ms is None:
                return None
            return announced_s + max(remaining_ms, 0.0) / 1000

        if drain_remaining_ms is None and cold_remaining_ms is None:
            self._notices.pop(worker_id, None)
            return
        self._notices[worker_id] = Notice(
            incarnation, end_s(drain_remaining_ms), end_s(cold_remaining_ms)
        )

    def is_cold(self, worker: workflow.Worker, now_s: float) -> bool:
        """Tell whether a worker is slow for a while after its start."""
        notice = self._notices.get(worker.worker_id)
        return (
            notice is not None
            and notice.incarnation == worker.incarnation
            and notice.cold_until_s is not None
            and now_s < notice.cold_until_s
        )

    def time_left_s(self, now_s: float) -> dict[str, float]:
        """Return the minimum time until each departing worker leaves."""
        time_left_s = {}
        for worker_id, notice in self._notices.items():
            registered = self._state.workers.get(worker_id)
            if (
                notice.leaves_s is not None
                and registered is not None
                and registered.worker.draining
                and registered.worker.incarnation == notice.incarnation
            ):
                time_left_s[worker_id] = max(notice.leaves_s - now_s, 0.0)
        return time_left_s

    def carry_out(
        self, conditions: Callable[[float], Mapping[str, condition.WorkerCondition]]
    ) -> None:
        """Stop the runs that are to be moved, and count those that were lost.

        Parameters
        ----------
        conditions : callable
            Returns the conditions of all workers at a time on the monotonic clock.
        """
        self._record_departed()
        now_s = self._clock.monotonic()
        time_left_s = self.time_left_s(now_s)
        if not time_left_s:
            return
        verdicts: dict[str, Counter[departure.Verdict]] = {}
        for decision in departure.decisions(
            self._state,
            conditions(now_s),
            time_left_s,
            self._settings,
            self._leader.is_unavailable,
        ):
            for placement in decision.departing:
                by_worker = verdicts.setdefault(placement.worker_id, Counter())
                by_worker[decision.verdict] += 1
            if decision.verdict is departure.Verdict.MOVE:
                for placement in decision.placements:
                    self._leader.stop_run(placement, f"departure: {decision.reason}")
                self._metrics.increment("departure_moves", len(decision.placements))
        for worker_id, left_s in time_left_s.items():
            self._follow(worker_id, left_s, verdicts.get(worker_id, Counter()))

    def record_end(self, worker_id: str, end: workflow.RunEnd) -> None:
        """Count a run that has ended by itself on a departing worker."""
        for (followed_id, _), runs in self._departing_runs.items():
            if followed_id == worker_id and (end.task, end.run) in runs:
                runs.discard((end.task, end.run))
                if end.outcome is workflow.RunOutcome.DONE:
                    self._metrics.increment("departure_finished")

    def _follow(
        self, worker_id: str, left_s: float, verdicts: Counter[departure.Verdict]
    ) -> None:
        """Remember the runs on a departing worker, and log its first notice."""
        worker = self._state.workers[worker_id].worker
        key = (worker_id, worker.incarnation)
        placements = self._state.placements_on(worker_id)
        if key not in self._departing_runs:
            log.state_change(
                "worker.departing",
                worker=worker_id,
                born=worker.incarnation,
                left_s=left_s,
                runs=len(placements),
                finish=verdicts[departure.Verdict.FINISH],
                move=verdicts[departure.Verdict.MOVE],
                wait=verdicts[departure.Verdict.WAIT],
            )
        self._departing_runs[key] = {
            (placement.task, placement.run)
            for placement in placements.values()
            if self._state.entries[placement.task.workflow_id].is_active
        }

    def _record_departed(self) -> None:
        """Count the runs that were on departing workers when these were removed."""
        for worker_id, incarnation in list(self._departing_runs):
            registered = self._state.workers.get(worker_id)
            if registered is None or registered.worker.incarnation != incarnation:
                lost = self._departing_runs.pop((worker_id, incarnation))
                if lost:
                    self._metrics.increment("departure_lost", len(lost))
        for worker_id in self._notices.keys() - self._state.workers.keys():
            del self._notices[worker_id]
