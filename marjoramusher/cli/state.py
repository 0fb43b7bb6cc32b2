"""Commands that show the state of instances and groups and recover groups."""

import time
from collections.abc import Iterable
from typing import Any

import click

from ..core import errors
from . import calls, examples, output, overview
from . import session as sessions
from .records import pass_session

MIN_INTERVAL_S = 0.2


@click.command(
    "status",
    epilog=examples.epilog(
        "marjoramusher --server http://10.0.0.1:8420 \\",
        "  --server http://10.0.0.2:8420 status",
    ),
)
@click.option(
    "--all",
    "everyone",
    is_flag=True,
    help="Also query all members that the servers list.",
)
@pass_session
def status(session: sessions.Session, everyone: bool) -> None:
    """Show the status of each server.

    Leases and shortfalls are reported only by the leaders of the failure domains.
    """
    statuses = _query_servers(session, session.servers)
    if everyone:
        queried = set(session.servers)
        urls = {
            member["http_url"]
            for server_status in statuses
            for member in server_status.get("members", ())
        }
        statuses += _query_servers(session, sorted(urls - queried))
    session.show(statuses, overview.show_status)


@click.command(
    "top",
    epilog=examples.epilog(
        "marjoramusher top",
        "marjoramusher --output json top --once",
    ),
)
@click.option("--once", is_flag=True, help="Print once, without rates.")
@click.option(
    "--interval-s",
    type=click.FloatRange(MIN_INTERVAL_S),
    default=2.0,
    show_default=True,
)
@pass_session
def top(session: sessions.Session, once: bool, interval_s: float) -> None:
    """Show the metrics of the first server, and the rates of its counters."""
    previous = None
    previous_at = 0.0
    while True:
        sample = session.run("reading", calls.get_metrics, session.servers[0])
        now = time.monotonic()
        if not once:
            click.clear()
        session.show(
            sample,
            lambda metrics, before=previous, elapsed_s=now - previous_at: (
                output.show_metrics(before, metrics, elapsed_s)
            ),
        )
        if once:
            return
        previous, previous_at = sample, now
        time.sleep(interval_s)


@click.group("group")
def group() -> None:
    """Show and recover consensus groups."""


@group.command(
    "status",
    epilog=examples.epilog(
        "marjoramusher group status",
    ),
)
@pass_session
def group_status(session: sessions.Session) -> None:
    """Show the groups of each server."""
    statuses = _query_servers(session, session.servers)
    if session.is_json:
        statuses = [
            {"server": server_status["server"], **group_state}
            for server_status in statuses
            for group_state in server_status.get("groups", {}).values()
        ]
    session.show(statuses, overview.show_groups)


@group.command(
    "recover",
    epilog=examples.epilog(
        "marjoramusher --server http://10.0.0.1:8420 \\",
        "  group recover --group domain:a1 --accept-loss",
    ),
)
@click.option("--group", "name", required=True, help="Group, for example domain:a1.")
@click.option(
    "--accept-loss",
    is_flag=True,
    required=True,
    help="Confirm that acknowledged writes may be lost.",
)
@pass_session
def recover(session: sessions.Session, name: str, accept_loss: bool) -> None:
    """Recover a group that has permanently lost its majority.

    The server becomes the only voter of the group, so give exactly one: the surviving
    instance. Work that may have run is not run again.
    """
    if not accept_loss:
        raise click.UsageError("--accept-loss is required")
    if len(session.servers) != 1:
        raise click.UsageError("give exactly one --server, the surviving instance")
    result = session.run("recovering", lambda api: calls.recover_group(api, name))
    session.show(result, output.show_sections)


COMMANDS = (status, top, group)


def _query_servers(
    session: sessions.Session, servers: Iterable[str]
) -> list[dict[str, Any]]:
    statuses: list[dict[str, Any]] = []
    last_error = None
    for server in servers:
        try:
            server_status = session.run(f"querying {server}", calls.get_status, server)
        except errors.MarjoramusherError as error:
            last_error = error
            statuses.append({"server": server, "error": error.message})
        else:
            statuses.append({"server": server, **server_status})
    if (
        last_error is not None
        and statuses
        and all("error" in server_status for server_status in statuses)
    ):
        raise last_error
    return statuses
