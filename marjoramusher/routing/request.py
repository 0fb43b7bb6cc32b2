"""Requests, and what became of an attempt, as the router sees them."""

import enum

import msgspec


class RequestClass(enum.Enum):
    """Class of a request by its run time."""

    SHORT = "short"
    LONG = "long"


class Request(msgspec.Struct, frozen=True, gc=False):
    """A short request without its payload.

    Parameters
    ----------
    declared : RequestClass or None
        Hint of the caller; the learned run time decides.
    deadline : float
        Instant of the monotonic clock after which an answer is useless.
    is_forwarded : bool
        True if another failure domain sent it here; it isn't forwarded again.
    """

    request_id: str
    account: str
    service: str
    deadline: float
    declared: RequestClass | None = None
    repeatable: bool = True
    payload_bytes: int = 0
    is_forwarded: bool = False


class FailureKind(enum.Enum):
    """Why an attempt gave no answer."""

    UNREACHABLE = "unreachable"
    NOT_STARTED = "not_started"
    SILENT = "silent"
    CUT = "cut"
    CROSSED = "crossed"


NOT_SENT = frozenset({FailureKind.UNREACHABLE, FailureKind.NOT_STARTED})
"""Failures after which the target has certainly not run the request."""
