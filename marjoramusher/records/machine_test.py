"""Tests of the records machine: races, resends, schemas, atomicity, rollback."""

import itertools
import json
import random

import pytest

from marjoramusher.core import errors, resource
from marjoramusher.records import command, history, machine, operation, schema

DOMAINS = ("a1", "a2", "b1")
ACCOUNT = schema.Kind.CLIENT_ACCOUNT
SHAPE = schema.Kind.GUARANTEED_SHAPE
CONTRACT = schema.Kind.CONTRACT


def account(name="acme", replaces=0, schema_number=2, **spec):
    return doc("client_account", name, replaces, schema_number, {"home": "a1", **spec})


def shape(name="g", replaces=0, schema_number=2, **spec):
    base = {"account": "acme", "failure_domain": "a1", "gangs": 2, "accelerators": 16}
    return doc("guaranteed_shape", name, replaces, schema_number, {**base, **spec})


def contract(name="c", replaces=0, schema_number=2, **spec):
    base = {
        "account": "acme",
        "failure_domain": "a1",
        "expires_at": "2027-01-31T00:00:00Z",
    }
    return doc("contract", name, replaces, schema_number, {**base, **spec})


def delete(kind, name, replaces):
    return {"kind": kind, "name": name, "replaces": replaces, "delete": True}


def doc(kind, name, replaces, schema_number, spec):
    return {
        "schema": schema_number,
        "kind": kind,
        "name": name,
        "replaces": replaces,
        "spec": spec,
    }


class Operator:
    """Applies commands to a machine, as the records group does."""

    def __init__(self, records=None):
        self.machine = records or machine.RecordsMachine()
        self._ids = (f"op-{n}" for n in itertools.count())
        self.at = 1_800_000_000.0

    def apply(self, *documents, operation_id=None, operator="alice"):
        return self.send(
            command.Apply(
                operation_id or next(self._ids),
                operator,
                self.at,
                DOMAINS,
                tuple(
                    d if isinstance(d, bytes) else json.dumps(d).encode()
                    for d in documents
                ),
            )
        )

    def rollback(self, to, replaces=None, operation_id=None, only=()):
        return self.send(
            command.Rollback(
                operation_id or next(self._ids),
                "alice",
                self.at,
                to,
                self.machine.revision if replaces is None else replaces,
                only,
            )
        )

    def send(self, cmd):
        preview = self.machine.preview(cmd)
        data = self.machine.apply(0, command.encode(cmd))
        try:
            result = command.decode_result(data)
        except errors.MarjoramusherError as error:
            # The dry run must report the same refusal, unless the command is a resend.
            if preview.error is not None:
                assert preview.error == error.body()
            raise
        assert preview.error is None or result.operation_id == cmd.operation_id
        return result

    def refused(self, *documents, **options):
        with pytest.raises(errors.MarjoramusherError) as caught:
            self.apply(*documents, **options)
        return caught.value


@pytest.fixture
def operator():
    writer = Operator()
    writer.apply(account(), contract())
    return writer


def violations(error):
    return {
        (f["record"], f["field"], f["rule"])
        for f in json.loads(error.details["faults"])
    }


INVALID_DOCUMENTS = {
    "not json": (b"{", "records[1]  malformed"),
    "not utf-8": (b'"\xff"', "records[1]  malformed"),
    "not an object": (3, "records[1]  malformed"),
    "unknown kind": (doc("pet", "x", 0, 1, {}), "pet/x kind invalid_value"),
    "unknown envelope field": (
        {**account("b"), "owner": 1},
        "client_account/b owner unknown_field",
    ),
    "version missing": (
        {"kind": "service", "name": "s", "spec": {}},
        "service/s replaces missing",
    ),
    "version negative": (
        account("b", replaces=-1),
        "client_account/b replaces invalid_value",
    ),
    "version boolean": (
        account("b", replaces=True),
        "client_account/b replaces invalid_value",
    ),
    "schema unknown": (
        account("b", schema_number=3),
        "client_account/b schema unsupported_schema",
    ),
    "name with newline": (account("b\n"), "client_account/b\n name invalid_value"),
    "name too long": (
        account("b" * 129),
        "client_account/" + "b" * 128 + " name invalid_value",
    ),
    "spec missing": (
        {"kind": "service", "name": "s", "replaces": 0},
        "service/s spec missing",
    ),
    "spec is a list": (doc("service", "s", 0, 2, []), "service/s spec malformed"),
    "unknown spec field": (
        account("b", colour="red"),
        "client_account/b spec.colour unknown_field",
    ),
    "field of schema 2 in schema 1": (
        shape(schema_number=1, adjacency="rack"),
        "guaranteed_shape/g spec.adjacency unknown_field",
    ),
    "zero weight": (
        account("b", weight=0),
        "client_account/b spec.weight invalid_value",
    ),
    "huge integer": (
        b'{"kind":"service","name":"s","replaces":0,"spec":{"deadline_s":1'
        + b"0" * 400
        + b"}}",
        "service/s spec.deadline_s invalid_value",
    ),
    "infinite": (
        b'{"kind":"service","name":"s","replaces":0,"spec":{"deadline_s":1e999}}',
        "records[1]  malformed",
    ),
    "uneven tasks": (
        shape(tasks=3),
        "guaranteed_shape/g spec.accelerators invalid_value",
    ),
    "short work longer than the deadline": (
        doc("service", "s", 0, 2, {"deadline_s": 5, "short_run_s": 6}),
        "service/s spec.deadline_s invalid_value",
    ),
    "expiry without offset": (
        contract("d", expires_at="2027-01-31T00:00:00"),
        "contract/d spec.expires_at invalid_value",
    ),
    "expiry with another offset": (
        contract("d", expires_at="2027-01-31T00:00:00+02:00"),
        "contract/d spec.expires_at invalid_value",
    ),
    "unknown account": (
        shape(account="nobody"),
        "guaranteed_shape/g spec.account reference",
    ),
    "unknown failure domain": (
        shape(failure_domain="z9"),
        "guaranteed_shape/g spec.failure_domain reference",
    ),
    "unknown home": (account("b", home="z9"), "client_account/b spec.home reference"),
    "other home": (
        account(replaces=1, home="a2"),
        "client_account/acme spec.home immutable",
    ),
    "moved contract": (
        contract(replaces=1, failure_domain="a2"),
        "contract/c spec.failure_domain immutable",
    ),
    "account in use": (
        delete("client_account", "acme", 1),
        "client_account/acme name in_use",
    ),
    "deletion without version": (
        delete("client_account", "acme", 0),
        "client_account/acme replaces invalid_value",
    ),
    "deletion with spec": (
        {**delete("contract", "c", 1), "spec": {}},
        "contract/c spec invalid_value",
    ),
}


@pytest.mark.parametrize("name", INVALID_DOCUMENTS)
def test_faulty_document_is_refused_and_changes_nothing(operator, name):
    document, violation = INVALID_DOCUMENTS[name]
    error = operator.refused(account("sound"), document, operation_id="x")
    assert error.code is errors.ErrorCode.INVALID_RECORD
    assert tuple(violation.split(" ")) in violations(error)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert operator.machine.revision == 1
    assert "sound" not in operator.machine.configuration.accounts


def test_all_faults_come_back_at_once(operator):
    error = operator.refused(
        shape(
            "g1", account="nobody", failure_domain="z9", gangs=0, schema_number=1, x=1
        ),
        {"kind": "contract", "replaces": "2"},
        contract(replaces=7),
        shape("g2", account="new"),
        account("new", weight="heavy"),
        shape("g2"),
    )
    assert violations(error) == {
        ("guaranteed_shape/g1", "spec.account", "reference"),
        ("guaranteed_shape/g1", "spec.failure_domain", "reference"),
        ("guaranteed_shape/g1", "spec.gangs", "invalid_value"),
        ("guaranteed_shape/g1", "spec.x", "unknown_field"),
        ("records[1]", "name", "missing"),
        ("records[1]", "replaces", "invalid_value"),
        ("records[1]", "spec", "missing"),
        ("contract/c", "replaces", "version"),
        ("client_account/new", "spec.weight", "invalid_value"),
        ("guaranteed_shape/g2", "name", "duplicate"),
    }


def test_limits_bound_a_change(operator):
    many = [doc("drain", f"r{n}", 0, 1, {"failure_domain": "a1"}) for n in range(1001)]
    assert violations(operator.refused(*many)) == {("records", "", "limit")}
    assert violations(operator.refused()) == {("records", "", "limit")}


RACES = {
    "create twice": (contract(), contract(grace_s=1)),
    "update twice": (contract(replaces=1, grace_s=1), contract(replaces=1, grace_s=2)),
    "update and delete": (contract(replaces=1, grace_s=1), delete("contract", "c", 1)),
    "delete and update": (delete("contract", "c", 1), contract(replaces=1, grace_s=1)),
    "delete twice": (delete("contract", "c", 1), delete("contract", "c", 1)),
}


@pytest.mark.parametrize("name", RACES)
def test_of_two_writers_with_one_version_one_wins(name):
    first, second = RACES[name]
    operator = Operator()
    operator.apply(account(), *([] if first["replaces"] == 0 else [contract()]))
    operator.apply(first)
    winning = operator.machine.configuration
    error = operator.refused(second, operator="bob")
    assert error.code is errors.ErrorCode.VERSION_CONFLICT
    assert operator.machine.configuration is winning
    present = winning.contracts.get("c")
    current = json.loads(error.details["current"])
    assert [r["version"] for r in current] == ([2] if present else [])


def test_version_of_a_deleted_record_does_not_return(operator):
    # If versions restarted at 1, a writer of the deleted record could replace the new
    # one.
    operator.apply(delete("contract", "c", 1))
    operator.apply(contract())
    error = operator.refused(contract(replaces=1, grace_s=5))
    assert error.code is errors.ErrorCode.VERSION_CONFLICT


def test_one_stale_record_refuses_the_whole_change(operator):
    error = operator.refused(contract("d"), contract(replaces=9))
    assert error.code is errors.ErrorCode.VERSION_CONFLICT
    assert list(operator.machine.configuration.contracts) == ["c"]


def test_resend_gives_the_first_answer_after_later_changes(operator):
    first = operator.apply(contract(replaces=1, grace_s=9), operation_id="x")
    operator.apply(contract(replaces=2, grace_s=8))
    assert operator.apply(contract(replaces=1, grace_s=9), operation_id="x") == first
    with pytest.raises(errors.MarjoramusherError) as caught:
        operator.apply(contract(replaces=2, grace_s=7), operation_id="x")
    assert caught.value.code is errors.ErrorCode.OPERATION_REUSED
    assert operator.machine.revision == 3


def test_resend_with_other_key_order_is_the_same_change(operator):
    first = operator.apply(contract(replaces=1, grace_s=9), operation_id="x")
    text = json.dumps(contract(replaces=1, grace_s=9), indent=2, sort_keys=True)
    assert operator.apply(text.encode(), operation_id="x") == first


def test_refusal_is_not_turned_into_acceptance_by_a_late_duplicate(operator):
    # The operator has already been answered that nothing was written.
    refused = operator.refused(shape(account="later"), operation_id="x")
    operator.apply(account("later"))
    again = operator.refused(shape(account="later"), operation_id="x")
    assert again.body() == refused.body()
    assert operator.machine.configuration.guarantees == {}


def test_resend_after_its_id_is_forgotten_has_no_second_effect():
    operator = Operator(machine.RecordsMachine(operations_limit=2))
    operator.apply(account())
    operator.apply(account(replaces=1, weight=2), operation_id="x")
    operator.apply(account(replaces=2, weight=3))
    operator.apply(account(replaces=3, weight=4))
    error = operator.refused(account(replaces=1, weight=2), operation_id="x")
    assert error.code is errors.ErrorCode.VERSION_CONFLICT


def test_operation_ids_age_by_the_time_of_commands(operator):
    operator.apply(contract(replaces=1, grace_s=9), operation_id="x")
    operator.at += operation.MAX_AGE_S + 1
    error = operator.refused(contract(replaces=1, grace_s=9), operation_id="x")
    assert error.code is errors.ErrorCode.VERSION_CONFLICT


def test_unchanged_records_make_no_revision(operator):
    result = operator.apply(contract(replaces=1))
    assert result.revision == 1
    assert not result.records[0].changed


def test_write_in_schema_1_keeps_what_only_schema_2_says(operator):
    operator.apply(shape(tasks=2, adjacency="rack", job_class="urgent"))
    operator.apply(shape(replaces=2, schema_number=1, gangs=5))
    guarantee = operator.machine.configuration.guarantees["g"]
    assert guarantee.gangs == 5
    assert guarantee.shape.adjacency is resource.Adjacency.RACK
    assert guarantee.shape.each.accelerators == 8
    assert guarantee.job_class is resource.JobClass.URGENT
    assert operator.machine.record(SHAPE, "g", 1).spec == {
        "account": "acme",
        "failure_domain": "a1",
        "gangs": 5,
        "accelerators": 16,
    }


def test_write_in_schema_2_replaces_everything(operator):
    operator.apply(shape(tasks=2, adjacency="rack"))
    operator.apply(shape(replaces=2))
    assert operator.machine.record(SHAPE, "g").spec.keys() == {
        "account",
        "failure_domain",
        "gangs",
        "accelerators",
    }


CONTRADICTIONS = {
    "size of tasks": (
        shape(tasks=2),
        shape(replaces=2, schema_number=1, accelerators=32),
        ("guaranteed_shape/g", "spec.accelerators", "contradicts_newer_schema"),
    ),
    "short run time": (
        doc("service", "s", 0, 2, {"deadline_s": 9, "short_run_s": 5}),
        doc("service", "s", 2, 1, {"deadline_s": 4}),
        ("service/s", "spec.deadline_s", "contradicts_newer_schema"),
    ),
    "deletion": (
        shape(adjacency="rack"),
        {**delete("guaranteed_shape", "g", 2), "schema": 1},
        ("guaranteed_shape/g", "delete", "contradicts_newer_schema"),
    ),
    "progress timeout": (
        doc("service", "s", 0, 2, {"deadline_s": 9, "progress_timeout_s": 5}),
        doc("service", "s", 2, 1, {"deadline_s": 4}),
        ("service/s", "spec.deadline_s", "contradicts_newer_schema"),
    ),
}


@pytest.mark.parametrize("name", CONTRADICTIONS)
def test_write_in_schema_1_that_contradicts_schema_2_is_refused(operator, name):
    first, second, expected = CONTRADICTIONS[name]
    operator.apply(first)
    assert violations(operator.refused(second)) == {expected}
    operator.apply({**second, "schema": 2})


def test_plain_count_of_schema_1_may_change_freely(operator):
    operator.apply(shape(schema_number=1))
    operator.apply(shape(replaces=2, schema_number=1, accelerators=32))
    assert operator.machine.configuration.guarantees["g"].shape.tasks == 32


def test_home_stays_when_an_account_is_deleted_and_made_again(operator):
    # The home of the deleted account still holds its idempotency claims.
    operator.apply(delete("contract", "c", 1), delete("client_account", "acme", 1))
    assert violations(operator.refused(account(home="a2"))) == {
        ("client_account/acme", "spec.home", "immutable")
    }
    operator.apply(account())


def test_record_keeps_a_failure_domain_that_the_proposer_does_not_see(operator):
    cmd = command.Apply(
        "x",
        "bob",
        1.0,
        ("b1",),
        (json.dumps(contract(replaces=1, grace_s=3)).encode(),),
    )
    operator.send(cmd)
    assert operator.machine.configuration.contracts["c"].grace_s == 3


def test_rollback_writes_an_earlier_revision_as_a_new_one(operator):
    original = operator.machine.configuration
    operator.apply(contract(replaces=1, grace_s=1), account("b"), shape())
    operator.apply(delete("guaranteed_shape", "g", 2))
    result = operator.rollback(1)
    assert result.revision == 4
    assert {(r.name, r.deleted, r.version) for r in result.records if r.changed} == {
        ("b", True, 4),
        ("c", False, 4),
    }
    restored = operator.machine.configuration
    assert (restored.accounts, restored.contracts) == (
        original.accounts,
        original.contracts,
    )
    assert operator.machine.differences(1, 4) == []
    operator.rollback(3)
    assert operator.machine.differences(3, 5) == []


def test_rollback_of_one_record_leaves_the_others(operator):
    operator.apply(contract(replaces=1, grace_s=1))
    operator.apply(account("b"))
    operator.rollback(1, only=(command.Reference(CONTRACT, "c"),))
    assert operator.machine.configuration.contracts["c"].grace_s == 30
    assert "b" in operator.machine.configuration.accounts


ROLLBACK_REFUSALS = {
    "stale": ({"to": 1, "replaces": 1}, "version_conflict"),
    "future": ({"to": 9}, "not_found"),
    "unknown record": (
        {"to": 1, "only": (command.Reference(CONTRACT, "zz"),)},
        "not_found",
    ),
    "account of a newer contract": (
        {"to": 0, "only": (command.Reference(ACCOUNT, "acme"),)},
        "invalid_record",
    ),
}


@pytest.mark.parametrize("name", ROLLBACK_REFUSALS)
def test_rollback_that_conflicts_is_refused(operator, name):
    options, code = ROLLBACK_REFUSALS[name]
    operator.apply(contract(replaces=1, grace_s=1))
    with pytest.raises(errors.MarjoramusherError) as caught:
        operator.rollback(**options)
    assert caught.value.code.value == code
    assert operator.machine.revision == 2


def test_history_is_bounded_and_reports_its_oldest_revision():
    operator = Operator(machine.RecordsMachine(history_limit=3))
    operator.apply(account(), contract())
    for version in range(1, 8):
        operator.apply(account(replaces=version, weight=version + 1))
    assert operator.machine.oldest_revision == 5
    assert [v.version for v in operator.machine.versions(ACCOUNT, "acme")] == [
        8,
        7,
        6,
        5,
    ]
    # The contract has not changed since revision 1, but still belongs to revision 5.
    assert len(operator.machine.records(revision=5)) == 2
    with pytest.raises(errors.MarjoramusherError):
        operator.machine.records(revision=4)
    operator.rollback(5)
    assert operator.machine.configuration.accounts["acme"].weight == 5


def test_changes_since_a_revision_tell_deletions(operator):
    operator.apply(contract("d"))
    operator.apply(delete("contract", "c", 1))
    changed = operator.machine.changed_since(1)
    assert [(r.name, r.version, r.spec is None) for r in changed] == [
        ("c", 3, True),
        ("d", 2, False),
    ]
    assert operator.machine.changed_since(3) == []
    assert operator.machine.changed_since(4) is None


def test_restored_machine_behaves_like_the_original(operator):
    operator.apply(shape(tasks=2, adjacency="rack"), operation_id="x")
    operator.apply(delete("contract", "c", 1))
    other = Operator()
    other.machine.restore(operator.machine.snapshot())
    assert other.machine.configuration == operator.machine.configuration
    cmd = command.Rollback("y", "bob", operator.at, 1, 3)
    data = command.encode(cmd)
    assert other.machine.apply(9, data) == operator.machine.apply(9, data)
    assert other.machine.snapshot() == operator.machine.snapshot()
    assert other.apply(shape(tasks=2, adjacency="rack"), operation_id="x").revision == 2


@pytest.mark.parametrize("damage", ["truncated", "format", "kind", "empty"])
def test_damaged_snapshot_gives_coded_error(operator, damage):
    data = operator.machine.snapshot()
    data = {
        "truncated": data[:-5],
        "format": data.replace(b"\xa6format\x01", b"\xa6format\x09"),
        "kind": data.replace(b"contract", b"contrast"),
        "empty": b"",
    }[damage]
    with pytest.raises(errors.MarjoramusherError) as caught:
        machine.RecordsMachine().restore(data)
    assert caught.value.code is errors.ErrorCode.STORE_CORRUPT


def test_configuration_of_a_revision_never_changes(operator):
    first = operator.machine.configuration
    operator.apply(contract("d"))
    assert list(first.contracts) == ["c"]
    assert operator.machine.configuration.accounts is first.accounts
    rebuilt = machine.RecordsMachine()
    rebuilt.restore(operator.machine.snapshot())
    assert rebuilt.configuration == operator.machine.configuration


@pytest.mark.parametrize("seed", range(5))
def test_bounded_history_agrees_with_a_full_one(seed):
    rng = random.Random(seed)
    full, bounded = history.History(limit=10_000), history.History(limit=10)
    keys = [(schema.Kind.DRAIN, f"r{n}") for n in range(7)]
    for revision in range(1, 201):
        changed_keys = rng.sample(keys, rng.randint(1, 3))
        entries = [
            (key, history.Entry(revision, 2, "o", 0.0, rng.choice([None, SPEC, SPEC])))
            for key in changed_keys
        ]
        full.append(entries)
        bounded.append(entries)
        if revision % 50 == 0:
            snapshot = bounded.dump()
            bounded = history.History(limit=10)
            bounded.load(snapshot)
        assert bounded.count == len(full.at(revision))
        for earlier in range(bounded.oldest_revision, revision + 1):
            assert bounded.at(earlier) == full.at(earlier)
            changed = bounded.changed_since(earlier)
            assert dict(changed) == dict(full.changed_since(earlier))
        # Besides the limit, each record may keep its entry at the oldest revision.
        assert sum(len(bounded.versions(key)) for key in keys) <= 10 + len(keys)


SPEC = schema.Withdrawal2("a1")
