"""Which tasks start where, and which ones give way."""

import enum
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from . import machine, objective, workflow

# Gangs for which room is kept while others end. With more of them at once too much
# room would stand idle.
MAX_RESERVATIONS = 2
# A gang that has less time than this multiple of its declared work takes room that is
# kept for urgent work, too.
PRESSING = 2.0

# What a stopped task costs beside its lost work, in core-seconds, so that tasks that
# have just started are not stopped for nothing.
STOP_COST = 1.0
# Beyond an account's guarantee, urgent work may cost others this multiple of its own
# work: it earns about ten times as much for a core-second as what it stops.
WORTH_STOPPING = 4.0
# Above the cost of any set of stops: such a worker is the last choice.
AVOID_COST = 1e6
ACCELERATOR_CORES = 8  # an accelerator is accounted as this many cores
CHECKPOINT_LOSS_S = 0.5  # work since the last checkpoint, and the restore


class Condition(msgspec.Struct, frozen=True):
    """What the leader believes of a worker at this moment.

    Parameters
    ----------
    usable : bool
        Whether tasks may be placed there.
    stopping : frozenset of TaskKey
        Runs there that have been told to stop and still take room.
    ages_s : mapping of TaskKey to float
        How long the confirmed runs have been at work.
    """

    usable: bool = True
    stopping: frozenset[workflow.TaskKey] = frozenset()
    ages_s: Mapping[workflow.TaskKey, float] = {}
    avoid: bool = False


class Wait(enum.Enum):
    """Why tasks that are ready were not placed."""

    ROOM = "no room"
    HEADROOM = "room is kept for urgent work"
    DATA = "no room near the data"
    CLEARING = "others are being stopped for it"
    WORKERS = "no usable worker of the service fits"


class Plan(msgspec.Struct, frozen=True):
    """Placements to commit, and runs to stop for urgent work.

    Parameters
    ----------
    preempted : tuple of (Placement, str)
        Runs to stop, with the id of the workflow that needs the room.
    waiting : dict
        Why tasks of (workflow id, occurrence, step) were not placed.
    """

    placements: tuple[workflow.Placement, ...] = ()
    preempted: tuple[tuple[workflow.Placement, str], ...] = ()
    waiting: dict[tuple[str, int, int], Wait] = {}


class Unit(msgspec.Struct, frozen=True):
    """Tasks of one step that wait: a whole gang, or all that are not placed."""

    entry: machine.Entry
    occurrence: int
    step: int
    indexes: tuple[int, ...]
    deadline_ms: float

    @property
    def name(self) -> tuple[str, int, int]:
        """Return workflow id, occurrence and step."""
        return self.entry.workflow.workflow_id, self.occurrence, self.step

    @property
    def shape(self) -> workflow.Step:
        """Return the step."""
        return self.entry.workflow.steps[self.step]

    def key(self, index: int) -> workflow.TaskKey:
        """Return the name of one of the tasks."""
        return workflow.TaskKey(
            self.entry.workflow.workflow_id, self.occurrence, self.step, index
        )


class _Room:
    """What is free on one worker while a plan is made."""

    __slots__ = (
        "accelerators",
        "avoid",
        "coming_accelerators",
        "coming_cores",
        "coming_memory",
        "cores",
        "counts",
        "fills",
        "memory",
        "serves",
        "victims",
        "worker",
    )

    def __init__(self, worker: workflow.Worker, avoid: bool) -> None:
        self.worker = worker
        self.avoid = avoid
        self.cores = worker.capacity.cores_milli
        self.memory = worker.capacity.memory_mb
        self.accelerators = worker.capacity.accelerators
        self.coming_cores = 0
        self.coming_memory = 0
        self.coming_accelerators = 0
        self.counts: dict[tuple[str, int, int], int] = {}
        self.fills = 0
        self.serves = 0
        self.victims: list[workflow.Placement] = []

    def take(self, needs: workflow.Resources) -> None:
        self.cores -= needs.cores_milli
        self.memory -= needs.memory_mb
        self.accelerators -= needs.accelerators

    def give(self, needs: workflow.Resources) -> None:
        self.cores += needs.cores_milli
        self.memory += needs.memory_mb
        self.accelerators += needs.accelerators

    def expect(self, needs: workflow.Resources) -> None:
        """Count on room that a stop will free."""
        self.coming_cores += needs.cores_milli
        self.coming_memory += needs.memory_mb
        self.coming_accelerators += needs.accelerators

    def fits(self, needs: workflow.Resources) -> bool:
        return (
            needs.accelerators <= self.accelerators
            and needs.cores_milli <= self.cores
            and needs.memory_mb <= self.memory
        )

    def will_fit(self, needs: workflow.Resources, more: workflow.Resources) -> bool:
        """Tell whether a need fits with what is coming and some more room."""
        return (
            needs.accelerators
            <= self.accelerators + self.coming_accelerators + more.accelerators
            and needs.cores_milli <= self.cores + self.coming_cores + more.cores_milli
            and needs.memory_mb <= self.memory + self.coming_memory + more.memory_mb
        )


def accounted(step: workflow.Step) -> workflow.Resources:
    """Return what a task takes of a worker's capacity."""
    if step.fill:
        return msgspec.structs.replace(step.needs, cores_milli=0)
    return step.needs


def plan(
    state: machine.WorkflowMachine,
    conditions: Mapping[str, Condition],
    now_ms: float,
    early_ms: float = 0.0,
    headroom: int = 0,
) -> Plan:
    """Place what waits, the most urgent first.

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
    """
    planner = _Planner(state, conditions, headroom, now_ms)
    for unit in sorted(units(state, now_ms + early_ms), key=lambda u: _rank(u, now_ms)):
        planner.place(unit)
    return Plan(tuple(planner.placements), tuple(planner.preempted), planner.waiting)


def urgent_accelerators(state: machine.WorkflowMachine) -> int:
    """Return the accelerators that urgent work takes or waits for."""
    total = 0
    for entry in state.active.values():
        if entry.queue.priority:
            continue
        for occurrence, step, tasks in entry.tasks():
            if entry.is_ready(occurrence, step):
                shape = entry.workflow.steps[step]
                waiting = sum(not task.done for task in tasks)
                total += waiting * shape.needs.accelerators
    return total


def capacity(state: machine.WorkflowMachine) -> int:
    """Return the accelerators of all workers that stay."""
    return sum(
        known.worker.capacity.accelerators
        for known in state.workers.values()
        if not known.worker.draining
    )


def units(state: machine.WorkflowMachine, now_ms: float) -> Iterator[Unit]:
    """Give the tasks that could start if there were room."""
    for entry in state.active.values():
        for occurrence, steps in entry.occurrences.items():
            if occurrence in entry.finished:
                continue
            if entry.workflow.due_ms(occurrence) > now_ms:
                break
            for step, tasks in enumerate(steps):
                indexes = _waiting(entry.workflow.steps[step], tasks)
                if indexes and entry.is_ready(occurrence, step):
                    due_ms = objective.deadline_ms(
                        entry.workflow, entry.queue, occurrence
                    )
                    yield Unit(entry, occurrence, step, indexes, due_ms)


def _waiting(step: workflow.Step, tasks: list[machine.TaskState]) -> tuple[int, ...]:
    waiting = tuple(
        index
        for index, task in enumerate(tasks)
        if not task.done and task.placement is None
    )
    if step.gang and len(waiting) < len(tasks):
        return ()
    return waiting


def _rank(unit: Unit, now_ms: float) -> tuple[int, bool, float]:
    """Order by priority; what is hopelessly late comes last in its priority."""
    return unit.entry.queue.priority, unit.deadline_ms < now_ms, unit.deadline_ms


class _Planner:
    """Free room, and what the plan has decided so far."""

    def __init__(
        self,
        state: machine.WorkflowMachine,
        conditions: Mapping[str, Condition],
        headroom: int,
        now_ms: float,
    ) -> None:
        self._state = state
        self._conditions = conditions
        self._headroom = headroom
        self._now_ms = now_ms
        self._reservations = 0
        self._rack_free: dict[str, int] = {}
        self._urgent: dict[str, int] = {}
        self._rooms: dict[str, list[_Room]] = {}
        self._by_worker: dict[str, _Room] = {}
        self.placements: list[workflow.Placement] = []
        self.preempted: list[tuple[workflow.Placement, str]] = []
        self.waiting: dict[tuple[str, int, int], Wait] = {}
        self._stopping: set[workflow.TaskKey] = set()
        for known in state.workers.values():
            worker = known.worker
            condition = conditions.get(worker.worker_id)
            if condition is None or not condition.usable or worker.draining:
                continue
            room = _Room(worker, condition.avoid)
            self._rooms.setdefault(worker.service, []).append(room)
            self._by_worker[worker.worker_id] = room
            self._occupy(room, condition)
            rack = worker.rack
            free = max(room.accelerators, 0)
            self._rack_free[rack] = self._rack_free.get(rack, 0) + free

    def _occupy(self, room: _Room, condition: Condition) -> None:
        for key, placement in self._state.placed(room.worker.worker_id).items():
            entry = self._state.entries[key.workflow_id]
            needs = accounted(entry.workflow.steps[key.step])
            room.take(needs)
            unit = (key.workflow_id, key.occurrence, key.step)
            room.counts[unit] = room.counts.get(unit, 0) + 1
            step = entry.workflow.steps[key.step]
            room.fills += step.fill
            room.serves += step.target_ms > 0
            ending = key in condition.stopping or not entry.is_active
            if ending:
                room.expect(needs)
            elif not step.long_running:
                # What serves users until it is cancelled gives way to nobody.
                room.victims.append(placement)

    def place(self, unit: Unit) -> None:
        """Place all or some tasks of a unit, or have others stop for it."""
        if unit.shape.gang:
            self._place_gang(unit)
            return
        for index in unit.indexes:
            if not self._leaves_headroom(unit, 1):
                self.waiting[unit.name] = Wait.HEADROOM
                return
            room = self._best(unit, self._eligible(unit))
            if room is None:
                self.waiting[unit.name] = self._reason(unit)
                if unit.entry.queue.priority == 0:
                    self._make_room(unit, (index,), [list(self._eligible(unit))])
                    continue
                return
            self._bind(unit, index, room)

    def _leaves_headroom(self, unit: Unit, count: int) -> bool:
        """Tell whether some tasks leave the room that is kept for urgent work."""
        if unit.entry.queue.priority == 0 or not self._headroom:
            return True
        rooms = self._rooms.get(unit.entry.queue.service, [])
        taken = count * unit.shape.needs.accelerators
        return _free_accelerators(rooms) - taken >= self._headroom

    def _place_gang(self, unit: Unit) -> None:
        scopes = self._scopes(unit)
        pressing = self._is_pressing(unit)
        if not pressing and not self._leaves_headroom(unit, len(unit.indexes)):
            self.waiting[unit.name] = Wait.HEADROOM
            self._reserve(unit, scopes)
            return
        for rooms in scopes:
            chosen = self._fit_gang(unit, rooms)
            if chosen:
                for index, room in chosen:
                    room.give(accounted(unit.shape))
                    self._bind(unit, index, room)
                return
        self.waiting[unit.name] = self._reason(unit)
        if unit.entry.queue.priority == 0:
            self._make_room(unit, unit.indexes, scopes)
        else:
            self._reserve(unit, scopes)

    def _is_pressing(self, unit: Unit) -> bool:
        """Tell whether a gang must start now to be complete in time."""
        left_ms = unit.deadline_ms - self._now_ms
        return left_ms < PRESSING * unit.shape.estimate_ms

    def _reserve(self, unit: Unit, scopes: list[list[_Room]]) -> None:
        """Keep what less pressing work would take from a gang that waits.

        Small tasks take each accelerator that becomes free, so a gang would wait for
        ever for all of its room at once.
        """
        if self._reservations >= MAX_RESERVATIONS:
            return
        needs = accounted(unit.shape)
        rooms = [
            room
            for room in max(scopes, key=_free_accelerators)
            if needs.fits(room.worker.capacity)
        ]
        if not rooms:
            return
        self._reservations += 1
        for _ in unit.indexes:
            max(rooms, key=lambda r: (r.accelerators, r.cores)).take(needs)

    def _reason(self, unit: Unit) -> Wait:
        """Return why a task or gang has found no room."""
        needs = accounted(unit.shape)
        rooms = [r for r in self._eligible(unit) if needs.fits(r.worker.capacity)]
        if not rooms:
            return Wait.WORKERS
        if unit.shape.rack and any(room.fits(needs) for room in rooms):
            return Wait.DATA
        return Wait.ROOM

    def _scopes(self, unit: Unit) -> list[list[_Room]]:
        """Return the sets of workers that a gang may be spread over, fullest first.

        A gang that is slowed down on several racks waits for one rack, unless it is
        too large for any.
        """
        rooms = list(self._eligible(unit))
        if not unit.shape.same_rack:
            return [rooms]
        racks: dict[str, list[_Room]] = {}
        for room in rooms:
            racks.setdefault(room.worker.rack, []).append(room)
        needs = accounted(unit.shape)
        large = [
            rack
            for rack in racks.values()
            if sum(_times(needs, room.worker.capacity) for room in rack)
            >= unit.shape.count
        ]
        return sorted(large, key=_free_accelerators) or [rooms]

    def _fit_gang(self, unit: Unit, rooms: list[_Room]) -> list[tuple[int, _Room]]:
        """Take room for each member, or none at all."""
        needs = accounted(unit.shape)
        chosen: list[tuple[int, _Room]] = []
        for index in unit.indexes:
            room = self._best(unit, rooms)
            if room is None:
                break
            room.take(needs)
            self._count(unit, room, 1)
            chosen.append((index, room))
        for _, room in chosen:
            self._count(unit, room, -1)
        if len(chosen) == len(unit.indexes):
            return chosen
        for _, room in chosen:
            room.give(needs)
        return []

    def _count(self, unit: Unit, room: _Room, change: int) -> None:
        room.counts[unit.name] = room.counts.get(unit.name, 0) + change

    def _eligible(self, unit: Unit) -> Iterator[_Room]:
        """Give the workers that a task may run on.

        Tasks that fill unused cores disturb tasks that serve users on the same
        worker, by amounts that are not known before; they are kept apart.
        """
        step = unit.shape
        for room in self._rooms.get(unit.entry.queue.service, ()):
            if step.label and step.label not in room.worker.labels:
                continue
            if (step.fill and room.serves) or (step.target_ms and room.fills):
                continue
            yield room

    def _best(self, unit: Unit, rooms: Iterable[_Room]) -> _Room | None:
        """Return the fullest worker that a task fits on, near its data if it has any.

        Work that may be preempted fills one rack after the other, so that urgent
        gangs of one rack find room without stopping it. Away from its data a task
        takes several times as long, so it waits for room there as long as there is a
        usable worker.
        """
        step = unit.shape
        needs = accounted(step)
        best: _Room | None = None
        best_rank: tuple[bool, bool, int, int, int] | None = None
        urgent = unit.entry.queue.priority == 0
        near = False
        for room in rooms:
            away = bool(step.rack) and room.worker.rack != step.rack
            near = near or (bool(step.rack) and not away)
            if not room.fits(needs):
                continue
            if step.max_per_worker and (
                room.counts.get(unit.name, 0) >= step.max_per_worker
            ):
                continue
            rack_free = 0 if urgent else self._rack_free[room.worker.rack]
            rank = (away, room.avoid, rack_free, room.accelerators, room.cores)
            if best_rank is None or rank < best_rank:
                best, best_rank = room, rank
        if best_rank is not None and best_rank[0] and near:
            return None
        return best

    def _bind(self, unit: Unit, index: int, room: _Room) -> None:
        room.take(accounted(unit.shape))
        room.fills += unit.shape.fill
        room.serves += unit.shape.target_ms > 0
        self._rack_free[room.worker.rack] -= unit.shape.needs.accelerators
        self._count(unit, room, 1)
        tasks = unit.entry.occurrences[unit.occurrence][unit.step]
        run = tasks[index].run
        if unit.shape.gang:
            run = max(task.run for task in tasks)
        self.placements.append(
            workflow.Placement(
                unit.key(index), run + 1, room.worker.worker_id, room.worker.born
            )
        )

    def _make_room(
        self, unit: Unit, indexes: tuple[int, ...], scopes: list[list[_Room]]
    ) -> None:
        """Reserve room that stops free, for all tasks or for none."""
        best: list[tuple[_Room, list[workflow.Placement]]] = []
        best_cost = float("inf")
        if not self._is_guaranteed(unit):
            best_cost = WORTH_STOPPING * _work(unit.shape)
        for rooms in scopes:
            chosen, cost = self._try_room(unit, indexes, rooms)
            if chosen and cost < best_cost:
                best, best_cost = chosen, cost
        needs = accounted(unit.shape)
        for room, victims in best:
            room.take(needs)
            self._count(unit, room, 1)
            self.waiting[unit.name] = Wait.CLEARING
            for victim in victims:
                workflow_id = unit.entry.workflow.workflow_id
                self.preempted.extend((p, workflow_id) for p in self._stop(victim))

    def _is_guaranteed(self, unit: Unit) -> bool:
        """Tell whether all urgent work of an account is within its guarantee."""
        name = unit.entry.workflow.account
        if name not in self._urgent:
            self._urgent[name] = sum(
                step.count * step.needs.accelerators
                for entry in self._state.active.values()
                if entry.workflow.account == name and not entry.queue.priority
                for step in entry.workflow.steps
            )
        account = self._state.index.account(name)
        limit = account.guaranteed_accelerators if account else 0
        return self._urgent[name] <= limit

    def _try_room(
        self, unit: Unit, indexes: tuple[int, ...], rooms: list[_Room]
    ) -> tuple[list[tuple[_Room, list[workflow.Placement]]], float]:
        """Return where tasks would go on some workers, and what the stops cost."""
        needs = accounted(unit.shape)
        chosen: list[tuple[_Room, list[workflow.Placement]]] = []
        stopped: list[workflow.Placement] = []
        total = 0.0
        for _ in indexes:
            found, cost = self._cheapest(unit, needs, rooms)
            if found is None:
                break
            room, victims = found
            for victim in victims:
                stopped += self._stop(victim)
            room.take(needs)
            self._count(unit, room, 1)
            chosen.append(found)
            total += cost
        for room, _ in chosen:
            room.give(needs)
            self._count(unit, room, -1)
        self._keep(stopped)
        return (chosen, total) if len(chosen) == len(indexes) else ([], 0.0)

    def _cheapest(
        self, unit: Unit, needs: workflow.Resources, rooms: list[_Room]
    ) -> tuple[tuple[_Room, list[workflow.Placement]] | None, float]:
        best: tuple[_Room, list[workflow.Placement]] | None = None
        best_cost = float("inf")
        for room in rooms:
            bound = unit.shape.max_per_worker
            if bound and room.counts.get(unit.name, 0) >= bound:
                continue
            victims, cost = self._victims(unit, room, needs, best_cost)
            if victims is None:
                continue
            away = bool(unit.shape.rack) and room.worker.rack != unit.shape.rack
            cost += (room.avoid + away) * AVOID_COST
            if cost < best_cost:
                best, best_cost = (room, victims), cost
        return best, best_cost

    def _victims(
        self, unit: Unit, room: _Room, needs: workflow.Resources, most: float
    ) -> tuple[list[workflow.Placement] | None, float]:
        """Return the cheapest runs to stop so that a need will fit."""
        nothing = workflow.Resources()
        if room.will_fit(needs, nothing):
            return [], 0.0
        if not needs.fits(room.worker.capacity):
            return None, 0.0
        candidates = sorted(
            (self._cost(victim), victim)
            for victim in room.victims
            if victim.task not in self._stopping
            and self._priority(victim) > unit.entry.queue.priority
        )
        chosen: list[workflow.Placement] = []
        freed = nothing
        total = 0.0
        for cost, victim in candidates:
            chosen.append(victim)
            total += cost
            freed = _sum(freed, self._needs(victim))
            if total >= most:
                return None, 0.0
            if room.will_fit(needs, freed):
                return chosen, total
        return None, 0.0

    def _stop(self, victim: workflow.Placement) -> list[workflow.Placement]:
        """Count on the room of a run, and of all other members of its gang."""
        stopped = [
            each for each in self._members(victim) if each.task not in self._stopping
        ]
        for each in stopped:
            self._stopping.add(each.task)
            room = self._by_worker.get(each.worker_id)
            if room is not None:
                room.expect(self._needs(each))
        return stopped

    def _keep(self, stopped: list[workflow.Placement]) -> None:
        """Take a stop back that was only tried."""
        for each in stopped:
            self._stopping.discard(each.task)
            room = self._by_worker.get(each.worker_id)
            if room is not None:
                room.expect(_negative(self._needs(each)))

    def _members(self, victim: workflow.Placement) -> list[workflow.Placement]:
        key = victim.task
        entry = self._state.entries[key.workflow_id]
        if not entry.workflow.steps[key.step].gang:
            return [victim]
        tasks = entry.occurrences[key.occurrence][key.step]
        return [task.placement for task in tasks if task.placement is not None]

    def _needs(self, placement: workflow.Placement) -> workflow.Resources:
        entry = self._state.entries[placement.task.workflow_id]
        return accounted(entry.workflow.steps[placement.task.step])

    def _priority(self, placement: workflow.Placement) -> int:
        return self._state.entries[placement.task.workflow_id].queue.priority

    def _cost(self, victim: workflow.Placement) -> float:
        """Return the core-seconds that are lost if a run stops."""
        key = victim.task
        entry = self._state.entries[key.workflow_id]
        step = entry.workflow.steps[key.step]
        condition = self._conditions[victim.worker_id]
        lost_s = condition.ages_s.get(key, 0.0)
        if step.checkpointing:
            lost_s = min(lost_s, CHECKPOINT_LOSS_S)
        members = step.count if step.gang else 1
        # What has been stopped before is stopped again only if that is much cheaper.
        return victim.run * (STOP_COST + lost_s * _cores(step.needs) * members)


def _work(step: workflow.Step) -> float:
    """Return the declared core-seconds of a step, accelerators included."""
    return step.count * step.estimate_ms / 1000 * _cores(step.needs)


def _cores(needs: workflow.Resources) -> float:
    return needs.cores_milli / 1000 + needs.accelerators * ACCELERATOR_CORES


def _times(needs: workflow.Resources, room: workflow.Resources) -> int:
    """Return how often a need fits into a room."""
    pairs = (
        (needs.cores_milli, room.cores_milli),
        (needs.memory_mb, room.memory_mb),
        (needs.accelerators, room.accelerators),
    )
    return min((has // each for each, has in pairs if each > 0), default=1_000_000)


def _free_accelerators(rooms: list[_Room]) -> int:
    return sum(max(room.accelerators, 0) for room in rooms)


def _negative(needs: workflow.Resources) -> workflow.Resources:
    return workflow.Resources(-needs.cores_milli, -needs.memory_mb, -needs.accelerators)


def _sum(a: workflow.Resources, b: workflow.Resources) -> workflow.Resources:
    return workflow.Resources(
        a.cores_milli + b.cores_milli,
        a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators,
    )
