"""Resources of workers and shapes of gangs."""

import enum

import msgspec


class Adjacency(enum.Enum):
    """How close together the members of a gang must be."""

    NONE = "none"
    RACK = "rack"
    WORKER = "worker"


class JobClass(enum.Enum):
    """Urgency of a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    BEST_EFFORT = "best_effort"


class Resources(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Amounts on one worker or for one gang member.

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

    def fits(self, other: "Resources") -> bool:
        """Tell whether these amounts fit into `other`."""
        return (
            self.accelerators <= other.accelerators
            and self.cores <= other.cores
            and self.memory_mb <= other.memory_mb
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; amounts may go below zero on overcommit."""
        return Resources(
            self.accelerators - other.accelerators,
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
        )


class GangShape(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """What one gang needs.

    Parameters
    ----------
    tasks : int
        Number of tasks that start together.
    each : Resources
        What each task needs on one worker.
    adjacency : Adjacency
        ``RACK`` keeps all tasks in one rack, ``WORKER`` on one worker.
    """

    tasks: int = 1
    each: Resources = Resources()
    adjacency: Adjacency = Adjacency.NONE

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of the whole gang."""
        return self.tasks * self.each.accelerators
