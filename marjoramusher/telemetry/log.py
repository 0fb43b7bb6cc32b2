"""Log lines, written only when a state changes."""

import asyncio
import sys
import traceback
from collections.abc import Callable
from typing import Any

import eliot

from . import sink


def state_change(subject: str, **fields: Any) -> None:
    """Write one line for a change of state.

    Parameters
    ----------
    subject : str
        What has changed, for example ``group.role``.
    **fields : Any
        Old and new values. Tokens and payloads must not be passed.
    """
    eliot.log_message(message_type=subject, **fields)


def unexpected_error(where: str, failure: BaseException) -> None:
    """Write one line for an error that no part of the program expects.

    Parameters
    ----------
    where : str
        Part of the program that goes on without what has failed.
    """
    state_change(
        "program.unexpected_error",
        where=where,
        reason="".join(traceback.format_exception(failure)),
    )


def watch_task(task: asyncio.Task, where: str) -> None:
    """Log an unexpected error that ends a task."""

    def ended(done: asyncio.Task) -> None:
        failure = None if done.cancelled() else done.exception()
        if failure is not None:
            unexpected_error(where, failure)

    task.add_done_callback(ended)


def to_stdout(on_dropped: Callable[[], None] = lambda: None) -> sink.BoundedSink:
    """Send log lines to standard output, as one JSON object each.

    Parameters
    ----------
    on_dropped : callable
        Called once for each line that is dropped.

    Returns
    -------
    BoundedSink
        Has to be flushed now and then, for lines that the output did not take.
    """
    made = sink.BoundedSink(sys.stdout.fileno(), on_dropped=on_dropped)
    eliot.to_file(made)
    return made
