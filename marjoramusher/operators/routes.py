"""Routes of the operators' HTTP interface."""

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
    """Return the routes of the operators' interface.

    The application must use `http.errors.make_middleware`. The call needs a running
    event loop.

    Parameters
    ----------
    group : Group
        The records group.
    token : bytes or None
        Operators' token; ``None`` turns authentication off.
    failure_domains : callable
        Returns the failure domains that this instance knows.
    status_sections : callable
        Returns the sections of ``GET /v1/status`` besides the records.
    not_ready_reason : callable
        Returns why the instance is not ready, or an empty string.
    recover : callable or None
        Restarts the group with a given name with this instance as its only voter.
    propose : callable or None
        Commits a command; defaults to ``group.propose``.
    revision_watcher : RevisionWatcher or None
        Watcher that the caller closes before a graceful shutdown; by default a new one
        is made.
    """
    revision_watcher = revision_watcher or watch.RevisionWatcher(group, records)
    records_api = record_handlers.RecordHandlers(
        propose or group.propose, records, revision_watcher, time, failure_domains
    )
    status_api = status_handlers.StatusHandlers(
        records, counters, status_sections, not_ready_reason, recover
    )

    def require_token(handler: typedefs.Handler) -> typedefs.Handler:
        @functools.wraps(handler)
        async def handle(request: web.Request) -> web.StreamResponse:
            http_token.check(request, token, counters, "operator")
            return await handler(request)

        return handle

    return [
        web.post("/v1/records/apply", require_token(records_api.apply)),
        web.post("/v1/records/rollback", require_token(records_api.roll_back)),
        web.get("/v1/records", require_token(records_api.list_records)),
        web.get("/v1/records/diff", require_token(records_api.diff)),
        web.get("/v1/records/{kind}/{name}", require_token(records_api.get)),
        web.get(
            "/v1/records/{kind}/{name}/history", require_token(records_api.history)
        ),
        web.get("/v1/status", require_token(status_api.status)),
        web.get("/v1/metrics", require_token(status_api.metrics)),
        web.get("/metrics", require_token(status_api.prometheus)),
        web.post("/v1/groups/{group}/recover", require_token(status_api.recover)),
        # Without authentication, since the load balancer has no token.
        web.get("/health", status_api.health),
        web.get("/ready", status_api.ready),
    ]
