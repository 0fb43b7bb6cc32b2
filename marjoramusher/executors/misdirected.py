"""Keep the starts for one incarnation of a worker away from the next one.

A start names its worker by id only, so that a later incarnation accepts it, also one
that is carried out late. The fencing token is what tells them apart.
"""

import asyncio
from collections.abc import Iterable

from ..core import errors
from ..telemetry import log
from ..workflows import workflow
from . import port, runs

RETRY_S = 0.25
MAX_STOP_CHECKS = 8  # reports within which stopped runs have to be gone


async def fence(
    successor: workflow.Worker, workers: port.WorkerPort, token: int
) -> list[workflow.RunEnd]:
    """Stop all runs on an incarnation that nothing was meant for yet.

    From the first reply on, it also rejects all starts with a lower token.

    Parameters
    ----------
    token : int
        Fencing token above that of each earlier start.

    Returns
    -------
    list of RunEnd
        How runs have ended there; some may have been done already.

    Raises
    ------
    WorkerUnreachableError
        If it is not confirmed in time that it runs nothing.
    WorkerReplacedError
        If a worker with another id has taken its address.
    """
    report = await workers.poll(successor, token, 0, None, 0.0)
    checks = 0
    while report.running:
        if checks == MAX_STOP_CHECKS:
            raise _unconfirmed(successor, "misdirected runs have not stopped yet")
        if not checks:
            await asyncio.gather(
                *(_stop(run, successor, workers, token) for run in report.running)
            )
        else:
            await asyncio.sleep(RETRY_S)
        checks += 1
        report = await workers.poll(successor, token, 0, None, 0.0)
    return list(report.ends)


def ends_of(
    placements: Iterable[workflow.Placement], ends: Iterable[workflow.RunEnd]
) -> tuple[workflow.RunEnd, ...]:
    """Return the ends of some runs."""
    keys = {(placement.task, placement.run) for placement in placements}
    return tuple(end for end in ends if (end.task, end.run) in keys)


async def _stop(
    run: port.RunStatus,
    successor: workflow.Worker,
    workers: port.WorkerPort,
    token: int,
) -> None:
    reply = await workers.stop(successor, run.task, run.run, token)
    if not reply.is_stopped:
        raise _unconfirmed(successor, "it refused to stop a misdirected run")
    log.state_change(
        "task.stop_misdirected",
        task=runs.name(run.task),
        run=run.run,
        worker=successor.worker_id,
        born=successor.incarnation,
    )


def _unconfirmed(worker: workflow.Worker, reason: str) -> port.WorkerUnreachableError:
    return port.WorkerUnreachableError(worker.worker_id, reason, errors.Outcome.UNKNOWN)
