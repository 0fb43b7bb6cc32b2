"""Seeded random plan inputs that use all constraints, to compare plans with."""

import hashlib
import random
from collections.abc import Iterable, Iterator

from bench import plan_load
from marjoramusher.core import crash
from marjoramusher.workflows import (
    catalog,
    command,
    condition,
    machine,
    permit,
    planner,
    workflow,
)

ROUNDS = 4  # plans of a case, each beside what the earlier ones have placed
CAPACITY = workflow.Resources(64_000, 256_000, 8)
POLICY = catalog.Policy(200.0, 5.0, 3000.0)
SERVICES = ("s", "t")
_QUEUES = tuple(
    catalog.Queue(
        name, "h", f"/{name}/", service, priority, 3, 1.5, 600, 1000, policy=p
    )
    for name, service, priority, p in (
        ("urgent", "s", 0, None),
        ("long", "s", 1, None),
        ("batch", "s", 2, None),
        ("other-urgent", "t", 0, None),
        ("other", "t", 2, None),
        ("policed", "s", 2, POLICY),
        ("policed-urgent", "s", 0, POLICY),
    )
)
_QUEUE_WEIGHTS = (6, 5, 6, 1, 2, 1, 1)


def digest(seed: int) -> str:
    """Return a hash of the plans of one case."""
    return _digest(map(planner.plan, inputs(seed)))


def load_digest(case: plan_load.Case, seed: int) -> str:
    """Return a hash of the plans after a burst of submissions to a full fleet."""
    first = plan_load.make_input(case, seed)
    ending = plan_load.with_remaining(first)
    plan = planner.plan(first)
    following = planner.plan(plan_load.with_stops(first, plan))
    return _digest((plan, following, planner.plan(ending)))


def _digest(plans: Iterable[planner.Plan]) -> str:
    hashed = hashlib.sha256()
    for plan in plans:
        hashed.update(repr(_described(plan)).encode())
    return hashed.hexdigest()[:16]


def inputs(seed: int) -> Iterator[planner.PlanInput]:
    """Yield the plan inputs of one case; the placements of each plan are applied."""
    rng = random.Random(seed)
    case = _Case(rng)
    for number in range(ROUNDS):
        plan_input = case.make_input(number)
        yield plan_input
        case.advance(planner.plan(plan_input), int(plan_input.now_ms))


def _described(plan: planner.Plan) -> tuple:
    return (
        plan.placements,
        plan.preemptions,
        sorted((key, reason.name) for key, reason in plan.wait_reasons.items()),
        [
            (
                query.step,
                [worker.worker_id for worker in query.workers],
                query.can_start,
            )
            for query in plan.queries
        ],
        sorted((key, reason.name) for key, reason in plan.held_back.items()),
        sorted(plan.awaiting),
    )


class _Case:
    """State of one case, and the random changes to it from plan to plan."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._state = machine.WorkflowMachine()
        self._permits = permit.Permits()
        self._stopping: set[workflow.Placement] = set()
        self._number = 0
        # Half of the cases have none of the rare constraints, so that these do not
        # hide differences in the common ones.
        self._is_plain = rng.random() < 0.5
        self._knows_ends = rng.random() < 0.5
        accounts = tuple(
            catalog.Account(name, (name,), rng.choice((0, 8, 24, 64)))
            for name in ("a", "b", "c")
        )
        services = tuple(catalog.Service(name) for name in SERVICES)
        self._apply(
            command.ReplaceCatalog(
                0, catalog.Catalog(1, _QUEUES, services, accounts), b""
            )
        )
        for rack in range(rng.randint(1, 5)):
            for index in range(rng.randint(1, 8)):
                self._register(rack, index)

    def _apply(self, change: command.AnyCommand) -> None:
        self._state.apply(0, command.pack(change))

    def _register(self, rack: int, index: int) -> None:
        rng = self._rng
        name = f"{rack}-{index}"
        labels = (f"r{rack}", rng.choice("xy"))
        capacity = CAPACITY
        if rng.random() < 0.1:
            capacity = workflow.Resources(32_000, 128_000, 4)
        service = "t" if rng.random() < 0.15 else "s"
        worker = workflow.Worker(
            name, 1, name, service, f"d{rack % 2}", f"r{rack}", labels, capacity
        )
        self._apply(command.RegisterWorker(0, worker))

    def _submit(self, now_ms: float) -> None:
        rng = self._rng
        self._number += 1
        (queue,) = rng.choices(_QUEUES, _QUEUE_WEIGHTS)
        steps = [self._step(())]
        while rng.random() < 0.2:
            steps.append(self._step((len(steps) - 1,)))
        submitted = workflow.Workflow(
            f"w{self._number}",
            queue.name,
            rng.choice("abc"),
            "",
            tuple(steps),
            int(now_ms) - rng.choice((0, 500, 3000)),
        )
        self._apply(command.Submit(0, submitted))

    def _step(self, after: tuple[int, ...]) -> workflow.Step:
        rng = self._rng

        def rare(value: object, share: float = 0.1) -> object:
            return value if not self._is_plain and rng.random() < share else None

        gang = rng.random() < 0.5
        long_running = bool(rare(True))
        needs = workflow.Resources(
            rng.choice((1000, 5600, 26_000)), 16_000, rng.choice((1, 1, 2, 4, 8))
        )
        return workflow.Step(
            rng.randint(1, 12),
            needs,
            rng.choice((1000, 5000, 20_000)),
            after,
            checkpointing=rng.random() < 0.3,
            gang=gang,
            same_rack=gang and rng.random() < 0.6,
            label=rng.choice(("x", "r0")) if rng.random() < 0.1 else "",
            rack=rng.choice(("r0", "r1")) if rng.random() < 0.2 else "",
            max_per_worker=rare(2) or 0,
            long_running=long_running,
            max_unavailable=rng.randint(0, 2) if long_running else 0,
            target_ms=50 if long_running and rng.random() < 0.5 else 0,
            fill=bool(rare(True)) and not gang,
        )

    def make_input(self, number: int) -> planner.PlanInput:
        """Submit further workflows, and return the input of the next plan."""
        rng = self._rng
        now_ms = 10_000.0 + 2000.0 * number
        for _ in range(rng.randint(5, 25)):
            self._submit(now_ms)
        if not self._is_plain:
            self._blame(int(now_ms))
        conditions = {name: self._condition(name) for name in self._state.workers}
        return planner.PlanInput(
            self._state,
            conditions,
            now_ms,
            headroom=rng.choice((0, 0, 4, 20)),
            permits=self._permits,
            now_s=now_ms / 1000,
            overdue=frozenset(
                (name, 0, step)
                for name, entry in self._state.active.items()
                for step in range(len(entry.workflow.steps))
                if rng.random() < 0.2
            ),
        )

    def _blame(self, now_ms: int) -> None:
        """Record crashes of workers for a few tasks."""
        rng = self._rng
        for entry in self._state.active.values():
            for _, _, tasks in entry.tasks():
                if rng.random() < 0.06:
                    task = rng.choice(tasks)
                    crashes = (
                        task.crashes if rng.random() < 0.5 else task.possible_crashes
                    )
                    address = rng.choice(list(self._state.workers) or ["x"])
                    at_ms = now_ms - rng.choice((100, 3000))
                    for _ in range(rng.randint(1, 3)):
                        run = task.last_run + len(crashes) + 1
                        crashes.append(crash.Crash(run, address, at_ms))

    def _condition(self, name: str) -> condition.WorkerCondition:
        rng = self._rng
        placements = self._state.placements_on(name)
        stopping = frozenset(self._stopping & set(placements.values()))
        ages_s = {key: rng.uniform(0.0, 15.0) for key in placements}
        remaining_s = {
            key: rng.uniform(0.0, 8.0)
            for key in placements
            if self._knows_ends and rng.random() < 0.7
        }
        if self._is_plain:
            return condition.WorkerCondition(
                stopping=stopping, ages_s=ages_s, remaining_s=remaining_s
            )
        return condition.WorkerCondition(
            rng.random() < 0.95,
            stopping,
            ages_s,
            rng.random() < 0.1,
            frozenset(p for p in placements.values() if rng.random() < 0.8),
            rng.random() < 0.9,
            rng.random() < 0.05,
            rng.random() < 0.05,
            remaining_s,
            rng.random() < 0.1,
        )

    def advance(self, plan: planner.Plan, now_ms: int) -> None:
        """Apply the placements, and end some of the runs."""
        rng = self._rng
        self._apply(command.Assign(now_ms, plan.placements))
        self._stopping |= {victim for victim, _ in plan.preemptions}
        for query in plan.queries:
            tickets = {
                worker.worker_id: "t" for worker in query.workers if rng.random() < 0.8
            }
            self._permits.record(query.step, query.workers, tickets, 1000.0)
        for name, registered in self._state.workers.items():
            for key, placement in list(self._state.placements_on(name).items()):
                is_stopping = placement in self._stopping
                if rng.random() >= (0.6 if is_stopping else 0.2):
                    continue
                outcome = workflow.RunOutcome.STOPPED
                if not is_stopping and rng.random() < 0.8:
                    outcome = workflow.RunOutcome.DONE
                    if rng.random() < 0.2:
                        outcome = workflow.RunOutcome.FAILED
                number = registered.last_end_number + 1
                end = workflow.RunEnd(number, key, placement.run, outcome)
                at_ms = now_ms + rng.randint(500, 2000)
                self._apply(command.Settle(at_ms, name, 1, (end,), (), number))
