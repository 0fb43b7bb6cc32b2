"""What a caller submits: steps of tasks, and what is known of each task."""

import enum

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """What a task needs or a worker has.

    Parameters
    ----------
    cores_milli : int
        Thousandths of a core.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Tell whether this fits into a room."""
        return (
            self.cores_milli <= room.cores_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that are alike.

    Parameters
    ----------
    estimate_ms : int
        Declared run time of a task, far off at times.
    after : tuple of int
        Steps whose tasks must all be done first.
    gang : bool
        Whether the tasks run only together.
    same_rack : bool
        Whether tasks on more than one rack are slowed down.
    label : str
        Label that a worker must have.
    rack : str
        Rack that holds the data; elsewhere the tasks are slowed down.
    max_per_worker : int
        Most tasks of one occurrence on one worker; 0 for no bound.
    speculative : bool
        Whether copies may run in parallel.
    long_running : bool
        Whether the tasks run until the workflow is cancelled.
    max_unavailable : int
        Tasks that may be away at once through the system's own actions.
    fill : bool
        Whether the tasks take cores that others leave unused.
    """

    count: int
    needs: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    image: str = ""
    target_ms: int = 0
    fill: bool = False


class Workflow(msgspec.Struct, frozen=True, array_like=True):
    """One accepted submission.

    Parameters
    ----------
    payload : str
        Handed to each task as it is.
    submitted_ms : int
        Unix milliseconds on the clock of the leader that accepted it.
    repetitions : int
        How often the steps run; 0 for once, at once.
    first_due_ms, interval_ms : int
        Unix milliseconds of the first occurrence, and the time to the next one.
    """

    workflow_id: str
    queue: str
    account: str
    payload: str
    steps: tuple[Step, ...]
    submitted_ms: int = 0
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start."""
        if not self.repetitions:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class State(enum.Enum):
    """State of a workflow."""

    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Names one task of one occurrence of a workflow."""

    workflow_id: str
    occurrence: int
    step: int
    index: int


class Placement(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A run of a task on one life of a worker.

    Parameters
    ----------
    run : int
        Number of the start of the task; the members of a gang share it.
    born : int
        Unix milliseconds of the start of the worker.
    """

    task: TaskKey
    run: int
    worker_id: str
    incarnation: int


class RunOutcome(enum.Enum):
    """How a run has ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run, as a worker lists it.

    Parameters
    ----------
    number : int
        Position in the list of one life of the worker.
    checkpoint : str
        Newest checkpoint, empty if there is none.
    """

    number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class Release(msgspec.Struct, frozen=True, array_like=True):
    """A run that certainly runs no more, or never will, without a listed end."""

    task: TaskKey
    run: int
    reason: str
    checkpoint: str = ""


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """One life of a worker, as it describes itself.

    Parameters
    ----------
    born : int
        Unix milliseconds of its start; a higher one is a later life.
    """

    worker_id: str
    incarnation: int
    address: str
    service: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool = False
