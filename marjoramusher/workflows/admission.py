"""Rejection of workflows that can't complete while they have a value."""

import math
import zlib
from collections.abc import Iterable

import msgspec

from . import catalog, delay_cost, machine, objective, resources, workflow

# Below this share in use, a service counts as having idle capacity.
FULL_SHARE = 0.9
# Share of the backlog that is counted. Estimates are off by up to 90 percent for one
# workflow, but much less for the sum of many, and a service never uses all of its
# capacity, so a workflow that exceeds its time by this measure clearly does.
COUNTED_SHARE = 0.8
# The backlog is summed anew after this time; it changes by a few workflows meanwhile.
MAX_AGE_MS = 250.0
MAX_RETRY_AFTER_S = 60
MAX_JITTER = 0.25  # of the time to return, so that callers do not return together


class Rejection(msgspec.Struct, frozen=True):
    """Why a workflow is rejected.

    Parameters
    ----------
    ahead_s : float
        Time that the service needs for the work ahead of it.
    path_s : float
        Time that the workflow needs once it starts.
    value_s : float
        Time after its submission at which its value ends.
    retry_after_s : int
        When it may be accepted.
    """

    ahead_s: float
    path_s: float
    value_s: float
    retry_after_s: int


class _Backlog(msgspec.Struct, frozen=True):
    """Work that is left in one service, in seconds of its whole capacity.

    Parameters
    ----------
    free : list of Resources
        Free resources of each worker that may be used.
    capacity : Resources
        Of all workers that may be used.
    lasting_share : float
        Share that long-running steps take.
    works_s : dict
        Work of each active workflow, by priority and account.
    """

    at_ms: float
    free: list[workflow.Resources]
    capacity: workflow.Resources
    used_share: float
    lasting_share: float
    works_s: dict[tuple[int, str], list[float]]


class Admission:
    """Decide whether submissions are accepted, from the replicated state.

    It keeps nothing but sums of the state, so that a new leader knows as much.
    """

    __slots__ = ("_backlogs", "_state")

    def __init__(self, state: machine.WorkflowMachine) -> None:
        self._state = state
        self._backlogs: dict[str, _Backlog] = {}

    def rejection(
        self, submitted: workflow.Workflow, queue: catalog.Queue, now_ms: float
    ) -> Rejection | None:
        """Return why a workflow is rejected, ``None`` if it is accepted.

        Only workflows that run once and come to an end are rejected, and only while
        the service is full and has no room for them.
        """
        if (
            submitted.workflow_id in self._state.entries
            or submitted.repetitions
            or any(step.long_running for step in submitted.steps)
            or self._is_guaranteed(submitted, queue)
        ):
            return None
        current = self._backlog(queue.service, now_ms)
        if current.used_share < FULL_SHARE or _has_room(submitted, current.free):
            return None
        usable_share = 1.0 - current.lasting_share
        if usable_share <= 0.0:
            return None
        own_s = _work_s(self._state, submitted, queue, current.capacity)
        ahead_s = COUNTED_SHARE * _ahead_s(submitted, queue, own_s, current.works_s)
        ahead_s /= usable_share
        path_s = objective.critical_path_ms(submitted, queue) / 1000
        value_s = (
            objective.LATE_FACTOR * objective.objective_ms(submitted, queue) / 1000
        )
        excess_s = ahead_s + path_s - value_s
        if excess_s <= 0.0:
            return None
        return Rejection(
            ahead_s, path_s, value_s, _retry_after_s(excess_s, submitted.workflow_id)
        )

    def _is_guaranteed(
        self, submitted: workflow.Workflow, queue: catalog.Queue
    ) -> bool:
        """Tell whether a workflow is urgent and within the guarantee of its account."""
        account = self._state.index.account(submitted.account)
        if queue.priority or account is None:
            return False
        active = (
            entry.workflow
            for entry in self._state.active.values()
            if entry.workflow.account == submitted.account and not entry.queue.priority
        )
        claimed = _accelerators(submitted) + sum(map(_accelerators, active))
        return claimed <= account.guaranteed_accelerators

    def _backlog(self, service: str, now_ms: float) -> _Backlog:
        known = self._backlogs.get(service)
        if known is None or not 0.0 <= now_ms - known.at_ms < MAX_AGE_MS:
            known = self._backlogs[service] = _measure(self._state, service, now_ms)
        return known


def _measure(state: machine.WorkflowMachine, service: str, now_ms: float) -> _Backlog:
    """Return the backlog of a service; the work only if the service is full."""
    free: list[workflow.Resources] = []
    capacity = used = lasting = resources.NOTHING
    for registered in state.workers.values():
        worker = registered.worker
        if worker.service != service or worker.draining or state.is_evacuated(worker):
            continue
        taken = resources.NOTHING
        for key in state.placements_on(worker.worker_id):
            step = state.entries[key.workflow_id].workflow.steps[key.step]
            needs = resources.reserved(step)
            taken = resources.combined(taken, needs)
            if step.long_running:
                lasting = resources.combined(lasting, needs)
        capacity = resources.combined(capacity, worker.capacity)
        used = resources.combined(used, taken)
        free.append(resources.combined(worker.capacity, resources.negated(taken)))
    used_share = resources.dominant_share(used, capacity) if free else 0.0
    works_s: dict[tuple[int, str], list[float]] = {}
    if used_share >= FULL_SHARE:
        for entry in state.active.values():
            if entry.queue.service == service:
                key = entry.queue.priority, entry.workflow.account
                left_s = _left_s(state, entry, capacity, now_ms)
                works_s.setdefault(key, []).append(left_s)
    lasting_share = resources.dominant_share(lasting, capacity)
    return _Backlog(now_ms, free, capacity, used_share, lasting_share, works_s)


def _left_s(
    state: machine.WorkflowMachine,
    entry: machine.Entry,
    capacity: workflow.Resources,
    now_ms: float,
) -> float:
    """Return the work left of an active workflow, 0 if it has no value any more.

    Of tasks in progress, half is left on average. Occurrences that are not due yet, and
    long-running steps, are no part of it.
    """
    left_s = 0.0
    for occurrence, steps in entry.occurrences.items():
        if occurrence in entry.finished_occurrences:
            continue
        if entry.workflow.due_ms(occurrence) > now_ms:
            break  # the following occurrences are due later
        if now_ms > delay_cost.timing(entry, occurrence).value_end_ms:
            continue
        for step, tasks in zip(entry.workflow.steps, steps, strict=True):
            if not step.long_running:
                count = sum(
                    0.5 if task.placement is not None else 1.0
                    for task in tasks
                    if not task.done
                )
                left_s += count * _task_s(
                    state, entry.workflow, entry.queue, step, capacity
                )
    return left_s


def _task_s(
    state: machine.WorkflowMachine,
    submitted: workflow.Workflow,
    queue: catalog.Queue,
    step: workflow.Step,
    capacity: workflow.Resources,
) -> float:
    share = resources.dominant_share(resources.reserved(step), capacity)
    run_ms = delay_cost.expected_run_ms(state, queue, submitted.account, step)
    return share * run_ms / 1000


def _work_s(
    state: machine.WorkflowMachine,
    submitted: workflow.Workflow,
    queue: catalog.Queue,
    capacity: workflow.Resources,
) -> float:
    return sum(
        step.count * _task_s(state, submitted, queue, step, capacity)
        for step in submitted.steps
    )


def _ahead_s(
    submitted: workflow.Workflow,
    queue: catalog.Queue,
    own_s: float,
    works_s: dict[tuple[int, str], list[float]],
) -> float:
    """Return the work that gets room before a workflow.

    More urgent work comes first. Among workflows of one priority, those that give most
    for the work that they need come first, and each size gets room, so of each no more
    counts than the workflow itself needs. Accounts share alike, so of another account
    no more counts than its own account has with this workflow.
    """

    def competing_s(left_s: list[float]) -> float:
        return sum(min(time_s, own_s) for time_s in left_s)

    own_account = (queue.priority, submitted.account)
    own_total_s = competing_s(works_s.get(own_account, []))
    ahead_s = own_total_s
    for (priority, account), left_s in works_s.items():
        if priority < queue.priority:
            ahead_s += sum(left_s)
        elif priority == queue.priority and account != submitted.account:
            ahead_s += min(competing_s(left_s), own_total_s + own_s)
    return ahead_s


def _has_room(submitted: workflow.Workflow, free: Iterable[workflow.Resources]) -> bool:
    """Tell whether a step that waits for no other could start now."""
    free = list(free)
    for step in submitted.steps:
        if step.after:
            continue
        needs = resources.reserved(step)
        missing = step.count if step.gang else 1
        for available in free:
            missing -= resources.max_tasks(needs, _positive(available))
            if missing <= 0:
                return True
    return False


def _positive(available: workflow.Resources) -> workflow.Resources:
    """Return free resources; an overcommitted worker has negative ones."""
    return workflow.Resources(
        max(available.cores_milli, 0),
        max(available.memory_mb, 0),
        max(available.accelerators, 0),
    )


def _retry_after_s(excess_s: float, workflow_id: str) -> int:
    """Return when enough of the backlog is done, jittered by the id of a workflow."""
    jitter = MAX_JITTER * zlib.crc32(workflow_id.encode()) / 2**32
    jittered_s = excess_s * (1 + jitter)
    return max(1, min(math.ceil(jittered_s), MAX_RETRY_AFTER_S))


def _accelerators(submitted: workflow.Workflow) -> int:
    return sum(step.count * step.needs.accelerators for step in submitted.steps)
