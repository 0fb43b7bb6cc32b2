"""Generate workflows: urgent gangs, large gangs with slack, and many small tasks."""

import random

import msgspec

from marjoramusher.workflows import catalog, workflow

WORKERS = 24
WORKERS_PER_RACK = 8
CAPACITY = workflow.Resources(64_000, 256_000, 8)
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
DEMAND_PERIOD_S = 15.0
DEMAND_AMPLITUDE = 0.55


class WorkloadClass(msgspec.Struct, frozen=True):
    """Describe a class of workflows.

    Parameters
    ----------
    submissions_per_s : float
        Mean rate of submission.
    mean_tasks : float
        Mean number of tasks.
    max_estimate_error : float
        Largest relative error of declared run times.
    timely_value : float
        Value of a workflow that completes within its objective.
    late_value : float
        Value of a workflow that completes within three times its objective.
    """

    queue: catalog.Queue
    submissions_per_s: float
    mean_tasks: float
    cores_milli: int
    memory_mb: int
    accelerators: tuple[int, ...]
    work_s: float
    max_estimate_error: float
    timely_value: float
    late_value: float
    gang: bool
    checkpointing_share: float
    failing_share: float
    cancelled_share: float


WORKLOAD_CLASSES = (
    WorkloadClass(
        catalog.Queue("urgent", "h", "/u/", "s", 0, 3, 1.5, 600, 3000),
        1.05,
        3.4,
        7_500,
        22_000,
        (1, 2, 4, 8, 8),
        2.1,
        0.5,
        4.0,
        0.8,
        True,
        0.0,
        0.0,
        0.0,
    ),
    WorkloadClass(
        catalog.Queue("gangs", "h", "/g/", "s", 1, 4, 3.0, 1500, 3000),
        0.22,
        5.0,
        26_000,
        75_000,
        (1, 2, 4, 8, 8),
        9.4,
        0.2,
        3.0,
        0.9,
        True,
        0.45,
        0.03,
        0.05,
    ),
    WorkloadClass(
        catalog.Queue("small", "h", "/s/", "s", 2, 3, 3.0, 3000, 3000),
        0.33,
        16.0,
        5_600,
        16_000,
        (1,),
        5.2,
        0.5,
        1.0,
        0.3,
        False,
        0.45,
        0.01,
        0.15,
    ),
)
ACCOUNTS = (("a", 48), ("b", 32), ("c", 24), ("d", 16))
CATALOG = catalog.Catalog(
    1,
    tuple(workload_class.queue for workload_class in WORKLOAD_CLASSES),
    (catalog.Service("s"),),
    tuple(catalog.Account(name, (name,), share) for name, share in ACCOUNTS),
)


class Arrival(msgspec.Struct, frozen=True):
    """Hold a workflow and how its tasks behave.

    Parameters
    ----------
    at_s : float
        Time of submission.
    cancel_at_s : float or None
        Time of cancellation.
    always_fails : bool
        Whether every run fails.
    """

    at_s: float
    workload_class: WorkloadClass
    submission: workflow.Workflow
    work_s: tuple[float, ...]
    cancel_at_s: float | None
    always_fails: bool


def make_load(
    seed: int,
    duration_s: float,
    factor: float = 1.0,
    classes: tuple[WorkloadClass, ...] = WORKLOAD_CLASSES,
) -> list[Arrival]:
    """Return the arrivals of a session.

    Parameters
    ----------
    factor : float
        Multiplies all rates.
    """
    rng = random.Random(seed)
    arrivals = []
    for workload_class in classes:
        at_s = 0.0
        while True:
            at_s += rng.expovariate(
                workload_class.submissions_per_s * factor * (1 + DEMAND_AMPLITUDE)
            )
            if at_s >= duration_s:
                break
            demand = 1 + DEMAND_AMPLITUDE * _triangle_wave(at_s)
            if rng.random() < demand / (1 + DEMAND_AMPLITUDE):
                arrivals.append(_arrival(rng, workload_class, at_s, len(arrivals)))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _triangle_wave(at_s: float) -> float:
    """Return the value of a triangle wave between -1 and 1."""
    phase = (at_s / DEMAND_PERIOD_S) % 1.0
    return 4 * abs(phase - 0.5) - 1


def _arrival(
    rng: random.Random, workload_class: WorkloadClass, at_s: float, number: int
) -> Arrival:
    count = max(
        1,
        min(round(rng.lognormvariate(0.0, 0.8) * workload_class.mean_tasks * 0.73), 30),
    )
    mean_s = workload_class.work_s * rng.lognormvariate(0.0, 0.3)
    if rng.random() < STRAGGLER_SHARE:
        mean_s *= STRAGGLER_FACTOR
    estimate_factor = rng.uniform(
        1 - workload_class.max_estimate_error, 1 + workload_class.max_estimate_error
    )
    step = workflow.Step(
        count,
        workflow.Resources(
            workload_class.cores_milli,
            workload_class.memory_mb,
            rng.choice(workload_class.accelerators),
        ),
        int(1000 * mean_s * estimate_factor),
        checkpointing=rng.random() < workload_class.checkpointing_share,
        gang=workload_class.gang,
        same_rack=workload_class.gang and rng.random() < 0.6,
    )
    account = rng.choices(ACCOUNTS, [share for _, share in ACCOUNTS])[0][0]
    name = f"{workload_class.queue.name}-{number}"
    is_cancelled = rng.random() < workload_class.cancelled_share
    return Arrival(
        at_s,
        workload_class,
        workflow.Workflow(name, workload_class.queue.name, account, name, (step,)),
        tuple(
            mean_s if workload_class.gang else mean_s * rng.uniform(0.8, 1.2)
            for _ in range(count)
        ),
        at_s + rng.uniform(0.5, 10.0) if is_cancelled else None,
        rng.random() < workload_class.failing_share,
    )
