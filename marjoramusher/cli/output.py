"""Output of tables, JSON and errors."""

import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import click

from ..core import errors


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def show_json_line(value: Any) -> None:
    """Print a value as JSON on a single line."""
    click.echo(json.dumps(value, ensure_ascii=False))


def show_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    for line in table_lines(columns, rows):
        click.echo(line)


def table_lines(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns."""
    cells = [[column.upper() for column in columns]]
    cells.extend([cell(value) for value in row] for row in rows)
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def cell(value: Any) -> str:
    """Return the single-line text of a value in a table."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, dict):
        return " ".join(f"{name}={cell(part)}" for name, part in value.items()) or "-"
    if isinstance(value, list):
        return ",".join(cell(part) for part in value) or "-"
    # Values from the network must not contain terminal control characters.
    return "".join(char if char.isprintable() else "?" for char in str(value))


def show_records(records: Iterable[dict[str, Any]]) -> None:
    """Print records as a table."""
    show_table(
        ("kind", "name", "version", "operator", "written at", "spec"),
        (
            (
                record["kind"],
                record["name"],
                record["version"],
                record["operator"],
                record["written_at"],
                record.get("spec", "(deleted)"),
            )
            for record in records
        ),
    )


def show_applied(applied: dict[str, Any]) -> None:
    """Print the revision and the records that a change has written."""
    click.echo(
        f"revision {applied['revision']} (operation {cell(applied['operation_id'])})"
    )
    show_table(
        ("kind", "name", "version", "result"),
        (
            (
                record_result["kind"],
                record_result["name"],
                record_result["version"],
                _result(record_result),
            )
            for record_result in applied["records"]
        ),
    )


def show_differences(differences: Iterable[dict[str, Any]]) -> None:
    """Print differences with one row for each field."""
    rows = []
    for difference in differences:
        before, after = difference["before"] or {}, difference["after"] or {}
        for field in difference["fields"]:
            rows.append(
                (
                    difference["action"],
                    f"{difference['kind']}/{difference['name']}",
                    field,
                    before.get(field),
                    after.get(field),
                )
            )
    if not rows:
        click.echo("no differences")
        return
    show_table(("action", "record", "field", "before", "after"), rows)


def show_sections(sections: dict[str, Any]) -> None:
    """Print sections; lists of objects as tables and other values on one line."""
    for name, value in sections.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            columns = list(dict.fromkeys(key for row in value for key in row))
            click.echo(f"{name}:")
            for line in table_lines(
                columns, ([row.get(column) for column in columns] for row in value)
            ):
                click.echo(f"  {line}")
        else:
            click.echo(f"{name}: {cell(value)}")


def show_jobs(jobs: Iterable[dict[str, Any]]) -> None:
    """Print jobs as a table."""
    show_table(
        ("job", "account", "contract", "class", "state", "attempts", "error"),
        (
            (
                job["job_id"],
                job["spec"].get("account"),
                job["spec"].get("contract"),
                job["spec"].get("job_class", "normal"),
                job["state"],
                job.get("attempts", 0),
                (job.get("error") or {}).get("code"),
            )
            for job in jobs
        ),
    )


def show_metrics(
    before: dict[str, Any] | None, after: dict[str, Any], elapsed_s: float
) -> None:
    """Print metrics, with the rates of counters if there is an earlier sample."""
    previous_values = {
        _series_key(counter): counter["value"]
        for counter in (before or {}).get("counters", ())
    }
    rows = []
    for counter in after["counters"]:
        rate = None
        if before is not None:
            rate = (
                counter["value"] - previous_values.get(_series_key(counter), 0.0)
            ) / elapsed_s
        rows.append((counter["name"], counter["labels"], counter["value"], rate))
    rows.extend(
        (gauge["name"], gauge["labels"], gauge["value"], None)
        for gauge in after["gauges"]
    )
    show_table(("metric", "labels", "value", "per s"), rows)
    if after["histograms"]:
        show_table(
            ("duration", "labels", "count", "mean s", "p50 s", "p99 s"),
            (
                (
                    histogram["name"],
                    {
                        name: text
                        for name, text in histogram["labels"].histograms()
                        if text
                    },
                    histogram["count"],
                    histogram["mean_s"],
                    histogram["quantiles_s"].get("0.5"),
                    histogram["quantiles_s"].get("0.99"),
                )
                for histogram in after["histograms"]
            ),
        )


def show_error(error: errors.MarjoramusherError, as_json: bool) -> None:
    """Print an error on standard error."""
    body = error.body()
    if as_json:
        error_json = {
            "code": body.code.value,
            "outcome": body.outcome.value,
            "message": body.message,
            "details": {name: _parse_json(text) for name, text in body.details.items()},
        }
        click.echo(json.dumps({"error": error_json}, indent=2), err=True)
        return
    click.echo(
        f"error: {cell(body.message)} ({body.code.value}, "
        f"outcome {body.outcome.value.replace('_', ' ')})",
        err=True,
    )
    faults = _parse_json(body.details.get("faults", "[]"))
    if isinstance(faults, list) and faults:
        rows = [[fault.get(column) for column in _FAULT_COLUMNS] for fault in faults]
        for line in table_lines(_FAULT_COLUMNS, rows):
            click.echo(f"  {line}", err=True)


_FAULT_COLUMNS = ("record", "field", "rule", "message")


def _parse_json(text: str) -> Any:
    if text[:1] not in ("[", "{"):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text


def _result(record_result: dict[str, Any]) -> str:
    if not record_result.get("changed", True):
        return "unchanged"
    return "deleted" if record_result.get("deleted") else "written"


def _series_key(metric: dict[str, Any]) -> tuple[Any, ...]:
    return metric["name"], *sorted(metric["labels"].items())
