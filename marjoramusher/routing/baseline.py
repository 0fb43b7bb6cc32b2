"""FIFO routing to random targets, the baseline of the routing benchmark."""

import collections
import random
from typing import TypeAlias

from ..core import announcement as announcements
from ..core import errors, record
from . import effect, grants
from . import request as requests
from . import target as targets

MAX_QUEUE_LENGTH = 16_384
MAX_ATTEMPTS = 4


class _Attempt:
    """One dispatch of a request; `attempt_count` includes it and the earlier ones."""

    __slots__ = ("attempt_count", "may_have_run", "request", "target")

    def __init__(
        self,
        request: requests.Request,
        target: str,
        attempt_count: int,
        may_have_run: bool,
    ) -> None:
        self.request = request
        self.may_have_run = may_have_run
        self.target = target
        self.attempt_count = attempt_count


# By request id: the request, its number of attempts and whether it may have run.
_Queue: TypeAlias = collections.OrderedDict[str, tuple[requests.Request, int, bool]]


class FifoRouter:
    """Route without classes, fairness, shedding, grants, hedges or spill.

    A target counts as free while this instance has fewer requests at it than it has
    slots. The requests of other instances are not known, so targets refuse some.

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
        self._table = targets.TargetTable()
        self._queues: dict[str, _Queue] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._attempt_by_request: dict[str, int] = {}
        self._last_attempt_number = 0
        # Targets that refused since the last tick, unless a request ended there.
        self._full_targets: set[str] = set()

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> list[effect.Effect]:
        """Apply a new revision of the operators' records."""
        self._configuration = configuration
        return self._fill_all_slots(now)

    def announce(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> list[effect.Effect]:
        """Apply the announcement of a target."""
        if announcement.failure_domain == self._failure_domain:
            self._table.announce(announcement, now)
        return self._fill_all_slots(now)

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return an empty report."""
        del now
        return grants.DemandReport(self._instance, self._process, "", 0, {}, ())

    def apply_grants(self, reply: grants.GrantReply, now: float) -> list[effect.Effect]:
        """Ignore grants."""
        del reply, now
        return []

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Ignore the leader."""

    def free_capacity(self, now: float) -> list[targets.Capacity]:
        """Report no capacity."""
        del now
        return []

    def update_peer_capacity(self, capacity: targets.Capacity, now: float) -> None:
        """Ignore other failure domains."""

    def submit(self, request: requests.Request, now: float) -> list[effect.Effect]:
        """Queue a request."""
        queue = self._queues.setdefault(request.service, collections.OrderedDict())
        if len(queue) >= MAX_QUEUE_LENGTH:
            return [_refuse(request, errors.ErrorCode.OVERLOADED, False)]
        queue[request.request_id] = (request, 0, False)
        return self._fill_slots(request.service, now)

    def withdraw(self, request_id: str, now: float) -> list[effect.Effect]:
        """Drop a request whose caller has disconnected."""
        attempt_number = self._attempt_by_request.get(request_id)
        if attempt_number is not None:
            attempt = self._remove_attempt(attempt_number)
            return [
                effect.Cancel(request_id, attempt_number),
                *self._fill_slots(attempt.request.service, now),
            ]
        for queue in self._queues.values():
            queue.pop(request_id, None)
        return []

    def attempt_started(self, attempt_number: int, now: float) -> list[effect.Effect]:
        """Ignore the start of a response."""
        del attempt_number, now
        return []

    def attempt_finished(
        self, attempt_number: int, now: float, response_bytes: int = 0
    ) -> list[effect.Effect]:
        """Release the slot of an attempt whose response is complete."""
        del response_bytes
        if attempt_number not in self._attempts:
            return []
        attempt = self._remove_attempt(attempt_number)
        self._full_targets.discard(attempt.target)
        return self._fill_slots(attempt.request.service, now)

    def attempt_failed(
        self, attempt_number: int, kind: requests.FailureKind, now: float
    ) -> list[effect.Effect]:
        """Retry a request that is repeatable or that no target has run."""
        if attempt_number not in self._attempts:
            return []
        attempt = self._remove_attempt(attempt_number)
        may_have_run = attempt.may_have_run or kind not in requests.NOT_RUN_FAILURES
        if kind is requests.FailureKind.NOT_STARTED or (
            attempt.attempt_count < MAX_ATTEMPTS
            and (attempt.request.repeatable or not may_have_run)
        ):
            attempt_count = attempt.attempt_count + (
                kind is not requests.FailureKind.NOT_STARTED
            )
            queue = self._queues[attempt.request.service]
            queue[attempt.request.request_id] = (
                attempt.request,
                attempt_count,
                may_have_run,
            )
            queue.move_to_end(attempt.request.request_id, last=False)
            if kind is requests.FailureKind.NOT_STARTED:
                self._full_targets.add(attempt.target)
            return self._fill_slots(attempt.request.service, now)
        refusal = _refuse(attempt.request, errors.ErrorCode.TARGET_FAILED, may_have_run)
        return [refusal, *self._fill_slots(attempt.request.service, now)]

    def tick(self, now: float) -> list[effect.Effect]:
        """Remove expired targets and retry those that were full."""
        self._table.expire(now)
        self._full_targets.clear()
        return self._fill_all_slots(now)

    def _remove_attempt(self, attempt_number: int) -> _Attempt:
        attempt = self._attempts.pop(attempt_number)
        del self._attempt_by_request[attempt.request.request_id]
        target = self._table.get(attempt.target)
        if target is not None:
            target.in_flight -= 1
        return attempt

    def _fill_all_slots(self, now: float) -> list[effect.Effect]:
        return [item for name in self._queues for item in self._fill_slots(name, now)]

    def _fill_slots(self, service: str, now: float) -> list[effect.Effect]:
        del now
        queue = self._queues[service]
        effects: list[effect.Effect] = []
        if not queue:
            return effects
        free_targets = [
            target
            for target in self._table.values()
            if target.announcement.service == service
            and target.announcement.id not in self._full_targets
            and target.in_flight < target.announcement.slots
            and target.announcement.state is announcements.TargetState.SERVING
        ]
        while queue and free_targets:
            _, (request, attempt_count, may_have_run) = queue.popitem(last=False)
            target = self._rng.choice(free_targets)
            target.in_flight += 1
            if target.in_flight >= target.announcement.slots:
                free_targets.remove(target)
            self._last_attempt_number += 1
            self._attempts[self._last_attempt_number] = _Attempt(
                request, target.announcement.id, attempt_count + 1, may_have_run
            )
            self._attempt_by_request[request.request_id] = self._last_attempt_number
            effects.append(
                effect.Dispatch(
                    request.request_id,
                    self._last_attempt_number,
                    target.announcement.id,
                    target.announcement.url,
                    self._configuration.services[service].progress_timeout_s,
                    request.declared_class or requests.RequestClass.SHORT,
                )
            )
        return effects


def _refuse(
    request: requests.Request, code: errors.ErrorCode, may_have_run: bool
) -> effect.Refuse:
    outcome = errors.Outcome.UNKNOWN if may_have_run else errors.Outcome.NOT_RUN
    body = errors.ErrorBody(code, outcome, "the request got no complete response")
    return effect.Refuse(request.request_id, body)
