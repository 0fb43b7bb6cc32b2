"""Workers in memory that follow the published protocol and check what they are told.

Calls may get no answer and be carried out later, workers may be cut off, die and come
back under their id. Each breach of a rule is kept as text.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from marjoramusher.core import errors
from marjoramusher.executors import port
from marjoramusher.hosts import port as host_port
from marjoramusher.workflows import resources, workflow

MAX_LEASE_MS = 6000
GANG_S = 3.0
STOP_S = 0.2
TIMEOUT_S = 0.8
LATE_S = (2.0, 12.0)
TURN_S = 0.02
SAVE_S = 0.5
IDLE_TAIL_MS = 20.0
DISTURBED_S = 4.0
STARTUP_S = 0.5
MAINTENANCE_S = 2.0


class _Run(msgspec.Struct):
    task: workflow.TaskKey
    run: int
    since_s: float
    work_s: float
    before_s: float = 0.0  # work that a checkpoint has brought
    present_s: float | None = None  # when all members of the gang were there
    ends_s: float | None = None
    how: workflow.RunOutcome = workflow.RunOutcome.DONE
    pace: int = 100
    over_s: float | None = None  # since when a target is missed through fillers


class WorkerProcess(msgspec.Struct):
    """One process of a worker.

    Parameters
    ----------
    rate : float
        Speed of its clock against true time.
    """

    worker: workflow.Worker
    started_s: float
    rate: float
    token: int = 0
    lease_ms: float = 0.0
    runs: dict[workflow.TaskKey, _Run] = {}
    ended: dict[workflow.TaskKey, int] = {}
    ends: list[workflow.RunEnd] = []
    forgotten: int = 0
    last: int = 0
    lapsed_s: float = -1.0
    ended_s: dict[int, float] = {}
    has_ended: bool = False

    def clock_ms(self, now: float) -> int:
        """Return what the worker's steady clock shows."""
        return int((now - self.started_s) * 1000 * self.rate)


class Fleet:
    """Implement `WorkerPort` for a set of workers.

    Parameters
    ----------
    work_s : callable
        Gives how long a run works, and how it ends.
    lost : float
        Share of the calls that get no answer.
    late : float
        Share of those that are carried out later.
    """

    def __init__(
        self,
        rng: random.Random,
        work_s: Callable[[workflow.TaskKey, int], tuple[float, workflow.RunOutcome]],
    ) -> None:
        self.rng = rng
        self._work_s = work_s
        self.loss_rate = 0.0
        self.delayed_rate = 0.5
        self.processes: dict[str, WorkerProcess] = {}
        self.unreachable: set[str] = set()
        self.violations: list[str] = []
        self.submitted: dict[str, workflow.Workflow] = {}
        self.done: set[workflow.TaskKey] = set()
        self.noted: set[workflow.TaskKey] = set()
        self.starts = 0
        self.refused_tickets = 0
        self.pace_calls = 0
        self.stalled_workers: set[str] = set()
        self.disturbance_ms = 0.0
        self.wasted_core_s = 0.0
        self.tickets: dict[tuple[str, int, int], dict[str, tuple[str, float]]] = {}
        self._saved: dict[str, tuple[workflow.TaskKey, float]] = {}
        self._started_s: dict[workflow.TaskKey, float] = {}
        self._late: set[asyncio.Task] = set()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def join(self, worker: workflow.Worker) -> WorkerProcess:
        """Start a process of a worker; the former one under its id ends."""
        if worker.worker_id in self.processes:
            self.processes[worker.worker_id].has_ended = True
        process = WorkerProcess(worker, self._now, self.rng.choice([1.0, 0.98]))
        self.processes[worker.worker_id] = process
        return process

    async def simulate(self) -> None:
        """Let work go on, leases lapse and stops end, for ever."""
        while True:
            now = self._now
            for process in self.processes.values():
                if not process.has_ended:
                    self._advance(process, now)
            await asyncio.sleep(TURN_S)

    def _advance(self, process: WorkerProcess, now: float) -> None:
        if process.clock_ms(now) > process.lease_ms:
            process.lapsed_s = now
            for run in list(process.runs.values()):
                self._end(process, run, workflow.RunOutcome.LAPSED)
            return
        self._check_tails(process, now)
        for run in list(process.runs.values()):
            if run.task not in process.runs:
                continue
            if run.ends_s is not None and now >= run.ends_s:
                self._end(process, run, workflow.RunOutcome.STOPPED)
            elif run.present_s is None:
                if self._all_present(run):
                    run.present_s = now
                elif now - run.since_s > GANG_S:
                    self._end(process, run, workflow.RunOutcome.ALONE)
            elif not self._all_present(run):
                self._end(process, run, workflow.RunOutcome.BROKEN)
            elif self._worked_s(run) >= run.work_s:
                self._end(process, run, run.how)

    def _members(self, run: _Run) -> list[tuple[WorkerProcess, _Run]]:
        return [
            (process, other)
            for process in self.processes.values()
            if not process.has_ended
            for other in process.runs.values()
            if _unit(other.task) == _unit(run.task) and other.run == run.run
        ]

    def _step(self, task: workflow.TaskKey) -> workflow.Step:
        return self.submitted[task.workflow_id].steps[task.step]

    def _all_present(self, run: _Run) -> bool:
        step = self._step(run.task)
        return not step.gang or len(self._members(run)) == step.count

    def _end(self, process: WorkerProcess, run: _Run, how: workflow.RunOutcome) -> None:
        members = self._members(run) if self._step(run.task).gang else [(process, run)]
        for other_life, other in members:
            if other is run or how is workflow.RunOutcome.DONE:
                said = how
            elif how is workflow.RunOutcome.ALONE:
                continue
            else:
                said = workflow.RunOutcome.BROKEN
            del other_life.runs[other.task]
            saved = self._save(other)
            if said is not workflow.RunOutcome.DONE:
                saved_s = self._saved.get(saved, (other.task, 0.0))[1]
                lost_s = self._worked_s(other) - saved_s
                self.wasted_core_s += lost_s * resources.core_equivalents(
                    self._step(other.task).needs
                )
            other_life.ended[other.task] = max(
                other.run, other_life.ended.get(other.task, 0)
            )
            other_life.last += 1
            other_life.ends.append(
                workflow.RunEnd(other_life.last, other.task, other.run, said, saved)
            )
            other_life.ended_s[other_life.last] = self._now
            if said is workflow.RunOutcome.DONE:
                self.done.add(other.task)

    # Calls.

    async def start(
        self, worker: workflow.Worker, order: port.StartRequest
    ) -> port.Reply:
        """Start a run."""
        return await self._call(worker, lambda process: self._start(process, order))

    async def stop(
        self, worker: workflow.Worker, task: workflow.TaskKey, run: int, token: int
    ) -> port.Reply:
        """Stop a run."""
        return await self._call(
            worker, lambda process: self._stop(process, task, run, token)
        )

    async def set_pace(
        self,
        worker: workflow.Worker,
        task: workflow.TaskKey,
        run: int,
        percentage: int,
        token: int,
    ) -> port.Reply:
        """Let a run work at a share of its speed."""
        return await self._call(
            worker, lambda process: self._pace(process, task, run, percentage, token)
        )

    async def poll(
        self,
        worker: workflow.Worker,
        token: int,
        seen: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> port.WorkerReport:
        """Renew the lease and return both lists."""
        until_s = self._now + wait_s
        while self._now < until_s:
            process = self.processes.get(worker.worker_id)
            if (
                process is None
                or process.has_ended
                or any(e.number > seen for e in process.ends)
            ):
                break
            await asyncio.sleep(TURN_S)
        return await self._call(
            worker, lambda process: self._hold(process, token, seen, deadline_ms)
        )

    async def _call(self, worker: workflow.Worker, act):
        await asyncio.sleep(self.rng.uniform(0.001, 0.03))
        process = self.processes.get(worker.worker_id)
        if worker.worker_id in self.unreachable or process is None or process.has_ended:
            await asyncio.sleep(TIMEOUT_S)
            raise _silent(worker)
        if self.rng.random() < self.loss_rate:
            if self.rng.random() < self.delayed_rate:
                self._later(process, act)
            await asyncio.sleep(TIMEOUT_S)
            raise _silent(worker)
        if process.worker.incarnation != worker.incarnation and act is not None:
            return act(process)
        return act(process)

    def _later(self, process: WorkerProcess, act) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(self.rng.uniform(*LATE_S))
            if not process.has_ended:
                act(process)

        task = asyncio.get_running_loop().create_task(carry_out())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _refused(self, process: WorkerProcess, refusal: port.Refusal) -> port.Reply:
        return port.Reply(process.clock_ms(self._now), refusal)

    def _grant(self, process: WorkerProcess, deadline_ms: int) -> None:
        most = process.clock_ms(self._now) + MAX_LEASE_MS
        process.lease_ms = max(process.lease_ms, min(deadline_ms, most))

    def _start(self, process: WorkerProcess, order: port.StartRequest) -> port.Reply:
        if order.token < process.token:
            return self._refused(process, port.Refusal.FENCED)
        process.token = order.token
        if order.deadline_ms <= process.clock_ms(self._now):
            return self._refused(process, port.Refusal.LEASE_EXPIRED)
        self._grant(process, order.deadline_ms)
        present = process.runs.get(order.task)
        if present is not None and present.run == order.run:
            return port.Reply(process.clock_ms(self._now))
        if order.run <= process.ended.get(order.task, 0) or present is not None:
            return self._refused(process, port.Refusal.STALE_RUN)
        if not self._has_ticket(process, order):
            self.refused_tickets += 1
            return self._refused(process, port.Refusal.INVALID_TICKET)
        self._check_start(process, order)
        self.starts += 1
        work_s, how = self._work_s(order.task, order.run)
        before_s = 0.0
        if order.checkpoint:
            key, before_s = self._saved.get(order.checkpoint, (None, 0.0))
            if key is None or _unit(key) != _unit(order.task):
                self.violations.append(f"checkpoint of another task: {order.task}")
        process.runs[order.task] = _Run(
            order.task, order.run, self._now, work_s, before_s, None, None, how
        )
        return port.Reply(process.clock_ms(self._now))

    def _has_ticket(self, process: WorkerProcess, order: port.StartRequest) -> bool:
        """Tell whether a start carries the ticket that its step may need."""
        given = self.tickets.get(_unit(order.task))
        if given is None:
            return True
        ticket, until_s = given.get(process.worker.worker_id, ("", 0.0))
        return bool(ticket) and order.ticket == ticket and self._now < until_s

    def _check_start(self, process: WorkerProcess, order: port.StartRequest) -> None:
        task = order.task
        where = (
            f"{task} run {order.run} on {process.worker.worker_id} at {self._now:.2f}"
        )
        for other in self.processes.values():
            if not other.has_ended and task in other.runs:
                self.violations.append(f"twice: {where}")
        if task in self.noted:
            self.violations.append(f"after its end: {where}")
        self._started_s[task] = self._now
        said = self.submitted[task.workflow_id]
        if order.payload != said.payload:
            self.violations.append(f"payload: {where}")
        for before in said.steps[task.step].after:
            for index in range(said.steps[before].count):
                key = workflow.TaskKey(task.workflow_id, task.occurrence, before, index)
                if key not in self.done:
                    self.violations.append(f"order: {where}")
        used = [resources.reserved(self._step(each)) for each in process.runs]
        used.append(resources.reserved(self._step(task)))
        capacity = process.worker.capacity
        if (
            sum(each.accelerators for each in used) > capacity.accelerators
            or sum(each.cores_milli for each in used) > capacity.cores_milli
            or sum(each.memory_mb for each in used) > capacity.memory_mb
        ):
            self.violations.append(f"room: {where}")

    def _stop(
        self, process: WorkerProcess, task: workflow.TaskKey, run: int, token: int
    ) -> port.Reply:
        if token < process.token:
            return self._refused(process, port.Refusal.FENCED)
        process.token = token
        present = process.runs.get(task)
        if present is not None and present.run <= run:
            present.ends_s = present.ends_s or self._now + STOP_S
        process.ended[task] = max(run, process.ended.get(task, 0))
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
        present = process.runs.get(task)
        if present is None or present.run != run:
            return self._refused(process, port.Refusal.STALE_RUN)
        present.pace = percentage
        self.pace_calls += 1
        return port.Reply(process.clock_ms(self._now))

    def tail_ms(self, process: WorkerProcess) -> float:
        """Return the tail of all serving tasks on a worker."""
        filling = [r for r in process.runs.values() if self._step(r.task).fill]
        return IDLE_TAIL_MS + sum(self.disturbance_ms * r.pace / 100 for r in filling)

    def _check_tails(self, process: WorkerProcess, now: float) -> None:
        """Note serving tasks that miss their target for too long through fillers."""
        tail_ms = self.tail_ms(process)
        for run in process.runs.values():
            target_ms = self._step(run.task).target_ms
            if not target_ms or tail_ms <= target_ms:
                run.over_s = None
            elif run.over_s is None:
                run.over_s = now
            elif now - run.over_s > DISTURBED_S and target_ms >= IDLE_TAIL_MS:
                self.violations.append(f"disturbed: {run.task} at {now:.2f}")
                run.over_s = now

    def _hold(
        self, process: WorkerProcess, token: int, seen: int, deadline_ms: int | None
    ) -> port.WorkerReport:
        if token >= process.token:
            process.token = token
            if deadline_ms is not None:
                self._grant(process, deadline_ms)
            for end in process.ends:
                if end.number <= seen and end.outcome is workflow.RunOutcome.DONE:
                    self._note(process, end)
            process.ends = [end for end in process.ends if end.number > seen]
        return port.WorkerReport(
            process.clock_ms(self._now),
            process.worker.incarnation,
            tuple(
                port.RunStatus(
                    run.task,
                    run.run,
                    self._save(run),
                    self._percent(run),
                    self.tail_ms(process) if self._step(run.task).target_ms else 0.0,
                )
                for run in process.runs.values()
            ),
            tuple(process.ends),
        )

    def _note(self, process: WorkerProcess, end: workflow.RunEnd) -> None:
        """Take note of an end, which makes a start after it a breach."""
        ended_s = process.ended_s[end.number]
        step = self._step(end.task)
        members = range(step.count) if step.gang else (end.task.index,)
        for index in members:
            task = msgspec.structs.replace(end.task, index=index)
            self.noted.add(task)
            if self._started_s[task] > ended_s > process.lapsed_s:
                self.violations.append(f"{task} was started after an end noted later")

    def _percent(self, run: _Run) -> int:
        if run.present_s is None:
            return 0
        if self._step(run.task).long_running:
            started = self._now - run.present_s > STARTUP_S
            return 100 if started and not self._is_stalled(run) else 50
        return min(99, int(100 * self._worked_s(run) / run.work_s))

    def _is_stalled(self, run: _Run) -> bool:
        return any(
            run.task in self.processes[name].runs
            for name in self.stalled_workers & set(self.processes)
        )

    def _worked_s(self, run: _Run) -> float:
        if run.present_s is None:
            return run.before_s
        return run.before_s + self._now - run.present_s

    def _save(self, run: _Run) -> str:
        """Return the newest checkpoint of a run, empty if it has none."""
        worked_s = self._worked_s(run) // SAVE_S * SAVE_S
        if not self._step(run.task).checkpointing or not worked_s:
            return ""
        value = f"{run.task.workflow_id}.{run.task.step}.{run.task.index}@{worked_s}"
        self._saved[value] = (run.task, worked_s)
        return value


class Policy:
    """Implement `PolicyPort` for a fleet: only some workers may run a step.

    Parameters
    ----------
    permitted : callable
        Tells whether a step may run on a worker.
    validity_s : float
        How long tickets last.
    """

    def __init__(
        self,
        fleet: Fleet,
        permitted: Callable[[tuple[str, int, int], str], bool],
        validity_s: float = 3.0,
        call_s: float = 0.1,
    ) -> None:
        self._fleet = fleet
        self._permitted = permitted
        self._validity_s = validity_s
        self._call_s = call_s
        self.calls: list[tuple[str, ...]] = []
        self.failing = False

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...], timeout_s: float
    ) -> port.PolicyDecision:
        """Give tickets for the workers that may run a step."""
        self.calls.append(worker_ids)
        await asyncio.sleep(min(self._call_s, timeout_s))
        if self.failing:
            raise port.PolicyUnavailableError("429")
        until_s = asyncio.get_running_loop().time() + self._validity_s
        given = self._fleet.tickets.setdefault(step, {})
        tickets = {
            each: f"{each}-{len(self.calls)}"
            for each in worker_ids
            if self._permitted(step, each)
        }
        given.update({each: (ticket, until_s) for each, ticket in tickets.items()})
        return port.PolicyDecision(tickets, self._validity_s)


class Hosts:
    """Implement `HostPort` for a fleet: worker ``x1`` runs on host ``m-x1``.

    Parameters
    ----------
    rejoin : callable
        Starts the next process of a worker after the maintenance of its host.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.rejoin: Callable[[str], Awaitable[None]] | None = None
        self.max_down: dict[int, int] = {}
        self.loss_rate = 0.0
        self.started: list[tuple[int, str]] = []
        self.calls: list[tuple[float, str, int]] = []
        self.violations: list[str] = []
        self._down: dict[str, int] = {}
        self._returns: set[asyncio.Task] = set()

    async def hosts(self) -> dict[str, host_port.Host]:
        """Return all hosts by id."""
        await self._answer()
        up, down = host_port.HostState.UP, host_port.HostState.MAINTENANCE
        return {
            f"m-{name}": host_port.Host(
                f"m-{name}",
                down if f"m-{name}" in self._down else up,
                None if process.has_ended else name,
            )
            for name, process in self._fleet.processes.items()
        }

    async def maintain(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> host_port.MaintenanceOutcome:
        """Take a host down, and check that not too many are."""
        name = host_id.removeprefix("m-")
        self.calls.append((asyncio.get_running_loop().time(), holder, token))
        if name not in self._fleet.processes:
            await self._answer()
            return host_port.MaintenanceOutcome.REFUSED
        if host_id in self._down:
            await self._answer()
            return host_port.MaintenanceOutcome.BUSY
        if (wave, host_id) not in self.started:
            if sum(number == wave for number in self._down.values()) >= (
                self.max_down.get(wave, 1)
            ):
                self.violations.append(f"too many down: {host_id}")
            self.started.append((wave, host_id))
            process = self._fleet.processes[name]
            for run in process.runs.values():
                self.violations.append(f"{run.task} ended by maintenance")
            process.has_ended = True
            self._down[host_id] = wave
            task = asyncio.get_running_loop().create_task(self._return(name))
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)
        await self._answer()
        return host_port.MaintenanceOutcome.STARTED

    async def _return(self, name: str) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        if self.rejoin is not None:
            await self.rejoin(name)
        del self._down[f"m-{name}"]

    async def _answer(self) -> None:
        await asyncio.sleep(0.03)
        if self._fleet.rng.random() < self.loss_rate:
            await asyncio.sleep(TIMEOUT_S)
            raise host_port.HostsUnavailableError("no answer")


def _silent(worker: workflow.Worker) -> port.WorkerUnreachableError:
    return port.WorkerUnreachableError(
        worker.worker_id, "no answer", errors.Outcome.UNKNOWN
    )


def _unit(task: workflow.TaskKey) -> tuple[str, int, int]:
    return task.workflow_id, task.occurrence, task.step
