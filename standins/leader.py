"""A leader with workers in memory on a virtual clock, and the means to disturb it."""

import asyncio
import contextlib
import random

import msgspec
import reactivex.subject

from marjoramusher.consensus import message
from marjoramusher.core import clock, errors
from marjoramusher.executors import driver
from marjoramusher.groups import local
from marjoramusher.queues import call, service
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import catalog, command, machine, workflow

from . import fleet, virtual

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
        catalog.Queue(
            "policed-urgent",
            "h",
            "/q/",
            "s",
            0,
            4,
            3.0,
            600,
            1000,
            policy=catalog.Policy(100.0, 0.0, 3000.0),
        ),
    ),
    (catalog.Service("s"),),
    (catalog.Account("a", ("k",), 0),),
)
CAPACITY = workflow.Resources(64000, 1000, 8)
HEARTBEAT_S = 1.5
WORKERS = 4
COMMIT_S = 0.02
MAX_COMMIT_DELAY_S = 5.0  # longer than the leader waits
RUN_ON_S = fleet.CONTACT_TIMEOUT_S + fleet.CANCEL_S + fleet.STOP_TIMEOUT_S + 1.0
LONG_WORK_S = 40.0
CALL_RETRY_S = 0.5  # a worker that got no acknowledgement calls again


class Group(local.LocalGroup):
    """A group of one member whose leadership the test controls."""

    def __init__(self, state):
        super().__init__("records", state)
        self.is_led = True
        self._has_fresh_quorum = True
        self.fault_s = 0.0  # time of the last change of the leadership or the quorum
        self.current_term = 1
        self.changes = reactivex.subject.Subject()
        self.commit_s = COMMIT_S
        # Share of the commands that hold up the log, and of those whose confirmation
        # is lost.
        self.unconfirmed_rate = 0.0
        self.rng = random.Random(0)
        self._log = asyncio.Lock()
        self._appended = set()

    @property
    def is_leader(self):
        """Tell whether this member leads."""
        return self.is_led and self.has_fresh_quorum

    @property
    def has_fresh_quorum(self):
        """Tell whether a majority has answered recently.

        It can be missing for a moment within one term.
        """
        return self._has_fresh_quorum

    @has_fresh_quorum.setter
    def has_fresh_quorum(self, is_fresh):
        self._has_fresh_quorum = is_fresh
        self.fault_s = asyncio.get_running_loop().time()

    @property
    def term(self):
        """Return the term, which rises with each change of the leader."""
        return self.current_term

    @property
    def roles(self):
        """Return the changes of the role."""
        return self.changes

    async def propose_as_leader(self, command, timeout_s):
        """Commit a command after the time that replicas take."""
        await asyncio.sleep(self.commit_s)
        if not self.is_led:
            raise errors.NotLeaderError(None)
        if not self.has_fresh_quorum:
            raise errors.NoQuorumError("records has no fresh quorum")
        if not self.unconfirmed_rate and not self._log.locked():
            return await self.propose(command, timeout_s)
        term = self.current_term
        appended = asyncio.create_task(self._append(command, term))
        self._appended.add(appended)
        appended.add_done_callback(self._appended.discard)
        appended.add_done_callback(asyncio.Task.exception)
        try:
            async with asyncio.timeout(timeout_s):
                result = await asyncio.shield(appended)
        except TimeoutError as error:
            raise self._unconfirmed() from error
        if self.rng.random() < self.unconfirmed_rate:
            raise self._unconfirmed()
        return result

    async def _append(self, command, term):
        """Commit a command after all earlier ones, unless the leadership ends first."""
        async with self._log:
            if self.rng.random() < self.unconfirmed_rate:
                await asyncio.sleep(self.rng.uniform(0.0, MAX_COMMIT_DELAY_S))
            if not self.is_led or term != self.current_term:
                raise self._unconfirmed()
            return await self.propose(command, 1.0)

    def _unconfirmed(self):
        return errors.NoQuorumError(
            "records did not answer in time", errors.Outcome.UNKNOWN
        )

    def set_leader(self, is_led):
        """Give the leadership away, or take it back in a new term."""
        self.is_led = is_led
        self.current_term += is_led
        self.fault_s = asyncio.get_running_loop().time()
        role = message.Role.LEADER if is_led else message.Role.FOLLOWER
        self.changes.on_next(message.RoleChanged(role, self.current_term, None))


class Member:
    """An instance's view of the group, which ends when another instance leads."""

    def __init__(self, group):
        self._group = group
        self.has_left = False

    def __getattr__(self, name):
        return getattr(self._group, name)

    @property
    def is_leader(self):
        """Tell whether this instance leads."""
        return not self.has_left and self._group.is_leader

    async def propose_as_leader(self, command, timeout_s):
        """Commit a command unless another instance leads by then."""
        if self.has_left:
            raise errors.NotLeaderError(None)
        return await self._group.propose_as_leader(command, timeout_s)


class Harness:
    """A driver, its group, and workers in memory on a virtual clock."""

    def __init__(self, seed, work_s=None, permitted=None, heartbeat_s=HEARTBEAT_S):
        loop = asyncio.get_running_loop()
        self.seed = seed
        self.rng = random.Random(seed)
        self.heartbeat_s = heartbeat_s
        self.fleet = fleet.Fleet(self.rng, work_s or self.work_s)
        self.policy = fleet.Policy(self.fleet, permitted or (lambda step, name: True))
        self.hosts = fleet.Hosts(self.fleet)
        self.state = machine.WorkflowMachine()
        self.group = Group(self.state)
        self.group.rng = self.rng
        self.clock = virtual.LoopClock(loop)
        self.member = Member(self.group)
        self.driver = self.make_driver()
        self.service = self.make_service()
        # Whether a new leader is another instance, which knows only what is committed.
        self.replaces_leader = False
        self.long_share = 0.0  # of the runs, which last longer than all faults
        self.ended_s = {}
        self.fleet.restart = self.announce
        self.fleet.is_known = self.is_registered
        self.fleet.end_s = self.end_s
        self.fleet.leader_fault_s = self.leader_fault_s
        self.tasks = [loop.create_task(self.fleet.simulate())]
        self.count = 0
        self.incarnation = 0
        self.sequence = 0
        # Workers whose announcements reach nobody, though calls to them are answered.
        self.unheard = set()

    async def __aenter__(self):
        await self.group.propose(
            command.pack(command.ReplaceCatalog(0, CATALOG, b"")), 1.0
        )
        for index in range(WORKERS):
            await self.join(f"x{index}")
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))
        self.driver.start()
        return self

    async def __aexit__(self, *_):
        await self.driver.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def work_s(self, task, run):
        """Return a random duration and outcome of a run.

        Long-running tasks last until they are stopped.
        """
        if self.fleet.submitted[task.workflow_id].steps[task.step].long_running:
            return 900.0, workflow.RunOutcome.DONE
        failed = self.rng.random() < 0.05
        outcome = workflow.RunOutcome.FAILED if failed else workflow.RunOutcome.DONE
        # All members of a gang last long, or none.
        members = random.Random(f"{task.workflow_id}.{task.step}.{run}")
        if members.random() < self.long_share:
            return LONG_WORK_S, outcome
        return self.rng.uniform(0.2, 4.0), outcome

    async def join(self, name, rack="r1"):
        """Start a process of a worker and register it."""
        self.incarnation += 1
        worker = workflow.Worker(
            name, self.incarnation, name, "s", "fd", rack, ("a", rack), CAPACITY
        )
        self.fleet.join(worker)
        await self.group.propose(command.pack(command.RegisterWorker(0, worker)), 1.0)

    def is_registered(self, worker):
        """Tell whether an incarnation of a worker is registered."""
        registered = self.state.workers.get(worker.worker_id)
        return (
            registered is not None
            and registered.worker.incarnation == worker.incarnation
        )

    def restart(self, name):
        """Start another process of a worker, which has not announced itself yet."""
        self.incarnation += 1
        worker = msgspec.structs.replace(
            self.fleet.processes[name].worker, incarnation=self.incarnation
        )
        self.fleet.join(worker)
        return worker

    def end_s(self, workflow_id):
        """Return since when a workflow has been seen to have ended."""
        entry = self.state.entries.get(workflow_id)
        if entry is not None and entry.is_active:
            return None
        return self.ended_s.setdefault(workflow_id, self.clock.monotonic())

    def leader_fault_s(self):
        """Return the time of the last fault of the leader, now if it lasts."""
        is_steady = self.group.is_leader and self.group.commit_s == COMMIT_S
        return self.group.fault_s if is_steady else self.clock.monotonic()

    def make_driver(self):
        """Return a driver that knows only what is committed."""
        return driver.Driver(
            self.member,
            self.state,
            driver.Ports(self.fleet, self.policy, self.hosts),
            self.clock,
            metrics.Metrics(),
            driver.Settings(
                self.heartbeat_s,
                capacity_grace_s=fleet.CONTACT_TIMEOUT_S + self.heartbeat_s,
            ),
        )

    def disturb_calls(self):
        """Let calls fail, and be late, in all ways that the protocol allows."""
        faulty, rng = self.fleet, self.rng
        self.long_share = rng.choice([0.0, 0.3])
        faulty.loss_rate = rng.choice([0.02, 0.1, 0.2])
        faulty.refusal_rate = rng.choice([0.0, 0.1, 0.3])
        faulty.executed_rate = rng.choice([0.0, 0.3, 0.6])
        faulty.delay_range_s = rng.choice([fleet.DELAY_RANGE_S, (0.0, 3.0)])
        faulty.slow_rate = rng.choice([0.0, 0.3])
        faulty.passes_cuts = rng.random() < 0.5
        faulty.fences_polls = rng.random() < 0.5
        # A generator of its own leaves the faults of known seeds as they are.
        faulty.accepts_outdated = random.Random(f"outdated {self.seed}").random() < 0.5
        # Ends on an incarnation that has not announced itself fit into one list.
        faulty.max_listed_ends = rng.choice([20, 500])

    def make_service(self):
        """Return a service without any memory of announcements."""
        return service.QueueService(
            "leader", self.state, self.driver, self.clock, metrics.Metrics()
        )

    def lose_leadership(self):
        """Give the leadership up; nobody leads for now."""
        self.group.set_leader(False)

    def take_over(self):
        """Lead as an instance that knows only what was committed."""
        self.state.restore(self.state.snapshot())
        if self.replaces_leader:
            self.member.has_left = True
            self.tasks.append(asyncio.create_task(self.driver.stop()))
            self.member = Member(self.group)
            self.driver = self.make_driver()
            self.driver.start()
        self.service = self.make_service()
        self.group.set_leader(True)

    async def change_leaders(self, led_s, absence_s):
        """Lose the leadership and take it over until cancelled.

        Parameters
        ----------
        led_s, absence_s : tuple of float
            Least and greatest duration of a leadership, and of the time without one.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(*led_s))
            self.lose_leadership()
            await asyncio.sleep(self.rng.uniform(*absence_s))
            self.take_over()

    async def cut_or_restart(self, pause_s, cut_s):
        """Cut one worker off, or restart it, again and again until cancelled.

        Parameters
        ----------
        pause_s, cut_s : tuple of float
            Least and greatest pause before each fault, and duration of a cut.
        """
        rng, processes = self.rng, self.fleet.processes
        while True:
            await asyncio.sleep(rng.uniform(*pause_s))
            name = rng.choice(list(processes))
            if rng.random() < 0.5:
                self.fleet.unreachable.add(name)
                await asyncio.sleep(rng.uniform(*cut_s))
                self.fleet.unreachable.discard(name)
                continue
            processes[name].has_ended = True
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            worker = self.restart(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            await self.announce(worker)

    async def announce(self, worker, sequence=1, clock_ms=None):
        """Announce a worker to whoever leads, until that is acknowledged.

        Each attempt says what the worker is by then.
        """
        while True:
            process = self.fleet.processes.get(worker.worker_id)
            if process is not None and (
                process.worker.incarnation == worker.incarnation
            ):
                worker = process.worker
            request = call.pack_call(call.Announce(worker, sequence, clock_ms))
            try:
                await self.service.serve(request)
                return
            except errors.MarjoramusherError:
                await asyncio.sleep(CALL_RETRY_S)

    async def send_heartbeats(self):
        """Send the heartbeats of all registered workers that can be reached."""
        while True:
            self.sequence += 1
            for name, life in list(self.fleet.processes.items()):
                is_heard = name not in self.fleet.unreachable | self.unheard
                if is_heard and not life.has_ended and name in self.state.workers:
                    self.tasks.append(
                        asyncio.create_task(self.send_heartbeat(life, self.sequence))
                    )
            await asyncio.sleep(self.heartbeat_s)

    async def send_heartbeat(self, life, sequence, delay_s=0.0):
        """Announce what a worker says of itself now, once and maybe late."""
        now_s = self.clock.monotonic()
        announced = call.Announce(
            life.worker,
            sequence,
            life.clock_ms(now_s),
            life.drain_remaining_ms(now_s),
        )
        request = call.pack_call(announced)
        await asyncio.sleep(delay_s)
        with contextlib.suppress(errors.MarjoramusherError):
            await self.service.serve(request)

    async def depart(self, name, notice_s, is_announced=True, deregisters=True):
        """Let a worker leave after a time, which it announces or not.

        One that does not deregister is gone without a departure.
        """
        life = self.fleet.processes[name]
        if is_announced:
            life.worker = msgspec.structs.replace(life.worker, draining=True)
            life.leaves_s = self.clock.monotonic() + notice_s
        await asyncio.sleep(notice_s)
        life.has_ended = True
        if deregisters:
            await self.driver.end_incarnation(life.worker, "it has left")

    async def submit(self, queue, *steps):
        """Submit a workflow and return its id."""
        self.count += 1
        name = f"{self.count:016x}"
        now_ms = int(self.clock.utcnow().timestamp() * 1000)
        submitted = workflow.Workflow(name, queue, "a", f"spec {name}", steps, now_ms)
        self.fleet.submitted[name] = submitted
        if queue.startswith("policed"):
            self.fleet.tickets.update({(name, 0, i): {} for i in range(len(steps))})
        await self.group.propose(command.pack(command.Submit(now_ms, submitted)), 1.0)
        return name

    async def submit_random(self, count):
        """Submit workflows of random steps, some of them gangs."""
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

    async def cancel(self, workflow_id):
        """Cancel a workflow, again and again until that is acknowledged."""
        cancel = command.Cancel(clock.unix_ms(self.clock), workflow_id)
        while True:
            try:
                await self.driver.propose(cancel)
                return
            except errors.MarjoramusherError:
                await asyncio.sleep(CALL_RETRY_S)

    async def cancel_at_random(self):
        """Cancel workflows in any state, some of them twice, until cancelled.

        Half of them are the latest, which may have been submitted just now.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.05, 2.0))
            names = list(self.fleet.submitted)
            if not names:
                continue
            name = names[-1] if self.rng.random() < 0.5 else self.rng.choice(names)
            for _ in range(self.rng.choice([1, 1, 2])):
                self.tasks.append(asyncio.create_task(self.cancel(name)))

    async def wait_until_ended(self, timeout_s):
        """Wait until no workflow is active, or the time is over."""
        end_s = self.clock.monotonic() + timeout_s
        while self.state.active and self.clock.monotonic() < end_s:
            await asyncio.sleep(0.1)

    async def check_all_end(self, timeout_s):
        """End the faults, and check that all workflows end and no rule was broken.

        Runs that go on after their workflow show after the bound for late starts.
        """
        self.fleet.loss_rate = 0.0
        await self.wait_until_ended(timeout_s)
        await asyncio.sleep(RUN_ON_S)
        assert self.fleet.violations == [], self.fleet.violations
        assert workflow.State.ACTIVE not in self.states(), "a workflow has not ended"

    def running(self, workflow_id):
        """Return the ids of the workers that run a task of a workflow, one a run."""
        return [
            name
            for name, process in self.fleet.processes.items()
            if not process.has_ended
            for task in process.runs
            if task.workflow_id == workflow_id
        ]

    def states(self):
        """Return the states of all workflows."""
        return {entry.state for entry in self.state.entries.values()}


def step(count, accelerators, **fields):
    """Return a step of small tasks."""
    needs = workflow.Resources(1000, 10, accelerators)
    return workflow.Step(count, needs, 2000, **fields)


def always(work_s, outcome=workflow.RunOutcome.DONE):
    """Return a function for runs that all last equally long and end alike."""
    return lambda task, run: (work_s, outcome)
