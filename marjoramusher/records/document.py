"""Documents that operators write."""

from collections.abc import Iterator
from typing import Annotated, Any, TypeAlias

import msgspec

from . import schema, violation

Key: TypeAlias = tuple[schema.Kind, str]


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Wire form of one record in a change.

    Parameters
    ----------
    replaces : int
        Version that the writer has seen; 0 creates the record.
    delete : bool
        Delete the record; `spec` must be missing then.
    """

    kind: schema.Kind
    name: schema.Name
    replaces: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    schema: Annotated[int, msgspec.Meta(ge=1)] = schema.LATEST
    spec: Any = msgspec.UNSET
    delete: bool = False


class Document(msgspec.Struct, frozen=True):
    """One record of a change.

    Parameters
    ----------
    spec : struct or None
        ``None`` deletes the record, or can't be read if the document is not `sound`.
    names : dict of str to str
        Fields of `spec` that name another record or a failure domain. They are known
        for most unsound documents too, so that all faults are told at once.
    sound : bool
        Whether the document has no fault by itself.
    """

    key: Key
    schema: int
    replaces: int
    spec: Any
    names: dict[str, str]
    sound: bool = True


def label(key: Key) -> str:
    """Return the name of a record in messages."""
    return f"{key[0].value}/{key[1]}"


def parse(raw: bytes, position: int) -> tuple[Document | None, list[violation.Fault]]:
    """Decode one record of a change and find all its faults.

    Parameters
    ----------
    raw : bytes
        JSON text.
    position : int
        Place in the change, which names the record if it can't be read.

    Returns
    -------
    document : Document or None
        ``None`` if not even the envelope can be read.
    faults : list of Fault
        Empty if the document is sound.
    """
    named = f"records[{position}]"
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return None, [violation.Fault(named, "", violation.Rule.MALFORMED, str(error))]
    try:
        envelope = msgspec.convert(value, Envelope)
    except msgspec.ValidationError:
        named = _name_of(value) or named
        return None, _faults(named, "", _envelope_problems(value))
    key = (envelope.kind, envelope.name)
    problems = _faults(label(key), "", _shape_problems(envelope))
    spec = None
    wanted = not envelope.delete and envelope.spec is not msgspec.UNSET
    if wanted and envelope.schema in schema.SCHEMAS:
        spec, found = schema.decode(envelope.kind, envelope.schema, envelope.spec)
        problems.extend(_faults(label(key), "spec.", found))
    found = envelope.spec if isinstance(envelope.spec, dict) else {}
    names = {
        field: found[field]
        for field in schema.REFERENCES
        if isinstance(found.get(field), str)
    }
    return (
        Document(
            key, envelope.schema, envelope.replaces, spec, names, sound=not problems
        ),
        problems,
    )


def _shape_problems(envelope: Envelope) -> Iterator[schema.Problem]:
    if envelope.schema not in schema.SCHEMAS:
        yield (
            "schema",
            violation.Rule.UNSUPPORTED_SCHEMA,
            f"schema {envelope.schema} is not known; known are 1 and 2",
        )
    if envelope.delete and envelope.spec is not msgspec.UNSET:
        yield "spec", violation.Rule.INVALID_VALUE, "a deletion has no spec"
    if envelope.delete and envelope.replaces == 0:
        yield "replaces", violation.Rule.INVALID_VALUE, "a deletion names a version"
    if not envelope.delete and envelope.spec is msgspec.UNSET:
        yield "spec", violation.Rule.MISSING, "the field is required"


def _envelope_problems(value: Any) -> Iterator[schema.Problem]:
    yield from schema.field_problems(value, Envelope)
    if not isinstance(value, dict):
        return
    if "spec" not in value and value.get("delete") is not True:
        yield "spec", violation.Rule.MISSING, "the field is required"
    if not isinstance(value.get("spec"), dict):
        return
    # The envelope is at fault, but the spec's own faults are told as well.
    number = value.get("schema", schema.LATEST)
    kinds = {kind.value: kind for kind in schema.Kind}
    kind = value.get("kind")
    if isinstance(kind, str) and kind in kinds and number in schema.SCHEMAS:
        for field, rule, message in schema.decode(
            kinds[kind], int(number), value["spec"]
        )[1]:
            yield f"spec.{field}", rule, message


def _faults(named: str, prefix: str, problems: Any) -> list[violation.Fault]:
    return [
        violation.Fault(named, f"{prefix}{field}".rstrip("."), rule, message)
        for field, rule, message in problems
    ]


def _name_of(value: Any) -> str | None:
    if not isinstance(value, dict):
        return None
    kind, name = value.get("kind"), value.get("name")
    if not (isinstance(kind, str) and isinstance(name, str)):
        return None
    return f"{kind[:32]}/{name[:128]}"
