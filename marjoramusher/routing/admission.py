"""Whether a new request may wait for a slot."""

from ..core import errors
from . import fair_queue, request, state

SHORT, LONG = state.SHORT, state.LONG
MAX_QUEUE_S = {SHORT: 0.75, LONG: 20.0}
MAX_QUEUED = 4096  # for each service and class; bounds memory


def may_start(service: state.Service, run_class: request.RequestClass) -> bool:
    """Tell whether a new request may take a free slot ahead of the queues."""
    if not service.free or service.short_queue.count:
        return False
    return run_class is SHORT or (
        not service.long_queue.count and service.in_flight[LONG] < service.long_limit
    )


def may_queue(
    service: state.Service,
    entry: fair_queue.Entry,
    wait_s: float,
    slack_s: float,
    starting: bool,
) -> bool:
    """Tell whether a request may queue, given its wait and the time it has left.

    Parameters
    ----------
    starting : bool
        True while targets may not have announced themselves yet.
    """
    run_class = entry.run_class
    return (
        wait_s + entry.cost_s <= slack_s
        and wait_s <= MAX_QUEUE_S[run_class]
        and service.queues[run_class].count < MAX_QUEUED
        and (bool(service.targets) or starting)
    )


def shed_code(
    service: state.Service, entry: fair_queue.Entry, slack_s: float
) -> errors.ErrorCode:
    """Return why a request that may not queue is refused."""
    if not service.targets:
        return errors.ErrorCode.NO_TARGET
    if slack_s < entry.cost_s:
        return errors.ErrorCode.DEADLINE_EXCEEDED
    return errors.ErrorCode.OVERLOADED
