"""Guards the check of records against rules that differ from those of the servers."""

import datetime

import pytest

from marjoramusher.core import errors
from marjoramusher.records import check

NOW = datetime.datetime(2027, 1, 1, tzinfo=datetime.UTC)
TERM = {"account": "acme", "failure_domain": "a", "expires_at": "2028-01-01T00:00:00Z"}
SIZE = {"account": "acme", "failure_domain": "a", "gangs": 2, "accelerators": 8}
ACCOUNT = {"kind": "client_account", "name": "acme", "spec": {"home": "a"}}
CONTRACT = {"kind": "contract", "name": "c", "spec": TERM}
SHAPE = {"kind": "guaranteed_shape", "name": "g", "spec": SIZE}
RECORDS = [ACCOUNT, CONTRACT, SHAPE]
IN_FORCE = [{**each, "schema": 2, "version": 7, "operator": "o"} for each in RECORDS]


def changed(record, **fields):
    return {**record, "replaces": 7, "spec": {**record["spec"], **fields}}


def found(records, against=None, **accelerators):
    report = check.check(records, against, check.Limits(accelerators, NOW))
    return [(x.severity.value, x.entry, x.message) for x in report.findings]


def test_records_are_sound_as_they_are_written_or_read():
    assert found(RECORDS) == found(IN_FORCE) == found(RECORDS, a=16) == []


@pytest.mark.parametrize(
    "record, message",
    [
        (changed(ACCOUNT, weight=0), "spec.weight"),
        (changed(SHAPE, account="x"), "spec.account"),
        (changed(SHAPE, tasks=3), "divided evenly"),
    ],
)
def test_what_the_servers_refuse_is_an_error(record, message):
    others = [each for each in RECORDS if each["name"] != record["name"]]
    for [finding] in found([*others, record]), found([record], IN_FORCE):
        assert finding[:2] == ("error", f"{record['kind']}/{record['name']}")
        assert message in finding[2]


def test_records_without_effect_and_too_large_guarantees_are_warnings():
    expired = changed(CONTRACT, expires_at="2026-01-01T00:00:00Z")
    warnings = found([ACCOUNT, expired, SHAPE], a=15)
    assert [(severity, entry) for severity, entry, _ in warnings] == [
        ("warning", "contract/c"),
        ("warning", "guaranteed_shape/g"),
        ("warning", ""),
    ]


def test_a_change_is_checked_against_the_records_in_force():
    deletion = {"kind": "contract", "name": "c", "replaces": 7, "delete": True}
    change = [deletion, changed(SHAPE, gangs=3)]
    report = check.check(change, IN_FORCE, check.Limits({}, NOW))
    assert [each.entry for each in report.findings] == ["guaranteed_shape/g"]
    assert [each.action for each in report.differences] == ["delete", "update"]
    for refused in {**SHAPE, "replaces": 6}, changed(ACCOUNT, home="b"):
        assert found([refused], IN_FORCE)[0][0] == "error"
    with pytest.raises(errors.BadRequestError):
        found(RECORDS, [{"kind": "x"}])
