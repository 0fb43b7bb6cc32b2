"""Time of one placement decision by number of workers."""

import random
import time
from collections.abc import Iterator

import msgspec
import numpy as np

from bench import placement_load as load
from marjoramusher.core import job, record, resource
from marjoramusher.placement import decision, gang, placer

SIZES = (24, 96, 384, 1450, 5800)
TASKS_PER_WORKER = 33_000 / 5_800
ROUNDS = 400
WAITING = 100
TICK_S = 0.05


class Timing(msgspec.Struct):
    """Cost of placements at one size."""

    workers: int
    tasks: int
    placed: int
    plan_us: float
    event_us: float
    worst_us: float


class Churn:
    """Keep a failure domain full: one job ends, others come, the placer plans."""

    def __init__(self, workers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._placer: placer.Placer = gang.make_placer(random.Random(seed), load.DOMAIN)
        self._accounts = [f"account{n:03}" for n in range(max(4, workers // 24))]
        self._jobs: dict[str, job.Job] = {}
        self._running: list[str] = []
        self._serial = 0
        self._tasks = 0
        self._workers = workers
        self.now = 0.0
        self.plan_s = 0.0
        self.event_s = 0.0
        self.worst_s = 0.0
        self.placed = 0
        self._placer.configure(self._configuration(), 0.0)
        for worker in load.make_workers(workers):
            self._placer.worker_up(worker, 0.0)

    @property
    def tasks(self) -> int:
        """Return the number of tasks that hold resources."""
        return self._tasks

    def fill(self) -> None:
        """Submit and place jobs until the tasks of this size run and jobs wait."""
        wanted = int(self._workers * TASKS_PER_WORKER)
        while self._tasks < wanted or len(self._jobs) < len(self._running) + WAITING:
            for _ in range(16):
                self.submit()
            self._plan()
            self.now += 5.0

    def churn(self, rounds: int) -> None:
        """End and submit one job a round."""
        self.plan_s = self.event_s = self.worst_s = 0.0
        self.placed = 0
        for _ in range(rounds):
            self._end()
            self.submit()
            self._plan()

    def _configuration(self) -> record.Configuration:
        shape = load.rack_shape(2, 8)
        return record.Configuration(
            1,
            guarantees={
                name: record.GuaranteedShape(name, name, load.DOMAIN, 2, shape)
                for name in self._accounts
            },
        )

    def submit(self) -> None:
        """Submit one job."""
        accelerators = self._rng.choices((1, 2, 4, 8), (84, 12, 3, 1))[0]
        tasks = self._rng.choices((1, 4, 16, 64, 256), (60, 25, 10, 4, 1))[0]
        adjacency = resource.Adjacency.NONE
        if tasks * accelerators > self._workers:
            tasks = 1
        elif tasks * accelerators <= 64 and self._rng.random() < 0.5:
            adjacency = resource.Adjacency.RACK
        each = resource.Resources(accelerators, 4 * accelerators, 4000)
        shape = resource.GangShape(tasks, each, adjacency)
        self._serial += 1
        spec = job.JobSpec(
            self._rng.choice(self._accounts),
            "",
            shape,
            self._rng.choice((resource.JobClass.NORMAL, resource.JobClass.BEST_EFFORT)),
            run_s=self._rng.uniform(600, 20_000),
        )
        one = job.Job(f"job-{self._serial}", spec, job.JobState.QUEUED, self.now)
        self._jobs[one.job_id] = one
        self._change(one)

    def _end(self) -> None:
        if not self._running:
            return
        at = self._rng.randrange(len(self._running))
        self._running[at], self._running[-1] = self._running[-1], self._running[at]
        known = self._jobs.pop(self._running.pop())
        self._tasks -= known.spec.shape.tasks
        self._change(msgspec.structs.replace(known, state=job.JobState.DONE))

    def _change(self, known: job.Job) -> None:
        before = time.perf_counter()
        self._placer.job_changed(known, self.now)
        self.event_s += time.perf_counter() - before

    def _plan(self) -> int:
        self.now += TICK_S
        before = time.perf_counter()
        made = self._placer.plan(self.now)
        spent_s = time.perf_counter() - before
        self.plan_s += spent_s
        places = 0
        for one in made:
            if isinstance(one, decision.Place):
                places += 1
                self._start(one)
            elif isinstance(one, decision.Stop):
                self._stop(one.job_id)
        self.placed += places
        self.worst_s = max(self.worst_s, spent_s / max(1, places))
        return places

    def _start(self, one: decision.Place) -> None:
        known = self._jobs[one.job_id]
        tasks = tuple(
            job.TaskPlacement(f"{one.job_id}-{n}", worker)
            for n, worker in enumerate(one.workers)
        )
        known = msgspec.structs.replace(
            known,
            state=job.JobState.RUNNING,
            epoch=known.epoch + 1,
            allocation=job.Allocation(known.epoch + 1, tasks, one.guarantee),
        )
        self._jobs[one.job_id] = known
        self._running.append(one.job_id)
        self._tasks += len(tasks)
        self._change(known)

    def _stop(self, job_id: str) -> None:
        known = self._jobs[job_id]
        self._running.remove(job_id)
        self._tasks -= known.spec.shape.tasks
        known = msgspec.structs.replace(
            known, state=job.JobState.QUEUED, allocation=None
        )
        self._jobs[job_id] = known
        self._change(known)


def timings(seed: int, sizes: tuple[int, ...] = SIZES) -> Iterator[Timing]:
    """Yield the cost of placements at several sizes."""
    for size in sizes:
        run = Churn(size, seed)
        run.fill()
        run.churn(ROUNDS)
        yield Timing(
            size,
            run.tasks,
            run.placed,
            run.plan_s / max(1, run.placed) * 1e6,
            run.event_s / max(1, run.placed) * 1e6,
            run.worst_s * 1e6,
        )


def slope(found: list[Timing]) -> float:
    """Return the exponent of the cost in the number of workers, by least squares."""
    workers = np.log([one.workers for one in found])
    cost = np.log([one.plan_us for one in found])
    return float(np.polyfit(workers, cost, 1)[0])
