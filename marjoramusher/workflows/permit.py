"""Time-limited permits of a policy service to run a step on some workers."""

from collections.abc import Container, Iterable, Mapping

import msgspec

from . import catalog, resources, workflow

# Permits are treated as expired this long before their end, since the start has to be
# committed and to reach the worker, which takes two round trips between regions.
EXPIRY_MARGIN_S = 0.3
# Maximum number of workers named in one call, since each one makes the call slower.
# The objective of a workflow includes one call of this size for each step.
MAX_QUERIED_WORKERS = 30
# How much longer than urgent steps others wait for their turn. Work must not stand for
# 3 s beside idle workers.
LESS_URGENT_WAIT_S = 1.0
# Calls in a row for steps that can start, after which one that can not has its turn.
MAX_FAVOURED_CALLS = 3
RETRY_S = 0.5  # after a failed call for a step


class _Permit(msgspec.Struct, frozen=True):
    ticket: str
    expires_s: float


class Permits:
    """Cached answers of the policy service, by step and worker incarnation.

    A denial holds for good. A permit expires and has to be renewed.
    """

    __slots__ = ("_by_step",)

    def __init__(self) -> None:
        # The answer is None for a denial.
        self._by_step: dict[
            resources.StepKey, dict[tuple[str, int], _Permit | None]
        ] = {}

    def record(
        self,
        step: resources.StepKey,
        queried: Iterable[workflow.Worker],
        tickets: Mapping[str, str],
        expires_s: float,
    ) -> None:
        """Record an answer; a queried worker without a ticket is denied for good.

        Parameters
        ----------
        tickets : mapping of str to str
            Ticket for each permitted worker id.
        expires_s : float
            Expiry of the permits on the monotonic clock.
        """
        answers = self._by_step.setdefault(step, {})
        for worker in queried:
            ticket = tickets.get(worker.worker_id)
            answer = (
                None if ticket is None else _Permit(ticket, expires_s - EXPIRY_MARGIN_S)
            )
            answers[worker.worker_id, worker.incarnation] = answer

    def ticket(
        self, step: resources.StepKey, worker_id: str, incarnation: int, now_s: float
    ) -> str | None:
        """Return the ticket for a start, ``None`` without an unexpired permit."""
        permit = self._by_step.get(step, {}).get((worker_id, incarnation))
        return None if permit is None or now_s >= permit.expires_s else permit.ticket

    def can_query(
        self, step: resources.StepKey, worker: workflow.Worker, now_s: float
    ) -> bool:
        """Tell whether a worker was never queried, or its permit has expired."""
        answers = self._by_step.get(step, {})
        key = (worker.worker_id, worker.incarnation)
        if key not in answers:
            return True
        permit = answers[key]
        return permit is not None and now_s >= permit.expires_s

    def is_answered(self, step: resources.StepKey) -> bool:
        """Tell whether the service ever answered for a step."""
        return step in self._by_step

    def has_answer(self, step: resources.StepKey, worker: workflow.Worker) -> bool:
        """Tell whether the service ever answered for a worker, even if expired."""
        return (worker.worker_id, worker.incarnation) in self._by_step.get(step, {})

    def invalidate(
        self, step: resources.StepKey, worker_id: str, incarnation: int
    ) -> None:
        """Drop the ticket that a worker rejected, so that it is requested again."""
        answers = self._by_step.get(step, {})
        if answers.get((worker_id, incarnation)) is not None:
            answers[worker_id, incarnation] = _Permit("", float("-inf"))

    def retain(self, workflow_ids: Container[str]) -> None:
        """Forget the steps of all other workflows."""
        for step in [key for key in self._by_step if key[0] not in workflow_ids]:
            del self._by_step[step]


class PolicyQuery(msgspec.Struct, frozen=True):
    """A pending step and the workers to query for it, in order of preference.

    Parameters
    ----------
    priority : int
        Priority of the queue, 0 for urgent work.
    can_start : bool
        Whether tasks of the step could be placed now if they were permitted.
    """

    step: resources.StepKey
    workers: tuple[workflow.Worker, ...]
    policy: catalog.Policy
    priority: int = 0
    can_start: bool = True


class QueryTurns:
    """Order of the queries, which the policy service handles one at a time.

    A query waits from when it is first listed after the last call for its step. Of two,
    the one that has waited longer is next, though urgent ones have a lead. Steps that
    could start if they were permitted come before those without room, and before those
    whose last call has failed, but leave them a share of the calls. So none waits for
    ever behind others that are renewed again and again.
    """

    __slots__ = ("_favoured_calls", "_retry_s", "_since_s")

    def __init__(self) -> None:
        self._favoured_calls = 0  # in a row
        self._since_s: dict[resources.StepKey, float] = {}
        # When each step may be queried again whose last call has failed.
        self._retry_s: dict[resources.StepKey, float] = {}

    def update(self, queries: Iterable[PolicyQuery], now_s: float) -> None:
        """Record which steps wait for a call."""
        self._since_s = {
            query.step: self._since_s.get(query.step, now_s) for query in queries
        }
        self._retry_s = {
            step: retry_s
            for step, retry_s in self._retry_s.items()
            if step in self._since_s
        }

    def choose(
        self, queries: Iterable[PolicyQuery], now_s: float
    ) -> PolicyQuery | None:
        """Return the next of the recorded queries, ``None`` if all have to wait.

        Among equals, the one that is listed first is next.
        """
        ready = [
            query for query in queries if now_s >= self._retry_s.get(query.step, now_s)
        ]
        favoured = [query for query in ready if self._is_favoured(query)]
        others = [query for query in ready if not self._is_favoured(query)]
        if favoured and (not others or self._favoured_calls < MAX_FAVOURED_CALLS):
            return min(favoured, key=self._due_s)
        return min(others, key=self._due_s, default=None)

    def _is_favoured(self, query: PolicyQuery) -> bool:
        return query.can_start and query.step not in self._retry_s

    def _due_s(self, query: PolicyQuery) -> float:
        lag_s = LESS_URGENT_WAIT_S if query.priority else 0.0
        return self._since_s[query.step] + lag_s

    def record_call(self, query: PolicyQuery) -> None:
        """Record that a query is sent."""
        self._favoured_calls = (
            self._favoured_calls + 1 if self._is_favoured(query) else 0
        )
        self._since_s.pop(query.step, None)

    def record_answer(self, step: resources.StepKey) -> None:
        """Record that the call for a step was answered."""
        self._retry_s.pop(step, None)

    def record_failure(self, step: resources.StepKey, now_s: float) -> None:
        """Record that the call for a step has failed, so that others come first."""
        self._retry_s[step] = now_s + RETRY_S
