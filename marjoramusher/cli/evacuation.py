"""Commands that evacuate failure domains of a queues service."""

import datetime
from collections.abc import Iterable
from typing import Any

import click

from ..core import errors
from ..queues import call
from ..workflows import evacuation as evacuations
from . import controllers, examples, output
from . import session as sessions
from .records import pass_session

MAX_PORT = 65535


def _validate_controllers(
    ctx: click.Context, option: click.Parameter, values: tuple[str, ...]
) -> tuple[str, ...]:
    del ctx, option
    for value in values:
        host, _, port = value.rpartition(":")
        is_number = port.isascii() and port.isdigit() and len(port) <= 5
        if not host or not is_number or not 0 < int(port) <= MAX_PORT:
            raise click.BadParameter(f"{value!r} must be HOST:PORT")
    if not values:
        raise click.BadParameter("give at least one controller")
    return values


controllers_option = click.option(
    "--controller",
    "addresses",
    multiple=True,
    envvar="MARJORAMUSHER_CONTROLLERS",
    callback=_validate_controllers,
    help="HOST:PORT on which a controller serves other instances; may be repeated, "
    "one that can be reached is enough [env: MARJORAMUSHER_CONTROLLERS, separated by "
    "spaces].",
)


@click.group("evacuation")
def evacuation() -> None:
    """Keep new work out of a failure domain of the queues service.

    Work that runs there goes on until it ends. Guarantees are met in other domains.
    """


@evacuation.command(
    "begin",
    epilog=examples.epilog(
        "marjoramusher evacuation begin --controller 10.0.0.1:7000 \\",
        "  --controller 10.0.1.1:7000 a1",
    ),
)
@click.argument("failure_domain")
@controllers_option
@pass_session
def begin(
    session: sessions.Session, failure_domain: str, addresses: tuple[str, ...]
) -> None:
    """Start nothing more in a failure domain.

    May be repeated: an evacuation that is in force stays as it is.
    """
    _check_name(failure_domain)
    reply = _call(
        session,
        "beginning the evacuation",
        addresses,
        call.BeginEvacuation(failure_domain),
    )
    if isinstance(reply, call.TooMany):
        raise errors.MarjoramusherError(
            errors.ErrorCode.OVERLOADED,
            f"{evacuations.MAX_EVACUATIONS} failure domains are being evacuated",
        )
    _show_change(session, failure_domain, "evacuated")


@evacuation.command(
    "finish",
    epilog=examples.epilog(
        "export MARJORAMUSHER_CONTROLLERS='10.0.0.1:7000 10.0.1.1:7000'",
        "marjoramusher evacuation finish a1",
    ),
)
@click.argument("failure_domain")
@controllers_option
@pass_session
def finish(
    session: sessions.Session, failure_domain: str, addresses: tuple[str, ...]
) -> None:
    """Let work start again in a failure domain.

    May be repeated: a domain that is not evacuated stays in use.
    """
    _check_name(failure_domain)
    _call(
        session,
        "finishing the evacuation",
        addresses,
        call.EndEvacuation(failure_domain),
    )
    _show_change(session, failure_domain, "in use")


@evacuation.command(
    "list",
    epilog=examples.epilog(
        "marjoramusher --output json evacuation list --controller 10.0.0.1:7000",
    ),
)
@controllers_option
@pass_session
def list_evacuations(session: sessions.Session, addresses: tuple[str, ...]) -> None:
    """Show the failure domains that are evacuated, the first one first."""
    reply = _call(session, "reading the evacuations", addresses, call.ReadEvacuations())
    if not isinstance(reply, call.Evacuations):
        raise errors.MarjoramusherError(
            errors.ErrorCode.INTERNAL, "the leader sent another reply"
        )
    shown = [
        {
            "failure_domain": item.failure_domain,
            "begun_at": _utc(item.begun_ms),
        }
        for item in reply.evacuations
    ]
    session.show(shown, _show_table)


COMMANDS = (evacuation,)


def _check_name(failure_domain: str) -> None:
    if not evacuations.is_valid_name(failure_domain):
        raise errors.BadRequestError("not the name of a failure domain")


def _call(
    session: sessions.Session,
    description: str,
    addresses: tuple[str, ...],
    request: call.AnyCall,
) -> call.AnyReply:
    return session.wait(
        description,
        controllers.call_leader(addresses, request, session.timeout_s),
    )


def _show_change(session: sessions.Session, failure_domain: str, state: str) -> None:
    session.show(
        {"failure_domain": failure_domain, "state": state}, output.show_sections
    )


def _show_table(shown: Iterable[dict[str, Any]]) -> None:
    output.show_table(
        ("failure domain", "begun at"),
        ((item["failure_domain"], item["begun_at"]) for item in shown),
    )


def _utc(unix_ms: int) -> str:
    at = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
