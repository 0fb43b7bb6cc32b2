"""Routing decisions of one instance."""

import math
import random

import msgspec

from ..core import announcement, errors, record
from . import budget, effect, fair, grants, request, runtime, target

SHORT, LONG = request.RequestClass.SHORT, request.RequestClass.LONG
MAX_QUEUE_S = {SHORT: 0.75, LONG: 20.0}
MAX_QUEUED = 4096  # for each service and class; bounds memory
MAX_TRIES = 4
STARTUP_S = 2.5  # targets renew every 2 s, so by then all are known
SCAN_S = 0.05  # period of the search for passed deadlines and hedges
LOAD_WINDOW_S = 0.5
MIN_LONG_SHARE = 0.2  # long work is never starved by short work
# Spare slots for short work, in standard deviations of its slots in use: the first
# value, the range, and the steps by which late short work raises and lowers it.
RESERVE_SIGMAS = 2.5
LEAST_SIGMAS, MOST_SIGMAS = 0.5, 4.0
RAISE_SIGMAS, LOWER_SIGMAS = 0.5, 0.1
LATE_WAIT = 0.5  # of the upper quantile of the run time
LATE_SHARE = 0.01  # the bound is on the 0.99 quantile
OVERRUN_FACTOR = 3.0
HEDGE_FACTOR = 2.0
HEDGE_MIN_S = 0.05
HEDGE_SHARE = 0.02
SHORT_LEAD = 0.5  # slot time over weight; short work is ahead of fairness by this
CAPACITY_TTL_S = 3.0
SPILL_MARGIN_S = 0.05
REQUEST_OVERHEAD_BYTES = 600
TYPICAL_GAIN = 0.005  # over some 200 runs, more than any one target has
DEMAND_DECAY = 0.8


class Link(msgspec.Struct, frozen=True):
    """Path to another failure domain.

    Parameters
    ----------
    bytes_per_s : float or None
        This instance's part of a link that is charged by volume; ``None`` if the
        volume doesn't matter.
    """

    failure_domain: str
    one_way_s: float
    bytes_per_s: float | None = None


class _Peer:
    __slots__ = ("bucket", "capacities", "link")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.capacities: dict[tuple[str, request.RequestClass], list] = {}
        self.bucket = (
            None
            if link.bytes_per_s is None
            else budget.TokenBucket(link.bytes_per_s, link.bytes_per_s)
        )


class _Attempt:
    __slots__ = ("entry", "number", "run_class", "sent_at", "target")

    def __init__(
        self, number: int, entry: fair.Entry, chosen: target.Target, now: float
    ) -> None:
        self.number = number
        self.entry = entry
        self.target = chosen
        self.sent_at = now
        self.run_class = entry.run_class


class _Service:
    """State of one service at this instance."""

    __slots__ = (
        "answer_bytes",
        "arrived_s",
        "demand",
        "fair",
        "free",
        "hedges",
        "in_flight",
        "late",
        "limit",
        "load",
        "long_limit",
        "queues",
        "record",
        "reserve",
        "retries",
        "shorts",
        "sigmas",
        "targets",
        "typical_log",
    )

    def __init__(self, service: record.Service) -> None:
        self.record = service
        self.targets: dict[str, target.Target] = {}
        self.free: list[target.Target] = []
        self.fair = fair.FairQueue()
        self.queues = self.fair.classes
        self.in_flight = {SHORT: 0, LONG: 0}
        self.arrived_s = {SHORT: 0.0, LONG: 0.0}
        self.load = {SHORT: 0.0, LONG: 0.0}
        self.limit = 0
        self.long_limit = 0
        self.reserve = 0
        self.typical_log = 0.0
        self.sigmas = RESERVE_SIGMAS
        self.late = 0
        self.shorts = 0
        self.demand = 0.0
        self.answer_bytes = 1024.0
        self.retries = budget.RetryBudget()
        self.hedges = budget.RetryBudget(HEDGE_SHARE, 5.0)

    def set_limits(self) -> None:
        """Split the slots between the classes by the mix of what arrives."""
        total = self.limit
        short = self.load[SHORT]
        reserve = math.ceil(short + self.sigmas * math.sqrt(short) + 1.0)
        self.reserve = reserve
        least = math.ceil(total * MIN_LONG_SHARE)
        self.long_limit = max(total - reserve, least)

    def adapt_reserve(self) -> None:
        """Keep as many slots for short work as its waits call for."""
        if self.shorts < 20:
            return
        if self.late > LATE_SHARE * self.shorts:
            self.sigmas = min(self.sigmas + RAISE_SIGMAS, MOST_SIGMAS)
        else:
            self.sigmas = max(self.sigmas - LOWER_SIGMAS, LEAST_SIGMAS)
        self.late = 0
        self.shorts = 0

    def note_ratio(self, chosen: target.Target, ratio: float) -> None:
        """Note a run time relative to the expected one."""
        log_ratio = chosen.note_run(ratio, self.typical_log)
        self.typical_log += TYPICAL_GAIN * (log_ratio - self.typical_log)

    def free_slots(self, run_class: request.RequestClass) -> int:
        """Return the slots that a class may take at once."""
        free = self.limit - self.in_flight[SHORT] - self.in_flight[LONG]
        if run_class is LONG:
            free = min(free, self.long_limit - self.in_flight[LONG])
        return max(free, 0)

    def set_free(self, chosen: target.Target) -> None:
        """Keep the list of targets with a free slot."""
        index = chosen.free_index
        if chosen.in_flight < chosen.limit:
            if index < 0:
                chosen.free_index = len(self.free)
                self.free.append(chosen)
        elif index >= 0:
            last = self.free.pop()
            if last is not chosen:
                self.free[index] = last
                last.free_index = index
            chosen.free_index = -1


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
        self._random = rng.random
        self._peers = {link.failure_domain: _Peer(link) for link in links}
        self._started_at = now
        self._configuration = record.Configuration()
        self._weights: dict[str, float] = {}
        self._drained: set[str] = set()
        self._table = target.TargetTable()
        self._services: dict[str, _Service] = {}
        self._run_times = runtime.RunTimes()
        self._entries: dict[str, fair.Entry] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._next_attempt = 0
        self._granted_by = ""
        self._sequence = 0
        self._leader_known = True
        self._scan_at = now
        self._load_at = now

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(service.fair) for service in self._services.values())

    @property
    def in_flight(self) -> int:
        """Return the number of attempts under way."""
        return len(self._attempts)

    def connect(self, link: Link) -> None:
        """Take over the path to another failure domain, if it is new or changed."""
        known = self._peers.get(link.failure_domain)
        if known is None or known.link != link:
            self._peers[link.failure_domain] = _Peer(link)

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> list[effect.Effect]:
        """Take over the operators' records of a new revision."""
        self._configuration = configuration
        self._weights = {
            name: float(account.weight)
            for name, account in configuration.accounts.items()
        }
        self._drained = {
            drain.name
            for drain in configuration.drains.values()
            if drain.failure_domain == self._failure_domain
        }
        for name, service_record in configuration.services.items():
            service = self._services.get(name)
            if service is None:
                self._services[name] = _Service(service_record)
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

    def leader_known(self, known: bool, now: float) -> None:
        """Note whether the domain group has a leader; without one, grants stay."""
        del now
        self._leader_known = known

    def demand(self, now: float) -> grants.Demand:
        """Return the report for the leader of the domain group."""
        del now
        wanted = {}
        for name, service in self._services.items():
            # Short work asks for its reserve, and long work for a slot each.
            long = service.in_flight[LONG] + service.queues[LONG].count
            short = service.in_flight[SHORT] + service.queues[SHORT].count
            present = long + max(short, service.reserve if service.load[SHORT] else 0)
            service.demand = max(float(present), DEMAND_DECAY * service.demand)
            wanted[name] = service.demand
        held = tuple(
            grants.Held(
                known.announcement.id,
                known.announcement.incarnation,
                known.granted,
                known.in_flight,
            )
            for known in self._table.values()
            if known.granted or known.in_flight
        )
        return grants.Demand(
            self._instance,
            self._process,
            self._granted_by,
            self._sequence,
            wanted,
            held,
        )

    def grant(self, granted: grants.Grants, now: float) -> list[effect.Effect]:
        """Take over the slots that the leader granted."""
        if granted.granted_by == self._granted_by and (
            granted.sequence <= self._sequence
        ):
            return []
        self._granted_by = granted.granted_by
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

    def capacity(self, now: float) -> list[target.Capacity]:
        """Return the free capacity of each service, to be told to other domains."""
        del now
        return [
            target.Capacity(
                self._failure_domain,
                name,
                run_class,
                0 if queue.count else service.free_slots(run_class),
                self._wait_s(service, run_class, ""),
            )
            for name, service in self._services.items()
            for run_class, queue in service.queues.items()
        ]

    def peer_capacity(self, capacity: target.Capacity, now: float) -> None:
        """Note the free capacity of another failure domain."""
        peer = self._peers.get(capacity.failure_domain)
        if peer is not None:
            entry = [capacity.free_slots, capacity.wait_s, now]
            peer.capacities[capacity.service, capacity.run_class] = entry

    def submit(self, asked: request.Request, now: float) -> list[effect.Effect]:
        """Admit, forward or refuse a request."""
        service = self._services.get(asked.service)
        weight = self._weights.get(asked.account)
        if service is None or weight is None:
            return [self._unknown(asked, service)]
        run = self._run_times.of(asked)
        entry = fair.Entry(asked, run, now)
        run_class = entry.run_class
        service.arrived_s[run_class] += run.mean_s
        queue = service.queues[run_class]
        if (
            not queue.count
            and service.free
            and (
                run_class is SHORT
                or (
                    service.in_flight[LONG] < service.long_limit
                    and not service.queues[SHORT].count
                )
            )
            and asked.request_id not in self._entries
        ):
            self._entries[asked.request_id] = entry
            service.fair.charge(entry, weight)
            return [self._dispatch(service, entry, now)]
        return self._enqueue(service, entry, weight, now)

    def withdraw(self, request_id: str, now: float) -> list[effect.Effect]:
        """Give up a request whose caller is gone."""
        entry = self._entries.get(request_id)
        if entry is None:
            return []
        effects: list[effect.Effect] = []
        service = self._services[entry.asked.service]
        self._drop(service, entry, now, effects)
        self._pump(service, now, effects)
        return effects

    def started(self, attempt: int, now: float) -> list[effect.Effect]:
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
        self._cancel_attempts(service, entry, now, effects, keep=attempt)
        self._pump(service, now, effects)
        return effects

    def finished(
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
        if entry.run.count > runtime.FIRST_RUNS:
            service.note_ratio(known.target, run_s / entry.run.mean_s)
        known.target.note_success()
        entry.run.note(run_s, service.record.short_run_s)
        service.fair.correct(entry, run_s)
        service.answer_bytes += 0.05 * (answer_bytes - service.answer_bytes)
        service.retries.succeed()
        service.hedges.succeed()
        effects: list[effect.Effect] = []
        if entry.attempts:
            self._cancel_attempts(service, entry, now, effects)
        del self._entries[entry.asked.request_id]
        if service.queues[SHORT].count or service.queues[LONG].count:
            self._pump(service, now, effects)
        return effects

    def failed(
        self, attempt: int, kind: request.FailureKind, now: float
    ) -> list[effect.Effect]:
        """Note that an attempt gave no complete answer."""
        known = self._attempts.get(attempt)
        if known is None:
            return []
        entry = known.entry
        service = self._services[entry.asked.service]
        self._release(service, known)
        self._punish(service, known.target, kind, now)
        effects: list[effect.Effect] = []
        if kind not in request.NOT_SENT:
            entry.sent = True
        if entry.answering:
            self._refuse(entry, errors.ErrorCode.TARGET_FAILED, effects)
        elif entry.attempts:
            pass  # Another attempt is still under way.
        elif entry.sent and not entry.asked.repeatable:
            self._refuse(entry, errors.ErrorCode.TARGET_FAILED, effects)
        elif entry.tries >= MAX_TRIES or not service.retries.take():
            code = errors.ErrorCode.TARGET_FAILED
            if not entry.sent:
                code = errors.ErrorCode.NO_TARGET
            self._refuse(entry, code, effects)
        else:
            weight = self._weights.get(entry.asked.account, 1.0)
            service.fair.push(entry, weight, first=True)
        self._pump(service, now, effects)
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

    def _unknown(
        self, asked: request.Request, service: _Service | None
    ) -> effect.Refuse:
        if service is None:
            code = errors.ErrorCode.UNKNOWN_SERVICE
            message = f"service {asked.service} has no record"
        else:
            code = errors.ErrorCode.UNKNOWN_ACCOUNT
            message = f"client account {asked.account} has no record"
        body = errors.ErrorBody(code, errors.Outcome.NOT_RUN, message)
        return effect.Refuse(asked.request_id, body)

    def _enqueue(
        self, service: _Service, entry: fair.Entry, weight: float, now: float
    ) -> list[effect.Effect]:
        asked = entry.asked
        effects: list[effect.Effect] = []
        if asked.request_id in self._entries:
            body = errors.ErrorBody(
                errors.ErrorCode.BAD_REQUEST,
                errors.Outcome.NOT_RUN,
                "the request id is in use",
            )
            return [effect.Refuse(asked.request_id, body)]
        run_class = entry.run_class
        queue = service.queues[run_class]
        wait_s = self._wait_s(service, run_class, asked.account, weight)
        slack_s = asked.deadline - now
        fits = (
            wait_s + entry.cost_s <= slack_s
            and wait_s <= MAX_QUEUE_S[run_class]
            and queue.count < MAX_QUEUED
            and (service.targets or now < self._started_at + STARTUP_S)
        )
        if not asked.forwarded and self._peers:
            limit_s = wait_s if fits else slack_s - entry.cost_s
            spill = self._spill(service, entry, limit_s, now)
            if spill is not None:
                return [spill]
        if not fits:
            code = errors.ErrorCode.OVERLOADED
            if not service.targets:
                code = errors.ErrorCode.NO_TARGET
            elif slack_s < entry.cost_s:
                code = errors.ErrorCode.DEADLINE_EXCEEDED
            self._refuse(entry, code, effects)
            return effects
        self._entries[asked.request_id] = entry
        service.fair.push(entry, weight)
        self._pump(service, now, effects)
        return effects

    def _wait_s(
        self,
        service: _Service,
        run_class: request.RequestClass,
        account: str,
        weight: float = 1.0,
    ) -> float:
        """Return the expected wait of a new request of an account."""
        queue = service.queues[run_class]
        if run_class is SHORT:
            slots = service.limit - service.in_flight[LONG]
        else:
            slots = service.long_limit
        if not service.limit:
            # Grants have not arrived yet; half of the slots are the usual part.
            slots = sum(t.announcement.slots for t in service.targets.values()) // 2
        slots = max(slots, 1)
        if not account:
            return queue.work_s / slots
        return service.fair.wait_s(run_class, account, weight, slots)

    def _spill(
        self, service: _Service, entry: fair.Entry, limit_s: float, now: float
    ) -> effect.Forward | None:
        best = None
        best_s = limit_s - SPILL_MARGIN_S
        for peer in self._peers.values():
            capacity = peer.capacities.get((entry.asked.service, entry.run_class))
            if capacity is None or now - capacity[2] > CAPACITY_TTL_S:
                continue
            remote_s = capacity[1] + 2 * peer.link.one_way_s
            if capacity[0] > 0 and remote_s < best_s:
                best, best_s = peer, remote_s
        if best is None:
            return None
        size = entry.asked.payload_bytes + service.answer_bytes
        if best.bucket is not None and not best.bucket.take(
            size + REQUEST_OVERHEAD_BYTES, now
        ):
            return None
        best.capacities[entry.asked.service, entry.run_class][0] -= 1
        return effect.Forward(entry.asked.request_id, best.link.failure_domain)

    def _refuse(
        self, entry: fair.Entry, code: errors.ErrorCode, effects: list[effect.Effect]
    ) -> None:
        outcome = errors.Outcome.UNKNOWN if entry.sent else errors.Outcome.NOT_RUN
        body = errors.ErrorBody(code, outcome, _MESSAGES[code])
        effects.append(effect.Refuse(entry.asked.request_id, body))
        self._entries.pop(entry.asked.request_id, None)

    def _dispatch(
        self, service: _Service, entry: fair.Entry, now: float
    ) -> effect.Dispatch:
        free = service.free
        count = len(free)
        chosen = free[int(self._random() * count)]
        if count > 1:
            other = free[int(self._random() * count)]
            if (other.in_flight + 1) * other.slowness * chosen.limit < (
                chosen.in_flight + 1
            ) * chosen.slowness * other.limit:
                chosen = other
        return self._send(service, entry, chosen, now)

    def _send(
        self, service: _Service, entry: fair.Entry, chosen: target.Target, now: float
    ) -> effect.Dispatch:
        self._next_attempt += 1
        number = self._next_attempt
        attempt = _Attempt(number, entry, chosen, now)
        self._attempts[number] = attempt
        entry.attempts[number] = attempt
        entry.tries += 1
        chosen.in_flight += 1
        service.in_flight[entry.run_class] += 1
        if entry.run_class is SHORT and entry.tries == 1:
            service.shorts += 1
            if now - entry.queued_at > LATE_WAIT * entry.run.high_s:
                service.late += 1
        if chosen.in_flight >= chosen.limit:
            service.set_free(chosen)
        announced = chosen.announcement
        return effect.Dispatch(
            entry.asked.request_id,
            number,
            announced.id,
            announced.url,
            service.record.progress_timeout_s,
            entry.run_class,
            now - entry.queued_at,
            entry.run_class is SHORT and service.in_flight[LONG] > 0,
        )

    def _pump(
        self, service: _Service, now: float, effects: list[effect.Effect]
    ) -> None:
        """Dispatch what waits while there are free slots."""
        short, long = service.queues[SHORT], service.queues[LONG]
        while service.free:
            long_ready = long.count and service.in_flight[LONG] < service.long_limit
            if short.count and not (
                long_ready
                and service.fair.lag(LONG) + SHORT_LEAD < service.fair.lag(SHORT)
            ):
                entry = service.fair.pop(SHORT)
            elif long_ready:
                entry = service.fair.pop(LONG)
            else:
                return
            if entry.asked.deadline - 0.5 * entry.cost_s < now:
                code = errors.ErrorCode.DEADLINE_EXCEEDED
                self._refuse(entry, code, effects)
                continue
            service.fair.charge(entry, self._weights.get(entry.asked.account, 1.0))
            effects.append(self._dispatch(service, entry, now))

    def _release(self, service: _Service, attempt: _Attempt) -> None:
        del self._attempts[attempt.number]
        del attempt.entry.attempts[attempt.number]
        service.in_flight[attempt.run_class] -= 1
        chosen = attempt.target
        chosen.in_flight -= 1
        if chosen.free_index < 0:
            service.set_free(chosen)

    def _cancel_attempts(
        self,
        service: _Service,
        entry: fair.Entry,
        now: float,
        effects: list[effect.Effect],
        keep: int = 0,
    ) -> None:
        for attempt in list(entry.attempts.values()):
            if attempt.number == keep:
                continue
            self._release(service, attempt)
            entry.sent = True
            if entry.run.count > runtime.FIRST_RUNS:
                # The run time is at least this, which slow targets would hide
                # if cancelled attempts did not count.
                ratio = (now - attempt.sent_at) / entry.run.mean_s
                if ratio > attempt.target.slowness:
                    service.note_ratio(attempt.target, ratio)
            effects.append(effect.Cancel(entry.asked.request_id, attempt.number))

    def _drop(
        self,
        service: _Service,
        entry: fair.Entry,
        now: float,
        effects: list[effect.Effect],
    ) -> None:
        if entry.waiting:
            service.fair.remove(entry)
        self._cancel_attempts(service, entry, now, effects)
        self._entries.pop(entry.asked.request_id, None)

    def _punish(
        self,
        service: _Service,
        chosen: target.Target,
        kind: request.FailureKind,
        now: float,
    ) -> None:
        if kind is request.FailureKind.NOT_STARTED:
            # Full or about to leave; tried again once it may have changed.
            chosen.backoff_until = now + SCAN_S
        else:
            chosen.note_failure(now, kind not in request.NOT_SENT)
        before = chosen.limit
        self._set_limit(chosen, now)
        service.limit += chosen.limit - before
        service.set_free(chosen)
        service.set_limits()

    def _set_limit(self, known: target.Target, now: float) -> None:
        if self._leader_known and now >= known.grant_expires_at:
            known.granted = 0
        known.refresh_limit(now)
        if known.announcement.id in self._drained:
            known.limit = 0

    def _refresh(
        self, service: _Service, now: float, effects: list[effect.Effect]
    ) -> None:
        total = 0
        for known in service.targets.values():
            self._set_limit(known, now)
            service.set_free(known)
            total += known.limit
        service.limit = total
        service.set_limits()
        self._pump(service, now, effects)

    def _attach(self, known: target.Target) -> None:
        service = self._services.get(known.announcement.service)
        if service is not None:
            service.targets[known.announcement.id] = known

    def _detach(self, gone: target.Target) -> None:
        service = self._services.get(gone.announcement.service)
        if service is None:
            return
        if service.targets.get(gone.announcement.id) is gone:
            del service.targets[gone.announcement.id]
        gone.granted = 0
        gone.limit = 0
        gone.expires_at = 0.0
        service.set_free(gone)

    def _measure_load(self, now: float) -> None:
        span_s = now - self._load_at
        self._load_at = now
        for service in self._services.values():
            for run_class, work_s in service.arrived_s.items():
                present = work_s / span_s
                before = service.load[run_class]
                # Rises at once and falls slowly: a missing reserve hurts more than
                # an idle one.
                gain = 0.7 if present > before else 0.2
                service.load[run_class] = before + gain * (present - before)
                service.arrived_s[run_class] = 0.0
            service.adapt_reserve()

    def _scan(self, now: float, effects: list[effect.Effect]) -> None:
        late = []
        for entry in self._entries.values():
            if entry.asked.deadline <= now:
                late.append(entry)
            elif entry.attempts and entry.run_class is SHORT:
                self._reclassify(entry, now)
                if len(entry.attempts) == 1 and not entry.answering:
                    self._hedge(entry, now, effects)
        for entry in late:
            service = self._services[entry.asked.service]
            if entry.waiting:
                entry.run.note_starved()
            self._drop(service, entry, now, effects)
            self._refuse(entry, errors.ErrorCode.DEADLINE_EXCEEDED, effects)
        if late:
            # Only now, since it refuses late entries too.
            for service in self._services.values():
                self._pump(service, now, effects)

    def _reclassify(self, entry: fair.Entry, now: float) -> None:
        """Count what overruns as long work, so that queued long work makes room."""
        service = self._services[entry.asked.service]
        limit_s = min(OVERRUN_FACTOR * entry.run.high_s, service.record.short_run_s)
        for attempt in entry.attempts.values():
            if attempt.run_class is SHORT and now - attempt.sent_at > limit_s:
                attempt.run_class = LONG
                service.in_flight[SHORT] -= 1
                service.in_flight[LONG] += 1

    def _hedge(
        self, entry: fair.Entry, now: float, effects: list[effect.Effect]
    ) -> None:
        if entry.hedged or not entry.asked.repeatable or entry.run.count < 20:
            return
        (attempt,) = entry.attempts.values()
        limit_s = max(HEDGE_FACTOR * entry.run.high_s, HEDGE_MIN_S)
        service = self._services[entry.asked.service]
        if now - attempt.sent_at < limit_s or not service.free:
            return
        others = [t for t in service.free if t is not attempt.target]
        if not others or not service.hedges.take():
            return
        entry.hedged = True
        chosen = min(others, key=lambda t: (t.in_flight + 1) * t.slowness / t.limit)
        effects.append(self._send(service, entry, chosen, now))


_MESSAGES = {
    errors.ErrorCode.OVERLOADED: "the expected wait is too long for the request",
    errors.ErrorCode.NO_TARGET: "no target of the service takes work",
    errors.ErrorCode.DEADLINE_EXCEEDED: "the deadline has passed or can't be kept",
    errors.ErrorCode.TARGET_FAILED: "the target gave no complete answer",
}
