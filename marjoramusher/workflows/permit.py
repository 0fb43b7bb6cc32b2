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
    """A pending step and the workers to query for it, in order of preference."""

    step: resources.StepKey
    workers: tuple[workflow.Worker, ...]
    policy: catalog.Policy
