"""In-memory workers that follow the published protocol and check the calls they get.

Failures can be injected: a call gets no response and may be carried out later, a worker
is unreachable, or it ends and restarts under its id. Each violation of the protocol is
recorded as text.
"""

import asyncio
import collections
import contextlib
import functools
import itertools
import random
from collections.abc import Awaitable, Callable

import msgspec

from marjoramusher.core import errors
from marjoramusher.executors import port
from marjoramusher.hosts import port as host_port
from marjoramusher.workflows import resources, workflow

MAX_LEASE_MS = 6000
GANG_TIMEOUT_S = 3.0
STOP_DURATION_S = 0.2
TIMEOUT_S = 0.8
DELAY_RANGE_S = (2.0, 12.0)
TICK_S = 0.02
CHECKPOINT_INTERVAL_S = 0.5
IDLE_TAIL_MS = 20.0
MAX_DISTURBANCE_S = 4.0
STARTUP_DURATION_S = 0.5
CRASH_DELAY_S = 0.01  # between a start and the crash that it causes
# How long a shrunken capacity may still be exceeded: the contact timeout of the
# platform and one heartbeat.
CAPACITY_GRACE_S = 5.5
# After this many crashes under one task, it may be started fewer times than
# `MAX_STARTS_AFTER_CRASHES` again.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
MAINTENANCE_DURATION_S = 2.0
UNANSWERED_S = 2.0  # how long a caller of the host service waits for a reply
# The bounds of the platform: how long after the end of its workflow a run may start,
# how long a stop may take, and how much later both are due after a late start.
CANCEL_S = 4.0
STOP_TIMEOUT_S = 0.9
CONTACT_TIMEOUT_S = 4.0


class _Run(msgspec.Struct):
    task: workflow.TaskKey
    run: int
    started_s: float
    work_s: float
    restored_s: float = 0.0  # work restored from a checkpoint
    gang_complete_s: float | None = None  # when all tasks of the gang were running
    stops_s: float | None = None  # when a requested stop takes effect
    outcome: workflow.RunOutcome = workflow.RunOutcome.DONE
    pace: int = 100  # percent of the full speed
    # Since when fill tasks have made the run miss its latency target.
    target_missed_s: float | None = None
    is_reported: bool = False  # as one that goes on after its workflow
    is_late: bool = False  # its start was carried out after the call had failed


class WorkerProcess(msgspec.Struct):
    """One process of a worker; a restart under the same id is another one.

    Parameters
    ----------
    clock_rate : float
        Rate of the worker's clock relative to true time.
    token : int
        Highest fencing token seen.
    lease_ms : float
        Deadline of the lease, on the worker's clock.
    last_ended_runs : dict
        Highest run number of each task that has ended or was stopped.
    ends : list
        Ends that the leader has not acknowledged.
    ended_s : dict
        Time of each end, by its number.
    former_capacities : list
        Capacities that the worker had before, each with the time of its end.
    is_polled : bool
        Whether it has told a leader which incarnation it is.
    leaves_s : float or None
        Time of its departure, ``None`` if it stays.
    """

    worker: workflow.Worker
    started_s: float
    clock_rate: float
    token: int = 0
    lease_ms: float = 0.0
    runs: dict[workflow.TaskKey, _Run] = {}
    last_ended_runs: dict[workflow.TaskKey, int] = {}
    ends: list[workflow.RunEnd] = []
    forgotten: int = 0
    last_end_number: int = 0
    lease_expired_s: float = -1.0
    ended_s: dict[int, float] = {}
    has_ended: bool = False
    former_capacities: list[tuple[float, workflow.Resources]] = []
    is_polled: bool = False
    leaves_s: float | None = None

    def drain_remaining_ms(self, now: float) -> float | None:
        """Return the time until its departure, ``None`` if it stays."""
        return None if self.leaves_s is None else max(self.leaves_s - now, 0.0) * 1000

    def clock_ms(self, now: float) -> int:
        """Return the reading of the worker's monotonic clock."""
        return int((now - self.started_s) * 1000 * self.clock_rate)


class Fleet:
    """Implement `WorkerPort` for a set of in-memory workers.

    Parameters
    ----------
    work_s : callable
        Returns the duration and the outcome of a run.

    Attributes
    ----------
    loss_rate : float
        Share of the calls that get no response.
    executed_rate : float
        Share of the lost calls that are carried out at once.
    delayed_rate : float
        Share of the other lost calls that are carried out later.
    delay_range_s : tuple of float
        How much later they are carried out.
    slow_rate : float
        Share of the calls that are carried out or answered late, but in time, so that
        calls and replies overtake each other.
    passes_cuts : bool
        Whether calls to an unreachable worker are carried out like lost ones.
    has_late_polls : bool
        Whether a late poll reaches the incarnation that has the id by then.
    fences_polls : bool
        Whether polls with a lower fencing token are refused, not only without effect.
    rejects_overload : bool
        Whether workers refuse starts for which they have no room.
    accepts_outdated : bool
        Whether a start is accepted whose own lease has expired, while the worker has
        another one.
    max_listed_ends : int
        Number of ends that a report lists at most; the others follow.
    refusal_rate : float
        Share of the starts and stops that a worker refuses as unhealthy, having done
        nothing.
    unreachable : set of str
        Ids of workers whose calls all fail.
    refuses_connections : bool
        Whether a worker that has ended refuses connections at once.
    closed_ports : set of str
        Ids of workers that refuse connections while they are up.
    replaced : set of str
        Ids of workers whose address another worker has taken.
    has_no_route : bool
        Whether connections to an unreachable worker fail at once.
    held_back : set of str
        Ids of workers to which calls are held back until `release_calls`.
    violations : list of str
        Violations of the protocol.
    polls : Counter
        Number of polls by worker.
    acknowledged : set of TaskKey
        Tasks whose end the leader has acknowledged, so they must not start again.
    stalled_workers : set of str
        Ids of workers on which long-running tasks make no progress.
    disturbance_ms : float
        How much a fill task at full speed adds to the tail latency.
    tickets : dict
        Ticket and expiry by worker, for each step that needs one.
    crashing : set of TaskKey
        Tasks under which each worker crashes shortly after it has started them.
    crashed : dict
        Addresses of the workers that crashed under each task.
    restart_s : float
        Time until a crashed worker is back.
    keeps_id : bool
        Whether a crashed worker is back under its former id, or under another one.
    keeps_address : bool
        Whether a crashed worker is back at its former address.
    restart : callable or None
        Announces a worker that is back.
    is_known : callable
        Tells whether an incarnation of a worker is registered.
    end_s : callable
        Returns when a workflow has ended, ``None`` while it is active.
    leader_fault_s : callable
        Returns when the last fault of the leader was seen.
    """

    def __init__(
        self,
        rng: random.Random,
        work_s: Callable[[workflow.TaskKey, int], tuple[float, workflow.RunOutcome]],
    ) -> None:
        self.rng = rng
        self._work_s = work_s
        self.loss_rate = 0.0
        self.executed_rate = 0.0
        self.delayed_rate = 0.5
        self.delay_range_s = DELAY_RANGE_S
        self.slow_rate = 0.0
        self.passes_cuts = False
        self.has_late_polls = False
        self.fences_polls = False
        self.rejects_overload = False
        self.accepts_outdated = False
        self.max_listed_ends = 500
        self.refusal_rate = 0.0
        self.processes: dict[str, WorkerProcess] = {}
        self.unreachable: set[str] = set()
        self.refuses_connections = False
        self.closed_ports: set[str] = set()
        self.replaced: set[str] = set()
        self.has_no_route = False
        self.held_back: set[str] = set()
        self._held_calls: list[tuple[str, Callable[[WorkerProcess], object]]] = []
        self.violations: list[str] = []
        self.submitted: dict[str, workflow.Workflow] = {}
        self.done: set[workflow.TaskKey] = set()
        self.acknowledged: set[workflow.TaskKey] = set()
        self.starts = 0
        self.refused_tickets = 0
        self.pace_calls = 0
        self.polls: collections.Counter[str] = collections.Counter()
        self.stalled_workers: set[str] = set()
        self.disturbance_ms = 0.0
        self.wasted_core_s = 0.0
        self.tickets: dict[tuple[str, int, int], dict[str, tuple[str, float]]] = {}
        self.crashing: set[workflow.TaskKey] = set()
        self.crashed: dict[workflow.TaskKey, list[str]] = {}
        self.restart_s = 3.0
        self.keeps_id = False
        self.keeps_address = True
        self.restart: Callable[[workflow.Worker], Awaitable[None]] | None = None
        self.is_known: Callable[[workflow.Worker], bool] = lambda worker: False
        self.end_s: Callable[[str], float | None] = lambda workflow_id: None
        self.leader_fault_s: Callable[[], float] = lambda: 0.0
        self._fault_s: dict[str, float] = {}
        self._is_late = False
        self._starts_after_crashes: dict[workflow.TaskKey, int] = {}
        self._restarts: set[asyncio.Task] = set()
        self._incarnations = itertools.count(1000)
        self._checkpoints: dict[str, tuple[workflow.TaskKey, float]] = {}
        self._started_s: dict[workflow.TaskKey, float] = {}
        self._delayed: set[asyncio.Task] = set()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def join(self, worker: workflow.Worker) -> WorkerProcess:
        """Start a process of a worker, ending the previous one with the same id."""
        if worker.worker_id in self.processes:
            self.processes[worker.worker_id].has_ended = True
        process = WorkerProcess(worker, self._now, self.rng.choice([1.0, 0.98]))
        self.processes[worker.worker_id] = process
        self._record_fault(worker.worker_id)
        return process

    def resize(self, process: WorkerProcess, capacity: workflow.Resources) -> None:
        """Change the capacity of a worker, which its next announcement shows."""
        process.former_capacities.append((self._now, process.worker.capacity))
        process.worker = msgspec.structs.replace(process.worker, capacity=capacity)

    async def simulate(self) -> None:
        """Advance all runs, lease expiries and stops until cancelled."""
        while True:
            now = self._now
            for worker_id in self.unreachable:
                self._record_fault(worker_id)
            for process in self.processes.values():
                if not process.has_ended:
                    self._advance(process, now)
                    self._check_ended_workflows(process, now)
            await asyncio.sleep(TICK_S)

    def _record_fault(self, worker_id: str) -> None:
        self._fault_s[worker_id] = self._now

    def _check_ended_workflows(self, process: WorkerProcess, now: float) -> None:
        """Record runs that go on although their workflow has ended.

        The time counts from the last fault of the worker or the leader.
        """
        calm_s = max(self._fault_s[process.worker.worker_id], self.leader_fault_s())
        for run in process.runs.values():
            ended_s = self.end_s(run.task.workflow_id)
            if ended_s is None:
                continue
            since_s = max(ended_s, calm_s)
            if run.is_late:
                since_s = max(since_s, run.started_s + CONTACT_TIMEOUT_S)
            if now - since_s > CANCEL_S + STOP_TIMEOUT_S and not run.is_reported:
                run.is_reported = True
                self.violations.append(
                    f"{run.task} run {run.run} goes on on {process.worker.worker_id} "
                    f"at {now:.2f}, its workflow ended at {ended_s:.2f}"
                )

    def _advance(self, process: WorkerProcess, now: float) -> None:
        if process.clock_ms(now) > process.lease_ms:
            process.lease_expired_s = now
            for run in list(process.runs.values()):
                self._end(process, run, workflow.RunOutcome.LAPSED)
            return
        self._check_tails(process, now)
        for run in list(process.runs.values()):
            if run.task not in process.runs:
                continue
            if run.stops_s is not None and now >= run.stops_s:
                self._end(process, run, workflow.RunOutcome.STOPPED)
            elif run.gang_complete_s is None:
                if self._is_gang_complete(run):
                    run.gang_complete_s = now
                elif now - run.started_s > GANG_TIMEOUT_S:
                    self._end(process, run, workflow.RunOutcome.ALONE)
            elif not self._is_gang_complete(run):
                self._end(process, run, workflow.RunOutcome.BROKEN)
            elif self._worked_s(run) >= run.work_s:
                self._end(process, run, run.outcome)

    def _members(self, run: _Run) -> list[tuple[WorkerProcess, _Run]]:
        return [
            (process, other)
            for process in self.processes.values()
            if not process.has_ended
            for other in process.runs.values()
            if _step_key(other.task) == _step_key(run.task) and other.run == run.run
        ]

    def _step(self, task: workflow.TaskKey) -> workflow.Step:
        return self.submitted[task.workflow_id].steps[task.step]

    def _is_gang_complete(self, run: _Run) -> bool:
        step = self._step(run.task)
        return not step.gang or len(self._members(run)) == step.count

    def _end(
        self, process: WorkerProcess, run: _Run, outcome: workflow.RunOutcome
    ) -> None:
        members = self._members(run) if self._step(run.task).gang else [(process, run)]
        for other_process, other in members:
            if other is run or outcome is workflow.RunOutcome.DONE:
                member_outcome = outcome
            elif outcome is workflow.RunOutcome.ALONE:
                continue
            else:
                member_outcome = workflow.RunOutcome.BROKEN
            del other_process.runs[other.task]
            checkpoint = self._save(other)
            if member_outcome is not workflow.RunOutcome.DONE:
                checkpointed_s = self._checkpoints.get(checkpoint, (other.task, 0.0))[1]
                unsaved_s = self._worked_s(other) - checkpointed_s
                self.wasted_core_s += unsaved_s * resources.core_equivalents(
                    self._step(other.task).needs
                )
            other_process.last_ended_runs[other.task] = max(
                other.run, other_process.last_ended_runs.get(other.task, 0)
            )
            other_process.last_end_number += 1
            other_process.ends.append(
                workflow.RunEnd(
                    other_process.last_end_number,
                    other.task,
                    other.run,
                    member_outcome,
                    checkpoint,
                )
            )
            other_process.ended_s[other_process.last_end_number] = self._now
            if member_outcome is workflow.RunOutcome.DONE:
                self.done.add(other.task)

    # Calls of `WorkerPort`

    async def start(
        self, worker: workflow.Worker, request: port.StartRequest
    ) -> port.Reply:
        """Start a run."""
        return await self._call(
            worker, lambda process: self._start(process, request), is_order=True
        )

    async def stop(
        self, worker: workflow.Worker, task: workflow.TaskKey, run: int, token: int
    ) -> port.Reply:
        """Stop a run."""
        return await self._call(
            worker,
            lambda process: self._stop(process, task, run, token),
            is_order=True,
        )

    async def set_pace(
        self,
        worker: workflow.Worker,
        task: workflow.TaskKey,
        run: int,
        percentage: int,
        token: int,
    ) -> port.Reply:
        """Limit a run to a percentage of its full speed."""
        return await self._call(
            worker, lambda process: self._pace(process, task, run, percentage, token)
        )

    async def poll(
        self,
        worker: workflow.Worker,
        token: int,
        last_end_number: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> port.WorkerReport:
        """Renew the lease and return the active and the ended runs."""
        self.polls[worker.worker_id] += 1
        deadline_s = self._now + wait_s
        called = self.processes.get(worker.worker_id)
        while self._now < deadline_s:
            process = self.processes.get(worker.worker_id)
            if process is not called:
                raise _unreachable(worker)  # the connection broke with the process
            if (
                process is None
                or process.has_ended
                or any(e.number > last_end_number for e in process.ends)
            ):
                break
            await asyncio.sleep(TICK_S)
        return await self._call(
            worker,
            lambda process: self._poll(process, token, last_end_number, deadline_ms),
        )

    async def _call(self, worker: workflow.Worker, handler, is_order: bool = False):
        await asyncio.sleep(self.rng.uniform(0.001, 0.03))
        is_slow = bool(self.slow_rate) and self.rng.random() < self.slow_rate
        if is_slow:
            await asyncio.sleep(self.rng.uniform(0.0, TIMEOUT_S / 2))
        if worker.worker_id in self.held_back:
            self._record_fault(worker.worker_id)
            self._held_calls.append((worker.worker_id, handler))
            await asyncio.sleep(TIMEOUT_S)
            raise _unreachable(worker)
        process = self.processes.get(worker.worker_id)
        if worker.worker_id in self.replaced:
            raise port.WorkerReplacedError(worker.worker_id)
        has_ended = process is not None and process.has_ended
        if worker.worker_id in self.closed_ports or (
            self.refuses_connections and has_ended
        ):
            raise _unreachable(worker, errors.Outcome.NOT_RUN, is_refused=True)
        if self.has_no_route and worker.worker_id in self.unreachable:
            raise _unreachable(worker, errors.Outcome.NOT_RUN)
        if worker.worker_id in self.unreachable or process is None or process.has_ended:
            if self.passes_cuts and process is not None and not process.has_ended:
                self._lose(process, handler, is_order)
            await asyncio.sleep(TIMEOUT_S)
            raise _unreachable(worker)
        if self.rng.random() < self.loss_rate:
            self._lose(process, handler, is_order)
            await asyncio.sleep(TIMEOUT_S)
            raise _unreachable(worker)
        if is_order and self.refusal_rate and self.rng.random() < self.refusal_rate:
            self._record_fault(worker.worker_id)
            return self._refused(process, port.Refusal.UNHEALTHY)
        reply = handler(process)
        if is_slow:
            await asyncio.sleep(self.rng.uniform(0.0, TIMEOUT_S / 2))
        return reply

    def release_calls(self) -> None:
        """Carry out the calls that were held back, by whoever has the id by now."""
        held, self._held_calls = self._held_calls, []
        for worker_id, handler in held:
            self._carry_out_late(self.processes[worker_id], handler)

    def _lose(self, process: WorkerProcess, handler, is_order: bool) -> None:
        """Carry out a call that gets no reply at once, later or not at all."""
        self._record_fault(process.worker.worker_id)
        if self.executed_rate and self.rng.random() < self.executed_rate:
            with contextlib.suppress(port.WorkerUnreachableError):
                handler(process)
        elif self.rng.random() < self.delayed_rate:
            self._schedule_delayed(process, handler, is_order or self.has_late_polls)

    def _schedule_delayed(
        self, process: WorkerProcess, handler, reaches_successor: bool
    ) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(self.rng.uniform(*self.delay_range_s))
            # A call names the id of its worker only, so a later process accepts it.
            # No leader can prevent that before it knows of the process.
            current = process
            if reaches_successor:
                current = self.processes.get(process.worker.worker_id, process)
            is_known = current.is_polled or self.is_known(current.worker)
            if current.has_ended or not (current is process or is_known):
                return
            self._carry_out_late(current, handler)

        task = asyncio.get_running_loop().create_task(carry_out())
        self._delayed.add(task)
        task.add_done_callback(self._delayed.discard)

    def _carry_out_late(self, process: WorkerProcess, handler) -> None:
        """Carry out a call for whose reply nobody waits any more."""
        self._is_late = True
        try:
            with contextlib.suppress(port.WorkerUnreachableError):
                handler(process)
        finally:
            self._is_late = False

    def _refused(self, process: WorkerProcess, refusal: port.Refusal) -> port.Reply:
        return port.Reply(process.clock_ms(self._now), refusal)

    def _extend_lease(self, process: WorkerProcess, deadline_ms: int) -> None:
        latest_ms = process.clock_ms(self._now) + MAX_LEASE_MS
        process.lease_ms = max(process.lease_ms, min(deadline_ms, latest_ms))

    def _start(self, process: WorkerProcess, request: port.StartRequest) -> port.Reply:
        if request.token < process.token:
            return self._refused(process, port.Refusal.FENCED)
        process.token = request.token
        deadline_ms = request.deadline_ms
        if self.accepts_outdated:
            deadline_ms = max(deadline_ms, process.lease_ms)
        if deadline_ms <= process.clock_ms(self._now):
            return self._refused(process, port.Refusal.LEASE_EXPIRED)
        # The lease is also taken from a start that is refused as stale or for want of
        # room.
        self._extend_lease(process, request.deadline_ms)
        current = process.runs.get(request.task)
        if current is not None and current.run == request.run:
            return port.Reply(process.clock_ms(self._now))
        if (
            request.run <= process.last_ended_runs.get(request.task, 0)
            or current is not None
        ):
            return self._refused(process, port.Refusal.STALE_RUN)
        if not self._has_ticket(process, request):
            self.refused_tickets += 1
            return self._refused(process, port.Refusal.INVALID_TICKET)
        if self.rejects_overload and not self._has_room(process, request.task):
            return self._refused(process, port.Refusal.NO_CAPACITY)
        self._check_start(process, request)
        self.starts += 1
        work_s, outcome = self._work_s(request.task, request.run)
        restored_s = 0.0
        if request.checkpoint:
            key, restored_s = self._checkpoints.get(request.checkpoint, (None, 0.0))
            if key is None or _step_key(key) != _step_key(request.task):
                self.violations.append(f"checkpoint of another task: {request.task}")
        if request.task in self.crashing:
            self._watch(self._crash_later(process, request.task))
        process.runs[request.task] = _Run(
            request.task,
            request.run,
            self._now,
            work_s,
            restored_s,
            None,
            None,
            outcome,
            is_late=self._is_late,
        )
        return port.Reply(process.clock_ms(self._now))

    async def _crash_later(
        self, process: WorkerProcess, task: workflow.TaskKey
    ) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        if not process.has_ended:
            self.crashed.setdefault(task, []).append(process.worker.address)
            self.crash(process)

    def crash(self, process: WorkerProcess) -> None:
        """End a worker without notice; it is back after a while."""
        process.has_ended = True
        self._watch(self._restart_later(process.worker))

    async def _restart_later(self, worker: workflow.Worker) -> None:
        await asyncio.sleep(self.restart_s)
        incarnation = next(self._incarnations)
        unique = f"{worker.address}-{incarnation}"
        restarted = msgspec.structs.replace(
            worker,
            worker_id=worker.worker_id if self.keeps_id else unique,
            address=worker.address if self.keeps_address else unique,
            incarnation=incarnation,
            draining=False,
        )
        del self.processes[worker.worker_id]
        self.join(restarted)
        if self.restart is not None:
            await self.restart(restarted)

    def _watch(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def _has_ticket(self, process: WorkerProcess, request: port.StartRequest) -> bool:
        """Tell whether a request has a valid ticket, or its step needs none."""
        tickets = self.tickets.get(_step_key(request.task))
        if tickets is None:
            return True
        ticket, expires_s = tickets.get(process.worker.worker_id, ("", 0.0))
        return bool(ticket) and request.ticket == ticket and self._now < expires_s

    def _has_room(self, process: WorkerProcess, task: workflow.TaskKey) -> bool:
        return self._needs(process, task).fits_within(process.worker.capacity)

    def _needs(
        self, process: WorkerProcess, task: workflow.TaskKey
    ) -> workflow.Resources:
        """Return what all runs on a worker and one more need."""
        used = [resources.reserved(self._step(key)) for key in process.runs]
        used.append(resources.reserved(self._step(task)))
        return functools.reduce(resources.combined, used)

    def _check_start(self, process: WorkerProcess, request: port.StartRequest) -> None:
        task = request.task
        context = (
            f"{task} run {request.run} on {process.worker.worker_id} at {self._now:.2f}"
        )
        for other in self.processes.values():
            if not other.has_ended and task in other.runs:
                self.violations.append(f"already running: {context}")
        if task in self.acknowledged:
            self.violations.append(f"started after its acknowledged end: {context}")
        if len(self.crashed.get(task, ())) >= MAX_CRASHES:
            starts = self._starts_after_crashes.get(task, 0) + 1
            self._starts_after_crashes[task] = starts
            if starts >= MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"started after many crashes: {context}")
        self._started_s[task] = self._now
        ended_s = self.end_s(task.workflow_id)
        since_s = max(ended_s or 0.0, self.leader_fault_s())
        if ended_s is not None and not self._is_late and self._now - since_s > CANCEL_S:
            self.violations.append(f"its workflow has ended: {context}")
        submitted = self.submitted[task.workflow_id]
        if request.payload != submitted.payload:
            self.violations.append(f"wrong payload: {context}")
        for dependency in submitted.steps[task.step].after:
            for index in range(submitted.steps[dependency].count):
                key = workflow.TaskKey(
                    task.workflow_id, task.occurrence, dependency, index
                )
                if key not in self.done:
                    self.violations.append(f"dependency has not ended: {context}")
        total = self._needs(process, task)
        capacities = [process.worker.capacity] + [
            capacity
            for until_s, capacity in process.former_capacities
            if self._now - until_s <= CAPACITY_GRACE_S
        ]
        if not any(total.fits_within(capacity) for capacity in capacities):
            self.violations.append(f"capacity exceeded: {context}")

    def _stop(
        self, process: WorkerProcess, task: workflow.TaskKey, run: int, token: int
    ) -> port.Reply:
        if token < process.token:
            return self._refused(process, port.Refusal.FENCED)
        process.token = token
        current = process.runs.get(task)
        if current is not None and current.run <= run:
            current.stops_s = current.stops_s or self._now + STOP_DURATION_S
        process.last_ended_runs[task] = max(run, process.last_ended_runs.get(task, 0))
        return port.Reply(process.clock_ms(self._now))

    def _pace(
        self,
        process: WorkerProcess,
        task: workflow.TaskKey,
        run: int,
        percentage: int,
        token: int,
    ) -> port.Reply:
        if token < process.token:
            return self._refused(process, port.Refusal.FENCED)
        current = process.runs.get(task)
        if current is None or current.run != run:
            return self._refused(process, port.Refusal.STALE_RUN)
        current.pace = percentage
        self.pace_calls += 1
        return port.Reply(process.clock_ms(self._now))

    def tail_ms(self, process: WorkerProcess) -> float:
        """Return the tail latency of the serving tasks on a worker."""
        fill_runs = [r for r in process.runs.values() if self._step(r.task).fill]
        return IDLE_TAIL_MS + sum(self.disturbance_ms * r.pace / 100 for r in fill_runs)

    def _check_tails(self, process: WorkerProcess, now: float) -> None:
        """Record serving tasks whose target fill tasks have violated for too long."""
        tail_ms = self.tail_ms(process)
        for run in process.runs.values():
            target_ms = self._step(run.task).target_ms
            if not target_ms or tail_ms <= target_ms:
                run.target_missed_s = None
            elif run.target_missed_s is None:
                run.target_missed_s = now
            elif (
                now - run.target_missed_s > MAX_DISTURBANCE_S
                and target_ms >= IDLE_TAIL_MS
            ):
                self.violations.append(
                    f"latency target missed: {run.task} at {now:.2f}"
                )
                run.target_missed_s = now

    def _poll(
        self,
        process: WorkerProcess,
        token: int,
        last_end_number: int,
        deadline_ms: int | None,
    ) -> port.WorkerReport:
        if self.fences_polls and token < process.token:
            raise _unreachable(process.worker)
        if token >= process.token:
            process.token = token
            process.is_polled = True
            if deadline_ms is not None:
                self._extend_lease(process, deadline_ms)
            for end in process.ends:
                if (
                    end.number <= last_end_number
                    and end.outcome is workflow.RunOutcome.DONE
                ):
                    self._acknowledge(process, end)
            process.ends = [end for end in process.ends if end.number > last_end_number]
        return port.WorkerReport(
            process.clock_ms(self._now),
            process.worker.incarnation,
            tuple(
                port.RunStatus(
                    run.task,
                    run.run,
                    self._save(run),
                    self._progress_percent(run),
                    self.tail_ms(process) if self._step(run.task).target_ms else 0.0,
                )
                for run in process.runs.values()
            ),
            tuple(process.ends[: self.max_listed_ends]),
        )

    def _acknowledge(self, process: WorkerProcess, end: workflow.RunEnd) -> None:
        """Record that the leader has acknowledged an end: no later start is allowed."""
        ended_s = process.ended_s[end.number]
        step = self._step(end.task)
        members = range(step.count) if step.gang else (end.task.index,)
        for index in members:
            task = msgspec.structs.replace(end.task, index=index)
            self.acknowledged.add(task)
            if self._started_s[task] > ended_s > process.lease_expired_s:
                self.violations.append(
                    f"{task} was started after an end that was acknowledged later"
                )

    def _progress_percent(self, run: _Run) -> int:
        if run.gang_complete_s is None:
            return 0
        if self._step(run.task).long_running:
            is_started = self._now - run.gang_complete_s > STARTUP_DURATION_S
            return 100 if is_started and not self._is_stalled(run) else 50
        return min(99, int(100 * self._worked_s(run) / run.work_s))

    def _is_stalled(self, run: _Run) -> bool:
        return any(
            run.task in self.processes[name].runs
            for name in self.stalled_workers & set(self.processes)
        )

    def _worked_s(self, run: _Run) -> float:
        if run.gang_complete_s is None:
            return run.restored_s
        return run.restored_s + self._now - run.gang_complete_s

    def _save(self, run: _Run) -> str:
        """Return the newest checkpoint of a run, or an empty string if it has none."""
        worked_s = self._worked_s(run) // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
        if not self._step(run.task).checkpointing or not worked_s:
            return ""
        value = f"{run.task.workflow_id}.{run.task.step}.{run.task.index}@{worked_s}"
        self._checkpoints[value] = (run.task, worked_s)
        return value


class Policy:
    """Implement `PolicyPort` for a fleet, permitting a step on some workers only.

    Parameters
    ----------
    is_permitted : callable
        Tells whether a step may run on a worker.
    validity_s : float
        Validity of the tickets.
    call_s : float
        Duration of a call.

    Attributes
    ----------
    calls : list
        Workers that each call names.
    failing : bool
        Whether all calls fail.
    failing_steps : set
        Steps whose calls fail.
    hanging : bool
        Whether failing calls take until their timeout.
    """

    def __init__(
        self,
        fleet: Fleet,
        is_permitted: Callable[[tuple[str, int, int], str], bool],
        validity_s: float = 3.0,
        call_s: float = 0.1,
    ) -> None:
        self._fleet = fleet
        self._is_permitted = is_permitted
        self._validity_s = validity_s
        self.call_s = call_s
        self.calls: list[tuple[str, ...]] = []
        self.failing = False
        self.failing_steps: set[tuple[str, int, int]] = set()
        self.hanging = False

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...], timeout_s: float
    ) -> port.PolicyDecision:
        """Return tickets for the workers that may run a step."""
        self.calls.append(worker_ids)
        is_failing = self.failing or step in self.failing_steps
        is_hanging = self.hanging and is_failing
        await asyncio.sleep(timeout_s if is_hanging else min(self.call_s, timeout_s))
        if is_failing:
            raise port.PolicyUnavailableError("429")
        expires_s = asyncio.get_running_loop().time() + self._validity_s
        step_tickets = self._fleet.tickets.setdefault(step, {})
        tickets = {
            name: f"{name}-{len(self.calls)}"
            for name in worker_ids
            if self._is_permitted(step, name)
        }
        step_tickets.update(
            {name: (ticket, expires_s) for name, ticket in tickets.items()}
        )
        return port.PolicyDecision(tickets, self._validity_s)


class Hosts:
    """Implement `HostPort` for a fleet: worker ``x1`` runs on host ``m-x1``.

    `move` tells that a worker with another id runs there now.

    Attributes
    ----------
    rejoin : callable
        Restarts a worker after the maintenance of its host.
    max_down : dict
        Maximum number of hosts that are down at once, by wave; 1 if absent.
    unanswered : set of str
        Hosts for which the next maintenance request is carried out without a reply.
    started : list
        Wave and host of each maintenance that has started.
    calls : list
        Time, holder and fencing token of each maintenance request.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.rejoin: Callable[[str], Awaitable[None]] | None = None
        self.max_down: dict[int, int] = {}
        self.loss_rate = 0.0
        self.unanswered: set[str] = set()
        self.started: list[tuple[int, str]] = []
        self.calls: list[tuple[float, str, int]] = []
        self.violations: list[str] = []
        self._down: dict[str, int] = {}
        self._moved: dict[str, str] = {}
        self._restarts: set[asyncio.Task] = set()

    def move(self, name: str, worker_id: str) -> None:
        """Let another worker run on the host of the worker with a name."""
        self._moved[name] = worker_id

    def _process(self, name: str) -> WorkerProcess | None:
        return self._fleet.processes.get(self._moved.get(name, name))

    async def hosts(self) -> dict[str, host_port.Host]:
        """Return all hosts by id."""
        await self._delay_or_fail()
        up, down = host_port.HostState.UP, host_port.HostState.MAINTENANCE
        names = self._fleet.processes.keys() - self._moved.values()
        return {
            f"m-{name}": host_port.Host(
                f"m-{name}",
                down if f"m-{name}" in self._down else up,
                None if process.has_ended else process.worker.worker_id,
            )
            for name in sorted(names)
            if (process := self._process(name)) is not None
        }

    async def maintain(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> host_port.MaintenanceOutcome:
        """Take a host down for maintenance, unless it already is."""
        name = host_id.removeprefix("m-")
        self.calls.append((asyncio.get_running_loop().time(), holder, token))
        process = self._process(name)
        if process is None:
            await self._delay_or_fail()
            return host_port.MaintenanceOutcome.REFUSED
        if host_id in self._down:
            await self._delay_or_fail()
            return host_port.MaintenanceOutcome.BUSY
        if (wave, host_id) not in self.started:
            if sum(number == wave for number in self._down.values()) >= (
                self.max_down.get(wave, 1)
            ):
                self.violations.append(f"too many hosts are down: {host_id}")
            self.started.append((wave, host_id))
            for run in process.runs.values():
                self.violations.append(f"{run.task} ended by maintenance")
            process.has_ended = True
            self._down[host_id] = wave
            task = asyncio.get_running_loop().create_task(self._restart(name))
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)
        if host_id in self.unanswered:
            self.unanswered.discard(host_id)
            await asyncio.sleep(UNANSWERED_S)
            raise host_port.HostsUnavailableError("no response")
        await self._delay_or_fail()
        return host_port.MaintenanceOutcome.STARTED

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(MAINTENANCE_DURATION_S)
        if self.rejoin is not None:
            await self.rejoin(name)
        del self._down[f"m-{name}"]

    async def _delay_or_fail(self) -> None:
        await asyncio.sleep(0.03)
        if self._fleet.rng.random() < self.loss_rate:
            await asyncio.sleep(TIMEOUT_S)
            raise host_port.HostsUnavailableError("no response")


def _unreachable(
    worker: workflow.Worker,
    outcome: errors.Outcome = errors.Outcome.UNKNOWN,
    *,
    is_refused: bool = False,
) -> port.WorkerUnreachableError:
    return port.WorkerUnreachableError(
        worker.worker_id, "no response", outcome, is_refused=is_refused
    )


def _step_key(task: workflow.TaskKey) -> tuple[str, int, int]:
    return task.workflow_id, task.occurrence, task.step
