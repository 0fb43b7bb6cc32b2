"""Checks of callers' headers."""

from collections.abc import Mapping

from ..core import errors

MAX_NAME_CHARS = 200


def name(value: str | None, what: str) -> str:
    """Check a name from a header or path."""
    if not value or len(value) > MAX_NAME_CHARS or not value.isprintable():
        raise errors.BadRequestError(f"{what} is missing or malformed")
    return value


def integer(value: str, what: str, least: int, most: int) -> int:
    """Check an integer from a header."""
    digits = value.isascii() and value.isdigit() and len(value) <= 18
    number = int(value) if digits else -1
    if not least <= number <= most:
        raise errors.BadRequestError(f"{what} is not from {least} to {most}")
    return number


def flag(value: str, what: str) -> bool:
    """Check a truth value from a header."""
    if value not in ("true", "false"):
        raise errors.BadRequestError(f"{what} is neither true nor false")
    return value == "true"


def issued_at(headers: Mapping[str, str]) -> float | None:
    """Return when the caller made its idempotency key, if it said so."""
    if "Idempotency-Issued-At" not in headers:
        return None
    value = headers["Idempotency-Issued-At"]
    return integer(value, "Idempotency-Issued-At", 0, 2**50) / 1000
