"""Guards runs against doubling, loss and overfull workers while orders go astray."""

import asyncio
import itertools
import random

import eliot
import msgspec
import pytest
import reactivex.subject

from marjoramusher.consensus import message
from marjoramusher.core import errors
from marjoramusher.executors import driver, session
from marjoramusher.groups import local
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import catalog, command, machine, wave, workflow
from standins import fleet, virtual

CATALOG = catalog.Catalog(
    1,
    (
        catalog.Queue("urgent", "h", "/u/", "s", 0, 4, 1.5, 600, 1000),
        catalog.Queue("batch", "h", "/b/", "s", 2, 4, 3.0, 3000, 1000),
        catalog.Queue(
            "policed",
            "h",
            "/p/",
            "s",
            1,
            4,
            3.0,
            3000,
            1000,
            policy=catalog.Policy(100.0, 0.0, 3000.0),
        ),
    ),
    (catalog.Service("s"),),
)
CAPACITY = workflow.Resources(64000, 1000, 8)
BEAT_S = 1.5
WORKERS = 4


class Group(local.LocalGroup):
    """A group of one whose leadership the test takes and gives."""

    def __init__(self, state):
        super().__init__("records", state)
        self.led = True
        self.number = 1
        self.changes = reactivex.subject.Subject()

    @property
    def is_leader(self):
        return self.led

    @property
    def term(self):
        return self.number

    @property
    def roles(self):
        return self.changes

    async def propose_as_leader(self, command, timeout_s):
        await asyncio.sleep(0.02)
        if not self.led:
            raise errors.NotLeaderError(None)
        return await self.propose(command, timeout_s)

    def set_leader(self, led):
        self.led = led
        self.number += led
        role = message.Role.LEADER if led else message.Role.FOLLOWER
        self.changes.on_next(message.RoleChanged(role, self.number, None))


class Bed:
    """A driver, its group and workers in memory."""

    def __init__(self, seed, work_s=None, permitted=None):
        loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.fleet = fleet.Fleet(self.rng, work_s or self.work_s)
        self.policy = fleet.Policy(self.fleet, permitted or (lambda step, name: True))
        self.hosts = fleet.Hosts(self.fleet)
        self.state = machine.WorkflowMachine()
        self.group = Group(self.state)
        self.clock = virtual.LoopClock(loop)
        self.driver = driver.Driver(
            self.group,
            self.state,
            driver.Ports(self.fleet, self.policy, self.hosts),
            self.clock,
            metrics.Metrics(),
            driver.Settings(BEAT_S),
        )
        self.tasks = [loop.create_task(self.fleet.live())]
        self.count = 0
        self.born = 0

    async def __aenter__(self):
        await self.group.propose(
            command.pack(command.ReplaceCatalog(0, CATALOG, b"")), 1.0
        )
        for index in range(WORKERS):
            await self.join(f"x{index}")
        self.tasks.append(asyncio.create_task(self.beat()))
        self.driver.start()
        return self

    async def __aexit__(self, *_):
        await self.driver.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def work_s(self, task, run):
        failed = self.rng.random() < 0.05
        how = workflow.How.FAILED if failed else workflow.How.DONE
        return self.rng.uniform(0.2, 4.0), how

    async def join(self, name):
        self.born += 1
        worker = workflow.Worker(
            name, self.born, name, "s", "fd", "r1", ("a", "r1"), CAPACITY
        )
        self.fleet.join(worker)
        await self.group.propose(command.pack(command.RegisterWorker(0, worker)), 1.0)

    async def beat(self):
        while True:
            for name, life in list(self.fleet.lives.items()):
                if name not in self.fleet.cut and not life.over:
                    if self.state.workers.get(name) is None:
                        continue
                    self.driver.beat(
                        name, life.worker.born, life.clock_ms(self.clock.monotonic())
                    )
            await asyncio.sleep(BEAT_S)

    async def submit(self, queue, *steps):
        self.count += 1
        name = f"{self.count:016x}"
        now_ms = int(self.clock.utcnow().timestamp() * 1000)
        wanted = workflow.Workflow(name, queue, "a", f"spec {name}", steps, now_ms)
        self.fleet.submitted[name] = wanted
        if queue == "policed":
            self.fleet.tickets.update({(name, 0, i): {} for i in range(len(steps))})
        await self.group.propose(command.pack(command.Submit(now_ms, wanted)), 1.0)
        return name

    async def submit_some(self, count):
        for _ in range(count):
            gang = self.rng.random() < 0.4
            first = step(self.rng.randint(1, 4), self.rng.choice([1, 2, 4]), gang=gang)
            first = msgspec.structs.replace(
                first, checkpointing=self.rng.random() < 0.5
            )
            steps = [first]
            if self.rng.random() < 0.3:
                steps.append(step(2, 1, after=(0,)))
            await self.submit(self.rng.choice(["urgent", "batch"]), *steps)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def settle(self, within_s):
        end_s = self.clock.monotonic() + within_s
        while self.state.active and self.clock.monotonic() < end_s:
            await asyncio.sleep(0.1)

    async def check_end(self, within_s):
        """Lose no more orders: all ends in time, and nothing was done wrongly."""
        self.fleet.lost = 0.0
        await self.settle(within_s)
        assert self.fleet.faults == []
        assert workflow.State.ACTIVE not in self.states()

    def states(self):
        return {entry.state for entry in self.state.entries.values()}


def step(count, accelerators, **fields):
    needs = workflow.Resources(1000, 10, accelerators)
    return workflow.Step(count, needs, 2000, **fields)


def always(work_s, how=workflow.How.DONE):
    return lambda task, run: (work_s, how)


def test_work_that_nothing_disturbs_is_done_once():
    async def play():
        async with Bed(1, always(1.0)) as bed:
            await bed.submit_some(30)
            await bed.settle(60)
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.starts >= sum(
                s.count for w in bed.fleet.submitted.values() for s in w.steps
            )
            assert bed.fleet.faults == []

    virtual.run(play())


@pytest.mark.parametrize("seed", range(12))
def test_lost_and_late_orders_double_nothing(seed):
    async def play():
        async with Bed(seed) as bed:
            bed.fleet.lost = 0.15
            await bed.submit_some(25)
            await bed.check_end(200)

    virtual.run(play())


@pytest.mark.parametrize("seed", range(12))
def test_workers_that_are_cut_off_or_born_again_double_nothing(seed):
    async def play():
        async with Bed(seed) as bed:
            bed.fleet.lost = 0.03

            async def disturb():
                while True:
                    await asyncio.sleep(bed.rng.uniform(1, 5))
                    name = f"x{bed.rng.randrange(WORKERS)}"
                    if bed.rng.random() < 0.5:
                        bed.fleet.cut.add(name)
                        await asyncio.sleep(bed.rng.uniform(1, 12))
                        bed.fleet.cut.discard(name)
                    else:
                        bed.fleet.lives[name].over = True
                        await asyncio.sleep(bed.rng.uniform(0.1, 12))
                        await bed.join(name)

            task = asyncio.create_task(disturb())
            await bed.submit_some(25)
            task.cancel()
            bed.fleet.cut.clear()
            for name, life in list(bed.fleet.lives.items()):
                if life.over:
                    await bed.join(name)
            await bed.check_end(200)

    virtual.run(play())


@pytest.mark.parametrize("seed", range(12))
def test_changes_of_the_leader_double_nothing(seed):
    async def play():
        async with Bed(seed) as bed:
            bed.fleet.lost = 0.05

            async def change():
                while True:
                    await asyncio.sleep(bed.rng.uniform(1, 6))
                    bed.group.set_leader(False)
                    await asyncio.sleep(bed.rng.uniform(0.05, 9))
                    bed.group.set_leader(True)

            task = asyncio.create_task(change())
            await bed.submit_some(25)
            task.cancel()
            if not bed.group.led:
                bed.group.set_leader(True)
            await bed.check_end(300)

    virtual.run(play())


def test_a_cancelled_workflow_is_stopped_though_orders_are_lost():
    async def play():
        async with Bed(3, always(60.0)) as bed:
            name = await bed.submit("batch", step(6, 1))
            await asyncio.sleep(1.0)
            bed.fleet.lost = 0.5
            await bed.group.propose(command.pack(command.Cancel(0, name)), 1.0)
            await asyncio.sleep(3.0)
            running = [t for x in bed.fleet.lives.values() for t in x.runs]
            bed.fleet.lost = 0.0
            await asyncio.sleep(2.0)
            running = [t for x in bed.fleet.lives.values() for t in x.runs]
            assert running == []

    virtual.run(play())


def test_noted_ends_are_forgotten_by_idle_workers():
    async def play():
        async with Bed(4, always(1.0)) as bed:
            await bed.submit("batch", step(4, 1))
            await asyncio.sleep(6.0)
            assert all(not life.ends for life in bed.fleet.lives.values())

    virtual.run(play())


def test_tasks_without_progress_are_run_elsewhere():
    async def play():
        stalled = set()

        def work_s(task, run):
            if run == 1:
                stalled.add(task)
                return 1e6, workflow.How.DONE
            return 1.0, workflow.How.DONE

        async with Bed(5, work_s) as bed:
            await bed.submit("batch", step(2, 1))
            await bed.settle(30)
            assert stalled
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.faults == []

    virtual.run(play())


def test_a_worker_that_is_gone_for_good_gives_its_tasks_back_after_its_lease():
    async def play():
        async with Bed(6, always(3.0)) as bed:
            await bed.submit("batch", step(WORKERS * 8, 1))
            await asyncio.sleep(1.0)
            bed.fleet.lives["x1"].over = True
            await bed.settle(15)
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.faults == []

    virtual.run(play())


def test_tasks_of_a_worker_that_leaves_go_on_from_their_checkpoints():
    async def play():
        async with Bed(7, always(8.0)) as bed:
            await bed.submit("batch", step(WORKERS * 8, 1, checkpointing=True))
            await asyncio.sleep(6.0)
            life = bed.fleet.lives["x1"]
            life.over = True
            await bed.driver.end_life(life.worker, "it has left")
            await bed.settle(10.0)
            # From the start it would take 8 s, after those that run now.
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.clock.monotonic() < 8.0 + 6.0
            assert bed.fleet.faults == []

    virtual.run(play())


def test_runs_that_take_many_times_their_declared_time_are_not_stopped():
    async def play():
        async with Bed(8, always(900.0)) as bed:
            needs = workflow.Resources(1000, 10, 1)
            slow = workflow.Step(2, needs, 16_000, gang=True)
            await bed.submit("batch", slow)
            await bed.settle(1000)
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.starts == 2

    virtual.run(play())


def test_long_running_tasks_are_started_again_however_they_end():
    async def play():
        ends = [workflow.How.FAILED, workflow.How.DONE, workflow.How.FAILED]

        def work_s(task, run):
            how = ends[run % len(ends)]
            return 1.0, how

        async with Bed(9, work_s) as bed:
            name = await bed.submit("batch", step(1, 1, long_running=True))
            await asyncio.sleep(20.0)
            entry = bed.state.entries[name]
            assert entry.is_active
            assert bed.state.task(workflow.TaskKey(name, 0, 0, 0)).run > 6

    virtual.run(play())


def test_steps_with_a_policy_run_only_where_it_permits():
    async def play():
        def permitted(step, name):
            return name in ("x1", "x3")

        async with Bed(10, always(2.0), permitted) as bed:
            await bed.submit("policed", step(20, 1), step(2, 2, after=(0,), gang=True))
            await bed.settle(20)
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.faults == []
            assert bed.fleet.starts == 22
            # Each step asks once about all, and renews only what has run out.
            assert bed.policy.calls[0] == ("x0", "x1", "x2", "x3")
            assert all(set(each) <= {"x1", "x3"} for each in bed.policy.calls[1:-1])

    virtual.run(play())


def test_permits_that_run_out_while_others_end_are_asked_for_again():
    async def play():
        async with Bed(11, always(5.0), lambda step, name: name == "x2") as bed:
            await bed.submit("policed", step(20, 2))
            await bed.settle(60)
            assert bed.states() == {workflow.State.COMPLETED}
            assert bed.fleet.refused_tickets == 0
            assert len(bed.policy.calls) <= 8

    virtual.run(play())


def test_a_policy_service_that_fails_holds_up_only_its_own_steps():
    async def play():
        async with Bed(12, always(1.0)) as bed:
            bed.policy.failing = True
            await bed.submit("policed", step(2, 1))
            await bed.submit("batch", step(2, 1))
            await asyncio.sleep(5.0)
            assert bed.fleet.starts == 2
            assert 5 <= len(bed.policy.calls) <= 12
            bed.policy.failing = False
            await bed.settle(5)
            assert bed.states() == {workflow.State.COMPLETED}

    virtual.run(play())


@pytest.mark.parametrize("seed", range(6))
def test_permits_are_asked_for_again_after_changes_of_the_leader(seed):
    async def play():
        def permitted(step, name):
            return (int(step[0], 16) + int(name[1])) % 2 == 0 or name == "x0"

        async with Bed(seed, None, permitted) as bed:
            bed.fleet.lost = 0.05
            for _ in range(8):
                await bed.submit("policed", step(3, 2))
                await asyncio.sleep(bed.rng.uniform(0.1, 2.0))
                bed.group.set_leader(False)
                await asyncio.sleep(bed.rng.uniform(0.05, 3.0))
                bed.group.set_leader(True)
            await bed.check_end(200)

    virtual.run(play())


@pytest.mark.parametrize("disturbance_ms", [5.0, 60.0, 400.0])
@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_tasks_that_fill_slow_down_for_tasks_that_serve(disturbance_ms, lost):
    async def play():
        async with Bed(13, always(900.0)) as bed:
            serving = step(
                WORKERS, 1, long_running=True, target_ms=100, max_per_worker=1
            )
            await bed.submit("batch", serving)
            await asyncio.sleep(2.0)
            bed.fleet.disturbance_ms = disturbance_ms
            bed.fleet.lost = lost
            bed.fleet.late = 0.0
            await bed.submit("batch", step(3 * WORKERS, 0, fill=True))
            for _ in range(10):
                await asyncio.sleep(3.0)
                bed.fleet.disturbance_ms *= bed.rng.uniform(0.5, 1.5)
            paces = [
                run.pace for x in bed.fleet.lives.values() for run in x.runs.values()
            ]
            assert bed.fleet.faults == []
            assert len(paces) == 4 * WORKERS
            if disturbance_ms == 5.0:
                assert min(paces) > 50
            looks = 30.0 / session.SHARED_WAIT_S
            assert bed.fleet.paces <= looks * 3 * WORKERS

    virtual.run(play())


def test_a_serving_task_that_never_comes_to_work_is_started_elsewhere():
    async def play():
        async with Bed(14, always(900.0)) as bed:
            bed.fleet.stalled = {"x0"}
            name = await bed.submit("batch", step(2, 1, long_running=True))
            await asyncio.sleep(15.0)
            placed = [
                task.placement.worker_id
                for task in bed.state.entries[name].occurrences[0][0]
            ]
            assert "x0" not in placed

    virtual.run(play())


@pytest.mark.parametrize("max_down", [1, 2])
@pytest.mark.parametrize("lost", [0.0, 0.2])
def test_hosts_are_emptied_and_maintained_a_few_at_a_time(max_down, lost):
    def work_s(task, run):
        lasts = task.workflow_id.endswith("1")
        return 900.0 if lasts else 3.0, workflow.How.DONE

    async def play():
        async with Bed(15, work_s) as bed:
            bed.hosts.rejoin = bed.join
            bed.hosts.max_down[1] = max_down
            bed.hosts.lost = lost
            hosts = ("m-x0", "m-x1", "m-x2", "m-x3", "m-gone")
            started = command.StartWave(0, wave.Wave(1, hosts, 60.0, max_down))
            serving = step(
                2, 1, long_running=True, max_unavailable=1, checkpointing=True
            )
            name = await bed.submit("urgent", serving)
            for _ in range(4):
                await bed.submit("batch", step(4, 2, checkpointing=True))
            await asyncio.sleep(1.0)
            await bed.group.propose(command.pack(started), 1.0)
            for _ in range(150):
                await asyncio.sleep(0.2)
                entry = bed.state.entries[name]
                away = [
                    task
                    for task in entry.occurrences[0][0]
                    if task.placement is None or bed.driver.is_away(task.placement)
                ]
                assert len(away) <= 1 or bed.clock.monotonic() < 3.0
            assert sorted(host for _, host in bed.hosts.begun) == list(hosts[:4])
            assert bed.hosts.faults == []
            assert bed.fleet.faults == []
            assert bed.state.waves[1].is_complete
            assert bed.state.waves[1].gone == {"m-gone"}

    virtual.run(play())


def test_a_new_leader_waits_before_it_gives_orders_for_hosts():
    async def play():
        async with Bed(16, always(1.0)) as bed:
            bed.hosts.rejoin = bed.join
            hosts = ("m-x0", "m-x1", "m-x2", "m-x3")
            wanted = wave.Wave(1, hosts, 60.0, 1)
            await bed.group.propose(command.pack(command.StartWave(0, wanted)), 1.0)
            for _ in range(6):
                await asyncio.sleep(bed.rng.uniform(2.0, 9.0))
                bed.group.set_leader(False)
                await asyncio.sleep(bed.rng.uniform(0.1, 1.0))
                bed.group.set_leader(True)
            await asyncio.sleep(20.0)
            assert bed.state.waves[1].is_complete
            assert bed.hosts.faults == []
            tokens = [token for _, _, token in bed.hosts.holders]
            assert tokens == sorted(tokens)
            for (before_s, _, old), (after_s, _, new) in itertools.pairwise(
                bed.hosts.holders
            ):
                assert old == new or after_s - before_s >= 3.0

    virtual.run(play())


@pytest.mark.parametrize(
    "until_s, at_s, placed", [(2.0, 2.65, True), (3.0, 3.7, False)]
)
def test_workers_are_used_until_two_calls_in_a_row_got_no_answer(until_s, at_s, placed):
    async def play():
        async with Bed(17, always(900.0)) as bed:
            bed.fleet.late = 0.0
            began_s = bed.clock.monotonic()

            async def reach(time_s):
                await asyncio.sleep(began_s + time_s - bed.clock.monotonic())

            await bed.submit("batch", step(WORKERS, 2, max_per_worker=1))
            # The first looks last 1.5 s, and one without an answer 0.8 s more; the
            # next is sent 0.25 s later.
            await reach(1.0)
            bed.fleet.lost = 1.0
            await reach(until_s)
            bed.fleet.lost = 0.0
            await reach(at_s)
            name = await bed.submit("batch", step(4, 4))
            await asyncio.sleep(0.1)
            task = bed.state.task(workflow.TaskKey(name, 0, 0, 0))
            assert (task.placement is not None) is placed

    virtual.run(play())


def test_an_unexpected_error_at_one_worker_is_logged_and_ends_no_look(monkeypatch):
    async def play():
        lines = []
        eliot.add_destinations(lines.append)
        async with Bed(18, always(3.0)) as bed:
            hold, broken = bed.fleet.hold, []

            async def fail_once(worker, *rest):
                if broken and worker.worker_id == "x0":
                    broken.pop()
                    raise RuntimeError("a fault of the program")
                return await hold(worker, *rest)

            monkeypatch.setattr(bed.fleet, "hold", fail_once)
            await asyncio.sleep(2 * BEAT_S)
            await bed.submit("batch", step(WORKERS, 1, max_per_worker=1))
            await asyncio.sleep(0.5)
            broken.append(True)
            await bed.settle(10)
            assert not broken
            assert bed.states() == {workflow.State.COMPLETED}
        eliot.remove_destination(lines.append)
        failed = [x for x in lines if x["message_type"] == "program.unexpected_error"]
        assert [line["where"] for line in failed] == ["session"]

    virtual.run(play())
