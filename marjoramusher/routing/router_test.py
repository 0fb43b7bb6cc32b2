"""Guards routing against late announcements, false refusals and doubled requests."""

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


def announced(name="r1", incarnation=1, state=SERVING, ttl_s=6.0, domain="d1"):
    return announcement.TargetAnnouncement(
        name, f"http://{name}", domain, "s", incarnation, 8, state=state, ttl_s=ttl_s
    )


class Driven:
    """A router whose effects are kept as they come."""

    def __init__(self, targets=2, slots=4, **kwargs):
        rng = random.Random(1)
        self.router = router.Router("i1", "p1", "d1", rng, **kwargs)
        self.sequence = 0
        self.router.configure(CONFIGURATION, 0.0)
        for number in range(targets):
            self.router.announce(announced(f"r{number + 1}", ttl_s=60.0), 0.0)
        self.grant({f"r{n + 1}": slots for n in range(targets)}, lease_s=1e6)

    def grant(self, slots, now=0.0, lease_s=3.0, incarnation=1):
        self.sequence += 1
        made = tuple(grants.Grant(n, incarnation, s) for n, s in slots.items())
        reply = grants.GrantReply("lead", self.sequence, lease_s, made)
        return self.router.apply_grants(reply, now)

    def submit(self, name="q1", now=0.0, deadline=30.0, **kwargs):
        kwargs = {"account": "acme", "service": "s"} | kwargs
        asked = request.Request(name, deadline=deadline, **kwargs)
        return self.router.submit(asked, now)


def outcome_of(effects):
    (item,) = effects
    if isinstance(item, effect.Refuse):
        return item.error.code.value, item.error.outcome.value
    return type(item).__name__


LATE = {
    # name: (announcements with their times, whether the target takes work at the end)
    "serving": ([(announced(), 0.0)], True),
    "leaving at once": ([(announced(), 0.0), (announced(state=LEAVING), 1.0)], False),
    "late announcement after leaving": (
        [(announced(), 0.0), (announced(state=LEAVING), 1.0), (announced(), 2.0)],
        False,
    ),
    "leaving overtakes serving": (
        [(announced(state=LEAVING), 0.0), (announced(), 0.1)],
        False,
    ),
    "next incarnation after leaving": (
        [(announced(state=LEAVING), 0.0), (announced(incarnation=2), 0.1)],
        True,
    ),
    "earlier incarnation leaves late": (
        [(announced(incarnation=2), 0.0), (announced(state=LEAVING), 0.1)],
        True,
    ),
    "silent past its ttl": ([(announced(ttl_s=1.0), 0.0)], False),
    "other failure domain": ([(announced(domain="d2"), 0.0)], False),
}


@pytest.mark.parametrize("name", LATE)
def test_late_announcements_never_revive_a_target(name):
    told, takes_work = LATE[name]
    driven = Driven(targets=0)
    for said, now in told:
        driven.router.announce(said, now)
    for incarnation in (1, 2):
        driven.grant({"r1": 4}, 2.5, incarnation=incarnation)
        if driven.router.tick(2.5 + incarnation) or driven.submit(
            f"q{incarnation}", 2.6
        ):
            pass
        if driven.router.in_flight:
            break
    assert bool(driven.router.in_flight) is takes_work


FAILURES = {
    # name: (repeatable, failures of the attempts, outcome)
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
    driven = Driven(targets=5)
    effects = driven.submit(repeatable=repeatable)
    for kind in kinds:
        effects = driven.router.attempt_failed(effects[0].attempt, kind, 1.0)
    assert outcome_of(effects) == expected


@pytest.mark.parametrize("sent", [False, True])
def test_deadline_in_flight_is_unknown_and_in_the_queue_not_run(sent):
    driven = Driven(targets=1, slots=1)
    driven.submit("q1", deadline=100.0 if not sent else 2.0)
    driven.submit("q2", deadline=2.0 if not sent else 100.0)
    refused = [e for e in driven.router.tick(2.5) if isinstance(e, effect.Refuse)]
    expected = ("deadline_exceeded", "unknown" if sent else "not_run")
    assert outcome_of(refused) == expected
    assert refused[0].request_id == ("q1" if sent else "q2")


def learned(targets=2):
    driven = Driven(targets=targets)
    for number in range(40):
        (item,) = driven.submit(f"l{number}", now=0.0)
        driven.router.attempt_finished(item.attempt, 0.1)
    return driven


def test_hedge_runs_at_another_target_and_the_loser_is_cancelled():
    driven = learned()
    (first,) = driven.submit("q", now=1.0)
    (second,) = driven.router.tick(3.0)
    assert second.target != first.target
    assert driven.router.attempt_started(second.attempt, 3.1) == [
        effect.Cancel("q", first.attempt)
    ]
    # The loser's late answer or failure changes nothing.
    assert driven.router.attempt_finished(first.attempt, 3.2) == []
    assert driven.router.attempt_failed(first.attempt, Kind.CUT, 3.2) == []
    assert driven.router.attempt_finished(second.attempt, 3.3) == []
    assert driven.router.in_flight == 0


def test_non_repeatable_request_is_never_hedged():
    driven = learned()
    driven.submit("q", now=1.0, repeatable=False)
    assert driven.router.tick(3.0) == []


def test_expired_grant_stops_dispatch_unless_there_is_no_leader():
    for known in (True, False):
        driven = Driven(targets=1)
        driven.grant({"r1": 4}, 0.0)
        driven.router.set_leader_known(known, 1.0)
        driven.router.tick(4.0)
        effects = driven.submit("q", now=4.1)
        assert bool(effects) is not known


def test_repeated_or_earlier_grant_is_ignored():
    driven = Driven(targets=1)
    driven.grant({"r1": 1}, 0.0)
    driven.sequence -= 2
    driven.grant({"r1": 8}, 0.0)
    assert [len(driven.submit(f"q{n}")) for n in range(2)] == [1, 0]


def test_drained_target_finishes_its_work_and_gets_none():
    driven = Driven(targets=1)
    (first,) = driven.submit("q1")
    drains = {"r1": record.Drain("r1", "d1")}
    driven.router.configure(msgspec.structs.replace(CONFIGURATION, drains=drains), 1.0)
    assert driven.submit("q2", now=1.0) == []
    assert driven.router.attempt_finished(first.attempt, 1.5) == []
    assert [e.request_id for e in driven.router.configure(CONFIGURATION, 2.0)] == ["q2"]


def test_long_work_leaves_slots_for_short_work():
    driven = Driven(targets=1, slots=8)
    long = request.RequestClass.LONG
    for number in range(10):
        (item,) = driven.submit(f"f{number}", declared=long, account="bolt")
        driven.router.attempt_finished(item.attempt, 3.0)
    for number in range(40):
        driven.submit(f"l{number}", 3.0, declared=long, account="bolt")
    assert 4 <= driven.router.in_flight < 8
    assert outcome_of(driven.submit("q")) == "Dispatch"


def test_slow_target_gets_less_work_before_it_fails():
    driven = Driven(targets=4, slots=8)
    counts = dict.fromkeys(("r1", "r2", "r3", "r4"), 0)
    now = 0.0
    for number in range(1200):
        now += 0.01
        (item,) = driven.submit(f"q{number}", now, deadline=now + 30)
        counts[item.target] += number >= 400
        run_s = 0.4 if item.target == "r1" else 0.1
        driven.router.attempt_finished(item.attempt, now + run_s)
        driven.router.tick(now)
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
    driven = Driven(targets=1, slots=1, links=(link,))
    short = request.RequestClass.SHORT
    driven.router.update_peer_capacity(
        target.Capacity("d2", "s", short, free, 0.0), 0.0
    )
    effects = []
    for number in range(10):
        effects += driven.submit(f"q{number}", payload_bytes=payload)
    assert any(isinstance(e, effect.Forward) for e in effects) is forwarded
    again = driven.submit("q", payload_bytes=payload, is_forwarded=True)
    assert not any(isinstance(e, effect.Forward) for e in again)


def test_accounts_share_slots_by_weight_under_overload():
    configuration = msgspec.structs.replace(
        CONFIGURATION,
        accounts={
            "acme": record.ClientAccount("acme", "d1", 3),
            "bolt": record.ClientAccount("bolt", "d1", 1),
        },
    )
    driven = Driven(targets=1, slots=4)
    driven.router.configure(configuration, 0.0)
    running, served = [], {"acme": 0, "bolt": 0}
    owners = {}

    def take(effects):
        for item in effects:
            if isinstance(item, effect.Dispatch):
                running.append(item)
                served[owners[item.request_id]] += 1

    now = 0.0
    for number in range(2000):
        now += 0.01
        for account in served:
            owners[f"{account}{number}"] = account
            take(driven.submit(f"{account}{number}", now, now + 5.0, account=account))
        if number % 2:
            take(driven.router.attempt_finished(running.pop(0).attempt, now))
    assert 2.5 < served["acme"] / served["bolt"] < 3.5


@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_dispatched_twice_or_left_without_an_end(seed):
    """Every request ends by an answer, a refusal or a withdrawal, under any faults."""
    rng = random.Random(seed)
    driven = Driven(targets=3, slots=2)
    live, ended, sent = {}, set(), {}

    def take(effects):
        for item in effects:
            assert item.request_id not in ended
            if isinstance(item, effect.Dispatch):
                live[item.attempt] = item
            elif isinstance(item, effect.Cancel):
                live.pop(item.attempt)
            else:
                ended.add(item.request_id)
                if item.error.outcome is errors.Outcome.NOT_RUN:
                    assert not sent.get(item.request_id)

    now, repeatable = 0.0, {}
    for number in range(3000):
        now += rng.expovariate(50.0)
        name = f"q{number}"
        repeatable[name] = rng.random() < 0.5
        take(driven.submit(name, now, now + 3.0, repeatable=repeatable[name]))
        while live and rng.random() < 0.6:
            item = live.pop(rng.choice(list(live)))
            kind = rng.choice([None, None, None, *Kind])
            if kind is None:
                effects = driven.router.attempt_started(item.attempt, now)
                take(effects)
                ended.add(item.request_id)
                take(driven.router.attempt_finished(item.attempt, now))
                continue
            if kind not in request.NOT_SENT:
                sent[item.request_id] = sent.get(item.request_id, 0) + 1
                assert repeatable[item.request_id] or sent[item.request_id] == 1
            take(driven.router.attempt_failed(item.attempt, kind, now))
        if rng.random() < 0.05:
            slots = dict.fromkeys(("r1", "r2", "r3"), rng.randint(1, 3))
            take(driven.grant(slots, now))
        said = announced(f"r{rng.randint(1, 3)}", ttl_s=60.0)
        take(driven.router.announce(said, now))
        take(driven.router.tick(now))
    take(driven.router.tick(now + 10.0))
    assert len(ended) == 3000
    assert driven.router.queued_count == driven.router.in_flight == 0


def test_golden_session(snapshot):
    driven = Driven(targets=2, slots=1)
    lines = []

    def note(call, effects):
        lines.append(call)
        lines.extend(f"  {item}" for item in effects)

    short, long = request.RequestClass.SHORT, request.RequestClass.LONG
    note("submit a", driven.submit("a", 0.0, declared=short))
    note("submit b", driven.submit("b", 0.01, declared=long, account="bolt"))
    note("submit c", driven.submit("c", 0.02, declared=short, deadline=0.5))
    note("submit d, unknown service", driven.submit("d", 0.02, service="x"))
    note("submit e, late", driven.submit("e", 0.03, deadline=0.04))
    note("attempt 1 is silent", driven.router.attempt_failed(1, Kind.SILENT, 0.3))
    note("r2 leaves", driven.router.announce(announced("r2", state=LEAVING), 0.4))
    note("tick", driven.router.tick(1.0))
    note("attempt 2 starts", driven.router.attempt_started(2, 1.1))
    note("attempt 2 ends", driven.router.attempt_finished(2, 1.2, 100))
    note("withdraw a", driven.router.withdraw("a", 1.3))
    note("tick", driven.router.tick(1.4))
    assert "\n".join(lines) == snapshot


def test_baseline_keeps_its_promises_too():
    routing = baseline.FifoRouter("i1", "p1", "d1", random.Random(1))
    routing.configure(CONFIGURATION, 0.0)
    routing.announce(announced(), 0.0)
    asked = request.Request("q", "acme", "s", 9.0, repeatable=False)
    (first,) = routing.submit(asked, 0.0)
    assert routing.attempt_failed(first.attempt, Kind.NOT_STARTED, 0.1) == []
    (second,) = routing.tick(0.2)
    refused = routing.attempt_failed(second.attempt, Kind.CUT, 0.3)
    assert outcome_of(refused) == ("target_failed", "unknown")
