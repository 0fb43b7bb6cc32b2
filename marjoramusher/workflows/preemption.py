"""Selection of the runs that are preempted for urgent tasks."""

from collections.abc import Mapping

import msgspec

from . import availability, backlog, condition, machine, resources, workflow

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


class Preemptor:
    """Choose victims, and reserve the resources that they will free.

    Parameters
    ----------
    candidates : mapping of str to Candidate
        Usable workers by id.
    """

    __slots__ = (
        "_candidates",
        "_conditions",
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

    def preempt(
        self,
        pending: backlog.PendingStep,
        count: int,
        scopes: list[list[resources.Candidate]],
    ) -> list[workflow.Placement] | None:
        """Reserve resources for some tasks, and return the runs to stop for them.

        Parameters
        ----------
        count : int
            Number of tasks; resources are reserved for all of them or none.
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
        if not self._is_within_guarantee(pending.entry.workflow.account):
            best_cost = MAX_COST_FACTOR * resources.core_seconds(pending.step)
        for candidates in scopes:
            choices, cost = self._evaluate(pending, count, candidates)
            if choices and cost < best_cost:
                best, best_cost = choices, cost
        if not best:
            return None
        stopped: list[workflow.Placement] = []
        needs = resources.reserved(pending.step)
        for choice in best:
            choice.candidate.allocate(needs)
            choice.candidate.adjust_task_count(pending.key, 1)
            for victim in choice.victims:
                stopped += self._mark_stopping(victim)
        return stopped

    def _is_within_guarantee(self, name: str) -> bool:
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
    ) -> tuple[list[_Choice], float]:
        """Return where the tasks would go and the total cost, changing nothing."""
        needs = resources.reserved(pending.step)
        choices: list[_Choice] = []
        stopped: list[workflow.Placement] = []
        total_cost = 0.0
        for _ in range(count):
            choice, cost = self._cheapest_choice(pending, needs, candidates)
            if choice is None:
                break
            for victim in choice.victims:
                stopped += self._mark_stopping(victim)
            choice.candidate.allocate(needs)
            choice.candidate.adjust_task_count(pending.key, 1)
            choices.append(choice)
            total_cost += cost
        for choice in choices:
            choice.candidate.deallocate(needs)
            choice.candidate.adjust_task_count(pending.key, -1)
        self._unmark_stopping(stopped)
        return (choices, total_cost) if len(choices) == count else ([], 0.0)

    def _cheapest_choice(
        self,
        pending: backlog.PendingStep,
        needs: workflow.Resources,
        candidates: list[resources.Candidate],
    ) -> tuple[_Choice | None, float]:
        """Return the cheapest worker and victims for one task, and their cost."""
        step = pending.step
        best: _Choice | None = None
        best_cost = float("inf")
        for candidate in candidates:
            if not candidate.has_task_slot(pending.key, step.max_per_worker):
                continue
            victims, cost = self._cheapest_victims(pending, candidate, needs, best_cost)
            if victims is None:
                continue
            is_remote = bool(step.rack) and candidate.worker.rack != step.rack
            cost += (candidate.is_suspect + is_remote) * LAST_RESORT_COST
            if cost < best_cost:
                best, best_cost = _Choice(candidate, tuple(victims)), cost
        return best, best_cost

    def _cheapest_victims(
        self,
        pending: backlog.PendingStep,
        candidate: resources.Candidate,
        needs: workflow.Resources,
        max_cost: float,
    ) -> tuple[list[workflow.Placement] | None, float]:
        """Return the cheapest runs to stop so that a task fits, and their cost.

        The runs are ``None`` if no set of victims is cheaper than `max_cost`.
        """
        nothing = workflow.Resources()
        if candidate.will_fit(needs, nothing):
            return [], 0.0
        if not needs.fits_within(candidate.worker.capacity):
            return None, 0.0
        victims = sorted(
            (self._cost(victim), victim)
            for victim in candidate.running
            if victim.task not in self._stopping
            and self._is_preemptible(victim, pending)
        )
        chosen: list[workflow.Placement] = []
        freed = nothing
        total_cost = 0.0
        for cost, victim in victims:
            if not self._can_stop(victim, chosen):
                continue
            chosen.append(victim)
            total_cost += cost
            freed = resources.combined(freed, self._needs(victim))
            if total_cost >= max_cost:
                return None, 0.0
            if candidate.will_fit(needs, freed):
                return chosen, total_cost
        return None, 0.0

    def _is_preemptible(
        self, victim: workflow.Placement, pending: backlog.PendingStep
    ) -> bool:
        """Tell whether a run may be stopped for the tasks of a step.

        Less urgent runs may be. Work within the guarantee of its account may also stop
        urgent runs of other accounts that exceed theirs. Long-running tasks serve
        users, so only guaranteed work may stop them.
        """
        entry = self._state.entries[victim.task.workflow_id]
        if entry.workflow.steps[victim.task.step].long_running:
            return (
                entry.queue.priority > pending.entry.queue.priority
                and self._is_within_guarantee(pending.entry.workflow.account)
            )
        if entry.queue.priority > pending.entry.queue.priority:
            return True
        account = entry.workflow.account
        return (
            account != pending.entry.workflow.account
            and not self._is_within_guarantee(account)
            and self._is_within_guarantee(pending.entry.workflow.account)
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
