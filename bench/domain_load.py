"""A failure domain's leader with its machine, placer and workers, in one process."""

import collections
import random
import time

import msgspec

from bench import placement_load
from marjoramusher.core import announcement, codec, errors, job, record, resource
from marjoramusher.jobs import command, machine
from marjoramusher.placement import gang as placement
from marjoramusher.workers import attempt, events, gang, rpc

DOMAIN = placement_load.DOMAIN
TASKS_PER_WORKER = 33_000 / 5_800
START_S = 1_000_000.0  # of the virtual clock, which serves for both clocks
PAYLOAD = '{"image": "registry/train:1", "arguments": ["--steps", "100000"]}'
USAGE = resource.Resources(1, 4, 3_900)

_STATES = {
    rpc.Method.PREPARE: announcement.TaskState.PREPARED,
    rpc.Method.START: announcement.TaskState.RUNNING,
    rpc.Method.CHECKPOINT: announcement.TaskState.RUNNING,
    rpc.Method.THROTTLE: announcement.TaskState.RUNNING,
    rpc.Method.STOP: announcement.TaskState.STOPPED,
}


class Cost(msgspec.Struct):
    """What the leader spent since the last reset.

    Parameters
    ----------
    core_s, apply_s : float
        Processor time of the gang core with the placer, and of the machine.
    command_bytes, call_bytes : int
        Bytes proposed to the group, and bodies of calls to workers.
    """

    core_s: float = 0.0
    apply_s: float = 0.0
    commands: int = 0
    command_bytes: int = 0
    calls: int = 0
    call_bytes: int = 0


class Domain:
    """Lead one failure domain; workers are fakes that do what they are told.

    Parameters
    ----------
    workers : int
        Workers of 8 accelerators, 8 to a rack.
    """

    def __init__(self, workers: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._accounts = [f"account{n:03}" for n in range(max(4, workers // 24))]
        self._workers = {one.id: one for one in placement_load.make_workers(workers)}
        self._held: dict[str, dict[str, announcement.TaskReport]] = {
            worker: {} for worker in self._workers
        }
        self._silent: set[str] = set()
        self._serial = 0
        self._now = START_S
        self.cost = Cost()
        self.jobs = machine.JobsMachine(DOMAIN)
        self.core = self._make_core()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self._now

    @property
    def tasks(self) -> int:
        """Return the number of tasks that workers hold."""
        return sum(len(held) for held in self._held.values())

    def _make_core(self) -> gang.GangCore:
        policy = placement.make_placer(random.Random(1), DOMAIN, wall_offset_s=0.0)
        shape = placement_load.rack_shape(2, 8)
        configuration = record.Configuration(
            1,
            accounts={
                name: record.ClientAccount(name, DOMAIN) for name in self._accounts
            },
            guarantees={
                name: record.GuaranteedShape(name, name, DOMAIN, 2, shape)
                for name in self._accounts
            },
        )
        return gang.GangCore(self.jobs, policy, configuration, self._now, self._now)

    def take_over(self) -> None:
        """Lead anew, as a leader elected after another was lost."""
        before = time.process_time()
        self.core = self._make_core()
        self.cost.core_s += time.process_time() - before

    def settle(self) -> None:
        """Let all workers announce themselves until gangs are placed."""
        while not self.core.is_reconciled:
            self.announce_all()
            self.tick()
            self._now += 1.0

    def fill(self) -> None:
        """Submit jobs until the tasks of this size run."""
        wanted = int(len(self._workers) * TASKS_PER_WORKER)
        running = -1
        while self.tasks < wanted and running != self.tasks:
            running = self.tasks
            for _ in range(max(16, len(self._workers) // 20)):
                self.submit(self.draw_shape())
            for _ in range(5):
                self.tick()
                self._now += 0.2
            self.announce_all()

    def draw_shape(self) -> resource.GangShape:
        """Return a shape; most jobs are small and some have 256 tasks."""
        accelerators = self._rng.choices((1, 2, 4, 8), (84, 12, 3, 1))[0]
        tasks = self._rng.choices((1, 4, 16, 64, 256), (60, 25, 10, 4, 1))[0]
        if tasks * accelerators > len(self._workers):
            tasks = 1
        return make_shape(tasks, accelerators)

    def submit(
        self,
        shape: resource.GangShape,
        job_class: resource.JobClass = resource.JobClass.NORMAL,
    ) -> None:
        """Commit a job of a random client account."""
        self._serial += 1
        account = self._rng.choice(self._accounts)
        spec = job.JobSpec(account, "", shape, job_class, 9_000.0, payload=PAYLOAD)
        self._commit(
            command.SubmitJob(self._now, spec, f"key-{self._serial}", "f" * 32)
        )
        self.step(events.CommandsApplied())

    def end(self) -> int:
        """End one running job by itself and return its number of tasks."""
        running = [one for one in self.core.gangs if one.phase is attempt.Phase.RUNNING]
        chosen = self._rng.choice(running)
        touched = set()
        for task in chosen.tasks.values():
            report = announcement.TaskReport(
                task.task_id, chosen.epoch, announcement.TaskState.DONE
            )
            self._held[task.worker][task.task_id] = report
            touched.add(task.worker)
        for worker in touched:
            self.announce(worker)
            self._held[worker] = {
                task_id: report
                for task_id, report in self._held[worker].items()
                if report.state is not announcement.TaskState.DONE
            }
        return len(chosen.tasks)

    def silence(self, workers: list[str]) -> None:
        """Lose workers with their tasks."""
        self._silent.update(workers)
        for worker in workers:
            self._held[worker] = {}

    def said(self, worker: str) -> announcement.WorkerAnnouncement:
        """Return what a worker announces now."""
        tasks = tuple(self._held[worker].values())
        return msgspec.structs.replace(
            self._workers[worker], url="http://10.0.0.1:9000", tasks=tasks
        )

    def announce(self, worker: str) -> list[events.Effect]:
        """Let a worker announce itself."""
        if worker in self._silent:
            return []
        return self.step(events.WorkerAnnounced(self.said(worker)))

    def announce_all(self) -> None:
        """Let every worker announce itself once."""
        for worker in self._workers:
            self.announce(worker)

    def tick(self) -> None:
        """Let the driver's timer pass."""
        self.step(events.TimerTicked())

    def advance(self, seconds: float) -> None:
        """Let virtual time pass without events."""
        self._now += seconds

    def step(self, event: events.Event) -> list[events.Effect]:
        """Take one event and carry out all that follows from it."""
        first = self._step(event)
        queue = collections.deque(first)
        while queue:
            effect = queue.popleft()
            if isinstance(effect, events.ProposeCommand):
                error = self._commit(effect.command)
                queue.extend(
                    self._step(events.ProposalCompleted(effect.command, error))
                )
            elif isinstance(effect, rpc.Call):
                queue.extend(self._step(self._call(effect)))
        return first

    def _step(self, event: events.Event) -> list[events.Effect]:
        before = time.process_time()
        effects = self.core.step(event, self._now, self._now)
        self.cost.core_s += time.process_time() - before
        return effects

    def _commit(self, value: command.Command) -> errors.ErrorBody | None:
        data = command.encode(value)
        self.cost.commands += 1
        self.cost.command_bytes += len(data)
        before = time.process_time()
        result = self.jobs.apply(0, data)
        self.cost.apply_s += time.process_time() - before
        try:
            command.decode_result(result)
        except errors.MarjoramusherError as error:
            return error.body()
        return None

    def _call(self, call: rpc.Call) -> events.CallCompleted:
        self.cost.calls += 1
        self.cost.call_bytes += len(codec.to_json(call.request))
        if call.worker in self._silent:
            return events.CallCompleted(call)
        state = _STATES[call.method]
        checkpoint = call.request.checkpoint
        report = announcement.TaskReport(
            call.task_id, call.gang_epoch, state, checkpoint, usage=USAGE
        )
        if call.method is rpc.Method.STOP:
            self._held[call.worker].pop(call.task_id, None)
        else:
            self._held[call.worker][call.task_id] = report
        return events.CallCompleted(call, report)


def make_shape(tasks: int, accelerators: int) -> resource.GangShape:
    """Return a shape without adjacency."""
    each = resource.Resources(accelerators, 4 * accelerators, 4000)
    return resource.GangShape(tasks, each)
