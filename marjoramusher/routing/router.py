"""Routing decisions of one instance."""

import random

from ..core import announcement as announcements
from ..core import errors, record
from . import (
    admission,
    dispatch,
    effect,
    fair_queue,
    grants,
    overrun,
    refusal,
    run_times,
    slot_limits,
    spill,
    state,
)
from . import request as requests
from . import target as targets

MAX_ATTEMPTS = 4
STARTUP_S = 2.5  # targets renew every 2 s, so all have announced themselves by then
SCAN_INTERVAL_S = 0.05  # between searches for expired deadlines and due hedges
LOAD_INTERVAL_S = 0.5

Link = spill.Link


class Router:
    """Route with learned classes, fair queues, early shedding, hedges and spill.

    Parameters
    ----------
    instance : str
        Id of this instance.
    process : str
        Id of this process; a restarted instance has another.
    failure_domain : str
        Failure domain of the instance; targets of others are ignored.
    rng : random.Random
        Source of the choices between targets.
    links : tuple of Link
        Links to the failure domains that requests may spill to.
    now : float
        Monotonic time of the start.
    """

    def __init__(
        self,
        instance: str,
        process: str,
        failure_domain: str,
        rng: random.Random,
        links: tuple[Link, ...] = (),
        now: float = 0.0,
    ) -> None:
        self._instance = instance
        self._process = process
        self._failure_domain = failure_domain
        self._peers = spill.PeerDomains(links)
        self._started_at = now
        self._configuration = record.Configuration()
        self._slot_limiter = slot_limits.SlotLimiter()
        self._table = targets.TargetTable()
        self._services: dict[str, state.ServiceState] = {}
        self._run_times = run_times.RunTimeTable()
        self._dispatcher = dispatch.Dispatcher(rng)
        # Aliases save an attribute look-up for each request.
        self._weights = self._dispatcher.weights
        self._entries = self._dispatcher.entries
        self._attempts = self._dispatcher.attempts
        self._dispatch = self._dispatcher.dispatch
        self._release_slot = self._dispatcher.release_slot
        # Leadership id and sequence number of the last applied reply.
        self._leadership_id = ""
        self._reply_sequence = 0
        self._next_scan_at = now
        self._load_updated_at = now

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(service.fair_queue) for service in self._services.values())

    @property
    def in_flight(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._attempts)

    def set_link(self, link: Link) -> None:
        """Add or replace the link to another failure domain."""
        self._peers.set_link(link)

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> list[effect.Effect]:
        """Apply a new revision of the operators' records."""
        self._configuration = configuration
        self._weights.clear()
        for name, account in configuration.accounts.items():
            self._weights[name] = float(account.weight)
        self._slot_limiter.drained_targets = {
            drain.name
            for drain in configuration.drains.values()
            if drain.failure_domain == self._failure_domain
        }
        for name, service_record in configuration.services.items():
            service = self._services.get(name)
            if service is None:
                self._services[name] = state.ServiceState(service_record)
            else:
                service.record = service_record
        for service in self._services.values():
            service.fair_queue.set_weights(self._weights)
        effects: list[effect.Effect] = []
        for target in self._table.values():
            self._attach(target)
        for service in self._services.values():
            self._update_slots(service, now, effects)
        return effects

    def announce(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> list[effect.Effect]:
        """Apply the announcement of a target."""
        if announcement.failure_domain != self._failure_domain:
            return []
        target, replaced = self._table.announce(announcement, now)
        effects: list[effect.Effect] = []
        if replaced is not None:
            self._detach(replaced)
        if target is not None:
            self._attach(target)
        service = self._services.get(announcement.service)
        if service is not None:
            self._update_slots(service, now, effects)
        return effects

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Set whether the domain group has a leader; grants expire only with one."""
        del now
        self._slot_limiter.is_leader_known = is_known

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""
        del now
        demand = {
            name: service.update_demand() for name, service in self._services.items()
        }
        holdings = tuple(
            grants.Holding(
                target.announcement.id,
                target.announcement.incarnation,
                target.granted_slots,
                target.in_flight,
            )
            for target in self._table.values()
            if target.granted_slots or target.in_flight
        )
        return grants.DemandReport(
            self._instance,
            self._process,
            self._leadership_id,
            self._reply_sequence,
            demand,
            holdings,
        )

    def apply_grants(self, reply: grants.GrantReply, now: float) -> list[effect.Effect]:
        """Replace the granted slots by those in the leader's reply."""
        if reply.leadership_id == self._leadership_id and (
            reply.sequence <= self._reply_sequence
        ):
            return []
        self._leadership_id = reply.leadership_id
        self._reply_sequence = reply.sequence
        slots_by_target = {(g.target, g.incarnation): g.slots for g in reply.grants}
        for target in self._table.values():
            key = (target.announcement.id, target.announcement.incarnation)
            target.granted_slots = slots_by_target.get(key, 0)
            target.grant_expires_at = now + reply.lease_s
        effects: list[effect.Effect] = []
        for service in self._services.values():
            self._update_slots(service, now, effects)
        return effects

    def free_capacity(self, now: float) -> list[targets.Capacity]:
        """Return the free capacity of each service for other failure domains."""
        del now
        return [
            targets.Capacity(
                self._failure_domain,
                name,
                run_class,
                0 if queue.length else service.free_slots(run_class),
                service.expected_wait_s(run_class),
            )
            for name, service in self._services.items()
            for run_class, queue in service.queues.items()
        ]

    def update_peer_capacity(self, capacity: targets.Capacity, now: float) -> None:
        """Store the free capacity reported by another failure domain."""
        self._peers.update_capacity(capacity, now)

    def submit(self, request: requests.Request, now: float) -> list[effect.Effect]:
        """Dispatch, queue, forward or refuse a request."""
        service = self._services.get(request.service)
        if service is None:
            return [refusal.refuse_unknown_service(request)]
        weight = self._weights.get(request.account)
        if weight is None:
            return [refusal.refuse_unknown_account(request)]
        run_time = self._run_times.estimate_for(request)
        entry = fair_queue.Entry(request, run_time, now)
        run_class = entry.run_class
        service.arrived_work_s[run_class] += run_time.mean_s
        if request.request_id in self._entries:
            return [refusal.refuse_duplicate_id(request)]
        if not admission.can_dispatch_now(service, run_class):
            return self._queue_or_shed(service, entry, weight, now)
        self._entries[request.request_id] = entry
        service.fair_queue.charge(entry, weight)
        return [self._dispatch(service, entry, now)]

    def withdraw(self, request_id: str, now: float) -> list[effect.Effect]:
        """Drop a request whose caller has disconnected."""
        entry = self._entries.get(request_id)
        if entry is None:
            return []
        effects: list[effect.Effect] = []
        service = self._services[entry.request.service]
        self._dispatcher.discard(service, entry, now, effects)
        self._dispatcher.fill_slots(service, now, effects)
        return effects

    def attempt_started(self, attempt_number: int, now: float) -> list[effect.Effect]:
        """Cancel the other attempts of a request once one has begun to respond."""
        attempt = self._attempts.get(attempt_number)
        if attempt is None:
            return []
        entry = attempt.entry
        entry.has_response_started = True
        if len(entry.attempts) == 1:
            return []
        effects: list[effect.Effect] = []
        service = self._services[entry.request.service]
        self._dispatcher.cancel_attempts(
            service, entry, now, effects, keep=attempt_number
        )
        self._dispatcher.fill_slots(service, now, effects)
        return effects

    def attempt_finished(
        self, attempt_number: int, now: float, response_bytes: int = 0
    ) -> list[effect.Effect]:
        """Release the slot of an attempt whose response is complete."""
        attempt = self._attempts.get(attempt_number)
        if attempt is None:
            return []
        entry = attempt.entry
        service = self._services[entry.request.service]
        self._release_slot(service, attempt)
        run_s = now - attempt.sent_at
        if entry.run_time.count > run_times.WARM_UP_RUNS:
            service.record_run_ratio(attempt.target, run_s / entry.run_time.mean_s)
        attempt.target.record_success()
        service.record_outcome(failed=False)
        entry.run_time.record(run_s, service.record.short_run_s)
        service.fair_queue.correct_charge(entry, run_s)
        service.mean_response_bytes += 0.05 * (
            response_bytes - service.mean_response_bytes
        )
        service.retry_budget.record_success()
        service.hedge_budget.record_success()
        effects: list[effect.Effect] = []
        if entry.attempts:
            self._dispatcher.cancel_attempts(service, entry, now, effects)
        del self._entries[entry.request.request_id]
        if service.short_queue.length or service.long_queue.length:
            self._dispatcher.fill_slots(service, now, effects)
        return effects

    def attempt_failed(
        self, attempt_number: int, kind: requests.FailureKind, now: float
    ) -> list[effect.Effect]:
        """Retry or refuse a request after an attempt without a complete response."""
        attempt = self._attempts.get(attempt_number)
        if attempt is None:
            return []
        entry = attempt.entry
        service = self._services[entry.request.service]
        self._release_slot(service, attempt)
        self._slot_limiter.record_failure(service, attempt.target, kind, now)
        effects: list[effect.Effect] = []
        if kind not in requests.NOT_RUN_FAILURES:
            entry.may_have_run = True
        self._retry_or_refuse(service, entry, effects)
        self._dispatcher.fill_slots(service, now, effects)
        return effects

    def tick(self, now: float) -> list[effect.Effect]:
        """Return the effects of expired deadlines, leases and timers."""
        effects: list[effect.Effect] = []
        if now < self._next_scan_at:
            return effects
        self._next_scan_at = now + SCAN_INTERVAL_S
        for target in self._table.expire(now):
            self._detach(target)
        if now >= self._load_updated_at + LOAD_INTERVAL_S:
            self._update_load(now)
        for service in self._services.values():
            self._update_slots(service, now, effects)
        self._scan_entries(now, effects)
        return effects

    def _queue_or_shed(
        self,
        service: state.ServiceState,
        entry: fair_queue.Entry,
        weight: float,
        now: float,
    ) -> list[effect.Effect]:
        """Queue an entry, or forward or refuse it."""
        request = entry.request
        wait_s = service.expected_wait_s(entry.run_class, request.account, weight)
        slack_s = request.deadline - now
        is_starting_up = now < self._started_at + STARTUP_S
        can_queue = admission.can_queue(service, entry, wait_s, slack_s, is_starting_up)
        if not request.is_forwarded and self._peers:
            max_delay_s = wait_s if can_queue else slack_s - entry.cost_s
            domain = self._peers.choose(
                entry, max_delay_s, service.mean_response_bytes, now
            )
            if domain is not None:
                return [effect.Forward(request.request_id, domain)]
        if not can_queue:
            code = admission.shed_error_code(service, entry, slack_s)
            return [refusal.refuse(entry, code)]
        self._entries[request.request_id] = entry
        service.fair_queue.push(entry, weight)
        effects: list[effect.Effect] = []
        self._dispatcher.fill_slots(service, now, effects)
        return effects

    def _retry_or_refuse(
        self,
        service: state.ServiceState,
        entry: fair_queue.Entry,
        effects: list[effect.Effect],
    ) -> None:
        """Queue an entry again after a failed attempt, or refuse it."""
        code = None
        if entry.has_response_started:
            code = errors.ErrorCode.TARGET_FAILED
        elif entry.attempts:
            return  # Another attempt is still in progress.
        elif entry.may_have_run and not entry.request.repeatable:
            code = errors.ErrorCode.TARGET_FAILED
        elif entry.attempt_count >= MAX_ATTEMPTS or not service.retry_budget.take():
            code = errors.ErrorCode.NO_TARGET
            if entry.may_have_run:
                code = errors.ErrorCode.TARGET_FAILED
        if code is not None:
            self._dispatcher.refuse(entry, code, effects)
            return
        weight = self._weights.get(entry.request.account, 1.0)
        service.fair_queue.push(entry, weight, at_front=True)

    def _update_slots(
        self, service: state.ServiceState, now: float, effects: list[effect.Effect]
    ) -> None:
        """Recompute the slot limits of a service and fill its free slots."""
        self._slot_limiter.update(service, now)
        self._dispatcher.fill_slots(service, now, effects)

    def _attach(self, target: targets.Target) -> None:
        service = self._services.get(target.announcement.service)
        if service is not None:
            service.targets[target.announcement.id] = target

    def _detach(self, target: targets.Target) -> None:
        service = self._services.get(target.announcement.service)
        if service is not None:
            service.remove_target(target)

    def _update_load(self, now: float) -> None:
        interval_s = now - self._load_updated_at
        self._load_updated_at = now
        for service in self._services.values():
            service.update_load(interval_s)

    def _scan_entries(self, now: float, effects: list[effect.Effect]) -> None:
        """Refuse entries past their deadline and hedge overdue attempts."""
        expired = []
        for entry in self._entries.values():
            if entry.request.deadline <= now:
                expired.append(entry)
            elif entry.attempts and entry.run_class is state.SHORT:
                service = self._services[entry.request.service]
                overrun.reclassify_overruns(service, entry, now)
                hedge_dispatch = overrun.hedge(self._dispatcher, service, entry, now)
                if hedge_dispatch is not None:
                    effects.append(hedge_dispatch)
        for entry in expired:
            self._expire(entry, now, effects)
        if expired:
            # After the loop, because fill_slots may refuse expired entries too.
            for service in self._services.values():
                self._dispatcher.fill_slots(service, now, effects)

    def _expire(
        self, entry: fair_queue.Entry, now: float, effects: list[effect.Effect]
    ) -> None:
        if entry.is_queued:
            entry.run_time.allow_probe()
        self._dispatcher.discard(
            self._services[entry.request.service], entry, now, effects
        )
        self._dispatcher.refuse(entry, errors.ErrorCode.DEADLINE_EXCEEDED, effects)
