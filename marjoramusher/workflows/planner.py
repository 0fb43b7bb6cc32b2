"""Which tasks start where, and which ones give way."""

import enum
from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

import msgspec

from . import catalog, condition, machine, permit, preemption, room, unit, workflow

# Gangs for which room is kept while others end. With more of them at once too much
# room would stand idle.
MAX_RESERVATIONS = 2
# Work that has less time than this multiple of its declared run time takes room that
# is kept for urgent work, too.
PRESSING = 2.0


class Wait(enum.Enum):
    """Why tasks that are ready were not placed."""

    ROOM = "no room"
    HEADROOM = "room is kept for urgent work"
    DATA = "no room near the data"
    CLEARING = "others are being stopped for it"
    WORKERS = "no usable worker of the service fits"
    PERMIT = "no permit for a worker with room"


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
    preempted: tuple[tuple[workflow.Placement, str], ...] = ()
    waiting: dict[room.UnitName, Wait] = {}
    questions: tuple[permit.Question, ...] = ()


class Situation(msgspec.Struct, frozen=True):
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
    conditions: Mapping[str, condition.Condition]
    now_ms: float
    early_ms: float = 0.0
    headroom: int = 0
    permits: permit.Permits = msgspec.field(default_factory=permit.Permits)
    now_s: float = 0.0


class Planner(Protocol):
    """Decide what starts where; see `plan`."""

    def __call__(self, situation: Situation) -> Plan:
        """Place what waits."""


def plan(situation: Situation) -> Plan:
    """Place what waits, the most urgent first."""
    planner = _Planner(situation)
    now_ms = situation.now_ms
    waiting = sorted(
        unit.waiting(situation.state, now_ms + situation.early_ms),
        key=lambda each: _rank(each, now_ms),
    )
    for each in waiting:
        planner.place(each)
    return Plan(
        tuple(planner.placements),
        tuple(planner.preempted),
        planner.waiting,
        tuple(planner.questions),
    )


def _rank(wanted: unit.Unit, now_ms: float) -> tuple[int, bool, float]:
    """Order by priority; what is hopelessly late comes last in its priority."""
    late = wanted.deadline_ms < now_ms
    return wanted.entry.queue.priority, late, wanted.deadline_ms


class _Planner:
    """Free room, and what the plan has decided so far."""

    def __init__(self, situation: Situation) -> None:
        state, conditions = situation.state, situation.conditions
        self._state = state
        self._headroom = situation.headroom
        self._now_ms = situation.now_ms
        self._permits = situation.permits
        self._now_s = situation.now_s
        self._reservations = 0
        self._rack_free: dict[str, int] = {}
        self._rooms: dict[str, list[room.Room]] = {}
        self.placements: list[workflow.Placement] = []
        self.preempted: list[tuple[workflow.Placement, str]] = []
        self.waiting: dict[room.UnitName, Wait] = {}
        self.questions: list[permit.Question] = []
        by_worker: dict[str, room.Room] = {}
        for known in state.workers.values():
            worker = known.worker
            believed = conditions.get(worker.worker_id)
            if believed is None or not believed.usable or worker.draining:
                continue
            made = self._occupied(worker, believed)
            made.takes_fill = believed.takes_fill
            self._rooms.setdefault(worker.service, []).append(made)
            by_worker[worker.worker_id] = made
            free = max(made.accelerators, 0)
            self._rack_free[worker.rack] = self._rack_free.get(worker.rack, 0) + free
        self._preemption = preemption.Preemption(state, conditions, by_worker)

    def _occupied(
        self, worker: workflow.Worker, believed: condition.Condition
    ) -> room.Room:
        """Return the room of a worker without what its runs take."""
        made = room.Room(worker, believed.avoid)
        for key, placement in self._state.placed(worker.worker_id).items():
            entry = self._state.entries[key.workflow_id]
            step = entry.workflow.steps[key.step]
            needs = room.accounted(step)
            made.take(needs)
            made.count((key.workflow_id, key.occurrence, key.step), 1)
            made.fills += step.fill
            made.serves += step.target_ms > 0
            if placement in believed.stopping or not entry.is_active:
                made.expect(needs)
            else:
                made.victims.append(placement)
        return made

    def place(self, wanted: unit.Unit) -> None:
        """Place all or some tasks of a unit, or have others stop for it."""
        if wanted.shape.gang:
            self._place_gang(wanted)
        else:
            self._place_tasks(wanted)
        policy = wanted.entry.queue.policy
        if policy is not None and self.waiting.get(wanted.name) not in (
            None,
            Wait.HEADROOM,
        ):
            self._ask(wanted, policy)

    def _place_tasks(self, wanted: unit.Unit) -> None:
        rooms = list(self._eligible(wanted))
        for index in wanted.indexes:
            if not self._is_pressing(wanted) and not self._leaves_headroom(wanted, 1):
                self.waiting[wanted.name] = Wait.HEADROOM
                return
            found = self._best(wanted, rooms)
            if found is not None:
                self._bind(wanted, index, found)
                continue
            self.waiting[wanted.name] = _reason(wanted, rooms)
            if wanted.entry.queue.priority:
                return
            self._preempt(wanted, 1, [rooms])

    def _place_gang(self, wanted: unit.Unit) -> None:
        scopes = self._scopes(wanted)
        count = len(wanted.indexes)
        if not self._is_pressing(wanted) and not self._leaves_headroom(wanted, count):
            self.waiting[wanted.name] = Wait.HEADROOM
            self._reserve(wanted, scopes)
            return
        for rooms in scopes:
            chosen = self._fit_gang(wanted, rooms)
            if chosen:
                for index, there in zip(wanted.indexes, chosen, strict=True):
                    self._bind(wanted, index, there)
                return
        self.waiting[wanted.name] = _reason(wanted, list(self._eligible(wanted)))
        if wanted.entry.queue.priority:
            self._reserve(wanted, scopes)
        else:
            self._preempt(wanted, count, scopes)

    def _leaves_headroom(self, wanted: unit.Unit, count: int) -> bool:
        """Tell whether some tasks leave the room that is kept for urgent work.

        Long-running tasks have to be at work all the time.
        """
        if wanted.entry.queue.priority == 0 or not self._headroom:
            return True
        if wanted.shape.long_running:
            return True
        rooms = self._rooms.get(wanted.entry.queue.service, [])
        taken = count * wanted.shape.needs.accelerators
        return room.free_accelerators(rooms) - taken >= self._headroom

    def _is_pressing(self, wanted: unit.Unit) -> bool:
        """Tell whether a task or gang must start now to be complete in time."""
        left_ms = wanted.deadline_ms - self._now_ms
        return left_ms < PRESSING * wanted.shape.estimate_ms

    def _reserve(self, wanted: unit.Unit, scopes: list[list[room.Room]]) -> None:
        """Keep what less pressing work would take from a gang that waits.

        Small tasks take each accelerator that becomes free, so a gang would wait for
        ever for all of its room at once.
        """
        if self._reservations >= MAX_RESERVATIONS:
            return
        needs = room.accounted(wanted.shape)
        rooms = [
            each
            for each in max(scopes, key=room.free_accelerators)
            if needs.fits(each.worker.capacity)
        ]
        if not rooms:
            return
        self._reservations += 1
        for _ in wanted.indexes:
            max(rooms, key=lambda each: (each.accelerators, each.cores)).take(needs)

    def _preempt(
        self, wanted: unit.Unit, count: int, scopes: list[list[room.Room]]
    ) -> None:
        stopped = self._preemption.clear(wanted, count, scopes)
        if stopped is not None:
            self.waiting[wanted.name] = Wait.CLEARING
            workflow_id = wanted.entry.workflow.workflow_id
            self.preempted.extend((each, workflow_id) for each in stopped)

    def _ask(self, wanted: unit.Unit, policy: catalog.Policy) -> None:
        """Ask which other workers may run a step that waits.

        A permit that has run out is asked for again only where there is room, since
        it does not last until others end.
        """
        needs = room.accounted(wanted.shape)
        urgent = wanted.entry.queue.priority == 0
        known = self._permits
        rooms = [
            each
            for each in self._suitable(wanted)
            if needs.fits(each.worker.capacity)
            and known.can_ask(wanted.name, each.worker, self._now_s)
            and (
                urgent
                or each.fits(needs)
                or not known.has_answer(wanted.name, each.worker)
            )
        ]
        if not rooms:
            return
        if wanted.shape.gang or not any(
            each.fits(needs) for each in self._eligible(wanted)
        ):
            self.waiting[wanted.name] = Wait.PERMIT
        rooms.sort(key=lambda each: self._ask_rank(wanted, each))
        workers = tuple(each.worker for each in rooms[: permit.WORKERS_ASKED])
        self.questions.append(permit.Question(wanted.name, workers, policy))

    def _ask_rank(
        self, wanted: unit.Unit, each: room.Room
    ) -> tuple[bool, bool, bool, int]:
        """Ask first about workers near the data, with room, on an empty rack."""
        step = wanted.shape
        away = bool(step.rack) and each.worker.rack != step.rack
        full = not each.fits(room.accounted(step))
        return away, full, each.avoid, -self._rack_free[each.worker.rack]

    def _eligible(self, wanted: unit.Unit) -> Iterator[room.Room]:
        """Give the workers that a task may run on now."""
        policed = wanted.entry.queue.policy is not None
        for each in self._suitable(wanted):
            worker = each.worker
            if policed and not self._permits.ticket(
                wanted.name, worker.worker_id, worker.born, self._now_s
            ):
                continue
            yield each

    def _suitable(self, wanted: unit.Unit) -> Iterator[room.Room]:
        """Give the workers that have what a task requires.

        Tasks that fill unused cores don't come to a worker on which they have to be
        slowed down for tasks that serve users.
        """
        step = wanted.shape
        for each in self._rooms.get(wanted.entry.queue.service, ()):
            if step.label and step.label not in each.worker.labels:
                continue
            if step.fill and each.serves and not each.takes_fill:
                continue
            yield each

    def _scopes(self, wanted: unit.Unit) -> list[list[room.Room]]:
        """Return the sets of workers that a gang may be spread over, fullest first.

        A gang that is slowed down on several racks waits for one rack, unless it is
        too large for any.
        """
        rooms = list(self._eligible(wanted))
        if not wanted.shape.same_rack:
            return [rooms]
        racks: dict[str, list[room.Room]] = {}
        for each in rooms:
            racks.setdefault(each.worker.rack, []).append(each)
        needs = room.accounted(wanted.shape)
        large = [
            rack
            for rack in racks.values()
            if sum(room.times(needs, each.worker.capacity) for each in rack)
            >= wanted.shape.count
        ]
        return sorted(large, key=room.free_accelerators) or [rooms]

    def _fit_gang(self, wanted: unit.Unit, rooms: list[room.Room]) -> list[room.Room]:
        """Return a worker for each member, or none at all."""
        needs = room.accounted(wanted.shape)
        chosen: list[room.Room] = []
        for _ in wanted.indexes:
            found = self._best(wanted, rooms)
            if found is None:
                break
            found.take(needs)
            found.count(wanted.name, 1)
            chosen.append(found)
        for each in chosen:
            each.give(needs)
            each.count(wanted.name, -1)
        return chosen if len(chosen) == len(wanted.indexes) else []

    def _best(self, wanted: unit.Unit, rooms: Iterable[room.Room]) -> room.Room | None:
        """Return the fullest worker that a task fits on, near its data if it has any.

        Work that may be preempted fills one rack after the other, so that urgent
        gangs of one rack find room without stopping it. Away from its data a task
        takes several times as long, so it waits for room there as long as there is a
        usable worker. Tasks that fill and tasks that serve disturb each other, so they
        share a worker only where there is no other room.
        """
        step = wanted.shape
        needs = room.accounted(step)
        best: room.Room | None = None
        best_rank: tuple[bool, bool, bool, int, int, int] | None = None
        urgent = wanted.entry.queue.priority == 0
        near = False
        for each in rooms:
            away = bool(step.rack) and each.worker.rack != step.rack
            near = near or (bool(step.rack) and not away)
            if not each.fits(needs):
                continue
            if not each.takes_more(wanted.name, step.max_per_worker):
                continue
            rack_free = 0 if urgent else self._rack_free[each.worker.rack]
            shared = room.is_shared(each, step)
            if step.fill:
                # Those that fill share the cores that are left.
                rank = (away, shared, each.avoid, each.fills, -each.cores, 0)
            else:
                free = (rack_free, each.accelerators, each.cores)
                rank = (away, shared, each.avoid, *free)
            if best_rank is None or rank < best_rank:
                best, best_rank = each, rank
        if best_rank is not None and best_rank[0] and near:
            return None
        return best

    def _bind(self, wanted: unit.Unit, index: int, there: room.Room) -> None:
        there.take(room.accounted(wanted.shape))
        there.fills += wanted.shape.fill
        there.serves += wanted.shape.target_ms > 0
        there.count(wanted.name, 1)
        self._rack_free[there.worker.rack] -= wanted.shape.needs.accelerators
        tasks = wanted.entry.occurrences[wanted.occurrence][wanted.step]
        run = tasks[index].run
        if wanted.shape.gang:
            run = max(task.run for task in tasks)
        self.placements.append(
            workflow.Placement(
                wanted.key(index), run + 1, there.worker.worker_id, there.worker.born
            )
        )


def _reason(wanted: unit.Unit, eligible: list[room.Room]) -> Wait:
    """Return why a task or gang has found no room."""
    needs = room.accounted(wanted.shape)
    rooms = [each for each in eligible if needs.fits(each.worker.capacity)]
    if not rooms:
        return Wait.WORKERS
    if wanted.shape.rack and any(each.fits(needs) for each in rooms):
        return Wait.DATA
    return Wait.ROOM
