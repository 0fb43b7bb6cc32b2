"""Violations of the rules for records, and the errors that report them."""

import enum

import msgspec

from ..core import codec, errors

# Keeps an error response far below the size limit of a body.
MAX_REPORTED_VIOLATIONS = 100


class Rule(enum.Enum):
    """Rules that a document can violate."""

    MALFORMED = "malformed"
    MISSING = "missing"
    UNKNOWN_FIELD = "unknown_field"
    INVALID_VALUE = "invalid_value"
    UNSUPPORTED_SCHEMA = "unsupported_schema"
    DUPLICATE = "duplicate"
    VERSION = "version"
    REFERENCE = "reference"
    IMMUTABLE = "immutable"
    IN_USE = "in_use"
    CONTRADICTS_NEWER_SCHEMA = "contradicts_newer_schema"
    LIMIT = "limit"


class Violation(msgspec.Struct, frozen=True):
    """A rule that a field of a document violates.

    Parameters
    ----------
    record : str
        ``kind/name``, or the document's position in the change if kind and name can't
        be read.
    field : str
        Field of the document; fields inside `spec` start with ``spec.``.
    """

    record: str
    field: str
    rule: Rule
    message: str


def invalid_record_error(violations: list[Violation]) -> errors.ErrorBody:
    """Return the error that refuses a change with invalid documents."""
    first = violations[0]
    more = f" (and {len(violations) - 1} more)" if len(violations) > 1 else ""
    return errors.ErrorBody(
        errors.ErrorCode.INVALID_RECORD,
        errors.Outcome.NOT_RUN,
        f"{': '.join(filter(None, (first.record, first.field, first.message)))}{more}",
        _details(violations),
    )


def version_conflict_error(
    violations: list[Violation], current_records: list
) -> errors.ErrorBody:
    """Return the error that refuses a change based on outdated versions.

    Parameters
    ----------
    current_records : list of view.Record
        Current versions of the records in conflict, without deleted ones.
    """
    return errors.ErrorBody(
        errors.ErrorCode.VERSION_CONFLICT,
        errors.Outcome.NOT_RUN,
        f"{violations[0].record}: {violations[0].message}",
        {
            **_details(violations),
            "current": codec.to_json(
                current_records[:MAX_REPORTED_VIOLATIONS]
            ).decode(),
        },
    )


def _details(violations: list[Violation]) -> dict[str, str]:
    return {
        "fault_count": str(len(violations)),
        "faults": codec.to_json(violations[:MAX_REPORTED_VIOLATIONS]).decode(),
    }
