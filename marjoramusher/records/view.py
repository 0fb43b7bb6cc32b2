"""Records and differences as the operators' interface returns them."""

import datetime
import enum
from typing import Any

import msgspec

from . import document, history, schema


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """A record in one schema.

    Parameters
    ----------
    version : int
        Revision that last wrote the record; the next write names it in `replaces`.
    written_at : datetime.datetime
        Time of the command that wrote it, on the proposer's clock.
    spec : dict or None
        ``None`` if the record is deleted.
    """

    schema: int
    kind: schema.Kind
    name: str
    version: int
    operator: str
    written_at: datetime.datetime
    spec: dict[str, Any] | None = None


class Action(enum.Enum):
    """Effect of a change on a record."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


class Difference(msgspec.Struct, frozen=True):
    """Difference of a record between two states, in schema 2.

    Parameters
    ----------
    fields : tuple of str
        Fields of `spec` whose values differ.
    before, after : dict or None
        `spec` in the two states; ``None`` if the record does not exist.
    """

    kind: schema.Kind
    name: str
    action: Action
    fields: tuple[str, ...]
    before: dict[str, Any] | None
    after: dict[str, Any] | None


def record(key: document.Key, entry: history.Entry, schema_number: int) -> Record:
    """Return a version of a record in a schema."""
    return Record(
        schema=schema_number,
        kind=key[0],
        name=key[1],
        version=entry.revision,
        operator=entry.operator,
        written_at=datetime.datetime.fromtimestamp(entry.written_at, datetime.UTC),
        spec=None
        if entry.spec is None
        else schema.encode_spec(key[0], schema_number, entry.spec),
    )


def difference(
    key: document.Key, before: schema.Spec | None, after: schema.Spec | None
) -> Difference | None:
    """Return the difference between two stored specs, ``None`` if they are equal."""
    if before == after:
        return None
    kind, name = key
    old_spec = (
        None if before is None else schema.encode_spec(kind, schema.LATEST, before)
    )
    new_spec = None if after is None else schema.encode_spec(kind, schema.LATEST, after)
    if old_spec is None:
        action = Action.CREATE
    else:
        action = Action.DELETE if new_spec is None else Action.UPDATE
    names = dict.fromkeys((*(old_spec or {}), *(new_spec or {})))
    fields = tuple(
        field
        for field in names
        if (old_spec or {}).get(field) != (new_spec or {}).get(field)
    )
    return Difference(kind, name, action, fields, old_spec, new_spec)
