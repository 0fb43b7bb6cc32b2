"""Selection of the log lines of one workflow, task or request.

The lines come from the logs of several processes.
"""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

# Messages that explain delays of any workflow.
CONTEXT_TYPES = frozenset(
    {
        "driver.started",
        "driver.stopped",
        "driver.step_failed",
        "group.failed",
        "leader.lost",
        "leader.regained",
        "controller.started",
        "controller.stopping",
        "gateway.draining",
        "log.dropped",
    }
)
WORKER_CONTEXT_TYPES = frozenset(
    {"worker.silent", "worker.heard", "worker.life_over", "worker.left"}
)
HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
# Time before the first and after the last line about the id in which context is shown.
# The clocks of the machines differ by less.
CONTEXT_MARGIN_S = 5.0


class Line(msgspec.Struct, frozen=True, order=True):
    """Parsed log line.

    Parameters
    ----------
    at_s : float
        Unix time in seconds by the clock of the process.
    source : str
        Name of the log, followed by the machine if the line has a prefix with its name.
    is_about_id : bool
        Whether the line is about the id itself, and not context.
    """

    at_s: float
    source: str
    message_type: str
    text: str
    worker: str = ""
    is_about_id: bool = False


def parse(source: str, lines: Iterable[str], traced_id: str) -> Iterator[Line]:
    """Yield the lines about an id and the lines that may be context for them.

    A prefix before the JSON object, as log collectors add it, becomes part of the
    source. Truncated lines are skipped.

    Parameters
    ----------
    traced_id : str
        Id of a workflow, task or request.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            message_type = fields["message_type"]
            at_s = float(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        is_about_id = _is_about(fields, traced_id)
        if (
            not is_about_id
            and message_type not in CONTEXT_TYPES
            and message_type not in WORKER_CONTEXT_TYPES
        ):
            continue
        prefix = line[:start].split()
        name = f"{source}:{prefix[-1]}" if prefix else source
        worker = str(fields.get("worker", ""))
        yield Line(
            at_s, name, message_type, _format_fields(fields), worker, is_about_id
        )


def select_path(lines: Iterable[Line]) -> list[Line]:
    """Return the lines about the id and their context, sorted by time."""
    sorted_lines = sorted(set(lines))
    matches = [line for line in sorted_lines if line.is_about_id]
    if not matches:
        return []
    first_s, last_s = (
        matches[0].at_s - CONTEXT_MARGIN_S,
        matches[-1].at_s + CONTEXT_MARGIN_S,
    )
    workers = {line.worker for line in matches if line.worker}
    return [
        line
        for line in sorted_lines
        if line.is_about_id
        or (
            first_s <= line.at_s <= last_s
            and (line.message_type in CONTEXT_TYPES or line.worker in workers)
        )
    ]


def render(lines: list[Line]) -> Iterator[str]:
    """Yield the lines as text, with times relative to the first line about the id."""
    matches = [line for line in lines if line.is_about_id]
    if not matches:
        return
    start_s = matches[0].at_s
    width = max(len(line.source) for line in lines)
    for line in lines:
        mark = " " if line.is_about_id else "|"
        yield (
            f"{line.at_s - start_s:+9.3f} s {mark} {line.source:<{width}}  "
            f"{line.message_type:<24} {line.text}"
        )


def _is_about(fields: dict[str, Any], traced_id: str) -> bool:
    if fields.get("workflow") == traced_id:
        return True
    task = str(fields.get("task", ""))
    if task == traced_id or task.startswith(f"{traced_id}."):
        return True
    if str(fields.get("reason", "")).endswith(f"preempted for {traced_id}"):
        return True
    return str(fields.get("path", "")).rpartition("/")[2] == traced_id


def _format_fields(fields: dict[str, Any]) -> str:
    text = " ".join(
        f"{name}={json.dumps(value) if isinstance(value, list) else value}"
        for name, value in fields.items()
        if name not in HIDDEN_FIELDS
    )
    return text.partition("\n")[0]
