"""Measure how the time of a placement decision grows with the number of workers."""

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
QUEUED_JOBS = 100
PLAN_INTERVAL_S = 0.05


class Timing(msgspec.Struct):
    """Hold the cost per placement with a given number of workers."""

    workers: int
    tasks: int
    placements: int
    plan_us: float
    event_us: float
    worst_us: float


class ChurnSimulation:
    """Keep a failure domain full while jobs complete and new ones are submitted."""

    def __init__(self, workers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._placer: placer.Placer = gang.make_placer(random.Random(seed), load.DOMAIN)
        self._accounts = [f"account{n:03}" for n in range(max(4, workers // 24))]
        self._jobs: dict[str, job.Job] = {}
        self._running: list[str] = []
        self._sequence = 0
        self._tasks = 0
        self._workers = workers
        self.now = 0.0
        self.plan_s = 0.0
        self.event_s = 0.0
        self.worst_s = 0.0
        self.placements = 0
        self._placer.configure(self._configuration(), 0.0)
        for worker in load.make_workers(workers):
            self._placer.worker_up(worker, 0.0)

    @property
    def tasks(self) -> int:
        """Return the number of running tasks."""
        return self._tasks

    def fill(self) -> None:
        """Submit and place jobs until the domain is full and jobs are queued."""
        target_tasks = int(self._workers * TASKS_PER_WORKER)
        while (
            self._tasks < target_tasks
            or len(self._jobs) < len(self._running) + QUEUED_JOBS
        ):
            for _ in range(16):
                self.submit()
            self._plan()
            self.now += 5.0

    def churn(self, rounds: int) -> None:
        """Complete one job and submit another in each round, and time the planning."""
        self.plan_s = self.event_s = self.worst_s = 0.0
        self.placements = 0
        for _ in range(rounds):
            self._complete_random_job()
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
        """Submit a job of random shape and client account."""
        accelerators = self._rng.choices((1, 2, 4, 8), (84, 12, 3, 1))[0]
        tasks = self._rng.choices((1, 4, 16, 64, 256), (60, 25, 10, 4, 1))[0]
        adjacency = resource.Adjacency.NONE
        if tasks * accelerators > self._workers:
            tasks = 1
        elif tasks * accelerators <= 64 and self._rng.random() < 0.5:
            adjacency = resource.Adjacency.RACK
        per_task = resource.Resources(accelerators, 4 * accelerators, 4000)
        shape = resource.GangShape(tasks, per_task, adjacency)
        self._sequence += 1
        spec = job.JobSpec(
            self._rng.choice(self._accounts),
            "",
            shape,
            self._rng.choice((resource.JobClass.NORMAL, resource.JobClass.BEST_EFFORT)),
            run_s=self._rng.uniform(600, 20_000),
        )
        queued_job = job.Job(
            f"job-{self._sequence}", spec, job.JobState.QUEUED, self.now
        )
        self._jobs[queued_job.job_id] = queued_job
        self._update_job(queued_job)

    def _complete_random_job(self) -> None:
        if not self._running:
            return
        index = self._rng.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        current = self._jobs.pop(self._running.pop())
        self._tasks -= current.spec.shape.tasks
        self._update_job(msgspec.structs.replace(current, state=job.JobState.DONE))

    def _update_job(self, current: job.Job) -> None:
        before = time.perf_counter()
        self._placer.job_changed(current, self.now)
        self.event_s += time.perf_counter() - before

    def _plan(self) -> int:
        self.now += PLAN_INTERVAL_S
        before = time.perf_counter()
        decisions = self._placer.plan(self.now)
        spent_s = time.perf_counter() - before
        self.plan_s += spent_s
        placed_count = 0
        for item in decisions:
            if isinstance(item, decision.Place):
                placed_count += 1
                self._start(item)
            elif isinstance(item, decision.Stop):
                self._stop(item.job_id)
        self.placements += placed_count
        self.worst_s = max(self.worst_s, spent_s / max(1, placed_count))
        return placed_count

    def _start(self, placement: decision.Place) -> None:
        current = self._jobs[placement.job_id]
        tasks = tuple(
            job.TaskPlacement(f"{placement.job_id}-{n}", worker)
            for n, worker in enumerate(placement.workers)
        )
        current = msgspec.structs.replace(
            current,
            state=job.JobState.RUNNING,
            epoch=current.epoch + 1,
            allocation=job.Allocation(current.epoch + 1, tasks, placement.guarantee),
        )
        self._jobs[placement.job_id] = current
        self._running.append(placement.job_id)
        self._tasks += len(tasks)
        self._update_job(current)

    def _stop(self, job_id: str) -> None:
        current = self._jobs[job_id]
        self._running.remove(job_id)
        self._tasks -= current.spec.shape.tasks
        current = msgspec.structs.replace(
            current, state=job.JobState.QUEUED, allocation=None
        )
        self._jobs[job_id] = current
        self._update_job(current)


def timings(seed: int, sizes: tuple[int, ...] = SIZES) -> Iterator[Timing]:
    """Yield the cost per placement for each number of workers."""
    for size in sizes:
        simulation = ChurnSimulation(size, seed)
        simulation.fill()
        simulation.churn(ROUNDS)
        yield Timing(
            size,
            simulation.tasks,
            simulation.placements,
            simulation.plan_s / max(1, simulation.placements) * 1e6,
            simulation.event_s / max(1, simulation.placements) * 1e6,
            simulation.worst_s * 1e6,
        )


def slope(measured: list[Timing]) -> float:
    """Return the exponent of a power law of cost over workers, by least squares."""
    workers = np.log([timing.workers for timing in measured])
    cost = np.log([timing.plan_us for timing in measured])
    return float(np.polyfit(workers, cost, 1)[0])
