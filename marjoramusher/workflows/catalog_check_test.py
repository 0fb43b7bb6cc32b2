"""Guards against catalogs that are accepted, though parts of them have no effect."""

import pytest

from marjoramusher.core import finding
from marjoramusher.workflows import catalog, catalog_check

QUEUE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}
ACCOUNT = catalog.Account("a", ("k",), 8)
SERVICE = catalog.Service("s")


def make(version=3, services=(SERVICE,), accounts=(ACCOUNT,), **fields):
    queue = catalog.Queue(**{**QUEUE, **fields})
    return catalog.Catalog(version, (queue,), services, accounts)


def messages(checked, **fields):
    return [x.message for x in catalog_check.check(checked, **fields).findings]


def test_a_sound_catalog_has_no_findings():
    report = catalog_check.check(make(), accelerators=8)
    assert report == finding.Report(())


@pytest.mark.parametrize(
    "checked, message",
    [
        (make(host="h:80"), "never matches: hosts"),
        (make(prefix="q/"), "never matches: paths"),
        (make(services=(catalog.Service("s", standby=True),)), "s is on standby"),
        (make(services=(SERVICE, catalog.Service("t"))), "no queue uses it"),
        (make(priority=-1, accounts=()), "priority -1"),
        (make(slack_factor=0.5), "no workflow can meet its objective"),
        (make(target_ms=-5), "is negative"),
        (make(policy=catalog.Policy(200.0, 5.0, 200.0)), "permits last 200 ms"),
        (make(accounts=(catalog.Account("a"),)), "it has no keys"),
        (make(accounts=(catalog.Account("a", ("k", "k")),)), "the same key twice"),
        (make(accounts=(catalog.Account("a", ("",)),)), "an empty key"),
        (make(accounts=(ACCOUNT, catalog.Account("a", ("l",)))), "the last one counts"),
        (make(accounts=(catalog.Account("a", ("k",), -1),)), "is negative"),
        (make(priority=1), "never applies: no queue has priority 0"),
    ],
)
def test_what_has_no_effect_is_a_warning(checked, message):
    report = catalog_check.check(checked)
    assert len(report.findings) == 1
    assert message in report.findings[0].message
    assert not report.has_errors


def test_errors_are_those_for_which_the_system_refuses_the_catalog():
    refused = make(version=0, service="x", accounts=(ACCOUNT, ACCOUNT))
    report = catalog_check.check(refused)
    found = [x.message for x in report.findings if x.severity is finding.Severity.ERROR]
    assert found == list(catalog.validation_errors(refused))
    assert report.has_errors


def test_guarantees_are_compared_with_the_capacity():
    assert messages(make(), accelerators=7) == [
        "the guarantees add up to 8 accelerators, but there are 7"
    ]


@pytest.mark.parametrize(
    "version, fields, message",
    [
        (2, {}, "version 2 is below 3 in force"),
        (3, {"priority": 0, "timeout_ms": 9}, "is in force already"),
    ],
)
def test_a_catalog_that_would_not_replace_the_one_in_force_is_an_error(
    version, fields, message
):
    assert message in messages(make(version, **fields), against=make())[0]


def test_differences_show_no_keys():
    """Guards against keys of accounts in the logs of a pipeline."""
    account = catalog.Account("a", ("secret",), 8)
    after = make(4, accounts=(account,), max_attempts=2)
    differences = catalog_check.check(after, make()).differences
    assert [(x.action, x.kind, x.fields) for x in differences] == [
        ("update", "account", ("keys",)),
        ("update", "queue", ("max_attempts",)),
    ]
    assert "secret" not in repr(differences)
    assert differences[0].before != differences[0].after
