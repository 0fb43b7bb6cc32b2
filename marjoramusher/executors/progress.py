"""What the logs and metrics of the leader show of workflows."""

from collections.abc import Iterable

from ..core import clock
from ..telemetry import log, metrics
from ..workflows import machine, planner, resources, workflow


class Progress:
    """Note when workflows start, wait and end while this instance leads.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    """

    __slots__ = ("_active", "_clock", "_metrics", "_state", "_waiting")

    def __init__(
        self,
        state: machine.WorkflowMachine,
        time: clock.Clock,
        values: metrics.Metrics,
    ) -> None:
        self._state = state
        self._clock = time
        self._metrics = values
        self._active: dict[str, machine.Entry] = {}
        self._waiting: dict[resources.StepKey, planner.WaitReason] = {}

    def begin(self) -> None:
        """Begin with what is active now; a former leader has noted the rest."""
        self._active = dict(self._state.active)
        self._waiting = {}
        self._metrics.set_gauge("leading", 1)

    def end(self) -> None:
        """Show that another instance leads."""
        self._metrics.set_gauge("leading", 0)

    def note_ended(self) -> None:
        """Log each workflow that has ended since the last call."""
        now_active = self._state.active
        for workflow_id in self._active.keys() - now_active.keys():
            entry = self._active[workflow_id]
            self._metrics.increment("workflows_ended", state=entry.state.value)
            took_s = (entry.ended_ms - entry.workflow.submitted_ms) / 1000
            self._metrics.observe(
                "workflow", max(took_s, 0.0), entry.workflow.account, entry.queue.name
            )
            log.state_change(
                "workflow.ended",
                workflow=workflow_id,
                state=entry.state.value,
                after_s=took_s,
                failures=max(
                    task.failures for _, _, tasks in entry.tasks() for task in tasks
                ),
                attempts=entry.queue.max_attempts,
            )
        self._active = dict(now_active)

    def note_waiting(
        self,
        waiting: dict[resources.StepKey, planner.WaitReason],
        workers: int,
        applied: int,
    ) -> None:
        """Log why tasks wait when that is new.

        Parameters
        ----------
        workers : int
            Number of workers that the plan has considered.
        applied : int
            Index of the log that it was based on.
        """
        for name, reason in waiting.items():
            if self._waiting.get(name) is reason:
                continue
            workflow_id, occurrence, step = name
            self._metrics.increment("steps_waiting", reason=reason.value)
            log.state_change(
                "workflow.waiting",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=reason.value,
                workers=workers,
                applied=applied,
            )
        self._waiting = waiting

    def not_started(
        self, placements: Iterable[workflow.Placement]
    ) -> list[machine.Entry]:
        """Return the workflows that some placements are the first ones of."""
        names = {each.task.workflow_id for each in placements}
        entries = [self._state.entries[name] for name in sorted(names)]
        return [entry for entry in entries if not entry.is_started]

    def note_started(self, entries: Iterable[machine.Entry]) -> None:
        """Note how long workflows have waited that have started now."""
        now_ms = clock.unix_ms(self._clock)
        for entry in entries:
            if entry.is_started:
                due_ms = entry.workflow.due_ms(0) or entry.workflow.submitted_ms
                self._metrics.observe(
                    "workflow_start",
                    max(now_ms - due_ms, 0) / 1000,
                    entry.workflow.account,
                    entry.queue.name,
                )

    def show(self) -> None:
        """Set the gauges of what this instance believes as leader."""
        values = self._metrics
        values.set_gauge("catalog_version", self._state.index.catalog.version)
        values.set_gauge("workers", len(self._state.workers))
        values.set_gauge("workflows_active", len(self._state.active))
        values.set_gauge("steps_waiting_now", len(self._waiting))
