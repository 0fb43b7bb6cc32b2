"""Orders to one life of a worker, and what its answers show."""

import asyncio
from typing import Protocol

from ..core import clock, errors
from ..telemetry import log
from ..workflows import command, machine, workflow
from . import filling, lease, port, runs

HOLD_WAIT_S = 1.5  # a quarter of a lease, so that three renewals may be lost
SHARED_WAIT_S = 0.5  # the time over which a worker takes the tails that it shows
ORDER_ATTEMPTS = 2  # a start that is sent again is answered as the first would be
# Workers that carry orders out late leave single calls unanswered. One that is cut off
# is noticed 0.75 s later than by the first call.
SILENT_CALLS = 2
RETRY_S = 0.25  # between orders that got no answer; a stop has to arrive in seconds


class Leader(Protocol):
    """What a session needs of the instance that leads."""

    @property
    def is_leading(self) -> bool:
        """Tell whether it still leads; asked before each order."""

    async def propose(self, wanted: command.AnyCommand) -> bytes:
        """Commit a command."""

    def record_end(self, worker_id: str, end: workflow.RunEnd) -> None:
        """Take a new end into account."""

    def record_refusal(
        self, placement: workflow.Placement, refusal: port.Refusal
    ) -> None:
        """Take a refused start into account."""

    def record_stall(self, placement: workflow.Placement) -> None:
        """Take a run into account that is stopped because it made no progress."""

    def ticket(self, placement: workflow.Placement) -> str | None:
        """Return the permit for a start, ``None`` if it must not be made."""


class Session:
    """One life of a worker, for as long as this instance leads.

    Parameters
    ----------
    token : int
        Fencing token of this leadership.
    leader : Leader
        Commits changes, and hears of ends and refusals.
    """

    def __init__(
        self,
        worker: workflow.Worker,
        state: machine.WorkflowMachine,
        workers: port.WorkerPort,
        token: int,
        time: clock.Clock,
        leader: Leader,
        settings: lease.Settings,
    ) -> None:
        self.worker = worker
        self._state = state
        self._port = workers
        self._token = token
        self._clock = time
        self._leader = leader
        now = time.monotonic()
        self._lease = lease.Lease(settings, now)
        self._runs: dict[tuple[workflow.TaskKey, int], runs.Run] = {}
        self._tasks: set[asyncio.Task] = set()
        self._stops: set[tuple[workflow.TaskKey, int]] = set()
        self._holder: asyncio.Task | None = None
        self._wanted = asyncio.Event()
        self._filling = filling.Filling(
            worker, state, workers, token, time, lambda: leader.is_leading, self._spawn
        )
        self._looked = False
        self._told_seen = 0
        self._heard_s = float("-inf")
        self._unanswered = 0
        self.over = False

    @property
    def heard_s(self) -> float:
        """Return when the worker last gave an answer or a sign of life."""
        return self._heard_s

    @property
    def silent(self) -> bool:
        """Tell whether the last calls got no answer."""
        return self._unanswered >= SILENT_CALLS

    @property
    def stopping(self) -> frozenset[workflow.Placement]:
        """Return the runs that have been told to stop."""
        return frozenset(
            run.placement for run in self._runs.values() if run.stop_reason
        )

    @property
    def serving(self) -> frozenset[workflow.Placement]:
        """Return the runs that have shown all their progress."""
        return frozenset(
            run.placement
            for run in self._runs.values()
            if self.is_at_work(run.placement)
        )

    def is_at_work(self, placement: workflow.Placement) -> bool:
        """Tell whether a run has shown all its progress and goes on."""
        run = self._runs.get((placement.task, placement.run))
        return (
            run is not None
            and run.progress_percent >= runs.AT_WORK
            and not run.stop_reason
        )

    @property
    def accepts_fill(self) -> bool:
        """Tell whether more filling tasks may come beside serving ones."""
        return self._filling.takes_more

    def ages_s(self) -> dict[workflow.TaskKey, float]:
        """Return how long the confirmed runs have been at work."""
        now = self._clock.monotonic()
        return {
            key: now - run.started_s
            for (key, _), run in self._runs.items()
            if run.phase is runs.Phase.CONFIRMED
        }

    def record_heartbeat(self, clock_ms: int | None) -> None:
        """Note a sign of life."""
        now = self._clock.monotonic()
        self._heard_s = now
        if clock_ms is not None:
            self._lease.read(clock_ms, now)

    def open(self) -> None:
        """Begin to look at the worker."""
        self._holder = asyncio.get_running_loop().create_task(self._hold())

    async def close(self) -> None:
        """Give no more orders."""
        tasks = [*self._tasks]
        if self._holder is not None:
            tasks.append(self._holder)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, placement: workflow.Placement) -> None:
        """Have the worker start a run that has just been committed."""
        now = self._clock.monotonic()
        key = (placement.task, placement.run)
        self._runs[key] = runs.Run(placement, runs.Phase.SENT, now)
        self._spawn(self._start(self._runs[key]))

    def stop(self, placement: workflow.Placement, reason: str) -> None:
        """Have the worker stop a run, until it has ended."""
        run = self._run(placement)
        if not run.stop_reason:
            run.stop_reason = reason
            log.state_change(
                "task.stop",
                task=runs.name(placement.task),
                run=placement.run,
                worker=self.worker.worker_id,
                reason=reason,
            )
        if run.phase is not runs.Phase.SENT:
            self._start_stop(run)

    def is_stopping(self, placement: workflow.Placement) -> bool:
        """Tell whether a run has been told to stop."""
        run = self._runs.get((placement.task, placement.run))
        return run is not None and bool(run.stop_reason)

    def _run(self, placement: workflow.Placement) -> runs.Run:
        key = (placement.task, placement.run)
        run = self._runs.get(key)
        if run is None:
            run = runs.Run(placement, runs.Phase.UNKNOWN, self._clock.monotonic())
            self._runs[key] = run
        return run

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        log.watch(task, "session")

    def _start_stop(self, run: runs.Run) -> None:
        key = (run.placement.task, run.placement.run)
        if key not in self._stops:
            self._stops.add(key)
            self._spawn(self._stop(run))

    def _set(self, run: runs.Run, phase: runs.Phase) -> None:
        run.phase = phase
        run.since_s = self._clock.monotonic()

    # Orders.

    async def _start(self, run: runs.Run) -> None:
        """Order a start; a run without an answer is stopped before it is replaced."""
        for _ in range(ORDER_ATTEMPTS):
            if not self._leader.is_leading or run.stop_reason:
                break
            try:
                reply = await self._order_start(run)
            except port.WorkerReplacedError:
                await self.end_incarnation("replaced at its address")
                return
            except port.WorkerUnreachableError as failure:
                self._unanswered += 1
                log.state_change(
                    "task.start_unanswered",
                    task=runs.name(run.placement.task),
                    run=run.placement.run,
                    worker=self.worker.worker_id,
                    reason=failure.message,
                )
                self._set(run, runs.Phase.UNCERTAIN)
                continue
            if reply is None:
                break
            if reply.refusal is None:
                run.started_s = run.progress_s = self._clock.monotonic()
                self._set(run, runs.Phase.CONFIRMED)
                self._filling.started(run.placement)
                if run.stop_reason:
                    self._start_stop(run)
                return
            log.state_change(
                "task.start_refused",
                task=runs.name(run.placement.task),
                run=run.placement.run,
                worker=self.worker.worker_id,
                reason=reply.refusal.value,
            )
            self._leader.record_refusal(run.placement, reply.refusal)
            if run.phase is runs.Phase.SENT:
                await self._release([run], f"refused: {reply.refusal.value}")
                return
            break
        if run.phase is runs.Phase.SENT:  # nothing was sent
            await self._release([run], "not sent")
            return
        run.stop_reason = run.stop_reason or "the start got no answer"
        self._start_stop(run)

    async def _order_start(self, run: runs.Run) -> port.Reply | None:
        placement = run.placement
        task = self._state.task(placement.task)
        entry = self._state.entries.get(placement.task.workflow_id)
        deadline_ms = self._lease.grant_ms(self._clock.monotonic())
        ticket = self._leader.ticket(placement)
        if task is None or entry is None or deadline_ms is None or ticket is None:
            return None
        reply = await self._port.start(
            self.worker,
            port.StartRequest(
                placement.task,
                placement.run,
                entry.workflow.payload,
                deadline_ms,
                self._token,
                task.checkpoint,
                ticket,
            ),
        )
        self._answered(reply.clock_ms)
        return reply

    async def _stop(self, run: runs.Run) -> None:
        placement = run.placement
        key = (placement.task, placement.run)
        try:
            while self._leader.is_leading and key in self._runs:
                try:
                    reply = await self._port.stop(
                        self.worker, placement.task, placement.run, self._token
                    )
                except port.WorkerReplacedError:
                    await self.end_incarnation("replaced at its address")
                    return
                except port.WorkerUnreachableError:
                    self._unanswered += 1
                    await asyncio.sleep(RETRY_S)
                    continue
                self._answered(reply.clock_ms)
                if reply.refusal is port.Refusal.FENCED:
                    return
                self._set(run, runs.Phase.FENCED)
                self._wanted.set()
                return
        finally:
            self._stops.discard(key)

    def _answered(self, clock_ms: int | None) -> None:
        self._unanswered = 0
        self.record_heartbeat(clock_ms)

    # Leases and ends.

    async def _hold(self) -> None:
        while self._leader.is_leading and not self.over:
            if self._is_idle():
                self._wanted.clear()
                await self._wanted.wait()
                continue
            try:
                await self._look()
            except port.WorkerReplacedError:
                await self.end_incarnation("replaced at its address")
            except port.WorkerUnreachableError as failure:
                if not self._unanswered:
                    log.state_change(
                        "worker.silent",
                        worker=self.worker.worker_id,
                        reason=failure.message,
                        lapses_in_s=self._lease.lapsed_s - self._clock.monotonic(),
                    )
                self._unanswered += 1
                await self._check_lapse()
                await asyncio.sleep(RETRY_S)
            except errors.MarjoramusherError as failure:
                log.state_change(
                    "worker.report_not_committed",
                    worker=self.worker.worker_id,
                    reason=failure.message,
                )
                await asyncio.sleep(RETRY_S)
            except Exception as failure:
                # A worker that nobody looks at any more would keep its tasks for ever.
                log.unexpected("session", failure)
                await asyncio.sleep(RETRY_S)

    def wake(self) -> None:
        """Look at the worker now if it was idle."""
        self._wanted.set()

    def _is_idle(self) -> bool:
        """Tell whether nothing runs there and the worker knows which ends are noted."""
        known = self._state.workers.get(self.worker.worker_id)
        return (
            self._looked
            and not self._state.placements_on(self.worker.worker_id)
            and (known is None or known.last_end_number <= self._told_seen)
        )

    async def _look(self) -> None:
        asked_s = self._clock.monotonic()
        known = self._state.workers.get(self.worker.worker_id)
        if known is None or known.worker.incarnation != self.worker.incarnation:
            self.over = True
            return
        calm = (
            self._looked
            and not self._unanswered
            and not any(run.phase is runs.Phase.FENCED for run in self._runs.values())
        )
        # A silent worker gets no longer lease: all that it runs must end some time.
        deadline_ms = None if self._unanswered else self._lease.grant_ms(asked_s)
        report = await self._port.poll(
            self.worker,
            self._token,
            known.last_end_number,
            deadline_ms,
            self._wait_s() if calm else 0.0,
        )
        if self._unanswered:
            log.state_change("worker.heard", worker=self.worker.worker_id)
        self._answered(report.clock_ms)
        self._told_seen = known.last_end_number
        if (
            report.incarnation is not None
            and report.incarnation != self.worker.incarnation
        ):
            await self.end_incarnation("born again")
            return
        self._looked = True
        await self._take(report, asked_s, known.last_end_number)

    def _wait_s(self) -> float:
        """Look more often where filling tasks may disturb serving ones."""
        return SHARED_WAIT_S if self._filling.shares() else HOLD_WAIT_S

    async def _take(self, report: port.WorkerReport, asked_s: float, seen: int) -> None:
        """Commit the ends, and the release of runs that are certainly not there."""
        now = self._clock.monotonic()
        running = {(each.task, each.run): each for each in report.running}
        ends = tuple(end for end in report.ends if end.number > seen)
        ended = {(end.task, end.run) for end in report.ends}
        placed = self._state.placements_on(self.worker.worker_id)
        absent: list[runs.Run] = []
        for placement in list(placed.values()):
            key = (placement.task, placement.run)
            run = self._run(placement)
            if key in running:
                self._note_running(run, running[key], now)
            elif (
                key not in ended
                and run.since_s <= asked_s
                and run.phase
                in (
                    runs.Phase.UNKNOWN,
                    runs.Phase.CONFIRMED,
                    runs.Phase.FENCED,
                )
            ):
                absent.append(run)
        for key in [k for k, r in self._runs.items() if k[0] not in placed]:
            if self._runs[key].phase is not runs.Phase.SENT:
                del self._runs[key]
        for run_key, each in running.items():
            task = self._state.task(each.task)
            placement = task.placement if task else None
            expected = placement is not None and (
                placement.run == each.run
                and placement.worker_id == self.worker.worker_id
            )
            if not expected and run_key not in self._runs:
                # Left over from a time that the log knows nothing of any more.
                stray = workflow.Placement(
                    each.task, each.run, self.worker.worker_id, self.worker.incarnation
                )
                self.stop(stray, "no placement")
        self._filling.look(report, self._runs, now)
        if ends or absent:
            settled = await self._settle(ends, absent, "not on the worker")
            if not settled:
                await asyncio.sleep(RETRY_S)

    def _note_running(self, run: runs.Run, shown: port.RunStatus, now: float) -> None:
        if run.phase in (runs.Phase.UNKNOWN, runs.Phase.UNCERTAIN):
            self._set(run, runs.Phase.CONFIRMED)
            run.started_s = run.started_s or now
        if shown.progress_percent != run.progress_percent:
            run.progress_percent = shown.progress_percent
            run.progress_s = now
        run.checkpoint = shown.checkpoint
        entry = self._state.entries.get(run.placement.task.workflow_id)
        if entry is None or run.stop_reason:
            return
        step = entry.workflow.steps[run.placement.task.step]
        if step.fill and self._filling.is_slowed:
            run.progress_s = now  # it is slow because it was told to be
        waits = not step.long_running or run.progress_percent < runs.AT_WORK
        if waits and now - run.progress_s > runs.stall_limit_s(run, step):
            self.stop(run.placement, "no progress")
            self._leader.record_stall(run.placement)

    async def _check_lapse(self) -> None:
        now = self._clock.monotonic()
        if now <= self._lease.lapsed_s:
            return
        placed = self._state.placements_on(self.worker.worker_id)
        if placed:
            await self._release(
                [self._run(placement) for placement in placed.values()],
                "the lease has lapsed",
            )

    async def end_incarnation(self, reason: str) -> None:
        """Give up a life of the worker that is certainly over.

        Its tasks go on from the last checkpoints that it has shown.
        """
        if self.over:
            return
        self.over = True
        log.state_change(
            "worker.life_over", worker=self.worker.worker_id, reason=reason
        )
        placed = self._state.placements_on(self.worker.worker_id)
        await self._release([self._run(p) for p in placed.values()], reason)
        await self._commit(
            command.RemoveWorker(
                clock.unix_ms(self._clock),
                self.worker.worker_id,
                self.worker.incarnation,
            )
        )

    async def _release(self, released: list[runs.Run], reason: str) -> None:
        await self._settle((), released, reason)

    async def _settle(
        self, ends: tuple[workflow.RunEnd, ...], released: list[runs.Run], reason: str
    ) -> bool:
        settle = command.Settle(
            clock.unix_ms(self._clock),
            self.worker.worker_id,
            self.worker.incarnation,
            ends,
            tuple(
                workflow.Release(
                    run.placement.task, run.placement.run, reason, run.checkpoint
                )
                for run in released
            ),
            max((end.number for end in ends), default=0),
        )
        settled = await self._commit(settle)
        if settled:
            self._log_settled(ends, released, reason)
            for run in released:
                self._runs.pop((run.placement.task, run.placement.run), None)
        return settled

    def _log_settled(
        self, ends: tuple[workflow.RunEnd, ...], released: list[runs.Run], reason: str
    ) -> None:
        for end in ends:
            self._leader.record_end(self.worker.worker_id, end)
            log.state_change(
                "task.end",
                task=runs.name(end.task),
                run=end.run,
                worker=self.worker.worker_id,
                how=end.outcome.value,
                number=end.number,
            )
        for run in released:
            log.state_change(
                "task.released",
                task=runs.name(run.placement.task),
                run=run.placement.run,
                worker=self.worker.worker_id,
                reason=reason,
            )

    async def _commit(self, wanted: command.AnyCommand) -> bool:
        try:
            await self._leader.propose(wanted)
        except errors.MarjoramusherError as failure:
            log.state_change(
                "worker.change_not_committed",
                worker=self.worker.worker_id,
                change=type(wanted).__name__,
                reason=failure.message,
            )
            return False
        return True
