"""Replicated state machine of the operators' records."""

import collections

import msgspec

from ..core import codec, errors
from ..core import record as core_record
from . import (
    change,
    command,
    document,
    history,
    operation,
    schema,
    view,
)

SNAPSHOT_FORMAT = 1

# Field of `Configuration` that holds the records of a kind.
CONFIGURATION_FIELDS = {
    schema.Kind.CLIENT_ACCOUNT: "accounts",
    schema.Kind.GUARANTEED_SHAPE: "guarantees",
    schema.Kind.CONTRACT: "contracts",
    schema.Kind.SERVICE: "services",
    schema.Kind.DRAIN: "drains",
    schema.Kind.QUARANTINE: "quarantines",
}


class Preview(msgspec.Struct, frozen=True, omit_defaults=True):
    """Effect that a command would have on the current records.

    Parameters
    ----------
    revision : int
        Revision in force, on which the preview is based.
    error : ErrorBody or None
        Error with which the command would be refused.
    """

    revision: int
    differences: tuple[view.Difference, ...] = ()
    error: errors.ErrorBody | None = None


class RecordsMachine:
    """State machine that holds the operators' records and their history.

    Implements `consensus.machine.Machine`. Reads return the local state, which may lag
    behind the leader's.

    Parameters
    ----------
    history_limit : int
        Maximum number of retained versions, see `history.History`.
    operations_limit : int
        Maximum number of operations whose results are kept for resent ones.
    """

    __slots__ = ("_configuration", "_history", "_homes", "_operations")

    def __init__(
        self,
        history_limit: int = history.MAX_ENTRIES,
        operations_limit: int = operation.MAX_OPERATIONS,
    ) -> None:
        self._history = history.History(history_limit)
        self._operations = operation.OperationCache(operations_limit)
        # Home of each client account that exists or has been deleted, by name.
        self._homes: dict[str, str] = {}
        self._configuration = core_record.Configuration()

    @property
    def configuration(self) -> core_record.Configuration:
        """Return the records of the latest revision as an immutable object."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the latest revision, 0 before the first change."""
        return self._history.revision

    @property
    def oldest_revision(self) -> int:
        """Return the oldest revision that can be read or rolled back to."""
        return self._history.oldest_revision

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command and return the encoded `command.Result`.

        A resent command is answered with the result of its first execution.
        """
        del index
        cmd = command.decode(data)
        digest = command.digest(cmd)
        self._operations.expire(cmd.at)
        earlier = self._operations.get(cmd.operation_id)
        if earlier is not None:
            if earlier.digest == digest:
                return earlier.result
            return codec.pack(
                command.Refused(_operation_reused_error(cmd.operation_id))
            )
        result = codec.pack(self._execute(cmd))
        self._operations.add(
            operation.Operation(cmd.operation_id, digest, cmd.at, result)
        )
        return result

    def preview(self, cmd: command.Command) -> Preview:
        """Return the effect that a command would have, by the same rules as `apply`."""
        earlier = self._operations.get(cmd.operation_id)
        if earlier is not None and earlier.digest != command.digest(cmd):
            return Preview(
                self.revision, error=_operation_reused_error(cmd.operation_id)
            )
        evaluation = change.evaluate(cmd, self._history, self._homes)
        differences = []
        for write in evaluation.writes:
            old = self._history.current(write.key)
            differences.append(
                view.difference(
                    write.key, None if old is None else old.spec, write.spec
                )
            )
        return Preview(
            self.revision, tuple(filter(None, differences)), evaluation.error
        )

    def record(
        self, kind: schema.Kind, name: str, schema_number: int = schema.LATEST
    ) -> view.Record:
        """Return a record in a schema.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if the record does not exist.
        """
        entry = self._history.current((kind, name))
        if entry is None:
            raise _not_found(kind, name)
        return view.record((kind, name), entry, schema_number)

    def records(
        self,
        kind: schema.Kind | None = None,
        schema_number: int = schema.LATEST,
        revision: int | None = None,
    ) -> list[view.Record]:
        """Return the records of a kind, or all, ordered by kind and name.

        Parameters
        ----------
        revision : int or None
            Earlier revision to read; ``None`` is the latest.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if the revision is not retained.
        """
        items = self._history.items()
        if revision is not None:
            items = self._history.at(revision).items()
        return [
            view.record(key, entry, schema_number)
            for key, entry in sorted(items, key=lambda item: _sort_key(item[0]))
            if kind is None or key[0] is kind
        ]

    def changed_since(
        self, revision: int, schema_number: int = schema.LATEST
    ) -> list[view.Record] | None:
        """Return the records written after a revision, deleted ones without `spec`.

        Returns
        -------
        list or None
            ``None`` if the revision is not retained or not reached yet; the reader must
            then read all records.
        """
        changed = self._history.changed_since(revision)
        if changed is None:
            return None
        return [
            view.record(key, entry, schema_number)
            for key, entry in sorted(changed, key=lambda item: _sort_key(item[0]))
        ]

    def versions(
        self, kind: schema.Kind, name: str, schema_number: int = schema.LATEST
    ) -> list[view.Record]:
        """Return the retained versions of a record, newest first.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if none is retained.
        """
        entries = self._history.versions((kind, name))
        if not entries:
            raise _not_found(kind, name)
        return [
            view.record((kind, name), entry, schema_number)
            for entry in reversed(entries)
        ]

    def differences(self, before: int, after: int) -> list[view.Difference]:
        """Return the differences between the records of two revisions.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if a revision is not retained.
        """
        old_records, new_records = self._history.at(before), self._history.at(after)
        differences = (
            view.difference(
                key,
                old_records[key].spec if key in old_records else None,
                new_records[key].spec if key in new_records else None,
            )
            for key in sorted({**old_records, **new_records}, key=_sort_key)
        )
        return [difference for difference in differences if difference is not None]

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.pack(
            _Snapshot(
                SNAPSHOT_FORMAT,
                self._history.dump(),
                self._homes,
                self._operations.dump(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        MarjoramusherError
            With ``store_corrupt`` if the snapshot is damaged or has another format.
        """
        try:
            snapshot_format = msgspec.msgpack.decode(data, type=_FormatHeader).format
            if snapshot_format != SNAPSHOT_FORMAT:
                raise errors.MarjoramusherError(
                    errors.ErrorCode.STORE_CORRUPT,
                    f"unsupported format {snapshot_format} of the records snapshot, "
                    f"expected {SNAPSHOT_FORMAT}",
                )
            decoded = msgspec.msgpack.decode(data, type=_Snapshot)
            self._history.load(decoded.history)
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT, f"records snapshot is damaged: {error}"
            ) from error
        self._homes = dict(decoded.homes)
        self._operations.load(decoded.operations)
        records_by_field = collections.defaultdict(dict)
        for (kind, name), entry in self._history.items():
            records_by_field[CONFIGURATION_FIELDS[kind]][name] = schema.to_core_record(
                kind, name, entry.spec
            )
        self._configuration = core_record.Configuration(
            self._history.revision, **records_by_field
        )

    def _execute(self, cmd: command.Command) -> command.Result:
        evaluation = change.evaluate(cmd, self._history, self._homes)
        if evaluation.error is not None:
            return command.Refused(evaluation.error)
        if evaluation.writes:
            self._write(cmd, evaluation.writes)
        written_records = [
            command.WrittenRecord(
                *write.key, self._history.revision, deleted=write.spec is None
            )
            for write in evaluation.writes
        ]
        for key in evaluation.unchanged:
            entry = self._history.current(key)
            written_records.append(
                command.WrittenRecord(
                    *key,
                    0 if entry is None else entry.revision,
                    deleted=entry is None,
                    changed=False,
                )
            )
        return command.Applied(
            cmd.operation_id, self._history.revision, tuple(written_records)
        )

    def _write(self, cmd: command.Command, writes: tuple[change.Write, ...]) -> None:
        revision = self._history.revision + 1
        self._history.append(
            (
                write.key,
                history.Entry(revision, write.schema, cmd.operator, cmd.at, write.spec),
            )
            for write in writes
        )
        # Copies only the fields of the kinds that change.
        fields: dict[str, dict] = {}
        for write in writes:
            kind, name = write.key
            field = CONFIGURATION_FIELDS[kind]
            if field not in fields:
                fields[field] = dict(getattr(self._configuration, field))
            if write.spec is None:
                fields[field].pop(name, None)
                continue
            fields[field][name] = schema.to_core_record(kind, name, write.spec)
            if kind is schema.Kind.CLIENT_ACCOUNT:
                self._homes[name] = write.spec.home
        self._configuration = msgspec.structs.replace(
            self._configuration, revision=revision, **fields
        )


class _FormatHeader(msgspec.Struct, frozen=True):
    format: int


class _Snapshot(msgspec.Struct, frozen=True):
    format: int
    history: history.HistorySnapshot
    homes: dict[str, str]
    operations: list[operation.Operation]


def _sort_key(key: document.Key) -> tuple[str, str]:
    return key[0].value, key[1]


def _not_found(kind: schema.Kind, name: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.NOT_FOUND, f"{document.label((kind, name))} does not exist"
    )


def _operation_reused_error(operation_id: str) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.OPERATION_REUSED,
        errors.Outcome.NOT_RUN,
        "the operation id has been used for another change",
        {"operation_id": operation_id},
    )
