"""Commands for operators' records."""

from typing import Any

import click

from ..core import errors
from ..records import schema
from . import calls, examples, output, session

KINDS = click.Choice([kind.value for kind in schema.Kind])
SCHEMAS = click.IntRange(1, 2)

pass_session = click.make_pass_decorator(session.Session)
operation_option = click.option(
    "--operation-id",
    default=calls.new_id,
    help="Id of this change. The same id with the same content is never applied "
    "twice, so a command with an unknown outcome can be run again with it.",
)
replaces_option = click.option(
    "--replaces",
    type=click.IntRange(1),
    help="Version that you have seen; default is the present one.",
)
schema_option = click.option(
    "--schema",
    "schema_number",
    type=SCHEMAS,
    default=schema.LATEST,
    show_default=True,
    help="Schema version to show.",
)
files_option = click.option(
    "-f",
    "--file",
    "files",
    type=click.File(encoding="utf-8"),
    multiple=True,
    help="JSON file, - for standard input; may be repeated. It holds one record, a "
    'list, {"records": [...]} or several of these.',
)


@click.command(
    "apply",
    epilog=examples.of(
        "marjoramusher apply -f accounts.json -f contracts.json",
        "marjoramusher apply -f accounts.json --dry-run",
        'echo \'{"kind": "service", "name": "search", "replaces": 0,',
        '       "spec": {"deadline_s": 5}}\' | marjoramusher apply -f -',
    ),
)
@files_option
@click.option("--dry-run", is_flag=True, help="Show the changes without making them.")
@operation_option
@pass_session
def apply(
    current: session.Session, files: tuple[Any, ...], dry_run: bool, operation_id: str
) -> None:
    """Write records as one change, or none of them.

    Each record names the version that it replaces; 0 creates it.
    """
    records = _load(files)
    if dry_run:
        _show_preview(current, records, operation_id)
        return
    try:
        result = current.run(
            "applying", lambda to: calls.apply_records(to, records, operation_id)
        )
    except errors.MarjoramusherError as error:
        raise _with_operation(error, operation_id) from error
    current.show(result, output.show_applied)


@click.command(
    "diff",
    epilog=examples.of(
        "marjoramusher diff -f accounts.json",
        "marjoramusher diff --from 41 --to 44",
        "marjoramusher diff --from 41",
    ),
)
@files_option
@click.option("--from", "before", type=click.IntRange(0), help="Earlier revision.")
@click.option("--to", "after", type=click.IntRange(0), help="Later revision.")
@pass_session
def diff(
    current: session.Session,
    files: tuple[Any, ...],
    before: int | None,
    after: int | None,
) -> None:
    """Show how files differ from the records in force, or two revisions."""
    if bool(files) == (before is not None):
        raise click.UsageError("give either -f or --from")
    if before is None:
        _show_preview(current, _load(files), calls.new_id())
        return
    result = current.run("comparing", lambda to: calls.differences(to, before, after))
    current.show(result, lambda r: output.show_differences(r["differences"]))


@click.command(
    "get",
    epilog=examples.of(
        "marjoramusher get client_account",
        "marjoramusher get guaranteed_shape acme-train --schema 1",
        "marjoramusher get all --revision 41",
    ),
)
@click.argument("kind", type=click.Choice([*KINDS.choices, "all"]))
@click.argument("name", required=False)
@schema_option
@click.option("--revision", type=click.IntRange(0), help="Show an earlier revision.")
@pass_session
def get(
    current: session.Session,
    kind: str,
    name: str | None,
    schema_number: int,
    revision: int | None,
) -> None:
    """Show one record, those of a kind, or all."""
    if name is None:
        wanted = None if kind == "all" else kind
        result = current.run(
            "reading",
            lambda to: calls.list_records(to, wanted, schema_number, revision),
        )
        current.show(result, lambda r: output.show_records(r["records"]))
        return
    if kind == "all" or revision is not None:
        raise click.UsageError("a name goes with a kind and without --revision")
    record = current.run(
        "reading", lambda to: calls.get_record(to, kind, name, schema_number)
    )
    current.show(record, lambda r: output.show_records([r]))


@click.command(
    "history",
    epilog=examples.of(
        "marjoramusher history contract acme-2027",
    ),
)
@click.argument("kind", type=KINDS)
@click.argument("name")
@schema_option
@pass_session
def history(current: session.Session, kind: str, name: str, schema_number: int) -> None:
    """Show the retained versions of a record, newest first."""
    result = current.run(
        "reading", lambda to: calls.record_history(to, kind, name, schema_number)
    )
    current.show(result, lambda r: output.show_records(r["versions"]))


@click.command(
    "rollback",
    epilog=examples.of(
        "marjoramusher rollback --to 41 --dry-run",
        "marjoramusher rollback --to 41 --only contract/acme-2027",
    ),
)
@click.option("--to", "revision", type=click.IntRange(0), required=True)
@click.option(
    "--only", multiple=True, metavar="KIND/NAME", help="Limit to records; repeatable."
)
@click.option(
    "--replaces-revision",
    type=click.IntRange(0),
    help="Revision in force that you have seen; default is the present one.",
)
@click.option("--dry-run", is_flag=True, help="Show the changes without making them.")
@operation_option
@pass_session
def rollback(
    current: session.Session,
    revision: int,
    only: tuple[str, ...],
    replaces_revision: int | None,
    dry_run: bool,
    operation_id: str,
) -> None:
    """Write the records of an earlier revision as a new revision."""
    references = []
    for text in only:
        kind, _, name = text.partition("/")
        if not name:
            raise click.UsageError(f"--only {text}: must be KIND/NAME")
        references.append((kind, name))
    seen = replaces_revision
    if seen is None:
        seen = current.run("reading", calls.status)["records"]["revision"]
    try:
        result = current.run(
            "rolling back",
            lambda to: calls.roll_back(
                to, revision, seen, references, operation_id, dry_run
            ),
        )
    except errors.MarjoramusherError as error:
        raise _with_operation(
            error, operation_id, f"--replaces-revision {seen}"
        ) from error
    if dry_run:
        current.show(
            result, lambda r: output.show_differences(r.get("differences", []))
        )
    else:
        current.show(result, output.show_applied)


@click.command(
    "delete",
    epilog=examples.of(
        "marjoramusher delete contract acme-2026",
    ),
)
@click.argument("kind", type=KINDS)
@click.argument("name")
@replaces_option
@operation_option
@pass_session
def delete(
    current: session.Session,
    kind: str,
    name: str,
    replaces: int | None,
    operation_id: str,
) -> None:
    """Delete a record."""
    _delete(current, kind, name, replaces, operation_id)


def _withdrawal(verb: str, kind: str, subject: str, example: str) -> click.Command:
    @click.command(
        verb,
        help=f"Keep new work from {subject}; work in progress goes on.",
        epilog=examples.of(f"marjoramusher {verb} {example}"),
    )
    @click.argument("name")
    @click.option("--failure-domain", required=True, help="Where it is.")
    @click.option("--reason", default="", help="Shown to other operators.")
    @operation_option
    @pass_session
    def withdraw(
        current: session.Session,
        name: str,
        failure_domain: str,
        reason: str,
        operation_id: str,
    ) -> None:
        record = {
            "schema": schema.LATEST,
            "kind": kind,
            "name": name,
            "replaces": 0,
            "spec": {"failure_domain": failure_domain, "reason": reason},
        }
        try:
            result = current.run(
                verb, lambda to: calls.apply_records(to, [record], operation_id)
            )
        except errors.MarjoramusherError as error:
            raise _with_operation(error, operation_id) from error
        current.show(result, output.show_applied)

    return withdraw


def _return(verb: str, kind: str, subject: str, example: str) -> click.Command:
    @click.command(
        verb,
        help=f"Give {subject} new work again.",
        epilog=examples.of(f"marjoramusher {verb} {example}"),
    )
    @click.argument("name")
    @replaces_option
    @operation_option
    @pass_session
    def give_back(
        current: session.Session, name: str, replaces: int | None, operation_id: str
    ) -> None:
        _delete(current, kind, name, replaces, operation_id)

    return give_back


drain = _withdrawal(
    "drain",
    "drain",
    "a target or worker",
    "runner-7 --failure-domain a1 --reason 'new disk'",
)
undrain = _return("undrain", "drain", "a drained target or worker", "runner-7")
quarantine = _withdrawal(
    "quarantine",
    "quarantine",
    "a worker that is suspected of failing",
    "worker-3 --failure-domain a1 --reason 'memory errors'",
)
unquarantine = _return(
    "unquarantine", "quarantine", "a worker in quarantine", "worker-3"
)

COMMANDS = (
    apply,
    diff,
    get,
    history,
    rollback,
    delete,
    drain,
    undrain,
    quarantine,
    unquarantine,
)


def _load(files: tuple[Any, ...]) -> list[Any]:
    if not files:
        raise click.UsageError("give at least one file with -f")
    records = []
    for file in files:
        try:
            text = file.read()
        except UnicodeDecodeError as error:
            raise errors.BadRequestError(f"{file.name}: not UTF-8") from error
        records.extend(calls.load_documents(text, file.name))
    return records


def _show_preview(
    current: session.Session, records: list[Any], operation_id: str
) -> None:
    preview = current.run(
        "comparing",
        lambda to: calls.apply_records(to, records, operation_id, dry_run=True),
    )
    current.show(preview, lambda p: output.show_differences(p.get("differences", [])))


def _delete(
    current: session.Session,
    kind: str,
    name: str,
    replaces: int | None,
    operation_id: str,
) -> None:
    if replaces is None:
        found = current.run("reading", lambda to: calls.get_record(to, kind, name, 2))
        replaces = found["version"]
    deletion = {"kind": kind, "name": name, "replaces": replaces, "delete": True}
    try:
        result = current.run(
            "deleting", lambda to: calls.apply_records(to, [deletion], operation_id)
        )
    except errors.MarjoramusherError as error:
        raise _with_operation(error, operation_id, f"--replaces {replaces}") from error
    current.show(result, output.show_applied)


def _with_operation(
    error: errors.MarjoramusherError, operation_id: str, seen: str = ""
) -> errors.MarjoramusherError:
    if error.outcome is errors.Outcome.NOT_RUN:
        return error
    options = f"--operation-id {operation_id} {seen}".rstrip()
    return errors.MarjoramusherError(
        error.code,
        f"{error.message}; find out by running the command again with {options}",
        error.outcome,
        {**error.details, "operation_id": operation_id},
    )
