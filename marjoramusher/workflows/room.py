"""Workers with room for the tasks of a step."""

from collections.abc import Iterable, Iterator, Sequence

from . import backlog, resources, workflow


class WorkerSet:
    """Workers of a service that meet the label of a step, also by rack.

    Parameters
    ----------
    is_shared : bool
        Whether several steps of a plan use the set.
    """

    __slots__ = ("_capacity_counts", "_rack_sizes", "all", "by_rack", "candidates")

    def __init__(
        self, candidates: Iterable[resources.Candidate], *, is_shared: bool
    ) -> None:
        self.candidates = list(candidates)
        racks: dict[str, list[resources.Candidate]] = {}
        # Number of workers of each capacity, by rack. There are few capacities.
        self._capacity_counts: dict[str, dict[workflow.Resources, int]] = {}
        self._rack_sizes: dict[tuple[workflow.Resources, int], dict[str, int]] = {}
        for candidate in self.candidates:
            worker = candidate.worker
            racks.setdefault(worker.rack, []).append(candidate)
            counts = self._capacity_counts.setdefault(worker.rack, {})
            counts[worker.capacity] = counts.get(worker.capacity, 0) + 1
        self.by_rack = {
            rack: resources.Scope(members, is_shared=is_shared)
            for rack, members in racks.items()
        }
        self.all = resources.Scope(
            self.candidates, is_shared=is_shared, parts=tuple(self.by_rack.values())
        )

    def rack_sizes(self, step: workflow.Step) -> dict[str, int]:
        """Return how many tasks of a step each rack would hold if it were empty."""
        key = (resources.reserved(step), step.max_per_worker)
        if key not in self._rack_sizes:
            self._rack_sizes[key] = {
                rack: sum(
                    count * size_of(step, capacity)
                    for capacity, count in counts.items()
                )
                for rack, counts in self._capacity_counts.items()
            }
        return self._rack_sizes[key]


def size(
    step: workflow.Step,
    candidates: Iterable[resources.Candidate],
    *,
    is_free: bool = False,
) -> int:
    """Return how many tasks of a step some workers would hold if they were empty.

    Parameters
    ----------
    is_free : bool
        Whether to return how many fit into their free resources instead.
    """
    return sum(
        size_of(step, item.free if is_free else item.worker.capacity)
        for item in candidates
    )


def can_hold(step: workflow.Step, candidates: Sequence[resources.Candidate]) -> bool:
    """Tell whether some workers could run a step if they were empty."""
    if not step.gang:
        return size(step, candidates) > 0
    if step.same_rack:
        workers = WorkerSet(candidates, is_shared=False)
        return max(workers.rack_sizes(step).values(), default=0) >= step.count
    return size(step, candidates) >= step.count


def size_of(step: workflow.Step, available: workflow.Resources) -> int:
    """Return how many tasks of a step fit into resources of one worker."""
    size = resources.max_tasks(resources.reserved(step), available)
    return min(size, step.max_per_worker) if step.max_per_worker else size


def free_accelerators(scope: resources.Scope) -> int:
    """Return the free accelerators of a scope, by which scopes are ranked."""
    return scope.free_accelerators


def may_fit_gang(pending: backlog.PendingStep, scope: resources.Scope) -> bool:
    """Tell whether it is worth a search whether all members of a gang fit.

    A search for suspects spares workers even if it finds no place.
    """
    needed = len(pending.task_indexes) * pending.step.needs.accelerators
    return pending.has_suspects or scope.free_accelerators >= needed


def idle(candidates: list[resources.Candidate]) -> list[resources.Candidate]:
    """Return the workers without tasks."""
    return [candidate for candidate in candidates if not candidate.task_count]


def has_room(
    pending: backlog.PendingStep,
    candidate: resources.Candidate,
    *,
    opened: bool = False,
) -> bool:
    """Tell whether a worker has room for another task of a step.

    Silent workers have no room for members of gangs.

    Parameters
    ----------
    opened : bool
        Whether a worker that is closed to other tasks has room, too.
    """
    step = pending.step
    if step.gang and candidate.is_silent:
        return False
    if candidate.is_closed and not opened:
        return False
    return candidate.has_free(resources.reserved(step)) and candidate.has_task_slot(
        pending.key, step.max_per_worker
    )


def with_room(
    pending: backlog.PendingStep, candidates: list[resources.Candidate]
) -> list[resources.Candidate]:
    """Return the workers with room for a task of a step.

    A task takes several times as long away from its data, so it waits for free
    resources there as long as the usable workers of the rack could hold it, or all
    members of its gang.
    """
    step = pending.step
    if step.rack:
        near = [item for item in candidates if item.worker.rack == step.rack]
        if size(step, near) >= (step.count if step.gang else 1):
            candidates = near
    return [candidate for candidate in candidates if has_room(pending, candidate)]


def without_suspects(scopes: list[resources.Scope]) -> Iterator[resources.Scope]:
    """Yield scopes without their suspect workers, nothing if no worker is suspect."""
    if any(item.is_suspect for scope in scopes for item in scope.candidates):
        for scope in scopes:
            yield resources.Scope(
                item for item in scope.candidates if not item.is_suspect
            )
