"""Commands that read and change operators' records."""

from typing import Any

import click

from ..core import errors
from ..records import schema
from . import calls, examples, output
from . import session as sessions

KINDS = click.Choice([kind.value for kind in schema.Kind])
SCHEMAS = click.IntRange(1, 2)

pass_session = click.make_pass_decorator(sessions.Session)
operation_option = click.option(
    "--operation-id",
    default=calls.new_id,
    help="Id of this change. A change with the same id and content is applied at most "
    "once, so a command with an unknown outcome can be run again with the same id.",
)
replaces_option = click.option(
    "--replaces",
    type=click.IntRange(1),
    help="Version that the change replaces; by default the current one.",
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
    help="JSON file, - for standard input; may be repeated. It contains one record, a "
    'list, {"records": [...]} or several of these.',
)


@click.command(
    "apply",
    epilog=examples.epilog(
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
    session: sessions.Session, files: tuple[Any, ...], dry_run: bool, operation_id: str
) -> None:
    """Write all records in one atomic change.

    Each record gives the version that it replaces, or 0 to be created.
    """
    records = _read_records(files)
    if dry_run:
        _show_preview(session, records, operation_id)
        return
    try:
        result = session.run(
            "applying", lambda api: calls.apply_records(api, records, operation_id)
        )
    except errors.MarjoramusherError as error:
        raise _add_retry_hint(error, operation_id) from error
    session.show(result, output.show_applied)


@click.command(
    "diff",
    epilog=examples.epilog(
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
    session: sessions.Session,
    files: tuple[Any, ...],
    before: int | None,
    after: int | None,
) -> None:
    """Compare files with the records in force, or two revisions with each other."""
    if bool(files) == (before is not None):
        raise click.UsageError("give either -f or --from")
    if before is None:
        _show_preview(session, _read_records(files), calls.new_id())
        return
    result = session.run(
        "comparing", lambda api: calls.diff_revisions(api, before, after)
    )
    session.show(
        result, lambda response: output.show_differences(response["differences"])
    )


@click.command(
    "get",
    epilog=examples.epilog(
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
    session: sessions.Session,
    kind: str,
    name: str | None,
    schema_number: int,
    revision: int | None,
) -> None:
    """Show one record, the records of a kind, or all records."""
    if name is None:
        kind_filter = None if kind == "all" else kind
        result = session.run(
            "reading",
            lambda api: calls.list_records(api, kind_filter, schema_number, revision),
        )
        session.show(result, lambda response: output.show_records(response["records"]))
        return
    if kind == "all" or revision is not None:
        raise click.UsageError(
            "a name requires a kind and can't be combined with --revision"
        )
    record = session.run(
        "reading", lambda api: calls.get_record(api, kind, name, schema_number)
    )
    session.show(record, lambda response: output.show_records([response]))


@click.command(
    "history",
    epilog=examples.epilog(
        "marjoramusher history contract acme-2027",
    ),
)
@click.argument("kind", type=KINDS)
@click.argument("name")
@schema_option
@pass_session
def history(
    session: sessions.Session, kind: str, name: str, schema_number: int
) -> None:
    """Show the retained versions of a record, newest first."""
    result = session.run(
        "reading", lambda api: calls.get_record_history(api, kind, name, schema_number)
    )
    session.show(result, lambda response: output.show_records(response["versions"]))


@click.command(
    "rollback",
    epilog=examples.epilog(
        "marjoramusher rollback --to 41 --dry-run",
        "marjoramusher rollback --to 41 --only contract/acme-2027",
    ),
)
@click.option("--to", "revision", type=click.IntRange(0), required=True)
@click.option(
    "--only",
    multiple=True,
    metavar="KIND/NAME",
    help="Roll back only this record; may be repeated.",
)
@click.option(
    "--replaces-revision",
    type=click.IntRange(0),
    help="Revision that the change replaces; by default the one in force.",
)
@click.option("--dry-run", is_flag=True, help="Show the changes without making them.")
@operation_option
@pass_session
def rollback(
    session: sessions.Session,
    revision: int,
    only: tuple[str, ...],
    replaces_revision: int | None,
    dry_run: bool,
    operation_id: str,
) -> None:
    """Write the records of an earlier revision as a new revision."""
    selected = []
    for reference in only:
        kind, _, name = reference.partition("/")
        if not name:
            raise click.UsageError(f"--only {reference}: must be KIND/NAME")
        selected.append((kind, name))
    base_revision = replaces_revision
    if base_revision is None:
        base_revision = session.run("reading", calls.get_status)["records"]["revision"]
    try:
        result = session.run(
            "rolling back",
            lambda api: calls.roll_back(
                api, revision, base_revision, selected, operation_id, dry_run
            ),
        )
    except errors.MarjoramusherError as error:
        raise _add_retry_hint(
            error, operation_id, f"--replaces-revision {base_revision}"
        ) from error
    if dry_run:
        session.show(
            result,
            lambda response: output.show_differences(response.get("differences", [])),
        )
    else:
        session.show(result, output.show_applied)


@click.command(
    "delete",
    epilog=examples.epilog(
        "marjoramusher delete contract acme-2026",
    ),
)
@click.argument("kind", type=KINDS)
@click.argument("name")
@replaces_option
@operation_option
@pass_session
def delete(
    session: sessions.Session,
    kind: str,
    name: str,
    replaces: int | None,
    operation_id: str,
) -> None:
    """Delete a record."""
    _delete_record(session, kind, name, replaces, operation_id)


def _make_withdraw_command(
    command_name: str, kind: str, subject: str, example: str
) -> click.Command:
    @click.command(
        command_name,
        help=f"Assign no new work to {subject}; work in progress continues.",
        epilog=examples.epilog(f"marjoramusher {command_name} {example}"),
    )
    @click.argument("name")
    @click.option(
        "--failure-domain",
        required=True,
        help="Failure domain of the target or worker.",
    )
    @click.option("--reason", default="", help="Reason, shown to other operators.")
    @operation_option
    @pass_session
    def withdraw(
        session: sessions.Session,
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
            result = session.run(
                command_name,
                lambda api: calls.apply_records(api, [record], operation_id),
            )
        except errors.MarjoramusherError as error:
            raise _add_retry_hint(error, operation_id) from error
        session.show(result, output.show_applied)

    return withdraw


def _make_restore_command(
    command_name: str, kind: str, subject: str, example: str
) -> click.Command:
    @click.command(
        command_name,
        help=f"Assign new work to {subject} again.",
        epilog=examples.epilog(f"marjoramusher {command_name} {example}"),
    )
    @click.argument("name")
    @replaces_option
    @operation_option
    @pass_session
    def restore(
        session: sessions.Session, name: str, replaces: int | None, operation_id: str
    ) -> None:
        _delete_record(session, kind, name, replaces, operation_id)

    return restore


drain = _make_withdraw_command(
    "drain",
    "drain",
    "a target or worker",
    "runner-7 --failure-domain a1 --reason 'new disk'",
)
undrain = _make_restore_command(
    "undrain", "drain", "a drained target or worker", "runner-7"
)
quarantine = _make_withdraw_command(
    "quarantine",
    "quarantine",
    "a worker that is suspected of failing",
    "worker-3 --failure-domain a1 --reason 'memory errors'",
)
unquarantine = _make_restore_command(
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


def _read_records(files: tuple[Any, ...]) -> list[Any]:
    if not files:
        raise click.UsageError("give at least one file with -f")
    records = []
    for file in files:
        try:
            text = file.read()
        except UnicodeDecodeError as error:
            raise errors.BadRequestError(f"{file.name}: not UTF-8") from error
        records.extend(calls.parse_records(text, file.name))
    return records


def _show_preview(
    session: sessions.Session, records: list[Any], operation_id: str
) -> None:
    preview = session.run(
        "comparing",
        lambda api: calls.apply_records(api, records, operation_id, dry_run=True),
    )
    session.show(preview, lambda p: output.show_differences(p.get("differences", [])))


def _delete_record(
    session: sessions.Session,
    kind: str,
    name: str,
    replaces: int | None,
    operation_id: str,
) -> None:
    if replaces is None:
        record = session.run(
            "reading", lambda api: calls.get_record(api, kind, name, 2)
        )
        replaces = record["version"]
    deletion = {"kind": kind, "name": name, "replaces": replaces, "delete": True}
    try:
        result = session.run(
            "deleting", lambda api: calls.apply_records(api, [deletion], operation_id)
        )
    except errors.MarjoramusherError as error:
        raise _add_retry_hint(error, operation_id, f"--replaces {replaces}") from error
    session.show(result, output.show_applied)


def _add_retry_hint(
    error: errors.MarjoramusherError, operation_id: str, extra_options: str = ""
) -> errors.MarjoramusherError:
    if error.outcome is errors.Outcome.NOT_RUN:
        return error
    retry_options = f"--operation-id {operation_id} {extra_options}".rstrip()
    return errors.MarjoramusherError(
        error.code,
        f"{error.message}; to learn the outcome, run the command again with "
        f"{retry_options}",
        error.outcome,
        {**error.details, "operation_id": operation_id},
    )
