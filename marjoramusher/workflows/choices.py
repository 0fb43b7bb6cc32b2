"""Workers and victims for the tasks of a step, kept from request to request.

While a plan is made, most requests for preemption are equal to earlier ones, and a
commit changes few workers. So what was found for a worker is kept until it changes.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Protocol

import msgspec

from . import resources, workflow


class Choice(msgspec.Struct, frozen=True):
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


class Request(msgspec.Struct, frozen=True):
    """What the choices for a task depend on, beside the workers.

    Parameters
    ----------
    account : str or bool
        Account of the step if it is within its guarantee; ``True`` instead if no run in
        the scope is as urgent. ``False`` if it is not.
    max_wait_s : float
        How long the step may wait for runs to end by themselves.
    """

    needs: workflow.Resources
    rack: str
    is_gang: bool
    priority: int
    account: str | bool
    max_wait_s: float


class _Choices(Protocol):
    """Choices for one task after the other on a worker or in a scope."""

    def get(self, number: int) -> Choice | None:
        """Return the choice with a number, at most one higher than before."""


class Search:
    """Choices for one task after the other in a scope, the cheapest first.

    Parameters
    ----------
    choices : iterator of Choice
        Consumed no further than needed.

    Attributes
    ----------
    version : int
        Version of the scope for which the choices are made.
    """

    __slots__ = ("_choices", "_costs", "_found", "version")

    def __init__(self, choices: Iterator[Choice], version: int = 0) -> None:
        self._choices = choices
        self._found: list[Choice] = []
        self._costs: list[float] = []  # total with each choice
        self.version = version

    def get(self, number: int) -> Choice | None:
        """Return the choice with a number, at most one higher than before."""
        if number == len(self._found):
            choice = next(self._choices, None)
            if choice is None:
                return None
            self._found.append(choice)
            before = self._costs[-1] if self._costs else 0.0
            self._costs.append(before + choice.cost)
        return self._found[number]

    def answer(self, count: int, max_cost: float) -> tuple[Sequence[Choice], float]:
        """Return the choices for some tasks, and their total cost.

        Returns
        -------
        list of Choice
            Empty if there is no room, or if the cost would be `max_cost` or more.
        float
            At least `max_cost` if that is the reason.
        """
        while len(self._found) < count:
            if self._costs and self._costs[-1] >= max_cost:
                break
            if self.get(len(self._found)) is None:
                break
        costs = self._costs[:count]
        total_cost = costs[-1] if costs else 0.0
        if len(costs) < count or total_cost >= max_cost:
            return [], total_cost
        return self._found[:count], total_cost


class Tried(msgspec.Struct, frozen=True):
    """Choices that were found by trial for a number of tasks and a maximum cost.

    Parameters
    ----------
    costs : tuple of float
        Total cost with each choice, and with a further one if that was too expensive.
    is_exhausted : bool
        Whether there is no room for more tasks.
    version : int or None
        Version of the scope for which the choices were made.
    """

    found: tuple[Choice, ...]
    costs: tuple[float, ...]
    is_exhausted: bool
    version: int | None

    def answers(self, count: int, max_cost: float) -> bool:
        """Tell whether a trial for other limits would make no further choices."""
        return (
            self.is_exhausted
            or len(self.found) >= count
            or (bool(self.costs) and self.costs[-1] >= max_cost)
        )

    def answer(self, count: int, max_cost: float) -> tuple[Sequence[Choice], float]:
        """Return the choices for some tasks, and their cost; see `Search.answer`."""
        costs = self.costs[:count]
        total_cost = costs[-1] if costs else 0.0
        if total_cost >= max_cost or len(self.found) < count:
            return [], total_cost
        return self.found[:count], total_cost


class _WorkerChoices:
    """Choices for one task after the other on one worker."""

    __slots__ = ("_choices", "_found", "version")

    def __init__(self, choices: Iterator[Choice], version: int) -> None:
        self._choices = choices
        self._found: list[Choice] = []
        self.version = version

    def get(self, number: int) -> Choice | None:
        """Return the choice with a number, at most one higher than before."""
        if number == len(self._found):
            choice = next(self._choices, None)
            if choice is None:
                return None
            self._found.append(choice)
        return self._found[number]


class Choices:
    """Choices and searches of one plan."""

    __slots__ = ("_by_worker", "_searches")

    def __init__(self) -> None:
        self._by_worker: dict[Request, dict[resources.Candidate, _WorkerChoices]] = {}
        self._searches: dict[tuple[resources.Scope, Request], Search] = {}

    def search(
        self,
        scope: resources.Scope,
        request: Request,
        choose: Callable[[resources.Candidate], Iterator[Choice]],
    ) -> Search:
        """Return the search for a request, which is a new one if a worker has changed.

        Parameters
        ----------
        scope : Scope
            Has to be a shared one, with workers that are independent of each other.
        choose : callable
            Yields the choices for one task after the other on one worker. It may depend
            on nothing but the worker and the request.
        """
        key = (scope, request)
        search = self._searches.get(key)
        version = scope.version or 0
        if search is None or search.version != version:
            merged = self._merged(scope, request, choose)
            search = self._searches[key] = Search(merged, version)
        return search

    def first(
        self,
        candidates: Iterable[resources.Candidate],
        request: Request | None,
        choose: Callable[[resources.Candidate], Iterator[Choice]],
    ) -> list[Choice | None]:
        """Return the choice of each worker for one task, ``None`` where there is none.

        Parameters
        ----------
        request : Request or None
            ``None`` if no other request is equal, so that the choices are not kept.
        """
        if request is None:
            return [next(choose(candidate), None) for candidate in candidates]
        kept = self._on_workers(candidates, request, choose)
        return [choices.get(0) for choices in kept]

    def _on_workers(
        self,
        candidates: Iterable[resources.Candidate],
        request: Request,
        choose: Callable[[resources.Candidate], Iterator[Choice]],
    ) -> list[_Choices]:
        """Return the choices on each worker, new ones for workers that have changed."""
        known = self._by_worker.setdefault(request, {})
        found: list[_Choices] = []
        for candidate in candidates:
            choices = known.get(candidate)
            if choices is None or choices.version != candidate.version:
                choices = _WorkerChoices(choose(candidate), candidate.version)
                known[candidate] = choices
            found.append(choices)
        return found

    def _merged(
        self,
        scope: resources.Scope,
        request: Request,
        choose: Callable[[resources.Candidate], Iterator[Choice]],
    ) -> Iterator[Choice]:
        """Yield the choices for one task after the other, the cheapest first.

        Of workers with equal costs, the first one comes first. A search in a scope with
        parts merges those in the parts, few of which have changed since the last one.
        """
        sources: list[_Choices]
        if scope.parts:
            sources = [self.search(part, request, choose) for part in scope.parts]
        else:
            sources = self._on_workers(scope.candidates, request, choose)
        cheapest = []
        for source in sources:
            first = source.get(0)
            if first is not None:
                cheapest.append((first.cost, first.candidate.position, 0, source))
        heapq.heapify(cheapest)
        while cheapest:
            _, _, number, source = cheapest[0]
            yield source.get(number)
            following = source.get(number + 1)
            if following is None:
                heapq.heappop(cheapest)
            else:
                position = following.candidate.position
                entry = (following.cost, position, number + 1, source)
                heapq.heapreplace(cheapest, entry)
