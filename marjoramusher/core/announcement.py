"""What targets and workers say about themselves."""

import enum

import msgspec

from . import resource


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class TargetAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a runner.

    Parameters
    ----------
    incarnation : int
        Raised on each start of the runner, so that a late announcement of an
        earlier process can't bring it back.
    ttl_s : float
        Time after which the runner is forgotten unless it renews.
    """

    id: str
    url: str
    failure_domain: str
    service: str
    incarnation: int
    slots: int = 8
    connections: int = 64
    state: TargetState = TargetState.SERVING
    ttl_s: float = 6.0


class TaskState(enum.Enum):
    """State of a task at its worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """State of one task at its worker.

    Parameters
    ----------
    usage : Resources
        Observed use; it lags behind.
    progress_s : float
        Run time saved in `checkpoint`.
    """

    task_id: str
    epoch: int
    state: TaskState
    checkpoint: str = ""
    progress_s: float = 0.0
    usage: resource.Resources = resource.Resources()
    error: str = ""


class WorkerAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a worker with the tasks that it holds."""

    id: str
    url: str
    failure_domain: str
    rack: str
    incarnation: int
    capacity: resource.Resources
    tasks: tuple[TaskReport, ...] = ()


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Lease that the leader renews for a task."""

    task_id: str
    epoch: int
    lease_s: float


class WorkerReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a worker's announcement.

    Parameters
    ----------
    leader_url : str
        Address to announce to next; empty if no leader is known.
    stop : tuple of str
        Tasks that the worker must stop.
    """

    leader_url: str = ""
    renewals: tuple[LeaseRenewal, ...] = ()
    stop: tuple[str, ...] = ()
