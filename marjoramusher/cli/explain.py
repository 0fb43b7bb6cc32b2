"""Command that traces one workflow, task or request through log files."""

import pathlib

import click

from ..telemetry import trace
from . import examples


@click.command(
    "explain",
    epilog=examples.epilog(
        "marjoramusher explain 5c0e7a21d94b36f8 core-1.log core-2.log entry-*.log",
    ),
)
@click.argument("wanted", metavar="ID")
@click.argument(
    "logs",
    metavar="LOGFILE...",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def explain(wanted: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show the path of a workflow, task or request through the logs of all processes.

    Lines marked with | do not name the ID; they concern leaders and workers that it
    depended on. Times are from the clock of each process.
    """
    log_lines = []
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            log_lines.extend(trace.parse(log.stem, lines, wanted))
    path = trace.select_path(log_lines)
    if not path:
        raise click.ClickException(f"no log line mentions {wanted}")
    for line in trace.render(path):
        click.echo(line)


COMMANDS = (explain,)
