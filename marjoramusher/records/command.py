"""Commands of the records machine and their results."""

import hashlib
import json
from typing import TypeAlias

import msgspec

from ..core import codec, errors
from . import schema


class Apply(msgspec.Struct, frozen=True, tag="apply"):
    """Write several records as one change, or none of them.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    failure_domains : tuple of str
        Failure domains that the proposer knows. They travel with the command, so
        that every instance comes to the same result.
    documents : tuple of bytes
        JSON text of each record.
    """

    operation_id: str
    operator: str
    at: float
    failure_domains: tuple[str, ...]
    documents: tuple[bytes, ...]


class Reference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name of one record."""

    kind: schema.Kind
    name: schema.Name


class Rollback(msgspec.Struct, frozen=True, tag="rollback"):
    """Write the records of an earlier revision as a new one.

    Parameters
    ----------
    replaces_revision : int
        Revision in force that the operator has seen; any other is a conflict.
    only : tuple of Reference
        Limits the rollback to these records; empty for all.
    """

    operation_id: str
    operator: str
    at: float
    to_revision: int
    replaces_revision: int
    only: tuple[Reference, ...] = ()


Command: TypeAlias = Apply | Rollback


class WrittenRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Version of one record after a change; unchanged records keep theirs."""

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
    """Result of a change that was refused and changed nothing."""

    error: errors.ErrorBody


Result: TypeAlias = Applied | Refused


def encode(command: Command) -> bytes:
    """Return the command as the group replicates it."""
    return codec.pack(command)


def decode(data: bytes) -> Command:
    """Return the command.

    Raises
    ------
    BadRequestError
        If the bytes hold no command.
    """
    return codec.unpack(data, Command)


def decode_result(data: bytes) -> Applied:
    """Return the result of an accepted change.

    Raises
    ------
    MarjoramusherError
        The reason for which the change was refused.
    """
    result = codec.unpack(data, Result)
    if isinstance(result, Refused):
        raise errors.from_body(result.error)
    return result


def digest(command: Command) -> bytes:
    """Return a digest of what a command asks for.

    Time, operator and known failure domains are left out: a resend through another
    instance may differ in these.
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
    # Key order and white space don't matter. Text that can't be read is taken as is.
    try:
        return json.dumps(msgspec.json.decode(raw), sort_keys=True).encode()
    except (ValueError, RecursionError):
        return raw
