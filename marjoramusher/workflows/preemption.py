"""Selection of the runs that are preempted for urgent tasks."""

import enum
import heapq
import operator
from collections.abc import Hashable, Iterable, Iterator, Mapping, Sequence

import msgspec

from . import (
    availability,
    backlog,
    choices,
    condition,
    machine,
    resources,
    shortage,
    workflow,
)

# Fixed cost of a stop in core-seconds, beside the lost work. It keeps tasks that have
# just started from being stopped without need.
STOP_COST_CORE_S = 1.0
# Beyond the guarantee of its account, urgent work may cause the loss of this multiple
# of its own work: a core-second of it is worth about ten times as much as one of the
# work that it preempts.
MAX_COST_FACTOR = 4.0
# Cost factor of urgent victims beyond the guarantee of their account: less urgent work
# is stopped first unless its loss is more than this many times as large.
URGENT_VICTIM_FACTOR = 10.0
# Added for a suspect worker and for one away from the data. It exceeds the cost of any
# set of victims, so that such a worker is the last choice.
LAST_RESORT_COST = 1e6
# Lost time of a long-running task: request, stop and startup on another worker.
RESTART_S = 10.0
CHECKPOINT_LOSS_S = 0.5  # work since the last checkpoint, and restoring it


class _Dependence(enum.Enum):
    """What the choices for a worker depend on beside that worker."""

    NONE = enum.auto()
    GANGS = enum.auto()  # members that run elsewhere end with those on the worker
    BUDGETS = enum.auto()  # of long-running steps, which depend on runs anywhere


class _Victim(msgspec.Struct, frozen=True):
    """A run that may be stopped.

    Parameters
    ----------
    cost : float
        Cost of stopping it, in core-seconds.
    needs : Resources
        What the run reserves on its worker.
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


# Equal costs are ordered by placement. Keys compare faster than structs.
_stop_order = operator.attrgetter("cost", "placement")


class Preemptor:
    """Choose victims, and reserve the resources that they will free.

    Parameters
    ----------
    candidates : mapping of str to Candidate
        Usable workers by id.
    """

    __slots__ = (
        "_candidates",
        "_choices",
        "_conditions",
        "_dependences",
        "_peers",
        "_ranked_victims",
        "_shortages",
        "_state",
        "_stopping",
        "_tried",
        "_urgent_accelerators",
    )

    def __init__(
        self,
        state: machine.WorkflowMachine,
        conditions: Mapping[str, condition.WorkerCondition],
        candidates: Mapping[str, resources.Candidate],
    ) -> None:
        self._state = state
        self._conditions = conditions
        self._candidates = candidates
        self._stopping: set[workflow.TaskKey] = set()
        self._urgent_accelerators = backlog.urgent_accelerators_by_account(state)
        self._shortages = shortage.Shortages()
        # Runs on each worker, the cheapest to stop first.
        self._ranked_victims: dict[str, list[_Victim]] = {}
        self._choices = choices.Choices()
        self._tried: dict[tuple[resources.Scope, choices.Request], choices.Tried] = {}
        self._dependences: dict[resources.Scope, _Dependence] = {}
        self._peers: dict[tuple[resources.Scope, int], bool] = {}

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
        if not is_guaranteed:
            best_cost = MAX_COST_FACTOR * resources.core_seconds(pending.step)
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
        for worker_id in {victim.worker_id for victim in stopped}:
            self._drop_stopping(worker_id)
        return stopped

    def forget_shortages(self) -> None:
        """Take into account that there are further candidates."""
        self._shortages = shortage.Shortages()

    def is_within_guarantee(self, name: str) -> bool:
        """Tell whether all active urgent work of an account fits its guarantee."""
        account = self._state.index.account(name)
        limit = account.guaranteed_accelerators if account else 0
        return self._urgent_accelerators.get(name, 0) <= limit

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
        return choices.Request(needs, step.rack, step.gang, priority, account)

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
            for victim in choice.victims:
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
        """Yield the cheapest victims on a worker for one task after the other.

        Choices after the first one take into account what the earlier ones take and
        stop on this worker only.
        """
        step = pending.step
        needs = resources.reserved(step)
        if step.gang and candidate.is_silent:
            return
        if not candidate.has_task_slot(pending.key, step.max_per_worker):
            return
        is_remote = bool(step.rack) and candidate.worker.rack != step.rack
        cost = (candidate.is_suspect + is_remote) * LAST_RESORT_COST
        is_large_enough = needs.fits_within(candidate.worker.capacity)
        # What is lacking for the next task after the stops so far.
        cores_milli, memory_mb, accelerators = candidate.lacking(needs)
        chosen: list[workflow.Placement] = []
        victim_cost = 0.0
        victims = iter(self._victims(candidate))
        while True:
            while (
                accelerators <= 0
                and cores_milli <= 0
                and memory_mb <= 0
                # A closed worker takes others only once it is empty.
                and (
                    not candidate.is_closed or 0 < len(chosen) >= len(candidate.running)
                )
            ):
                yield choices.Choice(candidate, tuple(chosen), victim_cost + cost)
                chosen = []
                victim_cost = 0.0
                cores_milli += needs.cores_milli
                memory_mb += needs.memory_mb
                accelerators += needs.accelerators
            victim = next(victims, None) if is_large_enough else None
            if victim is None:
                return
            placement = victim.placement
            if (
                placement.task in self._stopping
                or not self._is_preemptible(victim, pending)
                or (victim.is_long_running and not self._can_stop(placement, chosen))
            ):
                continue
            chosen.append(placement)
            victim_cost += victim.cost
            cores_milli -= victim.needs.cores_milli
            memory_mb -= victim.needs.memory_mb
            accelerators -= victim.needs.accelerators

    def _victims(self, candidate: resources.Candidate) -> list[_Victim]:
        """Return the runs on a worker, the cheapest to stop first."""
        worker_id = candidate.worker.worker_id
        victims = self._ranked_victims.get(worker_id)
        if victims is None:
            victims = self._ranked_victims[worker_id] = sorted(
                map(self._victim, candidate.running), key=_stop_order
            )
        return victims

    def _victim(self, placement: workflow.Placement) -> _Victim:
        entry = self._state.entries[placement.task.workflow_id]
        step = entry.workflow.steps[placement.task.step]
        return _Victim(
            self._cost(placement),
            placement,
            resources.reserved(step),
            entry.queue.priority,
            entry.workflow.account,
            step.long_running,
            step.gang,
        )

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

    def _can_stop(
        self, victim: workflow.Placement, chosen: list[workflow.Placement]
    ) -> bool:
        """Tell whether a stop respects the disruption budget of a long-running step."""
        return availability.can_stop(
            self._state,
            victim,
            lambda other: (
                other in chosen
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
        entry = self._state.entries[placement.task.workflow_id]
        return resources.reserved(entry.workflow.steps[placement.task.step])

    def _cost(self, victim: workflow.Placement) -> float:
        """Return the cost of stopping a run, in core-seconds.

        It rises with the number of the run, so that a task that was stopped before is
        stopped again only if that is much cheaper.
        """
        key = victim.task
        entry = self._state.entries[key.workflow_id]
        step = entry.workflow.steps[key.step]
        lost_s = self._conditions[victim.worker_id].ages_s.get(key, 0.0)
        if step.long_running:
            lost_s = RESTART_S
        elif step.checkpointing:
            lost_s = min(lost_s, CHECKPOINT_LOSS_S)
        members = step.count if step.gang else 1
        factor = (
            victim.run if entry.queue.priority else URGENT_VICTIM_FACTOR * victim.run
        )
        return factor * (
            STOP_COST_CORE_S + lost_s * resources.core_equivalents(step.needs) * members
        )
