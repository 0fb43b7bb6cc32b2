"""HTTP handlers for status, health, metrics and recovery of an instance."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import msgspec
from aiohttp import web

from ..core import errors
from ..http import body
from ..http import errors as http_errors
from ..records import machine
from ..telemetry import log, metrics

Recover: TypeAlias = Callable[[str], Awaitable[dict[str, Any]]]


class RecoverRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/groups/{group}/recover``."""

    accept_loss: bool


class StatusHandlers:
    """Serve status, health and metrics of the instance, and recover groups.

    Parameters
    ----------
    status_sections : callable
        Returns the sections of the status besides the records, by name.
    not_ready_reason : callable
        Returns why the instance is not ready, or an empty string.
    recover : callable or None
        Restarts a group with this instance as its only voter.
    """

    __slots__ = (
        "_counters",
        "_not_ready_reason",
        "_records",
        "_recover",
        "_status_sections",
    )

    def __init__(
        self,
        records: machine.RecordsMachine,
        counters: metrics.Metrics,
        status_sections: Callable[[], dict[str, Any]],
        not_ready_reason: Callable[[], str],
        recover: Recover | None,
    ) -> None:
        self._records = records
        self._counters = counters
        self._status_sections = status_sections
        self._not_ready_reason = not_ready_reason
        self._recover = recover

    async def status(self, request: web.Request) -> web.Response:
        """Return the status of the instance."""
        body.check_query(request)
        return http_errors.json_response(
            {
                "not_ready": self._not_ready_reason(),
                "records": {
                    "revision": self._records.revision,
                    "oldest_revision": self._records.oldest_revision,
                },
                **self._status_sections(),
            }
        )

    async def prometheus(self, request: web.Request) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        del request
        return web.Response(
            body=self._counters.prometheus().encode(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Return all metrics as JSON."""
        del request
        return http_errors.json_response(self._counters.snapshot())

    async def health(self, request: web.Request) -> web.Response:
        """Respond as long as the event loop runs."""
        del request
        return http_errors.json_response({"healthy": True})

    async def ready(self, request: web.Request) -> web.Response:
        """Return whether the load balancer should send requests to this instance."""
        del request
        reason = self._not_ready_reason()
        return http_errors.json_response(
            {"ready": not reason, "reason": reason}, 503 if reason else 200
        )

    async def recover(self, request: web.Request) -> web.Response:
        """Restart a group that has lost its majority permanently."""
        body.check_query(request)
        recover_request = await body.read_json(request, RecoverRequest)
        group = request.match_info["group"]
        if not recover_request.accept_loss:
            raise errors.BadRequestError(
                "a recovery can lose acknowledged writes, so accept_loss must be true"
            )
        if self._recover is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, "this instance is no voter of any group"
            )
        result = await self._recover(group)
        log.state_change("group.recovered", group=group)
        return http_errors.json_response(result)
