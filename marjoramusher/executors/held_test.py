"""Guards against ready tasks that wait for something better beside free workers."""

import asyncio

import pytest

from marjoramusher.executors import held
from marjoramusher.workflows import backlog, resources
from standins import virtual
from standins.leader import Harness, always, step

MAX_STANDING_S = 3.0  # how long nothing of a workflow may run beside room for it
LONG_S = 40.0
RACKS = {f"r{rack}-{index}": f"r{rack}" for rack in (2, 3) for index in range(4)}


async def join_racks(harness):
    for name, rack in RACKS.items():
        await harness.join(name, rack)
    await asyncio.sleep(1.0)


class Standing:
    """Longest time for which nothing of a workflow ran beside room for it twice."""

    def __init__(self, harness):
        self._harness = harness
        self._since_s = {}
        self.longest_s = 0.0

    async def watch(self):
        while True:
            now_s = self._harness.clock.monotonic()
            now_ms = self._harness.clock.utcnow().timestamp() * 1000
            standing = set(self._standing(now_ms))
            self._since_s = {name: self._since_s.get(name, now_s) for name in standing}
            for since_s in self._since_s.values():
                self.longest_s = max(self.longest_s, now_s - since_s)
            await asyncio.sleep(0.05)

    def _standing(self, now_ms):
        state = self._harness.state
        free = {}
        used = total = 0
        for name, registered in state.workers.items():
            capacity = registered.worker.capacity
            needs = [state.step(key).needs for key in state.placements_on(name)]
            accelerators = sum(each.accelerators for each in needs)
            cores_milli = sum(each.cores_milli for each in needs)
            free[name] = (
                capacity.accelerators - accelerators,
                capacity.cores_milli - cores_milli,
            )
            used += accelerators
            total += capacity.accelerators
        if 2 * used >= total:
            return
        for pending in backlog.pending_steps(state, now_ms):
            needs = resources.reserved(pending.step)
            slots = sum(
                min(accelerators // needs.accelerators, cores // needs.cores_milli)
                for accelerators, cores in free.values()
            )
            count = pending.step.count if pending.step.gang else 1
            if not pending.entry.has_placement and slots >= 2 * count:
                yield pending.entry.workflow.workflow_id


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
                large = rng.random() < 0.2
                await harness.submit(
                    rng.choice(["urgent", "batch", "batch"]),
                    step(
                        rng.randint(2, 6) if large else rng.randint(1, 4),
                        8 if large else rng.choice([1, 2, 4]),
                        gang=rng.random() < 0.5,
                        same_rack=rng.random() < 0.5,
                        rack=rng.choice(["", "r1", "r1", "r2"]),
                    ),
                )
                await asyncio.sleep(rng.uniform(0, 2.0))
            await harness.wait_until_ended(120)
            watch.cancel()
            assert harness.fleet.violations == []
            assert standing.longest_s < MAX_STANDING_S

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
