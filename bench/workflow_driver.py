"""Run the leader's driver against in-memory workers on a virtual clock."""

import asyncio
import random

import msgspec

from bench import workflow_load
from marjoramusher.core import clock
from marjoramusher.executors import driver
from marjoramusher.groups import local
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import (
    admission,
    backlog,
    command,
    fragmentation,
    machine,
    objective,
    planner,
    workflow,
)
from standins import fleet, virtual

HEARTBEAT_INTERVAL_S = 1.5
COMMIT_DELAY_S = 0.03  # two round trips between failure domains and a disk sync
FRAGMENTATION_INTERVAL_S = 0.25
DRAIN_S = 60.0  # time to finish the work in progress after the last submission
SIZES = ("largest tenth", "next fifth", "rest")  # of the workflows of a queue, by work


class SessionResult(msgspec.Struct):
    """Collect the results of one session.

    Parameters
    ----------
    earned, attainable : dict of str to float
        Value earned and attainable by queue, without workflows that are cancelled or
        always fail.
    workflows : int
        Number of submissions.
    urgent_start_s : list of float
        Time from submission to the first placement of each urgent workflow.
    whole_start_s : list of float
        The same of each other workflow whose tasks take whole workers.
    unusable_shares : list of float
        Share of the free accelerators that no waiting step could use, of the moments in
        which a step waited and something was free.
    wasted_core_s, used_core_s : float
        Discarded work and the work of all counted workflows; an accelerator counts
        as eight cores.
    violations : list of str
        Violations of the worker protocol that the workers detected.
    outcomes : dict
        Number of workflows by queue, size (`SIZES`) and outcome: ``timely``, ``late``,
        ``lost`` if they earned nothing, or ``rejected``.
    """

    earned: dict[str, float] = {}
    attainable: dict[str, float] = {}
    urgent_start_s: list[float] = []
    whole_start_s: list[float] = []
    unusable_shares: list[float] = []
    workflows: int = 0
    wasted_core_s: float = 0.0
    used_core_s: float = 0.0
    violations: list[str] = []
    outcomes: dict[tuple[str, str, str], int] = {}

    def earned_share(self, queue: str = "") -> float:
        """Return the earned share of the attainable value, of one queue or of all."""
        names = [queue] if queue else list(self.attainable)
        attainable = sum(self.attainable.get(name, 0.0) for name in names)
        return (
            sum(self.earned.get(name, 0.0) for name in names) / attainable
            if attainable
            else 1.0
        )


class _Group(local.LocalGroup):
    """Delay the commits of a single-member group like those of a replicated one."""

    async def propose_as_leader(self, data: bytes, timeout_s: float) -> bytes:
        await asyncio.sleep(COMMIT_DELAY_S)
        return await self.propose(data, timeout_s)


def run(
    seed: int,
    duration_s: float,
    factor: float = 1.0,
    plan: planner.Planner = planner.plan,
    *,
    rejects: bool = False,
) -> SessionResult:
    """Run one session with the given planner.

    Parameters
    ----------
    rejects : bool
        Whether submissions are rejected as by the leader's service.
    """
    load = workflow_load.make_load(seed, duration_s, factor)
    return run_load(load, seed, plan, rejects=rejects)


def run_load(
    load: list[workflow_load.Arrival],
    seed: int,
    plan: planner.Planner = planner.plan,
    *,
    rejects: bool = False,
) -> SessionResult:
    """Run one session with the given load and planner; see `run`."""
    return virtual.run(_run_session(load, seed, plan, rejects))


async def _run_session(
    load: list[workflow_load.Arrival],
    seed: int,
    plan: planner.Planner,
    rejects: bool,
) -> SessionResult:
    arrivals = {arrival.submission.workflow_id: arrival for arrival in load}
    loop = asyncio.get_running_loop()

    def simulate_run(
        task: workflow.TaskKey, run: int
    ) -> tuple[float, workflow.RunOutcome]:
        del run
        arrival = arrivals[task.workflow_id]
        outcome = (
            workflow.RunOutcome.FAILED
            if arrival.always_fails
            else workflow.RunOutcome.DONE
        )
        return arrival.work_s[task.index], outcome

    workers = fleet.Fleet(random.Random(seed), simulate_run)
    state = machine.WorkflowMachine()
    group = _Group("records", state)
    time = virtual.LoopClock(loop)
    leader = driver.Driver(
        group,
        state,
        driver.Ports(workers),
        time,
        metrics.Metrics(),
        driver.Settings(HEARTBEAT_INTERVAL_S, plan=plan),
    )
    replace_catalog = command.ReplaceCatalog(0, workflow_load.CATALOG, b"")
    await group.propose(command.pack(replace_catalog), 1.0)
    for worker in _workers():
        workers.join(worker)
        await group.propose(command.pack(command.RegisterWorker(0, worker)), 1.0)
    tasks = [
        loop.create_task(workers.simulate()),
        loop.create_task(_send_heartbeats(leader, workers, time)),
    ]
    leader.start()
    result = SessionResult()
    began_s = time.monotonic()
    tasks.append(loop.create_task(_record_starts(state, time, result)))
    tasks.append(loop.create_task(_record_unusable(state, time, result)))
    control = admission.Admission(state) if rejects else None
    rejected: set[str] = set()
    for arrival in load:
        await asyncio.sleep(max(0.0, began_s + arrival.at_s - time.monotonic()))
        submission = arrival.submission
        if control is not None:
            now_ms = clock.unix_ms(time)
            queue = arrival.workload_class.queue
            if control.rejection(submission, queue, now_ms) is not None:
                rejected.add(submission.workflow_id)
                continue
        tasks.append(loop.create_task(_submit(group, workers, time, arrival, began_s)))
    await asyncio.sleep(DRAIN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await leader.stop()
    _score(state, arrivals, result)
    _score_rejected(rejected, arrivals, result)
    result.wasted_core_s = workers.wasted_core_s
    result.workflows = len(load)
    result.violations = workers.violations
    return result


def _workers() -> list[workflow.Worker]:
    workers = []
    for index in range(workflow_load.WORKERS):
        rack = f"r{index // workflow_load.WORKERS_PER_RACK}"
        name = f"w{index}"
        workers.append(
            workflow.Worker(
                name, 1, name, "s", rack, rack, ("a", rack), workflow_load.CAPACITY
            )
        )
    return workers


async def _send_heartbeats(
    leader: driver.Driver, workers: fleet.Fleet, time: clock.Clock
) -> None:
    while True:
        for name, life in workers.processes.items():
            leader.record_heartbeat(name, 1, life.clock_ms(time.monotonic()))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _record_unusable(
    state: machine.WorkflowMachine, time: clock.Clock, result: SessionResult
) -> None:
    """Record the share of free accelerators that no waiting step could use."""
    while True:
        await asyncio.sleep(FRAGMENTATION_INTERVAL_S)
        pending = backlog.pending_steps(state, clock.unix_ms(time))
        waiting = [step.key for step in pending]
        if waiting:
            share = fragmentation.unusable_share(state, waiting)
            result.unusable_shares.append(share)


async def _submit(
    group: _Group,
    workers: fleet.Fleet,
    time: clock.Clock,
    arrival: workflow_load.Arrival,
    began_s: float,
) -> None:
    now_ms = clock.unix_ms(time)
    submission = msgspec.structs.replace(arrival.submission, submitted_ms=now_ms)
    workers.submitted[submission.workflow_id] = submission
    await group.propose_as_leader(command.pack(command.Submit(now_ms, submission)), 1.0)
    if arrival.cancel_at_s is not None:
        await asyncio.sleep(max(0.0, began_s + arrival.cancel_at_s - time.monotonic()))
        cancel = command.Cancel(clock.unix_ms(time), submission.workflow_id)
        await group.propose_as_leader(command.pack(cancel), 1.0)


async def _record_starts(
    state: machine.WorkflowMachine, time: clock.Clock, result: SessionResult
) -> None:
    """Record the waiting time of workflows when they start."""
    started: set[str] = set()
    while True:
        for name, entry in state.entries.items():
            if entry.is_started and name not in started:
                started.add(name)
                waited_s = (clock.unix_ms(time) - entry.workflow.submitted_ms) / 1000
                needs = entry.workflow.steps[0].needs
                if not entry.queue.priority:
                    result.urgent_start_s.append(waited_s)
                elif needs.accelerators == workflow_load.CAPACITY.accelerators:
                    result.whole_start_s.append(waited_s)
        await asyncio.sleep(0.01)


def _sizes(arrivals: dict[str, workflow_load.Arrival]) -> dict[str, str]:
    """Return the size of each workflow among those of its queue, from `SIZES`."""
    by_queue: dict[str, list[tuple[float, str]]] = {}
    for name, arrival in arrivals.items():
        accelerators = arrival.submission.steps[0].needs.accelerators
        work = sum(arrival.work_s) * accelerators
        by_queue.setdefault(arrival.submission.queue, []).append((-work, name))
    sizes = {}
    for members in by_queue.values():
        for rank, (_, name) in enumerate(sorted(members)):
            share = rank / len(members)
            sizes[name] = SIZES[(share >= 0.1) + (share >= 0.3)]
    return sizes


def _score_rejected(
    rejected: set[str],
    arrivals: dict[str, workflow_load.Arrival],
    result: SessionResult,
) -> None:
    sizes = _sizes(arrivals)
    for name in rejected:
        workload_class = arrivals[name].workload_class
        if arrivals[name].cancel_at_s is not None or arrivals[name].always_fails:
            continue
        queue = workload_class.queue.name
        result.attainable[queue] = (
            result.attainable.get(queue, 0.0) + workload_class.timely_value
        )
        key = (queue, sizes[name], "rejected")
        result.outcomes[key] = result.outcomes.get(key, 0) + 1


def _score(
    state: machine.WorkflowMachine,
    arrivals: dict[str, workflow_load.Arrival],
    result: SessionResult,
) -> None:
    sizes = _sizes(arrivals)
    for name, entry in state.entries.items():
        arrival = arrivals[name]
        if arrival.cancel_at_s is not None or arrival.always_fails:
            continue
        workload_class = arrival.workload_class
        result.attainable[workload_class.queue.name] = (
            result.attainable.get(workload_class.queue.name, 0.0)
            + workload_class.timely_value
        )
        work_ms = 1000 * max(arrival.work_s)
        objective_ms = (
            workload_class.queue.slack_factor * work_ms + workload_class.queue.target_ms
        )
        completion_ms = entry.ended_ms - entry.workflow.submitted_ms
        earned, outcome = 0.0, "lost"
        if entry.state is workflow.State.COMPLETED and completion_ms <= objective_ms:
            earned, outcome = workload_class.timely_value, "timely"
        elif (
            entry.state is workflow.State.COMPLETED
            and completion_ms <= objective.LATE_FACTOR * objective_ms
        ):
            earned, outcome = workload_class.late_value, "late"
        key = (workload_class.queue.name, sizes[name], outcome)
        result.outcomes[key] = result.outcomes.get(key, 0) + 1
        result.earned[workload_class.queue.name] = (
            result.earned.get(workload_class.queue.name, 0.0) + earned
        )
        result.used_core_s += sum(arrival.work_s) * (
            workload_class.cores_milli / 1000
            + 8 * entry.workflow.steps[0].needs.accelerators
        )
