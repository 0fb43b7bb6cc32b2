"""Order in which a plan considers pending steps."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias

import msgspec

from . import backlog, delay_cost, machine, resources, workflow

# Share of its capacity that a service gives to work under load. The rest can't be used
# because of the shapes of tasks, and while starts and stops are under way.
USABLE_SHARE = 0.9
# Shares of the workflows of a priority, the largest first, that are ordered among
# themselves. Callers judge the largest tenth and the fifth below it separately.
SIZE_SHARES = (0.1, 0.3, 1.0)

# Beyond the share of its account, not begun, position by size and value.
_Preference: TypeAlias = tuple[bool, bool, int]
_NO_PREFERENCE: _Preference = (False, False, 0)
# Past its value, priority, not guaranteed, standing, preference, deadline.
_Rank: TypeAlias = tuple[bool, int, bool, int, bool, bool, int, float]


class _Service:
    """Capacity of a service, and the shares of it that tasks take.

    The share of a task is that of the resource of which it takes most. Work is measured
    in seconds of the whole service.
    """

    __slots__ = ("_capacity", "free_share", "state")

    def __init__(
        self,
        candidates: Iterable[resources.Candidate],
        state: machine.WorkflowMachine,
    ) -> None:
        self.state = state
        capacity = free = resources.NOTHING
        for candidate in candidates:
            capacity = resources.combined(capacity, candidate.worker.capacity)
            free = resources.combined(free, candidate.free)
        self._capacity = capacity
        self.free_share = min(
            free.accelerators / capacity.accelerators if capacity.accelerators else 1.0,
            free.cores_milli / capacity.cores_milli if capacity.cores_milli else 1.0,
        )

    def share(self, needs: workflow.Resources) -> float:
        """Return the share of the service that a task takes."""
        return resources.dominant_share(needs, self._capacity)

    def task_s(self, entry: machine.Entry, step: workflow.Step) -> float:
        """Return the expected work of one task of a step."""
        run_ms = delay_cost.expected_run_ms(
            self.state, entry.queue, entry.workflow.account, step
        )
        return self.share(resources.reserved(step)) * run_ms / 1000


class _Waiting(msgspec.Struct, frozen=True):
    """A pending step with what its order depends on.

    Parameters
    ----------
    share : float
        Share of the service that its pending tasks take.
    work_s : float
        Work of its pending tasks.
    """

    pending: backlog.PendingStep
    is_guaranteed: bool
    standing: delay_cost.Standing
    share: float
    work_s: float

    @property
    def account(self) -> str:
        """Return the account that has submitted it."""
        return self.pending.entry.workflow.account

    @property
    def priority(self) -> int:
        """Return the priority of its queue."""
        return self.pending.entry.queue.priority

    @property
    def has_begun(self) -> bool:
        """Tell whether other tasks of its workflow are done or placed."""
        step = self.pending.step
        return bool(step.after) or len(self.pending.task_indexes) < step.count


class _Running:
    """What the runs in progress take of a service.

    Attributes
    ----------
    held_shares : dict of str to float
        Shares of the service that accounts hold.
    shares, work_s : tuple of float, float
        Share that runs take and work that they still need, of priority 0 and of all.
    """

    __slots__ = ("held_shares", "shares", "work_s")

    def __init__(
        self,
        candidates: Iterable[resources.Candidate],
        service: _Service,
    ) -> None:
        self.held_shares: dict[str, float] = {}
        urgent_share = urgent_work_s = share = work_s = 0.0
        for candidate in candidates:
            for placement in candidate.running:
                entry = service.state.entries[placement.task.workflow_id]
                step = entry.workflow.steps[placement.task.step]
                taken = service.share(resources.reserved(step))
                account = entry.workflow.account
                self.held_shares[account] = self.held_shares.get(account, 0.0) + taken
                # On average, half of a run is over.
                remaining_s = service.task_s(entry, step) / 2
                share += taken
                work_s += remaining_s
                if entry.queue.priority == 0:
                    urgent_share += taken
                    urgent_work_s += remaining_s
        self.shares = urgent_share, share
        self.work_s = urgent_work_s, work_s

    def before_s(self, priority: int, time_s: float) -> float:
        """Return the work within a time that work of a priority can't replace."""
        kind = min(priority, 1)
        return min(self.work_s[kind], self.shares[kind] * time_s)


def ordered(
    state: machine.WorkflowMachine,
    pending_steps: Iterable[backlog.PendingStep],
    candidates: Mapping[str, Sequence[resources.Candidate]],
    now_ms: float,
    is_guaranteed: Callable[[backlog.PendingStep], bool],
) -> list[backlog.PendingStep]:
    """Return pending steps in the order in which they get room.

    Work past its value comes last. Then priority decides, then whether work is within a
    guarantee, so that runs that are stopped for it do not take the room again. Work
    that can complete in its objective comes before late work. Under overload of a
    priority, accounts get equal shares, begun workflows come before others, and those
    come first that give callers most for the work that they need; otherwise the
    deadline decides.

    Parameters
    ----------
    candidates : mapping of str to sequence of Candidate
        Usable workers of each service.
    now_ms : float
        Unix milliseconds.
    is_guaranteed : callable
        Tells whether a step is urgent and within the guarantee of its account.
    """
    by_service: dict[str, list[_Waiting]] = {}
    services: dict[str, _Service] = {}
    for pending in pending_steps:
        name = pending.entry.queue.service
        service = services.get(name)
        if service is None:
            service = services[name] = _Service(candidates.get(name, ()), state)
        waiting = _waiting(pending, service, now_ms, is_guaranteed(pending))
        by_service.setdefault(name, []).append(waiting)
    ranked: list[tuple[_Rank, backlog.PendingStep]] = []
    for name, members in by_service.items():
        service = services[name]
        if any(waiting.pending.has_suspects for waiting in members):
            ranked.extend(
                (_rank_by_deadline(waiting, now_ms), waiting.pending)
                for waiting in members
            )
            continue
        preferences: dict[resources.StepKey, _Preference] = {}
        if sum(waiting.share for waiting in members) > service.free_share:
            running = _Running(candidates.get(name, ()), service)
            preferences = _overload_preferences(members, service, running, now_ms)
        ranked.extend(
            (_rank(waiting, preferences), waiting.pending) for waiting in members
        )
    ranked.sort(key=lambda item: item[0])
    return [pending for _, pending in ranked]


def _waiting(
    pending: backlog.PendingStep,
    service: _Service,
    now_ms: float,
    is_guaranteed: bool,
) -> _Waiting:
    entry, step = pending.entry, pending.step
    count = len(pending.task_indexes)
    return _Waiting(
        pending,
        is_guaranteed,
        delay_cost.standing(service.state, pending, now_ms),
        count * service.share(resources.reserved(step)),
        count * service.task_s(entry, step),
    )


def _rank(
    waiting: _Waiting, preferences: Mapping[resources.StepKey, _Preference]
) -> _Rank:
    is_worthless = waiting.standing is delay_cost.Standing.WORTHLESS
    return (
        is_worthless and not waiting.is_guaranteed,
        waiting.priority,
        not waiting.is_guaranteed,
        waiting.standing.value,
        *preferences.get(waiting.pending.key, _NO_PREFERENCE),
        waiting.pending.deadline_ms,
    )


def _rank_by_deadline(waiting: _Waiting, now_ms: float) -> _Rank:
    """Return the rank while tasks wait during which workers have crashed.

    With a lasting preference, innocent tasks would run beside the same others again and
    again, and count as the cause of their crashes.
    """
    deadline_ms = waiting.pending.deadline_ms
    is_late = int(deadline_ms < now_ms)
    order = (False, waiting.priority, not waiting.is_guaranteed, is_late)
    return (*order, *_NO_PREFERENCE, deadline_ms)


def _overload_preferences(
    members: list[_Waiting], service: _Service, running: _Running, now_ms: float
) -> dict[resources.StepKey, _Preference]:
    """Return the preferences among steps of overloaded priorities."""
    groups: dict[tuple[int, delay_cost.Standing], list[_Waiting]] = {}
    for waiting in members:
        key = (waiting.priority, waiting.standing)
        groups.setdefault(key, []).append(waiting)
    overloaded = set(_overloaded(members, running, now_ms))
    preferences: dict[resources.StepKey, _Preference] = {}
    for (priority, _), group in groups.items():
        if priority in overloaded:
            preferences.update(_preferences(group, running, service))
    return preferences


def _overloaded(
    members: list[_Waiting], running: _Running, now_ms: float
) -> Iterator[int]:
    """Yield the priorities of which not all work can meet its objective.

    That is so if the work with deadlines before some time, together with more urgent
    work, exceeds what the service can do until then.
    """
    timely = sorted(
        (
            waiting
            for waiting in members
            if waiting.standing is delay_cost.Standing.TIMELY
            and not waiting.pending.step.long_running
        ),
        key=lambda waiting: waiting.pending.deadline_ms,
    )
    late = {
        waiting.priority
        for waiting in members
        if waiting.standing is delay_cost.Standing.LATE
        and not waiting.pending.step.long_running
    }
    for priority in sorted({waiting.priority for waiting in members}):
        if priority in late or _exceeds_capacity(timely, priority, running, now_ms):
            yield priority


def _exceeds_capacity(
    timely: list[_Waiting], priority: int, running: _Running, now_ms: float
) -> bool:
    """Tell whether steps of up to a priority can't all meet their deadlines."""
    work_s = 0.0
    for waiting in timely:
        if waiting.priority > priority:
            continue
        work_s += waiting.work_s
        time_s = (waiting.pending.deadline_ms - now_ms) / 1000
        available_s = USABLE_SHARE * time_s - running.before_s(priority, time_s)
        if waiting.priority == priority and work_s > available_s:
            return True
    return False


def _preferences(
    group: list[_Waiting], running: _Running, service: _Service
) -> Iterator[tuple[resources.StepKey, _Preference]]:
    """Yield the rank of steps of one priority and standing under overload.

    Each size gets room in proportion to its work, so that small workflows, which give
    most for the work that they need, do not hold up large ones for ever. Within a size
    the value for the remaining work decides.
    """
    works_s = {
        id(waiting): _workflow_work_s(waiting.pending, service) for waiting in group
    }
    mean_s = sum(total for total, _ in works_s.values()) / len(group)

    def value_density(waiting: _Waiting) -> float:
        total_s, remaining_s = works_s[id(waiting)]
        return delay_cost.value(total_s, mean_s) / max(remaining_s, 1e-9)

    # Sorting is stable, so the deadline decides among equals.
    by_deadline = sorted(group, key=lambda waiting: waiting.pending.deadline_ms)
    by_size = sorted(by_deadline, key=lambda waiting: -works_s[id(waiting)][0])
    level = _fair_level(group, running)
    held_shares = dict(running.held_shares)
    begin = 0
    shares_before: list[tuple[float, float, _Waiting]] = []
    for size_share in SIZE_SHARES:
        end = math.ceil(size_share * len(group))
        members = sorted(by_size[begin:end], key=value_density, reverse=True)
        begin = end
        total_s = sum(works_s[id(waiting)][1] for waiting in members)
        before_s = 0.0
        for waiting in members:
            density = value_density(waiting)
            shares_before.append((before_s / max(total_s, 1e-9), -density, waiting))
            before_s += works_s[id(waiting)][1]
    shares_before.sort(key=lambda item: item[:2])
    for position, (_, _, waiting) in enumerate(shares_before):
        held = held_shares.get(waiting.account, 0.0)
        held_shares[waiting.account] = held + waiting.share
        yield (
            waiting.pending.key,
            (
                held > level,
                not waiting.has_begun,
                position,
            ),
        )


def _workflow_work_s(
    pending: backlog.PendingStep, service: _Service
) -> tuple[float, float]:
    """Return the work of a workflow, and of that the work still to do.

    Of the step that is pending and those after it; runs in progress need no room.
    """
    entry = pending.entry
    total_s = remaining_s = 0.0
    for index, step in enumerate(entry.workflow.steps):
        task_s = service.task_s(entry, step)
        total_s += step.count * task_s
        if index == pending.step_index:
            remaining_s += len(pending.task_indexes) * task_s
        elif index > pending.step_index:
            remaining_s += step.count * task_s
    return total_s, remaining_s


def _fair_level(group: list[_Waiting], running: _Running) -> float:
    """Return the share of the service up to which each account gets what it needs.

    Accounts that need less leave the rest to others.
    """
    needed: dict[str, float] = {}
    for waiting in group:
        needed[waiting.account] = needed.get(waiting.account, 0.0) + waiting.share
    for account in needed:
        needed[account] += running.held_shares.get(account, 0.0)
    level, rest = 0.0, USABLE_SHARE
    others = len(needed)
    for share in sorted(needed.values()):
        level = max(rest, 0.0) / others
        if share > level:
            return level
        rest -= share
        others -= 1
    return math.inf
