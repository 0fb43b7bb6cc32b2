"""Command that checks a configuration before it is put into force."""

import datetime
from typing import Any

import click
import msgspec

from ..core import errors, finding
from ..records import check as record_check
from . import calls, examples, exits, output
from . import session as sessions

pass_session = click.make_pass_decorator(sessions.Session)


@click.group("config")
def config() -> None:
    """Check configurations without a server."""


def _parse_accelerators(
    ctx: click.Context, option: click.Parameter, values: tuple[str, ...]
) -> dict[str, int]:
    del ctx, option
    accelerators = {}
    for value in values:
        domain, separator, count = value.partition("=")
        if not (domain and separator and count.isascii() and count.isdigit()):
            raise click.BadParameter(f"{value!r} must be FAILURE_DOMAIN=COUNT")
        accelerators[domain] = int(count)
    return accelerators


@config.command(
    "check",
    epilog=examples.epilog(
        "marjoramusher config check records.json",
        "marjoramusher --output json get all > in-force.json",
        "marjoramusher config check change.json --against in-force.json \\",
        "  --accelerators fd-a=704 --accelerators fd-b=704",
    ),
)
@click.argument("file", type=click.File(encoding="utf-8"))
@click.option(
    "--against",
    type=click.File(encoding="utf-8"),
    help="Records in force, as `--output json get all` prints them. FILE is then a "
    "change, as for `apply`; otherwise it holds all records.",
)
@click.option(
    "--accelerators",
    metavar="FAILURE_DOMAIN=COUNT",
    multiple=True,
    callback=_parse_accelerators,
    help="Accelerators of a failure domain, to compare guarantees with; may be "
    "repeated. Others count as unknown domains.",
)
@click.option("--strict", is_flag=True, help="Treat warnings like errors.")
@pass_session
@click.pass_context
def check(
    ctx: click.Context,
    session: sessions.Session,
    file: Any,
    against: Any | None,
    accelerators: dict[str, int],
    strict: bool,
) -> None:
    """Check records by the rules of the servers, and for entries without effect.

    The exit code is 8 if the servers would refuse them.
    """
    in_force = None if against is None else _read_in_force(against)
    report = record_check.check(
        calls.parse_records(_read(file), file.name),
        in_force,
        record_check.Limits(accelerators, datetime.datetime.now(datetime.UTC)),
    )
    session.show(report_json(report), show_report)
    ctx.exit(exit_code(report, strict=strict))


def report_json(report: finding.Report) -> dict[str, Any]:
    """Return a report as JSON values."""
    return msgspec.to_builtins(report)


def show_report(report: dict[str, Any]) -> None:
    """Print a report as tables."""
    findings = report["findings"]
    if findings:
        output.show_table(
            ("severity", "entry", "finding"),
            ((each["severity"], each["entry"], each["message"]) for each in findings),
        )
    else:
        click.echo("no findings")
    if report["differences"] is not None:
        click.echo()
        output.show_differences(report["differences"])


def exit_code(report: finding.Report, *, strict: bool = False) -> exits.ExitCode:
    """Return the exit code for a report."""
    if report.has_errors or (strict and report.findings):
        return exits.ExitCode.INVALID
    return exits.ExitCode.OK


def _read(file: Any) -> str:
    try:
        return file.read()
    except UnicodeDecodeError as error:
        raise errors.BadRequestError(f"{file.name}: not UTF-8") from error


def _read_in_force(file: Any) -> list[Any]:
    """Return the records in a response of the server, or in a file for `apply`."""
    values = calls.parse_records(_read(file), file.name)
    if len(values) == 1 and isinstance(values[0], dict) and "records" in values[0]:
        records = values[0]["records"]
        return records if isinstance(records, list) else [records]
    return values


COMMANDS = (config,)
