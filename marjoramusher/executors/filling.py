"""Orders on pace to the filling tasks of one worker."""

from collections.abc import Callable, Coroutine
from typing import Any

from ..core import clock, errors
from ..telemetry import log
from ..workflows import machine, workflow
from . import pacing, port, runs


class Filling:
    """Keep filling tasks from disturbing the serving ones on their worker.

    Parameters
    ----------
    token : int
        Fencing token of the leadership.
    leads : callable
        Tells whether this instance still leads; asked before each order.
    spawn : callable
        Runs a coroutine for as long as the session of the worker lasts.
    """

    __slots__ = (
        "_clock",
        "_is_leading",
        "_pacer",
        "_port",
        "_spawn",
        "_state",
        "_token",
        "_worker",
    )

    def __init__(
        self,
        worker: workflow.Worker,
        state: machine.WorkflowMachine,
        workers: port.WorkerPort,
        token: int,
        time: clock.Clock,
        is_leading: Callable[[], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._worker = worker
        self._state = state
        self._port = workers
        self._token = token
        self._clock = time
        self._is_leading = is_leading
        self._spawn = spawn
        self._pacer = pacing.Pacer()

    @property
    def takes_more(self) -> bool:
        """Tell whether more filling tasks may come beside serving ones."""
        return self._pacer.takes_more

    @property
    def is_slowed(self) -> bool:
        """Tell whether filling tasks were told to work slower."""
        return self._pacer.pace < pacing.FULL

    def shares(self) -> bool:
        """Tell whether filling tasks may disturb serving ones at this moment."""
        steps = [
            self._state.step(task)
            for task in self._state.placements_on(self._worker.worker_id)
        ]
        present = [step for step in steps if step is not None]
        return any(step.fill for step in present) and any(
            step.target_ms for step in present
        )

    def started(self, placement: workflow.Placement) -> None:
        """Tell a task its pace that has just begun beside serving ones."""
        step = self._state.step(placement.task)
        if step is not None and step.fill and self.shares():
            self._spawn(self._tell(placement, self._pacer.pace))

    def look(
        self,
        report: port.WorkerReport,
        known: dict[tuple[workflow.TaskKey, int], runs.Run],
        now: float,
    ) -> None:
        """Set the pace from the tails that a worker shows."""
        served: list[pacing.Served] = []
        filling: list[workflow.Placement] = []
        for shown in report.running:
            step = self._state.step(shown.task)
            run = known.get((shown.task, shown.run))
            if step is None or run is None or run.stop_reason:
                continue
            if step.target_ms:
                served.append(pacing.Served(shown.load, step.target_ms))
            elif step.fill:
                filling.append(run.placement)
        before = self._pacer.pace
        to_tell = self._pacer.look(served, filling, now)
        if served and filling and self._pacer.pace != before:
            log.state_change(
                "worker.paced",
                worker=self._worker.worker_id,
                before=before,
                pace=self._pacer.pace,
                filling=len(filling),
                worst_tail=max(each.tail_ms / each.target_ms for each in served),
            )
        for placement in to_tell:
            self._spawn(self._tell(placement, self._pacer.pace))

    async def _tell(self, placement: workflow.Placement, pace: int) -> None:
        if not self._is_leading():
            return
        try:
            reply = await self._port.set_pace(
                self._worker, placement.task, placement.run, pace, self._token
            )
        except errors.MarjoramusherError as failure:
            # It is told again after the next look.
            log.state_change(
                "task.pace_unanswered",
                task=runs.name(placement.task),
                run=placement.run,
                worker=self._worker.worker_id,
                pace=pace,
                reason=failure.message,
            )
            return
        if reply.refusal is None:
            self._pacer.note_told(placement, pace, self._clock.monotonic())
