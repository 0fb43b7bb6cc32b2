"""How many tasks of a long-running step may be away at once."""

from collections.abc import Callable

from . import machine, workflow


def can_stop(
    state: machine.WorkflowMachine,
    victim: workflow.Placement,
    is_unavailable: Callable[[workflow.Placement], bool],
) -> bool:
    """Tell whether enough other tasks of its step stay at work if a run is stopped.

    Parameters
    ----------
    is_away : callable
        Tells whether a run is not at work, or will not be.
    """
    key = victim.task
    step = state.step(key)
    if step is None or not step.long_running or not step.max_unavailable:
        return True
    tasks = state.entries[key.workflow_id].occurrences[key.occurrence][key.step]
    away = sum(
        task.placement is None or is_unavailable(task.placement)
        for task in tasks
        if task.placement != victim
    )
    return away < step.max_unavailable
