"""Check of records before they are written, with the rules of the records group."""

import datetime
import json
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from ..core import codec, errors, finding
from . import change, command, document, history, schema, violation

# Fields by which a record that was read differs from a document that is written.
READ_FIELDS = frozenset({"version", "operator", "written_at"})


class Limits(msgspec.Struct, frozen=True):
    """What is known of the system beside its records.

    Parameters
    ----------
    accelerators : mapping of str to int
        Accelerators of the workers by failure domain. Other domains are unknown to the
        system if there are any.
    now : datetime.datetime
        Time at which contracts must not have expired, in UTC.
    """

    accelerators: Mapping[str, int]
    now: datetime.datetime


def check(
    records: Sequence[Any], against: Sequence[Any] | None, limits: Limits
) -> finding.Report:
    """Return the findings for records, and what they change.

    Parameters
    ----------
    records : sequence of JSON values
        Records to write. Without `against` they are all records there are.
    against : sequence of JSON values or None
        Records in force, as they were read. `records` have to name their versions.

    Raises
    ------
    BadRequestError
        If the records in force can't be decoded.
    """
    if against is None:
        documents = [_as_created(value) for value in records]
    else:
        documents = [_as_written(value) for value in records]
    in_force = _history(against or ())
    current = {key: entry.spec for key, entry in in_force.items()}
    evaluation = change.evaluate(
        command.Apply(
            "check",
            "check",
            limits.now.timestamp(),
            tuple(sorted(limits.accelerators or _failure_domains(documents, current))),
            tuple(json.dumps(value).encode() for value in documents),
        ),
        in_force,
        {
            name: spec.home
            for (kind, name), spec in current.items()
            if kind is schema.Kind.CLIENT_ACCOUNT
        },
    )
    if evaluation.error is not None:
        return finding.Report(tuple(_errors(evaluation.error)))
    resulting = dict(current)
    for write in evaluation.writes:
        if write.is_deletion:
            resulting.pop(write.key, None)
        else:
            resulting[write.key] = write.spec
    findings = tuple(_warnings(resulting, limits))
    if against is None:
        return finding.Report(findings)
    differences = finding.differences(_entries(current), _entries(resulting))
    return finding.Report(findings, tuple(differences))


def _as_written(value: Any) -> Any:
    """Return a document that replaces the version that was read."""
    if not isinstance(value, dict) or not READ_FIELDS & value.keys():
        return value
    written = {key: part for key, part in value.items() if key not in READ_FIELDS}
    return {"replaces": value.get("version"), **written}


def _as_created(value: Any) -> Any:
    """Return a document that creates its record."""
    return {**_as_written(value), "replaces": 0} if isinstance(value, dict) else value


def _history(records: Sequence[Any]) -> history.History:
    """Return the history of records that were read.

    Raises
    ------
    BadRequestError
        If one of them can't be decoded.
    """
    loaded = history.History()
    entries: list[tuple[document.Key, history.Entry]] = []
    for position, value in enumerate(records):
        raw = json.dumps(_as_written(value)).encode()
        parsed, violations = document.parse(raw, position)
        if parsed is None or violations:
            first = violations[0]
            raise errors.BadRequestError(
                f"record in force: {first.record}: {first.field} {first.message}"
            )
        if parsed.spec is not None:
            spec = schema.merge(parsed.key[0], parsed.schema, parsed.spec, None)
            version = max(parsed.replaces, 1)
            entry = history.Entry(version, parsed.schema, "", 0.0, spec)
            entries.append((parsed.key, entry))
    loaded.append(sorted(entries, key=lambda item: item[1].revision))
    return loaded


def _failure_domains(
    documents: Sequence[Any], current: Mapping[document.Key, schema.Spec]
) -> Collection[str]:
    """Return all failure domains that records name."""
    specs = [
        *(value.get("spec") for value in documents if isinstance(value, dict)),
        *(msgspec.to_builtins(spec) for spec in current.values()),
    ]
    return {
        spec[field]
        for spec in specs
        if isinstance(spec, dict)
        for field in ("failure_domain", "home")
        if isinstance(spec.get(field), str)
    }


def _errors(error: errors.ErrorBody) -> Iterator[finding.Finding]:
    details = error.details or {}
    if "faults" not in details:
        yield finding.error("", error.message)
        return
    faults = codec.from_json(details["faults"].encode(), list[violation.Violation])
    for fault in faults:
        message = f"{fault.field}: {fault.message}" if fault.field else fault.message
        yield finding.error(fault.record, message)
    omitted = int(details["fault_count"]) - len(faults)
    if omitted > 0:
        yield finding.error("", f"and {omitted} more")


def _warnings(
    records: Mapping[document.Key, schema.Spec], limits: Limits
) -> Iterator[finding.Finding]:
    """Yield records that take no effect, and guarantees that can't be honored."""
    contracts: set[tuple[str, str]] = set()
    for key, spec in records.items():
        if key[0] is not schema.Kind.CONTRACT:
            continue
        if spec.expires_at > limits.now:
            contracts.add((spec.account, spec.failure_domain))
        else:
            yield finding.warning(
                document.label(key), f"it has expired at {spec.expires_at.isoformat()}"
            )
    guaranteed: dict[str, int] = {}
    for key, spec in records.items():
        if key[0] is not schema.Kind.GUARANTEED_SHAPE:
            continue
        domain = spec.failure_domain
        total = guaranteed.get(domain, 0) + spec.gangs * spec.accelerators
        guaranteed[domain] = total
        if (spec.account, domain) not in contracts:
            yield finding.warning(
                document.label(key),
                f"it never applies: {spec.account} has no contract in {domain} that "
                "has not expired",
            )
    for domain, total in guaranteed.items():
        capacity = limits.accelerators.get(domain)
        if capacity is not None and total > capacity:
            yield finding.warning(
                "",
                f"the guarantees in {domain} add up to {total} accelerators, but there "
                f"are {capacity}",
            )


def _entries(records: Mapping[document.Key, schema.Spec]) -> finding.Entries:
    return {
        (kind.value, name): msgspec.to_builtins(spec)
        for (kind, name), spec in records.items()
    }
