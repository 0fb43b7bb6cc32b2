"""Decide what a command writes, without writing it."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from ..core import errors
from . import command, document, history, schema, view, violation

MAX_DOCUMENTS = 1000
MAX_RECORDS = 16_384
# Homes of deleted accounts are kept too, so names can't be used without bound.
MAX_ACCOUNT_NAMES = 10_000


class Write(msgspec.Struct, frozen=True):
    """New state of one record.

    Parameters
    ----------
    spec : struct or None
        ``None`` if the record is deleted or the document is not `sound`.
    names : dict of str to str
        Fields of the document that name a client account or a failure domain.
    """

    key: document.Key
    schema: int
    spec: schema.Spec | None
    names: dict[str, str] = {}
    sound: bool = True

    @property
    def deletes(self) -> bool:
        """Tell whether the record is deleted."""
        return self.sound and self.spec is None


class Change(msgspec.Struct, frozen=True):
    """What a command comes to.

    Parameters
    ----------
    writes : tuple of Write
        Only records that differ from what they were; empty if there is an error.
    unchanged : tuple of Key
        Records that the command names and that already are as it wants them.
    """

    writes: tuple[Write, ...] = ()
    unchanged: tuple[document.Key, ...] = ()
    error: errors.ErrorBody | None = None


def evaluate(
    asked: command.Command, past: history.History, homes: Mapping[str, str]
) -> Change:
    """Return what a command writes.

    Parameters
    ----------
    homes : mapping of str to str
        Home of every client account that ever was.
    """
    if isinstance(asked, command.Rollback):
        return _evaluate_rollback(asked, past, homes)
    return _evaluate_apply(asked, past, homes)


def _evaluate_apply(
    asked: command.Apply, past: history.History, homes: Mapping[str, str]
) -> Change:
    if not 1 <= len(asked.documents) <= MAX_DOCUMENTS:
        return Change(
            error=violation.invalid(
                [
                    violation.Fault(
                        "records",
                        "",
                        violation.Rule.LIMIT,
                        f"a change has 1 to {MAX_DOCUMENTS} records, not "
                        f"{len(asked.documents)}",
                    )
                ]
            )
        )
    faults: list[violation.Fault] = []
    conflicts: dict[str, violation.Fault] = {}
    current: list[view.Record] = []
    writes: dict[document.Key, Write] = {}
    for position, raw in enumerate(asked.documents):
        parsed, found = document.parse(raw, position)
        faults.extend(found)
        if parsed is None:
            continue
        key = parsed.key
        if key in writes:
            faults.append(
                _fault(
                    key, "name", violation.Rule.DUPLICATE, "the record is given twice"
                )
            )
            continue
        old = past.current(key)
        before = None if old is None else old.spec
        version = 0 if old is None else old.revision
        spec = parsed.spec
        if parsed.replaces != version:
            conflicts[document.label(key)] = _version_fault(parsed, version)
            if old is not None:
                current.append(view.record(key, old, _readable(parsed.schema)))
        elif parsed.sound and spec is not None:
            spec = schema.merge(key[0], parsed.schema, spec, before)
            faults.extend(
                _fault(key, f"spec.{field}", rule, message)
                for field, rule, message in schema.problems_of(
                    parsed.schema, spec, before
                )
            )
            faults.extend(_move_faults(key, spec, before))
        elif parsed.sound and before is not None and parsed.schema == 1:
            faults.extend(_erasure_faults(key, before))
        faults.extend(_domain_faults(parsed, before, asked.failure_domains))
        writes[key] = Write(key, parsed.schema, spec, parsed.names, parsed.sound)
    faults.extend(
        found
        for found in _relation_faults(writes, past, homes)
        if found.record not in conflicts
    )
    if faults:
        return Change(error=violation.invalid([*faults, *conflicts.values()]))
    if conflicts:
        return Change(error=violation.conflict(list(conflicts.values()), current))
    return _without_unchanged(writes.values(), past)


def _evaluate_rollback(
    asked: command.Rollback, past: history.History, homes: Mapping[str, str]
) -> Change:
    if asked.replaces_revision != past.revision:
        return Change(
            error=errors.ErrorBody(
                errors.ErrorCode.VERSION_CONFLICT,
                errors.Outcome.NOT_RUN,
                f"revision {past.revision} is in force, not {asked.replaces_revision}",
                {"revision": str(past.revision)},
            )
        )
    try:
        target = past.at(asked.to_revision)
    except errors.MarjoramusherError as error:
        return Change(error=error.body())
    present = dict(past.items())
    keys: Iterable[document.Key] = dict.fromkeys((*target, *present))
    if asked.only:
        keys = dict.fromkeys((one.kind, one.name) for one in asked.only)
        unknown = [key for key in keys if key not in target and key not in present]
        if unknown:
            return Change(
                error=errors.ErrorBody(
                    errors.ErrorCode.NOT_FOUND,
                    errors.Outcome.NOT_RUN,
                    f"there is no {document.label(unknown[0])} at either revision",
                )
            )
    writes = {}
    for key in keys:
        entry = target.get(key)
        if entry is None:
            writes[key] = Write(key, schema.LATEST, None)
        else:
            writes[key] = Write(key, entry.schema, entry.spec, _names(entry.spec))
    faults = list(_relation_faults(writes, past, homes))
    if faults:
        return Change(error=violation.invalid(faults))
    return _without_unchanged(writes.values(), past)


def _without_unchanged(writes: Iterable[Write], past: history.History) -> Change:
    changed, unchanged = [], []
    for write in writes:
        old = past.current(write.key)
        if (None if old is None else old.spec) == write.spec:
            unchanged.append(write.key)
        else:
            changed.append(write)
    return Change(tuple(changed), tuple(unchanged))


def _version_fault(parsed: document.Document, version: int) -> violation.Fault:
    if version == 0:
        message = f"version {parsed.replaces} is to be replaced, but there is no record"
    elif parsed.replaces == 0:
        message = f"the record exists with version {version}"
    else:
        message = f"version {version} is current, not {parsed.replaces}"
    return _fault(parsed.key, "replaces", violation.Rule.VERSION, message)


def _readable(number: int) -> int:
    return number if number in schema.SCHEMAS else schema.LATEST


def _move_faults(
    key: document.Key, spec: schema.Spec, before: schema.Spec | None
) -> Iterator[violation.Fault]:
    if key[0] is not schema.Kind.CONTRACT or before is None:
        return
    for field in ("account", "failure_domain"):
        if getattr(spec, field) != getattr(before, field):
            yield _fault(
                key,
                f"spec.{field}",
                violation.Rule.IMMUTABLE,
                "jobs of the contract and their keys stay where it is, so a resent "
                "job would start twice; write another contract",
            )


def _erasure_faults(
    key: document.Key, before: schema.Spec
) -> Iterator[violation.Fault]:
    newer = schema.newer_fields(key[0], before)
    if newer:
        yield _fault(
            key,
            "delete",
            violation.Rule.CONTRADICTS_NEWER_SCHEMA,
            f"the deletion would erase {', '.join(newer)}, which was set with schema "
            "2, so delete with schema 2",
        )


def _domain_faults(
    parsed: document.Document, before: schema.Spec | None, known: tuple[str, ...]
) -> Iterator[violation.Fault]:
    # An unchanged failure domain is not checked: the proposer may not see it now.
    for field in ("failure_domain", "home"):
        name = parsed.names.get(field)
        if name is None or name in known or name == getattr(before, field, None):
            continue
        yield _fault(
            parsed.key,
            f"spec.{field}",
            violation.Rule.REFERENCE,
            f"failure domain {name[:128]!r} is not known; known are {', '.join(known)}",
        )


def _relation_faults(
    writes: Mapping[document.Key, Write],
    past: history.History,
    homes: Mapping[str, str],
) -> Iterator[violation.Fault]:
    deleted_accounts = set()
    new_names = 0
    growth = 0
    for key, write in writes.items():
        kind, name = key
        growth += (not write.deletes) - (past.current(key) is not None)
        if kind is schema.Kind.CLIENT_ACCOUNT:
            if write.deletes:
                deleted_accounts.add(name)
                continue
            new_names += name not in homes
            home = homes.get(name)
            if home is not None and write.names.get("home", home) != home:
                yield _fault(
                    key,
                    "spec.home",
                    violation.Rule.IMMUTABLE,
                    f"the home of the account is {home!r} and never changes, since it "
                    "owns the account's idempotency claims",
                )
            continue
        account = write.names.get("account")
        if account is not None and not write.deletes:
            found = writes.get((schema.Kind.CLIENT_ACCOUNT, account))
            if found is None:
                missing = past.current((schema.Kind.CLIENT_ACCOUNT, account)) is None
            else:
                missing = found.deletes
            if missing:
                yield _fault(
                    key,
                    "spec.account",
                    violation.Rule.REFERENCE,
                    f"there is no client account {account[:128]!r}",
                )
    if deleted_accounts:
        yield from _in_use_faults(deleted_accounts, writes, past)
    if new_names and len(homes) + new_names > MAX_ACCOUNT_NAMES:
        yield violation.Fault(
            "records",
            "name",
            violation.Rule.LIMIT,
            f"at most {MAX_ACCOUNT_NAMES} names of client accounts can be used",
        )
    if growth > 0 and past.count + growth > MAX_RECORDS:
        yield violation.Fault(
            "records",
            "",
            violation.Rule.LIMIT,
            f"at most {MAX_RECORDS} records can exist",
        )


def _in_use_faults(
    accounts: set[str],
    writes: Mapping[document.Key, Write],
    past: history.History,
) -> Iterator[violation.Fault]:
    for key, entry in past.items():
        account = getattr(entry.spec, "account", None)
        if account in accounts and key not in writes:
            yield _fault(
                (schema.Kind.CLIENT_ACCOUNT, account),
                "name",
                violation.Rule.IN_USE,
                f"{document.label(key)} refers to the account",
            )


def _names(spec: schema.Spec) -> dict[str, str]:
    return {
        field: getattr(spec, field)
        for field in schema.REFERENCES
        if hasattr(spec, field)
    }


def _fault(
    key: document.Key, field: str, rule: violation.Rule, message: str
) -> violation.Fault:
    return violation.Fault(document.label(key), field, rule, message)
