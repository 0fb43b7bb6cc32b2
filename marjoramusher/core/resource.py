"""Resource amounts and gang shapes."""

import enum

import msgspec


class Adjacency(enum.Enum):
    """Placement constraint on the tasks of a gang."""

    NONE = "none"
    RACK = "rack"
    WORKER = "worker"


class JobClass(enum.Enum):
    """Priority class of a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    BEST_EFFORT = "best_effort"


class Resources(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Resource amounts of a worker or of one task.

    Parameters
    ----------
    accelerators : int
        Number of accelerators.
    cores : int
        Processor cores.
    memory_mb : int
        Memory in MiB.
    """

    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0

    def fits_within(self, other: "Resources") -> bool:
        """Return whether no amount exceeds that of `other`."""
        return (
            self.accelerators <= other.accelerators
            and self.cores <= other.cores
            and self.memory_mb <= other.memory_mb
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which is negative where a worker is overcommitted."""
        return Resources(
            self.accelerators - other.accelerators,
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
        )


class GangShape(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Number of tasks of a gang, their resources and placement constraint.

    Parameters
    ----------
    tasks : int
        Number of tasks, which start together.
    each : Resources
        Resources of each task.
    adjacency : Adjacency
        ``RACK`` places all tasks in one rack, ``WORKER`` on one worker.
    """

    tasks: int = 1
    each: Resources = Resources()
    adjacency: Adjacency = Adjacency.NONE

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of the whole gang."""
        return self.tasks * self.each.accelerators
