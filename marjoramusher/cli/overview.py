"""Tables of the status of instances and groups."""

from collections.abc import Iterator
from typing import Any

import click

from . import output

MEMBER_COLUMNS = (
    "instance",
    "failure domain",
    "region",
    "status",
    "revision",
    "disk",
    "draining",
    "http",
    "peer",
)
GROUP_COLUMNS = (
    "group",
    "role",
    "leader",
    "term",
    "commit",
    "applied",
    "voters",
    "learners",
    "epoch",
    "state",
)
LEASE_COLUMNS = (
    "failure domain",
    "worker",
    "silent s",
    "tasks",
    "shortest s",
    "takes work",
)
SHORTFALL_COLUMNS = ("guarantee", "missing gangs", "reason")

# Sections with a table of their own.
_TABLES = ("server", "members", "groups", "leases", "shortfalls")


def show_status(found: list[dict[str, Any]]) -> None:
    """Print the status of each server."""
    for number, one in enumerate(found):
        if number:
            click.echo()
        click.echo(f"server: {output.cell(one['server'])}")
        for name, value in one.items():
            if name not in _TABLES:
                click.echo(f"{name}: {output.cell(value)}")
        _show("members", MEMBER_COLUMNS, map(_member, one.get("members", ())))
        groups = one.get("groups", {}).values()
        _show("groups", GROUP_COLUMNS, map(_group, groups))
        leases = [
            [each.get(column.replace(" ", "_")) for column in LEASE_COLUMNS]
            for each in one.get("leases", ())
        ]
        _show("leases", LEASE_COLUMNS, leases)
        shortfalls = [
            [each.get(name) for name in ("guarantee", "missing_gangs", "reason")]
            for each in one.get("shortfalls", ())
        ]
        _show("shortfalls", SHORTFALL_COLUMNS, shortfalls)


def show_groups(found: list[dict[str, Any]]) -> None:
    """Print the groups at each server as one table."""
    output.show_table(
        ("server", *GROUP_COLUMNS),
        (
            (one["server"], *_group(group))
            for one in found
            for group in one.get("groups", {}).values()
        ),
    )
    for one in found:
        if "error" in one:
            click.echo(f"{output.cell(one['server'])}: {output.cell(one['error'])}")


def _show(title: str, columns: tuple[str, ...], rows: Any) -> None:
    rows = list(rows)
    if not rows:
        click.echo(f"{title}: -")
        return
    click.echo(f"{title}:")
    for line in output.table_lines(columns, rows):
        click.echo(f"  {line}")


def _member(shown: dict[str, Any]) -> list[Any]:
    names = (
        "instance_id",
        "failure_domain",
        "region",
        "status",
        "records_revision",
        "has_disk",
        "draining",
        "http_url",
        "peer_address",
    )
    return [shown.get(name) for name in names]


def _group(shown: dict[str, Any]) -> list[Any]:
    config = shown.get("config") or {}
    return [
        shown.get("name"),
        shown.get("role"),
        shown.get("leader"),
        shown.get("term"),
        shown.get("commit_index"),
        shown.get("applied_index"),
        list(_instances(config.get("voters", ()))),
        list(_instances(config.get("learners", ()))),
        config.get("epoch"),
        _state(shown),
    ]


def _state(shown: dict[str, Any]) -> str:
    if shown.get("failure"):
        return shown["failure"]
    # An unregistered voter neither votes nor acknowledges.
    return "ok" if shown.get("registered", True) else "not registered"


def _instances(voters: list[dict[str, str]]) -> Iterator[str]:
    for voter in voters:
        yield voter["instance"]
