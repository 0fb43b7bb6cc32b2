"""Guards against ready tasks that wait for something better beside free workers."""

import asyncio

import pytest

from marjoramusher.executors import held
from marjoramusher.workflows import workflow
from standins import fleet, virtual
from standins.leader import Harness, always, step

MAX_STANDING_S = 3.0  # how long nothing of a workflow may run beside room for it
LONG_S = 40.0
RACKS = {f"r{rack}-{index}": f"r{rack}" for rack in (2, 3) for index in range(4)}


async def join_racks(harness):
    for name, rack in RACKS.items():
        await harness.join(name, rack)
    await asyncio.sleep(1.0)


async def submit_wide(harness):
    """Submit a workflow whose data may be near a rack that can't hold it."""
    rng = harness.rng
    is_large = rng.random() < 0.2
    await harness.submit(
        rng.choice(["urgent", "batch", "batch"]),
        step(
            rng.randint(2, 6) if is_large else rng.randint(1, 4),
            8 if is_large else rng.choice([1, 2, 4]),
            gang=rng.random() < 0.5,
            same_rack=rng.random() < 0.5,
            rack=rng.choice(["", "r1", "r1", "r2"]),
        ),
    )


class Standing:
    """Longest time for which nothing of a workflow ran beside room for it twice."""

    def __init__(self, harness):
        self._harness = harness
        self._since_s = {}
        self.longest_s = 0.0
        self.longest = ""

    async def watch(self):
        while True:
            now_s = self._harness.clock.monotonic()
            self._since_s = {
                name: self._since_s.get(name, now_s) for name in set(self._standing())
            }
            for name, since_s in self._since_s.items():
                if now_s - since_s > self.longest_s:
                    self.longest_s = now_s - since_s
                    self.longest = name
            await asyncio.sleep(0.05)

    def _standing(self):
        """Yield the workflows that could run and do not, by what workers run."""
        state = self._harness.state
        free = []
        used = total = 0
        running = set()
        for process in self._harness.fleet.processes.values():
            if process.has_ended:
                continue
            capacity = process.worker.capacity
            running |= {key.workflow_id for key in process.runs}
            needs = [state.step(key).needs for key in process.runs if state.step(key)]
            accelerators = sum(each.accelerators for each in needs)
            cores_milli = sum(each.cores_milli for each in needs)
            free.append(
                (
                    capacity.accelerators - accelerators,
                    capacity.cores_milli - cores_milli,
                )
            )
            used += accelerators
            total += capacity.accelerators
        if 2 * used >= total:
            return
        for name, entry in state.active.items():
            for occurrence, index, tasks in entry.tasks():
                is_ready = entry.is_ready(occurrence, index)
                if name in running or not is_ready or all(task.done for task in tasks):
                    continue
                step = entry.workflow.steps[index]
                slots = sum(
                    min(
                        accelerators // step.needs.accelerators,
                        cores_milli // step.needs.cores_milli,
                    )
                    for accelerators, cores_milli in free
                )
                if slots >= 2 * (step.count if step.gang else 1):
                    yield name


@pytest.mark.parametrize("gang", [False, True])
def test_a_full_rack_holds_tasks_back_only_for_a_moment(gang):
    """Guards against a workflow that stands beside two idle racks until it is late."""

    async def scenario():
        async with Harness(1, always(LONG_S)) as harness:
            await join_racks(harness)
            await harness.submit("batch", step(4, 8, rack="r1"))
            await asyncio.sleep(1.0)
            name = await harness.submit("batch", step(2, 4, rack="r1", gang=gang))
            entry = harness.state.entries[name]
            await asyncio.sleep(held.MAX_HOLD_S / 2)
            assert not entry.is_started
            await asyncio.sleep(MAX_STANDING_S - held.MAX_HOLD_S / 2)
            assert entry.is_started

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_nothing_stands_for_long_beside_a_service_that_is_mostly_idle(seed):
    """Guards against any preference that holds work back without a bound in time."""

    async def scenario():
        async with Harness(seed) as harness:
            rng = harness.rng
            await join_racks(harness)
            standing = Standing(harness)
            watch = asyncio.create_task(standing.watch())
            for _ in range(40):
                await submit_wide(harness)
                await asyncio.sleep(rng.uniform(0, 2.0))
            await harness.wait_until_ended(120)
            watch.cancel()
            assert harness.fleet.violations == []
            assert standing.longest_s < MAX_STANDING_S, standing.longest

    virtual.run(scenario())


def test_a_step_is_held_only_while_nothing_of_its_workflow_runs():
    """Guards against preferences that are given up for workflows that are at work."""

    async def scenario():
        async with Harness(1, always(LONG_S)) as harness:
            await harness.submit("batch", step(4, 8))
            await asyncio.sleep(1.0)
            waiting = await harness.submit("batch", step(1, 1))
            running = await harness.submit("batch", step(1, 1))
            lasting = await harness.submit("batch", step(1, 1, long_running=True))
            keys = [(name, 0, 0) for name in (waiting, running, lasting)]
            steps = held.HeldSteps(harness.state)
            (placement, *_) = harness.state.placements_on("x0").values()
            task = placement.task.__class__(running, 0, 0, 0)
            placements = [placement.__class__(task, 1, "x0", 1)]
            steps.record(keys, placements, 0.0)
            steps.record(keys, [], 1.0)
            assert steps.overdue(held.MAX_HOLD_S - 0.1) == set()
            assert steps.overdue(held.MAX_HOLD_S) == {keys[0], keys[2]}
            steps.record(keys[:1], placements, 2.0)
            assert steps.overdue(2.0) == {keys[0]}

    virtual.run(scenario())


async def check_all_runs_after_faults(seed):
    """Disturb everything, then check that nothing stands once it has been calm."""
    async with Harness(seed) as harness:
        rng, faulty = harness.rng, harness.fleet
        await join_racks(harness)
        harness.disturb_calls()
        harness.replaces_leader = rng.random() < 0.7
        harness.group.unconfirmed_rate = rng.choice([0.0, 0.05, 0.2])

        faults = [
            asyncio.create_task(harness.cut_or_restart((0.5, 3), (0.5, 12)))
            for _ in range(3)
        ]
        if seed % 2:
            change = harness.change_leaders((2, 9), (0.05, 2))
            faults.append(asyncio.create_task(change))
        for _ in range(24):
            await submit_wide(harness)
            await asyncio.sleep(rng.uniform(0, 1))
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        faulty.unreachable.clear()
        faulty.refusal_rate = faulty.loss_rate = faulty.slow_rate = 0.0
        harness.group.unconfirmed_rate = 0.0
        if not harness.group.is_led:
            harness.take_over()
        for name, process in list(faulty.processes.items()):
            worker = harness.restart(name) if process.has_ended else process.worker
            await harness.announce(worker)
        await asyncio.sleep(fleet.CONTACT_TIMEOUT_S)
        standing = Standing(harness)
        watch = asyncio.create_task(standing.watch())
        await harness.check_all_end(200)
        watch.cancel()
        assert standing.longest_s < MAX_STANDING_S, standing.longest


@pytest.mark.parametrize("seed", range(8))
def test_nothing_stands_for_long_once_faults_are_over(seed):
    """Guards against work that waits for what a fault has left behind."""
    virtual.run(check_all_runs_after_faults(seed))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("share", [0.3, 0.6, 0.9])
def test_sound_workflows_do_not_stand_beside_hopeless_ones(seed, share):
    """Guards against workers that count as sick because of what they are given."""

    async def scenario():
        async with Harness(seed) as harness:
            rng = harness.rng
            hopeless = set()

            def work_s(task, run):
                is_failed = task.workflow_id in hopeless
                outcome = workflow.RunOutcome.FAILED
                return (
                    rng.uniform(0.2, 2.0),
                    outcome if is_failed else workflow.RunOutcome.DONE,
                )

            harness.fleet._work_s = work_s
            await join_racks(harness)
            standing = Standing(harness)
            watch = asyncio.create_task(standing.watch())
            for _ in range(40):
                if rng.random() < share:
                    hopeless.add(f"{harness.count + 1:016x}")
                size = (rng.randint(1, 4), rng.choice([1, 2, 4]))
                await harness.submit("batch", step(*size, gang=rng.random() < 0.5))
                await asyncio.sleep(rng.uniform(0, 0.8))
            await harness.wait_until_ended(100)
            watch.cancel()
            assert harness.fleet.violations == []
            assert standing.longest_s < MAX_STANDING_S, standing.longest

    virtual.run(scenario())
