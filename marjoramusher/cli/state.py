"""Commands for the state of instances and groups."""

import time
from collections.abc import Iterable
from typing import Any

import click

from ..core import errors
from . import calls, examples, output, overview, session
from .records import pass_session

MIN_INTERVAL_S = 0.2


@click.command(
    "status",
    epilog=examples.of(
        "marjoramusher --server http://10.0.0.1:8420 \\",
        "  --server http://10.0.0.2:8420 status",
    ),
)
@click.option(
    "--all", "everyone", is_flag=True, help="Ask every member that a server names."
)
@pass_session
def status(current: session.Session, everyone: bool) -> None:
    """Show the status of each server.

    Leases and shortfalls are known to the leader of each failure domain.
    """
    found = _ask_all(current, current.servers)
    if everyone:
        asked = set(current.servers)
        urls = {
            member["http_url"] for one in found for member in one.get("members", ())
        }
        found += _ask_all(current, sorted(urls - asked))
    current.show(found, overview.show_status)


@click.command(
    "top",
    epilog=examples.of(
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
def top(current: session.Session, once: bool, interval_s: float) -> None:
    """Show counters, rates and durations of the first server."""
    before = None
    sampled_at = 0.0
    while True:
        after = current.run("reading", calls.metrics, current.servers[0])
        now = time.monotonic()
        if not once:
            click.clear()
        current.show(
            after,
            lambda sample, old=before, elapsed_s=now - sampled_at: output.show_metrics(
                old, sample, elapsed_s
            ),
        )
        if once:
            return
        before, sampled_at = after, now
        time.sleep(interval_s)


@click.group("group")
def group() -> None:
    """Look at and recover consensus groups."""


@group.command(
    "status",
    epilog=examples.of(
        "marjoramusher group status",
    ),
)
@pass_session
def group_status(current: session.Session) -> None:
    """Show the groups of each server."""
    found = _ask_all(current, current.servers)
    if current.json:
        found = [
            {"server": one["server"], **shown}
            for one in found
            for shown in one.get("groups", {}).values()
        ]
    current.show(found, overview.show_groups)


@group.command(
    "recover",
    epilog=examples.of(
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
def recover(current: session.Session, name: str, accept_loss: bool) -> None:
    """Restart a group whose majority is lost for good.

    The server becomes the only voter, so exactly one must be given: the survivor.
    Work that may have run is not run again.
    """
    if not accept_loss:
        raise click.UsageError("--accept-loss is required")
    if len(current.servers) != 1:
        raise click.UsageError("give exactly one --server, the survivor")
    result = current.run("recovering", lambda to: calls.recover_group(to, name))
    current.show(result, output.show_sections)


COMMANDS = (status, top, group)


def _ask_all(current: session.Session, servers: Iterable[str]) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    last = None
    for server in servers:
        try:
            answer = current.run(f"asking {server}", calls.status, server)
        except errors.MarjoramusherError as error:
            last = error
            found.append({"server": server, "error": error.message})
        else:
            found.append({"server": server, **answer})
    if last is not None and found and all("error" in one for one in found):
        raise last
    return found
