"""Evaluate a command against the current records without writing anything."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from ..core import errors
from . import command, document, history, schema, view, violation

MAX_DOCUMENTS = 1000
MAX_RECORDS = 16_384
# The homes of deleted accounts are kept, so the number of names must be bounded too.
MAX_ACCOUNT_NAMES = 10_000


class Write(msgspec.Struct, frozen=True):
    """New state of one record.

    Parameters
    ----------
    spec : struct or None
        ``None`` if the record is deleted or the document is not valid.
    references : dict of str to str
        Fields that refer to a client account or a failure domain, with their values.
    is_valid : bool
        Whether the document violates no rule that can be checked without the other
        records.
    """

    key: document.Key
    schema: int
    spec: schema.Spec | None
    references: dict[str, str] = {}
    is_valid: bool = True

    @property
    def is_deletion(self) -> bool:
        """Tell whether the record is deleted."""
        return self.is_valid and self.spec is None


class Evaluation(msgspec.Struct, frozen=True):
    """Writes that a command would make, or the error that refuses it.

    Parameters
    ----------
    writes : tuple of Write
        Writes that change a record; empty if there is an error.
    unchanged : tuple of Key
        Records that the command names and that already have the requested state.
    """

    writes: tuple[Write, ...] = ()
    unchanged: tuple[document.Key, ...] = ()
    error: errors.ErrorBody | None = None


def evaluate(
    cmd: command.Command, record_history: history.History, homes: Mapping[str, str]
) -> Evaluation:
    """Return the writes that a command would make.

    Parameters
    ----------
    homes : mapping of str to str
        Home of each client account that exists or has been deleted, by name.
    """
    if isinstance(cmd, command.Rollback):
        return _evaluate_rollback(cmd, record_history, homes)
    return _evaluate_apply(cmd, record_history, homes)


def _evaluate_apply(
    cmd: command.Apply, record_history: history.History, homes: Mapping[str, str]
) -> Evaluation:
    if not 1 <= len(cmd.documents) <= MAX_DOCUMENTS:
        return Evaluation(
            error=violation.invalid_record_error(
                [
                    violation.Violation(
                        "records",
                        "",
                        violation.Rule.LIMIT,
                        f"a change has 1 to {MAX_DOCUMENTS} records, not "
                        f"{len(cmd.documents)}",
                    )
                ]
            )
        )
    violations: list[violation.Violation] = []
    conflicts: dict[str, violation.Violation] = {}
    current_records: list[view.Record] = []
    writes: dict[document.Key, Write] = {}
    for position, raw in enumerate(cmd.documents):
        parsed, document_violations = document.parse(raw, position)
        violations.extend(document_violations)
        if parsed is None:
            continue
        key = parsed.key
        if key in writes:
            violations.append(
                _violation(
                    key,
                    "name",
                    violation.Rule.DUPLICATE,
                    "the record is given twice",
                )
            )
            continue
        old = record_history.current(key)
        old_spec = None if old is None else old.spec
        version = 0 if old is None else old.revision
        spec = parsed.spec
        if parsed.replaces != version:
            conflicts[document.label(key)] = _version_violation(parsed, version)
            if old is not None:
                current_records.append(
                    view.record(key, old, _supported_schema(parsed.schema))
                )
        elif parsed.is_valid and spec is not None:
            spec = schema.merge(key[0], parsed.schema, spec, old_spec)
            violations.extend(
                _violation(key, f"spec.{field}", rule, message)
                for field, rule, message in schema.find_inconsistencies(
                    parsed.schema, spec, old_spec
                )
            )
            violations.extend(_find_contract_moves(key, spec, old_spec))
        elif parsed.is_valid and old_spec is not None and parsed.schema == 1:
            violations.extend(_find_fields_erased_by_deletion(key, old_spec))
        violations.extend(
            _find_unknown_failure_domains(parsed, old_spec, cmd.failure_domains)
        )
        writes[key] = Write(
            key, parsed.schema, spec, parsed.references, parsed.is_valid
        )
    violations.extend(
        cross_violation
        for cross_violation in _find_cross_record_violations(
            writes, record_history, homes
        )
        # Of a record with an outdated version, the conflict is reported instead.
        if cross_violation.record not in conflicts
    )
    if violations:
        return Evaluation(
            error=violation.invalid_record_error([*violations, *conflicts.values()])
        )
    if conflicts:
        return Evaluation(
            error=violation.version_conflict_error(
                list(conflicts.values()), current_records
            )
        )
    return _separate_unchanged(writes.values(), record_history)


def _evaluate_rollback(
    cmd: command.Rollback, record_history: history.History, homes: Mapping[str, str]
) -> Evaluation:
    if cmd.replaces_revision != record_history.revision:
        return Evaluation(
            error=errors.ErrorBody(
                errors.ErrorCode.VERSION_CONFLICT,
                errors.Outcome.NOT_RUN,
                f"revision {record_history.revision} is in force, not "
                f"{cmd.replaces_revision}",
                {"revision": str(record_history.revision)},
            )
        )
    try:
        restored_records = record_history.at(cmd.to_revision)
    except errors.MarjoramusherError as error:
        return Evaluation(error=error.body())
    current_records = dict(record_history.items())
    keys: Iterable[document.Key] = dict.fromkeys((*restored_records, *current_records))
    if cmd.only:
        keys = dict.fromkeys((reference.kind, reference.name) for reference in cmd.only)
        unknown = [
            key
            for key in keys
            if key not in restored_records and key not in current_records
        ]
        if unknown:
            return Evaluation(
                error=errors.ErrorBody(
                    errors.ErrorCode.NOT_FOUND,
                    errors.Outcome.NOT_RUN,
                    f"there is no {document.label(unknown[0])} at either revision",
                )
            )
    writes = {}
    for key in keys:
        entry = restored_records.get(key)
        if entry is None:
            writes[key] = Write(key, schema.LATEST, None)
        else:
            writes[key] = Write(key, entry.schema, entry.spec, _references(entry.spec))
    violations = list(_find_cross_record_violations(writes, record_history, homes))
    if violations:
        return Evaluation(error=violation.invalid_record_error(violations))
    return _separate_unchanged(writes.values(), record_history)


def _separate_unchanged(
    writes: Iterable[Write], record_history: history.History
) -> Evaluation:
    changed, unchanged = [], []
    for write in writes:
        old = record_history.current(write.key)
        if (None if old is None else old.spec) == write.spec:
            unchanged.append(write.key)
        else:
            changed.append(write)
    return Evaluation(tuple(changed), tuple(unchanged))


def _version_violation(parsed: document.Document, version: int) -> violation.Violation:
    if version == 0:
        message = f"version {parsed.replaces} is to be replaced, but there is no record"
    elif parsed.replaces == 0:
        message = f"the record exists with version {version}"
    else:
        message = f"version {version} is current, not {parsed.replaces}"
    return _violation(parsed.key, "replaces", violation.Rule.VERSION, message)


def _supported_schema(schema_number: int) -> int:
    return schema_number if schema_number in schema.SCHEMAS else schema.LATEST


def _find_contract_moves(
    key: document.Key, spec: schema.Spec, old_spec: schema.Spec | None
) -> Iterator[violation.Violation]:
    if key[0] is not schema.Kind.CONTRACT or old_spec is None:
        return
    for field in ("account", "failure_domain"):
        if getattr(spec, field) != getattr(old_spec, field):
            yield _violation(
                key,
                f"spec.{field}",
                violation.Rule.IMMUTABLE,
                "jobs of the contract and their keys stay where it is, so a resent "
                "job would start twice; write another contract",
            )


def _find_fields_erased_by_deletion(
    key: document.Key, old_spec: schema.Spec
) -> Iterator[violation.Violation]:
    newer_fields = schema.newer_fields(key[0], old_spec)
    if newer_fields:
        yield _violation(
            key,
            "delete",
            violation.Rule.CONTRADICTS_NEWER_SCHEMA,
            f"the deletion would erase {', '.join(newer_fields)}, which was set with "
            "schema 2, so delete with schema 2",
        )


def _find_unknown_failure_domains(
    parsed: document.Document,
    old_spec: schema.Spec | None,
    known_domains: tuple[str, ...],
) -> Iterator[violation.Violation]:
    # An unchanged failure domain is not checked, since the proposer may not know it at
    # the moment.
    for field in ("failure_domain", "home"):
        name = parsed.references.get(field)
        if (
            name is None
            or name in known_domains
            or name == getattr(old_spec, field, None)
        ):
            continue
        yield _violation(
            parsed.key,
            f"spec.{field}",
            violation.Rule.REFERENCE,
            f"failure domain {name[:128]!r} is not known; known are "
            f"{', '.join(known_domains)}",
        )


def _find_cross_record_violations(
    writes: Mapping[document.Key, Write],
    record_history: history.History,
    homes: Mapping[str, str],
) -> Iterator[violation.Violation]:
    deleted_accounts = set()
    new_account_names = 0
    growth = 0
    for key, write in writes.items():
        kind, name = key
        growth += (not write.is_deletion) - (record_history.current(key) is not None)
        if kind is schema.Kind.CLIENT_ACCOUNT:
            if write.is_deletion:
                deleted_accounts.add(name)
                continue
            new_account_names += name not in homes
            home = homes.get(name)
            if home is not None and write.references.get("home", home) != home:
                yield _violation(
                    key,
                    "spec.home",
                    violation.Rule.IMMUTABLE,
                    f"the home of the account is {home!r} and never changes, since it "
                    "owns the account's idempotency claims",
                )
            continue
        account = write.references.get("account")
        if account is not None and not write.is_deletion:
            account_write = writes.get((schema.Kind.CLIENT_ACCOUNT, account))
            if account_write is None:
                is_missing = (
                    record_history.current((schema.Kind.CLIENT_ACCOUNT, account))
                    is None
                )
            else:
                is_missing = account_write.is_deletion
            if is_missing:
                yield _violation(
                    key,
                    "spec.account",
                    violation.Rule.REFERENCE,
                    f"there is no client account {account[:128]!r}",
                )
    if deleted_accounts:
        yield from _find_references_to(deleted_accounts, writes, record_history)
    if new_account_names and len(homes) + new_account_names > MAX_ACCOUNT_NAMES:
        yield violation.Violation(
            "records",
            "name",
            violation.Rule.LIMIT,
            f"at most {MAX_ACCOUNT_NAMES} names of client accounts can be used",
        )
    if growth > 0 and record_history.count + growth > MAX_RECORDS:
        yield violation.Violation(
            "records",
            "",
            violation.Rule.LIMIT,
            f"at most {MAX_RECORDS} records can exist",
        )


def _find_references_to(
    accounts: set[str],
    writes: Mapping[document.Key, Write],
    record_history: history.History,
) -> Iterator[violation.Violation]:
    for key, entry in record_history.items():
        account = getattr(entry.spec, "account", None)
        if account in accounts and key not in writes:
            yield _violation(
                (schema.Kind.CLIENT_ACCOUNT, account),
                "name",
                violation.Rule.IN_USE,
                f"{document.label(key)} refers to the account",
            )


def _references(spec: schema.Spec) -> dict[str, str]:
    return {
        field: getattr(spec, field)
        for field in schema.REFERENCE_FIELDS
        if hasattr(spec, field)
    }


def _violation(
    key: document.Key, field: str, rule: violation.Rule, message: str
) -> violation.Violation:
    return violation.Violation(document.label(key), field, rule, message)
