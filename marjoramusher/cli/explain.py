"""Command that explains what happened to one workflow, from logs alone."""

import pathlib

import click

from ..telemetry import trace
from . import examples


@click.command(
    "explain",
    epilog=examples.of(
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

    Lines marked with | are not about the ID; they tell of leaders and workers that it
    depended on. Times are those of each process's own clock.
    """
    found = []
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            found.extend(trace.parse(log.stem, lines, wanted))
    shown = trace.select_path(found)
    if not shown:
        raise click.ClickException(f"no line of these logs is about {wanted}")
    for line in trace.render(shown):
        click.echo(line)


COMMANDS = (explain,)
