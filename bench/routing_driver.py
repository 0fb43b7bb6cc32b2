"""Simulate instances, runners, links and slot grants around a routing policy."""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable, Sequence

import msgspec

from bench import routing_load
from marjoramusher.core import announcement, errors, record
from marjoramusher.routing import effect, grants, policy, request, target

DOMAINS = ("d1", "d2", "d3")
REGION_BY_DOMAIN = {"d1": "r1", "d2": "r1", "d3": "r2"}
RUNNERS_PER_DOMAIN = 8
SLOTS_PER_RUNNER = 8
LAN_ONE_WAY_S = 0.00025
TICK_INTERVAL_S = 0.05
EXCHANGE_INTERVAL_S = 0.25
CAPACITY_INTERVAL_S = 0.5
MIN_EXCHANGE_INTERVAL_S = 0.05
WARM_UP_S = 6.0

REQUEST_CLASSES = {
    "short": request.RequestClass.SHORT,
    "long": request.RequestClass.LONG,
}
CONFIGURATION = record.Configuration(
    revision=1,
    accounts={
        name: record.ClientAccount(name, "d1", weight)
        for name, weight in routing_load.ACCOUNT_WEIGHTS.items()
    },
    services={"echo": record.Service("echo", progress_timeout_s=1.0)},
)


class RequestOutcome(msgspec.Struct, gc=False):
    """Hold the result of one request; times are absolute.

    Parameters
    ----------
    answered_at : float or None
        When the caller received the answer.
    run_interval : tuple of float or None
        Start and end of the run that was answered.
    start_count : int
        Number of times that a runner started the request.
    """

    arrival: routing_load.Arrival
    answered_at: float | None = None
    run_interval: tuple[float, float] | None = None
    start_count: int = 0
    error: errors.ErrorBody | None = None
    was_forwarded: bool = False

    @property
    def is_timely(self) -> bool:
        """Return whether the answer arrived within the deadline."""
        return (
            self.answered_at is not None
            and self.answered_at <= self.arrival.at + self.arrival.deadline_s
        )

    @property
    def completion_s(self) -> float:
        """Return the time to the answer, or the deadline without an answer."""
        if self.answered_at is None:
            return self.arrival.deadline_s
        return self.answered_at - self.arrival.at


class Faults(msgspec.Struct, frozen=True):
    """Set the faults of runners.

    Parameters
    ----------
    silent_share, cut_share : float
        Shares of started attempts that stop responding, and whose answer is cut.
    slow_runner_factor : float
        Factor on the run times of the first runner.
    restart_times_s : tuple of float
        Times at which a random runner restarts.
    """

    silent_share: float = 0.0
    cut_share: float = 0.0
    slow_runner_factor: float = 1.0
    restart_times_s: tuple[float, ...] = ()


NO_FAULTS = Faults()


class _Runner:
    __slots__ = ("announcement", "down_until", "running_count", "slow_factor")

    def __init__(self, announced: announcement.TargetAnnouncement) -> None:
        self.announcement = announced
        self.running_count = 0
        self.slow_factor = 1.0
        self.down_until = 0.0


class _Instance:
    __slots__ = ("domain", "name", "next_exchange_at", "routing")

    def __init__(self, name: str, domain: str, routing: policy.RoutingPolicy) -> None:
        self.name = name
        self.domain = domain
        self.routing = routing
        self.next_exchange_at = 0.0


PolicyFactory = Callable[[str, str, str, random.Random], policy.RoutingPolicy]


class Driver:
    """Run a list of arrivals through six instances and 24 runners.

    Parameters
    ----------
    deployment : Deployment
        Network delays.
    make_policy : callable
        Creates an instance's policy from its id, process, failure domain and rng.
    seed : int
        Seed of the load balancer, the runners and the policies.
    """

    def __init__(
        self,
        deployment: routing_load.Deployment,
        make_policy: PolicyFactory,
        seed: int,
        faults: Faults = NO_FAULTS,
    ) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._faults = faults
        self._events: list[tuple] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._outcomes: dict[str, RequestOutcome] = {}
        self._current_instance: dict[str, _Instance] = {}
        self._entry_instance: dict[str, _Instance] = {}
        self._running_attempts: dict[tuple[str, int], tuple[_Runner, float]] = {}
        self.decision_s = 0.0
        self.decision_count = 0
        self._instances: list[_Instance] = []
        self._brokers: dict[str, grants.SlotBroker] = {}
        self._runners: dict[str, _Runner] = {}
        for domain in DOMAINS:
            broker = grants.SlotBroker(f"{domain}-lead", -10.0)
            self._brokers[domain] = broker
            for number in range(2):
                name = f"{domain}-i{number}"
                rng = random.Random(self._rng.random())
                routing = make_policy(name, name, domain, rng)
                instance = _Instance(name, domain, routing)
                self._instances.append(instance)
                routing.configure(CONFIGURATION, 0.0)
            for number in range(RUNNERS_PER_DOMAIN):
                name = f"{domain}-r{number}"
                self._runners[name] = _Runner(
                    announcement.TargetAnnouncement(
                        name, f"http://{name}", domain, "echo", 1, SLOTS_PER_RUNNER
                    )
                )
        next(iter(self._runners.values())).slow_factor = faults.slow_runner_factor

    def run(self, arrivals: Iterable[routing_load.Arrival]) -> Sequence[RequestOutcome]:
        """Run all arrivals until the last short deadline and return their outcomes."""
        last_arrival_at = 0.0
        for number, arrival in enumerate(arrivals):
            name = f"q{number}"
            self._outcomes[name] = RequestOutcome(arrival)
            self._schedule_at(
                arrival.at + self._deployment.caller_one_way_s, self._arrive, name
            )
            last_arrival_at = arrival.at
        end = last_arrival_at + routing_load.SHORT_DEADLINE_S + 4.0
        for runner in self._runners.values():
            self._announce(runner)
        for instance in self._instances:
            self._tick(instance)
            self._exchange_demand(instance)
            self._publish_capacity(instance)
        for at in self._faults.restart_times_s:
            self._schedule_at(
                at, self._restart_runner, self._rng.choice(list(self._runners.values()))
            )
        while self._events and self._events[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return list(self._outcomes.values())

    def _schedule_at(self, when: float, call: Callable, *args: object) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), call, args))

    def _schedule_after(self, delay_s: float, call: Callable, *args: object) -> None:
        self._schedule_at(self._now + delay_s, call, *args)

    def _one_way(self, from_domain: str, to_domain: str) -> float:
        if from_domain == to_domain:
            return LAN_ONE_WAY_S
        if REGION_BY_DOMAIN[from_domain] == REGION_BY_DOMAIN[to_domain]:
            return self._deployment.domain_one_way_s
        return self._deployment.region_one_way_s

    def _arrive(self, name: str) -> None:
        instance = self._rng.choice(self._instances)
        arrival = self._outcomes[name].arrival
        incoming = request.Request(
            name,
            arrival.account,
            "echo",
            arrival.at + arrival.deadline_s - self._deployment.caller_one_way_s,
            REQUEST_CLASSES.get(arrival.declared_class),
            arrival.repeatable,
            1024,
        )
        self._schedule_at(incoming.deadline + 0.001, self._expire_request, name)
        self._submit(instance, incoming)

    def _submit(self, instance: _Instance, incoming: request.Request) -> None:
        self._current_instance[incoming.request_id] = instance
        started_at = time.perf_counter()
        effects = instance.routing.submit(incoming, self._now)
        self.decision_s += time.perf_counter() - started_at
        self.decision_count += 1
        self._apply(instance, effects, incoming)

    def _expire_request(self, name: str) -> None:
        outcome = self._outcomes[name]
        if outcome.answered_at is None and outcome.error is None:
            instance = self._current_instance[name]
            self._apply(instance, instance.routing.withdraw(name, self._now))

    def _apply(
        self,
        instance: _Instance,
        effects: Iterable[effect.Effect],
        incoming: request.Request | None = None,
    ) -> None:
        for item in effects:
            if isinstance(item, effect.Dispatch):
                self._schedule_after(LAN_ONE_WAY_S, self._start_attempt, instance, item)
            elif isinstance(item, effect.Cancel):
                self._schedule_after(
                    LAN_ONE_WAY_S, self._stop_attempt, instance.name, item.attempt
                )
            elif isinstance(item, effect.Refuse):
                self._handle_refusal(instance, item, incoming)
            else:
                self._forward(instance, item, incoming)
        if instance.routing.queued_count and self._now >= instance.next_exchange_at:
            self._exchange_demand(instance, is_periodic=False)

    def _handle_refusal(
        self, instance: _Instance, item: effect.Refuse, incoming: request.Request | None
    ) -> None:
        outcome = self._outcomes[item.request_id]
        if (
            incoming is not None
            and outcome.was_forwarded
            and incoming.is_forwarded
            and instance.domain != self._entry_instance[item.request_id].domain
            and item.error.outcome is errors.Outcome.NOT_RUN
        ):
            entry = self._entry_instance[item.request_id]
            delay_s = self._one_way(instance.domain, entry.domain)
            self._schedule_after(delay_s, self._submit, entry, incoming)
            return
        outcome.error = item.error

    def _forward(
        self, instance: _Instance, item: effect.Forward, incoming: request.Request
    ) -> None:
        self._outcomes[item.request_id].was_forwarded = True
        self._entry_instance[item.request_id] = instance
        candidates = [i for i in self._instances if i.domain == item.failure_domain]
        receiver = self._rng.choice(candidates)
        forwarded_request = msgspec.structs.replace(incoming, is_forwarded=True)
        delay_s = self._one_way(instance.domain, receiver.domain)
        self._schedule_after(delay_s, self._submit, receiver, forwarded_request)

    def _start_attempt(self, instance: _Instance, item: effect.Dispatch) -> None:
        runner = self._runners[item.target]
        failure_kind = None
        if self._now < runner.down_until:
            failure_kind = request.FailureKind.UNREACHABLE
        elif runner.running_count >= SLOTS_PER_RUNNER:
            failure_kind = request.FailureKind.NOT_STARTED
        if failure_kind is not None:
            self._schedule_after(
                LAN_ONE_WAY_S, self._fail_attempt, instance, item.attempt, failure_kind
            )
            return
        outcome = self._outcomes[item.request_id]
        outcome.start_count += 1
        runner.running_count += 1
        run_s = outcome.arrival.run_s * runner.slow_factor
        key = (instance.name, item.attempt)
        self._running_attempts[key] = (runner, self._now)
        fault_draw = self._rng.random()
        if fault_draw < self._faults.silent_share:
            failure_kind = request.FailureKind.SILENT
            timeout_s = item.progress_timeout_s
            self._schedule_after(
                timeout_s, self._fail_attempt, instance, item.attempt, failure_kind
            )
            return
        if fault_draw < self._faults.silent_share + self._faults.cut_share:
            failure_kind = request.FailureKind.CUT
            self._schedule_after(
                run_s, self._complete_run, instance, item, failure_kind
            )
            return
        self._schedule_after(run_s, self._complete_run, instance, item, None)

    def _complete_run(
        self,
        instance: _Instance,
        item: effect.Dispatch,
        failure_kind: request.FailureKind | None,
    ) -> None:
        running_attempt = self._running_attempts.pop(
            (instance.name, item.attempt), None
        )
        if running_attempt is None:
            return
        running_attempt[0].running_count -= 1
        if failure_kind is not None:
            self._schedule_after(
                LAN_ONE_WAY_S, self._fail_attempt, instance, item.attempt, failure_kind
            )
            return
        run_interval = (running_attempt[1], self._now)
        self._schedule_after(
            LAN_ONE_WAY_S, self._finish_attempt, instance, item, run_interval
        )

    def _stop_attempt(self, name: str, attempt: int) -> None:
        running_attempt = self._running_attempts.pop((name, attempt), None)
        if running_attempt is not None:
            running_attempt[0].running_count -= 1

    def _fail_attempt(
        self, instance: _Instance, attempt: int, failure_kind: request.FailureKind
    ) -> None:
        self._stop_attempt(instance.name, attempt)
        self._apply(
            instance, instance.routing.attempt_failed(attempt, failure_kind, self._now)
        )

    def _finish_attempt(
        self,
        instance: _Instance,
        item: effect.Dispatch,
        run_interval: tuple[float, float],
    ) -> None:
        started_at = time.perf_counter()
        effects = [
            *instance.routing.attempt_started(item.attempt, self._now),
            *instance.routing.attempt_finished(item.attempt, self._now, 1024),
        ]
        self.decision_s += time.perf_counter() - started_at
        outcome = self._outcomes[item.request_id]
        if outcome.answered_at is None and outcome.error is None:
            entry = self._entry_instance.get(item.request_id, instance)
            return_delay_s = self._deployment.caller_one_way_s
            if entry is not instance:
                return_delay_s += self._one_way(instance.domain, entry.domain)
            outcome.answered_at = self._now + return_delay_s
            outcome.run_interval = run_interval
        self._apply(instance, effects)

    def _tick(self, instance: _Instance) -> None:
        self._apply(instance, instance.routing.tick(self._now))
        self._schedule_after(TICK_INTERVAL_S, self._tick, instance)

    def _exchange_demand(self, instance: _Instance, is_periodic: bool = True) -> None:
        instance.next_exchange_at = self._now + MIN_EXCHANGE_INTERVAL_S
        report = instance.routing.demand_report(self._now)
        self._schedule_after(LAN_ONE_WAY_S, self._report_demand, instance, report)
        if is_periodic:
            self._schedule_after(EXCHANGE_INTERVAL_S, self._exchange_demand, instance)

    def _report_demand(self, instance: _Instance, report: grants.DemandReport) -> None:
        reply = self._brokers[instance.domain].handle_report(report, self._now)
        self._schedule_after(LAN_ONE_WAY_S, self._apply_grants, instance, reply)

    def _apply_grants(self, instance: _Instance, reply: grants.GrantReply) -> None:
        self._apply(instance, instance.routing.apply_grants(reply, self._now))

    def _publish_capacity(self, instance: _Instance) -> None:
        for capacity in instance.routing.free_capacity(self._now):
            for other in self._instances:
                if other.domain != instance.domain:
                    delay_s = self._one_way(instance.domain, other.domain)
                    self._schedule_after(
                        delay_s, self._receive_capacity, other, capacity
                    )
        self._schedule_after(CAPACITY_INTERVAL_S, self._publish_capacity, instance)

    def _receive_capacity(self, instance: _Instance, capacity: target.Capacity) -> None:
        instance.routing.update_peer_capacity(capacity, self._now)

    def _announce(self, runner: _Runner) -> None:
        if self._now >= runner.down_until:
            self._deliver_announcement(runner.announcement)
            self._schedule_after(2.0, self._announce, runner)

    def _deliver_announcement(self, announced: announcement.TargetAnnouncement) -> None:
        self._brokers[announced.failure_domain].announce(announced, self._now)
        for instance in self._instances:
            if instance.domain == announced.failure_domain:
                effects = instance.routing.announce(announced, self._now)
                self._apply(instance, effects)

    def _restart_runner(self, runner: _Runner) -> None:
        """Fail all attempts of a runner and restart it with a new incarnation."""
        runner.down_until = self._now + 1.0
        runner.announcement = msgspec.structs.replace(
            runner.announcement, incarnation=runner.announcement.incarnation + 1
        )
        for key, (owner, _) in list(self._running_attempts.items()):
            if owner is runner:
                instance = next(i for i in self._instances if i.name == key[0])
                failure_kind = request.FailureKind.CUT
                self._schedule_after(
                    LAN_ONE_WAY_S, self._fail_attempt, instance, key[1], failure_kind
                )
        self._schedule_after(1.0, self._announce, runner)
