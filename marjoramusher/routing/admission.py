"""Admission control: whether a new request is dispatched, queued or shed."""

from ..core import errors
from . import fair_queue, state
from . import request as requests

SHORT, LONG = state.SHORT, state.LONG
MAX_QUEUE_WAIT_S = {SHORT: 0.75, LONG: 20.0}
MAX_QUEUE_LENGTH = 4096  # for each service and class; bounds memory


def can_dispatch_now(
    service: state.ServiceState, run_class: requests.RequestClass
) -> bool:
    """Tell whether a new request may take a free slot without queueing."""
    if not service.free_targets or service.short_queue.length:
        return False
    return run_class is SHORT or (
        not service.long_queue.length
        and service.in_flight[LONG] < service.long_slot_limit
    )


def can_queue(
    service: state.ServiceState,
    entry: fair_queue.Entry,
    wait_s: float,
    slack_s: float,
    is_starting_up: bool,
) -> bool:
    """Tell whether a request may be queued.

    Parameters
    ----------
    wait_s : float
        Expected wait in the queue.
    slack_s : float
        Time to the deadline of the request.
    is_starting_up : bool
        True while targets may not have announced themselves yet.
    """
    run_class = entry.run_class
    return (
        wait_s + entry.cost_s <= slack_s
        and wait_s <= MAX_QUEUE_WAIT_S[run_class]
        and service.queues[run_class].length < MAX_QUEUE_LENGTH
        and (bool(service.targets) or is_starting_up)
    )


def shed_error_code(
    service: state.ServiceState, entry: fair_queue.Entry, slack_s: float
) -> errors.ErrorCode:
    """Return the error code for a request that can't be queued."""
    if not service.targets:
        return errors.ErrorCode.NO_TARGET
    if slack_s < entry.cost_s:
        return errors.ErrorCode.DEADLINE_EXCEEDED
    return errors.ErrorCode.OVERLOADED
