"""Rules over a recorded history.

Every rule is a pure function from the events, ordered by time, to violations.
"""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from . import history

FINAL_STATES = frozenset({"done", "failed", "cancelled"})

OUTCOMES = frozenset({"not_run", "done", "unknown"})

E = TypeVar("E", bound=history.Base)


class Rule(enum.Enum):
    """Name of a rule."""

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
    """One breach of a rule."""

    rule: Rule
    at: float
    subject: str
    message: str


class Limits(msgspec.Struct, frozen=True):
    """Times that the rules allow.

    Parameters
    ----------
    lease_s : float
        Task lease with the bound on clock rates.
    fan_out_s : float
        Time to start or stop all tasks of a gang, on a machine that also runs every
        other process of the case.
    election_s : float
        Added to the time for which a gang may be partial if an instance was lost
        shortly before, since a new leader counts leases from its election.
    overlap_s : float
        Delay with which a worker's timer may notice the end of a lease.
    leaving_s : float
        Time after which a leaving runner gets no work.
    configuration_s : float
        Time in which a change is in force everywhere.
    """

    lease_s: float = 4.0 * 1.01
    fan_out_s: float = 1.5
    election_s: float = 3.0
    overlap_s: float = 0.3
    leaving_s: float = 3.0
    configuration_s: float = 3.0


class _Interval(msgspec.Struct):
    """Time for which a task ran."""

    worker: str
    job_id: str
    task_id: str
    epoch: int
    accelerators: int
    start: float
    end: float
    done: bool = False


def check(
    events: Sequence[history.Event], limits: Limits | None = None
) -> list[Violation]:
    """Apply every rule.

    Parameters
    ----------
    events : sequence of Event
        Ordered by time.
    limits : Limits, optional
        Times that the rules allow.
    """
    limits = limits or Limits()
    found = [violation for rule in RULES for violation in rule(events, limits)]
    return sorted(found, key=lambda violation: violation.at)


def check_jobs_known(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find accepted jobs that are gone, and final states that changed."""
    settled = _settled_at(events)
    accepted = {event.job_id: event for event in _of(events, history.JobAccepted)}
    losable = _losable_jobs(events)
    known: set[str] = set()
    final: dict[str, history.JobSeen] = {}
    for event in events:
        if isinstance(event, history.JobMissing) and event.job_id in accepted:
            if event.at >= settled:
                if event.job_id not in losable:
                    yield Violation(
                        Rule.JOB_LOST,
                        event.at,
                        event.job_id,
                        f"accepted, but {event.instance} knows no such job",
                    )
                known.add(event.job_id)
        elif isinstance(event, history.JobSeen):
            if event.at >= settled:
                known.add(event.job_id)
            before = final.get(event.job_id)
            # A follower may lag behind another instance, but not behind itself.
            if (
                before is not None
                and before.state != event.state
                and (
                    event.state in FINAL_STATES
                    or event.at >= settled
                    or event.instance == before.instance
                )
            ):
                yield Violation(
                    Rule.JOB_LOST,
                    event.at,
                    event.job_id,
                    f"final state {before.state} became {event.state}",
                )
            if event.state in FINAL_STATES:
                final.setdefault(event.job_id, event)
    # Without the stage nothing was read at the end, which `check_progress` reports.
    unread = accepted.keys() - known if settled < float("inf") else set()
    for job_id in sorted(unread):
        yield Violation(
            Rule.JOB_LOST,
            accepted[job_id].at,
            job_id,
            "accepted, but its state could not be read at the end",
        )


def _losable_jobs(events: Sequence[history.Event]) -> set[str]:
    """Return the jobs that a recovery with loss may have forgotten.

    These are the jobs of the group's failure domain that were accepted before its
    majority was lost, that were not seen on the survivor, and that no instance has
    answered for since then.
    """
    found: set[str] = set()
    seen: set[tuple[str, str]] = set()
    accepted: dict[str, set[str]] = defaultdict(set)
    for event in events:
        if isinstance(event, history.JobAccepted):
            domain = event.job_id.removeprefix("job-").rpartition("-")[0]
            accepted[domain].add(event.job_id)
        elif isinstance(event, history.MajorityLost):
            found |= {
                job_id
                for job_id in accepted[event.failure_domain]
                if not event.is_local or (event.survivor, job_id) not in seen
            }
        elif isinstance(event, history.JobSeen):
            seen.add((event.instance, event.job_id))
            found.discard(event.job_id)
    return found


def check_jobs_once(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find jobs with two epochs at a time, run twice, or submitted twice."""
    by_key: dict[str, str] = {}
    by_job: dict[str, str] = {}
    for event in _of(events, history.JobAccepted):
        holder = by_job.setdefault(event.job_id, event.key)
        if holder != event.key:
            yield Violation(
                Rule.JOB_DOUBLED,
                event.at,
                event.job_id,
                f"accepted for key {holder} before, then for key {event.key}",
            )
        first = by_key.setdefault(event.key, event.job_id) if event.key else ""
        if first and first != event.job_id:
            yield Violation(
                Rule.JOB_DOUBLED,
                event.at,
                event.job_id,
                f"key {event.key} had made {first} before",
            )
    non_repeatable = {
        event.job_id
        for event in _of(events, history.JobAccepted)
        if not event.repeatable
    }
    for job_id, intervals in _by_job(events).items():
        if job_id in non_repeatable and len({each.epoch for each in intervals}) > 1:
            yield Violation(
                Rule.JOB_DOUBLED,
                intervals[-1].start,
                job_id,
                "a non-repeatable job started under "
                f"epochs {sorted({each.epoch for each in intervals})}",
            )
        for position, earlier in enumerate(intervals):
            for later in intervals[position + 1 :]:
                overlap_s = min(earlier.end, later.end) - later.start
                same = earlier.task_id == later.task_id
                if (
                    later.epoch != earlier.epoch or same
                ) and overlap_s > limits.overlap_s:
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
    final: dict[str, history.JobSeen] = {}
    for event in events:
        if isinstance(event, history.JobSeen) and event.state in FINAL_STATES:
            final.setdefault(event.job_id, event)
        elif isinstance(event, history.TaskStarted) and event.job_id in final:
            seen = final[event.job_id]
            yield Violation(
                Rule.JOB_RESTARTED,
                event.at,
                event.job_id,
                f"task {event.task_id} started {event.at - seen.at:.2f} s after the "
                f"job was {seen.state}",
            )


def check_requests_once(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find non-repeatable requests that runners started more than once."""
    non_repeatable = {
        event.token
        for event in _of(events, history.RequestSent)
        if not event.repeatable
    }
    first: dict[str, history.RunStarted] = {}
    for event in _of(events, history.RunStarted):
        if event.token not in non_repeatable:
            continue
        if event.token in first:
            before = first[event.token]
            yield Violation(
                Rule.REQUEST_DOUBLED,
                event.at,
                event.token,
                f"ran at {before.runner} and {event.at - before.at:.2f} s later at "
                f"{event.runner}",
            )
        first.setdefault(event.token, event)


def check_refusals(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find refusals that say "not run" of what ran, or "done" of what did not."""
    sent = {event.attempt: event for event in _of(events, history.RequestSent)}
    by_request: dict[str, history.RunStarted] = {}
    by_token: dict[str, list[history.RunStarted]] = defaultdict(list)
    for run in _of(events, history.RunStarted):
        by_request.setdefault(run.request_id, run)
        by_token[run.token].append(run)
    for refusal in _of(events, history.RequestRefused):
        if refusal.outcome not in OUTCOMES:
            yield Violation(
                Rule.REFUSAL_UNCODED,
                refusal.at,
                refusal.attempt,
                f"code {refusal.code!r}, outcome {refusal.outcome!r}",
            )
        if refusal.outcome == "done" and not by_token[sent[refusal.attempt].token]:
            yield Violation(
                Rule.REFUSAL_FALSE,
                refusal.at,
                refusal.attempt,
                f"{refusal.code} says done, but no runner ran the request",
            )
        if refusal.outcome != "not_run":
            continue
        run = by_request.get(refusal.request_id) if refusal.request_id else None
        if run is not None:
            yield Violation(
                Rule.REFUSAL_FALSE,
                refusal.at,
                refusal.attempt,
                f"{refusal.code} says not run, but {run.runner} ran request "
                f"{refusal.request_id}",
            )
    yield from _unexplained_runs(events, sent, by_token)


def _unexplained_runs(
    events: Sequence[history.Event],
    sent: dict[str, history.RequestSent],
    by_token: dict[str, list[history.RunStarted]],
) -> Iterator[Violation]:
    """Find runs that only attempts with the outcome "not run" can have caused."""
    ends: dict[str, history.Event] = {}
    for event in events:
        if isinstance(
            event,
            history.RequestAnswered | history.RequestRefused | history.RequestBroken,
        ):
            ends[event.attempt] = event
    attempts: dict[str, list[history.RequestSent]] = defaultdict(list)
    for event in sent.values():
        attempts[event.token].append(event)
    for token, runs in by_token.items():
        for run in runs:
            before = [each for each in attempts[token] if each.at <= run.at]
            if any(_explains(each, ends.get(each.attempt), run) for each in before):
                continue
            refused = [
                end
                for each in before
                if isinstance(end := ends.get(each.attempt), history.RequestRefused)
            ]
            if refused:
                yield Violation(
                    Rule.REFUSAL_FALSE,
                    refused[-1].at,
                    refused[-1].attempt,
                    f"{refused[-1].code} says not run, but {run.runner} ran {token}, "
                    "and no other attempt can have caused that",
                )


def _explains(
    attempt: history.RequestSent, end: history.Event | None, run: history.RunStarted
) -> bool:
    """Tell whether an attempt can truthfully have caused a run.

    An attempt whose request id is known explains no run of another id.
    """
    if isinstance(end, history.RequestBroken):
        return end.connected
    if (
        isinstance(end, history.RequestRefused | history.RequestAnswered)
        and end.request_id
        and end.request_id != run.request_id
    ):
        return False
    if isinstance(end, history.RequestRefused):
        return end.outcome != "not_run"
    # A second copy of a repeatable request may start after the answer of the first.
    return end is None or attempt.repeatable or end.at >= run.at


def check_answers(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find answers to another request, with other bytes, or of work that never ran."""
    sent = {event.attempt: event for event in _of(events, history.RequestSent)}
    ran = {event.token for event in _of(events, history.RunStarted)}
    for answer in _of(events, history.RequestAnswered):
        token = sent[answer.attempt].token
        fault = ""
        if answer.echo != token:
            fault = f"the answer is for {answer.echo!r}"
        elif answer.digest != answer.expected_digest:
            fault = f"the answer's {answer.size_bytes} bytes have another checksum"
        elif token not in ran:
            fault = "an answer, but no runner ran the request"
        if fault:
            yield Violation(Rule.ANSWER_WRONG, answer.at, answer.attempt, fault)


def check_gangs(events: Sequence[history.Event], limits: Limits) -> Iterator[Violation]:
    """Find gangs of which some tasks run and others don't for too long.

    A task that is done counts as present until the rest of its gang ends.
    """
    sizes = {event.job_id: event.tasks for event in _of(events, history.JobAccepted)}
    instances = {event.instance for event in _of(events, history.InstanceReachable)}
    # Without an instance there may be an election; the loss of a worker needs none.
    losses = [
        event.at
        for event in events
        if isinstance(event, history.InstanceUnreachable)
        or (
            isinstance(event, history.ProcessFault)
            and event.kind != "resumed"
            and event.process in instances
        )
    ]
    for job_id, intervals in _by_job(events).items():
        size = sizes.get(job_id)
        if size is None or size < 2:
            continue
        gangs: dict[int, list[_Interval]] = defaultdict(list)
        for interval in intervals:
            gangs[interval.epoch].append(interval)
        for epoch, gang in gangs.items():
            for start, end, count in _partial_stretches(gang, size):
                allowed_s = limits.lease_s + limits.fan_out_s
                if any(start - limits.lease_s <= at <= end for at in losses):
                    allowed_s += limits.election_s
                if end - start > allowed_s:
                    yield Violation(
                        Rule.GANG_PARTIAL,
                        start,
                        job_id,
                        f"epoch {epoch} ran with {count} of {size} tasks for "
                        f"{end - start:.2f} s",
                    )


def check_drains(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find requests that a graceful shutdown cut."""
    terminated = {
        event.process: event.at
        for event in _of(events, history.ProcessFault)
        if event.kind == "terminated"
    }
    killed = {
        event.process: event.at
        for event in _of(events, history.ProcessFault)
        if event.kind == "killed"
    }
    sent = {event.attempt: event for event in _of(events, history.RequestSent)}
    for broken in _of(events, history.RequestBroken):
        request = sent[broken.attempt]
        at = terminated.get(request.instance)
        if at is None or not broken.connected:
            continue
        crashed = killed.get(request.instance, float("inf")) <= broken.at
        if request.at <= at <= broken.at and not crashed:
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                broken.at,
                broken.attempt,
                f"in progress at {request.instance} when it got SIGTERM: "
                f"{broken.error}",
            )
    runs = {(run.runner, run.run): run for run in _of(events, history.RunStarted)}
    for ended in _of(events, history.RunEnded):
        run = runs.pop((ended.runner, ended.run), None)
        at = terminated.get(ended.runner)
        if run is None or ended.complete or at is None:
            continue
        if run.at <= at <= ended.at:
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                ended.at,
                run.token,
                f"in progress at {ended.runner} when it got SIGTERM",
            )
    for (runner, _), run in runs.items():
        at = terminated.get(runner)
        if at is not None and run.at <= at and runner not in killed:
            yield Violation(
                Rule.REQUEST_INTERRUPTED,
                run.at,
                run.token,
                f"never ended at {runner}, which got SIGTERM",
            )


def check_leaving(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find work that reached a runner too long after it announced leaving."""
    leaving: dict[str, float] = {}
    for event in events:
        if isinstance(event, history.RunnerLeaving):
            leaving.setdefault(event.runner, event.at)
        elif isinstance(event, history.RunnerStarted):
            leaving.pop(event.runner, None)
        elif isinstance(event, history.RunStarted) and event.runner in leaving:
            late_s = event.at - leaving[event.runner]
            if late_s > limits.leaving_s:
                yield Violation(
                    Rule.WORK_TO_LEAVING,
                    event.at,
                    event.runner,
                    f"request {event.request_id} started {late_s:.2f} s after the "
                    "runner announced leaving",
                )


def check_configuration(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find configuration that is late at a reachable instance or goes back."""
    accepted: list[history.RecordAccepted] = []
    reachable: dict[str, float | None] = {}
    highest: dict[str, int] = {}
    voters: tuple[str, ...] = ()
    # Without a majority of the records group's voters nobody can tell what is
    # committed. Once it is back, the voters elect a leader first.
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
                reachable[event.instance] = event.at
            elif isinstance(event, history.InstanceUnreachable):
                reachable[event.instance] = None
            else:
                voters = event.instances
            up = sum(reachable.get(voter) is not None for voter in voters)
            if voters and 2 * up <= len(voters):
                majority_since = None
            elif majority_since is None:
                majority_since = event.at + limits.election_s
        elif isinstance(event, history.ConfigurationSeen):
            before = highest.get(event.instance, 0)
            if event.revision < before:
                yield Violation(
                    Rule.CONFIGURATION_REVERTED,
                    event.at,
                    event.instance,
                    f"revision {event.revision} after {before}",
                )
            highest[event.instance] = max(before, event.revision)
            since = reachable.get(event.instance)
            if since is None or majority_since is None:
                continue
            counted = max(since, majority_since)
            due = max(
                (
                    record.revision
                    for record in accepted
                    if event.at - max(record.at, counted) > limits.configuration_s
                ),
                default=0,
            )
            if event.revision < due:
                yield Violation(
                    Rule.CONFIGURATION_LATE,
                    event.at,
                    event.instance,
                    f"revision {event.revision}, although {due} was accepted more "
                    f"than {limits.configuration_s:g} s before",
                )


def check_records(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find two accepted writes of one version, and accepted writes that are gone."""
    settled = _settled_at(events)
    versions: dict[tuple[str, int], history.RecordAccepted] = {}
    operations: dict[str, history.RecordAccepted] = {}
    latest: dict[str, int] = {}
    read: set[str] = set()
    for event in events:
        if isinstance(event, history.RecordAccepted):
            first = versions.setdefault((event.name, event.version), event)
            if first.operation_id != event.operation_id:
                yield Violation(
                    Rule.RECORD_RACED,
                    event.at,
                    event.name,
                    f"version {event.version} was given to operations "
                    f"{first.operation_id} and {event.operation_id}",
                )
            same = operations.setdefault(event.operation_id, event)
            if (same.version, same.revision) != (event.version, event.revision):
                yield Violation(
                    Rule.RECORD_RACED,
                    event.at,
                    event.name,
                    f"operation {event.operation_id} was first given version "
                    f"{same.version}, then {event.version}",
                )
            latest[event.name] = max(latest.get(event.name, 0), event.version)
        elif isinstance(event, history.RecordSeen) and event.at >= settled:
            read.add(event.name)
            if event.version < latest.get(event.name, 0):
                yield Violation(
                    Rule.RECORD_LOST,
                    event.at,
                    event.name,
                    f"{event.instance} has version {event.version}, although "
                    f"{latest[event.name]} was accepted",
                )
    unread = latest.keys() - read if settled < float("inf") else set()
    for name in sorted(unread):
        yield Violation(
            Rule.RECORD_LOST,
            settled,
            name,
            "accepted, but it could not be read at the end",
        )


def check_runner_slots(
    events: Sequence[history.Event], limits: Limits
) -> Iterator[Violation]:
    """Find runners that got more requests at a time than they have slots.

    A runner refuses what exceeds its slots. After a fault this is legitimate, since
    an abandoned connection hides whether its request still runs.
    """
    undisturbed = True
    slots: dict[str, int] = {}
    running: dict[str, set[str]] = defaultdict(set)
    for event in events:
        if isinstance(event, history.RunnerStarted):
            slots[event.runner] = event.slots
            running[event.runner].clear()
        elif isinstance(event, history.ProcessFault):
            undisturbed = False
        elif isinstance(event, history.CaseMarked):
            undisturbed = undisturbed and event.stage != "fault"
        elif isinstance(event, history.RunRefused) and undisturbed:
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
    """Find workers whose running tasks use more accelerators than there are."""
    capacity = {
        event.worker: event.accelerators for event in _of(events, history.WorkerStarted)
    }
    by_worker: dict[str, list[_Interval]] = defaultdict(list)
    for interval in _intervals(events):
        by_worker[interval.worker].append(interval)
    for worker, intervals in by_worker.items():
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
    """Name what did not work after the repair; a cluster that does nothing is safe.

    Returns
    -------
    list of str
        One sentence for each kind of work that was not done from ``settled`` on.
    """
    settled = _settled_at(events)
    if settled == float("inf"):
        return ["the case did not settle"]
    sent = {event.attempt: event for event in _of(events, history.RequestSent)}
    answered = {
        (sent[event.attempt].instance, sent[event.attempt].repeatable)
        for event in _of(events, history.RequestAnswered)
        if event.at >= settled
    }
    missing = [
        f"{instance} answered no {kind} request after the repair"
        for instance in sorted(
            {event.instance for event in _of(events, history.InstanceReachable)}
        )
        for kind, repeatable in (("repeatable", True), ("non-repeatable", False))
        if (instance, repeatable) not in answered
    ]
    done = {
        event.job_id for event in _of(events, history.JobSeen) if event.state == "done"
    }
    late = [
        event.job_id
        for event in _of(events, history.JobAccepted)
        if event.at >= settled
    ]
    if not late:
        missing.append("no job was accepted after the repair")
    missing += [
        f"{job_id}, accepted after the repair, is not done"
        for job_id in late
        if job_id not in done
    ]
    full: dict[str, float] = {}
    served = [
        (sent[event.attempt].instance, event.at)
        for event in _of(events, history.RequestAnswered)
    ]
    for event in events:
        if isinstance(event, history.DiskFull):
            full[event.instance] = event.at
        elif isinstance(event, history.DiskHealed):
            began = full.pop(event.instance)
            if not any(
                name == event.instance and began + 1.0 < at < event.at
                for name, at in served
            ):
                missing.append(
                    f"{event.instance} answered no request while its disk was full"
                )
    missing += [f"the disk of {name} was not healed" for name in sorted(full)]
    if not any(_of(events, history.RecordAccepted)):
        missing.append("no write of a record was accepted")
    return missing


RuleFunction = Callable[[Sequence[history.Event], Limits], Iterator[Violation]]

RULES: tuple[RuleFunction, ...] = (
    check_jobs_known,
    check_jobs_once,
    check_jobs_not_restarted,
    check_requests_once,
    check_refusals,
    check_answers,
    check_gangs,
    check_drains,
    check_leaving,
    check_configuration,
    check_records,
    check_runner_slots,
    check_worker_accelerators,
)


def _of(events: Iterable[history.Event], kind: type[E]) -> Iterator[E]:
    return (event for event in events if isinstance(event, kind))


def _settled_at(events: Sequence[history.Event]) -> float:
    """Return the time from which all work must be accounted for."""
    marks = [
        event.at
        for event in _of(events, history.CaseMarked)
        if event.stage == "settled"
    ]
    return marks[-1] if marks else float("inf")


def _intervals(events: Sequence[history.Event]) -> list[_Interval]:
    """Return the times for which tasks ran, ordered by start.

    A killed worker ends its tasks. A paused worker runs nothing, so a task that the
    worker reports as ended right after the pause counts as ended at its start.
    """
    last = events[-1].at if events else 0.0
    running: dict[tuple[str, str, int], _Interval] = {}
    found: list[_Interval] = []
    paused: dict[str, tuple[float, float]] = {}
    for event in events:
        if isinstance(event, history.TaskStarted):
            interval = _Interval(
                event.worker,
                event.job_id,
                event.task_id,
                event.epoch,
                event.accelerators,
                event.at,
                last,
            )
            running[event.worker, event.task_id, event.epoch] = interval
            found.append(interval)
        elif isinstance(event, history.TaskEnded):
            ended = running.pop((event.worker, event.task_id, event.epoch), None)
            if ended is None:
                continue
            ended.end = event.at
            ended.done = event.reason == "done"
            pause = paused.get(event.worker)
            if (
                pause is not None
                and ended.start < pause[0]
                and event.at - pause[1] < RESUME_S
                and not ended.done
            ):
                ended.end = pause[0]
        elif isinstance(event, history.ProcessFault):
            if event.kind == "paused":
                paused[event.process] = (event.at, float("inf"))
            elif event.kind == "resumed" and event.process in paused:
                paused[event.process] = (paused[event.process][0], event.at)
            elif event.kind == "killed":
                for key in [key for key in running if key[0] == event.process]:
                    running.pop(key).end = event.at
    return found


RESUME_S = 0.5  # A resumed worker ends tasks with a passed lease in its first turn.


def _by_job(events: Sequence[history.Event]) -> dict[str, list[_Interval]]:
    jobs: dict[str, list[_Interval]] = defaultdict(list)
    for interval in _intervals(events):
        jobs[interval.job_id].append(interval)
    return jobs


def _partial_stretches(
    gang: list[_Interval], size: int
) -> Iterator[tuple[float, float, int]]:
    """Yield start, end and number of present tasks of each partial time."""
    gang_end = max(interval.end for interval in gang)
    changes = sorted(
        [(interval.start, 1) for interval in gang]
        + [(gang_end if interval.done else interval.end, -1) for interval in gang]
    )
    count = 0
    since: float | None = None
    fewest = 0
    for at, change in changes:
        count += change
        if 0 < count < size:
            if since is None:
                since, fewest = at, count
            fewest = min(fewest, count)
        elif since is not None:
            yield since, at, fewest
            since = None
