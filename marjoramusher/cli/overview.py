"""Tables that show the status of instances and groups."""

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

# Sections that are not printed as plain lines.
_TABLE_SECTIONS = ("server", "members", "groups", "leases", "shortfalls")


def show_status(statuses: list[dict[str, Any]]) -> None:
    """Print the status of each server."""
    for number, status in enumerate(statuses):
        if number:
            click.echo()
        click.echo(f"server: {output.cell(status['server'])}")
        for name, value in status.items():
            if name not in _TABLE_SECTIONS:
                click.echo(f"{name}: {output.cell(value)}")
        _show_table(
            "members", MEMBER_COLUMNS, map(_member_row, status.get("members", ()))
        )
        groups = status.get("groups", {}).values()
        _show_table("groups", GROUP_COLUMNS, map(_group_row, groups))
        leases = [
            [lease.get(column.replace(" ", "_")) for column in LEASE_COLUMNS]
            for lease in status.get("leases", ())
        ]
        _show_table("leases", LEASE_COLUMNS, leases)
        shortfalls = [
            [shortfall.get(name) for name in ("guarantee", "missing_gangs", "reason")]
            for shortfall in status.get("shortfalls", ())
        ]
        _show_table("shortfalls", SHORTFALL_COLUMNS, shortfalls)


def show_groups(statuses: list[dict[str, Any]]) -> None:
    """Print the groups of all servers in one table."""
    output.show_table(
        ("server", *GROUP_COLUMNS),
        (
            (status["server"], *_group_row(group))
            for status in statuses
            for group in status.get("groups", {}).values()
        ),
    )
    for status in statuses:
        if "error" in status:
            click.echo(
                f"{output.cell(status['server'])}: {output.cell(status['error'])}"
            )


def _show_table(title: str, columns: tuple[str, ...], rows: Any) -> None:
    rows = list(rows)
    if not rows:
        click.echo(f"{title}: -")
        return
    click.echo(f"{title}:")
    for line in output.table_lines(columns, rows):
        click.echo(f"  {line}")


def _member_row(member: dict[str, Any]) -> list[Any]:
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
    return [member.get(name) for name in names]


def _group_row(group: dict[str, Any]) -> list[Any]:
    config = group.get("config") or {}
    return [
        group.get("name"),
        group.get("role"),
        group.get("leader"),
        group.get("term"),
        group.get("commit_index"),
        group.get("applied_index"),
        list(_instance_ids(config.get("voters", ()))),
        list(_instance_ids(config.get("learners", ()))),
        config.get("epoch"),
        _group_state(group),
    ]


def _group_state(group: dict[str, Any]) -> str:
    if group.get("failure"):
        return group["failure"]
    # An unregistered voter neither votes nor acknowledges.
    return "ok" if group.get("registered", True) else "not registered"


def _instance_ids(voters: list[dict[str, str]]) -> Iterator[str]:
    for voter in voters:
        yield voter["instance"]
