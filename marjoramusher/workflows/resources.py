"""Free resources of workers during planning, and what tasks reserve of them."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from . import workflow

ACCELERATOR_CORES = 8  # cores that one accelerator counts for

NOTHING = workflow.Resources()

StepKey = tuple[str, int, int]


def step_key(task: workflow.TaskKey) -> StepKey:
    """Return workflow id, occurrence and step of a task."""
    return task.workflow_id, task.occurrence, task.step


class Pool:
    """Sums over some candidates.

    Attributes
    ----------
    free_accelerators : int
        Free accelerators, without negative ones.
    reserved_accelerators : int
        Free accelerators that were reserved for waiting gangs.
    version : int
        Rises with each change to a candidate. `Trial` sets it back with the changes.
    """

    __slots__ = (
        "_accelerators",
        "_cores_milli",
        "_reserved_cores_milli",
        "free_accelerators",
        "reserved_accelerators",
        "version",
    )

    def __init__(self) -> None:
        self.version = 0
        self._accelerators = 0
        self._cores_milli = 0
        self._reserved_cores_milli = 0
        self.free_accelerators = 0
        self.reserved_accelerators = 0

    def add(self, capacity: workflow.Resources) -> None:
        """Add the capacity of a candidate."""
        self._accelerators += capacity.accelerators
        self._cores_milli += capacity.cores_milli

    def record_reserved(self, accelerators: int, cores_milli: int) -> None:
        """Record resources that were free and are now reserved."""
        self.reserved_accelerators += accelerators
        self._reserved_cores_milli += cores_milli

    def reserved_share(self, further: workflow.Resources) -> float:
        """Return the reserved share of the scarcer resource, with further needs."""
        accelerators = self.reserved_accelerators + further.accelerators
        cores_milli = self._reserved_cores_milli + further.cores_milli
        return max(
            accelerators / max(self._accelerators, 1),
            cores_milli / max(self._cores_milli, 1),
        )


class Candidate:
    """A worker that a plan may use, with its free and soon free resources.

    Free resources can be negative while a worker is overcommitted. The attributes
    `expected_*` are the resources that stopping runs will free.

    Parameters
    ----------
    worker : Worker
        All of its capacity counts as free at first.
    is_suspect : bool
        Whether other workers are preferred.
    pool : Pool or None
        Pool that this worker is part of.
    position : int
        Position in the order in which equal workers are preferred.

    Attributes
    ----------
    crash_suspects : int
        Number of tasks there during which a worker has crashed before.
    starting_count : int
        Number of tasks there that have not run for long enough to crash it.
    is_closed : bool
        Whether it takes no further tasks, since it is spared for a single one.
    version : int
        Rises with each change. `Trial` sets it back with the changes.
    """

    __slots__ = (
        "_pool",
        "_pools",
        "accelerators",
        "accepts_fill",
        "crash_suspects",
        "cores_milli",
        "expected_accelerators",
        "expected_cores_milli",
        "expected_memory_mb",
        "fill_count",
        "is_closed",
        "is_cold",
        "is_silent",
        "is_suspect",
        "memory_mb",
        "position",
        "running",
        "serving_count",
        "starting_count",
        "task_counts",
        "version",
        "worker",
    )

    def __init__(
        self,
        worker: workflow.Worker,
        is_suspect: bool,
        pool: Pool | None = None,
        position: int = 0,
    ) -> None:
        self.worker = worker
        self.position = position
        self._pool = pool
        self._pools: list[Pool] = [] if pool is None else [pool]
        self.version = 0
        self.is_suspect = is_suspect
        self.is_silent = False
        self.is_cold = False
        self.crash_suspects = 0
        self.starting_count = 0
        self.is_closed = False
        self.cores_milli = worker.capacity.cores_milli
        self.memory_mb = worker.capacity.memory_mb
        self.accelerators = 0
        self.expected_cores_milli = 0
        self.expected_memory_mb = 0
        self.expected_accelerators = 0
        self.task_counts: dict[StepKey, int] = {}
        self.fill_count = 0
        self.serving_count = 0
        self.accepts_fill = True
        self.running: list[workflow.Placement] = []
        if pool is not None:
            pool.add(worker.capacity)
        self._add_accelerators(worker.capacity.accelerators)

    def load(
        self, reserved: workflow.Resources, task_counts: Mapping[StepKey, int]
    ) -> None:
        """Subtract what all runs on the worker reserve, and count them by step."""
        self.allocate(reserved)
        self.task_counts = dict(task_counts)

    @property
    def pools(self) -> Sequence[Pool]:
        """Return the pools that this worker is part of."""
        return self._pools

    def join(self, pool: Pool) -> None:
        """Become part of a further pool."""
        self._pools.append(pool)
        pool.free_accelerators += max(self.accelerators, 0)

    def close(self) -> None:
        """Take no further tasks."""
        self.is_closed = True
        self._record_change(0)

    def _add_accelerators(self, count: int) -> None:
        before = self.accelerators
        self.accelerators += count
        self._record_change(max(self.accelerators, 0) - max(before, 0))

    def _record_change(self, freed_accelerators: int) -> None:
        self.version += 1
        for pool in self._pools:
            pool.version += 1
            pool.free_accelerators += freed_accelerators

    def allocate(self, needs: workflow.Resources) -> None:
        """Subtract needs from the free resources."""
        self.cores_milli -= needs.cores_milli
        self.memory_mb -= needs.memory_mb
        self._add_accelerators(-needs.accelerators)

    def reserve(self, needs: workflow.Resources) -> None:
        """Subtract needs from the free resources for a gang that has to wait."""
        accelerators, cores_milli = self.accelerators, self.cores_milli
        self.allocate(needs)
        if self._pool is not None:
            self._pool.record_reserved(
                max(accelerators, 0) - max(self.accelerators, 0),
                max(cores_milli, 0) - max(self.cores_milli, 0),
            )

    def deallocate(self, needs: workflow.Resources) -> None:
        """Return needs to the free resources."""
        self.cores_milli += needs.cores_milli
        self.memory_mb += needs.memory_mb
        self._add_accelerators(needs.accelerators)

    def expect_freed(self, needs: workflow.Resources) -> None:
        """Record resources that a stopping run will free."""
        self.expected_cores_milli += needs.cores_milli
        self.expected_memory_mb += needs.memory_mb
        self.expected_accelerators += needs.accelerators
        self._record_change(0)

    def fits(self, needs: workflow.Resources) -> bool:
        """Tell whether needs fit into the free resources of a worker that is open."""
        return not self.is_closed and self.has_free(needs)

    @property
    def free(self) -> workflow.Resources:
        """Return the free resources."""
        return workflow.Resources(
            max(self.cores_milli, 0), max(self.memory_mb, 0), max(self.accelerators, 0)
        )

    def has_free(self, needs: workflow.Resources) -> bool:
        """Tell whether needs fit into the free resources."""
        return (
            needs.accelerators <= self.accelerators
            and needs.cores_milli <= self.cores_milli
            and needs.memory_mb <= self.memory_mb
        )

    @property
    def task_count(self) -> int:
        """Return the number of tasks on this worker, also of those being stopped."""
        return sum(self.task_counts.values())

    def adjust_task_count(self, step: StepKey, count: int) -> None:
        """Change the number of tasks of a step on this worker."""
        self.task_counts[step] = self.task_counts.get(step, 0) + count

    def has_task_slot(self, step: StepKey, max_per_worker: int) -> bool:
        """Tell whether another task of a step is allowed; 0 sets no limit."""
        return not max_per_worker or self.task_counts.get(step, 0) < max_per_worker

    def will_fit(self, needs: workflow.Resources) -> bool:
        """Tell whether needs fit into free and soon free resources."""
        return all(lacking <= 0 for lacking in self.lacking(needs))

    def lacking(self, needs: workflow.Resources) -> tuple[int, int, int]:
        """Return what needs exceed free and soon free resources by, negative if not.

        Returns
        -------
        tuple of int
            Thousandths of cores, megabytes of memory, and accelerators.
        """
        return (
            needs.cores_milli - self.cores_milli - self.expected_cores_milli,
            needs.memory_mb - self.memory_mb - self.expected_memory_mb,
            needs.accelerators - self.accelerators - self.expected_accelerators,
        )


class Scope:
    """Candidates among which a step may be placed, in a fixed order.

    Parameters
    ----------
    is_shared : bool
        Whether the scope serves several steps of a plan. Its sums are then kept up to
        date with each change to a candidate, which has to pay off.
    parts : sequence of Scope
        Scopes that have each candidate once between them; none if it has no parts.
    """

    __slots__ = ("_pool", "_positions", "candidates", "parts")

    def __init__(
        self,
        candidates: Iterable[Candidate],
        *,
        is_shared: bool = False,
        parts: Sequence["Scope"] = (),
    ) -> None:
        self.candidates = list(candidates)
        self.parts = parts
        self._positions: dict[str, int] = {}
        self._pool = Pool() if is_shared else None
        if self._pool is not None:
            for candidate in self.candidates:
                candidate.join(self._pool)

    @property
    def free_accelerators(self) -> int:
        """Return the free accelerators of all candidates."""
        if self._pool is None:
            return free_accelerators(self.candidates)
        return self._pool.free_accelerators

    @property
    def version(self) -> int | None:
        """Return a number that is equal as long as no candidate changes.

        ``None`` if the scope is not shared.
        """
        return None if self._pool is None else self._pool.version

    @property
    def positions(self) -> Mapping[str, int]:
        """Return the position of each candidate by worker id."""
        if not self._positions:
            self._positions = {
                candidate.worker.worker_id: position
                for position, candidate in enumerate(self.candidates)
            }
        return self._positions


class Trial:
    """Changes to candidates that are undone, after which their versions are the same.

    Whoever undoes the changes calls `end` then, so that what is known of unchanged
    candidates remains valid.
    """

    __slots__ = ("_candidates", "_pools")

    def __init__(self) -> None:
        self._candidates: dict[Candidate, int] = {}
        self._pools: dict[Pool, int] = {}

    def begin(self, candidate: Candidate) -> None:
        """Record the version of a candidate before its first change."""
        if candidate not in self._candidates:
            self._candidates[candidate] = candidate.version
            for pool in candidate.pools:
                self._pools.setdefault(pool, pool.version)

    def end(self) -> None:
        """Set the versions back, once all changes are undone."""
        for candidate, version in self._candidates.items():
            candidate.version = version
        for pool, version in self._pools.items():
            pool.version = version


def interferes(candidate: Candidate, step: workflow.Step) -> bool:
    """Tell whether a task would run next to tasks that it slows down, or vice versa."""
    return bool(
        (step.fill and candidate.serving_count)
        or (step.target_ms and candidate.fill_count)
    )


def reserved(step: workflow.Step) -> workflow.Resources:
    """Return what a task reserves on its worker; fill tasks reserve no cores."""
    if step.fill:
        return msgspec.structs.replace(step.needs, cores_milli=0)
    return step.needs


def dominant_share(needs: workflow.Resources, capacity: workflow.Resources) -> float:
    """Return the share of a capacity that needs take of the scarcer resource."""
    return max(
        needs.accelerators / max(capacity.accelerators, 1),
        needs.cores_milli / max(capacity.cores_milli, 1),
    )


def core_seconds(step: workflow.Step) -> float:
    """Return the estimated work of a step, accelerators counted as cores."""
    return step.count * step.estimate_ms / 1000 * core_equivalents(step.needs)


def core_equivalents(needs: workflow.Resources) -> float:
    """Return the number of cores, accelerators counted as `ACCELERATOR_CORES`."""
    return needs.cores_milli / 1000 + needs.accelerators * ACCELERATOR_CORES


def max_tasks(needs: workflow.Resources, capacity: workflow.Resources) -> int:
    """Return how many tasks with the given needs fit into a capacity.

    Tasks without needs are practically unlimited.
    """
    pairs = (
        (needs.cores_milli, capacity.cores_milli),
        (needs.memory_mb, capacity.memory_mb),
        (needs.accelerators, capacity.accelerators),
    )
    return min(
        (available // need for need, available in pairs if need > 0),
        default=1_000_000,
    )


def free_accelerators(candidates: Iterable[Candidate]) -> int:
    """Return the free accelerators of some workers."""
    return sum(max(candidate.accelerators, 0) for candidate in candidates)


def negated(needs: workflow.Resources) -> workflow.Resources:
    """Return needs with the opposite sign."""
    return workflow.Resources(-needs.cores_milli, -needs.memory_mb, -needs.accelerators)


def multiplied(needs: workflow.Resources, count: int) -> workflow.Resources:
    """Return the needs of several tasks."""
    return workflow.Resources(
        count * needs.cores_milli, count * needs.memory_mb, count * needs.accelerators
    )


def combined(a: workflow.Resources, b: workflow.Resources) -> workflow.Resources:
    """Return the sum of two needs."""
    return workflow.Resources(
        a.cores_milli + b.cores_milli,
        a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators,
    )
