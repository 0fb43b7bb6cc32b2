"""Schemas 1 and 2 of each kind of record, and how they relate.

Schema 2 has every field of schema 1, so its type also stores the union: a field that
only schema 2 has stays unset until a writer of schema 2 sets it.
"""

import datetime
import enum
from collections.abc import Iterator
from typing import Annotated, Any, TypeAlias

import msgspec

from ..core import record, resource
from . import violation

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}\Z"
SCHEMAS = (1, 2)
LATEST = 2

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Text = Annotated[str, msgspec.Meta(max_length=256)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Instant = Annotated[datetime.datetime, msgspec.Meta(tz=True)]
Unset = msgspec.UnsetType
UNSET = msgspec.UNSET


class Kind(enum.Enum):
    """Kinds of records."""

    CLIENT_ACCOUNT = "client_account"
    GUARANTEED_SHAPE = "guaranteed_shape"
    CONTRACT = "contract"
    SERVICE = "service"
    DRAIN = "drain"
    QUARANTINE = "quarantine"


class ClientAccount1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 1 of a client account."""

    home: Name


class ClientAccount2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 2 of a client account."""

    home: Name
    weight: Annotated[int, msgspec.Meta(ge=1, le=10_000)] | Unset = UNSET


class GuaranteedShape1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 1 of a guaranteed shape: plain counts.

    Parameters
    ----------
    accelerators : int
        Accelerators of one gang.
    """

    account: Name
    failure_domain: Name
    gangs: Count
    accelerators: Count


class GuaranteedShape2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 2 of a guaranteed shape.

    Parameters
    ----------
    tasks : int or UNSET
        Tasks that share the accelerators of a gang evenly; one accelerator to a task
        if unset.
    cores, memory_mb : int or UNSET
        Amounts for each task.
    """

    account: Name
    failure_domain: Name
    gangs: Count
    accelerators: Count
    tasks: Count | Unset = UNSET
    cores: Amount | Unset = UNSET
    memory_mb: Amount | Unset = UNSET
    adjacency: resource.Adjacency | Unset = UNSET
    job_class: resource.JobClass | Unset = UNSET


class Contract1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 1 of a contract."""

    account: Name
    failure_domain: Name
    expires_at: Instant


class Contract2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 2 of a contract."""

    account: Name
    failure_domain: Name
    expires_at: Instant
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=86_400)] | Unset = UNSET


class Service1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 1 of a service."""

    deadline_s: Seconds = 30.0


class Service2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 2 of a service."""

    deadline_s: Seconds = 30.0
    short_run_s: Seconds | Unset = UNSET
    progress_timeout_s: Seconds | Unset = UNSET


class Withdrawal1(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 1 of a drain or quarantine."""

    failure_domain: Name


class Withdrawal2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema 2 of a drain or quarantine."""

    failure_domain: Name
    reason: Text | Unset = UNSET


Spec: TypeAlias = ClientAccount2 | GuaranteedShape2 | Contract2 | Service2 | Withdrawal2

TYPES: dict[Kind, tuple[type, type]] = {
    Kind.CLIENT_ACCOUNT: (ClientAccount1, ClientAccount2),
    Kind.GUARANTEED_SHAPE: (GuaranteedShape1, GuaranteedShape2),
    Kind.CONTRACT: (Contract1, Contract2),
    Kind.SERVICE: (Service1, Service2),
    Kind.DRAIN: (Withdrawal1, Withdrawal2),
    Kind.QUARANTINE: (Withdrawal1, Withdrawal2),
}

# Fields that name a client account or a failure domain.
REFERENCES = ("account", "failure_domain", "home")

Problem: TypeAlias = tuple[str, violation.Rule, str]  # field, rule, message


def spec_type(kind: Kind, schema: int) -> type:
    """Return the type of a kind's `spec` in a schema."""
    return TYPES[kind][schema - 1]


def decode(kind: Kind, schema: int, value: Any) -> tuple[Any, list[Problem]]:
    """Convert a decoded JSON value to a `spec`.

    Returns
    -------
    spec : struct or None
        ``None`` if there are problems.
    problems : list
        All that could be found, not only the first.
    """
    kind_type = spec_type(kind, schema)
    try:
        spec = msgspec.convert(value, kind_type)
    except msgspec.ValidationError:
        return None, list(field_problems(value, kind_type))
    problems = list(_instant_problems(spec))
    return (None if problems else spec), problems


def field_problems(value: Any, kind: type) -> Iterator[Problem]:
    """Yield a problem for each field that does not fit the type."""
    if not isinstance(value, dict):
        yield "", violation.Rule.MALFORMED, "must be an object"
        return
    fields = {f.name: f for f in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            yield (
                name,
                violation.Rule.UNKNOWN_FIELD,
                f"unknown field; known are {', '.join(fields)}",
            )
    for name, field in fields.items():
        if name not in value:
            if field.required:
                yield name, violation.Rule.MISSING, "the field is required"
            continue
        try:
            msgspec.convert(value[name], field.type)
        except msgspec.ValidationError as error:
            yield name, violation.Rule.INVALID_VALUE, str(error)


def merge(kind: Kind, schema: int, spec: Any, old: Spec | None) -> Spec:
    """Return the union after a write.

    A write in schema 1 keeps what only schema 2 can say; one in schema 2 replaces
    everything.
    """
    if schema == LATEST:
        return spec
    values = msgspec.structs.asdict(spec)
    if old is None:
        return spec_type(kind, LATEST)(**values)
    return msgspec.structs.replace(old, **values)


def problems_of(schema: int, spec: Spec, old: Spec | None) -> Iterator[Problem]:
    """Yield what is wrong with a union after a write in `schema`."""
    for field, newer, message in _inconsistencies(spec, old if schema == 1 else None):
        if schema == 1 and getattr(old, newer, UNSET) is not UNSET:
            yield (
                field,
                violation.Rule.CONTRADICTS_NEWER_SCHEMA,
                f"{message}; {newer} was set with schema 2, so write with schema 2",
            )
        else:
            yield field, violation.Rule.INVALID_VALUE, message


def newer_fields(kind: Kind, spec: Spec) -> list[str]:
    """Return the fields that are set and that schema 1 does not have."""
    older = spec_type(kind, 1).__struct_fields__
    return [
        field
        for field in spec.__struct_fields__
        if field not in older and getattr(spec, field) is not UNSET
    ]


def view(kind: Kind, schema: int, spec: Spec) -> dict[str, Any]:
    """Return a union as readers of a schema see it."""
    shown = msgspec.to_builtins(spec)
    if schema == LATEST:
        return shown
    names = spec_type(kind, schema).__struct_fields__
    return {name: shown[name] for name in names}


def to_core(kind: Kind, name: str, spec: Any) -> Any:
    """Convert a union to the record that the decision packages read."""
    given = {
        field: value
        for field, value in msgspec.structs.asdict(spec).items()
        if value is not UNSET
    }
    match kind:
        case Kind.CLIENT_ACCOUNT:
            return record.ClientAccount(name, **given)
        case Kind.CONTRACT:
            return record.Contract(name, **given)
        case Kind.SERVICE:
            return record.Service(name, **given)
        case Kind.DRAIN:
            return record.Drain(name, **given)
        case Kind.QUARANTINE:
            return record.Quarantine(name, **given)
    tasks = given.get("tasks", spec.accelerators)
    each = resource.Resources(
        spec.accelerators // tasks, given.get("cores", 0), given.get("memory_mb", 0)
    )
    shape = resource.GangShape(
        tasks, each, given.get("adjacency", resource.Adjacency.NONE)
    )
    return record.GuaranteedShape(
        name,
        spec.account,
        spec.failure_domain,
        spec.gangs,
        shape,
        given.get("job_class"),
    )


def _instant_problems(spec: Any) -> Iterator[Problem]:
    instant = getattr(spec, "expires_at", None)
    if instant is not None and instant.utcoffset() != datetime.timedelta(0):
        yield (
            "expires_at",
            violation.Rule.INVALID_VALUE,
            "must be in UTC, for example 2027-01-31T00:00:00Z",
        )


def _inconsistencies(spec: Spec, old: Spec | None) -> Iterator[tuple[str, str, str]]:
    # Gives the field at fault, the field of schema 2 that it disagrees with, and why.
    if isinstance(spec, GuaranteedShape2) and spec.tasks is not UNSET:
        if spec.accelerators % spec.tasks:
            yield (
                "accelerators",
                "tasks",
                f"{spec.accelerators} accelerators can't be shared evenly by "
                f"{spec.tasks} tasks",
            )
        elif (
            isinstance(old, GuaranteedShape2) and old.accelerators != spec.accelerators
        ):
            # The size of a task says what fits on a worker; schema 1 can't name it.
            yield (
                "accelerators",
                "tasks",
                f"changing {old.accelerators} to {spec.accelerators} changes the "
                f"accelerators of each of the {spec.tasks} tasks",
            )
    elif isinstance(spec, Service2):
        for newer in ("short_run_s", "progress_timeout_s"):
            limit_s = getattr(spec, newer)
            if limit_s is not UNSET and limit_s > spec.deadline_s:
                yield (
                    "deadline_s",
                    newer,
                    f"{newer} {limit_s:g} exceeds deadline_s {spec.deadline_s:g}",
                )
