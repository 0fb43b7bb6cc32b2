"""Load of whole-worker gangs beside many tasks of one accelerator."""

import msgspec

from bench import workflow_load

# Submissions a second and mean number of tasks. Together they need about 85 percent of
# the fleet of `workflow_load`, so that where small tasks go decides what is left whole.
_RATES = {"urgent": (0.5, 2.0), "gangs": (0.45, 2.0), "small": (1.3, 16.0)}
_ACCELERATORS = {"urgent": (1, 2, 4, 8), "gangs": (8,), "small": (1,)}


def _changed(base: workflow_load.WorkloadClass) -> workflow_load.WorkloadClass:
    name = base.queue.name
    submissions_per_s, mean_tasks = _RATES[name]
    return msgspec.structs.replace(
        base,
        submissions_per_s=submissions_per_s,
        mean_tasks=mean_tasks,
        accelerators=_ACCELERATORS[name],
        failing_share=0.0,
        cancelled_share=0.0,
    )


WORKLOAD_CLASSES = tuple(map(_changed, workflow_load.WORKLOAD_CLASSES))


def make_load(seed: int, duration_s: float) -> list[workflow_load.Arrival]:
    """Return the arrivals of a session."""
    return workflow_load.make_load(seed, duration_s, classes=WORKLOAD_CLASSES)
