"""Replicated state machine of workflows, workers and the catalog."""

from collections.abc import Iterable, Iterator

import msgspec

from ..core import codec, crash
from . import (
    catalog,
    command,
    evacuation,
    occupancy,
    suspicion,
    wave,
    workflow,
)
from . import run_times as prediction


class TaskState(msgspec.Struct, array_like=True):
    """State of one task.

    Parameters
    ----------
    last_run : int
        Number of the latest run, 0 before the first one.
    failures : int
        Number of failed runs.
    last_failed_run : int
        Number of the latest run that was counted as failed.
    placement : Placement or None
        Run that may be in progress; it reserves its resources until it is cleared.
    crashes : list of Crash
        Crashes of workers during runs of the task.
    possible_crashes : list of Crash
        Lapsed leases of workers during runs of the task, until the worker is heard
        again or replaced.
    done_run : int
        Number of the latest run that is done. A later one may be in progress if this
        one ended on a worker that could not be reached.
    failed_on : list of str
        Workers on which a run has failed; of a gang, those of the members that failed.
    placed_ms : int
        Unix milliseconds at which the latest run was placed, on the clock of the leader
        that placed it; 0 if it is not known.
    has_resumed : bool
        Whether the latest run resumed from a checkpoint.
    """

    last_run: int = 0
    failures: int = 0
    last_failed_run: int = 0
    done: bool = False
    checkpoint: str = ""
    placement: workflow.Placement | None = None
    crashes: list[crash.Crash] = []
    possible_crashes: list[crash.Crash] = []
    done_run: int = 0
    failed_on: list[str] = []
    placed_ms: int = 0
    has_resumed: bool = False

    @property
    def suspicions(self) -> list[crash.Crash]:
        """Return the crashes and the possible ones."""
        if not self.possible_crashes:
            return self.crashes
        return self.crashes + self.possible_crashes


class Entry(msgspec.Struct, array_like=True):
    """A workflow and its progress.

    Parameters
    ----------
    occurrences : dict
        Tasks of each step, by number of the occurrence.
    finished_occurrences : set of int
        Occurrences whose tasks are all done.
    is_started : bool
        Whether a task was ever placed.
    ended_ms : int
        Unix milliseconds at which the workflow ended, 0 while it is active.
    has_begun : bool
        Whether a run that has ended or was released is known to have started.
    """

    workflow: workflow.Workflow
    queue: catalog.Queue
    state: workflow.State = workflow.State.ACTIVE
    occurrences: dict[int, list[list[TaskState]]] = {}
    finished_occurrences: set[int] = set()
    is_started: bool = False
    ended_ms: int = 0
    has_begun: bool = False

    def tasks(self) -> Iterator[tuple[int, int, list[TaskState]]]:
        """Yield occurrence, index and tasks of each step."""
        for occurrence, steps in self.occurrences.items():
            for step, tasks in enumerate(steps):
                yield occurrence, step, tasks

    @property
    def has_placement(self) -> bool:
        """Tell whether a run of a task may be in progress."""
        return any(
            task.placement is not None for _, _, tasks in self.tasks() for task in tasks
        )

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of the steps that a step depends on are done."""
        steps = self.occurrences[occurrence]
        return all(
            task.done
            for dependency in self.workflow.steps[step].after
            for task in steps[dependency]
        )

    @property
    def is_active(self) -> bool:
        """Tell whether the workflow has not ended."""
        return self.state is workflow.State.ACTIVE


class WorkerState(msgspec.Struct, array_like=True):
    """One incarnation of a worker.

    Parameters
    ----------
    last_end_number : int
        Highest number of its run ends that was recorded.
    lapsed : dict
        Numbers of the runs that were released when its lease expired, by task. Whether
        they lapsed or the worker crashed is known only when it is heard again.
    sequence : int
        Sequence number of the announcement that last changed the description.
    """

    worker: workflow.Worker
    last_end_number: int = 0
    lapsed: dict[workflow.TaskKey, int] = {}
    sequence: int = 0


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    catalog: catalog.Catalog
    document: bytes
    entries: dict[str, Entry]
    workers: dict[str, WorkerState]
    removed: dict[str, int]
    waves: dict[int, wave.WaveState] = {}
    cancelled: dict[tuple[str, str], int] = {}
    evacuations: tuple[evacuation.Evacuation, ...] = ()
    run_times: tuple[prediction.KeyRuns, ...] = ()


# Removed incarnations are remembered, since an announcement that arrives late would
# register them again. Each takes about 60 bytes, so the limit is a number of entries.
MAX_REMOVED_WORKERS = 4096
# Of each task, the workers of its latest failures are remembered. Queues allow a few
# attempts, and several members of a gang can fail in one of them.
MAX_FAILED_WORKERS = 8
MAX_WAVES = 64  # completed waves are kept, so that operators can query them
# Cancellations of unknown workflows are remembered, since a submission may arrive after
# its cancellation. Each takes about 100 bytes.
MAX_EARLY_CANCELLATIONS = 16384


class WorkflowMachine:
    """State of workflows, workers and the catalog, changed only by commands.

    All replicas apply the same commands in the same order, so `apply` must be
    deterministic.
    """

    __slots__ = (
        "_active",
        "_cancelled_early",
        "_document",
        "_entries",
        "_evacuations",
        "_index",
        "_occupancies",
        "_removed_workers",
        "_run_times",
        "_waves",
        "_workers",
    )

    def __init__(self) -> None:
        self._index = catalog.Index(catalog.Catalog())
        self._document = b""
        self._entries: dict[str, Entry] = {}
        self._workers: dict[str, WorkerState] = {}
        self._removed_workers: dict[str, int] = {}
        self._waves: dict[int, wave.WaveState] = {}
        self._evacuations = evacuation.Evacuations()
        self._run_times = prediction.RunTimes()
        # Time of each cancellation of an unknown workflow, by queue and id.
        self._cancelled_early: dict[tuple[str, str], int] = {}
        self._rebuild_indexes()

    @property
    def index(self) -> catalog.Index:
        """Return the lookup tables of the catalog in force."""
        return self._index

    @property
    def document(self) -> bytes:
        """Return the catalog document as it was sent, empty if there is none."""
        return self._document

    @property
    def entries(self) -> dict[str, Entry]:
        """Return all workflows by id, ended ones included until they are deleted."""
        return self._entries

    @property
    def active(self) -> dict[str, Entry]:
        """Return the workflows that have not ended, in the order of acceptance."""
        return self._active

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Return all registered workers by id."""
        return self._workers

    @property
    def waves(self) -> dict[int, wave.WaveState]:
        """Return the maintenance waves by number."""
        return self._waves

    @property
    def evacuations(self) -> evacuation.Evacuations:
        """Return the failure domains in which nothing may start."""
        return self._evacuations

    @property
    def run_times(self) -> prediction.RunTimes:
        """Return the run times of recent runs."""
        return self._run_times

    def is_evacuated(self, worker: workflow.Worker) -> bool:
        """Tell whether nothing may start on a worker."""
        return worker.failure_domain in self._evacuations

    def has_early_cancellation(self, before_ms: int) -> bool:
        """Tell whether a workflow was cancelled unknown before a time."""
        return any(at_ms < before_ms for at_ms in self._cancelled_early.values())

    def is_known(self, worker_id: str) -> bool:
        """Tell whether a worker with an id is or was registered."""
        return worker_id in self._workers or worker_id in self._removed_workers

    def has_incarnation_ended(self, worker_id: str, incarnation: int) -> bool:
        """Tell whether an incarnation of a worker is known to have ended."""
        registered = self._workers.get(worker_id)
        if registered is not None and registered.worker.incarnation > incarnation:
            return True
        return self._removed_workers.get(worker_id, 0) >= incarnation

    def placements_on(
        self, worker_id: str
    ) -> dict[workflow.TaskKey, workflow.Placement]:
        """Return the runs that may be in progress on a worker."""
        return self._occupancies.get(worker_id, occupancy.NONE).placements

    def occupancy_of(self, worker_id: str) -> occupancy.Occupancy:
        """Return the runs on a worker with the sums over them, not to be changed."""
        return self._occupancies.get(worker_id, occupancy.NONE)

    def task(self, key: workflow.TaskKey) -> TaskState | None:
        """Return the state of a task, ``None`` if it does not exist."""
        entry = self._entries.get(key.workflow_id)
        if entry is None:
            return None
        try:
            return entry.occurrences[key.occurrence][key.step][key.index]
        except (KeyError, IndexError):
            return None

    def step(self, key: workflow.TaskKey) -> workflow.Step | None:
        """Return the step of a task, ``None`` if the task does not exist."""
        if self.task(key) is None:
            return None
        return self._entries[key.workflow_id].workflow.steps[key.step]

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one command and return its encoded result."""
        del index
        decoded = command.unpack(data)
        match decoded:
            case command.ReplaceCatalog():
                return codec.pack(self._replace_catalog(decoded))
            case command.Submit():
                return codec.pack(self._submit(decoded))
            case command.Cancel():
                return codec.pack(self._cancel(decoded))
            case command.RegisterWorker():
                self._register(decoded)
            case command.RemoveWorker():
                self._remove(decoded)
            case command.Assign():
                return codec.pack(command.AssignResult(tuple(self._assign(decoded))))
            case command.Settle():
                self._settle(decoded)
            case command.Forget():
                self._forget(decoded)
            case command.StartWave():
                return codec.pack(self._start_wave(decoded.wave))
            case command.NoteMaintenance():
                self._record_maintenance(decoded)
            case command.BeginEvacuation():
                in_force = self._evacuations.begin(
                    decoded.failure_domain, decoded.at_ms
                )
                return codec.pack(command.EvacuationResult(in_force))
            case command.EndEvacuation():
                self._evacuations.end(decoded.failure_domain)
        return b""

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.pack(
            _Snapshot(
                self._index.catalog,
                self._document,
                self._entries,
                self._workers,
                self._removed_workers,
                self._waves,
                self._cancelled_early,
                self._evacuations.stored(),
                self._run_times.stored(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one from `snapshot`."""
        stored = codec.unpack(data, _Snapshot)
        self._index = catalog.Index(stored.catalog)
        self._document = stored.document
        self._entries = stored.entries
        self._workers = stored.workers
        self._removed_workers = stored.removed
        self._waves = stored.waves
        self._cancelled_early = stored.cancelled
        self._evacuations = evacuation.Evacuations(stored.evacuations)
        self._run_times = prediction.RunTimes(stored.run_times)
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        self._active = {
            key: entry for key, entry in self._entries.items() if entry.is_active
        }
        # Of the workers that have or had runs, by id.
        self._occupancies: dict[str, occupancy.Occupancy] = {}
        for entry in self._entries.values():
            for _, step, tasks in entry.tasks():
                for task in tasks:
                    if task.placement is not None:
                        self._occupy(task.placement, entry.workflow.steps[step])

    def _occupy(self, placement: workflow.Placement, step: workflow.Step) -> None:
        occupied = self._occupancies.get(placement.worker_id)
        if occupied is None:
            occupied = self._occupancies[placement.worker_id] = occupancy.Occupancy()
        occupied.add(placement, step)

    def _replace_catalog(
        self, replace: command.ReplaceCatalog
    ) -> command.ReplaceCatalogResult:
        current = self._index.catalog
        if replace.catalog.version <= current.version:
            is_same_version = replace.catalog.version == current.version
            conflict = is_same_version and replace.catalog != current
            return command.ReplaceCatalogResult(current.version, conflict)
        self._index = catalog.Index(replace.catalog)
        self._document = replace.document
        for entry in self._active.values():
            entry.queue = self._index.queue(entry.queue.name) or entry.queue
        return command.ReplaceCatalogResult(replace.catalog.version, False)

    def _submit(self, submit: command.Submit) -> command.WorkflowResult:
        submitted = submit.workflow
        if submitted.workflow_id in self._entries:
            return command.WorkflowResult(True)
        queue = self._index.queue(submitted.queue)
        if queue is None:
            return command.WorkflowResult(False)
        entry = Entry(submitted, queue)
        entry.occurrences = {0: new_tasks(submitted)}
        for occurrence in range(1, submitted.repetitions):
            entry.occurrences[occurrence] = new_tasks(submitted)
        self._entries[submitted.workflow_id] = entry
        self._active[submitted.workflow_id] = entry
        key = (submitted.queue, submitted.workflow_id)
        if self._cancelled_early.pop(key, None) is not None:
            self._finish(entry, workflow.State.CANCELLED, submit.at_ms)
        return command.WorkflowResult(True)

    def _cancel(self, cancel: command.Cancel) -> command.WorkflowResult:
        entry = self._entries.get(cancel.workflow_id)
        if entry is None:
            self._cancelled_early[cancel.queue, cancel.workflow_id] = cancel.at_ms
            while len(self._cancelled_early) > MAX_EARLY_CANCELLATIONS:
                del self._cancelled_early[next(iter(self._cancelled_early))]
            return command.WorkflowResult(False)
        if entry.is_active:
            self._finish(entry, workflow.State.CANCELLED, cancel.at_ms)
        return command.WorkflowResult(True)

    def _finish(self, entry: Entry, state: workflow.State, at_ms: int) -> None:
        entry.state = state
        entry.ended_ms = at_ms
        self._active.pop(entry.workflow.workflow_id, None)

    def _register(self, register: command.RegisterWorker) -> None:
        worker = register.worker
        registered = self._workers.get(worker.worker_id)
        if (
            registered is not None
            and registered.worker.incarnation > worker.incarnation
        ):
            return
        if self._removed_workers.get(worker.worker_id, 0) >= worker.incarnation:
            return
        if (
            registered is not None
            and registered.worker.incarnation == worker.incarnation
        ):
            if 0 < register.sequence < registered.sequence:
                return  # the announcement was delayed in transit
            registered.sequence = register.sequence
            draining = registered.worker.draining or worker.draining
            registered.worker = msgspec.structs.replace(worker, draining=draining)
            return
        if registered is not None:
            self._record_replaced(registered, register.at_ms)
            self._clear_placements(worker.worker_id)
        for other in list(self._workers.values()):
            # Two processes can't listen on one address: the older one has ended.
            if (
                other.worker.address == worker.address
                and other.worker.worker_id != worker.worker_id
            ):
                if other.worker.incarnation > worker.incarnation:
                    return
                self._record_replaced(other, register.at_ms)
                self._unregister(other.worker)
        self._workers[worker.worker_id] = WorkerState(
            worker, sequence=register.sequence
        )

    def _remove(self, remove: command.RemoveWorker) -> None:
        registered = self._workers.get(remove.worker_id)
        if (
            registered is not None
            and registered.worker.incarnation <= remove.incarnation
        ):
            for end in remove.ends:
                self._record_end(remove.worker_id, end, remove.at_ms)
            for release in remove.releases:
                self._release(remove.worker_id, release)
            if remove.has_crashed:
                self._record_crash(registered, remove.suspects, remove.at_ms)
            self._unregister(registered.worker)

    def _record_replaced(self, former: WorkerState, at_ms: int) -> None:
        """Record the crash of an incarnation that a later one has replaced.

        One that was draining has ended as planned.
        """
        if not former.worker.draining:
            placements = self.placements_on(former.worker.worker_id)
            suspects = [
                suspicion.Suspect(key, placement.run)
                for key, placement in placements.items()
            ]
            self._record_crash(former, suspects, at_ms)

    def _record_crash(
        self, crashed: WorkerState, suspects: Iterable[suspicion.Suspect], at_ms: int
    ) -> None:
        """Count a crash for all tasks that may have been running on the worker."""
        lapsed = [suspicion.Suspect(key, run) for key, run in crashed.lapsed.items()]
        by_task = {suspect.task: suspect for suspect in [*lapsed, *suspects]}
        for key, suspect in by_task.items():
            task = self.task(key)
            if task is None or any(suspect.run == known.run for known in task.crashes):
                continue
            _drop_possible_crashes(task, suspect.run, crashed.worker.address)
            task.crashes.append(
                crash.Crash(
                    suspect.run,
                    crashed.worker.address,
                    at_ms,
                    suspect.is_sudden,
                    len(by_task) == 1,
                )
            )
            self._give_up_cause(key, at_ms)

    def _give_up_cause(self, key: workflow.TaskKey, at_ms: int) -> None:
        """Fail a workflow if a task has to be taken for the cause of its crashes."""
        entry = self._entries[key.workflow_id]
        task = entry.occurrences[key.occurrence][key.step][key.index]
        if not entry.is_active or task.done:
            return
        crashes = crash.settled(task.crashes, task.possible_crashes, at_ms)
        step = entry.workflow.steps[key.step]
        if crash.is_cause(suspicion.recent(crashes, step, at_ms)):
            self._finish(entry, workflow.State.FAILED, at_ms)

    def _unregister(self, worker: workflow.Worker) -> None:
        self._clear_placements(worker.worker_id)
        self._occupancies.pop(worker.worker_id, None)
        del self._workers[worker.worker_id]
        # Reinsertion moves the worker to the end, since the oldest are dropped first.
        self._removed_workers.pop(worker.worker_id, None)
        self._removed_workers[worker.worker_id] = worker.incarnation
        while len(self._removed_workers) > MAX_REMOVED_WORKERS:
            del self._removed_workers[next(iter(self._removed_workers))]

    def _clear_placements(self, worker_id: str) -> None:
        for key in list(self.placements_on(worker_id)):
            task = self.task(key)
            if task is not None:
                self._clear_placement(task)

    def _clear_placement(self, task: TaskState) -> None:
        placement = task.placement
        if placement is not None:
            task.placement = None
            occupied = self._occupancies.get(placement.worker_id)
            if occupied is not None:
                entry = self._entries[placement.task.workflow_id]
                step = entry.workflow.steps[placement.task.step]
                occupied.remove(placement, step)

    def _assign(self, assign: command.Assign) -> Iterator[workflow.Placement]:
        """Place the tasks that can be placed and yield their placements.

        A gang is placed only if all of its members can be.
        """
        gangs: dict[tuple[str, int, int], list[workflow.Placement]] = {}
        for placement in assign.placements:
            key = placement.task
            entry = self._entries.get(key.workflow_id)
            task = self.task(key)
            if task is not None and task.possible_crashes:
                # One of them may have come to count since the last crash.
                self._give_up_cause(key, assign.at_ms)
            if entry is None or not self._can_place(entry, placement):
                continue
            if entry.workflow.steps[key.step].gang:
                gang = (key.workflow_id, key.occurrence, key.step)
                gangs.setdefault(gang, []).append(placement)
            else:
                yield self._place(entry, placement, assign.at_ms)
        for (workflow_id, occurrence, step), members in gangs.items():
            entry = self._entries[workflow_id]
            tasks = entry.occurrences[occurrence][step]
            is_complete = len(members) == len(tasks)
            if is_complete and all(task.placement is None for task in tasks):
                for placement in members:
                    yield self._place(entry, placement, assign.at_ms)

    def _can_place(self, entry: Entry, placement: workflow.Placement) -> bool:
        task = self.task(placement.task)
        worker = self._workers.get(placement.worker_id)
        return (
            entry.is_active
            and task is not None
            and not task.done
            and task.placement is None
            and placement.run > task.last_run
            and worker is not None
            and worker.worker.incarnation == placement.incarnation
            and not self.is_evacuated(worker.worker)
        )

    def _place(
        self, entry: Entry, placement: workflow.Placement, at_ms: int
    ) -> workflow.Placement:
        task = self.task(placement.task)
        task.placed_ms = at_ms
        task.has_resumed = bool(task.checkpoint)
        task.last_run = placement.run
        task.placement = placement
        entry.is_started = True
        self._occupy(placement, entry.workflow.steps[placement.task.step])
        return placement

    def _settle(self, settle: command.Settle) -> None:
        """Record the new ends, and clear the placements of ended or released runs."""
        registered = self._workers.get(settle.worker_id)
        if registered is None or registered.worker.incarnation != settle.incarnation:
            return
        for end in settle.ends:
            if end.number > registered.last_end_number:
                self._record_run_time(settle.worker_id, end, settle.at_ms)
                self._record_end(settle.worker_id, end, settle.at_ms)
        if settle.ends or settle.is_heard:
            self._clear_lapsed(registered)
        registered.last_end_number = max(
            registered.last_end_number, settle.last_end_number
        )
        lapsed = [
            release
            for release in settle.releases
            if self._release(settle.worker_id, release) and release.has_lapsed
        ]
        for release in lapsed:
            registered.lapsed[release.task] = release.run
            self.task(release.task).possible_crashes.append(
                crash.Crash(
                    release.run,
                    registered.worker.address,
                    settle.at_ms,
                    was_alone=len(lapsed) == 1,
                )
            )

    def _clear_lapsed(self, heard: WorkerState) -> None:
        """Record that a worker has not crashed since its lease lapsed."""
        for key, run in heard.lapsed.items():
            task = self.task(key)
            if task is not None:
                _drop_possible_crashes(task, run, heard.worker.address)
        heard.lapsed = {}

    def _release(self, worker_id: str, release: workflow.Release) -> bool:
        """Clear the placement of a released run; tell whether it still had one."""
        task = self.task(release.task)
        if task is None or not _is_placed_run(task, worker_id, release.run):
            return False
        self._clear_placement(task)
        self._entries[release.task.workflow_id].has_begun |= release.has_started
        self._record_checkpoint(release.task, release.run, release.checkpoint)
        return True

    def _record_end(self, worker_id: str, end: workflow.RunEnd, at_ms: int) -> None:
        task = self.task(end.task)
        if task is None:
            return
        entry = self._entries[end.task.workflow_id]
        entry.has_begun = True
        step = entry.workflow.steps[end.task.step]
        tasks = entry.occurrences[end.task.occurrence][end.task.step]
        if _is_placed_run(task, worker_id, end.run):
            self._clear_placement(task)
        self._record_checkpoint(end.task, end.run, end.checkpoint)
        if step.long_running:
            return  # long-running tasks are restarted after any outcome
        if end.outcome is workflow.RunOutcome.DONE:
            for member in tasks if step.gang else (task,):
                member.done = True
                member.done_run = max(member.done_run, end.run)
            self._record_progress(entry, end.task.occurrence, at_ms)
        elif end.outcome is workflow.RunOutcome.FAILED:
            members = tasks if step.gang else [task]
            self._record_failure(entry, members, worker_id, end, at_ms)

    def _record_run_time(
        self, worker_id: str, end: workflow.RunEnd, at_ms: int
    ) -> None:
        """Record how long a run took from its placement.

        It must be called before the placement is cleared. The members of a gang end
        together, so only the first one counts. Fill tasks are slowed down beside
        serving tasks, and a resumed run does only a part of the work.
        """
        task = self.task(end.task)
        if task is None or not _is_placed_run(task, worker_id, end.run):
            return
        submitted = self._entries[end.task.workflow_id].workflow
        step = submitted.steps[end.task.step]
        is_counted = not (
            step.long_running
            or step.fill
            or (step.gang and end.task.index)
            or task.has_resumed
            or not task.placed_ms
        )
        is_done = end.outcome is workflow.RunOutcome.DONE
        if is_counted and (is_done or end.outcome is workflow.RunOutcome.STOPPED):
            self._run_times.record(
                submitted.queue,
                submitted.account,
                step,
                at_ms - task.placed_ms,
                is_lower_bound=not is_done,
            )

    def _record_failure(
        self,
        entry: Entry,
        tasks: list[TaskState],
        worker_id: str,
        end: workflow.RunEnd,
        at_ms: int,
    ) -> None:
        """Count a failed run.

        The failure of a gang is counted for all members, but only once for each run.
        """
        for task in tasks:
            if worker_id not in task.failed_on:
                task.failed_on = [*task.failed_on, worker_id][-MAX_FAILED_WORKERS:]
            if end.run > task.last_failed_run:
                task.last_failed_run = end.run
                task.failures += 1
        if entry.is_active and not tasks[0].done:
            failures = max(task.failures for task in tasks)
            if failures >= entry.queue.max_attempts:
                self._finish(entry, workflow.State.FAILED, at_ms)

    def _record_checkpoint(
        self, key: workflow.TaskKey, run: int, checkpoint: str
    ) -> None:
        """Keep a checkpoint of the latest run, for all members if it is a gang."""
        task = self.task(key)
        if not checkpoint or task is None or run < task.last_run:
            return
        entry = self._entries[key.workflow_id]
        if entry.workflow.steps[key.step].gang:
            for member in entry.occurrences[key.occurrence][key.step]:
                member.checkpoint = checkpoint
        else:
            task.checkpoint = checkpoint

    def _record_progress(self, entry: Entry, occurrence: int, at_ms: int) -> None:
        steps = entry.occurrences[occurrence]
        if all(task.done for tasks in steps for task in tasks):
            entry.finished_occurrences.add(occurrence)
        if entry.is_active and len(entry.finished_occurrences) == len(
            entry.occurrences
        ):
            self._finish(entry, workflow.State.COMPLETED, at_ms)

    def _start_wave(self, submitted: wave.Wave) -> command.StartWaveResult:
        existing = self._waves.get(submitted.number)
        if existing is not None:
            with_same_start = msgspec.structs.replace(
                submitted, started_ms=existing.wave.started_ms
            )
            return command.StartWaveResult(with_same_start != existing.wave)
        self._waves[submitted.number] = wave.WaveState(submitted)
        for number in [n for n, state in self._waves.items() if state.is_complete]:
            if len(self._waves) <= MAX_WAVES:
                break
            del self._waves[number]
        return command.StartWaveResult(False)

    def _record_maintenance(self, note: command.NoteMaintenance) -> None:
        existing = self._waves.get(note.number)
        if existing is not None and note.host in existing.remaining:
            (existing.missing_hosts if note.is_missing else existing.started_hosts).add(
                note.host
            )

    def _forget(self, forget: command.Forget) -> None:
        for key, entry in list(self._entries.items()):
            if entry.is_active or entry.ended_ms >= forget.before_ms:
                continue
            if not any(
                task.placement for _, _, tasks in entry.tasks() for task in tasks
            ):
                del self._entries[key]
        for key, at_ms in list(self._cancelled_early.items()):
            if at_ms < forget.before_ms:
                del self._cancelled_early[key]


def new_tasks(submitted: workflow.Workflow) -> list[list[TaskState]]:
    """Return the initial state of the tasks of one occurrence."""
    return [[TaskState() for _ in range(step.count)] for step in submitted.steps]


def _drop_possible_crashes(task: TaskState, last_run: int, address: str) -> None:
    """Drop those of a worker; a run can lapse there after an earlier one has."""
    task.possible_crashes = [
        possible
        for possible in task.possible_crashes
        if possible.run > last_run or possible.address != address
    ]


def _is_placed_run(task: TaskState, worker_id: str, run: int) -> bool:
    placement = task.placement
    return (
        placement is not None
        and placement.worker_id == worker_id
        and placement.run == run
    )
