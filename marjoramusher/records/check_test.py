"""Guards the check of records against rules that differ from those of the servers."""

import datetime

import pytest

from marjoramusher.core import errors
from marjoramusher.records import check

NOW = datetime.datetime(2027, 1, 1, tzinfo=datetime.UTC)
LIMITS = check.Limits({}, NOW)
ACCOUNT = {"kind": "client_account", "name": "acme", "spec": {"home": "a"}}
CONTRACT = {
    "kind": "contract",
    "name": "c",
    "spec": {
        "account": "acme",
        "failure_domain": "a",
        "expires_at": "2028-01-01T00:00:00Z",
    },
}
SHAPE = {
    "kind": "guaranteed_shape",
    "name": "g",
    "spec": {"account": "acme", "failure_domain": "a", "gangs": 2, "accelerators": 8},
}
RECORDS = [ACCOUNT, CONTRACT, SHAPE]
IN_FORCE = [
    {**record, "schema": 2, "version": 7, "operator": "o", "written_at": "2026"}
    for record in RECORDS
]


def changed(record, **fields):
    return {**record, "spec": {**record["spec"], **fields}}


def found(records, against=None, limits=LIMITS):
    report = check.check(records, against, limits)
    return [(x.severity.value, x.entry, x.message) for x in report.findings]


def test_records_are_sound_as_they_are_written_or_read():
    assert found(RECORDS) == found(IN_FORCE) == []


@pytest.mark.parametrize(
    "record, entry, message",
    [
        (changed(ACCOUNT, weight=0), "client_account/acme", "spec.weight"),
        (changed(ACCOUNT, other=1), "client_account/acme", "unknown field"),
        (changed(SHAPE, account="x", gangs=1), "guaranteed_shape/g", "spec.account"),
        (changed(SHAPE, tasks=3), "guaranteed_shape/g", "divided evenly"),
        ("text", "records[3]", "must be an object"),
    ],
)
def test_what_the_servers_refuse_is_an_error(record, entry, message):
    name = record["name"] if isinstance(record, dict) else ""
    others = [each for each in RECORDS if each["name"] != name]
    [(severity, found_entry, found_message)] = found([*others, record])
    assert (severity, found_entry) == ("error", entry)
    assert message in found_message


def test_records_without_effect_are_warnings():
    expired = changed(CONTRACT, expires_at="2026-01-01T00:00:00Z")
    warnings = found([ACCOUNT, expired, SHAPE])
    assert [(severity, entry) for severity, entry, _ in warnings] == [
        ("warning", "contract/c"),
        ("warning", "guaranteed_shape/g"),
    ]


def test_guarantees_are_compared_with_the_capacity_of_their_domain():
    assert found(RECORDS, limits=check.Limits({"a": 16}, NOW)) == []
    [(severity, _, message)] = found(RECORDS, limits=check.Limits({"a": 15}, NOW))
    assert severity == "warning"
    assert "16 accelerators, but there are 15" in message
    assert found(RECORDS, limits=check.Limits({"b": 99}, NOW))[0][0] == "error"


def test_a_change_is_checked_against_the_records_in_force():
    shape = {**changed(SHAPE, gangs=3), "replaces": 7}
    report = check.check([shape], IN_FORCE, LIMITS)
    assert report.findings == ()
    [difference] = report.differences
    assert (difference.action, difference.fields) == ("update", ("gangs",))
    deletion = {"kind": "contract", "name": "c", "replaces": 7, "delete": True}
    report = check.check([deletion], IN_FORCE, LIMITS)
    assert [each.entry for each in report.findings] == ["guaranteed_shape/g"]
    assert [each.action for each in report.differences] == ["delete"]


@pytest.mark.parametrize(
    "record", [{**SHAPE, "replaces": 6}, {**changed(ACCOUNT, home="b"), "replaces": 7}]
)
def test_outdated_versions_and_immutable_fields_are_errors(record):
    assert found([record], IN_FORCE)[0][0] == "error"


def test_unreadable_records_in_force_are_no_finding():
    with pytest.raises(errors.BadRequestError):
        found(RECORDS, [{"kind": "x"}])
