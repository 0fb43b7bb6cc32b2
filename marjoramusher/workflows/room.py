"""What is free on one worker while a plan is made, and what tasks take of it."""

import msgspec

from . import workflow

ACCELERATOR_CORES = 8  # an accelerator is accounted as this many cores

UnitName = tuple[str, int, int]


def unit_name(task: workflow.TaskKey) -> UnitName:
    """Return workflow id, occurrence and step of a task."""
    return task.workflow_id, task.occurrence, task.step


class Room:
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
        "avoid",
        "coming_accelerators",
        "coming_cores",
        "coming_memory",
        "cores",
        "counts",
        "fills",
        "memory",
        "serves",
        "takes_fill",
        "victims",
        "worker",
    )

    def __init__(self, worker: workflow.Worker, avoid: bool) -> None:
        self.worker = worker
        self.avoid = avoid
        self.cores = worker.capacity.cores_milli
        self.memory = worker.capacity.memory_mb
        self.accelerators = worker.capacity.accelerators
        self.coming_cores = 0
        self.coming_memory = 0
        self.coming_accelerators = 0
        self.counts: dict[UnitName, int] = {}
        self.fills = 0
        self.serves = 0
        self.takes_fill = True
        self.victims: list[workflow.Placement] = []

    def take(self, needs: workflow.Resources) -> None:
        """Use some of what is free; less than nothing may be left."""
        self.cores -= needs.cores_milli
        self.memory -= needs.memory_mb
        self.accelerators -= needs.accelerators

    def give(self, needs: workflow.Resources) -> None:
        """Take a use back."""
        self.cores += needs.cores_milli
        self.memory += needs.memory_mb
        self.accelerators += needs.accelerators

    def expect(self, needs: workflow.Resources) -> None:
        """Count on room that a stop will free."""
        self.coming_cores += needs.cores_milli
        self.coming_memory += needs.memory_mb
        self.coming_accelerators += needs.accelerators

    def fits(self, needs: workflow.Resources) -> bool:
        """Tell whether a need fits into what is free."""
        return (
            needs.accelerators <= self.accelerators
            and needs.cores_milli <= self.cores
            and needs.memory_mb <= self.memory
        )

    def count(self, unit: UnitName, change: int) -> None:
        """Note how many tasks of one step are here."""
        self.counts[unit] = self.counts.get(unit, 0) + change

    def takes_more(self, unit: UnitName, most: int) -> bool:
        """Tell whether another task of a step may come, 0 for no bound."""
        return not most or self.counts.get(unit, 0) < most

    def will_fit(self, needs: workflow.Resources, more: workflow.Resources) -> bool:
        """Tell whether a need fits with what is coming and some more room."""
        return (
            needs.accelerators
            <= self.accelerators + self.coming_accelerators + more.accelerators
            and needs.cores_milli <= self.cores + self.coming_cores + more.cores_milli
            and needs.memory_mb <= self.memory + self.coming_memory + more.memory_mb
        )


def is_shared(there: Room, step: workflow.Step) -> bool:
    """Tell whether a task would be beside some that it disturbs, or that disturb it."""
    return bool((step.fill and there.serves) or (step.target_ms and there.fills))


def accounted(step: workflow.Step) -> workflow.Resources:
    """Return what a task takes of a worker's capacity."""
    if step.fill:
        return msgspec.structs.replace(step.needs, cores_milli=0)
    return step.needs


def work(step: workflow.Step) -> float:
    """Return the declared core-seconds of a step, accelerators included."""
    return step.count * step.estimate_ms / 1000 * cores(step.needs)


def cores(needs: workflow.Resources) -> float:
    """Return cores, accelerators included."""
    return needs.cores_milli / 1000 + needs.accelerators * ACCELERATOR_CORES


def times(needs: workflow.Resources, room: workflow.Resources) -> int:
    """Return how often a need fits into a room."""
    pairs = (
        (needs.cores_milli, room.cores_milli),
        (needs.memory_mb, room.memory_mb),
        (needs.accelerators, room.accelerators),
    )
    return min((has // each for each, has in pairs if each > 0), default=1_000_000)


def free_accelerators(rooms: list[Room]) -> int:
    """Return the free accelerators of some workers."""
    return sum(max(room.accelerators, 0) for room in rooms)


def negative(needs: workflow.Resources) -> workflow.Resources:
    """Return the opposite of a need."""
    return workflow.Resources(-needs.cores_milli, -needs.memory_mb, -needs.accelerators)


def total(a: workflow.Resources, b: workflow.Resources) -> workflow.Resources:
    """Return two needs together."""
    return workflow.Resources(
        a.cores_milli + b.cores_milli,
        a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators,
    )
