"""Check a recorded history against the guarantees of the system.

Each rule is a pure function from the events, ordered by time, to its violations.
"""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from . import history

FINAL_STATES = frozenset({"done", "failed", "cancelled"})

OUTCOMES = frozenset({"not_run", "done", "unknown"})

EventT = TypeVar("EventT", bound=history.Base)


class Rule(enum.Enum):
    """Guarantee that a violation breaks."""

    JOB_LOST = "job_lost"
    JOB_DOUBLED = "job_doubled"
    JOB_RESTARTED = "job_restarted"
    REQUEST_DOUBLED = "request_doubled"
    REFUSAL_FALSE = "refusal_false"
    REFUSAL_UNCODED = "refusal_uncoded"
    ANSWER_WRONG = "answer_wrong"
    GANG_PARTIAL = "gang_partial"
    REQUEST_INTERRUPTED = "request_interrupted"
    WORK_TO_LEAVING = "work_to_leaving"
    CONFIGURATION_LATE = "configuration_late"
    CONFIGURATION_REVERTED = "configuration_reverted"
    RECORD_RACED = "record_raced"
    RECORD_LOST = "record_lost"
    RUNNER_OVERCOMMITTED = "runner_overcommitted"
    WORKER_OVERCOMMITTED = "worker_overcommitted"


class Violation(msgspec.Struct, frozen=True):
    """Violation of a rule by one job, request, process or record."""

    rule: Rule
    at: float
    subject: str
    message: str


class Limits(msgspec.Struct, frozen=True):
    """Time limits that the rules apply.

    Parameters
    ----------
    lease_s : float
        Duration of a task lease, with the bound on the rate error of clocks.
    fan_out_s : float
        Time to start or stop all tasks of a gang while all processes of the case share
        one machine.
    election_s : float
        Time for an election. A gang may be partial for this much longer after an
        instance fault, since a new leader counts leases from its election.
    overlap_tolerance_s : float
        Delay with which a worker's timer may fire after the end of a lease.
    leaving_grace_s : float
        Time for which a runner that announced leaving may still get work.
    configuration_delay_s : float
        Time within which every reachable instance activates an accepted change.
    """

    lease_s: float = 4.0 * 1.01
    fan_out_s: float = 1.5
    election_s: float = 3.0
    overlap_tolerance_s: float = 0.3
    leaving_grace_s: float = 3.0
    configuration_delay_s: float = 3.0


class _Interval(msgspec.Struct):
    """Time span in which a worker ran a task."""

    worker: str
    job_id: str
    task_id: str
    epoch: int
    accelerators: int
    start: float
    end: float
    is_done: bool = False


def check(
    events: Sequence[history.Event], limits: Limits | None = None
) -> list[Violation]:
    """Apply all rules and return the violations in order of time.

    Parameters
    ----------
    events : sequence of Event
        Ordered by time.
    limits : Limits, optional
        Time limits; the defaults if omitted.
    """
    limits = limits or Limits()
    violations = [violation for rule in RULES for violation in rule(events, limits)]
    return sorted(violations, key=lambda violation: violation.at)


def check_jobs_known(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find accepted jobs that were lost, and final states that changed."""
    settled = _settled_time(events)
    accepted = {
        event.job_id: event for event in _events_of(events, history.JobAccepted)
    }
    losable_job_ids = _losable_jobs(events)
    readable_job_ids: set[str] = set()
    final_states: dict[str, history.JobSeen] = {}
    for event in events:
        if isinstance(event, history.JobMissing) and event.job_id in accepted:
            if event.at >= settled:
                if event.job_id not in losable_job_ids:
                    yield Violation(
                        Rule.JOB_LOST,
                        event.at,
                        event.job_id,
                        f"accepted, but {event.instance} knows no such job",
                    )
                readable_job_ids.add(event.job_id)
        elif isinstance(event, history.JobSeen):
            if event.at >= settled:
                readable_job_ids.add(event.job_id)
            previous = final_states.get(event.job_id)
            # A follower may lag behind another instance, but not behind itself.
            if (
                previous is not None
                and previous.state != event.state
                and (
                    event.state in FINAL_STATES
                    or event.at >= settled
                    or event.instance == previous.instance
                )
            ):
                yield Violation(
                    Rule.JOB_LOST,
                    event.at,
                    event.job_id,
                    f"final state {previous.state} became {event.state}",
                )
            if event.state in FINAL_STATES:
                final_states.setdefault(event.job_id, event)
    # If the case did not settle, no job was read at the end; `check_progress` reports
    # that.
    unread_job_ids = (
        accepted.keys() - readable_job_ids if settled < float("inf") else set()
    )
    for job_id in sorted(unread_job_ids):
        yield Violation(
            Rule.JOB_LOST,
            accepted[job_id].at,
            job_id,
            "accepted, but its state could not be read at the end",
        )


def _losable_jobs(events: Sequence[history.Event]) -> set[str]:
    """Return the jobs that a recovery with loss may have lost.

    These are the jobs of the group's failure domain that were accepted before its
    majority was lost, that were not read from the survivor before, and that no
    instance has returned since.
    """
    losable: set[str] = set()
    seen: set[tuple[str, str]] = set()
    accepted_by_domain: dict[str, set[str]] = defaultdict(set)
    for event in events:
        if isinstance(event, history.JobAccepted):
            domain = event.job_id.removeprefix("job-").rpartition("-")[0]
            accepted_by_domain[domain].add(event.job_id)
        elif isinstance(event, history.MajorityLost):
            losable |= {
                job_id
                for job_id in accepted_by_domain[event.failure_domain]
                if not event.is_local or (event.survivor, job_id) not in seen
            }
        elif isinstance(event, history.JobSeen):
            seen.add((event.instance, event.job_id))
            losable.discard(event.job_id)
    return losable


def check_jobs_unique(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find duplicate jobs: ids or keys used twice, and overlapping or repeated runs."""
    job_id_by_key: dict[str, str] = {}
    key_by_job_id: dict[str, str] = {}
    for event in _events_of(events, history.JobAccepted):
        first_key = key_by_job_id.setdefault(event.job_id, event.key)
        if first_key != event.key:
            yield Violation(
                Rule.JOB_DOUBLED,
                event.at,
                event.job_id,
                f"accepted for key {first_key} before, then for key {event.key}",
            )
        first_job_id = (
            job_id_by_key.setdefault(event.key, event.job_id) if event.key else ""
        )
        if first_job_id and first_job_id != event.job_id:
            yield Violation(
                Rule.JOB_DOUBLED,
                event.at,
                event.job_id,
                f"key {event.key} had created {first_job_id} before",
            )
    non_repeatable_job_ids = {
        event.job_id
        for event in _events_of(events, history.JobAccepted)
        if not event.repeatable
    }
    for job_id, intervals in _intervals_by_job(events).items():
        if (
            job_id in non_repeatable_job_ids
            and len({interval.epoch for interval in intervals}) > 1
        ):
            yield Violation(
                Rule.JOB_DOUBLED,
                intervals[-1].start,
                job_id,
                "a non-repeatable job started under "
                f"epochs {sorted({interval.epoch for interval in intervals})}",
            )
        for position, earlier in enumerate(intervals):
            for later in intervals[position + 1 :]:
                overlap_s = min(earlier.end, later.end) - later.start
                is_same_task = earlier.task_id == later.task_id
                if (
                    later.epoch != earlier.epoch or is_same_task
                ) and overlap_s > limits.overlap_tolerance_s:
                    yield Violation(
                        Rule.JOB_DOUBLED,
                        later.start,
                        job_id,
                        f"task {earlier.task_id} of epoch {earlier.epoch} on "
                        f"{earlier.worker} overlaps epoch {later.epoch} on "
                        f"{later.worker} by {overlap_s:.2f} s",
                    )


def check_jobs_not_restarted(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find tasks that started after their job was seen in a final state."""
    final_states: dict[str, history.JobSeen] = {}
    for event in events:
        if isinstance(event, history.JobSeen) and event.state in FINAL_STATES:
            final_states.setdefault(event.job_id, event)
        elif isinstance(event, history.TaskStarted) and event.job_id in final_states:
            seen = final_states[event.job_id]
            yield Violation(
                Rule.JOB_RESTARTED,
                event.at,
                event.job_id,
                f"task {event.task_id} started {event.at - seen.at:.2f} s after the "
                f"job was {seen.state}",
            )


def check_requests_run_once(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find non-repeatable requests that runners started more than once."""
    non_repeatable_tokens = {
        event.token
        for event in _events_of(events, history.RequestSent)
        if not event.repeatable
    }
    first_runs: dict[str, history.RunStarted] = {}
    for event in _events_of(events, history.RunStarted):
        if event.token not in non_repeatable_tokens:
            continue
        if event.token in first_runs:
            first_run = first_runs[event.token]
            yield Violation(
                Rule.REQUEST_DOUBLED,
                event.at,
                event.token,
                f"ran at {first_run.runner} and {event.at - first_run.at:.2f} s later "
                f"at {event.runner}",
            )
        first_runs.setdefault(event.token, event)


def check_refusals(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find refusals whose outcome is unknown or contradicts the runs.

    "Not run" is false if the request ran, and "done" if it did not.
    """
    attempts = {
        event.attempt: event for event in _events_of(events, history.RequestSent)
    }
    run_by_request_id: dict[str, history.RunStarted] = {}
    runs_by_token: dict[str, list[history.RunStarted]] = defaultdict(list)
    for run in _events_of(events, history.RunStarted):
        run_by_request_id.setdefault(run.request_id, run)
        runs_by_token[run.token].append(run)
    for refusal in _events_of(events, history.RequestRefused):
        if refusal.outcome not in OUTCOMES:
            yield Violation(
                Rule.REFUSAL_UNCODED,
                refusal.at,
                refusal.attempt,
                f"code {refusal.code!r}, outcome {refusal.outcome!r}",
            )
        if (
            refusal.outcome == "done"
            and not runs_by_token[attempts[refusal.attempt].token]
        ):
            yield Violation(
                Rule.REFUSAL_FALSE,
                refusal.at,
                refusal.attempt,
                f"{refusal.code} says done, but no runner ran the request",
            )
        if refusal.outcome != "not_run":
            continue
        run = run_by_request_id.get(refusal.request_id) if refusal.request_id else None
        if run is not None:
            yield Violation(
                Rule.REFUSAL_FALSE,
                refusal.at,
                refusal.attempt,
                f"{refusal.code} says not run, but {run.runner} ran request "
                f"{refusal.request_id}",
            )
    yield from _unexplained_runs(events, attempts, runs_by_token)


def _unexplained_runs(
    events: Sequence[history.Event],
    attempts: dict[str, history.RequestSent],
    runs_by_token: dict[str, list[history.RunStarted]],
) -> Iterator[Violation]:
    """Find runs that only attempts with the outcome "not run" can have caused."""
    outcomes: dict[str, history.Event] = {}
    for event in events:
        if isinstance(
            event,
            history.RequestAnswered | history.RequestRefused | history.RequestBroken,
        ):
            outcomes[event.attempt] = event
    attempts_by_token: dict[str, list[history.RequestSent]] = defaultdict(list)
    for event in attempts.values():
        attempts_by_token[event.token].append(event)
    for token, runs in runs_by_token.items():
        for run in runs:
            earlier_attempts = [
                attempt for attempt in attempts_by_token[token] if attempt.at <= run.at
            ]
            if any(
                _can_have_caused(attempt, outcomes.get(attempt.attempt), run)
                for attempt in earlier_attempts
            ):
                continue
            refused = [
                outcome
                for attempt in earlier_attempts
                if isinstance(
                    outcome := outcomes.get(attempt.attempt), history.RequestRefused
                )
            ]
            if refused:
                yield Violation(
                    Rule.REFUSAL_FALSE,
                    refused[-1].at,
                    refused[-1].attempt,
                    f"{refused[-1].code} says not run, but {run.runner} ran {token}, "
                    "and no other attempt can have caused that",
                )


def _can_have_caused(
    attempt: history.RequestSent, outcome: history.Event | None, run: history.RunStarted
) -> bool:
    """Return whether an attempt with this outcome can have caused a run.

    An attempt whose request id is known cannot have caused a run of another id.
    """
    if isinstance(outcome, history.RequestBroken):
        return outcome.connected
    if (
        isinstance(outcome, history.RequestRefused | history.RequestAnswered)
        and outcome.request_id
        and outcome.request_id != run.request_id
    ):
        return False
    if isinstance(outcome, history.RequestRefused):
        return outcome.outcome != "not_run"
    # A second copy of a repeatable request may start after the first was answered.
    return outcome is None or attempt.repeatable or outcome.at >= run.at


def check_answers(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find answers that belong to another request, are corrupt, or have no run."""
    attempts = {
        event.attempt: event for event in _events_of(events, history.RequestSent)
    }
    started_tokens = {event.token for event in _events_of(events, history.RunStarted)}
    for answer in _events_of(events, history.RequestAnswered):
        token = attempts[answer.attempt].token
        problem = ""
        if answer.echo != token:
            problem = f"the answer is for {answer.echo!r}"
        elif answer.digest != answer.expected_digest:
            problem = f"the answer's {answer.size_bytes} bytes have another checksum"
        elif token not in started_tokens:
            problem = "an answer, but no runner ran the request"
        if problem:
            yield Violation(Rule.ANSWER_WRONG, answer.at, answer.attempt, problem)


def check_gangs(events: Sequence[history.Event], limits: Limits) -> Iterator[Violation]:
    """Find gangs that ran with only some of their tasks for too long.

    A completed task counts as present until the rest of its gang has ended.
    """
    gang_sizes = {
        event.job_id: event.tasks for event in _events_of(events, history.JobAccepted)
    }
    instances = {
        event.instance for event in _events_of(events, history.InstanceReachable)
    }
    # The fault of an instance may cause an election; that of a worker does not.
    instance_fault_times = [
        event.at
        for event in events
        if isinstance(event, history.InstanceUnreachable)
        or (
            isinstance(event, history.ProcessFault)
            and event.kind != "resumed"
            and event.process in instances
        )
    ]
    for job_id, intervals in _intervals_by_job(events).items():
        size = gang_sizes.get(job_id)
        if size is None or size < 2:
            continue
        gangs_by_epoch: dict[int, list[_Interval]] = defaultdict(list)
        for interval in intervals:
            gangs_by_epoch[interval.epoch].append(interval)
        for epoch, gang in gangs_by_epoch.items():
            for start, end, count in _partial_periods(gang, size):
                allowed_s = limits.lease_s + limits.fan_out_s
                if any(
                    start - limits.lease_s <= at <= end for at in instance_fault_times
                ):
                    allowed_s += limits.election_s
                if end - start > allowed_s:
                    yield Violation(
                        Rule.GANG_PARTIAL,
                        start,
                        job_id,
                        f"epoch {epoch} ran with {count} of {size} tasks for "
                        f"{end - start:.2f} s",
                    )


def check_graceful_shutdowns(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find requests that a graceful shutdown interrupted."""
    terminated_at = {
        event.process: event.at
        for event in _events_of(events, history.ProcessFault)
        if event.kind == "terminated"
    }
    killed_at = {
        event.process: event.at
        for event in _events_of(events, history.ProcessFault)
        if event.kind == "killed"
    }
    attempts = {
        event.attempt: event for event in _events_of(events, history.RequestSent)
    }
    for broken in _events_of(events, history.RequestBroken):
        request = attempts[broken.attempt]
        signalled_at = terminated_at.get(request.instance)
        if signalled_at is None or not broken.connected:
            continue
        was_killed = killed_at.get(request.instance, float("inf")) <= broken.at
        if request.at <= signalled_at <= broken.at and not was_killed:
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                broken.at,
                broken.attempt,
                f"in progress at {request.instance} when it got SIGTERM: "
                f"{broken.error}",
            )
    runs = {
        (run.runner, run.run): run for run in _events_of(events, history.RunStarted)
    }
    for ended in _events_of(events, history.RunEnded):
        run = runs.pop((ended.runner, ended.run), None)
        signalled_at = terminated_at.get(ended.runner)
        if run is None or ended.complete or signalled_at is None:
            continue
        if run.at <= signalled_at <= ended.at:
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                ended.at,
                run.token,
                f"in progress at {ended.runner} when it got SIGTERM",
            )
    for (runner, _), run in runs.items():
        signalled_at = terminated_at.get(runner)
        if (
            signalled_at is not None
            and run.at <= signalled_at
            and runner not in killed_at
        ):
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                run.at,
                run.token,
                f"never ended at {runner}, which got SIGTERM",
            )


def check_leaving_runners(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find work that reached a runner too long after it announced leaving."""
    leaving_since: dict[str, float] = {}
    for event in events:
        if isinstance(event, history.RunnerLeaving):
            leaving_since.setdefault(event.runner, event.at)
        elif isinstance(event, history.RunnerStarted):
            leaving_since.pop(event.runner, None)
        elif isinstance(event, history.RunStarted) and event.runner in leaving_since:
            delay_s = event.at - leaving_since[event.runner]
            if delay_s > limits.leaving_grace_s:
                yield Violation(
                    Rule.WORK_TO_LEAVING,
                    event.at,
                    event.runner,
                    f"request {event.request_id} started {delay_s:.2f} s after the "
                    "runner announced leaving",
                )


def check_configuration(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find reachable instances whose configuration is too old or was reverted."""
    accepted: list[history.RecordAccepted] = []
    reachable_since: dict[str, float | None] = {}
    highest_revisions: dict[str, int] = {}
    voters: tuple[str, ...] = ()
    # Without a majority of the records group's voters no instance knows what is
    # committed. Once there is a majority again, a leader is elected first.
    majority_since: float | None = 0.0
    for event in events:
        if isinstance(event, history.RecordAccepted):
            accepted.append(event)
        elif isinstance(
            event,
            history.InstanceReachable
            | history.InstanceUnreachable
            | history.VotersSeen,
        ):
            if isinstance(event, history.InstanceReachable):
                reachable_since[event.instance] = event.at
            elif isinstance(event, history.InstanceUnreachable):
                reachable_since[event.instance] = None
            else:
                voters = event.instances
            reachable_count = sum(
                reachable_since.get(voter) is not None for voter in voters
            )
            if voters and 2 * reachable_count <= len(voters):
                majority_since = None
            elif majority_since is None:
                majority_since = event.at + limits.election_s
        elif isinstance(event, history.ConfigurationSeen):
            highest_revision = highest_revisions.get(event.instance, 0)
            if event.revision < highest_revision:
                yield Violation(
                    Rule.CONFIGURATION_REVERTED,
                    event.at,
                    event.instance,
                    f"revision {event.revision} after {highest_revision}",
                )
            highest_revisions[event.instance] = max(highest_revision, event.revision)
            since = reachable_since.get(event.instance)
            if since is None or majority_since is None:
                continue
            counted_from = max(since, majority_since)
            required_revision = max(
                (
                    record.revision
                    for record in accepted
                    if event.at - max(record.at, counted_from)
                    > limits.configuration_delay_s
                ),
                default=0,
            )
            if event.revision < required_revision:
                yield Violation(
                    Rule.CONFIGURATION_LATE,
                    event.at,
                    event.instance,
                    f"revision {event.revision}, although {required_revision} was "
                    f"accepted more than {limits.configuration_delay_s:g} s before",
                )


def check_records(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find versions that were accepted twice, and accepted writes that were lost."""
    settled = _settled_time(events)
    writer_by_version: dict[tuple[str, int], history.RecordAccepted] = {}
    answer_by_operation: dict[str, history.RecordAccepted] = {}
    latest_versions: dict[str, int] = {}
    read_names: set[str] = set()
    for event in events:
        if isinstance(event, history.RecordAccepted):
            first_writer = writer_by_version.setdefault(
                (event.name, event.version), event
            )
            if first_writer.operation_id != event.operation_id:
                yield Violation(
                    Rule.RECORD_RACED,
                    event.at,
                    event.name,
                    f"version {event.version} was given to operations "
                    f"{first_writer.operation_id} and {event.operation_id}",
                )
            first_answer = answer_by_operation.setdefault(event.operation_id, event)
            if (first_answer.version, first_answer.revision) != (
                event.version,
                event.revision,
            ):
                yield Violation(
                    Rule.RECORD_RACED,
                    event.at,
                    event.name,
                    f"operation {event.operation_id} was first given version "
                    f"{first_answer.version}, then {event.version}",
                )
            latest_versions[event.name] = max(
                latest_versions.get(event.name, 0), event.version
            )
        elif isinstance(event, history.RecordSeen) and event.at >= settled:
            read_names.add(event.name)
            if event.version < latest_versions.get(event.name, 0):
                yield Violation(
                    Rule.RECORD_LOST,
                    event.at,
                    event.name,
                    f"{event.instance} has version {event.version}, although "
                    f"{latest_versions[event.name]} was accepted",
                )
    unread_names = (
        latest_versions.keys() - read_names if settled < float("inf") else set()
    )
    for name in sorted(unread_names):
        yield Violation(
            Rule.RECORD_LOST,
            settled,
            name,
            "accepted, but it could not be read at the end",
        )


def check_runner_slots(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find runners that got more concurrent requests than they have slots.

    A runner refuses requests beyond its slots. After a fault this is legitimate, since
    a broken connection leaves unknown whether its request still runs.
    """
    is_fault_free = True
    slots: dict[str, int] = {}
    running: dict[str, set[str]] = defaultdict(set)
    for event in events:
        if isinstance(event, history.RunnerStarted):
            slots[event.runner] = event.slots
            running[event.runner].clear()
        elif isinstance(event, history.ProcessFault):
            is_fault_free = False
        elif isinstance(event, history.CaseMarked):
            is_fault_free = is_fault_free and event.stage != "fault"
        elif isinstance(event, history.RunRefused) and is_fault_free:
            yield Violation(
                Rule.RUNNER_OVERCOMMITTED,
                event.at,
                event.runner,
                f"request {event.request_id} reached the runner without a free slot",
            )
        elif isinstance(event, history.RunEnded):
            running[event.runner].discard(event.run)
        elif isinstance(event, history.RunStarted):
            running[event.runner].add(event.run)
            count = len(running[event.runner])
            if event.runner in slots and count > slots[event.runner]:
                yield Violation(
                    Rule.RUNNER_OVERCOMMITTED,
                    event.at,
                    event.runner,
                    f"{count} requests on {slots[event.runner]} slots",
                )


def check_worker_accelerators(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find workers whose running tasks use more accelerators than the worker has."""
    capacity = {
        event.worker: event.accelerators
        for event in _events_of(events, history.WorkerStarted)
    }
    intervals_by_worker: dict[str, list[_Interval]] = defaultdict(list)
    for interval in _intervals(events):
        intervals_by_worker[interval.worker].append(interval)
    for worker, intervals in intervals_by_worker.items():
        for interval in intervals:
            used = sum(
                other.accelerators
                for other in intervals
                if other.start <= interval.start < other.end
            )
            if worker in capacity and used > capacity[worker]:
                yield Violation(
                    Rule.WORKER_OVERCOMMITTED,
                    interval.start,
                    worker,
                    f"{used} accelerators used of {capacity[worker]} when task "
                    f"{interval.task_id} started",
                )


def check_progress(events: Sequence[history.Event]) -> list[str]:
    """Return the kinds of work that the cluster did not do after the repair.

    The rules alone would pass a cluster that does nothing.

    Returns
    -------
    list of str
        A sentence for each kind of work that was not done from ``settled`` on.
    """
    settled = _settled_time(events)
    if settled == float("inf"):
        return ["the case did not settle"]
    attempts = {
        event.attempt: event for event in _events_of(events, history.RequestSent)
    }
    answered = {
        (attempts[event.attempt].instance, attempts[event.attempt].repeatable)
        for event in _events_of(events, history.RequestAnswered)
        if event.at >= settled
    }
    failures = [
        f"{instance} answered no {kind} request after the repair"
        for instance in sorted(
            {event.instance for event in _events_of(events, history.InstanceReachable)}
        )
        for kind, repeatable in (("repeatable", True), ("non-repeatable", False))
        if (instance, repeatable) not in answered
    ]
    done_job_ids = {
        event.job_id
        for event in _events_of(events, history.JobSeen)
        if event.state == "done"
    }
    late_job_ids = [
        event.job_id
        for event in _events_of(events, history.JobAccepted)
        if event.at >= settled
    ]
    if not late_job_ids:
        failures.append("no job was accepted after the repair")
    failures += [
        f"{job_id}, accepted after the repair, is not done"
        for job_id in late_job_ids
        if job_id not in done_job_ids
    ]
    full_since: dict[str, float] = {}
    responses = [
        (attempts[event.attempt].instance, event.at)
        for event in _events_of(events, history.RequestAnswered)
    ]
    for event in events:
        if isinstance(event, history.DiskFull):
            full_since[event.instance] = event.at
        elif isinstance(event, history.DiskHealed):
            began_at = full_since.pop(event.instance)
            if not any(
                name == event.instance and began_at + 1.0 < at < event.at
                for name, at in responses
            ):
                failures.append(
                    f"{event.instance} answered no request while its disk was full"
                )
    failures += [f"the disk of {name} was not healed" for name in sorted(full_since)]
    if not any(_events_of(events, history.RecordAccepted)):
        failures.append("no write of a record was accepted")
    return failures


RuleFunction = Callable[[Sequence[history.Event], Limits], Iterator[Violation]]

RULES: tuple[RuleFunction, ...] = (
    check_jobs_known,
    check_jobs_unique,
    check_jobs_not_restarted,
    check_requests_run_once,
    check_refusals,
    check_answers,
    check_gangs,
    check_graceful_shutdowns,
    check_leaving_runners,
    check_configuration,
    check_records,
    check_runner_slots,
    check_worker_accelerators,
)


def _events_of(
    events: Iterable[history.Event], event_type: type[EventT]
) -> Iterator[EventT]:
    return (event for event in events if isinstance(event, event_type))


def _settled_time(events: Sequence[history.Event]) -> float:
    """Return when the case settled, or infinity if it did not."""
    times = [
        event.at
        for event in _events_of(events, history.CaseMarked)
        if event.stage == "settled"
    ]
    return times[-1] if times else float("inf")


def _intervals(events: Sequence[history.Event]) -> list[_Interval]:
    """Return the time spans in which tasks ran, ordered by start.

    The death of a worker ends its tasks. A paused worker runs nothing, so a task that
    it reports as ended right after the pause counts as ended when the pause began.
    """
    history_end = events[-1].at if events else 0.0
    running: dict[tuple[str, str, int], _Interval] = {}
    intervals: list[_Interval] = []
    suspensions: dict[str, tuple[float, float]] = {}
    for event in events:
        if isinstance(event, history.TaskStarted):
            interval = _Interval(
                event.worker,
                event.job_id,
                event.task_id,
                event.epoch,
                event.accelerators,
                event.at,
                history_end,
            )
            running[event.worker, event.task_id, event.epoch] = interval
            intervals.append(interval)
        elif isinstance(event, history.TaskEnded):
            ended = running.pop((event.worker, event.task_id, event.epoch), None)
            if ended is None:
                continue
            ended.end = event.at
            ended.is_done = event.reason == "done"
            suspension = suspensions.get(event.worker)
            if (
                suspension is not None
                and ended.start < suspension[0]
                and event.at - suspension[1] < RESUME_GRACE_S
                and not ended.is_done
            ):
                ended.end = suspension[0]
        elif isinstance(event, history.ProcessFault):
            if event.kind == "paused":
                suspensions[event.process] = (event.at, float("inf"))
            elif event.kind == "resumed" and event.process in suspensions:
                suspensions[event.process] = (suspensions[event.process][0], event.at)
            elif event.kind == "killed":
                for key in [key for key in running if key[0] == event.process]:
                    running.pop(key).end = event.at
    return intervals


# A resumed worker ends tasks whose lease has expired in its first event loop turn.
RESUME_GRACE_S = 0.5


def _intervals_by_job(events: Sequence[history.Event]) -> dict[str, list[_Interval]]:
    jobs: dict[str, list[_Interval]] = defaultdict(list)
    for interval in _intervals(events):
        jobs[interval.job_id].append(interval)
    return jobs


def _partial_periods(
    gang: list[_Interval], size: int
) -> Iterator[tuple[float, float, int]]:
    """Yield start, end and lowest task count of each time with only some tasks."""
    gang_end = max(interval.end for interval in gang)
    changes = sorted(
        [(interval.start, 1) for interval in gang]
        + [(gang_end if interval.is_done else interval.end, -1) for interval in gang]
    )
    count = 0
    since: float | None = None
    fewest = 0
    for at, delta in changes:
        count += delta
        if 0 < count < size:
            if since is None:
                since, fewest = at, count
            fewest = min(fewest, count)
        elif since is not None:
            yield since, at, fewest
            since = None
