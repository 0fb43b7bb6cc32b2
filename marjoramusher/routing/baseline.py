"""First in, first out, to a random target: what `bench` compares the router with."""

import collections
import random
from typing import TypeAlias

from ..core import announcement, errors, record
from . import effect, grants, request, target

MAX_QUEUED = 16_384
MAX_TRIES = 4


class _Attempt:
    __slots__ = ("asked", "sent", "target", "tries")

    def __init__(
        self, asked: request.Request, chosen: str, tries: int, sent: bool
    ) -> None:
        self.asked = asked
        self.sent = sent
        self.target = chosen
        self.tries = tries


_Queue: TypeAlias = collections.OrderedDict[str, tuple[request.Request, int, bool]]


class FifoRouter:
    """Route without classes, fairness, shedding, grants, hedges or spill.

    A target counts as free while this instance has fewer requests at it than it has
    slots. What other instances send is not known, so targets refuse some.

    Parameters
    ----------
    instance, process, failure_domain : str
        Identify this instance.
    rng : random.Random
        Source of the choices between targets.
    """

    def __init__(
        self, instance: str, process: str, failure_domain: str, rng: random.Random
    ) -> None:
        self._instance = instance
        self._process = process
        self._failure_domain = failure_domain
        self._rng = rng
        self._configuration = record.Configuration()
        self._table = target.TargetTable()
        self._queues: dict[str, _Queue] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._by_request: dict[str, int] = {}
        self._next_attempt = 0
        # Targets that refused since the last tick, unless a request ended there.
        self._full: set[str] = set()

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> list[effect.Effect]:
        """Take over the operators' records of a new revision."""
        self._configuration = configuration
        return self._pump_all(now)

    def announce(
        self, announced: announcement.TargetAnnouncement, now: float
    ) -> list[effect.Effect]:
        """Take over a target's announcement."""
        if announced.failure_domain == self._failure_domain:
            self._table.announce(announced, now)
        return self._pump_all(now)

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return an empty report."""
        del now
        return grants.DemandReport(self._instance, self._process, "", 0, {}, ())

    def apply_grants(
        self, granted: grants.GrantReply, now: float
    ) -> list[effect.Effect]:
        """Ignore grants."""
        del granted, now
        return []

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Ignore the leader."""

    def free_capacity(self, now: float) -> list[target.Capacity]:
        """Tell nothing."""
        del now
        return []

    def update_peer_capacity(self, capacity: target.Capacity, now: float) -> None:
        """Ignore other failure domains."""

    def submit(self, asked: request.Request, now: float) -> list[effect.Effect]:
        """Queue a request."""
        queue = self._queues.setdefault(asked.service, collections.OrderedDict())
        if len(queue) >= MAX_QUEUED:
            return [_refusal(asked, errors.ErrorCode.OVERLOADED, False)]
        queue[asked.request_id] = (asked, 0, False)
        return self._pump(asked.service, now)

    def withdraw(self, request_id: str, now: float) -> list[effect.Effect]:
        """Give up a request whose caller is gone."""
        attempt = self._by_request.get(request_id)
        if attempt is not None:
            known = self._end(attempt)
            return [
                effect.Cancel(request_id, attempt),
                *self._pump(known.asked.service, now),
            ]
        for queue in self._queues.values():
            queue.pop(request_id, None)
        return []

    def attempt_started(self, attempt: int, now: float) -> list[effect.Effect]:
        """Ignore the begin of an answer."""
        del attempt, now
        return []

    def attempt_finished(
        self, attempt: int, now: float, answer_bytes: int = 0
    ) -> list[effect.Effect]:
        """Note that an answer is complete."""
        del answer_bytes
        if attempt not in self._attempts:
            return []
        known = self._end(attempt)
        self._full.discard(known.target)
        return self._pump(known.asked.service, now)

    def attempt_failed(
        self, attempt: int, kind: request.FailureKind, now: float
    ) -> list[effect.Effect]:
        """Try again if nothing was sent or the request is repeatable."""
        if attempt not in self._attempts:
            return []
        known = self._end(attempt)
        sent = known.sent or kind not in request.NOT_SENT
        if kind is request.FailureKind.NOT_STARTED or (
            known.tries < MAX_TRIES and (known.asked.repeatable or not sent)
        ):
            tries = known.tries + (kind is not request.FailureKind.NOT_STARTED)
            queue = self._queues[known.asked.service]
            queue[known.asked.request_id] = (known.asked, tries, sent)
            queue.move_to_end(known.asked.request_id, last=False)
            if kind is request.FailureKind.NOT_STARTED:
                self._full.add(known.target)
            return self._pump(known.asked.service, now)
        refusal = _refusal(known.asked, errors.ErrorCode.TARGET_FAILED, sent)
        return [refusal, *self._pump(known.asked.service, now)]

    def tick(self, now: float) -> list[effect.Effect]:
        """Forget silent targets and try again."""
        self._table.expire(now)
        self._full.clear()
        return self._pump_all(now)

    def _end(self, attempt: int) -> _Attempt:
        known = self._attempts.pop(attempt)
        del self._by_request[known.asked.request_id]
        chosen = self._table.get(known.target)
        if chosen is not None:
            chosen.in_flight -= 1
        return known

    def _pump_all(self, now: float) -> list[effect.Effect]:
        return [item for name in self._queues for item in self._pump(name, now)]

    def _pump(self, service: str, now: float) -> list[effect.Effect]:
        del now
        queue = self._queues[service]
        effects: list[effect.Effect] = []
        if not queue:
            return effects
        free = [
            known
            for known in self._table.values()
            if known.announcement.service == service
            and known.announcement.id not in self._full
            and known.in_flight < known.announcement.slots
            and known.announcement.state is announcement.TargetState.SERVING
        ]
        while queue and free:
            _, (asked, tries, sent) = queue.popitem(last=False)
            chosen = self._rng.choice(free)
            chosen.in_flight += 1
            if chosen.in_flight >= chosen.announcement.slots:
                free.remove(chosen)
            self._next_attempt += 1
            self._attempts[self._next_attempt] = _Attempt(
                asked, chosen.announcement.id, tries + 1, sent
            )
            self._by_request[asked.request_id] = self._next_attempt
            effects.append(
                effect.Dispatch(
                    asked.request_id,
                    self._next_attempt,
                    chosen.announcement.id,
                    chosen.announcement.url,
                    self._configuration.services[service].progress_timeout_s,
                    asked.declared or request.RequestClass.SHORT,
                )
            )
        return effects


def _refusal(
    asked: request.Request, code: errors.ErrorCode, sent: bool
) -> effect.Refuse:
    outcome = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    body = errors.ErrorBody(code, outcome, "the request got no answer")
    return effect.Refuse(asked.request_id, body)
