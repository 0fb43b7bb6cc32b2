"""Access to jobs, limited to those of the client account."""

from collections.abc import Sequence

from ..core import errors, job
from ..workers import service


class AccountJobs:
    """Serve jobs and hide those of other client accounts as not found.

    Parameters
    ----------
    jobs : JobsService
        Serves the jobs of all client accounts.
    """

    __slots__ = ("_jobs",)

    def __init__(self, jobs: service.JobsService) -> None:
        self._jobs = jobs

    async def submit(
        self, spec: job.JobSpec, key: str, issued_at: float | None
    ) -> job.Job:
        """Submit a job."""
        return await self._jobs.submit(spec.account, spec, key, issued_at)

    async def get(self, account: str, job_id: str) -> job.Job:
        """Return a job of the client account."""
        return _check_account(await self._jobs.get(job_id), account)

    async def list(self, account: str, limit: int) -> Sequence[job.Job]:
        """Return the newest jobs of the client account."""
        return await self._jobs.list(account, limit=limit)

    async def watch(self, account: str, job_id: str, wait_s: float) -> job.Job:
        """Return a job of the client account when its state has changed.

        Returns the unchanged job after `wait_s`.
        """
        await self.get(account, job_id)
        return _check_account(await self._jobs.watch(job_id, wait_s), account)

    async def cancel(self, account: str, job_id: str) -> job.Job:
        """Cancel a job of the client account."""
        await self.get(account, job_id)
        return await self._jobs.cancel(job_id)


def _check_account(result: job.Job, account: str) -> job.Job:
    if result.spec.account != account:
        raise errors.MarjoramusherError(
            errors.ErrorCode.NOT_FOUND, f"no job {result.job_id!r}"
        )
    return result
