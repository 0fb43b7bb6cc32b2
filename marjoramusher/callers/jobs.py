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
        """Submit a job, or return the job submitted earlier with the same key."""

    async def get(self, account: str, job_id: str) -> job.Job:
        """Return a job."""

    async def list(self, account: str, limit: int) -> Sequence[job.Job]:
        """Return jobs of a client account, the newest first."""

    async def watch(self, account: str, job_id: str, wait_s: float) -> job.Job:
        """Return a job once its state has changed or `wait_s` has passed."""

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
    """Response to `GET /v1/jobs`."""

    jobs: list[job.Job]


class JobHandlers:
    """Serve `/v1/jobs`.

    Parameters
    ----------
    jobs : Jobs
        Submits and watches jobs.
    configuration : callable
        Returns the records in force.
    """

    def __init__(
        self, jobs: Jobs, configuration: Callable[[], record.Configuration]
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration
        self._is_draining = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [
            web.post("/v1/jobs", self.submit),
            web.get("/v1/jobs", self.list),
            web.get("/v1/jobs/{id}", self.get),
            web.delete("/v1/jobs/{id}", self.cancel),
        ]

    def drain(self) -> None:
        """Refuse new jobs, and answer requests with `wait_s` without waiting."""
        self._is_draining = True

    async def submit(self, request: web.Request) -> web.Response:
        """Submit a job."""
        if self._is_draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        account = self._account(request)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            validation.check_name(key, "Idempotency-Key")
        issued_at = validation.parse_issued_at(request.headers)
        job_request = await body.read_json(request, JobRequest)
        _validate(job_request)
        spec = job.JobSpec(
            account,
            job_request.contract,
            job_request.shape,
            job_request.job_class,
            job_request.run_s,
            job_request.repeatable,
            job_request.payload,
        )
        submitted = await self._jobs.submit(spec, key, issued_at)
        return http_errors.json_response(
            submitted, 202, Location=f"/v1/jobs/{submitted.job_id}"
        )

    async def list(self, request: web.Request) -> web.Response:
        """List the jobs of the client account."""
        body.check_query(request, "limit")
        limit = body.query_int(request, "limit", 100, MAX_LISTED)
        jobs = await self._jobs.list(self._account(request), limit)
        return http_errors.json_response(JobList(list(jobs)))

    async def get(self, request: web.Request) -> web.Response:
        """Return a job; with `wait_s`, wait so long for a change of its state."""
        body.check_query(request, "wait_s")
        wait_s = body.query_seconds(request, "wait_s", 0.0, MAX_WAIT_S)
        account, job_id = self._account(request), _job_id(request)
        if wait_s and not self._is_draining:
            current = await self._jobs.watch(account, job_id, wait_s)
        else:
            current = await self._jobs.get(account, job_id)
        return http_errors.json_response(current)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a job."""
        account = self._account(request)
        return http_errors.json_response(
            await self._jobs.cancel(account, _job_id(request))
        )

    def _account(self, request: web.Request) -> str:
        """Return the client account of a request, which must have a record."""
        account = validation.check_name(
            request.headers.get("X-Client-Account"), "X-Client-Account"
        )
        home.of_account(self._configuration(), account)  # raises without a record
        return account


def _job_id(request: web.Request) -> str:
    return validation.check_name(request.match_info["id"], "id")


def _validate(job_request: JobRequest) -> None:
    """Raise `BadRequestError` if a value is out of its range."""
    validation.check_name(job_request.contract, "contract")
    task = job_request.shape.each
    for value, minimum, maximum, field in (
        (job_request.shape.tasks, 1, 100_000, "shape.tasks"),
        (task.accelerators, 0, 1024, "shape.each.accelerators"),
        (task.cores, 0, 100_000, "shape.each.cores"),
        (task.memory_mb, 0, 2**40, "shape.each.memory_mb"),
        (job_request.run_s, 0, 10**9, "run_s"),
    ):
        if not minimum <= value <= maximum:
            raise errors.BadRequestError(f"{field} must be from {minimum} to {maximum}")
