"""Costs of the roles besides the leader of a failure domain."""

import asyncio
import random
import time

from bench import sweep
from marjoramusher.claims import command as claims_command
from marjoramusher.claims import machine as claims
from marjoramusher.core import announcement, codec, record
from marjoramusher.groups import local
from marjoramusher.membership import member, table
from marjoramusher.operators import watch
from marjoramusher.records import command as records_command
from marjoramusher.records import machine as records
from marjoramusher.routing import grants, request, router

DOMAINS = tuple(f"region{n % 5}-domain{n:02}" for n in range(11))
SERVICES = 8
SECONDS = 60
REQUESTS = 4000
REPORTS = 200
ANSWER = b'{"score": 0.91, "label": "ok"}' * 10


# Records.


def _change(serial: int, documents: list[dict]) -> bytes:
    return records_command.encode(
        records_command.Apply(
            f"operation-{serial:08}",
            "operator",
            serial * 7.2,
            DOMAINS,
            tuple(codec.to_json(one) for one in documents),
        )
    )


def _document(kind: str, name: str, replaces: int, **spec: object) -> dict:
    return {
        "schema": 2,
        "kind": kind,
        "name": name,
        "replaces": replaces,
        "spec": spec,
    }


def _account_documents(number: int) -> list[dict]:
    name, domain = f"account{number:04}", DOMAINS[number % 11]
    return [
        _document("client_account", name, 0, home=domain, weight=1),
        _document(
            "guaranteed_shape",
            f"{name}-shape",
            0,
            account=name,
            failure_domain=domain,
            gangs=2,
            accelerators=16,
            tasks=2,
            adjacency="rack",
        ),
        _document(
            "contract",
            f"{name}-contract",
            0,
            account=name,
            failure_domain=domain,
            expires_at="2030-01-01T00:00:00Z",
        ),
    ]


def _make_records(accounts: int) -> records.RecordsMachine:
    made = records.RecordsMachine()
    for number in range(accounts):
        made.apply(0, _change(number, _account_documents(number)))
    return made


def _change_weights(
    made: records.RecordsMachine, accounts: int, changes: int
) -> tuple[float, int]:
    """Change one client account's weight at a time; return time and bytes."""
    spent_s, size = 0.0, 0
    versions = {
        one.name: one.version
        for one in made.records(kind=None)
        if one.kind.value == "client_account"
    }
    for number in range(changes):
        name = f"account{number % accounts:04}"
        domain = DOMAINS[number % accounts % 11]
        document = _document(
            "client_account",
            name,
            versions[name],
            home=domain,
            weight=2 + number // accounts % 9,
        )
        data = _change(accounts + number, [document])
        size += len(data)
        before = time.process_time()
        result = made.apply(0, data)
        spent_s += time.process_time() - before
        versions[name] = records_command.decode_result(result).revision
    return spent_s, size


def _records_state(made: records.RecordsMachine, base: int) -> sweep.Values:
    memory = sweep.rss_bytes() - base
    before = time.process_time()
    data = made.snapshot()
    taken = time.process_time()
    records.RecordsMachine().restore(data)
    return {
        "memory_mb": memory / 1e6,
        "snapshot_bytes": len(data),
        "snapshot_ms": (taken - before) * 1e3,
        "restore_ms": (time.process_time() - taken) * 1e3,
    }


def records_by_changes(changes: int) -> sweep.Values:
    """Measure the records machine of 240 client accounts after a day's changes."""
    base = sweep.rss_bytes()
    made = _make_records(240)
    spent_s, size = _change_weights(made, 240, changes)
    return {
        "change_apply_us": spent_s / changes * 1e6,
        "change_bytes": size / changes,
        **_records_state(made, base),
    }


def records_by_accounts(accounts: int) -> sweep.Values:
    """Measure the records machine with an account's three records each."""
    base = sweep.rss_bytes()
    made = _make_records(accounts)
    found = _records_state(made, base)
    spent_s, _ = _change_weights(made, accounts, 500)
    return {"change_apply_us": spent_s / 500 * 1e6, **found}


# Membership.


def membership(members: int) -> sweep.Values:
    """Measure one instance's member table at rest."""
    base = sweep.rss_bytes()
    described = [
        member.Member(
            f"instance-{n:04}",
            DOMAINS[n % 11],
            f"region{n % 5}",
            f"http://10.0.0.{n}:8080",
            f"10.0.{n // 250}.{n % 250}:9090",
            f"{n:012x}",
            True,
            "cluster-0000000001",
            1_796_000_000_000 + n,
            1,
        )
        for n in range(members)
    ]
    own = table.Table(described[0], (), 0.0)
    every = tuple(described[1:])
    first = member.Heartbeat(described[1].instance_id, 0, 1, 0, 0, members=every)
    own.step(table.HeartbeatReceived(first), 0.0)
    digest = own._digest()
    sent, received, spent_s = 0, 0, 0.0
    for second in range(1, SECONDS + 1):
        beats = [
            member.Heartbeat(
                one.instance_id,
                one.incarnation,
                one.version,
                0,
                digest,
                members=(one,) if (second + n) % 10 == 0 else (),
            )
            for n, one in enumerate(every)
        ]
        bodies = [codec.pack(beat) for beat in beats]
        received += sum(map(len, bodies))
        before = time.process_time()
        for body in bodies:
            beat = codec.unpack(body, member.Heartbeat)
            own.step(table.HeartbeatReceived(beat), float(second))
        for effect in own.step(table.TimerTicked(), float(second)):
            if isinstance(effect, table.SendHeartbeat):
                sent += len(codec.pack(effect.heartbeat))
        spent_s += time.process_time() - before
    return {
        "sent_bytes_per_s": sent / SECONDS,
        "received_bytes_per_s": received / SECONDS,
        "cpu_share": spent_s / SECONDS,
        "memory_mb": (sweep.rss_bytes() - base) / 1e6,
    }


# Routing.


def _configuration(accounts: int) -> record.Configuration:
    return record.Configuration(
        1,
        accounts={
            f"account{n:04}": record.ClientAccount(f"account{n:04}", DOMAINS[0])
            for n in range(accounts)
        },
        services={
            f"service{n}": record.Service(f"service{n}") for n in range(SERVICES)
        },
    )


def _targets(count: int) -> list[announcement.TargetAnnouncement]:
    return [
        announcement.TargetAnnouncement(
            f"target{n:05}",
            f"http://10.1.{n // 250}.{n % 250}:9000",
            DOMAINS[0],
            f"service{n % SERVICES}",
            1,
        )
        for n in range(count)
    ]


def _make_router(targets: int, accounts: int, now: float) -> router.Router:
    routing = router.Router("i0", "p0", DOMAINS[0], random.Random(1), now=now)
    routing.configure(_configuration(accounts), now)
    known = _targets(targets)
    for one in known:
        routing.announce(one, now)
    granted = tuple(grants.Grant(one.id, 1, 4) for one in known)
    routing.apply_grants(grants.GrantReply("leader", 1, 1e9, granted), now)
    return routing


def _route(routing: router.Router, accounts: int, slots: int) -> float:
    """Return the processor time of a request's submit, start and end."""
    requests = [
        request.Request(
            f"q{n}",
            f"account{n % accounts:04}",
            f"service{n % SERVICES}",
            1e9,
            None,
            True,
            100,
        )
        for n in range(REQUESTS)
    ]
    under_way: list[int] = []
    before = time.process_time()
    for asked in requests:
        under_way += [item.attempt for item in routing.submit(asked, 1.0)]
        if len(under_way) > slots * 2 // 3:
            attempt = under_way.pop(0)
            routing.attempt_started(attempt, 1.05)
            for item in routing.attempt_finished(attempt, 1.05, 100):
                under_way.append(item.attempt)
    return (time.process_time() - before) / REQUESTS * 1e6


def route_table(targets: int) -> sweep.Values:
    """Measure one instance's table of targets."""
    base = sweep.rss_bytes()
    routing = _make_router(targets, 24, 0.0)
    known = _targets(targets)
    memory = sweep.rss_bytes() - base
    before = time.process_time()
    for one in known:
        routing.announce(one, 0.5)
    announced_s = time.process_time() - before
    return {
        "memory_mb": memory / 1e6,
        "announcement_us": announced_s / targets * 1e6,
        "announcement_bytes": len(codec.pack(known[0])),
        "demand_bytes": len(codec.pack(routing.demand_report(1.0))),
        "request_us": _route(routing, 24, 4 * targets),
    }


def route_accounts(accounts: int) -> sweep.Values:
    """Measure an instance's queues by client accounts; 48 targets."""
    base = sweep.rss_bytes()
    routing = _make_router(48, accounts, 0.0)
    cost_us = _route(routing, accounts, 4 * 48)
    return {"memory_mb": (sweep.rss_bytes() - base) / 1e6, "request_us": cost_us}


def _broker(targets: int, instances: int) -> sweep.Values:
    base = sweep.rss_bytes()
    broker = grants.SlotBroker("leader", 0.0)
    for one in _targets(targets):
        broker.announce(one, 0.0)
    spent_s, sent, received = 0.0, 0, 0
    held: list[tuple[grants.Holding, ...]] = [()] * instances
    sequence = [0] * instances
    for report in range(REPORTS):
        at = report % instances
        now = 4.0 + report * 0.001
        demand = grants.DemandReport(
            f"i{at}",
            "p",
            "leader",
            sequence[at],
            {f"service{n}": 5.0 + (at + n) % 7 for n in range(SERVICES)},
            held[at],
        )
        received += len(codec.pack(demand))
        before = time.process_time()
        reply = broker.handle_report(demand, now)
        spent_s += time.process_time() - before
        sent += len(codec.pack(reply))
        sequence[at] = reply.sequence
        held[at] = tuple(
            grants.Holding(one.target, one.incarnation, one.slots, 1)
            for one in reply.grants
        )
    return {
        "report_us": spent_s / REPORTS * 1e6,
        "demand_bytes": received / REPORTS,
        "grants_bytes": sent / REPORTS,
        "memory_mb": (sweep.rss_bytes() - base) / 1e6,
    }


def broker_targets(targets: int) -> sweep.Values:
    """Measure the slot broker with four instances."""
    return _broker(targets, 4)


def broker_instances(instances: int) -> sweep.Values:
    """Measure the slot broker with 48 targets."""
    return _broker(48, instances)


# Claims.


def claims_entries(entries: int) -> sweep.Values:
    """Measure the claims machine with answered claims of 300 bytes each."""
    base = sweep.rss_bytes()
    made = claims.ClaimsMachine()
    holder = claims_command.Holder("instance-0001", "1796369150631", 1)
    before = time.process_time()
    size = 0
    for n in range(entries):
        account, key = f"account{n % 240:04}", f"key-{n:032}"
        claim = claims_command.Claim(account, key, b"f" * 16, holder, 1e9)
        answer = claims_command.RecordAnswer(
            account, key, holder, 1e9, 200, "application/json", ANSWER
        )
        for one in (claim, answer):
            data = claims_command.encode_batch([one])
            size += len(data)
            made.apply(0, data)
    applied_s = time.process_time() - before
    memory = sweep.rss_bytes() - base
    before = time.process_time()
    made.holders()
    holders_s = time.process_time() - before
    before = time.process_time()
    made.apply(0, claims_command.encode_batch([claims_command.Expire(1e9)]))
    expire_s = time.process_time() - before
    before = time.process_time()
    data = made.snapshot()
    taken = time.process_time()
    claims.ClaimsMachine().restore(data)
    restored = time.process_time()
    return {
        "claim_apply_us": applied_s / entries * 1e6,
        "claim_bytes": size / entries,
        "memory_mb": memory / 1e6,
        "holders_ms": holders_s * 1e3,
        "expire_ms": expire_s * 1e3,
        "snapshot_bytes": len(data),
        "snapshot_ms": (taken - before) * 1e3,
        "restore_ms": (restored - taken) * 1e3,
    }


# Operators' interface.


def subscribers(waiting: int) -> sweep.Values:
    """Measure the wake-up of readers that wait for a revision."""
    return asyncio.run(_subscribers(waiting))


async def _subscribers(waiting: int) -> sweep.Values:
    base = sweep.rss_bytes()
    made = _make_records(240)
    group = local.LocalGroup("records", made)
    revisions = watch.RevisionWatcher(group, made)
    started = sweep.rss_bytes()
    changes, size = 20, 0
    spent_s = 0.0
    for number in range(changes):
        since = made.revision
        waiters = [
            asyncio.create_task(revisions.wait_for_revision(since + 1, 10.0))
            for _ in range(waiting)
        ]
        await asyncio.sleep(0)
        document = _document("drain", f"worker-{number}", 0, failure_domain=DOMAINS[0])
        data = _change(1000 + number, [document])
        before = time.process_time()
        await group.propose(data, 1.0)
        await asyncio.gather(*waiters)
        for _ in waiters:
            size += len(codec.to_json(made.changed_since(since)))
        spent_s += time.process_time() - before
    return {
        "change_us": spent_s / changes * 1e6,
        "change_bytes": size / changes,
        "memory_mb": (sweep.rss_bytes() - started) / 1e6,
        "records_memory_mb": (started - base) / 1e6,
    }


SWEEPS = (
    sweep.Sweep("records", "change", (1500, 3000, 6000, 12_000), records_by_changes),
    sweep.Sweep("records", "account", (30, 60, 120, 240, 480), records_by_accounts),
    sweep.Sweep("membership", "member", (6, 24, 48, 96, 192), membership),
    sweep.Sweep("route_table", "target", (24, 96, 384, 1536), route_table),
    sweep.Sweep("route_table", "account", (4, 30, 60, 240, 480), route_accounts),
    sweep.Sweep("slot_broker", "target", (24, 96, 384, 1536), broker_targets),
    sweep.Sweep("slot_broker", "instance", (2, 4, 8, 16), broker_instances),
    sweep.Sweep("claims", "claim", (1000, 4000, 16_000, 64_000), claims_entries),
    sweep.Sweep("operators", "subscriber", (16, 64, 128, 256), subscribers),
)
