"""Selection of the runs that are preempted for urgent tasks."""

import heapq
from collections.abc import Hashable, Iterable, Mapping

import msgspec

from . import (
    availability,
    backlog,
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


class _Choice(msgspec.Struct, frozen=True):
    """A worker for a task, and the runs to stop there so that the task fits.

    Parameters
    ----------
    awaited : tuple of Placement
        Runs that end by themselves soon enough for the task, and need no stop.
    """

    candidate: resources.Candidate
    victims: tuple[workflow.Placement, ...]
    cost: float
    awaited: tuple[workflow.Placement, ...] = ()


class _Victim(msgspec.Struct, frozen=True, order=True):
    """A run that may be stopped, ordered by the cost of stopping it.

    The members of a gang on one worker are one victim, since they stop together.

    Parameters
    ----------
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
    members: tuple[workflow.Placement, ...]


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
        "_conditions",
        "_costs",
        "_ending",
        "_max_wait_s",
        "_now_ms",
        "_ranked_victims",
        "_shortages",
        "_state",
        "_stopping",
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
        self._urgent_accelerators: dict[str, int] = {}
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

    def preempt(
        self,
        pending: backlog.PendingStep,
        count: int,
        kind: Hashable | None,
        scopes: list[list[resources.Candidate]],
    ) -> list[workflow.Placement] | None:
        """Reserve resources for some tasks, and return the runs to stop for them.

        Parameters
        ----------
        count : int
            Number of tasks; resources are reserved for all of them or none.
        kind : hashable or None
            Equal for steps that need the same resources and workers; ``None`` if no
            other step does.
        scopes : list of list of Candidate
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
        request = (kind, pending.entry.queue.priority, account if is_guaranteed else "")
        if kind is not None and self._shortages.covers(request, count):
            return None
        self._max_wait_s = 0.0
        if not is_guaranteed:
            best_cost = MAX_COST_FACTOR * resources.core_seconds(pending.step)
            slack_s = delay_cost.slack_s(self._state, pending, self._now_ms)
            self._max_wait_s = MAX_WAIT_SHARE * slack_s - START_DELAY_S
        has_room = False
        for candidates in scopes:
            choices, cost = self._evaluate(pending, count, candidates, best_cost)
            if choices:
                best, best_cost = choices, cost
            has_room = has_room or bool(choices) or cost >= best_cost
            if choices and not cost:
                break
        if not best:
            if kind is not None and not has_room:
                self._shortages.record(request, count)
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
        self, pending: backlog.PendingStep, choices: list[_Choice]
    ) -> list[workflow.Placement]:
        """Let later steps neither stop the awaited runs nor count on their room."""
        awaited: list[workflow.Placement] = []
        for choice in choices:
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

    def _evaluate(
        self,
        pending: backlog.PendingStep,
        count: int,
        candidates: list[resources.Candidate],
        max_cost: float,
    ) -> tuple[list[_Choice], float]:
        """Return where the tasks would go and the total cost, changing nothing.

        The choice for each worker is kept from task to task, and made again only for
        workers whose resources or victims have changed.

        Returns
        -------
        list of _Choice
            Empty if there is no room, or if the cost would be `max_cost` or more.
        float
            At least `max_cost` if that is the reason.
        """
        needs = resources.reserved(pending.step)
        positions = {
            candidate.worker.worker_id: position
            for position, candidate in enumerate(candidates)
        }
        options: list[_Choice | None] = [None] * len(candidates)
        cheapest: list[tuple[float, int]] = []

        def update(changed: Iterable[int]) -> None:
            for position in changed:
                option = self._cheapest_choice(pending, needs, candidates[position])
                options[position] = option
                if option is not None:
                    heapq.heappush(cheapest, (option.cost, position))

        update(range(len(candidates)))
        choices: list[_Choice] = []
        stopped: list[workflow.Placement] = []
        total_cost = 0.0
        while len(choices) < count and cheapest:
            cost, position = heapq.heappop(cheapest)
            choice = options[position]
            if choice is None or choice.cost != cost:
                continue  # made before the worker changed
            total_cost += cost
            if total_cost >= max_cost:
                break
            choices.append(choice)
            choice.candidate.allocate(needs)
            choice.candidate.adjust_task_count(pending.key, 1)
            marked: list[workflow.Placement] = []
            for victim in choice.victims + choice.awaited:
                marked += self._mark_stopping(victim)
            stopped += marked
            if any(self._is_long_running(victim) for victim in marked):
                # Their disruption budget may rule out victims on any worker.
                update(range(len(candidates)))
                continue
            changed = {positions.get(victim.worker_id, position) for victim in marked}
            update(changed | {position})
        for choice in choices:
            choice.candidate.deallocate(needs)
            choice.candidate.adjust_task_count(pending.key, -1)
        self._unmark_stopping(stopped)
        return (choices if len(choices) == count else []), total_cost

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
        awaited: tuple[workflow.Placement, ...] = ()
        freed = resources.NOTHING
        if self._max_wait_s > 0.0 and not candidate.is_closed:
            awaited, freed, wait_s = self._awaited(needs, candidate)
            cost += AWAIT_COST_CORE_S * wait_s
            if awaited and candidate.will_fit(needs, freed):
                return _Choice(candidate, (), cost, awaited)
        chosen: list[_Victim] = []
        count = 0
        victim_cost = 0.0
        may_spare = False  # one of equal victims is never superfluous
        for victim in self._victims(candidate):
            placement = victim.placement
            if (
                placement.task in self._stopping
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
            freed = resources.combined(freed, victim.needs)
            if candidate.is_closed and count < len(candidate.running):
                continue  # a closed worker takes others only once it is empty
            if candidate.will_fit(needs, freed):
                if may_spare and not candidate.is_closed:
                    chosen = _needed(candidate, needs, chosen, freed)
                    victim_cost = sum(victim.cost for victim in chosen)
                placements = tuple([victim.placement for victim in chosen])
                return _Choice(candidate, placements, victim_cost + cost, awaited)
        return None

    def _awaited(
        self,
        needs: workflow.Resources,
        candidate: resources.Candidate,
    ) -> tuple[tuple[workflow.Placement, ...], workflow.Resources, float]:
        """Return runs that end soon enough, their resources and the time until then.

        They are no more than a task needs. Work within a guarantee does not wait, and a
        closed worker takes others only once it is empty.
        """
        awaited: list[workflow.Placement] = []
        freed, wait_s = resources.NOTHING, 0.0
        for remaining_s, placement in self._ending_runs(candidate):
            if remaining_s > self._max_wait_s or candidate.will_fit(needs, freed):
                break
            if placement.task not in self._stopping:
                awaited.append(placement)
                freed = resources.combined(freed, self._needs(placement))
                wait_s = remaining_s
        return tuple(awaited), freed, wait_s

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
                self._victim(tuple(members)) for members in units.values()
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

    def _mark_stopping(self, victim: workflow.Placement) -> list[workflow.Placement]:
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


def _needed(
    candidate: resources.Candidate,
    needs: workflow.Resources,
    chosen: list[_Victim],
    freed: workflow.Resources,
) -> list[_Victim]:
    """Return the victims without those that the others make superfluous.

    Several cheap runs may have been chosen before a larger one that suffices. The most
    expensive ones are spared first.

    Parameters
    ----------
    freed : Resources
        Resources that all victims, and the runs whose end is awaited, will free.
    """
    needed = []
    for victim in reversed(chosen):
        without = resources.combined(freed, resources.negated(victim.needs))
        if candidate.will_fit(needs, without):
            freed = without
        else:
            needed.append(victim)
    return needed[::-1]
