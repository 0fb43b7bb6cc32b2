"""Guards against starts beyond the capacity of workers that shrink and grow."""

import asyncio

import pytest

from marjoramusher.workflows import workflow
from standins import virtual
from standins.leader import (
    CAPACITY,
    COMMIT_S,
    HEARTBEAT_S,
    WORKERS,
    Harness,
    always,
    step,
)

SMALL = workflow.Resources(64000, 1000, 2)


def shrink_all(harness):
    for process in list(harness.fleet.processes.values()):
        harness.fleet.resize(process, SMALL)


async def resize_at_random(harness):
    """Change the capacity of one worker after the other."""
    rng = harness.rng
    while True:
        await asyncio.sleep(rng.uniform(0.2, 3))
        process = rng.choice(list(harness.fleet.processes.values()))
        cores_milli = rng.choice([2000, 16000, 64000])
        capacity = workflow.Resources(
            cores_milli, rng.choice([20, 1000]), rng.randint(0, 8)
        )
        harness.fleet.resize(process, capacity)


async def delay_announcements(harness):
    """Keep announcements of some workers back, and deliver some of them late."""
    rng = harness.rng
    while True:
        await asyncio.sleep(rng.uniform(0.5, 4))
        name = rng.choice(list(harness.fleet.processes))
        harness.unheard.add(name)
        if rng.random() < 0.5:
            late = harness.send_heartbeat(
                harness.fleet.processes[name], harness.sequence, rng.uniform(0.5, 9)
            )
            harness.tasks.append(asyncio.create_task(late))
        await asyncio.sleep(rng.uniform(0.5, 8))
        harness.unheard.discard(name)


async def slow_down_commits(harness):
    """Let commits take up to seconds for a while, again and again."""
    rng = harness.rng
    while True:
        await asyncio.sleep(rng.uniform(0.5, 4))
        harness.group.commit_s = rng.uniform(COMMIT_S, 2.9)
        await asyncio.sleep(rng.uniform(0.5, 4))
        harness.group.commit_s = COMMIT_S


@pytest.mark.parametrize("seed", range(8))
def test_workers_that_shrink_and_grow_are_never_overcommitted(seed):
    """Guards against starts that were planned, or preempted for, with former room."""

    async def scenario():
        async with Harness(seed) as harness:
            harness.fleet.loss_rate = 0.05
            resizing = asyncio.create_task(resize_at_random(harness))
            await harness.submit_random(40)
            resizing.cancel()
            for process in harness.fleet.processes.values():
                harness.fleet.resize(process, CAPACITY)
            await harness.check_all_end(200)

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_capacities_change_while_the_leader_changes(seed):
    """Guards against capacities that only a former leader knew to be smaller."""

    async def scenario():
        async with Harness(seed) as harness:
            rng = harness.rng

            async def disturb():
                while True:
                    await asyncio.sleep(rng.uniform(1, 5))
                    harness.lose_leadership()
                    process = rng.choice(list(harness.fleet.processes.values()))
                    accelerators = rng.randint(0, 8)
                    harness.fleet.resize(
                        process, workflow.Resources(64000, 1000, accelerators)
                    )
                    await asyncio.sleep(rng.uniform(0.05, 9))
                    harness.take_over()

            disturbing = asyncio.create_task(disturb())
            await harness.submit_random(40)
            disturbing.cancel()
            if not harness.group.is_led:
                harness.take_over()
            for process in harness.fleet.processes.values():
                harness.fleet.resize(process, CAPACITY)
            await harness.check_all_end(300)

    virtual.run(scenario())


def test_a_late_announcement_does_not_restore_a_former_capacity():
    """Guards against an announcement of a worker that was sent before its last one.

    A new leader has not seen the sequence numbers that the one before has.
    """

    async def scenario():
        async with Harness(1, always(60.0)) as harness:
            await harness.submit("batch", step(4, 1, max_per_worker=1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            late = [
                asyncio.create_task(
                    harness.send_heartbeat(process, harness.sequence, 7.5)
                )
                for process in list(harness.fleet.processes.values())
            ]
            await asyncio.sleep(0.1)
            shrink_all(harness)
            await asyncio.sleep(7.0)
            harness.unheard.update(harness.fleet.processes)
            harness.lose_leadership()
            await asyncio.sleep(0.3)
            harness.take_over()
            await asyncio.gather(*late)
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            assert harness.fleet.violations == []

    virtual.run(scenario())


def test_a_worker_whose_announcements_are_missing_gets_no_tasks():
    """Guards against a capacity that may have shrunk while only calls get through."""

    async def scenario():
        async with Harness(2, always(60.0)) as harness:
            await harness.submit("batch", step(4, 1, max_per_worker=1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            harness.unheard.update({"x0", "x1"})
            shrink_all(harness)
            await asyncio.sleep(6.0)
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(6.0)
            assert harness.fleet.violations == []
            assert harness.fleet.starts == 6
            harness.unheard.clear()
            await asyncio.sleep(2 * HEARTBEAT_S)
            assert harness.fleet.starts == 8

    virtual.run(scenario())


@pytest.mark.parametrize("gap_s", [1.0, 6.0, 20.0])
def test_a_new_leader_waits_for_announcements_after_a_gap(gap_s):
    """Guards against capacities that shrank while nobody led."""

    async def scenario():
        async with Harness(3, always(60.0)) as harness:
            await harness.submit("batch", step(4, 1, max_per_worker=1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            harness.lose_leadership()
            shrink_all(harness)
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(gap_s)
            harness.take_over()
            await asyncio.sleep(3 * HEARTBEAT_S)
            assert harness.fleet.violations == []

    virtual.run(scenario())


def test_a_shrunken_worker_keeps_what_it_runs_and_takes_no_more():
    """Guards against counting what is being stopped as free, and against evictions."""

    async def scenario():
        async with Harness(4, always(20.0)) as harness:
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            shrink_all(harness)
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(7.0)
            assert harness.fleet.starts == 32
            assert all(len(p.runs) == 8 for p in harness.fleet.processes.values())
            await asyncio.sleep(15.0)
            assert harness.fleet.starts == 40
            assert harness.fleet.violations == []

    virtual.run(scenario())


def test_a_start_is_not_sent_once_the_announcement_is_old():
    """Guards against starts that a slow commit holds back while a worker shrinks."""

    async def scenario():
        async with Harness(5, always(60.0)) as harness:
            await asyncio.sleep(2 * HEARTBEAT_S + 0.1)
            harness.unheard.update(harness.fleet.processes)
            shrink_all(harness)
            await asyncio.sleep(3.5)
            harness.group.commit_s = 2.5
            await harness.submit("batch", step(16, 2))
            await asyncio.sleep(8.0)
            assert harness.fleet.violations == []
            assert harness.fleet.starts == 0
            harness.group.commit_s = COMMIT_S
            harness.unheard.clear()
            await asyncio.sleep(2 * HEARTBEAT_S)
            assert harness.fleet.starts == WORKERS

    virtual.run(scenario())


def test_workers_with_rare_heartbeats_are_used_between_them():
    """Guards against workers that are left out although they miss no heartbeat."""

    async def scenario():
        async with Harness(8, always(60.0), heartbeat_s=6.0) as harness:
            await asyncio.sleep(2 * harness.heartbeat_s - 0.5)
            await harness.submit("batch", step(4, 1))
            await asyncio.sleep(0.4)
            assert harness.fleet.starts == 4

    virtual.run(scenario())


def test_a_start_is_not_sent_once_the_worker_is_known_to_have_shrunk():
    """Guards against starts for room that is gone before their commit is done."""

    async def scenario():
        async with Harness(6, always(60.0)) as harness:
            await asyncio.sleep(2 * HEARTBEAT_S)
            harness.group.commit_s = 1.0
            await harness.submit("batch", step(16, 2))
            await asyncio.sleep(0.1)
            shrink_all(harness)
            harness.group.commit_s = COMMIT_S
            for process in list(harness.fleet.processes.values()):
                await harness.send_heartbeat(process, harness.sequence + 1)
            await asyncio.sleep(2.0)
            assert harness.fleet.starts == WORKERS

    virtual.run(scenario())


def test_a_delayed_announcement_is_as_old_as_its_reading_of_the_clock():
    """Guards against an announcement that a cut link held back for seconds."""

    async def scenario():
        async with Harness(7, always(60.0)) as harness:
            await harness.submit("batch", step(4, 1, max_per_worker=1))
            await asyncio.sleep(2 * HEARTBEAT_S)
            harness.unheard.update(harness.fleet.processes)
            late = [
                asyncio.create_task(
                    harness.send_heartbeat(process, harness.sequence + 1, 6.0)
                )
                for process in list(harness.fleet.processes.values())
            ]
            await asyncio.sleep(0.1)
            shrink_all(harness)
            await asyncio.gather(*late)
            await harness.submit("batch", step(32, 1))
            await asyncio.sleep(1.0)
            assert harness.fleet.violations == []

    virtual.run(scenario())


async def check_changing_capacities(seed, has_cancellations=False):
    """Run workflows while capacities change, and check that each ends or is gone."""
    async with Harness(seed) as harness:
        harness.fleet.loss_rate = harness.rng.choice([0.0, 0.05, 0.2])
        disturbances = [resize_at_random(harness)]
        if has_cancellations:
            harness.disturb_calls()
            harness.fleet.rejects_overload = harness.rng.random() < 0.5
            harness.replaces_leader = harness.rng.random() < 0.5
            disturbances.append(harness.cancel_at_random())
        if seed % 2:
            disturbances.append(harness.change_leaders((1, 6), (0.05, 7)))
        if seed % 3:
            disturbances.append(delay_announcements(harness))
        if seed % 5:
            disturbances.append(slow_down_commits(harness))
        tasks = [asyncio.create_task(coroutine) for coroutine in disturbances]
        await harness.submit_random(40)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if not harness.group.is_led:
            harness.take_over()
        harness.unheard.clear()
        harness.group.commit_s = COMMIT_S
        harness.fleet.refusal_rate = 0.0
        for process in harness.fleet.processes.values():
            harness.fleet.resize(process, CAPACITY)
        await harness.check_all_end(300)


@pytest.mark.parametrize("seed", [200, 203, 205, 207, 209, 211, 213, 267])
def test_capacities_change_beside_all_other_faults(seed):
    """Guards against a capacity that a new leader knows from long ago."""
    virtual.run(check_changing_capacities(seed))


@pytest.mark.parametrize("seed", range(6))
def test_cancellations_beside_changing_capacities_leave_nothing_running(seed):
    """Guards against refused and cancelled runs that go on after their workflow."""
    virtual.run(check_changing_capacities(seed, has_cancellations=True))
