"""Throttling of the fill tasks on one worker."""

from collections.abc import Callable, Coroutine
from typing import Any

from ..core import clock, errors
from ..telemetry import log
from ..workflows import machine, workflow
from . import pacing, port, runs


class FillThrottle:
    """Limit the speed of fill tasks so that they don't slow down serving tasks.

    Parameters
    ----------
    get_worker : callable
        Returns the worker as it is registered now; its address can change.
    get_token : callable
        Returns the fencing token of the session.
    is_leading : callable
        Tells whether this instance still leads; called before each request.
    spawn : callable
        Runs a coroutine until the session of the worker is closed.
    """

    __slots__ = (
        "_clock",
        "_get_token",
        "_get_worker",
        "_is_leading",
        "_pacer",
        "_port",
        "_spawn",
        "_state",
    )

    def __init__(
        self,
        get_worker: Callable[[], workflow.Worker],
        state: machine.WorkflowMachine,
        workers: port.WorkerPort,
        get_token: Callable[[], int],
        time: clock.Clock,
        is_leading: Callable[[], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._get_worker = get_worker
        self._state = state
        self._port = workers
        self._get_token = get_token
        self._clock = time
        self._is_leading = is_leading
        self._spawn = spawn
        self._pacer = pacing.Pacer()

    @property
    def accepts_more(self) -> bool:
        """Tell whether more fill tasks may be placed next to serving tasks."""
        return self._pacer.accepts_more

    @property
    def is_slowed(self) -> bool:
        """Tell whether fill tasks run below full speed."""
        return self._pacer.pace < pacing.FULL_PACE

    def is_shared(self) -> bool:
        """Tell whether the worker runs both fill and serving tasks."""
        steps = [
            self._state.step(task)
            for task in self._state.placements_on(self._get_worker().worker_id)
        ]
        known_steps = [step for step in steps if step is not None]
        return any(step.fill for step in known_steps) and any(
            step.target_ms for step in known_steps
        )

    def on_started(self, placement: workflow.Placement) -> None:
        """Send the current pace to a fill task that started next to serving tasks."""
        step = self._state.step(placement.task)
        if step is not None and step.fill and self.is_shared():
            self._spawn(self._send_pace(placement, self._pacer.pace))

    def update(
        self,
        report: port.WorkerReport,
        known_runs: dict[tuple[workflow.TaskKey, int], runs.Run],
        now_s: float,
    ) -> None:
        """Adjust the pace to the tail latencies in a worker's report."""
        latencies: list[pacing.TailLatency] = []
        fill_runs: list[workflow.Placement] = []
        for status in report.running:
            step = self._state.step(status.task)
            run = known_runs.get((status.task, status.run))
            if step is None or run is None or run.stop_reason:
                continue
            if step.target_ms:
                latencies.append(pacing.TailLatency(status.load, step.target_ms))
            elif step.fill:
                fill_runs.append(run.placement)
        previous_pace = self._pacer.pace
        outdated = self._pacer.update(latencies, fill_runs, now_s)
        if latencies and fill_runs and self._pacer.pace != previous_pace:
            log.state_change(
                "worker.paced",
                worker=self._get_worker().worker_id,
                before=previous_pace,
                pace=self._pacer.pace,
                filling=len(fill_runs),
                worst_tail=max(
                    latency.tail_ms / latency.target_ms for latency in latencies
                ),
            )
        for placement in outdated:
            self._spawn(self._send_pace(placement, self._pacer.pace))

    async def _send_pace(self, placement: workflow.Placement, pace: int) -> None:
        if not self._is_leading():
            return
        try:
            reply = await self._port.set_pace(
                self._get_worker(),
                placement.task,
                placement.run,
                pace,
                self._get_token(),
            )
        except errors.MarjoramusherError as failure:
            # The pace is sent again after the next report.
            log.state_change(
                "task.pace_unanswered",
                task=runs.name(placement.task),
                run=placement.run,
                worker=self._get_worker().worker_id,
                pace=pace,
                reason=failure.message,
            )
            return
        if reply.refusal is None:
            self._pacer.record_confirmed(placement, pace, self._clock.monotonic())
