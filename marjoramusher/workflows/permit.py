"""Permits to run a step on some workers, as a policy service gives them."""

from collections.abc import Container, Iterable, Mapping

import msgspec

from . import catalog, resources, workflow

# A permit is not used in its last moments: the start has to be committed and to arrive
# while it lasts. A commit and an order take two round trips between regions.
MARGIN_S = 0.3
# Calls take longer with each worker named. Callers are judged by an objective that
# counts one call about as many workers as this for each step.
MAX_QUERIED_WORKERS = 30


class _Permit(msgspec.Struct, frozen=True):
    ticket: str
    until_s: float


class Permits:
    """What a policy service has said of steps and lives of workers.

    Whether a worker may run a step does not change, but its permit runs out.
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: dict[resources.StepKey, dict[tuple[str, int], _Permit | None]] = {}

    def note(
        self,
        step: resources.StepKey,
        asked: Iterable[workflow.Worker],
        tickets: Mapping[str, str],
        until_s: float,
    ) -> None:
        """Take an answer into account; workers without a ticket may never run it.

        Parameters
        ----------
        tickets : mapping of str to str
            Ticket for each permitted worker id.
        until_s : float
            End of the permits on the monotonic clock.
        """
        known = self._steps.setdefault(step, {})
        for worker in asked:
            ticket = tickets.get(worker.worker_id)
            given = None if ticket is None else _Permit(ticket, until_s - MARGIN_S)
            known[worker.worker_id, worker.incarnation] = given

    def ticket(
        self, step: resources.StepKey, worker_id: str, incarnation: int, now: float
    ) -> str | None:
        """Return the ticket for a start, ``None`` if there is none that lasts."""
        given = self._steps.get(step, {}).get((worker_id, incarnation))
        return None if given is None or now >= given.until_s else given.ticket

    def can_ask(
        self, step: resources.StepKey, worker: workflow.Worker, now: float
    ) -> bool:
        """Tell whether a call about a worker may give a permit that is lacking."""
        known = self._steps.get(step, {})
        key = (worker.worker_id, worker.incarnation)
        if key not in known:
            return True
        given = known[key]
        return given is not None and now >= given.until_s

    def has_answer(self, step: resources.StepKey, worker: workflow.Worker) -> bool:
        """Tell whether the policy service has ever said something of a worker."""
        return (worker.worker_id, worker.incarnation) in self._steps.get(step, {})

    def expire(self, step: resources.StepKey, worker_id: str, incarnation: int) -> None:
        """Give up a permit that a worker has not accepted."""
        known = self._steps.get(step, {})
        if known.get((worker_id, incarnation)) is not None:
            known[worker_id, incarnation] = _Permit("", float("-inf"))

    def keep(self, workflows: Container[str]) -> None:
        """Forget the steps of all other workflows."""
        for step in [each for each in self._steps if each[0] not in workflows]:
            del self._steps[step]


class PolicyQuery(msgspec.Struct, frozen=True):
    """Workers to ask about for a step that waits, the best first."""

    step: resources.StepKey
    workers: tuple[workflow.Worker, ...]
    policy: catalog.Policy
