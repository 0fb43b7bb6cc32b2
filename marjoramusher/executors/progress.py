"""Log lines and metrics about the progress of workflows."""

from collections.abc import Iterable

from ..core import clock
from ..telemetry import log, metrics
from ..workflows import fragmentation, machine, planner, resources, workflow
from . import prediction

# The share is computed over all workers with free accelerators and all waiting steps.
FRAGMENTATION_INTERVAL_S = 1.0


class Progress:
    """Log when workflows start, wait and end while this instance leads.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    """

    __slots__ = (
        "_active",
        "_awaiting",
        "_clock",
        "_fragmentation_due_s",
        "_metrics",
        "_prediction",
        "_state",
        "_wait_reasons",
    )

    def __init__(
        self,
        state: machine.WorkflowMachine,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._state = state
        self._clock = time
        self._metrics = metrics_registry
        self._prediction = prediction.PredictionReport(state, time, metrics_registry)
        self._active: dict[str, machine.Entry] = {}
        self._wait_reasons: dict[resources.StepKey, planner.WaitReason] = {}
        self._awaiting: frozenset[resources.StepKey] = frozenset()
        self._fragmentation_due_s = 0.0

    def on_leading(self) -> None:
        """Start from the active workflows; a former leader has logged the others."""
        self._active = dict(self._state.active)
        self._wait_reasons = {}
        self._prediction.on_leading()
        self._awaiting = frozenset()
        self._metrics.set_gauge("leading", 1)

    def on_not_leading(self) -> None:
        """Clear the gauge of leadership."""
        self._metrics.set_gauge("leading", 0)

    def record_ended(self) -> None:
        """Log each workflow that has ended since the last call."""
        now_active = self._state.active
        for workflow_id in self._active.keys() - now_active.keys():
            entry = self._active[workflow_id]
            self._metrics.increment("workflows_ended", state=entry.state.value)
            duration_s = (entry.ended_ms - entry.workflow.submitted_ms) / 1000
            self._metrics.observe(
                "workflow",
                max(duration_s, 0.0),
                entry.workflow.account,
                entry.queue.name,
            )
            log.state_change(
                "workflow.ended",
                workflow=workflow_id,
                state=entry.state.value,
                after_s=duration_s,
                failures=max(
                    task.failures for _, _, tasks in entry.tasks() for task in tasks
                ),
                attempts=entry.queue.max_attempts,
                crashes=max(
                    len(task.crashes) for _, _, tasks in entry.tasks() for task in tasks
                ),
            )
        self._active = dict(now_active)

    def record_waiting(
        self,
        wait_reasons: dict[resources.StepKey, planner.WaitReason],
        worker_count: int,
        applied_index: int,
    ) -> None:
        """Log why steps wait, if the reason is new.

        Parameters
        ----------
        worker_count : int
            Number of workers that the plan considered.
        applied_index : int
            Index of the last log entry that the plan is based on.
        """
        for key, reason in wait_reasons.items():
            if self._wait_reasons.get(key) is reason:
                continue
            workflow_id, occurrence, step = key
            self._metrics.increment("steps_waiting", reason=reason.value)
            log.state_change(
                "workflow.waiting",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=reason.value,
                workers=worker_count,
                applied=applied_index,
            )
        self._wait_reasons = wait_reasons

    def record_held_back(
        self, held_back: dict[resources.StepKey, planner.WaitReason]
    ) -> None:
        """Log the steps that were placed because they were overdue beside room."""
        for (workflow_id, occurrence, step), reason in held_back.items():
            self._metrics.increment("steps_held_back", reason=reason.value)
            log.state_change(
                "workflow.held_back",
                workflow=workflow_id,
                occurrence=occurrence,
                step=step,
                reason=reason.value,
            )

    def record_awaiting(self, plan: planner.Plan) -> None:
        """Count the steps that got the room of runs that ended by themselves."""
        placed = {resources.step_key(placement.task) for placement in plan.placements}
        avoided = len(self._awaiting & placed)
        if avoided:
            self._metrics.increment("preemptions_avoided", avoided)
        self._awaiting = plan.awaiting

    def not_started(
        self, placements: Iterable[workflow.Placement]
    ) -> list[machine.Entry]:
        """Return the workflows without an earlier placement among some placements."""
        ids = {placement.task.workflow_id for placement in placements}
        entries = [self._state.entries[workflow_id] for workflow_id in sorted(ids)]
        return [entry for entry in entries if not entry.is_started]

    def record_started(self, entries: Iterable[machine.Entry]) -> None:
        """Observe how long workflows waited that have now started."""
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

    def update_gauges(self) -> None:
        """Update the gauges of the replicated state and of waiting steps."""
        metrics_registry = self._metrics
        metrics_registry.set_gauge("catalog_version", self._state.index.catalog.version)
        metrics_registry.set_gauge("workers", len(self._state.workers))
        evacuations = self._state.evacuations.by_domain
        metrics_registry.set_gauge("evacuated_domains", len(evacuations))
        metrics_registry.set_gauge(
            "workers_evacuated",
            sum(
                self._state.is_evacuated(registered.worker)
                for registered in self._state.workers.values()
            ),
        )
        metrics_registry.set_gauge("workflows_active", len(self._state.active))
        metrics_registry.set_gauge("steps_waiting_now", len(self._wait_reasons))
        self._prediction.update()
        now_s = self._clock.monotonic()
        if now_s >= self._fragmentation_due_s:
            self._fragmentation_due_s = now_s + FRAGMENTATION_INTERVAL_S
            metrics_registry.set_gauge(
                "unusable_accelerators",
                fragmentation.unusable_share(self._state, self._wait_reasons),
            )
