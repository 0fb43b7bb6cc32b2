"""Guards routing against late announcements, wrong outcomes and double dispatches."""

import random

import msgspec
import pytest

from marjoramusher.core import announcement, errors, record
from marjoramusher.routing import baseline, effect, grants, request, router, target

CONFIGURATION = record.Configuration(
    revision=1,
    accounts={n: record.ClientAccount(n, "d1") for n in ("acme", "bolt")},
    services={"s": record.Service("s")},
)
SERVING, LEAVING = announcement.TargetState.SERVING, announcement.TargetState.LEAVING
Kind = request.FailureKind


def announcement_of(name="r1", incarnation=1, state=SERVING, ttl_s=6.0, domain="d1"):
    return announcement.TargetAnnouncement(
        name, f"http://{name}", domain, "s", incarnation, 8, state=state, ttl_s=ttl_s
    )


class RouterDriver:
    """Router with announced targets, granted slots and short forms of its calls."""

    def __init__(self, targets=2, slots=4, **kwargs):
        rng = random.Random(1)
        self.router = router.Router("i1", "p1", "d1", rng, **kwargs)
        self.sequence = 0
        self.router.configure(CONFIGURATION, 0.0)
        for number in range(targets):
            self.router.announce(announcement_of(f"r{number + 1}", ttl_s=60.0), 0.0)
        self.grant({f"r{n + 1}": slots for n in range(targets)}, lease_s=1e6)

    def grant(self, slots, now=0.0, lease_s=3.0, incarnation=1):
        self.sequence += 1
        granted = tuple(grants.Grant(n, incarnation, s) for n, s in slots.items())
        reply = grants.GrantReply("lead", self.sequence, lease_s, granted)
        return self.router.apply_grants(reply, now)

    def submit(self, name="q1", now=0.0, deadline=30.0, **kwargs):
        kwargs = {"account": "acme", "service": "s"} | kwargs
        submitted = request.Request(name, deadline=deadline, **kwargs)
        return self.router.submit(submitted, now)


def outcome_of(effects):
    (item,) = effects
    if isinstance(item, effect.Refuse):
        return item.error.code.value, item.error.outcome.value
    return type(item).__name__


ANNOUNCEMENTS = {
    # name: (announcements with their times, whether the target is in use at the end)
    "serving": ([(announcement_of(), 0.0)], True),
    "leaving at once": (
        [(announcement_of(), 0.0), (announcement_of(state=LEAVING), 1.0)],
        False,
    ),
    "late announcement after leaving": (
        [
            (announcement_of(), 0.0),
            (announcement_of(state=LEAVING), 1.0),
            (announcement_of(), 2.0),
        ],
        False,
    ),
    "leaving overtakes serving": (
        [(announcement_of(state=LEAVING), 0.0), (announcement_of(), 0.1)],
        False,
    ),
    "next incarnation after leaving": (
        [(announcement_of(state=LEAVING), 0.0), (announcement_of(incarnation=2), 0.1)],
        True,
    ),
    "earlier incarnation leaves late": (
        [(announcement_of(incarnation=2), 0.0), (announcement_of(state=LEAVING), 0.1)],
        True,
    ),
    "silent past its ttl": ([(announcement_of(ttl_s=1.0), 0.0)], False),
    "other failure domain": ([(announcement_of(domain="d2"), 0.0)], False),
}


@pytest.mark.parametrize("name", ANNOUNCEMENTS)
def test_late_announcements_never_revive_a_target(name):
    announcements, is_in_use = ANNOUNCEMENTS[name]
    driver = RouterDriver(targets=0)
    for message, now in announcements:
        driver.router.announce(message, now)
    for incarnation in (1, 2):
        driver.grant({"r1": 4}, 2.5, incarnation=incarnation)
        if driver.router.tick(2.5 + incarnation) or driver.submit(
            f"q{incarnation}", 2.6
        ):
            pass
        if driver.router.in_flight:
            break
    assert bool(driver.router.in_flight) is is_in_use


FAILURES = {
    # name: (repeatable, failures of the attempts, expected effect or refusal)
    "not sent, tried again": (False, [Kind.UNREACHABLE], "Dispatch"),
    "not started, tried again": (False, [Kind.NOT_STARTED], "Dispatch"),
    "silent and repeatable": (True, [Kind.SILENT], "Dispatch"),
    "silent": (False, [Kind.SILENT], ("target_failed", "unknown")),
    "cut": (False, [Kind.CUT], ("target_failed", "unknown")),
    "crossed": (False, [Kind.CROSSED], ("target_failed", "unknown")),
    "never sent": (False, [Kind.UNREACHABLE] * 4, ("no_target", "not_run")),
    "sent once, then never": (
        True,
        [Kind.CUT, Kind.UNREACHABLE, Kind.UNREACHABLE, Kind.NOT_STARTED],
        ("target_failed", "unknown"),
    ),
}


@pytest.mark.parametrize("name", FAILURES)
def test_refusal_says_not_run_only_if_nothing_was_sent(name):
    repeatable, kinds, expected = FAILURES[name]
    driver = RouterDriver(targets=5)
    effects = driver.submit(repeatable=repeatable)
    for kind in kinds:
        effects = driver.router.attempt_failed(effects[0].attempt, kind, 1.0)
    assert outcome_of(effects) == expected


@pytest.mark.parametrize("sent", [False, True])
def test_deadline_in_flight_is_unknown_and_in_the_queue_not_run(sent):
    driver = RouterDriver(targets=1, slots=1)
    driver.submit("q1", deadline=100.0 if not sent else 2.0)
    driver.submit("q2", deadline=2.0 if not sent else 100.0)
    refused = [e for e in driver.router.tick(2.5) if isinstance(e, effect.Refuse)]
    expected = ("deadline_exceeded", "unknown" if sent else "not_run")
    assert outcome_of(refused) == expected
    assert refused[0].request_id == ("q1" if sent else "q2")


def driver_with_learned_run_time(targets=2):
    driver = RouterDriver(targets=targets)
    for number in range(40):
        (item,) = driver.submit(f"l{number}", now=0.0)
        driver.router.attempt_finished(item.attempt, 0.1)
    return driver


def test_hedge_runs_at_another_target_and_the_loser_is_cancelled():
    driver = driver_with_learned_run_time()
    (first,) = driver.submit("q", now=1.0)
    (second,) = driver.router.tick(3.0)
    assert second.target != first.target
    assert driver.router.attempt_started(second.attempt, 3.1) == [
        effect.Cancel("q", first.attempt)
    ]
    # A late response or failure of the cancelled attempt changes nothing.
    assert driver.router.attempt_finished(first.attempt, 3.2) == []
    assert driver.router.attempt_failed(first.attempt, Kind.CUT, 3.2) == []
    assert driver.router.attempt_finished(second.attempt, 3.3) == []
    assert driver.router.in_flight == 0


def test_non_repeatable_request_is_never_hedged():
    driver = driver_with_learned_run_time()
    driver.submit("q", now=1.0, repeatable=False)
    assert driver.router.tick(3.0) == []


def test_expired_grant_stops_dispatch_unless_there_is_no_leader():
    for is_known in (True, False):
        driver = RouterDriver(targets=1)
        driver.grant({"r1": 4}, 0.0)
        driver.router.set_leader_known(is_known, 1.0)
        driver.router.tick(4.0)
        effects = driver.submit("q", now=4.1)
        assert bool(effects) is not is_known


def test_repeated_or_earlier_grant_is_ignored():
    driver = RouterDriver(targets=1)
    driver.grant({"r1": 1}, 0.0)
    driver.sequence -= 2
    driver.grant({"r1": 8}, 0.0)
    assert [len(driver.submit(f"q{n}")) for n in range(2)] == [1, 0]


def test_drained_target_finishes_its_work_and_gets_none():
    driver = RouterDriver(targets=1)
    (first,) = driver.submit("q1")
    drains = {"r1": record.Drain("r1", "d1")}
    driver.router.configure(msgspec.structs.replace(CONFIGURATION, drains=drains), 1.0)
    assert driver.submit("q2", now=1.0) == []
    assert driver.router.attempt_finished(first.attempt, 1.5) == []
    assert [e.request_id for e in driver.router.configure(CONFIGURATION, 2.0)] == ["q2"]


def test_long_work_leaves_slots_for_short_work():
    driver = RouterDriver(targets=1, slots=8)
    long = request.RequestClass.LONG
    for number in range(10):
        (item,) = driver.submit(f"f{number}", declared_class=long, account="bolt")
        driver.router.attempt_finished(item.attempt, 3.0)
    for number in range(40):
        driver.submit(f"l{number}", 3.0, declared_class=long, account="bolt")
    assert 4 <= driver.router.in_flight < 8
    assert outcome_of(driver.submit("q")) == "Dispatch"


def test_slow_target_gets_less_work_before_it_fails():
    driver = RouterDriver(targets=4, slots=8)
    counts = dict.fromkeys(("r1", "r2", "r3", "r4"), 0)
    now = 0.0
    for number in range(1200):
        now += 0.01
        (item,) = driver.submit(f"q{number}", now, deadline=now + 30)
        counts[item.target] += number >= 400
        run_s = 0.4 if item.target == "r1" else 0.1
        driver.router.attempt_finished(item.attempt, now + run_s)
        driver.router.tick(now)
    others = (counts["r2"] + counts["r3"] + counts["r4"]) / 3
    assert counts["r1"] < 0.5 * others


@pytest.mark.parametrize(
    ("link", "payload", "free", "forwarded"),
    [
        (router.Link("d2", 0.001), 100, 5, True),
        (router.Link("d2", 0.001), 100, 0, False),
        (router.Link("d2", 20.0), 100, 5, False),
        (router.Link("d2", 0.03, bytes_per_s=10_000.0), 100, 5, True),
        (router.Link("d2", 0.03, bytes_per_s=10_000.0), 20_000, 5, False),
    ],
)
def test_request_spills_only_if_it_helps_and_the_link_allows(
    link, payload, free, forwarded
):
    driver = RouterDriver(targets=1, slots=1, links=(link,))
    short = request.RequestClass.SHORT
    driver.router.update_peer_capacity(
        target.Capacity("d2", "s", short, free, 0.0), 0.0
    )
    effects = []
    for number in range(10):
        effects += driver.submit(f"q{number}", payload_bytes=payload)
    assert any(isinstance(e, effect.Forward) for e in effects) is forwarded
    again = driver.submit("q", payload_bytes=payload, is_forwarded=True)
    assert not any(isinstance(e, effect.Forward) for e in again)


def test_accounts_share_slots_by_weight_under_overload():
    configuration = msgspec.structs.replace(
        CONFIGURATION,
        accounts={
            "acme": record.ClientAccount("acme", "d1", 3),
            "bolt": record.ClientAccount("bolt", "d1", 1),
        },
    )
    driver = RouterDriver(targets=1, slots=4)
    driver.router.configure(configuration, 0.0)
    running, dispatched = [], {"acme": 0, "bolt": 0}
    owners = {}

    def handle(effects):
        for item in effects:
            if isinstance(item, effect.Dispatch):
                running.append(item)
                dispatched[owners[item.request_id]] += 1

    now = 0.0
    for number in range(2000):
        now += 0.01
        for account in dispatched:
            owners[f"{account}{number}"] = account
            handle(driver.submit(f"{account}{number}", now, now + 5.0, account=account))
        if number % 2:
            handle(driver.router.attempt_finished(running.pop(0).attempt, now))
    assert 2.5 < dispatched["acme"] / dispatched["bolt"] < 3.5


@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_dispatched_twice_or_left_without_an_end(seed):
    """Each request ends with one response or refusal under random failures."""
    rng = random.Random(seed)
    driver = RouterDriver(targets=3, slots=2)
    live, ended, run_counts = {}, set(), {}

    def handle(effects):
        for item in effects:
            assert item.request_id not in ended
            if isinstance(item, effect.Dispatch):
                live[item.attempt] = item
            elif isinstance(item, effect.Cancel):
                live.pop(item.attempt)
            else:
                ended.add(item.request_id)
                if item.error.outcome is errors.Outcome.NOT_RUN:
                    assert not run_counts.get(item.request_id)

    now, repeatable = 0.0, {}
    for number in range(3000):
        now += rng.expovariate(50.0)
        name = f"q{number}"
        repeatable[name] = rng.random() < 0.5
        handle(driver.submit(name, now, now + 3.0, repeatable=repeatable[name]))
        while live and rng.random() < 0.6:
            item = live.pop(rng.choice(list(live)))
            kind = rng.choice([None, None, None, *Kind])
            if kind is None:
                effects = driver.router.attempt_started(item.attempt, now)
                handle(effects)
                ended.add(item.request_id)
                handle(driver.router.attempt_finished(item.attempt, now))
                continue
            if kind not in request.NOT_RUN_FAILURES:
                run_counts[item.request_id] = run_counts.get(item.request_id, 0) + 1
                assert repeatable[item.request_id] or run_counts[item.request_id] == 1
            handle(driver.router.attempt_failed(item.attempt, kind, now))
        if rng.random() < 0.05:
            slots = dict.fromkeys(("r1", "r2", "r3"), rng.randint(1, 3))
            handle(driver.grant(slots, now))
        renewal = announcement_of(f"r{rng.randint(1, 3)}", ttl_s=60.0)
        handle(driver.router.announce(renewal, now))
        handle(driver.router.tick(now))
    handle(driver.router.tick(now + 10.0))
    assert len(ended) == 3000
    assert driver.router.queued_count == driver.router.in_flight == 0


def test_golden_session(snapshot):
    driver = RouterDriver(targets=2, slots=1)
    lines = []

    def note(call, effects):
        lines.append(call)
        lines.extend(f"  {item}" for item in effects)

    short, long = request.RequestClass.SHORT, request.RequestClass.LONG
    note("submit a", driver.submit("a", 0.0, declared_class=short))
    note("submit b", driver.submit("b", 0.01, declared_class=long, account="bolt"))
    note("submit c", driver.submit("c", 0.02, declared_class=short, deadline=0.5))
    note("submit d, unknown service", driver.submit("d", 0.02, service="x"))
    note("submit e, late", driver.submit("e", 0.03, deadline=0.04))
    note("attempt 1 is silent", driver.router.attempt_failed(1, Kind.SILENT, 0.3))
    note("r2 leaves", driver.router.announce(announcement_of("r2", state=LEAVING), 0.4))
    note("tick", driver.router.tick(1.0))
    note("attempt 2 starts", driver.router.attempt_started(2, 1.1))
    note("attempt 2 ends", driver.router.attempt_finished(2, 1.2, 100))
    note("withdraw a", driver.router.withdraw("a", 1.3))
    note("tick", driver.router.tick(1.4))
    assert "\n".join(lines) == snapshot


def test_baseline_retries_only_requests_that_have_not_run():
    routing = baseline.FifoRouter("i1", "p1", "d1", random.Random(1))
    routing.configure(CONFIGURATION, 0.0)
    routing.announce(announcement_of(), 0.0)
    submitted = request.Request("q", "acme", "s", 9.0, repeatable=False)
    (first,) = routing.submit(submitted, 0.0)
    assert routing.attempt_failed(first.attempt, Kind.NOT_STARTED, 0.1) == []
    (second,) = routing.tick(0.2)
    refused = routing.attempt_failed(second.attempt, Kind.CUT, 0.3)
    assert outcome_of(refused) == ("target_failed", "unknown")
