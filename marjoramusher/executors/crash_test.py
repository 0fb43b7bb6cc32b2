"""Guards against tasks that end worker after worker, and against blaming others."""

import asyncio

import pytest

from marjoramusher.workflows import workflow
from standins import virtual
from standins.leader import CAPACITY, WORKERS, Harness, always, step


def task_key(workflow_id, index=0):
    return workflow.TaskKey(workflow_id, 0, 0, index)


def state_of(harness, workflow_id):
    return harness.state.entries[workflow_id].state


async def submit_crashing(harness, queue, steps, index=0):
    """Submit a workflow in which one task crashes its workers."""
    workflow_id = f"{harness.count + 1:016x}"
    harness.fleet.crashing.add(task_key(workflow_id, index))
    assert await harness.submit(queue, steps) == workflow_id
    return workflow_id


async def check_only_crashing_fail(harness, crashing, timeout_s=200):
    """Check that exactly the workflows with a task that crashes workers fail."""
    await harness.wait_until_ended(timeout_s)
    assert harness.fleet.violations == []
    states = {name: entry.state for name, entry in harness.state.entries.items()}
    assert states == {
        name: workflow.State.FAILED if name in crashing else workflow.State.COMPLETED
        for name in states
    }


@pytest.mark.parametrize(
    "steps",
    [
        step(1, 8),
        step(1, 1),
        step(4, 2),
        step(4, 2, gang=True),
        step(3, 8, gang=True, same_rack=True),
        step(2, 1, checkpointing=True),
        step(2, 4, speculative=True),
        step(2, 1, max_per_worker=1),
    ],
)
@pytest.mark.parametrize("queue", ["urgent", "batch"])
def test_a_task_that_crashes_its_workers_is_given_up(queue, steps):
    """Guards against one task that takes down worker after worker."""

    async def scenario():
        async with Harness(1, always(2.0)) as harness:
            name = await submit_crashing(harness, queue, steps, steps.count - 1)
            await check_only_crashing_fail(harness, {name}, 60)

    virtual.run(scenario())


def test_a_long_running_task_that_crashes_its_workers_is_given_up():
    """Guards against restarting a task for ever that can only crash its worker."""

    async def scenario():
        async with Harness(2, always(900.0)) as harness:
            name = await submit_crashing(
                harness, "batch", step(2, 1, long_running=True)
            )
            await check_only_crashing_fail(harness, {name}, 60)

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_tasks_beside_a_crashing_one_are_not_given_up(seed):
    """Guards against blaming all tasks that ran on a worker for its crash."""

    async def scenario():
        async with Harness(seed, always(2.0)) as harness:
            crashing = set()
            for _ in range(4):
                await harness.submit("batch", step(6, 1))
                await harness.submit("urgent", step(2, 2, gang=True))
                crashing.add(await submit_crashing(harness, "batch", step(3, 1)))
                await asyncio.sleep(harness.rng.uniform(0, 4))
            await check_only_crashing_fail(harness, crashing)

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_crashes_are_counted_past_changes_of_the_leader(seed):
    """Guards against a count that starts anew with each leader."""

    async def scenario():
        async with Harness(seed, always(2.0)) as harness:
            change = asyncio.create_task(harness.change_leaders((0.5, 5), (0.05, 4)))
            crashing = set()
            for _ in range(3):
                await harness.submit("batch", step(6, 1))
                crashing.add(await submit_crashing(harness, "urgent", step(2, 2)))
                gang = step(3, 4, gang=True)
                crashing.add(await submit_crashing(harness, "batch", gang))
                await asyncio.sleep(harness.rng.uniform(0, 6))
            await asyncio.sleep(40)
            change.cancel()
            await asyncio.gather(change, return_exceptions=True)
            if not harness.group.is_led:
                harness.take_over()
            await check_only_crashing_fail(harness, crashing, 300)

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_crashes_are_counted_when_answers_are_lost_and_orders_are_late(seed):
    """Guards against crashes without an answer to the start that caused them."""

    async def scenario():
        async with Harness(seed, always(2.0)) as harness:
            harness.fleet.loss_rate = 0.2
            crashing = set()
            for _ in range(3):
                await harness.submit("batch", step(4, 1))
                crashing.add(await submit_crashing(harness, "urgent", step(2, 2)))
                await asyncio.sleep(harness.rng.uniform(0, 6))
            await harness.wait_until_ended(60)
            harness.fleet.loss_rate = 0.0
            await check_only_crashing_fail(harness, crashing, 300)

    virtual.run(scenario())


@pytest.mark.parametrize("restart_s", [0.3, 5.0, 9.0, 14.0])
def test_crashes_are_counted_however_late_the_worker_is_back(restart_s):
    """Guards against a run that counts as lapsed before its worker is back."""

    async def scenario():
        async with Harness(5, always(2.0)) as harness:
            harness.fleet.restart_s = restart_s
            name = await submit_crashing(harness, "batch", step(2, 1))
            await harness.submit("batch", step(4, 1))
            await check_only_crashing_fail(harness, {name}, 300)

    virtual.run(scenario())


@pytest.mark.parametrize("keeps_address", [True, False])
@pytest.mark.parametrize("restart_s", [7.0, 10.0, 30.0])
def test_a_task_waits_while_the_fate_of_its_workers_is_unknown(
    restart_s, keeps_address
):
    """Guards against more starts while the first crashed workers are not back yet."""

    async def scenario():
        async with Harness(6, always(2.0)) as harness:
            harness.fleet.restart_s = restart_s
            harness.fleet.keeps_address = keeps_address
            name = await submit_crashing(harness, "urgent", step(2, 2))
            await harness.submit("batch", step(4, 1))
            await check_only_crashing_fail(harness, {name}, 300)

    virtual.run(scenario())


@pytest.mark.parametrize("keeps_id", [True, False])
@pytest.mark.parametrize("seed", [101, 106, 107, 112, 122, 132, 133, 144, 310, 314])
def test_crashes_are_counted_beside_all_other_faults(seed, keeps_id):
    """Guards against a count that is late when crashes meet other faults.

    Seeds 106 to 144 broke the limit of starts while possible crashes did not count. 310
    and 314 failed tasks beside others after four crashes, none of them alone.
    """

    async def scenario():
        async with Harness(seed, always(2.0)) as harness:
            rng = harness.rng
            harness.fleet.keeps_id = keeps_id
            harness.fleet.restart_s = rng.uniform(0.3, 10)
            harness.fleet.loss_rate = rng.choice([0.0, 0.1, 0.2])

            async def resize():
                while True:
                    await asyncio.sleep(rng.uniform(0.2, 3))
                    cores_milli = rng.choice([16000, 64000])
                    memory_mb = rng.choice([40, 1000])
                    capacity = workflow.Resources(
                        cores_milli, memory_mb, rng.randint(2, 8)
                    )
                    process = rng.choice(list(harness.fleet.processes.values()))
                    harness.fleet.resize(process, capacity)

            disturbances = []
            if seed % 2:
                disturbances.append(
                    asyncio.create_task(harness.change_leaders((0.5, 5), (0.05, 4)))
                )
            if seed % 3 == 0:
                disturbances.append(asyncio.create_task(resize()))
            crashing = set()
            for _ in range(4):
                await harness.submit("batch", step(6, 1))
                crashing.add(await submit_crashing(harness, "urgent", step(2, 2)))
                gang = step(3, 2, gang=True)
                crashing.add(await submit_crashing(harness, "batch", gang))
                await harness.submit("urgent", step(2, 2, gang=True))
                await asyncio.sleep(rng.uniform(0, 6))
            await asyncio.sleep(30)
            for disturbance in disturbances:
                disturbance.cancel()
            await asyncio.gather(*disturbances, return_exceptions=True)
            if not harness.group.is_led:
                harness.take_over()
            for process in harness.fleet.processes.values():
                harness.fleet.resize(process, CAPACITY)
            harness.fleet.loss_rate = 0.0
            await check_only_crashing_fail(harness, crashing, 400)

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_cancellations_beside_crashes_leave_nothing_running(seed):
    """Guards against runs that go on after the workflow of a crashing task has ended.

    Such a workflow fails or is cancelled at any moment, on workers that come and go.
    """

    async def scenario():
        async with Harness(seed) as harness:
            rng = harness.rng
            harness.disturb_calls()
            harness.replaces_leader = rng.random() < 0.5
            harness.fleet.keeps_id = rng.random() < 0.7
            harness.fleet.restart_s = rng.uniform(0.3, 10)
            disturbances = [asyncio.create_task(harness.cancel_at_random())]
            if seed % 2:
                disturbances.append(
                    asyncio.create_task(harness.change_leaders((0.5, 5), (0.05, 4)))
                )
            crashing = set()
            for _ in range(4):
                await harness.submit_random(3)
                crashing.add(await submit_crashing(harness, "urgent", step(2, 2)))
                gang = step(3, 2, gang=True)
                crashing.add(await submit_crashing(harness, "batch", gang))
                await harness.submit("batch", step(2, 1, long_running=True))
                await asyncio.sleep(rng.uniform(0, 6))
            for disturbance in disturbances:
                disturbance.cancel()
            await asyncio.gather(*disturbances, return_exceptions=True)
            if not harness.group.is_led:
                harness.take_over()
            harness.fleet.refusal_rate = harness.fleet.loss_rate = 0.0
            for name, entry in harness.state.entries.items():
                if entry.workflow.steps[0].long_running:
                    await harness.cancel(name)
            await harness.check_all_end(300)
            completed = {
                name
                for name in crashing
                if state_of(harness, name) is workflow.State.COMPLETED
            }
            assert completed == set()

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_tasks_survive_workers_that_crash_on_their_own(seed):
    """Guards against giving up tasks because their workers are unreliable."""

    async def scenario():
        async with Harness(seed, always(3.0)) as harness:

            async def crash():
                while True:
                    await asyncio.sleep(harness.rng.uniform(2, 6))
                    alive = [
                        process
                        for process in harness.fleet.processes.values()
                        if not process.has_ended
                    ]
                    if len(alive) == WORKERS:
                        harness.fleet.crash(harness.rng.choice(alive))

            crashes = asyncio.create_task(crash())
            for _ in range(12):
                await harness.submit("batch", step(3, 2))
                await harness.submit("urgent", step(1, 8))
                await asyncio.sleep(harness.rng.uniform(0, 3))
            crashes.cancel()
            await check_only_crashing_fail(harness, set())

    virtual.run(scenario())
