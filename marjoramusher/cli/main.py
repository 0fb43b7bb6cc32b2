"""Entry point of ``marjoramusher``."""

import os
import pathlib
from urllib import parse

import click
from click import shell_completion

from . import (
    config,
    evacuation,
    examples,
    exits,
    explain,
    jobs,
    records,
    session,
    state,
)

DEFAULT_SERVER = "http://127.0.0.1:8420"
PROGRAM = "marjoramusher"

EXAMPLES = examples.epilog(
    "marjoramusher apply -f accounts.json",
    "marjoramusher get client_account",
    "marjoramusher rollback --to 41 --dry-run",
    "marjoramusher job submit --account acme --contract acme-2027 --accelerators 8",
    'eval "$(marjoramusher completion bash)"',
)


def _validate_servers(
    ctx: click.Context, option: click.Parameter, values: tuple[str, ...]
) -> tuple[str, ...]:
    del ctx, option
    for value in values:
        try:
            url = parse.urlsplit(value)
            is_valid = url.scheme in ("http", "https") and url.hostname
            is_valid = is_valid and url.port != 0
        except ValueError:
            is_valid = False
        if not is_valid:
            raise click.BadParameter(f"{value!r} must be http://HOST:PORT")
    return values


def _read_token(
    ctx: click.Context, option: click.Parameter, value: pathlib.Path | None
) -> str | None:
    del ctx, option
    if value is None:
        return None
    try:
        token = value.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        raise click.BadParameter(f"{value} can't be read as a token") from None
    if not token or any(char.isspace() for char in token):
        raise click.BadParameter(f"{value} must contain exactly one token")
    return token


@click.group(
    cls=session.ErrorReportingGroup,
    epilog=f"{EXAMPLES}\n\n{exits.HELP}",
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 88},
)
@click.option(
    "--server",
    "servers",
    multiple=True,
    envvar="MARJORAMUSHER_SERVER",
    default=(DEFAULT_SERVER,),
    callback=_validate_servers,
    help="Base URL of an instance; may be repeated, the next is tried if one fails "
    "[env: MARJORAMUSHER_SERVER, separated by spaces].",
)
@click.option(
    "--operator-token-file",
    "token",
    type=click.Path(path_type=pathlib.Path),
    envvar="MARJORAMUSHER_OPERATOR_TOKEN_FILE",
    callback=_read_token,
    help="File with the operators' token [env: MARJORAMUSHER_OPERATOR_TOKEN_FILE].",
)
@click.option(
    "--operator",
    envvar="MARJORAMUSHER_OPERATOR",
    default=lambda: os.environ.get("USER") or "operator",
    help="Your name for the history of records [env: MARJORAMUSHER_OPERATOR].",
)
@click.option(
    "--output",
    "output_format",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@click.option(
    "--timeout-s",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="Longest time for one call, including all attempts.",
)
@click.version_option(package_name="marjoramusher")
@click.pass_context
def cli(
    ctx: click.Context,
    servers: tuple[str, ...],
    token: str | None,
    operator: str,
    output_format: str,
    timeout_s: float,
) -> None:
    """Operate marjoramusher: records, jobs, requests, groups and status."""
    ctx.obj = session.Session(
        servers, token, operator, timeout_s, output_format == "json"
    )


@cli.command(
    "completion",
    epilog=examples.epilog(
        'eval "$(marjoramusher completion bash)"',
        "marjoramusher completion fish > ~/.config/fish/completions/marjoramusher.fish",
    ),
)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell."""
    completion_class = shell_completion.get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for {shell}")
    completer = completion_class(cli, {}, PROGRAM, "_MARJORAMUSHER_COMPLETE")
    # `BashComplete.source` would start bash to check its version.
    click.echo(completer.source_template % completer.source_vars())


for command in (
    *records.COMMANDS,
    *jobs.COMMANDS,
    *state.COMMANDS,
    *explain.COMMANDS,
    *evacuation.COMMANDS,
    *config.COMMANDS,
):
    cli.add_command(command)


def main() -> None:
    """Run the command line."""
    cli(prog_name=PROGRAM)


if __name__ == "__main__":
    main()
