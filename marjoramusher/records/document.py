"""Documents in which operators write records."""

from collections.abc import Iterator
from typing import Annotated, Any, TypeAlias

import msgspec

from . import schema, violation

Key: TypeAlias = tuple[schema.Kind, str]


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Wire format of one document in a change.

    Parameters
    ----------
    replaces : int
        Version that the write replaces; 0 creates the record.
    delete : bool
        Whether to delete the record; `spec` must then be absent.
    """

    kind: schema.Kind
    name: schema.Name
    replaces: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    schema: Annotated[int, msgspec.Meta(ge=1)] = schema.LATEST
    spec: Any = msgspec.UNSET
    delete: bool = False


class Document(msgspec.Struct, frozen=True):
    """A decoded document.

    Parameters
    ----------
    spec : struct or None
        ``None`` if the document deletes the record or is not valid.
    references : dict of str to str
        Fields of `spec` that refer to a client account or a failure domain, with
        their values. Most invalid documents have them too, so that a refusal reports
        wrong references together with the other violations.
    is_valid : bool
        Whether the document violates no rule that can be checked without the other
        records.
    """

    key: Key
    schema: int
    replaces: int
    spec: Any
    references: dict[str, str]
    is_valid: bool = True


def label(key: Key) -> str:
    """Return ``kind/name``, by which messages refer to a record."""
    return f"{key[0].value}/{key[1]}"


def parse(
    raw: bytes, position: int
) -> tuple[Document | None, list[violation.Violation]]:
    """Decode a document and find all violations in it.

    Parameters
    ----------
    raw : bytes
        JSON text.
    position : int
        Index in the change, which identifies a document without readable kind and
        name.

    Returns
    -------
    document : Document or None
        ``None`` if the envelope is invalid.
    violations : list of Violation
        Empty if the document is valid.
    """
    record_label = f"records[{position}]"
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return None, [
            violation.Violation(record_label, "", violation.Rule.MALFORMED, str(error))
        ]
    try:
        envelope = msgspec.convert(value, Envelope)
    except msgspec.ValidationError:
        record_label = _read_label(value) or record_label
        return None, _make_violations(
            record_label, "", _find_invalid_envelope_fields(value)
        )
    key = (envelope.kind, envelope.name)
    violations = _make_violations(
        label(key), "", _find_envelope_inconsistencies(envelope)
    )
    spec = None
    has_spec = not envelope.delete and envelope.spec is not msgspec.UNSET
    if has_spec and envelope.schema in schema.SCHEMAS:
        spec, field_errors = schema.decode(
            envelope.kind, envelope.schema, envelope.spec
        )
        violations.extend(_make_violations(label(key), "spec.", field_errors))
    raw_spec = envelope.spec if isinstance(envelope.spec, dict) else {}
    references = {
        field: raw_spec[field]
        for field in schema.REFERENCE_FIELDS
        if isinstance(raw_spec.get(field), str)
    }
    return (
        Document(
            key,
            envelope.schema,
            envelope.replaces,
            spec,
            references,
            is_valid=not violations,
        ),
        violations,
    )


def _find_envelope_inconsistencies(envelope: Envelope) -> Iterator[schema.FieldError]:
    if envelope.schema not in schema.SCHEMAS:
        yield (
            "schema",
            violation.Rule.UNSUPPORTED_SCHEMA,
            f"schema {envelope.schema} is not supported; use 1 or 2",
        )
    if envelope.delete and envelope.spec is not msgspec.UNSET:
        yield (
            "spec",
            violation.Rule.INVALID_VALUE,
            "a deletion must not have a spec",
        )
    if envelope.delete and envelope.replaces == 0:
        yield (
            "replaces",
            violation.Rule.INVALID_VALUE,
            "a deletion must name the version that it deletes",
        )
    if not envelope.delete and envelope.spec is msgspec.UNSET:
        yield "spec", violation.Rule.MISSING, "the field is required"


def _find_invalid_envelope_fields(value: Any) -> Iterator[schema.FieldError]:
    yield from schema.find_invalid_fields(value, Envelope)
    if not isinstance(value, dict):
        return
    if "spec" not in value and value.get("delete") is not True:
        yield "spec", violation.Rule.MISSING, "the field is required"
    if not isinstance(value.get("spec"), dict):
        return
    # The spec is checked in spite of the invalid envelope, so that a refusal reports
    # its violations too.
    schema_number = value.get("schema", schema.LATEST)
    kinds = {kind.value: kind for kind in schema.Kind}
    kind = value.get("kind")
    if isinstance(kind, str) and kind in kinds and schema_number in schema.SCHEMAS:
        for field, rule, message in schema.decode(
            kinds[kind], int(schema_number), value["spec"]
        )[1]:
            yield f"spec.{field}", rule, message


def _make_violations(
    record_label: str, prefix: str, field_errors: Any
) -> list[violation.Violation]:
    return [
        violation.Violation(record_label, f"{prefix}{field}".rstrip("."), rule, message)
        for field, rule, message in field_errors
    ]


def _read_label(value: Any) -> str | None:
    if not isinstance(value, dict):
        return None
    kind, name = value.get("kind"), value.get("name")
    if not (isinstance(kind, str) and isinstance(name, str)):
        return None
    return f"{kind[:32]}/{name[:128]}"
