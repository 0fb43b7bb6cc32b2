"""Stop runs on an incarnation of a worker for which they were not meant."""

import asyncio
from collections.abc import Collection

from ..core import errors
from ..telemetry import log
from ..workflows import workflow
from . import port, runs

RETRY_S = 0.25
MAX_STOP_CHECKS = 8  # reports within which a stopped run has to be gone


async def stop_runs(
    placements: Collection[workflow.Placement],
    successor: workflow.Worker,
    workers: port.WorkerPort,
    token: int,
) -> list[workflow.RunEnd]:
    """Stop runs on a later incarnation, and wait until it reports none of them.

    A start names the id of its worker only, so that a later incarnation accepts it.

    Parameters
    ----------
    token : int
        Fencing token of the leadership.

    Returns
    -------
    list of RunEnd
        How those that had started there have ended; some may have been done already.

    Raises
    ------
    WorkerUnreachableError
        If it is not confirmed in time that the runs have stopped.
    """
    await asyncio.gather(
        *(_stop(placement, successor, workers, token) for placement in placements)
    )
    keys = {(placement.task, placement.run) for placement in placements}
    for _ in range(MAX_STOP_CHECKS):
        report = await workers.poll(successor, token, 0, None, 0.0)
        if not keys & {(status.task, status.run) for status in report.running}:
            return [end for end in report.ends if (end.task, end.run) in keys]
        await asyncio.sleep(RETRY_S)
    raise _unconfirmed(successor, "misdirected runs have not stopped yet")


async def stop_all(
    successor: workflow.Worker, workers: port.WorkerPort, token: int
) -> None:
    """Stop all runs on an incarnation that is not registered yet.

    From this call on, it also rejects the starts of former leaders.

    Raises
    ------
    WorkerUnreachableError
        If it is not confirmed in time that it runs nothing.
    """
    report = await workers.poll(successor, token, 0, None, 0.0)
    placements = [
        workflow.Placement(
            status.task, status.run, successor.worker_id, successor.incarnation
        )
        for status in report.running
    ]
    if placements:
        await stop_runs(placements, successor, workers, token)


async def _stop(
    placement: workflow.Placement,
    successor: workflow.Worker,
    workers: port.WorkerPort,
    token: int,
) -> None:
    reply = await workers.stop(successor, placement.task, placement.run, token)
    if not reply.is_stopped:
        raise _unconfirmed(successor, "it refused to stop a misdirected run")
    log.state_change(
        "task.stop_misdirected",
        task=runs.name(placement.task),
        run=placement.run,
        worker=successor.worker_id,
        born=successor.incarnation,
    )


def _unconfirmed(worker: workflow.Worker, reason: str) -> port.WorkerUnreachableError:
    return port.WorkerUnreachableError(worker.worker_id, reason, errors.Outcome.UNKNOWN)
