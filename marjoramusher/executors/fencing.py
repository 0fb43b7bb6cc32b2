"""Stop all runs on an incarnation of a worker, and keep out late starts.

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


async def stop_all(
    worker: workflow.Worker,
    workers: port.WorkerPort,
    token: int,
    *,
    is_departing: bool = False,
) -> list[workflow.RunEnd]:
    """Stop all runs on an incarnation that is to run nothing.

    From the first reply on, it also rejects all starts with a lower token.

    Parameters
    ----------
    token : int
        Fencing token above that of each earlier start.
    is_departing : bool
        Whether the runs were meant for the incarnation, which leaves.

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
    report = await workers.poll(worker, token, 0, None, 0.0)
    checks = 0
    while report.running:
        if checks == MAX_STOP_CHECKS:
            raise _unconfirmed(worker, "the runs have not stopped yet")
        if not checks:
            await asyncio.gather(
                *(
                    _stop(run, worker, workers, token, is_departing)
                    for run in report.running
                )
            )
        else:
            await asyncio.sleep(RETRY_S)
        checks += 1
        report = await workers.poll(worker, token, 0, None, 0.0)
    return list(report.ends)


def ends_of(
    placements: Iterable[workflow.Placement], ends: Iterable[workflow.RunEnd]
) -> tuple[workflow.RunEnd, ...]:
    """Return the ends of some runs."""
    keys = {(placement.task, placement.run) for placement in placements}
    return tuple(end for end in ends if (end.task, end.run) in keys)


async def _stop(
    run: port.RunStatus,
    worker: workflow.Worker,
    workers: port.WorkerPort,
    token: int,
    is_departing: bool,
) -> None:
    reply = await workers.stop(worker, run.task, run.run, token)
    if not reply.is_stopped:
        raise _unconfirmed(worker, "it refused to stop a run")
    name, born = runs.name(run.task), worker.incarnation
    if is_departing:
        log.state_change(
            "task.stop_departing",
            task=name,
            run=run.run,
            worker=worker.worker_id,
            born=born,
        )
    else:
        log.state_change(
            "task.stop_misdirected",
            task=name,
            run=run.run,
            worker=worker.worker_id,
            born=born,
        )


def _unconfirmed(worker: workflow.Worker, reason: str) -> port.WorkerUnreachableError:
    return port.WorkerUnreachableError(worker.worker_id, reason, errors.Outcome.UNKNOWN)
