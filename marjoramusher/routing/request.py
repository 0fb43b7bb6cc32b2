"""Requests and the failures of their attempts, as the router sees them."""

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
    deadline : float
        Monotonic time after which a response is of no use to the caller.
    declared_class : RequestClass or None
        Hint from the caller; once run times are learned, they determine the class.
    repeatable : bool
        True if the request may run more than once.
    is_forwarded : bool
        True if another failure domain forwarded the request; it isn't forwarded again.
    """

    request_id: str
    account: str
    service: str
    deadline: float
    declared_class: RequestClass | None = None
    repeatable: bool = True
    payload_bytes: int = 0
    is_forwarded: bool = False


class FailureKind(enum.Enum):
    """Reason why an attempt has no complete response.

    Attributes
    ----------
    UNREACHABLE
        The connection to the target could not be opened.
    NOT_STARTED
        The target refused the request before running it.
    SILENT
        The target sent nothing for the progress timeout.
    CUT
        The connection was closed before the end of the response.
    CROSSED
        The target sent the response of another request.
    """

    UNREACHABLE = "unreachable"
    NOT_STARTED = "not_started"
    SILENT = "silent"
    CUT = "cut"
    CROSSED = "crossed"


NOT_RUN_FAILURES = frozenset({FailureKind.UNREACHABLE, FailureKind.NOT_STARTED})
"""Failures after which the target has certainly not run the request."""
