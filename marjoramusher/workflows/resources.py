"""What is free on one worker while a plan is made, and what tasks take of it."""

import msgspec

from . import workflow

ACCELERATOR_CORES = 8  # an accelerator is accounted as this many cores

StepKey = tuple[str, int, int]


def step_key(task: workflow.TaskKey) -> StepKey:
    """Return workflow id, occurrence and step of a task."""
    return task.workflow_id, task.occurrence, task.step


class Candidate:
    """Free resources of one worker, and those that stops will free.

    Parameters
    ----------
    worker : Worker
        Worker without any task.
    avoid : bool
        Whether other workers are preferred.
    """

    __slots__ = (
        "accelerators",
        "is_suspect",
        "expected_accelerators",
        "expected_cores_milli",
        "expected_memory_mb",
        "cores_milli",
        "task_counts",
        "fill_count",
        "memory_mb",
        "serving_count",
        "accepts_fill",
        "victims",
        "worker",
    )

    def __init__(self, worker: workflow.Worker, is_suspect: bool) -> None:
        self.worker = worker
        self.is_suspect = is_suspect
        self.cores_milli = worker.capacity.cores_milli
        self.memory_mb = worker.capacity.memory_mb
        self.accelerators = worker.capacity.accelerators
        self.expected_cores_milli = 0
        self.expected_memory_mb = 0
        self.expected_accelerators = 0
        self.task_counts: dict[StepKey, int] = {}
        self.fill_count = 0
        self.serving_count = 0
        self.accepts_fill = True
        self.victims: list[workflow.Placement] = []

    def allocate(self, needs: workflow.Resources) -> None:
        """Use some of what is free; less than nothing may be left."""
        self.cores_milli -= needs.cores_milli
        self.memory_mb -= needs.memory_mb
        self.accelerators -= needs.accelerators

    def deallocate(self, needs: workflow.Resources) -> None:
        """Take a use back."""
        self.cores_milli += needs.cores_milli
        self.memory_mb += needs.memory_mb
        self.accelerators += needs.accelerators

    def expect_freed(self, needs: workflow.Resources) -> None:
        """Count on room that a stop will free."""
        self.expected_cores_milli += needs.cores_milli
        self.expected_memory_mb += needs.memory_mb
        self.expected_accelerators += needs.accelerators

    def fits(self, needs: workflow.Resources) -> bool:
        """Tell whether a need fits into what is free."""
        return (
            needs.accelerators <= self.accelerators
            and needs.cores_milli <= self.cores_milli
            and needs.memory_mb <= self.memory_mb
        )

    def add_tasks(self, unit: StepKey, change: int) -> None:
        """Note how many tasks of one step are here."""
        self.task_counts[unit] = self.task_counts.get(unit, 0) + change

    def has_task_slot(self, unit: StepKey, most: int) -> bool:
        """Tell whether another task of a step may come, 0 for no bound."""
        return not most or self.task_counts.get(unit, 0) < most

    def will_fit(self, needs: workflow.Resources, more: workflow.Resources) -> bool:
        """Tell whether a need fits with what is coming and some more room."""
        return (
            needs.accelerators
            <= self.accelerators + self.expected_accelerators + more.accelerators
            and needs.cores_milli
            <= self.cores_milli + self.expected_cores_milli + more.cores_milli
            and needs.memory_mb
            <= self.memory_mb + self.expected_memory_mb + more.memory_mb
        )


def interferes(there: Candidate, step: workflow.Step) -> bool:
    """Tell whether a task would be beside some that it disturbs, or that disturb it."""
    return bool(
        (step.fill and there.serving_count) or (step.target_ms and there.fill_count)
    )


def reserved(step: workflow.Step) -> workflow.Resources:
    """Return what a task takes of a worker's capacity."""
    if step.fill:
        return msgspec.structs.replace(step.needs, cores_milli=0)
    return step.needs


def core_seconds(step: workflow.Step) -> float:
    """Return the declared core-seconds of a step, accelerators included."""
    return step.count * step.estimate_ms / 1000 * core_equivalents(step.needs)


def core_equivalents(needs: workflow.Resources) -> float:
    """Return cores, accelerators included."""
    return needs.cores_milli / 1000 + needs.accelerators * ACCELERATOR_CORES


def max_tasks(needs: workflow.Resources, room: workflow.Resources) -> int:
    """Return how often a need fits into a room."""
    pairs = (
        (needs.cores_milli, room.cores_milli),
        (needs.memory_mb, room.memory_mb),
        (needs.accelerators, room.accelerators),
    )
    return min((has // each for each, has in pairs if each > 0), default=1_000_000)


def free_accelerators(rooms: list[Candidate]) -> int:
    """Return the free accelerators of some workers."""
    return sum(max(room.accelerators, 0) for room in rooms)


def negated(needs: workflow.Resources) -> workflow.Resources:
    """Return the opposite of a need."""
    return workflow.Resources(-needs.cores_milli, -needs.memory_mb, -needs.accelerators)


def combined(a: workflow.Resources, b: workflow.Resources) -> workflow.Resources:
    """Return two needs together."""
    return workflow.Resources(
        a.cores_milli + b.cores_milli,
        a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators,
    )
