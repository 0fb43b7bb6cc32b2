"""Errors that a request is refused with."""

from ..core import errors
from . import effect, fair_queue, request

_MESSAGES = {
    errors.ErrorCode.OVERLOADED: "the expected wait is too long for the request",
    errors.ErrorCode.NO_TARGET: "no target of the service takes work",
    errors.ErrorCode.DEADLINE_EXCEEDED: "the deadline has passed or can't be kept",
    errors.ErrorCode.TARGET_FAILED: "the target gave no complete answer",
}


def refuse(entry: fair_queue.Entry, code: errors.ErrorCode) -> effect.Refuse:
    """Refuse an entry; it counts as not run only if no attempt may have run it."""
    outcome = errors.Outcome.UNKNOWN if entry.sent else errors.Outcome.NOT_RUN
    body = errors.ErrorBody(code, outcome, _MESSAGES[code])
    return effect.Refuse(entry.asked.request_id, body)


def refuse_service(asked: request.Request) -> effect.Refuse:
    """Refuse a request whose service has no record."""
    message = f"service {asked.service} has no record"
    return _refuse_new(asked, errors.ErrorCode.UNKNOWN_SERVICE, message)


def refuse_account(asked: request.Request) -> effect.Refuse:
    """Refuse a request whose client account has no record."""
    message = f"client account {asked.account} has no record"
    return _refuse_new(asked, errors.ErrorCode.UNKNOWN_ACCOUNT, message)


def refuse_repeated(asked: request.Request) -> effect.Refuse:
    """Refuse a request whose id belongs to another request under way."""
    message = "the request id is in use"
    return _refuse_new(asked, errors.ErrorCode.BAD_REQUEST, message)


def _refuse_new(
    asked: request.Request, code: errors.ErrorCode, message: str
) -> effect.Refuse:
    body = errors.ErrorBody(code, errors.Outcome.NOT_RUN, message)
    return effect.Refuse(asked.request_id, body)
