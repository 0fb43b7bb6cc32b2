"""What waiting and stops cost callers.

A workflow that completes within its objective has its full value, within
`objective.LATE_FACTOR` times its objective a reduced one, and later none.
"""

import enum

import msgspec

from . import backlog, catalog, machine, objective, permit, resources, workflow

# Value of a workflow: a fixed part, and one that grows with its work up to a multiple
# of that of the mean one.
FIXED_VALUE = 0.3
MAX_VALUED_SIZE = 4.0
# Share of the estimated run time that work needs at least. Estimates are off by up to
# 90 percent, and work that could be in time is not to be ordered as late.
FEASIBLE_SHARE = 1.0
# Fixed cost of a stop in core-seconds, beside the lost work. It keeps tasks that have
# just started from being stopped without need.
STOP_COST_CORE_S = 1.0
# Cost factor of urgent victims beyond the guarantee of their account: less urgent work
# is stopped first unless its loss is more than this many times as large.
URGENT_VICTIM_FACTOR = 10.0
# Lost time of a long-running task: request, stop and startup on another worker.
RESTART_S = 10.0
CHECKPOINT_LOSS_S = 0.5  # work since the last checkpoint, and restoring it
# A stop takes up to 0.9 s, so stopping a run that ends sooner frees its room no
# earlier. Such runs are the last choice among victims of their priority.
ENDING_S = 1.0
ENDING_FACTOR = 4.0
# Cost factors of runs whose workflows complete in time, or while they have a value, if
# they continue, and do not if they start again: callers lose more than the work.
MISSES_OBJECTIVE_FACTOR = 2.0
MISSES_VALUE_FACTOR = 1.5
# Cost factor of a run whose workflow can't have any value: its work is lost anyway.
# More than 0, so that smaller losses are still preferred among such runs.
WORTHLESS_FACTOR = 0.01


class Standing(enum.IntEnum):
    """What a workflow is still worth to its caller."""

    TIMELY = 0  # it can complete within its objective
    LATE = 1  # it can complete while it has a reduced value
    WORTHLESS = 2  # it is past the time at which its value ends


class Timing(msgspec.Struct, frozen=True):
    """Until when an occurrence has its full value, and until when any.

    Parameters
    ----------
    deadline_ms, value_end_ms : float
        Unix milliseconds.
    """

    deadline_ms: float
    value_end_ms: float


def expected_run_ms(
    state: machine.WorkflowMachine,
    queue: catalog.Queue,
    account: str,
    step: workflow.Step,
) -> float:
    """Return the expected run time of a task of a step, from completed runs."""
    return state.run_times.expected_ms(queue.name, account, step)


def timing(entry: machine.Entry, occurrence: int) -> Timing:
    """Return until when an occurrence of a workflow has a value."""
    submitted = entry.workflow
    start_ms = submitted.due_ms(occurrence) or submitted.submitted_ms
    objective_ms = objective.objective_ms(submitted, entry.queue)
    return Timing(
        start_ms + objective_ms, start_ms + objective.LATE_FACTOR * objective_ms
    )


def path_ms(
    state: machine.WorkflowMachine, entry: machine.Entry, step_index: int
) -> float:
    """Return the expected time from the start of a step to the end of its workflow."""
    steps, queue = entry.workflow.steps, entry.queue
    call_ms = queue.policy.call_ms(permit.MAX_QUERIED_WORKERS) if queue.policy else 0.0
    tails_ms = [0.0] * len(steps)
    # The steps that depend on a step come after it.
    for index in range(len(steps) - 1, step_index - 1, -1):
        tails_ms[index] += expected_run_ms(
            state, queue, entry.workflow.account, steps[index]
        ) + (call_ms if index > step_index else 0.0)
        for dependency in steps[index].after:
            tails_ms[dependency] = max(tails_ms[dependency], tails_ms[index])
    return tails_ms[step_index]


def is_worthless(pending: backlog.PendingStep, now_ms: float) -> bool:
    """Tell whether the time is over at which a pending step had a value.

    Long-running steps do not complete, so they always have one.
    """
    submitted = pending.entry.workflow
    start_ms = submitted.due_ms(pending.occurrence) or submitted.submitted_ms
    objective_ms = pending.deadline_ms - start_ms
    return (
        now_ms > start_ms + objective.LATE_FACTOR * objective_ms
        and not pending.step.long_running
    )


def standing(
    state: machine.WorkflowMachine, pending: backlog.PendingStep, now_ms: float
) -> Standing:
    """Return the standing of the occurrence of a pending step.

    The value counts as lost only once its time is over, since estimates are off.
    """
    if is_worthless(pending, now_ms):
        return Standing.WORTHLESS
    needed_ms = 0.0
    if not pending.step.long_running:
        needed_ms = FEASIBLE_SHARE * path_ms(state, pending.entry, pending.step_index)
    is_late = now_ms + needed_ms > pending.deadline_ms
    return Standing.LATE if is_late else Standing.TIMELY


def value(work_s: float, mean_work_s: float) -> float:
    """Return the value of a workflow, 1 for a mean one of its queue.

    Parameters
    ----------
    work_s, mean_work_s : float
        Its work, and that of the mean workflow.
    """
    size = min(work_s / mean_work_s, MAX_VALUED_SIZE) if mean_work_s else 1.0
    return FIXED_VALUE + (1 - FIXED_VALUE) * size


def slack_s(
    state: machine.WorkflowMachine, pending: backlog.PendingStep, now_ms: float
) -> float:
    """Return how long a step may still wait for its workflow to complete in time."""
    needed_ms = path_ms(state, pending.entry, pending.step_index)
    return (pending.deadline_ms - now_ms - needed_ms) / 1000


def lost_core_s(step: workflow.Step, age_s: float) -> float:
    """Return the work that a stop of one run loses, in core-seconds.

    Accelerators count as `resources.ACCELERATOR_CORES` cores.
    """
    lost_s = min(age_s, CHECKPOINT_LOSS_S) if step.checkpointing else age_s
    return lost_s * resources.core_equivalents(step.needs)


class _StepCost(msgspec.Struct, frozen=True):
    """What the stops of all runs of one step have in common."""

    entry: machine.Entry
    step: workflow.Step
    timing: Timing
    path_ms: float


class StopCosts:
    """What stops cost callers, for the runs of one plan.

    Parameters
    ----------
    now_ms : float
        Unix milliseconds.
    """

    __slots__ = ("_now_ms", "_state", "_steps")

    def __init__(self, state: machine.WorkflowMachine, now_ms: float) -> None:
        self._state = state
        self._now_ms = now_ms
        self._steps: dict[resources.StepKey, _StepCost] = {}

    def cost_core_s(
        self, victim: workflow.Placement, age_s: float, remaining_s: float | None
    ) -> float:
        """Return what a stop of a run and of the others of its gang costs.

        It is in core-seconds, and counts what callers lose beside the work.

        It rises with the number of the run, so that a task that was stopped before is
        stopped again only if that is much cheaper.

        Parameters
        ----------
        age_s : float
            Time since the run started.
        remaining_s : float or None
            Expected time until it ends, ``None`` if it is not known.
        """
        common = self._step_cost(victim.task)
        step = common.step
        members = step.count if step.gang else 1
        lost = members * lost_core_s(step, RESTART_S if step.long_running else age_s)
        factor = float(victim.run)
        if common.entry.queue.priority == 0:
            factor *= URGENT_VICTIM_FACTOR
        if not step.long_running:
            factor *= self._value_factor(common, age_s, remaining_s)
        return factor * (STOP_COST_CORE_S + lost)

    def _value_factor(
        self, common: _StepCost, age_s: float, remaining_s: float | None
    ) -> float:
        """Return by how much a stop costs more or less than the work that it loses."""
        limits, now_ms = common.timing, self._now_ms
        if now_ms > limits.value_end_ms:
            return WORTHLESS_FACTOR
        if remaining_s is not None and remaining_s <= ENDING_S:
            return ENDING_FACTOR
        if common.step.checkpointing or remaining_s is None:
            return 1.0
        # The steps that depend on this one take the same time after a stop.
        following_ms = common.path_ms - expected_run_ms(
            self._state, common.entry.queue, common.entry.workflow.account, common.step
        )
        would_end_ms = now_ms + 1000 * remaining_s + following_ms
        restarted_end_ms = would_end_ms + 1000 * age_s
        if would_end_ms <= limits.deadline_ms < restarted_end_ms:
            return MISSES_OBJECTIVE_FACTOR
        if would_end_ms <= limits.value_end_ms < restarted_end_ms:
            return MISSES_VALUE_FACTOR
        return 1.0

    def _step_cost(self, task: workflow.TaskKey) -> _StepCost:
        key = resources.step_key(task)
        common = self._steps.get(key)
        if common is None:
            entry = self._state.entries[task.workflow_id]
            common = self._steps[key] = _StepCost(
                entry,
                entry.workflow.steps[task.step],
                timing(entry, task.occurrence),
                path_ms(self._state, entry, task.step),
            )
        return common
