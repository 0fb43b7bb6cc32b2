"""Replicated machine of workflows, workers and the catalog."""

from collections.abc import Iterator

import msgspec

from ..core import codec
from . import catalog, command, wave, workflow


class TaskState(msgspec.Struct, array_like=True):
    """What is known of one task.

    Parameters
    ----------
    run : int
        Highest number that a run of it had.
    failed_run : int
        Highest number of a run that was counted as failed.
    placement : Placement or None
        Run that may be in progress; its resources are taken until it is cleared.
    """

    last_run: int = 0
    failures: int = 0
    last_failed_run: int = 0
    done: bool = False
    checkpoint: str = ""
    placement: workflow.Placement | None = None


class Entry(msgspec.Struct, array_like=True):
    """A workflow and its progress.

    Parameters
    ----------
    occurrences : dict
        Tasks of each step, for each occurrence that has begun or is due next.
    finished : int
        Number of occurrences that are done.
    """

    workflow: workflow.Workflow
    queue: catalog.Queue
    state: workflow.State = workflow.State.ACTIVE
    occurrences: dict[int, list[list[TaskState]]] = {}
    finished_occurrences: set[int] = set()
    is_started: bool = False
    ended_ms: int = 0

    def tasks(self) -> Iterator[tuple[int, int, list[TaskState]]]:
        """Give occurrence, step and tasks of all steps that are kept."""
        for occurrence, steps in self.occurrences.items():
            for step, tasks in enumerate(steps):
                yield occurrence, step, tasks

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks that a step waits for are done."""
        steps = self.occurrences[occurrence]
        return all(
            task.done
            for before in self.workflow.steps[step].after
            for task in steps[before]
        )

    @property
    def is_active(self) -> bool:
        """Tell whether the workflow still has work to do."""
        return self.state is workflow.State.ACTIVE


class WorkerState(msgspec.Struct, array_like=True):
    """One life of a worker and the last of its ends that were noted."""

    worker: workflow.Worker
    last_end_number: int = 0


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    catalog: catalog.Catalog
    document: bytes
    entries: dict[str, Entry]
    workers: dict[str, WorkerState]
    removed: dict[str, int]
    waves: dict[int, wave.WaveState] = {}


# Lives that are over are remembered, since their delayed announcements may arrive
# later; by number, since each takes about 60 bytes.
MAX_REMOVED = 4096
MAX_WAVES = 64  # kept, so that their operators can ask for them


class WorkflowMachine:
    """Apply commands; everything else is derived from them."""

    __slots__ = (
        "_active",
        "_document",
        "_entries",
        "_index",
        "_placed",
        "_removed",
        "_waves",
        "_workers",
    )

    def __init__(self) -> None:
        self._index = catalog.Index(catalog.Catalog())
        self._document = b""
        self._entries: dict[str, Entry] = {}
        self._workers: dict[str, WorkerState] = {}
        self._removed: dict[str, int] = {}
        self._waves: dict[int, wave.WaveState] = {}
        self._derive()

    @property
    def index(self) -> catalog.Index:
        """Return the lookups of the catalog in force."""
        return self._index

    @property
    def document(self) -> bytes:
        """Return the catalog as it was sent, empty if there is none."""
        return self._document

    @property
    def entries(self) -> dict[str, Entry]:
        """Return all kept workflows by id."""
        return self._entries

    @property
    def active(self) -> dict[str, Entry]:
        """Return the workflows that are not finished, in the order of acceptance."""
        return self._active

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Return all registered workers by id."""
        return self._workers

    @property
    def waves(self) -> dict[int, wave.WaveState]:
        """Return the waves of maintenance by number."""
        return self._waves

    def has_incarnation_ended(self, worker_id: str, incarnation: int) -> bool:
        """Tell whether a life of a worker is known to have ended."""
        known = self._workers.get(worker_id)
        if known is not None and known.worker.incarnation > incarnation:
            return True
        return self._removed.get(worker_id, 0) >= incarnation

    def placements_on(
        self, worker_id: str
    ) -> dict[workflow.TaskKey, workflow.Placement]:
        """Return the runs that may be in progress on a worker."""
        return self._placed.get(worker_id, {})

    def task(self, key: workflow.TaskKey) -> TaskState | None:
        """Return what is known of a task."""
        entry = self._entries.get(key.workflow_id)
        if entry is None:
            return None
        try:
            return entry.occurrences[key.occurrence][key.step][key.index]
        except (KeyError, IndexError):
            return None

    def step(self, key: workflow.TaskKey) -> workflow.Step | None:
        """Return the step of a task."""
        if self.task(key) is None:
            return None
        return self._entries[key.workflow_id].workflow.steps[key.step]

    def pending(self, queue: str) -> int:
        """Return the number of accepted workflows without a started task."""
        return sum(
            entry.queue.name == queue and not entry.is_started
            for entry in self._active.values()
        )

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one command and return its packed result."""
        del index
        wanted = command.unpack(data)
        match wanted:
            case command.ReplaceCatalog():
                return codec.pack(self._replace_catalog(wanted))
            case command.Submit():
                return codec.pack(self._submit(wanted))
            case command.Cancel():
                return codec.pack(self._cancel(wanted))
            case command.RegisterWorker():
                self._register(wanted)
            case command.RemoveWorker():
                self._remove(wanted)
            case command.Assign():
                return codec.pack(command.AssignResult(tuple(self._assign(wanted))))
            case command.Settle():
                self._settle(wanted)
            case command.Forget():
                self._forget(wanted)
            case command.StartWave():
                return codec.pack(self._start_wave(wanted.wave))
            case command.NoteMaintenance():
                self._note_maintenance(wanted)
        return b""

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return codec.pack(
            _Snapshot(
                self._index.catalog,
                self._document,
                self._entries,
                self._workers,
                self._removed,
                self._waves,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` gave."""
        stored = codec.unpack(data, _Snapshot)
        self._index = catalog.Index(stored.catalog)
        self._document = stored.document
        self._entries = stored.entries
        self._workers = stored.workers
        self._removed = stored.removed
        self._waves = stored.waves
        self._derive()

    def _derive(self) -> None:
        self._active = {
            key: entry for key, entry in self._entries.items() if entry.is_active
        }
        self._placed: dict[str, dict[workflow.TaskKey, workflow.Placement]] = {}
        for entry in self._entries.values():
            for _, _, tasks in entry.tasks():
                for task in tasks:
                    if task.placement is not None:
                        placement = task.placement
                        placed = self._placed.setdefault(placement.worker_id, {})
                        placed[placement.task] = placement

    def _replace_catalog(
        self, wanted: command.ReplaceCatalog
    ) -> command.ReplaceCatalogResult:
        held = self._index.catalog
        if wanted.wanted.version <= held.version:
            same_version = wanted.wanted.version == held.version
            conflict = same_version and wanted.wanted != held
            return command.ReplaceCatalogResult(held.version, conflict)
        self._index = catalog.Index(wanted.wanted)
        self._document = wanted.document
        for entry in self._active.values():
            entry.queue = self._index.queue(entry.queue.name) or entry.queue
        return command.ReplaceCatalogResult(wanted.wanted.version, False)

    def _submit(self, wanted: command.Submit) -> command.WorkflowResult:
        submitted = wanted.wanted
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
        return command.WorkflowResult(True)

    def _cancel(self, wanted: command.Cancel) -> command.WorkflowResult:
        entry = self._entries.get(wanted.workflow_id)
        if entry is None:
            return command.WorkflowResult(False)
        if entry.is_active:
            self._finish(entry, workflow.State.CANCELLED, wanted.at_ms)
        return command.WorkflowResult(True)

    def _finish(self, entry: Entry, state: workflow.State, at_ms: int) -> None:
        entry.state = state
        entry.ended_ms = at_ms
        self._active.pop(entry.workflow.workflow_id, None)

    def _register(self, wanted: command.RegisterWorker) -> None:
        new = wanted.worker
        known = self._workers.get(new.worker_id)
        if known is not None and known.worker.incarnation > new.incarnation:
            return
        if self._removed.get(new.worker_id, 0) >= new.incarnation:
            return
        if known is not None and known.worker.incarnation == new.incarnation:
            draining = known.worker.draining or new.draining
            known.worker = msgspec.structs.replace(new, draining=draining)
            return
        if known is not None:
            self._clear_worker(new.worker_id)
        for other in list(self._workers.values()):
            # Two lives can't listen on one address: the older one is gone.
            if (
                other.worker.address == new.address
                and other.worker.worker_id != new.worker_id
            ):
                if other.worker.incarnation > new.incarnation:
                    return
                self._drop_worker(other.worker)
        self._workers[new.worker_id] = WorkerState(new)

    def _remove(self, wanted: command.RemoveWorker) -> None:
        known = self._workers.get(wanted.worker_id)
        if known is not None and known.worker.incarnation <= wanted.incarnation:
            self._drop_worker(known.worker)

    def _drop_worker(self, worker: workflow.Worker) -> None:
        self._clear_worker(worker.worker_id)
        del self._workers[worker.worker_id]
        self._removed.pop(worker.worker_id, None)
        self._removed[worker.worker_id] = worker.incarnation
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _clear_worker(self, worker_id: str) -> None:
        for key in list(self.placements_on(worker_id)):
            task = self.task(key)
            if task is not None:
                self._clear(task)

    def _clear(self, task: TaskState) -> None:
        placement = task.placement
        if placement is not None:
            task.placement = None
            placed = self._placed.get(placement.worker_id, {})
            placed.pop(placement.task, None)

    def _assign(self, wanted: command.Assign) -> Iterator[workflow.Placement]:
        """Bind the tasks that may be bound; a gang only as a whole."""
        gangs: dict[tuple[str, int, int], list[workflow.Placement]] = {}
        for placement in wanted.placements:
            key = placement.task
            entry = self._entries.get(key.workflow_id)
            if entry is None or not self._may_place(entry, placement):
                continue
            if entry.workflow.steps[key.step].gang:
                unit = (key.workflow_id, key.occurrence, key.step)
                gangs.setdefault(unit, []).append(placement)
            else:
                yield self._place(entry, placement)
        for (workflow_id, occurrence, step), members in gangs.items():
            entry = self._entries[workflow_id]
            tasks = entry.occurrences[occurrence][step]
            whole = len(members) == len(tasks)
            if whole and all(task.placement is None for task in tasks):
                for placement in members:
                    yield self._place(entry, placement)

    def _may_place(self, entry: Entry, placement: workflow.Placement) -> bool:
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
        )

    def _place(self, entry: Entry, placement: workflow.Placement) -> workflow.Placement:
        task = self.task(placement.task)
        task.last_run = placement.run
        task.placement = placement
        entry.is_started = True
        placed = self._placed.setdefault(placement.worker_id, {})
        placed[placement.task] = placement
        return placement

    def _settle(self, wanted: command.Settle) -> None:
        known = self._workers.get(wanted.worker_id)
        if known is None or known.worker.incarnation != wanted.incarnation:
            return
        for end in wanted.ends:
            if end.number > known.last_end_number:
                self._end(wanted.worker_id, end, wanted.at_ms)
        known.last_end_number = max(known.last_end_number, wanted.last_end_number)
        for release in wanted.releases:
            task = self.task(release.task)
            if task is not None and _is_run(task, wanted.worker_id, release.run):
                self._clear(task)
                self._note_checkpoint(release.task, release.run, release.checkpoint)

    def _end(self, worker_id: str, end: workflow.RunEnd, at_ms: int) -> None:
        task = self.task(end.task)
        if task is None:
            return
        entry = self._entries[end.task.workflow_id]
        step = entry.workflow.steps[end.task.step]
        tasks = entry.occurrences[end.task.occurrence][end.task.step]
        if _is_run(task, worker_id, end.run):
            self._clear(task)
        self._note_checkpoint(end.task, end.run, end.checkpoint)
        if step.long_running:
            return  # it is started again however it ends
        if end.outcome is workflow.RunOutcome.DONE:
            for each in tasks if step.gang else (task,):
                each.done = True
            self._note_progress(entry, end.task.occurrence, at_ms)
        elif end.outcome is workflow.RunOutcome.FAILED:
            self._fail(entry, tasks if step.gang else [task], end, at_ms)

    def _fail(
        self,
        entry: Entry,
        tasks: list[TaskState],
        end: workflow.RunEnd,
        at_ms: int,
    ) -> None:
        """Count a failed run once; the members of a gang fail as one."""
        for task in tasks:
            if end.run > task.last_failed_run:
                task.last_failed_run = end.run
                task.failures += 1
        if entry.is_active and not tasks[0].done:
            failures = max(task.failures for task in tasks)
            if failures >= entry.queue.max_attempts:
                self._finish(entry, workflow.State.FAILED, at_ms)

    def _note_checkpoint(self, key: workflow.TaskKey, run: int, value: str) -> None:
        """Keep a checkpoint of the newest run; any member's holds for its gang."""
        task = self.task(key)
        if not value or task is None or run < task.last_run:
            return
        entry = self._entries[key.workflow_id]
        if entry.workflow.steps[key.step].gang:
            for member in entry.occurrences[key.occurrence][key.step]:
                member.checkpoint = value
        else:
            task.checkpoint = value

    def _note_progress(self, entry: Entry, occurrence: int, at_ms: int) -> None:
        steps = entry.occurrences[occurrence]
        if all(task.done for tasks in steps for task in tasks):
            entry.finished_occurrences.add(occurrence)
        if entry.is_active and len(entry.finished_occurrences) == len(
            entry.occurrences
        ):
            self._finish(entry, workflow.State.COMPLETED, at_ms)

    def _start_wave(self, wanted: wave.Wave) -> command.StartWaveResult:
        known = self._waves.get(wanted.number)
        if known is not None:
            same = msgspec.structs.replace(wanted, started_ms=known.wave.started_ms)
            return command.StartWaveResult(same != known.wave)
        self._waves[wanted.number] = wave.WaveState(wanted)
        for number in [n for n, each in self._waves.items() if each.is_complete]:
            if len(self._waves) <= MAX_WAVES:
                break
            del self._waves[number]
        return command.StartWaveResult(False)

    def _note_maintenance(self, wanted: command.NoteMaintenance) -> None:
        known = self._waves.get(wanted.number)
        if known is not None and wanted.host in known.remaining:
            (known.missing_hosts if wanted.gone else known.started_hosts).add(
                wanted.host
            )

    def _forget(self, wanted: command.Forget) -> None:
        for key, entry in list(self._entries.items()):
            if entry.is_active or entry.ended_ms >= wanted.before_ms:
                continue
            if not any(t.placement for _, _, tasks in entry.tasks() for t in tasks):
                del self._entries[key]


def new_tasks(submitted: workflow.Workflow) -> list[list[TaskState]]:
    """Return the tasks of one occurrence, none of them started."""
    return [[TaskState() for _ in range(s.count)] for s in submitted.steps]


def _is_run(task: TaskState, worker_id: str, run: int) -> bool:
    placement = task.placement
    return (
        placement is not None
        and placement.worker_id == worker_id
        and placement.run == run
    )
