"""What readers of records get."""

import datetime
import enum
from typing import Any

import msgspec

from . import document, history, schema


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """A record as readers of one schema see it.

    Parameters
    ----------
    version : int
        Revision that last wrote the record; the next writer names it in `replaces`.
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
    """What a change does to a record."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


class Difference(msgspec.Struct, frozen=True):
    """Difference of one record, in schema 2.

    Parameters
    ----------
    fields : tuple of str
        Fields of `spec` whose values differ.
    """

    kind: schema.Kind
    name: str
    action: Action
    fields: tuple[str, ...]
    before: dict[str, Any] | None
    after: dict[str, Any] | None


def record(key: document.Key, entry: history.Entry, number: int) -> Record:
    """Return the view of a record in a schema."""
    return Record(
        schema=number,
        kind=key[0],
        name=key[1],
        version=entry.revision,
        operator=entry.operator,
        written_at=datetime.datetime.fromtimestamp(entry.at, datetime.UTC),
        spec=None if entry.spec is None else schema.view(key[0], number, entry.spec),
    )


def difference(
    key: document.Key, before: schema.Spec | None, after: schema.Spec | None
) -> Difference | None:
    """Return the difference between two unions, ``None`` if they are equal."""
    if before == after:
        return None
    kind, name = key
    old = None if before is None else schema.view(kind, schema.LATEST, before)
    new = None if after is None else schema.view(kind, schema.LATEST, after)
    if old is None:
        action = Action.CREATE
    else:
        action = Action.DELETE if new is None else Action.UPDATE
    names = dict.fromkeys((*(old or {}), *(new or {})))
    fields = tuple(
        field for field in names if (old or {}).get(field) != (new or {}).get(field)
    )
    return Difference(kind, name, action, fields, old, new)
