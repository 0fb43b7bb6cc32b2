"""Log lines, written only when a state changes."""

import sys
from typing import Any, TextIO

import eliot


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


def to_file(stream: TextIO = sys.stderr) -> None:
    """Send log lines to a stream, as one JSON object each."""
    eliot.to_file(stream)
