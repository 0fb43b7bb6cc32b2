"""Placement of pending tasks on workers, and preemption for urgent ones."""

import enum
import heapq
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Protocol, TypeAlias

import msgspec

from ..core import crash
from . import (
    backlog,
    condition,
    delay_cost,
    isolation,
    machine,
    ordering,
    permit,
    preemption,
    queries,
    resources,
    retry,
    room,
    shortage,
    suspicion,
    workflow,
)

# Maximum number of gangs with reserved resources in one plan. More of them would leave
# too much capacity idle.
MAX_RESERVATIONS = 2
# Maximum share of a service that is reserved for more than one gang. A service that is
# less than half utilized while smaller work waits counts as a failure of the scheduler.
MAX_RESERVED_SHARE = 0.5
# Tasks with less time to their deadline than this multiple of their expected run time
# may use the headroom for urgent work.
PRESSING_FACTOR = 2.0
# Below this share in use, a service must not let a workflow wait that has room.
MAX_IDLE_USE = 0.5
# A task that crashes its worker does so sooner than this after its start.
STARTING_S = 0.5

# Service, label, rack of the data, whether fill tasks, needs, whether a gang, and
# whether that has to be in one rack.
_RequestKind: TypeAlias = tuple[str, str, str, bool, workflow.Resources, bool, bool]


class WaitReason(enum.Enum):
    """Why ready tasks were not placed."""

    NO_CAPACITY = "no room"
    HEADROOM = "room is kept for urgent work"
    NO_CAPACITY_NEAR_DATA = "no room near the data"
    PREEMPTING = "others are being stopped for it"
    ENDING = "others that end soon make room for it"
    NO_USABLE_WORKER = "no usable worker of the service fits"
    NO_PERMIT = "no permit for a worker with room"
    NO_ISOLATION = "no worker of its own for a task that may crash it"
    CRASHES_UNDECIDED = "workers may have crashed under it, and are not back yet"


class Plan(msgspec.Struct, frozen=True):
    """Placements to commit, and runs to stop for urgent work.

    Parameters
    ----------
    preemptions : tuple of (Placement, str)
        Runs to stop, each with the id of the workflow that needs the resources.
    wait_reasons : dict
        Why tasks of a step were not placed, by key of the step.
    queries : tuple of PolicyQuery
        Queries to the policy service for pending tasks, one a step, the most urgent
        first.
    held_back : dict
        Why steps had waited that were overdue beside room for them, by key of the step.
    awaiting : frozenset of StepKey
        Steps that wait for runs to end by themselves that they could have stopped.
    """

    placements: tuple[workflow.Placement, ...] = ()
    preemptions: tuple[tuple[workflow.Placement, str], ...] = ()
    wait_reasons: dict[resources.StepKey, WaitReason] = {}
    queries: tuple[permit.PolicyQuery, ...] = ()
    held_back: dict[resources.StepKey, WaitReason] = {}
    awaiting: frozenset[resources.StepKey] = frozenset()


class PlanInput(msgspec.Struct, frozen=True):
    """Everything that a plan depends on.

    Parameters
    ----------
    conditions : mapping of str to WorkerCondition
        Conditions by worker id; workers without one are not used.
    now_ms : float
        Unix milliseconds.
    early_ms : float
        How long before its due time an occurrence may start.
    headroom : int
        Accelerators of each service to keep free for urgent work.
    permits : Permits
        Permits for steps of queues with a policy.
    now_s : float
        Time on the monotonic clock, on which permits expire.
    overdue : collection of StepKey
        Steps that have been ready for too long without a run of their workflow.
    """

    state: machine.WorkflowMachine
    conditions: Mapping[str, condition.WorkerCondition]
    now_ms: float
    early_ms: float = 0.0
    headroom: int = 0
    permits: permit.Permits = msgspec.field(default_factory=permit.Permits)
    now_s: float = 0.0
    overdue: Collection[resources.StepKey] = ()


class Planner(Protocol):
    """Decide which tasks start on which workers; see `plan`."""

    def __call__(self, plan_input: PlanInput) -> Plan:
        """Return a plan for the pending tasks."""


def plan(plan_input: PlanInput) -> Plan:
    """Return a plan for the pending tasks, made for the most urgent ones first."""
    planner = _PlanBuilder(plan_input)
    now_ms = plan_input.now_ms
    pending_steps = ordering.ordered(
        plan_input.state,
        backlog.pending_steps(plan_input.state, now_ms + plan_input.early_ms),
        planner.candidates,
        now_ms,
        planner.is_guaranteed,
    )
    planner.has_suspects = any(pending.has_suspects for pending in pending_steps)
    for pending in pending_steps:
        planner.place(pending)
    planner.place_guaranteed(pending_steps)
    planner.place_suspects_on_idle_workers()
    planner.place_overdue(pending_steps)
    return Plan(
        tuple(planner.placements),
        tuple(planner.preemptions),
        planner.wait_reasons,
        tuple(planner.queries.values()),
        planner.held_back,
        planner.awaiting,
    )


class _PlanBuilder:
    """Free resources and the decisions of one plan so far."""

    def __init__(self, plan_input: PlanInput) -> None:
        state, conditions = plan_input.state, plan_input.conditions
        self._state = state
        self._headroom = plan_input.headroom
        self._now_ms = plan_input.now_ms
        self._reservations = 0
        self._rack_free_accelerators: dict[str, int] = {}
        self._candidates: dict[str, list[resources.Candidate]] = {}
        self._pools: dict[str, resources.Pool] = {}
        self._worker_sets: dict[tuple[str, str], room.WorkerSet] = {}
        self._shortages = shortage.Shortages()
        self._shortage_reasons: dict[_RequestKind, WaitReason] = {}
        # Tasks for which no further busy worker may be spared.
        self._waiting_suspects: list[tuple[backlog.PendingStep, int]] = []
        self._overdue = plan_input.overdue
        self._is_placing_overdue = False
        self._quarantined: dict[
            str, list[tuple[workflow.Worker, condition.WorkerCondition]]
        ] = {}
        self._reserved: list[tuple[resources.Candidate, workflow.Resources]] = []
        self._placed_workflows: set[str] = set()
        self._used_shares: dict[str, tuple[int, float]] = {}
        self.has_suspects = False
        self.placements: list[workflow.Placement] = []
        self.preemptions: list[tuple[workflow.Placement, str]] = []
        self.wait_reasons: dict[resources.StepKey, WaitReason] = {}
        self.queries: dict[resources.StepKey, permit.PolicyQuery] = {}
        self.held_back: dict[resources.StepKey, WaitReason] = {}
        self._by_worker: dict[str, resources.Candidate] = {}
        self._preempted_counts: dict[resources.StepKey, int] = {}
        for registered in state.workers.values():
            worker = registered.worker
            status = conditions.get(worker.worker_id)
            if status is None or not status.is_usable or worker.draining:
                continue
            if status.is_quarantined:
                quarantined = self._quarantined.setdefault(worker.service, [])
                quarantined.append((worker, status))
                continue
            self._add_candidate(worker, status)
        self._policy_queries = queries.Queries(
            plan_input.permits,
            plan_input.now_s,
            plan_input.overdue,
            self._rack_free_accelerators,
        )
        self._isolation = isolation.Isolation(
            state, plan_input.now_ms, self._candidates, self._has_to_run
        )
        self._preemptor = preemption.Preemptor(
            state, conditions, self._by_worker, plan_input.now_ms
        )

    @property
    def candidates(self) -> Mapping[str, Sequence[resources.Candidate]]:
        """Return the usable workers of each service."""
        return self._candidates

    @property
    def awaiting(self) -> frozenset[resources.StepKey]:
        """Return the steps that wait for runs to end instead of stopping them."""
        return frozenset(self._preemptor.awaiting)

    def _add_candidate(
        self, worker: workflow.Worker, status: condition.WorkerCondition
    ) -> None:
        candidate = self._make_candidate(worker, status)
        self._by_worker[worker.worker_id] = candidate
        candidate.accepts_fill = status.accepts_fill
        candidate.is_silent = status.is_silent
        candidate.is_cold = status.is_cold
        self._candidates.setdefault(worker.service, []).append(candidate)
        free = max(candidate.accelerators, 0)
        self._rack_free_accelerators[worker.rack] = (
            self._rack_free_accelerators.get(worker.rack, 0) + free
        )

    def _make_candidate(
        self, worker: workflow.Worker, status: condition.WorkerCondition
    ) -> resources.Candidate:
        """Return a candidate without the resources that its runs reserve."""
        pool = self._pools.setdefault(worker.service, resources.Pool())
        candidate = resources.Candidate(
            worker, status.is_suspect, pool, len(self._by_worker)
        )
        occupied = self._state.occupancy_of(worker.worker_id)
        candidate.load(occupied.reserved, occupied.task_counts)
        candidate.fill_count = occupied.fill_count
        candidate.serving_count = occupied.serving_count
        entries, ages_s, stopping = self._state.entries, status.ages_s, status.stopping
        for key, placement in occupied.placements.items():
            entry = entries[key.workflow_id]
            age_s = ages_s.get(key, 0.0)
            candidate.starting_count += age_s < STARTING_S
            step = entry.workflow.steps[key.step]
            task = entry.occurrences[key.occurrence][key.step][key.index]
            crashes: Sequence[crash.Crash] = ()
            if task.crashes or task.possible_crashes:
                crashes = suspicion.recent(task.suspicions, step, self._now_ms)
                candidate.crash_suspects += bool(crashes)
            if (stopping and placement in stopping) or not entry.is_active:
                candidate.expect_freed(resources.reserved(step))
            else:
                candidate.running.append(placement)
                has_survived = age_s >= crash.SURVIVAL_S
                if len(crashes) >= crash.ISOLATION_CRASHES and not has_survived:
                    candidate.is_closed = True
        return candidate

    def is_guaranteed(self, pending: backlog.PendingStep) -> bool:
        """Tell whether a step is urgent and within the guarantee of its account."""
        account = pending.entry.workflow.account
        return pending.entry.queue.priority == 0 and (
            self._preemptor.is_within_guarantee(account)
        )

    def place(self, pending: backlog.PendingStep) -> None:
        """Place tasks of a step, or preempt others for them if they are urgent."""
        if pending.step.gang:
            self._place_gang(pending)
        else:
            self._place_tasks(pending)
        reason = self.wait_reasons.get(pending.key)
        # Steps that wait for headroom need no permit until they are overdue.
        if reason not in (None, WaitReason.HEADROOM) or (
            reason is not None and pending.key in self._overdue
        ):
            self._add_query(pending)

    def place_guaranteed(self, pending_steps: Iterable[backlog.PendingStep]) -> None:
        """Place guaranteed steps on workers in quarantine if no others can take them.

        Failing work of other accounts must not keep them from their accelerators.
        """
        settled = (None, WaitReason.PREEMPTING, WaitReason.CRASHES_UNDECIDED)
        for pending in pending_steps:
            if self.wait_reasons.get(pending.key) in settled:
                continue
            if self.is_guaranteed(pending) and self._add_quarantined(pending):
                self.place(self._remaining(pending))

    def _remaining(self, pending: backlog.PendingStep) -> backlog.PendingStep:
        """Return a step without the tasks that were placed or are preempted for."""
        del self.wait_reasons[pending.key]
        placed = {placement.task for placement in self.placements}
        indexes = [
            index
            for index in pending.task_indexes
            if pending.task_key(index) not in placed
        ]
        count = self._preempted_counts.get(pending.key, 0)
        return msgspec.structs.replace(pending, task_indexes=tuple(indexes[count:]))

    def place_suspects_on_idle_workers(self) -> None:
        """Spare more workers for suspects if the plan has left them idle.

        Others remain open, since urgent tasks would have to wait for closed ones.
        """
        for pending, index in self._waiting_suspects:
            if not self._is_pressing(pending) and not self._leaves_headroom(pending, 1):
                self.wait_reasons[pending.key] = WaitReason.HEADROOM
                continue
            candidates = self._workers(pending).candidates
            chosen = self._isolation.spare_worker(
                pending, index, room.idle(candidates), crash.WORKERS_PER_IDLE_ISOLATION
            )
            if chosen is None:
                chosen = self._shared_worker(pending, index, candidates)
            if chosen is None:
                self.wait_reasons[pending.key] = WaitReason.NO_ISOLATION
            else:
                self._place_task(pending, index, chosen)

    def place_overdue(self, pending_steps: Iterable[backlog.PendingStep]) -> None:
        """Place overdue steps on any worker with ample room.

        Room that is kept or reserved for others, away from the data, or on a worker
        that may fail it, is worth more to a workflow than an idle service.
        """
        self._is_placing_overdue = True
        for pending in pending_steps:
            key = pending.key
            is_waiting = key in self._overdue and key in self.wait_reasons
            if not is_waiting or not self._has_to_run(pending):
                continue
            while self._reserved:
                candidate, needs = self._reserved.pop()
                candidate.deallocate(needs)
            count = len(self.placements)
            self._place_if_ample(pending)
            if len(self.placements) == count and self._add_quarantined(pending):
                self._place_if_ample(pending)
            if len(self.placements) == count:
                self._add_query(pending)
            else:
                self.held_back[key] = self.wait_reasons.pop(key)
                self.queries.pop(key, None)
                workflow_id = pending.entry.workflow.workflow_id
                self.preemptions = [
                    (victim, beneficiary)
                    for victim, beneficiary in self.preemptions
                    if beneficiary != workflow_id
                ]

    def _place_if_ample(self, pending: backlog.PendingStep) -> None:
        """Place a step on any worker if there is room for it twice."""
        step = pending.step
        free = room.size(step, self._workers(pending).candidates, is_free=True)
        if free < 2 * (step.count if step.gang else 1):
            return
        if step.gang:
            self._place_gang_anywhere(pending)
        else:
            self._place_tasks_anywhere(pending)

    def _add_quarantined(self, pending: backlog.PendingStep) -> bool:
        """Add the workers in quarantine as the last choice; tell if there are any."""
        quarantined = self._quarantined.get(pending.entry.queue.service, [])
        added = [
            (worker, status)
            for worker, status in quarantined
            if worker.worker_id not in self._by_worker
        ]
        for worker, status in added:
            self._add_candidate(worker, status)
        if added:
            self._worker_sets.clear()
            self._shortages = shortage.Shortages()
            self._preemptor.forget_shortages()
        return bool(quarantined)

    def _place_tasks_anywhere(self, pending: backlog.PendingStep) -> None:
        candidates = self._workers(pending).candidates
        settled = [item for item in candidates if not item.starting_count]
        placed = {placement.task for placement in self.placements}
        for index in self._isolation.by_crashes(pending):
            if (
                self._isolation.may_wait(pending, index)
                or pending.task_key(index) in placed
            ):
                continue
            best = (
                self._best_candidate(
                    pending, index, room.with_room(pending, candidates), None
                )
                or self._best_candidate(pending, index, candidates, None)
                or self._best_candidate(pending, index, settled, None, opened=True)
            )
            if best is None:
                return
            self._place_task(pending, index, best)

    def _place_gang_anywhere(self, pending: backlog.PendingStep) -> None:
        if any(
            self._isolation.may_wait(pending, index) for index in pending.task_indexes
        ):
            return
        workers = self._workers(pending)
        scopes = self._gang_scopes(pending, workers)
        chosen = next(
            filter(
                None, (self._fit_gang(pending, scope.candidates) for scope in scopes)
            ),
            None,
        ) or self._fit_gang(pending, workers.candidates, near_data=False)
        for index, candidate in chosen.items():
            self._place_task(pending, index, candidate)

    def _place_tasks(self, pending: backlog.PendingStep) -> None:
        kind = self._request_kind(pending)
        workers = self._workers(pending)
        free: list[resources.Candidate] | None = None
        best: resources.Candidate | None = None
        for index in self._isolation.by_crashes(pending):
            if not self._is_pressing(pending) and not self._leaves_headroom(pending, 1):
                self.wait_reasons[pending.key] = WaitReason.HEADROOM
                return
            if self._handle_suspect(pending, index, workers):
                continue
            if kind is None or not self._shortages.covers(kind, 1):
                if free is None:
                    free = room.with_room(pending, workers.candidates)
                best = self._best_candidate(pending, index, free, best)
                if best is not None:
                    self._place_task(pending, index, best)
                    continue
            self._record_shortage(pending, kind, 1, workers)
            if pending.entry.queue.priority or self._uses_idle_room(pending):
                return
            self._preempt(pending, 1, kind, [workers.all])

    def _handle_suspect(
        self, pending: backlog.PendingStep, index: int, workers: room.WorkerSet
    ) -> bool:
        """Place a task on a worker of its own, or let it wait for one for a while.

        Long-running tasks do not wait, since they have to be available all the time.

        Returns
        -------
        bool
            Whether that was done; otherwise the task may share a worker.
        """
        if not pending.has_suspects:
            return False
        if self._isolation.is_undecided(pending, index):
            self.wait_reasons[pending.key] = WaitReason.CRASHES_UNDECIDED
            return True
        if not self._isolation.needs_isolation(
            pending, index
        ) or not self._isolation.can_isolate(pending, workers.candidates):
            return False
        candidates = workers.candidates
        may_wait = self._isolation.may_wait_for_isolation(pending, index)
        if not may_wait:
            candidates = room.idle(candidates)
        spared = self._isolation.spare_worker(pending, index, candidates)
        if spared is None and pending.step.long_running:
            return False
        if spared is None:
            self._waiting_suspects.append((pending, index))
        elif spared.task_count:
            self.wait_reasons[pending.key] = WaitReason.NO_ISOLATION
        else:
            self._place_task(pending, index, spared)
        return True

    def _place_gang(self, pending: backlog.PendingStep) -> None:
        if pending.has_suspects and any(
            self._isolation.is_undecided(pending, index)
            for index in pending.task_indexes
        ):
            self.wait_reasons[pending.key] = WaitReason.CRASHES_UNDECIDED
            return
        count = len(pending.task_indexes)
        kind = self._request_kind(pending)
        workers = self._workers(pending)
        if not self._is_pressing(pending) and not self._leaves_headroom(pending, count):
            self.wait_reasons[pending.key] = WaitReason.HEADROOM
            self._reserve(pending, workers)
            return
        if kind is None or not self._shortages.covers(kind, count):
            scopes = self._gang_scopes(pending, workers)
            # A member on a suspect worker can cost the whole gang an attempt, so all
            # racks are tried without them first.
            for scope in (*room.without_suspects(scopes), *scopes):
                if not room.may_fit_gang(pending, scope):
                    continue
                chosen = self._fit_gang(pending, scope.candidates)
                if chosen:
                    for index, candidate in chosen.items():
                        self._place_task(pending, index, candidate)
                    return
        self._record_shortage(pending, kind, count, workers)
        if pending.entry.queue.priority or self._uses_idle_room(pending):
            self._reserve(pending, workers)
        else:
            scopes = self._gang_scopes(pending, workers)
            self._preempt(pending, count, kind, scopes)

    def _request_kind(self, pending: backlog.PendingStep) -> _RequestKind | None:
        """Return what decides whether tasks fit, ``None`` if no other step shares it.

        Permits and limits for each worker belong to a single step.
        """
        step = pending.step
        queue = pending.entry.queue
        if step.max_per_worker or queue.policy is not None:
            return None
        if pending.has_suspects or self._avoids_workers(pending):
            return None
        needs = resources.reserved(step)
        in_one_rack = step.gang and step.same_rack
        if in_one_rack:
            rack_sizes = self._workers(pending).rack_sizes(step)
            in_one_rack = step.count <= max(rack_sizes.values(), default=0)
        return (
            queue.service,
            step.label,
            step.rack,
            step.fill,
            needs,
            step.gang,
            in_one_rack,
        )

    def _record_shortage(
        self,
        pending: backlog.PendingStep,
        kind: _RequestKind | None,
        count: int,
        workers: room.WorkerSet,
    ) -> None:
        """Record that there is no room for some tasks, and why."""
        if kind is None:
            self.wait_reasons[pending.key] = _wait_reason(pending, workers.candidates)
            return
        self._shortages.record(kind, count)
        if kind not in self._shortage_reasons:
            self._shortage_reasons[kind] = _wait_reason(pending, workers.candidates)
        self.wait_reasons[pending.key] = self._shortage_reasons[kind]

    def _leaves_headroom(self, pending: backlog.PendingStep, count: int) -> bool:
        """Tell whether placing some tasks leaves the headroom for urgent work.

        Urgent tasks may use the headroom, and so may long-running ones, which have to
        be available all the time.
        """
        if not self._headroom:
            return True
        if pending.entry.queue.priority == 0 and not self._uses_idle_room(pending):
            return True
        if pending.step.long_running:
            return True
        pool = self._pools.get(pending.entry.queue.service)
        # Urgent work takes precedence over reservations, so what is reserved for gangs
        # is headroom as well.
        free = pool.free_accelerators + pool.reserved_accelerators if pool else 0
        return free - count * pending.step.needs.accelerators >= self._headroom

    def _is_pressing(self, pending: backlog.PendingStep) -> bool:
        """Tell whether tasks must start soon to complete before their deadline.

        Late ones press as well, until their workflow has no value any more.
        """
        if self._uses_idle_room(pending):
            return False
        remaining_ms = pending.deadline_ms - self._now_ms
        expected_ms = self._state.run_times.expected_ms(
            pending.entry.queue.name, pending.entry.workflow.account, pending.step
        )
        return remaining_ms < PRESSING_FACTOR * expected_ms

    def _uses_idle_room(self, pending: backlog.PendingStep) -> bool:
        """Tell whether a step gets only room that no work with a value needs.

        While tasks wait during which workers have crashed, the order stays by deadline.
        """
        if self.has_suspects:
            return False
        is_worthless = delay_cost.is_worthless(pending, self._now_ms)
        return is_worthless and not self.is_guaranteed(pending)

    def _reserve(self, pending: backlog.PendingStep, workers: room.WorkerSet) -> None:
        """Reserve resources for a waiting gang against later steps of the plan.

        Otherwise small tasks take each accelerator as soon as it is free, and the gang
        never finds enough of them at the same time. One gang at a time may
        reserve as much as it needs, since it would never start otherwise.
        """
        pool = self._pools.get(pending.entry.queue.service)
        if self._reservations >= MAX_RESERVATIONS or pool is None:
            return
        needs = resources.reserved(pending.step)
        if sum(workers.rack_sizes(pending.step).values()) < pending.step.count:
            return  # it can't start even if all workers are empty
        total = resources.multiplied(needs, len(pending.task_indexes))
        if self._reservations and pool.reserved_share(total) > MAX_RESERVED_SHARE:
            return
        scopes = self._gang_scopes(pending, workers)
        largest = [
            (-candidate.accelerators, -candidate.cores_milli, position, candidate)
            for position, candidate in enumerate(
                max(scopes, key=room.free_accelerators).candidates
            )
            if needs.fits_within(candidate.worker.capacity)
        ]
        if not largest:
            return
        self._reservations += 1
        heapq.heapify(largest)
        for _ in pending.task_indexes:
            _, _, position, candidate = largest[0]
            candidate.reserve(needs)
            self._reserved.append((candidate, needs))
            rank = (-candidate.accelerators, -candidate.cores_milli)
            heapq.heapreplace(largest, (*rank, position, candidate))

    def _preempt(
        self,
        pending: backlog.PendingStep,
        count: int,
        kind: _RequestKind | None,
        scopes: list[resources.Scope],
    ) -> None:
        victims = self._preemptor.preempt(pending, count, kind, scopes)
        if victims is not None:
            is_awaiting = not victims and pending.key in self._preemptor.awaiting
            self.wait_reasons[pending.key] = (
                WaitReason.ENDING if is_awaiting else WaitReason.PREEMPTING
            )
            self._preempted_counts[pending.key] = (
                self._preempted_counts.get(pending.key, 0) + count
            )
            workflow_id = pending.entry.workflow.workflow_id
            self.preemptions.extend((victim, workflow_id) for victim in victims)

    def _add_query(self, pending: backlog.PendingStep) -> None:
        """Query permits for further workers of a pending step, if needed."""
        if pending.entry.queue.policy is None:
            return
        query = self._policy_queries.query(pending, list(self._suitable(pending)))
        if query is None:
            return
        needs = resources.reserved(pending.step)
        if pending.step.gang or not any(
            candidate.fits(needs) for candidate in self._eligible(pending)
        ):
            self.wait_reasons[pending.key] = WaitReason.NO_PERMIT
        self.queries[pending.key] = query

    def _eligible(self, pending: backlog.PendingStep) -> Iterator[resources.Candidate]:
        """Yield suitable workers, only permitted ones if the queue has a policy."""
        return self._policy_queries.permitted(pending, self._suitable(pending))

    def _suitable(self, pending: backlog.PendingStep) -> Iterator[resources.Candidate]:
        """Yield the workers of the service that meet the constraints of a step.

        Fill tasks are kept away from workers whose fill tasks are already slowed down
        to protect serving tasks.
        """
        step = pending.step
        for candidate in self._candidates.get(pending.entry.queue.service, ()):
            if step.label and step.label not in candidate.worker.labels:
                continue
            if step.fill and candidate.serving_count and not candidate.accepts_fill:
                continue
            yield candidate

    def _workers(self, pending: backlog.PendingStep) -> room.WorkerSet:
        """Return the eligible workers; most steps share them with other steps."""
        step = pending.step
        queue = pending.entry.queue
        if self._avoids_workers(pending):
            eligible = list(self._eligible(pending))
            return room.WorkerSet(
                retry.candidates(pending, eligible, room.can_hold), is_shared=False
            )
        if step.fill or queue.policy is not None:
            return room.WorkerSet(self._eligible(pending), is_shared=False)
        key = (queue.service, step.label)
        if key not in self._worker_sets:
            self._worker_sets[key] = room.WorkerSet(
                self._eligible(pending), is_shared=True
            )
        return self._worker_sets[key]

    def _avoids_workers(self, pending: backlog.PendingStep) -> bool:
        """Tell whether a step keeps away from workers because a run of it has failed.

        Overdue steps use any worker.
        """
        return not self._is_placing_overdue and retry.has_failed(pending)

    def _gang_scopes(
        self, pending: backlog.PendingStep, workers: room.WorkerSet
    ) -> list[resources.Scope]:
        """Return the sets of workers that may each hold a whole gang, fullest first.

        A gang that runs slower on several racks waits for one rack, unless it is too
        large for any.
        """
        if not pending.step.same_rack:
            return [workers.all]
        sizes = workers.rack_sizes(pending.step)
        large_racks = [
            workers.by_rack[rack]
            for rack, size in sizes.items()
            if size >= pending.step.count
        ]
        return sorted(large_racks, key=room.free_accelerators) or [workers.all]

    def _fit_gang(
        self,
        pending: backlog.PendingStep,
        candidates: list[resources.Candidate],
        *,
        near_data: bool = True,
    ) -> dict[int, resources.Candidate]:
        """Return a worker for each member, none if not all members fit.

        Workers that are spared for single members stay so if the gang does not fit,
        since other tasks would fill them again.
        """
        chosen: dict[int, resources.Candidate] = {}
        free = room.with_room(pending, candidates) if near_data else candidates
        best: resources.Candidate | None = None
        can_isolate = self._isolation.can_isolate(pending, candidates)
        for index in self._isolation.by_crashes(pending):
            if can_isolate and self._isolation.needs_isolation(pending, index):
                may_wait = self._isolation.may_wait_for_isolation(pending, index)
                options = candidates if may_wait else room.idle(candidates)
                best = self._isolation.spare_worker(pending, index, options)
                if best is not None and best.task_count:
                    best = None
                best = best or self._shared_worker(pending, index, candidates)
            else:
                best = self._best_candidate(pending, index, free, best)
            if best is None:
                break
            self._occupy(pending, index, best)
            chosen[index] = best
        for index, candidate in chosen.items():
            self._vacate(pending, index, candidate)
        return chosen if len(chosen) == len(pending.task_indexes) else {}

    def _occupy(
        self, pending: backlog.PendingStep, index: int, candidate: resources.Candidate
    ) -> None:
        """Count a task on a worker."""
        candidate.allocate(resources.reserved(pending.step))
        candidate.adjust_task_count(pending.key, 1)
        candidate.starting_count += 1
        candidate.crash_suspects += bool(self._isolation.crashes(pending, index))

    def _vacate(
        self, pending: backlog.PendingStep, index: int, candidate: resources.Candidate
    ) -> None:
        """Undo `_occupy` after a trial."""
        candidate.deallocate(resources.reserved(pending.step))
        candidate.adjust_task_count(pending.key, -1)
        candidate.starting_count -= 1
        candidate.crash_suspects -= bool(self._isolation.crashes(pending, index))

    def _shared_worker(
        self,
        pending: backlog.PendingStep,
        index: int,
        candidates: list[resources.Candidate],
    ) -> resources.Candidate | None:
        """Return a worker for a suspect that can't wait for one of its own any more.

        An idle worker remains open to others. Other workers are taken only if no task
        there has just started, so that a crash tells more about its cause.
        """
        if self._isolation.may_wait_for_isolation(pending, index):
            return None
        settled = [item for item in candidates if not item.starting_count]
        return self._best_candidate(
            pending, index, settled, None
        ) or self._best_candidate(pending, index, settled, None, opened=True)

    def _has_to_run(self, pending: backlog.PendingStep) -> bool:
        """Tell whether tasks must not wait beside workers that have room for them.

        Long-running tasks have to be available all the time. Of other workflows
        something has to run while less than half of the service is in use.
        """
        return pending.step.long_running or not (
            self._is_running(pending.entry)
            or self._used_share(pending.entry.queue.service) >= MAX_IDLE_USE
        )

    def _is_running(self, entry: machine.Entry) -> bool:
        """Tell whether a task of a workflow is placed, or will be by this plan."""
        is_placed = entry.workflow.workflow_id in self._placed_workflows
        return is_placed or entry.has_placement

    def _used_share(self, service: str) -> float:
        """Return the used share of the scarcer resource of a service."""
        count, share = self._used_shares.get(service, (-1, 0.0))
        if count == len(self.placements):
            return share
        used = capacity = resources.NOTHING
        for registered in self._state.workers.values():
            if registered.worker.service == service:
                capacity = resources.combined(capacity, registered.worker.capacity)
                occupied = self._state.occupancy_of(registered.worker.worker_id)
                used = resources.combined(used, occupied.reserved)
        for placement in self.placements:
            entry = self._state.entries[placement.task.workflow_id]
            if entry.queue.service == service:
                step = entry.workflow.steps[placement.task.step]
                used = resources.combined(used, resources.reserved(step))
        share = max(
            used.accelerators / max(capacity.accelerators, 1),
            used.cores_milli / max(capacity.cores_milli, 1),
        )
        self._used_shares[service] = len(self.placements), share
        return share

    def _best_candidate(
        self,
        pending: backlog.PendingStep,
        index: int,
        candidates: Iterable[resources.Candidate],
        previous: resources.Candidate | None,
        *,
        opened: bool = False,
    ) -> resources.Candidate | None:
        """Return the worker for a task, ``None`` if it has to wait.

        Workers are ranked by these rules:

        - Fill tasks and serving tasks slow each other down, so they share a worker
          only if no other one fits.
        - The fullest worker that fits is taken. Work that can be preempted fills one
          rack after the other, which leaves whole racks to urgent gangs.
        - Fill tasks are spread, since they share the remaining cores.
        - Tasks during which a worker has crashed are kept apart from each other and
          from others, and away from that worker, so that the next crash tells more.
          One that could not get a worker of its own goes where it meets fewest others.
        - Cold workers come after equal warm ones, and after all warm ones for tasks
          that are close to their deadline.

        Parameters
        ----------
        candidates : iterable of Candidate
            Workers from `room.with_room`.
        previous : Candidate or None
            Worker of the preceding task of the step.
        opened : bool
            Whether workers that are closed to other tasks may be chosen, too.
        """
        step = pending.step
        crashes = self._isolation.crashes(pending, index)
        if (
            previous is not None
            and not step.fill
            and not crashes
            and not previous.crash_suspects
            and room.has_room(pending, previous)
        ):
            return previous  # it has become the fullest by the preceding task
        crash_addresses = {item.address for item in crashes}
        best: resources.Candidate | None = None
        best_rank: tuple[bool, bool, int, bool, int, int, int, bool] | None = None
        is_pressing = self._is_pressing(pending)
        is_urgent = pending.entry.queue.priority == 0
        needs_isolation = self._isolation.needs_isolation(pending, index)
        for candidate in candidates:
            if not room.has_room(pending, candidate, opened=opened):
                continue
            rack_free_accelerators = (
                0 if is_urgent else self._rack_free_accelerators[candidate.worker.rack]
            )
            interferes = resources.interferes(candidate, step)
            has_crashed = candidate.worker.address in crash_addresses
            separation = candidate.crash_suspects + has_crashed
            if needs_isolation:
                separation += candidate.task_count
            if step.fill:
                free = (candidate.fill_count, -candidate.cores_milli, 0)
            else:
                free = (
                    rack_free_accelerators,
                    candidate.accelerators,
                    candidate.cores_milli,
                )
            rank = (
                interferes,
                candidate.is_suspect,
                separation,
                is_pressing and candidate.is_cold,
                *free,
                candidate.is_cold,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = candidate, rank
        return best

    def _place_task(
        self, pending: backlog.PendingStep, index: int, candidate: resources.Candidate
    ) -> None:
        self._occupy(pending, index, candidate)
        candidate.fill_count += pending.step.fill
        candidate.serving_count += pending.step.target_ms > 0
        self._rack_free_accelerators[candidate.worker.rack] -= (
            pending.step.needs.accelerators
        )
        self._placed_workflows.add(pending.entry.workflow.workflow_id)
        last_run = pending.tasks[index].last_run
        if pending.step.gang:
            last_run = max(task.last_run for task in pending.tasks)
        self.placements.append(
            workflow.Placement(
                pending.task_key(index),
                last_run + 1,
                candidate.worker.worker_id,
                candidate.worker.incarnation,
            )
        )


def _wait_reason(
    pending: backlog.PendingStep, eligible: list[resources.Candidate]
) -> WaitReason:
    """Return why a task or gang could not be placed."""
    needs = resources.reserved(pending.step)
    candidates = [
        candidate
        for candidate in eligible
        if needs.fits_within(candidate.worker.capacity)
    ]
    if not candidates:
        return WaitReason.NO_USABLE_WORKER
    if pending.step.rack and any(candidate.fits(needs) for candidate in candidates):
        return WaitReason.NO_CAPACITY_NEAR_DATA
    return WaitReason.NO_CAPACITY
