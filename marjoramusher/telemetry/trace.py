"""Find the path of one workflow or request in the logs of several processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

# Lines that explain why nothing happened to a workflow for a while.
CONTEXT = frozenset(
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
WORKER_CONTEXT = frozenset(
    {"worker.silent", "worker.heard", "worker.life_over", "worker.left"}
)
HIDDEN = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
# Clocks of the machines differ by less; context is shown this much around the path.
MARGIN_S = 5.0


class Line(msgspec.Struct, frozen=True, order=True):
    """One line of a log.

    Parameters
    ----------
    at_s : float
        Unix seconds on the clock of the process.
    source : str
        Name of the log, with the machine if the line names it.
    """

    at_s: float
    source: str
    kind: str
    text: str
    worker: str = ""
    own: bool = False


def parse(source: str, lines: Iterable[str], wanted: str) -> Iterator[Line]:
    """Give the lines that concern an id, and those that may explain them.

    Text before the object of a line, as log collectors add it, becomes part of the
    source; lines that are torn are left out.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            kind = fields["message_type"]
            at_s = float(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        own = _concerns(fields, wanted)
        if not own and kind not in CONTEXT and kind not in WORKER_CONTEXT:
            continue
        prefix = line[:start].split()
        name = f"{source}:{prefix[-1]}" if prefix else source
        worker = str(fields.get("worker", ""))
        yield Line(at_s, name, kind, _text(fields), worker, own)


def select_path(lines: Iterable[Line]) -> list[Line]:
    """Return the path of the id, with the context of its time, in order of time."""
    found = sorted(set(lines))
    own = [line for line in found if line.own]
    if not own:
        return []
    first_s, last_s = own[0].at_s - MARGIN_S, own[-1].at_s + MARGIN_S
    workers = {line.worker for line in own if line.worker}
    return [
        line
        for line in found
        if line.own
        or (
            first_s <= line.at_s <= last_s
            and (line.kind in CONTEXT or line.worker in workers)
        )
    ]


def render(lines: list[Line]) -> Iterator[str]:
    """Give the text of a path, with times from its first own line on."""
    own = [line for line in lines if line.own]
    if not own:
        return
    start_s = own[0].at_s
    width = max(len(line.source) for line in lines)
    for line in lines:
        mark = " " if line.own else "|"
        yield (
            f"{line.at_s - start_s:+9.3f} s {mark} {line.source:<{width}}  "
            f"{line.kind:<24} {line.text}"
        )


def _concerns(fields: dict[str, Any], wanted: str) -> bool:
    if fields.get("workflow") == wanted:
        return True
    task = str(fields.get("task", ""))
    if task == wanted or task.startswith(f"{wanted}."):
        return True
    if str(fields.get("reason", "")).endswith(f"preempted for {wanted}"):
        return True
    return str(fields.get("path", "")).rpartition("/")[2] == wanted


def _text(fields: dict[str, Any]) -> str:
    shown = " ".join(
        f"{name}={json.dumps(value) if isinstance(value, list) else value}"
        for name, value in fields.items()
        if name not in HIDDEN
    )
    return shown.partition("\n")[0]
