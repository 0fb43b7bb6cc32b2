"""Run a placer against a simulated load on a virtual clock and check its decisions."""

import functools
import heapq
import itertools
import random
import time
from collections.abc import Callable

import msgspec
import numpy as np

from bench import placement_load as load
from marjoramusher.core import job, resource
from marjoramusher.placement import decision, ledger, placer

TICK_INTERVAL_S = 0.25
LEASE_DURATION_S = 4.0 * 1.01
STOP_GRACE_S = 1.0
LEASE_RENEWAL_S = 1.0
# Covers the commit of the allocation, and prepare and start on all workers.
START_DELAY_S = 0.1
PREPARE_TIMEOUT_S = 1.0
SILENT_AFTER_S = 2.0
USAGE_REPORT_DELAY_S = 3.0
CHECK_INTERVAL_S = 1.0
CHECKPOINT_INTERVAL_S = 10.0
# A job smaller than a guaranteed gang is charged to the guarantee only after this
# long in the queue.
SMALL_JOB_CHARGE_DELAY_S = 4.9
# A quarantine within this time after a fault ended is still based on real failures.
EVIDENCE_WINDOW_S = 30.0
Amounts = ledger.Amounts


class Run(msgspec.Struct):
    """Hold the state of a gang that is allocated to workers."""

    workers: tuple[str, ...]
    guarantee: str | None
    epoch: int
    started_at: float | None = None
    stopping: bool = False


class SessionResult(msgspec.Struct):
    """Collect what one session measured.

    Parameters
    ----------
    completion_s : dict of str to float
        Time from submission to completion by job id.
    urgent_start_s, reclaim_s, reclaim_silent_s : list of float
        Time from submission to start of urgent jobs, of jobs that reclaim a
        guaranteed gang, and of the latter when submitted just after a worker went
        silent.
    quarantine_s : list of float
        Time from the first failure on a faulty worker to its quarantine.
    stops : dict of str to int
        Number of stops by reason.
    guarantee_violations, false_shortfalls, partial_gangs, lost_jobs : int
        Guarantees that no longer fit, shortfalls reported although all guarantees
        fit, gangs placed incompletely, and jobs placed twice or never final.
    wrong_rejections, wrong_quarantines : int
        Rejected jobs that could run, and quarantined workers without a fault.
    placing_plan_s, idle_plan_s : float
        Time of planning calls that placed gangs, and of those that did not.
    stranded_accelerators, free_accelerators : float
        Sums over samples of the free accelerators that the first queued large gang
        (or an unused guaranteed gang) can't use, and of all free accelerators, while
        the total would suffice for the gang. The ``any_wait`` fields count every
        sample.
    problems : list of str
        Descriptions of the violations.
    """

    completion_s: dict[str, float] = {}
    urgent_start_s: list[float] = []
    reclaim_s: list[float] = []
    reclaim_silent_s: list[float] = []
    quarantine_s: list[float] = []
    guarantee_violations: int = 0
    false_shortfalls: int = 0
    partial_gangs: int = 0
    lost_jobs: int = 0
    wrong_rejections: int = 0
    wrong_quarantines: int = 0
    placements: int = 0
    stops: dict[str, int] = {}
    placing_plan_s: float = 0.0
    plan_placements: int = 0
    idle_plan_s: float = 0.0
    idle_plans: int = 0
    event_s: float = 0.0
    stranded_accelerators: float = 0.0
    free_accelerators: float = 0.0
    stranded_accelerators_any_wait: float = 0.0
    free_accelerators_any_wait: float = 0.0
    problems: list[str] = []


class Driver:
    """Simulate the leader, the workers and the callers around one placer."""

    def __init__(self, policy: placer.Placer, workload: load.Load, seed: int) -> None:
        self._placer = policy
        self._load = workload
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()
        self._simulated_jobs = {s.job.job_id: s for s in workload.simulated_jobs}
        self._jobs: dict[str, job.Job] = {}
        self._runs: dict[str, Run] = {}
        self._workers = {w.id: w for w in workload.workers}
        self._live_workers: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._faulty_workers: dict[str, load.Fault] = {}
        self._first_failure_at: dict[str, float] = {}
        self._last_faulty_at: dict[str, float] = {}
        self._quarantined: set[str] = set()
        self._ever_silent: set[str] = set()
        self._reclaim_submitted_at: dict[str, float] = {}
        self._urgent_submitted_at: dict[str, float] = {}
        self._reported: set[tuple[str, int]] = set()
        self._now = 0.0
        self._next_check = 0.0
        self._were_guarantees_feasible = True
        self.result = SessionResult()

    def run(self, until_s: float) -> SessionResult:
        """Run the load until every job is in a final state or `until_s` is reached."""
        self._timed_call(self._placer.configure, self._load.configuration)
        for worker in self._load.workers:
            self._live_workers.add(worker.id)
            self._timed_call(self._placer.worker_up, worker)
        for simulated in self._load.simulated_jobs:
            at = simulated.job.submitted_at - load.WALL_OFFSET_S
            self._schedule(at, self._submit, simulated)
            if simulated.cancel_at is not None:
                self._schedule(simulated.cancel_at, self._cancel, simulated.job.job_id)
        for fault in self._load.faults:
            self._schedule(fault.at, self._begin_fault, fault)
            self._schedule(fault.until, self._end_fault, fault)
        self._schedule(0.0, self._tick)
        while self._events and self._now < until_s:
            self._now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
            if not self._events or self._events[0][0] > self._now:
                self._plan()
        for job_id, current in self._jobs.items():
            if current.state not in job.FINAL_STATES:
                self.result.lost_jobs += 1
                self.result.problems.append(f"{job_id} is {current.state.value}")
        return self.result

    # Leader.

    def _schedule(self, at: float, callback: Callable, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), callback, arguments))

    def _timed_call(self, method: Callable, *arguments) -> None:
        before = time.perf_counter()
        method(*arguments, self._now)
        self.result.event_s += time.perf_counter() - before

    def _update_job(self, job_id: str, **fields) -> None:
        current = msgspec.structs.replace(self._jobs[job_id], **fields)
        self._jobs[job_id] = current
        self._timed_call(self._placer.job_changed, current)

    def _submit(self, simulated: load.SimulatedJob) -> None:
        submitted = simulated.job
        self._jobs[submitted.job_id] = submitted
        if submitted.spec.job_class is resource.JobClass.URGENT:
            self._urgent_submitted_at[submitted.job_id] = self._now
        guarantee = self._find_guarantee(submitted.spec)
        if guarantee is not None:
            competing_count = sum(
                1
                for other in self._jobs.values()
                if other.state is job.JobState.QUEUED
                and other is not submitted
                and self._can_use_guarantee(guarantee, other)
            )
            if competing_count < self._unused_gangs(guarantee):
                self._reclaim_submitted_at[submitted.job_id] = self._now
        self._timed_call(self._placer.job_changed, submitted)

    def _cancel(self, job_id: str) -> None:
        current = self._jobs[job_id]
        if current.state is job.JobState.QUEUED:
            self._discard_pending_start(job_id)
            self._update_job(job_id, state=job.JobState.CANCELLED)
        elif current.state not in job.FINAL_STATES:
            self._stop(job_id, job.JobState.CANCELLED)

    def _plan(self) -> None:
        before = time.perf_counter()
        decisions = self._placer.plan(self._now)
        spent_s = time.perf_counter() - before
        placements = sum(isinstance(item, decision.Place) for item in decisions)
        if placements:
            self.result.placing_plan_s += spent_s
            self.result.plan_placements += placements
        else:
            self.result.idle_plan_s += spent_s
            self.result.idle_plans += 1
        for item in decisions:
            self._apply(item)
        if any(self._is_pinned(item) for item in decisions):
            self._check_guarantees(after_placement=True)

    def _is_pinned(self, item: decision.Decision) -> bool:
        return isinstance(item, decision.Place) and (
            item.guarantee is not None or not self._jobs[item.job_id].spec.repeatable
        )

    def _apply(self, item: decision.Decision) -> None:
        if isinstance(item, decision.Place):
            self._place(item)
        elif isinstance(item, decision.Stop):
            key = f"{item.reason.value}"
            self.result.stops[key] = self.result.stops.get(key, 0) + 1
            self._stop(item.job_id, job.JobState.QUEUED)
        elif isinstance(item, decision.Reject):
            self._discard_pending_start(item.job_id)
            simulated = self._simulated_jobs[item.job_id]
            if simulated.fails_after_s is None:
                self.result.wrong_rejections += 1
                self.result.problems.append(
                    f"refused {item.job_id}: {item.error.message}"
                )
            self._runs.pop(item.job_id, None)
            self._update_job(item.job_id, state=job.JobState.FAILED, error=item.error)
        elif isinstance(item, decision.Throttle):
            simulated = self._simulated_jobs[item.job_id]
            if simulated.obeys_throttle:
                declared = simulated.job.spec.shape.each
                self._timed_call(
                    self._placer.task_usage_reported,
                    item.job_id,
                    item.task_id,
                    declared,
                )
        elif isinstance(item, decision.QuarantineWorker):
            self._quarantined.add(item.worker)
            first_failure_at = self._first_failure_at.pop(item.worker, None)
            if first_failure_at is not None:
                self.result.quarantine_s.append(self._now - first_failure_at)
            elif (
                self._last_faulty_at.get(item.worker, -EVIDENCE_WINDOW_S)
                < self._now - EVIDENCE_WINDOW_S
            ):
                self.result.wrong_quarantines += 1
                self.result.problems.append(f"quarantined {item.worker}: {item.reason}")
        elif isinstance(item, decision.ReleaseWorker):
            self._quarantined.discard(item.worker)

    def _place(self, placement: decision.Place) -> None:
        current = self._jobs[placement.job_id]
        self.result.placements += 1
        if current.state is not job.JobState.QUEUED or placement.job_id in self._runs:
            self.result.lost_jobs += 1
            self.result.problems.append(
                f"{placement.job_id} placed in {current.state.value}"
            )
            return
        if not self._is_complete(current, placement):
            self.result.partial_gangs += 1
            self.result.problems.append(
                f"{placement.job_id} partial on {placement.workers}"
            )
        epoch = current.epoch + 1
        self._runs[placement.job_id] = Run(
            placement.workers, placement.guarantee, epoch
        )
        tasks = tuple(
            job.TaskPlacement(f"{placement.job_id}-{n}", worker)
            for n, worker in enumerate(placement.workers)
        )
        allocation = job.Allocation(epoch, tasks, placement.guarantee)
        self._update_job(
            placement.job_id,
            state=job.JobState.ALLOCATED,
            epoch=epoch,
            allocation=allocation,
            attempts=current.attempts + 1,
        )
        if self._silent_since.keys() & set(placement.workers) or not set(
            placement.workers
        ).issubset(self._live_workers):
            self._schedule(
                self._now + PREPARE_TIMEOUT_S,
                self._time_out_prepare,
                placement.job_id,
                epoch,
            )
        else:
            self._schedule(
                self._now + START_DELAY_S, self._start, placement.job_id, epoch
            )

    def _is_complete(self, current: job.Job, placement: decision.Place) -> bool:
        shape = current.spec.shape
        racks = {self._workers[w].rack for w in placement.workers}
        if len(placement.workers) != shape.tasks:
            return False
        if shape.adjacency is resource.Adjacency.RACK and len(racks) > 1:
            return False
        allocated = self._allocated()
        for worker in placement.workers:
            allocated[worker] = allocated[worker].plus(shape.each)
        return all(
            allocated[w].fits_within(self._workers[w].capacity)
            for w in placement.workers
        )

    def _allocated(self, committed_only: bool = False) -> dict[str, resource.Resources]:
        allocated = dict.fromkeys(self._workers, resource.Resources())
        for job_id, run in self._runs.items():
            spec = self._jobs[job_id].spec
            if committed_only and (
                run.stopping or (run.guarantee is None and spec.repeatable)
            ):
                continue
            for worker in run.workers:
                allocated[worker] = allocated[worker].plus(spec.shape.each)
        return allocated

    def _time_out_prepare(self, job_id: str, epoch: int) -> None:
        run = self._runs.get(job_id)
        if run is None or run.epoch != epoch or run.stopping:
            return
        for worker in run.workers:
            if worker in self._silent_since:
                self._timed_call(self._placer.worker_silent, worker)
        del self._runs[job_id]
        self._update_job(job_id, state=job.JobState.QUEUED, allocation=None)

    def _start(self, job_id: str, epoch: int) -> None:
        run = self._runs.get(job_id)
        if run is None or run.epoch != epoch or run.stopping:
            return
        simulated = self._simulated_jobs[job_id]
        run.started_at = self._now
        if job_id in self._urgent_submitted_at:
            submitted_at = self._urgent_submitted_at.pop(job_id)
            self.result.urgent_start_s.append(self._now - submitted_at)
        if job_id in self._reclaim_submitted_at:
            submitted_at = self._reclaim_submitted_at.pop(job_id)
            self.result.reclaim_s.append(self._now - submitted_at)
            silence_starts = (f.at for f in self._load.faults if f.kind != "bad")
            if any(0 <= submitted_at - at <= SILENT_AFTER_S for at in silence_starts):
                self.result.reclaim_silent_s.append(self._now - submitted_at)
        self._update_job(
            job_id,
            state=job.JobState.RUNNING,
            started_at=load.WALL_OFFSET_S + self._now,
        )
        bad = [worker for worker in run.workers if worker in self._faulty_workers]
        if bad:
            at = self._now + self._rng.uniform(0.3, 2.0)
            self._schedule(at, self._fail_task, job_id, epoch, bad[0])
        elif simulated.fails_after_s is not None:
            at = self._now + simulated.fails_after_s
            self._schedule(
                at, self._fail_task, job_id, epoch, self._rng.choice(run.workers)
            )
        remaining_s = simulated.run_s - self._jobs[job_id].progress_s
        self._schedule(self._now + max(remaining_s, 0.1), self._complete, job_id, epoch)
        if simulated.checkpoints:
            self._schedule(
                self._now + CHECKPOINT_INTERVAL_S, self._save_checkpoint, job_id, epoch
            )
        if simulated.overuse is not None:
            self._schedule(
                self._now + USAGE_REPORT_DELAY_S, self._report_overuse, job_id, epoch
            )

    def _save_checkpoint(self, job_id: str, epoch: int) -> None:
        run = self._runs.get(job_id)
        if run is not None and run.epoch == epoch and not run.stopping:
            progress_s = self._jobs[job_id].progress_s + self._now - run.started_at
            self._timed_call(self._placer.task_checkpointed, job_id, progress_s)
            self._schedule(
                self._now + CHECKPOINT_INTERVAL_S, self._save_checkpoint, job_id, epoch
            )

    def _report_overuse(self, job_id: str, epoch: int) -> None:
        run = self._runs.get(job_id)
        if run is not None and run.epoch == epoch and not run.stopping:
            usage = self._simulated_jobs[job_id].overuse
            self._timed_call(
                self._placer.task_usage_reported, job_id, f"{job_id}-0", usage
            )

    def _fail_task(self, job_id: str, epoch: int, worker: str) -> None:
        run = self._runs.get(job_id)
        if run is None or run.epoch != epoch or run.stopping:
            return
        if worker in self._silent_since:
            return
        if worker in self._faulty_workers and worker not in self._quarantined:
            self._first_failure_at.setdefault(worker, self._now)
        del self._runs[job_id]
        self._timed_call(self._placer.task_failed, job_id, worker)
        current = self._jobs[job_id]
        self._update_job(
            job_id,
            state=job.JobState.QUEUED,
            allocation=None,
            failed_on=(*current.failed_on, worker),
        )

    def _complete(self, job_id: str, epoch: int) -> None:
        run = self._runs.get(job_id)
        if run is None or run.epoch != epoch or run.stopping:
            return
        if self._silent_since.keys() & set(run.workers):
            return
        del self._runs[job_id]
        wall = load.WALL_OFFSET_S + self._now
        self._update_job(
            job_id, state=job.JobState.DONE, ended_at=wall, allocation=None
        )
        self.result.completion_s[job_id] = wall - self._jobs[job_id].submitted_at

    def _stop(self, job_id: str, target_state: job.JobState) -> None:
        run = self._runs.get(job_id)
        if run is None:
            return
        if run.stopping:
            if target_state is job.JobState.CANCELLED:
                self._schedule(self._now + STOP_GRACE_S, self._cancel, job_id)
            return
        run.stopping = True
        self._update_job(job_id, state=job.JobState.STOPPING)
        ends_at = self._now + self._rng.uniform(0.2, STOP_GRACE_S)
        silent = [self._silent_since[w] for w in run.workers if w in self._silent_since]
        if silent:
            # A silent worker is fenced when the lease of its last renewal expires.
            last_renewal_at = min(silent) - self._rng.uniform(0, LEASE_RENEWAL_S)
            ends_at = max(ends_at, last_renewal_at + LEASE_DURATION_S)
        self._schedule(
            ends_at, self._finish_stop, job_id, run.epoch, target_state, bool(silent)
        )

    def _finish_stop(
        self, job_id: str, epoch: int, target_state: job.JobState, is_silent: bool
    ) -> None:
        run = self._runs.pop(job_id)
        assert run.epoch == epoch
        simulated = self._simulated_jobs[job_id]
        current = self._jobs[job_id]
        progress_s = current.progress_s
        if run.started_at is not None and simulated.checkpoints:
            ran_s = self._now - run.started_at
            # A silent worker takes no new checkpoint, so the last interval is lost.
            progress_s += (
                ran_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
                if is_silent
                else ran_s
            )
        if target_state is job.JobState.QUEUED and not current.spec.repeatable:
            target_state = job.JobState.FAILED
        if target_state in job.FINAL_STATES:
            self._discard_pending_start(job_id)
        self._update_job(
            job_id, state=target_state, allocation=None, progress_s=min(progress_s, 1e9)
        )

    def _discard_pending_start(self, job_id: str) -> None:
        self._reclaim_submitted_at.pop(job_id, None)
        self._urgent_submitted_at.pop(job_id, None)

    # Faults.

    def _begin_fault(self, fault: load.Fault) -> None:
        if fault.kind == "bad":
            self._faulty_workers[fault.worker] = fault
            self._last_faulty_at[fault.worker] = fault.until
            return
        self._silent_since[fault.worker] = self._now
        self._schedule(self._now + SILENT_AFTER_S, self._report_silence, fault)
        self._schedule(self._now + LEASE_DURATION_S, self._expire_lease, fault)

    def _report_silence(self, fault: load.Fault) -> None:
        self._timed_call(self._placer.worker_silent, fault.worker)

    def _expire_lease(self, fault: load.Fault) -> None:
        self._live_workers.discard(fault.worker)
        self._timed_call(self._placer.worker_down, fault.worker)

    def _end_fault(self, fault: load.Fault) -> None:
        if fault.kind == "bad":
            del self._faulty_workers[fault.worker]
            self._last_faulty_at[fault.worker] = self._now
            self._first_failure_at.pop(fault.worker, None)
            return
        del self._silent_since[fault.worker]
        self._live_workers.add(fault.worker)
        worker = msgspec.structs.replace(
            self._workers[fault.worker],
            incarnation=self._workers[fault.worker].incarnation + 1,
        )
        self._timed_call(self._placer.worker_up, worker)

    # Checks.

    def _tick(self) -> None:
        if self._now >= self._next_check:
            self._next_check = self._now + CHECK_INTERVAL_S
            self._check_guarantees(after_placement=False)
            if self._now < self._load.span_s:
                self._sample_fragmentation()
        if any(k.state not in job.FINAL_STATES for k in self._jobs.values()) or any(
            action == self._submit for _, _, action, _ in self._events[:1]
        ):
            self._schedule(self._now + TICK_INTERVAL_S, self._tick)
        elif self._events:
            self._schedule(
                max(self._now + TICK_INTERVAL_S, self._events[0][0]), self._tick
            )

    def _find_guarantee(self, spec: job.JobSpec) -> str | None:
        for name, (account, _, shape) in load.GUARANTEES.items():
            if account == spec.account and shape == spec.shape:
                return name
        return None

    def _can_use_guarantee(self, name: str, current: job.Job) -> bool:
        """Return whether a queued job can be charged to a guarantee."""
        account, _, shape = load.GUARANTEES[name]
        waited_s = load.WALL_OFFSET_S + self._now - current.submitted_at
        return (
            current.spec.account == account
            and current.spec.shape.accelerators <= shape.accelerators
            and (current.spec.shape == shape or waited_s > SMALL_JOB_CHARGE_DELAY_S)
        )

    def _unused_gangs(self, name: str) -> int:
        gangs = load.GUARANTEES[name][1]
        return gangs - sum(
            1
            for run in self._runs.values()
            if run.guarantee == name and not run.stopping
        )

    def _schedulable_workers(self) -> list[str]:
        return [w for w in self._live_workers if w not in self._quarantined]

    def _check_guarantees(self, after_placement: bool) -> None:
        short_guarantees = {s.guarantee for s in self._placer.shortfalls(self._now)}
        unused = [
            (name, load.GUARANTEES[name][2])
            for name in load.GUARANTEES
            for _ in range(self._unused_gangs(name))
        ]
        allocated = self._allocated(committed_only=True)
        free = {
            w: min(
                (self._workers[w].capacity.accelerators - allocated[w].accelerators),
                (self._workers[w].capacity.cores - allocated[w].cores) // 4,
                (self._workers[w].capacity.memory_mb - allocated[w].memory_mb) // 8_000,
            )
            for w in self._schedulable_workers()
        }
        feasible = can_fit_all(free, self._workers, [shape for _, shape in unused])
        if not feasible and not short_guarantees:
            self.result.guarantee_violations += 1
            self.result.problems.append(f"{self._now:.1f} a guarantee does not fit")
        elif not feasible and after_placement and self._were_guarantees_feasible:
            self.result.guarantee_violations += 1
            self.result.problems.append(
                f"{self._now:.1f} a placement broke a guarantee"
            )
        elif feasible and short_guarantees and not self._silent_since:
            self.result.false_shortfalls += 1
        self._were_guarantees_feasible = feasible

    def _sample_fragmentation(self) -> None:
        queued_shapes = [
            current.spec.shape
            for current in self._jobs.values()
            if current.state is job.JobState.QUEUED
            and current.spec.shape.accelerators >= 8
        ]
        shapes = queued_shapes[:1] or [
            load.GUARANTEES[name][2]
            for name in load.GUARANTEES
            if self._unused_gangs(name)
        ]
        if not shapes:
            return
        free = self._free_accelerators(self._allocated())
        # A guaranteed gang can preempt borrowers; a queued one gets free capacity.
        available = (
            free
            if queued_shapes
            else self._free_accelerators(self._allocated(committed_only=True))
        )
        total = sum(free.values())
        stranded = total - self._count_usable(shapes[0], available, free)
        self.result.free_accelerators_any_wait += total
        self.result.stranded_accelerators_any_wait += stranded
        # With less free than the gang needs, the gang waits for capacity, and
        # fragmentation is not the cause.
        if sum(available.values()) >= shapes[0].accelerators:
            self.result.free_accelerators += total
            self.result.stranded_accelerators += stranded

    def _free_accelerators(
        self, allocated: dict[str, resource.Resources]
    ) -> dict[str, int]:
        return {
            w: max(0, self._workers[w].capacity.minus(allocated[w]).accelerators)
            for w in self._schedulable_workers()
        }

    def _count_usable(
        self, shape: resource.GangShape, available: dict[str, int], free: dict[str, int]
    ) -> int:
        """Count the free accelerators in racks where the gang fits."""
        per_task = shape.each.accelerators
        slots: dict[str, int] = {}
        for worker, count in available.items():
            rack = self._workers[worker].rack
            slots[rack] = slots.get(rack, 0) + count // per_task
        return sum(
            min(free[worker], count // per_task * per_task)
            for worker, count in available.items()
            if slots[self._workers[worker].rack] >= shape.tasks
        )


def can_fit_all(
    free: dict[str, int], workers, shapes: list[resource.GangShape]
) -> bool:
    """Return whether all gangs fit at once, each in one rack; search exhaustively."""
    racks: dict[str, list[int]] = {}
    for worker, count in free.items():
        racks.setdefault(workers[worker].rack, []).append(max(0, count))
    gangs = sorted(((s.each.accelerators, s.tasks) for s in shapes), reverse=True)
    state = tuple(sorted(tuple(sorted(rack)) for rack in racks.values()))
    return _can_fit_all(tuple(gangs), state)


@functools.lru_cache(maxsize=200_000)
def _can_fit_all(gangs: tuple[tuple[int, int], ...], racks: tuple) -> bool:
    visited: set[tuple] = set()

    def search(index: int, state: tuple[tuple[int, ...], ...]) -> bool:
        if index == len(gangs):
            return True
        key = (index, tuple(sorted(state)))
        if key in visited:
            return False
        visited.add(key)
        per_task, tasks = gangs[index]
        for at, rack in enumerate(state):
            for filled_rack in _fill_rack(rack, tasks, per_task):
                remaining = state[:at] + (filled_rack,) + state[at + 1 :]
                if search(index + 1, remaining):
                    return True
        return False

    return search(0, racks)


def _fill_rack(rack: tuple[int, ...], tasks: int, per_task: int):
    """Yield the distinct states of a rack after tasks are placed in it."""
    states = set()

    def place(at: int, remaining: int, state: tuple[int, ...]):
        if remaining == 0:
            states.add(tuple(sorted(state)))
            return
        if at == len(state):
            return
        for count in range(min(remaining, state[at] // per_task), -1, -1):
            updated = state[:at] + (state[at] - count * per_task,) + state[at + 1 :]
            place(at + 1, remaining - count, updated)

    if sum(n // per_task for n in rack) >= tasks:
        place(0, tasks, rack)
    yield from sorted(states, reverse=True)


def percentile(values: list[float], share: float) -> float:
    """Return the given percentile, or 0 without values."""
    return float(np.percentile(values, share)) if values else 0.0
