"""Schemas 1 and 2 of each kind of record, and the conversions between them.

Schema 2 has every field of schema 1, so records are stored in the types of schema 2. A
field that only schema 2 has stays unset until a write in schema 2 sets it.
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
    """Schema 1 of a guaranteed shape, which counts accelerators only.

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
    accelerators : int
        Accelerators of one gang.
    tasks : int or UNSET
        Number of tasks, which share the accelerators of a gang evenly. Unset means
        one task for each accelerator.
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

SPEC_TYPES: dict[Kind, tuple[type, type]] = {
    Kind.CLIENT_ACCOUNT: (ClientAccount1, ClientAccount2),
    Kind.GUARANTEED_SHAPE: (GuaranteedShape1, GuaranteedShape2),
    Kind.CONTRACT: (Contract1, Contract2),
    Kind.SERVICE: (Service1, Service2),
    Kind.DRAIN: (Withdrawal1, Withdrawal2),
    Kind.QUARANTINE: (Withdrawal1, Withdrawal2),
}

# Fields that refer to a client account or a failure domain.
REFERENCE_FIELDS = ("account", "failure_domain", "home")

FieldError: TypeAlias = tuple[str, violation.Rule, str]  # field, rule, message


def spec_type(kind: Kind, schema: int) -> type:
    """Return the type of `spec` for a kind of record in a schema."""
    return SPEC_TYPES[kind][schema - 1]


def decode(kind: Kind, schema: int, value: Any) -> tuple[Any, list[FieldError]]:
    """Convert a decoded JSON value to a `spec`.

    Returns
    -------
    spec : struct or None
        ``None`` if there are errors.
    field_errors : list of FieldError
        All errors that were found, not only the first.
    """
    struct_type = spec_type(kind, schema)
    try:
        spec = msgspec.convert(value, struct_type)
    except msgspec.ValidationError:
        return None, list(find_invalid_fields(value, struct_type))
    field_errors = list(_find_non_utc_instants(spec))
    return (None if field_errors else spec), field_errors


def find_invalid_fields(value: Any, struct_type: type) -> Iterator[FieldError]:
    """Yield an error for each field of a JSON value that does not fit a struct."""
    if not isinstance(value, dict):
        yield "", violation.Rule.MALFORMED, "must be an object"
        return
    fields = {f.name: f for f in msgspec.structs.fields(struct_type)}
    for name in value:
        if name not in fields:
            yield (
                name,
                violation.Rule.UNKNOWN_FIELD,
                f"unknown field; the fields are {', '.join(fields)}",
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
    """Return the stored spec after a write.

    A write in schema 1 keeps the fields that only schema 2 has; a write in schema 2
    replaces all fields.
    """
    if schema == LATEST:
        return spec
    values = msgspec.structs.asdict(spec)
    if old is None:
        return spec_type(kind, LATEST)(**values)
    return msgspec.structs.replace(old, **values)


def find_inconsistencies(
    schema: int, spec: Spec, old: Spec | None
) -> Iterator[FieldError]:
    """Yield an error for each field that contradicts another one after a write.

    Parameters
    ----------
    schema : int
        Schema of the write.
    old : struct or None
        Stored spec before the write.
    """
    for field, newer_field, message in _find_conflicting_fields(
        spec, old if schema == 1 else None
    ):
        if schema == 1 and getattr(old, newer_field, UNSET) is not UNSET:
            yield (
                field,
                violation.Rule.CONTRADICTS_NEWER_SCHEMA,
                f"{message}; {newer_field} was set with schema 2, so write with "
                "schema 2",
            )
        else:
            yield field, violation.Rule.INVALID_VALUE, message


def newer_fields(kind: Kind, spec: Spec) -> list[str]:
    """Return the set fields of a stored spec that schema 1 does not have."""
    schema_1_fields = spec_type(kind, 1).__struct_fields__
    return [
        field
        for field in spec.__struct_fields__
        if field not in schema_1_fields and getattr(spec, field) is not UNSET
    ]


def encode_spec(kind: Kind, schema: int, spec: Spec) -> dict[str, Any]:
    """Return a stored spec as JSON values with the fields of a schema."""
    values = msgspec.to_builtins(spec)
    if schema == LATEST:
        return values
    names = spec_type(kind, schema).__struct_fields__
    return {name: values[name] for name in names}


def to_core_record(kind: Kind, name: str, spec: Any) -> Any:
    """Convert a stored spec to the type of `core.record` for its kind."""
    set_fields = {
        field: value
        for field, value in msgspec.structs.asdict(spec).items()
        if value is not UNSET
    }
    match kind:
        case Kind.CLIENT_ACCOUNT:
            return record.ClientAccount(name, **set_fields)
        case Kind.CONTRACT:
            return record.Contract(name, **set_fields)
        case Kind.SERVICE:
            return record.Service(name, **set_fields)
        case Kind.DRAIN:
            return record.Drain(name, **set_fields)
        case Kind.QUARANTINE:
            return record.Quarantine(name, **set_fields)
    tasks = set_fields.get("tasks", spec.accelerators)
    task_resources = resource.Resources(
        spec.accelerators // tasks,
        set_fields.get("cores", 0),
        set_fields.get("memory_mb", 0),
    )
    shape = resource.GangShape(
        tasks, task_resources, set_fields.get("adjacency", resource.Adjacency.NONE)
    )
    return record.GuaranteedShape(
        name,
        spec.account,
        spec.failure_domain,
        spec.gangs,
        shape,
        set_fields.get("job_class"),
    )


def _find_non_utc_instants(spec: Any) -> Iterator[FieldError]:
    instant = getattr(spec, "expires_at", None)
    if instant is not None and instant.utcoffset() != datetime.timedelta(0):
        yield (
            "expires_at",
            violation.Rule.INVALID_VALUE,
            "must be in UTC, for example 2027-01-31T00:00:00Z",
        )


def _find_conflicting_fields(
    spec: Spec, old: Spec | None
) -> Iterator[tuple[str, str, str]]:
    # Yields a field, the field of schema 2 that it conflicts with, and a message. `old`
    # is the spec before a write in schema 1, and None for a write in schema 2.
    if isinstance(spec, GuaranteedShape2) and spec.tasks is not UNSET:
        if spec.accelerators % spec.tasks:
            yield (
                "accelerators",
                "tasks",
                f"{spec.accelerators} accelerators can't be divided evenly among "
                f"{spec.tasks} tasks",
            )
        elif (
            isinstance(old, GuaranteedShape2) and old.accelerators != spec.accelerators
        ):
            # A write in schema 1 must not change the size of a task, which determines
            # the workers that the task fits on: schema 1 has no field for it.
            yield (
                "accelerators",
                "tasks",
                f"changing {old.accelerators} to {spec.accelerators} changes the "
                f"accelerators of each of the {spec.tasks} tasks",
            )
    elif isinstance(spec, Service2):
        for newer_field in ("short_run_s", "progress_timeout_s"):
            limit_s = getattr(spec, newer_field)
            if limit_s is not UNSET and limit_s > spec.deadline_s:
                yield (
                    "deadline_s",
                    newer_field,
                    f"{newer_field} {limit_s:g} exceeds deadline_s {spec.deadline_s:g}",
                )
