"""Jobs as the callers' handlers use them."""

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
MAX_LIST = 1000
MAX_GANG = 256
MAX_PAYLOAD_BYTES = 64 * 1024  # the payload is held by every voter until the job ends
MAX_KEY_LENGTH = 256
MAX_AMOUNT = 2**31

METHOD = "jobs"
"""Method of the instances' links that `JobsService.serve` answers."""

Propose = Callable[[str, bytes, float], Awaitable[bytes]]
Remote = Callable[[str, str, bytes], Awaitable[bytes]]
Infeasible = Callable[[str, resource.GangShape], str | None]


class GetJob(msgspec.Struct, frozen=True, tag=True):
    """Ask another failure domain for a job."""

    job_id: str


class WatchJob(msgspec.Struct, frozen=True, tag=True):
    """Ask another failure domain for a job's next state."""

    job_id: str
    wait_s: float
    since_state: model.JobState | None = None


class ListJobs(msgspec.Struct, frozen=True, tag=True):
    """Ask another failure domain for a client account's jobs."""

    account: str
    state: model.JobState | None
    limit: int


Question = GetJob | WatchJob | ListJobs


class Jobs(msgspec.Struct, frozen=True, tag=True):
    """Answer to a question."""

    jobs: list[model.Job]


class Failed(msgspec.Struct, frozen=True, tag=True):
    """Error that answers a question."""

    error: errors.ErrorBody


def _no_reason(failure_domain: str, shape: resource.GangShape) -> str | None:
    """Know no shape that can't fit."""
    del failure_domain, shape
    return None


class JobsService:
    """Submit, read and cancel jobs of every failure domain.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    group : Group
        Its domain group.
    jobs : JobsMachine
        The local machine of that group.
    configuration : callable
        Returns the operators' records in force.
    time : Clock
        Decides whether a contract has expired.
    propose : callable
        ``propose(failure_domain, command, timeout_s)`` commits a command of a domain
        group and returns the machine's result.
    remote : callable
        ``remote(failure_domain, method, body)`` asks an instance of another failure
        domain, where `serve` answers.
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
        propose: Propose,
        remote: Remote,
        infeasibility_reason: Infeasible = _no_reason,
    ) -> None:
        self._failure_domain = failure_domain
        self._group = group
        self._jobs = jobs
        self._configuration = configuration
        self._time = time
        self._propose = propose
        self._remote = remote
        self._infeasibility_reason = infeasibility_reason
        self._waiters: dict[str, set[asyncio.Event]] = {}
        self._applied = group.applied.subscribe(on_next=self._wake)

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
        """Add a job; the same key gives the job that it has added before.

        Raises
        ------
        MarjoramusherError
            If the job is not accepted; with outcome ``unknown`` if it may be.
        """
        contract = self._check(account, spec, idempotency_key)
        fingerprint = hashlib.blake2b(codec.pack(spec), digest_size=16).hexdigest()
        return await self._command(
            contract.failure_domain,
            command.SubmitJob(
                self._at(), spec, idempotency_key, fingerprint, issued_at
            ),
        )

    async def get(self, job_id: str) -> model.Job:
        """Return a job.

        Raises
        ------
        MarjoramusherError
            With code ``not_found`` if there is no such job, or it ended long ago.
        """
        return (await self._ask(_domain_of(job_id), GetJob(job_id)))[0]

    async def list(
        self, account: str, state: model.JobState | None = None, limit: int = 100
    ) -> Sequence[model.Job]:
        """Return a client account's newest jobs of all failure domains.

        Raises
        ------
        MarjoramusherError
            If a failure domain that may have such jobs does not answer; a shorter
            list would say that they don't exist.
        """
        limit = max(0, min(limit, MAX_LIST))
        domains = {self._failure_domain}
        domains.update(
            contract.failure_domain
            for contract in self._configuration().contracts.values()
            if contract.account == account
        )
        question = ListJobs(account, state, limit)
        answers = await asyncio.gather(
            *(self._ask(domain, question) for domain in sorted(domains))
        )
        found = [item for answer in answers for item in answer]
        found.sort(key=lambda item: item.submitted_at, reverse=True)
        return found[:limit]

    async def watch(
        self,
        job_id: str,
        wait_s: float,
        since_state: model.JobState | None = None,
    ) -> model.Job:
        """Return a job once its state differs from `since_state`.

        It is returned as it is after `wait_s`, or at once if it is finished. Without
        `since_state` the wait is for the next change.
        """
        wait_s = max(0.0, min(wait_s, MAX_WAIT_S))
        question = WatchJob(job_id, wait_s, since_state)
        return (await self._ask(_domain_of(job_id), question))[0]

    async def cancel(self, job_id: str) -> model.Job:
        """Cancel a job; one that holds workers is returned while it stops."""
        return await self._command(
            _domain_of(job_id), command.CancelJob(self._at(), job_id)
        )

    async def serve(self, body: bytes) -> bytes:
        """Answer a question of an instance of another failure domain."""
        try:
            question = codec.unpack(body, Question)
            return codec.pack(Jobs(list(await self._answer(question))))
        except errors.MarjoramusherError as error:
            return codec.pack(Failed(error.body()))

    async def _ask(
        self, failure_domain: str, question: Question
    ) -> Sequence[model.Job]:
        if failure_domain == self._failure_domain:
            return await self._answer(question)
        body = await self._remote(failure_domain, METHOD, codec.pack(question))
        answer = codec.unpack(body, Jobs | Failed)
        if isinstance(answer, Failed):
            raise errors.from_body(answer.error)
        return answer.jobs

    async def _answer(self, question: Question) -> Sequence[model.Job]:
        # Without the barrier a lagging replica would deny a job accepted elsewhere.
        await self._group.barrier(BARRIER_TIMEOUT_S)
        match question:
            case GetJob():
                return [self._require(question.job_id)]
            case WatchJob():
                return [await self._watch(question)]
            case ListJobs():
                return self._jobs.list_jobs(
                    question.account, question.state, question.limit
                )

    async def _watch(self, question: WatchJob) -> model.Job:
        item = self._require(question.job_id)
        since = question.since_state or item.state
        changed = asyncio.Event()
        waiters = self._waiters.setdefault(question.job_id, set())
        waiters.add(changed)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(question.wait_s, MAX_WAIT_S)):
                    while item.state is since and item.state not in model.FINAL_STATES:
                        changed.clear()
                        await changed.wait()
                        # A finished job may be dropped before this runs.
                        item = self._jobs.job(question.job_id) or item
        finally:
            waiters.discard(changed)
            if not waiters:
                self._waiters.pop(question.job_id, None)
        return item

    def _wake(self, index: int) -> None:
        del index
        for waiters in self._waiters.values():
            for changed in waiters:
                changed.set()

    def _require(self, job_id: str) -> model.Job:
        item = self._jobs.job(job_id)
        if item is None:
            raise _not_found(job_id)
        return item

    async def _command(self, failure_domain: str, value: command.Command) -> model.Job:
        data = composite.part_command(command.PART, command.encode(value))
        answer = await self._propose(failure_domain, data, PROPOSE_TIMEOUT_S)
        outcome = command.decode_result(answer)
        assert isinstance(outcome, command.JobResult)
        return outcome.job

    def _at(self) -> float:
        return self._time.utcnow().timestamp()

    def _check(
        self, account: str, spec: model.JobSpec, idempotency_key: str
    ) -> record.Contract:
        configuration = self._configuration()
        if account not in configuration.accounts:
            raise errors.MarjoramusherError(
                errors.ErrorCode.UNKNOWN_ACCOUNT, f"no client account {account!r}"
            )
        if spec.account != account:
            raise errors.BadRequestError("the job names another client account")
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
                f"an idempotency key has at most {MAX_KEY_LENGTH} characters"
            )
        _check_spec(spec)
        reason = self._infeasibility_reason(contract.failure_domain, spec.shape)
        if reason is not None:
            raise errors.MarjoramusherError(errors.ErrorCode.JOB_INFEASIBLE, reason)
        return contract


def _check_spec(spec: model.JobSpec) -> None:
    shape = spec.shape
    if not math.isfinite(spec.run_s) or spec.run_s < 0:
        raise errors.BadRequestError("run_s is not a duration")
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.MarjoramusherError(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"a job's payload has at most {MAX_PAYLOAD_BYTES} bytes",
        )
    amounts = (shape.each.accelerators, shape.each.cores, shape.each.memory_mb)
    if shape.tasks < 1 or any(not 0 <= amount < MAX_AMOUNT for amount in amounts):
        raise errors.BadRequestError("the shape is out of range")
    if shape.tasks > MAX_GANG:
        raise errors.MarjoramusherError(
            errors.ErrorCode.JOB_INFEASIBLE, f"a gang has at most {MAX_GANG} tasks"
        )
    if not any(amounts):
        raise errors.MarjoramusherError(
            errors.ErrorCode.JOB_INFEASIBLE, "the shape asks for no resources"
        )


def _domain_of(job_id: str) -> str:
    kind, _, rest = job_id.partition("-")
    failure_domain, _, number = rest.rpartition("-")
    if kind != "job" or not failure_domain or not number.isdigit():
        raise _not_found(job_id)
    return failure_domain


def _not_found(job_id: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(errors.ErrorCode.NOT_FOUND, f"no job {job_id!r}")
