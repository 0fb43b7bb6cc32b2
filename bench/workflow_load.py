"""Loads of workflows: urgent gangs, large gangs with slack, and many small tasks."""

import random

import msgspec

from marjoramusher.workflows import catalog, workflow

WORKERS = 24
WORKERS_PER_RACK = 8
CAPACITY = workflow.Resources(64_000, 256_000, 8)
TAIL_SHARE = 0.03  # of the tasks take several times as long
TAIL_FACTOR = 7.0
PERIOD_S = 15.0  # of the swing of demand
SWING = 0.55


class Kind(msgspec.Struct, frozen=True):
    """A kind of workflow.

    Parameters
    ----------
    per_s : float
        Mean rate of submissions.
    width : float
        Mean number of tasks.
    estimate_off : float
        Relative error of declared run times at most.
    worth : float
        What one that is complete in time earns.
    late : float
        What one earns that is complete before three times its objective.
    """

    queue: catalog.Queue
    per_s: float
    width: float
    cores_milli: int
    memory_mb: int
    accelerators: tuple[int, ...]
    work_s: float
    estimate_off: float
    worth: float
    late: float
    gang: bool
    checkpointing_share: float
    failing_share: float
    cancelled_share: float


KINDS = (
    Kind(
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
    Kind(
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
    Kind(
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
    tuple(kind.queue for kind in KINDS),
    (catalog.Service("s"),),
    tuple(catalog.Account(name, (name,), share) for name, share in ACCOUNTS),
)


class Arrival(msgspec.Struct, frozen=True):
    """A workflow, and how its tasks will turn out.

    Parameters
    ----------
    at_s : float
        When it is submitted.
    cancel_s : float or None
        When it is cancelled.
    fails : bool
        Whether it fails each time.
    """

    at_s: float
    kind: Kind
    wanted: workflow.Workflow
    work_s: tuple[float, ...]
    cancel_s: float | None
    fails: bool


def make_load(seed: int, length_s: float, factor: float = 1.0) -> list[Arrival]:
    """Return the arrivals of a session.

    Parameters
    ----------
    factor : float
        Multiplies all rates.
    """
    rng = random.Random(seed)
    arrivals = []
    for kind in KINDS:
        at_s = 0.0
        while True:
            at_s += rng.expovariate(kind.per_s * factor * (1 + SWING))
            if at_s >= length_s:
                break
            swing = 1 + SWING * _wave(at_s)
            if rng.random() < swing / (1 + SWING):
                arrivals.append(_arrival(rng, kind, at_s, len(arrivals)))
    return sorted(arrivals, key=lambda each: each.at_s)


def _wave(at_s: float) -> float:
    """Return a triangle wave between -1 and 1."""
    phase = (at_s / PERIOD_S) % 1.0
    return 4 * abs(phase - 0.5) - 1


def _arrival(rng: random.Random, kind: Kind, at_s: float, number: int) -> Arrival:
    count = max(1, min(round(rng.lognormvariate(0.0, 0.8) * kind.width * 0.73), 30))
    mean_s = kind.work_s * rng.lognormvariate(0.0, 0.3)
    if rng.random() < TAIL_SHARE:
        mean_s *= TAIL_FACTOR
    off = rng.uniform(1 - kind.estimate_off, 1 + kind.estimate_off)
    step = workflow.Step(
        count,
        workflow.Resources(
            kind.cores_milli, kind.memory_mb, rng.choice(kind.accelerators)
        ),
        int(1000 * mean_s * off),
        checkpointing=rng.random() < kind.checkpointing_share,
        gang=kind.gang,
        same_rack=kind.gang and rng.random() < 0.6,
    )
    account = rng.choices(ACCOUNTS, [share for _, share in ACCOUNTS])[0][0]
    name = f"{kind.queue.name}-{number}"
    cancelled = rng.random() < kind.cancelled_share
    return Arrival(
        at_s,
        kind,
        workflow.Workflow(name, kind.queue.name, account, name, (step,)),
        tuple(
            mean_s if kind.gang else mean_s * rng.uniform(0.8, 1.2)
            for _ in range(count)
        ),
        at_s + rng.uniform(0.5, 10.0) if cancelled else None,
        rng.random() < kind.failing_share,
    )
