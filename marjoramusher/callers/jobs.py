"""HTTP handlers for jobs."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from aiohttp import web

from ..claims import home
from ..core import errors, job, record, resource
from ..http import body
from ..http import errors as http_errors
from . import validation

MAX_WAIT_S = 60.0
MAX_LISTED = 1000


class Jobs(Protocol):
    """Submit and watch the jobs of every failure domain.

    Each method raises a `MarjoramusherError`; a job of another client account is
    ``not_found``.
    """

    async def submit(
        self, spec: job.JobSpec, key: str, issued_at: float | None
    ) -> job.Job:
        """Submit a job; the same key gives the job that it made before."""

    async def get(self, account: str, job_id: str) -> job.Job:
        """Return a job."""

    async def list(self, account: str, limit: int) -> Sequence[job.Job]:
        """Return jobs of a client account, the newest first."""

    async def watch(self, account: str, job_id: str, wait_s: float) -> job.Job:
        """Return a job once its state differs from now or the time is over."""

    async def cancel(self, account: str, job_id: str) -> job.Job:
        """Cancel a job and return its state."""


class JobRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/jobs`; the client account comes from the header."""

    contract: str
    shape: resource.GangShape
    job_class: resource.JobClass = resource.JobClass.NORMAL
    run_s: float = 60.0
    repeatable: bool = True
    payload: str = ""


class JobList(msgspec.Struct, frozen=True):
    """Answer of `GET /v1/jobs`."""

    jobs: list[job.Job]


class JobHandlers:
    """Serve `/v1/jobs`.

    Parameters
    ----------
    jobs : Jobs
        Submits and watches.
    configuration : callable
        Returns the records in force.
    """

    def __init__(
        self, jobs: Jobs, configuration: Callable[[], record.Configuration]
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration
        self._draining = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [
            web.post("/v1/jobs", self.submit),
            web.get("/v1/jobs", self.list),
            web.get("/v1/jobs/{id}", self.get),
            web.delete("/v1/jobs/{id}", self.cancel),
        ]

    def drain(self) -> None:
        """Refuse new jobs and end waits at once."""
        self._draining = True

    async def submit(self, request: web.Request) -> web.Response:
        """Submit a job."""
        if self._draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        account = self._account(request)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            validation.name(key, "Idempotency-Key")
        issued_at = validation.issued_at(request.headers)
        asked = await body.read_json(request, JobRequest)
        _check(asked)
        spec = job.JobSpec(
            account,
            asked.contract,
            asked.shape,
            asked.job_class,
            asked.run_s,
            asked.repeatable,
            asked.payload,
        )
        made = await self._jobs.submit(spec, key, issued_at)
        return http_errors.json_response(made, 202, Location=f"/v1/jobs/{made.job_id}")

    async def list(self, request: web.Request) -> web.Response:
        """List the jobs of the client account."""
        body.check_query(request, "limit")
        limit = body.query_int(request, "limit", 100, MAX_LISTED)
        found = await self._jobs.list(self._account(request), limit)
        return http_errors.json_response(JobList(list(found)))

    async def get(self, request: web.Request) -> web.Response:
        """Return a job, if asked once its state has changed."""
        body.check_query(request, "wait_s")
        wait_s = body.query_seconds(request, "wait_s", 0.0, MAX_WAIT_S)
        account, job_id = self._account(request), _job_id(request)
        if wait_s and not self._draining:
            found = await self._jobs.watch(account, job_id, wait_s)
        else:
            found = await self._jobs.get(account, job_id)
        return http_errors.json_response(found)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a job."""
        account = self._account(request)
        return http_errors.json_response(
            await self._jobs.cancel(account, _job_id(request))
        )

    def _account(self, request: web.Request) -> str:
        account = validation.name(
            request.headers.get("X-Client-Account"), "X-Client-Account"
        )
        home.of_account(self._configuration(), account)
        return account


def _job_id(request: web.Request) -> str:
    return validation.name(request.match_info["id"], "id")


def _check(asked: JobRequest) -> None:
    validation.name(asked.contract, "contract")
    each = asked.shape.each
    for value, least, most, what in (
        (asked.shape.tasks, 1, 100_000, "shape.tasks"),
        (each.accelerators, 0, 1024, "shape.each.accelerators"),
        (each.cores, 0, 100_000, "shape.each.cores"),
        (each.memory_mb, 0, 2**40, "shape.each.memory_mb"),
        (asked.run_s, 0, 10**9, "run_s"),
    ):
        if not least <= value <= most:
            raise errors.BadRequestError(f"{what} is not from {least} to {most}")
