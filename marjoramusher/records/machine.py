"""State machine of operators' records."""

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
FIELDS = {
    schema.Kind.CLIENT_ACCOUNT: "accounts",
    schema.Kind.GUARANTEED_SHAPE: "guarantees",
    schema.Kind.CONTRACT: "contracts",
    schema.Kind.SERVICE: "services",
    schema.Kind.DRAIN: "drains",
    schema.Kind.QUARANTINE: "quarantines",
}


class Preview(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a command would do now.

    Parameters
    ----------
    revision : int
        Revision in force, on which the preview is based.
    """

    revision: int
    differences: tuple[view.Difference, ...] = ()
    error: errors.ErrorBody | None = None


class RecordsMachine:
    """Hold the operators' records with their history.

    Implements `consensus.machine.Machine`. Reads are of the local state.
    """

    __slots__ = ("_configuration", "_history", "_homes", "_operations")

    def __init__(
        self,
        history_limit: int = history.MAX_ENTRIES,
        operations_limit: int = operation.MAX_OPERATIONS,
    ) -> None:
        self._history = history.History(history_limit)
        self._operations = operation.Operations(operations_limit)
        self._homes: dict[str, str] = {}
        self._configuration = core_record.Configuration()

    @property
    def configuration(self) -> core_record.Configuration:
        """Return the records of the latest revision; the object never changes."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the latest revision, 0 before the first change."""
        return self._history.revision

    @property
    def oldest_revision(self) -> int:
        """Return the oldest revision that can be read or rolled back to."""
        return self._history.floor

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command and return a `command.Result`."""
        del index
        asked = command.decode(data)
        asked_digest = command.digest(asked)
        self._operations.expire(asked.at)
        known = self._operations.get(asked.operation_id)
        if known is not None:
            if known.digest == asked_digest:
                return known.result
            return codec.pack(command.Refused(_reused(asked.operation_id)))
        result = codec.pack(self._carry_out(asked))
        self._operations.remember(
            operation.Operation(asked.operation_id, asked_digest, asked.at, result)
        )
        return result

    def preview(self, asked: command.Command) -> Preview:
        """Return what a command would do, by the same rules as `apply`."""
        known = self._operations.get(asked.operation_id)
        if known is not None and known.digest != command.digest(asked):
            return Preview(self.revision, error=_reused(asked.operation_id))
        decided = change.evaluate(asked, self._history, self._homes)
        found = []
        for write in decided.writes:
            old = self._history.current(write.key)
            found.append(
                view.difference(
                    write.key, None if old is None else old.spec, write.spec
                )
            )
        return Preview(self.revision, tuple(filter(None, found)), decided.error)

    def record(
        self, kind: schema.Kind, name: str, number: int = schema.LATEST
    ) -> view.Record:
        """Return a record in a schema.

        Raises
        ------
        MarjoramusherError
            With ``not_found``.
        """
        entry = self._history.current((kind, name))
        if entry is None:
            raise _not_found(kind, name)
        return view.record((kind, name), entry, number)

    def records(
        self,
        kind: schema.Kind | None = None,
        number: int = schema.LATEST,
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
            view.record(key, entry, number)
            for key, entry in sorted(items, key=lambda item: _order(item[0]))
            if kind is None or key[0] is kind
        ]

    def changed_since(
        self, revision: int, number: int = schema.LATEST
    ) -> list[view.Record] | None:
        """Return the records written after a revision, deleted ones without `spec`.

        Returns
        -------
        list or None
            ``None`` if the revision is not retained or not reached yet; the reader
            then has to take all records.
        """
        changed = self._history.changed_since(revision)
        if changed is None:
            return None
        return [
            view.record(key, entry, number)
            for key, entry in sorted(changed, key=lambda item: _order(item[0]))
        ]

    def versions(
        self, kind: schema.Kind, name: str, number: int = schema.LATEST
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
        return [view.record((kind, name), entry, number) for entry in reversed(entries)]

    def differences(self, before: int, after: int) -> list[view.Difference]:
        """Return how the records of two revisions differ.

        Raises
        ------
        MarjoramusherError
            With ``not_found`` if a revision is not retained.
        """
        old, new = self._history.at(before), self._history.at(after)
        found = (
            view.difference(
                key,
                old[key].spec if key in old else None,
                new[key].spec if key in new else None,
            )
            for key in sorted({**old, **new}, key=_order)
        )
        return [difference for difference in found if difference is not None]

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return codec.pack(
            _Snapshot(
                SNAPSHOT_FORMAT,
                self._history.dump(),
                self._homes,
                self._operations.dump(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state.

        Raises
        ------
        MarjoramusherError
            With ``store_corrupt`` if the snapshot can't be read.
        """
        try:
            form = msgspec.msgpack.decode(data, type=_Form).format
            if form != SNAPSHOT_FORMAT:
                raise errors.MarjoramusherError(
                    errors.ErrorCode.STORE_CORRUPT,
                    f"records snapshot has format {form}, not {SNAPSHOT_FORMAT}",
                )
            dump = msgspec.msgpack.decode(data, type=_Snapshot)
            self._history.load(dump.history)
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STORE_CORRUPT, f"records snapshot is damaged: {error}"
            ) from error
        self._homes = dict(dump.homes)
        self._operations.load(dump.operations)
        by_field = collections.defaultdict(dict)
        for (kind, name), entry in self._history.items():
            by_field[FIELDS[kind]][name] = schema.to_core(kind, name, entry.spec)
        self._configuration = core_record.Configuration(
            self._history.revision, **by_field
        )

    def _carry_out(self, asked: command.Command) -> command.Result:
        decided = change.evaluate(asked, self._history, self._homes)
        if decided.error is not None:
            return command.Refused(decided.error)
        if decided.writes:
            self._write(asked, decided.writes)
        written = [
            command.WrittenRecord(
                *write.key, self._history.revision, deleted=write.spec is None
            )
            for write in decided.writes
        ]
        for key in decided.unchanged:
            entry = self._history.current(key)
            written.append(
                command.WrittenRecord(
                    *key,
                    0 if entry is None else entry.revision,
                    deleted=entry is None,
                    changed=False,
                )
            )
        return command.Applied(
            asked.operation_id, self._history.revision, tuple(written)
        )

    def _write(self, asked: command.Command, writes: tuple[change.Write, ...]) -> None:
        revision = self._history.revision + 1
        self._history.append(
            (
                write.key,
                history.Entry(
                    revision, write.schema, asked.operator, asked.at, write.spec
                ),
            )
            for write in writes
        )
        # Only the kinds that have changed are copied.
        fields: dict[str, dict] = {}
        for write in writes:
            kind, name = write.key
            field = FIELDS[kind]
            if field not in fields:
                fields[field] = dict(getattr(self._configuration, field))
            if write.spec is None:
                fields[field].pop(name, None)
                continue
            fields[field][name] = schema.to_core(kind, name, write.spec)
            if kind is schema.Kind.CLIENT_ACCOUNT:
                self._homes[name] = write.spec.home
        self._configuration = msgspec.structs.replace(
            self._configuration, revision=revision, **fields
        )


class _Form(msgspec.Struct, frozen=True):
    format: int


class _Snapshot(msgspec.Struct, frozen=True):
    format: int
    history: history.Dump
    homes: dict[str, str]
    operations: list[operation.Operation]


def _order(key: document.Key) -> tuple[str, str]:
    return key[0].value, key[1]


def _not_found(kind: schema.Kind, name: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.NOT_FOUND, f"there is no {document.label((kind, name))}"
    )


def _reused(operation_id: str) -> errors.ErrorBody:
    return errors.ErrorBody(
        errors.ErrorCode.OPERATION_REUSED,
        errors.Outcome.NOT_RUN,
        "the operation id has been used for another change",
        {"operation_id": operation_id},
    )
