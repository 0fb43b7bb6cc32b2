"""Measure the costs of the roles other than the leader of a failure domain."""

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
MEMBERSHIP_PERIOD_S = 60
REQUESTS = 4000
REPORTS = 200
ANSWER_BODY = b'{"score": 0.91, "label": "ok"}' * 10


# Records.


def _encode_change(sequence: int, documents: list[dict]) -> bytes:
    return records_command.encode(
        records_command.Apply(
            f"operation-{sequence:08}",
            "operator",
            sequence * 7.2,
            DOMAINS,
            tuple(codec.to_json(document) for document in documents),
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
    records_machine = records.RecordsMachine()
    for number in range(accounts):
        records_machine.apply(0, _encode_change(number, _account_documents(number)))
    return records_machine


def _change_weights(
    records_machine: records.RecordsMachine, accounts: int, changes: int
) -> tuple[float, int]:
    """Change the weight of one client account at a time; return CPU time and bytes."""
    cpu_s, size_bytes = 0.0, 0
    versions = {
        item.name: item.version
        for item in records_machine.records(kind=None)
        if item.kind.value == "client_account"
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
        data = _encode_change(accounts + number, [document])
        size_bytes += len(data)
        cpu_before_s = time.process_time()
        result = records_machine.apply(0, data)
        cpu_s += time.process_time() - cpu_before_s
        versions[name] = records_command.decode_result(result).revision
    return cpu_s, size_bytes


def _records_state(
    records_machine: records.RecordsMachine, base_bytes: int
) -> sweep.Values:
    memory_bytes = sweep.rss_bytes() - base_bytes
    started_s = time.process_time()
    data = records_machine.snapshot()
    snapshot_done_s = time.process_time()
    records.RecordsMachine().restore(data)
    return {
        "memory_mb": memory_bytes / 1e6,
        "snapshot_bytes": len(data),
        "snapshot_ms": (snapshot_done_s - started_s) * 1e3,
        "restore_ms": (time.process_time() - snapshot_done_s) * 1e3,
    }


def records_by_changes(changes: int) -> sweep.Values:
    """Measure the records of 240 client accounts after up to a day's changes."""
    base_bytes = sweep.rss_bytes()
    records_machine = _make_records(240)
    cpu_s, size_bytes = _change_weights(records_machine, 240, changes)
    return {
        "change_apply_us": cpu_s / changes * 1e6,
        "change_bytes": size_bytes / changes,
        **_records_state(records_machine, base_bytes),
    }


def records_by_accounts(accounts: int) -> sweep.Values:
    """Measure the records machine with three records for each client account."""
    base_bytes = sweep.rss_bytes()
    records_machine = _make_records(accounts)
    state_costs = _records_state(records_machine, base_bytes)
    cpu_s, _ = _change_weights(records_machine, accounts, 500)
    return {"change_apply_us": cpu_s / 500 * 1e6, **state_costs}


# Membership.


def membership(members: int) -> sweep.Values:
    """Measure the member table of one instance without membership changes."""
    base_bytes = sweep.rss_bytes()
    all_members = [
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
    member_table = table.Table(all_members[0], (), 0.0)
    other_members = tuple(all_members[1:])
    full_heartbeat = member.Heartbeat(
        all_members[1].instance_id, 0, 1, 0, 0, members=other_members
    )
    member_table.step(table.HeartbeatReceived(full_heartbeat), 0.0)
    digest = member_table._digest()
    sent_bytes, received_bytes, cpu_s = 0, 0, 0.0
    for second in range(1, MEMBERSHIP_PERIOD_S + 1):
        heartbeats = [
            member.Heartbeat(
                item.instance_id,
                item.incarnation,
                item.version,
                0,
                digest,
                members=(item,) if (second + n) % 10 == 0 else (),
            )
            for n, item in enumerate(other_members)
        ]
        bodies = [codec.pack(heartbeat) for heartbeat in heartbeats]
        received_bytes += sum(map(len, bodies))
        cpu_before_s = time.process_time()
        for body in bodies:
            heartbeat = codec.unpack(body, member.Heartbeat)
            member_table.step(table.HeartbeatReceived(heartbeat), float(second))
        for effect in member_table.step(table.TimerTicked(), float(second)):
            if isinstance(effect, table.SendHeartbeat):
                sent_bytes += len(codec.pack(effect.heartbeat))
        cpu_s += time.process_time() - cpu_before_s
    return {
        "sent_bytes_per_s": sent_bytes / MEMBERSHIP_PERIOD_S,
        "received_bytes_per_s": received_bytes / MEMBERSHIP_PERIOD_S,
        "cpu_share": cpu_s / MEMBERSHIP_PERIOD_S,
        "memory_mb": (sweep.rss_bytes() - base_bytes) / 1e6,
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
    announcements = _targets(targets)
    for target in announcements:
        routing.announce(target, now)
    slot_grants = tuple(grants.Grant(target.id, 1, 4) for target in announcements)
    routing.apply_grants(grants.GrantReply("leader", 1, 1e9, slot_grants), now)
    return routing


def _route(routing: router.Router, accounts: int, slots: int) -> float:
    """Return the CPU time to submit, start and finish a request."""
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
    running_attempts: list[int] = []
    cpu_before_s = time.process_time()
    for incoming in requests:
        running_attempts += [item.attempt for item in routing.submit(incoming, 1.0)]
        if len(running_attempts) > slots * 2 // 3:
            attempt = running_attempts.pop(0)
            routing.attempt_started(attempt, 1.05)
            for item in routing.attempt_finished(attempt, 1.05, 100):
                running_attempts.append(item.attempt)
    return (time.process_time() - cpu_before_s) / REQUESTS * 1e6


def route_table(targets: int) -> sweep.Values:
    """Measure the table of targets of one instance."""
    base_bytes = sweep.rss_bytes()
    routing = _make_router(targets, 24, 0.0)
    announcements = _targets(targets)
    memory_bytes = sweep.rss_bytes() - base_bytes
    cpu_before_s = time.process_time()
    for target in announcements:
        routing.announce(target, 0.5)
    announced_s = time.process_time() - cpu_before_s
    return {
        "memory_mb": memory_bytes / 1e6,
        "announcement_us": announced_s / targets * 1e6,
        "announcement_bytes": len(codec.pack(announcements[0])),
        "demand_bytes": len(codec.pack(routing.demand_report(1.0))),
        "request_us": _route(routing, 24, 4 * targets),
    }


def route_accounts(accounts: int) -> sweep.Values:
    """Measure the queues of an instance by client accounts, with 48 targets."""
    base_bytes = sweep.rss_bytes()
    routing = _make_router(48, accounts, 0.0)
    cost_us = _route(routing, accounts, 4 * 48)
    return {"memory_mb": (sweep.rss_bytes() - base_bytes) / 1e6, "request_us": cost_us}


def _measure_broker(targets: int, instances: int) -> sweep.Values:
    base_bytes = sweep.rss_bytes()
    broker = grants.SlotBroker("leader", 0.0)
    for item in _targets(targets):
        broker.announce(item, 0.0)
    cpu_s, sent_bytes, received_bytes = 0.0, 0, 0
    holdings: list[tuple[grants.Holding, ...]] = [()] * instances
    sequence = [0] * instances
    for number in range(REPORTS):
        index = number % instances
        now = 4.0 + number * 0.001
        demand = grants.DemandReport(
            f"i{index}",
            "p",
            "leader",
            sequence[index],
            {f"service{n}": 5.0 + (index + n) % 7 for n in range(SERVICES)},
            holdings[index],
        )
        received_bytes += len(codec.pack(demand))
        cpu_before_s = time.process_time()
        reply = broker.handle_report(demand, now)
        cpu_s += time.process_time() - cpu_before_s
        sent_bytes += len(codec.pack(reply))
        sequence[index] = reply.sequence
        holdings[index] = tuple(
            grants.Holding(item.target, item.incarnation, item.slots, 1)
            for item in reply.grants
        )
    return {
        "report_us": cpu_s / REPORTS * 1e6,
        "demand_bytes": received_bytes / REPORTS,
        "grants_bytes": sent_bytes / REPORTS,
        "memory_mb": (sweep.rss_bytes() - base_bytes) / 1e6,
    }


def broker_targets(targets: int) -> sweep.Values:
    """Measure the slot broker with four instances."""
    return _measure_broker(targets, 4)


def broker_instances(instances: int) -> sweep.Values:
    """Measure the slot broker with 48 targets."""
    return _measure_broker(48, instances)


# Claims.


def claims_by_entries(entries: int) -> sweep.Values:
    """Measure the claims machine with answered claims of 300 bytes each."""
    base_bytes = sweep.rss_bytes()
    claims_machine = claims.ClaimsMachine()
    holder = claims_command.Holder("instance-0001", "1796369150631", 1)
    started_s = time.process_time()
    size_bytes = 0
    for n in range(entries):
        account, key = f"account{n % 240:04}", f"key-{n:032}"
        claim = claims_command.Claim(account, key, b"f" * 16, holder, 1e9)
        answer = claims_command.RecordAnswer(
            account, key, holder, 1e9, 200, "application/json", ANSWER_BODY
        )
        for item in (claim, answer):
            data = claims_command.encode_batch([item])
            size_bytes += len(data)
            claims_machine.apply(0, data)
    applied_s = time.process_time() - started_s
    memory_bytes = sweep.rss_bytes() - base_bytes
    started_s = time.process_time()
    claims_machine.holders()
    holders_s = time.process_time() - started_s
    started_s = time.process_time()
    claims_machine.apply(0, claims_command.encode_batch([claims_command.Expire(1e9)]))
    expire_s = time.process_time() - started_s
    started_s = time.process_time()
    data = claims_machine.snapshot()
    snapshot_done_s = time.process_time()
    claims.ClaimsMachine().restore(data)
    restored_s = time.process_time()
    return {
        "claim_apply_us": applied_s / entries * 1e6,
        "claim_bytes": size_bytes / entries,
        "memory_mb": memory_bytes / 1e6,
        "holders_ms": holders_s * 1e3,
        "expire_ms": expire_s * 1e3,
        "snapshot_bytes": len(data),
        "snapshot_ms": (snapshot_done_s - started_s) * 1e3,
        "restore_ms": (restored_s - snapshot_done_s) * 1e3,
    }


# Operator interface.


def subscribers(subscriber_count: int) -> sweep.Values:
    """Measure waking up readers that wait for a revision."""
    return asyncio.run(_subscribers(subscriber_count))


async def _subscribers(subscriber_count: int) -> sweep.Values:
    base_bytes = sweep.rss_bytes()
    records_machine = _make_records(240)
    group = local.LocalGroup("records", records_machine)
    revision_watcher = watch.RevisionWatcher(group, records_machine)
    base_with_records_bytes = sweep.rss_bytes()
    changes, size_bytes = 20, 0
    cpu_s = 0.0
    for number in range(changes):
        since = records_machine.revision
        waiters = [
            asyncio.create_task(revision_watcher.wait_for_revision(since + 1, 10.0))
            for _ in range(subscriber_count)
        ]
        await asyncio.sleep(0)
        document = _document("drain", f"worker-{number}", 0, failure_domain=DOMAINS[0])
        data = _encode_change(1000 + number, [document])
        cpu_before_s = time.process_time()
        await group.propose(data, 1.0)
        await asyncio.gather(*waiters)
        for _ in waiters:
            size_bytes += len(codec.to_json(records_machine.changed_since(since)))
        cpu_s += time.process_time() - cpu_before_s
    return {
        "change_us": cpu_s / changes * 1e6,
        "change_bytes": size_bytes / changes,
        "memory_mb": (sweep.rss_bytes() - base_with_records_bytes) / 1e6,
        "records_memory_mb": (base_with_records_bytes - base_bytes) / 1e6,
    }


SWEEPS = (
    sweep.Sweep("records", "change", (1500, 3000, 6000, 12_000), records_by_changes),
    sweep.Sweep("records", "account", (30, 60, 120, 240, 480), records_by_accounts),
    sweep.Sweep("membership", "member", (6, 24, 48, 96, 192), membership),
    sweep.Sweep("route_table", "target", (24, 96, 384, 1536), route_table),
    sweep.Sweep("route_table", "account", (4, 30, 60, 240, 480), route_accounts),
    sweep.Sweep("slot_broker", "target", (24, 96, 384, 1536), broker_targets),
    sweep.Sweep("slot_broker", "instance", (2, 4, 8, 16), broker_instances),
    sweep.Sweep("claims", "claim", (1000, 4000, 16_000, 64_000), claims_by_entries),
    sweep.Sweep("operators", "subscriber", (16, 64, 128, 256), subscribers),
)
