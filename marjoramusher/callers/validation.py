"""Validation of header and path values sent by callers."""

from collections.abc import Mapping

from ..core import errors

MAX_NAME_CHARS = 200


def check_name(value: str | None, field: str) -> str:
    """Return a name from a header or path.

    Raises
    ------
    BadRequestError
        If it is missing, too long or not printable.
    """
    if not value or len(value) > MAX_NAME_CHARS or not value.isprintable():
        raise errors.BadRequestError(f"{field} is missing or malformed")
    return value


def parse_integer(value: str, field: str, minimum: int, maximum: int) -> int:
    """Return the integer in a header.

    Raises
    ------
    BadRequestError
        If it is not an integer from `minimum` to `maximum`.
    """
    is_integer = value.isascii() and value.isdigit() and len(value) <= 18
    number = int(value) if is_integer else -1
    if not minimum <= number <= maximum:
        raise errors.BadRequestError(
            f"{field} must be an integer from {minimum} to {maximum}"
        )
    return number


def parse_flag(value: str, field: str) -> bool:
    """Return the boolean in a header.

    Raises
    ------
    BadRequestError
        If it is neither ``true`` nor ``false``.
    """
    if value not in ("true", "false"):
        raise errors.BadRequestError(f"{field} must be true or false")
    return value == "true"


def parse_issued_at(headers: Mapping[str, str]) -> float | None:
    """Return when the caller made its idempotency key, in Unix seconds, if given.

    The header holds milliseconds.

    Raises
    ------
    BadRequestError
        If the header is malformed.
    """
    if "Idempotency-Issued-At" not in headers:
        return None
    value = headers["Idempotency-Issued-At"]
    return parse_integer(value, "Idempotency-Issued-At", 0, 2**50) / 1000
