"""Handlers for the state of the instance."""

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
    """Tell the state of the instance.

    Parameters
    ----------
    sections : callable
        Returns further sections of the status by name.
    not_ready : callable
        Returns why the instance is not ready, or an empty string.
    recover : callable or None
        Restarts a group with this instance as its only voter.
    """

    __slots__ = ("_counters", "_not_ready", "_records", "_recover", "_sections")

    def __init__(
        self,
        records: machine.RecordsMachine,
        counters: metrics.Metrics,
        sections: Callable[[], dict[str, Any]],
        not_ready: Callable[[], str],
        recover: Recover | None,
    ) -> None:
        self._records = records
        self._counters = counters
        self._sections = sections
        self._not_ready = not_ready
        self._recover = recover

    async def status(self, request: web.Request) -> web.Response:
        """Return the status."""
        body.check_query(request)
        return http_errors.json_response(
            {
                "not_ready": self._not_ready(),
                "records": {
                    "revision": self._records.revision,
                    "oldest_revision": self._records.oldest_revision,
                },
                **self._sections(),
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
        """Answer as long as the event loop runs."""
        del request
        return http_errors.json_response({"healthy": True})

    async def ready(self, request: web.Request) -> web.Response:
        """Tell whether the load balancer should send callers here."""
        del request
        reason = self._not_ready()
        return http_errors.json_response(
            {"ready": not reason, "reason": reason}, 503 if reason else 200
        )

    async def recover(self, request: web.Request) -> web.Response:
        """Restart a group that has lost its majority for good."""
        body.check_query(request)
        asked = await body.read_json(request, RecoverRequest)
        name = request.match_info["group"]
        if not asked.accept_loss:
            raise errors.BadRequestError(
                "a recovery can lose acknowledged writes; accept_loss must be true"
            )
        if self._recover is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, "this instance votes in no group"
            )
        result = await self._recover(name)
        log.state_change("group.recovered", group=name)
        return http_errors.json_response(result)
