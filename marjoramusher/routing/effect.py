"""Actions that a routing policy requests from the engine."""

from typing import TypeAlias

import msgspec

from ..core import errors
from . import request as requests


class Dispatch(msgspec.Struct, frozen=True, gc=False):
    """Send a request to a target.

    Parameters
    ----------
    waited_s : float
        Time since the request was submitted.
    behind_long : bool
        True if a short request was dispatched while long requests held slots.
    """

    request_id: str
    attempt: int
    target: str
    url: str
    progress_timeout_s: float
    run_class: requests.RequestClass
    waited_s: float = 0.0
    behind_long: bool = False


class Refuse(msgspec.Struct, frozen=True):
    """Respond to a request with an error."""

    request_id: str
    error: errors.ErrorBody


class Forward(msgspec.Struct, frozen=True, gc=False):
    """Forward a request to another failure domain."""

    request_id: str
    failure_domain: str


class Cancel(msgspec.Struct, frozen=True, gc=False):
    """Cancel an attempt; its result is ignored."""

    request_id: str
    attempt: int


Effect: TypeAlias = Dispatch | Refuse | Forward | Cancel
