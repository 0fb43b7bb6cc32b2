"""Routing decisions of one instance."""

import random

from ..core import announcement, errors, record
from . import (
    admission,
    dispatch,
    effect,
    fair_queue,
    grants,
    overrun,
    refusal,
    request,
    run_times,
    slot_limits,
    spill,
    state,
    target,
)

MAX_TRIES = 4
STARTUP_S = 2.5  # targets renew every 2 s, so by then all are known
SCAN_S = 0.05  # period of the search for passed deadlines and hedges
LOAD_WINDOW_S = 0.5

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
        Paths to the other failure domains that requests may spill to.
    now : float
        Instant of the start.
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
        self._peers = spill.Peers(links)
        self._started_at = now
        self._configuration = record.Configuration()
        self._allowance = slot_limits.Allowance()
        self._table = target.TargetTable()
        self._services: dict[str, state.Service] = {}
        self._run_times = run_times.RunTimes()
        self._dispatcher = dispatch.Dispatcher(rng)
        # Held here too, which saves a look-up for each request.
        self._weights = self._dispatcher.weights
        self._entries = self._dispatcher.entries
        self._attempts = self._dispatcher.attempts
        self._dispatch = self._dispatcher.dispatch
        self._release = self._dispatcher.release
        self._granted_by = ""
        self._sequence = 0
        self._scan_at = now
        self._load_at = now

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(service.fair) for service in self._services.values())

    @property
    def in_flight(self) -> int:
        """Return the number of attempts under way."""
        return len(self._attempts)

    def connect(self, link: Link) -> None:
        """Take over the path to another failure domain, if it is new or changed."""
        self._peers.connect(link)

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> list[effect.Effect]:
        """Take over the operators' records of a new revision."""
        self._configuration = configuration
        self._weights.clear()
        for name, account in configuration.accounts.items():
            self._weights[name] = float(account.weight)
        self._allowance.drained = {
            drain.name
            for drain in configuration.drains.values()
            if drain.failure_domain == self._failure_domain
        }
        for name, service_record in configuration.services.items():
            service = self._services.get(name)
            if service is None:
                self._services[name] = state.Service(service_record)
            else:
                service.record = service_record
        for service in self._services.values():
            service.fair.set_weights(self._weights)
        effects: list[effect.Effect] = []
        for known in self._table.values():
            self._attach(known)
        for service in self._services.values():
            self._refresh(service, now, effects)
        return effects

    def announce(
        self, announced: announcement.TargetAnnouncement, now: float
    ) -> list[effect.Effect]:
        """Take over a target's announcement."""
        if announced.failure_domain != self._failure_domain:
            return []
        known, replaced = self._table.announce(announced, now)
        effects: list[effect.Effect] = []
        if replaced is not None:
            self._detach(replaced)
        if known is not None:
            self._attach(known)
        service = self._services.get(announced.service)
        if service is not None:
            self._refresh(service, now, effects)
        return effects

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Note whether the domain group has a leader; without one, grants stay."""
        del now
        self._allowance.leader_known = is_known

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""
        del now
        wanted = {
            name: service.measure_demand() for name, service in self._services.items()
        }
        held = tuple(
            grants.Holding(
                known.announcement.id,
                known.announcement.incarnation,
                known.granted,
                known.in_flight,
            )
            for known in self._table.values()
            if known.granted or known.in_flight
        )
        return grants.DemandReport(
            self._instance,
            self._process,
            self._granted_by,
            self._sequence,
            wanted,
            held,
        )

    def apply_grants(
        self, granted: grants.GrantReply, now: float
    ) -> list[effect.Effect]:
        """Take over the slots that the leader granted."""
        if granted.leader_process == self._granted_by and (
            granted.sequence <= self._sequence
        ):
            return []
        self._granted_by = granted.leader_process
        self._sequence = granted.sequence
        by_target = {(g.target, g.incarnation): g.slots for g in granted.grants}
        for known in self._table.values():
            key = (known.announcement.id, known.announcement.incarnation)
            known.granted = by_target.get(key, 0)
            known.grant_expires_at = now + granted.lease_s
        effects: list[effect.Effect] = []
        for service in self._services.values():
            self._refresh(service, now, effects)
        return effects

    def free_capacity(self, now: float) -> list[target.Capacity]:
        """Return the free capacity of each service, to be told to other domains."""
        del now
        return [
            target.Capacity(
                self._failure_domain,
                name,
                run_class,
                0 if queue.count else service.free_slots(run_class),
                service.wait_s(run_class),
            )
            for name, service in self._services.items()
            for run_class, queue in service.queues.items()
        ]

    def update_peer_capacity(self, capacity: target.Capacity, now: float) -> None:
        """Note the free capacity of another failure domain."""
        self._peers.note(capacity, now)

    def submit(self, asked: request.Request, now: float) -> list[effect.Effect]:
        """Admit, forward or refuse a request."""
        service = self._services.get(asked.service)
        if service is None:
            return [refusal.refuse_service(asked)]
        weight = self._weights.get(asked.account)
        if weight is None:
            return [refusal.refuse_account(asked)]
        run = self._run_times.of(asked)
        entry = fair_queue.Entry(asked, run, now)
        run_class = entry.run_class
        service.arrived_s[run_class] += run.mean_s
        if asked.request_id in self._entries:
            return [refusal.refuse_repeated(asked)]
        if not admission.may_start(service, run_class):
            return self._enqueue(service, entry, weight, now)
        self._entries[asked.request_id] = entry
        service.fair.charge(entry, weight)
        return [self._dispatch(service, entry, now)]

    def withdraw(self, request_id: str, now: float) -> list[effect.Effect]:
        """Give up a request whose caller is gone."""
        entry = self._entries.get(request_id)
        if entry is None:
            return []
        effects: list[effect.Effect] = []
        service = self._services[entry.asked.service]
        self._dispatcher.drop(service, entry, now, effects)
        self._dispatcher.pump(service, now, effects)
        return effects

    def attempt_started(self, attempt: int, now: float) -> list[effect.Effect]:
        """Note that an answer has begun; the request's other attempts are cancelled."""
        known = self._attempts.get(attempt)
        if known is None:
            return []
        entry = known.entry
        entry.answering = True
        if len(entry.attempts) == 1:
            return []
        effects: list[effect.Effect] = []
        service = self._services[entry.asked.service]
        self._dispatcher.cancel(service, entry, now, effects, keep=attempt)
        self._dispatcher.pump(service, now, effects)
        return effects

    def attempt_finished(
        self, attempt: int, now: float, answer_bytes: int = 0
    ) -> list[effect.Effect]:
        """Note that an answer is complete."""
        known = self._attempts.get(attempt)
        if known is None:
            return []
        entry = known.entry
        service = self._services[entry.asked.service]
        self._release(service, known)
        run_s = now - known.sent_at
        if entry.run.count > run_times.FIRST_RUNS:
            service.note_ratio(known.target, run_s / entry.run.mean_s)
        known.target.note_success()
        service.note_outcome(failed=False)
        entry.run.note(run_s, service.record.short_run_s)
        service.fair.correct(entry, run_s)
        service.answer_bytes += 0.05 * (answer_bytes - service.answer_bytes)
        service.retries.succeed()
        service.hedges.succeed()
        effects: list[effect.Effect] = []
        if entry.attempts:
            self._dispatcher.cancel(service, entry, now, effects)
        del self._entries[entry.asked.request_id]
        if service.short_queue.count or service.long_queue.count:
            self._dispatcher.pump(service, now, effects)
        return effects

    def attempt_failed(
        self, attempt: int, kind: request.FailureKind, now: float
    ) -> list[effect.Effect]:
        """Note that an attempt gave no complete answer."""
        known = self._attempts.get(attempt)
        if known is None:
            return []
        entry = known.entry
        service = self._services[entry.asked.service]
        self._release(service, known)
        self._allowance.punish(service, known.target, kind, now)
        effects: list[effect.Effect] = []
        if kind not in request.NOT_SENT:
            entry.sent = True
        self._retry(service, entry, effects)
        self._dispatcher.pump(service, now, effects)
        return effects

    def tick(self, now: float) -> list[effect.Effect]:
        """Return what has become due by time."""
        effects: list[effect.Effect] = []
        if now < self._scan_at:
            return effects
        self._scan_at = now + SCAN_S
        for gone in self._table.expire(now):
            self._detach(gone)
        if now >= self._load_at + LOAD_WINDOW_S:
            self._measure_load(now)
        for service in self._services.values():
            self._refresh(service, now, effects)
        self._scan(now, effects)
        return effects

    def _enqueue(
        self, service: state.Service, entry: fair_queue.Entry, weight: float, now: float
    ) -> list[effect.Effect]:
        asked = entry.asked
        wait_s = service.wait_s(entry.run_class, asked.account, weight)
        slack_s = asked.deadline - now
        starting = now < self._started_at + STARTUP_S
        fits = admission.may_queue(service, entry, wait_s, slack_s, starting)
        if not asked.is_forwarded and self._peers:
            limit_s = wait_s if fits else slack_s - entry.cost_s
            domain = self._peers.choose(entry, limit_s, service.answer_bytes, now)
            if domain is not None:
                return [effect.Forward(asked.request_id, domain)]
        if not fits:
            code = admission.shed_code(service, entry, slack_s)
            return [refusal.refuse(entry, code)]
        self._entries[asked.request_id] = entry
        service.fair.push(entry, weight)
        effects: list[effect.Effect] = []
        self._dispatcher.pump(service, now, effects)
        return effects

    def _retry(
        self,
        service: state.Service,
        entry: fair_queue.Entry,
        effects: list[effect.Effect],
    ) -> None:
        """Queue a failed entry again, or refuse it."""
        code = None
        if entry.answering:
            code = errors.ErrorCode.TARGET_FAILED
        elif entry.attempts:
            return  # Another attempt is still under way.
        elif entry.sent and not entry.asked.repeatable:
            code = errors.ErrorCode.TARGET_FAILED
        elif entry.tries >= MAX_TRIES or not service.retries.take():
            code = errors.ErrorCode.NO_TARGET
            if entry.sent:
                code = errors.ErrorCode.TARGET_FAILED
        if code is not None:
            self._dispatcher.refuse(entry, code, effects)
            return
        weight = self._weights.get(entry.asked.account, 1.0)
        service.fair.push(entry, weight, first=True)

    def _refresh(
        self, service: state.Service, now: float, effects: list[effect.Effect]
    ) -> None:
        self._allowance.refresh(service, now)
        self._dispatcher.pump(service, now, effects)

    def _attach(self, known: target.Target) -> None:
        service = self._services.get(known.announcement.service)
        if service is not None:
            service.targets[known.announcement.id] = known

    def _detach(self, gone: target.Target) -> None:
        service = self._services.get(gone.announcement.service)
        if service is not None:
            service.detach(gone)

    def _measure_load(self, now: float) -> None:
        span_s = now - self._load_at
        self._load_at = now
        for service in self._services.values():
            service.measure_load(span_s)

    def _scan(self, now: float, effects: list[effect.Effect]) -> None:
        late = []
        for entry in self._entries.values():
            if entry.asked.deadline <= now:
                late.append(entry)
            elif entry.attempts and entry.run_class is state.SHORT:
                service = self._services[entry.asked.service]
                overrun.reclassify(service, entry, now)
                hedge = overrun.hedge(self._dispatcher, service, entry, now)
                if hedge is not None:
                    effects.append(hedge)
        for entry in late:
            self._expire(entry, now, effects)
        if late:
            # Only now, since it refuses late entries too.
            for service in self._services.values():
                self._dispatcher.pump(service, now, effects)

    def _expire(
        self, entry: fair_queue.Entry, now: float, effects: list[effect.Effect]
    ) -> None:
        if entry.waiting:
            entry.run.note_starved()
        self._dispatcher.drop(self._services[entry.asked.service], entry, now, effects)
        self._dispatcher.refuse(entry, errors.ErrorCode.DEADLINE_EXCEEDED, effects)
