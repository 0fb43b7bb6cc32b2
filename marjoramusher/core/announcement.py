"""Announcements by which targets and workers register with an instance."""

import enum

import msgspec

from . import resource


class TargetState(enum.Enum):
    """State in which a target announces itself; a leaving one gets no new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class TargetAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a target (a runner of one service).

    Parameters
    ----------
    incarnation : int
        Increases with each start of the runner, so that a delayed announcement of
        an earlier process can't register it again.
    ttl_s : float
        Time after which the target is removed unless it announces itself again.
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
    """State of a task on its worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Report of a worker on one of its tasks.

    Parameters
    ----------
    usage : Resources
        Measured resource usage; it lags behind the actual usage.
    progress_s : float
        Run time that `checkpoint` covers.
    """

    task_id: str
    epoch: int
    state: TaskState
    checkpoint: str = ""
    progress_s: float = 0.0
    usage: resource.Resources = resource.Resources()
    error: str = ""


class WorkerAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a worker and the state of its tasks."""

    id: str
    url: str
    failure_domain: str
    rack: str
    incarnation: int
    capacity: resource.Resources
    tasks: tuple[TaskReport, ...] = ()


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Renewal of the lease of one task."""

    task_id: str
    epoch: int
    lease_s: float


class WorkerReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a worker's announcement.

    Parameters
    ----------
    leader_url : str
        URL for the next announcement; empty if no leader is known.
    stop : tuple of str
        Tasks that the worker must stop.
    """

    leader_url: str = ""
    renewals: tuple[LeaseRenewal, ...] = ()
    stop: tuple[str, ...] = ()
