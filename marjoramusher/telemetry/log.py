"""Structured log lines, written only on state changes and unexpected errors."""

import asyncio
import sys
import traceback
from collections.abc import Callable
from typing import Any

import eliot

from . import sink


def state_change(subject: str, **fields: Any) -> None:
    """Log a change of state.

    Parameters
    ----------
    subject : str
        Type of the message, for example ``group.role``.
    **fields : Any
        Fields of the message. Must not contain tokens or payloads.
    """
    eliot.log_message(message_type=subject, **fields)


def unexpected_error(where: str, failure: BaseException) -> None:
    """Log an exception that is not handled otherwise, with its traceback.

    Parameters
    ----------
    where : str
        Component in which the exception occurred.
    """
    state_change(
        "program.unexpected_error",
        where=where,
        reason="".join(traceback.format_exception(failure)),
    )


def watch_task(task: asyncio.Task, where: str) -> None:
    """Log the exception if a task fails."""

    def log_exception(done: asyncio.Task) -> None:
        failure = None if done.cancelled() else done.exception()
        if failure is not None:
            unexpected_error(where, failure)

    task.add_done_callback(log_exception)


def to_stdout(on_dropped: Callable[[], None] = lambda: None) -> sink.BoundedSink:
    """Write log lines to standard output, each as a JSON object.

    Parameters
    ----------
    on_dropped : callable
        Called for each dropped line.

    Returns
    -------
    BoundedSink
        Sink to be flushed periodically, since the output may not accept all lines.
    """
    bounded_sink = sink.BoundedSink(sys.stdout.fileno(), on_dropped=on_dropped)
    eliot.to_file(bounded_sink)
    return bounded_sink
