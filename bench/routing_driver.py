"""Run routing policies on a virtual clock with runners, links and grants."""

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
REGION = {"d1": "r1", "d2": "r1", "d3": "r2"}
RUNNERS = 8
SLOTS = 8
LAN_S = 0.00025
TICK_S = 0.05
EXCHANGE_S = 0.25
CAPACITY_S = 0.5
MIN_EXCHANGE_S = 0.05
WARM_UP_S = 6.0

CLASSES = {"short": request.RequestClass.SHORT, "long": request.RequestClass.LONG}
CONFIGURATION = record.Configuration(
    revision=1,
    accounts={
        name: record.ClientAccount(name, "d1", weight)
        for name, weight in routing_load.ACCOUNTS.items()
    },
    services={"echo": record.Service("echo", progress_timeout_s=1.0)},
)


class Outcome(msgspec.Struct, gc=False):
    """What became of a request; times are absolute, `runs` counts its starts."""

    arrival: routing_load.Arrival
    answered_at: float | None = None
    ran: tuple[float, float] | None = None
    runs: int = 0
    error: errors.ErrorBody | None = None
    forwarded: bool = False

    @property
    def useful(self) -> bool:
        """Tell whether the answer came within the deadline."""
        return (
            self.answered_at is not None
            and self.answered_at <= self.arrival.at + self.arrival.deadline_s
        )

    @property
    def completion_s(self) -> float:
        """Return the time to the answer, or the deadline if there was none."""
        if self.answered_at is None:
            return self.arrival.deadline_s
        return self.answered_at - self.arrival.at


class Faults(msgspec.Struct, frozen=True):
    """Shares of attempts that go wrong after the runner has started them."""

    silent: float = 0.0
    cut: float = 0.0
    slow_runner: float = 1.0
    restarts: tuple[float, ...] = ()


NO_FAULTS = Faults()


class _Runner:
    __slots__ = ("announced", "down_until", "running", "slow")

    def __init__(self, announced: announcement.TargetAnnouncement) -> None:
        self.announced = announced
        self.running = 0
        self.slow = 1.0
        self.down_until = 0.0


class _Instance:
    __slots__ = ("domain", "exchange_due", "name", "routing")

    def __init__(self, name: str, domain: str, routing: policy.RoutingPolicy) -> None:
        self.name = name
        self.domain = domain
        self.routing = routing
        self.exchange_due = 0.0


MakePolicy = Callable[[str, str, str, random.Random], policy.RoutingPolicy]


class Driver:
    """Drive six instances and 24 runners through a list of arrivals.

    Parameters
    ----------
    deployment : Deployment
        Network.
    make_policy : callable
        Makes the policy of an instance from its id, process, failure domain and rng.
    seed : int
        Seed of the choices of the load balancer, the runners and the policies.
    """

    def __init__(
        self,
        deployment: routing_load.Deployment,
        make_policy: MakePolicy,
        seed: int,
        faults: Faults = NO_FAULTS,
    ) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._faults = faults
        self._events: list[tuple] = []
        self._serial = itertools.count()
        self._now = 0.0
        self._outcomes: dict[str, Outcome] = {}
        self._where: dict[str, _Instance] = {}
        self._home: dict[str, _Instance] = {}
        self._live: dict[tuple[str, int], tuple[_Runner, float]] = {}
        self.decision_s = 0.0
        self.decisions = 0
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
            for number in range(RUNNERS):
                name = f"{domain}-r{number}"
                self._runners[name] = _Runner(
                    announcement.TargetAnnouncement(
                        name, f"http://{name}", domain, "echo", 1, SLOTS
                    )
                )
        next(iter(self._runners.values())).slow = faults.slow_runner

    def run(self, arrivals: Iterable[routing_load.Arrival]) -> Sequence[Outcome]:
        """Run to the end of the last deadline and return what became of each."""
        last = 0.0
        for serial, arrival in enumerate(arrivals):
            name = f"q{serial}"
            self._outcomes[name] = Outcome(arrival)
            self._at(arrival.at + self._deployment.caller_one_way_s, self._arrive, name)
            last = arrival.at
        end = last + routing_load.SHORT_DEADLINE_S + 4.0
        for runner in self._runners.values():
            self._announce(runner)
        for instance in self._instances:
            self._tick(instance)
            self._exchange(instance)
            self._tell_capacity(instance)
        for at in self._faults.restarts:
            self._at(at, self._restart, self._rng.choice(list(self._runners.values())))
        while self._events and self._events[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return list(self._outcomes.values())

    def _at(self, when: float, call: Callable, *args: object) -> None:
        heapq.heappush(self._events, (when, next(self._serial), call, args))

    def _after(self, delay_s: float, call: Callable, *args: object) -> None:
        self._at(self._now + delay_s, call, *args)

    def _one_way(self, from_domain: str, to_domain: str) -> float:
        if from_domain == to_domain:
            return LAN_S
        if REGION[from_domain] == REGION[to_domain]:
            return self._deployment.domain_one_way_s
        return self._deployment.region_one_way_s

    def _arrive(self, name: str) -> None:
        instance = self._rng.choice(self._instances)
        arrival = self._outcomes[name].arrival
        asked = request.Request(
            name,
            arrival.account,
            "echo",
            arrival.at + arrival.deadline_s - self._deployment.caller_one_way_s,
            CLASSES.get(arrival.declared),
            arrival.repeatable,
            1024,
        )
        self._at(asked.deadline + 0.001, self._give_up, name)
        self._submit(instance, asked)

    def _submit(self, instance: _Instance, asked: request.Request) -> None:
        self._where[asked.request_id] = instance
        began = time.perf_counter()
        effects = instance.routing.submit(asked, self._now)
        self.decision_s += time.perf_counter() - began
        self.decisions += 1
        self._apply(instance, effects, asked)

    def _give_up(self, name: str) -> None:
        outcome = self._outcomes[name]
        if outcome.answered_at is None and outcome.error is None:
            instance = self._where[name]
            self._apply(instance, instance.routing.withdraw(name, self._now))

    def _apply(
        self,
        instance: _Instance,
        effects: Iterable[effect.Effect],
        asked: request.Request | None = None,
    ) -> None:
        for item in effects:
            if isinstance(item, effect.Dispatch):
                self._after(LAN_S, self._start, instance, item)
            elif isinstance(item, effect.Cancel):
                self._after(LAN_S, self._stop, instance.name, item.attempt)
            elif isinstance(item, effect.Refuse):
                self._refused(instance, item, asked)
            else:
                self._forward(instance, item, asked)
        if instance.routing.queued_count and self._now >= instance.exchange_due:
            self._exchange(instance, regular=False)

    def _refused(
        self, instance: _Instance, item: effect.Refuse, asked: request.Request | None
    ) -> None:
        outcome = self._outcomes[item.request_id]
        if (
            asked is not None
            and outcome.forwarded
            and asked.is_forwarded
            and instance.domain != self._home[item.request_id].domain
            and item.error.outcome is errors.Outcome.NOT_RUN
        ):
            home = self._home[item.request_id]
            delay_s = self._one_way(instance.domain, home.domain)
            self._after(delay_s, self._submit, home, asked)
            return
        outcome.error = item.error

    def _forward(
        self, instance: _Instance, item: effect.Forward, asked: request.Request
    ) -> None:
        self._outcomes[item.request_id].forwarded = True
        self._home[item.request_id] = instance
        others = [i for i in self._instances if i.domain == item.failure_domain]
        there = self._rng.choice(others)
        again = msgspec.structs.replace(asked, is_forwarded=True)
        delay_s = self._one_way(instance.domain, there.domain)
        self._after(delay_s, self._submit, there, again)

    def _start(self, instance: _Instance, item: effect.Dispatch) -> None:
        runner = self._runners[item.target]
        kind = None
        if self._now < runner.down_until:
            kind = request.FailureKind.UNREACHABLE
        elif runner.running >= SLOTS:
            kind = request.FailureKind.NOT_STARTED
        if kind is not None:
            self._after(LAN_S, self._failed, instance, item.attempt, kind)
            return
        outcome = self._outcomes[item.request_id]
        outcome.runs += 1
        runner.running += 1
        run_s = outcome.arrival.run_s * runner.slow
        key = (instance.name, item.attempt)
        self._live[key] = (runner, self._now)
        fault = self._rng.random()
        if fault < self._faults.silent:
            kind = request.FailureKind.SILENT
            timeout_s = item.progress_timeout_s
            self._after(timeout_s, self._failed, instance, item.attempt, kind)
            return
        if fault < self._faults.silent + self._faults.cut:
            kind = request.FailureKind.CUT
            self._after(run_s, self._end, instance, item, kind)
            return
        self._after(run_s, self._end, instance, item, None)

    def _end(
        self,
        instance: _Instance,
        item: effect.Dispatch,
        kind: request.FailureKind | None,
    ) -> None:
        live = self._live.pop((instance.name, item.attempt), None)
        if live is None:
            return
        live[0].running -= 1
        if kind is not None:
            self._after(LAN_S, self._failed, instance, item.attempt, kind)
            return
        ran = (live[1], self._now)
        self._after(LAN_S, self._finished, instance, item, ran)

    def _stop(self, name: str, attempt: int) -> None:
        live = self._live.pop((name, attempt), None)
        if live is not None:
            live[0].running -= 1

    def _failed(
        self, instance: _Instance, attempt: int, kind: request.FailureKind
    ) -> None:
        self._stop(instance.name, attempt)
        self._apply(instance, instance.routing.attempt_failed(attempt, kind, self._now))

    def _finished(
        self, instance: _Instance, item: effect.Dispatch, ran: tuple[float, float]
    ) -> None:
        began = time.perf_counter()
        effects = [
            *instance.routing.attempt_started(item.attempt, self._now),
            *instance.routing.attempt_finished(item.attempt, self._now, 1024),
        ]
        self.decision_s += time.perf_counter() - began
        outcome = self._outcomes[item.request_id]
        if outcome.answered_at is None and outcome.error is None:
            home = self._home.get(item.request_id, instance)
            back_s = self._deployment.caller_one_way_s
            if home is not instance:
                back_s += self._one_way(instance.domain, home.domain)
            outcome.answered_at = self._now + back_s
            outcome.ran = ran
        self._apply(instance, effects)

    def _tick(self, instance: _Instance) -> None:
        self._apply(instance, instance.routing.tick(self._now))
        self._after(TICK_S, self._tick, instance)

    def _exchange(self, instance: _Instance, regular: bool = True) -> None:
        instance.exchange_due = self._now + MIN_EXCHANGE_S
        demand = instance.routing.demand_report(self._now)
        self._after(LAN_S, self._report, instance, demand)
        if regular:
            self._after(EXCHANGE_S, self._exchange, instance)

    def _report(self, instance: _Instance, demand: grants.DemandReport) -> None:
        reply = self._brokers[instance.domain].handle_report(demand, self._now)
        self._after(LAN_S, self._grant, instance, reply)

    def _grant(self, instance: _Instance, reply: grants.GrantReply) -> None:
        self._apply(instance, instance.routing.apply_grants(reply, self._now))

    def _tell_capacity(self, instance: _Instance) -> None:
        for capacity in instance.routing.free_capacity(self._now):
            for other in self._instances:
                if other.domain != instance.domain:
                    delay_s = self._one_way(instance.domain, other.domain)
                    self._after(delay_s, self._hear, other, capacity)
        self._after(CAPACITY_S, self._tell_capacity, instance)

    def _hear(self, instance: _Instance, capacity: target.Capacity) -> None:
        instance.routing.update_peer_capacity(capacity, self._now)

    def _announce(self, runner: _Runner) -> None:
        if self._now >= runner.down_until:
            self._spread(runner.announced)
            self._after(2.0, self._announce, runner)

    def _spread(self, announced: announcement.TargetAnnouncement) -> None:
        self._brokers[announced.failure_domain].announce(announced, self._now)
        for instance in self._instances:
            if instance.domain == announced.failure_domain:
                effects = instance.routing.announce(announced, self._now)
                self._apply(instance, effects)

    def _restart(self, runner: _Runner) -> None:
        """Kill a runner with what it runs; it comes back with a new incarnation."""
        runner.down_until = self._now + 1.0
        runner.announced = msgspec.structs.replace(
            runner.announced, incarnation=runner.announced.incarnation + 1
        )
        for key, (where, _) in list(self._live.items()):
            if where is runner:
                instance = next(i for i in self._instances if i.name == key[0])
                kind = request.FailureKind.CUT
                self._after(LAN_S, self._failed, instance, key[1], kind)
        self._after(1.0, self._announce, runner)
