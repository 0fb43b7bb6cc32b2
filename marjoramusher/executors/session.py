"""Communication of the leader with one incarnation of a worker."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..core import clock, errors
from ..telemetry import log
from ..workflows import command, delay_cost, machine, suspicion, workflow
from . import fencing, lease, port, runs, throttling

POLL_WAIT_S = 1.5  # a quarter of a lease, so that three renewals may be lost
# On workers that run both fill and serving tasks, the period over which they measure
# tail latencies.
SHARED_POLL_WAIT_S = 0.5
DEPARTING_POLL_WAIT_S = 0.5  # about a quarter of the lease on a worker that leaves
START_ATTEMPTS = 2  # starts are idempotent, so one without a reply is sent again
# A single call can fail because a worker is slow to carry out requests. An unreachable
# worker is detected 0.75 s later than with a limit of 1.
MAX_FAILED_CALLS = 2
RETRY_S = 0.25  # after a call without a reply; stops have to arrive within seconds
# A worker waits 1 s for the answer to its departure, of which a call without a reply
# takes up to half.
DEPARTURE_RETRIES_S = 0.2
DEPARTURE_RETRY_S = 0.05
# Polls in a row that a departing worker has to refuse before it counts as gone.
DEPARTED_REFUSALS = 2
# A run that is still reported this long after its confirmed stop is stopped again.
STOP_REPEAT_S = 1.5
# A stop takes effect within a second. A run that is still reported this long after the
# end of its workflow is logged.
OUTLIVED_S = 3.0
# Longest age of a run that is taken over from a former leader. Its clock can be wrong.
MAX_TAKEN_OVER_S = 3600.0


class Leader(Protocol):
    """The part of the driver that a session uses."""

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance still leads; checked before each request."""

    async def propose(self, proposed: command.AnyCommand) -> bytes:
        """Commit a command."""

    def record_end(self, worker_id: str, end: workflow.RunEnd) -> None:
        """Record the end of a run."""

    def record_refusal(
        self, placement: workflow.Placement, refusal: port.Refusal
    ) -> None:
        """Record that a worker rejected a start."""

    def issue_token(self) -> int:
        """Return a fencing token above all that were issued before."""

    def record_release(self, reason: str) -> None:
        """Record that a run was released without a reported end."""

    def record_stall(self, placement: workflow.Placement) -> None:
        """Record that a run is stopped because it made no progress."""

    def ticket(self, placement: workflow.Placement) -> str | None:
        """Return the ticket for a start, ``None`` if a required permit is missing."""

    def has_room(self, worker: workflow.Worker) -> bool:
        """Tell whether all runs placed on a worker fit what it announced recently."""


class Session:
    """Starts, stops and polls the runs on one incarnation of a worker.

    A session lasts as long as this instance leads. It commits what the worker reports.
    Its fencing token is above that of all former sessions, and rises whenever starts
    may be on their way that must not be carried out any more.

    Parameters
    ----------
    leader : Leader
        Commits commands, and records ends and refusals.
    """

    def __init__(
        self,
        worker: workflow.Worker,
        state: machine.WorkflowMachine,
        workers: port.WorkerPort,
        time: clock.Clock,
        leader: Leader,
        settings: lease.Settings,
    ) -> None:
        self.worker = worker
        self._state = state
        self._port = workers
        self._token = leader.issue_token()
        self._clock = time
        self._leader = leader
        now_s = time.monotonic()
        self._lease = lease.Lease(settings, now_s)
        self._runs: dict[tuple[workflow.TaskKey, int], runs.Run] = {}
        self._tasks: set[asyncio.Task] = set()
        self._pending_stops: set[tuple[workflow.TaskKey, int]] = set()
        self._poll_task: asyncio.Task | None = None
        self._wake_event = asyncio.Event()
        self._throttle = throttling.FillThrottle(
            lambda: self.worker,
            state,
            workers,
            lambda: self._token,
            time,
            lambda: leader.is_leading,
            self._spawn,
        )
        self._has_report = False
        # Whether the last call was answered by this incarnation. A later one at its
        # address would forget ends that were never read.
        self._is_incarnation_certain = False
        self._unreadable_entries = 0
        # Whether the last report did not tell what became of a run.
        self._has_missing_runs = False
        self._acknowledged_end = 0
        self._last_heard_s = float("-inf")
        self._failed_calls = 0
        self._refused_polls = 0  # in a row
        # Until when a start without a reply may be carried out.
        self._late_until_s = float("-inf")
        # Whether its departure was acknowledged though its runs may go on.
        self._has_departed = False
        # Whether the worker was heard since the last call, which got no reply.
        self._is_recheck_due = False
        self._end_lock = asyncio.Lock()
        self.has_ended = False

    @property
    def is_over(self) -> bool:
        """Tell whether the incarnation has ended, or its end is being committed."""
        return self.has_ended or self._end_lock.locked()

    @property
    def last_heard_s(self) -> float:
        """Return when the worker last replied or sent a heartbeat."""
        return self._last_heard_s

    @property
    def _lease_left_s(self) -> float:
        """Return how long runs may still go on if the worker gets no further call."""
        return round(max(self._lease.expires_s - self._clock.monotonic(), 0.0), 3)

    @property
    def is_unresponsive(self) -> bool:
        """Tell whether several calls in a row got no reply."""
        return self._failed_calls >= MAX_FAILED_CALLS

    @property
    def has_unanswered_call(self) -> bool:
        """Tell whether the last call got no reply."""
        return self._failed_calls > 0

    @property
    def awaits_lease(self) -> bool:
        """Tell whether only the lease will show that a departing worker has ended.

        It closes its port before it ends, and another worker can take its address.
        """
        return (
            self.worker.draining
            and self._lease_left_s > 0.0
            and bool(self._state.placements_on(self.worker.worker_id))
        )

    @property
    def _has_left(self) -> bool:
        """Tell whether the worker has left, or has closed its port in order to leave.

        Its runs may still go on.
        """
        return self._has_departed or (
            self.worker.draining and self._refused_polls >= DEPARTED_REFUSALS
        )

    @property
    def _may_run_tasks(self) -> bool:
        """Tell whether a run may be in progress there, or be started late."""
        return self._clock.monotonic() < self._late_until_s or bool(
            self._state.placements_on(self.worker.worker_id)
        )

    @property
    def stopping(self) -> frozenset[workflow.Placement]:
        """Return the runs that are being stopped."""
        return frozenset(
            run.placement for run in self._runs.values() if run.stop_reason
        )

    @property
    def serving(self) -> frozenset[workflow.Placement]:
        """Return the runs of long-running tasks that are serving."""
        return frozenset(
            run.placement
            for run in self._runs.values()
            if self.is_serving(run.placement)
        )

    def is_serving(self, placement: workflow.Placement) -> bool:
        """Tell whether a run has started up completely and is not being stopped.

        What a worker has reported does not count while it answers no calls, since it
        may have ended.
        """
        run = self._runs.get((placement.task, placement.run))
        return (
            run is not None
            and run.progress_percent >= runs.SERVING_PERCENT
            and not run.stop_reason
            and not self.has_unanswered_call
        )

    def has_started(self, placement: workflow.Placement) -> bool:
        """Tell whether the worker is known to have started a run."""
        run = self._runs.get((placement.task, placement.run))
        return run is not None and run.has_started

    @property
    def accepts_fill(self) -> bool:
        """Tell whether more fill tasks may be placed next to serving tasks."""
        return self._throttle.accepts_more

    def ages_s(self) -> dict[workflow.TaskKey, float]:
        """Return the time since each confirmed run started."""
        now_s = self._clock.monotonic()
        return {
            key: now_s - run.started_s
            for (key, _), run in self._runs.items()
            if run.phase is runs.Phase.CONFIRMED
        }

    def remaining_s(self) -> dict[workflow.TaskKey, float]:
        """Return the expected time until each confirmed run ends.

        Before the first progress it follows from completed runs. Nothing is known of a
        worker that does not answer, or of runs that are being stopped.
        """
        if self.has_unanswered_call:
            return {}
        now_s = self._clock.monotonic()
        expected = (
            (key, runs.remaining_s(run, now_s, self._prediction(key)))
            for (key, _), run in self._runs.items()
            if run.phase is runs.Phase.CONFIRMED and not run.stop_reason
        )
        return {key: time_s for key, time_s in expected if time_s is not None}

    def _prediction(self, key: workflow.TaskKey) -> Callable[[float], float] | None:
        """Return what predicts the time left of a run by its age, in seconds.

        ``None`` for long-running tasks, and if it is unknown how long runs take.
        """
        entry = self._state.entries.get(key.workflow_id)
        step = self._state.step(key)
        if entry is None or step is None or step.long_running or not step.estimate_ms:
            return None
        queue, account = entry.queue.name, entry.workflow.account
        predict_ms = self._state.run_times.remaining_ms
        return lambda age_s: predict_ms(queue, account, step, age_s * 1000) / 1000

    def record_heartbeat(self, clock_ms: int | None) -> None:
        """Record a heartbeat, and the worker's clock if it is included."""
        now_s = self._clock.monotonic()
        self._last_heard_s = now_s
        if clock_ms is not None:
            self._lease.record_clock(clock_ms, now_s)
        if self.has_unanswered_call:
            self._is_recheck_due = True
            self.wake()

    def age_s(self, clock_ms: int | None) -> float:
        """Return the minimum age of a reading of the worker's clock, 0 if unknown."""
        estimate_ms = self._lease.estimate_ms(self._clock.monotonic())
        if clock_ms is None or estimate_ms is None:
            return 0.0
        return max(estimate_ms - clock_ms, 0.0) / 1000

    def open(self) -> None:
        """Start to poll the worker."""
        self._poll_task = asyncio.get_running_loop().create_task(self._poll_loop())

    async def close(self) -> None:
        """Cancel all requests, and send no more."""
        tasks = [*self._tasks]
        if self._poll_task is not None:
            tasks.append(self._poll_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, placement: workflow.Placement) -> None:
        """Ask the worker to start a run whose placement was committed."""
        now_s = self._clock.monotonic()
        key = (placement.task, placement.run)
        self._runs[key] = runs.Run(
            placement,
            runs.Phase.SENT,
            now_s,
            may_have_started=False,
            is_unreported=True,
        )
        self._spawn(self._start(self._runs[key]))

    def stop(
        self, placement: workflow.Placement, reason: str, beneficiary: str = ""
    ) -> None:
        """Ask the worker to stop a run, repeatedly until the worker replies.

        Parameters
        ----------
        beneficiary : str
            Workflow that gets the room; empty if the run is not stopped for another.
        """
        run = self._get_run(placement)
        if not run.stop_reason:
            run.stop_reason = reason
            log.state_change(
                "task.stop",
                task=runs.name(placement.task),
                run=placement.run,
                worker=self.worker.worker_id,
                reason=reason,
                lost_core_s=round(self.lost_core_s(placement), 1),
                beneficiary=beneficiary,
            )
        if run.phase is not runs.Phase.SENT:
            self._spawn_stop(run)

    def lost_core_s(self, placement: workflow.Placement) -> float:
        """Return the work that a stop of a run loses now, 0 if it is not known."""
        run = self._runs.get((placement.task, placement.run))
        step = self._state.step(placement.task)
        if run is None or step is None or run.phase is not runs.Phase.CONFIRMED:
            return 0.0
        return delay_cost.lost_core_s(step, self._clock.monotonic() - run.started_s)

    def is_stopping(self, placement: workflow.Placement) -> bool:
        """Tell whether a run is being stopped."""
        run = self._runs.get((placement.task, placement.run))
        return run is not None and bool(run.stop_reason)

    def _get_run(self, placement: workflow.Placement) -> runs.Run:
        """Return a run; one that this session has not started gets phase UNKNOWN."""
        key = (placement.task, placement.run)
        run = self._runs.get(key)
        if run is None:
            now_s = self._clock.monotonic()
            run = runs.Run(
                placement,
                runs.Phase.UNKNOWN,
                now_s,
                unanswered_s=now_s,
                is_resumed=True,
            )
            self._runs[key] = run
        return run

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        log.watch_task(task, "session")

    def _spawn_stop(self, run: runs.Run) -> None:
        key = (run.placement.task, run.placement.run)
        if key not in self._pending_stops:
            self._pending_stops.add(key)
            self._spawn(self._stop(run))

    def _set_phase(self, run: runs.Run, phase: runs.Phase) -> None:
        run.phase = phase
        run.phase_since_s = self._clock.monotonic()

    # Starts and stops.

    async def _start(self, run: runs.Run) -> None:
        """Start a run; one without a reply is stopped, since it may start later."""
        for _ in range(START_ATTEMPTS):
            if not self._leader.is_leading or run.stop_reason:
                break
            try:
                reply = await self._send_start(run)
            except port.WorkerReplacedError:
                await self._end_replaced()
                return
            except port.WorkerUnreachableError as failure:
                self._record_no_reply()
                if failure.outcome is not errors.Outcome.NOT_RUN:
                    run.may_have_started = True
                    self._late_until_s = self._clock.monotonic() + runs.MAX_DELAY_S
                    self._raise_token()
                log.state_change(
                    "task.start_unanswered",
                    task=runs.name(run.placement.task),
                    run=run.placement.run,
                    worker=self.worker.worker_id,
                    reason=failure.message,
                )
                self._set_phase(run, runs.Phase.UNCERTAIN)
                continue
            except Exception as failure:
                # If the start ended here, the run would neither start nor be released.
                log.unexpected_error("session", failure)
                run.may_have_started = True
                self._raise_token()
                self._set_phase(run, runs.Phase.UNCERTAIN)
                continue
            if reply is None:
                break
            if reply.refusal is None:
                run.may_have_started = True
                run.started_s = run.progressed_s = self._clock.monotonic()
                self._set_phase(run, runs.Phase.CONFIRMED)
                self._throttle.on_started(run.placement)
                if run.stop_reason:
                    self._spawn_stop(run)
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
                await self._release_unstarted(run, f"refused: {reply.refusal.value}")
                return
            break
        if run.phase is runs.Phase.SENT:  # nothing was sent
            await self._release_unstarted(run, "not sent")
            return
        run.stop_reason = run.stop_reason or "the start got no answer"
        self._spawn_stop(run)

    async def _release_unstarted(self, run: runs.Run, reason: str) -> None:
        """Release a run that is certainly not on the worker.

        If that is not committed, the next report releases it.
        """
        if not await self._release([run], reason):
            self._set_phase(run, runs.Phase.UNKNOWN)
            self.wake()

    async def _send_start(self, run: runs.Run) -> port.Reply | None:
        """Send a start, ``None`` if something that it relied on is no longer so.

        Time passes between a plan and its starts, and before a start is repeated.
        """
        placement = run.placement
        task = self._state.task(placement.task)
        entry = self._state.entries.get(placement.task.workflow_id)
        deadline_ms = self._grant_ms(self._clock.monotonic())
        ticket = self._leader.ticket(placement)
        if task is None or entry is None or deadline_ms is None or ticket is None:
            return None
        if self.is_over or task.placement != placement or not entry.is_active:
            return None
        reason = ""
        if self._state.is_evacuated(self.worker):
            reason = "the failure domain is being evacuated"
        elif not self._leader.has_room(self.worker):
            reason = "the worker has shrunk or has not announced itself recently"
        if reason:
            log.state_change(
                "task.start_withheld",
                task=runs.name(placement.task),
                run=placement.run,
                worker=self.worker.worker_id,
                reason=reason,
            )
            return None
        run.is_resumed = bool(task.checkpoint)
        unanswered_s = run.unanswered_s
        run.unanswered_s = self._clock.monotonic()
        try:
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
        except port.WorkerUnreachableError as failure:
            if failure.outcome is errors.Outcome.NOT_RUN:
                run.unanswered_s = unanswered_s
            raise
        run.unanswered_s = unanswered_s
        self._record_reply(reply.clock_ms)
        return reply

    async def _stop(self, run: runs.Run) -> None:
        placement = run.placement
        key = (placement.task, placement.run)
        try:
            while key in self._runs:
                if not self._leader.is_leading:
                    await asyncio.sleep(RETRY_S)
                    continue
                token = self._token
                try:
                    reply = await self._port.stop(
                        self.worker, placement.task, placement.run, token
                    )
                except port.WorkerReplacedError:
                    await self._end_replaced()
                    return
                except port.WorkerUnreachableError:
                    self._record_no_reply()
                    await asyncio.sleep(RETRY_S)
                    continue
                except Exception as failure:
                    # If the stop ended here, the run could start or go on for ever.
                    log.unexpected_error("session", failure)
                    await asyncio.sleep(RETRY_S)
                    continue
                self._record_reply(reply.clock_ms)
                if reply.refusal is port.Refusal.FENCED and token == self._token:
                    return  # by a later session
                if not reply.is_stopped:
                    self._log_refused_stop(run, reply.refusal)
                    await asyncio.sleep(RETRY_S)
                    continue
                self._set_phase(run, runs.Phase.STOP_CONFIRMED)
                self._wake_event.set()
                return
        finally:
            self._pending_stops.discard(key)

    def _log_refused_stop(self, run: runs.Run, refusal: port.Refusal) -> None:
        log.state_change(
            "task.stop_refused",
            task=runs.name(run.placement.task),
            run=run.placement.run,
            worker=self.worker.worker_id,
            reason=refusal.value,
        )

    def _raise_token(self) -> None:
        """Let the next call to reach the worker keep out all starts sent so far."""
        self._token = self._leader.issue_token()

    def _record_no_reply(self) -> None:
        self._failed_calls += 1
        self._is_incarnation_certain = False

    def _record_reply(self, clock_ms: int | None) -> None:
        self._failed_calls = 0
        self._refused_polls = 0
        self.record_heartbeat(clock_ms)

    # Leases and reports.

    async def _poll_loop(self) -> None:
        while not self.has_ended:
            if not self._leader.is_leading:
                # A quorum that is late for a moment leaves the leadership as it is, and
                # with it this session. Otherwise the session is closed.
                await asyncio.sleep(RETRY_S)
                continue
            if self._is_idle():
                self._is_incarnation_certain = False
                self._wake_event.clear()
                await self._wake_event.wait()
                continue
            try:
                await self._poll_or_release()
            except errors.MarjoramusherError as failure:
                self._log_not_committed(failure)
                await asyncio.sleep(RETRY_S)
            except Exception as failure:
                # If polling ended here, the worker would keep its tasks for ever.
                log.unexpected_error("session", failure)
                await asyncio.sleep(RETRY_S)

    async def _poll_or_release(self) -> None:
        """Poll the worker; without a reply, release what its lease covers no more."""
        try:
            await self._poll()
        except port.WorkerReplacedError:
            if not await self._end_replaced():
                await asyncio.sleep(RETRY_S)
        except port.WorkerUnreachableError as failure:
            if not self._failed_calls:
                log.state_change(
                    "worker.silent",
                    worker=self.worker.worker_id,
                    reason=failure.message,
                    refused=failure.is_refused,
                    lapses_in_s=self._lease.expires_s - self._clock.monotonic(),
                )
            self._record_no_reply()
            self._refused_polls = self._refused_polls + 1 if failure.is_refused else 0
            await self._release_expired(is_refused=failure.is_refused)
            if self._has_left:
                await self._remove_departed()
            await asyncio.sleep(RETRY_S)

    def _log_not_committed(self, failure: errors.MarjoramusherError) -> None:
        log.state_change(
            "worker.report_not_committed",
            worker=self.worker.worker_id,
            outcome=failure.outcome.value,
            reason=failure.message,
        )

    def wake(self) -> None:
        """Poll the worker now if it is idle."""
        self._wake_event.set()

    def _is_idle(self) -> bool:
        """Tell whether nothing is placed there and all ends are acknowledged.

        An idle worker that left a call unanswered is polled again at each heartbeat,
        since it is not used until it replies. Before, it is polled as long as the next
        incarnation could carry out a late start, which a call to it keeps out.
        """
        is_late_start_possible = self._clock.monotonic() < self._late_until_s
        if self._has_left or (self._failed_calls and is_late_start_possible):
            return False
        registered = self._state.workers.get(self.worker.worker_id)
        return (
            self._has_report
            and not self._is_recheck_due
            and not self._state.placements_on(self.worker.worker_id)
            and (
                registered is None
                or registered.last_end_number <= self._acknowledged_end
            )
        )

    async def _poll(self) -> None:
        self._is_recheck_due = False
        sent_s = self._clock.monotonic()
        registered = self._state.workers.get(self.worker.worker_id)
        if (
            registered is None
            or registered.worker.incarnation != self.worker.incarnation
        ):
            self.has_ended = True
            return
        can_wait = (
            self._has_report
            and not self._failed_calls
            and not self._has_missing_runs
            and not any(
                run.phase is runs.Phase.STOP_CONFIRMED for run in self._runs.values()
            )
        )
        # The lease of an unreachable worker is not renewed, so that its runs end.
        deadline_ms = None if self._failed_calls else self._grant_ms(sent_s)
        last_end_number = registered.last_end_number
        acknowledged_end = last_end_number if self._is_incarnation_certain else 0
        report = await self._port.poll(
            self.worker,
            self._token,
            acknowledged_end,
            deadline_ms,
            self._wait_s() if can_wait else 0.0,
        )
        if self._failed_calls:
            log.state_change("worker.heard", worker=self.worker.worker_id)
        self._record_reply(report.clock_ms)
        self._acknowledged_end = max(self._acknowledged_end, acknowledged_end)
        if (
            report.incarnation is not None
            and report.incarnation != self.worker.incarnation
        ):
            successor = msgspec.structs.replace(
                self.worker, incarnation=report.incarnation
            )
            await self.end_incarnation(
                "born again", has_crashed=True, successor=successor
            )
            return
        self._has_report = True
        self._is_incarnation_certain = True
        if report.unreadable != self._unreadable_entries:
            self._unreadable_entries = report.unreadable
            log.state_change(
                "worker.unreadable_entries",
                worker=self.worker.worker_id,
                entries=report.unreadable,
            )
        await self._process_report(report, sent_s, last_end_number)

    def _wait_s(self) -> float:
        """Return the long-poll timeout."""
        if self.worker.draining:
            return DEPARTING_POLL_WAIT_S
        return SHARED_POLL_WAIT_S if self._throttle.is_shared() else POLL_WAIT_S

    def _grant_ms(self, now_s: float) -> int | None:
        """Grant a lease, and return its end on the worker's clock."""
        return self._lease.grant_ms(now_s, is_departing=self.worker.draining)

    async def _process_report(
        self, report: port.WorkerReport, sent_s: float, last_end_number: int
    ) -> None:
        """Commit new ends, and release runs that are certainly not on the worker.

        Parameters
        ----------
        sent_s : float
            When the poll was sent; the report may be as old as that.
        last_end_number : int
            Number of the last end that was already recorded.
        """
        now_s = self._clock.monotonic()
        running = {(status.task, status.run): status for status in report.running}
        ends = tuple(end for end in report.ends if end.number > last_end_number)
        ended = {(end.task, end.run) for end in report.ends}
        placements = self._state.placements_on(self.worker.worker_id)
        missing: list[runs.Run] = []
        for placement in list(placements.values()):
            key = (placement.task, placement.run)
            run = self._get_run(placement)
            if key in running:
                self._update_run(run, running[key], sent_s, now_s)
            elif (
                key not in ended
                and run.phase_since_s <= sent_s
                and run.phase
                in (
                    runs.Phase.UNKNOWN,
                    runs.Phase.CONFIRMED,
                    runs.Phase.STOP_CONFIRMED,
                )
            ):
                missing.append(run)
        # A worker lists many ends in parts, so an end that is missing may follow. Only
        # a report without any ends is complete.
        self._has_missing_runs = bool(missing and report.ends)
        if self._has_missing_runs:
            missing = []
        placed = {(placement.task, placement.run) for placement in placements.values()}
        for key in self._runs.keys() - placed:
            if self._runs[key].phase is not runs.Phase.SENT:
                del self._runs[key]
        for run_key, status in running.items():
            task = self._state.task(status.task)
            placement = task.placement if task else None
            is_expected = placement is not None and (
                placement.run == status.run
                and placement.worker_id == self.worker.worker_id
            )
            if not is_expected and run_key not in self._runs:
                # The placement of this run was cleared, so the run must not continue.
                orphan = workflow.Placement(
                    status.task,
                    status.run,
                    self.worker.worker_id,
                    self.worker.incarnation,
                )
                self.stop(orphan, "no placement")
        self._throttle.update(report, self._runs, now_s)
        registered = self._state.workers.get(self.worker.worker_id)
        has_lapsed = registered is not None and bool(registered.lapsed)
        if ends or missing or has_lapsed:
            is_settled = await self._settle(
                ends, missing, "not on the worker", is_heard=True
            )
            if not is_settled:
                await asyncio.sleep(RETRY_S)

    def _update_run(
        self, run: runs.Run, status: port.RunStatus, sent_s: float, now_s: float
    ) -> None:
        """Update a run from a report, and stop it if it has stalled."""
        run.may_have_started = True
        run.is_unreported = False
        if run.phase is runs.Phase.UNKNOWN and not run.started_s:
            run.started_s = self._placed_s(run.placement, now_s)
        if run.phase in (runs.Phase.UNKNOWN, runs.Phase.UNCERTAIN):
            self._set_phase(run, runs.Phase.CONFIRMED)
            run.started_s = run.started_s or now_s
        if status.progress_percent != run.progress_percent:
            run.progress_percent = status.progress_percent
            run.progressed_s = now_s
        if run.is_resumed and run.resumed_s is None and run.progress_percent > 0:
            run.resumed_percent, run.resumed_s = run.progress_percent, now_s
        run.checkpoint = status.checkpoint
        if (
            run.phase is runs.Phase.STOP_CONFIRMED
            and sent_s - run.phase_since_s > STOP_REPEAT_S
        ):
            log.state_change(
                "task.stop_repeated",
                task=runs.name(run.placement.task),
                run=run.placement.run,
                worker=self.worker.worker_id,
                reason="the worker still reports the run",
            )
            self._spawn_stop(run)
        entry = self._state.entries.get(run.placement.task.workflow_id)
        if entry is not None and not entry.is_active:
            self._log_outlived(run, entry)
        if entry is None or run.stop_reason:
            return
        step = entry.workflow.steps[run.placement.task.step]
        if step.fill and self._throttle.is_slowed:
            run.progressed_s = now_s  # a throttled task does not count as stalled
        expects_progress = (
            not step.long_running or run.progress_percent < runs.SERVING_PERCENT
        )
        expected_ms = self._state.run_times.expected_ms(
            entry.queue.name, entry.workflow.account, step
        )
        if expects_progress and now_s - run.progressed_s > runs.stall_limit_s(
            run, step, expected_ms
        ):
            self.stop(run.placement, "no progress")
            self._leader.record_stall(run.placement)

    def _placed_s(self, placement: workflow.Placement, now_s: float) -> float:
        """Return when a run was placed, for runs that a former leader has started.

        Its progress would otherwise seem to have been made in no time.
        """
        task = self._state.task(placement.task)
        if task is None or task.placement != placement or not task.placed_ms:
            return now_s
        age_s = (clock.unix_ms(self._clock) - task.placed_ms) / 1000
        return now_s - min(max(age_s, 0.0), MAX_TAKEN_OVER_S)

    def _log_outlived(self, run: runs.Run, entry: machine.Entry) -> None:
        """Log once if a run goes on long after the end of its workflow."""
        outlived_s = (clock.unix_ms(self._clock) - entry.ended_ms) / 1000
        if run.has_outlived or outlived_s <= OUTLIVED_S:
            return
        run.has_outlived = True
        log.state_change(
            "task.outlived",
            task=runs.name(run.placement.task),
            run=run.placement.run,
            worker=self.worker.worker_id,
            state=entry.state.value,
            after_s=outlived_s,
            phase=run.phase.value,
            stop_reason=run.stop_reason,
        )

    async def _release_expired(self, *, is_refused: bool) -> None:
        """Release the runs if every lease of the worker has expired.

        Behind a cut, the worker may have started again. The next incarnation has no
        lease, but may carry out a late start as soon as the cut has healed, so such a
        run waits until the worker is heard or the start is too old.

        Parameters
        ----------
        is_refused : bool
            Whether nothing listens at the address of the worker.
        """
        now_s = self._clock.monotonic()
        if now_s <= self._lease.expires_s:
            return
        placements = self._state.placements_on(self.worker.worker_id)
        expired = [self._get_run(placement) for placement in placements.values()]
        if self._has_report and not is_refused:
            expired = [run for run in expired if not run.may_start_late(now_s)]
        if expired:
            # Starts on their way would be accepted once the lease is renewed.
            self._raise_token()
            await self._release(expired, "the lease has lapsed", has_lapsed=True)

    async def end_incarnation(
        self,
        reason: str,
        *,
        has_crashed: bool,
        successor: workflow.Worker | None = None,
    ) -> None:
        """Release all runs of an incarnation that has certainly ended, and remove it.

        The tasks resume from the last checkpoints that it reported.

        Parameters
        ----------
        has_crashed : bool
            Whether it has ended unexpectedly, unless it was draining.
        successor : Worker or None
            Later incarnation under the same id, which accepts starts that were meant
            for this one.

        Raises
        ------
        NoQuorumError
            If the removal was not committed in time; it has to be tried again.
        WorkerUnreachableError
            If the successor did not confirm in time that it runs none of them.
        """
        async with self._end_lock:
            if self.has_ended:
                return
            ends: list[workflow.RunEnd] = []
            if successor is not None and successor.address == self.worker.address:
                ends = await self._fence(successor)
            await self._remove(reason, has_crashed, ends)
            self.has_ended = True

    async def _fence(self, successor: workflow.Worker) -> list[workflow.RunEnd]:
        """Stop the runs of this incarnation on a later one, and keep out late starts.

        Without a reply, the runs can be released only if all of them were on this
        incarnation.

        Returns
        -------
        list of RunEnd
            Ends of runs on the successor.
        """
        self._raise_token()
        try:
            return await fencing.stop_all(successor, self._port, self._token)
        except port.WorkerReplacedError:
            return []  # the successor has ended, and other workers reject the starts
        except port.WorkerUnreachableError as failure:
            placements = self._state.placements_on(self.worker.worker_id)
            now_s = self._clock.monotonic()
            confined = [
                self._get_run(placement).is_confined(now_s)
                for placement in placements.values()
            ]
            log.state_change(
                "worker.fence_unanswered",
                worker=successor.worker_id,
                born=successor.incarnation,
                runs=len(confined),
                confined=sum(confined),
                reason=failure.message,
            )
            if not all(confined):
                raise
            return []

    async def _remove_departed(self) -> None:
        """Remove a worker that has left, once no run can be there any more.

        Until then it is polled, so that a later incarnation is found before it carries
        a late start out.

        Raises
        ------
        NoQuorumError
            If the removal was not committed in time.
        """
        async with self._end_lock:
            if not (self.has_ended or self._may_run_tasks):
                await self._remove("it has left", False, [])
                self.has_ended = True

    async def end_departing(self) -> bool:
        """End an incarnation that leaves, as soon as it runs nothing any more.

        It is up until its departure is acknowledged, and may have closed its port
        before. If it does not confirm that it runs nothing, its runs are released when
        its lease has lapsed. Nothing new starts there, so that it may end at once.

        Returns
        -------
        bool
            Whether it has been removed; otherwise that follows.

        Raises
        ------
        NoQuorumError
            If a change was not committed in time; it has to be tried again.
        """
        async with self._end_lock:
            if self.has_ended:
                return True
            self._raise_token()
            ends: list[workflow.RunEnd] = []
            try:
                ends = await self._stop_departing()
            except (port.WorkerReplacedError, port.WorkerUnreachableError) as failure:
                if self._may_run_tasks:
                    await self._await_departure(failure.message)
                    return False
            await self._remove("it has left", False, ends)
            self.has_ended = True
            return True

    async def _await_departure(self, reason: str) -> None:
        """Place nothing any more on a worker that leaves, and wait for its lease."""
        registered = self._state.workers.get(self.worker.worker_id)
        if registered is not None and not registered.worker.draining:
            draining = msgspec.structs.replace(registered.worker, draining=True)
            await self._leader.propose(
                command.RegisterWorker(
                    clock.unix_ms(self._clock), draining, registered.sequence
                )
            )
        self._has_departed = True
        log.state_change(
            "worker.departure_pending",
            worker=self.worker.worker_id,
            born=self.worker.incarnation,
            runs=len(self._state.placements_on(self.worker.worker_id)),
            lapses_in_s=self._lease_left_s,
            reason=reason,
        )
        self.wake()

    async def _stop_departing(self) -> list[workflow.RunEnd]:
        """Stop all runs on a worker that leaves, and return their ends.

        Its process may have closed the pooled connections, so that the first attempts
        fail at once.
        """
        until_s = self._clock.monotonic() + DEPARTURE_RETRIES_S
        while True:
            try:
                return await fencing.stop_all(
                    self.worker, self._port, self._token, is_departing=True
                )
            except port.WorkerUnreachableError as failure:
                log.state_change(
                    "worker.departure_unconfirmed",
                    worker=self.worker.worker_id,
                    outcome=failure.outcome.value,
                    refused=failure.is_refused,
                    reason=failure.message,
                )
                if failure.is_refused or self._clock.monotonic() >= until_s:
                    raise
                await asyncio.sleep(DEPARTURE_RETRY_S)

    async def _end_replaced(self) -> bool:
        """End an incarnation whose address a worker with another id has taken.

        That one rejects all calls that name this id, so it needs no fencing.

        Returns
        -------
        bool
            Whether that was committed; otherwise the next call finds out again.
        """
        if self.awaits_lease:
            self._record_no_reply()
            return False
        try:
            await self.end_incarnation("replaced at its address", has_crashed=True)
        except errors.MarjoramusherError as failure:
            self._log_not_committed(failure)
            return False
        return True

    async def _remove(
        self, reason: str, has_crashed: bool, successor_ends: list[workflow.RunEnd]
    ) -> None:
        """Commit the end of this incarnation and the release of its runs."""
        placements = self._state.placements_on(self.worker.worker_id)
        ends = fencing.ends_of(placements.values(), successor_ends)
        has_crashed = has_crashed and not self.worker.draining
        log_incarnation_end(
            self.worker, reason, has_crashed, len(placements), self._lease_left_s
        )
        ended = {(end.task, end.run) for end in ends}
        released = [
            self._get_run(placement)
            for placement in placements.values()
            if (placement.task, placement.run) not in ended
        ]
        suspects = [
            suspicion.Suspect(run.placement.task, run.placement.run, run.is_unreported)
            for run in released
            if run.may_have_started
        ]
        remove = command.RemoveWorker(
            clock.unix_ms(self._clock),
            self.worker.worker_id,
            self.worker.incarnation,
            tuple(_release(run, reason) for run in released),
            has_crashed,
            tuple(suspects),
            ends,
        )
        await self._leader.propose(remove)
        self._report_settled(ends, released, reason)

    async def _release(
        self, released: list[runs.Run], reason: str, *, has_lapsed: bool = False
    ) -> bool:
        return await self._settle((), released, reason, has_lapsed=has_lapsed)

    async def _settle(
        self,
        ends: tuple[workflow.RunEnd, ...],
        released: list[runs.Run],
        reason: str,
        *,
        has_lapsed: bool = False,
        is_heard: bool = False,
    ) -> bool:
        """Commit ends and releases; tell whether they were committed."""
        settle = command.Settle(
            clock.unix_ms(self._clock),
            self.worker.worker_id,
            self.worker.incarnation,
            ends,
            tuple(_release(run, reason, has_lapsed) for run in released),
            max((end.number for end in ends), default=0),
            is_heard,
        )
        is_committed = await self._commit(settle)
        if is_committed:
            self._report_settled(ends, released, reason)
            for run in released:
                self._runs.pop((run.placement.task, run.placement.run), None)
        return is_committed

    def _report_settled(
        self, ends: tuple[workflow.RunEnd, ...], released: list[runs.Run], reason: str
    ) -> None:
        """Log ends and releases, and tell the leader of the ends."""
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
            self._leader.record_release(reason)
            log.state_change(
                "task.released",
                task=runs.name(run.placement.task),
                run=run.placement.run,
                worker=self.worker.worker_id,
                reason=reason,
                lease_left_s=self._lease_left_s,
            )

    async def _commit(self, proposed: command.AnyCommand) -> bool:
        try:
            await self._leader.propose(proposed)
        except errors.MarjoramusherError as failure:
            log.state_change(
                "worker.change_not_committed",
                worker=self.worker.worker_id,
                change=type(proposed).__name__,
                outcome=failure.outcome.value,
                reason=failure.message,
            )
            return False
        return True


def _release(run: runs.Run, reason: str, has_lapsed: bool = False) -> workflow.Release:
    return workflow.Release(
        run.placement.task,
        run.placement.run,
        reason,
        run.checkpoint,
        has_lapsed,
        run.has_started,
    )


def log_incarnation_end(
    worker: workflow.Worker,
    reason: str,
    has_crashed: bool,
    run_count: int,
    lease_left_s: float | None = None,
) -> None:
    """Log that an incarnation of a worker has certainly ended.

    Parameters
    ----------
    lease_left_s : float or None
        How long its runs could have gone on otherwise, ``None`` if unknown.
    """
    log.state_change(
        "worker.life_over",
        worker=worker.worker_id,
        born=worker.incarnation,
        address=worker.address,
        reason=reason,
        crashed=has_crashed,
        runs=run_count,
        lease_left_s=lease_left_s,
    )
