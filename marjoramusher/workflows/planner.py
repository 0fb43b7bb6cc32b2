"""Which tasks start where, and which ones give way."""

import enum
from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

import msgspec

from . import (
    backlog,
    catalog,
    condition,
    machine,
    permit,
    preemption,
    resources,
    workflow,
)

# Gangs for which room is kept while others end. With more of them at once too much
# room would stand idle.
MAX_RESERVATIONS = 2
# Work that has less time than this multiple of its declared run time takes room that
# is kept for urgent work, too.
PRESSING = 2.0


class WaitReason(enum.Enum):
    """Why tasks that are ready were not placed."""

    NO_CAPACITY = "no room"
    HEADROOM = "room is kept for urgent work"
    NO_CAPACITY_NEAR_DATA = "no room near the data"
    PREEMPTING = "others are being stopped for it"
    NO_USABLE_WORKER = "no usable worker of the service fits"
    NO_PERMIT = "no permit for a worker with room"


class Plan(msgspec.Struct, frozen=True):
    """Placements to commit, and runs to stop for urgent work.

    Parameters
    ----------
    preempted : tuple of (Placement, str)
        Runs to stop, with the id of the workflow that needs the room.
    waiting : dict
        Why tasks of (workflow id, occurrence, step) were not placed.
    questions : tuple of Question
        What to ask the policy service for tasks that wait, the most urgent first.
    """

    placements: tuple[workflow.Placement, ...] = ()
    preemptions: tuple[tuple[workflow.Placement, str], ...] = ()
    wait_reasons: dict[resources.StepKey, WaitReason] = {}
    queries: tuple[permit.PolicyQuery, ...] = ()


class PlanInput(msgspec.Struct, frozen=True):
    """What a plan is made from.

    Parameters
    ----------
    conditions : mapping of str to Condition
        Workers without one are not used.
    now_ms : float
        Unix milliseconds.
    early_ms : float
        How much before its due time an occurrence may start.
    headroom : int
        Accelerators of each service that only urgent work may take.
    permits : Permits
        Permits for steps of queues that have a policy.
    now_s : float
        The monotonic clock, by which permits run out.
    """

    state: machine.WorkflowMachine
    conditions: Mapping[str, condition.WorkerCondition]
    now_ms: float
    early_ms: float = 0.0
    headroom: int = 0
    permits: permit.Permits = msgspec.field(default_factory=permit.Permits)
    now_s: float = 0.0


class Planner(Protocol):
    """Decide what starts where; see `plan`."""

    def __call__(self, situation: PlanInput) -> Plan:
        """Place what waits."""


def plan(situation: PlanInput) -> Plan:
    """Place what waits, the most urgent first."""
    planner = _Planner(situation)
    now_ms = situation.now_ms
    waiting = sorted(
        backlog.pending_steps(situation.state, now_ms + situation.early_ms),
        key=lambda each: _rank(each, now_ms),
    )
    for each in waiting:
        planner.place(each)
    return Plan(
        tuple(planner.placements),
        tuple(planner.preemptions),
        planner.wait_reasons,
        tuple(planner.queries),
    )


def _rank(wanted: backlog.PendingStep, now_ms: float) -> tuple[int, bool, float]:
    """Order by priority; what is hopelessly late comes last in its priority."""
    late = wanted.deadline_ms < now_ms
    return wanted.entry.queue.priority, late, wanted.deadline_ms


class _Planner:
    """Free room, and what the plan has decided so far."""

    def __init__(self, situation: PlanInput) -> None:
        state, conditions = situation.state, situation.conditions
        self._state = state
        self._headroom = situation.headroom
        self._now_ms = situation.now_ms
        self._permits = situation.permits
        self._now_s = situation.now_s
        self._reservations = 0
        self._rack_free: dict[str, int] = {}
        self._rooms: dict[str, list[resources.Candidate]] = {}
        self.placements: list[workflow.Placement] = []
        self.preemptions: list[tuple[workflow.Placement, str]] = []
        self.wait_reasons: dict[resources.StepKey, WaitReason] = {}
        self.queries: list[permit.PolicyQuery] = []
        by_worker: dict[str, resources.Candidate] = {}
        for known in state.workers.values():
            worker = known.worker
            believed = conditions.get(worker.worker_id)
            if believed is None or not believed.is_usable or worker.draining:
                continue
            made = self._occupied(worker, believed)
            made.accepts_fill = believed.accepts_fill
            self._rooms.setdefault(worker.service, []).append(made)
            by_worker[worker.worker_id] = made
            free = max(made.accelerators, 0)
            self._rack_free[worker.rack] = self._rack_free.get(worker.rack, 0) + free
        self._preemption = preemption.Preemption(state, conditions, by_worker)

    def _occupied(
        self, worker: workflow.Worker, believed: condition.WorkerCondition
    ) -> resources.Candidate:
        """Return the room of a worker without what its runs take."""
        made = resources.Candidate(worker, believed.is_suspect)
        for key, placement in self._state.placements_on(worker.worker_id).items():
            entry = self._state.entries[key.workflow_id]
            step = entry.workflow.steps[key.step]
            needs = resources.reserved(step)
            made.allocate(needs)
            made.add_tasks((key.workflow_id, key.occurrence, key.step), 1)
            made.fill_count += step.fill
            made.serving_count += step.target_ms > 0
            if placement in believed.stopping or not entry.is_active:
                made.expect_freed(needs)
            else:
                made.victims.append(placement)
        return made

    def place(self, wanted: backlog.PendingStep) -> None:
        """Place all or some tasks of a unit, or have others stop for it."""
        if wanted.step.gang:
            self._place_gang(wanted)
        else:
            self._place_tasks(wanted)
        policy = wanted.entry.queue.policy
        if policy is not None and self.wait_reasons.get(wanted.key) not in (
            None,
            WaitReason.HEADROOM,
        ):
            self._ask(wanted, policy)

    def _place_tasks(self, wanted: backlog.PendingStep) -> None:
        rooms = list(self._eligible(wanted))
        for index in wanted.task_indexes:
            if not self._is_pressing(wanted) and not self._leaves_headroom(wanted, 1):
                self.wait_reasons[wanted.key] = WaitReason.HEADROOM
                return
            found = self._best(wanted, rooms)
            if found is not None:
                self._bind(wanted, index, found)
                continue
            self.wait_reasons[wanted.key] = _reason(wanted, rooms)
            if wanted.entry.queue.priority:
                return
            self._preempt(wanted, 1, [rooms])

    def _place_gang(self, wanted: backlog.PendingStep) -> None:
        scopes = self._scopes(wanted)
        count = len(wanted.task_indexes)
        if not self._is_pressing(wanted) and not self._leaves_headroom(wanted, count):
            self.wait_reasons[wanted.key] = WaitReason.HEADROOM
            self._reserve(wanted, scopes)
            return
        for rooms in scopes:
            chosen = self._fit_gang(wanted, rooms)
            if chosen:
                for index, there in zip(wanted.task_indexes, chosen, strict=True):
                    self._bind(wanted, index, there)
                return
        self.wait_reasons[wanted.key] = _reason(wanted, list(self._eligible(wanted)))
        if wanted.entry.queue.priority:
            self._reserve(wanted, scopes)
        else:
            self._preempt(wanted, count, scopes)

    def _leaves_headroom(self, wanted: backlog.PendingStep, count: int) -> bool:
        """Tell whether some tasks leave the room that is kept for urgent work.

        Long-running tasks have to be at work all the time.
        """
        if wanted.entry.queue.priority == 0 or not self._headroom:
            return True
        if wanted.step.long_running:
            return True
        rooms = self._rooms.get(wanted.entry.queue.service, [])
        taken = count * wanted.step.needs.accelerators
        return resources.free_accelerators(rooms) - taken >= self._headroom

    def _is_pressing(self, wanted: backlog.PendingStep) -> bool:
        """Tell whether a task or gang must start now to be complete in time."""
        left_ms = wanted.deadline_ms - self._now_ms
        return left_ms < PRESSING * wanted.step.estimate_ms

    def _reserve(
        self, wanted: backlog.PendingStep, scopes: list[list[resources.Candidate]]
    ) -> None:
        """Keep what less pressing work would take from a gang that waits.

        Small tasks take each accelerator that becomes free, so a gang would wait for
        ever for all of its room at once.
        """
        if self._reservations >= MAX_RESERVATIONS:
            return
        needs = resources.reserved(wanted.step)
        rooms = [
            each
            for each in max(scopes, key=resources.free_accelerators)
            if needs.fits(each.worker.capacity)
        ]
        if not rooms:
            return
        self._reservations += 1
        for _ in wanted.task_indexes:
            max(rooms, key=lambda each: (each.accelerators, each.cores_milli)).allocate(
                needs
            )

    def _preempt(
        self,
        wanted: backlog.PendingStep,
        count: int,
        scopes: list[list[resources.Candidate]],
    ) -> None:
        stopped = self._preemption.clear(wanted, count, scopes)
        if stopped is not None:
            self.wait_reasons[wanted.key] = WaitReason.PREEMPTING
            workflow_id = wanted.entry.workflow.workflow_id
            self.preemptions.extend((each, workflow_id) for each in stopped)

    def _ask(self, wanted: backlog.PendingStep, policy: catalog.Policy) -> None:
        """Ask which other workers may run a step that waits.

        A permit that has run out is asked for again only where there is room, since
        it does not last until others end.
        """
        needs = resources.reserved(wanted.step)
        urgent = wanted.entry.queue.priority == 0
        known = self._permits
        rooms = [
            each
            for each in self._suitable(wanted)
            if needs.fits(each.worker.capacity)
            and known.can_ask(wanted.key, each.worker, self._now_s)
            and (
                urgent
                or each.fits(needs)
                or not known.has_answer(wanted.key, each.worker)
            )
        ]
        if not rooms:
            return
        if wanted.step.gang or not any(
            each.fits(needs) for each in self._eligible(wanted)
        ):
            self.wait_reasons[wanted.key] = WaitReason.NO_PERMIT
        rooms.sort(key=lambda each: self._ask_rank(wanted, each))
        workers = tuple(each.worker for each in rooms[: permit.MAX_QUERIED_WORKERS])
        self.queries.append(permit.PolicyQuery(wanted.key, workers, policy))

    def _ask_rank(
        self, wanted: backlog.PendingStep, each: resources.Candidate
    ) -> tuple[bool, bool, bool, int]:
        """Ask first about workers near the data, with room, on an empty rack."""
        step = wanted.step
        away = bool(step.rack) and each.worker.rack != step.rack
        full = not each.fits(resources.reserved(step))
        return away, full, each.is_suspect, -self._rack_free[each.worker.rack]

    def _eligible(self, wanted: backlog.PendingStep) -> Iterator[resources.Candidate]:
        """Give the workers that a task may run on now."""
        policed = wanted.entry.queue.policy is not None
        for each in self._suitable(wanted):
            worker = each.worker
            if policed and not self._permits.ticket(
                wanted.key, worker.worker_id, worker.incarnation, self._now_s
            ):
                continue
            yield each

    def _suitable(self, wanted: backlog.PendingStep) -> Iterator[resources.Candidate]:
        """Give the workers that have what a task requires.

        Tasks that fill unused cores don't come to a worker on which they have to be
        slowed down for tasks that serve users.
        """
        step = wanted.step
        for each in self._rooms.get(wanted.entry.queue.service, ()):
            if step.label and step.label not in each.worker.labels:
                continue
            if step.fill and each.serving_count and not each.accepts_fill:
                continue
            yield each

    def _scopes(self, wanted: backlog.PendingStep) -> list[list[resources.Candidate]]:
        """Return the sets of workers that a gang may be spread over, fullest first.

        A gang that is slowed down on several racks waits for one rack, unless it is
        too large for any.
        """
        rooms = list(self._eligible(wanted))
        if not wanted.step.same_rack:
            return [rooms]
        racks: dict[str, list[resources.Candidate]] = {}
        for each in rooms:
            racks.setdefault(each.worker.rack, []).append(each)
        needs = resources.reserved(wanted.step)
        large = [
            rack
            for rack in racks.values()
            if sum(resources.max_tasks(needs, each.worker.capacity) for each in rack)
            >= wanted.step.count
        ]
        return sorted(large, key=resources.free_accelerators) or [rooms]

    def _fit_gang(
        self, wanted: backlog.PendingStep, rooms: list[resources.Candidate]
    ) -> list[resources.Candidate]:
        """Return a worker for each member, or none at all."""
        needs = resources.reserved(wanted.step)
        chosen: list[resources.Candidate] = []
        for _ in wanted.task_indexes:
            found = self._best(wanted, rooms)
            if found is None:
                break
            found.allocate(needs)
            found.add_tasks(wanted.key, 1)
            chosen.append(found)
        for each in chosen:
            each.deallocate(needs)
            each.add_tasks(wanted.key, -1)
        return chosen if len(chosen) == len(wanted.task_indexes) else []

    def _best(
        self, wanted: backlog.PendingStep, rooms: Iterable[resources.Candidate]
    ) -> resources.Candidate | None:
        """Return the fullest worker that a task fits on, near its data if it has any.

        Work that may be preempted fills one rack after the other, so that urgent
        gangs of one rack find room without stopping it. Away from its data a task
        takes several times as long, so it waits for room there as long as there is a
        usable worker. Tasks that fill and tasks that serve disturb each other, so they
        share a worker only where there is no other room.
        """
        step = wanted.step
        needs = resources.reserved(step)
        best: resources.Candidate | None = None
        best_rank: tuple[bool, bool, bool, int, int, int] | None = None
        urgent = wanted.entry.queue.priority == 0
        near = False
        for each in rooms:
            away = bool(step.rack) and each.worker.rack != step.rack
            near = near or (bool(step.rack) and not away)
            if not each.fits(needs):
                continue
            if not each.has_task_slot(wanted.key, step.max_per_worker):
                continue
            rack_free = 0 if urgent else self._rack_free[each.worker.rack]
            shared = resources.interferes(each, step)
            if step.fill:
                # Those that fill share the cores that are left.
                rank = (
                    away,
                    shared,
                    each.is_suspect,
                    each.fill_count,
                    -each.cores_milli,
                    0,
                )
            else:
                free = (rack_free, each.accelerators, each.cores_milli)
                rank = (away, shared, each.is_suspect, *free)
            if best_rank is None or rank < best_rank:
                best, best_rank = each, rank
        if best_rank is not None and best_rank[0] and near:
            return None
        return best

    def _bind(
        self, wanted: backlog.PendingStep, index: int, there: resources.Candidate
    ) -> None:
        there.allocate(resources.reserved(wanted.step))
        there.fill_count += wanted.step.fill
        there.serving_count += wanted.step.target_ms > 0
        there.add_tasks(wanted.key, 1)
        self._rack_free[there.worker.rack] -= wanted.step.needs.accelerators
        tasks = wanted.entry.occurrences[wanted.occurrence][wanted.step_index]
        run = tasks[index].last_run
        if wanted.step.gang:
            run = max(task.last_run for task in tasks)
        self.placements.append(
            workflow.Placement(
                wanted.task_key(index),
                run + 1,
                there.worker.worker_id,
                there.worker.incarnation,
            )
        )


def _reason(
    wanted: backlog.PendingStep, eligible: list[resources.Candidate]
) -> WaitReason:
    """Return why a task or gang has found no room."""
    needs = resources.reserved(wanted.step)
    rooms = [each for each in eligible if needs.fits(each.worker.capacity)]
    if not rooms:
        return WaitReason.NO_USABLE_WORKER
    if wanted.step.rack and any(each.fits(needs) for each in rooms):
        return WaitReason.NO_CAPACITY_NEAR_DATA
    return WaitReason.NO_CAPACITY
