"""Drive the leader's loop over workers in memory, on a virtual clock."""

import asyncio
import random

import msgspec

from bench import workflow_load
from marjoramusher.core import clock
from marjoramusher.executors import driver
from marjoramusher.groups import local
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import command, machine, objective, planner, workflow
from standins import fleet, virtual

BEAT_S = 1.5
COMMIT_S = 0.03  # two round trips between failure domains, and a sync
DRAIN_S = 60.0  # for what is in progress after the last submission


class Verdict(msgspec.Struct):
    """What a session has earned and cost.

    Parameters
    ----------
    earned, owed : dict of str to float
        By queue, without workflows that were cancelled or always fail.
    workflows : int
        Number of submissions.
    urgent_start_s : list of float
        From submission to the first placement of urgent workflows.
    wasted_core_s, used_core_s : float
        Work that was thrown away, and all declared work; an accelerator counts as
        eight cores.
    faults : list of str
        Broken promises.
    """

    earned: dict[str, float] = {}
    owed: dict[str, float] = {}
    urgent_start_s: list[float] = []
    workflows: int = 0
    wasted_core_s: float = 0.0
    used_core_s: float = 0.0
    faults: list[str] = []

    def share(self, queue: str = "") -> float:
        """Return the share that was earned, of one queue or of all."""
        names = [queue] if queue else list(self.owed)
        owed = sum(self.owed.get(name, 0.0) for name in names)
        return sum(self.earned.get(name, 0.0) for name in names) / owed if owed else 1.0


class _Group(local.LocalGroup):
    """A group of one that takes as long to commit as a real one."""

    async def propose_as_leader(self, wanted: bytes, timeout_s: float) -> bytes:
        await asyncio.sleep(COMMIT_S)
        return await self.propose(wanted, timeout_s)


def run(
    seed: int,
    length_s: float,
    factor: float = 1.0,
    plan: planner.Planner = planner.plan,
) -> Verdict:
    """Run one session of a load under a planner."""
    return virtual.run(_play(seed, length_s, factor, plan))


async def _play(
    seed: int, length_s: float, factor: float, plan: planner.Planner
) -> Verdict:
    load = workflow_load.make_load(seed, length_s, factor)
    known = {each.wanted.workflow_id: each for each in load}
    loop = asyncio.get_running_loop()

    def work(task: workflow.TaskKey, run: int) -> tuple[float, workflow.RunOutcome]:
        del run
        arrival = known[task.workflow_id]
        how = workflow.RunOutcome.FAILED if arrival.fails else workflow.RunOutcome.DONE
        return arrival.work_s[task.index], how

    workers = fleet.Fleet(random.Random(seed), work)
    state = machine.WorkflowMachine()
    group = _Group("records", state)
    time = virtual.LoopClock(loop)
    leader = driver.Driver(
        group,
        state,
        driver.Ports(workers),
        time,
        metrics.Metrics(),
        driver.Settings(BEAT_S, plan=plan),
    )
    wanted = command.ReplaceCatalog(0, workflow_load.CATALOG, b"")
    await group.propose(command.pack(wanted), 1.0)
    for worker in _workers():
        workers.join(worker)
        await group.propose(command.pack(command.RegisterWorker(0, worker)), 1.0)
    tasks = [
        loop.create_task(workers.simulate()),
        loop.create_task(_beat(leader, workers, time)),
    ]
    leader.start()
    verdict = Verdict()
    began_s = time.monotonic()
    tasks.append(loop.create_task(_watch(state, time, verdict)))
    for arrival in load:
        await asyncio.sleep(max(0.0, began_s + arrival.at_s - time.monotonic()))
        tasks.append(loop.create_task(_submit(group, workers, time, arrival, began_s)))
    await asyncio.sleep(DRAIN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await leader.stop()
    _judge(state, known, verdict)
    verdict.wasted_core_s = workers.wasted_core_s
    verdict.workflows = len(load)
    verdict.faults = workers.violations
    return verdict


def _workers() -> list[workflow.Worker]:
    made = []
    for index in range(workflow_load.WORKERS):
        rack = f"r{index // workflow_load.WORKERS_PER_RACK}"
        name = f"w{index}"
        made.append(
            workflow.Worker(
                name, 1, name, "s", rack, rack, ("a", rack), workflow_load.CAPACITY
            )
        )
    return made


async def _beat(leader: driver.Driver, workers: fleet.Fleet, time: clock.Clock) -> None:
    while True:
        for name, life in workers.processes.items():
            leader.record_heartbeat(name, 1, life.clock_ms(time.monotonic()))
        await asyncio.sleep(BEAT_S)


async def _submit(
    group: _Group,
    workers: fleet.Fleet,
    time: clock.Clock,
    arrival: workflow_load.Arrival,
    began_s: float,
) -> None:
    now_ms = clock.unix_ms(time)
    wanted = msgspec.structs.replace(arrival.wanted, submitted_ms=now_ms)
    workers.submitted[wanted.workflow_id] = wanted
    await group.propose_as_leader(command.pack(command.Submit(now_ms, wanted)), 1.0)
    if arrival.cancel_s is not None:
        await asyncio.sleep(max(0.0, began_s + arrival.cancel_s - time.monotonic()))
        cancel = command.Cancel(clock.unix_ms(time), wanted.workflow_id)
        await group.propose_as_leader(command.pack(cancel), 1.0)


async def _watch(
    state: machine.WorkflowMachine, time: clock.Clock, verdict: Verdict
) -> None:
    """Note when urgent workflows begin."""
    begun: set[str] = set()
    while True:
        for name, entry in state.entries.items():
            if entry.is_started and name not in begun and not entry.queue.priority:
                begun.add(name)
                waited_ms = clock.unix_ms(time) - entry.workflow.submitted_ms
                verdict.urgent_start_s.append(waited_ms / 1000)
        await asyncio.sleep(0.01)


def _judge(
    state: machine.WorkflowMachine,
    known: dict[str, workflow_load.Arrival],
    verdict: Verdict,
) -> None:
    for name, entry in state.entries.items():
        arrival = known[name]
        if arrival.cancel_s is not None or arrival.fails:
            continue
        kind = arrival.kind
        verdict.owed[kind.queue.name] = (
            verdict.owed.get(kind.queue.name, 0.0) + kind.worth
        )
        work_ms = 1000 * max(arrival.work_s)
        goal_ms = kind.queue.slack_factor * work_ms + kind.queue.target_ms
        took_ms = entry.ended_ms - entry.workflow.submitted_ms
        earned = 0.0
        if entry.state is workflow.State.COMPLETED and took_ms <= goal_ms:
            earned = kind.worth
        elif (
            entry.state is workflow.State.COMPLETED
            and took_ms <= objective.LATE_FACTOR * goal_ms
        ):
            earned = kind.late
        verdict.earned[kind.queue.name] = (
            verdict.earned.get(kind.queue.name, 0.0) + earned
        )
        verdict.used_core_s += sum(arrival.work_s) * (
            kind.cores_milli / 1000 + 8 * entry.workflow.steps[0].needs.accelerators
        )
