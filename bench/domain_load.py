"""Simulate a failure domain: leader, state machine, placer and workers."""

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
START_TIME_S = 1_000_000.0  # of the virtual clock, used as both steady and wall clock
PAYLOAD = '{"image": "registry/train:1", "arguments": ["--steps", "100000"]}'
TASK_USAGE = resource.Resources(1, 4, 3_900)

_RESULTING_STATES = {
    rpc.Method.PREPARE: announcement.TaskState.PREPARED,
    rpc.Method.START: announcement.TaskState.RUNNING,
    rpc.Method.CHECKPOINT: announcement.TaskState.RUNNING,
    rpc.Method.THROTTLE: announcement.TaskState.RUNNING,
    rpc.Method.STOP: announcement.TaskState.STOPPED,
}


class Cost(msgspec.Struct):
    """Collect the cost of the leader since the last reset.

    Parameters
    ----------
    core_s, apply_s : float
        CPU time of the gang core with the placer, and of the state machine.
    command_bytes, call_bytes : int
        Bytes of proposed commands and of the bodies of calls to workers.
    """

    core_s: float = 0.0
    apply_s: float = 0.0
    commands: int = 0
    command_bytes: int = 0
    calls: int = 0
    call_bytes: int = 0


class Domain:
    """Lead one failure domain with fake workers that follow every call.

    Parameters
    ----------
    workers : int
        Number of workers; each has 8 accelerators, and 8 share a rack.
    """

    def __init__(self, workers: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._accounts = [f"account{n:03}" for n in range(max(4, workers // 24))]
        self._workers = {
            worker.id: worker for worker in placement_load.make_workers(workers)
        }
        self._task_reports: dict[str, dict[str, announcement.TaskReport]] = {
            worker: {} for worker in self._workers
        }
        self._silent_workers: set[str] = set()
        self._sequence = 0
        self._now = START_TIME_S
        self.cost = Cost()
        self.jobs = machine.JobsMachine(DOMAIN)
        self.core = self._make_core()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self._now

    @property
    def tasks(self) -> int:
        """Return the number of tasks on all workers."""
        return sum(len(reports) for reports in self._task_reports.values())

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
        """Replace the core, as a newly elected leader does."""
        before = time.process_time()
        self.core = self._make_core()
        self.cost.core_s += time.process_time() - before

    def settle(self) -> None:
        """Let all workers announce themselves until the leader is reconciled."""
        while not self.core.is_reconciled:
            self.announce_all()
            self.tick()
            self._now += 1.0

    def fill(self) -> None:
        """Submit jobs until the domain runs its target of tasks or places no more."""
        target_tasks = int(len(self._workers) * TASKS_PER_WORKER)
        previous_tasks = -1
        while self.tasks < target_tasks and previous_tasks != self.tasks:
            previous_tasks = self.tasks
            for _ in range(max(16, len(self._workers) // 20)):
                self.submit(self.draw_shape())
            for _ in range(5):
                self.tick()
                self._now += 0.2
            self.announce_all()

    def draw_shape(self) -> resource.GangShape:
        """Return a random shape; most jobs are small, some have 256 tasks."""
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
        self._sequence += 1
        account = self._rng.choice(self._accounts)
        spec = job.JobSpec(account, "", shape, job_class, 9_000.0, payload=PAYLOAD)
        self._commit(
            command.SubmitJob(self._now, spec, f"key-{self._sequence}", "f" * 32)
        )
        self.step(events.CommandsApplied())

    def complete_random_job(self) -> int:
        """Complete a random running job and return its number of tasks."""
        candidates = [
            candidate
            for candidate in self.core.gangs
            if candidate.phase is attempt.Phase.RUNNING
        ]
        chosen = self._rng.choice(candidates)
        affected_workers = set()
        for task in chosen.tasks.values():
            report = announcement.TaskReport(
                task.task_id, chosen.epoch, announcement.TaskState.DONE
            )
            self._task_reports[task.worker][task.task_id] = report
            affected_workers.add(task.worker)
        for worker in affected_workers:
            self.announce(worker)
            self._task_reports[worker] = {
                task_id: report
                for task_id, report in self._task_reports[worker].items()
                if report.state is not announcement.TaskState.DONE
            }
        return len(chosen.tasks)

    def silence(self, workers: list[str]) -> None:
        """Silence workers and lose their tasks."""
        self._silent_workers.update(workers)
        for worker in workers:
            self._task_reports[worker] = {}

    def make_announcement(self, worker: str) -> announcement.WorkerAnnouncement:
        """Return the current announcement of a worker."""
        tasks = tuple(self._task_reports[worker].values())
        return msgspec.structs.replace(
            self._workers[worker], url="http://10.0.0.1:9000", tasks=tasks
        )

    def announce(self, worker: str) -> list[events.Effect]:
        """Deliver a worker's announcement unless it is silent."""
        if worker in self._silent_workers:
            return []
        return self.step(events.WorkerAnnounced(self.make_announcement(worker)))

    def announce_all(self) -> None:
        """Deliver one announcement of every worker."""
        for worker in self._workers:
            self.announce(worker)

    def tick(self) -> None:
        """Deliver a timer tick to the core."""
        self.step(events.TimerTicked())

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock without events."""
        self._now += seconds

    def step(self, event: events.Event) -> list[events.Effect]:
        """Deliver an event and apply all resulting effects; return the first ones."""
        effects = self._step_core(event)
        pending = collections.deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, events.ProposeCommand):
                error = self._commit(effect.command)
                pending.extend(
                    self._step_core(events.ProposalCompleted(effect.command, error))
                )
            elif isinstance(effect, rpc.Call):
                pending.extend(self._step_core(self._call(effect)))
        return effects

    def _step_core(self, event: events.Event) -> list[events.Effect]:
        before = time.process_time()
        effects = self.core.step(event, self._now, self._now)
        self.cost.core_s += time.process_time() - before
        return effects

    def _commit(self, proposed: command.Command) -> errors.ErrorBody | None:
        data = command.encode(proposed)
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
        if call.worker in self._silent_workers:
            return events.CallCompleted(call)
        state = _RESULTING_STATES[call.method]
        checkpoint = call.request.checkpoint
        report = announcement.TaskReport(
            call.task_id, call.gang_epoch, state, checkpoint, usage=TASK_USAGE
        )
        if call.method is rpc.Method.STOP:
            self._task_reports[call.worker].pop(call.task_id, None)
        else:
            self._task_reports[call.worker][call.task_id] = report
        return events.CallCompleted(call, report)


def make_shape(tasks: int, accelerators: int) -> resource.GangShape:
    """Return a shape without an adjacency constraint."""
    per_task = resource.Resources(accelerators, 4 * accelerators, 4000)
    return resource.GangShape(tasks, per_task)
