"""Disruption budget of long-running steps."""

from collections.abc import Callable

from . import machine, workflow


def can_stop(
    state: machine.WorkflowMachine,
    victim: workflow.Placement,
    is_unavailable: Callable[[workflow.Placement], bool],
) -> bool:
    """Tell whether stopping a run keeps its step within `max_unavailable`.

    Parameters
    ----------
    is_unavailable : callable
        Tells whether a run is not serving or is about to stop.
    """
    key = victim.task
    step = state.step(key)
    if step is None or not step.long_running or not step.max_unavailable:
        return True
    tasks = state.entries[key.workflow_id].occurrences[key.occurrence][key.step]
    unavailable = sum(
        task.placement is None or is_unavailable(task.placement)
        for task in tasks
        if task.placement != victim
    )
    return unavailable < step.max_unavailable
