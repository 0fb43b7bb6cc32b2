"""HTTP handlers that read and write the operators' records."""

import contextlib
from collections.abc import Awaitable, Callable, Collection
from typing import Annotated, Any, TypeAlias

import msgspec
from aiohttp import web

from ..core import clock, errors
from ..http import body
from ..http import errors as http_errors
from ..records import command, machine, schema, view
from ..telemetry import log
from . import watch

PROPOSE_TIMEOUT_S = 5.0  # covers an election of the records group
# Time after which a write is answered even if this instance has not applied it yet.
LOCAL_APPLY_TIMEOUT_S = 1.0
MAX_LONG_POLL_S = 60.0
MAX_REVISION = 2**62
MAX_OPERATOR_CHARS = 128

Propose: TypeAlias = Callable[[bytes, float], Awaitable[bytes]]
OperationId = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}\Z")]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/records/apply``.

    The records are not decoded with the body, so that a refusal can report all their
    violations together.
    """

    operation_id: OperationId
    records: list[msgspec.Raw]
    dry_run: bool = False


class RollbackRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/records/rollback``."""

    operation_id: OperationId
    to_revision: Revision
    replaces_revision: Revision
    only: list[command.Reference] = []
    dry_run: bool = False


class RecordList(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/records``.

    Parameters
    ----------
    complete : bool
        False if the list holds only the records written after `since`. Deleted records
        among them have no `spec`.
    """

    revision: int
    oldest_revision: int
    complete: bool
    records: list[view.Record]


class DifferenceList(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/records/diff``."""

    from_revision: int
    to_revision: int
    differences: list[view.Difference]


class RecordHandlers:
    """Serve reads from the local state and propose writes to the records group.

    Parameters
    ----------
    propose : callable
        Commits a command and returns the machine's result.
    failure_domains : callable
        Returns the failure domains that this instance knows.
    """

    __slots__ = ("_clock", "_failure_domains", "_propose", "_records", "_watcher")

    def __init__(
        self,
        propose: Propose,
        records: machine.RecordsMachine,
        watcher: watch.RevisionWatcher,
        time: clock.Clock,
        failure_domains: Callable[[], Collection[str]],
    ) -> None:
        self._propose = propose
        self._records = records
        self._watcher = watcher
        self._clock = time
        self._failure_domains = failure_domains

    async def apply(self, request: web.Request) -> web.Response:
        """Write several records atomically, or return a preview of the change."""
        body.check_query(request)
        change = await body.read_json(request, ApplyRequest)
        return await self._write(
            command.Apply(
                change.operation_id,
                _operator(request),
                self._clock.utcnow().timestamp(),
                tuple(sorted(self._failure_domains())),
                tuple(bytes(raw) for raw in change.records),
            ),
            change.dry_run,
        )

    async def roll_back(self, request: web.Request) -> web.Response:
        """Restore the records of an earlier revision, or return a preview."""
        body.check_query(request)
        rollback = await body.read_json(request, RollbackRequest)
        return await self._write(
            command.Rollback(
                rollback.operation_id,
                _operator(request),
                self._clock.utcnow().timestamp(),
                rollback.to_revision,
                rollback.replaces_revision,
                tuple(rollback.only),
            ),
            rollback.dry_run,
        )

    async def list_records(self, request: web.Request) -> web.Response:
        """Return all records, or wait for those written after a revision."""
        body.check_query(request, "kind", "schema", "revision", "since", "wait_s")
        schema_number = _schema_number(request)
        kind = _kind(request.query["kind"]) if "kind" in request.query else None
        since = body.query_int(request, "since", -1, MAX_REVISION)
        if since >= 0:
            return await self._changes(request, kind, schema_number, since)
        revision = body.query_int(request, "revision", -1, MAX_REVISION)
        read_revision = self._records.revision if revision < 0 else revision
        if _matches_etag(request, read_revision):
            return _not_modified(read_revision)
        records = self._records.records(
            kind, schema_number, None if revision < 0 else read_revision
        )
        return self._list_response(read_revision, True, records)

    async def get(self, request: web.Request) -> web.Response:
        """Return one record."""
        body.check_query(request, "schema")
        kind = _kind(request.match_info["kind"])
        record = self._records.record(
            kind, request.match_info["name"], _schema_number(request)
        )
        if _matches_etag(request, record.version):
            return _not_modified(record.version)
        return http_errors.json_response(record, ETag=_etag(record.version))

    async def history(self, request: web.Request) -> web.Response:
        """Return the retained versions of one record, newest first."""
        body.check_query(request, "schema")
        kind = _kind(request.match_info["kind"])
        versions = self._records.versions(
            kind, request.match_info["name"], _schema_number(request)
        )
        return http_errors.json_response({"versions": versions})

    async def diff(self, request: web.Request) -> web.Response:
        """Return the differences of two revisions; ``to`` defaults to the latest."""
        body.check_query(request, "from", "to")
        if "from" not in request.query:
            raise errors.BadRequestError("query parameter 'from' is required")
        before = body.query_int(request, "from", 0, MAX_REVISION)
        after = body.query_int(request, "to", self._records.revision, MAX_REVISION)
        return http_errors.json_response(
            DifferenceList(before, after, self._records.differences(before, after))
        )

    async def _changes(
        self,
        request: web.Request,
        kind: schema.Kind | None,
        schema_number: int,
        since: int,
    ) -> web.Response:
        wait_s = body.query_seconds(request, "wait_s", 0.0, MAX_LONG_POLL_S)
        await self._watcher.wait_for_revision(since + 1, wait_s)
        revision = self._records.revision
        if revision <= since:
            return self._list_response(revision, False, [])
        changed = self._records.changed_since(since, schema_number)
        if changed is None:
            records = self._records.records(kind, schema_number)
            return self._list_response(revision, True, records)
        records = [item for item in changed if kind is None or item.kind is kind]
        return self._list_response(revision, False, records)

    async def _write(self, cmd: command.Command, dry_run: bool) -> web.Response:
        if dry_run:
            preview = self._records.preview(cmd)
            if preview.error is not None:
                raise errors.from_body(preview.error)
            return http_errors.json_response(preview)
        data = await self._propose(command.encode(cmd), PROPOSE_TIMEOUT_S)
        applied = command.decode_result(data)
        log.state_change(
            "records.applied",
            revision=applied.revision,
            operation_id=applied.operation_id,
            operator=cmd.operator,
            records=len(applied.records),
        )
        # The leader may be another instance, so this one may apply the change later.
        # The wait lets the operator's next read here see the change. A timeout is
        # ignored, since the change is committed.
        if self._records.revision < applied.revision:
            with contextlib.suppress(errors.MarjoramusherError):
                await self._watcher.wait_for_revision(
                    applied.revision, LOCAL_APPLY_TIMEOUT_S
                )
        return http_errors.json_response(msgspec.structs.asdict(applied))

    def _list_response(
        self, revision: int, complete: bool, records: list[view.Record]
    ) -> web.Response:
        response = RecordList(
            revision, self._records.oldest_revision, complete, records
        )
        headers: dict[str, Any] = {"ETag": _etag(revision)} if complete else {}
        return http_errors.json_response(response, **headers)


def _operator(request: web.Request) -> str:
    name = request.headers.get("X-Operator", "operator")
    if not (0 < len(name) <= MAX_OPERATOR_CHARS and name.isprintable()):
        raise errors.BadRequestError(
            f"X-Operator must have 1 to {MAX_OPERATOR_CHARS} printable characters"
        )
    # aiohttp decodes header bytes that are not UTF-8 to lone surrogates.
    return name.encode(errors="replace").decode()


def _kind(text: str) -> schema.Kind:
    try:
        return schema.Kind(text)
    except ValueError:
        kinds = ", ".join(kind.value for kind in schema.Kind)
        raise errors.MarjoramusherError(
            errors.ErrorCode.NOT_FOUND,
            f"unknown kind {text[:32]!r}; the kinds are {kinds}",
        ) from None


def _schema_number(request: web.Request) -> int:
    schema_number = body.query_int(request, "schema", schema.LATEST, MAX_REVISION)
    if schema_number not in schema.SCHEMAS:
        raise errors.BadRequestError(
            f"schema {schema_number} is not supported; use 1 or 2"
        )
    return schema_number


def _etag(version: int) -> str:
    return f'"{version}"'


def _matches_etag(request: web.Request, version: int) -> bool:
    return any(tag.value == str(version) for tag in request.if_none_match or ())


def _not_modified(version: int) -> web.Response:
    return web.Response(status=304, headers={"ETag": _etag(version)})
