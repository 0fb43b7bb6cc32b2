"""Decisions about the runs on workers that have announced when they will leave."""

import enum
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

import msgspec

from . import availability, condition, machine, resources, workflow

# Progress is reported in whole percent, so the remaining time of a run that has done a
# twentieth of its work is off by up to this share. Within it, runs may end in time.
ESTIMATE_ERROR = 0.2


class Verdict(enum.Enum):
    """What to do with a run, or all members of a gang, on a departing worker."""

    FINISH = "finish"  # it ends before the worker leaves
    MOVE = "move"  # it is stopped, and starts again on another worker
    WAIT = "wait"  # nothing is gained by a stop now


class Settings(msgspec.Struct, frozen=True):
    """Durations that decide how early a run has to be stopped.

    Parameters
    ----------
    stop_s : float
        Maximum time until a stop has taken effect, with the checkpoint saved.
    restore_s : float
        Maximum time that a run needs to restore a checkpoint.
    report_s : float
        Maximum time between the end of a run and the report of its checkpoint,
        including the interval between two decisions.
    """

    stop_s: float = 0.9
    restore_s: float = 0.6
    report_s: float = 1.75


class Work(msgspec.Struct, frozen=True):
    """A run, or all members of a gang, of which some are on a departing worker.

    Parameters
    ----------
    time_left_s : float
        Minimum time until the first of the workers leaves.
    remaining_s : float or None
        Expected time until the run or the last member ends, ``None`` if unknown.
    age_s : float
        Time since its start.
    has_checkpoints : bool
        Whether a stop saves its work.
    has_room : bool
        Whether other workers have free resources for it, for all members of a gang.
    is_long_running : bool
        Whether it only ends by a stop.
    can_stop : bool
        Whether a stop keeps a long-running step within `max_unavailable`.
    """

    time_left_s: float
    remaining_s: float | None = None
    age_s: float = 0.0
    has_checkpoints: bool = False
    has_room: bool = False
    is_long_running: bool = False
    can_stop: bool = True


class Decision(msgspec.Struct, frozen=True):
    """Verdict on a run or a gang.

    Parameters
    ----------
    placements : tuple of Placement
        The run, or all members of the gang.
    departing : tuple of Placement
        Those of them that are on departing workers.
    reason : str
        Why, for log lines.
    """

    placements: tuple[workflow.Placement, ...]
    departing: tuple[workflow.Placement, ...]
    verdict: Verdict
    reason: str


def decide(work: Work, settings: Settings) -> tuple[Verdict, str]:
    """Return what to do with a run or a gang, and the reason.

    A run with checkpoints uses its worker as long as its checkpoint can still be saved
    and reported; its stop costs the same at any time, and until then it may end by
    itself. The work of others is lost with the worker anyway, so they are stopped at
    once if they can't end in time and there is room for them.
    """
    if work.is_long_running:
        return _decide_long_running(work)
    remaining_s, time_left_s = work.remaining_s, work.time_left_s
    if remaining_s is not None and remaining_s <= time_left_s:
        return Verdict.FINISH, "it ends before its worker leaves"
    # A checkpoint of less work than it takes to restore is of no use.
    if work.has_checkpoints and work.age_s + time_left_s > settings.restore_s:
        if time_left_s > settings.stop_s + settings.report_s:
            return Verdict.WAIT, "its checkpoint can be saved later"
        return Verdict.MOVE, "its worker leaves, its checkpoint is saved"
    if remaining_s is None:
        return Verdict.WAIT, "its remaining time is not known"
    if remaining_s <= time_left_s * (1 + ESTIMATE_ERROR):
        return Verdict.WAIT, "it may end before its worker leaves"
    if time_left_s <= settings.stop_s:
        return Verdict.WAIT, "its worker leaves before a stop takes effect"
    if not work.has_room:
        return Verdict.WAIT, "no other worker has room"
    return Verdict.MOVE, "its worker leaves before it ends"


def _decide_long_running(work: Work) -> tuple[Verdict, str]:
    if not work.can_stop:
        return Verdict.WAIT, "too many tasks of its step are unavailable"
    if not work.has_room:
        return Verdict.WAIT, "no other worker has room"
    return Verdict.MOVE, "its worker leaves"


def decisions(
    state: machine.WorkflowMachine,
    conditions: Mapping[str, condition.WorkerCondition],
    time_left_s: Mapping[str, float],
    settings: Settings,
    is_unavailable: Callable[[workflow.Placement], bool],
) -> Iterator[Decision]:
    """Yield a decision for each run and gang on departing workers.

    Runs that are being stopped are left out, but room is kept for their next runs. Each
    decision has to be carried out before the next one is requested, since the
    disruption budget of a long-running step depends on it.

    Parameters
    ----------
    time_left_s : mapping of str to float
        Minimum time until each departing worker leaves.
    is_unavailable : callable
        Tells whether a long-running task is not serving or is being stopped.
    """
    room = _Room(state, conditions, time_left_s)
    stopping = {
        placement for status in conditions.values() for placement in status.stopping
    }
    works = list(_works(state, time_left_s))
    for placements, _ in works:
        if not stopping.isdisjoint(placements):
            room.take(placements)
    for placements, departing in works:
        if not stopping.isdisjoint(placements):
            continue
        step = state.step(placements[0].task)
        if step is None:
            continue
        can_stop = not step.long_running or all(
            availability.can_stop(state, placement, is_unavailable)
            for placement in departing
        )
        work = Work(
            min(time_left_s[placement.worker_id] for placement in departing),
            _remaining_s(placements, conditions),
            min(_age_s(placement, conditions) for placement in placements),
            step.checkpointing,
            has_room=True,
            is_long_running=step.long_running,
            can_stop=can_stop,
        )
        verdict, reason = decide(work, settings)
        # The search for room takes time, so it is made only for runs that need it.
        if verdict is Verdict.MOVE and room.find(placements) is None:
            work = msgspec.structs.replace(work, has_room=False)
            verdict, reason = decide(work, settings)
        if verdict is Verdict.MOVE:
            room.take(placements)
        yield Decision(placements, departing, verdict, reason)


def _works(
    state: machine.WorkflowMachine, departing_workers: Collection[str]
) -> Iterator[tuple[tuple[workflow.Placement, ...], tuple[workflow.Placement, ...]]]:
    """Yield each run or gang, the most urgent first, and its departing members."""
    found: dict[resources.StepKey, None] = {}
    singles: list[workflow.Placement] = []
    for worker_id in sorted(departing_workers):
        for key, placement in state.placements_on(worker_id).items():
            entry = state.entries[key.workflow_id]
            task = state.task(key)
            if not entry.is_active or task is None or task.done:
                continue
            if entry.workflow.steps[key.step].gang:
                found[resources.step_key(key)] = None
            else:
                singles.append(placement)
    works = [((placement,), (placement,)) for placement in singles]
    for workflow_id, occurrence, step in found:
        tasks = state.entries[workflow_id].occurrences[occurrence][step]
        members = tuple(task.placement for task in tasks if task.placement is not None)
        if len(members) < len(tasks) or any(task.done for task in tasks):
            continue  # such a gang ends or is stopped anyway
        leaving = tuple(item for item in members if item.worker_id in departing_workers)
        works.append((members, leaving))

    def urgency(work: tuple[tuple[workflow.Placement, ...], object]) -> tuple[int, int]:
        entry = state.entries[work[0][0].task.workflow_id]
        return entry.queue.priority, entry.workflow.submitted_ms

    yield from sorted(works, key=urgency)


def _remaining_s(
    placements: Iterable[workflow.Placement],
    conditions: Mapping[str, condition.WorkerCondition],
) -> float | None:
    """Return when the last of some runs is expected to end, ``None`` if unknown."""
    remaining_s = 0.0
    for placement in placements:
        status = conditions.get(placement.worker_id)
        expected_s = status.remaining_s.get(placement.task) if status else None
        if expected_s is None:
            return None
        remaining_s = max(remaining_s, expected_s)
    return remaining_s


def _age_s(
    placement: workflow.Placement,
    conditions: Mapping[str, condition.WorkerCondition],
) -> float:
    status = conditions.get(placement.worker_id)
    return status.ages_s.get(placement.task, 0.0) if status else 0.0


class _Room:
    """Free resources of the workers that stay, by service.

    Parameters
    ----------
    departing_workers : collection of str
        Workers that are not counted.
    """

    __slots__ = ("_by_service", "_by_worker", "_conditions", "_departing", "_state")

    def __init__(
        self,
        state: machine.WorkflowMachine,
        conditions: Mapping[str, condition.WorkerCondition],
        departing_workers: Collection[str],
    ) -> None:
        self._state = state
        self._conditions = conditions
        self._departing = departing_workers
        self._by_service: dict[str, list[resources.Candidate]] = {}
        self._by_worker: dict[str, resources.Candidate] = {}

    def take(self, placements: tuple[workflow.Placement, ...]) -> None:
        """Use the room for the next runs of some tasks, if there is any."""
        step = self._state.step(placements[0].task)
        spread = self.find(placements)
        if step is None or spread is None:
            return
        self._vacate(placements, step)
        for candidate in spread:
            _occupy(candidate, placements[0], step)

    def find(
        self, placements: tuple[workflow.Placement, ...]
    ) -> list[resources.Candidate] | None:
        """Return a worker for each run, ``None`` if there is no room for all.

        The members of a gang free their resources on the workers that stay.
        """
        first = placements[0]
        step = self._state.step(first.task)
        if step is None:
            return None
        service = self._state.entries[first.task.workflow_id].queue.service
        candidates = self._candidates(service)
        vacated = self._vacate(placements, step)
        spread = next(
            filter(
                None,
                (
                    _spread(first, step, len(placements), scope)
                    for scope in _scopes(step, candidates)
                ),
            ),
            None,
        )
        for candidate in vacated:
            _occupy(candidate, first, step)
        return spread

    def _candidates(self, service: str) -> list[resources.Candidate]:
        if service not in self._by_service:
            self._by_service[service] = []
            for registered in self._state.workers.values():
                worker = registered.worker
                status = self._conditions.get(worker.worker_id)
                if (
                    worker.service != service
                    or worker.draining
                    or worker.worker_id in self._departing
                    or status is None
                    or not status.is_usable
                    or status.is_quarantined
                    or status.is_silent
                ):
                    continue
                candidate = resources.Candidate(worker, status.is_suspect)
                for key, placement in self._state.placements_on(
                    worker.worker_id
                ).items():
                    step = self._state.step(key)
                    if step is not None:
                        _occupy(candidate, placement, step)
                self._by_service[service].append(candidate)
                self._by_worker[worker.worker_id] = candidate
        return self._by_service[service]

    def _vacate(
        self, placements: Iterable[workflow.Placement], step: workflow.Step
    ) -> list[resources.Candidate]:
        """Free the resources of some runs, and return their workers, one a run."""
        vacated = []
        for placement in placements:
            candidate = self._by_worker.get(placement.worker_id)
            if candidate is not None:
                _release(candidate, placement, step)
                vacated.append(candidate)
        return vacated


def _scopes(
    step: workflow.Step, candidates: list[resources.Candidate]
) -> Iterator[list[resources.Candidate]]:
    """Yield the sets of workers that may each take a run, or a whole gang.

    Like the planner, this looks for room near the data, and in one rack for a gang
    that runs slower on several, as long as these could hold it.
    """
    needs = resources.reserved(step)
    count = step.count if step.gang else 1

    def can_hold(members: Iterable[resources.Candidate]) -> bool:
        sizes = (resources.max_tasks(needs, item.worker.capacity) for item in members)
        limit = step.max_per_worker
        return sum(min(size, limit) if limit else size for size in sizes) >= count

    suitable = [
        item
        for item in candidates
        if not step.label or step.label in item.worker.labels
    ]
    if step.rack:
        near = [item for item in suitable if item.worker.rack == step.rack]
        suitable = near if can_hold(near) else suitable
    if not (step.gang and step.same_rack):
        yield suitable
        return
    by_rack: dict[str, list[resources.Candidate]] = {}
    for candidate in suitable:
        by_rack.setdefault(candidate.worker.rack, []).append(candidate)
    large = [members for members in by_rack.values() if can_hold(members)]
    yield from large or [suitable]


def _spread(
    run: workflow.Placement,
    step: workflow.Step,
    count: int,
    candidates: Iterable[resources.Candidate],
) -> list[resources.Candidate] | None:
    """Return a worker for each of some runs of a step, ``None`` if not all fit."""
    needs = resources.reserved(step)
    key = resources.step_key(run.task)
    chosen: list[resources.Candidate] = []
    for candidate in candidates:
        if len(chosen) == count:
            break
        while (
            len(chosen) < count
            and candidate.has_free(needs)
            and candidate.has_task_slot(key, step.max_per_worker)
        ):
            _occupy(candidate, run, step)
            chosen.append(candidate)
    for candidate in chosen:
        _release(candidate, run, step)
    return chosen if len(chosen) == count else None


def _occupy(
    candidate: resources.Candidate, run: workflow.Placement, step: workflow.Step
) -> None:
    candidate.allocate(resources.reserved(step))
    candidate.adjust_task_count(resources.step_key(run.task), 1)


def _release(
    candidate: resources.Candidate, run: workflow.Placement, step: workflow.Step
) -> None:
    candidate.deallocate(resources.reserved(step))
    candidate.adjust_task_count(resources.step_key(run.task), -1)
