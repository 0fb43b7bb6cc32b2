"""Findings of a configuration check, and differences between two configurations."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias

import msgspec

# Fields of each entry as JSON values, by kind and name.
Entries: TypeAlias = Mapping[tuple[str, str], Mapping[str, Any]]


class Severity(enum.Enum):
    """What follows from a finding."""

    ERROR = "error"  # the system refuses the configuration
    WARNING = "warning"  # it accepts the configuration, which is likely a mistake


class Finding(msgspec.Struct, frozen=True):
    """Something that an operator should look at.

    Parameters
    ----------
    entry : str
        ``kind/name`` of an entry, empty for the whole configuration.
    """

    severity: Severity
    entry: str
    message: str


class Difference(msgspec.Struct, frozen=True):
    """An entry that two configurations differ in.

    Parameters
    ----------
    action : str
        ``create``, ``update`` or ``delete``.
    fields : tuple of str
        Fields that differ.
    before, after : dict or None
        All fields of the entry, ``None`` if it does not exist.
    """

    action: str
    kind: str
    name: str
    fields: tuple[str, ...]
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class Report(msgspec.Struct, frozen=True):
    """Result of a configuration check.

    Parameters
    ----------
    differences : tuple of Difference or None
        ``None`` if there was nothing to compare with.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    @property
    def has_errors(self) -> bool:
        """Tell whether the system refuses the configuration."""
        return any(finding.severity is Severity.ERROR for finding in self.findings)


def error(entry: str, message: str) -> Finding:
    """Return a finding for which the configuration is refused."""
    return Finding(Severity.ERROR, entry, message)


def warning(entry: str, message: str) -> Finding:
    """Return a finding with which the configuration is accepted."""
    return Finding(Severity.WARNING, entry, message)


def differences(before: Entries, after: Entries) -> Iterator[Difference]:
    """Yield the entries in which two configurations differ, by kind and name."""
    for key in sorted({*before, *after}):
        old, new = before.get(key), after.get(key)
        fields = tuple(
            field
            for field in sorted({*(old or {}), *(new or {})})
            if (old or {}).get(field) != (new or {}).get(field)
        )
        if old is not None and new is not None and not fields:
            continue
        action = "create" if old is None else "delete" if new is None else "update"
        yield Difference(
            action,
            *key,
            fields,
            None if old is None else dict(old),
            None if new is None else dict(new),
        )
