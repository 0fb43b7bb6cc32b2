"""Define, write and read the events of callers, operators, runners and workers.

All processes of a run share one machine. `at` is that machine's wall clock (seconds
since the Unix epoch), so that events of different writers can be ordered by it.
"""

import pathlib
from collections.abc import Iterable, Iterator
from typing import TextIO

import msgspec


class Base(msgspec.Struct, frozen=True, tag_field="event", omit_defaults=True):
    """Common field of all events."""

    at: float


class CaseMarked(Base, frozen=True, tag="case_marked"):
    """The harness reached a stage of the case.

    Parameters
    ----------
    stage : str
        ``start``, ``fault``, ``heal``, ``settled`` or ``end``. From ``settled`` on,
        all faults are repaired, and all accepted work must be accounted for.
    """

    stage: str
    note: str = ""


class JobAccepted(Base, frozen=True, tag="job_accepted"):
    """A caller received the answer that its job was accepted.

    Parameters
    ----------
    key : str
        Idempotency key of the submission; the same for its resends.
    """

    job_id: str
    tasks: int
    repeatable: bool = True
    instance: str = ""
    key: str = ""


class JobSeen(Base, frozen=True, tag="job_seen"):
    """A caller read the state of its job; `at` is the time of the answer."""

    job_id: str
    state: str
    instance: str = ""


class JobMissing(Base, frozen=True, tag="job_missing"):
    """An instance answered that it does not know the job."""

    job_id: str
    instance: str = ""


class RequestSent(Base, frozen=True, tag="request_sent"):
    """A caller started to send an attempt of a request.

    Parameters
    ----------
    attempt : str
        Unique for each attempt; all attempts of one request share `token`.
    token : str
        Identifies the request in its payload, so that the histories of runners have it.
    """

    attempt: str
    token: str
    instance: str
    repeatable: bool = True


class RequestAnswered(Base, frozen=True, tag="request_answered"):
    """A caller received a complete answer."""

    attempt: str
    request_id: str
    echo: str
    digest: str
    expected_digest: str
    size_bytes: int = 0


class RequestRefused(Base, frozen=True, tag="request_refused"):
    """A caller received an error response."""

    attempt: str
    code: str
    outcome: str
    request_id: str = ""


class RequestBroken(Base, frozen=True, tag="request_broken"):
    """A caller's connection failed before a complete answer arrived.

    Parameters
    ----------
    connected : bool
        False if no connection was established, so that nothing was sent.
    """

    attempt: str
    error: str
    connected: bool = True


class RunStarted(Base, frozen=True, tag="run_started"):
    """A runner started a request."""

    runner: str
    run: str
    request_id: str
    token: str


class RunEnded(Base, frozen=True, tag="run_ended"):
    """A runner completed or abandoned a request.

    Parameters
    ----------
    complete : bool
        False if the runner abandoned it because the connection broke or the runner was
        stopped.
    """

    runner: str
    run: str
    complete: bool = True


class RunRefused(Base, frozen=True, tag="run_refused"):
    """A runner refused a request because all its slots were in use."""

    runner: str
    request_id: str


class RunnerStarted(Base, frozen=True, tag="runner_started"):
    """A runner process started."""

    runner: str
    slots: int


class RunnerLeaving(Base, frozen=True, tag="runner_leaving"):
    """A runner announced that it is shutting down."""

    runner: str


class WorkerStarted(Base, frozen=True, tag="worker_started"):
    """A worker process started."""

    worker: str
    accelerators: int


class TaskStarted(Base, frozen=True, tag="task_started"):
    """A worker started a task."""

    worker: str
    job_id: str
    task_id: str
    epoch: int
    accelerators: int = 0


class TaskEnded(Base, frozen=True, tag="task_ended"):
    """A task ended on a worker.

    Parameters
    ----------
    reason : str
        ``done`` if the task completed; any other text if it did not.
    """

    worker: str
    job_id: str
    task_id: str
    epoch: int
    reason: str


class ProcessFault(Base, frozen=True, tag="process_fault"):
    """The harness sent a signal to a process.

    Parameters
    ----------
    kind : str
        ``killed``, ``paused``, ``resumed`` or ``terminated`` (SIGTERM).
    """

    process: str
    kind: str


class InstanceReachable(Base, frozen=True, tag="instance_reachable"):
    """An instance is up, and the harness cuts none of its links."""

    instance: str


class InstanceUnreachable(Base, frozen=True, tag="instance_unreachable"):
    """An instance is down, paused, cut off from others, or unable to write its disk."""

    instance: str


class MajorityLost(Base, frozen=True, tag="majority_lost"):
    """Two of the three voters of a domain group were lost with their data.

    Parameters
    ----------
    survivor : str
        Instance with the only remaining replica.
    is_local : bool
        Whether the survivor is in the group's failure domain. It then answers reads of
        jobs from its own replica; an instance of another domain forwards them there.
    """

    failure_domain: str
    survivor: str
    is_local: bool = True


class DiskFull(Base, frozen=True, tag="disk_full"):
    """From this time on, all disk writes of an instance fail."""

    instance: str


class DiskHealed(Base, frozen=True, tag="disk_healed"):
    """The disk writes of an instance succeed again."""

    instance: str


class VotersSeen(Base, frozen=True, tag="voters_seen"):
    """An instance reported a new set of voters of the records group."""

    instances: tuple[str, ...]


class RecordAccepted(Base, frozen=True, tag="record_accepted"):
    """An operator received the answer that its write was accepted."""

    operation_id: str
    name: str
    version: int
    revision: int
    instance: str = ""


class RecordSeen(Base, frozen=True, tag="record_seen"):
    """An operator read a record."""

    name: str
    version: int
    instance: str = ""


class ConfigurationSeen(Base, frozen=True, tag="configuration_seen"):
    """A ready instance reported its active configuration revision.

    Parameters
    ----------
    at : float
        Time at which the status was requested.
    """

    instance: str
    revision: int


Event = (
    CaseMarked
    | JobAccepted
    | JobSeen
    | JobMissing
    | RequestSent
    | RequestAnswered
    | RequestRefused
    | RequestBroken
    | RunStarted
    | RunEnded
    | RunRefused
    | RunnerStarted
    | RunnerLeaving
    | WorkerStarted
    | TaskStarted
    | TaskEnded
    | ProcessFault
    | InstanceReachable
    | InstanceUnreachable
    | MajorityLost
    | DiskFull
    | DiskHealed
    | VotersSeen
    | RecordAccepted
    | RecordSeen
    | ConfigurationSeen
)

_DECODER = msgspec.json.Decoder(Event)


class Recorder:
    """Append events to a file and keep them in memory.

    The file has one JSON object per line.
    """

    __slots__ = ("_events", "_file")

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Return the recorded events in order of recording."""
        return self._events

    def record(self, event: Event) -> None:
        """Append an event."""
        self._events.append(event)
        self._file.write(msgspec.json.encode(event).decode() + "\n")


def read(path: pathlib.Path) -> Iterator[Event]:
    """Yield the events of a file written by a `Recorder`."""
    for line in path.read_bytes().splitlines():
        yield _DECODER.decode(line)


def merge(*histories: Iterable[Event]) -> list[Event]:
    """Merge histories into one list, ordered by time with a stable sort."""
    return sorted(
        (event for history in histories for event in history),
        key=lambda event: event.at,
    )
