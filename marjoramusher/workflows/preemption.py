"""Which runs give way to urgent work that finds no room."""

from collections.abc import Mapping

import msgspec

from . import availability, backlog, condition, machine, resources, workflow

# What a stopped task costs beside its lost work, in core-seconds, so that tasks that
# have just started are not stopped for nothing.
STOP_COST = 1.0
# Beyond an account's guarantee, urgent work may cost others this multiple of its own
# work: it earns about ten times as much for a core-second as what it stops.
WORTH_STOPPING = 4.0
# Urgent work of an account beyond its guarantee is stopped after all less urgent work
# whose loss is not this many times as large.
URGENT_FACTOR = 10.0
# Above the cost of any set of stops: such a worker is the last choice.
AVOID_COST = 1e6
# Users of a long-running task go without it for an order, a stop and a startup.
RESTART_S = 10.0
CHECKPOINT_LOSS_S = 0.5  # work since the last checkpoint, and the restore


class Stops(msgspec.Struct, frozen=True):
    """Runs to stop on one worker, so that a task will fit there."""

    candidate: resources.Candidate
    victims: tuple[workflow.Placement, ...]


class Preemption:
    """Choose what stops, and keep the room that it will free.

    Parameters
    ----------
    rooms : mapping of str to Room
        Usable workers by id.
    """

    __slots__ = ("_conditions", "_rooms", "_state", "_stopping", "_urgent")

    def __init__(
        self,
        state: machine.WorkflowMachine,
        conditions: Mapping[str, condition.WorkerCondition],
        rooms: Mapping[str, resources.Candidate],
    ) -> None:
        self._state = state
        self._conditions = conditions
        self._rooms = rooms
        self._stopping: set[workflow.TaskKey] = set()
        self._urgent: dict[str, int] = {}

    def clear(
        self,
        wanted: backlog.PendingStep,
        count: int,
        scopes: list[list[resources.Candidate]],
    ) -> list[workflow.Placement] | None:
        """Reserve room for some tasks, and return what has to stop for them.

        Parameters
        ----------
        count : int
            Number of tasks; room is made for all of them or for none.
        scopes : list of list of Room
            Sets of workers, of which one has to hold all tasks.

        Returns
        -------
        list of Placement or None
            Empty if what is stopping already will do; ``None`` if no room is made.
        """
        best: list[Stops] = []
        best_cost = float("inf")
        if not self._is_guaranteed(wanted.entry.workflow.account):
            best_cost = WORTH_STOPPING * resources.core_seconds(wanted.step)
        for rooms in scopes:
            chosen, cost = self._try(wanted, count, rooms)
            if chosen and cost < best_cost:
                best, best_cost = chosen, cost
        if not best:
            return None
        stopped: list[workflow.Placement] = []
        needs = resources.reserved(wanted.step)
        for each in best:
            each.candidate.allocate(needs)
            each.candidate.add_tasks(wanted.key, 1)
            for victim in each.victims:
                stopped += self._stop(victim)
        return stopped

    def _is_guaranteed(self, name: str) -> bool:
        """Tell whether all urgent work of an account is within its guarantee."""
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

    def _try(
        self, wanted: backlog.PendingStep, count: int, rooms: list[resources.Candidate]
    ) -> tuple[list[Stops], float]:
        """Return where tasks would go on some workers, and what the stops cost."""
        needs = resources.reserved(wanted.step)
        chosen: list[Stops] = []
        stopped: list[workflow.Placement] = []
        total = 0.0
        for _ in range(count):
            found, cost = self._cheapest(wanted, needs, rooms)
            if found is None:
                break
            for victim in found.victims:
                stopped += self._stop(victim)
            found.candidate.allocate(needs)
            found.candidate.add_tasks(wanted.key, 1)
            chosen.append(found)
            total += cost
        for each in chosen:
            each.candidate.deallocate(needs)
            each.candidate.add_tasks(wanted.key, -1)
        self._keep(stopped)
        return (chosen, total) if len(chosen) == count else ([], 0.0)

    def _cheapest(
        self,
        wanted: backlog.PendingStep,
        needs: workflow.Resources,
        rooms: list[resources.Candidate],
    ) -> tuple[Stops | None, float]:
        step = wanted.step
        best: Stops | None = None
        best_cost = float("inf")
        for each in rooms:
            if not each.has_task_slot(wanted.key, step.max_per_worker):
                continue
            victims, cost = self._victims(wanted, each, needs, best_cost)
            if victims is None:
                continue
            away = bool(step.rack) and each.worker.rack != step.rack
            cost += (each.is_suspect + away) * AVOID_COST
            if cost < best_cost:
                best, best_cost = Stops(each, tuple(victims)), cost
        return best, best_cost

    def _victims(
        self,
        wanted: backlog.PendingStep,
        there: resources.Candidate,
        needs: workflow.Resources,
        most: float,
    ) -> tuple[list[workflow.Placement] | None, float]:
        """Return the cheapest runs to stop so that a need will fit."""
        nothing = workflow.Resources()
        if there.will_fit(needs, nothing):
            return [], 0.0
        if not needs.fits(there.worker.capacity):
            return None, 0.0
        candidates = sorted(
            (self._cost(victim), victim)
            for victim in there.victims
            if victim.task not in self._stopping and self._gives_way(victim, wanted)
        )
        chosen: list[workflow.Placement] = []
        freed = nothing
        total = 0.0
        for cost, victim in candidates:
            if not self._may_be_away(victim, chosen):
                continue
            chosen.append(victim)
            total += cost
            freed = resources.combined(freed, self._needs(victim))
            if total >= most:
                return None, 0.0
            if there.will_fit(needs, freed):
                return chosen, total
        return None, 0.0

    def _gives_way(
        self, victim: workflow.Placement, wanted: backlog.PendingStep
    ) -> bool:
        """Tell whether a run may be stopped for a task.

        What is guaranteed to one account can be reclaimed from the urgent work of
        others, too, if they use more than their own guarantee.
        """
        entry = self._state.entries[victim.task.workflow_id]
        if entry.workflow.steps[victim.task.step].long_running:
            # What serves users gives way only to what is guaranteed to others.
            return (
                entry.queue.priority > wanted.entry.queue.priority
                and self._is_guaranteed(wanted.entry.workflow.account)
            )
        if entry.queue.priority > wanted.entry.queue.priority:
            return True
        account = entry.workflow.account
        return (
            account != wanted.entry.workflow.account
            and not self._is_guaranteed(account)
            and self._is_guaranteed(wanted.entry.workflow.account)
        )

    def _may_be_away(
        self, victim: workflow.Placement, chosen: list[workflow.Placement]
    ) -> bool:
        """Tell whether enough other tasks of a long-running step stay at work."""
        return availability.can_stop(
            self._state,
            victim,
            lambda other: (
                other in chosen
                or other.task in self._stopping
                or not self._is_at_work(other)
            ),
        )

    def _is_at_work(self, placement: workflow.Placement) -> bool:
        believed = self._conditions.get(placement.worker_id)
        return believed is not None and placement in believed.serving

    def _stop(self, victim: workflow.Placement) -> list[workflow.Placement]:
        """Count on the room of a run, and of all other members of its gang."""
        stopped = [
            each for each in self._members(victim) if each.task not in self._stopping
        ]
        for each in stopped:
            self._stopping.add(each.task)
            there = self._rooms.get(each.worker_id)
            if there is not None:
                there.expect_freed(self._needs(each))
        return stopped

    def _keep(self, stopped: list[workflow.Placement]) -> None:
        """Take a stop back that was only tried."""
        for each in stopped:
            self._stopping.discard(each.task)
            there = self._rooms.get(each.worker_id)
            if there is not None:
                there.expect_freed(resources.negated(self._needs(each)))

    def _members(self, victim: workflow.Placement) -> list[workflow.Placement]:
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
        """Return the core-seconds that are lost if a run stops."""
        key = victim.task
        entry = self._state.entries[key.workflow_id]
        step = entry.workflow.steps[key.step]
        lost_s = self._conditions[victim.worker_id].ages_s.get(key, 0.0)
        if step.long_running:
            lost_s = RESTART_S
        elif step.checkpointing:
            lost_s = min(lost_s, CHECKPOINT_LOSS_S)
        members = step.count if step.gang else 1
        factor = victim.run if entry.queue.priority else URGENT_FACTOR * victim.run
        # What has been stopped before is stopped again only if that is much cheaper.
        return factor * (
            STOP_COST + lost_s * resources.core_equivalents(step.needs) * members
        )
