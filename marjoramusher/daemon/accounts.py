"""Jobs as one client account sees them."""

from collections.abc import Sequence

from ..core import errors, job
from ..workers import service


class AccountJobs:
    """Hide the jobs of other client accounts.

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
        return _own(await self._jobs.get(job_id), account)

    async def list(self, account: str, limit: int) -> Sequence[job.Job]:
        """Return the newest jobs of the client account."""
        return await self._jobs.list(account, limit=limit)

    async def watch(self, account: str, job_id: str, wait_s: float) -> job.Job:
        """Return a job of the client account once its state has changed."""
        await self.get(account, job_id)
        return _own(await self._jobs.watch(job_id, wait_s), account)

    async def cancel(self, account: str, job_id: str) -> job.Job:
        """Cancel a job of the client account."""
        await self.get(account, job_id)
        return await self._jobs.cancel(job_id)


def _own(found: job.Job, account: str) -> job.Job:
    if found.spec.account != account:
        raise errors.MarjoramusherError(
            errors.ErrorCode.NOT_FOUND, f"no job {found.job_id!r}"
        )
    return found
