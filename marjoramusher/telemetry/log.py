"""Log lines, written only when a state changes."""

import sys
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
