"""Commands of the records machine and their results.

The tags, field names and class names of commands are stored: the log and snapshots
hold the encoded commands and results, and digests contain the class names.
"""

import hashlib
import json
from typing import TypeAlias

import msgspec

from ..core import codec, errors
from . import schema


class Apply(msgspec.Struct, frozen=True, tag="apply"):
    """Write several records atomically.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    failure_domains : tuple of str
        Failure domains that the proposer knows. They are part of the command, so that
        every instance gets the same result.
    documents : tuple of bytes
        JSON text of each document.
    """

    operation_id: str
    operator: str
    at: float
    failure_domains: tuple[str, ...]
    documents: tuple[bytes, ...]


class Reference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Kind and name of one record."""

    kind: schema.Kind
    name: schema.Name


class Rollback(msgspec.Struct, frozen=True, tag="rollback"):
    """Restore the records of an earlier revision by writing a new revision.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    replaces_revision : int
        Revision that the operator has seen; the rollback is refused if another one is
        in force.
    only : tuple of Reference
        Records to restore; empty for all.
    """

    operation_id: str
    operator: str
    at: float
    to_revision: int
    replaces_revision: int
    only: tuple[Reference, ...] = ()


Command: TypeAlias = Apply | Rollback


class WrittenRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Version of one record after a change.

    Parameters
    ----------
    changed : bool
        False if the record already had the requested state and keeps its version.
    """

    kind: schema.Kind
    name: str
    version: int
    deleted: bool = False
    changed: bool = True


class Applied(msgspec.Struct, frozen=True, tag="applied"):
    """Result of an accepted change."""

    operation_id: str
    revision: int
    records: tuple[WrittenRecord, ...]


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Result of a refused change, which wrote nothing."""

    error: errors.ErrorBody


Result: TypeAlias = Applied | Refused


def encode(command: Command) -> bytes:
    """Encode a command for replication."""
    return codec.pack(command)


def decode(data: bytes) -> Command:
    """Decode a replicated command.

    Raises
    ------
    BadRequestError
        If the bytes are not an encoded command.
    """
    return codec.unpack(data, Command)


def decode_result(data: bytes) -> Applied:
    """Decode the result of an accepted change.

    Raises
    ------
    MarjoramusherError
        If the change was refused; the error says why.
    """
    result = codec.unpack(data, Result)
    if isinstance(result, Refused):
        raise errors.from_body(result.error)
    return result


def digest(command: Command) -> bytes:
    """Return a digest of the content of a command.

    Time, operator and known failure domains are left out, since they may differ if the
    command is resent through another instance.
    """
    if isinstance(command, Rollback):
        content = repr(
            (
                command.to_revision,
                command.replaces_revision,
                [(reference.kind.value, reference.name) for reference in command.only],
            )
        ).encode()
    else:
        content = b"\n".join(map(_canonical, command.documents))
    return hashlib.blake2b(
        type(command).__name__.encode() + b"\n" + content, digest_size=16
    ).digest()


def _canonical(raw: bytes) -> bytes:
    # Ignores key order and white space. Text that is not valid JSON is not changed.
    try:
        return json.dumps(msgspec.json.decode(raw), sort_keys=True).encode()
    except (ValueError, RecursionError):
        return raw
