"""Workflows as submitted by callers, and the runs of their tasks on workers."""

import enum

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources that a task needs or a worker has.

    Parameters
    ----------
    cores_milli : int
        Thousandths of a core.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_within(self, available: "Resources") -> bool:
        """Tell whether these resources are contained in the available ones."""
        return (
            self.cores_milli <= available.cores_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A number of identical tasks.

    Parameters
    ----------
    estimate_ms : int
        Run time of a task as declared by the caller; it can be far off.
    after : tuple of int
        Indexes of the steps that must be complete before this one starts.
    gang : bool
        Whether the tasks can only run all at the same time.
    same_rack : bool
        Whether the tasks run slower when they are spread over several racks.
    label : str
        Label that a worker must have; empty for any worker.
    rack : str
        Rack that holds the input data; the tasks run slower on other racks.
    max_per_worker : int
        Maximum number of tasks of the step and occurrence on one worker; 0 sets no
        limit.
    speculative : bool
        Whether a second copy of a task may run at the same time.
    long_running : bool
        Whether the tasks run until the workflow is cancelled.
    max_unavailable : int
        Maximum number of tasks that the system itself may take down at once; 0 sets
        no limit.
    target_ms : int
        Target for the tail latency; 0 if the tasks serve no users. Tasks with a target
        are called serving tasks.
    fill : bool
        Whether the tasks only use cores that other tasks leave idle.
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
    """An accepted submission.

    Parameters
    ----------
    payload : str
        Opaque value that is passed to each task.
    submitted_ms : int
        Unix milliseconds on the clock of the leader that accepted it.
    repetitions : int
        Number of scheduled occurrences; 0 runs the steps once, immediately.
    first_due_ms, interval_ms : int
        Unix milliseconds of the first occurrence, and the time between occurrences.
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
        """Return when an occurrence may start; 0 if it has no due time."""
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
    """Identifies one task of one occurrence of a workflow."""

    workflow_id: str
    occurrence: int
    step: int
    index: int


class Placement(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A run of a task on one incarnation of a worker.

    Parameters
    ----------
    run : int
        Sequence number of the run, which rises with each start of the task; all
        members of a gang have the same one.
    incarnation : int
        Unix milliseconds at which the worker process started.
    """

    task: TaskKey
    run: int
    worker_id: str
    incarnation: int


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the lease of the worker expired
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not start in time


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run as reported by its worker.

    Parameters
    ----------
    number : int
        Sequence number among the ends of one incarnation of the worker.
    checkpoint : str
        Latest checkpoint, empty if there is none.
    """

    number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class Release(msgspec.Struct, frozen=True, array_like=True):
    """A run that did not start or has certainly ended, without a reported end.

    Parameters
    ----------
    has_lapsed : bool
        Whether the run has ended with the lease of its worker, which may have crashed.
    has_started : bool
        Whether the worker is known to have started the run.
    """

    task: TaskKey
    run: int
    reason: str
    checkpoint: str = ""
    has_lapsed: bool = False
    has_started: bool = True


class Worker(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker as described in its announcement.

    Parameters
    ----------
    incarnation : int
        Unix milliseconds at which the process started; higher values are later.
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
