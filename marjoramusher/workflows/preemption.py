"""Selection of the runs that are preempted for urgent tasks."""

import enum
import heapq
import math
import operator
from collections.abc import Hashable, Iterable, Iterator, Mapping, Sequence

import msgspec

from . import (
    availability,
    backlog,
    choices,
    condition,
    delay_cost,
    machine,
    resources,
    shortage,
    workflow,
)

# Beyond the guarantee of its account, urgent work may cause the loss of this multiple
# of its own work: a core-second of it is worth about ten times as much as one of the
# work that it preempts.
MAX_COST_FACTOR = 4.0
# Added for a suspect worker and for one away from the data. It exceeds the cost of any
# set of victims, so that such a worker is the last choice.
LAST_RESORT_COST = 1e6
# Share of its slack that a step waits for runs to end instead of stopping others. The
# rest allows for run times that are longer than estimated.
MAX_WAIT_SHARE = 0.5
# Time from the end of a run until its room is used: two commits, a plan and a start.
START_DELAY_S = 0.3
# Cost of waiting for a run that ends by itself, in core-seconds for each second. It
# makes the run that ends first the first choice; any stop costs more.
AWAIT_COST_CORE_S = 0.01
# Waits are rounded down to a multiple of this, so that steps with about the same time
# left share choices. With 0.25 s, 29 to 54 percent of the steps that could wait stop
# others instead (docs/design/room-by-shape.md).
WAIT_STEP_S = 0.125


class _Dependence(enum.Enum):
    """What the choices for a worker depend on beside that worker."""

    NONE = enum.auto()
    GANGS = enum.auto()  # members that run elsewhere end with those on the worker
    BUDGETS = enum.auto()  # of long-running steps, which depend on runs anywhere


class _Victim(msgspec.Struct, frozen=True):
    """A run that may be stopped.

    The members of a gang on one worker are one victim, since they stop together.

    Parameters
    ----------
    cost : float
        Cost of stopping it, in core-seconds.
    needs : Resources
        What is reserved on the worker.
    members : tuple of Placement
        All runs on the worker that are part of it.
    priority : int
        Priority of its queue, 0 for urgent work.
    """

    cost: float
    placement: workflow.Placement
    needs: workflow.Resources
    priority: int
    account: str
    is_long_running: bool
    is_gang: bool
    members: tuple[workflow.Placement, ...]


# Equal costs are ordered by placement. Keys compare faster than structs.
_stop_order = operator.attrgetter("cost", "placement")


class Preemptor:
    """Choose victims, and reserve the resources that they will free.

    Parameters
    ----------
    candidates : mapping of str to Candidate
        Usable workers by id.
    now_ms : float
        Unix milliseconds.

    Attributes
    ----------
    awaiting : set of StepKey
        Steps that wait for runs to end by themselves that they could have stopped.
    """

    __slots__ = (
        "_candidates",
        "_choices",
        "_conditions",
        "_costs",
        "_dependences",
        "_ending",
        "_max_wait_s",
        "_now_ms",
        "_peers",
        "_ranked_victims",
        "_remaining_range_s",
        "_shortages",
        "_state",
        "_stopping",
        "_tried",
        "_urgent_accelerators",
        "awaiting",
    )

    def __init__(
        self,
        state: machine.WorkflowMachine,
        conditions: Mapping[str, condition.WorkerCondition],
        candidates: Mapping[str, resources.Candidate],
        now_ms: float,
    ) -> None:
        self._state = state
        self._conditions = conditions
        self._candidates = candidates
        self._stopping: set[workflow.TaskKey] = set()
        self._urgent_accelerators = backlog.urgent_accelerators_by_account(state)
        self._shortages = shortage.Shortages()
        self._now_ms = now_ms
        self._costs = delay_cost.StopCosts(state, now_ms)
        self.awaiting: set[resources.StepKey] = set()
        # How long the step in question may wait for runs to end by themselves.
        self._max_wait_s = 0.0
        # Runs on each worker with the time until their end, the first to end first.
        self._ending: dict[str, list[tuple[float, workflow.Placement]]] = {}
        # Runs on each worker, the cheapest to stop first.
        self._ranked_victims: dict[str, list[_Victim]] = {}
        self._choices = choices.Choices()
        self._tried: dict[tuple[resources.Scope, choices.Request], choices.Tried] = {}
        self._dependences: dict[resources.Scope, _Dependence] = {}
        self._peers: dict[tuple[resources.Scope, int], bool] = {}
        self._remaining_range_s: tuple[float, float] | None = None

    def preempt(
        self,
        pending: backlog.PendingStep,
        count: int,
        kind: Hashable | None,
        scopes: list[resources.Scope],
    ) -> list[workflow.Placement] | None:
        """Reserve resources for some tasks, and return the runs to stop for them.

        Parameters
        ----------
        count : int
            Number of tasks; resources are reserved for all of them or none.
        kind : hashable or None
            Equal for steps that need the same resources and workers; ``None`` if no
            other step does.
        scopes : list of Scope
            Sets of workers, one of which has to hold all tasks.

        Returns
        -------
        list of Placement or None
            Empty if the runs that are already stopping suffice; ``None`` if nothing
            is reserved.
        """
        best: Sequence[choices.Choice] = []
        best_cost = float("inf")
        account = pending.entry.workflow.account
        is_guaranteed = self.is_within_guarantee(account)
        # Accounts differ in what they may stop only within their guarantee.
        shortage_kind = (
            kind,
            pending.entry.queue.priority,
            account if is_guaranteed else "",
        )
        if kind is not None and self._shortages.covers(shortage_kind, count):
            return None
        self._max_wait_s = 0.0
        if not is_guaranteed:
            best_cost = MAX_COST_FACTOR * resources.core_seconds(pending.step)
            slack_s = delay_cost.slack_s(self._state, pending, self._now_ms)
            self._max_wait_s = self._wait_s(MAX_WAIT_SHARE * slack_s - START_DELAY_S)
        has_room = False
        for scope in scopes:
            found, cost = self._evaluate(pending, count, scope, best_cost)
            if found:
                best, best_cost = found, cost
            has_room = has_room or bool(found) or cost >= best_cost
            if found and not cost:
                break
        if not best:
            if kind is not None and not has_room:
                self._shortages.record(shortage_kind, count)
            return None
        stopped: list[workflow.Placement] = []
        needs = resources.reserved(pending.step)
        for choice in best:
            choice.candidate.allocate(needs)
            choice.candidate.adjust_task_count(pending.key, 1)
            for victim in choice.victims:
                stopped += self._mark_stopping(victim)
        awaited = self._mark_awaited(pending, best)
        for worker_id in {run.worker_id for run in stopped + awaited}:
            self._drop_stopping(worker_id)
        return stopped

    def _mark_awaited(
        self, pending: backlog.PendingStep, chosen: Sequence[choices.Choice]
    ) -> list[workflow.Placement]:
        """Let later steps neither stop the awaited runs nor count on their room."""
        awaited: list[workflow.Placement] = []
        for choice in chosen:
            for placement in choice.awaited:
                if self._is_preemptible(self._victim((placement,)), pending):
                    self.awaiting.add(pending.key)
                awaited += self._mark_stopping(placement)
        return awaited

    def forget_shortages(self) -> None:
        """Take into account that there are further candidates."""
        self._shortages = shortage.Shortages()

    def is_within_guarantee(self, name: str) -> bool:
        """Tell whether all active urgent work of an account fits its guarantee."""
        account = self._state.index.account(name)
        limit = account.guaranteed_accelerators if account else 0
        return self._urgent_accelerators.get(name, 0) <= limit

    def _wait_s(self, limit_s: float) -> float:
        """Return how long a step may wait for runs to end, in a few distinct values.

        Above the largest remaining time of a run all values have the same effect, and
        so do those below the least one.
        """
        if self._remaining_range_s is None:
            remaining_s = [
                value
                for status in self._conditions.values()
                for value in status.remaining_s.values()
            ]
            self._remaining_range_s = (
                min(remaining_s, default=math.inf),
                max(remaining_s, default=0.0),
            )
        least_s, largest_s = self._remaining_range_s
        rounded_s = math.floor(limit_s / WAIT_STEP_S) * WAIT_STEP_S
        if rounded_s <= 0.0 or rounded_s < least_s:
            return 0.0
        return min(rounded_s, largest_s)

    def _request(
        self, pending: backlog.PendingStep, scope: resources.Scope
    ) -> choices.Request:
        """Return everything of a step that the choices for its tasks depend on.

        Steps with equal requests share choices, so whatever else comes to decide which
        runs are stopped for a step has to be part of it.
        """
        step = pending.step
        priority = pending.entry.queue.priority
        account: str | bool = pending.entry.workflow.account
        if not self.is_within_guarantee(account):
            account = False
        elif not self._has_peers(scope, priority):
            account = True
        needs = resources.reserved(step)
        return choices.Request(
            needs, step.rack, step.gang, priority, account, self._max_wait_s
        )

    def _evaluate(
        self,
        pending: backlog.PendingStep,
        count: int,
        scope: resources.Scope,
        max_cost: float,
    ) -> tuple[Sequence[choices.Choice], float]:
        """Return where the tasks would go and the total cost, changing nothing.

        The choices for equal requests are kept until a worker of the scope changes.

        Returns
        -------
        list of Choice
            Empty if there is no room, or if the cost would be `max_cost` or more.
        float
            At least `max_cost` if that is the reason.
        """
        is_shared = scope.version is not None and not pending.step.max_per_worker
        dependence = self._dependence(scope)
        if not is_shared or dependence is _Dependence.BUDGETS:
            tried = self._try(pending, count, scope, max_cost, None)
            return tried.answer(count, max_cost)
        request = self._request(pending, scope)
        if dependence is _Dependence.GANGS:
            key = (scope, request)
            known = self._tried.get(key)
            if (
                known is None
                or known.version != scope.version
                or not known.answers(count, max_cost)
            ):
                known = self._try(pending, count, scope, max_cost, request)
                self._tried[key] = known
            return known.answer(count, max_cost)
        search = self._choices.search(
            scope, request, lambda candidate: self._choose(pending, candidate)
        )
        return search.answer(count, max_cost)

    def _try(
        self,
        pending: backlog.PendingStep,
        count: int,
        scope: resources.Scope,
        max_cost: float,
        request: choices.Request | None,
    ) -> choices.Tried:
        """Choose workers and victims by changes that are undone.

        The choice for each worker is kept from task to task, and made again only for
        workers whose resources or victims have changed.

        Parameters
        ----------
        request : Request or None
            ``None`` if no other step has the same first choices.
        """
        candidates = scope.candidates
        needs = resources.reserved(pending.step)

        def choose(candidate: resources.Candidate) -> Iterator[choices.Choice]:
            return self._choose(pending, candidate)

        options = self._choices.first(candidates, request, choose)
        cheapest = [
            (option.cost, position)
            for position, option in enumerate(options)
            if option is not None
        ]
        heapq.heapify(cheapest)

        def update(changed: Iterable[int]) -> None:
            for position in changed:
                option = next(choose(candidates[position]), None)
                options[position] = option
                if option is not None:
                    heapq.heappush(cheapest, (option.cost, position))

        chosen: list[choices.Choice] = []
        trial = resources.Trial()
        stopped: list[workflow.Placement] = []
        total_cost = 0.0
        costs: list[float] = []
        while len(chosen) < count and cheapest:
            cost, position = heapq.heappop(cheapest)
            choice = options[position]
            if choice is None or choice.cost != cost:
                continue  # made before the worker changed
            total_cost += cost
            costs.append(total_cost)
            if total_cost >= max_cost:
                break
            chosen.append(choice)
            trial.begin(choice.candidate)
            choice.candidate.allocate(needs)
            choice.candidate.adjust_task_count(pending.key, 1)
            marked: list[workflow.Placement] = []
            for victim in choice.victims + choice.awaited:
                marked += self._mark_stopping(victim, trial)
            stopped += marked
            if any(self._is_long_running(victim) for victim in marked):
                # Their disruption budget may rule out victims on any worker.
                update(range(len(candidates)))
                continue
            changed = {
                scope.positions.get(victim.worker_id, position) for victim in marked
            }
            update(changed | {position})
        for choice in chosen:
            choice.candidate.deallocate(needs)
            choice.candidate.adjust_task_count(pending.key, -1)
        self._unmark_stopping(stopped)
        trial.end()
        is_exhausted = len(chosen) == len(costs) < count
        return choices.Tried(tuple(chosen), tuple(costs), is_exhausted, scope.version)

    def _dependence(self, scope: resources.Scope) -> _Dependence:
        """Return what else than a worker itself its choices in a scope depend on."""
        known = self._dependences.get(scope)
        if known is None:
            victims = [
                victim
                for candidate in scope.candidates
                for victim in self._victims(candidate)
            ]
            known = _Dependence.NONE
            if any(victim.is_long_running for victim in victims):
                known = _Dependence.BUDGETS
            elif any(victim.is_gang for victim in victims):
                known = _Dependence.GANGS
            self._dependences[scope] = known
        return known

    def _has_peers(self, scope: resources.Scope, priority: int) -> bool:
        """Tell whether the account of a request decides which runs it may stop."""
        key = (scope, priority)
        known = self._peers.get(key)
        if known is None:
            known = self._peers[key] = any(
                victim.priority <= priority
                for candidate in scope.candidates
                for victim in self._victims(candidate)
            )
        return known

    def _choose(
        self, pending: backlog.PendingStep, candidate: resources.Candidate
    ) -> Iterator[choices.Choice]:
        """Return the cheapest choices on a worker for one task after the other.

        Choices after the first one take into account what the earlier ones take and
        stop on this worker only. They are made when they are asked for, so they must
        not depend on the step for which that is done.
        """
        return self._next_choices(pending, candidate, self._max_wait_s)

    def _next_choices(
        self,
        pending: backlog.PendingStep,
        candidate: resources.Candidate,
        max_wait_s: float,
    ) -> Iterator[choices.Choice]:
        step = pending.step
        needs = resources.reserved(step)
        if step.gang and candidate.is_silent:
            return
        if not candidate.has_task_slot(pending.key, step.max_per_worker):
            return
        is_remote = bool(step.rack) and candidate.worker.rack != step.rack
        cost = (candidate.is_suspect + is_remote) * LAST_RESORT_COST
        is_large_enough = needs.fits_within(candidate.worker.capacity)
        # What is lacking for the next task after the ends so far.
        lacking = workflow.Resources(*candidate.lacking(needs))
        taken: set[workflow.Placement] = set()
        while True:
            if not candidate.is_closed and _is_covered(lacking):
                yield choices.Choice(candidate, (), cost)
            elif not is_large_enough:
                return
            else:
                found = self._ends(pending, candidate, max_wait_s, lacking, taken)
                if found is None:
                    return
                victims, awaited, end_cost = found
                placements = tuple([victim.placement for victim in victims])
                yield choices.Choice(candidate, placements, cost + end_cost, awaited)
                for victim in victims:
                    taken.update(victim.members)
                    lacking = _less(lacking, victim.needs)
                for placement in awaited:
                    taken.add(placement)
                    lacking = _less(lacking, self._needs(placement))
            lacking = resources.combined(lacking, needs)

    def _ends(
        self,
        pending: backlog.PendingStep,
        candidate: resources.Candidate,
        max_wait_s: float,
        lacking: workflow.Resources,
        taken: set[workflow.Placement],
    ) -> tuple[Sequence[_Victim], tuple[workflow.Placement, ...], float] | None:
        """Return the cheapest victims and awaited runs for one task on a worker.

        Parameters
        ----------
        lacking : Resources
            What has to become free.
        taken : set of Placement
            Runs that end for earlier tasks.

        Returns
        -------
        tuple or None
            Victims, awaited runs, and their cost in core-seconds; ``None`` if not
            enough runs may be stopped.
        """
        awaited: tuple[workflow.Placement, ...] = ()
        await_cost = 0.0
        if max_wait_s > 0.0 and not candidate.is_closed:
            awaited, lacking, wait_s = self._awaited(
                candidate, max_wait_s, lacking, taken
            )
            await_cost = AWAIT_COST_CORE_S * wait_s
            if awaited and _is_covered(lacking):
                return (), awaited, await_cost
        chosen: list[_Victim] = []
        count = 0
        victim_cost = 0.0
        may_spare = False  # one of equal victims is never superfluous
        for victim in self._victims(candidate):
            placement = victim.placement
            if (
                placement.task in self._stopping
                or placement in taken
                or placement in awaited
                or not self._is_preemptible(victim, pending)
                or (victim.is_long_running and not self._can_stop(placement, chosen))
            ):
                continue
            if chosen and victim.needs != chosen[0].needs:
                may_spare = True
            chosen.append(victim)
            count += len(victim.members)
            victim_cost += victim.cost
            lacking = _less(lacking, victim.needs)
            if candidate.is_closed and count < len(candidate.running):
                continue  # a closed worker takes others only once it is empty
            if _is_covered(lacking):
                if may_spare and not candidate.is_closed:
                    chosen = _needed(chosen, lacking)
                    victim_cost = sum(victim.cost for victim in chosen)
                return chosen, awaited, victim_cost + await_cost
        return None

    def _awaited(
        self,
        candidate: resources.Candidate,
        max_wait_s: float,
        lacking: workflow.Resources,
        taken: set[workflow.Placement],
    ) -> tuple[tuple[workflow.Placement, ...], workflow.Resources, float]:
        """Return runs that end soon enough, what is lacking then, and the wait.

        They are no more than a task needs. Work within a guarantee does not wait, and a
        closed worker takes others only once it is empty.
        """
        awaited: list[workflow.Placement] = []
        wait_s = 0.0
        for remaining_s, placement in self._ending_runs(candidate):
            if remaining_s > max_wait_s or _is_covered(lacking):
                break
            if placement.task not in self._stopping and placement not in taken:
                awaited.append(placement)
                lacking = _less(lacking, self._needs(placement))
                wait_s = remaining_s
        return tuple(awaited), lacking, wait_s

    def _ending_runs(
        self, candidate: resources.Candidate
    ) -> list[tuple[float, workflow.Placement]]:
        """Return the runs on a worker whose end is known, the first to end first."""
        worker_id = candidate.worker.worker_id
        ending = self._ending.get(worker_id)
        if ending is None:
            remaining_s = self._conditions[worker_id].remaining_s
            ending = self._ending[worker_id] = sorted(
                (remaining_s[placement.task], placement)
                for placement in candidate.running
                if placement.task in remaining_s
            )
        return ending

    def _victims(self, candidate: resources.Candidate) -> list[_Victim]:
        """Return the runs on a worker, the cheapest to stop first."""
        worker_id = candidate.worker.worker_id
        victims = self._ranked_victims.get(worker_id)
        if victims is None:
            units: dict[Hashable, list[workflow.Placement]] = {}
            for placement in candidate.running:
                step = self._step(placement)
                is_joint = step.gang and not step.long_running
                key = resources.step_key(placement.task) if is_joint else placement
                units.setdefault(key, []).append(placement)
            victims = self._ranked_victims[worker_id] = sorted(
                (self._victim(tuple(members)) for members in units.values()),
                key=_stop_order,
            )
        return victims

    def _victim(self, members: tuple[workflow.Placement, ...]) -> _Victim:
        placement = members[0]
        entry = self._state.entries[placement.task.workflow_id]
        step = entry.workflow.steps[placement.task.step]
        return _Victim(
            self._cost(placement),
            placement,
            resources.multiplied(resources.reserved(step), len(members)),
            entry.queue.priority,
            entry.workflow.account,
            step.long_running,
            step.gang,
            members,
        )

    def _step(self, placement: workflow.Placement) -> workflow.Step:
        entry = self._state.entries[placement.task.workflow_id]
        return entry.workflow.steps[placement.task.step]

    def _drop_stopping(self, worker_id: str) -> None:
        """Remove the runs that are stopping from the victims on a worker."""
        victims = self._ranked_victims.get(worker_id)
        if victims is not None:
            self._ranked_victims[worker_id] = [
                victim
                for victim in victims
                if victim.placement.task not in self._stopping
            ]

    def _is_preemptible(self, victim: _Victim, pending: backlog.PendingStep) -> bool:
        """Tell whether a run may be stopped for the tasks of a step.

        Less urgent runs may be. Work within the guarantee of its account may also stop
        urgent runs of other accounts that exceed theirs. Long-running tasks serve
        users, so only guaranteed work may stop them.
        """
        account = pending.entry.workflow.account
        if victim.priority > pending.entry.queue.priority:
            return not victim.is_long_running or self.is_within_guarantee(account)
        return (
            victim.account != account
            and not self.is_within_guarantee(victim.account)
            and self.is_within_guarantee(account)
        )

    def _can_stop(self, victim: workflow.Placement, chosen: list[_Victim]) -> bool:
        """Tell whether a stop respects the disruption budget of a long-running step."""
        stopped = {placement for unit in chosen for placement in unit.members}
        return availability.can_stop(
            self._state,
            victim,
            lambda other: (
                other in stopped
                or other.task in self._stopping
                or not self._is_serving(other)
            ),
        )

    def _is_long_running(self, placement: workflow.Placement) -> bool:
        step = self._state.step(placement.task)
        return step is not None and step.long_running

    def _is_serving(self, placement: workflow.Placement) -> bool:
        status = self._conditions.get(placement.worker_id)
        return status is not None and placement in status.serving

    def _mark_stopping(
        self, victim: workflow.Placement, trial: resources.Trial | None = None
    ) -> list[workflow.Placement]:
        """Mark a run and the other members of its gang as stopping."""
        stopped = [
            member
            for member in self._members(victim)
            if member.task not in self._stopping
        ]
        for member in stopped:
            self._stopping.add(member.task)
            candidate = self._candidates.get(member.worker_id)
            if candidate is not None:
                if trial is not None:
                    trial.begin(candidate)
                candidate.expect_freed(self._needs(member))
        return stopped

    def _unmark_stopping(self, stopped: list[workflow.Placement]) -> None:
        """Undo `_mark_stopping` after a trial."""
        for member in stopped:
            self._stopping.discard(member.task)
            candidate = self._candidates.get(member.worker_id)
            if candidate is not None:
                candidate.expect_freed(resources.negated(self._needs(member)))

    def _members(self, victim: workflow.Placement) -> list[workflow.Placement]:
        """Return the runs that end together with a run."""
        key = victim.task
        entry = self._state.entries[key.workflow_id]
        if not entry.workflow.steps[key.step].gang:
            return [victim]
        tasks = entry.occurrences[key.occurrence][key.step]
        return [task.placement for task in tasks if task.placement is not None]

    def _needs(self, placement: workflow.Placement) -> workflow.Resources:
        return resources.reserved(self._step(placement))

    def _cost(self, victim: workflow.Placement) -> float:
        """Return the cost of stopping a run, in core-seconds."""
        status = self._conditions[victim.worker_id]
        return self._costs.cost_core_s(
            victim,
            status.ages_s.get(victim.task, 0.0),
            status.remaining_s.get(victim.task),
        )


def _is_covered(lacking: workflow.Resources) -> bool:
    """Tell whether nothing is lacking."""
    return (
        lacking.accelerators <= 0
        and lacking.cores_milli <= 0
        and lacking.memory_mb <= 0
    )


def _less(lacking: workflow.Resources, freed: workflow.Resources) -> workflow.Resources:
    """Return what is lacking after resources have become free."""
    return workflow.Resources(
        lacking.cores_milli - freed.cores_milli,
        lacking.memory_mb - freed.memory_mb,
        lacking.accelerators - freed.accelerators,
    )


def _needed(chosen: list[_Victim], lacking: workflow.Resources) -> list[_Victim]:
    """Return the victims without those that the others make superfluous.

    Several cheap runs may have been chosen before a larger one that suffices. The most
    expensive ones are spared first.

    Parameters
    ----------
    lacking : Resources
        What is lacking once all victims, and the runs whose end is awaited, have ended;
        nothing is.
    """
    needed = []
    for victim in reversed(chosen):
        without = resources.combined(lacking, victim.needs)
        if _is_covered(without):
            lacking = without
        else:
            needed.append(victim)
    return needed[::-1]
