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


@pytest.mark.parametrize(
    "checked, message",
    [
        (make(host="h:80"), "never matches: hosts"),
        (make(prefix="q/"), "never matches: paths"),
        (make(services=(catalog.Service("s", standby=True),)), "s is on standby"),
        (make(services=(SERVICE, catalog.Service("t"))), "no queue uses it"),
        (make(priority=-1, accounts=()), "priority -1"),
        (make(slack_factor=0.5), "no workflow can meet its objective"),
        (make(policy=catalog.Policy(200.0, 5.0, 200.0)), "permits last 200 ms"),
        (make(accounts=(catalog.Account("a"),)), "it has no keys"),
        (make(accounts=(catalog.Account("a", ("k", "k")),)), "the same key twice"),
        (make(accounts=(ACCOUNT, catalog.Account("a", ("l",)))), "the last one counts"),
        (make(priority=1), "never applies: no queue has priority 0"),
        (make(accounts=(catalog.Account("a", ("k",), 9),)), "add up to 9"),
    ],
)
def test_what_has_no_effect_is_a_warning(checked, message):
    assert catalog_check.check(make(), accelerators=8) == finding.Report(())
    report = catalog_check.check(checked, accelerators=8)
    assert len(report.findings) == 1
    assert message in report.findings[0].message
    assert not report.has_errors


def test_errors_are_those_for_which_the_system_refuses_the_catalog():
    refused = make(version=2, service="x", accounts=(ACCOUNT, catalog.Account("b")))
    report = catalog_check.check(refused, make())
    severity = finding.Severity.ERROR
    assert [x.message for x in report.findings if x.severity is severity] == [
        *catalog.validation_errors(refused),
        "version 2 is below 3 in force",
    ]
    assert catalog_check.check(make(timeout_ms=9), make()).has_errors


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
