"""Selection of the runs that are preempted for urgent tasks."""

import heapq
from collections.abc import Hashable, Iterable, Mapping

import msgspec

from . import (
    availability,
    backlog,
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


class _Choice(msgspec.Struct, frozen=True):
    """A worker for a task, and the runs to stop there so that the task fits."""

    candidate: resources.Candidate
    victims: tuple[workflow.Placement, ...]
    cost: float


class _Request(msgspec.Struct, frozen=True):
    """What the choices for a task depend on, beside the workers.

    Parameters
    ----------
    account : str or bool
        Account of the step if it is within its guarantee, or whether it is if no run
        in the scope is as urgent.
    """

    needs: workflow.Resources
    rack: str
    is_gang: bool
    priority: int
    account: str | bool


class _Search:
    """Choices for one task after the other, cheapest first.

    Attributes
    ----------
    costs : list of float
        Total cost with each choice, and with a further one if that was too expensive.
    is_exhausted : bool
        Whether there is no room for more tasks.
    version : int
        Version of the scope for which the choices were made.
    """

    __slots__ = ("choices", "costs", "is_exhausted", "version")

    def __init__(self) -> None:
        self.choices: list[_Choice] = []
        self.costs: list[float] = []
        self.is_exhausted = False
        self.version = 0

    def answers(self, count: int, max_cost: float) -> bool:
        """Tell whether a search for other tasks would find nothing else."""
        return (
            self.is_exhausted
            or len(self.choices) >= count
            or (bool(self.costs) and self.costs[-1] >= max_cost)
        )

    def answer(self, count: int, max_cost: float) -> tuple[list[_Choice], float]:
        """Return the choices for some tasks, and the cost; see `Preemptor`."""
        costs = self.costs[:count]
        total_cost = costs[-1] if costs else 0.0
        if total_cost >= max_cost:
            return [], total_cost
        if len(self.choices) < count:
            return [], total_cost
        return self.choices[:count], total_cost


class _Victim(msgspec.Struct, frozen=True, order=True):
    """A run that may be stopped, ordered by the cost of stopping it.

    Parameters
    ----------
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
        "_independent",
        "_peers",
        "_ranked_victims",
        "_searches",
        "_shortages",
        "_state",
        "_stopping",
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
        self._urgent_accelerators: dict[str, int] = {}
        self._shortages = shortage.Shortages()
        # Runs on each worker, the cheapest to stop first.
        self._ranked_victims: dict[str, list[_Victim]] = {}
        # Choices for the first task, with the version of the worker, and searches, by
        # what they depend on.
        self._choices: dict[
            _Request, dict[resources.Candidate, tuple[int, _Choice | None]]
        ] = {}
        self._searches: dict[tuple[resources.Scope, _Request], _Search] = {}
        self._independent: dict[resources.Scope, bool] = {}
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
        best: list[_Choice] = []
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
        request = None if kind is None else self._choice_request(pending)
        for scope in scopes:
            choices, cost = self._evaluate(pending, count, scope, best_cost, request)
            if choices:
                best, best_cost = choices, cost
            has_room = has_room or bool(choices) or cost >= best_cost
            if choices and not cost:
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
        if name not in self._urgent_accelerators:
            self._urgent_accelerators[name] = sum(
                step.count * step.needs.accelerators
                for entry in self._state.active.values()
                if entry.workflow.account == name and not entry.queue.priority
                for step in entry.workflow.steps
            )
        account = self._state.index.account(name)
        limit = account.guaranteed_accelerators if account else 0
        return self._urgent_accelerators[name] <= limit

    def _choice_request(self, pending: backlog.PendingStep) -> _Request:
        """Return everything of a step that the choices for its tasks depend on.

        Steps with equal requests share choices, so whatever else comes to decide which
        runs are stopped for a step has to be part of it.
        """
        step = pending.step
        account = pending.entry.workflow.account
        return _Request(
            resources.reserved(step),
            step.rack,
            step.gang,
            pending.entry.queue.priority,
            account if self.is_within_guarantee(account) else "",
        )

    def _evaluate(
        self,
        pending: backlog.PendingStep,
        count: int,
        scope: resources.Scope,
        max_cost: float,
        request: _Request | None,
    ) -> tuple[list[_Choice], float]:
        """Return where the tasks would go and the total cost, changing nothing.

        The choices for equal requests are kept until a worker of the scope changes.

        Returns
        -------
        list of _Choice
            Empty if there is no room, or if the cost would be `max_cost` or more.
        float
            At least `max_cost` if that is the reason.
        """
        version = scope.version
        if request is None or version is None or not self._is_independent(scope):
            return self._search(pending, count, scope, max_cost, None).answer(
                count, max_cost
            )
        if not self._has_peers(scope, request.priority):
            request = msgspec.structs.replace(request, account=bool(request.account))
        key = (scope, request)
        known = self._searches.get(key)
        if (
            known is None
            or known.version != version
            or not known.answers(count, max_cost)
        ):
            known = self._search(pending, count, scope, max_cost, request)
            known.version = version
            self._searches[key] = known
        return known.answer(count, max_cost)

    def _search(
        self,
        pending: backlog.PendingStep,
        count: int,
        scope: resources.Scope,
        max_cost: float,
        request: _Request | None,
    ) -> _Search:
        """Choose workers and victims for one task after the other, as a trial.

        The choice for each worker is kept from task to task, and made again only for
        workers whose resources or victims have changed.
        """
        candidates = scope.candidates
        needs = resources.reserved(pending.step)
        options = self._first_choices(pending, needs, candidates, request)
        cheapest = [
            (option.cost, position)
            for position, option in enumerate(options)
            if option is not None
        ]
        heapq.heapify(cheapest)

        def update(changed: Iterable[int]) -> None:
            for position in changed:
                option = self._cheapest_choice(pending, needs, candidates[position])
                options[position] = option
                if option is not None:
                    heapq.heappush(cheapest, (option.cost, position))

        found = _Search()
        trial = resources.Trial()
        stopped: list[workflow.Placement] = []
        total_cost = 0.0
        while len(found.choices) < count and cheapest:
            cost, position = heapq.heappop(cheapest)
            choice = options[position]
            if choice is None or choice.cost != cost:
                continue  # made before the worker changed
            total_cost += cost
            found.costs.append(total_cost)
            if total_cost >= max_cost:
                break
            found.choices.append(choice)
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
            changed = {position}
            worker_id = choice.candidate.worker.worker_id
            for victim in marked:
                if victim.worker_id != worker_id:
                    changed.add(scope.positions.get(victim.worker_id, position))
            update(changed)
        else:
            found.is_exhausted = len(found.choices) < count
        for choice in found.choices:
            choice.candidate.deallocate(needs)
            choice.candidate.adjust_task_count(pending.key, -1)
        self._unmark_stopping(stopped)
        trial.end()
        return found

    def _first_choices(
        self,
        pending: backlog.PendingStep,
        needs: workflow.Resources,
        candidates: Iterable[resources.Candidate],
        request: _Request | None,
    ) -> list[_Choice | None]:
        """Return the choice of each worker for the first task.

        Parameters
        ----------
        request : _Request or None
            Equal for requests that share their choices; ``None`` if none does.
        """
        if request is None:
            return [
                self._cheapest_choice(pending, needs, candidate)
                for candidate in candidates
            ]
        known = self._choices.setdefault(request, {})
        options: list[_Choice | None] = []
        for candidate in candidates:
            version, option = known.get(candidate, (-1, None))
            if version != candidate.version:
                option = self._cheapest_choice(pending, needs, candidate)
                known[candidate] = candidate.version, option
            options.append(option)
        return options

    def _is_independent(self, scope: resources.Scope) -> bool:
        """Tell whether the choice for each worker depends on that worker only.

        The disruption budget of a long-running step depends on runs anywhere.
        """
        known = self._independent.get(scope)
        if known is None:
            known = self._independent[scope] = not any(
                victim.is_long_running
                for candidate in scope.candidates
                for victim in self._victims(candidate)
            )
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

    def _cheapest_choice(
        self,
        pending: backlog.PendingStep,
        needs: workflow.Resources,
        candidate: resources.Candidate,
    ) -> _Choice | None:
        """Return the cheapest victims for one task on a worker, and their cost."""
        step = pending.step
        if step.gang and candidate.is_silent:
            return None
        if not candidate.has_task_slot(pending.key, step.max_per_worker):
            return None
        is_remote = bool(step.rack) and candidate.worker.rack != step.rack
        cost = (candidate.is_suspect + is_remote) * LAST_RESORT_COST
        if not candidate.is_closed and candidate.will_fit(needs):
            return _Choice(candidate, (), cost)
        if not needs.fits_within(candidate.worker.capacity):
            return None
        chosen: list[workflow.Placement] = []
        victim_cost = 0.0
        # What is lacking after the stops so far.
        cores_milli, memory_mb, accelerators = candidate.lacking(needs)
        for victim in self._victims(candidate):
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
            if candidate.is_closed and len(chosen) < len(candidate.running):
                continue  # a closed worker takes others only once it is empty
            if accelerators <= 0 and cores_milli <= 0 and memory_mb <= 0:
                return _Choice(candidate, tuple(chosen), victim_cost + cost)
        return None

    def _victims(self, candidate: resources.Candidate) -> list[_Victim]:
        """Return the runs on a worker, the cheapest to stop first."""
        worker_id = candidate.worker.worker_id
        victims = self._ranked_victims.get(worker_id)
        if victims is None:
            victims = self._ranked_victims[worker_id] = sorted(
                self._victim(placement) for placement in candidate.running
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
