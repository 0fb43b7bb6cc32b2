"""Faults of operators' documents."""

import enum

import msgspec

from ..core import codec, errors

MAX_FAULTS = 100  # keeps an error answer far below the body limit


class Rule(enum.Enum):
    """Rule that a document breaks."""

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


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Parameters
    ----------
    record : str
        ``kind/name``, or the position in the document if these can't be read.
    field : str
        Field of the record; those inside `spec` start with ``spec.``.
    """

    record: str
    field: str
    rule: Rule
    message: str


def invalid(faults: list[Fault]) -> errors.ErrorBody:
    """Return the error that lists the faults."""
    first = faults[0]
    more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
    return errors.ErrorBody(
        errors.ErrorCode.INVALID_RECORD,
        errors.Outcome.NOT_RUN,
        f"{': '.join(filter(None, (first.record, first.field, first.message)))}{more}",
        _details(faults),
    )


def conflict(faults: list[Fault], current: list) -> errors.ErrorBody:
    """Return the error of a change that was based on other versions.

    Parameters
    ----------
    current : list of view.Record
        Records as they are now; deleted ones are missing.
    """
    return errors.ErrorBody(
        errors.ErrorCode.VERSION_CONFLICT,
        errors.Outcome.NOT_RUN,
        f"{faults[0].record}: {faults[0].message}",
        {
            **_details(faults),
            "current": codec.to_json(current[:MAX_FAULTS]).decode(),
        },
    )


def _details(faults: list[Fault]) -> dict[str, str]:
    return {
        "fault_count": str(len(faults)),
        "faults": codec.to_json(faults[:MAX_FAULTS]).decode(),
    }
