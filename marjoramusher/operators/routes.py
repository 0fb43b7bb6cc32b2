"""Routes of the operators' interface."""

import functools
from collections.abc import Callable, Collection
from typing import Any

from aiohttp import typedefs, web

from ..core import clock
from ..groups import group as group_interface
from ..http import token as http_token
from ..records import machine
from ..telemetry import metrics
from . import records as record_handlers
from . import status as status_handlers
from . import watch


def make_routes(
    group: group_interface.Group,
    records: machine.RecordsMachine,
    token: bytes | None,
    counters: metrics.Metrics,
    time: clock.Clock,
    *,
    failure_domains: Callable[[], Collection[str]],
    status_sections: Callable[[], dict[str, Any]] = dict,
    not_ready_reason: Callable[[], str] = str,
    recover: status_handlers.Recover | None = None,
    propose: record_handlers.Propose | None = None,
    revision_watcher: watch.RevisionWatcher | None = None,
) -> list[web.RouteDef]:
    """Return the routes; `http.errors.make_middleware` must wrap them.

    Call it within a running event loop.

    Parameters
    ----------
    group : Group
        The records group.
    token : bytes or None
        Operators' token; ``None`` admits everyone.
    failure_domains : callable
        Failure domains that this instance knows now.
    status_sections : callable
        Returns the sections of ``GET /v1/status`` besides the records.
    not_ready_reason : callable
        Returns why the instance is not ready, or an empty string.
    recover : callable or None
        Restarts a group by name with this instance as its only voter.
    propose : callable or None
        Commits a command; ``group.propose`` if missing.
    revision_watcher : RevisionWatcher or None
        To be closed by the caller before a graceful shutdown; made if missing.
    """
    revision_watcher = revision_watcher or watch.RevisionWatcher(group, records)
    written = record_handlers.RecordHandlers(
        propose or group.propose, records, revision_watcher, time, failure_domains
    )
    state = status_handlers.StatusHandlers(
        records, counters, status_sections, not_ready_reason, recover
    )

    def guarded(handler: typedefs.Handler) -> typedefs.Handler:
        @functools.wraps(handler)
        async def check_token(request: web.Request) -> web.StreamResponse:
            http_token.check(request, token, counters, "operator")
            return await handler(request)

        return check_token

    return [
        web.post("/v1/records/apply", guarded(written.apply)),
        web.post("/v1/records/rollback", guarded(written.roll_back)),
        web.get("/v1/records", guarded(written.list_records)),
        web.get("/v1/records/diff", guarded(written.diff)),
        web.get("/v1/records/{kind}/{name}", guarded(written.get)),
        web.get("/v1/records/{kind}/{name}/history", guarded(written.history)),
        web.get("/v1/status", guarded(state.status)),
        web.get("/v1/metrics", guarded(state.metrics)),
        web.get("/metrics", guarded(state.prometheus)),
        web.post("/v1/groups/{group}/recover", guarded(state.recover)),
        # The load balancer has no token.
        web.get("/health", state.health),
        web.get("/ready", state.ready),
    ]
