"""Exit codes of the command line; they are part of its interface."""

import enum

from ..core import errors


class Exit(enum.IntEnum):
    """Exit codes; scripts rely on them, so they never change."""

    OK = 0
    INTERRUPTED = 1
    USAGE = 2
    NOT_FOUND = 3
    CONFLICT = 4
    REFUSED = 5
    UNKNOWN = 6
    UNREACHABLE = 7
    INVALID = 8


HELP = """\b
Exit codes:
  0  done
  1  interrupted
  2  wrong usage
  3  not found
  4  conflict with another change, or a key or operation id used twice
  5  refused: nothing was run or written
  6  outcome unknown, or done with the answer not kept
  7  no server answered: nothing was run or written
  8  invalid input
"""

_CODES = {
    errors.ErrorCode.NOT_FOUND: Exit.NOT_FOUND,
    errors.ErrorCode.UNKNOWN_ACCOUNT: Exit.NOT_FOUND,
    errors.ErrorCode.UNKNOWN_SERVICE: Exit.NOT_FOUND,
    errors.ErrorCode.VERSION_CONFLICT: Exit.CONFLICT,
    errors.ErrorCode.OPERATION_REUSED: Exit.CONFLICT,
    errors.ErrorCode.KEY_REUSED: Exit.CONFLICT,
    errors.ErrorCode.BAD_REQUEST: Exit.INVALID,
    errors.ErrorCode.BODY_TOO_LARGE: Exit.INVALID,
    errors.ErrorCode.INVALID_RECORD: Exit.INVALID,
}


def of(error: errors.MarjoramusherError) -> Exit:
    """Return the exit code for an error."""
    if error.outcome is not errors.Outcome.NOT_RUN:
        return Exit.UNKNOWN
    if error.code is errors.ErrorCode.PEER_UNREACHABLE:
        return Exit.UNREACHABLE
    return _CODES.get(error.code, Exit.REFUSED)
