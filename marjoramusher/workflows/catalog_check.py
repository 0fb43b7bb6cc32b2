"""Check of a catalog before it is put into force."""

import collections
import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec

from ..core import finding
from . import catalog, permit

FINGERPRINT_DIGITS = 8  # tell keys of one account apart, and reveal none


def check(
    checked: catalog.Catalog,
    against: catalog.Catalog | None = None,
    accelerators: int | None = None,
) -> finding.Report:
    """Return the findings for a catalog, and what it changes.

    Parameters
    ----------
    against : Catalog or None
        Catalog in force.
    accelerators : int or None
        Accelerators of all workers, ``None`` if they are not known.
    """
    findings = [
        *(finding.error("", message) for message in catalog.validation_errors(checked)),
        *_queue_findings(checked),
        *_service_findings(checked),
        *_account_findings(checked),
        *_guarantee_findings(checked, accelerators),
    ]
    if against is None:
        return finding.Report(tuple(findings))
    differences = tuple(finding.differences(_entries(against), _entries(checked)))
    findings += _version_findings(checked, against)
    return finding.Report(tuple(findings), differences)


def _queue_findings(checked: catalog.Catalog) -> Iterator[finding.Finding]:
    standby = {service.name for service in checked.services if service.standby}
    for queue in checked.queues:
        entry = f"queue/{queue.name}"
        if not queue.host or ":" in queue.host:
            yield finding.warning(
                entry,
                f"host {queue.host!r} never matches: hosts of requests are compared "
                "without their port",
            )
        if queue.prefix and not queue.prefix.startswith("/"):
            yield finding.warning(
                entry, f"prefix {queue.prefix!r} never matches: paths start with /"
            )
        if queue.service in standby:
            yield finding.warning(entry, f"service {queue.service} is on standby")
        yield from _limit_findings(entry, queue)
    if not checked.queues:
        yield finding.warning("", "there are no queues, so no request matches")


def _limit_findings(entry: str, queue: catalog.Queue) -> Iterator[finding.Finding]:
    """Yield limits of a queue that contradict each other."""
    if queue.priority < 0:
        yield finding.warning(
            entry,
            f"priority {queue.priority} is placed before 0, but only 0 has headroom "
            "and guarantees",
        )
    if queue.slack_factor < 1 and queue.target_ms <= 0:
        yield finding.warning(
            entry,
            f"no workflow can meet its objective: slack_factor {queue.slack_factor:g} "
            f"is below 1 and target_ms {queue.target_ms} adds nothing",
        )
    elif queue.slack_factor < 0 or queue.target_ms < 0:
        yield finding.warning(
            entry,
            f"slack_factor {queue.slack_factor:g} or target_ms {queue.target_ms} is "
            "negative",
        )
    if queue.policy is not None:
        call_ms = queue.policy.call_ms(permit.MAX_QUERIED_WORKERS)
        if queue.policy.validity_ms <= call_ms:
            yield finding.warning(
                entry,
                f"permits last {queue.policy.validity_ms:g} ms, but the call for them "
                f"takes {call_ms:g} ms",
            )


def _service_findings(checked: catalog.Catalog) -> Iterator[finding.Finding]:
    used = {queue.service for queue in checked.queues}
    for service in checked.services:
        if service.name not in used and not service.standby:
            yield finding.warning(
                f"service/{service.name}", "no queue uses it, so its workers stay idle"
            )


def _account_findings(checked: catalog.Catalog) -> Iterator[finding.Finding]:
    counts = collections.Counter(account.name for account in checked.accounts)
    for name, count in counts.items():
        if count > 1:
            yield finding.warning(
                f"account/{name}",
                f"{count} entries have this name; the last one counts",
            )
    for account in checked.accounts:
        entry = f"account/{account.name}"
        if not account.keys:
            yield finding.warning(entry, "it has no keys, so no request belongs to it")
        if "" in account.keys:
            yield finding.warning(entry, "an empty key never matches")
        if len(set(account.keys)) < len(account.keys):
            yield finding.warning(entry, "it has the same key twice")


def _guarantee_findings(
    checked: catalog.Catalog, accelerators: int | None
) -> Iterator[finding.Finding]:
    has_urgent_queue = any(not queue.priority for queue in checked.queues)
    # The last entry of a name counts.
    accounts = {account.name: account for account in checked.accounts}.values()
    for account in accounts:
        entry = f"account/{account.name}"
        guaranteed = account.guaranteed_accelerators
        if guaranteed < 0:
            yield finding.warning(entry, f"its guarantee {guaranteed} is negative")
        elif guaranteed and not has_urgent_queue:
            yield finding.warning(
                entry,
                f"its guarantee of {guaranteed} accelerators never applies: no queue "
                "has priority 0",
            )
    total = sum(max(account.guaranteed_accelerators, 0) for account in accounts)
    if accelerators is not None and total > accelerators:
        yield finding.warning(
            "",
            f"the guarantees add up to {total} accelerators, but there are "
            f"{accelerators}",
        )


def _version_findings(
    checked: catalog.Catalog, against: catalog.Catalog
) -> Iterator[finding.Finding]:
    """Yield why a catalog would not replace the one in force."""
    if checked.version < against.version:
        yield finding.error(
            "", f"version {checked.version} is below {against.version} in force"
        )
    elif checked.version == against.version and checked != against:
        yield finding.error(
            "",
            f"version {checked.version} is in force already, with other contents",
        )


def _fingerprint(key: str) -> str:
    """Return a name for a key, which is a secret."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"sha256:{digest[:FINGERPRINT_DIGITS]}"


def _entries(of: catalog.Catalog) -> finding.Entries:
    """Return the entries by kind and name, with fingerprints of the keys."""
    entries: dict[tuple[str, str], dict[str, Any]] = {}
    for kind, items in (
        ("queue", of.queues),
        ("service", of.services),
        ("account", of.accounts),
    ):
        for item in items:
            fields = msgspec.structs.asdict(item)
            del fields["name"]
            if "keys" in fields:
                fields["keys"] = [_fingerprint(key) for key in fields["keys"]]
            if fields.get("policy") is not None:
                fields["policy"] = msgspec.structs.asdict(fields["policy"])
            entries[kind, item.name] = fields
    return entries
