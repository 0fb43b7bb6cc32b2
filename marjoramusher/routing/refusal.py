"""Error responses for refused requests."""

from ..core import errors
from . import effect, fair_queue
from . import request as requests

_MESSAGES = {
    errors.ErrorCode.OVERLOADED: "the queue is full or the expected wait is too long",
    errors.ErrorCode.NO_TARGET: "no target of the service accepts requests",
    errors.ErrorCode.DEADLINE_EXCEEDED: "the deadline has passed or cannot be met",
    errors.ErrorCode.TARGET_FAILED: "the target sent no complete response",
}


def refuse(entry: fair_queue.Entry, code: errors.ErrorCode) -> effect.Refuse:
    """Refuse an entry, with outcome `NOT_RUN` if no attempt can have run it."""
    outcome = errors.Outcome.UNKNOWN if entry.may_have_run else errors.Outcome.NOT_RUN
    body = errors.ErrorBody(code, outcome, _MESSAGES[code])
    return effect.Refuse(entry.request.request_id, body)


def refuse_unknown_service(request: requests.Request) -> effect.Refuse:
    """Refuse a request whose service has no record."""
    message = f"service {request.service} has no record"
    return _refuse_not_run(request, errors.ErrorCode.UNKNOWN_SERVICE, message)


def refuse_unknown_account(request: requests.Request) -> effect.Refuse:
    """Refuse a request whose client account has no record."""
    message = f"client account {request.account} has no record"
    return _refuse_not_run(request, errors.ErrorCode.UNKNOWN_ACCOUNT, message)


def refuse_duplicate_id(request: requests.Request) -> effect.Refuse:
    """Refuse a request whose id belongs to another request in progress."""
    message = "another request in progress has the same request id"
    return _refuse_not_run(request, errors.ErrorCode.BAD_REQUEST, message)


def _refuse_not_run(
    request: requests.Request, code: errors.ErrorCode, message: str
) -> effect.Refuse:
    body = errors.ErrorBody(code, errors.Outcome.NOT_RUN, message)
    return effect.Refuse(request.request_id, body)
