"""Exit codes of the command line."""

import enum

from ..core import errors


class ExitCode(enum.IntEnum):
    """Exit codes; their values must not change, since scripts rely on them."""

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
  6  outcome unknown, or done but the answer is not stored
  7  no server answered: nothing was run or written
  8  invalid input
"""

_EXIT_CODES = {
    errors.ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    errors.ErrorCode.UNKNOWN_ACCOUNT: ExitCode.NOT_FOUND,
    errors.ErrorCode.UNKNOWN_SERVICE: ExitCode.NOT_FOUND,
    errors.ErrorCode.VERSION_CONFLICT: ExitCode.CONFLICT,
    errors.ErrorCode.OPERATION_REUSED: ExitCode.CONFLICT,
    errors.ErrorCode.KEY_REUSED: ExitCode.CONFLICT,
    errors.ErrorCode.BAD_REQUEST: ExitCode.INVALID,
    errors.ErrorCode.BODY_TOO_LARGE: ExitCode.INVALID,
    errors.ErrorCode.INVALID_RECORD: ExitCode.INVALID,
}


def exit_code(error: errors.MarjoramusherError) -> ExitCode:
    """Return the exit code for an error."""
    if error.outcome is not errors.Outcome.NOT_RUN:
        return ExitCode.UNKNOWN
    if error.code is errors.ErrorCode.PEER_UNREACHABLE:
        return ExitCode.UNREACHABLE
    return _EXIT_CODES.get(error.code, ExitCode.REFUSED)
