"""Service through which the HTTP handlers submit, read and cancel jobs."""

import asyncio
import contextlib
import hashlib
import math
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from ..core import clock, codec, errors, record, resource
from ..core import job as model
from ..groups import composite
from ..groups import group as groups
from ..jobs import command, machine

PROPOSE_TIMEOUT_S = 5.0
BARRIER_TIMEOUT_S = 2.0
MAX_WAIT_S = 30.0
MAX_LISTED_JOBS = 1000
MAX_GANG_TASKS = 256
MAX_PAYLOAD_BYTES = 64 * 1024  # every voter stores the payload until the job ends
MAX_KEY_LENGTH = 256
MAX_AMOUNT = 2**31

METHOD = "jobs"
"""Name of the method between instances that `JobsService.serve` answers."""

ProposeCallable = Callable[[str, bytes, float], Awaitable[bytes]]
RemoteCallable = Callable[[str, str, bytes], Awaitable[bytes]]
InfeasibilityCallable = Callable[[str, resource.GangShape], str | None]


class GetJob(msgspec.Struct, frozen=True, tag=True):
    """Query for one job of a failure domain."""

    job_id: str


class WatchJob(msgspec.Struct, frozen=True, tag=True):
    """Query that waits for the next state of a job of a failure domain."""

    job_id: str
    wait_s: float
    since_state: model.JobState | None = None


class ListJobs(msgspec.Struct, frozen=True, tag=True):
    """Query for the jobs of a client account in a failure domain."""

    account: str
    state: model.JobState | None
    limit: int


Query = GetJob | WatchJob | ListJobs


class Jobs(msgspec.Struct, frozen=True, tag=True):
    """Reply to a query."""

    jobs: list[model.Job]


class Failed(msgspec.Struct, frozen=True, tag=True):
    """Reply to a query that failed."""

    error: errors.ErrorBody


def _no_known_infeasibility(
    failure_domain: str, shape: resource.GangShape
) -> str | None:
    """Return None, since nothing is known about the workers."""
    del failure_domain, shape
    return None


class JobsService:
    """Submit, read and cancel jobs of all failure domains.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    group : Group
        Domain group of that failure domain.
    jobs : JobsMachine
        Local machine of that group.
    configuration : callable
        Returns the operators' records in force.
    time : Clock
        Clock for command times and the expiry of contracts.
    propose : callable
        ``propose(failure_domain, command, timeout_s)`` commits a command in a domain
        group and returns the encoded result.
    call_remote : callable
        ``call_remote(failure_domain, method, body)`` calls an instance of another
        failure domain, where `serve` answers.
    infeasibility_reason : callable, optional
        ``infeasibility_reason(failure_domain, shape)`` returns why a shape can never
        fit, or ``None`` if that is not known.
    """

    def __init__(
        self,
        failure_domain: str,
        group: groups.Group,
        jobs: machine.JobsMachine,
        configuration: Callable[[], record.Configuration],
        time: clock.Clock,
        propose: ProposeCallable,
        call_remote: RemoteCallable,
        infeasibility_reason: InfeasibilityCallable = _no_known_infeasibility,
    ) -> None:
        self._failure_domain = failure_domain
        self._group = group
        self._jobs = jobs
        self._configuration = configuration
        self._time = time
        self._propose = propose
        self._call_remote = call_remote
        self._infeasibility_reason = infeasibility_reason
        self._waiters: dict[str, set[asyncio.Event]] = {}
        self._applied = group.applied.subscribe(on_next=self._wake_waiters)

    def close(self) -> None:
        """End the subscription to the group."""
        self._applied.dispose()

    async def submit(
        self,
        account: str,
        spec: model.JobSpec,
        idempotency_key: str = "",
        issued_at: float | None = None,
    ) -> model.Job:
        """Submit a job, or return the job submitted before with the same key.

        Raises
        ------
        MarjoramusherError
            If the job is not accepted; with outcome ``unknown`` if it may have been.
        """
        contract = self._validate_submission(account, spec, idempotency_key)
        fingerprint = hashlib.blake2b(codec.pack(spec), digest_size=16).hexdigest()
        return await self._propose_command(
            contract.failure_domain,
            command.SubmitJob(
                self._now(), spec, idempotency_key, fingerprint, issued_at
            ),
        )

    async def get(self, job_id: str) -> model.Job:
        """Return a job.

        Raises
        ------
        MarjoramusherError
            With code ``not_found`` if the job does not exist or is no longer retained.
        """
        return (await self._query(_parse_failure_domain(job_id), GetJob(job_id)))[0]

    async def list(
        self, account: str, state: model.JobState | None = None, limit: int = 100
    ) -> Sequence[model.Job]:
        """Return a client account's newest jobs of all failure domains.

        Raises
        ------
        MarjoramusherError
            If a failure domain that may have such jobs does not answer. A list without
            its jobs would imply that they don't exist.
        """
        limit = max(0, min(limit, MAX_LISTED_JOBS))
        domains = {self._failure_domain}
        domains.update(
            contract.failure_domain
            for contract in self._configuration().contracts.values()
            if contract.account == account
        )
        query = ListJobs(account, state, limit)
        replies = await asyncio.gather(
            *(self._query(domain, query) for domain in sorted(domains))
        )
        jobs = [job for reply in replies for job in reply]
        jobs.sort(key=lambda job: job.submitted_at, reverse=True)
        return jobs[:limit]

    async def watch(
        self,
        job_id: str,
        wait_s: float,
        since_state: model.JobState | None = None,
    ) -> model.Job:
        """Return a job once its state differs from `since_state`.

        The job is returned unchanged after `wait_s`, and at once if it is finished.
        Without `since_state`, any change from the present state ends the wait.
        """
        wait_s = max(0.0, min(wait_s, MAX_WAIT_S))
        query = WatchJob(job_id, wait_s, since_state)
        return (await self._query(_parse_failure_domain(job_id), query))[0]

    async def cancel(self, job_id: str) -> model.Job:
        """Cancel a job; a job that holds workers is returned in state stopping."""
        return await self._propose_command(
            _parse_failure_domain(job_id), command.CancelJob(self._now(), job_id)
        )

    async def serve(self, body: bytes) -> bytes:
        """Answer a query from an instance of another failure domain."""
        try:
            query = codec.unpack(body, Query)
            return codec.pack(Jobs(list(await self._execute_query(query))))
        except errors.MarjoramusherError as error:
            return codec.pack(Failed(error.body()))

    async def _query(self, failure_domain: str, query: Query) -> Sequence[model.Job]:
        if failure_domain == self._failure_domain:
            return await self._execute_query(query)
        body = await self._call_remote(failure_domain, METHOD, codec.pack(query))
        reply = codec.unpack(body, Jobs | Failed)
        if isinstance(reply, Failed):
            raise errors.from_body(reply.error)
        return reply.jobs

    async def _execute_query(self, query: Query) -> Sequence[model.Job]:
        # Without the barrier, a lagging replica would not find a job that has been
        # accepted through another instance.
        await self._group.barrier(BARRIER_TIMEOUT_S)
        match query:
            case GetJob():
                return [self._get_job(query.job_id)]
            case WatchJob():
                return [await self._watch(query)]
            case ListJobs():
                return self._jobs.list_jobs(query.account, query.state, query.limit)

    async def _watch(self, query: WatchJob) -> model.Job:
        job = self._get_job(query.job_id)
        previous_state = query.since_state or job.state
        changed = asyncio.Event()
        waiters = self._waiters.setdefault(query.job_id, set())
        waiters.add(changed)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(query.wait_s, MAX_WAIT_S)):
                    while (
                        job.state is previous_state
                        and job.state not in model.FINAL_STATES
                    ):
                        changed.clear()
                        await changed.wait()
                        # A finished job may have been removed in the meantime.
                        job = self._jobs.job(query.job_id) or job
        finally:
            waiters.discard(changed)
            if not waiters:
                self._waiters.pop(query.job_id, None)
        return job

    def _wake_waiters(self, index: int) -> None:
        del index
        for waiters in self._waiters.values():
            for changed in waiters:
                changed.set()

    def _get_job(self, job_id: str) -> model.Job:
        job = self._jobs.job(job_id)
        if job is None:
            raise _not_found_error(job_id)
        return job

    async def _propose_command(
        self, failure_domain: str, cmd: command.Command
    ) -> model.Job:
        data = composite.part_command(command.PART, command.encode(cmd))
        reply = await self._propose(failure_domain, data, PROPOSE_TIMEOUT_S)
        result = command.decode_result(reply)
        assert isinstance(result, command.JobResult)
        return result.job

    def _now(self) -> float:
        return self._time.utcnow().timestamp()

    def _validate_submission(
        self, account: str, spec: model.JobSpec, idempotency_key: str
    ) -> record.Contract:
        configuration = self._configuration()
        if account not in configuration.accounts:
            raise errors.MarjoramusherError(
                errors.ErrorCode.UNKNOWN_ACCOUNT, f"no client account {account!r}"
            )
        if spec.account != account:
            raise errors.BadRequestError("the job belongs to another client account")
        contract = configuration.contracts.get(spec.contract)
        if contract is None or contract.account != account:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND,
                f"client account {account!r} has no contract {spec.contract!r}",
                details={"contract": spec.contract},
            )
        if contract.expires_at <= self._time.utcnow():
            raise errors.MarjoramusherError(
                errors.ErrorCode.CONTRACT_EXPIRED,
                f"contract {contract.name} has expired",
                details={"expires_at": contract.expires_at.isoformat()},
            )
        if len(idempotency_key) > MAX_KEY_LENGTH:
            raise errors.BadRequestError(
                f"an idempotency key is limited to {MAX_KEY_LENGTH} characters"
            )
        _validate_spec(spec)
        reason = self._infeasibility_reason(contract.failure_domain, spec.shape)
        if reason is not None:
            raise errors.MarjoramusherError(errors.ErrorCode.JOB_INFEASIBLE, reason)
        return contract


def _validate_spec(spec: model.JobSpec) -> None:
    shape = spec.shape
    if not math.isfinite(spec.run_s) or spec.run_s < 0:
        raise errors.BadRequestError("run_s must be finite and not negative")
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.MarjoramusherError(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"the payload of a job is limited to {MAX_PAYLOAD_BYTES} bytes",
        )
    amounts = (shape.each.accelerators, shape.each.cores, shape.each.memory_mb)
    if shape.tasks < 1 or any(not 0 <= amount < MAX_AMOUNT for amount in amounts):
        raise errors.BadRequestError("the shape has a value out of range")
    if shape.tasks > MAX_GANG_TASKS:
        raise errors.MarjoramusherError(
            errors.ErrorCode.JOB_INFEASIBLE,
            f"a gang has at most {MAX_GANG_TASKS} tasks",
        )
    if not any(amounts):
        raise errors.MarjoramusherError(
            errors.ErrorCode.JOB_INFEASIBLE, "the shape asks for no resources"
        )


def _parse_failure_domain(job_id: str) -> str:
    prefix, _, rest = job_id.partition("-")
    failure_domain, _, number = rest.rpartition("-")
    if prefix != "job" or not failure_domain or not number.isdigit():
        raise _not_found_error(job_id)
    return failure_domain


def _not_found_error(job_id: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(errors.ErrorCode.NOT_FOUND, f"no job {job_id!r}")
